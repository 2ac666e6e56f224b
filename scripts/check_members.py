#!/usr/bin/env python3
"""Checks that no class mixes two styles of private members: all of them end in an underscore (older
classes) or none does (new ones, see DEVELOPERS.md). Prints each violation; exits 1 when there is any.

clang-tidy checks the letters of the names; which of the two styles a class follows it cannot know.
"""

import pathlib
import re
import sys

CLASS = re.compile(r"^(?:class|struct) [\w:]+[^;]*\{$")
ACCESS = re.compile(r"^\s*(public|protected|private):")
MEMBER = re.compile(
    r"^    (?=\S)(?!using |friend |static |return |struct |class |enum )"
    r"[\w:<>,&*() ]+?[ &*>](\w+)(?:\{[^;]*\}| = [^;]+)?;$")


def members(lines):
    """Private data members of each class at the outermost level: its name and (line, member)."""
    name, private, found = "", False, []
    for number, line in enumerate(lines, start=1):
        if CLASS.match(line):
            name, private, found = line.split()[1], False, []
        elif line == "};" and name:
            yield name, found
            name = ""
        elif name and ACCESS.match(line):
            private = ACCESS.match(line).group(1) == "private"
        elif name and private and not line.endswith((") const;", " override;")) and not re.search(r"\w\([^)]*\);$", line):
            member = MEMBER.match(line)
            if member:
                found.append((number, member.group(1)))


def violations(path):
    for name, found in members(path.read_text().splitlines()):
        marked = [entry for entry in found if entry[1].endswith("_")]
        if marked and len(marked) != len(found):
            for number, member in found:
                if not member.endswith("_"):
                    yield f"{path}:{number}: {name}::{member} has no mark, other members of the class do"


def main():
    root = pathlib.Path(__file__).resolve().parent.parent
    found = []
    for folder in ("src", "platform", "apps"):
        for path in sorted((root / folder).rglob("*.h")):
            found.extend(violations(path))
    print("\n".join(found) if found else "no class mixes two styles of members")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
