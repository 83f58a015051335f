#!/usr/bin/env python3
"""Measures what one entry host adds to requests, and what it costs.

usage: request_path.py BUILD
One platform, one agent, one entry with 2 threads and a set of stand-in
upstreams; the load goes to the stand-ins directly and through the entry in
one run. Exits with 1 when a target of the design page is missed.
"""
import json
import os
import pathlib
import socket
import statistics
import subprocess
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "demo"))
import fleet as f  # noqa: E402

UPSTREAMS = 8
SLOTS = 64
SERVICE_MS = 1
IDLE_CONNECTIONS = 1000
ADDED_P99_MS = 2.9
HIGHEST_RATE = 10000
IDLE_CPU_PERCENT = 0.5
ROUNDS = 5
RATES = (4000, 8000, 12000, 16000, 24000)

RECORDS = [
    {"kind": "service", "name": "bench", "schema_version": 1,
     "base_revision": 0,
     "body": {"upstreams": [], "floor_percent": 50,
              "health_profile": "hanbit"}},
    {"kind": "route", "name": "bench", "schema_version": 1,
     "base_revision": 0,
     "body": {"path_prefix": "/", "methods": ["GET"], "service": "bench",
              "request_class": "idempotent", "deadline_ms": 5000,
              "max_request_bytes": 65536, "max_response_bytes": 1048576,
              "max_attempts": 2, "hedge": False, "priority": "normal"}},
]


def start(build):
    fleet = f.Fleet(build)
    fleet.start_platform()
    fleet.start_upstreams(
        [f.Service("bench", UPSTREAMS, SLOTS, 400, SERVICE_MS)])
    fleet.plan_hosts(1, 1)
    fleet.list_hosts()
    host = fleet.hosts[0]
    fleet.start_host(host)
    fleet.wait_ready(host)
    template = fleet.folder / "bench-records.json"
    template.write_text(json.dumps(RECORDS))
    path = fleet.records_file(template)
    done = fleet.oriolectl(host, "publish", str(path))
    if done.returncode != 0:
        raise RuntimeError(done.stdout + done.stderr)
    f.wait_for(lambda: f.call(host.at(f.CALLER_PORT), "/?bytes=64")[0] == 200,
               "the first answer")
    return fleet, host


def load(fleet, targets, rate, seconds, processes=1):
    """Runs the load tool; returns its reports."""
    running = []
    for n in range(processes):
        report = fleet.folder / f"load-{n}.json"
        running.append((report, subprocess.Popen(
            [str(fleet.build / "oriole-load"), f"--targets={targets}",
             f"--rate={rate / processes}", f"--duration_s={seconds}",
             "--threads=2", "--settle_ms=0", f"--report={report}"],
            stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)))
    for _, process in running:
        process.wait()
    return [json.loads(report.read_text()) for report, _ in running]


def cpu_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().split(")")[1]
    numbers = fields.split()
    return (int(numbers[11]) + int(numbers[12])) / os.sysconf("SC_CLK_TCK")


def resident_kb(pid):
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1])
    return 0


def idle_cost(host):
    pid = host.entry.pid
    time.sleep(2)
    before, began = cpu_seconds(pid), time.monotonic()
    time.sleep(10)
    percent = 100 * (cpu_seconds(pid) - before) / (time.monotonic() - began)
    kb = resident_kb(pid)
    address, port = host.at(f.CALLER_PORT).split(":")
    idle = [socket.create_connection((address, int(port)))
            for _ in range(IDLE_CONNECTIONS)]
    for it in idle:
        it.sendall(b"GET /?bytes=64 HTTP/1.1\r\nHost: x\r\n\r\n")
        it.recv(4096)
    time.sleep(1)
    per_connection = (resident_kb(pid) - kb) / IDLE_CONNECTIONS
    for it in idle:
        it.close()
    return percent, per_connection


def answered(reports):
    """Answers per second with status 200 over the time of sending."""
    seconds = reports[0]["duration_ms"] / 1000
    return sum(r["latency_ms"]["count"] for r in reports) / seconds


def add_counts(a, b):
    return {k: a.get(k, 0) + b.get(k, 0) for k in {**a, **b}}


def status_counts(reports):
    out = {}
    for report in reports:
        out = add_counts(out, report["statuses"])
    return out


def measure(fleet, host):
    """Prints each figure; returns the names of missed targets."""
    missed = []

    def show(name, value, good=True):
        print(f"  {name:44} {value}", flush=True)
        if not good:
            missed.append(name)

    percent, kb = idle_cost(host)
    show("idle CPU of the entry, % of a core", f"{percent:.2f}",
         percent < IDLE_CPU_PERCENT)
    show("resident KB per idle caller connection", f"{kb:.1f}")
    direct = ",".join(fleet.all_upstreams())
    through = host.at(f.CALLER_PORT)
    statuses = {}
    added = {"p50": [], "p99": []}
    # Rounds alternate, so that other work on the machine meets both.
    for _ in range(ROUNDS):
        first = load(fleet, direct, 1000, 5)[0]["latency_ms"]
        entry = load(fleet, through, 1000, 5)
        second = entry[0]["latency_ms"]
        statuses = add_counts(statuses, status_counts(entry))
        for p, values in added.items():
            values.append(second[p] - first[p])
            show(f"ms at 1,000/s, {p}",
                 f"{first[p]:.2f} direct, {second[p]:.2f} through")
    for p, values in added.items():
        middle = statistics.median(values)
        show(f"ms added at 1,000/s, {p}, median of rounds", f"{middle:.2f}",
             p == "p50" or middle <= ADDED_P99_MS)
    show("statuses at 1,000/s", statuses)
    best = 0
    for rate in RATES:
        before = cpu_seconds(host.entry.pid)
        reports = load(fleet, through, rate, 5, 3)
        cpu = cpu_seconds(host.entry.pid) - before
        best = max(best, answered(reports))
        show(f"answers/s at {rate}/s offered",
             f"{answered(reports):.0f}, {cpu:.1f} s CPU, "
             f"{status_counts(reports)}")
    show("highest rate of answers, per s", f"{best:.0f}",
         best >= HIGHEST_RATE)
    return missed


def main():
    fleet, host = start(sys.argv[1])
    try:
        missed = measure(fleet, host)
    finally:
        fleet.stop_all()
    if missed:
        sys.exit("targets missed: " + "; ".join(missed))


if __name__ == "__main__":
    main()
