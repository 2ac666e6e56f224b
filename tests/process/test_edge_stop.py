"""Edges that are stopped while callers wait for responses, against separate processes (stop_rig.py)."""
import concurrent.futures
import json
import multiprocessing
import os
import pathlib
import random
import tempfile
import unittest

import stop_rig

BUILD = pathlib.Path(os.environ.get("PEARBARROW_BUILD_DIR", stop_rig.ROOT / "build"))
SEED = int(os.environ.get("PEARBARROW_SOAK_SEED", "1"))
SOAK_SECONDS = 8
PLAYED = ["soak", "slow_readers", "partial_requests", "kept_connections", "backlog", "streams", "fast_calls"]


def play(scenario):
    # The fleets of the other scenarios are started at the same time.
    stop_rig.stand_ins.next_port = (PLAYED.index(scenario) * stop_rig.stand_ins.PORT_COUNT
                                    // len(PLAYED) + random.randrange(1000))
    with tempfile.TemporaryDirectory() as folder:
        return stop_rig.play(scenario, SEED, pathlib.Path(folder), BUILD / "bin" / "pearbarrow-fleet",
                             SOAK_SECONDS)


class EdgeStop(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        # Each needs ports of its own, so no process shares the state of this one.
        cls.pool = concurrent.futures.ProcessPoolExecutor(3, multiprocessing.get_context("spawn"))
        cls.results = {scenario: cls.pool.submit(play, scenario) for scenario in PLAYED}

    @classmethod
    def tearDownClass(cls):
        cls.pool.shutdown()

    def check(self, scenario):
        result = self.results[scenario].result()
        self.assertTrue(stop_rig.holds(result), json.dumps(result))

    def test_responses_that_are_read_slowly_arrive_whole(self):
        self.check("slow_readers")

    def test_requests_that_are_still_arriving_are_answered(self):
        self.check("partial_requests")

    def test_requests_on_kept_connections_are_answered_or_closed_at_once(self):
        self.check("kept_connections")

    def test_connections_that_the_kernel_has_accepted_are_served(self):
        self.check("backlog")

    def test_streams_arrive_whole(self):
        self.check("streams")

    def test_stops_beside_kills_pauses_and_changes_lose_nothing(self):
        self.check("soak")

    def test_calls_are_answered(self):
        self.check("fast_calls")


if __name__ == "__main__":
    unittest.main()
