"""Programs that go on for longer than the retention of their turns, against separate processes.

The store, the back ends and the callers are the stand-ins of `review/common`. Each program sends turns
that continue one another, with branches, and names only turns that were answered whole within the
retention. A scenario states the pauses, the time that a turn takes and what happens to the nodes
meanwhile. The result counts the answers and the turns whose prompt differed from their chain.
"""
import argparse
import asyncio
import collections
import dataclasses
import json
import os
import pathlib
import random
import shutil
import signal
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "review" / "common"))
import stand_ins  # noqa: E402

TRIES = 6
EVENTS = 3
# Members keep a turn this long after its retention (`index_options::retention_slack`).
SLACK_S = 15.0


@dataclasses.dataclass(frozen=True)
class Scenario:
    """Times in seconds."""

    retention: float = 1.0
    # Pauses between a whole answer and the turn that continues it.
    min_pause: float = 0.4
    max_pause: float = 0.9
    programs: int = 6
    # Share of the turns that continue an earlier turn than the newest one.
    branches: float = 0.2
    # Time of a turn; each `slow_each`-th takes `slow_time`, 0: none.
    slow_each: int = 0
    slow_time: float = 0.0
    seconds: float = 24.0
    # "restart_all": all members are killed and started again in the middle. "kill_in_series": one
    # member after the other. "replace_in_series": the same with an empty disk. "freeze": one member
    # stops for longer than turns are kept. "nodes": members and edges are killed, frozen and
    # stopped at random.
    fault: str = ""
    fault_interval: float = 3.0
    members: int = 3
    edges: int = 2


SCENARIOS = {
    "calm": Scenario(),
    "slow_turns": Scenario(programs=4, min_pause=0.2, branches=0, slow_each=2,
                           slow_time=SLACK_S + 3, seconds=46),
    "restart_all": Scenario(fault="restart_all"),
    "kill_in_series": Scenario(fault="kill_in_series"),
    "replace_in_series": Scenario(fault="replace_in_series", fault_interval=6, seconds=30),
    "freeze": Scenario(fault="freeze", seconds=34),
    "nodes": Scenario(fault="nodes", fault_interval=2, programs=10, edges=3, seconds=34),
    "soak": Scenario(fault="nodes", fault_interval=1.5, programs=30, edges=4, seconds=45, branches=0.4),
    "many_nodes": Scenario(fault="nodes", fault_interval=0.8, programs=60, edges=30, members=5,
                           seconds=50, branches=0.4),
}


class Engine(stand_ins.Runner):
    def __init__(self, rig, name, zone):
        super().__init__(name, "lm", zone, rig.record, slots=64)
        self.rig = rig

    async def run(self, request, writer, headers):
        time = self.rig.time_of(headers["Pearbarrow-Request-Id"])
        await self.send_events(writer, headers, EVENTS, time / EVENTS)


def output_of(identity):
    return "".join(f"piece {number} of {identity}\n" for number in range(1, EVENTS + 1)).encode()


@dataclasses.dataclass
class Turn:
    identity: str
    text: bytes
    answered_at: float


class Program:
    def __init__(self, rig, name):
        self.rig, self.name = rig, name
        self.turns = []
        self.sent = 0

    def choose_previous(self):
        """The newest turn, or an earlier one that may still be named."""
        if not self.turns:
            return None
        if self.rig.random.random() >= self.rig.scenario.branches:
            return self.turns[-1]
        least = self.rig.record.now() - 0.8 * self.rig.scenario.retention
        return self.rig.random.choice([turn for turn in self.turns if turn.answered_at > least]
                                      or self.turns[-1:])

    async def run(self):
        while not self.rig.is_over:
            if not await self.turn(self.choose_previous()):
                # The program starts anew, as its caller would.
                self.turns = []
            scenario = self.rig.scenario
            await asyncio.sleep(self.rig.random.uniform(scenario.min_pause, scenario.max_pause))

    async def turn(self, previous):
        self.sent += 1
        new_input = f"input {self.sent} of {self.name}\n".encode()
        statuses = []
        for attempt in range(TRIES):
            if self.rig.is_over:
                return True
            if previous is not None and \
                    self.rig.record.now() - previous.answered_at > self.rig.scenario.retention:
                self.rig.count("named too late by the caller")
                return False
            identity = f"{self.name}-{self.sent}-{attempt + 1}"
            answer = await self.rig.ask(self.name, identity, previous, new_input)
            statuses.append(answer.status)
            if answer.status == 200 and answer.complete:
                chain = previous.text if previous is not None else b""
                self.rig.check_prompt(identity, chain + new_input)
                self.turns.append(Turn(identity, chain + new_input + output_of(identity),
                                       self.rig.record.now()))
                self.turns = self.turns[-8:]
                self.rig.count("answered")
                return True
            if answer.status in (402, 404, 410):
                self.rig.count(f"status {answer.status}")
                self.rig.record(f"caller: {identity} of '{previous.identity if previous else ''}' "
                                f"got {answer.status}")
                return False
            await asyncio.sleep(0.05)
        self.rig.count(f"gave up after {statuses[-1]}")
        return False


class Rig:
    def __init__(self, scenario, seed, folder):
        self.scenario, self.seed = scenario, seed
        self.random = random.Random(seed)
        self.record = stand_ins.Record(folder / "record.txt")
        self.fleet = stand_ins.Fleet(self.record, edges=scenario.edges, storage=scenario.members)
        self.fleet.runners = [Engine(self, f"i-{number}", self.fleet.zones[number % 3])
                              for number in range(4)]
        self.counts = collections.Counter()
        self.wrong_prompts = []
        self.is_over = False
        self.turns_sent = 0
        self.slow = set()
        self.busy = set()
        self.faults = []

    def new_program(self, name):
        return Program(self, name)

    def count(self, what):
        self.counts[what] += 1

    def time_of(self, identity):
        return self.scenario.slow_time if identity in self.slow else 0.02

    def check_prompt(self, identity, expected):
        bodies = [request.body for runner in self.fleet.runners for run, request in runner.runs
                  if run == identity]
        if bodies != [expected]:
            self.wrong_prompts.append(identity)

    async def ask(self, program, identity, previous, body):
        self.turns_sent += 1
        if self.scenario.slow_each and self.turns_sent % self.scenario.slow_each == 0:
            self.slow.add(identity)
        headers = {"Pearbarrow-Request-Id": identity, "Pearbarrow-Program-Id": program,
                   "Pearbarrow-Session-Id": program + "-s", "Pearbarrow-Model": "m",
                   "Pearbarrow-Program-Deadline-Ms": "60000", "Pearbarrow-Token-Budget": "1000000",
                   "Pearbarrow-Token-Usage": "100,36", "Pearbarrow-Deadline-Ms": "30000"}
        if previous is not None:
            headers["Pearbarrow-Previous-Turn"] = previous.identity
        edges = [edge for edge in self.fleet.edges if edge not in self.busy] or self.fleet.edges
        try:
            return await stand_ins.ask(self.random.choice(edges), "POST", "/chat/turn", headers, body,
                                       timeout=32)
        except OSError:
            return stand_ins.Answer(0, {}, b"", False)

    async def restart(self, node, number, seconds, empties_disk=False):
        """Ends or stops a node and has it serve again. SIGSTOP only stops it."""
        if node in self.busy:
            return
        self.busy.add(node)
        node.signal(number)
        if number == signal.SIGSTOP:
            await asyncio.sleep(seconds)
            node.signal(signal.SIGCONT)
        else:
            await node.process.wait()
            await asyncio.sleep(seconds)
            if empties_disk:
                shutil.rmtree(node.folder / "data", ignore_errors=True)
            await node.start()
        self.busy.discard(node)

    async def fail(self):
        scenario = self.scenario
        members = self.fleet.storage
        if scenario.fault == "restart_all":
            await asyncio.sleep(scenario.seconds / 2)
            await asyncio.gather(*(self.restart(member, signal.SIGKILL, 0) for member in members))
        elif scenario.fault == "freeze":
            await asyncio.sleep(2)
            await self.restart(members[0], signal.SIGSTOP, SLACK_S + scenario.retention + 4)
            # The member that missed the turns has to serve them when another one is lost.
            await asyncio.sleep(4)
            await self.restart(members[1], signal.SIGKILL, 1, empties_disk=True)
        elif scenario.fault in ("kill_in_series", "replace_in_series"):
            while not self.is_over:
                for member in members:
                    await asyncio.sleep(scenario.fault_interval)
                    await self.restart(member, signal.SIGKILL, 0.3,
                                       scenario.fault == "replace_in_series")
        elif scenario.fault == "nodes":
            await self.fail_nodes()

    async def fail_nodes(self):
        """One member at a time, and edges beside it."""
        last_member = asyncio.create_task(asyncio.sleep(0))
        while not self.is_over:
            await asyncio.sleep(self.random.uniform(0.5, 1.5) * self.scenario.fault_interval)
            if last_member.done():
                last_member = self.spawn(self.fail_member())
            usable = [edge for edge in self.fleet.edges if edge not in self.busy]
            if len(usable) > 1:
                number = self.random.choice([signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP])
                self.spawn(self.restart(self.random.choice(usable), number, 0.5))

    def spawn(self, fault):
        self.faults.append(asyncio.create_task(fault))
        return self.faults[-1]

    async def fail_member(self):
        member = self.random.choice(self.fleet.storage)
        way = self.random.choice(["kill", "stop", "replace", "freeze", "freeze_long"])
        if way.startswith("freeze"):
            seconds = 1 if way == "freeze" else SLACK_S + self.scenario.retention + 2
            await self.restart(member, signal.SIGSTOP, seconds)
        else:
            number = signal.SIGTERM if way == "stop" else signal.SIGKILL
            await self.restart(member, number, self.random.uniform(0, 1), way == "replace")
        # The time that a member has to catch up (`catch_up_s`).
        await asyncio.sleep(5)

    async def play(self):
        routes = [stand_ins.route("chat", "lm", "streaming", keeps_history=True,
                                  retain_s=self.scenario.retention, timeout_ms=30000,
                                  target_gap_ms=30000)]
        services = [{"name": "lm", "health_path": "/healthz", "max_conns": 170, "protocol": "h1",
                     "tls": False, "engine": {"slots": 64, "chunk_tokens": 9, "most": 4}}]
        tasks = []
        try:
            await self.fleet.start(stand_ins.config(routes, services))
            await self.fleet.wait_until_ready()
            programs = [self.new_program(f"p{number}") for number in range(self.scenario.programs)]
            tasks = [asyncio.create_task(program.run()) for program in programs]
            tasks.append(asyncio.create_task(self.fail()))
            await asyncio.sleep(self.scenario.seconds)
            self.is_over = True
            for task in tasks:
                if task.done() and task.exception() is not None:
                    raise task.exception()
            return {"seed": self.seed, **self.counts, "wrong_prompts": self.wrong_prompts}
        finally:
            self.is_over = True
            tasks += self.faults
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for node in self.fleet.nodes:
                if node.process is not None and node.process.returncode is None:
                    node.process.send_signal(signal.SIGCONT)
            await self.fleet.end()


def holds(result):
    """A turn that was answered whole within the retention is known, with its whole chain."""
    lost = result.get("status 404", 0) + result.get("status 410", 0) + result.get("status 402", 0)
    return lost == 0 and not result["wrong_prompts"] and result.get("answered", 0) > 0


def play(name, seed, folder, program=None):
    """Plays a scenario and returns its result. The logs stay in `folder`."""
    if program is not None:
        stand_ins.PROGRAM = pathlib.Path(program)
    os.environ["KEEP_LOGS"] = "1"
    folder.mkdir(parents=True, exist_ok=True)
    rig = Rig(SCENARIOS[name], seed, folder)
    result = asyncio.run(asyncio.wait_for(rig.play(), SCENARIOS[name].seconds + 40))
    for node in rig.fleet.nodes:
        shutil.copy(node.folder / "log", folder / f"{node.name}.log")
    shutil.rmtree(rig.fleet.folder, ignore_errors=True)
    return {"scenario": name, **result}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("scenarios", nargs="*", help="names; none: all")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds from --seed on")
    parser.add_argument("--program", help="path of pearbarrow-fleet")
    parser.add_argument("--folder", type=pathlib.Path, required=True, help="for records and logs")
    arguments = parser.parse_args()
    failed = 0
    for name in arguments.scenarios or SCENARIOS:
        for seed in range(arguments.seed, arguments.seed + arguments.seeds):
            result = play(name, seed, arguments.folder / f"{name}-{seed}", arguments.program)
            failed += 0 if holds(result) else 1
            print(json.dumps({"holds": holds(result), **result}), flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
