#!/bin/sh
# Builds what the scripts of the second review start beside the program of the deploy file: the project's own stand-in of the
# store. The other stand-ins are plain JavaScript.
cd "$(dirname "$0")/.." || exit 1
exec node_modules/.bin/tsc -b packages/standins
