"""A worker in trouble sends a chunk line without end. The node buffers it until
the platform kills its process, and other clients lose their answers."""
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "common"))
from deployment import (  # noqa: E402
    BROKEN, HELD, MEMORY_MB, TROUBLE, Connection, Worker, limits, route,
    run_case, send_request, service, tenant)

HOST = "nony93.example"
KEY = "6wsjnbanfqasnmgkcuyj"
BYTES_PER_S = 100e6     # below the link of a machine, 1,000 Mbit/s
MOST_BYTES = 450e6
CLIENTS = 8


def main(deployment):
    record = deployment.record
    machines = [deployment.add_machine("brno-depot", name)
                for name in ("vitrina", "pokladna")]
    for machine in machines:
        deployment.start_node(machine)
    deployment.configure(7, [
        route("katalog", HOST, "/wude451/", "safe", "vitrina", 5, attempts=1),
        route("platba", HOST, "/tiye233/", "safe", "pokladna", 2.5),
        service("vitrina"), service("pokladna"), tenant("pulo780", [KEY]),
        limits()])

    def serve(request, connection):
        if not (TROUBLE and request.target.endswith("/odd")):
            faulty.answer_normally(request, connection)
            return
        faulty.note_run(request)
        connection.sendall(
            b"HTTP/1.1 200 OK\r\n"
            b"X-Cyclamenhold-Request-Id: " + request.id().encode() + b"\r\n"
            b"X-Cyclamenhold-Response-Signature: s\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n400;")
        piece = b"x" * 500_000
        start, count = time.monotonic(), 0
        try:
            while count < MOST_BYTES:
                connection.sendall(piece)
                count += len(piece)
                time.sleep(max(
                    0.0, count / BYTES_PER_S - (time.monotonic() - start)))
        finally:
            record.line(f"i-faulty sent {count / 1e6:.0f} MB of a chunk line")

    faulty = Worker(deployment, machines[0], "i-faulty", "vitrina",
                    serve=serve)
    sound = Worker(deployment, machines[1], "i-sound", "pokladna", slots=51)
    for machine in machines:
        deployment.wait_ready(machine)
        deployment.wait_joined(machine, (HOST, KEY), ("GET", "/tiye233/cu51/"))
    deployment.wait_joined(machines[0], (HOST, KEY), ("GET", "/wude451/x"))
    time.sleep(4)
    sound.work_s = 0.48
    node = machines[0]
    stop = threading.Event()
    peak = [0.0]
    exceeded = threading.Event()

    def enforce_memory_limit():
        """The platform: a process that exceeds memoryMb is killed."""
        while not stop.is_set():
            used = deployment.resident_mb(node)
            peak[0] = max(peak[0], used)
            if used > MEMORY_MB and not exceeded.is_set():
                exceeded.set()
                record.line(f"the node on {node.name} uses {used:.0f} MB of "
                            f"{MEMORY_MB}")
                deployment.kill(node)
            time.sleep(0.01)

    closed = []

    def pay(number):
        connection = Connection(deployment.outbound(node), 1.0)
        for count in range(200):
            if stop.is_set():
                break
            name = f"payment-{number}-{count}"
            answer = send_request(
                record, deployment.outbound(node), name, "GET",
                f"/tiye233/{number}/{count}", HOST, KEY,
                connection=connection)
            if answer.status is None:
                closed.append(name)
                break
        connection.close()

    threads = [threading.Thread(target=pay, args=(number,))
               for number in range(CLIENTS)]
    threads.append(threading.Thread(target=enforce_memory_limit))
    for thread in threads:
        thread.start()
    time.sleep(1)
    send_request(record, deployment.outbound(node), "browse", "GET",
                 "/wude451/odd", HOST, KEY)
    time.sleep(1)
    stop.set()
    for thread in threads:
        thread.join()
    run = {request.id() for _, request in sound.runs}
    lost = [name for name in closed if name in run]
    text = (f"{len(lost)} requests that a sound worker ran on kept connections "
            f"got no answer; peak memory {peak[0]:.0f} MB of {MEMORY_MB}")
    return (BROKEN if exceeded.is_set() and len(lost) > 3 else HELD), text


if __name__ == "__main__":
    run_case(main)
