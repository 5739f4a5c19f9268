"""A restarted node acknowledges the leaving of a worker that it does not know
yet, and uses it again after a heartbeat that arrives 1 s late (DRAIN)."""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "..", "common"))
from deployment import (  # noqa: E402
    BROKEN, HELD, TROUBLE, CouldNotRun, Worker, in_threads, limits, route,
    run_case, send_request, service, tenant)

HOST = "jepu9.example"
KEY = "6wsjnbanfqasnmgkcuyj"


def main(deployment):
    record = deployment.record
    machines = [deployment.add_machine("brno-depot", "objednavky")
                for _ in range(2)]
    for machine in machines:
        deployment.start_node(machine)
    deployment.configure(7, [
        route("sklad", HOST, "/book/", "safe", "objednavky", 5),
        service("objednavky"), tenant("pulo780", [KEY]), limits()])
    workers = [Worker(deployment, machine, f"i-{number}", "objednavky")
               for number, machine in enumerate(machines)]
    for machine in machines:
        deployment.wait_ready(machine)
        deployment.wait_joined(machine, (HOST, KEY), ("GET", "/book/x"))
    time.sleep(4)
    leaving = workers[0]
    leaving.beats = False
    leaving.sequence += 1
    late = leaving.sequence
    if TROUBLE:
        deployment.kill(machines[0])
        time.sleep(0.3)
        deployment.start_node(machines[0])
        deployment.wait_ready(machines[0])
    if not leaving.deregister():
        raise CouldNotRun("the leaving was not acknowledged")
    acknowledged = record.now()
    time.sleep(1)
    leaving.heartbeat(late)
    record.line("a heartbeat from before the leaving arrives")
    sent = {}
    while record.now() < acknowledged + 7:
        name = f"lookup-{len(sent)}"
        sent[name] = send_request(
            record, deployment.outbound(machines[len(sent) % 2]), name, "GET",
            "/book/x", HOST, KEY).sent_at
        time.sleep(0.05)
    # drainS is 2; by then the restarted machine is in touch (stableWindowS 3).
    broken = [request.id() for _, request in leaving.runs
              if sent.get(request.id(), 0) > acknowledged + 3.5]
    return (BROKEN if broken else HELD), (
        f"{len(broken)} requests sent later than 3.5 s after the "
        "acknowledgement ran at the worker that had left")


if __name__ == "__main__":
    run_case(main)
