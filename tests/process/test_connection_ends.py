"""Connections that end without a stop, against separate processes (connection_rig.py)."""
import concurrent.futures
import json
import multiprocessing
import os
import pathlib
import random
import tempfile
import unittest

import connection_rig

BUILD = pathlib.Path(os.environ.get("PEARBARROW_BUILD_DIR", connection_rig.ROOT / "build"))
PROGRAM = pathlib.Path(os.environ.get("PEARBARROW_FLEET", BUILD / "bin" / "pearbarrow-fleet"))
# Decides the order in which the scenarios of a fleet are played.
SEED = int(os.environ.get("PEARBARROW_SOAK_SEED", "1"))
FLEETS = [
    ["read_steadily", "limits_grew"],
    ["pipelined_read_steadily", "idle_timeout_grew"],
    ["signals_at_start", "log_reader_ends", "refused"],
    ["arrive_during_pause", "posts_during_pause", "new_during_pause", "long_header"],
]


def play(number):
    names = list(FLEETS[number])
    random.Random(SEED).shuffle(names)
    # The other fleets are started at the same time.
    stand_ins = connection_rig.stand_ins
    stand_ins.next_port = (number * stand_ins.PORT_COUNT // len(FLEETS) + random.randrange(1000))
    options = connection_rig.SCENARIOS[names[0]].get("options", {})
    with tempfile.TemporaryDirectory() as folder:
        return connection_rig.play(names, pathlib.Path(folder), PROGRAM, **options)


class ConnectionEnds(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        # Each needs ports of its own, so no process shares the state of this one.
        cls.pool = concurrent.futures.ProcessPoolExecutor(len(FLEETS),
                                                          multiprocessing.get_context("spawn"))
        cls.fleets = [cls.pool.submit(play, number) for number in range(len(FLEETS))]

    @classmethod
    def tearDownClass(cls):
        cls.pool.shutdown()

    def result(self, name):
        number = next(number for number, names in enumerate(FLEETS) if name in names)
        result = self.fleets[number].result()[name]
        print(json.dumps({name: result}), flush=True)
        return result

    def test_responses_that_are_read_steadily_arrive_whole(self):
        self.assertEqual(self.result("read_steadily"), {"ends": {"200": 8}})

    def test_request_behind_a_response_that_is_read_steadily_is_answered(self):
        self.assertEqual(self.result("pipelined_read_steadily"), {"ends": ["200", "200"]})

    def test_requests_that_arrive_while_the_process_pauses_are_answered(self):
        for name in ("arrive_during_pause", "posts_during_pause", "new_during_pause"):
            with self.subTest(name):
                self.assertEqual(self.result(name)["during"], {"200": 400})

    def test_kept_connections_follow_limits_that_grow(self):
        self.assertEqual(self.result("limits_grew"), {"ends": {"200": 4}})
        self.assertEqual(self.result("idle_timeout_grew"), {"ends": {"200": 20}})

    def test_refusals_reach_callers_that_send_everything_first(self):
        for name, end in self.result("refused")["ends"].items():
            with self.subTest(name):
                self.assertEqual(end, name[:3])

    def test_long_header_does_not_end_the_process(self):
        self.assertEqual(self.result("long_header"), {"end": "431", "code": None})

    def test_signal_to_reload_does_not_end_a_starting_process(self):
        ends = {name: count for name, count in self.result("signals_at_start").items()
                if "in main" in name}
        self.assertTrue(ends)
        for name in ends:
            self.assertTrue(name.endswith(": None"), ends)

    def test_process_continues_when_the_reader_of_its_log_ends(self):
        self.assertEqual(self.result("log_reader_ends"), {"code": None, "ends": {"200": 5}})


if __name__ == "__main__":
    unittest.main()
