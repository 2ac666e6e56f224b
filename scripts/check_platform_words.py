#!/usr/bin/env python3
"""Checks that words of the users' platform stand only in its adapter, the stand-ins, the deploy files
and the tests. Prints each violation; exits 1 when there is any."""

import pathlib
import re
import sys

WORDS = re.compile(
    r"Pearbarrow-[A-Z]|/kv-(key|range|watch|txn|lease|keep)|op/config|op/retire|status/retire|"
    r"expect_rev|op/evacuate|allowed_regions|cold_per_s|cold_start_s|slo_ms|retain_s|can_resume|keeps_history\"|chunk_tokens|port_range")
STAND_INS = {"metadata_store.cc", "metadata_store.h", "runner.cc", "runner.h"}


def violations(path):
    for number, line in enumerate(path.read_text().splitlines(), start=1):
        if WORDS.search(line):
            yield f"{path}:{number}: a word of the platform outside platform/: {line.strip()}"


def main():
    root = pathlib.Path(__file__).resolve().parent.parent
    found = []
    for folder in ("src", "apps"):
        for path in sorted((root / folder).rglob("*")):
            if path.suffix in (".h", ".cc") and path.name not in STAND_INS:
                found.extend(violations(path))
    print("\n".join(found) if found else "the platform's words stand in its adapter only")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
