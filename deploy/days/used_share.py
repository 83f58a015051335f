#!/usr/bin/env python3
"""Works out, from the logs of all hosts of a day, how much of the sound capacity
of each service was in use.

The users' capacity rule applies to upstreams that their bench calls sound. The
hosts do not know that set, so the share in use is worked out for several sets
that it may be:
  no_error   no server error in the last 2 s
  untouched  also no lost, unreachable or expired send in the last 6 s
  joined     of these, upstreams that registered during the day
Windows of 2 s are looked at every 0.25 s. A window counts as exposed when more
than a tenth and less than half of the requests that ended in it were not
served; the rule applies to these.

Usage: fleetbench run SITE DAY --log all > FILE; used_share.py FILE...
"""
import bisect
import collections
import re
import sys

WINDOW_S = 2.0
STEP_S = 0.25
ERROR_S = 2.0
TOUCH_S = 6.0
# In smaller sets one upstream is more than a fifth.
MIN_SET = 5
MIN_REQUESTS = 10
TOUCHES = {"lost", "unreachable", "expired", "misdirected"}
LINE = re.compile(r"\s*(-?[\d.]+) (\S+) time=\S+ .*?event=(\w+) ?(.*)")


class Upstream:
    def __init__(self):
        self.service = None
        self.ready = None
        self.joined = False
        self.left = float("inf")
        self.uses = []
        self.errors = []
        self.touches = []


def any_within(times, begin, end):
    """True when a sorted list has an element in (begin, end]."""
    at = bisect.bisect_right(times, begin)
    return at < len(times) and times[at] <= end


def read(path):
    upstreams = collections.defaultdict(Upstream)
    requests = collections.defaultdict(list)
    for line in open(path, errors="replace"):
        match = LINE.match(line)
        if not match:
            continue
        now, event = float(match[1]), match[3]
        keys = dict(n.split("=", 1) for n in match[4].split() if "=" in n)
        if event == "upstream_changed":
            note_change(upstreams[keys["id"]], keys, now)
        elif event == "request" and keys.get("service"):
            note_request(upstreams, requests, keys, now)
    for it in upstreams.values():
        for times in (it.uses, it.errors, it.touches):
            times.sort()
    for ends in requests.values():
        ends.sort()
    return upstreams, requests


def note_change(it, keys, now):
    if keys.get("state") == "ready":
        it.service = it.service or keys["service"]
        if it.ready is None:
            it.ready = now
            it.joined = now > 0
    else:
        it.left = min(it.left, now)


def note_request(upstreams, requests, keys, now):
    sent = [n for n in keys.get("upstreams", "").split(",") if n]
    results = [n for n in keys.get("results", "").split(",") if n]
    placed = now - (int(keys["ms"]) - int(keys["waited_ms"])) / 1000
    for n, name in enumerate(sent):
        it = upstreams[name]
        it.service = it.service or keys["service"]
        # Only the time of the first send is logged.
        it.uses.append(placed if n == 0 else now)
        if it.ready is None:
            it.ready = placed
        # Results are in the order of the ends, which differs from the order of
        # the sends when a second send ends first.
        if n < len(results) and results[n] == "server_error":
            it.errors.append(now)
        elif n < len(results) and results[n] in TOUCHES:
            it.touches.append(now)
    served = keys["end"] == "answered" and results[-1:] != ["server_error"]
    requests[keys["service"]].append((now, served))


def sets_at(members, now):
    """The upstreams that may be sound at a moment, by the name of the set."""
    out = {"no_error": [], "untouched": [], "joined": []}
    for it in members:
        if it.ready is None or it.ready > now - WINDOW_S or it.left <= now:
            continue
        if any_within(it.errors, now - ERROR_S, now):
            continue
        out["no_error"].append(it)
        if any_within(it.touches, now - TOUCH_S, now):
            continue
        out["untouched"].append(it)
        if it.joined:
            out["joined"].append(it)
    return out


def least_shares(members, ends):
    """Smallest share in use and its window, by set and exposure."""
    times = [n for n, _ in ends]
    least = {}
    now = times[0] + 2 * WINDOW_S
    while now < times[-1]:
        window = ends[bisect.bisect_right(times, now - WINDOW_S):
                      bisect.bisect_right(times, now)]
        lost = sum(not served for _, served in window)
        exposed = (len(window) >= MIN_REQUESTS and
                   0.1 < lost / len(window) < 0.5)
        for name, sound in sets_at(members, now).items():
            if len(sound) < MIN_SET:
                continue
            used = sum(any_within(it.uses, now - WINDOW_S, now)
                       for it in sound)
            entry = (used / len(sound), now, used, len(sound), lost,
                     len(window))
            for key in ((name, False), (name, True))[:1 + exposed]:
                least[key] = min(least.get(key, entry), entry)
        now += STEP_S
    return least


def report(path):
    upstreams, requests = read(path)
    for service, ends in sorted(requests.items()):
        members = [it for it in upstreams.values() if it.service == service]
        for (name, exposed), it in sorted(least_shares(members, ends).items()):
            share, at, used, sound, lost, all_requests = it
            print(f"{path} {service} {name:9} "
                  f"{'exposed' if exposed else 'any':7} least {share:.2f} at "
                  f"{at:.2f} s: {used} of {sound} used, {lost} of "
                  f"{all_requests} not served")


for argument in sys.argv[1:]:
    report(argument)
