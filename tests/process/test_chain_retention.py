"""Programs that go on for longer than the retention of their turns, against separate processes (chain_rig.py)."""
import concurrent.futures
import json
import multiprocessing
import os
import pathlib
import random
import tempfile
import unittest

import chain_rig

BUILD = pathlib.Path(os.environ.get("PEARBARROW_BUILD_DIR", chain_rig.ROOT / "build"))
SEED = int(os.environ.get("PEARBARROW_SOAK_SEED", "1"))
PLAYED = ["calm", "restart_all", "replace_in_series", "freeze", "slow_turns", "nodes"]


def play(scenario):
    # The fleets of the other scenarios are started at the same time.
    chain_rig.stand_ins.next_port = (PLAYED.index(scenario) * chain_rig.stand_ins.PORT_COUNT
                                     // len(PLAYED) + random.randrange(1000))
    with tempfile.TemporaryDirectory() as folder:
        return chain_rig.play(scenario, SEED, pathlib.Path(folder), BUILD / "bin" / "pearbarrow-fleet")


class ChainRetention(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        # The scenarios mostly wait, so they run at the same time, each with a fleet of its own.
        # Each needs ports of its own, so no process shares the state of this one.
        cls.pool = concurrent.futures.ProcessPoolExecutor(
            len(PLAYED), multiprocessing.get_context("spawn"))
        cls.results = {scenario: cls.pool.submit(play, scenario) for scenario in PLAYED}

    @classmethod
    def tearDownClass(cls):
        cls.pool.shutdown()

    def check(self, scenario):
        result = self.results[scenario].result()
        self.assertTrue(chain_rig.holds(result), json.dumps(result))

    def test_chain_that_is_continued_outlives_the_retention_of_its_first_turn(self):
        self.check("calm")

    def test_chain_is_kept_when_all_members_restart(self):
        self.check("restart_all")

    def test_chain_is_kept_while_disks_are_replaced(self):
        self.check("replace_in_series")

    def test_member_that_missed_turns_serves_their_chains(self):
        self.check("freeze")

    def test_turn_that_takes_longer_than_the_retention_can_be_continued(self):
        self.check("slow_turns")

    def test_chain_is_kept_while_nodes_fail(self):
        self.check("nodes")


if __name__ == "__main__":
    unittest.main()
