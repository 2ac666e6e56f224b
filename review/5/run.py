"""A member is retired; later another one is replaced by an empty one at another address."""
import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))
import stand_ins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PERIOD_S = 8
# Long after the retirement has completed.
PAUSE_S = 10.0
SUCCESSOR_S = 1.0


async def disturb(fleet, record):
    retired, lost = fleet.storage[0], fleet.storage[2]
    await fleet.store.put(f"op/retire/{retired.name}", f'{{"period_s": {PERIOD_S}}}')
    deadline = record.now() + PERIOD_S
    while record.now() < deadline:
        state = fleet.store.value(f"status/retire/{retired.name}")
        if state is not None and state["state"] == "completed":
            break
        await asyncio.sleep(0.05)
    else:
        raise RuntimeError("the retirement did not complete in its period")
    await retired.kill()
    record(f"{retired.name} has been taken away")
    await asyncio.sleep(PAUSE_S)
    if not await stand_ins.Caller(fleet, record).first_turn():
        raise RuntimeError("no turn is served after the retirement")
    if TROUBLE:
        await lost.kill()
        record(f"{lost.name} is gone for good")
        await asyncio.sleep(SUCCESSOR_S)
        await fleet.add_storage(lost.zone).start()


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
