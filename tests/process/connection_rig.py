"""Connections that end while a request arrives, waits or is answered, against separate processes.

No scenario stops an edge. Each one plays callers and back ends that behave as the protocol allows, and
counts how every request ended: with a whole response and its status, with a part of one, or with a
closed connection.
"""
import argparse
import asyncio
import collections
import json
import os
import pathlib
import resource
import shutil
import signal
import socket
import sys
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "review" / "common"))
import stand_ins  # noqa: E402

LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 1000,
          "idle_timeout_ms": 1000}
CONFIG_S = 2.0
READY_SECONDS = 30
PIECE = 16_384


class BackEnd(stand_ins.Runner):
    """The query of a request states how it is answered: `ms` of work, `bytes` of the body and `way`."""

    def __init__(self, rig, name, zone):
        super().__init__(name, "lm", zone, rig.record, slots=200)
        self.rig = rig

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                request = await stand_ins.read_request(head_reader(head))
                size = int(request.get("content-length", "0"))
                if not await self.answer(request, size, reader, writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, request, size, reader, writer):
        """Returns whether the connection is kept."""
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        way = query.get("way", "")
        if not way.startswith("early"):
            request.body = await reader.readexactly(size)
        if url.path == "/healthz" or request.get("Pearbarrow-Target-Instance", self.name) != self.name:
            await self.handle(request, writer)
            return True
        identity = request.get("Pearbarrow-Request-Id")
        self.rig.ran[identity] += 1
        headers = {"Pearbarrow-Request-Id": identity, "Pearbarrow-Response-Signature": f"sig.{identity}"}
        await asyncio.sleep(int(query.get("ms", 0)) / 1000)
        length = int(query.get("bytes", 100))
        body = b"data: x\n\n" * (length // 9) if url.path.startswith("/chat/") else b"x" * length
        if way == "drop":
            writer.transport.abort()
            return False
        if way == "until_close":
            writer.write(stand_ins.head_of(200, headers) + body)
            await writer.drain()
            return False
        if way in ("close", "early_close"):
            headers["Connection"] = "close"
        status = 422 if way.startswith("early") else 200
        await self.send(writer, status, headers, body)
        if way == "early":
            await asyncio.sleep(0.2)
            await reader.readexactly(size)
        if way == "close_after":
            # The connection was not announced to end.
            await asyncio.sleep(int(query.get("rest", 0)) / 1000)
            return False
        return way not in ("close", "early_close")


def head_reader(head):
    """A reader of the head without its body."""
    reader = asyncio.StreamReader()
    lines = [line for line in head.split(b"\r\n")
             if not line.lower().startswith((b"transfer-encoding:",))]
    text = b"\r\n".join(lines)
    reader.feed_data(text)
    length = next((int(line.split(b":")[1]) for line in lines
                   if line.lower().startswith(b"content-length:")), 0)
    reader.feed_data(bytes(length))
    reader.feed_eof()
    return reader


class Caller:
    """One connection of a caller, over a plain socket so that it reads only when it is told to."""

    def __init__(self, rig, receive_bytes=0):
        self.rig = rig
        self.socket = socket.socket()
        if receive_bytes:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        self.socket.setblocking(False)
        self.loop = asyncio.get_running_loop()
        self.buffer = b""
        self.is_closed = False

    async def connect(self, port=0):
        await self.loop.sock_connect(self.socket, ("127.0.0.1", port or self.rig.edge.caller))
        return self

    def close(self):
        self.socket.close()

    def head(self, method, target, size=None, version="1.1", **headers):
        identity = self.rig.next_identity()
        lines = [f"{method} {target} HTTP/{version}", "Host: shop.example",
                 f"Pearbarrow-Request-Id: {identity}"]
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
        if size is not None:
            lines.append(f"Content-Length: {size}")
        return identity, ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def send(self, data):
        await self.loop.sock_sendall(self.socket, data)

    async def receive(self, size=65_536):
        """Returns whether more bytes arrived."""
        try:
            part = await self.loop.sock_recv(self.socket, size)
        except ConnectionError:
            part = b""
        self.is_closed = self.is_closed or not part
        self.buffer += part
        return bool(part)

    async def read(self, timeout=20.0, rate=0, is_head=False):
        """Reads one response and returns its end: the status, "partial" or "closed". `rate` bytes a
        second at most, 0: as fast as they come."""
        try:
            return await asyncio.wait_for(self.read_response(rate, is_head), timeout)
        except asyncio.TimeoutError:
            return "silent" if not self.buffer else "partial, silent"

    async def more(self, rate):
        started = time.monotonic()
        before = len(self.buffer)
        arrived = await self.receive(PIECE if rate else 65_536)
        if rate and arrived:
            took = time.monotonic() - started
            await asyncio.sleep(max(0.0, (len(self.buffer) - before) / rate - took))
        return arrived

    async def read_response(self, rate, is_head):
        while b"\r\n\r\n" not in self.buffer:
            if not await self.more(rate):
                return "partial" if self.buffer else "closed"
        head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").lower().split("\r\n")
        status = lines[0].split()[1]
        if status == "100":
            return await self.read_response(rate, is_head)
        headers = dict(line.split(": ", 1) for line in lines[1:])
        self.headers = headers
        if is_head or status in ("204", "304"):
            return status
        if headers.get("transfer-encoding") == "chunked":
            return status if await self.read_chunks(rate) else "partial"
        size = int(headers["content-length"]) if "content-length" in headers else None
        while size is None or len(self.buffer) < size:
            if not await self.more(rate):
                return status if size is None else "partial"
        self.buffer = self.buffer[size:]
        return status

    async def read_chunks(self, rate):
        while True:
            while b"\r\n" not in self.buffer:
                if not await self.more(rate):
                    return False
            line, self.buffer = self.buffer.split(b"\r\n", 1)
            size = int(line, 16)
            while len(self.buffer) < size + 2:
                if not await self.more(rate):
                    return False
            self.buffer = self.buffer[size + 2:]
            if size == 0:
                return True

    async def ask(self, method, target, body=None, timeout=20.0, rate=0, **headers):
        identity, head = self.head(method, target, None if body is None else len(body), **headers)
        try:
            await self.send(head + (body or b""))
        except ConnectionError:
            return identity, "closed"
        return identity, await self.read(timeout, rate, method == "HEAD")


class Rig:
    def __init__(self, folder, edges=1, memory_mb=260, descriptors=0):
        self.record = stand_ins.Record(folder / "record.txt")
        self.fleet = stand_ins.Fleet(self.record, edges=edges, memory_mb=memory_mb)
        self.fleet.runners = [BackEnd(self, f"i-{number}", self.fleet.zones[number % 3])
                              for number in range(2)]
        self.edge = self.fleet.edges[0]
        self.descriptors = descriptors
        self.ran = collections.Counter()
        self.identities = 0
        self.version = 1

    def next_identity(self):
        self.identities += 1
        return f"r{self.identities}"

    def configuration(self, routes=("tool", "once", "chat"), **limits):
        kinds = {"tool": "idempotent", "once": "non_idempotent", "chat": "streaming"}
        table = stand_ins.config(
            [stand_ins.route(name, "lm", kinds.get(name, "idempotent"), attempts=2, timeout_ms=30000,
                             target_gap_ms=30000) for name in routes],
            [{"name": "lm", "health_path": "/healthz", "max_conns": 2000, "protocol": "h1",
              "tls": False}], self.version)
        table["limits"] = {**LIMITS, **limits}
        return table

    async def configure(self, wait=CONFIG_S, **changes):
        self.version += 1
        self.fleet.store.put_json("op/config", self.configuration(**changes))
        await asyncio.sleep(wait)

    async def start(self):
        if self.descriptors:
            start = asyncio.create_subprocess_exec
            count = self.descriptors

            async def start_bounded(program, *arguments, **options):
                bounded = self.edge.name in str(options["stdout"].name)
                limit = (lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (count, count))) \
                    if bounded else None
                return await start(program, *arguments, preexec_fn=limit, **options)
            asyncio.create_subprocess_exec = start_bounded
            try:
                await self.fleet.start(self.configuration())
            finally:
                asyncio.create_subprocess_exec = start
        else:
            await self.fleet.start(self.configuration())
        await self.fleet.wait_until_ready(READY_SECONDS)

    async def callers(self, count, **options):
        return await asyncio.gather(*(Caller(self, **options).connect() for _ in range(count)))

    def log_events(self, name=""):
        """Counts the events in the log of the edge, or returns the lines of one event."""
        lines = []
        for line in (self.edge.folder / "log").read_text(errors="replace").splitlines():
            try:
                lines.append(json.loads(line))
            except ValueError:
                lines.append({"event": "not JSON", "text": line})
        if name:
            return [line for line in lines if line.get("event") == name]
        return collections.Counter(line.get("event") for line in lines)

    async def end(self):
        for node in self.fleet.nodes:
            if node.process is not None and node.process.returncode is None:
                node.process.send_signal(signal.SIGCONT)
        await self.fleet.end()


def count_ends(results):
    return dict(collections.Counter(str(end) for _, end in results))


async def pause(rig, seconds):
    rig.edge.signal(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    rig.edge.signal(signal.SIGCONT)


async def requests_that_arrive_during_a_pause(rig, method="GET", count=400):
    """The pause takes longer than the idle timeout; the requests come within it."""
    await rig.configure()
    callers = await rig.callers(count)
    target = "/tool/x" if method == "GET" else "/once/x"
    body = None if method == "GET" else b"y" * 200
    first = await asyncio.gather(*(caller.ask(method, target, body) for caller in callers))
    await asyncio.sleep(0.3)
    rig.edge.signal(signal.SIGSTOP)
    # Timers of the process expire before the requests arrive.
    await asyncio.sleep(0.3)
    tasks = [asyncio.create_task(caller.ask(method, target, body)) for caller in callers]
    await asyncio.sleep(1.2)
    rig.edge.signal(signal.SIGCONT)
    results = await asyncio.gather(*tasks)
    for caller in callers:
        caller.close()
    return {"first": count_ends(first), "during": count_ends(results),
            "cut_after_run": sum(1 for identity, end in results if not end.isdigit()
                                 and rig.ran[identity])}


async def posts_that_arrive_during_a_pause(rig):
    return await requests_that_arrive_during_a_pause(rig, "POST")


async def new_connections_during_a_pause(rig):
    await rig.configure()

    async def call():
        caller = await Caller(rig).connect()
        try:
            return await caller.ask("POST", "/once/x", b"y" * 200)
        finally:
            caller.close()
    rig.edge.signal(signal.SIGSTOP)
    tasks = [asyncio.create_task(call()) for _ in range(400)]
    await asyncio.sleep(2.5)
    rig.edge.signal(signal.SIGCONT)
    return {"during": count_ends(await asyncio.gather(*tasks))}


async def connections_taken_up_after_four_fifths(rig, seconds=8):
    await rig.configure()
    results = []
    until = time.monotonic() + seconds

    async def load():
        caller = await Caller(rig).connect()
        while time.monotonic() < until:
            results.append(await caller.ask("POST", "/once/x?bytes=3000", b"z" * 20_000))
        caller.close()

    async def rest():
        caller = await Caller(rig).connect()
        while time.monotonic() < until:
            results.append(await caller.ask("GET", "/tool/x"))
            await asyncio.sleep(0.8 * LIMITS["idle_timeout_ms"] / 1000)
        caller.close()

    async def stall():
        while time.monotonic() < until:
            await pause(rig, 0.25)
            await asyncio.sleep(0.35)
    await asyncio.gather(*(load() for _ in range(8)), *(rest() for _ in range(150)), stall())
    return {"ends": count_ends(results)}


async def responses_read_steadily(rig, size=8_000_000, rate=600_000, count=8, way=""):
    """The reader takes longer than the idle timeout for what the edge holds of a whole response."""
    await rig.configure()

    async def read():
        caller = await Caller(rig, receive_bytes=8_192).connect()
        try:
            return await caller.ask("GET", f"/tool/x?bytes={size}&way={way}", rate=rate, timeout=60)
        finally:
            caller.close()
    results = await asyncio.gather(*(read() for _ in range(count)))
    return {"ends": count_ends(results)}


async def pipelined_behind_a_response_read_steadily(rig):
    await rig.configure()
    caller = await Caller(rig, receive_bytes=8_192).connect()
    _, first = caller.head("GET", "/tool/x?bytes=8000000")
    _, second = caller.head("GET", "/tool/x")
    await caller.send(first + second)
    ends = [await caller.read(60, 600_000), await caller.read(60)]
    caller.close()
    return {"ends": ends}


async def limits_change(rig, seconds=10):
    """A new configuration each 0.7 s; the requests are within all of them."""
    results, taken = [], []
    until = time.monotonic() + seconds

    async def reconfigure():
        number = 0
        while time.monotonic() < until:
            number += 1
            await rig.configure(
                wait=0.7, idle_timeout_ms=(1000, 3000)[number % 2],
                header_timeout_ms=(1000, 2000)[number % 2],
                max_body_bytes=(200_000, 4_194_304)[number % 2],
                max_header_bytes=(4_096, 16_384)[number % 2],
                routes=(("tool", "once", "chat"), ("tool", "once", "chat", f"more{number}"))[number % 2])

    async def call(target, body, rest):
        caller = await Caller(rig).connect()
        while time.monotonic() < until:
            results.append(await caller.ask("POST", target, body))
            if rest:
                await asyncio.sleep(rest)
        caller.close()

    async def long_body():
        """Arrives over half a second, and is longer than some of the limits."""
        while time.monotonic() < until:
            caller = await Caller(rig).connect()
            _, head = caller.head("POST", "/once/x", 400_000)
            try:
                await caller.send(head)
                for _ in range(10):
                    await caller.send(b"z" * 40_000)
                    await asyncio.sleep(0.05)
                taken.append(("", await caller.read()))
            except ConnectionError:
                taken.append(("", "sending failed, then " + await caller.read()))
            caller.close()
    await asyncio.gather(reconfigure(), *(call("/once/x?ms=300", b"y" * 100_000, 0) for _ in range(10)),
                         *(call("/tool/x", b"y" * 300, 0.8) for _ in range(30)),
                         *(long_body() for _ in range(5)))
    return {"ends": count_ends(results), "longer_than_some_limits": count_ends(taken)}


async def kept_connection_after_limits_grew(rig):
    await rig.configure(max_body_bytes=10_000, max_header_bytes=1_000, idle_timeout_ms=10_000)
    callers = await rig.callers(4)
    await asyncio.gather(*(caller.ask("GET", "/tool/x") for caller in callers))
    await rig.configure(wait=3, idle_timeout_ms=10_000)
    results = await asyncio.gather(*(caller.ask("POST", "/once/x", b"y" * 100_000) for caller in callers[:2]),
                                   *(caller.ask("GET", "/tool/x", X="h" * 5_000) for caller in callers[2:]))
    return {"ends": count_ends(results)}


async def idle_timeout_grew(rig):
    await rig.configure(idle_timeout_ms=1_000)
    callers = await rig.callers(20)
    await asyncio.gather(*(caller.ask("GET", "/tool/x") for caller in callers))
    await rig.configure(wait=0.9, idle_timeout_ms=10_000)
    await asyncio.sleep(2.5)
    return {"ends": count_ends(await asyncio.gather(*(caller.ask("GET", "/tool/x") for caller in callers)))}


async def routes_removed_while_requests_run(rig):
    await rig.configure(routes=("tool", "once", "chat", "gone"))
    callers = await rig.callers(40)
    tasks = [asyncio.create_task(caller.ask("POST", "/gone/x?ms=2500", b"y")) for caller in callers]
    await asyncio.sleep(0.3)
    await rig.configure()
    return {"ends": count_ends(await asyncio.gather(*tasks))}


async def settings_change_without_end(rig, seconds=8):
    """SIGHUP each 0.5 s; half of the file stands there when it is read."""
    await rig.configure()
    results = []
    until = time.monotonic() + seconds
    file = rig.edge.folder / "node.toml"
    text = rig.edge.settings()

    async def change():
        number = 0
        while time.monotonic() < until:
            number += 1
            seeds = text.replace("seeds = [", f'seeds = ["127.0.0.1:{number % 100 + 1}", ')
            file.write_text(seeds[:len(seeds) * (number % 5) // 5])
            rig.edge.signal(signal.SIGHUP)
            await asyncio.sleep(0.1)
            file.write_text(seeds)
            await asyncio.sleep(0.1)
            rig.edge.signal(signal.SIGHUP)
            await asyncio.sleep(0.3)
        file.write_text(text)

    async def call():
        caller = await Caller(rig).connect()
        while time.monotonic() < until:
            results.append(await caller.ask("POST", "/once/x?ms=100", b"y" * 1_000))
        caller.close()
    await asyncio.gather(change(), *(call() for _ in range(20)))
    return {"ends": count_ends(results), "code": rig.edge.process.returncode}


async def refused_while_the_body_arrives(rig):
    """Callers that send everything before they read."""
    await rig.configure(max_body_bytes=100_000, header_timeout_ms=1000, idle_timeout_ms=1000)
    ends = {}

    async def call(name, head_size, pause_s, pieces, piece=100_000, **headers):
        caller = await Caller(rig).connect()
        _, head = caller.head("POST", "/once/x", head_size, **headers)
        failed = ""
        try:
            await caller.send(head)
            for _ in range(pieces):
                await caller.send(b"z" * piece)
                await asyncio.sleep(pause_s)
        except ConnectionError:
            failed = "sending failed, then "
        ends[name] = failed + await caller.read()
        caller.close()
    await asyncio.gather(
        call("413, 0.4 s of body", 1_000_000, 0.04, 10), call("413, 2.5 s of body", 1_000_000, 0.25, 10),
        call("413, 30 MB at once", 30_000_000, 0, 30, 1_000_000),
        call("431, body of 2.5 s", 50_000, 0.25, 10, 5_000, X="h" * 20_000),
        call("408, body of 2.5 s", 50_000, 0.25, 10, 5_000),
        call("400, body of 2.5 s", 50_000, 0.25, 10, 5_000, Content_Length="seven"))
    return {"ends": ends}


async def early_responses_of_back_ends(rig):
    await rig.configure()
    ends = {}
    body = b"z" * 3_000_000
    for way in ("early", "early_close"):
        results = []
        for _ in range(20):
            caller = await Caller(rig).connect()
            results.append(await caller.ask("POST", f"/once/x?way={way}", body))
            results.append(await caller.ask("POST", "/once/x", b"y"))
            caller.close()
        ends[way] = count_ends(results)
    return ends


async def connections_of_back_ends_close(rig):
    await rig.configure()
    ends = {}
    for way, method, target in (("close", "POST", "/once/x"), ("until_close", "GET", "/tool/x"),
                                ("until_close", "POST", "/chat/x"), ("drop", "POST", "/once/x"),
                                ("drop", "GET", "/tool/x"), ("close_after", "POST", "/once/x"),
                                ("close_after", "GET", "/tool/x")):
        async def call():
            results = []
            caller = await Caller(rig).connect()
            for number in range(10):
                if caller.is_closed:
                    caller.close()
                    caller = await Caller(rig).connect()
                results.append(await caller.ask(
                    method, f"{target}?way={way}&bytes=30000", None if method == "GET" else b"y" * 100))
                if caller.headers.get("connection") == "close":
                    caller.is_closed = True
            caller.close()
            return results
        results = await asyncio.gather(*(call() for _ in range(10)))
        ends[f"{way} {target}"] = count_ends([result for part in results for result in part])
    return ends


async def odd_requests(rig):
    """Requests that few callers send."""
    await rig.configure()
    ends = {}
    caller = await Caller(rig).connect()
    ends["head"] = [(await caller.ask("HEAD", "/tool/x"))[1], (await caller.ask("GET", "/tool/x"))[1]]
    caller.close()
    caller = await Caller(rig).connect()
    _, head = caller.head("GET", "/tool/x", version="1.0")
    await caller.send(head)
    ends["1.0"] = await caller.read()
    caller.close()
    caller = await Caller(rig).connect()
    _, head = caller.head("GET", "/tool/x?bytes=300000", version="1.0")
    await caller.send(head)
    ends["1.0, long"] = await caller.read()
    caller.close()
    caller = await Caller(rig).connect()
    _, head = caller.head("POST", "/once/x", 1_000, Expect="100-continue")
    await caller.send(head)
    await caller.receive()
    ends["expect"] = [caller.buffer.split(b"\r\n")[0].decode()]
    caller.buffer = b""
    await caller.send(b"y" * 1_000)
    ends["expect"].append(await caller.read())
    caller.close()
    caller = await Caller(rig).connect()
    heads = [caller.head("POST", f"/once/x?ms={100 * (5 - number)}", 1_000) for number in range(5)]
    await caller.send(b"".join(head + b"y" * 1_000 for _, head in heads))
    ends["pipelined"] = [await caller.read() for _ in heads]
    ends["pipelined, then idle"] = (await caller.ask("GET", "/tool/x"))[1]
    caller.close()
    caller = await Caller(rig).connect()
    _, head = caller.head("POST", "/once/x?ms=300", 1_000)
    await caller.send(head + b"y" * 1_000)
    caller.socket.shutdown(socket.SHUT_WR)
    ends["half closed"] = await caller.read()
    caller.close()
    return ends


async def too_many_connections(rig):
    """More connections than descriptors; the rig gives the edge few."""
    await rig.configure(idle_timeout_ms=6_000)
    busy = await rig.callers(20)
    running = [asyncio.create_task(caller.ask("POST", "/once/x?ms=2500", b"y")) for caller in busy]
    await asyncio.sleep(0.3)
    idle = await rig.callers(150)

    async def call(caller):
        started = time.monotonic()
        _, end = await caller.ask("POST", "/once/x", b"y", timeout=4)
        return f"{end}{' late' if time.monotonic() - started > 1 else ''}"
    ends = collections.Counter(await asyncio.gather(*(call(caller) for caller in idle)))
    running = count_ends(await asyncio.gather(*running))
    again = collections.Counter([await call(caller) for caller in busy])
    for caller in idle + busy:
        caller.close()
    await asyncio.sleep(0.5)
    fresh = await rig.callers(10)
    after = collections.Counter([await call(caller) for caller in fresh])
    events = rig.log_events()
    return {"running": running, "more": dict(ends), "running_again": dict(again), "after": dict(after),
            "accept_failed": events["accept_failed"], "code": rig.edge.process.returncode}


async def little_memory(rig, seconds=8, readers=40):
    """Readers that stop, and callers that behave well beside them; the rig gives the edge little memory.

    Every response of a reader that stops is one that was cut, and the log has a reason for each.
    """
    await rig.configure(idle_timeout_ms=10_000, header_timeout_ms=10_000)
    until = time.monotonic() + seconds
    small, steady, stalled = [], [], []

    async def stall(number):
        await asyncio.sleep(number * 0.01)
        caller = await Caller(rig, receive_bytes=8_192).connect()
        identity, head = caller.head("GET", f"/tool/stalled{number}?bytes=8000000")
        await caller.send(head)
        await asyncio.sleep(seconds)
        stalled.append((identity, await caller.read(10)))
        caller.close()

    async def read_steadily(number):
        while time.monotonic() < until:
            caller = await Caller(rig, receive_bytes=65_536).connect()
            steady.append(await caller.ask("GET", f"/tool/steady{number}?bytes=500000", rate=500_000,
                                           timeout=30))
            caller.close()

    async def call(number):
        caller = await Caller(rig).connect()
        while time.monotonic() < until:
            small.append(await caller.ask("POST", f"/once/small{number}?ms=50&bytes=2000", b"y" * 3_000))
            if caller.headers.get("connection") == "close" or caller.is_closed:
                caller.close()
                caller = await Caller(rig).connect()
        caller.close()
    await asyncio.gather(*(stall(number) for number in range(readers)),
                         *(read_steadily(number) for number in range(8)),
                         *(call(number) for number in range(10)))
    await asyncio.sleep(0.5)
    reasons = {}
    for name in ("request_ended", "response_undelivered"):
        for line in rig.log_events(name):
            if line.get("reason") != "served":
                reasons[line["request"]] = f"{name} {line.get('reason')}"
    return {"small": count_ends(small), "steady": count_ends(steady), "stalled": count_ends(stalled),
            "stalled_logged": dict(collections.Counter(
                reasons.get(identity, "nothing") for identity, end in stalled if end != "200")),
            "others_logged": dict(collections.Counter(
                reasons.get(identity, "nothing") for identity, end in small + steady if end != "200")),
            "code": rig.edge.process.returncode}


async def long_header_within_the_limit(rig):
    await rig.configure(max_header_bytes=131_072)
    caller = await Caller(rig).connect()
    _, end = await caller.ask("GET", "/tool/x", X="h" * 70_000)
    await asyncio.sleep(0.3)
    return {"end": end, "code": rig.edge.process.returncode}


async def signals_at_the_start(rig):
    """SIGHUP reaches a process that is still starting. Before `main` it ends every program."""
    ends = collections.Counter()
    for role in ("edge", "storage"):
        for delay_ms in (15, 20, 25, 30, 40, 60, 80, 120):
            node = stand_ins.Node(rig.fleet, role, f"{role}-{delay_ms}", rig.fleet.zones[0])
            await node.start()
            await asyncio.sleep(delay_ms / 1000)
            is_running = is_in_main(node)
            node.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.6)
            ends[f"{role} {'in main' if is_running else 'before main'}: {node.process.returncode}"] += 1
            await node.end()
    return dict(ends)


def is_in_main(node):
    """Whether the process has opened an event loop, which it does first."""
    try:
        return any("eventpoll" in os.readlink(entry)
                   for entry in pathlib.Path(f"/proc/{node.process.pid}/fd").iterdir())
    except OSError:
        return False


async def log_reader_ends(rig):
    """Standard output is a pipe whose reader ends."""
    node = stand_ins.Node(rig.fleet, "edge", "edge-piped", rig.fleet.zones[0])
    node.folder.mkdir()
    file = node.folder / "node.toml"
    file.write_text(node.settings())
    node.process = await asyncio.create_subprocess_exec(
        str(stand_ins.PROGRAM), "--settings", str(file), stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.DEVNULL, cwd=ROOT)
    await node.process.stdout.readline()
    for _ in range(100):
        if await rig.fleet.readiness(node) == 200:
            break
        await asyncio.sleep(0.1)
    node.process._transport.get_pipe_transport(1).close()
    await asyncio.sleep(0.1)
    ends = []
    for _ in range(5):
        if node.process.returncode is None:
            node.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.2)
        caller = Caller(rig)
        try:
            await caller.connect(node.caller)
            ends.append(await caller.ask("GET", "/tool/x"))
        except ConnectionError:
            ends.append(("", "no connection"))
        caller.close()
    code = node.process.returncode
    await node.end()
    return {"code": code, "ends": count_ends(ends)}


async def killed_and_started_at_once(rig, count=8):
    """The port was in use a moment ago, with connections on which requests run."""
    codes = collections.Counter()
    took = []
    for _ in range(count):
        callers = await rig.callers(100)
        tasks = [asyncio.create_task(caller.ask("POST", "/once/x?ms=1000", b"y" * 1000))
                 for caller in callers]
        await asyncio.sleep(0.2)
        rig.edge.signal(signal.SIGKILL)
        await rig.edge.process.wait()
        started = time.monotonic()
        await rig.edge.start()
        while rig.edge.process.returncode is None and await rig.fleet.readiness(rig.edge) != 200:
            await asyncio.sleep(0.02)
        took.append(round(time.monotonic() - started, 2))
        codes[str(rig.edge.process.returncode)] += 1
        await asyncio.gather(*tasks)
        for caller in callers:
            caller.close()
    return {"codes": dict(codes), "slowest_s": max(took)}


async def incomplete_settings_at_the_start(rig):
    codes = collections.Counter()
    for part in (0, 1, 2, 3, 4):
        node = stand_ins.Node(rig.fleet, "edge", f"edge-part-{part}", rig.fleet.zones[0])
        own = node.settings()
        node.settings = lambda own=own, part=part: own[:len(own) * part // 5]
        await node.start()
        await asyncio.sleep(0.5)
        codes[str(node.process.returncode)] += 1
        await node.end()
    return {"codes": dict(codes)}


SCENARIOS = {
    name: {"play": play} for name, play in {
        "arrive_during_pause": requests_that_arrive_during_a_pause,
        "posts_during_pause": posts_that_arrive_during_a_pause,
        "new_during_pause": new_connections_during_a_pause,
        "four_fifths": connections_taken_up_after_four_fifths,
        "read_steadily": responses_read_steadily,
        "pipelined_read_steadily": pipelined_behind_a_response_read_steadily,
        "limits_change": limits_change,
        "limits_grew": kept_connection_after_limits_grew,
        "idle_timeout_grew": idle_timeout_grew,
        "routes_removed": routes_removed_while_requests_run,
        "settings_change": settings_change_without_end,
        "refused": refused_while_the_body_arrives,
        "early": early_responses_of_back_ends,
        "back_ends_close": connections_of_back_ends_close,
        "odd_requests": odd_requests,
        "descriptors": too_many_connections,
        "little_memory": little_memory,
        "long_header": long_header_within_the_limit,
        "signals_at_start": signals_at_the_start,
        "log_reader_ends": log_reader_ends,
        "killed_and_started": killed_and_started_at_once,
        "incomplete_settings": incomplete_settings_at_the_start,
    }.items()
}
SCENARIOS["descriptors"]["options"] = {"descriptors": 120}
SCENARIOS["little_memory"]["options"] = {"memory_mb": 4}


async def play_on(rig, names):
    results = {}
    try:
        await rig.start()
        for name in names:
            results[name] = await asyncio.wait_for(SCENARIOS[name]["play"](rig), 100)
            print(json.dumps({name: results[name]}), flush=True)
            if rig.edge.process.returncode is not None:
                rig.record(f"the edge ended with {rig.edge.process.returncode}")
                await rig.edge.start()
                await rig.fleet.wait_until_ready(READY_SECONDS)
    finally:
        await rig.end()
    return results


def play(names, folder, program=None, **options):
    """Plays scenarios on one fleet and returns their results. The logs stay in `folder`."""
    if program is not None:
        stand_ins.PROGRAM = pathlib.Path(program)
    os.environ["KEEP_LOGS"] = "1"
    folder.mkdir(parents=True, exist_ok=True)
    rig = Rig(folder, **options)
    try:
        return asyncio.run(play_on(rig, names))
    finally:
        for node in rig.fleet.nodes:
            if (node.folder / "log").exists():
                shutil.copy(node.folder / "log", folder / f"{node.name}.log")
        shutil.rmtree(rig.fleet.folder, ignore_errors=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("scenarios", nargs="*", help="names; none: all")
    parser.add_argument("--program", help="path of pearbarrow-fleet")
    parser.add_argument("--folder", type=pathlib.Path, required=True, help="for records and logs")
    arguments = parser.parse_args()
    names = arguments.scenarios or list(SCENARIOS)
    plain = [name for name in names if "options" not in SCENARIOS[name]]
    if plain:
        play(plain, arguments.folder / "plain", arguments.program)
    for name in names:
        if "options" in SCENARIOS[name]:
            play([name], arguments.folder / name, arguments.program, **SCENARIOS[name]["options"])
    return 0


if __name__ == "__main__":
    sys.exit(main())
