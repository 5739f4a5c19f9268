"""A worker ends silently and its address goes to a worker of another service,
which is handed the requests that still wait for the former worker."""
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "common"))
from deployment import (  # noqa: E402
    BROKEN, HELD, TROUBLE, Worker, limits, route, run_case, send_request,
    service, tenant)

HOST = "jepu9.example"
KEY = "6wsjnbanfqasnmgkcuyj"
REUSE_AFTER_S = 2
BOOKINGS = 30


def main(deployment):
    record = deployment.record
    machines = [deployment.add_machine("brno-depot", name)
                for name in ("objednavky", "vitrina")]
    for machine in machines:
        deployment.start_node(machine)
    deployment.configure(7, [
        route("rezervace", HOST, "/puka111/", "unsafe", "objednavky", 5),
        route("platba", HOST, "/tiye233/", "safe", "pokladna", 5),
        service("objednavky"), service("pokladna"), service("vitrina"),
        tenant("pulo780", [KEY]), limits()])
    is_silent = threading.Event()

    def serve(request, connection):
        if is_silent.is_set():
            former.note_run(request)
            threading.Event().wait()
        former.answer_normally(request, connection)

    former = Worker(deployment, machines[0], "i-former", "objednavky",
                    slots=14, serve=serve)
    Worker(deployment, machines[1], "i-vitrina", "vitrina")
    for machine in machines:
        deployment.wait_ready(machine)
        deployment.wait_joined(
            machine, (HOST, KEY), ("POST", "/puka111/2f"))
    time.sleep(4)

    if TROUBLE:
        is_silent.set()
        former.beats = False
        record.line("i-former ends; nothing at its address answers")

    def book(number):
        send_request(
            record, deployment.outbound(machines[number % 2]),
            f"booking-{number}", "POST", f"/puka111/{number:02x}", HOST, KEY,
            b"a booking")

    threads = [threading.Thread(target=book, args=(number,))
               for number in range(BOOKINGS)]
    for thread in threads:
        thread.start()
    time.sleep(REUSE_AFTER_S + 0.5)
    successor = None
    if TROUBLE:
        former.is_alive = False
        # The listening socket stands for the address, which stays the same.
        successor = Worker(deployment, machines[0], "i-successor", "pokladna",
                           slots=51, listener=former.listener)
        record.line("the address goes to i-successor of pokladna")
    for thread in threads:
        thread.join()
    foreign = [request.id() for _, request in successor.runs
               if request.id().startswith("booking")] if successor else []
    return (BROKEN if foreign else HELD), (
        f"{len(foreign)} of {BOOKINGS} bookings for objednavky ran at "
        "pokladna")


if __name__ == "__main__":
    run_case(main)
