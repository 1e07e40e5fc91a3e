#!/usr/bin/env python3
"""Starts proxies, sends each a signal 0 to 30 ms after its exec, and counts the ones that the signal ends.

Usage: scripts/early_signals.py PROXY [--signal NAME] [--tries N] [--inherit-ignored]
  --tries N: proxies for each delay. --inherit-ignored: starts the proxies with the signal ignored, as a supervisor can;
  then none may end, each must reload on a SIGHUP after its start and stop on SIGTERM, and the exit code is 1 otherwise.
"""
import argparse
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

MAX_DELAY_MS = 30
# Far above the time from exec to the handlers, about 6 ms on a loaded machine.
SETTLE_S = 0.03
EVENT_TIMEOUT_S = 10


def write_settings(folder):
    ip = f"127.88.{os.getpid() // 250 % 250}.{os.getpid() % 250 + 1}"
    settings = {"host": "host-0", "dataCentre": "dc-0", "region": "local", "graceSeconds": 1}
    names = ["client", "ready", "peer", "metrics", "store", "promotion"]
    settings |= {f"{name}Address": f"{ip}:{30000 + n}" for n, name in enumerate(names)}
    file = pathlib.Path(folder, "settings.json")
    file.write_text(json.dumps(settings))
    return file


def wait_for_event(log, event):
    until = time.monotonic() + EVENT_TIMEOUT_S
    while time.monotonic() < until:
        if f'"event":"{event}"' in log.read_text():
            return True
        time.sleep(0.01)
    return False


def check_reload_and_stop(process, log):
    """The problem that was seen; empty if there is none."""
    if not wait_for_event(log, "start"):
        return f"no start (exit {process.poll()})"
    process.send_signal(signal.SIGHUP)
    if not wait_for_event(log, "reload"):
        return f"no reload (exit {process.poll()})"
    process.send_signal(signal.SIGTERM)
    code = process.wait(EVENT_TIMEOUT_S)
    return "" if code == 0 else f"exit {code} after SIGTERM"


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("proxy")
    parser.add_argument("--signal", default="SIGHUP")
    parser.add_argument("--tries", type=int, default=10)
    parser.add_argument("--inherit-ignored", action="store_true")
    options = parser.parse_args()
    number = getattr(signal, options.signal)
    # Ignored signals stay ignored over fork and exec.
    if options.inherit_ignored:
        signal.signal(number, signal.SIG_IGN)
    ended, problems = [], []
    with tempfile.TemporaryDirectory() as folder:
        settings, log = write_settings(folder), pathlib.Path(folder, "log")
        for delay_ms in range(MAX_DELAY_MS + 1):
            ended.append(0)
            for _ in range(options.tries):
                with log.open("w") as output:
                    # Returns after the exec of the proxy, which closes the pipe that reports a failed exec.
                    process = subprocess.Popen([options.proxy, "--settings", settings], stdout=output, stderr=output)
                try:
                    time.sleep(delay_ms / 1000)
                    process.send_signal(number)
                    time.sleep(SETTLE_S)
                    if process.poll() == -number:
                        ended[-1] += 1
                    if options.inherit_ignored and (problem := check_reload_and_stop(process, log)):
                        problems.append(f"{delay_ms} ms: {problem}")
                finally:
                    process.kill()
                    process.wait()
    print(f"{options.signal}: ended by the signal, for each delay of 0 to {MAX_DELAY_MS} ms: {ended}")
    print(f"total {sum(ended)} of {len(ended) * options.tries}")
    print("\n".join(problems))
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
