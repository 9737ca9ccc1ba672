#!/usr/bin/env bash
# Writes record.txt into this folder. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" && TROUBLE="${TROUBLE:-1}" exec node play.mjs
