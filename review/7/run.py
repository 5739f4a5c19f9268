"""A worker on another machine answers 204 on kept client connections."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))
import bed as b  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CONNECTIONS = 10
REQUESTS = 3


async def empty_answer(reader, writer, echo):
    """A whole answer without a body; the connection stays open."""
    head = "HTTP/1.1 204 No Content\r\n" if TROUBLE else \
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
    writer.write(f"{head}{echo}{b.SIGNATURE}\r\n".encode())
    await writer.drain()
    return True


async def client(bed, number):
    """Sends requests one after the other on one connection. Returns the bytes
    that came where the next answer was due and that begin no answer."""
    reader, writer = await asyncio.open_connection(
        bed.machines[0].ip, bed.ports["outbound"])
    stray = b""
    for _ in range(REQUESTS):
        request_id = b.new_id()
        bed.record("sent", request_id, connection=number)
        writer.write((
            "POST /items/1 HTTP/1.1\r\nHost: shop.example\r\n"
            f"X-Cyclamenhold-Request-Id: {request_id}\r\n"
            "X-Cyclamenhold-Deadline-Ms: 5000\r\n"
            "Authorization: Bearer key-0001\r\nContent-Length: 2\r\n\r\n{}"
        ).encode())
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 6)
        lines = head.decode("latin-1").split("\r\n")
        if not lines[0].startswith("HTTP/1.1 "):
            stray = head
            bed.record("no-answer", request_id, connection=number,
                       bytes=repr(head))
            break
        status = int(lines[0].split(" ")[1])
        fields = {line.split(":")[0].lower(): line for line in lines[1:]}
        bed.record("answered", request_id, status=status,
                   transfer=fields.get("transfer-encoding", "-"))
        if status not in (200, 204):
            writer.close()
            return None
        # A 204, and here the 200 too, ends with its head.
    if not stray:
        try:
            stray = await asyncio.wait_for(reader.read(100), 0.3)
        except asyncio.TimeoutError:
            stray = b""
        if stray:
            bed.record("no-answer", "", connection=number, bytes=repr(stray))
    writer.close()
    return stray


async def main():
    bed = b.Bed([("brno-depot", "front"), ("brno-depot", "items")])
    document = b.document(7, [
        b.route("r-items", "shop.example", "/items/", "items", kind="unsafe"),
        b.service("front"), b.service("items"), b.tenant("t1", ["key-0001"])])
    front = b.Worker(bed, bed.machines[0], "front", "i-front")
    items = b.Worker(bed, bed.machines[1], "items", "i-items")
    items.special = empty_answer
    try:
        if not await bed.start(document, [front, items]):
            return 2
        results = [await client(bed, at) for at in range(CONNECTIONS)]
    finally:
        await bed.stop()
    broken = [stray for stray in results if stray]
    lines = [f"connections: {CONNECTIONS}",
             f"with bytes that are no answer: {len(broken)}"]
    bed.write_record(os.path.join(HERE, "record.txt"), lines)
    print("\n".join(lines))
    if any(stray is None for stray in results):
        return 2
    return 1 if broken else 0


b.run(main)
