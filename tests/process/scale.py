#!/usr/bin/env python3
"""Measures control traffic, processor time, memory, convergence and detection at several sizes.

At each size a fleet of its own: three pearbarrowd with disks, the platform's stand-in, two engines
and a tool service that serve programs, hollow engines that are only watched, and hollow nodes, many
in a process, as the other members (docs/capacity-embedded.md says what a hollow node is). The phases are

  quiet    no programs, no changes: what control costs a node
  load     programs run through the real nodes
  changes  a label is changed several times, each timed until every node has it in force
  one      one hollow node falls silent, timed until every other node has struck it off
  zone     a whole zone of hollow nodes falls silent at once, timed likewise

Prints a table; `--json FILE` keeps every figure. Exits 1 when a phase does not come to its end, 2
when the run could not be made. Ends every process that it started.
"""

import argparse
import json
import sys

import fleet as fleets
import scale_run


COLUMNS = [
    ("nodes", lambda r: f"{r['size']}"),
    ("join s", lambda r: f"{r['join_seconds']:.1f}"),
    ("sent B/s", lambda r: f"{r['quiet']['membership_sent'] + r['quiet']['peer_sent']:.0f}"),
    ("received", lambda r: f"{r['quiet']['membership_received'] + r['quiet']['peer_received']:.0f}"),
    ("core %", lambda r: f"{100 * r['quiet']['hollow_core']:.3f}"),
    ("KB/node", lambda r: f"{r['memory']['hollow_node'] / 1024:.0f}"),
    ("real core %", lambda r: f"{100 * r['quiet']['real_core']:.1f}"),
    ("real MB", lambda r: f"{r['memory']['real_node'] / 1024 / 1024:.0f}"),
    ("change s", lambda r: f"{r['changes']['slowest_seconds']:.2f}"),
    ("B/change", lambda r: f"{r['changes']['bytes_sent_a_change']:.0f}"),
    ("one dead s", lambda r: f"{r['one']['seconds']:.2f}"),
    ("zone dead s", lambda r: f"{r['zone']['seconds']:.2f} ({r['zone']['nodes']})"),
    ("calls", lambda r: calls_of(r)),
]


def calls_of(result):
    programs = result.get("programs")
    return "-" if programs is None else f"{programs['calls_answered']}/{programs['calls']}"


def print_table(results):
    rows = [[title for title, _ in COLUMNS]]
    rows += [[show(result) for _, show in COLUMNS] for result in results]
    widths = [max(len(row[i]) for row in rows) for i in range(len(COLUMNS))]
    for row in rows:
        print("  ".join(cell.rjust(width) for cell, width in zip(row, widths)))


def run_size(options, size):
    """The figures of a size, with `failed` when a phase did not come to its end."""
    with fleets.Fleet(options.build_dir) as fleet:
        run = scale_run.Run(fleet, options, size)
        try:
            run.start()
            run.measure()
        except (fleets.FleetError, OSError) as error:
            run.result["failed"] = str(error)
        finally:
            run.stop_load()
        return run.result


def parse_options():
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build-dir", required=True)
    parser.add_argument("--sizes", default="16,64,190,380", help="nodes, real ones included")
    parser.add_argument("--engines", type=int, default=600, help="hollow engines")
    parser.add_argument("--shards", type=int, default=64)
    parser.add_argument("--window", type=float, default=15, help="seconds of a steady state")
    parser.add_argument("--settle", type=float, default=5, help="seconds before the first window")
    parser.add_argument("--changes", type=int, default=5, help="changes of configuration timed")
    parser.add_argument("--change-gap", type=float, default=2, help="seconds between changes")
    parser.add_argument("--programs", type=int, default=8,
                        help="programs under way at a time; 0: no load")
    parser.add_argument("--load-patience", type=float, default=240,
                        help="seconds after which a load that has not ended is a failure")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", help="file for all figures")
    return parser.parse_args()


def main():
    options = parse_options()
    results = []
    for size in [int(text) for text in options.sizes.split(",")]:
        result = run_size(options, size)
        results.append(result)
        if "failed" in result:
            print(f"size {size}: {result['failed']}", file=sys.stderr)
        else:
            print_table([result])
        sys.stdout.flush()
        if options.json:
            with open(options.json, "w", encoding="utf-8") as file:
                json.dump(results, file, indent=1)
    print("\nA hollow node's traffic, processor time and memory; 'real' is a pearbarrowd beside.")
    print_table([result for result in results if "failed" not in result])
    return 1 if any("failed" in result for result in results) else 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except (fleets.FleetError, OSError) as error:
        print(f"scale: could not be run: {error}", file=sys.stderr)
        sys.exit(2)
