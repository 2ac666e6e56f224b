"""Resumable streams whose back ends restart at another software version, against separate processes.

The store, the back ends and the callers are the stand-ins of `review/common`. Two versions serve side by
side. A scenario states how one back end leaves its streams, how it returns, and when its directory entry
shows it. The result counts the streams that hold events of two versions, and those that went on.
"""
import argparse
import asyncio
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

# Callers leave a stream after a gap of two seconds (PROTOCOL.md).
GAP_S = 2.0
TRIES = 4
FIRST_BORN = 1_700_000_000_000


@dataclasses.dataclass(frozen=True)
class Scenario:
    """Times in seconds; those of events are counted from the start of the streams."""

    old_back_ends: int = 3
    new_back_ends: int = 6
    # Back ends of the old version that restart, at the version of the others.
    restarts: int = 1
    # "silent", "reset" (all connections), "refused" (the same, and nothing listens meanwhile), "" (the
    # process does not end).
    ending: str = "silent"
    ends_at: float = 1.0
    downtime: float = 1.5
    # Time from the return of the process until its entry shows it.
    entry_delay: float = 1.2
    # The process has restarted so long before the streams begin; 0: it restarts at `ends_at`.
    restarted_before: float = 0.0
    # When the process breaks its streams off without ending; 0: it does not.
    breaks_at: float = 0.0
    # "same_id", "other_id", "unstated" (entries without a start time).
    identity: str = "same_id"
    # Back ends answer GET /report with their start time.
    reports: bool = False
    # A back end of the new version returns at the old one at the same time.
    swaps: bool = False
    second_restart_at: float = 0.0
    # An edge is killed when the process ends.
    kills_edge: bool = False
    # Nodes that are all killed at `ends_at`: "", "edges", "all". They start again after `herd_downtime`.
    herd: str = ""
    herd_downtime: float = 1.2
    # How the back ends of the old version leave around the kill: "" (they serve on), "before" (their
    # entries are gone 0.1 s before it), "during" (they drain, and are gone while the nodes are away).
    departure: str = ""
    # Callers name the request that began their stream.
    names_stream: bool = True
    tries: int = TRIES
    # A part of the streams begins so long before the others.
    warm_up: float = 0.0
    streams: int = 60
    events: int = 25
    event_interval: float = 0.12
    edges: int = 2
    # Nodes and back ends fail in series at random.
    is_soak: bool = False
    seconds: float = 0.0


SCENARIOS = {
    "silent": Scenario(),
    "silent_late_entry": Scenario(entry_delay=4.0),
    "restarted_before_streams": Scenario(ending="", restarted_before=0.3, breaks_at=0.6),
    "restarted_before_streams_broken_after_entry": Scenario(ending="", restarted_before=0.3,
                                                            breaks_at=1.6),
    "silent_briefly": Scenario(downtime=0.3),
    "reset": Scenario(ending="reset", downtime=0),
    "reset_late_entry": Scenario(ending="reset", downtime=0, entry_delay=4.0),
    "refused": Scenario(ending="refused"),
    "unstated": Scenario(identity="unstated"),
    "unstated_reset": Scenario(identity="unstated", ending="reset", downtime=0),
    "other_id": Scenario(identity="other_id"),
    "swapped": Scenario(swaps=True, ending="reset", downtime=0),
    "two_restarts": Scenario(ending="reset", downtime=0, second_restart_at=1.5),
    "edge_killed": Scenario(ending="reset", downtime=0, kills_edge=True),
    "dropped": Scenario(ending="", breaks_at=1.0),
    "reports_silent": Scenario(reports=True),
    "reports_reset": Scenario(reports=True, ending="reset", downtime=0),
    "reports_dropped": Scenario(reports=True, ending="", breaks_at=1.0),
    "reports_restarted_before": Scenario(reports=True, ending="", restarted_before=0.3, breaks_at=0.6),
    "warm_reset": Scenario(ending="reset", downtime=0, events=40, warm_up=3.0),
    "warm_edge_killed": Scenario(ending="reset", downtime=0, events=40, warm_up=3.0,
                                 kills_edge=True),
    **{f"edges_killed_{departure or 'serving'}{'' if named else '_unnamed'}":
       Scenario(reports=True, ending="", restarts=0, herd="edges", departure=departure,
                names_stream=named, tries=25, edges=4)
       for departure in ("before", "during", "") for named in (True, False)},
    **{f"nodes_killed_{departure or 'serving'}_unnamed":
       Scenario(reports=True, ending="", restarts=0, herd="all", departure=departure,
                names_stream=False, tries=30, edges=4)
       for departure in ("before", "")},
    "edges_killed_unstated": Scenario(identity="unstated", ending="", restarts=0, herd="edges", tries=25,
                                      edges=4),
    "edges_killed_sole_version_unnamed":
        Scenario(reports=True, ending="", restarts=0, herd="edges", names_stream=False, tries=25, edges=4,
                 old_back_ends=0, new_back_ends=9),
    "soak": Scenario(is_soak=True, reports=True, ending="", streams=40, seconds=25, edges=4),
    "soak_unreported": Scenario(is_soak=True, ending="", streams=40, seconds=25, edges=4),
}


class BackEnd(stand_ins.Runner):
    def __init__(self, rig, name, version, zone):
        super().__init__(name, "lm", zone, rig.record, slots=24)
        self.rig, self.version, self.born, self.generation = rig, version, FIRST_BORN, 0
        self.is_silent = False
        self.awake = asyncio.Event()
        self.awake.set()
        self.writers = set()
        self.streams = set()

    def entry(self, state="ready"):
        entry = {**super().entry(state), "version": self.version}
        return entry if self.rig.scenario.identity == "unstated" else {**entry, "born": self.born}

    async def serve(self, reader, writer):
        generation = self.generation
        await self.awake.wait()
        if generation != self.generation and not self.is_silent:
            generation = self.generation
        self.writers.add(writer)
        try:
            while True:
                request = await stand_ins.read_request(reader)
                if generation != self.generation:
                    await asyncio.sleep(3600)  # The process is gone; its connections say nothing.
                await self.handle(request, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request, writer):
        if request.target == "/report" and self.rig.scenario.reports:
            await self.send(writer, 200, {"Content-Type": "application/json"},
                            json.dumps({"phase": "both", "born": self.born}).encode())
            return
        await super().handle(request, writer)

    async def run(self, request, writer, headers):
        generation, version, scenario = self.generation, self.version, self.rig.scenario
        first = int(request.get("Last-Event-Id") or 0) + 1
        self.streams.add(writer)
        try:
            writer.write(stand_ins.head_of(200, {**headers, "Content-Type": "text/event-stream",
                                                 "Transfer-Encoding": "chunked"}))
            for number in range(first, scenario.events + 1):
                await asyncio.sleep(scenario.event_interval)
                if generation != self.generation:
                    await asyncio.sleep(3600)
                event = f"id: {number}\ndata: {version} {self.name} {number}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.streams.discard(writer)

    def abort(self, writers):
        for writer in list(writers):
            writer.transport.abort()

    async def end(self, how):
        """Ends the process; its listener stays, as that of the next one."""
        self.generation += 1
        self.record(f"runner {self.name}: ends ({how}) at {self.version}")
        if how == "silent":
            self.is_silent = True
            self.awake.clear()
            return
        self.abort(self.writers)
        if how == "refused":
            self.server.close()

    async def start_again(self, how, version):
        self.version, self.born = version, self.born + 1_000
        if how == "refused":
            self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        if how == "silent":
            # Connections of the process that has ended stay silent.
            self.is_silent = False
            self.awake.set()
        self.record(f"runner {self.name}: starts again at {self.version}")


class Stream:
    def __init__(self, rig, name):
        self.rig, self.name = rig, name
        self.events, self.ends, self.began_as = [], [], ""

    async def attempt(self, number, node):
        identity = f"{self.name}-try{number}"
        headers = {"Pearbarrow-Request-Id": identity, "Pearbarrow-Model": "m",
                   "Pearbarrow-Program-Id": self.name, "Pearbarrow-Session-Id": self.name + "-s",
                   "Pearbarrow-Program-Deadline-Ms": "20000", "Pearbarrow-Token-Budget": "46080",
                   "Pearbarrow-Token-Usage": "100,288", "Pearbarrow-Deadline-Ms": "8000"}
        if self.events:
            headers["Last-Event-Id"] = str(self.events[-1][0])
            if self.rig.scenario.names_stream:
                headers["Resumes"] = self.began_as
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", node.caller)
        except OSError:
            return "no connection"
        try:
            lines = ["POST /agent/turn HTTP/1.1", "Host: shop.example", "Content-Length: 6"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\nprompt").encode())
            head = (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), GAP_S)).decode()
            status = int(head.split()[1])
            if status != 200:
                body = (await asyncio.wait_for(reader.read(2000), 1)).decode(errors="replace")
                return json.loads(body).get("reason", str(status)) if body[:1] == "{" else str(status)
            while True:
                size = int(await asyncio.wait_for(reader.readuntil(b"\r\n"), GAP_S), 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    return "whole"
                fields = dict(line.split(": ", 1) for line in chunk.decode().strip().split("\n"))
                if not self.events:
                    self.began_as = identity
                self.events.append((int(fields["id"]), fields["data"].split()[0]))
        except asyncio.TimeoutError:
            return "left after a gap"
        except (asyncio.IncompleteReadError, OSError):
            return "broken off"
        finally:
            writer.close()

    async def run(self):
        node = self.rig.random.choice(self.rig.fleet.edges)
        for number in range(1, self.rig.scenario.tries + 1):
            end = await self.attempt(number, node)
            self.ends.append(end)
            if end == "whole" or end in ("stream_version_gone", "stream_version_unknown"):
                return
            others = [edge for edge in self.rig.fleet.edges if edge is not node]
            node = self.rig.random.choice(others or self.rig.fleet.edges)
            if end not in ("broken off", "left after a gap"):
                await asyncio.sleep(0.3)

    def versions(self):
        return sorted({version for _, version in self.events})

    def was_broken_off(self):
        return bool(self.events) and any(end in ("broken off", "left after a gap") for end in self.ends)

    def went_on(self):
        return self.was_broken_off() and self.ends[-1] == "whole"


class Rig:
    def __init__(self, scenario, seed, folder):
        self.scenario, self.seed = scenario, seed
        self.random = random.Random(seed)
        self.record = stand_ins.Record(folder / "record.txt")
        self.fleet = stand_ins.Fleet(self.record, edges=scenario.edges)
        self.old = [BackEnd(self, f"i-old{index}", "v2", self.fleet.zones[index % 3])
                    for index in range(scenario.old_back_ends)]
        self.new = [BackEnd(self, f"i-new{index}", "v3", self.fleet.zones[index % 3])
                    for index in range(scenario.new_back_ends)]
        self.fleet.runners = self.old + self.new
        self.streams = []
        self.tasks = []

    def spawn(self, work):
        self.tasks.append(asyncio.create_task(work))
        return self.tasks[-1]

    async def show(self, back_end, delay):
        """Has the entry of the back end show its present process after a delay."""
        await asyncio.sleep(delay)
        self.fleet.store.put_json(f"servers/{back_end.name}", back_end.entry())
        self.record(f"runner {back_end.name}: has written its entry, version {back_end.version}")

    async def restart(self, back_end, version):
        scenario = self.scenario
        how = scenario.ending
        await back_end.end(how)
        await asyncio.sleep(scenario.downtime)
        if scenario.identity == "other_id":
            self.fleet.store.remove(f"servers/{back_end.name}")
            back_end.name += "-again"
        await back_end.start_again(how, version)
        if scenario.second_restart_at:
            await asyncio.sleep(scenario.second_restart_at - scenario.ends_at)
            await back_end.end(how)
            await back_end.start_again(how, version)
        self.spawn(self.show(back_end, scenario.entry_delay))

    async def cause_trouble(self):
        scenario, chosen = self.scenario, self.old[:self.scenario.restarts]
        if scenario.breaks_at:
            await asyncio.sleep(scenario.breaks_at)
            for back_end in chosen:
                self.record(f"runner {back_end.name}: breaks its streams off at {back_end.version}")
                back_end.abort(back_end.streams)
        if scenario.ending:
            await asyncio.sleep(scenario.ends_at)
            if scenario.kills_edge:
                self.fleet.edges[0].signal(signal.SIGKILL)
            for back_end in chosen:
                self.spawn(self.restart(back_end, "v3"))
            if scenario.swaps:
                self.spawn(self.restart(self.new[0], "v2"))
        if scenario.herd:
            await self.kill_herd()

    def remove_entries(self, back_ends):
        for back_end in back_ends:
            self.record(f"runner {back_end.name}: its entry is gone")
            self.fleet.store.remove(f"servers/{back_end.name}")

    async def kill_herd(self):
        """Kills all edges, or all nodes, at the same moment and starts them again."""
        scenario = self.scenario
        await asyncio.sleep(scenario.ends_at - 0.1)
        if scenario.departure == "before":
            self.remove_entries(self.old)
        elif scenario.departure == "during":
            for back_end in self.old:
                self.fleet.store.put_json(f"servers/{back_end.name}", back_end.entry("draining"))
        await asyncio.sleep(0.1)
        nodes = self.fleet.edges if scenario.herd == "edges" else self.fleet.nodes
        for node in nodes:
            node.signal(signal.SIGKILL)
        await asyncio.gather(*(node.process.wait() for node in nodes))
        await asyncio.sleep(scenario.herd_downtime / 2)
        if scenario.departure == "during":
            self.remove_entries(self.old)
        await asyncio.sleep(scenario.herd_downtime / 2)
        for node in nodes:
            await node.start()

    async def fail_at_random(self):
        """Back ends restart at either version, break streams off or fall silent, and nodes fail."""
        busy = set()

        async def fail_back_end(back_end):
            busy.add(back_end)
            how = self.random.choice(["silent", "reset", "refused", "drop"])
            if how == "drop":
                back_end.abort(back_end.streams)
            else:
                await back_end.end(how)
                await asyncio.sleep(0 if how == "reset" else self.random.uniform(0.2, 1.5))
                await back_end.start_again(how, self.random.choice(["v2", "v3"]))
                await self.show(back_end, self.random.uniform(0.1, 1.3))
            busy.discard(back_end)

        async def fail_edge(edge):
            busy.add(edge)
            number = self.random.choice([signal.SIGKILL, signal.SIGTERM])
            edge.signal(number)
            await edge.process.wait()
            await edge.start()
            busy.discard(edge)

        while True:
            await asyncio.sleep(self.random.uniform(0.3, 0.9))
            usable = [one for one in self.old + self.new if one not in busy]
            if len(usable) > 5:
                self.spawn(fail_back_end(self.random.choice(usable)))
            edges = [edge for edge in self.fleet.edges if edge not in busy]
            if len(edges) > 2 and self.random.random() < 0.4:
                self.spawn(fail_edge(self.random.choice(edges)))

    async def begin_streams(self):
        scenario = self.scenario
        if scenario.warm_up:
            early = [Stream(self, f"early{index}") for index in range(scenario.streams // 2)]
            for stream in early:
                self.streams.append(stream)
                self.spawn(stream.run())
            await asyncio.sleep(scenario.warm_up)
        running = []
        if scenario.is_soak:
            self.spawn(self.fail_at_random())
            until = self.record.now() + scenario.seconds
            while self.record.now() < until:
                stream = Stream(self, f"stream{len(self.streams)}")
                self.streams.append(stream)
                running.append(self.spawn(stream.run()))
                await asyncio.sleep(scenario.event_interval * scenario.events / scenario.streams)
        else:
            self.spawn(self.cause_trouble())
            for index in range(scenario.streams):
                stream = Stream(self, f"stream{index}")
                self.streams.append(stream)
                running.append(self.spawn(stream.run()))
        await asyncio.gather(*running)

    async def play(self):
        scenario = self.scenario
        routes = [stand_ins.route("agent", "lm", "streaming", can_resume=True, retain_s=60.0,
                                  timeout_ms=8000, slo_ms=200, target_gap_ms=200)]
        services = [{"name": "lm", "health_path": "/healthz", "max_conns": 170, "protocol": "h1",
                     "tls": False, "engine": {"slots": 24, "chunk_tokens": 9, "most": 32}}]
        try:
            await self.fleet.start(stand_ins.config(routes, services))
            await self.fleet.wait_until_ready()
            if scenario.restarted_before:
                for back_end in self.old[:scenario.restarts]:
                    await back_end.end("reset")
                    await back_end.start_again("reset", "v3")
                    self.spawn(self.show(back_end, scenario.entry_delay))
                await asyncio.sleep(scenario.restarted_before)
            await self.begin_streams()
            return self.result()
        finally:
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)
            for node in self.fleet.nodes:
                if node.process is not None and node.process.returncode is None:
                    node.process.send_signal(signal.SIGCONT)
            await self.fleet.end()

    def result(self):
        ends = {}
        for stream in self.streams:
            ends[stream.ends[-1] if stream.ends else "none"] = \
                ends.get(stream.ends[-1] if stream.ends else "none", 0) + 1
        broken = [stream for stream in self.streams if stream.was_broken_off()]
        mixed = [stream for stream in self.streams if len(stream.versions()) > 1]
        for stream in self.streams:
            self.record(f"{stream.name}: {stream.ends}, events of {stream.versions()}")
        return {"seed": self.seed, "streams": len(self.streams), "mixed": len(mixed),
                "broken_off": len(broken), "went_on": sum(stream.went_on() for stream in broken),
                "ends": ends}


def holds(result):
    return result["mixed"] == 0


def play(name, seed, folder, program=None):
    """Plays a scenario and returns its result. The logs stay in `folder`."""
    if program is not None:
        stand_ins.PROGRAM = pathlib.Path(program)
    os.environ["KEEP_LOGS"] = "1"
    folder.mkdir(parents=True, exist_ok=True)
    rig = Rig(SCENARIOS[name], seed, folder)
    result = asyncio.run(asyncio.wait_for(rig.play(), 100))
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
