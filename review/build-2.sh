#!/bin/sh
# Makes the scripts of review/6 to review/9 ready to run, after the build of the deploy file. Their stand-ins of the
# store, of runners and of clients are plain JavaScript in review/harness-2, which needs no other package than Node.js:
# there is nothing to compile, so it is only checked that they can be read and that the program is there.
set -e
cd "$(dirname "$0")/.."
for file in review/harness-2/harness.mjs review/6/run.mjs review/7/run.mjs review/8/run.mjs review/9/run.mjs; do
  node --check "$file"
done
test -f target/canvasridge.cjs || {
  echo 'target/canvasridge.cjs is missing: run the build of deploy/system.toml first' >&2
  exit 1
}
