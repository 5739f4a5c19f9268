"""An answer whose body does not end is passed on past the time limit of its
route (CONFIG)."""
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
    machine = deployment.add_machine("brno-depot", "objednavky")
    deployment.start_node(machine)
    deployment.configure(7, [
        route("sklad", HOST, "/book/", "safe", "objednavky", 1, attempts=1),
        service("objednavky"), tenant("pulo780", [KEY]), limits()])

    def serve(request, connection):
        if not (TROUBLE and request.target.endswith("/endless")):
            worker.answer_normally(request, connection)
            return
        worker.note_run(request)
        connection.sendall(
            b"HTTP/1.1 200 OK\r\n"
            b"X-Cyclamenhold-Request-Id: " + request.id().encode() + b"\r\n"
            b"X-Cyclamenhold-Response-Signature: s\r\n\r\n")
        for _ in range(80):
            connection.sendall(b"0" * 20000)
            time.sleep(0.1)
        raise OSError("the stand-in stops")

    worker = Worker(deployment, machine, "i-0", "objednavky", serve=serve)
    deployment.wait_ready(machine)
    deployment.wait_joined(machine, (HOST, KEY), ("GET", "/book/x"))
    time.sleep(4)
    answers = []
    in_threads([
        lambda number=number: answers.append(send_request(
            record, deployment.outbound(machine), f"lookup-{number}", "GET",
            "/book/endless", HOST, KEY)) for number in range(10)])
    late = sum(answer.ended_at - answer.sent_at > 1.5 for answer in answers)
    is_broken = late >= 8 and late > len(answers) / 4
    return (BROKEN if is_broken else HELD), (
        f"{late} of {len(answers)} requests had no final answer 0.5 s after "
        "the route's time limit")


if __name__ == "__main__":
    run_case(main)
