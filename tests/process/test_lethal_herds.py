"""Lethal requests whose back ends leave as announced and whose nodes are killed (lethal_rig.py)."""
import json
import os
import pathlib
import tempfile
import unittest

import lethal_rig

BUILD = pathlib.Path(os.environ.get("PEARBARROW_BUILD_DIR", lethal_rig.ROOT / "build"))
SEED = int(os.environ.get("PEARBARROW_SOAK_SEED", "1"))


class LethalHerds(unittest.TestCase):
    def check(self, scenario):
        with tempfile.TemporaryDirectory() as folder:
            result = lethal_rig.play(scenario, SEED, pathlib.Path(folder),
                                     BUILD / "bin" / "pearbarrow-fleet")
        self.assertLessEqual(result["most_ends"], lethal_rig.MAX_ENDS, json.dumps(result))
        self.assertEqual(result["calm_blocked"], [], json.dumps(result))

    def test_request_that_ends_draining_back_ends_ends_at_most_three(self):
        self.check("draining_back_ends")

    def test_request_that_ends_unlisted_back_ends_ends_at_most_three(self):
        self.check("unlisted_back_ends")

    def test_request_whose_edges_are_killed_at_each_end_ends_at_most_three(self):
        self.check("all_edges_killed_at_each_end")

    def test_request_whose_nodes_are_killed_at_each_end_ends_at_most_three(self):
        self.check("all_nodes_killed_at_each_end")

    def test_requests_end_at_most_three_while_nodes_fail_in_herds_and_back_ends_depart(self):
        self.check("soak_herds_recorded")

    def test_request_whose_nodes_are_killed_at_the_first_end_ends_at_most_three(self):
        self.check("all_nodes_killed_at_the_first_end")

    def test_get_whose_nodes_are_killed_at_the_first_end_ends_at_most_three(self):
        self.check("all_nodes_killed_at_the_first_end_get")

    def test_get_whose_nodes_are_killed_at_the_second_end_ends_at_most_three(self):
        self.check("all_nodes_killed_at_the_second_end_get")

    def test_stream_without_a_program_ends_at_most_three(self):
        self.check("all_edges_killed_at_the_first_end_without_a_program")

    def test_plain_requests_end_at_most_three_while_nodes_fail_in_herds(self):
        self.check("soak_herds_plain")


if __name__ == "__main__":
    unittest.main()
