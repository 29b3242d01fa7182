#!/bin/sh
# The stand-ins of cases 11 to 15 need only Python's standard library: nothing is compiled. This
# checks that they can be loaded, and that the build of the deploy file has run.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/papayaspar_adapter
python3 -B -c 'import sys; sys.path.insert(0, "review"); import rig3'
