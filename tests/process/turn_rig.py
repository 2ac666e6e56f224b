"""Turns that continue one another, against separate processes in the shapes of deployments.

Storage members are stopped, paused, killed and replaced while programs of a few turns each run
through all edges. The result counts turns that were not found although they were named within their
retention, turns that got no response in five or more tries, responses that ended early, and what the
nodes logged about turns. The caller, the back ends and the store are those of `chain_rig.py`.
"""
import argparse
import asyncio
import collections
import dataclasses
import json
import os
import pathlib
import shutil
import signal
import sys

import chain_rig
from chain_rig import stand_ins

MIN_TRIES = 5
MAX_TRIES = 8
# A span in which at least this share of the first turns is served counts as served.
SERVED_SHARE = 0.9
LOGGED = ("turn_refused", "turn_not_stored", "drain_timeout", "storage_member_dead",
          "turn_store_discarded", "turns_missing", "storage_reached_by_relay")


@dataclasses.dataclass(frozen=True)
class Shape:
    """Edges and storage members by zone, and the region of each zone."""

    edges: tuple
    members: tuple
    regions: tuple
    tolerated_losses: int = 1
    memory_mb: int = 260
    catch_up: float = 4.4


SHAPES = {
    "gce-pour": Shape((3, 2, 1, 2), (1, 1, 1, 1), ("n",) * 4, memory_mb=220, catch_up=4.3),
    "kgco-shopfloor": Shape((3, 3, 3), (1, 1, 1), ("j",) * 3),
    "funkland-portal-grown": Shape((4,) * 6, (2, 2, 2, 1, 1, 1), ("o", "m", "w") * 2, 2, 130, 6.0),
}

FAULTS = ["none", "stop_in_series", "stop_overlapping", "roll_all", "pause", "pause_overlapping",
          "kill", "replace", "kill_all_lose_disk"]


class Node(stand_ins.Node):
    def settings(self):
        text = super().settings().replace("tolerated_losses = 1",
                                          f"tolerated_losses = {self.fleet.shape.tolerated_losses}")
        for zone, region in zip(self.fleet.zones, self.fleet.shape.regions):
            text = text.replace(f'"{zone}" = "r"', f'"{zone}" = "{region}"')
        return text


class Fleet(stand_ins.Fleet):
    def __init__(self, record, shape):
        super().__init__(record, edges=0, storage=0, memory_mb=shape.memory_mb)
        self.shape = shape
        self.zones = [f"z{number}" for number in range(len(shape.edges))]
        for role, counts in (("storage", shape.members), ("edge", shape.edges)):
            number = 0
            for zone, count in zip(self.zones, counts):
                for _ in range(count):
                    number += 1
                    self.nodes.append(Node(self, role, f"{role}-{number}", zone))
        self.edges = [node for node in self.nodes if node.role == "edge"]
        self.storage = [node for node in self.nodes if node.role == "storage"]


class Program(chain_rig.Program):
    """Starts anew after a few turns, so that there are always first turns."""

    async def run(self):
        pauses = self.rig.scenario
        while not self.rig.is_over:
            self.turns = []
            for _ in range(self.rig.random.randint(2, 9)):
                if self.rig.is_over or not await self.turn(self.choose_previous()):
                    break
                await asyncio.sleep(self.rig.random.uniform(pauses.min_pause, pauses.max_pause))

    async def turn(self, previous):
        self.sent += 1
        rig = self.rig
        new_input = f"input {self.sent} of {self.name}\n".encode()
        statuses = []
        began = rig.record.now()
        while len(statuses) < MAX_TRIES and not rig.is_over:
            if previous is not None and \
                    rig.record.now() - previous.answered_at > rig.scenario.retention:
                rig.count("named too late by the caller")
                return False
            identity = f"{self.name}-{self.sent}-{len(statuses) + 1}"
            answer = await rig.ask(self.name, identity, previous, new_input)
            statuses.append(answer.status if answer.complete else -answer.status)
            rig.tries[statuses[-1]] += 1
            if answer.status == 200 and answer.complete:
                chain = previous.text if previous is not None else b""
                rig.check_prompt(identity, chain + new_input)
                self.turns.append(chain_rig.Turn(identity, chain + new_input +
                                                 chain_rig.output_of(identity), rig.record.now()))
                rig.count("answered")
                rig.note_turn(previous is None, began, True, statuses, identity)
                return True
            rig.record(f"caller: {identity} of '{previous.identity if previous else ''}' got "
                       f"{answer.status}{'' if answer.complete else ' and no end'}")
            if answer.status in (402, 404, 410):
                rig.count(f"status {answer.status}")
                return False
            await asyncio.sleep(0.1)
        if len(statuses) >= MIN_TRIES:
            rig.note_turn(previous is None, began, False, statuses, identity)
        return False


class Rig(chain_rig.Rig):
    def __init__(self, shape, fault, scenario, seed, folder):
        super().__init__(scenario, seed, folder)
        shutil.rmtree(self.fleet.folder, ignore_errors=True)
        self.shape, self.fault = shape, fault
        self.fleet = Fleet(self.record, shape)
        self.fleet.runners = [chain_rig.Engine(self, f"i-{number}", zone)
                              for number, zone in enumerate(self.fleet.zones * 2)]
        self.tries = collections.Counter()
        self.finished_turns = []
        self.stop_times = {"edge": [], "storage": []}

    def new_program(self, name):
        return Program(self, name)

    def note_turn(self, is_first, began, is_served, statuses, identity):
        self.finished_turns.append((is_first, began, self.record.now(), is_served, statuses, identity))

    def unserved_turns(self):
        """Turns that no try got served, with the share of the first turns served meanwhile."""
        unserved = []
        for is_first, began, ended, is_served, statuses, identity in self.finished_turns:
            if is_served or is_first:
                continue
            others = [served for first, since, until, served, _, _ in self.finished_turns
                      if first and until >= began and since <= ended]
            share = sum(others) / len(others) if others else 0.0
            unserved.append({"turn": identity, "from": round(began, 1), "to": round(ended, 1),
                             "statuses": statuses, "first_turns_served": round(share, 2)})
        return unserved

    async def restart(self, node, number, seconds, empties_disk=False):
        if node in self.busy:
            return
        self.busy.add(node)
        node.signal(number)
        if number == signal.SIGSTOP:
            await asyncio.sleep(seconds)
            node.signal(signal.SIGCONT)
        else:
            signalled = self.record.now()
            await node.process.wait()
            if number == signal.SIGTERM:
                self.stop_times[node.role].append(round(self.record.now() - signalled, 3))
                self.record(f"node {node.name}: ended with {node.process.returncode}")
            await asyncio.sleep(seconds)
            if empties_disk:
                # A busy disk takes seconds for it, in which the store must respond.
                await asyncio.to_thread(shutil.rmtree, node.folder / "data", ignore_errors=True)
            await node.start()
            while node.role == "edge" and await self.fleet.readiness(node) != 200:
                await asyncio.sleep(0.1)
        self.busy.discard(node)

    async def fail(self):
        members = list(self.fleet.storage)
        self.random.shuffle(members)
        await asyncio.sleep(2)
        if self.fault == "none":
            return
        if self.fault == "kill_all_lose_disk":
            await self.lose_all()
            return
        while not self.is_over:
            for number, member in enumerate(members):
                await self.fail_member(member, members[number - 1])

    async def fail_member(self, member, other):
        """Faults of one member, or of two at a time, that are a `catch_up` apart."""
        uniform = self.random.uniform
        if self.fault == "stop_in_series":
            await self.restart(member, signal.SIGTERM, uniform(0, 0.5))
        elif self.fault == "stop_overlapping":
            await asyncio.gather(self.restart(member, signal.SIGTERM, uniform(0, 0.5)),
                                 self.later(uniform(0, 1.3), other, signal.SIGTERM, uniform(0, 0.5)))
        elif self.fault == "roll_all":
            await self.roll_all()
        elif self.fault == "pause":
            await self.restart(member, signal.SIGSTOP, uniform(0.5, 6))
        elif self.fault == "pause_overlapping":
            await asyncio.gather(self.restart(member, signal.SIGSTOP, uniform(0.5, 6)),
                                 self.later(uniform(0, 1), other, signal.SIGSTOP, uniform(0.5, 6)))
        else:
            await self.restart(member, signal.SIGKILL, uniform(0, 2), self.fault == "replace")
        await asyncio.sleep(self.shape.catch_up)

    async def later(self, delay, node, number, seconds):
        await asyncio.sleep(delay)
        await self.restart(node, number, seconds)

    async def roll_all(self):
        """Every node gets SIGTERM, 1.3 s after the one before."""
        nodes = list(self.fleet.nodes)
        self.random.shuffle(nodes)
        for node in nodes:
            if self.is_over:
                return
            self.spawn(self.restart(node, signal.SIGTERM, 0))
            await asyncio.sleep(1.3)

    async def lose_all(self):
        await asyncio.sleep(self.scenario.seconds / 3)
        lost = self.random.choice(self.fleet.storage)
        await asyncio.gather(*(self.restart(node, signal.SIGKILL, 1.5, node is lost)
                               for node in self.fleet.nodes))
        self.record("all nodes have been started again")
        self.count("restarted all")

    async def play(self):
        result = await super().play()
        return {**result, "tries": dict(self.tries), "unserved": self.unserved_turns(),
                "stop_times": {role: {"count": len(times), "longest": max(times)}
                               for role, times in self.stop_times.items() if times}}


def logged_events(fleet):
    """Counts events of the nodes' logs by name, and by reason where they have one."""
    counts = collections.Counter()
    for node in fleet.nodes:
        for line in (node.folder / "log").read_text(encoding="utf-8").splitlines():
            try:
                entry = json.loads(line)
            except ValueError:
                counts["unreadable line"] += 1
                continue
            if entry.get("event") in LOGGED:
                counts[f"{entry['event']} {entry.get('reason', '')}".strip()] += 1
    return dict(counts)


def holds(result):
    """No turn within its retention is unknown, none is unserved while first turns are served."""
    lost = sum(result.get(f"status {status}", 0) for status in (402, 404, 410))
    unserved = [turn for turn in result["unserved"] if turn["first_turns_served"] >= SERVED_SHARE]
    return lost == 0 and not unserved and not result["wrong_prompts"] and \
        result.get("answered", 0) > 0


def play(shape, fault, scenario, seed, folder, program=None):
    """Plays one fault and returns its result. The logs stay in `folder`."""
    if program is not None:
        stand_ins.PROGRAM = pathlib.Path(program)
    os.environ["KEEP_LOGS"] = "1"
    folder.mkdir(parents=True, exist_ok=True)
    rig = Rig(SHAPES[shape], fault, scenario, seed, folder)
    result = asyncio.run(asyncio.wait_for(rig.play(), scenario.seconds + 60))
    events = logged_events(rig.fleet)
    for node in rig.fleet.nodes:
        shutil.copy(node.folder / "log", folder / f"{node.name}.log")
    shutil.rmtree(rig.fleet.folder, ignore_errors=True)
    return {"shape": shape, "fault": fault, **result, "logged": events}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("faults", nargs="*", help=f"of {', '.join(FAULTS)}; none: all")
    parser.add_argument("--shape", choices=SHAPES, default="kgco-shopfloor")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds from --seed on")
    parser.add_argument("--seconds", type=float, default=40)
    parser.add_argument("--programs", type=int, default=16)
    parser.add_argument("--retention", type=float, default=60)
    parser.add_argument("--program", help="path of pearbarrow-fleet")
    parser.add_argument("--folder", type=pathlib.Path, required=True, help="for records and logs")
    arguments = parser.parse_args()
    scenario = chain_rig.Scenario(retention=arguments.retention, min_pause=0.1, max_pause=0.6,
                                  programs=arguments.programs, seconds=arguments.seconds)
    failed = 0
    for fault in arguments.faults or FAULTS:
        for seed in range(arguments.seed, arguments.seed + arguments.seeds):
            result = play(arguments.shape, fault, scenario, seed,
                          arguments.folder / f"{arguments.shape}-{fault}-{seed}", arguments.program)
            failed += 0 if holds(result) else 1
            print(json.dumps({"holds": holds(result), **result}), flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
