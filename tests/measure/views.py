"""Measures views: python tests/measure/views.py

Uses 4,200 gateways, 56,000 hosts and 6 zones. Prints how many views contain a host, for all and for some of
the gateways, and how views change when hosts or a zone are removed; then CPU per change, bytes and memory of
the list service with 500 active views and with all. No sockets; some minutes.
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

GATEWAY_COUNT, HOST_COUNT, VIEW_SIZE, ZONES, KIND_COUNT = 4200, 56_000, 480, "abcdef", 2600
RACK_SIZE = 40


def make_rings(zones, kinds=1):
    rings = EndpointRings()
    for n in range(HOST_COUNT):
        rings.set_endpoint(f"s-{n:08x}", f"svc-{n % kinds}", zones[n // kinds % len(zones)], True)
    return rings


def make_views(kinds=0):
    """Make a view for each gateway, with zones in rotation and `kinds` random kinds each."""
    rng = random.Random(1)
    return [
        SubsetSpec(
            n, VIEW_SIZE, ZONES[n % 6], tuple(f"svc-{k}" for k in rng.sample(range(KIND_COUNT), kinds))
        )
        for n in range(GATEWAY_COUNT)
    ]


def members_of_views(rings, views):
    return {view: rings.members(view) for view in views}


def print_evenness(name, rings, views):
    counts = Counter(name for names in members_of_views(rings, views).values() for name in names)
    view_counts = [counts[name] for name in rings.entries]
    print(
        f"{name}: views per host: min {min(view_counts)}, mean {statistics.mean(view_counts):.1f}, "
        f"max {max(view_counts)}, "
        f"standard deviation {statistics.pstdev(view_counts):.1f}, hosts in no view {view_counts.count(0)}"
    )
    for zone in sorted({entry.zone for entry in rings.entries.values()}) if "uneven" in name else ():
        zone_view_counts = [
            counts[entry.ring_key[1]] for entry in rings.entries.values() if entry.zone == zone
        ]
        print(
            f"  zone {zone or '(none)'}: {len(zone_view_counts)} hosts, min {min(zone_view_counts)}, "
            f"mean {statistics.mean(zone_view_counts):.1f}, max {max(zone_view_counts)}"
        )


UNEVEN_ZONES = {
    "a third in size": ("abcdefbcdefbcdef", "abcdef"),
    "3 to 2 to 1": ("aaabbc", "abc"),
    "3 to 2 to 1, and so the gateways": ("aaabbc", "aaabbc"),
    "a tenth": ("abbbbbbbbb", "ab"),
    "half without one": (["", "a", "", "b", "", "c", "", "d", "", "e", "", "f"], "abcdef"),
    "one without gateways": ("abcdef", "abcde"),
}  # description: zones of hosts, zones of gateways


def print_uneven_zones():
    for name, (zones, gateways) in UNEVEN_ZONES.items():
        views = [SubsetSpec(n, VIEW_SIZE, gateways[n % len(gateways)]) for n in range(GATEWAY_COUNT)]
        for tolerance, description in (
            (1e9, "half of each view in the gateway's zone"),
            (base.ARC_RATIO_TOLERANCE, "as far as hosts stay balanced"),
        ):
            default_tolerance, base.ARC_RATIO_TOLERANCE = base.ARC_RATIO_TOLERANCE, tolerance
            print_evenness(f"zones uneven, {name}, {description}", make_rings(zones), views)
            base.ARC_RATIO_TOLERANCE = default_tolerance


def print_movement(name, rings, views, gone):
    """Print how views change when the hosts `gone` are removed; restore the rings afterwards."""
    before, removed_entries = members_of_views(rings, views), [rings.entries[host_name] for host_name in gone]
    for host in removed_entries:
        rings.remove_endpoint(host.ring_key[1])
    after = members_of_views(rings, views)
    gone = set(gone)
    changed = [view for view in views if before[view] != after[view]]
    other_losses = sum(len(before[view] - after[view] - gone) for view in views)
    gained = sum(len(after[view] - before[view]) for view in views)
    print(
        f"{name}: {len(changed)} views change, {gained} hosts enter "
        f"(of {sum(map(len, before.values()))} entries, "
        f"{gained / sum(map(len, before.values())):.4%}), {other_losses} leave "
        f"although they still exist; "
        f"largest change of a view {max([len(after[view] ^ before[view]) for view in changed], default=0)}"
    )
    for host in removed_entries:
        rings.set_endpoint(host.ring_key[1], host.kind, host.zone, True)
    assert members_of_views(rings, views) == before


def print_distribution():
    rings, views = make_rings(ZONES), make_views()
    started_at = time.process_time()
    members_of_views(rings, views)
    print(
        f"members of a view of {VIEW_SIZE}: {(time.process_time() - started_at) / GATEWAY_COUNT * 1e6:.0f} us"
    )
    print_evenness("all gateways", rings, views)
    print_evenness("the first half", rings, views[: GATEWAY_COUNT // 2])
    print_evenness("the second half", rings, views[GATEWAY_COUNT // 2 :])
    print_evenness("without one zone's gateways", rings, [v for v in views if v.zone != "a"])
    names = list(rings.entries)
    print_movement("one host is removed", rings, views, names[:1])
    print_movement(f"a rack of {RACK_SIZE} is removed", rings, views, names[: RACK_SIZE * 6 : 6])
    print_movement("a zone is removed", rings, views, [n for n in names if rings.entries[n].zone == "a"])
    print("a gateway restarts: no change, since views depend only on indexes and host names")
    rings, views = make_rings(ZONES, KIND_COUNT), make_views(20)
    sizes = [len(names) for names in members_of_views(rings, views).values()]
    print(
        f"{KIND_COUNT} kinds of {HOST_COUNT / KIND_COUNT:.1f} hosts, 20 per gateway: "
        f"{statistics.mean(sizes):.0f} hosts per view"
    )
    print_evenness("by kinds", rings, views)
    print_movement("one host is removed", rings, views, list(rings.entries)[:1])
    print_movement(
        "a zone is removed", rings, views, [n for n in rings.entries if rings.entries[n].zone == "a"]
    )


def make_host(number, **fields):
    return Host(
        f"s-{number:08x}",
        f"10.{number // 62500}.{number // 250 % 250}.{number % 250}:6379",
        ZONES[number // KIND_COUNT % 6],
        f"svc-{number % KIND_COUNT}",
        number % 7,
        **fields,
    )


def resident_mib():
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def run_ticks(registry, now):
    """Run the ticks due; return the answers and the CPU seconds of the longest tick."""
    answers, longest = [], 0.0
    while registry.due() <= now:
        started_at = time.process_time()
        answers += registry.tick(now)
        longest = max(longest, time.process_time() - started_at)
    return answers, longest


async def measure_service(count, kinds):
    registry = Registry("e", 1)
    encoder = Service(RegistryConfig(("127.0.0.1", 0), None, 10, 0.0), registry)
    gc.collect()
    sizes, started_at = [resident_mib()], time.process_time()
    for n in range(HOST_COUNT):
        registry.register(0.0, make_host(n), 1, 3600.0)
    print(f"{HOST_COUNT} hosts registered: {time.process_time() - started_at:.2f} s of CPU")
    run_ticks(registry, 1.0)
    sizes.append(resident_mib())
    views, started_at = make_views(kinds)[:count], time.process_time()
    full_sizes = [len(encoder.encode(registry.view(1.0, None, view))) for view in views]
    elapsed = time.process_time() - started_at
    repeat_started_at = time.process_time()
    for view in views:
        registry.view(1.0, None, view)
    print(
        f"{count} views{f' of {kinds} kinds' if kinds else ''} opened and sent in full: "
        f"{elapsed:.2f} s of CPU, "
        f"{(time.process_time() - repeat_started_at) / count * 1e6:.0f} us for one that is active; "
        f"{statistics.mean(full_sizes):.0f} bytes per full view, at most {max(full_sizes)}"
    )
    sizes.append(resident_mib())
    print(f"memory: {sizes[1] - sizes[0]:.0f} MiB of hosts, {sizes[2] - sizes[1]:.0f} MiB of views and texts")
    index = [registry.version] * count

    def watch_all(now):
        for key, view in enumerate(views):
            if key not in registry.watches:
                assert registry.watch_view(now, key, view, index[key], 60.0, "e") is None

    def change(now, numbers, **fields):
        """Return CPU seconds in calls, ticks and encoding, the longest tick, and the encoded answers."""
        times, started_at = [], time.process_time()
        for n in numbers:
            registry.register(now, make_host(n, **fields), 1, 3600.0)
        times.append(time.process_time() - started_at)
        answers, longest = run_ticks(registry, now + 0.06)
        times.append(time.process_time() - started_at - times[0])
        bodies = [encoder.encode(answer) for answer in answers]
        times.append(time.process_time() - started_at - sum(times))
        for answer in answers:
            index[answer.key] = answer.version
        return times, longest, bodies

    now, cpu_times, answer_counts, body_sizes = 2.0, [], [], []
    rng = random.Random(2)
    watch_all(now)
    for n in range(200):
        times, _, bodies = change(now, [rng.randrange(HOST_COUNT)], weight=2.0 + n)
        cpu_times.append(sum(times))
        answer_counts.append(len(bodies))
        body_sizes += map(len, bodies)
        now += 0.1
        watch_all(now)
    print(
        f"a change of one host: {statistics.mean(cpu_times) * 1e6:.0f} us of CPU, at most "
        f"{max(cpu_times) * 1e6:.0f}, {statistics.mean(answer_counts):.1f} watches answered with "
        f"{statistics.mean(body_sizes or [0]):.0f} bytes"
    )
    zone = [n for n in range(HOST_COUNT) if make_host(n).zone == "a"]
    times, longest, bodies = change(now, zone, weight=9.0)
    print(
        f"{len(zone)} hosts of a zone change at once: {times[0]:.2f} s of CPU in their calls, "
        f"{times[1]:.2f} s in ticks, the longest {longest * 1000:.0f} ms, "
        f"{times[2]:.2f} s in encoding {len(bodies)} answers of {statistics.mean(map(len, bodies)):.0f} bytes"
    )
    now += 1.0
    watch_all(now)
    started_at = time.process_time()
    for n in zone:
        registry.deregister(now, f"s-{n:08x}", 1)
    call_cpu = time.process_time() - started_at
    answers, longest = run_ticks(registry, now + 0.06)
    size = statistics.mean(len(encoder.encode(answer)) for answer in answers)
    print(
        f"the zone is removed: {call_cpu:.2f} s in calls, the longest tick {longest * 1000:.0f} ms, "
        f"{len(answers)} answers of {size:.0f} bytes"
    )


def main():
    if len(sys.argv) > 1:  # each in a separate process, to measure its memory
        print_uneven_zones() if sys.argv[1] == "uneven" else asyncio.run(
            measure_service(*map(int, sys.argv[1:]))
        )
        return
    print_distribution()
    for count, kinds in ((500, 0), (500, 20), (GATEWAY_COUNT, 0)):
        print(flush=True)
        subprocess.run([sys.executable, __file__, str(count), str(kinds)], check=True)


if __name__ == "__main__":
    main()
