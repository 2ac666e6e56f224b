#!/usr/bin/env python3
"""Checks that a folder of src/pearbarrow includes only folders before it, and that only `net`
includes Boost. Prints each violation; exits 1 when there is any."""

import pathlib
import re
import sys

FOLDERS = [
    "base", "settings", "config", "wire", "net", "platform", "membership", "journal", "program",
    "placement", "backend", "gateway", "operator", "node", "directory", "places", "dispatch", "turns", "tenants",
    "slowstart", "suspects", "forward",
    "fleet", "emulator", "bench",
]
# `settings` and `config` are plain data and may name endpoints; `emulator` and `bench` may use all.
EXTRA = {"settings": {"net", "wire"}, "config": {"net", "wire"}}
INCLUDE = re.compile(r'#include\s+[<"](pearbarrow/(\w+)/|boost/)')


def violations(path, folder):
    position = FOLDERS.index(folder)
    allowed = set(FOLDERS[: position + 1]) | EXTRA.get(folder, set())
    for number, line in enumerate(path.read_text().splitlines(), start=1):
        match = INCLUDE.match(line)
        if not match:
            continue
        used = match.group(2)
        if used is None:
            if folder != "net":
                yield f"{path}:{number}: only net includes Boost"
        elif used not in allowed:
            yield f"{path}:{number}: {folder} must not include {used}"


def main():
    root = pathlib.Path(__file__).resolve().parent.parent / "src" / "pearbarrow"
    found = []
    for folder in FOLDERS:
        for path in sorted((root / folder).rglob("*")):
            if path.suffix in (".h", ".cc"):
                found.extend(violations(path, folder))
    print("\n".join(found) if found else "includes follow the order of folders")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
