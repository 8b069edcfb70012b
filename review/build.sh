#!/bin/sh
# Builds the stand-ins of the cases. They are plain JavaScript modules without dependencies, so that nothing has to be
# compiled: this only checks that Node.js can read each of them.
set -e
cd "$(dirname "$0")"
for file in stand-ins/*.mjs */case.mjs; do
    if [ -f "$file" ]; then
        node --check "$file"
    fi
done
