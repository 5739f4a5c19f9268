"""Starts and stops the processes of a fleet on loopback."""
import json
import os
import re
import secrets
import signal
import subprocess
import time
import uuid

START_TIMEOUT_S = 10
STOP_TIMEOUT_S = 40


def strip_comments(text):
    """Removes comments outside strings, and trailing commas."""
    pattern = r'("(?:\\.|[^"\\])*")|//[^\n]*|/\*.*?\*/'
    text = re.sub(pattern, lambda m: m.group(1) or "", text, flags=re.S)
    return re.sub(r",(\s*[}\]])", r"\1", text)


def read_json(path):
    with open(path, encoding="utf-8") as file:
        return json.loads(strip_comments(file.read()))


def new_uuid7():
    """Returns an idempotency key with its creation time (RFC 9562)."""
    value = (int(time.time() * 1000) << 80) | (7 << 76) | (2 << 62)
    value |= (secrets.randbits(12) << 64) | secrets.randbits(62)
    return str(uuid.UUID(int=value))


class Processes:
    """The processes of one run; upstreams are stopped before their nodes."""

    def __init__(self, binaries, folder):
        self.binaries = binaries
        self.folder = folder
        self.running = []

    def start(self, program, label, *arguments):
        """Starts a program; returns its first line of output as JSON."""
        log = open(os.path.join(self.folder, label + ".log"), "wb")
        process = subprocess.Popen(
            [os.path.join(self.binaries, program), *map(str, arguments)],
            stdout=subprocess.PIPE, stderr=log)
        self.running.append((label, process))
        line = process.stdout.readline()
        if not line:
            process.wait(START_TIMEOUT_S)
            raise RuntimeError(
                f"{label} exited without output; its log is {log.name}")
        return json.loads(line)

    def stop(self):
        """Stops all gracefully; returns a message for each that failed."""
        failed = []
        for program in ("upstream", "node", "platform"):
            group = [
                (label, process) for label, process in self.running
                if process.args[0].endswith(program)]
            failed += self.stop_group(group)
        return failed

    def stop_group(self, group):
        for _, process in group:
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        failed = []
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for label, process in group:
            try:
                code = process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                code = process.wait()
            if code != 0:
                failed.append(
                    f"{label}: exit code {code}; its log ends with\n" +
                    self.end_of_log(label))
        return failed

    def end_of_log(self, label):
        path = os.path.join(self.folder, label + ".log")
        with open(path, encoding="utf-8", errors="replace") as file:
            return "".join(file.readlines()[-5:])
