#!/usr/bin/env python3
"""Measures what calls cost three nodes: processor time, journal and peer bytes, a call and a token.

Runs the same number of programs with several shapes through a fleet of three pearbarrowd, and fits

    processor seconds = idle + calls * a + tokens generated * b + prompt tokens resent * c

by least squares. Prints one line for each shape and the fitted slopes; `--json FILE` keeps them.
"""

import argparse
import json
import os
import subprocess
import sys
import time

import fleet as fleets
import scale_run

TENANT, KEY = "cellar", "key-of-cellar"
# (turns, words of a question, most tokens of an answer)
SHAPES = [(4, 20, 20), (4, 20, 400), (4, 4000, 20), (24, 20, 20), (24, 1000, 100), (12, 300, 300)]


def generated_tokens(engines):
    """Tokens that the engines generated and prompt tokens that they were sent, by their meters."""
    generated = prompts = 0
    for engine in engines:
        _, _, meter = fleets.request(engine.address, "GET", "/v1/meter")
        for entry in meter["entries"]:
            usage = entry.get("usage", entry)
            generated += usage.get("completion_tokens", 0)
            prompts += usage.get("prompt_tokens", 0)
    return generated, prompts


def journal_bytes(nodes):
    """Bytes that the nodes caused to be written to disk, from /proc."""
    total = 0
    for node in nodes:
        with open(f"/proc/{node.pid}/io", encoding="utf-8") as file:
            fields = dict(line.split(": ") for line in file.read().splitlines())
        total += int(fields["write_bytes"])
    return total


def totals(nodes, engines):
    generated, prompts = generated_tokens(engines)
    return {"at": time.monotonic(), "generated": generated, "prompts": prompts,
            "cpu": sum(scale_run.cpu_seconds(node.pid) for node in nodes),
            "written": journal_bytes(nodes),
            "peer": sum(scale_run.metrics_of(node)["pearbarrow_peer_bytes_sent_total"]
                        for node in nodes)}


def run_load(fleet, nodes, shape, options):
    turns, words, tokens = shape
    # A seed of its own: equal seeds name equal programs.
    seed = options.seed * len(SHAPES) + SHAPES.index(shape)
    command = [os.path.join(fleet.binaries, "pearbarrow-bench"), "load", "--seconds", "300",
               "--programs", str(options.programs), "--at-once", str(options.at_once),
               "--class", "agent", "--fewest-turns", str(turns), "--most-turns", str(turns),
               "--prompt-words", str(words), "--output-tokens", str(tokens), "--think-ms", "5",
               "--budget", "100000000", "--seed", str(seed),
               "--repeatable-tool", "lookup", "--single-run-tool", "hold",
               "--history", os.path.join(fleet.folder, "callers.history.jsonl"),
               "--key", f"{TENANT}={KEY}"]
    for node in nodes:
        command += ["--node", node.caller]
    done = subprocess.run(command, capture_output=True, text=True, timeout=400, check=False)
    if done.returncode != 0:
        raise fleets.FleetError(f"the load failed: {done.stderr}")
    return json.loads(done.stdout)


def solve(rows, wanted):
    """Least squares by the normal equations, with Gaussian elimination."""
    size = len(rows[0])
    matrix = [[sum(row[i] * row[j] for row in rows) for j in range(size)]
              + [sum(row[i] * value for row, value in zip(rows, wanted))] for i in range(size)]
    for i in range(size):
        pivot = max(range(i, size), key=lambda row: abs(matrix[row][i]))
        matrix[i], matrix[pivot] = matrix[pivot], matrix[i]
        for j in range(size):
            if j != i:
                factor = matrix[j][i] / matrix[i][i]
                matrix[j] = [a - factor * b for a, b in zip(matrix[j], matrix[i])]
    return [matrix[i][size] / matrix[i][i] for i in range(size)]


def measure(options):
    rows = []
    with fleets.Fleet(options.build_dir) as fleet:
        platform = fleet.start_platform()
        engines = [fleet.start_engine(f"engine-{i}", "--time-scale", "0.1",
                                      "--max-answer-tokens", "500") for i in (1, 2, 3, 4)]
        tool = fleet.start_tool("tools-1", "--latency", "fixed:5ms")
        nodes = fleet.start_nodes(scale_run.REAL_ZONES, platform, shard_count=options.shards)
        version = nodes[0].apply(fleets.standard_objects(engines, [tool], {TENANT: KEY}))
        for node in nodes:
            node.wait_version(version)
        time.sleep(5)
        first = totals(nodes, engines)
        time.sleep(10)
        last = totals(nodes, engines)
        idle = {name: (last[name] - first[name]) / (last["at"] - first["at"])
                for name in ("cpu", "written", "peer")}
        for shape in SHAPES:
            first = totals(nodes, engines)
            summary = run_load(fleet, nodes, shape, options)
            last = totals(nodes, engines)
            rows.append(row_of(shape, summary, first, last, idle))
            print(json.dumps(rows[-1]), flush=True)
    return idle, rows


def row_of(shape, summary, first, last, idle):
    seconds = last["at"] - first["at"]
    change = {name: last[name] - first[name] for name in first}
    for name in idle:
        change[name] -= idle[name] * seconds
    return {"turns": shape[0], "words": shape[1], "answer": shape[2], "seconds": seconds,
            "calls": summary["calls_answered"], "failed": summary["programs_failed"], "failures": summary["failures"][:1],
            "generated": change["generated"], "prompts": change["prompts"],
            "cpu_seconds": change["cpu"], "peer_bytes": change["peer"],
            "disk_bytes": change["written"]}


def main():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build-dir", required=True)
    parser.add_argument("--programs", type=int, default=60)
    parser.add_argument("--at-once", type=int, default=16)
    parser.add_argument("--shards", type=int, default=64)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", help="file for all figures")
    options = parser.parse_args()
    idle, rows = measure(options)
    inputs = [[row["calls"], row["generated"], row["prompts"]] for row in rows]
    result = {"idle_a_second": idle, "rows": rows, "load": os.getloadavg()[0]}
    for name in ("cpu_seconds", "peer_bytes", "disk_bytes"):
        slopes = solve(inputs, [row[name] for row in rows])
        result[name] = dict(zip(("a_call", "a_generated_token", "a_prompt_token"), slopes))
        print(name, " ".join(f"{key}={value:.3g}" for key, value in result[name].items()))
    if options.json:
        with open(options.json, "w", encoding="utf-8") as file:
            json.dump(result, file, indent=1)
    return 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except (fleets.FleetError, OSError) as error:
        print(f"scale_calls: could not be run: {error}", file=sys.stderr)
        sys.exit(2)
