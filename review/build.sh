#!/usr/bin/env bash
# The stand-ins of the cases are plain JavaScript for Node.js and need no build. This checks that each one can be parsed.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs */*.mjs; do node --check "$file"; done
