"""Requests that end their back ends, against fleet nodes that run as separate processes.

The store, the back ends and the callers are the stand-ins of `review/common`. A scenario states how a
back end ends under a lethal request, how it returns, and what happens to the nodes meanwhile. The
result counts the back ends that ended under each request and the harmless requests that were blocked.
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
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "review" / "common"))
import stand_ins  # noqa: E402

MARKER = b"lethal"
BLOCKED = "request_ends_back_ends"
MAX_ENDS = 3
BACK_ENDS = 11
CALM_CALLERS = 12
CALM_TRIES = 3
HEARTBEAT_S = 0.4
EVENTS = 5
EVENT_INTERVAL_S = 0.03
# Callers leave a stream after a gap of two seconds (PROTOCOL.md).
GAP_S = 2.0


@dataclasses.dataclass(frozen=True)
class Scenario:
    """How back ends end under lethal requests, and what happens beside them. Times in seconds."""

    # "closed": connections and listener end together. "lingering": the listener ends
    # `listener_delay` after the connections. "silent": nothing is read or sent any more.
    # "half_closed": each connection ends after `listener_delay` at a moment of its own.
    ending: str = "closed"
    listener_delay: float = 0.0
    # When the request ends its process: "queued", "head", "event", "last_event", "error" (shortly after
    # a response with status 500) or "left" (a second after it has arrived, its caller has left).
    moment: str = "head"
    downtime: float = 1.5
    # "renamed": under another id. "same_id": under its id. "same_id_born": the same with `born`.
    returning: str = "renamed"
    lethal_requests: int = 1
    back_ends: int = BACK_ENDS
    sends: int = 9
    min_pause: float = 0.1
    max_pause: float = 0.4
    # Callers leave after this time; 0: after a gap of `GAP_S`.
    patience: float = 0.0
    # "turn", "resumed" (a stream that is resumed), "bare" (the same without a program) or "get" (a GET,
    # two attempts).
    kind: str = "turn"
    # Attempts that one try of a turn or stream may have.
    attempts: int = 1
    # Kinds from which a soak chooses.
    kinds: tuple = ("turn", "resumed", "get")
    # What happens to the edge that has the try: "", "kill", "freeze"; and at which try.
    edge_fault: str = ""
    edge_fault_try: int = 1
    # What the directory says before the back end ends, `notice` earlier: "", "draining", "gone".
    announcement: str = ""
    notice: float = 0.9
    # Nodes that are all killed when a back end ends: "", "edges", "all"; at which ends of a request,
    # none: at each. They start again after `herd_downtime`.
    herd: str = ""
    herd_ends: tuple = ()
    herd_downtime: float = 1.2
    # Time between two orderly departures of back ends, which serve on for `departure_notice`; 0: none.
    departure_interval: float = 0.0
    departure_notice: float = 2.0
    # Time between two crashes that no request causes; 0: none.
    crash_interval: float = 0.0
    # Faults of nodes in series: kills, freezes and restarts each so many seconds; 0: none.
    node_fault_interval: float = 0.0
    # Each lethal request has an ending, a moment and a kind of its own; the requests begin one after
    # the other, and the faults of nodes overlap.
    is_soak: bool = False
    edges: int = 4
    members: int = 3
    # Back ends break each stream off once and go on; no request is lethal.
    breaks_off: bool = False
    # How long the harmless callers go on after the last lethal request.
    seconds_after: float = 0.5


SCENARIOS = {
    "closed": Scenario(),
    "closed_queued": Scenario(moment="queued"),
    "closed_after_event": Scenario(moment="event"),
    "back_at_once": Scenario(downtime=0.1, returning="same_id_born"),
    "resumed_stream": Scenario(moment="event", kind="resumed"),
    "get_two_attempts": Scenario(kind="get"),
    "connections_end_150_ms_before_listener": Scenario(ending="lingering", listener_delay=0.15),
    "connections_end_1_s_before_listener": Scenario(ending="lingering", listener_delay=1.0),
    "connections_end_1_s_before_listener_in_stream":
        Scenario(ending="lingering", listener_delay=1.0, moment="event"),
    "connections_end_3_s_before_listener":
        Scenario(ending="lingering", listener_delay=3.0, downtime=0.8, sends=12),
    "error_then_ends": Scenario(moment="error", kind="get"),
    "error_then_ends_as_turn": Scenario(moment="error"),
    "ends_after_the_caller_has_left": Scenario(moment="left", patience=0.6),
    "ends_after_the_caller_has_left_get": Scenario(moment="left", patience=0.6, kind="get"),
    "connections_end_one_by_one": Scenario(ending="half_closed", listener_delay=0.6),
    "silent_then_restarted": Scenario(ending="silent", downtime=2.5),
    "silent_then_restarted_same_id": Scenario(ending="silent", downtime=2.5, returning="same_id"),
    "silent_caller_leaves": Scenario(ending="silent", downtime=2.5, patience=1.0),
    "silent_after_event_caller_leaves":
        Scenario(ending="silent", downtime=2.5, patience=1.0, moment="event"),
    "silent_get": Scenario(ending="silent", downtime=2.5, patience=1.0, kind="get"),
    "same_id_without_start_time":
        Scenario(returning="same_id", back_ends=4, min_pause=3.0, max_pause=3.0, sends=6),
    "edge_killed_with_the_first_end": Scenario(edge_fault="kill"),
    "edge_killed_with_the_second_end": Scenario(edge_fault="kill", edge_fault_try=2),
    "edge_frozen_with_the_first_end": Scenario(edge_fault="freeze"),
    "two_lethal": Scenario(lethal_requests=2),
    "six_lethal": Scenario(lethal_requests=6),
    "six_lethal_lingering":
        Scenario(lethal_requests=6, ending="lingering", listener_delay=0.3),
    "crashes_beside": Scenario(crash_interval=0.7),
    "only_crashes": Scenario(lethal_requests=0, crash_interval=0.7, seconds_after=12),
    "only_broken_streams": Scenario(lethal_requests=0, breaks_off=True, seconds_after=6),
    "nodes_fail_beside": Scenario(lethal_requests=2, node_fault_interval=0.8, sends=12),
    "draining_back_ends": Scenario(announcement="draining"),
    "draining_back_ends_get": Scenario(announcement="draining", kind="get"),
    "unlisted_back_ends": Scenario(announcement="gone", notice=0.3),
    "unlisted_back_ends_silent":
        Scenario(announcement="gone", notice=0.3, ending="silent", downtime=2.5, patience=1.0),
    "all_edges_killed_at_each_end": Scenario(herd="edges"),
    "all_edges_killed_at_each_end_late_caller": Scenario(herd="edges", min_pause=6.0, max_pause=6.0,
                                                         sends=6),
    "all_edges_killed_at_each_end_resumed": Scenario(herd="edges", kind="resumed", moment="event"),
    "all_edges_killed_at_the_first_end": Scenario(herd="edges", herd_ends=(1,)),
    "all_edges_killed_at_the_second_end": Scenario(herd="edges", herd_ends=(2,)),
    "all_edges_killed_at_the_third_end": Scenario(herd="edges", herd_ends=(3,)),
    "three_lethal_all_edges_killed_at_the_second_end":
        Scenario(herd="edges", herd_ends=(2,), lethal_requests=3, edges=12, back_ends=30),
    "all_nodes_killed_at_the_first_end": Scenario(herd="all", herd_ends=(1,)),
    "all_nodes_killed_at_each_end": Scenario(herd="all"),
    "all_nodes_killed_at_each_end_unlisted": Scenario(herd="all", announcement="gone", notice=0.3),
    "all_edges_killed_at_each_end_get": Scenario(herd="edges", kind="get", sends=3),
    "all_edges_killed_at_the_first_end_get":
        Scenario(herd="edges", herd_ends=(1,), kind="get", sends=3),
    "all_nodes_killed_at_the_first_end_get": Scenario(herd="all", herd_ends=(1,), kind="get", sends=3),
    "all_nodes_killed_at_the_second_end_get": Scenario(herd="all", herd_ends=(2,), kind="get", sends=3),
    "all_nodes_killed_at_the_third_end_get": Scenario(herd="all", herd_ends=(3,), kind="get", sends=3),
    "all_nodes_killed_at_each_end_get": Scenario(herd="all", kind="get", sends=3),
    "all_nodes_killed_at_the_second_end_two_attempts":
        Scenario(herd="all", herd_ends=(2,), kind="resumed", moment="queued", attempts=2),
    "all_edges_killed_at_the_first_end_without_a_program":
        Scenario(herd="edges", herd_ends=(1,), kind="bare", moment="queued", attempts=2),
    "all_nodes_killed_at_the_second_end_without_a_program":
        Scenario(herd="all", herd_ends=(2,), kind="bare", moment="queued", attempts=2),
    "all_edges_killed_at_each_end_24_edges":
        Scenario(herd="edges", lethal_requests=2, edges=24, members=5, back_ends=24),
    "only_departures": Scenario(lethal_requests=0, departure_interval=0.5, seconds_after=10),
    "departures_and_crashes":
        Scenario(lethal_requests=2, departure_interval=0.7, crash_interval=1.5, sends=12),
    "soak_herds": Scenario(is_soak=True, lethal_requests=6, node_fault_interval=0.9, crash_interval=2.5,
                           departure_interval=2.0, herd="random", sends=12, seconds_after=2),
    # Attempts of these kinds are recorded before they are sent.
    "soak_herds_recorded":
        Scenario(is_soak=True, lethal_requests=6, node_fault_interval=0.9, crash_interval=2.5,
                 departure_interval=2.0, herd="random", kinds=("turn", "resumed"), sends=12,
                 seconds_after=2),
    "soak_herds_recorded_two_attempts":
        Scenario(is_soak=True, lethal_requests=6, node_fault_interval=0.9, crash_interval=2.5,
                 departure_interval=2.0, herd="random", kinds=("turn", "resumed"), sends=12,
                 attempts=2, seconds_after=2),
    # Callers repeat a plain request at most twice.
    "soak_herds_plain":
        Scenario(is_soak=True, lethal_requests=6, node_fault_interval=0.9, crash_interval=2.5,
                 departure_interval=2.0, herd="random", kinds=("get", "bare"), sends=3, attempts=2,
                 seconds_after=2),
    "soak_herds_many_nodes":
        Scenario(is_soak=True, lethal_requests=6, node_fault_interval=0.5, crash_interval=2.5,
                 departure_interval=2.0, herd="random", kinds=("turn", "resumed"), sends=12,
                 seconds_after=2, edges=24, members=5, back_ends=24),
    "soak": Scenario(is_soak=True, lethal_requests=6, node_fault_interval=0.9, crash_interval=2.5,
                     sends=12, seconds_after=2),
    "soak_many_nodes": Scenario(is_soak=True, lethal_requests=6, node_fault_interval=0.5,
                                crash_interval=2.5, sends=12, seconds_after=2, edges=40, members=5,
                                back_ends=24),
}


ENDINGS = [dict(ending="closed"), dict(ending="lingering", listener_delay=0.15),
           dict(ending="lingering", listener_delay=1.0), dict(ending="half_closed", listener_delay=0.6),
           dict(ending="silent", downtime=2.5)]
MOMENTS = ["queued", "head", "event", "error", "left"]
ANNOUNCEMENTS = [dict(), dict(), dict(announcement="draining", notice=0.5), dict(announcement="gone", notice=0.3)]
# A lethal end of a soak with herds takes the nodes with it this often.
HERD_SHARE = 0.3


class BackEnd(stand_ins.Runner):
    """A back end whose process ends under a lethal request and starts again later."""

    def __init__(self, rig, number, zone):
        super().__init__(f"i-{number}", "lm", zone, rig.record, slots=12)
        self.rig, self.number, self.lives = rig, number, 0
        self.born = 1_700_000_000_000 if rig.scenario.returning == "same_id_born" else 0
        self.writers = set()
        self.is_ending = self.is_silent = False
        self.awake = asyncio.Event()
        self.awake.set()

    def entry(self, state="ready"):
        entry = super().entry(state)
        return {**entry, "born": self.born} if self.born else entry

    async def serve(self, reader, writer):
        life = self.lives
        self.writers.add(writer)
        try:
            while True:
                request = await stand_ins.read_request(reader)
                if self.is_silent or life != self.lives:
                    await asyncio.sleep(3600)
                await self.handle(request, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def run(self, request, writer, headers):
        identity = headers["Pearbarrow-Request-Id"]
        is_lethal = MARKER in request.body or MARKER.decode() in request.target
        own = self.rig.scenario_of(identity)
        moment = own.moment if is_lethal else ""
        if moment == "error":
            await self.send(writer, 500, headers, b"failed")
            self.rig.spawn(self.end_later(identity, 0.03))
            return
        if moment == "left":
            self.rig.spawn(self.end_later(identity, 1.0))
            await asyncio.sleep(3600)
        if moment == "queued" or (is_lethal and request.method == "GET"):
            await self.end_under(identity)
        if request.method == "GET":
            await asyncio.sleep(EVENT_INTERVAL_S)
            await self.send(writer, 200, headers, b"done")
            return
        writer.write(stand_ins.head_of(200, {**headers, "Content-Type": "text/event-stream",
                                             "Transfer-Encoding": "chunked"}))
        if moment == "head":
            await writer.drain()
            await asyncio.sleep(0.02)
            await self.end_under(identity)
        first = int(request.get("Last-Event-Id") or 0) + 1
        for number in range(first, max(first, EVENTS) + 1):
            await asyncio.sleep(EVENT_INTERVAL_S)
            if self.is_silent:
                await asyncio.sleep(3600)
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            if moment == "event" or (moment == "last_event" and number >= EVENTS):
                await asyncio.sleep(0.02)
                await self.end_under(identity)
            if self.rig.scenario.breaks_off and number == 1 and self.rig.random.random() < 0.5:
                writer.transport.abort()
                raise ConnectionResetError
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def end_later(self, identity, delay):
        life = self.lives
        await asyncio.sleep(delay)
        if life == self.lives:
            await self.end_under(identity)

    async def end_under(self, identity):
        own = self.rig.scenario_of(identity)
        life = self.lives
        if own.announcement and not self.is_ending:
            self.announce(own.announcement)
            await asyncio.sleep(own.notice)
        if not self.is_ending and life == self.lives:
            self.rig.on_lethal_end(self, identity)
            self.begin_end(own)
        await asyncio.sleep(3600)

    def announce(self, announcement):
        """Has the directory show that the back end leaves."""
        self.record(f"runner {self.name}: {announcement}")
        if announcement == "draining":
            self.rig.fleet.store.put_json(f"servers/{self.name}", self.entry("draining"))
        else:
            self.rig.fleet.store.remove(f"servers/{self.name}")

    async def depart(self, announcement, notice):
        """Leaves as announced, and returns as another process. Requests in progress are cut."""
        life = self.lives
        self.announce(announcement)
        await asyncio.sleep(notice)
        if not self.is_ending and life == self.lives:
            self.record(f"runner {self.name}: departs")
            self.begin_end(dataclasses.replace(self.rig.scenario, ending="closed"))

    def begin_end(self, scenario):
        """Ends the process without a word to the directory."""
        self.is_ending = True
        self.rig.spawn(self.end_and_return(scenario))

    async def end_and_return(self, scenario):
        ending = scenario.ending
        if ending == "silent":
            self.is_silent = True
        else:
            for writer in list(self.writers):
                if ending == "half_closed":
                    delay = self.rig.random.uniform(0, scenario.listener_delay)
                    asyncio.get_running_loop().call_later(delay, writer.transport.abort)
                else:
                    writer.transport.abort()
            if ending in ("lingering", "half_closed"):
                await asyncio.sleep(scenario.listener_delay)
            self.close_listener()
        await asyncio.sleep(scenario.downtime)
        await self.start_again()

    def close_listener(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def start_again(self):
        self.lives += 1
        if self.is_silent:
            # The machine was cut off: the old connections of its process never end.
            self.server.close()
        old = self.name
        if self.rig.scenario.returning == "renamed":
            self.name = f"i-{self.number}-{self.lives}"
        elif self.rig.scenario.returning == "same_id_born":
            self.born += 1_000
        self.is_ending = self.is_silent = False
        self.writers = set()
        for _ in range(50):
            try:
                self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port,
                                                         reuse_address=True)
                break
            except OSError:
                await asyncio.sleep(0.02)
        self.record(f"runner {old}: started again as {self.name}")
        await asyncio.sleep(HEARTBEAT_S)
        if not self.is_ending:
            if old != self.name:
                self.rig.fleet.store.remove(f"servers/{old}")
            self.rig.fleet.store.put_json(f"servers/{self.name}", self.entry())


class Caller:
    """Sends one request over all its tries, each with an id of its own."""

    def __init__(self, rig, name, body, kind="turn", kept=None):
        self.rig, self.name, self.body, self.kind = rig, name, body, kind
        # Open connections by edge, shared by the requests of one caller; none if each try opens its own.
        self.kept = kept
        self.events, self.began_as, self.tries = 0, "", 0
        self.ids, self.answers = [], []

    def head(self, identity):
        headers = {"Pearbarrow-Request-Id": identity, "Pearbarrow-Deadline-Ms": "4000",
                   "Pearbarrow-Model": "m", "Content-Length": str(len(self.body))}
        if self.kind != "bare":
            headers.update({"Pearbarrow-Program-Id": self.name,
                            "Pearbarrow-Session-Id": self.name + "-s",
                            "Pearbarrow-Program-Deadline-Ms": "60000"})
        if self.kind == "get":
            line = f"GET /tool/{self.body.decode()} HTTP/1.1"
            headers["Content-Length"] = "0"
        else:
            line = f"POST /{'agent' if self.kind == 'turn' else 'stream'}/turn HTTP/1.1"
            headers["Pearbarrow-Token-Usage"] = "100,32"
        if self.kind in ("turn", "resumed"):
            headers["Pearbarrow-Token-Budget"] = "100000"
        if self.kind in ("resumed", "bare") and self.events:
            headers.update({"Last-Event-Id": str(self.events), "Resumes": self.began_as})
        lines = [line, "Host: shop.example"] + [f"{key}: {value}" for key, value in headers.items()]
        body = b"" if self.kind == "get" else self.body
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    async def send(self, edge):
        """Returns whether the answer is a whole success."""
        self.tries += 1
        identity = f"{self.name}.{self.tries}"
        self.ids.append(identity)
        self.rig.record(f"caller: sends {identity} to {edge.name}")
        answer = "lost"
        try:
            reader, writer = await self.connect(edge)
            try:
                writer.write(self.head(identity))
                patience = self.rig.scenario_of(identity).patience or GAP_S
                answer = await self.read(reader, identity, patience)
            finally:
                if answer == "200" and self.kept is not None:
                    self.kept[edge.name] = reader, writer
                else:
                    writer.close()
        except asyncio.TimeoutError:
            answer = "left"
        except (OSError, asyncio.IncompleteReadError):
            pass
        self.answers.append(answer)
        self.rig.record(f"caller: {identity} ended: {answer}")
        return answer == "200"

    async def connect(self, edge):
        """A connection that was kept is used until it breaks, also while its edge stops."""
        if self.kept is not None and edge.name in self.kept:
            return self.kept.pop(edge.name)
        return await asyncio.wait_for(asyncio.open_connection("127.0.0.1", edge.caller), 1)

    async def read(self, reader, identity, patience):
        head = (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), patience)).decode("latin-1")
        status = head.split()[1]
        fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
        if fields.get("transfer-encoding") != "chunked":
            body = await asyncio.wait_for(reader.readexactly(int(fields["content-length"])), patience)
            if status in ("200", "500"):
                return status
            return f"{status} {json.loads(body)['reason']} {fields.get('retry-after', '')}".strip()
        while True:
            size = int(await asyncio.wait_for(reader.readuntil(b"\r\n"), patience), 16)
            await asyncio.wait_for(reader.readexactly(size + 2), patience)
            if size == 0:
                return status
            if not self.events:
                self.began_as = identity
            self.events += 1


class Rig:
    def __init__(self, scenario, seed, folder):
        self.scenario, self.seed = scenario, seed
        self.random = random.Random(seed)
        self.record = stand_ins.Record(folder / "record.txt")
        self.fleet = stand_ins.Fleet(self.record, edges=scenario.edges, storage=scenario.members)
        self.fleet.runners = [BackEnd(self, number, self.fleet.zones[number % 3])
                              for number in range(scenario.back_ends)]
        self.tasks = set()
        self.ends = {}
        self.end_times = {}
        self.broken_by_faults = set()
        self.busy_nodes = set()
        self.own_scenarios = {}
        self.edge_of = {}
        self.is_over = False
        self.calm = []

    def scenario_of(self, identity):
        """What holds for one lethal request."""
        return self.own_scenarios.get(identity.rsplit(".", 1)[0], self.scenario)

    def choose_scenario(self):
        if not self.scenario.is_soak:
            return self.scenario
        return dataclasses.replace(self.scenario, moment=self.random.choice(MOMENTS),
                                   kind=self.random.choice(self.scenario.kinds),
                                   patience=self.random.choice([0.0, 0.6, 1.0]),
                                   **self.random.choice(ENDINGS), **self.choose_announcement())

    def choose_announcement(self):
        return self.random.choice(ANNOUNCEMENTS) if self.scenario.herd == "random" else {}

    def spawn(self, work):
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def on_lethal_end(self, back_end, identity):
        request = identity.rsplit(".", 1)[0]
        self.ends.setdefault(request, []).append(back_end.name)
        self.record(f"runner {back_end.name}: ends under {identity}")
        scenario = self.scenario
        if scenario.edge_fault and int(identity.rsplit(".", 1)[1]) == scenario.edge_fault_try:
            edge = self.edge_of[identity]
            edge.signal(signal.SIGKILL if scenario.edge_fault == "kill" else signal.SIGSTOP)
            self.broken_by_faults.add(edge)
        herd = scenario.herd
        if herd == "random":
            herd = self.random.choice(["edges", "edges", "all"]) if self.random.random() < HERD_SHARE else ""
        if herd and (not scenario.herd_ends or len(self.ends[request]) in scenario.herd_ends):
            nodes = self.fleet.edges if herd == "edges" else self.fleet.nodes
            self.spawn(self.kill_herd(nodes))

    async def kill_herd(self, nodes):
        """Kills the nodes at the same moment; those that another fault has are left to it."""
        chosen = [node for node in nodes if node not in self.busy_nodes]
        self.busy_nodes.update(chosen)
        for node in chosen:
            node.signal(signal.SIGKILL)
        await asyncio.gather(*(node.process.wait() for node in chosen))
        await asyncio.sleep(self.scenario.herd_downtime)
        for node in chosen:
            if not self.is_over:
                await node.start()
        self.busy_nodes.difference_update(chosen)

    async def wait_for_edges(self):
        """Callers of a herd scenario come back when the edges are ready."""
        until = time.monotonic() + 15
        for edge in self.fleet.edges:
            while time.monotonic() < until and not self.is_over:
                if edge not in self.busy_nodes and await self.fleet.readiness(edge) == 200:
                    break
                await asyncio.sleep(0.05)

    def next_edge(self, previous):
        usable = [edge for edge in self.fleet.edges if edge not in self.broken_by_faults]
        others = [edge for edge in usable if edge is not previous] or usable
        return self.random.choice(others)

    async def repeat(self, caller, sends, pause):
        edge = None
        for _ in range(sends):
            if self.scenario.herd and not self.scenario.is_soak and caller not in self.calm:
                await self.wait_for_edges()
            edge = self.next_edge(edge)
            self.edge_of[f"{caller.name}.{caller.tries + 1}"] = edge
            if await caller.send(edge) or self.is_over:
                return
            await asyncio.sleep(self.random.uniform(*pause))

    async def repeat_later(self, caller, number):
        """In a soak, lethal requests begin half a second apart."""
        await asyncio.sleep(0.5 * number if self.scenario.is_soak else 0)
        await self.repeat(caller, self.scenario.sends,
                          (self.scenario.min_pause, self.scenario.max_pause))

    async def call_calmly(self, number):
        count = 0
        kept = {}
        while not self.is_over:
            count += 1
            kind = "get" if self.random.random() < 0.3 else "turn"
            caller = Caller(self, f"calm{number}-{count}", f"input{number}-{count}".encode(), kind, kept)
            self.calm.append(caller)
            await self.repeat(caller, CALM_TRIES if kind == "turn" else 5, (0.1, 0.4))
            await asyncio.sleep(0.02)

    async def crash_in_series(self):
        while not self.is_over:
            await asyncio.sleep(self.scenario.crash_interval)
            running = [back_end for back_end in self.fleet.runners if not back_end.is_ending]
            if running:
                back_end = self.random.choice(running)
                self.record(f"runner {back_end.name}: crashes")
                back_end.begin_end(dataclasses.replace(self.scenario, ending="closed"))

    async def depart_in_series(self):
        while not self.is_over:
            await asyncio.sleep(self.scenario.departure_interval)
            running = [back_end for back_end in self.fleet.runners if not back_end.is_ending]
            if running:
                announcement = self.random.choice(["draining", "gone"])
                self.spawn(self.random.choice(running).depart(announcement, self.scenario.departure_notice))

    async def fail_nodes(self):
        """Kills, stops, freezes and reloads nodes in series. In a soak, the faults of different nodes
        overlap; a majority of the members is left alone."""
        while not self.is_over:
            await asyncio.sleep(self.scenario.node_fault_interval)
            node = self.random.choice(self.fleet.edges + self.fleet.storage[:1])
            if node in self.busy_nodes:
                continue
            self.busy_nodes.add(node)
            if self.scenario.is_soak:
                self.spawn(self.fail_node(node))
            else:
                await self.fail_node(node)

    async def fail_node(self, node):
        fault = self.random.choice(["kill", "kill", "freeze", "stop", "reload"])
        if fault == "freeze":
            node.signal(signal.SIGSTOP)
            await asyncio.sleep(self.random.uniform(0.2, 2.0))
            node.signal(signal.SIGCONT)
        elif fault == "reload":
            for _ in range(self.random.randrange(1, 4)):
                node.signal(signal.SIGHUP)
                await asyncio.sleep(0.05)
        else:
            node.signal(signal.SIGKILL if fault == "kill" else signal.SIGTERM)
            await node.process.wait()
            await asyncio.sleep(self.random.uniform(0.0, 0.5))
            if not self.is_over:
                await node.start()
                await asyncio.sleep(0.5)
        self.busy_nodes.discard(node)

    def configuration(self):
        streams = {"retain_s": 60.0, "timeout_ms": 4000, "slo_ms": 200, "target_gap_ms": 200,
                   "attempts": self.scenario.attempts}
        routes = [stand_ins.route("agent", "lm", "streaming", **streams),
                  stand_ins.route("stream", "lm", "streaming", can_resume=True, **streams),
                  stand_ins.route("tool", "lm", "idempotent", attempts=2, timeout_ms=4000)]
        services = [{"name": "lm", "health_path": "/healthz", "max_conns": 170, "protocol": "h1",
                     "tls": False, "engine": {"slots": 12, "chunk_tokens": 9, "most": 32}}]
        return stand_ins.config(routes, services)

    async def play(self):
        scenario = self.scenario
        try:
            await self.fleet.start(self.configuration())
            await self.fleet.wait_until_ready()
            for number in range(CALM_CALLERS):
                self.spawn(self.call_calmly(number))
            if scenario.crash_interval:
                self.spawn(self.crash_in_series())
            if scenario.departure_interval:
                self.spawn(self.depart_in_series())
            await asyncio.sleep(0.5)
            if scenario.node_fault_interval:
                self.spawn(self.fail_nodes())
            lethal = []
            for number in range(scenario.lethal_requests):
                own = self.choose_scenario()
                caller = Caller(self, f"lethal{number}", MARKER + str(number).encode(), own.kind)
                self.own_scenarios[caller.name] = own
                lethal.append(caller)
            await asyncio.gather(*(self.repeat_later(caller, number)
                                   for number, caller in enumerate(lethal)))
            await asyncio.sleep(scenario.seconds_after)
            self.is_over = True
            return self.result(lethal)
        finally:
            self.is_over = True
            for task in list(self.tasks):
                task.cancel()
            for node in self.fleet.nodes:
                if node.process is not None and node.process.returncode is None:
                    node.process.send_signal(signal.SIGCONT)
            await self.fleet.end()

    def result(self, lethal):
        blocked = [f"{caller.name}: {answer}" for caller in self.calm for answer in caller.answers
                   if BLOCKED in answer]
        answers = [answer for caller in self.calm for answer in caller.answers]
        reasons = {}
        for answer in answers:
            reasons[answer.split()[1] if " " in answer else answer] = \
                reasons.get(answer.split()[1] if " " in answer else answer, 0) + 1
        return {"seed": self.seed,
                "most_ends": max((len(ends) for ends in self.ends.values()), default=0),
                "ways": {name: [own.ending, own.listener_delay, own.moment, own.kind, own.patience]
                         for name, own in self.own_scenarios.items()
                         if self.scenario.is_soak},
                "ends": {name: len(ends) for name, ends in sorted(self.ends.items())},
                "lethal_answers": {caller.name: caller.answers for caller in lethal},
                "calm_answers": reasons,
                "calm_blocked": blocked}


def holds(result):
    return result["most_ends"] <= MAX_ENDS and not result["calm_blocked"]


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
