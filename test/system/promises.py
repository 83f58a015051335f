#!/usr/bin/env python3
"""Whole-process failure test: the promises hold while processes fail.

Three data centres with two hosts each, both deployments' records, and load
with tokens and keys while a seeded schedule stops, kills and pauses hosts,
takes the log away, loses its answers and makes upstreams faulty. Asserts
promises, never timings.

usage: promises.py BUILD [--seed N] [--seconds N]
"""
import argparse
import json
import pathlib
import random
import signal
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "demo"))

from fleet import ADMIN_PORT, CALLER_PORT, Fleet, Service, call, wait_for  # noqa: E402

RATE = 200


def services():
    """Both deployments at a reduced number of servers."""
    names = ["archive", "consent", "intake", "dashboard",
             "catalogue", "booking", "photos", "tracking"]
    return [Service(n, 2, 4, 400, 5) for n in names]


def next_offset(host):
    """Offset that the agent of a host has applied; -1 without an answer."""
    try:
        _, value = call(host.at(ADMIN_PORT), "/v1/hosts", auth=True)
        rows = {h["name"]: h for h in value["hosts"]}
        return rows[host.name]["applied_offset"]
    except (OSError, KeyError, TypeError):
        return -1


class Schedule:
    """Seeded faults on one fleet. Every fault is repaired at the end."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.down = {}

    def live_hosts(self):
        return [h for h in self.fleet.hosts if h.name not in self.down]

    def say(self, text):
        print(f"  fault: {text}", flush=True)

    def kill_host(self):
        host = self.random.choice(self.live_hosts())
        self.say(f"kill {host.name}")
        host.entry.kill()
        host.agent.kill()
        self.down[host.name] = host

    def stop_host(self):
        host = self.random.choice(self.live_hosts())
        self.say(f"SIGTERM {host.name}")
        host.entry.send_signal(signal.SIGTERM)
        code = host.entry.wait(timeout=60)
        host.agent.send_signal(signal.SIGTERM)
        if code != 0:
            raise AssertionError(f"{host.name} stopped with {code}")
        self.down[host.name] = host

    def pause_host(self):
        host = self.random.choice(self.live_hosts())
        self.say(f"pause {host.name}")
        for process in (host.entry, host.agent):
            process.send_signal(signal.SIGSTOP)
        time.sleep(self.random.uniform(0.5, 2.5))
        for process in (host.entry, host.agent):
            process.send_signal(signal.SIGCONT)

    def restart_hosts(self):
        for name, host in sorted(self.down.items()):
            self.say(f"start {name}")
            self.fleet.start_host(host)
        self.down.clear()

    def log_down(self):
        self.say("log unavailable")
        self.fleet.set_log("down")

    def log_loses_answers(self):
        self.say("log loses answers")
        self.fleet.set_log("lose_answers")

    def log_up(self):
        self.say("log available")
        self.fleet.set_log("up")

    def upstream_fault(self):
        address = self.random.choice(self.fleet.all_upstreams())
        fault = self.random.choice([
            {"fail_share": 0.5}, {"close_before_answer": True},
            {"truncate": "content_length"}, {"truncate": "chunked"},
            {"reset_on_accept": True}, {"shed_all": True}, {"drain": True}])
        self.say(f"upstream {address}: {fault}")
        call(address, "/control", {"clear": True, **fault})

    def upstreams_healthy(self):
        for address in self.fleet.all_upstreams():
            call(address, "/control", {"clear": True})

    def run(self, seconds):
        """Applies faults until the time is over, then repairs all."""
        actions = [self.kill_host, self.stop_host, self.pause_host,
                   self.restart_hosts, self.log_down, self.log_loses_answers,
                   self.log_up, self.upstream_fault, self.upstream_fault,
                   self.upstreams_healthy]
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            action = self.random.choice(actions)
            if action in (self.kill_host, self.stop_host) and len(self.down) > 2:
                action = self.restart_hosts
            action()
            time.sleep(self.random.uniform(0.2, 1.0))
        self.log_up()
        self.upstreams_healthy()
        self.restart_hosts()


def start_fleet(fleet):
    fleet.start_platform()
    fleet.start_upstreams(services())
    fleet.plan_hosts(data_centres=3, per_data_centre=2)
    fleet.list_hosts()
    for host in fleet.hosts:
        fleet.start_host(host)
    first = fleet.hosts[0]
    wait_for(lambda: call(first.at(ADMIN_PORT), "/healthz")[0] == 200,
             "the first agent")
    for name in ("prairie_rest", "hanbit"):
        path = fleet.records_file(ROOT / "demo" / "records" / f"{name}.json")
        result = fleet.oriolectl(first, "publish", str(path))
        if result.returncode != 0:
            raise AssertionError(f"publish: {result.stdout}{result.stderr}")
    for host in fleet.hosts:
        fleet.wait_ready(host, limit_s=60)


def start_load(fleet, seconds):
    report = fleet.folder / "report.json"
    process = fleet.start(
        "load", "oriole-load",
        "--targets=" + ",".join(h.at(CALLER_PORT) for h in fleet.hosts),
        "--upstreams=" + ",".join(fleet.all_upstreams()),
        f"--mix={ROOT / 'demo' / 'mix.json'}", f"--report={report}",
        f"--rate={RATE}", f"--duration_s={seconds}")
    return process, report


def check_load(process, report):
    """Waits for the load and checks what callers saw."""
    code = process.wait(timeout=300)
    result = json.loads(report.read_text())
    audit = result["audit"]
    broken = [f"{key}: {audit[key]}"
              for key in ("duplicates", "false_not_run", "ok_never_run")
              if audit[key] != 0]
    broken += [f"{key}: {result[key]}" for key in ("truncated", "foreign")
               if result[key] != 0]
    if code != 0 and not broken:
        broken.append(f"oriole-load exited with {code}")
    return broken, result


def check_one_revision(fleet):
    """All hosts must come to one offset once the faults are repaired."""
    def agree():
        offsets = {next_offset(h) for h in fleet.hosts}
        return len(offsets) == 1 and -1 not in offsets
    try:
        wait_for(agree, "one revision on all hosts", limit_s=120)
    except RuntimeError:
        return [f"offsets differ: {[next_offset(h) for h in fleet.hosts]}"]
    return []


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("build")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=int, default=20)
    options = parser.parse_args()
    with Fleet(options.build) as fleet:
        print(f"promises: seed {options.seed}, logs in {fleet.folder}",
              flush=True)
        start_fleet(fleet)
        load, report = start_load(fleet, options.seconds)
        Schedule(fleet, options.seed).run(options.seconds - 3)
        broken, result = check_load(load, report)
        broken += check_one_revision(fleet)
        print(f"  requests {result['sent']}, repeats {result['repeats']}, "
              f"outcomes {result['outcomes']}", flush=True)
    for line in broken:
        print(f"  BROKEN: {line}")
    print("promises: " + ("BROKEN" if broken else "kept"))
    return 1 if broken else 0


sys.exit(main())
