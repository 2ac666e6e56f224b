"""Back ends and callers that send bytes without end, against separate processes and their memory."""
import asyncio
import collections
import os
import pathlib
import sys
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "review" / "common"))
import stand_ins  # noqa: E402

BUILD = pathlib.Path(os.environ.get("PEARBARROW_BUILD_DIR", ROOT / "build"))
PROGRAM = pathlib.Path(os.environ.get("PEARBARROW_FLEET", BUILD / "bin" / "pearbarrow-fleet"))
# The smallest machines of the deployments.
MAX_MB = 120
CALLERS = 8
SECONDS = 4
PIECE = 65_536
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
# What a back end sends once, and then without end.
RESPONSES = {
    "status_line": (b"HTTP/1.1 200 ", b"x"),
    "header_lines": (b"HTTP/1.1 200 OK\r\n", b"A: b\r\n"),
    "chunk_size": (CHUNKED, b"0"),
    "chunk_extension": (CHUNKED + b"5;a=", b"x"),
    "trailer_lines": (CHUNKED + b"0\r\n", b"A: b\r\n"),
    "interim_responses": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "body": (CHUNKED, b"%x\r\n%s\r\n" % (16_384, b"x" * 16_384)),
}
REQUESTS = {
    "chunk_size": (b"", b"0"),
    "chunk_extension": (b"5;a=", b"x"),
    "trailer_lines": (b"0\r\n", b"A: b\r\n"),
}
MAX_LEFT_BYTES = 1_000_000


def memory_mb(node):
    for line in pathlib.Path(f"/proc/{node.process.pid}/status").read_text().splitlines():
        if line.startswith("VmHWM"):
            return int(line.split()[1]) / 1024
    raise RuntimeError("no VmHWM")


class BackEnd(stand_ins.Runner):
    def __init__(self, rig, name, zone):
        super().__init__(name, "lm", zone, rig.record)
        self.rig = rig

    async def run(self, request, writer, headers):
        self.rig.received[self.name] += 1
        if self is not self.rig.fleet.runners[0] or not self.rig.endless:
            await asyncio.sleep(0.02)
            await self.send(writer, 200, headers, b"done")
            return
        beginning, repeated = self.rig.endless
        if beginning.startswith(CHUNKED):
            head = stand_ins.head_of(200, {**headers, "Transfer-Encoding": "chunked"})
            beginning = head + beginning[len(CHUNKED):]
        piece = repeated * max(1, PIECE // len(repeated))
        writer.write(beginning)
        try:
            while True:
                writer.write(piece)
                await writer.drain()
        except ConnectionError:
            pass


class Rig:
    def __init__(self, folder):
        self.record = stand_ins.Record(pathlib.Path(folder) / "record.txt")
        self.fleet = stand_ins.Fleet(self.record)
        self.fleet.runners = [BackEnd(self, f"i-{number}", self.fleet.zones[number % 3])
                              for number in range(4)]
        self.endless = None
        self.received = collections.Counter()
        self.requests = 0

    async def call(self, number):
        """Sends one request and leaves the response after `MAX_LEFT_BYTES`."""
        self.requests += 1
        node = self.fleet.edges[number % 2]
        reader, writer = await asyncio.open_connection("127.0.0.1", node.caller)
        try:
            writer.write(f"GET /tool/x HTTP/1.1\r\nHost: shop.example\r\nPearbarrow-Request-Id: "
                         f"r{self.requests}\r\nPearbarrow-Deadline-Ms: 2000\r\n\r\n".encode())
            read = 0
            while read < MAX_LEFT_BYTES:
                part = await asyncio.wait_for(reader.read(PIECE), 3)
                read += len(part)
                if not part or part.endswith(b"done"):
                    return
        except (asyncio.TimeoutError, ConnectionError):
            pass
        finally:
            writer.transport.abort()

    async def call_for(self, number, seconds):
        until = self.record.now() + seconds
        while self.record.now() < until:
            await self.call(number)

    async def send_without_end(self, number, beginning, repeated):
        node = self.fleet.edges[number % 2]
        reader, writer = await asyncio.open_connection("127.0.0.1", node.caller)
        writer.write(b"POST /tool/x HTTP/1.1\r\nHost: shop.example\r\nPearbarrow-Request-Id: e\r\n"
                     b"Transfer-Encoding: chunked\r\n\r\n" + beginning)
        piece = repeated * (PIECE // len(repeated))
        try:
            for _ in range(3_000):
                writer.write(piece)
                await asyncio.wait_for(writer.drain(), 2)
        except (asyncio.TimeoutError, ConnectionError):
            pass
        finally:
            writer.transport.abort()

    async def play(self):
        routes = [stand_ins.route("tool", "lm", "idempotent", attempts=2, timeout_ms=2000)]
        services = [{"name": "lm", "health_path": "/healthz", "max_conns": 170, "protocol": "h1",
                     "tls": False}]
        results = {}
        try:
            await self.fleet.start(stand_ins.config(routes, services))
            await self.fleet.wait_until_ready()
            await asyncio.gather(*(self.call_for(number, 1) for number in range(CALLERS)))
            for name, endless in RESPONSES.items():
                self.endless, self.received = endless, collections.Counter()
                await asyncio.gather(*(self.call_for(number, SECONDS) for number in range(CALLERS)))
                results[name] = {"mb": max(memory_mb(edge) for edge in self.fleet.edges),
                                 "share": self.received["i-0"] / max(1, sum(self.received.values()))}
            self.endless = None
            for name, endless in REQUESTS.items():
                await asyncio.gather(*(self.send_without_end(number, *endless)
                                       for number in range(CALLERS)))
                results["request_" + name] = {
                    "mb": max(memory_mb(edge) for edge in self.fleet.edges), "share": 0}
            return results
        finally:
            await self.fleet.end()


class EndlessBytes(unittest.TestCase):
    def test_memory_stays_bounded_and_no_back_end_attracts_requests_by_being_left(self):
        stand_ins.PROGRAM = PROGRAM
        with tempfile.TemporaryDirectory() as folder:
            results = asyncio.run(asyncio.wait_for(Rig(folder).play(), 120))
        for name, result in results.items():
            with self.subTest(name):
                self.assertLess(result["mb"], MAX_MB, results)
                # One of four back ends; the rest is the spread of some hundred requests.
                self.assertLess(result["share"], 0.3, results)


if __name__ == "__main__":
    unittest.main()
