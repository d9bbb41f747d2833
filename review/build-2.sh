#!/bin/sh
# The stand-ins of the cases 6 to 10 are plain JavaScript and need no build: this checks that they can be read, and
# that the program has been built as the deploy file says.
set -u
cd "$(dirname "$0")/.." || exit 2
for file in review/stand-ins-2/*.mjs review/[6-9]/*.mjs review/10/*.mjs; do
  test -e "$file" || continue
  node --check "$file" || exit 1
done
test -e target/bin/server/main/chervilseamd.mjs || {
  echo 'run the build of deploy/system.toml first' >&2
  exit 1
}
