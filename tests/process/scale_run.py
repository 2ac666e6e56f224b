"""One size of the scale run: starts its fleet, goes through the phases, returns the figures."""

import json
import math
import os
import subprocess
import threading
import time

import fleet as fleets

TENANT, KEY = "cellar", "key-of-cellar"
REAL_ZONES = ["z1", "z2", "z3"]
ZONES = ["z1", "z2", "z3", "z4", "z5"]
LOST_ZONE = "z5"
# Few nodes a thread: one that gets too little of a core looks dead to the others.
NODES_IN_A_PROCESS = 16
MOST_PROCESSES = 24
START_GAP_MS = 250
STARTING_SECONDS = 180
LEARNING_SECONDS = 60
POLL_SECONDS = 0.02
TICKS = os.sysconf("SC_CLK_TCK")


def now_us():
    return time.time_ns() // 1000


def cpu_seconds(pid):
    """User and system time of a process, from /proc."""
    with open(f"/proc/{pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def memory_bytes(pid):
    """Resident memory, and the part of it that is files, which processes share."""
    found = {}
    with open(f"/proc/{pid}/status", encoding="utf-8") as file:
        for line in file:
            name, _, value = line.partition(":")
            if name in ("VmRSS", "RssFile"):
                found[name] = int(value.split()[0]) * 1024
    return found.get("VmRSS", 0), found.get("RssFile", 0)


def half_of_memory():
    with open("/proc/meminfo", encoding="utf-8") as file:
        return int(file.readline().split()[1]) * 1024 // 2


class Hollow:
    """One process of hollow nodes or engines."""

    def __init__(self, fleet, name, *arguments):
        self.process = fleet.spawn(name, "pearbarrow-emulator",
                                   ["hollow", "--listen", "127.0.0.1:0", "--name", name,
                                    *arguments])
        self.address = self.process.wait_event("listening")["address"]

    @property
    def pid(self):
        return self.process.pid

    def get(self, path):
        status, _, answer = fleets.request(self.address, "GET", path)
        if status != 200:
            raise fleets.FleetError(f"{path} answered {status}: {answer}")
        return answer

    def post(self, path, body):
        status, _, answer = fleets.request(self.address, "POST", path, body)
        if status != 200:
            raise fleets.FleetError(f"{path} answered {status}: {answer}")
        return answer

    def stats(self):
        if self.process.exit_code is not None:
            raise fleets.FleetError(f"{self.process.name} ended with {self.process.exit_code}\n"
                                    + self.process.log_tail(5))
        return self.get("/stats")


class Watched:
    """A hollow engine behind a relay, which counts what a dispatcher exchanges with it."""

    def __init__(self, fleet, engine):
        self.name = engine["name"]
        process = fleet.spawn("relay", "pearbarrow-emulator",
                              ["relay", "--listen", "127.0.0.1:0", "--target", engine["address"]])
        listening = process.wait_event("listening")
        self.address, self.control = listening["address"], listening["control"]

    def bytes(self):
        _, _, counters = fleets.request(self.control, "GET", "/admin/faults")
        return counters["bytes_to_target"], counters["bytes_to_client"]


def metrics_of(node):
    """The numbers of a node's /metrics that have no labels."""
    _, _, text = fleets.request(node.operator, "GET", "/metrics")
    found = {}
    for line in text.splitlines():
        name, _, value = line.partition(" ")
        if name and name[0] != "#" and "{" not in name:
            found[name] = float(value)
    return found


def at_once(functions):
    """Runs the functions in threads; returns their results, or raises the first error."""
    results = [None] * len(functions)
    errors = []

    def run(index, function):
        try:
            results[index] = function()
        except Exception as error:  # noqa: BLE001 - handed to the caller
            errors.append(error)

    threads = [threading.Thread(target=run, args=item) for item in enumerate(functions)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if errors:
        raise errors[0]
    return results


def poll(condition, seconds, what):
    """Like `fleets.wait_for`, with a shorter pause."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        try:
            value = condition()
        except (OSError, fleets.http.client.HTTPException):
            value = None
        if value:
            return value
        time.sleep(POLL_SECONDS)
    raise fleets.FleetError(f"waited {seconds} s in vain for {what}")


class Run:
    """One size."""

    def __init__(self, fleet, options, size):
        self.fleet = fleet
        self.options = options
        self.size = size
        self.hollow_count = size - len(REAL_ZONES)
        self.gone = 0
        self.loader = None
        # Figures so far: a run that fails keeps those of the phases before.
        self.result = {"size": size}

    # ---- Start ----

    def start(self):
        self.platform = self.fleet.start_platform()
        self.engines = [self.fleet.start_engine(f"engine-{i}") for i in (1, 2)]
        self.tool = self.fleet.start_tool("tools-1", "--latency", "fixed:20ms")
        self.nodes = self.fleet.start_nodes(REAL_ZONES, self.platform,
                                            shard_count=self.options.shards)
        self.empty = Hollow(self.fleet, "hollow-empty")
        self.empty_memory = memory_bytes(self.empty.pid)
        self.hollow_engines = Hollow(self.fleet, "hollow-engines",
                                     "--engines", self.options.engines)
        self.watched = Watched(self.fleet, self.hollow_engines.get("/engines")["engines"][0])
        began = time.monotonic()
        self.hollow = self.start_hollow()
        self.wait_until_all_live()
        self.join_seconds = time.monotonic() - began
        self.version = self.nodes[0].apply(self.objects())
        self.wait_version(self.version)

    def start_hollow(self):
        processes = min(MOST_PROCESSES, math.ceil(self.hollow_count / NODES_IN_A_PROCESS))
        shares = [self.hollow_count // processes + (i < self.hollow_count % processes)
                  for i in range(processes)]
        common = ["--shards", self.options.shards, "--key-value", self.platform.address,
                  "--seed", self.options.seed, "--start-gap-ms", START_GAP_MS]
        for seed in self.fleet.seeds:
            common += ["--join", seed]
        for zone in ZONES:
            common += ["--zone", zone]
        return [Hollow(self.fleet, f"hollow-{i}", "--nodes", share,
                       "--first", sum(shares[:i]), *common)
                for i, share in enumerate(shares)]

    def objects(self):
        objects = fleets.standard_objects(self.engines, [self.tool], {TENANT: KEY})
        objects.append({"kind": "pool", "name": "hollow",
                        "spec": {"model": "hollow", "cell_size": 16}})
        for engine in self.hollow_engines.get("/engines")["engines"]:
            if engine["name"] == self.watched.name:
                engine["address"] = self.watched.address
            objects.append({"kind": "engine", "name": engine["name"],
                            "spec": {"address": engine["address"], "pool": "hollow"}})
        return objects

    def wait_until_all_live(self):
        def all_live():
            for process in self.hollow:
                stats = process.stats()
                live = stats.get("live_members", {"fewest": 0})
                if stats["nodes"] != stats["planned"] or live["fewest"] != self.size:
                    return False
            return all(metrics_of(node)["pearbarrow_members_live"] == self.size
                       for node in self.nodes)

        fleets.wait_for(all_live, STARTING_SECONDS, f"{self.size} nodes to know each other")

    # ---- What is measured ----

    def sample(self):
        stats = [process.stats() for process in self.hollow]
        return {
            "at": time.monotonic(),
            "traffic": {name: sum(item["traffic"][name] for item in stats)
                        for name in stats[0]["traffic"]},
            "hollow_cpu": sum(cpu_seconds(process.pid) for process in self.hollow),
            "real_cpu": sum(cpu_seconds(node.pid) for node in self.nodes),
            "real": [metrics_of(node) for node in self.nodes],
            "engine_requests": self.hollow_engines.stats()["engine_requests"],
            "engine_cpu": cpu_seconds(self.hollow_engines.pid),
            "watched": self.watched.bytes(),
        }

    def window(self, seconds):
        """Rates a node over a window, in bytes a second and shares of a core."""
        first = self.sample()
        time.sleep(seconds)
        return self.rates(first, self.sample())

    def rates(self, first, last):
        elapsed = last["at"] - first["at"]
        hollow = self.hollow_count - self.gone
        real = len(self.nodes)
        traffic = {name: last["traffic"][name] - first["traffic"][name]
                   for name in first["traffic"]}

        def real_rate(name):
            return sum(after[name] - before[name]
                       for before, after in zip(first["real"], last["real"])) / elapsed / real

        return {
            "seconds": elapsed,
            "membership_sent": traffic["datagram_bytes_sent"] / elapsed / hollow,
            "membership_received": traffic["datagram_bytes_received"] / elapsed / hollow,
            "peer_sent": traffic["peer_bytes_sent"] / elapsed / hollow,
            "peer_received": traffic["peer_bytes_received"] / elapsed / hollow,
            "hollow_core": (last["hollow_cpu"] - first["hollow_cpu"]) / elapsed / hollow,
            "real_core": (last["real_cpu"] - first["real_cpu"]) / elapsed / real,
            "real_membership_sent": real_rate("pearbarrow_membership_bytes_sent_total"),
            "real_membership_received": real_rate("pearbarrow_membership_bytes_received_total"),
            "real_peer_sent": real_rate("pearbarrow_peer_bytes_sent_total"),
            "pauses": traffic["pauses"],
            "sent_to_an_engine": (last["watched"][0] - first["watched"][0]) / elapsed,
            "received_from_an_engine": (last["watched"][1] - first["watched"][1]) / elapsed,
            "engine_requests": (last["engine_requests"] - first["engine_requests"]) / elapsed,
            "engine_core": (last["engine_cpu"] - first["engine_cpu"]) / elapsed,
        }

    def memory(self):
        totals = [memory_bytes(process.pid) for process in self.hollow]
        empty = self.empty_memory[0]
        real = [memory_bytes(node.pid) for node in self.nodes]
        return {
            "empty_process": empty,
            "hollow_node": (sum(item[0] for item in totals) - empty * len(totals))
                           / self.hollow_count,
            "hollow_node_with_process": sum(item[0] for item in totals) / self.hollow_count,
            "real_node": sum(item[0] for item in real) / len(real),
            "real_node_shared_files": sum(item[1] for item in real) / len(real),
            "hollow_engine": (memory_bytes(self.hollow_engines.pid)[0] - empty)
                             / max(1, self.options.engines),
            "all_processes": sum(memory_bytes(process.pid)[0]
                                 for process in self.fleet.processes
                                 if process.exit_code is None),
        }

    def routing(self):
        """Microseconds of one choice of one shard's owner, a member."""
        traffic = [process.stats()["traffic"] for process in self.hollow]
        computations = sum(item["routing_computations"] for item in traffic)
        spent = sum(item["routing_microseconds"] for item in traffic)
        return {"computations": computations,
                "microseconds_each": spent / max(1, computations)}

    # ---- Phases ----

    def start_load(self, seconds):
        command = [os.path.join(self.fleet.binaries, "pearbarrow-bench"), "load",
                   "--seconds", str(seconds), "--class", "agent", "--seed",
                   str(self.options.seed), "--at-once", str(self.options.programs),
                   "--repeatable-tool", "lookup", "--single-run-tool", "hold",
                   "--history", os.path.join(self.fleet.folder, "callers.history.jsonl"),
                   "--key", f"{TENANT}={KEY}"]
        for node in self.nodes:
            command += ["--node", node.caller]
        self.loader = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE)

    def finish_load(self):
        try:
            output, errors = self.loader.communicate(timeout=self.options.load_patience)
        except subprocess.TimeoutExpired as error:
            self.stop_load()
            raise fleets.FleetError("the load did not end") from error
        if self.loader.returncode != 0:
            raise fleets.FleetError(f"the load failed: {errors.decode(errors='replace')}")
        return json.loads(output)

    def stop_load(self):
        if self.loader is not None and self.loader.poll() is None:
            self.loader.kill()
            self.loader.wait()

    def wait_version(self, version, seconds=LEARNING_SECONDS):
        """When the last hollow node and the last real node had the version in force."""
        wanted = self.hollow_count - self.gone

        def hollow_time():
            found = [process.stats()["versions"].get(str(version)) for process in self.hollow]
            found = [item for item in found if item]
            if sum(item["nodes"] for item in found) < wanted:
                return None
            return max(item["last"] for item in found)

        def hollow_last():
            return fleets.wait_for(hollow_time, seconds, f"hollow nodes to reach {version}")

        def real_last(node):
            def reached():
                return node.operate("GET", "status")[2]["version"] >= version and now_us()
            return poll(reached, seconds, f"{node.name} to reach {version}")

        times = at_once([hollow_last] + [lambda node=node: real_last(node)
                                         for node in self.nodes])
        return times[0], max(times[1:])

    def change(self, number):
        began = now_us()
        node = self.nodes[number % len(self.nodes)]
        status, _, answer = node.operate(
            "PATCH", "objects/pool/hollow/labels", {"set": {"change": f"change-{number}"}})
        if status != 200:
            raise fleets.FleetError(f"label answered {status}: {answer}")
        accepted = now_us()
        hollow, real = self.wait_version(answer["version"])
        return {"accepted_seconds": (accepted - began) / 1e6,
                "everywhere_seconds": (max(hollow, real) - began) / 1e6}

    def changes(self, quiet):
        first = self.sample()
        done = []
        for number in range(self.options.changes):
            done.append(self.change(number))
            time.sleep(self.options.change_gap)
        rates = self.rates(first, self.sample())
        control = ("membership_sent", "peer_sent")
        extra = sum(rates[name] - quiet[name] for name in control) * rates["seconds"]
        return {"each": done,
                "slowest_seconds": max(item["everywhere_seconds"] for item in done),
                "bytes_sent_a_change": extra / self.options.changes,
                "core_seconds_a_change":
                    (rates["hollow_core"] - quiet["hollow_core"]) * rates["seconds"]
                    / self.options.changes}

    def dead_at(self, node):
        return node.operate("GET", "status")[2]["nodes_dead"]

    def silence(self, body):
        """Silences nodes; seconds until every node left has struck every one of them off."""
        before = {node.name: self.dead_at(node) for node in self.nodes}
        first = self.sample()
        for process in self.hollow:
            process.post("/forget", {})
        answers = at_once([lambda process=process: process.post("/silence", body)
                           for process in self.hollow])
        began = min(answer["unix_microseconds"] for answer in answers if answer["nodes"])
        silenced = [name for answer in answers for name in answer["nodes"]]
        self.gone += len(silenced)
        wanted = self.hollow_count - self.gone

        def hollow_time():
            found = [process.stats()["departures"] for process in self.hollow]
            last = 0
            for name in silenced:
                knowing = [item[name] for item in found if name in item]
                if sum(item["nodes"] for item in knowing) < wanted:
                    return None
                last = max([last] + [item["last"] for item in knowing])
            return last

        def hollow_last():
            return fleets.wait_for(hollow_time, LEARNING_SECONDS,
                                   f"hollow nodes to strike off {len(silenced)}")

        def real_last(node):
            def struck_off():
                dead = self.dead_at(node) - before[node.name]
                return dead >= len(silenced) and now_us()
            return poll(struck_off, LEARNING_SECONDS,
                        f"{node.name} to strike off {len(silenced)}")

        times = at_once([hollow_last] + [lambda node=node: real_last(node)
                                         for node in self.nodes])
        rates = self.rates(first, self.sample())
        return {"nodes": len(silenced), "seconds": (max(times) - began) / 1e6,
                "membership_sent": rates["membership_sent"],
                "hollow_core": rates["hollow_core"], "real_core": rates["real_core"],
                "falsely_struck_off": self.false_departures(silenced)}

    def false_departures(self, silenced):
        """Living nodes that some hollow node has struck off at this moment."""
        names = set()
        for process in self.hollow:
            names.update(name for name, item in process.stats()["departures"].items()
                         if item["nodes"] > 0 and name not in silenced)
        return len(names)

    def measure(self):
        options = self.options
        time.sleep(options.settle)
        result = self.result
        result.update(processes=len(self.hollow), engines=options.engines, shards=options.shards,
                      join_seconds=self.join_seconds, load_before=os.getloadavg()[0])
        result["quiet"] = self.window(options.window)
        if options.programs > 0:
            self.start_load(options.window + options.changes * (options.change_gap + 5) + 30)
            time.sleep(2)
            result["load"] = self.window(options.window)
        result["changes"] = self.changes(result["quiet"])
        result["memory"] = self.memory()
        if result["memory"]["all_processes"] > half_of_memory():
            raise fleets.FleetError("the run needs more than half of the machine's memory")
        result["one"] = self.silence({"nodes": ["hollow-0"]})
        result["zone"] = self.silence({"zone": LOST_ZONE})
        result["routing"] = self.routing()
        if self.loader is not None:
            result["programs"] = self.finish_load()
        result["load_after"] = os.getloadavg()[0]
        return result
