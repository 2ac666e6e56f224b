#!/usr/bin/env bash
# The stand-ins of the cases are Python programs and need only its standard library: this checks that
# they compile and that the program under review is built.
set -euo pipefail
cd "$(dirname "$0")"
"$(command -v /usr/bin/python3 || command -v python3)" - <<'CHECK'
import pathlib
for file in sorted(pathlib.Path(".").glob("*/*.py")):
    compile(file.read_text(encoding="utf-8"), str(file), "exec")
CHECK
test -x ../target/bin/pearbarrow-fleet
