"""What scripts/changed-sites makes of a site file. No process is started."""

import importlib.machinery
import importlib.util
import pathlib
import re
import sys
import unittest

SCRIPT = pathlib.Path(__file__).resolve().parents[2] / "scripts" / "changed-sites"
SITE = """name = "made-up"
machines = [
  { class = "front", cpu_share = 0.12, memory_mb = 88, zone = "a", count = 4, spare = 0 },
  { class = "store", zone = "a", count = 3, spare = 1, cpu_share = 0.3, memory_mb = 120 },
]
services = [
  { name = "lm", servers = [{ zone = "a", count = 5 }], slots = 16, conn_cap = 400 },
]
traffic = [
  { zone = "a", per_s = 40.0, clients = 60 },
]
troubles = [
  { kind = "node_kill", count = 2 },
]
[tolerate]
machines = 2
[platform]
writes_per_s = 1000.0
[[day]]
wall = 10.0
traffic = [
  { zone = "a", per_s = 30.0, clients = 60 },
]
"""


def load_script():
    sys.dont_write_bytecode = True
    loader = importlib.machinery.SourceFileLoader("changed_sites", str(SCRIPT))
    module = importlib.util.module_from_spec(importlib.util.spec_from_loader("changed_sites", loader))
    loader.exec_module(module)
    return module


class ChangedSites(unittest.TestCase):
    def setUp(self):
        self.script = load_script()
        self.grown = self.script.grown_site(SITE, 3.0, self.script.random.Random(1))

    def numbers(self, field):
        return [float(text) for text in re.findall(rf"\b{field} = (\d+(?:\.\d+)?)", self.grown)]

    def test_machines_back_ends_and_callers_grow_alike(self):
        # The last one is a trouble's, which strikes as many machines as before.
        self.assertEqual(self.numbers("count"), [12, 9, 15, 2])
        self.assertEqual(self.numbers("per_s"), [120, 90])
        self.assertEqual(self.numbers("clients"), [180, 180])

    def test_none_stays_none(self):
        self.assertEqual(self.numbers("spare"), [0, 3])

    def test_the_outside_service_grows_by_less(self):
        self.assertGreater(self.numbers("writes_per_s")[0], 1000)
        self.assertLess(self.numbers("writes_per_s")[0], 3000)
        self.assertLess(self.numbers("conn_cap")[0], 1200)

    def test_machines_are_smaller_and_losses_as_many(self):
        self.assertTrue(all(share <= before for share, before in zip(self.numbers("cpu_share"), [0.12, 0.3])))
        self.assertIn("[tolerate]\nmachines = 2", self.grown)

    def test_storage_machines_get_a_part_of_their_processor(self):
        small = self.script.with_store_cpu(SITE, 0.1)
        self.assertIn('class = "store", zone = "a", count = 3, spare = 1, cpu_share = 0.0300', small)
        self.assertIn('class = "front", cpu_share = 0.12,', small)

    def test_a_seed_makes_the_same_site_again(self):
        self.assertEqual(self.script.changed_site(SITE, 7, 2.0), self.script.changed_site(SITE, 7, 2.0))
        self.assertNotEqual(self.script.changed_site(SITE, 7), self.script.changed_site(SITE, 8))

    def test_a_broken_rule_is_seen(self):
        self.assertEqual(self.script.verdict_of_hunt("x\n3 days on made-up, 1 with a rule broken\n")[1], False)
        self.assertEqual(self.script.verdict_of_hunt("3 days on made-up, 0 with a rule broken")[1], True)
        self.assertEqual(self.script.verdict_of_hunt("the build failed")[1], False)
        self.assertEqual(self.script.verdict_of_day("day-1 4/5 0.8")[1], True)
        self.assertEqual(self.script.verdict_of_day("day-1 4/5 BROKEN: LOST")[1], False)


if __name__ == "__main__":
    unittest.main()
