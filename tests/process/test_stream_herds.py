"""Streams that are resumed after all edges were killed, against separate processes (stream_rig.py)."""
import json
import os
import pathlib
import tempfile
import unittest

import stream_rig

BUILD = pathlib.Path(os.environ.get("PEARBARROW_BUILD_DIR", stream_rig.ROOT / "build"))
SEED = int(os.environ.get("PEARBARROW_SOAK_SEED", "1"))


class StreamHerds(unittest.TestCase):
    def play(self, scenario):
        with tempfile.TemporaryDirectory() as folder:
            result = stream_rig.play(scenario, SEED, pathlib.Path(folder),
                                     BUILD / "bin" / "pearbarrow-fleet")
        self.assertTrue(stream_rig.holds(result), json.dumps(result))
        return result

    def test_unnamed_stream_is_not_joined_after_its_version_has_left(self):
        for scenario in ("edges_killed_before_unnamed", "edges_killed_during_unnamed",
                         "nodes_killed_before_unnamed"):
            self.play(scenario)

    def test_streams_go_on_while_their_version_serves(self):
        for scenario in ("edges_killed_serving", "edges_killed_serving_unnamed",
                         "nodes_killed_serving_unnamed", "edges_killed_sole_version_unnamed"):
            result = self.play(scenario)
            self.assertGreaterEqual(2 * result["went_on"], result["broken_off"], json.dumps(result))


if __name__ == "__main__":
    unittest.main()
