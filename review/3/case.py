"""A runner of one version falls silent and comes back under its id with another version; clients
take up the streams that it left unfinished."""
import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
import stand_ins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STREAMS = 60
# One runner of seven falls silent: at most 0.15 of a service (srv_crash).
NEW_RUNNERS = 6
EVENTS = 25
EVENT_INTERVAL_S = 0.12
DARK_AFTER_S = 1.0
BACK_AFTER_S = 1.5
HEARTBEAT_S = 1.2
# Clients give a stream up after a gap of two seconds (PROTOCOL.md).
GIVE_UP_S = 2.0


class Engine(stand_ins.Runner):
    def __init__(self, name, version, zone, record):
        super().__init__(name, "lm", zone, record, slots=12)
        self.version, self.born, self.generation = version, 1_700_000_000_000, 0
        self.back = asyncio.Event()
        self.back.set()

    def entry(self, state="ready"):
        return {**super().entry(state), "version": self.version, "born": self.born}

    def go_dark(self):
        """From now on nothing is sent or read on any connection of this process."""
        self.generation += 1
        self.back.clear()
        self.record(f"runner {self.name}: falls silent at {self.version}")

    def come_back(self, version):
        """A new process at the same address, under the same id. Old connections stay silent."""
        self.version, self.born = version, self.born + 1_000
        self.back.set()
        self.record(f"runner {self.name}: has started again at {self.version}")

    async def serve(self, reader, writer):
        await self.back.wait()
        await super().serve(reader, writer)

    async def run(self, request, writer, headers):
        generation, version = self.generation, self.version
        first = int(request.get("Last-Event-Id") or 0) + 1
        self.record(f"runner {self.name} at {version}: {headers['Pearbarrow-Request-Id']} from event "
                    f"{first} on, Resumes '{request.get('Resumes')}'")
        writer.write(stand_ins.head_of(200, {**headers, "Content-Type": "text/event-stream",
                                             "Pearbarrow-Weight-Versions": 1,
                                             "Transfer-Encoding": "chunked"}))
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(EVENT_INTERVAL_S)
            if generation != self.generation:
                await asyncio.sleep(3600)  # The process is gone; its connection says nothing more.
            event = f"id: {number}\ndata: {version} {self.name} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Stream:
    def __init__(self, name, fleet, record):
        self.name, self.fleet, self.record = name, fleet, record
        self.events = []  # (id, version)
        self.ends = []

    async def attempt(self, number, node):
        identity = f"{self.name}-try{number}"
        headers = {"Pearbarrow-Request-Id": identity, "Pearbarrow-Model": "m",
                   "Pearbarrow-Program-Id": self.name, "Pearbarrow-Session-Id": self.name + "-s",
                   "Pearbarrow-Program-Deadline-Ms": "9000", "Pearbarrow-Token-Budget": "4608",
                   "Pearbarrow-Token-Usage": "100,288", "Pearbarrow-Deadline-Ms": "4000"}
        if self.events:
            headers["Last-Event-Id"] = str(self.events[-1][0])
            headers["Resumes"] = self.began_as
        self.record(f"client: sends {identity} to {node.name}, after event "
                    f"{self.events[-1][0] if self.events else 0}")
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", node.caller)
        except ConnectionError:
            return "no connection"
        try:
            lines = ["POST /agent/turn HTTP/1.1", "Host: shop.example", "Content-Length: 6"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\nprompt").encode())
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5)
            status = int(head.split()[1])
            if status != 200:
                return status
            if not self.events:
                self.began_as = identity
            while True:
                size = int(await asyncio.wait_for(reader.readuntil(b"\r\n"), GIVE_UP_S), 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    return 200
                fields = dict(line.split(": ", 1) for line in chunk.decode().strip().split("\n"))
                version = fields["data"].split()[0]
                self.events.append((int(fields["id"]), version))
        except asyncio.TimeoutError:
            return "given up after a gap"
        except (asyncio.IncompleteReadError, ConnectionError):
            return "broken off"
        finally:
            writer.close()

    async def run(self):
        for number in range(1, 4):
            node = self.fleet.edges[(number - 1) % 2]
            end = await self.attempt(number, node)
            self.ends.append(end)
            self.record(f"client: {self.name}-try{number} ended: {end}, {len(self.events)} events")
            if end == 200:
                return
            if end == 503:
                await asyncio.sleep(0.3)

    def versions(self):
        return sorted({version for _, version in self.events})


async def main():
    record = stand_ins.Record(FOLDER / "record.txt")
    record(f"TROUBLE={int(TROUBLE)}")
    fleet = stand_ins.Fleet(record)
    fleet.runners = [Engine("i-old", "v2", "za", record)]
    fleet.runners += [Engine(f"i-new{index}", "v3", fleet.zones[index % 3], record)
                      for index in range(NEW_RUNNERS)]
    routes = [stand_ins.route("agent", "lm", "streaming", can_resume=True, retain_s=60.0,
                              timeout_ms=4000, slo_ms=200,
                              target_gap_ms=200)]
    services = [{"name": "lm", "health_path": "/healthz", "max_conns": 170, "protocol": "h1",
                 "tls": False, "engine": {"slots": 12, "chunk_tokens": 9, "most": 32}}]
    try:
        await fleet.start(stand_ins.config(routes, services))
        await fleet.wait_until_ready()
        streams = [Stream(f"stream{index}", fleet, record) for index in range(STREAMS)]
        tasks = [asyncio.create_task(stream.run()) for stream in streams]
        if TROUBLE:
            old = fleet.runners[0]
            await asyncio.sleep(DARK_AFTER_S)
            old.go_dark()
            await asyncio.sleep(BACK_AFTER_S)
            old.come_back("v3")
            await asyncio.sleep(HEARTBEAT_S)
            fleet.store.put_json(f"servers/{old.name}", old.entry())
            record(f"runner {old.name}: has written its entry, version {old.version}")
        await asyncio.gather(*tasks)
    finally:
        await fleet.end()
    mixed = [stream for stream in streams if len(stream.versions()) > 1]
    for stream in streams:
        record(f"{stream.name}: {stream.ends}, events of {stream.versions()}"
               + (f": {stream.events}" if stream in mixed else ""))
    began = sum(stream.events[:1] == [(1, "v2")] for stream in streams)
    record(f"{began} streams began at v2, {len(mixed)} of {STREAMS} streams hold events of two versions")
    if began < 3:
        record("fewer than three streams began at the runner: the case could not run")
        return 2
    record("ORDER is broken" if len(mixed) > 2 else "ORDER holds")
    return 1 if len(mixed) > 2 else 0


if __name__ == "__main__":
    stand_ins.run_case(main)
