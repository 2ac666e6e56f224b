"""What happens to the nodes of a soak of `stop_rig`, at random and overlapping.

Planned work: SIGHUP with changed settings, new configurations in the store, stops of storage members.
Unplanned: nodes are killed or paused. `Outages` knows when, so that requests can be judged.
"""
import asyncio
import collections
import copy
import signal

# Pauses of edges and of members, in seconds. A stop is not paused near its end.
EDGE_PAUSE, MEMBER_PAUSE = 0.8, 2.0
PAUSES_OF_STOP_UNTIL = 4.0
# After an outage of a member, turns may go without an answer so long (`contact_ms`).
CONTACT = 3.0
ADDED_ROUTES = 6


class Outages:
    """The times during which nodes were killed or paused."""

    def __init__(self, record):
        self.record = record
        self.spans = collections.defaultdict(list)

    def begin(self, node):
        span = [self.record.now(), float("inf")]
        self.spans[node.name].append(span)
        return span

    def end(self, span):
        span[1] = self.record.now()

    def overlap(self, nodes, begin, end):
        return any(first <= end and last >= begin
                   for node in nodes for first, last in self.spans[node.name])

    def time_of(self, node, begin, end):
        """How much of the time from `begin` to `end` the node was out."""
        return sum(max(0, min(last, end) - max(first, begin)) for first, last in self.spans[node.name])


class Disturbances:
    def __init__(self, rig):
        self.rig, self.random, self.record = rig, rig.random, rig.record
        self.outages = Outages(rig.record)
        self.counts = collections.Counter()
        self.config = None

    def count(self, text):
        self.counts[text] += 1

    async def repeat(self, shortest, longest, action, *arguments):
        while True:
            await asyncio.sleep(self.random.uniform(shortest, longest))
            await action(*arguments)

    # Nodes.

    async def pause(self, node, longest):
        process = node.process
        if process is None or process.returncode is not None:
            return
        self.count(f"{node.role} SIGSTOP")
        span = self.outages.begin(node)
        node.signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(self.random.uniform(0.05, longest))
        finally:
            if process.returncode is None:
                node.signal(signal.SIGCONT)
                self.outages.end(span)

    async def disturb_member(self):
        """One member at a time, so that a majority runs."""
        member = self.random.choice(self.rig.fleet.storage)
        name = self.random.choice(["SIGSTOP", "SIGSTOP", "SIGKILL", "SIGTERM"])
        if name == "SIGSTOP":
            await self.pause(member, MEMBER_PAUSE)
            return
        self.count(f"storage {name}")
        span = self.outages.begin(member)
        member.signal(signal.Signals[name])
        try:
            await asyncio.wait_for(member.process.wait(), 10)
        except asyncio.TimeoutError:
            await member.end()
        await member.start()
        await asyncio.sleep(CONTACT)
        self.outages.end(span)

    async def change_settings(self, edge):
        """Writes other settings, some of them invalid, and mostly sends SIGHUP."""
        fleet = self.rig.fleet
        text = edge.settings()
        kind = self.random.choice(["seeds", "directory", "suspects", "restart", "invalid"])
        if kind == "seeds":
            seeds = [f'"127.0.0.1:{node.peer}"' for node in fleet.edges]
            some = self.random.sample(seeds, self.random.randint(1, len(seeds)))
            text = "\n".join(f"seeds = [{', '.join(some)}]" if line.startswith("seeds") else line
                             for line in text.split("\n"))
        elif kind == "directory":
            text = text.replace(fleet.store.address, fleet.store.other_address)
        elif kind == "suspects":
            text += f'[suspects]\nreleased = ["{self.random.getrandbits(128):032x}"]\n'
        elif kind == "restart":
            text = 'log_level = "debug"\n' + text
        else:
            text = "role = 7\n" + text
        if edge.process.returncode is not None:
            return
        # The file system may wait for the disk when a file is overwritten.
        await asyncio.to_thread((edge.folder / "node.toml").write_text, text, encoding="utf-8")
        if edge.process.returncode is not None:
            return
        self.record(f"node {edge.name}: has other settings, {kind}")
        self.count(f"settings {kind}")
        if self.random.random() < 0.8:
            self.count("edge SIGHUP")
            edge.signal(signal.SIGHUP)

    async def pause_during_life(self, stop):
        if self.rig.record.now() < stop.at + PAUSES_OF_STOP_UNTIL:
            await self.pause(stop.edge, EDGE_PAUSE)

    def of_life(self, stop):
        """The disturbances of one life of an edge: pauses of some, changed settings."""
        works = [self.repeat(0.2, 1.5, self.change_settings, stop.edge)]
        if self.random.random() < 0.3:
            works.append(self.repeat(0.5, 3, self.pause_during_life, stop))
        return works

    def signals_of_stop(self):
        """More signals of a stop: times after SIGTERM and names."""
        signals = [(self.random.uniform(0, 5), "SIGTERM")
                   for _ in range(self.random.choice([0, 0, 1, 1, 3]))]
        if self.random.random() < 0.1:
            signals.append((self.random.uniform(0, 5), "SIGKILL"))
        return signals

    # Configurations.

    async def change_config(self):
        """A new configuration: other limits, timeouts, services of routes, and added routes."""
        if self.config is None:
            self.config = copy.deepcopy(self.rig.config)
        config = copy.deepcopy(self.config)
        config["version"] += self.random.randint(1, 5)
        config["limits"] = {"max_header_bytes": self.random.choice([8192, 16384]),
                            "max_body_bytes": self.random.choice([65536, 4194304]),
                            "header_timeout_ms": self.random.choice([2500, 3000, 6000]),
                            "idle_timeout_ms": self.random.choice([5000, 15000, 30000])}
        for route in config["routes"]:
            route["timeout_ms"] = self.random.choice([15_000, 20_000, 25_000])
            route["slo_ms"] = self.random.choice([1000, 2000])
            if not route["keeps_history"]:
                route["service"] = self.random.choice(["lm", "other"])
        names = [route["name"] for route in config["routes"]]
        added = f"added{self.random.randrange(ADDED_ROUTES)}"
        if added in names:
            config["routes"] = [route for route in config["routes"] if route["name"] != added]
        else:
            tool = next(route for route in config["routes"] if route["name"] == "tool")
            config["routes"].append({**tool, "name": added, "path_prefix": f"/{added}/"})
        self.config = config
        self.count("configurations")
        self.record(f"configuration {config['version']}: {[r['name'] for r in config['routes']]}, "
                    f"{config['limits']}")
        self.rig.fleet.store.put_json("op/config", config)

    def of_fleet(self):
        return [self.repeat(0.3, 1.5, self.disturb_member), self.repeat(0.1, 1.2, self.change_config)]
