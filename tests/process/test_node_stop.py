"""A node that stops answers every request, and a dead peer does not fill the logs."""

import http.client
import json
import os
import socket
import threading
import time
import unittest

import fleet

BUILD_DIR = os.environ.get("PEARBARROW_BUILD_DIR", "build")
KEY = "granite-cellar-key"
SLOW_ENGINE = ("--min-answer-tokens", "150", "--max-answer-tokens", "200", "--time-scale", "4",
               "--cache-blocks", "1000000", "--prefill-token-us", "0.01")
ENDLESS_ENGINE = ("--min-answer-tokens", "150", "--max-answer-tokens", "200", "--time-scale", "100")
# Each character has six bytes in JSON, and counts as one byte of the prompt.
LONG_MESSAGE = "\x01" * 1_000_000
SLOW_READERS = 4
SLOW_BYTES_PER_SECOND = 1_000_000
SMALL_RECEIVE_BUFFER = 16_384
SEGMENT = 1_448


class SlowReader:
    """A request on a connection of its own, whose response is read at a steady rate."""

    def __init__(self, address, path, headers, receive_buffer=SMALL_RECEIVE_BUFFER):
        self.head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        self.request = f"GET {path} HTTP/1.1\r\nHost: {address}\r\n{self.head}\r\n".encode()
        self.socket = socket.socket()
        # With small buffers and the segments of a network, most of a response waits in the server.
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT)
        self.socket.settimeout(20)
        self.socket.connect(fleet.split_address(address))
        self.status, self.length, self.body = 0, -1, bytearray()
        self.error = ""

    def send(self, begin=0, end=None):
        self.socket.sendall(self.request[begin:end])

    def read_head(self):
        head = b""
        while b"\r\n\r\n" not in head:
            data = self.socket.recv(8_192)
            if not data:
                return
            head += data
        head, _, body = head.partition(b"\r\n\r\n")
        self.body += body
        lines = head.decode().split("\r\n")
        fields = dict(line.lower().split(": ", 1) for line in lines[1:])
        self.status, self.length = int(lines[0].split()[1]), int(fields["content-length"])

    def read_body(self, rate=SLOW_BYTES_PER_SECOND):
        began = time.monotonic()
        try:
            while len(self.body) < self.length:
                data = self.socket.recv(8_192)
                if not data:
                    break
                self.body += data
                time.sleep(max(0, len(self.body) / rate - (time.monotonic() - began)))
        except OSError as error:
            self.error = repr(error)

    def is_whole(self):
        return self.length == len(self.body)

    def close(self):
        self.socket.close()


def objects_with(engine):
    objects = fleet.standard_objects([engine], [], {"granite-cellar": KEY})
    for each in objects:
        if each["kind"] == "engine":
            each["spec"]["capacity"] = {"context_tokens": 10_000_000}
    return objects


def open_long_program(caller, node):
    """A program whose history contains `LONG_MESSAGE`."""
    program = caller.open_program(node.caller, budget=100_000_000)
    status, _, body = caller.call(node.caller, program, fleet.model_call(1, LONG_MESSAGE, 200))
    if status != 200:
        raise fleet.FleetError(f"the call was answered with {status}: {body}")
    return program


def events_of(node, event):
    """The lines of the node's log with this event."""
    with open(node.log_path, encoding="utf-8") as log:
        return [line for line in map(json.loads, log) if line["event"] == event]


class NodeStop(unittest.TestCase):
    def setUp(self):
        self.processes = fleet.Fleet(BUILD_DIR)
        self.addCleanup(self.processes.close)
        self.caller = fleet.Caller(KEY)
        platform = self.processes.start_platform()
        engine = self.processes.start_engine("engine-1", *SLOW_ENGINE)
        self.nodes = self.processes.start_nodes(["zone-a", "zone-b", "zone-c"], platform)
        version = self.nodes[0].apply(objects_with(engine))
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

    def test_responses_that_are_read_slowly_arrive_whole(self):
        node = self.nodes[0]
        program = open_long_program(self.caller, node)
        readers = [SlowReader(node.caller, f"/v1/programs/{program}/history", self.caller.headers)
                   for _ in range(SLOW_READERS)]
        for reader in readers:
            self.addCleanup(reader.close)
            reader.send()
            reader.read_head()
        reading = [threading.Thread(target=reader.read_body) for reader in readers]
        for thread in reading:
            thread.start()
        began = time.monotonic()
        code = node.stop(40)
        took = time.monotonic() - began
        for thread in reading:
            thread.join(40)
        for reader in readers:
            print(f"status {reader.status}, {len(reader.body)} of {reader.length} bytes {reader.error}",
                  flush=True)
        print(f"the node took {took:.2f} s to stop", flush=True)
        for reader in readers:
            self.assertEqual((reader.status, reader.error), (200, ""))
            self.assertGreater(reader.length, 6 * len(LONG_MESSAGE))
            self.assertEqual(len(reader.body), reader.length)
            json.loads(reader.body)
        self.assertEqual(code, 0, node.log_tail())
        self.assertEqual(events_of(node, "drain_timeout") + events_of(node, "response_undelivered"), [])

    def test_requests_that_are_arriving_are_answered(self):
        node = self.nodes[0]
        program = self.caller.open_program(node.caller)
        callers = {
            "caller": SlowReader(node.caller, f"/v1/programs/{program}", self.caller.headers),
            "operator": SlowReader(node.operator, "/operator/v1/status",
                                   {"Authorization": "Bearer " + fleet.OPERATOR_KEY}),
        }
        for caller in callers.values():
            self.addCleanup(caller.close)
            caller.send(end=30)
        time.sleep(0.2)
        stopping = threading.Thread(target=lambda: setattr(self, "code", node.stop(40)))
        stopping.start()
        time.sleep(4)
        for caller in callers.values():
            try:
                caller.send(begin=30)
            except OSError as error:
                caller.error = repr(error)
            else:
                caller.read_head()
                caller.read_body()
        stopping.join(40)
        results = {name: (caller.status, caller.is_whole(), caller.error)
                   for name, caller in callers.items()}
        print(results, flush=True)
        self.assertEqual(results["caller"], (503, True, ""))
        self.assertEqual(json.loads(callers["caller"].body)["reason"], "node_stopping")
        self.assertEqual(results["operator"], (200, True, ""))
        self.assertEqual(self.code, 0, node.log_tail())

    def test_a_dead_peer_is_logged_once(self):
        self.nodes[2].kill()
        time.sleep(6)
        for node in self.nodes[:2]:
            with open(node.log_path, encoding="utf-8") as log:
                lost = [line for line in log if '"peer_link_lost"' in line]
            print(f"{node.name}: {len(lost)} lines", flush=True)
            self.assertLessEqual(len(lost), 6, "".join(lost[:8]))


class StopTimeout(unittest.TestCase):
    def test_a_response_that_is_not_read_is_given_up_at_the_timeout_and_logged(self):
        processes = fleet.Fleet(BUILD_DIR)
        self.addCleanup(processes.close)
        caller = fleet.Caller(KEY)
        engine = processes.start_engine("engine-1", *SLOW_ENGINE)
        node = processes.start_node("node-1", "zone-a", seeds=[],
                                    extra="[timing]\ndrain_timeout_ms = 4000")
        node.wait_ready()
        node.wait_version(node.apply(objects_with(engine)))
        program = open_long_program(caller, node)
        reader = SlowReader(node.caller, f"/v1/programs/{program}/history", caller.headers)
        arriving = SlowReader(node.caller, f"/v1/programs/{program}", caller.headers)
        for each in (reader, arriving):
            self.addCleanup(each.close)
        reader.send()
        reader.read_head()
        arriving.send(end=30)
        time.sleep(0.2)
        began = time.monotonic()
        code = node.stop(40)
        took = time.monotonic() - began
        arriving.read_head()
        lost = events_of(node, "response_undelivered")
        print(f"stopped after {took:.2f} s: {lost}", flush=True)
        self.assertEqual(code, 0, node.log_tail())
        self.assertGreater(took, 3.9)
        self.assertLess(took, 8)
        self.assertEqual(arriving.status, 503)
        self.assertEqual([line["responses"] for line in events_of(node, "drain_timeout")], [2])
        peer = "{}:{}".format(*reader.socket.getsockname())
        self.assertEqual([(line["peer"], line["stage"], line["reason"]) for line in lost],
                         [(peer, "unsent", "node_stopped")])
        self.assertGreater(lost[0]["bytes"], 1_000_000)
        self.assertEqual(len(events_of(node, "stopped")), 1)

    def test_a_call_in_progress_gets_a_response_when_the_stop_is_over(self):
        processes = fleet.Fleet(BUILD_DIR)
        self.addCleanup(processes.close)
        caller = fleet.Caller(KEY)
        engine = processes.start_engine("engine-1", *ENDLESS_ENGINE)
        node = processes.start_node("node-1", "zone-a", seeds=[],
                                    extra="[timing]\ndrain_timeout_ms = 2000")
        node.wait_ready()
        node.wait_version(node.apply(objects_with(engine)))
        called, streamed = (caller.open_program(node.caller) for _ in range(2))
        stream = caller.stream(node.caller, streamed, fleet.model_call(1, "long", 200))
        events = stream.events()
        first = next(events)
        self.addCleanup(stream.close)
        response = []
        calling = threading.Thread(target=lambda: response.append(
            caller.call(node.caller, called, fleet.model_call(1, "long", 200))))
        calling.start()
        time.sleep(0.3)
        code = node.stop(40)
        calling.join(40)
        print(response, flush=True)
        status, headers, body = response[0]
        self.assertEqual((status, body["reason"], body["executed"]), (503, "node_stopping", "unknown"))
        self.assertGreaterEqual(int(headers["Retry-After"]), 1)
        last = [first, *events][-1]
        self.assertEqual((last["event"], json.loads(last["data"])["reason"]), ("error", "node_stopping"))
        self.assertEqual(code, 0, node.log_tail())
        self.assertEqual(events_of(node, "response_undelivered"), [])


if __name__ == "__main__":
    unittest.main()
