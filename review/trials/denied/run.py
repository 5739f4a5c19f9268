"""One booking crashes the workers that run it. The system then answers 422 to
every booking of that tenant with the same path, whatever its body."""
import os
import sys
import threading
import time
from collections import Counter

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "..", "common"))
from deployment import (  # noqa: E402
    BROKEN, HELD, TROUBLE, Worker, in_threads, limits, route, run_case,
    send_request, service, tenant)

HOST = "jepu9.example"
PATH = "/puka111/2f"
KEY = "6wsjnbanfqasnmgkcuyj"
MACHINES = 4
CRASHING_BODY = b"the booking that crashes workers"
REPEATS = 2      # the crashing booking is sent once, and comes again twice
GAP_S = 0.1
BACK_AFTER_S = 3
LENGTH_S = 10


def main(deployment):
    record = deployment.record
    machines = [deployment.add_machine("brno-depot", "objednavky")
                for _ in range(MACHINES)]
    for machine in machines:
        deployment.start_node(machine)
    deployment.configure(7, [
        route("rezervace", HOST, "/puka111/", "unsafe", "objednavky", 1),
        service("objednavky"), tenant("pulo780", [KEY]), limits()])
    workers = []

    def start_worker(machine):
        def serve(request, connection):
            if request.body == CRASHING_BODY:
                worker.note_run(request)
                worker.crash()
                timer = threading.Timer(
                    BACK_AFTER_S, start_worker, (machine,))
                timer.daemon = True
                timer.start()
                return
            worker.answer_normally(request, connection)

        worker = Worker(deployment, machine, f"i-{len(workers)}",
                        "objednavky", work_s=0.16, serve=serve)
        workers.append(worker)

    for machine in machines:
        start_worker(machine)
    for machine in machines:
        deployment.wait_ready(machine)
        deployment.wait_joined(machine, (HOST, KEY), ("POST", PATH))
    time.sleep(4)
    end = record.now() + LENGTH_S
    answers = []

    def book(number):
        count = 0
        while record.now() < end:
            count += 1
            answers.append(send_request(
                record, deployment.outbound(machines[number]),
                f"booking-{number}-{count}", "POST", PATH, HOST, KEY,
                f"booking {count} of client {number}".encode()))
            time.sleep(1)

    def book_crashing():
        time.sleep(1.5)
        for count in range(REPEATS + 1 if TROUBLE else 0):
            send_request(
                record, deployment.outbound(machines[count % MACHINES]),
                f"crashing-{count}", "POST", PATH, HOST, KEY, CRASHING_BODY)
            time.sleep(GAP_S)

    in_threads([book_crashing] + [
        lambda number=number: book(number) for number in range(MACHINES)])
    counts = Counter(answer.status for answer in answers)
    denied = sum(1 for answer in answers if answer.status is not None
                 and 300 <= answer.status < 500
                 and answer.status not in (408, 421, 429))
    allowed = 5 + len(answers) / 500
    text = (f"{denied} of {len(answers)} proper bookings were ended with a 4xx "
            f"of the nodes ({allowed:.1f} are allowed): {dict(counts)}")
    return (BROKEN if denied > allowed else HELD), text


if __name__ == "__main__":
    run_case(main)
