#!/usr/bin/env python3
"""Sends one proxy the crowds of clients that docs/design/misbehaving-clients.md lists, and checks what the proxy keeps.

Usage: scripts/misbehaving_clients.py PROXY EMULATOR CROWD [--without-limits]
  --without-limits: leaves the limits out of the settings, for builds that do not know them; the checks stay the same.

Checks after each crowd, with its connections still open: the process lives, its peak memory (VmHWM) and its open
descriptors are at most what the settings state, and an ordinary request is answered. No times are checked; REQUEST_LIMIT_S
only ends a test whose request is never answered.
"""
import argparse
import json
import os
import pathlib
import resource
import socket
import subprocess
import sys
import tempfile
import time

MEMORY_MB = 64
MAX_DESCRIPTORS = 400
MESSAGE = 1 << 20
REQUEST_LIMIT_S = 30
# A crowd ends when none of its sockets has accepted or returned a byte for this time.
STALL_S = 0.7
CROWD_LIMIT_S = 6
DATABASE = "read_your_writes-0"


class Client:
    """A connection that sends @p data as far as the proxy takes it."""

    def __init__(self, address, data=b"", reads=False, piece=1 << 18, pause=0.0):
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.connect_ex(address)
        self.data, self.reads, self.piece, self.pause = memoryview(data), reads, piece, pause
        self.next_send = 0.0
        self.is_open = True

    def step(self):
        """Sends and reads what is possible; returns whether a byte moved."""
        moved = False
        try:
            if self.data and time.monotonic() >= self.next_send:
                sent = self.socket.send(self.data[:self.piece])
                self.data = self.data[sent:]
                self.next_send = time.monotonic() + self.pause
                moved = sent > 0
        except (BlockingIOError, InterruptedError):
            pass
        except OSError:
            self.is_open = False
        try:
            if self.reads and self.is_open:
                received = self.socket.recv(1 << 16)
                moved = moved or bool(received)
                self.is_open = bool(received)
        except (BlockingIOError, InterruptedError):
            pass
        except OSError:
            self.is_open = False
        return moved


def run_crowd(clients, limit_s=CROWD_LIMIT_S):
    end, last = time.monotonic() + limit_s, time.monotonic()
    while time.monotonic() < min(end, last + STALL_S):
        moved = [client.step() for client in clients if client.is_open]
        if any(moved):
            last = time.monotonic()
        else:
            time.sleep(0.005)


def request(address, text):
    """Runs one statement in a session of its own; returns the lines of the answer, the last one READY."""
    with socket.create_connection(address, timeout=REQUEST_LIMIT_S) as connection, connection.makefile("rwb") as lines:
        lines.write(b"START " + DATABASE.encode() + b" test\r\n")
        lines.flush()
        started = lines.readline()
        if not started.startswith(b"READY"):
            return [started]
        lines.write(b"QUERY 1 " + text + b"\r\n")
        lines.flush()
        answer = [lines.readline()]
        while answer[-1] and not answer[-1].startswith(b"READY"):
            answer.append(lines.readline())
        return answer


def is_served(address, text):
    """Repeats a statement that is refused, as clients do, until it is done."""
    end = time.monotonic() + REQUEST_LIMIT_S
    while time.monotonic() < end:
        try:
            if any(line.startswith(b"DONE") for line in request(address, text)):
                return True
        except OSError:
            pass
        time.sleep(0.1)
    return False


def is_door_open(address, path):
    end = time.monotonic() + REQUEST_LIMIT_S
    while time.monotonic() < end:
        try:
            with socket.create_connection(address, timeout=REQUEST_LIMIT_S) as connection:
                connection.sendall(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
                if connection.recv(64).startswith(b"HTTP/1.1 200"):
                    return True
        except OSError:
            pass
        time.sleep(0.1)
    return False


class Fleet:
    """One emulated platform and one proxy on loopback addresses."""

    def __init__(self, options, folder):
        self.ip = f"127.78.{os.getpid() // 250 % 250}.{os.getpid() % 250 + 1}"
        names = ["client", "ready", "peer", "metrics", "loan"]
        self.addresses = {name: (self.ip, 35000 + n) for n, name in enumerate(names)}
        settings = {"host": "host-0", "dataCentre": "dc-0", "region": "local", "graceSeconds": 1,
                    "storeAddress": f"{self.ip}:34000", "promotionAddress": f"{self.ip}:34001"}
        settings |= {f"{name}Address": f"{ip}:{port}" for name, (ip, port) in self.addresses.items()}
        if not options.without_limits:
            settings |= {"memoryMb": MEMORY_MB, "maxDescriptors": MAX_DESCRIPTORS}
        file = pathlib.Path(folder, "settings.json")
        file.write_text(json.dumps(settings))
        self.log = pathlib.Path(folder, "proxy.log")
        self.processes = []
        with open(folder + "/platform.log", "w") as output:
            self.emulator = subprocess.Popen([options.emulator, "--ip", self.ip, "--port", "34000", "--services", "1",
                                              "--work-ms", "1"], stdout=output, stderr=output)
        self.processes.append(self.emulator)
        try:
            with self.log.open("w") as output:
                self.proxy = subprocess.Popen([options.proxy, "--settings", file], stdout=output, stderr=output)
        except OSError:
            self.stop()
            raise
        self.processes.append(self.proxy)

    def stop(self):
        for process in self.processes:
            process.kill()
            process.wait()

    def peak_memory_mb(self):
        status = pathlib.Path(f"/proc/{self.proxy.pid}/status").read_text()
        return int(status.split("VmHWM:")[1].split()[0]) / 1024

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.proxy.pid}/fd"))


def started(data):
    return b"START " + DATABASE.encode() + b" test\r\n" + data


def long_text(word, size=MESSAGE - 1024):
    return b"QUERY 1 " + word + b" " + b"x" * size


def whole_half_messages(fleet):
    """Messages of legal size without their end, sent in one piece."""
    data = started(long_text(b"WRITE item"))
    return [Client(fleet.addresses["client"], data, piece=1 << 20) for _ in range(150)]


def half_messages_in_pieces(fleet):
    data = started(long_text(b"WRITE item"))
    return [Client(fleet.addresses["client"], data, piece=4096) for _ in range(150)]


def writes_without_reading(fleet):
    """One whole write of legal size each."""
    data = started(long_text(b"WRITE item") + b"\r\n")
    return [Client(fleet.addresses["client"], data) for _ in range(150)]


def long_lines(fleet):
    """Messages far over the limit."""
    data = started(long_text(b"WRITE item", 24 << 20))
    return [Client(fleet.addresses["client"], data, piece=1 << 20) for _ in range(100)]


def reads_sent_ahead(fleet):
    """Many reads of a long value on each connection, the answers not read."""
    if not is_served(fleet.addresses["client"], long_text(b"WRITE item")[8:]):
        return None
    data = started(b"QUERY 1 READ item\r\n" * 2000)
    return [Client(fleet.addresses["client"], data) for _ in range(100)]


def writes_sent_ahead(fleet):
    data = started((long_text(b"WRITE item") + b"\r\n") * 3)
    return [Client(fleet.addresses["client"], data) for _ in range(100)]


def session_values(fleet):
    """Values and prepared names, far more than a session needs; half of the clients read their answers."""
    value = b"x" * 900
    sets = started(b"".join(b"QUERY 1 SET name%d %s\r\n" % (n, value) for n in range(1500)))
    prepares = started(b"".join(b"QUERY 1 PREPARE name%d READ item %s\r\n" % (n, value) for n in range(1500)))
    return [Client(fleet.addresses["client"], prepares if n % 2 else sets, reads=n % 4 < 2) for n in range(120)]


def slow_and_silent_clients(fleet):
    """More connections than descriptors: silent, stopped before or after START, sending and reading slowly."""
    half = started(long_text(b"WRITE item", 100_000))
    reads = started(b"QUERY 1 READ item\r\n" * 200)
    kinds = [(b"", {}), (b"STAR", {}), (half, {}), (half, {"piece": 1, "pause": 0.1}), (reads, {"piece": 7})]
    clients = []
    for n in range(900):
        data, how = kinds[n % len(kinds)]
        clients.append(Client(fleet.addresses["client"], data, **how))
        if n % 50 == 49:
            run_crowd(clients, 0.2)
    return clients


def silent_connections(fleet):
    """Connections that say nothing, more than there are descriptors."""
    clients = []
    for n in range(600):
        clients.append(Client(fleet.addresses["client"]))
        if n % 50 == 49:
            time.sleep(0.05)
    return clients


def other_doors(fleet):
    """Half requests, long bodies and idle connections at every other address."""
    head = b"POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n"
    line = b"x" * (MESSAGE - 1024)
    clients = []
    for n in range(60):
        for name in ("ready", "peer", "metrics"):
            for data in (b"", b"GET /re", head, head + b"\r\n" + b"x" * 900_000):
                clients.append(Client(fleet.addresses[name], data))
        for data in (b"", b"{", line):
            clients.append(Client(fleet.addresses["loan"], data))
        if n % 5 == 4:
            run_crowd(clients, 0.3)
    return clients


def long_messages_in_calm(fleet):
    """No crowd: one message of nearly 1 MiB of each kind, then twenty writes in turn, all served."""
    address = fleet.addresses["client"]
    texts = [long_text(word)[8:] for word in (b"SET name", b"PREPARE name READ item", b"READ item")] + [long_text(b"WRITE item")[8:]] * 21
    return [] if all(is_served(address, text) for text in texts) else None


CROWDS = [whole_half_messages, half_messages_in_pieces, writes_without_reading, long_lines, reads_sent_ahead,
          writes_sent_ahead, session_values, slow_and_silent_clients, silent_connections, other_doors, long_messages_in_calm]


def check(fleet, crowd):
    """The problems that were seen, as lines of text."""
    if not is_served(fleet.addresses["client"], b"WRITE item x"):
        return ["the first request was not served"]
    clients = crowd(fleet)
    if clients is None:
        return ["a long message was not served"]
    run_crowd(clients)
    problems = []
    if fleet.proxy.poll() is not None:
        return [f"the proxy ended with {fleet.proxy.returncode}"]
    descriptors = fleet.descriptors()
    if not is_served(fleet.addresses["client"], b"WRITE item x"):
        problems.append("no ordinary request was served afterwards")
    for name, path in (("ready", "/ready"), ("peer", "/v1/state"), ("metrics", "/metrics")):
        if crowd is other_doors and not is_door_open(fleet.addresses[name], path):
            problems.append(f"no ordinary request was answered at the address {name} afterwards")
    if fleet.proxy.poll() is not None:
        return problems + [f"the proxy ended with {fleet.proxy.returncode}"]
    descriptors = max(descriptors, fleet.descriptors())
    peak = fleet.peak_memory_mb()
    open_clients = sum(client.is_open for client in clients)
    print(f"{crowd.__name__}: {len(clients)} clients, {open_clients} open, peak {peak:.0f} MB, {descriptors} descriptors")
    if peak > MEMORY_MB:
        problems.append(f"peak memory {peak:.0f} MB above {MEMORY_MB} MB")
    if descriptors > MAX_DESCRIPTORS:
        problems.append(f"{descriptors} descriptors, above {MAX_DESCRIPTORS}")
    return problems


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("proxy")
    parser.add_argument("emulator")
    parser.add_argument("crowd", choices=[crowd.__name__ for crowd in CROWDS])
    parser.add_argument("--without-limits", action="store_true")
    options = parser.parse_args()
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(limit, 4096), limit))
    crowd = next(crowd for crowd in CROWDS if crowd.__name__ == options.crowd)
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(options, folder)
        try:
            problems = check(fleet, crowd)
            if problems:
                print(fleet.log.read_text()[-2000:])
        finally:
            fleet.stop()
    print("\n".join(problems))
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
