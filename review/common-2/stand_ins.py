"""Stand-ins for the cases of this review: the platform's store, runners, clients and the nodes.

They follow the users' pages (PROTOCOL.md, DEPLOY.md). Everything listens on loopback addresses and
free ports, and keeps its files in a temporary folder. Python's standard library only.
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
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
# The first word of `run` in deploy/system.toml; it is started with `--settings FILE`.
PROGRAM = ROOT / "target" / "bin" / "pearbarrow-fleet"
ZONES = ["z0", "z1", "z2"]
HOST = "ficu95.example"


# A loopback address of its own for each run, so that cases can run side by side.
IP = f"127.77.{os.getpid() // 250 % 250}.{os.getpid() % 250 + 1}"
USED_PORTS = set()


def free_port():
    """A port below those that the kernel gives to outgoing connections."""
    while True:
        port = random.randint(10_000, 30_000)
        if port in USED_PORTS:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((IP, port))
            except OSError:
                continue
        USED_PORTS.add(port)
        return port


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class Message:
    def __init__(self, first, headers, body=b""):
        self.first, self.headers, self.body = first, headers, body

    def header(self, name, default=""):
        for known, value in self.headers:
            if known.lower() == name.lower():
                return value
        return default


async def read_head(reader):
    text = await reader.readuntil(b"\r\n\r\n")
    lines = text.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name, value.strip()))
    return Message(lines[0], headers)


async def read_chunks(reader):
    """Yields the data of each chunk; raises if the body does not end as a whole."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if size == 0:
            while await reader.readuntil(b"\r\n") != b"\r\n":
                pass
            return
        data = await reader.readexactly(size)
        await reader.readexactly(2)
        yield data


async def read_request(reader):
    request = await read_head(reader)
    if "chunked" in request.header("Transfer-Encoding").lower():
        async for part in read_chunks(reader):
            request.body += part
    else:
        request.body = await reader.readexactly(int(request.header("Content-Length", "0")))
    return request


class Server:
    """An HTTP/1.1 server on a loopback address; a subclass answers in `handle`."""

    def __init__(self):
        self.port = free_port()
        self.server = None
        self.tasks = set()

    @property
    def address(self):
        return f"{IP}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, IP, self.port, limit=1 << 22)

    async def serve(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        try:
            while True:
                request = await read_request(reader)
                if not await self.handle(request, reader, writer):
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError):
            pass
        finally:
            self.tasks.discard(asyncio.current_task())
            writer.close()

    async def stop(self):
        self.server.close()
        for task in list(self.tasks):
            task.cancel()


def answer_bytes(status, headers, body):
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store(Server):
    """The platform's metadata store: ranges, watches and conditional writes."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.items = {}
        self.revision = 1
        self.history = []
        self.changed = asyncio.Condition()

    async def write(self, puts, removes=()):
        async with self.changed:
            self.revision += 1
            for key, value in puts:
                made = self.items[key]["made"] if key in self.items else self.revision
                item = {"tls_key": key, "value": base64.b64encode(value).decode(),
                        "rev": self.revision, "made": made, "lease": 0}
                self.items[key] = item
                self.history.append(item)
            for key in removes:
                if self.items.pop(key, None) is not None:
                    self.history.append({"tls_key": key, "rev": self.revision, "gone": True})
            self.changed.notify_all()
        return self.revision

    async def put(self, key, value):
        self.record(f"operator or runner writes {key}")
        return await self.write([(key, value.encode())])

    def value(self, key):
        return json.loads(base64.b64decode(self.items[key]["value"])) if key in self.items else None

    async def handle(self, request, reader, writer):
        method, target, _ = request.first.split(" ", 2)
        path, _, query = target.partition("?")
        fields = {key: values[0] for key, values in urllib.parse.parse_qs(query).items()}
        status, answer = await self.answer(method, path, fields, request.body)
        writer.write(answer_bytes(status, [("Content-Type", "application/json")],
                                  json.dumps(answer).encode()))
        await writer.drain()
        return True

    async def answer(self, method, path, fields, body):
        if path == "/kv-key":
            item = self.items.get(fields["tls_key"])
            return (200, {**item, "at": self.revision}) if item else (404, {})
        if path == "/kv-range":
            prefix, after = fields.get("path_prefix", ""), fields.get("after", "")
            found = [self.items[key] for key in sorted(self.items)
                     if key.startswith(prefix) and key > after]
            return 200, {"items": found[:500], "more": len(found) > 500, "at": self.revision}
        if path == "/kv-watch":
            return 200, await self.watch(fields.get("path_prefix", ""), int(fields["after"]),
                                         int(fields["wait_ms"]) / 1000)
        if path == "/kv-txn":
            wanted = json.loads(body)
            expected = {row["tls_key"]: row["rev"] for row in wanted.get("expect_rev", [])}
            held = {key: self.items[key]["rev"] if key in self.items else 0 for key in expected}
            if held != expected:
                return 412, {"items": [self.items[key] for key in expected if key in self.items]}
            puts = [(put["tls_key"], base64.b64decode(put["value"])) for put in wanted.get("put", [])]
            if any(key.startswith(("op/", "servers/")) for key, _ in puts):
                return 403, {}
            for key, value in puts:
                self.record(f"store takes {key} = {value.decode()}")
            return 200, {"rev": await self.write(puts, wanted.get("remove", []))}
        return 404, {}

    async def watch(self, prefix, after, wait):
        def events():
            return [item for item in self.history
                    if item["rev"] > after and item["tls_key"].startswith(prefix)]
        deadline = time.monotonic() + wait
        async with self.changed:
            while not events() and time.monotonic() < deadline:
                try:
                    await asyncio.wait_for(self.changed.wait(), deadline - time.monotonic())
                except asyncio.TimeoutError:
                    break
            return {"events": events(), "at": self.revision}


class Runner(Server):
    """A runner of one service. Subclasses change `answer`."""

    def __init__(self, record, identity, service, zone, events=3, slots=12):
        super().__init__()
        self.record, self.identity, self.service, self.zone = record, identity, service, zone
        self.events, self.slots = events, slots
        self.runs = []

    def entry(self, state="ready"):
        return json.dumps({"service": self.service, "address": self.address, "zone": self.zone,
                           "version": "v1", "slots": self.slots, "state": state,
                           "cold_left_ms": 0, "seq": 1})

    async def handle(self, request, reader, writer):
        method, target, _ = request.first.split(" ", 2)
        if method == "GET" and target == "/healthz":
            writer.write(answer_bytes(200, [("Pearbarrow-Instance-Id", self.identity)], b""))
            await writer.drain()
            return True
        if target == "/report":
            body = {"phase": "both", "models": [], "busy": False, "seq": 0, "queued": 0,
                    "running": 0, "kv_used": 0, "kv_total": 90000, "handles": 0}
            writer.write(answer_bytes(200, [("Content-Type", "application/json")],
                                      json.dumps(body).encode()))
            await writer.drain()
            return True
        request_id = request.header("Pearbarrow-Request-Id")
        wanted = request.header("Pearbarrow-Target-Instance")
        if wanted and wanted != self.identity:
            writer.write(answer_bytes(421, [("Pearbarrow-Request-Id", request_id),
                                            ("Pearbarrow-Not-Executed", "1")], b""))
            await writer.drain()
            return True
        self.runs.append((request_id, method, target, request.body))
        self.record(f"runner {self.identity} runs {request_id} {method} {target}, "
                    f"body {request.body!r}")
        return await self.answer(request, request_id, reader, writer)

    def head(self, request_id):
        return [("Pearbarrow-Request-Id", request_id),
                ("Pearbarrow-Response-Signature", f"sig.{self.identity}.{request_id}")]

    async def answer(self, request, request_id, reader, writer):
        if request.first.split(" ")[1].startswith("/chat/"):
            return await self.stream(request_id, writer)
        writer.write(answer_bytes(200, self.head(request_id), b"done " + request_id.encode()))
        await writer.drain()
        return True

    async def stream(self, request_id, writer):
        headers = self.head(request_id) + [("Content-Type", "text/event-stream"),
                                           ("Transfer-Encoding", "chunked")]
        writer.write(("HTTP/1.1 200 OK\r\n" + "".join(f"{n}: {v}\r\n" for n, v in headers) +
                      "\r\n").encode())
        for number in range(1, self.events + 1):
            event = f"id: {number}\ndata: piece {number} of {request_id}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.01)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class Answer:
    def __init__(self, status=0, headers=(), body=b"", complete=False):
        self.status, self.body, self.complete = status, body, complete
        self.message = Message("", list(headers))


async def exchange(port, method, path, headers, body=b"", timeout=10):
    """Sends one request on a new connection. Status 0: no answer."""
    answer = Answer()
    writer = None
    try:
        async def talk():
            nonlocal writer
            reader, writer = await asyncio.open_connection(IP, port, limit=1 << 22)
            lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
            lines += [f"{name}: {value}" for name, value in headers]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            head = await read_head(reader)
            answer.status, answer.message = int(head.first.split(" ")[1]), head
            if "chunked" in head.header("Transfer-Encoding").lower():
                async for part in read_chunks(reader):
                    answer.body += part
            else:
                answer.body = await reader.readexactly(int(head.header("Content-Length", "0")))
            answer.complete = True
        await asyncio.wait_for(talk(), timeout)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return answer


class Node:
    """A process of the system, started with the command of the deploy file."""

    def __init__(self, fleet, name, role, zone):
        self.fleet, self.name, self.role, self.zone = fleet, name, role, zone
        self.folder = fleet.folder / name
        self.folder.mkdir()
        self.peer, self.caller, self.ready, self.metrics = (free_port() for _ in range(4))
        self.process = None
        self.first_start = True
        self.log = None

    def settings(self):
        """What deploy/node.toml.template makes of the platform's fields."""
        is_edge = self.role == "edge"
        lines = [f'role = "{self.role}"', f'node = "{self.name}"', f'zone = "{self.zone}"',
                 f"first_start = {'true' if self.first_start else 'false'}",
                 f"memory_mb = {260 if is_edge else 280}", "stop_timeout_s = 8.0",
                 "change_bound_ms = 2000", f'directory_service = "{self.fleet.store.address}"',
                 "leaving_notice_ms = 2000",
                 "seeds = [" + ", ".join(f'"{IP}:{node.peer}"'
                                         for node in self.fleet.edges[:3]) + "]"]
        if not is_edge:
            lines += [f'data_folder = "{self.folder}/data"', "tolerated_losses = 1"]
        lines.append("[listen]")
        if is_edge:
            lines += [f'caller = "{IP}:{self.caller}"', f'ready = "{IP}:{self.ready}"']
        lines += [f'peer = "{IP}:{self.peer}"', f'metrics = "{IP}:{self.metrics}"',
                  "[regions]"] + [f'"{zone}" = "r"' for zone in ZONES]
        return "\n".join(lines) + "\n"

    async def start(self):
        (self.folder / "data").mkdir(exist_ok=True)
        path = self.folder / "node.toml"
        path.write_text(self.settings(), encoding="utf-8")
        if self.log is None:
            self.log = open(self.folder / "log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            str(PROGRAM), "--settings", str(path), cwd=ROOT, stdout=self.log, stderr=self.log)
        self.first_start = False
        self.fleet.record(f"{self.name} starts")

    def signal(self, number):
        self.fleet.record(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.process.wait()

    def empty_disk(self):
        self.fleet.record(f"{self.name} loses its disk")
        shutil.rmtree(self.folder / "data")

    def events(self, *names):
        found = []
        for line in (self.folder / "log").read_text(encoding="utf-8").splitlines():
            try:
                entry = json.loads(line)
            except ValueError:
                continue
            if entry.get("event") in names:
                found.append(entry)
        return found


class Fleet:
    def __init__(self, record, edges=2, storage=3):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="pearbarrow-review-"))
        self.store = Store(record)
        self.edges = [Node(self, f"edge-{n}", "edge", ZONES[n % 3]) for n in range(edges)]
        self.storage = [Node(self, f"storage-{n}", "storage", ZONES[n % 3]) for n in range(storage)]
        self.runners = []

    @property
    def nodes(self):
        return self.storage + self.edges

    def add_storage(self, zone):
        """A new machine with an empty disk and another name and address."""
        node = Node(self, f"storage-{len(self.storage)}", "storage", zone)
        node.first_start = False
        self.storage.append(node)
        return node

    async def start(self, config):
        await self.store.start()
        for runner in self.runners:
            await runner.start()
            await self.store.put(f"servers/{runner.identity}", runner.entry())
        await self.store.put("op/config", json.dumps(config))
        for node in self.nodes:
            await node.start()

    async def is_ready(self, edge):
        return (await exchange(edge.ready, "GET", "/readyz", [], timeout=1)).status == 200

    async def wait_until_ready(self, seconds=20):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            ready = [await self.is_ready(edge) for edge in self.edges]
            view = self.store.value("pearbarrow/storage")
            if all(ready) and view is not None and len(view["members"]) == len(self.storage):
                return True
            await asyncio.sleep(0.1)
        return False

    async def stop(self):
        for node in self.nodes:
            if node.process is not None and node.process.returncode is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                await node.process.wait()
            if node.log is not None:
                node.log.close()
        await self.store.stop()
        for runner in self.runners:
            await runner.stop()
        if os.environ.get("KEEP_LOGS"):
            self.record(f"logs are kept in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def config(version=1):
    """Routes and services of a small deployment."""
    limits = {"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_ms": 5000,
              "idle_timeout_ms": 20000}
    routes = [{"name": "chat", "host": HOST, "path_prefix": "/chat/", "service": "lm",
               "kind": "streaming", "attempts": 1, "timeout_ms": 4000, "slo_ms": 250,
               "priority": 1, "keeps_history": True, "retain_s": 60, "target_gap_ms": 200},
              {"name": "order", "host": HOST, "path_prefix": "/order/", "service": "app",
               "kind": "non_idempotent", "attempts": 1, "timeout_ms": 3000, "slo_ms": 500,
               "priority": 2},
              {"name": "look", "host": HOST, "path_prefix": "/look/", "service": "app",
               "kind": "idempotent", "attempts": 2, "timeout_ms": 1200, "slo_ms": 150,
               "priority": 2}]
    services = [{"name": "lm", "health_path": "/healthz", "max_conns": 170,
                 "engine": {"slots": 12, "chunk_tokens": 9}},
                {"name": "app", "health_path": "/healthz", "max_conns": 110}]
    return {"version": version, "routes": routes, "services": services, "limits": limits}


def turn_headers(request_id, program, previous="", budget=100000, deadline=4000):
    headers = [("Pearbarrow-Request-Id", request_id), ("Pearbarrow-Program-Id", program),
               ("Pearbarrow-Session-Id", program + "5e"), ("Pearbarrow-Model", "m"),
               ("Pearbarrow-Program-Deadline-Ms", "60000"),
               ("Pearbarrow-Token-Budget", str(budget)), ("Pearbarrow-Token-Usage", "100,27"),
               ("Pearbarrow-Prompt-Prefix", f"{request_id}:100"),
               ("Pearbarrow-Deadline-Ms", str(deadline))]
    if previous:
        headers.append(("Pearbarrow-Previous-Turn", previous))
    return headers


class Caller:
    """A client whose programs have one turn each, sent to the edges in turn."""

    def __init__(self, fleet, record):
        self.fleet, self.record, self.sent = fleet, record, 0

    async def first_turn(self):
        """Sends the first turn of a new program. Returns whether it was answered whole."""
        self.sent += 1
        request_id = f"c{self.sent:07d}"
        edge = self.fleet.edges[self.sent % len(self.fleet.edges)]
        self.record(f"client sends {request_id} to {edge.name}")
        answer = await exchange(edge.caller, "POST", "/chat/x",
                                turn_headers(request_id, f"p{self.sent}"), b"one\n", timeout=4)
        self.record(f"client gets {request_id}: {answer.status}, "
                    f"{'whole' if answer.complete else 'no end'}"
                    f"{' ' + answer.body.decode() if answer.status >= 400 else ''}")
        return answer.status == 200 and answer.complete

    async def turns(self, seconds):
        """Sends turns for so long. Returns how many were sent and how many were served."""
        until = self.record.now() + seconds
        tasks = []
        while self.record.now() < until:
            tasks.append(asyncio.create_task(self.first_turn()))
            await asyncio.sleep(0.25)
        results = await asyncio.gather(*tasks)
        return len(results), sum(results)


async def judge_recovery(fleet, record, disturb, recovery=12.0, judged=12.0):
    """RECOVER: a quarter is served before the disturbance and, `recovery` seconds after the return
    of all machines, a quarter of the turns sent then. Returns the result of the case."""
    if not await fleet.wait_until_ready():
        record("the fleet did not become ready")
        return 2
    caller = Caller(fleet, record)
    await asyncio.sleep(4)
    sent, served = await caller.turns(4)
    record(f"before the disturbance: {served} of {sent} served")
    if served * 4 < sent:
        return 2
    await disturb()
    record("all machines are back")
    await caller.turns(recovery)
    sent, served = await caller.turns(judged)
    record(f"sent more than {recovery} s after the return of all machines: {served} of {sent} "
           "served; a quarter is the least")
    view = fleet.store.value("pearbarrow/storage")
    record(f"members in the storage view: {[member['node'] for member in view['members']]}")
    for node in fleet.storage:
        for entry in node.events("storage_member_dead", "storage_view_proposed", "storage_loss_not_borne",
                                 "turn_replica_complete", "turn_replica_no_voter",
                                 "turn_store_loaded", "directory_recalled"):
            record(f"{node.name} logged {entry}")
    return 1 if served * 4 < sent else 0


def play(run, folder, seconds=115):
    """Plays a case and returns its exit status. `run` gets the record."""
    record = Record(folder / "record.txt")
    try:
        result = asyncio.run(asyncio.wait_for(run(record), seconds))
    except Exception as error:  # noqa: BLE001: the case could not run
        record(f"the case could not run: {error!r}")
        result = 2
    record(f"result {result}")
    return result
