#!/usr/bin/env python3
"""Runs load on real processes under faults and checks the histories against the ten invariants.

Each scenario starts a fleet of its own, drives programs with `pearbarrow-bench load`, injects its
faults at times drawn from the seed, waits until the fleet has settled, and joins the histories of
callers, engines, tools and operators for `pearbarrow-bench check`. Prints a row for each invariant
and exits 1 on any violation, 2 when a scenario could not be run.
"""

import argparse
import json
import os
import random
import subprocess
import sys
import tempfile
import threading
import time

import fleet as fleets

TENANTS = {"cellar": "key-of-cellar", "rival": "key-of-rival"}
ZONES = ["z1", "z2", "z3"]
SETTLE_SECONDS = 20
POLL_SECONDS = 0.25


def now_us():
    return time.time_ns() // 1000


class Scene:
    """A running fleet under load, and what the fault scripts of the scenarios need of it."""

    def __init__(self, fleet, seed, seconds):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.seconds = seconds
        self.faults = 0
        self.lock = threading.Lock()
        self.history_path = os.path.join(fleet.folder, "operators.history.jsonl")
        self.over = threading.Event()

    def start(self, with_relays):
        self.platform = self.fleet.start_platform()
        self.engines = [self.fleet.start_engine(f"engine-{i}") for i in (1, 2)]
        self.tool = self.fleet.start_tool("tools-1")
        self.nodes = self.fleet.start_nodes(ZONES, self.platform, behind_relays=with_relays)
        self.relays = self.fleet.relays
        objects = fleets.standard_objects(self.engines, [self.tool], TENANTS)
        version = self.nodes[0].apply(objects)
        for node in self.nodes:
            node.wait_version(version)

    def record(self, **line):
        with self.lock, open(self.history_path, "a", encoding="utf-8") as file:
            file.write(json.dumps({"at_us": now_us(), **line}) + "\n")

    def fault(self):
        with self.lock:
            self.faults += 1

    def pause_between(self, shortest, longest):
        """Waits a drawn time; true while the run goes on."""
        return not self.over.wait(self.random.uniform(shortest, longest))

    def poll_versions(self):
        """Notes the version that each reachable node names, again and again."""
        while not self.over.wait(POLL_SECONDS):
            self.note_versions()

    def note_versions(self):
        for node in list(self.nodes):
            try:
                status, _, answer = node.operate("GET", "status", seconds=2)
            except (OSError, fleets.http.client.HTTPException):
                continue
            if status == 200:
                self.record(event="version_seen", node=node.name, version=answer["version"])

    def replace(self, node):
        """Starts an ended node again with its settings and its data."""
        index = self.nodes.index(node)
        started = self.fleet.restart_node(node)
        self.nodes[index] = started
        return started

    def load_command(self, path, extra):
        command = [os.path.join(self.fleet.binaries, "pearbarrow-bench"), "load",
                   "--seconds", str(self.seconds), "--history", path, "--class", "agent",
                   "--repeatable-tool", "lookup", "--single-run-tool", "hold",
                   "--tight-budget-share", "0.15", "--abandoned-share", "0.1",
                   "--foreign-read-share", "0.2",
                   "--seed", str(self.random.randrange(1 << 30)), *extra]
        for node in self.nodes:
            command += ["--node", node.caller]
        for tenant, key in TENANTS.items():
            command += ["--key", f"{tenant}={key}"]
        return command

    def note_held_memory(self):
        """What engines still hold once the fleet has had time to settle."""
        deadline = time.monotonic() + SETTLE_SECONDS
        while True:
            held = [(engine, entry) for engine in self.engines
                    for entry in held_programs(engine)]
            if not held or time.monotonic() > deadline:
                break
            time.sleep(0.5)
        for engine, entry in held:
            self.record(event="memory_held", backend=engine.name, program=entry["program"],
                        blocks=entry.get("blocks", 0))


def set_faults(stand_in, *rules):
    """Puts exactly these fault rules in force at a stand-in."""
    order(stand_in.address, "/admin/faults", {"faults": list(rules)})


def order(address, path, body):
    status, _, answer = fleets.request(address, "POST", path, body)
    if status != 200:
        raise fleets.FleetError(f"{path} answered {status}: {answer}")


def wait_ready(node):
    fleets.wait_for(lambda: fleets.request(node.operator, "GET", "/readyz")[0] == 200,
                    fleets.START_SECONDS, f"{node.name} to be ready")


def held_programs(engine):
    if engine.exit_code is not None:
        return []
    _, _, listing = fleets.request(engine.address, "GET", "/v1/cache")
    return listing.get("programs", [])


def crash_nodes(scene):
    """SIGKILL of one node, sometimes of two, each started again with its data."""
    while scene.pause_between(1.5, 3.0):
        victims = scene.random.sample(scene.nodes, 1)
        for node in victims:
            scene.fault()
            node.kill()
        scene.over.wait(scene.random.uniform(0.2, 2.0))
        for node in victims:
            scene.replace(node).wait_ready()


def freeze_nodes(scene):
    """SIGSTOP for longer than others wait, then SIGCONT: the owner wakes unaware."""
    while scene.pause_between(0.8, 2.0):
        node = scene.random.choice(scene.nodes)
        scene.fault()
        node.pause()
        scene.over.wait(scene.random.uniform(0.5, 4.0))
        node.resume()


def crash_and_freeze(scene):
    """A freeze and a kill at the same time, of different nodes."""
    while scene.pause_between(2.0, 4.0):
        frozen, killed = scene.random.sample(scene.nodes, 2)
        scene.fault()
        frozen.pause()
        scene.over.wait(scene.random.uniform(0.0, 1.0))
        scene.fault()
        killed.kill()
        scene.over.wait(scene.random.uniform(0.5, 2.0))
        frozen.resume()
        scene.replace(killed).wait_ready()


def restart_in_turn(scene):
    """A planned restart of every node, one after the other, again and again."""
    while not scene.over.is_set():
        for node in list(scene.nodes):
            if not scene.pause_between(0.5, 1.0):
                return
            scene.fault()
            code = node.stop()
            if code != 0:
                raise fleets.FleetError(f"{node.name} exited {code} on SIGTERM")
            scene.replace(node).wait_ready()


def trouble_back_ends(scene):
    """Lost answers, failures, hangs and slowness of engines and tools, one at a time."""
    tool_path, model_path = "/v1/tools", "/v1/chat"
    rules = [
        (scene.tool, {"kind": "lose_answer", "path": tool_path, "probability": 0.5}),
        (scene.tool, {"kind": "drop", "path": tool_path, "probability": 0.5}),
        (scene.tool, {"kind": "refuse", "path": tool_path, "probability": 0.5}),
        (scene.tool, {"kind": "hang_after", "path": tool_path, "probability": 0.1}),
        (scene.engines[0], {"kind": "cut_stream", "path": model_path, "probability": 0.5}),
        (scene.engines[0], {"kind": "drop", "path": model_path, "probability": 0.5}),
        (scene.engines[1], {"kind": "refuse", "path": model_path, "probability": 0.5}),
        (scene.engines[1], {"kind": "delay", "delay_ms": 300, "probability": 0.5}),
    ]
    while scene.pause_between(0.3, 0.8):
        back_end, rule = scene.random.choice(rules)
        scene.fault()
        set_faults(back_end, rule)
        scene.over.wait(scene.random.uniform(0.5, 1.5))
        set_faults(back_end)


def forgetful_tool(scene):
    """A tool that cannot tell repeats apart loses answers while nodes are killed."""
    order(scene.tool.address, "/admin/tool", {"keeps_keys": False})
    set_faults(scene.tool, {"kind": "lose_answer", "path": "/v1/tools", "probability": 0.15})
    crash_nodes(scene)
    set_faults(scene.tool)


def crash_engines(scene):
    """SIGKILL of an engine; it comes back empty at the same address."""
    while scene.pause_between(1.0, 2.0):
        index = scene.random.randrange(len(scene.engines))
        scene.fault()
        scene.engines[index].kill()
        scene.over.wait(scene.random.uniform(0.2, 2.0))
        scene.engines[index] = scene.fleet.restart_stand_in(scene.engines[index])


def cut_links(scene):
    """Connections towards one node break or stall, one way or both, while it still answers probes."""
    modes = ["cut", "stall_to_target", "stall_to_client", "stall_both"]
    while scene.pause_between(0.5, 1.5):
        relay = scene.random.choice(scene.relays)
        scene.fault()
        order(relay.control, "/admin/faults", {"mode": scene.random.choice(modes)})
        scene.over.wait(scene.random.uniform(0.5, 4.0))
        order(relay.control, "/admin/faults", {"mode": "pass"})


def cut_and_crash(scene):
    """A link stalls while another node is killed."""
    while scene.pause_between(1.0, 2.5):
        index = scene.random.randrange(len(scene.nodes))
        scene.fault()
        order(scene.relays[index].control, "/admin/faults", {"mode": "stall_both"})
        victim = scene.nodes[(index + 1) % len(scene.nodes)]
        scene.over.wait(scene.random.uniform(0.0, 1.0))
        scene.fault()
        victim.kill()
        scene.over.wait(scene.random.uniform(0.2, 1.5))
        order(scene.relays[index].control, "/admin/faults", {"mode": "pass"})
        scene.replace(victim).wait_ready()


def race_operators(scene):
    """Two operators change the same labels while the platform fails and loses answers."""

    def operator(name):
        number = 0
        while scene.pause_between(0.1, 0.4):
            number += 1
            node = scene.random.choice(scene.nodes)
            body = {"kind": "pool", "name": "small", "set": {"writer": f"{name}-{number}"}}
            try:
                status, _, answer = node.operate("POST", "label", body, seconds=5)
            except (OSError, fleets.http.client.HTTPException):
                continue
            if status == 200:
                scene.record(event="change_accepted", version=answer["version"])

    operators = [threading.Thread(target=operator, args=(name,)) for name in ("ann", "ben")]
    for thread in operators:
        thread.start()
    while scene.pause_between(0.5, 1.5):
        scene.fault()
        set_faults(scene.platform, scene.random.choice([
            {"kind": "drop"}, {"kind": "lose_answer", "path": "/v3/kv/txn", "probability": 0.5},
            {"kind": "delay", "delay_ms": 400}, {"kind": "hang", "path": "/v3/kv"}]))
        scene.over.wait(scene.random.uniform(0.5, 3.0))
        set_faults(scene.platform)
    for thread in operators:
        thread.join()


def drain_back_end(scene):
    """An operator drains an engine under load; later it is taken back."""
    while scene.pause_between(1.0, 2.0):
        engine = scene.random.choice(scene.engines)
        scene.fault()
        body = {"target": "back_end", "name": engine.name, "draining": True}
        status, _, answer = scene.nodes[0].operate("POST", "drain", body)
        if status != 200:
            raise fleets.FleetError(f"drain answered {status}: {answer}")
        marked_at = now_us()
        scene.over.wait(5.0)
        # The mark holds until the drain is taken back: one interval for each drain.
        scene.record(event="back_end_leaving", backend=engine.name, at_us=marked_at,
                     until_us=now_us())
        scene.nodes[0].operate("POST", "drain", {**body, "draining": False})


def platform_outage(scene):
    """The platform is away for the whole run while a node is killed."""
    scene.fault()
    set_faults(scene.platform, {"kind": "drop"})
    crash_nodes(scene)
    set_faults(scene.platform)


SCENARIOS = {
    "crash": crash_nodes,
    "freeze": freeze_nodes,
    "crash-and-freeze": crash_and_freeze,
    "rolling-restart": restart_in_turn,
    "back-end-trouble": trouble_back_ends,
    "forgetful-tool": forgetful_tool,
    "crash-engines": crash_engines,
    "cut-links": cut_links,
    "cut-and-crash": cut_and_crash,
    "racing-operators": race_operators,
    "drain-back-end": drain_back_end,
    "platform-outage": platform_outage,
}
BEHIND_RELAYS = {"cut-links", "cut-and-crash"}
PLANNED_ONLY = {"rolling-restart", "drain-back-end", "racing-operators"}


def run_scenario(name, build_dir, seconds, seed, at_once):
    """Returns (faults, load summary, check report) of one scenario."""
    folder = tempfile.mkdtemp(prefix=f"pearbarrow-prove-{name}-")
    with fleets.Fleet(build_dir, folder) as fleet:
        scene = Scene(fleet, f"{seed}/{name}", seconds)
        scene.start(name in BEHIND_RELAYS)
        failures = []

        def inject():
            try:
                SCENARIOS[name](scene)
            except Exception as error:  # pylint: disable=broad-except
                failures.append(error)

        threads = [threading.Thread(target=inject),
                   threading.Thread(target=scene.poll_versions)]
        client_history = os.path.join(folder, "client.history.jsonl")
        command = scene.load_command(client_history, ["--at-once", str(at_once)])
        with open(os.path.join(folder, "load.log"), "w", encoding="utf-8") as log:
            load = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=log)
            for thread in threads:
                thread.start()
            time.sleep(seconds)
            scene.over.set()
            for thread in threads:
                thread.join()
            output = load.communicate(timeout=180)[0]
        if failures:
            raise failures[0]
        summary = json.loads(output)
        for node in scene.nodes:
            wait_ready(node)
        scene.note_held_memory()
        scene.note_versions()
        report = check(fleet, name, folder)
    return scene.faults, summary, report, folder


def check(fleet, name, folder):
    files = [os.path.join(folder, file) for file in sorted(os.listdir(folder))
             if file.endswith(".history.jsonl")]
    command = [os.path.join(fleet.binaries, "pearbarrow-bench"), "check", "--json", *files]
    if name in PLANNED_ONLY:
        command.append("--planned-stops-only")
    result = subprocess.run(command, capture_output=True, text=True, check=False)
    if result.returncode not in (0, 1):
        raise fleets.FleetError(f"check: {result.stderr}")
    return json.loads(result.stdout)


def add_up(totals, faults, report):
    for row in report["invariants"]:
        total = totals.setdefault(row["number"], {"invariant": row["invariant"], "faults": 0,
                                                  "operations": 0, "violations": 0})
        total["operations"] += row["operations"]
        total["violations"] += row["violations"]
        total["faults"] += faults if row["operations"] else 0


def print_totals(totals):
    print(f"\n{'#':>2}  {'invariant':<40} {'faults':>7} {'operations':>11} {'violations':>11}")
    for number in sorted(totals):
        row = totals[number]
        print(f"{number:>2}  {row['invariant']:<40} {row['faults']:>7} {row['operations']:>11} "
              f"{row['violations']:>11}")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build-dir", required=True)
    parser.add_argument("--seconds", type=float, default=120,
                        help="time of load in all, shared by the scenarios")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--at-once", type=int, default=12, help="programs under way at a time")
    parser.add_argument("--scenario", action="append", choices=sorted(SCENARIOS))
    options = parser.parse_args()
    names = options.scenario or list(SCENARIOS)
    seconds = max(4.0, options.seconds / len(names))
    totals = {}
    failed = False
    for name in names:
        faults, summary, report, folder = run_scenario(name, options.build_dir, seconds,
                                                       options.seed, options.at_once)
        violations = report["violations"]
        print(f"{name:<18} seed {options.seed} faults {faults:>3}  programs "
              f"{summary['programs_whole']}+{summary['programs_refused']}/{summary['programs']}  calls "
              f"{summary['calls_answered']}/{summary['calls']} unknown {summary['calls_unknown']}  "
              f"interrupted {summary['interruptions']}  violations {len(violations)}", flush=True)
        for failure in summary["failures"][:3]:
            print(f"    not whole: {failure}")
        for found in violations[:5]:
            print(f"    violation of {found['number']}: program {found['program']} "
                  f"call {found['call']}: {found['detail']}")
        if violations:
            failed = True
            print(f"    histories and logs: {folder}")
        else:
            fleets.shutil.rmtree(folder, ignore_errors=True)
        add_up(totals, faults, report)
    print_totals(totals)
    return 1 if failed else 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except fleets.FleetError as error:
        print(f"prove: could not be run: {error}", file=sys.stderr)
        sys.exit(2)
