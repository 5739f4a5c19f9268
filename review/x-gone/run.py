"""Clients leave while their uploads wait; the uploads run all the same."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))
import bed as b  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BODY = int(os.environ.get("BODY", 150_000))
SLOTS = 18
WORK_S = 1.2
LEAVE_S = 0.3
DEADLINE_MS = 4000


async def main():
    bed = b.Bed([("brno-depot", "front"), ("brno-depot", "scans")])
    document = b.document(7, [
        b.route("r-scans", "shop.example", "/scans/", "scans", kind="upload",
                attempts=1),
        b.service("front"), b.service("scans"), b.tenant("t1", ["key-0001"])])
    front = b.Worker(bed, bed.machines[0], "front", "i-front")
    scans = b.Worker(bed, bed.machines[1], "scans", "i-scans", slots=SLOTS,
                     work_s=WORK_S)
    left = {}

    async def upload(wait_s):
        request_id = b.new_id()
        await b.request(
            bed, bed.machines[0], "POST", "shop.example", "/scans/1",
            "key-0001", DEADLINE_MS, body=os.urandom(BODY),
            request_id=request_id, wait_s=wait_s)
        if wait_s < 1:
            left[request_id] = bed.now()
    try:
        if not await bed.start(document, [front, scans]):
            return 2
        first = [asyncio.create_task(upload(DEADLINE_MS / 1000))
                 for _ in range(SLOTS)]
        await asyncio.sleep(0.2)
        second = [asyncio.create_task(
            upload(LEAVE_S if TROUBLE else DEADLINE_MS / 1000))
            for _ in range(SLOTS)]
        await asyncio.gather(*first, *second)
        await asyncio.sleep(3)
    finally:
        await bed.stop()
    late = [(request_id, at - left[request_id])
            for at, kind, request_id, _ in bed.events
            if kind == "run" and request_id in left
            and at - left[request_id] > 0.5]
    lines = [f"uploads whose clients left: {len(left)}",
             f"of these run by the worker over 0.5 s later: {len(late)}"]
    bed.write_record(os.path.join(HERE, "record.txt"), lines)
    print("\n".join(lines))
    return 1 if len(late) > 5 else 0


sys.exit(asyncio.run(main()))
