"""Measures the list service: python tests/measure/registry.py [PAIRS]

Uses 200 hosts and 200 watchers. Prints, as median and range over the pairs, the bytes and the service's CPU
per change, with changes sent as deltas and as full lists, and the time from a change until the last watcher
has it, for one change and for many; then the calls of 200 clients in each second after an outage, and the
service's memory over many changes. Loopback, some minutes.
"""

import asyncio
import json
import logging
import os
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

import uvloop  # noqa: E402
from changes import print_spread  # noqa: E402

from api_gateway.discovery.client import Discovery  # noqa: E402

HOST_COUNT = WATCHER_COUNT = 200
CHANGES_PER_RUN = 20
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class ServiceProcess:
    """The list service as a process, with a hosts file."""

    def __init__(self, folder, port=0):
        self.folder, self.port = folder, port

    async def __aenter__(self):
        hosts = self.folder / "hosts.json"
        hosts.write_text(
            json.dumps(
                {
                    "servers": [
                        {
                            "id": f"s-{n:08x}",
                            "addr": f"10.1.{n // 250}.{n % 250}:6379",
                            "zone": "hall-a",
                            "kind": "std-3core",
                            "cell": n % 7,
                            "state": "up",
                            "weight": 1.0,
                            "started_ms": 0,
                        }
                        for n in range(HOST_COUNT)
                    ]
                }
            )
        )
        config = self.folder / "registry.json"
        config.write_text(json.dumps({"listen": f"127.0.0.1:{self.port}", "hosts": str(hosts)}))
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "api_gateway.registry",
            stderr=subprocess.PIPE,
            env={**os.environ, "REGISTRY_CONFIG": str(config), "PYTHONPATH": str(ROOT)},
        )
        self.port = int((await self.process.stderr.readline()).decode().rsplit(":", 1)[1])
        return self

    def cpu(self):
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_S

    def memory(self):
        pages = Path(f"/proc/{self.process.pid}/statm").read_text().split()[1]
        return int(pages) * os.sysconf("SC_PAGE_SIZE")

    async def __aexit__(self, *_):
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()


class CountingClient:
    """One connection to the service, which counts the bytes received."""

    def __init__(self, port):
        self.port, self.bytes, self.updated_at, self.version = port, 0, 0.0, 0

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        return self

    async def call(self, method, path, body=b""):
        self.writer.write(
            b"%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"
            % (method.encode(), path.encode(), len(body))
            + body
        )
        head = await self.reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        text = await self.reader.readexactly(length)
        self.bytes += len(head) + length
        return json.loads(text)

    async def watch(self, full_lists):
        """Watch until cancelled, and with `full_lists` fetch the full list after each change."""
        self.version = (await self.call("GET", "/v1/endpoints"))["version"]
        while True:
            reply = await self.call("GET", f"/v1/endpoints?index={self.version}&wait=60000")
            if full_lists and reply["servers"]:
                reply = await self.call("GET", "/v1/endpoints")
            self.version, self.updated_at = reply["version"], time.perf_counter()


def registration(weight, incarnation):
    return json.dumps(
        {"addr": "127.0.0.1:1", "weight": weight, "incarnation": incarnation, "ttl_ms": 600_000}
    ).encode()


async def measure_changes(folder, full_lists, batch_size=1):
    """Return bytes per change and watcher, CPU seconds per change, and seconds until the last watcher."""
    async with ServiceProcess(folder) as service:
        callers = [await CountingClient(service.port).open() for _ in range(WATCHER_COUNT)]
        tasks = [asyncio.create_task(caller.watch(full_lists)) for caller in callers]
        writer = await CountingClient(service.port).open()
        while not all(caller.version for caller in callers):
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.3)
        start_bytes, start_cpu, times = sum(client.bytes for client in callers), service.cpu(), []
        for number in range(CHANGES_PER_RUN):
            started_at = time.perf_counter()
            for n in range(batch_size):
                reply = await writer.call("PUT", f"/v1/hosts/r-{n}", registration(1.0 + number, 1))
            while not all(caller.version >= reply["version"] for caller in callers):
                await asyncio.sleep(0.002)
            times.append(max(caller.updated_at for caller in callers) - started_at)
        cpu_per_change = (service.cpu() - start_cpu) / CHANGES_PER_RUN
        bytes_per_change = (
            (sum(client.bytes for client in callers) - start_bytes) / CHANGES_PER_RUN / WATCHER_COUNT
        )
        for task in tasks:
            task.cancel()
        return bytes_per_change, cpu_per_change, times


async def measure_outage(folder, downtime):
    """Return when 200 clients call after the service is back, and the time until all have a list."""
    calls, updated_clients = [], set()
    async with ServiceProcess(folder) as first:

        def on_update(number):
            return lambda listing: updated_clients.add(number)

        address = ("127.0.0.1", first.port)
        clients = [Discovery(address, None, on_update(n), lambda: None, 200, n) for n in range(200)]
        for client in clients:
            client.set_watching(True)
        while len(updated_clients) < 200:
            await asyncio.sleep(0.05)
    await asyncio.sleep(downtime)
    updated_clients.clear()

    async def proxy_connection(reader, writer):
        """Proxy a connection at the service's former address and record the time of each call."""
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection("127.0.0.1", second.port)
        except OSError:
            writer.close()
            return

        async def copy_replies():
            while data := await upstream_reader.read(65536):
                writer.write(data)

        task = asyncio.create_task(copy_replies())
        while data := await reader.read(65536):
            calls.append(time.monotonic() - started_at)
            upstream_writer.write(data)
        task.cancel()
        upstream_writer.close()

    async with ServiceProcess(folder) as second:
        started_at = time.monotonic()
        server = await asyncio.start_server(proxy_connection, "127.0.0.1", first.port, backlog=512)
        while len(updated_clients) < 200:
            await asyncio.sleep(0.05)
        recovery_s = time.monotonic() - started_at
        for client in clients:
            await client.close()
        server.close()
    return calls, recovery_s


async def measure_memory_growth(folder, count):
    """Return the service's memory growth in bytes during each half of `count` changes."""
    async with ServiceProcess(folder) as service:
        writer, sizes = await CountingClient(service.port).open(), [service.memory()]
        for half in range(2):
            for n in range(count // 2):
                body = registration(1.0 + n, half * count + n)
                await writer.call("PUT", f"/v1/hosts/r-{n % 300}", body)
            sizes.append(service.memory())
        return sizes[1] - sizes[0], sizes[2] - sizes[1]


def main():
    logging.disable(logging.WARNING)  # 200 clients log that the service does not answer
    pairs = int(sys.argv[1]) if len(sys.argv) > 1 else 5
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        rows = {"bytes": [], "bytes whole": [], "cpu": [], "cpu whole": [], "one": [], "many": []}
        for number in range(pairs):
            for full_lists in (True, False) if number % 2 else (False, True):
                size, cpu_per_change, times = uvloop.run(measure_changes(folder, full_lists))
                rows["bytes whole" if full_lists else "bytes"].append(size)
                rows["cpu whole" if full_lists else "cpu"].append(cpu_per_change * 1000)
                if not full_lists:
                    rows["one"].append(statistics.median(times) * 1000)
            rows["many"].append(statistics.median(uvloop.run(measure_changes(folder, False, 100))[2]) * 1000)
        print(f"{HOST_COUNT} hosts, {WATCHER_COUNT} watchers, {CHANGES_PER_RUN} changes per run")
        print_spread("bytes per change and watcher, as deltas", rows["bytes"], "B")
        print_spread("the same as full lists", rows["bytes whole"], "B")
        print_spread("CPU of the service per change, as deltas", rows["cpu"], "ms")
        print_spread("the same as full lists", rows["cpu whole"], "ms")
        print_spread("time of a change of one host until the last watcher", rows["one"], "ms")
        print_spread("time of 100 changes until the last watcher", rows["many"], "ms")
        for downtime in (2.0, 10.0):
            calls, recovery_s = uvloop.run(measure_outage(folder, downtime))
            seconds = [sum(n <= call_time < n + 1 for call_time in calls) for n in range(int(max(calls)) + 1)]
            print(
                f"200 clients after {downtime:.0f} s of outage: calls in each second {seconds}, "
                f"all have their list after {recovery_s:.1f} s"
            )
        first, second = uvloop.run(measure_memory_growth(folder, 10000))
        print(
            f"memory over 10000 changes: {first / 1024:.0f} KiB more in the first half, "
            f"{second / 1024:.0f} KiB in the second"
        )


if __name__ == "__main__":
    main()
