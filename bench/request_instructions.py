#!/usr/bin/env python3
"""Counts the instructions that one entry spends on a request.

usage: request_instructions.py BUILD...
Each build in turn, three times: instructions of the entry in user mode for each
answer at 4,000 requests/s. Times depend on what else the machine does; this
figure hardly does, so it shows changes of a percent. Needs `perf`.
"""
import signal
import subprocess
import sys
import time

import request_path as path

ROUNDS = 3
RATE = 4000
SECONDS = 4
WARM_UP_SECONDS = 2
# Time for perf to attach to the process.
ATTACH_SECONDS = 0.3


def counted(host, target, fleet):
    """Instructions and statuses of a run."""
    report = fleet.folder / "perf.txt"
    perf = subprocess.Popen(
        ["perf", "stat", "-x,", "-e", "instructions:u", "-p",
         str(host.entry.pid), "-o", str(report)])
    time.sleep(ATTACH_SECONDS)
    statuses = path.status_counts(path.load(fleet, target, RATE, SECONDS))
    perf.send_signal(signal.SIGINT)
    perf.wait()
    return int(report.read_text().split("\n")[-2].split(",")[0]), statuses


def measure(build):
    fleet, host = path.start(build)
    try:
        target = host.at(path.f.CALLER_PORT)
        path.load(fleet, target, RATE, WARM_UP_SECONDS)
        instructions, statuses = counted(host, target, fleet)
        answers = sum(statuses.values())
        print(f"  {build}: {instructions / answers:.0f} a request, {statuses}",
              flush=True)
    finally:
        fleet.stop_all()


for _ in range(ROUNDS):
    for it in sys.argv[1:]:
        measure(it)
