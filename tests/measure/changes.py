"""Figures of configuration changes, on and off in pairs: python tests/measure/changes.py [PAIRS]

Prints, as median and spread over the pairs: requests' latency tail with changes against without, the CPU of
a change, that of a start with and without a second address, memory after many changes. Loopback, a minute.
"""

import asyncio
import json
import os
import resource
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

import uvloop  # noqa: E402
from netkit import SETTINGS, VALUE, Node, StubHost, command, entry, gateway_config, read_reply  # noqa: E402

from api_gateway.gateway.process_limits import resident_bytes  # noqa: E402

PLANS, HOSTS = 200, 200
SECONDS, EVERY, CLIENTS = 4.0, 0.05, 8
LARGE = SETTINGS | {
    "plans": [{"name": f"p{n}", "rate": 1e6, "most_at_once": 1e7} for n in range(PLANS)]
    + [{"name": "p", "rate": 1e6, "most_at_once": 1e7}]
}


def spread(name, values, unit):
    low, middle, high = min(values), statistics.median(values), max(values)
    print(f"{name}: median {middle:.3g} {unit}, from {low:.3g} to {high:.3g} in {len(values)} runs")


def tail(latencies, part):
    return sorted(latencies)[int(part * len(latencies))] * 1000


async def traffic(node, latencies, end):
    async def client(number):
        reader, writer = await node.connect()
        count = 0
        while time.monotonic() < end:
            count += 1
            began = time.perf_counter()
            writer.write(command(b"%d-%d" % (number, count), customer=b"%016x" % number))
            await read_reply(reader)
            latencies.append(time.perf_counter() - began)
            await asyncio.sleep(0.002)

    await asyncio.gather(*(client(n) for n in range(CLIENTS)))


async def play(folder, changing):
    """Latencies, CPU of each change, and bytes of memory by which this process has grown."""
    hosts = [StubHost(VALUE) for _ in range(4)]
    for host in hosts:
        await host.__aenter__()
    latencies, costs = [], []
    async with Node(*hosts, path=folder, settings=LARGE) as node:
        listed = [entry(hosts[n % 4], f"h{n}") for n in range(HOSTS)]
        node.discovery.servers = listed
        tree = json.loads(node.file.read_text()) | {"known": {"version": 1, "full": True, "servers": listed}}
        node.file.write_text(json.dumps(tree))
        changes = node.node.changes
        trees = [json.loads(json.dumps(changes.current.content)) for _ in range(2)]
        trees[1]["settings"]["plans"][0]["rate"] = 5.0
        texts = [json.dumps(tree).encode() for tree in trees]
        end = time.monotonic() + SECONDS

        async def change():
            number = 0
            while time.monotonic() < end:
                number += 1
                began = time.thread_time()
                if changing:
                    await changes.apply(texts[number % 2], changes.history.newest.number, None)
                    costs.append(time.thread_time() - began)
                await asyncio.sleep(EVERY)

        before = resident_bytes()
        await asyncio.gather(change(), traffic(node, latencies, end))
        grown = resident_bytes() - before
    for host in hosts:
        await host.__aexit__()
    return latencies, costs, grown


def start_cpu(folder, control):
    """CPU seconds of a start until it listens, in a process of its own."""
    config = folder / "start.json"
    config.write_text(json.dumps(gateway_config([], 1, 2)))
    code = """if True:
        import asyncio, resource, uvloop
        from api_gateway.gateway.config import read_config
        from api_gateway.gateway.node import GatewayNode
        async def main():
            node = GatewayNode(read_config())
            await node.start()
            used = resource.getrusage(resource.RUSAGE_SELF)
            print(used.ru_utime + used.ru_stime)
        uvloop.run(main())"""
    env = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
    env |= {"RELAY_CONFIG": str(config), "TMPDIR": str(folder), "PYTHONPATH": str(ROOT)}
    if control:
        env["RELAY_CONTROL"] = "127.0.0.1:0"
    done = subprocess.run([sys.executable, "-c", code], env=env, capture_output=True, text=True, check=True)
    return float(done.stdout)


def many(folder, count):
    """Bytes by which the process grows in each half of so many changes."""

    async def run():
        async with StubHost() as host, Node(host, path=folder, settings=LARGE) as node:
            changes, grown = node.node.changes, [resident_bytes()]
            tree = json.loads(json.dumps(changes.current.content))
            for half in range(2):
                for n in range(count // 2):
                    tree["settings"]["plans"][0]["rate"] = float(1 + half * count + n)
                    await changes.apply(json.dumps(tree).encode(), changes.history.newest.number, None)
                grown.append(resident_bytes())
            return grown[1] - grown[0], grown[2] - grown[1]

    return uvloop.run(run())


def main():
    pairs = int(sys.argv[1]) if len(sys.argv) > 1 else 5
    shared = "/dev/shm" if os.access("/dev/shm", os.W_OK) else None
    with tempfile.TemporaryDirectory(dir=shared) as name:
        folder = Path(name)
        rows = {"p50": [], "p99": [], "p99.9": [], "cpu": [], "start": [], "off": [], "on": []}
        for number in range(pairs):
            played = {}
            for changing in (True, False) if number % 2 else (False, True):
                played[changing] = uvloop.run(play(folder, changing))
                (folder / "n0-config.json").unlink(missing_ok=True)
            (on, costs, _), (off, _, _) = played[True], played[False]
            for part in ("p50", "p99", "p99.9"):
                rows[part].append(tail(on, float(part[1:]) / 100) / tail(off, float(part[1:]) / 100))
            rows["cpu"].append(statistics.median(costs) * 1000)
            starts = [start_cpu(folder, control) for control in (False, True)]
            rows["off"].append(starts[0])
            rows["on"].append(starts[1])
            (folder / "n0-config.json").unlink(missing_ok=True)
        print(f"{HOSTS} hosts, {PLANS} plans, a change each {EVERY} s under {CLIENTS} clients")
        for part in ("p50", "p99", "p99.9"):
            spread(f"latency {part}, with changes over without", rows[part], "")
        spread("CPU of a change, all steps", rows["cpu"], "ms")
        spread("CPU of a start without a second address", rows["off"], "s")
        spread("CPU of a start with one", rows["on"], "s")
        first, second = many(folder, 1000)
        print(
            f"memory over 1000 changes: {first / 1024:.0f} KiB more in the first half, "
            f"{second / 1024:.0f} KiB in the second"
        )
    print(f"largest this process was: {resource.getrusage(resource.RUSAGE_SELF).ru_maxrss} KiB")


if __name__ == "__main__":
    main()
