"""A heartbeat that is seconds late reaches a node that has started again after
it acknowledged that the worker leaves."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))
import bed as b  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LATE_S = 2.5


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

    async def clients(seconds):
        async def one():
            end = bed.now() + seconds
            while bed.now() < end:
                await b.request(bed, bed.machines[0], "GET", "shop.example",
                                "/items/" + b.new_id(), "key-0001", 3000)
                await asyncio.sleep(0.05)
        await asyncio.gather(*[one() for _ in range(6)])
    try:
        if not await bed.start(document, workers):
            return 2
        await clients(1)
        leaver.stop_beating()
        held_up = leaver.next_beat()
        made = bed.now()
        bed.record("beat-held-up", seq=held_up["status"]["seq"])
        await asyncio.sleep(0.1)
        status = await leaver.post("deregister", {"born": leaver.born})
        acknowledged = bed.now()
        bed.record("deregister", worker=leaver.id, status=status)
        if status != 200:
            return 2
        await asyncio.sleep(0.5)
        if TROUBLE:
            bed.machines[1].kill()
            bed.record("node-killed", machine=bed.machines[1].name)
            await asyncio.sleep(0.5)
            bed.machines[1].start()
            bed.record("node-started", machine=bed.machines[1].name)
        started = bed.now()
        while not await bed.machines[1].is_ready():
            await asyncio.sleep(0.05)
        await asyncio.sleep(max(0, made + LATE_S - bed.now()))
        status = await leaver.beat(held_up)
        bed.record("late-beat", worker=leaver.id, status=status)
        # From here on all machines are in touch again.
        in_touch = started + b.BOUNDS["stableWindowS"] + 0.3
        await asyncio.sleep(max(0, in_touch - bed.now()))
        calm = max(bed.now(), acknowledged + b.BOUNDS["drainS"])
        await clients(2.5)
    finally:
        await bed.stop()
    sent = [at for at, kind, _, _ in bed.events
            if kind == "sent" and at >= calm]
    late = [at for at, kind, _, details in bed.events
            if kind == "run" and details["worker"] == leaver.id and at > calm]
    lines = [f"leaving acknowledged at {acknowledged:.3f}",
             f"requests sent from {calm:.3f} on: {len(sent)}",
             f"of these run by the worker that has left: {len(late)}"]
    bed.write_record(os.path.join(HERE, "record.txt"), lines)
    print("\n".join(lines))
    if not sent:
        return 2
    return 1 if late else 0


b.run(main)
