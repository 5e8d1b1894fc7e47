#!/bin/sh
# Builds the stand-ins of the cases. All of them are plain JavaScript in review/lib, which Node.js runs as it is, so
# nothing has to be compiled; this checks that they can be read.
set -e
cd "$(dirname "$0")"
for file in */*.mjs; do node --check "$file"; done
