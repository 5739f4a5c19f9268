"""Clients of a tenant that is beyond its limit leave early. Each that leaves
while its request waits for a token takes a slot of the gate for good, until the
gate beside the worker starts nothing more, for any tenant."""
import os
import random
import sys
import threading
import time
from collections import Counter

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "common"))
from deployment import (  # noqa: E402
    BROKEN, HELD, TROUBLE, Worker, in_threads, limits, route, run_case,
    send_request, service, tenant)

HOST = "nony93.example"
LARGE_KEY, CALM_KEY = "6wsjnbanfqasnmgkcuyj", "8pjbvk9m68k7b2ex5wa5"
USUAL_PER_S = 10
LIMIT_PER_S = 16        # 1.6 times the usual, as in the site file
SURGE = 7.5             # hot_tenant of the site
SURGE_S = 6.5
LEAVING_SHARE = 0.3     # give_up of the site, its largest share
LEAVING_S = 5           # in each surge, as in the site file
SURGES = 5
ADDED_AT_S = 42         # the operator adds the route of "nova"
MEASURED_FROM_S = 47
LENGTH_S = 77
CALM_PER_S = {"katalog": 8, "platba": 1.5, "nova": 1.5}
PATHS = {"katalog": "/wude451/x", "platba": "/tiye233/cu51/",
         "nova": "/vamy388/cu51/"}
FIRST_ROUTES = ("katalog", "platba")


def main(deployment):
    record = deployment.record
    machines = [deployment.add_machine("brno-depot", "pokladna"),
                deployment.add_machine("olomouc", "vitrina")]
    for machine in machines:
        deployment.start_node(machine)
    resources = [
        route("katalog", HOST, "/wude451/", "safe", "vitrina", 0.8),
        route("platba", HOST, "/tiye233/", "safe", "pokladna", 2.5),
        service("vitrina"), service("pokladna"),
        tenant("large", [LARGE_KEY], LIMIT_PER_S, LIMIT_PER_S),
        tenant("calm", [CALM_KEY]), limits()]
    deployment.configure(7, resources)
    Worker(deployment, machines[0], "i-pokladna", "pokladna", slots=14,
           work_s=0.05)
    Worker(deployment, machines[1], "i-vitrina", "vitrina", slots=50,
           work_s=0.05)
    for machine in machines:
        deployment.wait_ready(machine)
        for kind in FIRST_ROUTES:
            deployment.wait_joined(
                machine, (HOST, CALM_KEY), ("GET", PATHS[kind]))
    time.sleep(4)
    start = record.now()
    answers = {kind: [] for kind in PATHS}
    numbers = iter(range(1_000_000))

    def ask(kind, key, machine, leave_after_s=None):
        name = f"{kind}-{next(numbers)}"
        return send_request(
            record, deployment.outbound(machine), name, "GET", PATHS[kind],
            HOST, key, leave_after_s=leave_after_s)

    def ask_calmly(kind):
        answers[kind].append(ask(kind, CALM_KEY, random.choice(machines)))

    def send_steadily(kind):
        threads = []
        if kind not in FIRST_ROUTES:
            time.sleep(MEASURED_FROM_S)
        while record.now() < start + LENGTH_S:
            threads.append(threading.Thread(target=ask_calmly, args=(kind,)))
            threads[-1].start()
            time.sleep(1 / CALM_PER_S[kind])
        for thread in threads:
            thread.join()

    def large_tenant():
        threads = []
        for _ in range(SURGES if TROUBLE else 0):
            surge_start = record.now()
            while record.now() < surge_start + SURGE_S:
                leaves = (record.now() < surge_start + LEAVING_S
                          and random.random() < LEAVING_SHARE)
                # All within half of the objective, 600 ms.
                patience_s = random.uniform(0.02, 0.15) if leaves else None
                threads.append(threading.Thread(target=ask, args=(
                    "platba", LARGE_KEY, machines[0], patience_s)))
                threads[-1].start()
                time.sleep(1 / (USUAL_PER_S * SURGE))
            time.sleep(1)
        for thread in threads:
            thread.join()
        record.line("the surges are over; their clients have left")

    def add_route():
        time.sleep(ADDED_AT_S)
        deployment.configure(8, resources + [
            route("nova", HOST, "/vamy388/", "safe", "pokladna", 2.5)])

    in_threads([large_tenant, add_route] + [
        lambda kind=kind: send_steadily(kind) for kind in answers])

    def count(kinds):
        given = [answer for kind in kinds for answer in answers[kind]
                 if answer.sent_at >= start + MEASURED_FROM_S]
        return sum(answer.status == 200 and answer.complete
                   for answer in given), len(given)

    served_first, sent_first = count(FIRST_ROUTES)
    served_added, sent_added = count(["nova"])
    served_platba, sent_platba = count(["platba"])
    statuses = dict(Counter(answer.status for answer in answers["nova"]))
    text = (f"{sent_added} requests on the added route, {served_added} served; "
            f"{sent_first} on the first routes, {served_first} served (platba "
            f"{served_platba} of {sent_platba}), from {MEASURED_FROM_S} s to "
            f"{LENGTH_S} s after the first surge began; answers on the added "
            f"route: {statuses}")
    is_broken = (sent_added >= 20 and served_added / sent_added
                 < served_first / sent_first / 4)
    return (BROKEN if is_broken else HELD), text


main.zones = ["brno-depot", "olomouc"]

if __name__ == "__main__":
    run_case(main)
