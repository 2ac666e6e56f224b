"""A member that missed turns, and one with a new disk, remove the third, which alone has the turns."""
import asyncio
import os
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))
import stand_ins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The stale member misses changes for so long; the turn is sent after its links have been given up.
MISSES_CHANGES_S = 3.2
LINKS_GIVEN_UP_S = 2.5
EDGE_DOWN_S = 1.0
LOST_DISK_S = 2.0
DARK_S = 8.0
PROGRAM = "3fa81c"


async def turn(fleet, record, edge, request_id, previous, body):
    record(f"client sends {request_id} after '{previous}' to {edge.name}")
    answer = await stand_ins.exchange(
        edge.caller, "POST", "/chat/x", stand_ins.turn_headers(request_id, PROGRAM, previous), body,
        timeout=4)
    record(f"client gets {request_id}: {answer.status}, {'whole' if answer.complete else 'no end'}"
           f"{' ' + answer.body.decode() if answer.status >= 400 else ''}")
    return answer


def is_whole(answer):
    return answer.status == 200 and answer.complete


async def first_turn(fleet, record, edge):
    return is_whole(await turn(fleet, record, edge, "c0000001", "", b"one\n"))


async def disturb(fleet, record):
    stale, empty, dark = fleet.storage
    await asyncio.gather(empty.kill(), dark.kill())
    empty.empty_disk()
    stale.signal(signal.SIGCONT)

    async def later(node, seconds):
        await asyncio.sleep(seconds)
        await node.start()
    await asyncio.gather(later(empty, LOST_DISK_S), later(dark, DARK_S))


async def other_turns(fleet, record, until):
    """First turns of other programs through both edges."""
    number = 0
    while record.now() < until:
        number += 1
        edge = fleet.edges[number % 2]
        await stand_ins.exchange(edge.caller, "POST", "/chat/x",
                                 stand_ins.turn_headers(f"d{number:07d}", f"d{number}"), b"x\n", 4)
        await asyncio.sleep(0.1)


async def run(record):
    fleet = stand_ins.Fleet(record)
    fleet.runners = [stand_ins.Runner(record, f"i-{n}", "lm", stand_ins.ZONES[n]) for n in range(3)]
    try:
        await fleet.start(stand_ins.config())
        if not await fleet.wait_until_ready():
            record("the fleet did not become ready")
            return 2
        await asyncio.sleep(6)
        if not await first_turn(fleet, record, fleet.edges[0]):
            return 2
        began = record.now()
        if TROUBLE:
            fleet.storage[0].signal(signal.SIGSTOP)
            await other_turns(fleet, record, began + LINKS_GIVEN_UP_S)
        if not is_whole(await turn(fleet, record, fleet.edges[0], "c0000002", "c0000001", b"two\n")):
            return 2
        answered = record.now()
        if TROUBLE:
            # The edge would send the turn to the stale member for 4 s more.
            await fleet.edges[0].kill()

            async def restart_edge():
                await asyncio.sleep(EDGE_DOWN_S)
                await fleet.edges[0].start()
            edge_restart = asyncio.create_task(restart_edge())
        await asyncio.sleep(max(0.0, began + MISSES_CHANGES_S - record.now()))
        disturbance = asyncio.create_task(disturb(fleet, record)) if TROUBLE else None
        broken = 0
        served = 0
        number = 3
        while record.now() - answered < 20 and served < 3:
            answer = await turn(fleet, record, fleet.edges[number % 2], f"c{number:07d}", "c0000002",
                                b"three\n")
            broken += answer.status in (404, 410)
            served += is_whole(answer)
            number += 1
            await asyncio.sleep(0.1)
        if disturbance is not None:
            await asyncio.gather(disturbance, edge_restart)
        record(f"{broken} answers of 404 or 410 to turns that continue c0000002, which was answered "
               f"whole {record.now() - answered:.1f} s ago (retain_s is 60); {served} served")
        for node in fleet.storage:
            for entry in node.events("storage_member_dead", "turn_replica_complete"):
                record(f"{node.name} logged {entry}")
        return 1 if broken else 0
    finally:
        await fleet.stop()


if __name__ == "__main__":
    sys.exit(stand_ins.play(run, HERE))
