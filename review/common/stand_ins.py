"""Stand-ins for the platform's store, runners and clients, and a small fleet of real processes.

Everything listens on 127.0.0.1. The stand-ins follow PROTOCOL.md of the users' pages: the store
loses nothing that it has acknowledged and answers after 4 ms, a runner refuses requests for another
instance with 421, echoes the id of a request and signs its answers.
"""
import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target" / "bin" / "pearbarrow-fleet"
STORE_DELAY_S = 0.004
HISTORY_S = 20.0

REASONS = {200: "OK", 402: "Payment Required", 404: "Not Found", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 503: "Service Unavailable"}


FIRST_PORT, PORT_COUNT = 12_000, 20_000
next_port = random.randrange(PORT_COUNT)


def free_port():
    """A free port below the ephemeral range, so that no connection takes it before its use."""
    global next_port
    while True:
        next_port = (next_port + 1) % PORT_COUNT
        try:
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", FIRST_PORT + next_port))
            return FIRST_PORT + next_port
        except OSError:
            continue


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, file):
        self.start = time.monotonic()
        self.file = open(file, "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()

    def now(self):
        return time.monotonic() - self.start


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_request(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Request(method, target, headers, body)


def head_of(status, headers):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class HttpServer:
    """Serves one request at a time on each connection."""

    def __init__(self):
        self.port = free_port()
        self.server = None

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                await self.handle(request, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def send(self, writer, status, headers, body=b""):
        writer.write(head_of(status, {**headers, "Content-Length": len(body)}) + body)
        await writer.drain()

    async def handle(self, request, writer):
        raise NotImplementedError


class Store(HttpServer):
    """The platform's metadata store."""

    def __init__(self):
        super().__init__()
        self.items = {}
        self.revision = 100
        self.events = []
        self.forgotten = 100
        self.changed = asyncio.Event()

    def put(self, key, value):
        self.revision += 1
        made = self.items[key]["made"] if key in self.items else self.revision
        item = {"tls_key": key, "value": base64.b64encode(value).decode(), "rev": self.revision,
                "made": made, "lease": 0}
        self.items[key] = item
        self.note(item)

    def put_json(self, key, value):
        self.put(key, json.dumps(value).encode())

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.note({"tls_key": key, "rev": self.revision, "gone": True})

    def note(self, event):
        now = time.monotonic()
        self.events.append((now, event))
        while self.events and now - self.events[0][0] > HISTORY_S:
            self.forgotten = self.events.pop(0)[1]["rev"]
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, request, writer):
        await asyncio.sleep(STORE_DELAY_S)
        url = urllib.parse.urlsplit(request.target)
        query = {name: values[0] for name, values in urllib.parse.parse_qs(url.query).items()}
        if url.path == "/kv-range":
            status, body = self.range(query)
        elif url.path == "/kv-key":
            item = self.items.get(query["tls_key"])
            status, body = (200, {**item, "at": self.revision}) if item else (404, {})
        elif url.path == "/kv-watch":
            status, body = await self.watch(query)
        elif url.path == "/kv-txn":
            status, body = self.change(json.loads(request.body))
        else:
            status, body = 404, {}
        await self.send(writer, status, {"Content-Type": "application/json"},
                        json.dumps(body).encode())

    def range(self, query):
        prefix, after = query.get("path_prefix", ""), query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        return 200, {"items": [self.items[key] for key in keys[:500]], "more": len(keys) > 500,
                     "at": self.revision}

    async def watch(self, query):
        prefix, after = query.get("path_prefix", ""), int(query["after"])
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            if after < self.forgotten:
                return 410, {}
            found = [event for _, event in self.events
                     if event["rev"] > after and event["tls_key"].startswith(prefix)]
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def change(self, wanted):
        expected = wanted.get("expect_rev", [])
        current = {row["tls_key"]: self.items.get(row["tls_key"]) for row in expected}
        if any((current[row["tls_key"]] or {"rev": 0})["rev"] != row["rev"] for row in expected):
            return 412, {"items": [item for item in current.values() if item]}
        for row in wanted.get("put", []):
            self.put(row["tls_key"], base64.b64decode(row["value"]))
        for key in wanted.get("remove", []):
            self.remove(key)
        return 200, {"rev": self.revision}


class Runner(HttpServer):
    """A runner. `streams` yields the body of an answer in pieces."""

    def __init__(self, name, service, zone, record, slots=8):
        super().__init__()
        self.name, self.service, self.zone, self.record, self.slots = name, service, zone, record, slots
        self.runs = []

    def entry(self, state="ready"):
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": state, "cold_left_ms": 0, "seq": 1}

    async def handle(self, request, writer):
        own = {"Pearbarrow-Instance-Id": self.name}
        if request.target == "/healthz":
            await self.send(writer, 200, own)
            return
        identity = request.get("Pearbarrow-Request-Id")
        target = request.get("Pearbarrow-Target-Instance")
        if target and target != self.name:
            self.record(f"runner {self.name}: 421 to {identity}")
            await self.send(writer, 421, {**own, "Pearbarrow-Request-Id": identity})
            return
        self.runs.append((identity, request))
        self.record(f"runner {self.name}: runs {identity}, body of {len(request.body)} bytes")
        await self.run(request, writer, {"Pearbarrow-Request-Id": identity,
                                         "Pearbarrow-Response-Signature": f"sig.{identity}"})

    async def run(self, request, writer, headers):
        await self.send(writer, 200, headers, b"done")

    async def send_events(self, writer, headers, count, pause):
        writer.write(head_of(200, {**headers, "Content-Type": "text/event-stream",
                                   "Transfer-Encoding": "chunked"}))
        for number in range(1, count + 1):
            await asyncio.sleep(pause)
            event = f"id: {number}\ndata: piece {number} of {headers['Pearbarrow-Request-Id']}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Node:
    def __init__(self, fleet, role, name, zone):
        self.fleet, self.role, self.name, self.zone = fleet, role, name, zone
        self.peer, self.metrics = free_port(), free_port()
        self.caller, self.ready = (free_port(), free_port()) if role == "edge" else (0, 0)
        self.folder = fleet.folder / name
        self.process = None
        self.first_start = True

    def settings(self):
        """The text that the platform makes of deploy/node.toml.template."""
        fleet = self.fleet
        seeds = ", ".join(f'"127.0.0.1:{node.peer}"' for node in fleet.nodes if node.role == "edge")
        lines = [f'role = "{self.role}"', f'node = "{self.name}"', f'zone = "{self.zone}"',
                 f"first_start = {json.dumps(self.first_start)}",
                 f"memory_mb = {fleet.memory_mb}", "change_bound_ms = 2000",
                 f'directory_service = "{fleet.store.address}"', "leaving_notice_ms = 2000",
                 f"seeds = [{seeds}]"]
        if self.role == "storage":
            lines += [f'data_folder = "{self.folder / "data"}"', "tolerated_losses = 1",
                      "tolerated_zones = 0"]
        lines.append("[listen]")
        if self.role == "edge":
            lines += [f'caller = "127.0.0.1:{self.caller}"', f'ready = "127.0.0.1:{self.ready}"']
        lines += [f'peer = "127.0.0.1:{self.peer}"', f'metrics = "127.0.0.1:{self.metrics}"']
        lines.append("[regions]")
        lines += [f'"{zone}" = "r"' for zone in fleet.zones]
        return "\n".join(lines) + "\n"

    async def start(self):
        self.folder.mkdir(exist_ok=True)
        file = self.folder / "node.toml"
        file.write_text(self.settings(), encoding="utf-8")
        with open(self.folder / "log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                str(PROGRAM), "--settings", str(file), cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""), "HOME": str(self.fleet.folder)})
        self.first_start = False
        self.fleet.record(f"node {self.name}: started, process {self.process.pid}")

    def signal(self, number):
        self.fleet.record(f"node {self.name}: gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Fleet:
    """Store, runners, and storage and edge processes in three zones."""

    def __init__(self, record, edges=2, storage=3, memory_mb=260):
        self.record = record
        self.memory_mb = memory_mb
        self.zones = ["za", "zb", "zc"]
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="pearbarrow-review-"))
        self.store = Store()
        self.runners = []
        self.nodes = []
        for index in range(storage):
            self.nodes.append(Node(self, "storage", f"storage-{index + 1}", self.zones[index % 3]))
        for index in range(edges):
            self.nodes.append(Node(self, "edge", f"edge-{index + 1}", self.zones[index % 3]))
        self.edges = [node for node in self.nodes if node.role == "edge"]
        self.storage = [node for node in self.nodes if node.role == "storage"]

    async def start(self, config):
        await self.store.start()
        for runner in self.runners:
            await runner.start()
            self.store.put_json(f"servers/{runner.name}", runner.entry())
        self.store.put_json("op/config", config)
        for node in self.nodes:
            await node.start()

    async def wait_until_ready(self, seconds=15):
        until = time.monotonic() + seconds
        for node in self.edges:
            while await self.readiness(node) != 200:
                if time.monotonic() > until:
                    raise RuntimeError(f"{node.name} does not become ready")
                await asyncio.sleep(0.1)
        # The sheet gives the machines 10 s before traffic; the storage members form their view.
        while "pearbarrow/storage" not in self.store.items:
            if time.monotonic() > until:
                raise RuntimeError("the storage members form no view")
            await asyncio.sleep(0.1)
        await asyncio.sleep(2)
        self.record("fleet is ready")

    async def readiness(self, node):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", node.ready)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            line = await reader.readline()
            writer.close()
            return int(line.split()[1])
        except (OSError, IndexError, ValueError):
            return 0

    async def end(self):
        for node in self.nodes:
            await node.end()
        if os.environ.get("KEEP_LOGS") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, service, kind, **more):
    return {"name": name, "host": "shop.example", "path_prefix": f"/{name}/", "kind": kind,
            "timeout_ms": 4000, "slo_ms": 250, "priority": 1, "service": service, "attempts": 1,
            "keeps_history": False, "retain_s": 0, "sticky": False, "can_resume": False, **more}


def config(routes, services, version=1):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


class Answer:
    def __init__(self, status, headers, body, complete):
        self.status, self.headers, self.body, self.complete = status, headers, body, complete


async def read_answer(reader):
    """Reads one answer; `complete` tells whether its framing says that it is whole."""
    body = b""
    status, headers = 0, {}
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        status = int(lines[0].split()[1])
        headers = {line.split(":", 1)[0].lower(): line.split(":", 1)[1].strip()
                   for line in lines[1:] if line}
        if headers.get("transfer-encoding") == "chunked":
            while True:
                size = int(await reader.readuntil(b"\r\n"), 16)
                body += await reader.readexactly(size)
                await reader.readexactly(2)
                if size == 0:
                    return Answer(status, headers, body, True)
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        return Answer(status, headers, body, True)
    except asyncio.IncompleteReadError as error:
        return Answer(status, headers, body + error.partial, False)
    except ConnectionError:
        return Answer(status, headers, body, False)


async def ask(node, method, target, headers, body=b"", timeout=10):
    reader, writer = await asyncio.open_connection("127.0.0.1", node.caller)
    try:
        lines = [f"{method} {target} HTTP/1.1", "Host: shop.example"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        return await asyncio.wait_for(read_answer(reader), timeout)
    except asyncio.TimeoutError:
        return Answer(0, {}, b"", False)
    finally:
        writer.close()


MAX_CASE_S = 115


def run_case(main):
    """Runs the case and exits with its code, or with 2 if it could not run. All processes that it
    started are ended in each case, also on SIGTERM."""

    async def bounded():
        task = asyncio.create_task(main())
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(task, MAX_CASE_S)

    try:
        code = asyncio.run(bounded())
    except (Exception, asyncio.CancelledError) as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        code = 2
    sys.exit(code)
