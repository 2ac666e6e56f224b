"""Streams whose back ends restart at another software version, against separate processes (stream_rig.py)."""
import concurrent.futures
import json
import multiprocessing
import os
import pathlib
import random
import tempfile
import unittest

import stream_rig

BUILD = pathlib.Path(os.environ.get("PEARBARROW_BUILD_DIR", stream_rig.ROOT / "build"))
SEED = int(os.environ.get("PEARBARROW_SOAK_SEED", "1"))
PLAYED = ["silent", "silent_late_entry", "restarted_before_streams",
          "restarted_before_streams_broken_after_entry", "reset", "dropped", "unstated", "swapped",
          "reports_silent", "reports_reset", "reports_restarted_before", "warm_edge_killed"]


def play(scenario):
    # The fleets of the other scenarios are started at the same time.
    stream_rig.stand_ins.next_port = (PLAYED.index(scenario) * stream_rig.stand_ins.PORT_COUNT
                                      // len(PLAYED) + random.randrange(500))
    with tempfile.TemporaryDirectory() as folder:
        return stream_rig.play(scenario, SEED, pathlib.Path(folder), BUILD / "bin" / "pearbarrow-fleet")


class StreamVersions(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        # Each needs ports of its own, so no process shares the state of this one.
        cls.pool = concurrent.futures.ProcessPoolExecutor(4, multiprocessing.get_context("spawn"))
        cls.results = {scenario: cls.pool.submit(play, scenario) for scenario in PLAYED}

    @classmethod
    def tearDownClass(cls):
        cls.pool.shutdown()

    def check(self, scenario):
        result = self.results[scenario].result()
        self.assertTrue(stream_rig.holds(result), json.dumps(result))
        return result

    def test_stream_stays_at_its_version_when_a_process_restarts_unseen(self):
        for scenario in ("silent", "silent_late_entry", "unstated", "reports_silent", "swapped"):
            self.check(scenario)

    def test_stream_that_began_under_a_late_entry_starts_anew(self):
        for scenario in ("restarted_before_streams", "restarted_before_streams_broken_after_entry",
                         "reports_restarted_before"):
            result = self.check(scenario)
            self.assertGreater(result["ends"].get("stream_version_unknown", 0), 0, json.dumps(result))

    def test_streams_go_on_while_their_version_serves(self):
        for scenario in ("reset", "dropped", "reports_reset", "warm_edge_killed"):
            result = self.check(scenario)
            self.assertGreaterEqual(2 * result["went_on"], result["broken_off"], json.dumps(result))


if __name__ == "__main__":
    unittest.main()
