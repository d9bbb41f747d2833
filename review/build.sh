#!/bin/sh
# Checks the stand-ins and scripts of the cases: they are plain JavaScript and need no compiler.
set -u
trap 'exit 2' INT TERM
cd "$(dirname "$0")" || exit 2
for file in harness/*.mjs [1-5]/*.mjs; do
  node --check "$file" || exit 1
done
