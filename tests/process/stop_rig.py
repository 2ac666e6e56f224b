"""Edges that are stopped while callers wait for responses, against separate processes.

The store, the back ends and the callers are the stand-ins of `review/common`. A scenario states which
callers an edge has and which of them send until the process is gone. The result counts what each
request got, the requests that were lost, and how each process ended.
"""
import argparse
import asyncio
import bisect
import collections
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "review" / "common"))
import stand_ins  # noqa: E402

import disturbances  # noqa: E402


class Node(stand_ins.Node):
    async def start(self):
        self.folder.mkdir(exist_ok=True)
        file = self.folder / "node.toml"
        # The file system may wait for the disk when a file is overwritten.
        await asyncio.to_thread(file.write_text, self.settings(), encoding="utf-8")
        await super().start()

    def signal(self, number):
        self.fleet.record(f"node {self.name}: gets {signal.Signals(number).name}")
        # `send_signal` would take the exit code of a process that has just ended from asyncio.
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, number)


# `stand_ins.Fleet` creates its nodes by this name.
stand_ins.Node = Node

# Times in seconds after SIGTERM. Edges accept connections until `LISTENS`, and have ended by
# `STOP_TIMEOUT`. A back end that is still at work after `LATE` may lose its caller.
LISTENS = 2.6
STOP_TIMEOUT = 8.0
LATE = STOP_TIMEOUT * 5 / 6
# A request without a response counts as lost when its connection ends later than this.
LOSS_SLACK = 0.2
# A connection whose first request comes later counts as a kept one.
FIRST_REQUEST_DELAY = 0.1
# Four fifths of the shortest `idle_timeout_ms`: the longest rest of a connection before its use.
LONGEST_REST = 4.0
# Traffic begins so long before SIGTERM.
LEAD = 1.0
# Callers may go on so long after the end of the process, with bytes that the kernel has.
AFTER_END = 6.0
SEGMENT = 1_448
READY_SECONDS = 30
ROUTE_TIMEOUT_MS = 20_000
MB = 1_000_000


@dataclasses.dataclass(frozen=True)
class Scenario:
    """The kinds of callers: one edge each, in turn, or all kinds at each edge."""

    callers: tuple
    edges: int = 6
    rounds: int = 2
    # Time between the SIGTERM of one edge and that of the next one.
    interval: float = 0.0
    # Signals that follow: times after SIGTERM and names.
    signals: tuple = ()
    # SIGTERM comes within this time of the start of the process; 0: when all edges are ready.
    early: float = 0.0
    # Shortly before SIGTERM the store falls silent, and the members get this signal.
    dependencies: str = ""
    # Edges are stopped, killed and started at random for so long, with all `disturbances`.
    seconds: float = 0.0
    members: int = 3
    # Kinds of callers of each life of an edge.
    kinds_of_life: int = 3


SCENARIOS = {
    "fast_calls": Scenario(("fast_calls",)),
    "streams": Scenario(("streams",)),
    "slow_readers": Scenario(("large_responses", "small_responses")),
    "kept_connections": Scenario(("kept_connections", "pipelines")),
    "partial_requests": Scenario(("partial_requests",)),
    "backlog": Scenario(("backlog",), interval=0.1),
    "http10": Scenario(("old_callers", "waiting_bodies")),
    "signals": Scenario(("fast_calls", "large_responses", "streams"),
                        signals=((0.5, "SIGHUP"), (1.0, "SIGTERM"), (3.0, "SIGHUP"), (3.2, "SIGTERM"))),
    "early": Scenario(("fast_calls", "kept_connections"), rounds=3, early=0.4),
    "all_edges": Scenario(("long_calls",)),
    "dependencies_stopped": Scenario(("turns", "fast_calls"), rounds=1, dependencies="SIGSTOP"),
    "dependencies_killed": Scenario(("turns", "fast_calls"), rounds=1, dependencies="SIGKILL"),
    "stuck_reader": Scenario(("stuck_readers",)),
    "soak": Scenario((), edges=5, seconds=60),
    "many_edges": Scenario((), edges=40, members=5, seconds=40, kinds_of_life=1),
    "some_edges": Scenario((), edges=20, members=5, seconds=40, kinds_of_life=1),
}
# Callers that a process may leave without their responses.
UNOWED = ("stuck_readers",)
SOAKED = ("fast_calls", "streams", "large_responses", "small_responses", "kept_connections", "pipelines",
          "deaf_callers", "partial_requests", "backlog", "old_callers", "waiting_bodies", "long_calls",
          "turns", "stuck_readers", "added_routes")


@dataclasses.dataclass
class Request:
    """What a caller saw. Times as in the record, in seconds."""

    identity: str
    kind: str
    stop: "Stop" = dataclasses.field(repr=False)
    # Its first bytes followed the opening of the connection, or came long before the close.
    is_owed: bool = True
    began_at: float = 0.0
    # When the opening of the connection began, if it is owed.
    connecting_at: float = 0.0
    # The time after its last byte.
    sent_at: float = 0.0
    # When the head of its response had arrived.
    body_at: float = 0.0
    ended_at: float = 0.0
    # "whole", "closed" (also a reset), "refused" (at connect), "unsent" (the process had ended).
    end: str = ""
    status: int = 0
    received: int = 0
    expected: int = -1
    # When the caller began with it or, if it is owed, with its connection.
    made_at: float = 0.0
    # How long its caller waited for bytes of the body that had not arrived.
    waited: float = 0.0


@dataclasses.dataclass
class Run:
    began_at: float
    finished_at: float = float("inf")


@dataclasses.dataclass
class Stop:
    """One life of an edge and its end."""

    edge: stand_ins.Node
    at: float
    took: float = 0.0
    code: int = -1
    killed_at: float = float("inf")
    is_over: bool = False


def event_of(number, identity):
    return f"id: {number}\ndata: piece {number} of {identity}\n\n"


class BackEnd(stand_ins.Runner):
    """Does what the query of the target says: `work` (seconds), `size` (bytes), `events`."""

    def __init__(self, rig, name, zone, service="lm"):
        super().__init__(name, service, zone, rig.record, slots=500)
        self.rig = rig

    async def run(self, request, writer, headers):
        query = dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(request.target).query))
        run = Run(self.record.now())
        self.rig.runs.setdefault(headers["Pearbarrow-Request-Id"], []).append(run)
        work, events = float(query.get("work", 0)), int(query.get("events", 0))
        if events:
            await self.send_events(writer, headers, events, work / events)
        else:
            await asyncio.sleep(work)
            size = int(query.get("size", 4))
            body = b"" if request.method == "HEAD" else b"x" * size
            writer.write(stand_ins.head_of(200, {**headers, "Content-Length": size}) + body)
            await writer.drain()
        run.finished_at = self.record.now()


class Store(stand_ins.Store):
    """A store that can fall silent."""

    def __init__(self):
        super().__init__()
        self.is_silent = False
        self.other_port = stand_ins.free_port()
        self.other_server = None

    @property
    def other_address(self):
        return f"127.0.0.1:{self.other_port}"

    async def start(self):
        await super().start()
        self.other_server = await asyncio.start_server(self.serve, "127.0.0.1", self.other_port)

    async def handle(self, request, writer):
        while self.is_silent:
            await asyncio.sleep(0.1)
        await super().handle(request, writer)


class LifeOver(ConnectionError):
    """The process has ended, and the next one may listen already."""


class Link:
    """A connection of a caller."""

    def __init__(self, rig, stop, receive_buffer=0):
        self.rig, self.stop = rig, stop
        self.socket = socket.socket()
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # With segments of a network instead of those of the loopback, the kernel buffers less.
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT)
        if receive_buffer:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.socket.setblocking(False)
        self.buffer = b""
        self.answered = 0
        self.connecting_at = self.connected_at = float("-inf")

    async def __aenter__(self):
        if self.stop.is_over:
            raise LifeOver
        self.connecting_at = self.rig.record.now()
        await asyncio.get_running_loop().sock_connect(
            self.socket, ("127.0.0.1", self.stop.edge.caller))
        self.connected_at = self.rig.record.now()
        return self

    async def __aexit__(self, *_):
        self.socket.close()

    async def send(self, data):
        try:
            await asyncio.get_running_loop().sock_sendall(self.socket, data)
        except ConnectionError:
            pass  # What the peer has sent before can still be read.

    async def receive(self, most=262_144):
        data = await asyncio.get_running_loop().sock_recv(self.socket, most)
        if not data:
            raise EOFError
        self.buffer += data

    async def receive_until(self, mark):
        while mark not in self.buffer:
            await self.receive()
        part, self.buffer = self.buffer.split(mark, 1)
        return part

    async def discard(self, size, request, read_by):
        """Receives a body or a chunk of it. Reads steadily until `read_by` if that is not 0."""
        received = 0
        while received < size:
            if not self.buffer:
                asked_at = time.monotonic()
                await self.receive(16_384 if read_by else 262_144)
                request.waited += time.monotonic() - asked_at
            part = self.buffer[:size - received]
            self.buffer = self.buffer[len(part):]
            received += len(part)
            request.received += len(part)
            if read_by:
                reading_time = max(0, read_by - request.body_at)
                due_at = request.body_at + reading_time * request.received / request.expected
                ahead = due_at - self.rig.record.now()
                if ahead > 0.002:
                    await asyncio.sleep(ahead)

    async def discard_until_end(self, request):
        try:
            while True:
                await self.discard(1, request, 0)
        except EOFError:
            pass

    async def read_response(self, request, is_head=False, read_by=0.0):
        """Reads the response of `request`. Returns whether the connection is kept."""
        request.is_owed = self.answered == 0 and \
            (request.began_at or request.sent_at) - self.connected_at < FIRST_REQUEST_DELAY
        if request.is_owed:
            request.connecting_at = self.connecting_at
            request.made_at = min(request.made_at, self.connected_at)
        try:
            lines = [""]
            while not lines[0] or " 100 " in lines[0]:
                lines = (await self.receive_until(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            request.status = int(lines[0].split()[1])
            headers = {name.lower(): value.strip()
                       for name, value in (line.split(":", 1) for line in lines[1:])}
            request.body_at = self.rig.record.now()
            if is_head:
                pass
            elif headers.get("transfer-encoding") == "chunked":
                size = 1
                while size:
                    size = int(await self.receive_until(b"\r\n"), 16)
                    await self.discard(size, request, read_by)
                    await self.receive_until(b"\r\n")
            elif "content-length" in headers:
                await self.discard(int(headers["content-length"]), request, read_by)
            else:
                await self.discard_until_end(request)
            request.end = "whole"
            self.answered += 1
            return headers.get("connection", "").lower() != "close" and \
                not lines[0].startswith("HTTP/1.0")
        except (EOFError, ConnectionError):
            request.end = "closed"
            return False
        finally:
            request.ended_at = self.rig.record.now()


class Rig:
    def __init__(self, scenario, seed, folder):
        self.scenario, self.seed = scenario, seed
        self.random = random.Random(seed)
        self.record = stand_ins.Record(folder / "record.txt")
        self.fleet = stand_ins.Fleet(self.record, edges=scenario.edges, storage=scenario.members)
        self.fleet.store = Store()
        self.fleet.runners = [BackEnd(self, f"i-{number}", self.fleet.zones[number % 3])
                              for number in range(4)]
        if scenario.seconds:
            self.fleet.runners += [BackEnd(self, f"o-{number}", self.fleet.zones[number], "other")
                                   for number in range(2)]
        self.disturbances = disturbances.Disturbances(self)
        self.config = None
        self.requests, self.runs, self.stops = [], {}, []
        self.tasks = []
        self.soaks_until = 0.0
        # Times at which this process was late, and by how much.
        self.lag_times, self.lags = [], []

    def spawn(self, work):
        self.tasks.append(asyncio.create_task(work))
        return self.tasks[-1]

    async def measure_lag(self):
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.01)
            lag = time.monotonic() - before - 0.01
            if lag > 0.01:
                self.lag_times.append(self.record.now())
                self.lags.append(lag)

    def lag_between(self, begin, end):
        first, last = (bisect.bisect(self.lag_times, when) for when in (begin, end + 0.05))
        return sum(self.lags[first:last + 1])

    def lag_at(self, when):
        """How late this process was when it saw what it saw at `when`."""
        return sum(lag for end, lag in zip(self.lag_times, self.lags) if end - lag <= when <= end + 0.05)

    def is_stopped_for(self, stop, seconds):
        return self.record.now() >= stop.at + seconds

    def new_request(self, stop, kind, **more):
        request = Request(f"{kind}-{len(self.requests)}", kind, stop, made_at=self.record.now(), **more)
        self.requests.append(request)
        return request

    def head(self, request, method="POST", path="tool", body=6, more="", version="1.1", **query):
        target = f"/{path}/x?" + urllib.parse.urlencode(query)
        program = "" if path not in ("agent", "chat") else (
            f"Pearbarrow-Model: m\r\nPearbarrow-Program-Id: {request.identity}\r\n"
            f"Pearbarrow-Session-Id: {request.identity}-s\r\n"
            f"Pearbarrow-Program-Deadline-Ms: {ROUTE_TIMEOUT_MS}\r\n"
            "Pearbarrow-Token-Budget: 1000000\r\nPearbarrow-Token-Usage: 100,288\r\n")
        return (f"{method} {target} HTTP/{version}\r\nHost: shop.example\r\n"
                f"Pearbarrow-Request-Id: {request.identity}\r\n{program}"
                f"Pearbarrow-Deadline-Ms: {ROUTE_TIMEOUT_MS}\r\n"
                f"Content-Length: {body}\r\n{more}\r\n").encode()

    async def call(self, stop, kind, receive_buffer=0, read_by=0.0, body_delay=0, is_head=False,
                   **more):
        """Sends a request on a connection of its own. False: nothing listens any more."""
        request = self.new_request(stop, kind)
        if "size" in more and not is_head:
            request.expected = more["size"]
        elif "events" in more:
            request.expected = sum(len(event_of(number, request.identity))
                                   for number in range(1, more["events"] + 1))
        try:
            async with Link(self, stop, receive_buffer) as link:
                await link.send(self.head(request, method="HEAD" if is_head else "POST",
                                          body=0 if is_head else 6, **more))
                request.began_at = self.record.now()
                await asyncio.sleep(body_delay)
                await link.send(b"" if is_head else b"prompt")
                request.sent_at = self.record.now()
                await link.read_response(request, is_head=is_head, read_by=read_by)
                return True
        except ConnectionError as error:
            request.end = "unsent" if isinstance(error, LifeOver) else "refused"
            request.ended_at = self.record.now()
            request.sent_at = request.ended_at
            return False

    # The kinds of callers. Each has the edge of `stop` until its process is gone.

    async def fast_calls(self, stop):
        async def caller():
            while await self.call(stop, "fast_calls", work=self.random.uniform(0, 0.4),
                                  size=self.random.choice([4, 4, 2_000, 100_000])):
                pass

        async def caller_that_waits(begin, end):
            await asyncio.sleep(max(0, stop.at + begin - self.record.now()))
            await self.call(stop, "fast_calls", work=max(0, stop.at + end - self.record.now()))

        # The last responses come together, when the edge is about to end.
        end = LISTENS + self.random.uniform(0.01, 0.3)
        await asyncio.gather(*(caller() for _ in range(6)),
                             *(caller_that_waits(self.random.uniform(-0.5, 2.2), end)
                               for _ in range(40)))

    async def streams(self, stop):
        last = LISTENS + self.random.uniform(0.01, 2)

        async def caller(end):
            await asyncio.sleep(self.random.uniform(0, LEAD + 2))
            work = max(0.1, stop.at + end - self.record.now())
            await self.call(stop, "streams", path="agent", work=work, events=1 + int(work / 0.1))

        await asyncio.gather(*(caller(last) for _ in range(20)),
                             *(caller(self.random.uniform(2, last)) for _ in range(20)))

    async def slow_readers(self, stop, kind, size, receive_buffer):
        async def caller():
            begin = stop.at + self.random.uniform(-0.5, 1.5)
            end = stop.at + self.random.uniform(4.0, 6.0)
            await asyncio.sleep(max(0, begin - self.record.now()))
            await self.call(stop, kind, receive_buffer=receive_buffer, size=size,
                            read_by=end)

        await asyncio.gather(*(caller() for _ in range(4)))

    async def large_responses(self, stop):
        await self.slow_readers(stop, "large_responses", 8 * MB, 65_536)

    async def small_responses(self, stop):
        await self.slow_readers(stop, "small_responses", 600_000, 8_192)

    async def use_connections(self, stop, use):
        """Uses connections one after the other until none can be opened."""
        while True:
            try:
                async with Link(self, stop) as link:
                    await use(link)
            except ConnectionError:
                return

    async def kept_connections(self, stop):
        async def use(link):
            is_kept = True
            while is_kept:
                # Pauses around the time at which idle connections are closed.
                pause = self.random.uniform(0, 0.1) if link.answered else 0
                if link.answered and not self.is_stopped_for(stop, 0) and self.random.random() < 0.3:
                    pause = stop.at + LISTENS - self.record.now() + self.random.uniform(-0.03, 0.03)
                await asyncio.sleep(max(0, pause))
                request = self.new_request(stop, "kept_connections")
                await link.send(self.head(request, work=self.random.uniform(0, 0.2)) + b"prompt")
                request.sent_at = self.record.now()
                is_kept = await link.read_response(request)

        await asyncio.gather(*(self.use_connections(stop, use) for _ in range(12)))

    async def deaf_callers(self, stop):
        """Callers that go on with a connection until it ends, also after `Connection: close`."""
        async def use(link):
            request = None
            while request is None or request.end == "whole":
                request = self.new_request(stop, "deaf_callers")
                await link.send(self.head(request, work=self.random.uniform(0, 0.1)) + b"prompt")
                request.sent_at = self.record.now()
                await link.read_response(request)

        await asyncio.gather(*(self.use_connections(stop, use) for _ in range(8)))

    async def added_routes(self, stop):
        """Calls of routes that come and go."""
        async def caller():
            while await self.call(stop, "added_routes", work=self.random.uniform(0, 1),
                                  path=f"added{self.random.randrange(disturbances.ADDED_ROUTES)}"):
                await asyncio.sleep(0.05)

        await asyncio.gather(*(caller() for _ in range(8)))

    async def pipelines(self, stop):
        async def use(link):
            is_kept = True
            while is_kept:
                first, second = (self.new_request(stop, "pipelines") for _ in range(2))
                await link.send(self.head(first, work=self.random.uniform(0.1, 1.5)) + b"prompt")
                first.sent_at = self.record.now()
                await asyncio.sleep(self.random.uniform(0, 0.1))
                await link.send(self.head(second, work=0.05) + b"prompt")
                second.sent_at = self.record.now()
                await link.read_response(first)
                is_kept = await link.read_response(second)

        await asyncio.gather(*(self.use_connections(stop, use) for _ in range(12)))

    async def partial_requests(self, stop):
        async def caller(number):
            begin = stop.at + LISTENS - self.random.uniform(0.1, 1.2)
            end = stop.at + LISTENS + self.random.uniform(0.02, 0.6)
            await asyncio.sleep(max(0, begin - LONGEST_REST - self.record.now()))
            try:
                async with Link(self, stop) as link:
                    if number % 2:
                        earlier = self.new_request(stop, "before_partial_requests")
                        await link.send(self.head(earlier) + b"prompt")
                        earlier.sent_at = self.record.now()
                        if not await link.read_response(earlier):
                            return
                    await asyncio.sleep(max(0, begin - self.record.now()))
                    request = self.new_request(stop, "partial_requests", sent_at=float("inf"))
                    data = self.head(request, body=20_000, work=0.1) + b"p" * 20_000
                    # Some stop in the middle of the head.
                    part = 100 if number % 4 == 0 else 10_000
                    await link.send(data[:part])
                    response = asyncio.create_task(link.read_response(request))
                    await asyncio.sleep(max(0, end - self.record.now()))
                    if not response.done():
                        await link.send(data[part:])
                        request.sent_at = self.record.now()
                    await response
                    request.is_owed = True
            except ConnectionError:
                pass

        await asyncio.gather(*(caller(number) for number in range(24)))

    async def backlog(self, stop):
        """New connections, as fast as they can be opened, while the listener is closed."""
        opened = []

        def open_connections():
            while self.record.now() < stop.at + LISTENS - 0.015:
                time.sleep(0.001)
            while len(opened) < 600:
                link = Link(self, stop)
                link.socket.setblocking(True)
                link.socket.settimeout(1)
                try:
                    link.socket.connect(("127.0.0.1", stop.edge.caller))
                except OSError:
                    link.socket.close()
                    return
                link.connected_at = self.record.now()
                request = self.new_request(stop, "backlog")
                try:
                    link.socket.sendall(self.head(request) + b"prompt")
                except OSError:
                    pass
                link.socket.setblocking(False)
                request.sent_at = self.record.now()
                opened.append((link, request))

        async def read(link, request):
            await link.read_response(request)
            link.socket.close()

        await asyncio.get_running_loop().run_in_executor(None, open_connections)
        await asyncio.gather(*(read(link, request) for link, request in opened))

    async def old_callers(self, stop):
        """HTTP/1.0, `Connection: close` and HEAD, also with ends near that of the process."""
        variants = [{"version": "1.0"}, {"more": "Connection: close\r\n"}, {"is_head": True},
                    {"is_head": True, "version": "1.0"}]

        async def caller(number):
            while await self.call(stop, "old_callers", work=self.random.uniform(0, 0.6),
                                  size=self.random.choice([4, 100_000]),
                                  **variants[number % len(variants)]):
                pass

        async def stream(number):
            await asyncio.sleep(self.random.uniform(0, LEAD + 2))
            work = max(0.1, stop.at + LISTENS + self.random.uniform(-0.1, 0.8) - self.record.now())
            await self.call(stop, "old_callers", path="agent", work=work, events=1 + int(work / 0.1),
                            **variants[number % 2])

        await asyncio.gather(*(caller(number) for number in range(8)),
                             *(stream(number) for number in range(12)))

    async def waiting_bodies(self, stop):
        """The body follows later; most callers ask for 100 Continue."""
        async def caller(number):
            more = "Expect: 100-continue\r\n" if number % 3 else ""
            while await self.call(stop, "waiting_bodies", work=self.random.uniform(0, 0.2), more=more,
                                  body_delay=self.random.uniform(0, 0.8)):
                pass

        await asyncio.gather(*(caller(number) for number in range(16)))

    async def long_calls(self, stop):
        async def caller():
            await asyncio.sleep(self.random.uniform(0, LEAD + 2))
            await self.call(stop, "long_calls", work=self.random.uniform(2.6, 4.5),
                            size=self.random.choice([4, 2_000, 100_000]))

        await asyncio.gather(*(caller() for _ in range(40)))

    async def turns(self, stop):
        async def caller():
            await asyncio.sleep(self.random.uniform(0, LEAD + 2))
            work = self.random.uniform(0.2, 3)
            await self.call(stop, "turns", path="chat", work=work, events=1 + int(work / 0.1))

        await asyncio.gather(*(caller() for _ in range(30)))

    async def stuck_readers(self, stop):
        async def caller(**more):
            try:
                async with Link(self, stop, 8_192) as link:
                    request = self.new_request(stop, "stuck_readers")
                    await link.send(self.head(request, **more) + b"prompt")
                    request.sent_at = self.record.now()
                    await asyncio.sleep(LEAD + STOP_TIMEOUT + 1)
                    request.end, request.ended_at = "closed", self.record.now()
            except ConnectionError:
                pass

        await asyncio.gather(*(caller(size=8 * MB) for _ in range(4)),
                             caller(path="agent", events=400, work=20))

    # Stops.

    async def stop(self, edge, delay, kinds):
        stop = Stop(edge, self.record.now() + delay)
        self.stops.append(stop)
        callers = [self.spawn(getattr(self, kind)(stop)) for kind in kinds]
        await asyncio.sleep(delay)
        stop.at = self.record.now()
        edge.signal(signal.SIGTERM)
        for after, name in self.scenario.signals:
            self.spawn(self.signal_later(edge, after, name))
        try:
            stop.code = await asyncio.wait_for(edge.process.wait(), STOP_TIMEOUT + 4)
        except asyncio.TimeoutError:
            await edge.end()
        stop.took = self.record.now() - stop.at
        self.record(f"node {edge.name}: ended after {stop.took:.3f} s with code {stop.code}")
        done, pending = await asyncio.wait(callers, timeout=AFTER_END)
        for task in pending:
            task.cancel()
        for task in done:
            task.result()

    async def signal_later(self, edge, after, name):
        await asyncio.sleep(after)
        if edge.process.returncode is None:
            edge.signal(signal.Signals[name])

    async def lose_dependencies(self):
        await asyncio.sleep(LEAD - 0.3)
        self.fleet.store.is_silent = True
        for member in self.fleet.storage:
            member.signal(signal.Signals[self.scenario.dependencies])

    async def stop_early(self, edge, kinds):
        """Starts the edge and stops it before it is ready, or soon after."""
        await edge.start()
        while True:
            try:
                socket.create_connection(("127.0.0.1", edge.caller), 1).close()
                break
            except OSError:
                await asyncio.sleep(0.005)
        await self.stop(edge, self.random.uniform(0, self.scenario.early), kinds)

    async def soak(self, edge):
        """Lives of an edge. Callers may still read while the next life begins."""
        while True:
            stop = Stop(edge, self.record.now() + LEAD + self.random.uniform(0, 3))
            self.stops.append(stop)
            kinds = self.random.sample(SOAKED, self.scenario.kinds_of_life)
            callers = [self.spawn(getattr(self, kind)(stop)) for kind in kinds]
            others = [self.spawn(work) for work in self.disturbances.of_life(stop)]
            await self.live(stop)
            for task in others:
                task.cancel()
            ends = self.spawn(self.cancel_later(callers))
            if self.record.now() > self.soaks_until:
                await ends
                return
            await asyncio.sleep(self.random.choice([0, 0.5]))
            await edge.start()
            while await self.fleet.readiness(edge) != 200:
                await asyncio.sleep(0.1)

    async def live(self, stop):
        """Ends one life, by SIGTERM and perhaps more signals or by SIGKILL."""
        edge = stop.edge
        is_killed = self.random.random() < 0.15
        signals = [] if is_killed else sorted(self.disturbances.signals_of_stop())
        await asyncio.sleep(max(0, stop.at - self.record.now()))
        stop.at = self.record.now()
        self.end_signal(stop, "SIGKILL" if is_killed else "SIGTERM")
        for after, name in signals:
            try:
                await asyncio.wait_for(edge.process.wait(), max(0.001, stop.at + after - self.record.now()))
                break
            except asyncio.TimeoutError:
                self.end_signal(stop, name)
        try:
            stop.code = await asyncio.wait_for(edge.process.wait(), STOP_TIMEOUT + 4)
        except asyncio.TimeoutError:
            await edge.end()
        stop.took, stop.is_over = self.record.now() - stop.at, True
        self.record(f"node {edge.name}: ended after {stop.took:.3f} s with code {stop.code}")

    def end_signal(self, stop, name):
        self.disturbances.count(f"edge {name}")
        if name == "SIGKILL":
            stop.killed_at = min(stop.killed_at, self.record.now())
        stop.edge.signal(signal.Signals[name])

    async def cancel_later(self, callers):
        done, pending = await asyncio.wait(callers, timeout=AFTER_END)
        for task in pending:
            task.cancel()
        for task in done:
            task.result()

    async def play_round(self):
        scenario = self.scenario
        stops = []
        if scenario.dependencies:
            self.spawn(self.lose_dependencies())
        for number, edge in enumerate(self.fleet.edges):
            kind = scenario.callers[number % len(scenario.callers)]
            if scenario.early:
                stops.append(self.stop_early(edge, (kind,)))
                continue
            stops.append(self.stop(edge, LEAD + number * scenario.interval, (kind,)))
        await asyncio.gather(*stops)

    async def play(self):
        routes = [stand_ins.route("tool", "lm", "idempotent", timeout_ms=ROUTE_TIMEOUT_MS,
                                  slo_ms=2000),
                  stand_ins.route("agent", "lm", "streaming", timeout_ms=ROUTE_TIMEOUT_MS,
                                  slo_ms=2000, target_gap_ms=2000),
                  stand_ins.route("chat", "lm", "streaming", keeps_history=True, retain_s=30.0,
                                  timeout_ms=ROUTE_TIMEOUT_MS, slo_ms=2000, target_gap_ms=2000)]
        services = [{"name": name, "health_path": "/healthz", "max_conns": 2000, "protocol": "h1",
                     "tls": False, "engine": {"slots": 500, "chunk_tokens": 9, "most": 100}}
                    for name in ("lm", "other")[:2 if self.scenario.seconds else 1]]
        self.config = stand_ins.config(routes, services)
        try:
            await self.fleet.start(self.config)
            await self.fleet.wait_until_ready(READY_SECONDS)
            self.spawn(self.measure_lag())
            if self.scenario.seconds:
                self.soaks_until = self.record.now() + self.scenario.seconds
                for work in self.disturbances.of_fleet():
                    self.spawn(work)
                await asyncio.gather(*(self.soak(edge) for edge in self.fleet.edges))
                return self.result()
            if self.scenario.early:
                for edge in self.fleet.edges:
                    await edge.end()
            for number in range(self.scenario.rounds):
                if number > 0 and not self.scenario.early:
                    for edge in self.fleet.edges:
                        await edge.start()
                    await self.fleet.wait_until_ready(READY_SECONDS)
                await self.play_round()
            return self.result()
        finally:
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)
            for node in self.fleet.nodes:
                if node.process is not None and node.process.returncode is None:
                    node.process.send_signal(signal.SIGCONT)
            await self.fleet.end()

    # Judgement.

    def is_excused(self, request):
        """Whether the edge, or for a turn a member, was killed or paused meanwhile."""
        outages, end = self.disturbances.outages, request.ended_at or float("inf")
        if request.kind == "turns" and \
                outages.overlap(self.fleet.storage, request.made_at - disturbances.CONTACT, end):
            return True
        return end >= request.stop.killed_at or \
            outages.overlap([request.stop.edge], request.made_at, end)

    def judge(self, request):
        """The name of the loss, or an empty text."""
        if request.kind in UNOWED:
            return ""
        stopped_at = request.stop.at
        late = stopped_at + LATE
        runs = self.runs.get(request.identity, [])
        finished_in_time = any(run.finished_at < late for run in runs)
        if request.end == "unsent" or self.is_excused(request):
            return ""
        if request.end == "refused":
            return "refused_early" if request.ended_at < stopped_at + LISTENS - 0.1 else ""
        if request.end == "whole":
            if request.status == 200:
                return "wrong_length" if request.expected not in (-1, request.received) else ""
            is_unstored = request.kind == "turns" and self.scenario.dependencies
            return "replaced" if finished_in_time and not is_unstored else ""
        if not request.end:
            return "no_end"
        if runs and request.kind == "turns" and self.scenario.dependencies:
            return ""  # The response of a turn that no member has stored is not ended as whole.
        if runs:
            return "run_without_response" if finished_in_time else ""
        slack = LOSS_SLACK + self.lag_between(request.sent_at, request.ended_at)
        if request.ended_at - request.sent_at > slack:
            return "read_without_response"
        if request.sent_at == float("inf"):
            # A request that begins after idle connections were closed crosses the close.
            begins_late = request.made_at > request.stop.at + LISTENS
            return "" if begins_late else "closed_while_arriving"
        # The edge waits for a first request only for a time. This process may have sent it late.
        began_at = request.began_at or request.sent_at
        is_late = self.lag_between(request.connecting_at, began_at) >= FIRST_REQUEST_DELAY
        return "connected_without_response" if request.is_owed and not is_late else ""

    def result(self):
        ends, losses, bad_stops = (collections.Counter() for _ in range(3))
        for request in self.requests:
            end = str(request.status) if request.end == "whole" else request.end or "no end"
            ends[f"{request.kind} {end}"] += 1
            loss = self.judge(request)
            if loss:
                losses[f"{request.kind} {loss}"] += 1
                runs = [(round(run.began_at, 3), round(run.finished_at, 3))
                        for run in self.runs.get(request.identity, [])]
                self.record(f"loss: {loss}, {request.stop.edge.name} stopped at "
                            f"{request.stop.at:.3f}, runs {runs}, {request}")
        for stop in self.stops:
            if stop.code != 0 and stop.killed_at == float("inf"):
                bad_stops[f"code {stop.code}"] += 1
            end = stop.at + stop.took
            paused = self.disturbances.outages.time_of(stop.edge, stop.at, end)
            if stop.took - paused - self.lag_at(end) > STOP_TIMEOUT:
                bad_stops["too long"] += 1
        return {"seed": self.seed, "requests": len(self.requests), "lost": sum(losses.values()),
                "answered": sum(request.status == 200 and request.end == "whole"
                                for request in self.requests),
                "kinds": sorted({request.kind for request in self.requests}),
                "losses": losses, "stops": len(self.stops), "bad_stops": bad_stops,
                "excused": sum(self.is_excused(request) for request in self.requests),
                "disturbances": self.disturbances.counts,
                "took": [round(stop.took, 2) for stop in self.stops], "ends": ends,
                "max_lag": round(max(self.lags, default=0), 3)}


def holds(result):
    return result["lost"] == 0 and not result["bad_stops"] and \
        (result["answered"] > 0 or set(result["kinds"]) <= set(UNOWED))


def play(name, seed, folder, program=None, seconds=0):
    """Plays a scenario and returns its result. The logs stay in `folder`."""
    scenario = SCENARIOS[name]
    if seconds and scenario.seconds:
        scenario = dataclasses.replace(scenario, seconds=seconds)
    if program is not None:
        stand_ins.PROGRAM = pathlib.Path(program)
    os.environ["KEEP_LOGS"] = "1"
    folder.mkdir(parents=True, exist_ok=True)
    rig = Rig(scenario, seed, folder)
    limit = 60 + 25 * scenario.rounds + scenario.seconds
    result = asyncio.run(asyncio.wait_for(rig.play(), limit))
    for node in rig.fleet.nodes:
        shutil.copy(node.folder / "log", folder / f"{node.name}.log")
    shutil.rmtree(rig.fleet.folder, ignore_errors=True)
    return {"scenario": name, **result}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("scenarios", nargs="*", help="names; none: all")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds from --seed on")
    parser.add_argument("--program", help="path of pearbarrow-fleet")
    parser.add_argument("--folder", type=pathlib.Path, required=True, help="for records and logs")
    parser.add_argument("--seconds", type=float, default=0, help="length of the soak")
    arguments = parser.parse_args()
    failed = 0
    for name in arguments.scenarios or SCENARIOS:
        for seed in range(arguments.seed, arguments.seed + arguments.seeds):
            result = play(name, seed, arguments.folder / f"{name}-{seed}", arguments.program,
                          arguments.seconds)
            failed += 0 if holds(result) else 1
            print(json.dumps({"holds": holds(result), **result}), flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
