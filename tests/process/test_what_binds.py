"""What scripts/what-binds makes of log lines. No process is started."""

import importlib.machinery
import importlib.util
import json
import pathlib
import sys
import unittest

SCRIPT = pathlib.Path(__file__).resolve().parents[2] / "scripts" / "what-binds"


def load_script():
    sys.dont_write_bytecode = True
    loader = importlib.machinery.SourceFileLoader("what_binds", str(SCRIPT))
    module = importlib.util.module_from_spec(importlib.util.spec_from_loader("what_binds", loader))
    loader.exec_module(module)
    return module


def line(second, **fields):
    return "  1.5 edge-1 " + json.dumps({"time": f"2026-01-01T00:00:{second:02}.000Z", "event": "request_ended", **fields})


class WhatBinds(unittest.TestCase):
    def setUp(self):
        self.script = load_script()

    def table(self, *lines):
        return self.script.table_of(self.script.entries_of(lines), 2)

    def test_a_late_request_is_put_down_to_its_costliest_step(self):
        counts, spent = self.table(
            line(0, reason="served", steps={"preparing": 5, "generating": 700, "longest_gap": 900}),
            line(3, reason="served", steps={"preparing": 600, "generating": 200}))
        self.assertEqual(counts[0], {"late: generating": 1})
        self.assertEqual(counts[2], {"late: preparing": 1})
        self.assertEqual(spent, {"late: generating": 700, "late: preparing": 600})

    def test_one_that_was_not_served_is_put_down_to_its_reason(self):
        counts, spent = self.table(line(0, reason="time_up", milliseconds=4000, steps={"preparing": 1}))
        self.assertEqual(counts[0], {"not served: time_up": 1})
        self.assertEqual(spent, {"not served: time_up": 4000})

    def test_what_is_no_loss_or_no_request_is_passed_over(self):
        counts, _ = self.table(
            line(0, reason="budget_exceeded", steps={"preparing": 1}),
            line(0, reason="served"),
            "no json", "{broken", json.dumps(["a list"]))
        self.assertFalse(counts)

    def test_work_is_added_up_by_role_and_cause(self):
        def work(node, role, **counts):
            return json.dumps({"time": "2026-01-01T00:00:00.000Z", "event": "node_work", "node": node, "role": role,
                               "counts": counts})
        lines = [work("e1", "edge", calls=2), work("e1", "edge", calls=3), work("e2", "edge", calls=1),
                 work("s1", "storage", calls=7), "no line of ours"]
        table = self.script.work_of(self.script.entries_of(lines))
        self.assertEqual(table["edge"], {"calls": (6, 5, 2)})
        self.assertEqual(table["storage"], {"calls": (7, 7, 1)})


if __name__ == "__main__":
    unittest.main()
