"""A program stops twice, each time for less than retain_s, and goes on from its last turn."""
import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
import stand_ins  # noqa: E402

RETAIN_S = 60.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Pauses before the second and the third turn. Each is shorter than retain_s.
PAUSES_S = [48.0, 38.0] if TROUBLE else [2.0, 2.0]
TRIES = 5


class Engine(stand_ins.Runner):
    async def run(self, request, writer, headers):
        await self.send_events(writer, headers, 3, 0.02)


def output_of(identity):
    return "".join(f"piece {number} of {identity}\n" for number in range(1, 4)).encode()


class Program:
    def __init__(self, name, fleet, record):
        self.name, self.fleet, self.record = name, fleet, record
        self.previous, self.text, self.turns = "", b"", 0
        self.answered_at = 0.0

    async def turn(self):
        """Sends the next turn up to TRIES times; returns the statuses of the tries."""
        self.turns += 1
        statuses = []
        for attempt in range(TRIES):
            identity = f"{self.name}-turn{self.turns}-try{attempt + 1}"
            node = self.fleet.edges[attempt % len(self.fleet.edges)]
            new_input = f"input of {self.name}, turn {self.turns}\n".encode()
            headers = {"Pearbarrow-Request-Id": identity, "Pearbarrow-Program-Id": self.name,
                       "Pearbarrow-Session-Id": self.name + "-s", "Pearbarrow-Model": "m",
                       "Pearbarrow-Program-Deadline-Ms": "4000",
                       "Pearbarrow-Token-Budget": "4608", "Pearbarrow-Token-Usage": "100,36",
                       "Pearbarrow-Deadline-Ms": "4000"}
            if self.previous:
                headers["Pearbarrow-Previous-Turn"] = self.previous
            age = self.record.now() - self.answered_at
            self.record(f"client: sends {identity} to {node.name}, previous turn "
                        f"'{self.previous}'" + (f", answered whole {age:.1f} s ago"
                                                if self.previous else ""))
            answer = await stand_ins.ask(node, "POST", "/chat/turn", headers, new_input)
            self.record(f"client: {identity} answered {answer.status}, whole: {answer.complete}, "
                        f"{answer.body[:100]!r}")
            statuses.append(answer.status)
            if answer.status == 200 and answer.complete:
                self.check_body(identity, new_input)
                self.previous, self.answered_at = identity, self.record.now()
                self.text += new_input + output_of(identity)
                return statuses
            if answer.status in (400, 401, 402, 403, 404, 410, 413):
                return statuses
            await asyncio.sleep(0.3)
        return statuses

    def check_body(self, identity, new_input):
        bodies = [request.body for runner in self.fleet.runners for run, request in runner.runs
                  if run == identity]
        if bodies != [self.text + new_input]:
            raise RuntimeError(f"{identity} got another prompt than its chain: {bodies}")


async def main():
    record = stand_ins.Record(FOLDER / "record.txt")
    record(f"TROUBLE={int(TROUBLE)}, retain_s={RETAIN_S}, pauses={PAUSES_S}")
    fleet = stand_ins.Fleet(record)
    fleet.runners = [Engine(f"i-{index}", "lm", zone, record)
                     for index, zone in enumerate(fleet.zones)]
    routes = [stand_ins.route("chat", "lm", "streaming", keeps_history=True, retain_s=RETAIN_S,
                              target_gap_ms=400)]
    services = [{"name": "lm", "health_path": "/healthz", "max_conns": 170, "protocol": "h1",
                 "tls": False, "engine": {"slots": 8, "chunk_tokens": 9, "most": 4}}]
    try:
        await fleet.start(stand_ins.config(routes, services))
        await fleet.wait_until_ready()
        program, other = (Program(name, fleet, record) for name in ("stopped", "other"))
        if await program.turn() != [200]:
            raise RuntimeError("the first turn was not served")
        await asyncio.sleep(PAUSES_S[0])
        if await program.turn() != [200] or await other.turn() != [200]:
            raise RuntimeError("the second turn was not served")
        await asyncio.sleep(PAUSES_S[1])
        statuses = await program.turn()
        if await other.turn() != [200]:
            raise RuntimeError("the other program was not served")
    finally:
        await fleet.end()
    is_lost = statuses[-1] in (404, 410)
    record(f"the third turn of the stopped program ended with {statuses}: "
           f"{'LOST is broken' if is_lost else 'LOST holds'}")
    return 1 if is_lost else 0 if statuses[-1] == 200 else 2


if __name__ == "__main__":
    stand_ins.run_case(main)
