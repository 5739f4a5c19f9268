"""A planned stop with a grace of 10 s cuts requests at which the worker is at
work, after little more than half of that time."""
import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "common"))
from deployment import (  # noqa: E402
    BROKEN, HELD, TROUBLE, Worker, limits, route, run_case, send_request,
    service, tenant)

HOST = "nony93.example"
KEY = "6wsjnbanfqasnmgkcuyj"
GRACE_S = 10
WORK_S = 5.75
REQUESTS = 8


def main(deployment):
    record = deployment.record
    deployment.bounds.update(
        graceS=GRACE_S, stableWindowS=4, ackS=5, catchUpS=6, drainS=3,
        configApplyS=3, maxSkewS=6, budgetSlack=124)
    machines = [deployment.add_machine("brno-depot", "pokladna")
                for _ in range(2)]
    for machine in machines:
        deployment.start_node(machine)
    deployment.configure(7, [
        route("platba", HOST, "/tiye233/", "safe", "pokladna", 6),
        service("pokladna", 630), tenant("pulo780", [KEY]), limits()])
    workers = [Worker(deployment, machine, f"i-{number}", "pokladna", slots=14)
               for number, machine in enumerate(machines)]
    for machine in machines:
        deployment.wait_ready(machine)
        deployment.wait_joined(machine, (HOST, KEY), ("GET", "/tiye233/cu51/"))
    time.sleep(5)
    for worker in workers:
        worker.work_s = WORK_S

    answers = []

    def pay(number):
        answers.append(send_request(
            record, deployment.outbound(machines[0]), f"payment-{number}",
            "GET", f"/tiye233/{number:02x}/", HOST, KEY, deadline_ms=12010))

    threads = [threading.Thread(target=pay, args=(number,))
               for number in range(REQUESTS)]
    for thread in threads:
        thread.start()
    time.sleep(0.1)
    stopped_at = record.now()
    if TROUBLE:
        deployment.signal(machines[0], signal.SIGTERM)
    for thread in threads:
        thread.join()
    last_sixth = stopped_at + GRACE_S * 5 / 6
    run = {request.id() for worker in workers for _, request in worker.runs}
    lost = [answer for answer in answers
            if not answer.complete and answer.ended_at < last_sixth
            and answer.ended_at < answer.sent_at + 5.9]
    passed_on = sum(f"payment-{number}" in run for number in range(REQUESTS))
    text = (f"{len(lost)} of {passed_on} requests that were passed on to a "
            f"worker ended without a complete answer")
    if lost:
        text += (f", the first {min(a.ended_at for a in lost) - stopped_at:.1f}"
                 f" s after SIGTERM with graceS {GRACE_S}")
    return (BROKEN if lost and passed_on == REQUESTS else HELD), text


if __name__ == "__main__":
    run_case(main)
