"""Measures configuration changes, in pairs of runs with and without: python tests/measure/changes.py [PAIRS]

Prints the median and range over the pairs of: latency quantiles of requests with changes relative to without,
CPU of a change, and CPU of a start with and without a second address; then the memory after many changes.
Loopback, about a minute.
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

PLAN_COUNT, HOST_COUNT = 200, 200
LOAD_DURATION_S, CHANGE_INTERVAL_S, CLIENT_COUNT = 4.0, 0.05, 8
LARGE_SETTINGS = SETTINGS | {
    "plans": [{"name": f"p{n}", "rate": 1e6, "most_at_once": 1e7} for n in range(PLAN_COUNT)]
    + [{"name": "p", "rate": 1e6, "most_at_once": 1e7}]
}


def print_spread(name, values, unit):
    low, middle, high = min(values), statistics.median(values), max(values)
    print(f"{name}: median {middle:.3g} {unit}, from {low:.3g} to {high:.3g} in {len(values)} runs")


def latency_quantile_ms(latencies, quantile):
    return sorted(latencies)[int(quantile * len(latencies))] * 1000


async def send_requests(node, latencies, end):
    async def client(number):
        reader, writer = await node.connect()
        count = 0
        while time.monotonic() < end:
            count += 1
            started_at = time.perf_counter()
            writer.write(command(b"%d-%d" % (number, count), customer=b"%016x" % number))
            await read_reply(reader)
            latencies.append(time.perf_counter() - started_at)
            await asyncio.sleep(0.002)

    await asyncio.gather(*(client(n) for n in range(CLIENT_COUNT)))


async def measure_changes(folder, changing):
    """Return latencies, the CPU time of each change and the memory growth of this process in bytes."""
    hosts = [StubHost(VALUE) for _ in range(4)]
    for host in hosts:
        await host.__aenter__()
    latencies, cpu_times = [], []
    async with Node(*hosts, path=folder, settings=LARGE_SETTINGS) as node:
        entries = [entry(hosts[n % 4], f"h{n}") for n in range(HOST_COUNT)]
        node.discovery.servers = entries
        config = json.loads(node.file.read_text()) | {
            "known": {"version": 1, "full": True, "servers": entries}
        }
        node.file.write_text(json.dumps(config))
        changes = node.node.changes
        configs = [json.loads(json.dumps(changes.current.content)) for _ in range(2)]
        configs[1]["settings"]["plans"][0]["rate"] = 5.0
        encoded_configs = [json.dumps(config).encode() for config in configs]
        end = time.monotonic() + LOAD_DURATION_S

        async def apply_changes():
            number = 0
            while time.monotonic() < end:
                number += 1
                started_at = time.thread_time()
                if changing:
                    await changes.apply(encoded_configs[number % 2], changes.history.newest.number, None)
                    cpu_times.append(time.thread_time() - started_at)
                await asyncio.sleep(CHANGE_INTERVAL_S)

        before = resident_bytes()
        await asyncio.gather(apply_changes(), send_requests(node, latencies, end))
        memory_growth = resident_bytes() - before
    for host in hosts:
        await host.__aexit__()
    return latencies, cpu_times, memory_growth


def measure_start_cpu(folder, has_control):
    """Return the CPU seconds that a gateway in a separate process uses until it listens."""
    config_file = folder / "start.json"
    config_file.write_text(json.dumps(gateway_config([], 1, 2)))
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
    env = {key: value for key, value in os.environ.items() if not key.startswith("RELAY_")}
    env |= {"RELAY_CONFIG": str(config_file), "TMPDIR": str(folder), "PYTHONPATH": str(ROOT)}
    if has_control:
        env["RELAY_CONTROL"] = "127.0.0.1:0"
    completed = subprocess.run(
        [sys.executable, "-c", code], env=env, capture_output=True, text=True, check=True
    )
    return float(completed.stdout)


def measure_memory_growth(folder, count):
    """Return the memory growth in bytes during each half of `count` changes."""

    async def apply_changes():
        async with StubHost() as host, Node(host, path=folder, settings=LARGE_SETTINGS) as node:
            changes, sizes = node.node.changes, [resident_bytes()]
            config = json.loads(json.dumps(changes.current.content))
            for half in range(2):
                for n in range(count // 2):
                    config["settings"]["plans"][0]["rate"] = float(1 + half * count + n)
                    await changes.apply(json.dumps(config).encode(), changes.history.newest.number, None)
                sizes.append(resident_bytes())
            return sizes[1] - sizes[0], sizes[2] - sizes[1]

    return uvloop.run(apply_changes())


def main():
    pairs = int(sys.argv[1]) if len(sys.argv) > 1 else 5
    memory_folder = "/dev/shm" if os.access("/dev/shm", os.W_OK) else None
    with tempfile.TemporaryDirectory(dir=memory_folder) as name:
        folder = Path(name)
        rows = {"p50": [], "p99": [], "p99.9": [], "cpu": [], "start": [], "off": [], "on": []}
        for number in range(pairs):
            results = {}
            for changing in (True, False) if number % 2 else (False, True):
                results[changing] = uvloop.run(measure_changes(folder, changing))
                (folder / "n0-config.json").unlink(missing_ok=True)
            (changed_latencies, cpu_times, _), (unchanged_latencies, _, _) = results[True], results[False]
            for quantile in ("p50", "p99", "p99.9"):
                rows[quantile].append(
                    latency_quantile_ms(changed_latencies, float(quantile[1:]) / 100)
                    / latency_quantile_ms(unchanged_latencies, float(quantile[1:]) / 100)
                )
            rows["cpu"].append(statistics.median(cpu_times) * 1000)
            start_times = [measure_start_cpu(folder, has_control) for has_control in (False, True)]
            rows["off"].append(start_times[0])
            rows["on"].append(start_times[1])
            (folder / "n0-config.json").unlink(missing_ok=True)
        print(
            f"{HOST_COUNT} hosts, {PLAN_COUNT} plans, a change every {CHANGE_INTERVAL_S} s "
            f"with {CLIENT_COUNT} clients"
        )
        for quantile in ("p50", "p99", "p99.9"):
            print_spread(f"latency {quantile}, with changes over without", rows[quantile], "")
        print_spread("CPU of a change, all steps", rows["cpu"], "ms")
        print_spread("CPU of a start without a second address", rows["off"], "s")
        print_spread("CPU of a start with a second address", rows["on"], "s")
        first, second = measure_memory_growth(folder, 1000)
        print(
            f"memory over 1000 changes: {first / 1024:.0f} KiB more in the first half, "
            f"{second / 1024:.0f} KiB in the second"
        )
    print(f"largest size of this process: {resource.getrusage(resource.RUSAGE_SELF).ru_maxrss} KiB")


if __name__ == "__main__":
    main()
