"""Requests that end their back ends, against separate processes (lethal_rig.py)."""
import json
import os
import pathlib
import tempfile
import unittest

import lethal_rig

BUILD = pathlib.Path(os.environ.get("PEARBARROW_BUILD_DIR", lethal_rig.ROOT / "build"))
SEED = int(os.environ.get("PEARBARROW_SOAK_SEED", "1"))


class LethalRequests(unittest.TestCase):
    def check(self, scenario):
        with tempfile.TemporaryDirectory() as folder:
            result = lethal_rig.play(scenario, SEED, pathlib.Path(folder),
                                     BUILD / "bin" / "pearbarrow-fleet")
        self.assertLessEqual(result["most_ends"], lethal_rig.MAX_ENDS, json.dumps(result))
        self.assertEqual(result["calm_blocked"], [], json.dumps(result))
        return result

    def test_request_under_which_listeners_outlive_connections_ends_at_most_three(self):
        self.check("connections_end_150_ms_before_listener")

    def test_request_under_which_back_ends_end_slowly_ends_at_most_three(self):
        self.check("connections_end_1_s_before_listener")

    def test_request_whose_caller_leaves_silent_back_ends_ends_at_most_three(self):
        self.check("silent_caller_leaves")

    def test_request_whose_first_edge_is_killed_ends_at_most_three(self):
        self.check("edge_killed_with_the_first_end")

    def test_six_lethal_requests_at_once_end_at_most_three_each(self):
        self.check("six_lethal")

    def test_broken_streams_of_running_back_ends_block_nobody(self):
        result = self.check("only_broken_streams")
        self.assertNotIn("request_may_end_back_ends", result["calm_answers"])


if __name__ == "__main__":
    unittest.main()
