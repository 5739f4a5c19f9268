"""A worker's answer has no end; the route's timeoutS passes."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))
import bed as b  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TIMEOUT_S = 1.0
DEADLINE_MS = 8000
REQUESTS = 24


async def endless(reader, writer, echo):
    """A head, and bytes until the caller closes the connection."""
    writer.write((f"HTTP/1.1 200 OK\r\n{echo}{b.SIGNATURE}"
                  "Transfer-Encoding: chunked\r\n\r\n").encode())
    while True:
        writer.write(b"2000\r\n" + b"x" * 8192 + b"\r\n")
        await writer.drain()
        await asyncio.sleep(0.05)


async def one(bed):
    """Seconds until the attempt was over: answered whole, or closed."""
    begin = time.monotonic()
    status, _ = await b.request(
        bed, bed.machines[0], "GET", "shop.example", "/items/1", "key-0001",
        DEADLINE_MS, wait_s=TIMEOUT_S + 3)
    return time.monotonic() - begin, status


async def main():
    bed = b.Bed([("brno-depot", "front"), ("brno-depot", "items")])
    document = b.document(7, [
        b.route("r-items", "shop.example", "/items/", "items",
                timeout=TIMEOUT_S, attempts=1),
        b.service("front"), b.service("items"), b.tenant("t1", ["key-0001"])])
    front = b.Worker(bed, bed.machines[0], "front", "i-front")
    items = b.Worker(bed, bed.machines[1], "items", "i-items", work_s=0.1)
    try:
        if not await bed.start(document, [front, items]):
            return 2
        before, status = await one(bed)
        if status != 200:
            bed.record("setup", note=f"first request: {status}")
            return 2
        if TROUBLE:
            items.special = endless
        results = await asyncio.gather(*[one(bed) for _ in range(REQUESTS)])
    finally:
        await bed.stop()
    open_at_timeout = [s for s, _ in results if s > TIMEOUT_S]
    late = [s for s in open_at_timeout if s > TIMEOUT_S + 0.5]
    lines = [f"requests: {REQUESTS}",
             f"without an answer at timeoutS: {len(open_at_timeout)}",
             f"of these without a final answer 0.5 s later: {len(late)}"]
    bed.write_record(os.path.join(HERE, "record.txt"), lines)
    print("\n".join(lines))
    broken = len(late) >= 8 and len(late) * 2 > len(open_at_timeout) \
        and len(late) * 4 > REQUESTS
    return 1 if broken else 0


sys.exit(asyncio.run(main()))
