"""The commands of docs/OPERATIONS.md, run on the recorded logs, print what the page shows."""

import os
import re
import subprocess
import unittest

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BUILD_DIR = os.path.abspath(os.environ.get("PEARBARROW_BUILD_DIR", os.path.join(ROOT, "build")))
PAGE = os.path.join(ROOT, "docs", "OPERATIONS.md")


def examples():
    """Pairs of a command and the output that the page shows for it."""
    with open(PAGE, encoding="utf-8") as file:
        text = file.read()
    blocks = re.findall(r"^    \$ (.*)\n((?:    .*\n)+)", text, re.MULTILINE)
    return [(command, "".join(line[4:] + "\n" for line in output.splitlines()))
            for command, output in blocks]


class Operations(unittest.TestCase):
    def test_the_page_shows_what_the_commands_print(self):
        found = examples()
        self.assertEqual(len(found), 8)
        for command, expected in found:
            words = command.split()
            words[0] = os.path.join(BUILD_DIR, "bin", words[0])
            done = subprocess.run(words, cwd=ROOT, capture_output=True, text=True, timeout=30)
            self.assertEqual(done.returncode, 0, done.stderr)
            self.assertEqual(done.stdout, expected)

    def test_an_unknown_request_is_an_error(self):
        log = os.path.join(ROOT, "tests", "process", "recorded", "late_turn.log")
        command = [os.path.join(BUILD_DIR, "bin", "pearbarrowctl"), "trace", "none", log]
        done = subprocess.run(command, capture_output=True, text=True, timeout=30)
        self.assertEqual(done.returncode, 2)
        self.assertIn("no line about request", done.stderr)


if __name__ == "__main__":
    unittest.main()
