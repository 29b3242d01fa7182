#!/bin/sh
# Builds the stand-ins of cases 6 to 10: plain Python files, which are only checked for syntax.
set -eu
cd "$(dirname "$0")"
python3 - lab.py [6-9]/case.py 10/case.py <<'END'
import pathlib
import sys

for name in sys.argv[1:]:
    path = pathlib.Path(name)
    if path.exists():
        compile(path.read_text(), name, "exec")
END
