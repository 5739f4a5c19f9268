"""A planned stop with a grace of 10 s: requests taken late in it are cut while
their worker is at work."""
import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))
import bed as b  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The bounds and the kind platba of large/kyvadlo-brno-large.toml.
b.BOUNDS.update({
    "stableWindowS": 4, "ackS": 5, "catchUpS": 6, "drainS": 3, "graceS": 10,
    "configApplyS": 3, "maxSkewS": 6, "budgetSlack": 124})
TIMEOUT_S = 6.0
DEADLINE_MS = 12010
WORK_S = 5.4
# The stops of a roll_term follow each other by this.
GAP_S = 1.0
# Clients send at this pace, from before the first stop until the node refuses.
SPACING_S = 0.2
BEFORE_S = 2.0
LAST_SENT_S = 4.8
# The rule excuses requests sent up to this after SIGTERM whose worker is at
# work in the last sixth of graceS.
EXCUSED_UNTIL_S = 3.0


class Platform:
    """Asks the nodes of a zone each second whether they are ready, and says
    whether the clients of a machine get new work."""

    def __init__(self, machines):
        self.machines = machines
        self.misses = {machine.name: 0 for machine in machines}

    async def ask(self):
        while True:
            for machine in self.machines:
                is_ready = await machine.is_ready()
                misses = self.misses[machine.name]
                self.misses[machine.name] = 0 if is_ready else misses + 1
            await asyncio.sleep(1)

    def gets_work(self, machine):
        are_in = sum(misses < 2 for misses in self.misses.values())
        return self.misses[machine.name] < 2 or are_in * 2 < len(self.misses)


async def stop(bed, machine):
    """SIGTERM, and SIGKILL after graceS."""
    machine.signal(signal.SIGTERM)
    begin = bed.now()
    bed.record("sigterm", machine=machine.name)
    while machine.process.poll() is None:
        if bed.now() - begin >= b.BOUNDS["graceS"]:
            machine.kill()
        await asyncio.sleep(0.02)
    bed.record("ended", machine=machine.name, code=machine.process.poll())
    return bed.now() - begin


async def stop_later(bed, machine):
    await asyncio.sleep(GAP_S)
    return await stop(bed, machine)


async def main():
    bed = b.Bed([("brno-depot", "front"), ("brno-depot", "front"),
                 ("olomouc", "pokladna"), ("olomouc", "pokladna")],
                zones=("brno-depot", "olomouc"))
    document = b.document(7, [
        b.route("r-platba", "shop.example", "/platba/", "pokladna",
                timeout=TIMEOUT_S),
        b.service("front"), b.service("pokladna"),
        b.tenant("t1", ["key-0001"])])
    workers = [b.Worker(bed, machine, machine.service, f"i-{machine.index}",
                        slots=23, work_s=WORK_S) for machine in bed.machines]
    first, second = bed.machines[0], bed.machines[1]
    platform = Platform([first, second])
    results = {}

    async def client(request_id):
        sent_at = bed.now()
        status, _ = await b.request(
            bed, first, "GET", "shop.example", "/platba/" + request_id,
            "key-0001", DEADLINE_MS, request_id=request_id)
        results[request_id] = (status, bed.now() - sent_at, sent_at)
    try:
        if not await bed.start(document, workers):
            return 2
        asking = asyncio.create_task(platform.ask())
        await asyncio.sleep(b.BOUNDS["stableWindowS"])
        begin = bed.now() + BEFORE_S

        async def stop_both():
            await asyncio.sleep(BEFORE_S)
            return await asyncio.gather(
                stop(bed, first), stop_later(bed, second))
        stops = [asyncio.create_task(stop_both())] if TROUBLE else []
        clients = []
        while bed.now() < begin + LAST_SENT_S:
            if platform.gets_work(first):
                clients.append(asyncio.create_task(client(b.new_id())))
            await asyncio.sleep(SPACING_S)
        await asyncio.gather(*clients, *stops)
        asking.cancel()
    finally:
        await bed.stop()
    ran = {request_id for _, kind, request_id, _ in bed.events
           if kind == "run"}
    # Passed on to the sound worker, and over without its answer before the
    # deadline and the route's time.
    lost = [(sent_at - begin, seconds)
            for request_id, (status, seconds, sent_at) in results.items()
            if request_id in ran and status != 200 and seconds < TIMEOUT_S
            and sent_at > begin + EXCUSED_UNTIL_S]
    late = [r for r in results.values() if r[2] > begin + EXCUSED_UNTIL_S]
    lines = [f"requests: {len(results)}, run: {len(ran)}, answered whole: "
             f"{sum(r[0] == 200 for r in results.values())}",
             f"sent over {EXCUSED_UNTIL_S} s after the first SIGTERM: {len(late)}",
             f"of these run and ended without an answer: {len(lost)}",
             "sent and cut, s after SIGTERM: " + ", ".join(
                 f"{at:.2f} {at + s:.2f}" for at, s in sorted(lost))]
    bed.write_record(os.path.join(HERE, "record.txt"), lines)
    print("\n".join(lines))
    if not ran:
        return 2
    return 1 if lost else 0


b.run(main)
