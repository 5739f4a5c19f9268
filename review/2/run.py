"""A zone is cut off from the store, one of its machines freezes and wakes, and
a removed key is accepted again by the machines of the zone."""
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "common"))
from deployment import (  # noqa: E402
    BROKEN, HELD, TROUBLE, CouldNotRun, Worker, in_threads, limits, route,
    run_case, send_request, service, tenant)

HOST = "jepu9.example"
KEPT, REMOVED = "8pjbvk9m68k7b2ex5wa5", "6wsjnbanfqasnmgkcuyj"
CUT_S = 6.3      # zone_cut of the site
FREEZE_S = 3.5   # node_freeze of the site


def main(deployment):
    record = deployment.record
    machines = [deployment.add_machine("brno-depot", "objednavky")
                for _ in range(4)]
    for machine in machines:
        deployment.start_node(machine)

    def configure(version, keys):
        return deployment.configure(version, [
            route("rezervace", HOST, "/puka111/", "unsafe", "objednavky", 1),
            service("objednavky"), tenant("pulo780", keys), limits()])

    configure(7, [KEPT, REMOVED])
    workers = [Worker(deployment, machine, f"i-{number}", "objednavky")
               for number, machine in enumerate(machines)]
    for machine in machines:
        deployment.wait_ready(machine)
        deployment.wait_joined(
            machine, (HOST, REMOVED), ("POST", "/puka111/2f"))
    # By then the nodes know each other.
    time.sleep(12)

    start = record.now()
    if TROUBLE:
        deployment.link.is_cut = True
        record.line("the zone is cut off from the store")
        time.sleep(0.02)
        deployment.signal(machines[0], signal.SIGSTOP)
    acknowledged = configure(8, [KEPT])
    time.sleep(FREEZE_S)
    if TROUBLE:
        deployment.signal(machines[0], signal.SIGCONT)
    time.sleep(max(0.0, acknowledged + 5.05 - record.now()))

    sent = {}

    def send_until_end(number, machine):
        count = 0
        while record.now() < start + CUT_S:
            count += 1
            name = f"late-{number}-{count}"
            sent[name] = send_request(
                record, deployment.outbound(machine), name, "POST",
                "/puka111/2f", HOST, REMOVED, b"a booking").sent_at
            time.sleep(0.05)

    in_threads([lambda pair=pair: send_until_end(*pair)
                for pair in enumerate(machines)])
    if TROUBLE:
        deployment.link.is_cut = False
        record.line("the cut ends")
    if not sent:
        raise CouldNotRun("no request was sent")
    limit = acknowledged + deployment.bounds["revokeS"]
    broken = [request.id() for worker in workers
              for _, request in worker.runs
              if sent.get(request.id(), 0) > limit]
    text = (f"{len(broken)} of {len(sent)} requests with a key that was "
            f"removed more than {deployment.bounds['revokeS']} s before ran")
    return (BROKEN if broken else HELD), text


if __name__ == "__main__":
    run_case(main)
