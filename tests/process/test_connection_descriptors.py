"""An edge whose file descriptors run out, against separate processes (connection_rig.py)."""
import os
import pathlib
import tempfile
import unittest

import connection_rig

BUILD = pathlib.Path(os.environ.get("PEARBARROW_BUILD_DIR", connection_rig.ROOT / "build"))
PROGRAM = pathlib.Path(os.environ.get("PEARBARROW_FLEET", BUILD / "bin" / "pearbarrow-fleet"))


class ConnectionDescriptors(unittest.TestCase):
    def result(self, name):
        options = connection_rig.SCENARIOS[name].get("options", {})
        with tempfile.TemporaryDirectory() as folder:
            return connection_rig.play([name], pathlib.Path(folder), PROGRAM, **options)[name]

    def test_connections_are_rejected_at_once_when_descriptors_run_out(self):
        result = self.result("descriptors")
        self.assertEqual(set(result["more"]) - {"200", "503"}, set(), result)
        self.assertGreater(result["more"].get("503", 0), 0, result)
        self.assertEqual(result["running"], {"200": 20}, result)
        self.assertEqual(result["running_again"], {"200": 20}, result)
        self.assertEqual(result["after"], {"200": 10}, result)
        self.assertEqual((result["accept_failed"], result["code"]), (0, None), result)


if __name__ == "__main__":
    unittest.main()
