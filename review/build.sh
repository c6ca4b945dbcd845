#!/bin/sh
# The stand-ins are Python programs of the standard library and need no build.
# Checks that they can start, and that the build of the deploy file was made.
set -e
cd "$(dirname "$0")/.."
python3 -m py_compile review/common/standin.py review/common/deployment.py
test -x target/fireflycart/daemon/fireflycartd
