"""Configured limits hold over all nodes, and refusals come at once with a time to come back."""

import os
import threading
import time
import unittest

import fleet

BUILD_DIR = os.environ.get("PEARBARROW_BUILD_DIR", "build")
LIMITS = {
    "few-programs": {"programs_at_once": 3},
    "slow-rate": {"calls_per_second": 0.2, "call_burst": 2},
    "few-tokens": {"tokens_in_flight": 600},
    "small-budget": {"budget": 500, "turns": 2},
    "free": {},
}


class Limits(unittest.TestCase):
    def setUp(self):
        self.processes = fleet.Fleet(BUILD_DIR)
        self.addCleanup(self.processes.close)
        platform = self.processes.start_platform()
        engines = [self.processes.start_engine("engine-1", "--min-answer-tokens", "100",
                                               "--max-answer-tokens", "100", "--time-scale", "2")]
        tool = self.processes.start_tool("tools-1")
        self.nodes = self.processes.start_nodes(["zone-a", "zone-b", "zone-c"], platform)
        objects = fleet.standard_objects(engines, [tool], {name: "key-" + name for name in LIMITS})
        for item in objects:
            if item["kind"] == "tenant":
                item["spec"]["limits"] = LIMITS[item["name"]]
        version = self.nodes[0].apply(objects)
        for node in self.nodes:
            node.wait_version(version)
        self.callers = {name: fleet.Caller("key-" + name) for name in LIMITS}

    def open(self, tenant, node, budget=100_000):
        return fleet.request(node.caller, "POST", "/v1/programs",
                             {"program_class": "agent", "token_budget": budget},
                             self.callers[tenant].headers)

    def check_refused(self, answer, reason, status=429):
        code, headers, body = answer
        self.assertEqual((code, body.get("reason"), body.get("executed")), (status, reason, "no"), body)
        if status == 429:
            self.assertGreaterEqual(int(headers["Retry-After"]), 1)
            self.assertGreater(body["retry_after_ms"], 0)

    def open_at_once(self, count):
        """Opens programs through all nodes at the same time; the answers."""
        answers = [None] * count

        def run(index):
            answers[index] = self.open("few-programs", self.nodes[index % len(self.nodes)])

        threads = [threading.Thread(target=run, args=(index,)) for index in range(count)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(30)
        return answers

    def test_programs_at_once_are_counted_over_all_nodes(self):
        answers = self.open_at_once(12)
        opened = [body["id"] for status, _, body in answers if status == 201]
        self.assertEqual(len(opened), LIMITS["few-programs"]["programs_at_once"])
        for answer in answers:
            if answer[0] != 201:
                self.check_refused(answer, "tenant_concurrency")
        self.assertEqual(self.open("free", self.nodes[0])[0], 201)
        caller = self.callers["few-programs"]
        self.assertEqual(caller.end_program(self.nodes[0].caller, opened[0])[0], 200)
        fleet.wait_for(lambda: self.open("few-programs", self.nodes[1])[0] == 201, 10,
                       "the room of the ended program")
        self.check_refused(self.open("few-programs", self.nodes[2]), "tenant_concurrency")

    def test_limits_hold_after_a_node_was_killed(self):
        answers = self.open_at_once(6)
        self.assertEqual(sum(answer[0] == 201 for answer in answers), 3)
        self.nodes.pop().kill()
        fleet.wait_for(lambda: self.open("free", self.nodes[0])[0] == 201, 20, "the survivors")
        time.sleep(5)
        for node in self.nodes:
            self.check_refused(self.open("few-programs", node), "tenant_concurrency")

    def test_the_rate_is_shared_by_all_nodes(self):
        caller = self.callers["slow-rate"]
        programs = [self.open("slow-rate", node)[2]["id"] for node in self.nodes]
        answers = [caller.call(node.caller, program, fleet.tool_call(1, "lookup", {}))
                   for node, program in zip(self.nodes, programs)]
        self.assertEqual([answer[0] for answer in answers[:2]], [200, 200], answers)
        self.check_refused(answers[2], "tenant_rate")
        time.sleep(answers[2][2]["retry_after_ms"] / 1000)
        status, _, body = caller.call(self.nodes[2].caller, programs[2],
                                      fleet.tool_call(1, "lookup", {}))
        self.assertEqual(status, 200, body)
        status, _, body = caller.call(self.nodes[1].caller, programs[2],
                                      fleet.tool_call(1, "lookup", {}))
        self.assertEqual(status, 200, f"a repeat takes no turn: {body}")

    def test_tokens_in_flight_are_counted_over_all_nodes(self):
        caller = self.callers["few-tokens"]
        programs = [self.open("few-tokens", node)[2]["id"] for node in self.nodes]
        stream = caller.stream(self.nodes[0].caller, programs[0], fleet.model_call(1, "long", 400))
        events = stream.events()
        next(events)
        self.check_refused(caller.call(self.nodes[1].caller, programs[1],
                                       fleet.model_call(1, "more", 400)), "tenant_tokens_in_flight")
        status, headers, body = caller.call(self.nodes[1].caller, programs[1],
                                            fleet.model_call(1, "most", 601))
        self.assertEqual((status, body["reason"]), (429, "tenant_tokens_in_flight"), body)
        self.assertFalse(body.get("retry_after_ms"), "coming back can't help")
        for _ in events:
            pass
        stream.close()
        fleet.wait_for(lambda: caller.call(self.nodes[1].caller, programs[1],
                                           fleet.model_call(1, "more", 400))[0] == 200, 20,
                       "the tokens of the call that is done")

    def test_budget_and_turns_are_bounded(self):
        self.check_refused(self.open("small-budget", self.nodes[0], 501), "budget_above_limit", 400)
        program = self.open("small-budget", self.nodes[0], 500)[2]["id"]
        caller = self.callers["small-budget"]
        for number in (1, 2):
            status, _, body = caller.call(self.nodes[1].caller, program,
                                          fleet.tool_call(number, "lookup", {"n": number}))
            self.assertEqual(status, 200, body)
        status, _, body = caller.call(self.nodes[2].caller, program,
                                      fleet.tool_call(3, "lookup", {"n": 3}))
        self.assertEqual(body["reason"], "turn_limit", body)


if __name__ == "__main__":
    unittest.main()
