#!/usr/bin/env python3
"""Real nodes under load while a request that ends each worker that begins it
comes again and again at any node.

Usage: crashing_request.py MODE [SEED], after `fleetbench build`.

MODE: plain; rolling (the nodes are killed and started again one after the
other); planned (the same with SIGTERM); restart (all are killed at once).
Exit status 1: the request ran more than three times later than stableWindowS
after it had ended the third worker, at nodes that had been up for that long,
or a proper request was refused with 422."""
import os
import random
import signal
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "review", "common"))
from deployment import (  # noqa: E402
    BOUNDS, BROKEN, HELD, Worker, limits, route, run_case, send_request,
    service, tenant)

HOST = "huhu84.example"
KEY = "6wsjnbanfqasnmgkcuyj"
CRASHING = "/wumi143/ba85/"
STABLE_S = BOUNDS["stableWindowS"]
NODES = 4
CALLERS = 40
MODE = sys.argv[1] if len(sys.argv) > 1 else "plain"
RANDOM = random.Random(int(sys.argv[2]) if len(sys.argv) > 2 else 1)


class Run:
    """What the workers and callers have seen."""

    def __init__(self, deployment, machines):
        self.deployment = deployment
        self.machines = machines
        self.lock = threading.Lock()
        self.stopping = threading.Event()
        self.started = {}
        self.ends = []
        self.runs = 0
        # For each late run, how long its node had been up.
        self.late = []
        self.answers = {}

    def start_worker(self, machine, number=0):
        """Starts a worker that the crashing request ends; another follows."""
        holder = []

        def serve(request, connection):
            worker = holder[0]
            if CRASHING not in request.target:
                worker.answer_normally(request, connection)
                return
            self.note_run(machine)
            time.sleep(0.1)
            with self.lock:
                if not worker.is_alive:
                    return
                worker.crash()
                self.ends.append(self.deployment.record.now())
            threading.Timer(3 + RANDOM.random(), self.replace,
                            (machine, number + 1)).start()

        for _ in range(50):
            try:
                holder.append(Worker(
                    self.deployment, machine, f"i-{machine.name[-1]}-{number}",
                    "marktplan", serve=serve, slots=18, work_s=0.12))
                return
            except OSError:
                time.sleep(0.1)

    def replace(self, machine, number):
        if not self.stopping.is_set():
            self.start_worker(machine, number)

    def note_run(self, machine):
        now = self.deployment.record.now()
        with self.lock:
            self.runs += 1
            if len(self.ends) >= 3 and now > self.ends[2] + STABLE_S:
                self.late.append(now - self.started[machine])

    def call(self, kind, target, name):
        machine = RANDOM.choice(self.machines)
        answer = send_request(
            self.deployment.record, self.deployment.outbound(machine), name,
            "GET", target, HOST, KEY, deadline_ms=2500)
        with self.lock:
            key = (kind, answer.status)
            self.answers[key] = self.answers.get(key, 0) + 1

    def send_proper(self, caller):
        number = 0
        while not self.stopping.is_set():
            number += 1
            self.call("proper", f"/wumi143/p{(caller + number) % 6}/",
                      f"proper-{caller}-{number}")
            time.sleep(0.1 + RANDOM.random() * 0.4)

    def send_crashing(self):
        number = 0
        while not self.stopping.is_set():
            number += 1
            threading.Thread(
                target=self.call, args=("crashing", CRASHING, f"odd-{number}"),
                daemon=True).start()
            time.sleep(0.15)

    def start_node(self, machine):
        self.deployment.start_node(machine)
        self.started[machine] = self.deployment.record.now()

    def restart_in_turn(self):
        for machine in self.machines:
            if MODE == "planned":
                self.deployment.signal(machine, signal.SIGTERM)
                machine.process.wait()
            else:
                self.deployment.kill(machine)
            time.sleep(1)
            self.start_node(machine)
            time.sleep(4)

    def restart_together(self):
        for machine in self.machines:
            self.deployment.kill(machine)
        time.sleep(1)
        for machine in self.machines:
            self.start_node(machine)


def main(deployment):
    machines = [deployment.add_machine("brno-depot", "marktplan")
                for _ in range(NODES)]
    run = Run(deployment, machines)
    for machine in machines:
        run.start_node(machine)
    deployment.configure(7, [
        route("pitch", HOST, "/wumi143/", "safe", "marktplan", 2.5),
        service("marktplan"), tenant("pulo780", [KEY]), limits()])
    for machine in machines:
        run.start_worker(machine)
    for machine in machines:
        deployment.wait_ready(machine)
        deployment.wait_joined(machine, (HOST, KEY), ("GET", "/wumi143/warm"))
    time.sleep(4)
    for caller in range(CALLERS):
        threading.Thread(target=run.send_proper, args=(caller,),
                         daemon=True).start()
    time.sleep(1.5)
    threading.Thread(target=run.send_crashing, daemon=True).start()
    time.sleep(9)
    if MODE in ("rolling", "planned"):
        run.restart_in_turn()
    elif MODE == "restart":
        run.restart_together()
    time.sleep(20)
    run.stopping.set()
    time.sleep(1)
    counted = sum(1 for up in run.late if up > STABLE_S)
    refused = run.answers.get(("proper", 422), 0)
    answers = sorted(run.answers.items(), key=str)
    text = (f"{MODE}: {len(run.ends)} ended, {run.runs} runs, "
            f"{len(run.late)} late, {counted} of them counted, {refused} "
            f"proper requests refused with 422; answers {answers}")
    return (BROKEN if counted > 3 or refused else HELD), text


# The record of the run is written to a new temporary folder.
sys.argv[0] = os.path.join(tempfile.mkdtemp(prefix="record-"), "run.py")
run_case(main)
