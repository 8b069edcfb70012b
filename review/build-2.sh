#!/bin/sh
# Checks the stand-ins of the second review. They are plain scripts, so that nothing has to be compiled; the programs that the
# cases start are those of the deploy file's build, in target/.
set -e
cd "$(dirname "$0")"
for file in stand-ins-2/lib.mjs 7/case.mjs 8/case.mjs 9/case.mjs; do
    node --check "$file"
done
for file in ../target/entry.mjs ../target/control.mjs; do
    test -f "$file" || { echo "$file is missing: run the build of the deploy file first" >&2; exit 1; }
done
