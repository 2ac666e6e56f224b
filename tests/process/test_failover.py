"""Owners die, freeze and are replaced while programs run."""

import http.client
import os
import threading
import time
import unittest

import fleet

BUILD_DIR = os.environ.get("PEARBARROW_BUILD_DIR", "build")
KEY = "granite-cellar-key"
TAKEOVER_SECONDS = 3.0
SLOW_ENGINE = ("--min-answer-tokens", "150", "--max-answer-tokens", "200", "--time-scale", "2")


class Failover(unittest.TestCase):
    def setUp(self):
        self.processes = fleet.Fleet(BUILD_DIR)
        self.addCleanup(self.processes.close)
        self.caller = fleet.Caller(KEY)

    def start(self, engine_arguments=()):
        platform = self.processes.start_platform()
        engines = [self.processes.start_engine(f"engine-{index}", *engine_arguments)
                   for index in (1, 2)]
        self.nodes = self.processes.start_nodes(["zone-a", "zone-b", "zone-c"], platform)
        version = self.nodes[0].apply(
            fleet.standard_objects(engines, [], {"granite-cellar": KEY}))
        for node in self.nodes:
            node.wait_version(version)

    def owner_of(self, program):
        """The node that serves the program's shard: the one with more programs than before."""
        for node in self.nodes:
            _, _, answer = node.operate("GET", "shards")
            for shard in answer["shards"]:
                if shard["state"] == "serving" and shard["programs"] > 0:
                    return node
        raise fleet.FleetError(f"nobody owns the shard of {program}")

    def open_with_first_turn(self):
        program = self.caller.open_program(self.nodes[0].caller)
        status, _, body = self.caller.call(self.nodes[0].caller, program,
                                           fleet.model_call(1, "first", 32))
        self.assertEqual(status, 200, body)
        owner = self.owner_of(program)
        others = [node for node in self.nodes if node is not owner]
        return program, owner, others

    def next_turn(self, node, program, number):
        begun = time.monotonic()
        status, _, body = self.caller.call(node.caller, program,
                                           fleet.model_call(number, "next", 32))
        self.assertEqual(status, 200, body)
        return time.monotonic() - begun

    def test_the_next_turn_is_served_after_the_owner_was_killed(self):
        self.start()
        program, owner, others = self.open_with_first_turn()
        owner.kill()
        seconds = self.next_turn(others[0], program, 2)
        print(f"next turn {seconds:.3f} s after a kill of the owner", flush=True)
        self.assertLess(seconds, TAKEOVER_SECONDS)
        _, _, history = self.caller.history(others[1].caller, program)
        self.assertEqual([message["role"] for message in history["messages"]],
                         ["user", "assistant", "user", "assistant"])

    def test_a_stream_goes_on_after_its_owner_was_killed(self):
        self.start(SLOW_ENGINE)
        program, owner, others = self.open_with_first_turn()
        stream = self.caller.stream(others[0].caller, program, fleet.model_call(2, "long", 200))
        events = stream.events()
        seen = [next(events) for _ in range(10)]
        owner.kill()
        seen += list(events)
        stream.close()
        text, _, result = fleet.read_stream(seen)
        self.assertIsNotNone(result)
        self.assertEqual(text, result["output"])
        self.assertEqual(result["number"], 2)

    def test_a_frozen_owner_is_replaced_and_does_no_harm_when_it_wakes(self):
        self.start()
        program, owner, others = self.open_with_first_turn()
        owner.pause()
        seconds = self.next_turn(others[0], program, 2)
        print(f"next turn {seconds:.3f} s after the owner froze", flush=True)
        owner.resume()
        self.next_turn(others[1], program, 3)
        fleet.wait_for(lambda: self.caller.program(owner.caller, program)[0] == 200, 15,
                       "the woken node to serve callers")
        self.next_turn(owner, program, 4)
        _, _, history = self.caller.history(owner.caller, program)
        self.assertEqual(len(history["messages"]), 8)


class RollingRestart(unittest.TestCase):
    def test_no_request_fails_while_all_nodes_restart_one_by_one(self):
        with fleet.Fleet(BUILD_DIR) as processes:
            platform = processes.start_platform()
            engines = [processes.start_engine(f"engine-{index}") for index in (1, 2)]
            nodes = processes.start_nodes(["zone-a", "zone-b", "zone-c"], platform)
            version = nodes[0].apply(
                fleet.standard_objects(engines, [], {"granite-cellar": KEY}))
            for node in nodes:
                node.wait_version(version)
            load = Load(nodes)
            load.start(4)
            time.sleep(1)
            for index, node in enumerate(nodes):
                load.avoid(index)
                self.assertEqual(node.stop(30), 0, node.log_tail())
                nodes[index] = processes.restart_node(node)
                nodes[index].wait_ready()
                load.use(index, nodes[index])
            time.sleep(1)
            calls, failures = load.stop()
            print(f"{calls} calls during a rolling restart, {len(failures)} failed", flush=True)
            self.assertEqual(failures, [])
            self.assertGreater(calls, 20)


class Load:
    """Callers that run programs without a pause. As a load balancer would, they begin no new request
    at a node that is about to stop; what is under way there must end well. Any answer but 200 and
    any cut stream is a failure."""

    def __init__(self, nodes):
        self.addresses = [node.caller for node in nodes]
        self.avoided = None
        self.calls = 0
        self.failures = []
        self.done = threading.Event()
        self.threads = []

    def avoid(self, index):
        self.avoided = index

    def use(self, index, node):
        self.addresses[index] = node.caller
        self.avoided = None

    def start(self, count):
        self.threads = [threading.Thread(target=self.run, args=(index,)) for index in range(count)]
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.done.set()
        for thread in self.threads:
            thread.join(60)
        return self.calls, self.failures

    def address(self, turn):
        usable = [item for index, item in enumerate(self.addresses) if index != self.avoided]
        return usable[turn % len(usable)]

    def run(self, index):
        try:
            self.run_programs(index)
        except Exception as error:  # pylint: disable=broad-except
            self.failures.append(repr(error))

    def run_programs(self, index):
        caller = fleet.Caller(KEY)
        while not self.done.is_set():
            program = caller.open_program(self.address(index))
            for number in range(1, 6):
                stream = caller.stream(self.address(index + number), program,
                                       fleet.model_call(number, f"turn {number}", 48))
                if stream.status != 200:
                    self.failures.append((stream.status, stream.body()))
                    return
                try:
                    text, _, result = fleet.read_stream(stream.events())
                except (OSError, http.client.HTTPException, fleet.FleetError) as error:
                    self.failures.append(repr(error))
                    return
                finally:
                    stream.close()
                if result is None or text != result["output"]:
                    self.failures.append(("not whole", program, number))
                self.calls += 1


if __name__ == "__main__":
    unittest.main()
