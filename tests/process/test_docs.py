"""The commands of the quickstart page run, and the example files load."""

import glob
import json
import os
import re
import shutil
import signal
import subprocess
import tempfile
import unittest

import fleet

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
BUILD_DIR = os.path.abspath(os.environ.get("PEARBARROW_BUILD_DIR", os.path.join(ROOT, "build")))
BINARIES = os.path.join(BUILD_DIR, "bin")
PAGE = os.path.join(ROOT, "docs", "quickstart.md")
DEMO_FOLDER = "/tmp/pearbarrow-demo"
BLOCK = re.compile(r"<!-- test_docs: run -->\n```sh\n(.*?)```", re.DOTALL)
ADDRESS = re.compile(r"127\.0\.0\.1:(7\d\d\d)\b")
OBJECTS = re.compile(r"<!-- test_docs: objects -->\n```json\n(.*?)```", re.DOTALL)
LINK = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")
PAGE_SECONDS = 180


class FreePorts:
    """Replaces each port of the example by a free one, the same everywhere."""

    def __init__(self):
        self.ports = {}

    def replace(self, text):
        return ADDRESS.sub(lambda match: f"127.0.0.1:{self.port(match[1])}", text)

    def port(self, example):
        if example not in self.ports:
            self.ports[example] = fleet.free_udp_port()
        return self.ports[example]


def read(path):
    with open(path, encoding="utf-8") as file:
        return file.read()


class Quickstart(unittest.TestCase):
    """All marked blocks of the page as one script, on free ports, in a folder of its own."""

    def setUp(self):
        self.folder = tempfile.mkdtemp(prefix="pearbarrow-docs-")
        self.addCleanup(shutil.rmtree, self.folder, ignore_errors=True)
        ports = FreePorts()
        example = os.path.join(self.folder, "examples", "one-machine")
        shutil.copytree(os.path.join(ROOT, "examples", "one-machine"), example)
        for path in glob.glob(os.path.join(example, "*")):
            text = ports.replace(read(path))
            with open(path, "w", encoding="utf-8") as file:
                file.write(text)
        os.mkdir(os.path.join(self.folder, "build"))
        os.symlink(BINARIES, os.path.join(self.folder, "build", "bin"))
        self.demo = os.path.join(self.folder, "demo")
        script = "set -euo pipefail\n" + "".join(BLOCK.findall(read(PAGE)))
        self.script = ports.replace(script).replace(DEMO_FOLDER, self.demo)

    def run_script(self):
        """Output and exit code; afterwards no process that the script started is left."""
        output_path = os.path.join(self.folder, "output")
        with open(output_path, "wb") as output:
            child = subprocess.Popen(["bash", "-c", self.script], cwd=self.folder, stdout=output,
                                     stderr=subprocess.STDOUT, start_new_session=True)
            try:
                code = child.wait(PAGE_SECONDS)
            except subprocess.TimeoutExpired:
                code = None
            try:
                os.killpg(child.pid, signal.SIGKILL)
                left = True
            except ProcessLookupError:
                left = False
            child.wait()
        return read(output_path), code, left

    def logs(self):
        return "\n".join(f"{path}:\n{read(path)[-1500:]}"
                         for path in sorted(glob.glob(os.path.join(self.demo, "*.log"))))

    def test_the_commands_of_the_page_work(self):
        output, code, left = self.run_script()
        self.assertEqual(code, 0, output[-5000:] + self.logs())
        self.assertFalse(left, "the page's commands left processes behind")
        for expected in ("settings are good", "is in force on all live nodes", "event: result",
                         '"executed":"yes"', '"tier": "gold"', "\nverified\n"):
            self.assertIn(expected, output)

    def test_a_wrong_command_is_noticed(self):
        self.script = self.script.replace("pearbarrowctl nodes", "pearbarrowctl no-such-command")
        _, code, _ = self.run_script()
        self.assertNotIn(code, (0, None))


class Examples(unittest.TestCase):
    def test_every_settings_file_is_good(self):
        files = glob.glob(os.path.join(ROOT, "examples", "*", "*.toml"))
        self.assertGreaterEqual(len(files), 10)
        for path in files:
            run = subprocess.run([os.path.join(BINARIES, "pearbarrowd"), "--check-settings",
                                  "--settings", path], capture_output=True, text=True)
            self.assertEqual(run.returncode, 0, path + ": " + run.stdout + run.stderr)

    def test_every_objects_file_is_accepted_by_a_node(self):
        with fleet.Fleet(BUILD_DIR) as processes:
            node = processes.start_node("node-1", "zone-a", seeds=[])
            node.wait_ready()
            texts = {path: read(path) for path in
                     glob.glob(os.path.join(ROOT, "examples", "*", "objects.json"))}
            page = os.path.join(ROOT, "docs", "objects.md")
            texts[page] = OBJECTS.search(read(page))[1]
            for path, text in texts.items():
                objects = json.loads(text)
                status, _, answer = node.operate("POST", "apply?dry_run=true", objects)
                self.assertEqual(status, 200, f"{path}: {answer}")


class Links(unittest.TestCase):
    def test_every_link_of_the_pages_leads_to_a_file(self):
        pages = [os.path.join(ROOT, name) for name in ("README.md", "CONTRIBUTING.md")]
        pages += glob.glob(os.path.join(ROOT, "docs", "**", "*.md"), recursive=True)
        missing = [f"{os.path.relpath(page, ROOT)}: {target}" for page in pages
                   for target in LINK.findall(read(page))
                   if not os.path.exists(os.path.join(os.path.dirname(page), target))]
        self.assertEqual(missing, [])


if __name__ == "__main__":
    unittest.main()
