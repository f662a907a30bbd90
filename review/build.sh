#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are plain modules for Node.js that use
# its own library only, so this checks that each one can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.js [0-9]/*.js; do
  node --check "$file"
done
