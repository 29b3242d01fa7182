#!/bin/sh
# Checks that the stand-ins and cases compile; they need nothing but Python's standard library.
set -eu
cd "$(dirname "$0")"
python3 - <<'PY'
import ast
import pathlib

for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
PY
