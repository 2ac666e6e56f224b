#!/usr/bin/env bash
# Stand-ins of the cases 4 to 8. They are Python scripts (standard library only) in review/common-2 and
# in the folders of the cases, so nothing is compiled; this checks that they can be run.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import ast
import pathlib
import sys
assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"
for path in [pathlib.Path("common-2/stand_ins.py"), *(pathlib.Path(str(n)) / "run.py" for n in range(4, 9))]:
    if path.exists():
        ast.parse(path.read_text(encoding="utf-8"), str(path))
PY
