"""A program runs end to end through three nodes, two engines and a tool service."""

import os
import subprocess
import sys
import unittest

import fleet

BUILD_DIR = os.environ.get("PEARBARROW_BUILD_DIR", "build")
HERE = os.path.dirname(os.path.abspath(__file__))


class WholePath(unittest.TestCase):
    def test_quickstart_job(self):
        done = subprocess.run(
            [sys.executable, os.path.join(HERE, "quickstart_job.py"), "--build-dir", BUILD_DIR],
            capture_output=True, text=True, timeout=120, check=False)
        self.assertEqual(done.returncode, 0, done.stdout + done.stderr)
        self.assertIn("summary: 3 calls", done.stdout)

    def test_another_tenants_program_does_not_exist(self):
        with fleet.Fleet(BUILD_DIR) as processes:
            platform = processes.start_platform()
            engine = processes.start_engine("engine-1")
            nodes = processes.start_nodes(["zone-a", "zone-b", "zone-c"], platform)
            version = nodes[0].apply(
                fleet.standard_objects([engine], [], {"one": "key-one", "two": "key-two"}))
            for node in nodes:
                node.wait_version(version)
            program = fleet.Caller("key-one").open_program(nodes[0].caller)
            rival = fleet.Caller("key-two")
            for node in nodes:
                status, _, body = rival.program(node.caller, program)
                self.assertEqual(status, 404)
                status, _, other = rival.program(node.caller, "0" * 32)
                self.assertEqual(status, 404)
                self.assertEqual(body["reason"], other["reason"])
                self.assertEqual(rival.call(node.caller, program,
                                            fleet.model_call(1, "hello"))[0], 404)
            status, _, _ = fleet.Caller("wrong").program(nodes[0].caller, program)
            self.assertEqual(status, 401)


if __name__ == "__main__":
    unittest.main()
