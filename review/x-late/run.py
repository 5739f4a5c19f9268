"""A heartbeat that is seconds late reaches a node that has started again after
it acknowledged that the worker leaves."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))
import bed as b  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRAIN_S = b.BOUNDS["drainS"]
STABLE_S = b.BOUNDS["stableWindowS"]


async def main():
    bed = b.Bed([("brno-depot", "front"), ("brno-depot", "items"),
                 ("brno-depot", "items")])
    document = b.document(7, [
        b.route("r-items", "shop.example", "/items/", "items"),
        b.service("front"), b.service("items"), b.tenant("t1", ["key-0001"])])
    workers = [b.Worker(bed, bed.machines[0], "front", "i-front"),
               b.Worker(bed, bed.machines[1], "items", "i-leaver"),
               b.Worker(bed, bed.machines[2], "items", "i-stayer")]
    leaver = workers[1]
    try:
        if not await bed.start(document, workers):
            return 2

        async def some(count):
            for _ in range(count):
                await b.request(bed, bed.machines[0], "GET", "shop.example",
                                "/items/1", "key-0001", 3000)
                await asyncio.sleep(0.05)
        await some(20)
        leaver.stop_beating()
        held_up = leaver.next_beat()
        bed.record("held-up", beat=held_up["status"]["seq"])
        await asyncio.sleep(0.2)
        status = await leaver.post("deregister", {"born": leaver.born})
        acknowledged = bed.now()
        bed.record("deregister", status=status)
        if status != 200:
            return 2
        await asyncio.sleep(0.5)
        if TROUBLE:
            bed.machines[1].kill()
            bed.record("node-killed")
            await asyncio.sleep(0.5)
            bed.machines[1].start()
            bed.record("node-started")
        started = bed.now()
        while not await bed.machines[1].is_ready():
            await asyncio.sleep(0.1)
        await asyncio.sleep(max(0, acknowledged + 2.5 - bed.now()))
        status = await leaver.beat(held_up)
        bed.record("late-beat", status=status)
        # All machines are in touch again.
        await asyncio.sleep(max(0, started + STABLE_S + 1 - bed.now()))
        calm = bed.now()
        await some(60)
    finally:
        await bed.stop()
    late = [at for at, kind, _, details in bed.events
            if kind == "run" and details["worker"] == leaver.id
            and at > max(calm, acknowledged + DRAIN_S)]
    lines = [f"acknowledged at {acknowledged:.3f}",
             f"requests sent from {calm:.3f} on: 60",
             f"of these run by the worker that has left: {len(late)}"]
    bed.write_record(os.path.join(HERE, "record.txt"), lines)
    print("\n".join(lines))
    return 1 if late else 0


sys.exit(asyncio.run(main()))
