#!/bin/sh
# Builds what the scripts of review/6 to review/10 start beside the programs of the deploy file. Their stand-ins are plain modules of Node.js
# without packages, so there is nothing to compile: this checks that each of them can be read.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs; do
    if [ -f "$file" ]; then node --check "$file"; fi
done
