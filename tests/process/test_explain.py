"""Operators read and verify the decisions of any tenant's calls, also after the deciders are gone."""

import json
import os
import subprocess
import threading
import unittest

import fleet

BUILD_DIR = os.environ.get("PEARBARROW_BUILD_DIR", "build")
KEY = "granite-cellar-key"
SLOW_ENGINE = ("--min-answer-tokens", "150", "--max-answer-tokens", "200", "--time-scale", "2")


class Explain(unittest.TestCase):
    def setUp(self):
        self.processes = fleet.Fleet(BUILD_DIR)
        self.addCleanup(self.processes.close)
        self.caller = fleet.Caller(KEY)

    def start(self):
        """Three nodes and one engine that runs one call at a time."""
        platform = self.processes.start_platform()
        engine = self.processes.start_engine("engine-1", *SLOW_ENGINE)
        tool = self.processes.start_tool("tools-1")
        self.nodes = self.processes.start_nodes(["zone-a", "zone-b", "zone-c"], platform)
        objects = fleet.standard_objects([engine], [tool], {"granite-cellar": KEY})
        for item in objects:
            if item["kind"] == "engine":
                item["spec"]["capacity"] = {"sequences": 1}
        version = self.nodes[0].apply(objects)
        for node in self.nodes:
            node.wait_version(version)
        self.key_file = os.path.join(self.processes.folder, "operator.key")
        with open(self.key_file, "w", encoding="utf-8") as file:
            file.write(fleet.OPERATOR_KEY)

    def control(self, node, *arguments):
        """pearbarrowctl's exit code, its JSON (or none) and its errors."""
        command = [os.path.join(self.processes.binaries, "pearbarrowctl"), "--server", node.operator,
                   "--key-file", self.key_file, "-o", "json", *arguments]
        done = subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)
        answer = json.loads(done.stdout) if done.stdout.strip() else None
        return done.returncode, answer, done.stderr

    def explained(self, node, program, number=1):
        code, answer, errors = self.control(node, "explain", f"{program}/{number}")
        self.assertEqual(code, 0, errors)
        return answer

    def check_verified(self, node, program, number=1):
        code, answer, errors = self.control(node, "verify", f"{program}/{number}")
        self.assertEqual(code, 0, f"{errors} {answer}")
        self.assertTrue(answer["verified"])
        self.assertTrue(answer["decisions"])

    def owner_of(self, program):
        for node in self.nodes:
            for shard in node.operate("GET", "shards")[2]["shards"]:
                if shard["state"] == "serving" and shard["programs"] > 0:
                    return node
        raise fleet.FleetError(f"nobody owns the shard of {program}")

    def run_two_at_once(self):
        """Two programs' calls on the engine that takes one at a time; both programs."""
        programs = [self.caller.open_program(self.nodes[0].caller) for _ in range(2)]
        answers = {}

        def run(program):
            answers[program] = self.caller.call(self.nodes[0].caller, program,
                                                fleet.model_call(1, "hello " + program, 200))

        threads = [threading.Thread(target=run, args=(program,)) for program in programs]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(60)
        for program in programs:
            self.assertEqual(answers[program][0], 200, answers[program])
        return programs

    def refused_call(self):
        program = self.caller.open_program(self.nodes[1].caller)
        body = fleet.model_call(1, "hello")
        body["model"] = "a-model-that-nobody-serves"
        status, _, answer = self.caller.call(self.nodes[1].caller, program, body)
        self.assertGreaterEqual(status, 400)
        self.assertEqual(answer["executed"], "no")
        return program, answer["reason"]

    def test_placed_delayed_and_refused_calls(self):
        self.start()
        programs = self.run_two_at_once()
        refused, reason = self.refused_call()
        self.check_all(self.nodes[2], programs, refused, reason)

        owner = self.owner_of(programs[0])
        owner.kill()
        survivors = [node for node in self.nodes if node is not owner]
        self.check_all(survivors[0], programs, refused, reason)
        owner = self.processes.restart_node(owner)
        owner.wait_ready()
        for node in survivors:
            node.kill()
            restarted = self.processes.restart_node(node)
            restarted.wait_ready()
        self.check_all(owner, programs, refused, reason)

    def check_all(self, node, programs, refused, reason):
        waits = []
        for program in programs:
            answer = self.explained(node, program)
            self.assertEqual(answer["state"], "done")
            decision = answer["decisions"][-1]
            self.assertEqual((decision["outcome"], decision["backend"]), ("granted", "engine-1"))
            self.assertEqual(decision["tenant"], "granite-cellar")
            self.assertEqual(decision["matched_rules"], ["everything"])
            waits.append(decision["waited_ms"])
            self.check_verified(node, program)
        self.assertGreater(max(waits), 0, "one of both calls had to wait for the other")
        answer = self.explained(node, refused)
        self.assertEqual((answer["state"], answer["reason"]), ("failed", reason))
        self.assertEqual(answer["decisions"][-1]["outcome"], "refused")
        self.check_verified(node, refused)

    def test_callers_keys_open_no_operators_door(self):
        self.start()
        program = self.caller.open_program(self.nodes[0].caller)
        path = f"/programs/{program}/calls/1/explain"
        status, _, _ = fleet.request(self.nodes[0].operator, "GET", "/operator/v1" + path, None,
                                     self.caller.headers)
        self.assertEqual(status, 401)
        for prefix in ("/v1", "/operator/v1"):
            status, _, _ = fleet.request(self.nodes[0].caller, "GET", prefix + path, None,
                                         self.caller.headers)
            self.assertEqual(status, 404)
        code, _, errors = self.control(self.nodes[0], "explain", "0" * 32 + "/1")
        self.assertEqual(code, 1, errors)


if __name__ == "__main__":
    unittest.main()
