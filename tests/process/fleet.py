"""Starts, stops and pauses real pearbarrow processes on loopback, for tests and the quickstart.

Every process listens on a port that is reserved here or chosen by the kernel, and prints it as a
JSON line; every file lies in one temporary folder. Processes are ended by their own pid only.
"""

import collections
import hashlib
import http.client
import json
import os
import queue
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time

START_SECONDS = 30
STOP_SECONDS = 20
LOG_TAIL_LINES = 40
FIRST_PORT = 10_000
END_PORT = 30_000

port_holders = []


class FleetError(Exception):
    """A process did not do what the fleet asked of it."""


class Process:
    """One child process whose standard output is JSON lines and whose log is a file."""

    def __init__(self, name, command, log_path):
        self.name = name
        self.command = command
        self.log_path = log_path
        self.lines = queue.Queue()
        self._log = open(log_path, "ab")
        self._child = subprocess.Popen(
            command, stdout=subprocess.PIPE, stderr=self._log, stdin=subprocess.DEVNULL
        )
        self._reader = threading.Thread(target=self._read_output, daemon=True)
        self._reader.start()

    def _read_output(self):
        for raw in self._child.stdout:
            self._keep(raw)
            try:
                self.lines.put(json.loads(raw))
            except ValueError:
                self.lines.put({"event": "text", "text": raw.decode(errors="replace")})

    def _keep(self, raw):
        """Logs come on standard output: they belong into the log file too."""
        if not self._log.closed:
            self._log.write(raw)
            self._log.flush()

    @property
    def pid(self):
        return self._child.pid

    @property
    def exit_code(self):
        return self._child.poll()

    def wait_event(self, event, seconds=START_SECONDS):
        """The first JSON line named `event`; fails with the end of the log otherwise."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            try:
                line = self.lines.get(timeout=0.05)
            except queue.Empty:
                if self._child.poll() is not None and self.lines.empty():
                    break
                continue
            if line.get("event") == event:
                return line
        raise FleetError(f"{self.name}: no '{event}' within {seconds} s\n{self.log_tail()}")

    def log_tail(self, lines=LOG_TAIL_LINES):
        with open(self.log_path, "rb") as log:
            return b"".join(collections.deque(log, lines)).decode(errors="replace")

    def send_signal(self, number):
        if self._child.poll() is None:
            self._child.send_signal(number)

    def pause(self):
        self.send_signal(signal.SIGSTOP)

    def resume(self):
        self.send_signal(signal.SIGCONT)

    def kill(self):
        """SIGKILL: the process ends at once and writes nothing more."""
        if self._child.poll() is None:
            self._child.kill()
        self._child.wait()
        self._close()

    def stop(self, seconds=STOP_SECONDS):
        """SIGTERM, and the exit code. Fails when the process does not end in time."""
        self.send_signal(signal.SIGTERM)
        return self.wait_exit(seconds)

    def wait_exit(self, seconds=STOP_SECONDS):
        try:
            code = self._child.wait(seconds)
        except subprocess.TimeoutExpired as error:
            tail = self.log_tail()
            self.kill()
            raise FleetError(f"{self.name}: still alive {seconds} s after SIGTERM\n{tail}") from error
        self._close()
        return code

    def _close(self):
        self._reader.join(timeout=5)
        self._child.stdout.close()
        self._log.close()


def split_address(address):
    host, port = address.rsplit(":", 1)
    return host, int(port)


def request(address, method, path, body=None, headers=None, seconds=20):
    """One HTTP request; returns (status, headers, decoded JSON or text)."""
    host, port = split_address(address)
    connection = http.client.HTTPConnection(host, port, timeout=seconds)
    try:
        payload = None if body is None else json.dumps(body)
        all_headers = {"Content-Type": "application/json", **(headers or {})}
        connection.request(method, path, payload, all_headers)
        response = connection.getresponse()
        text = response.read().decode()
        try:
            decoded = json.loads(text) if text else None
        except ValueError:
            decoded = text
        return response.status, dict(response.getheaders()), decoded
    finally:
        connection.close()


class EventStream:
    """A server-sent-event answer, read event by event."""

    def __init__(self, address, method, path, body=None, headers=None, seconds=20):
        host, port = split_address(address)
        self._connection = http.client.HTTPConnection(host, port, timeout=seconds)
        payload = None if body is None else json.dumps(body)
        all_headers = {"Content-Type": "application/json", **(headers or {})}
        self._connection.request(method, path, payload, all_headers)
        self._response = self._connection.getresponse()
        self.status = self._response.status
        self.headers = dict(self._response.getheaders())

    def events(self):
        """Yields dictionaries with `id`, `event` and `data` until the stream ends.

        Raises http.client.IncompleteRead or an OSError when the stream was cut.
        """
        current = {"id": "", "event": "", "data": []}
        while True:
            raw = self._response.readline()
            if not raw:
                return
            line = raw.decode().rstrip("\r\n")
            if line == "":
                if current["data"]:
                    yield {**current, "data": "\n".join(current["data"])}
                current = {"id": "", "event": "", "data": []}
                continue
            field, _, value = line.partition(":")
            value = value[1:] if value.startswith(" ") else value
            if field == "data":
                current["data"].append(value)
            elif field in current:
                current[field] = value

    def body(self):
        return self._response.read().decode()

    def close(self):
        self._connection.close()


class Fleet:
    """Emulated back ends and platform, and the nodes, in one temporary folder."""

    def __init__(self, build_dir, folder=None):
        self.binaries = os.path.join(os.path.abspath(build_dir), "bin")
        self._own_folder = folder is None
        self.folder = folder or tempfile.mkdtemp(prefix="pearbarrow-")
        self.processes = []
        self.relays = []

    def __enter__(self):
        return self

    def __exit__(self, *exception):
        self.close()

    def close(self):
        """Kills what still runs and removes the folder."""
        for process in self.processes:
            if process.exit_code is None:
                process.kill()
        if self._own_folder and not os.environ.get("PEARBARROW_KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)

    def spawn(self, name, program, arguments):
        command = [os.path.join(self.binaries, program)] + [str(item) for item in arguments]
        process = Process(name, command, os.path.join(self.folder, name + ".log"))
        self.processes.append(process)
        return process

    def start_platform(self, *arguments):
        return self._start_emulator("platform", "platform", arguments)

    def start_engine(self, name, *arguments):
        return self._start_emulator(name, "engine", arguments)

    def start_tool(self, name, *arguments):
        return self._start_emulator(name, "tool", arguments)

    def _start_emulator(self, name, command, arguments):
        history = os.path.join(self.folder, name + ".history.jsonl")
        process = self.spawn(
            name,
            "pearbarrow-emulator",
            [command, "--listen", f"127.0.0.1:{free_tcp_port()}", "--name", name, "--history", history,
             *arguments],
        )
        process.history_path = history
        process.address = process.wait_event("listening")["address"]
        return process

    def restart_stand_in(self, process):
        """Starts an ended stand-in again at its address, with nothing kept."""
        started = self.spawn(process.name, "pearbarrow-emulator", process.command[1:])
        started.history_path = process.history_path
        started.address = started.wait_event("listening")["address"]
        return started

    def start_nodes(self, zones, platform=None, **options):
        """Starts one node a zone, each with a data folder, and waits until all are ready."""
        names = [f"node-{index + 1}" for index in range(len(zones))]
        self.seeds = [f"127.0.0.1:{free_udp_port()}" for _ in zones]
        nodes = [
            self.start_node(name, zone, seed, platform, **options)
            for name, zone, seed in zip(names, zones, self.seeds)
        ]
        for node in nodes:
            node.wait_ready()
        return nodes

    def start_relay(self, name, target):
        """A relay in front of `target`; its `control` address takes orders to cut and stall."""
        process = self.spawn(name, "pearbarrow-emulator",
                             ["relay", "--listen", "127.0.0.1:0", "--target", target])
        event = process.wait_event("listening")
        process.address, process.control = event["address"], event["control"]
        self.relays.append(process)
        return process

    def start_node(self, name, zone, datagram="127.0.0.1:0", platform=None, seeds=None, disk=True,
                   shard_count=8, extra="", behind_relays=False):
        data_folder = os.path.join(self.folder, name + ".data") if disk else None
        peer = f"127.0.0.1:{free_tcp_port()}"
        if behind_relays:
            relay = self.start_relay(name + "-relay", peer)
            extra += f'\n[advertise]\npeer = "{relay.address}"\n'
        settings = node_settings(
            name=name, zone=zone, datagram=datagram, platform=platform,
            seeds=self.seeds if seeds is None else seeds,
            data_folder=data_folder, shard_count=shard_count, extra=extra, peer=peer,
        )
        path = os.path.join(self.folder, name + ".toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(settings)
        return self._start_daemon(name, path)

    def restart_node(self, node):
        """Starts a node that has ended again, with its settings and its data folder."""
        return self._start_daemon(node.name, node.settings_path)

    def _start_daemon(self, name, settings_path):
        process = self.spawn(name, "pearbarrowd", ["--settings", settings_path])
        process.settings_path = settings_path
        node = Node(process)
        node.take_addresses(process.wait_event("listening"))
        return node

    @property
    def seeds(self):
        return getattr(self, "_seeds", [])

    @seeds.setter
    def seeds(self, value):
        self._seeds = value


OPERATOR_KEY = "operator-key-for-tests"


class Node:
    """A running pearbarrowd with the addresses that it announced."""

    def __init__(self, process):
        self.process = process

    def __getattr__(self, name):
        return getattr(self.process, name)

    def take_addresses(self, event):
        self.caller = event["caller"]
        self.operator = event["operator"]

    def wait_ready(self, seconds=START_SECONDS):
        return self.process.wait_event("ready", seconds)

    def operate(self, method, path, body=None, seconds=20):
        headers = {"Authorization": "Bearer " + OPERATOR_KEY}
        return request(self.operator, method, "/operator/v1/" + path, body, headers, seconds)

    def apply(self, resources):
        status, _, answer = self.operate("POST", "apply", resources)
        if status != 200:
            raise FleetError(f"apply answered {status}: {answer}")
        return answer["version"]

    def wait_version(self, version, seconds=15):
        """Waits until the node has the configuration version in force."""
        wait_for(
            lambda: self.operate("GET", "status")[2]["version"] >= version,
            seconds,
            f"{self.name} to reach version {version}",
        )


def wait_for(condition, seconds, what):
    """Polls until `condition` holds; fails after `seconds`."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        try:
            value = condition()
            if value:
                return value
        except (OSError, http.client.HTTPException):
            pass
        time.sleep(0.05)
    raise FleetError(f"waited {seconds} s in vain for {what}")


def free_udp_port():
    """A reserved port for a node that others must know before it starts."""
    while True:
        port = free_tcp_port()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


def free_tcp_port():
    """A reserved port below those that the kernel gives to outgoing connections.

    A node that starts again needs the same port, so no connection may take it meanwhile. A socket
    that never listens holds it until this process ends: neither a later call nor another test
    process gets it. A node can still listen on it, since its listeners allow address reuse.
    """
    while True:
        port = random.randrange(FIRST_PORT, END_PORT)
        holder = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            holder.bind(("127.0.0.1", port))
        except OSError:
            holder.close()
            continue
        # Set after bind(): a port that another process has bound is not shared.
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        port_holders.append(holder)
        return port


def key_digest(key):
    return hashlib.sha256(key.encode()).hexdigest()


def node_settings(name, zone, datagram, platform, seeds, data_folder, shard_count, extra, peer):
    """The text of a node's settings file."""
    lines = [
        f'node = "{name}"',
        'cluster = "test"',
        f'zone = "{zone}"',
        'region = "region-1"',
        f"shard_count = {shard_count}",
        f'operator_key_hashes = ["{key_digest(OPERATOR_KEY)}"]',
    ]
    if data_folder:
        lines.append(f'data_folder = "{data_folder}"')
    if seeds:
        lines.append("seeds = [" + ", ".join(f'"{seed}"' for seed in seeds) + "]")
    lines += ["[listen]", f'datagram = "{datagram}"']
    lines += [f'{use} = "127.0.0.1:{free_tcp_port()}"' for use in ("caller", "operator")]
    lines += [f'peer = "{peer}"']
    if platform:
        lines += [
            "[platform]",
            f'key_value = ["{platform.address}"]',
            f'machine_list = "{platform.address}"',
        ]
    return "\n".join(lines) + "\n" + extra + "\n"


def standard_objects(engines, tools, tenants):
    """Objects of a small fleet: one pool, one class, and a rule that allows everything.

    `tenants` maps a tenant's name to its API key.
    """
    objects = [
        {"kind": "pool", "name": "small", "labels": {"size": "small"},
         "spec": {"model": "pearl-8b", "cell_size": 8}},
        {"kind": "program_class", "name": "agent", "spec": {}},
        {"kind": "scheduling_rule", "name": "everything",
         "spec": {"programs": "", "pools": ""}},
    ]
    for engine in engines:
        objects.append({"kind": "engine", "name": engine.name,
                        "spec": {"address": engine.address, "pool": "small"}})
    for tool in tools:
        objects.append({
            "kind": "tool_service", "name": tool.name,
            "spec": {"address": tool.address,
                     "tools": [{"name": "lookup", "repeatable": True, "queryable": True},
                               {"name": "hold", "repeatable": False, "queryable": True}]},
        })
    for name, key in tenants.items():
        objects.append({"kind": "tenant", "name": name,
                        "spec": {"api_key_sha256": [key_digest(key)]}})
    return objects


class Caller:
    """A tenant's program calls through any node's callers' address."""

    def __init__(self, key):
        self.headers = {"Authorization": "Bearer " + key}

    def open_program(self, address, budget=100_000):
        status, _, body = request(address, "POST", "/v1/programs",
                                  {"program_class": "agent", "token_budget": budget}, self.headers)
        if status != 201:
            raise FleetError(f"open answered {status}: {body}")
        return body["id"]

    def call(self, address, program, body, seconds=30):
        return request(address, "POST", f"/v1/programs/{program}/calls", body, self.headers, seconds)

    def stream(self, address, program, body, seconds=30):
        return EventStream(address, "POST", f"/v1/programs/{program}/calls",
                           {**body, "stream": True}, self.headers, seconds)

    def history(self, address, program):
        return request(address, "GET", f"/v1/programs/{program}/history", None, self.headers)

    def program(self, address, program):
        return request(address, "GET", f"/v1/programs/{program}", None, self.headers)

    def end_program(self, address, program):
        return request(address, "DELETE", f"/v1/programs/{program}", None, self.headers)


def model_call(number, text, max_output_tokens=64):
    return {"number": number, "model": "pearl-8b", "max_output_tokens": max_output_tokens,
            "messages": [{"role": "user", "content": text}]}


def tool_call(number, tool, arguments, repeatable=False):
    return {"number": number, "tool": tool, "arguments": arguments, "repeatable": repeatable}


def read_stream(events):
    """The text and the result of a streamed call, from its events."""
    text, parts, result = "", 0, None
    for event in events:
        data = json.loads(event["data"])
        if event["event"] == "restart":
            text = ""
        elif event["event"] == "part":
            text += data["text"]
            parts += 1
        elif event["event"] == "result":
            result = data
        elif event["event"] == "error":
            raise FleetError(f"the stream ended with an error: {data}")
    return text, parts, result
