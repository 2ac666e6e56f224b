"""Engines' memory of programs that have ended is given back, and that of others is left alone."""

import os
import time
import unittest

import fleet

BUILD_DIR = os.environ.get("PEARBARROW_BUILD_DIR", "build")
KEY = "granite-cellar-key"
INTERVAL = "[timing]\ncache_reconcile_interval_ms = 500\n"
LEASE_MS = 600_000


class CacheReconciliation(unittest.TestCase):
    def setUp(self):
        self.processes = fleet.Fleet(BUILD_DIR)
        self.addCleanup(self.processes.close)
        self.caller = fleet.Caller(KEY)
        platform = self.processes.start_platform()
        self.engine = self.processes.start_engine("engine-1")
        self.nodes = self.processes.start_nodes(["zone-a", "zone-b", "zone-c"], platform,
                                                shard_count=1, extra=INTERVAL)
        version = self.nodes[0].apply(
            fleet.standard_objects([self.engine], [], {"granite-cellar": KEY}))
        for node in self.nodes:
            node.wait_version(version)

    def open_with_turn(self):
        program = self.caller.open_program(self.nodes[0].caller)
        status, _, body = self.caller.call(self.nodes[0].caller, program,
                                           fleet.model_call(1, "first", 32))
        self.assertEqual(status, 200, body)
        return program

    def pin(self, program, attempt):
        """What a late attempt does, whose owner is gone: it runs and pins for its program."""
        headers = {"X-Request-Id": attempt, "X-Program-Id": program, "X-Call-Number": "9",
                   "X-Cache-Lease-Ms": str(LEASE_MS)}
        body = {"model": "pearl-8b", "max_tokens": 8, "stream": False,
                "messages": [{"role": "user", "content": "a late attempt " * 20}]}
        status, _, answer = fleet.request(self.engine.address, "POST", "/v1/chat/completions",
                                          body, headers)
        self.assertEqual(status, 200, answer)
        self.assertIn(program, self.held())

    def held(self):
        _, _, listing = fleet.request(self.engine.address, "GET", "/v1/cache")
        for key in ("programs", "holdings"):
            if key in listing:
                return {item["program"] for item in listing[key]}
        raise fleet.FleetError(f"a listing without programs: {listing}")

    def owner(self):
        for node in self.nodes:
            for shard in node.operate("GET", "shards")[2]["shards"]:
                if shard["state"] == "serving" and shard["owner"] == node.name:
                    return node
        raise fleet.FleetError("nobody owns the shard")

    def test_what_an_attempt_pins_after_the_release_is_freed(self):
        live, ended = self.open_with_turn(), self.open_with_turn()
        self.pin(live, "late-live")
        self.assertEqual(self.caller.end_program(self.nodes[0].caller, ended)[0] // 100, 2)
        fleet.wait_for(lambda: ended not in self.held(), 15, "the release")
        self.pin(ended, "late-ended")
        self.pin("0123456789abcdef0123456789abcdef", "never-opened")
        fleet.wait_for(lambda: self.held() == {live}, 20, "the orphans to be freed")

    def test_the_memory_comes_back_when_the_owner_dies_while_it_releases(self):
        ended = self.open_with_turn()
        self.pin(ended, "late-1")
        owner = self.owner()
        self.engine.pause()
        status, _, body = self.caller.end_program(self.nodes[0].caller, ended)
        self.assertEqual(status // 100, 2, body)
        owner.kill()
        self.engine.resume()
        fleet.wait_for(lambda: ended not in self.held(), 30, "the next owner to free the memory")
        self.pin(ended, "late-2")
        fleet.wait_for(lambda: ended not in self.held(), 30, "the orphan to be freed")

    def test_nothing_is_freed_while_no_owner_can_be_asked(self):
        program = self.open_with_turn()
        self.pin(program, "late")
        for node in self.nodes[1:]:
            node.kill()
        for _ in range(6):
            self.assertIn(program, self.held())
            time.sleep(0.5)
        self.assertIn(program, self.held())


if __name__ == "__main__":
    unittest.main()
