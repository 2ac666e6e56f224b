"""All processes are killed at once. Later a member is replaced, and then another one loses its disk."""
import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))
import stand_ins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DOWN_S = 0.7
# "All machines start within 0.3 s of each other, in any order."
EDGES_LATER_S = 0.28
PAUSE_S = 10.0
SUCCESSOR_S = 1.0
LOST_DISK_S = 2.0


async def disturb(fleet, record):
    if TROUBLE:
        await asyncio.gather(*(node.kill() for node in fleet.nodes))
        await asyncio.sleep(DOWN_S)
        for node in fleet.storage:
            await node.start()
        await asyncio.sleep(EDGES_LATER_S)
        for node in fleet.edges:
            await node.start()
    await asyncio.sleep(PAUSE_S)
    if not await stand_ins.Caller(fleet, record).first_turn():
        raise RuntimeError("no turn is served after the restart")
    replaced, loses_disk = fleet.storage[2], fleet.storage[1]
    await replaced.kill()
    record(f"{replaced.name} is gone for good")
    await asyncio.sleep(SUCCESSOR_S)
    await fleet.add_storage(replaced.zone).start()
    await asyncio.sleep(PAUSE_S)
    if not await stand_ins.Caller(fleet, record).first_turn():
        raise RuntimeError("no turn is served after the replacement")
    await loses_disk.kill()
    loses_disk.empty_disk()
    await asyncio.sleep(LOST_DISK_S)
    await loses_disk.start()


async def run(record):
    fleet = stand_ins.Fleet(record)
    fleet.runners = [stand_ins.Runner(record, f"i-{n}", "lm", stand_ins.ZONES[n]) for n in range(3)]
    try:
        await fleet.start(stand_ins.config())
        return await stand_ins.judge_recovery(fleet, record, lambda: disturb(fleet, record))
    finally:
        await fleet.stop()


if __name__ == "__main__":
    sys.exit(stand_ins.play(run, HERE))
