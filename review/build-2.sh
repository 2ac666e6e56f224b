#!/usr/bin/env bash
# The stand-ins of cases 4 to 8 are Python programs that need its standard library only: those in
# review/common-2, and for case 8 the project's own in tests/process and review/common. Nothing is
# compiled; this checks that they can be read and that the program under review is built.
set -euo pipefail
cd "$(dirname "$0")"
"$(command -v /usr/bin/python3 || command -v python3)" - <<'CHECK'
import pathlib
files = ["common-2/stand_ins.py", "common/stand_ins.py", "../tests/process/stream_rig.py"]
files += [f"{number}/run.py" for number in range(4, 9)]
for file in files:
    compile(pathlib.Path(file).read_text(encoding="utf-8"), file, "exec")
CHECK
test -x ../target/bin/pearbarrow-fleet
