#!/bin/sh
# The stand-ins of this review are Python programs: nothing is compiled. Checks that
# the interpreter can load them, and that the deploy file's build has made the daemon.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import asyncio, tomllib'
for file in review/common-2/*.py review/6/*.py review/7/*.py review/8/*.py review/9/*.py \
    review/10/*.py; do
  [ ! -e "$file" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
test -x target/fireflycart/daemon/fireflycartd
