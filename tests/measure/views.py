"""Figures of views: python tests/measure/views.py

4,200 gateways, 56,000 hosts, 6 zones. How many views a host is in, for all and for some of the gateways, and
what moves when hosts or a zone go; then the list service with 500 live views, and with all: its CPU a change,
bytes, memory. No sockets; some minutes.
"""

import asyncio
import gc
import random
import statistics
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
sys.path[:0] = [str(ROOT)]

from api_gateway.base import subsets as base  # noqa: E402
from api_gateway.base.subsets import EndpointRings, SubsetSpec  # noqa: E402
from api_gateway.registry.config import RegistryConfig  # noqa: E402
from api_gateway.registry.core import Host, Registry  # noqa: E402
from api_gateway.registry.service import Service  # noqa: E402

GATEWAYS, HOSTS, SIZE, ZONES, KINDS = 4200, 56_000, 480, "abcdef", 2600
RACK = 40


def rings_of(zones, kinds=1):
    rings = EndpointRings()
    for n in range(HOSTS):
        rings.set_endpoint(f"s-{n:08x}", f"svc-{n % kinds}", zones[n // kinds % len(zones)], True)
    return rings


def views_of(kinds=0):
    """Gateways of all zones in turn; each uses kinds drawn for it."""
    rng = random.Random(1)
    return [
        SubsetSpec(n, SIZE, ZONES[n % 6], tuple(f"svc-{k}" for k in rng.sample(range(KINDS), kinds)))
        for n in range(GATEWAYS)
    ]


def held(rings, views):
    return {view: rings.members(view) for view in views}


def evenness(name, rings, views):
    counts = Counter(name for names in held(rings, views).values() for name in names)
    each = [counts[name] for name in rings.entries]
    print(
        f"{name}: views a host min {min(each)}, mean {statistics.mean(each):.1f}, max {max(each)}, "
        f"standard deviation {statistics.pstdev(each):.1f}, hosts in none {each.count(0)}"
    )
    for zone in sorted({h.zone for h in rings.entries.values()}) if "uneven" in name else ():
        some = [counts[h.ring_key[1]] for h in rings.entries.values() if h.zone == zone]
        print(
            f"  zone {zone or '(none)'}: {len(some)} hosts, min {min(some)}, "
            f"mean {statistics.mean(some):.1f}, max {max(some)}"
        )


UNEVEN = {
    "a third in size": ("abcdefbcdefbcdef", "abcdef"),
    "3 to 2 to 1": ("aaabbc", "abc"),
    "3 to 2 to 1, and so the gateways": ("aaabbc", "aaabbc"),
    "a tenth": ("abbbbbbbbb", "ab"),
    "half without one": (["", "a", "", "b", "", "c", "", "d", "", "e", "", "f"], "abcdef"),
    "one without gateways": ("abcdef", "abcde"),
}  # zones of hosts and of gateways


def uneven():
    for name, (zones, gateways) in UNEVEN.items():
        views = [SubsetSpec(n, SIZE, gateways[n % len(gateways)]) for n in range(GATEWAYS)]
        for chance, how in ((1e9, "half in the own zone"), (base.ARC_RATIO_TOLERANCE, "as far as even")):
            kept, base.ARC_RATIO_TOLERANCE = base.ARC_RATIO_TOLERANCE, chance
            evenness(f"zones uneven, {name}, {how}", rings_of(zones), views)
            base.ARC_RATIO_TOLERANCE = kept


def moved(name, rings, views, gone):
    """What the views lose besides those that go, and gain. Leaves the rings as they were."""
    before, known = held(rings, views), [rings.entries[n] for n in gone]
    for host in known:
        rings.remove_endpoint(host.ring_key[1])
    after = held(rings, views)
    gone = set(gone)
    touched = [v for v in views if before[v] != after[v]]
    others = sum(len(before[v] - after[v] - gone) for v in views)
    gained = sum(len(after[v] - before[v]) for v in views)
    print(
        f"{name}: {len(touched)} views change, {gained} hosts enter (of {sum(map(len, before.values()))} "
        f"held, {gained / sum(map(len, before.values())):.4%}), {others} leave that still exist; "
        f"largest change of a view {max([len(after[v] ^ before[v]) for v in touched], default=0)}"
    )
    for host in known:
        rings.set_endpoint(host.ring_key[1], host.kind, host.zone, True)
    assert held(rings, views) == before


def spread():
    rings, views = rings_of(ZONES), views_of()
    began = time.process_time()
    held(rings, views)
    print(f"members of a view of {SIZE}: {(time.process_time() - began) / GATEWAYS * 1e6:.0f} us")
    evenness("all gateways", rings, views)
    evenness("the first half", rings, views[: GATEWAYS // 2])
    evenness("the second half", rings, views[GATEWAYS // 2 :])
    evenness("without one zone's gateways", rings, [v for v in views if v.zone != "a"])
    names = list(rings.entries)
    moved("one host goes", rings, views, names[:1])
    moved(f"a rack of {RACK} goes", rings, views, names[: RACK * 6 : 6])
    moved("a zone goes", rings, views, [n for n in names if rings.entries[n].zone == "a"])
    print("gateways that restart: nothing, views are made of numbers and names alone")
    rings, views = rings_of(ZONES, KINDS), views_of(20)
    sizes = [len(names) for names in held(rings, views).values()]
    print(
        f"{KINDS} kinds of {HOSTS / KINDS:.1f} hosts, 20 a gateway: {statistics.mean(sizes):.0f} hosts a view"
    )
    evenness("by kinds", rings, views)
    moved("one host goes", rings, views, list(rings.entries)[:1])
    moved("a zone goes", rings, views, [n for n in rings.entries if rings.entries[n].zone == "a"])


def host(n, **kw):
    return Host(
        f"s-{n:08x}",
        f"10.{n // 62500}.{n // 250 % 250}.{n % 250}:6379",
        ZONES[n // KINDS % 6],
        f"svc-{n % KINDS}",
        n % 7,
        **kw,
    )


def rss():
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def ticks(registry, now):
    """Answers, and the longest tick, in CPU seconds."""
    told, longest = [], 0.0
    while registry.due() <= now:
        began = time.process_time()
        told += registry.tick(now)
        longest = max(longest, time.process_time() - began)
    return told, longest


async def service(count, kinds):
    registry = Registry("e", 1)
    encoder = Service(RegistryConfig(("127.0.0.1", 0), None, 10, 0.0), registry)
    gc.collect()
    sizes, began = [rss()], time.process_time()
    for n in range(HOSTS):
        registry.register(0.0, host(n), 1, 3600.0)
    print(f"{HOSTS} hosts registered: {time.process_time() - began:.2f} s of CPU")
    ticks(registry, 1.0)
    sizes.append(rss())
    views, began = views_of(kinds)[:count], time.process_time()
    whole = [len(encoder.encode(registry.view(1.0, None, view))) for view in views]
    took = time.process_time() - began
    again = time.process_time()
    for view in views:
        registry.view(1.0, None, view)
    print(
        f"{count} views{f' of {kinds} kinds' if kinds else ''} begun and told whole: {took:.2f} s of CPU, "
        f"{(time.process_time() - again) / count * 1e6:.0f} us for one that is live; "
        f"{statistics.mean(whole):.0f} bytes of a whole view, at most {max(whole)}"
    )
    sizes.append(rss())
    print(f"memory: {sizes[1] - sizes[0]:.0f} MiB of hosts, {sizes[2] - sizes[1]:.0f} MiB of views and texts")
    index = [registry.version] * count

    def park(now):
        for key, view in enumerate(views):
            if key not in registry.watches:
                assert registry.watch_view(now, key, view, index[key], 60.0, "e") is None

    def change(now, numbers, **kw):
        """CPU in the calls, in ticks, in encoding; answers."""
        times, began = [], time.process_time()
        for n in numbers:
            registry.register(now, host(n, **kw), 1, 3600.0)
        times.append(time.process_time() - began)
        told, longest = ticks(registry, now + 0.06)
        times.append(time.process_time() - began - times[0])
        bodies = [encoder.encode(answer) for answer in told]
        times.append(time.process_time() - began - sum(times))
        for answer in told:
            index[answer.key] = answer.version
        return times, longest, bodies

    now, rows, answers, bodies = 2.0, [], [], []
    rng = random.Random(2)
    park(now)
    for n in range(200):
        times, _, made = change(now, [rng.randrange(HOSTS)], weight=2.0 + n)
        rows.append(sum(times))
        answers.append(len(made))
        bodies += map(len, made)
        now += 0.1
        park(now)
    print(
        f"a change of one host: {statistics.mean(rows) * 1e6:.0f} us of CPU, at most "
        f"{max(rows) * 1e6:.0f}, {statistics.mean(answers):.1f} watches answered with "
        f"{statistics.mean(bodies or [0]):.0f} bytes"
    )
    zone = [n for n in range(HOSTS) if host(n).zone == "a"]
    times, longest, made = change(now, zone, weight=9.0)
    print(
        f"{len(zone)} hosts of a zone change at once: {times[0]:.2f} s of CPU in their calls, "
        f"{times[1]:.2f} s in ticks, the longest {longest * 1000:.0f} ms, "
        f"{times[2]:.2f} s in encoding {len(made)} answers of {statistics.mean(map(len, made)):.0f} bytes"
    )
    now += 1.0
    park(now)
    began = time.process_time()
    for n in zone:
        registry.deregister(now, f"s-{n:08x}", 1)
    calls = time.process_time() - began
    told, longest = ticks(registry, now + 0.06)
    size = statistics.mean(len(encoder.encode(answer)) for answer in told)
    print(
        f"the zone goes: {calls:.2f} s in calls, the longest tick {longest * 1000:.0f} ms, "
        f"{len(told)} answers of {size:.0f} bytes"
    )


def main():
    if len(sys.argv) > 1:  # each in a process of its own, for its memory
        uneven() if sys.argv[1] == "uneven" else asyncio.run(service(*map(int, sys.argv[1:])))
        return
    spread()
    for count, kinds in ((500, 0), (500, 20), (GATEWAYS, 0)):
        print(flush=True)
        subprocess.run([sys.executable, __file__, str(count), str(kinds)], check=True)


if __name__ == "__main__":
    main()
