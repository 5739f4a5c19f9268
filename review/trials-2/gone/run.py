"""Clients leave while their uploads wait for a slot; the uploads run."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "common-2"))
import bed as b  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Photos; those of up to 64 KiB are read whole before they wait.
BODY = int(os.environ.get("BODY", "100000"))
SLOTS = 18
WORK_S = 1.2
LEAVE_S = 0.3
WORKERS = 2
WAVE = WORKERS * SLOTS
# Of 72 clients; give_up has a share of 0.3 in the days of the site.
LEAVING = 20
DEADLINE_MS = 4000
A_FEW = 5


async def main():
    bed = b.Bed([("brno-depot", "front")] + WORKERS * [
        ("brno-depot", "scans")])
    document = b.document(7, [
        b.route("r-scans", "shop.example", "/scans/", "scans", kind="upload",
                attempts=1),
        b.service("front"), b.service("scans"), b.tenant("t1", ["key-0001"])])
    front = b.Worker(bed, bed.machines[0], "front", "i-front")
    scans = [b.Worker(bed, machine, "scans", f"i-scans-{machine.index}",
                      slots=SLOTS, work_s=WORK_S)
             for machine in bed.machines[1:]]
    left = {}

    async def upload(wait_s):
        request_id = b.new_id()
        status, _ = await b.request(
            bed, bed.machines[0], "POST", "shop.example", "/scans/1",
            "key-0001", DEADLINE_MS, body=os.urandom(BODY),
            request_id=request_id, wait_s=wait_s)
        if status is None and wait_s == LEAVE_S:
            left[request_id] = bed.now()
            bed.record("client-left", request_id)
    try:
        if not await bed.start(document, [front, *scans]):
            return 2
        whole = DEADLINE_MS / 1000
        first = [asyncio.create_task(upload(whole)) for _ in range(WAVE)]
        await asyncio.sleep(0.2)
        second = [asyncio.create_task(
            upload(LEAVE_S if TROUBLE and at < LEAVING else whole))
            for at in range(WAVE)]
        await asyncio.gather(*first, *second)
        await asyncio.sleep(3)
    finally:
        await bed.stop()
    runs = {request_id: at for at, kind, request_id, _ in bed.events
            if kind == "run"}
    late = [runs[request_id] - at for request_id, at in left.items()
            if runs.get(request_id, 0) - at > 0.5]
    lines = [f"uploads of {BODY} bytes: {2 * WAVE}, run: {len(runs)}",
             f"clients that left unanswered: {len(left)}",
             f"of their uploads begun over 0.5 s later: {len(late)}"]
    bed.write_record(os.path.join(HERE, "record.txt"), lines)
    print("\n".join(lines))
    if len(runs) < WAVE // 2:
        return 2
    return 1 if len(late) > A_FEW else 0


b.run(main)
