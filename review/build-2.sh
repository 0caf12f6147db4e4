#!/bin/sh
# Prepares the cases 6 to 10: their stand-ins are plain modules in lib-2/ that need no build, so this only checks that they can be
# read by the Node.js of the deploy file. The program under test is built by the build command of deploy/system.toml.
set -eu
cd "$(dirname "$0")"
for file in lib-2/*.mjs 6/case.mjs 7/case.mjs 8/case.mjs 9/case.mjs; do
  node --check "$file"
done
