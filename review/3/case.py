"""An edge gets SIGTERM while a client still reads a whole answer that its runner has given."""
import asyncio
import os
import pathlib
import signal
import socket
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
import stand_ins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ANSWER_BYTES = 500_000
READ_BYTES_PER_S = 90_000
READ_INTERVAL_S = 0.05
DEADLINE_MS = 6_000
SIGTERM_AFTER_S = 0.5
GRACE_S = 8.0


class Shop(stand_ins.Runner):
    async def run(self, request, writer, headers):
        body = (b"0123456789abcdef" * (ANSWER_BYTES // 16))
        await self.send(writer, 200, headers, body)
        self.record(f"runner {self.name}: has handed over its whole answer of {len(body)} bytes")


def read_slowly(node, record):
    """Sends one request and reads its answer at a steady pace; returns all bytes."""
    client = socket.socket()
    # The segment size of an ordinary link, and a small window; loopback would buffer megabytes.
    client.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1400)
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    client.settimeout(10)
    client.connect(("127.0.0.1", node.caller))
    client.sendall((f"POST /print/order HTTP/1.1\r\nHost: shop.example\r\n"
                    f"Pearbarrow-Request-Id: slow-1\r\nPearbarrow-Deadline-Ms: {DEADLINE_MS}\r\n"
                    "Content-Length: 5\r\n\r\nprint").encode())
    begun = record.now()
    record(f"client: sent slow-1 to {node.name}")
    received, noted = b"", begun
    end = "whole"
    while not received.endswith(b"0\r\n\r\n"):
        allowed = int((record.now() - begun) * READ_BYTES_PER_S) - len(received)
        if allowed > 0:
            try:
                part = client.recv(min(allowed, 65_536))
            except OSError as error:
                end = f"broken off: {error}"
                break
            if not part:
                end = "closed by the node"
                break
            received += part
        if record.now() - noted >= 1:
            noted = record.now()
            record(f"client: has read {len(received)} bytes of slow-1")
        stand_ins.time.sleep(READ_INTERVAL_S)
    client.close()
    record(f"client: slow-1 ended {record.now() - begun:.2f} s after it was sent, {end}, "
           f"{len(received)} bytes with head and framing")
    return received, record.now() - begun


def body_of(received):
    """The body of the chunked or counted answer, and whether its framing is whole."""
    reader = asyncio.StreamReader()
    reader.feed_data(received)
    reader.feed_eof()
    return reader


async def main():
    record = stand_ins.Record(FOLDER / "record.txt")
    record(f"TROUBLE={int(TROUBLE)}")
    fleet = stand_ins.Fleet(record)
    fleet.runners = [Shop(f"i-{index}", "app", zone, record)
                     for index, zone in enumerate(fleet.zones)]
    routes = [stand_ins.route("print", "app", "non_idempotent", timeout_ms=DEADLINE_MS,
                              slo_ms=1200)]
    services = [{"name": "app", "health_path": "/healthz", "max_conns": 110, "protocol": "h1",
                 "tls": False}]
    try:
        await fleet.start(stand_ins.config(routes, services))
        await fleet.wait_until_ready()
        node = fleet.edges[0]
        client = asyncio.create_task(asyncio.to_thread(read_slowly, node, record))
        await asyncio.sleep(SIGTERM_AFTER_S)
        if TROUBLE:
            node.signal(signal.SIGTERM)
            stopped_at = record.now()
            await asyncio.wait_for(node.process.wait(), GRACE_S + 1)
            record(f"node {node.name}: ended {record.now() - stopped_at:.2f} s after SIGTERM")
        received, took = await client
        answer = await stand_ins.read_answer(body_of(received))
    finally:
        await fleet.end()
    runs = sum(len(runner.runs) for runner in fleet.runners)
    is_whole = answer.status == 200 and answer.complete and len(answer.body) == ANSWER_BYTES
    record(f"slow-1: run {runs} time(s), status {answer.status}, {len(answer.body)} of "
           f"{ANSWER_BYTES} bytes of the body, whole: {is_whole}")
    if runs != 1 or took * 1000 >= DEADLINE_MS:
        record("the request was not run once, or its deadline was reached: the case could not run")
        return 2
    record("LOST holds" if is_whole else "LOST is broken")
    return 0 if is_whole else 1


if __name__ == "__main__":
    try:
        code = asyncio.run(main())
    except Exception as error:  # The case could not run.
        print(f"the case could not run: {error}", file=sys.stderr)
        code = 2
    sys.exit(code)
