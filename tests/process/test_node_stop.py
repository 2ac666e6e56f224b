"""A node that stops answers every request, and a dead peer does not fill the logs."""

import http.client
import json
import os
import threading
import time
import unittest

import fleet

BUILD_DIR = os.environ.get("PEARBARROW_BUILD_DIR", "build")
KEY = "granite-cellar-key"
SLOW_ENGINE = ("--min-answer-tokens", "150", "--max-answer-tokens", "200", "--time-scale", "4")


class NodeStop(unittest.TestCase):
    def setUp(self):
        self.processes = fleet.Fleet(BUILD_DIR)
        self.addCleanup(self.processes.close)
        self.caller = fleet.Caller(KEY)
        platform = self.processes.start_platform()
        engine = self.processes.start_engine("engine-1", *SLOW_ENGINE)
        self.nodes = self.processes.start_nodes(["zone-a", "zone-b", "zone-c"], platform)
        version = self.nodes[0].apply(
            fleet.standard_objects([engine], [], {"granite-cellar": KEY}))
        for node in self.nodes:
            node.wait_version(version)

    def test_new_requests_are_served_or_refused_at_once_while_a_stream_ends(self):
        node = self.nodes[0]
        program = self.caller.open_program(node.caller)
        stream = self.caller.stream(node.caller, program, fleet.model_call(1, "long", 200))
        events = stream.events()
        seen = [next(events) for _ in range(3)]
        stopping = threading.Thread(target=lambda: setattr(self, "code", node.stop(40)))
        stopping.start()
        stream_ended = threading.Event()
        answers, cut_early = [], []

        def ask():
            while node.exit_code is None:
                try:
                    answers.append(fleet.request(node.caller, "GET", f"/v1/programs/{program}", None,
                                                 self.caller.headers))
                except (OSError, http.client.HTTPException) as error:
                    if not stream_ended.is_set():
                        cut_early.append(repr(error))
                time.sleep(0.02)

        asking = threading.Thread(target=ask)
        asking.start()
        seen += list(events)
        stream_ended.set()
        stream.close()
        stopping.join(60)
        asking.join(60)
        text, _, result = fleet.read_stream(seen)
        self.assertEqual(text, result["output"])
        self.assertEqual(self.code, 0, node.log_tail())
        self.assertEqual(cut_early, [], "a request was not answered while the stream ran")
        refused = 0
        for status, headers, body in answers:
            if status == 200:
                continue
            refused += 1
            self.assertEqual((status, body["reason"], body["executed"]),
                             (503, "node_stopping", "no"), body)
            self.assertGreaterEqual(int(headers["Retry-After"]), 1)
        print(f"{len(answers)} requests while stopping, {refused} refused", flush=True)
        self.assertGreater(len(answers), 5)

    def test_a_dead_peer_is_logged_once(self):
        self.nodes[2].kill()
        time.sleep(6)
        for node in self.nodes[:2]:
            with open(node.log_path, encoding="utf-8") as log:
                lost = [line for line in log if '"peer_link_lost"' in line]
            print(f"{node.name}: {len(lost)} lines", flush=True)
            self.assertLessEqual(len(lost), 6, "".join(lost[:8]))


if __name__ == "__main__":
    unittest.main()
