#!/usr/bin/env bash
# The stand-ins of this review are JavaScript without dependencies, in
# review/stand-ins-2/: there is nothing to compile. This checks that they and the
# programs of the deploy file are there.
set -euo pipefail
cd "$(dirname "$0")/.."

for file in review/stand-ins-2/*.mjs review/{6,7,8,9,10}/*.mjs; do
  if [ -e "$file" ]; then node --check "$file"; fi
done
test -e target/ebonypath-entry.cjs
test -e target/ebonypath-control.cjs
