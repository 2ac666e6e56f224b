#!/usr/bin/env python3
"""Measures a small fleet of real processes on this machine, and prints a line a figure.

Each figure has the machine's load average beside it, as it was when the measurement began. The
engines are emulated at no cost, so that what is measured is pearbarrow and the loopback.
"""

import argparse
import http.client
import json
import os
import random
import shutil
import subprocess
import sys
import tempfile
import time
import uuid

import fleet

KEY = "granite-cellar-key"
TENANT = "granite-cellar"
ZONES = ["zone-a", "zone-b", "zone-c"]
MODEL = "pearl-8b"
PARTS = ["overhead", "load", "failover", "journal", "decisions"]
FREE_ENGINE = ("--step-base-us", "0", "--prefill-token-us", "0", "--decode-sequence-us", "0",
               "--time-scale", "0")
TINY_ANSWER = ("--min-answer-tokens", "4", "--max-answer-tokens", "4")
ANSWER_TOKENS = 4
TURNS = 4
OVERHEAD_SECONDS = 20
AT_ONCE = [1, 8, 32, 128, 512]
LOAD_SECONDS = 5
OUTPUT_SECONDS = 600


def median_and_99th(values):
    ordered = sorted(values)
    return ordered[len(ordered) // 2], ordered[min(len(ordered) - 1, len(ordered) * 99 // 100)]


class Report:
    """Prints figures, and keeps them for a file of JSON lines."""

    def __init__(self):
        self.rows = []

    def row(self, part, text, **values):
        load = os.getloadavg()[0]
        self.rows.append({"part": part, "load_average": load, **values})
        print(f"{part:<10} [load {load:5.1f}]  {text}", flush=True)


def start_fleet(processes, zones, engine_count=2, engine_arguments=()):
    platform = processes.start_platform()
    engines = [processes.start_engine(f"engine-{index + 1}", *FREE_ENGINE, *engine_arguments)
               for index in range(engine_count)]
    tool = processes.start_tool("tool-1", "--latency", "fixed:0ms")
    nodes = processes.start_nodes(zones, platform)
    objects = fleet.standard_objects(engines, [tool], {TENANT: KEY})
    version = nodes[0].apply(objects)
    for node in nodes:
        node.wait_version(version)
    return engines, nodes


class StreamTimer:
    """Times streamed answers over one connection to `address`, which stays open."""

    def __init__(self, address):
        host, port = fleet.split_address(address)
        self.connection = http.client.HTTPConnection(host, port, timeout=30)
        self.connection.connect()

    def time_to_first_token(self, path, body, headers):
        """Milliseconds from sending the request to the first event with data; reads the rest."""
        payload = json.dumps(body)
        begun = time.perf_counter()
        self.connection.request("POST", path, payload,
                                {"Content-Type": "application/json", **headers})
        response = self.connection.getresponse()
        first = None
        while True:
            line = response.readline()
            if not line:
                break
            if first is None and line.startswith(b"data:"):
                first = (time.perf_counter() - begun) * 1000
        if response.status != 200 or first is None:
            raise fleet.FleetError(f"{path} answered {response.status}")
        return first


def ask_engine(timer, messages):
    body = {"model": MODEL, "messages": messages, "max_tokens": ANSWER_TOKENS, "stream": True}
    return timer.time_to_first_token("/v1/chat/completions", body,
                                     {"X-Request-Id": uuid.uuid4().hex})


def ask_node(timer, caller, program, number, text):
    body = {**fleet.model_call(number, text, ANSWER_TOKENS), "stream": True}
    return timer.time_to_first_token(f"/v1/programs/{program}/calls", body, caller.headers)


def measure_overhead(report, build_dir, seconds=OVERHEAD_SECONDS):
    """Programs of a few turns at each node in turn; every call is also put to an engine directly."""
    direct, through = [], []
    with fleet.Fleet(build_dir) as processes:
        engines, nodes = start_fleet(processes, ZONES, engine_arguments=TINY_ANSWER)
        caller = fleet.Caller(KEY)
        engine_timers = [StreamTimer(engine.address) for engine in engines]
        node_timers = [StreamTimer(node.caller) for node in nodes]
        deadline = time.monotonic() + seconds
        turn = 0
        while time.monotonic() < deadline:
            at = turn % len(nodes)
            program = caller.open_program(nodes[at].caller)
            messages = []
            for number in range(1, TURNS + 1):
                turn += 1
                text = f"question {turn} " + "w" * 160
                messages.append({"role": "user", "content": text})
                direct.append(ask_engine(engine_timers[turn % len(engines)], messages))
                through.append(ask_node(node_timers[at], caller, program, number, text))
                messages.append({"role": "assistant", "content": "a" * 4 * ANSWER_TOKENS})
            caller.end_program(nodes[at].caller, program)
    added = [behind - alone for behind, alone in zip(through, direct)]
    for name, values in (("engine asked directly", direct), ("through a node", through),
                         ("added, call by call", added)):
        middle, high = median_and_99th(values)
        report.row("overhead", f"{name:<22} median {middle:7.3f} ms, p99 {high:7.3f} ms, "
                   f"{len(values)} calls", name=name, median_ms=middle, p99_ms=high,
                   calls=len(values))


def processor_seconds(process):
    """User and system time of a process so far, from /proc."""
    with open(f"/proc/{process.pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def run_load(build_dir, nodes, at_once, seconds):
    command = [os.path.join(os.path.abspath(build_dir), "bin", "pearbarrow-bench"), "load",
               "--key", f"{TENANT}={KEY}", "--class", "agent", "--model", MODEL,
               "--repeatable-tool", "lookup", "--single-run-tool", "", "--fewest-turns", "6",
               "--most-turns", "6", "--think-ms", "0", "--prompt-words", "8",
               "--output-tokens", str(ANSWER_TOKENS), "--at-once", str(at_once),
               "--seconds", str(seconds), "--seed", str(random.randrange(1, 1 << 31))]
    for node in nodes:
        command += ["--node", node.caller]
    output = subprocess.run(command, stdout=subprocess.PIPE, check=True,
                            timeout=OUTPUT_SECONDS).stdout
    return json.loads(output)


def measure_load(report, build_dir, seconds=LOAD_SECONDS):
    """Calls a second with a rising number of programs at once: six model calls and the five tool
    calls between them, none of which takes time at its back end."""
    shapes = [("one node alone", ZONES[:1], 1), ("one node of three", ZONES, 1),
              ("three nodes", ZONES, 3)]
    for name, zones, entries in shapes:
        with fleet.Fleet(build_dir) as processes:
            engines, nodes = start_fleet(processes, zones, 4, TINY_ANSWER)
            for at_once in AT_ONCE:
                watched = [node.process for node in nodes] + engines
                before = [processor_seconds(process) for process in watched]
                begun = time.monotonic()
                summary = run_load(build_dir, nodes[:entries], at_once, seconds)
                passed = time.monotonic() - begun
                used = [(processor_seconds(process) - past) / passed
                        for process, past in zip(watched, before)]
                rate = summary["calls_answered"] / summary["seconds"]
                first = summary["time_to_first_part"]
                report.row(
                    "load", f"{name:<18} {at_once:4d} programs at once: {rate:7.0f} calls/s, "
                    f"first part p50 {first['p50_ms']:.2f} ms p99 {first['p99_ms']:.2f} ms, "
                    f"failed {summary['programs_failed']}, cores used by nodes "
                    + " ".join(f"{part:.2f}" for part in used[:len(nodes)])
                    + f", by engines {sum(used[len(nodes):]):.2f}",
                    name=name, at_once=at_once, calls_a_second=rate, first_part=first,
                    failed=summary["programs_failed"], failures=summary["failures"], cores=used)
                for failure in summary["failures"][:2]:
                    print(f"           failed: {failure}", flush=True)


def owner_among(nodes, key):
    for node in nodes:
        _, _, answer = node.operate("GET", "shards")
        if any(shard["state"] == "serving" and shard["programs"] > 0
               for shard in answer["shards"]):
            return node
    raise fleet.FleetError(f"nobody owns {key}")


def failover_once(build_dir):
    """Seconds from SIGKILL of a program's owner to the whole answer of its next turn."""
    with fleet.Fleet(build_dir) as processes:
        _, nodes = start_fleet(processes, ZONES, 2, TINY_ANSWER)
        caller = fleet.Caller(KEY)
        program = caller.open_program(nodes[0].caller)
        status, _, body = caller.call(nodes[0].caller, program, fleet.model_call(1, "first", 4))
        if status != 200:
            raise fleet.FleetError(f"the first turn answered {status}: {body}")
        owner = owner_among(nodes, program)
        others = [node for node in nodes if node is not owner]
        time.sleep(random.uniform(0, 0.5))
        owner.kill()
        begun = time.monotonic()
        refusals = 0
        while True:
            status, _, body = caller.call(random.choice(others).caller, program,
                                          fleet.model_call(2, "next", 4))
            if status == 200:
                return time.monotonic() - begun, refusals
            refusals += 1
            if time.monotonic() - begun > 30:
                raise fleet.FleetError(f"the next turn answers {status}: {body}")
            time.sleep(0.02)


def measure_failover(report, build_dir, kills):
    runs = [failover_once(build_dir) for _ in range(kills)]
    times = sorted(seconds for seconds, _ in runs)
    report.row("failover", f"{kills} kills of the owner: next turn answered after median "
               f"{times[len(times) // 2]:.3f} s, least {times[0]:.3f} s, most {times[-1]:.3f} s; "
               f"refusals before it: {sum(refusals for _, refusals in runs)}",
               seconds=times, refusals=sum(refusals for _, refusals in runs))


def run_lines(report, part, command):
    output = subprocess.run(command, stdout=subprocess.PIPE, check=True, timeout=OUTPUT_SECONDS,
                            text=True).stdout
    for line in output.splitlines():
        report.row(part, line, line=line)


def measure_journal(report, build_dir):
    folder = tempfile.mkdtemp(prefix="pearbarrow-journal-")
    try:
        program = os.path.join(os.path.abspath(build_dir), "bin", "journal_benchmark")
        run_lines(report, "journal", [program, os.path.join(folder, "data"), "--threaded"])
    finally:
        shutil.rmtree(folder, ignore_errors=True)


def measure_decisions(report, build_dir):
    program = os.path.join(os.path.abspath(build_dir), "bin", "pearbarrow-bench")
    run_lines(report, "decisions", [program, "decisions"])


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build-dir", required=True, help="where the programs were built")
    parser.add_argument("--only", default=",".join(PARTS), help="parts, comma-separated")
    parser.add_argument("--kills", type=int, default=20, help="owners killed for failover")
    parser.add_argument("--json", help="also write the figures to this file, a JSON line each")
    flags = parser.parse_args()
    parts = flags.only.split(",")
    for part in parts:
        if part not in PARTS:
            parser.error(f"no part '{part}'; there are {', '.join(PARTS)}")
    report = Report()
    if "overhead" in parts:
        measure_overhead(report, flags.build_dir)
    if "load" in parts:
        measure_load(report, flags.build_dir)
    if "failover" in parts:
        measure_failover(report, flags.build_dir, flags.kills)
    if "journal" in parts:
        measure_journal(report, flags.build_dir)
    if "decisions" in parts:
        measure_decisions(report, flags.build_dir)
    if flags.json:
        with open(flags.json, "w", encoding="utf-8") as file:
            file.writelines(json.dumps(row) + "\n" for row in report.rows)
    return 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except (fleet.FleetError, subprocess.CalledProcessError) as error:
        print(f"failed: {error}", file=sys.stderr)
        sys.exit(1)
