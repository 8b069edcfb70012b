#!/usr/bin/env bash
# Builds what the scripts of the third review start, beside the build of the deploy file: the stand-ins are plain modules
# that need nothing but Node.js, so that it is enough to check that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for module in stand-ins-3/*.mjs 11/*.mjs 12/*.mjs 13/*.mjs 14/*.mjs; do
    node --check "$module"
done
