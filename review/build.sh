#!/usr/bin/env bash
# The stand-ins of the cases are plain JavaScript without dependencies; this only checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs; do node --check "$file"; done
