"""Figures of the list service: python tests/measure/registry.py [PAIRS]

200 hosts and 200 watchers. As median and spread over the pairs: bytes and the service's CPU a change, by
changes and by whole lists; time from a change to the last watcher, for one and for many; the calls of 200
clients in each second after an outage; the service's memory over many changes. Loopback, some minutes.
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
from changes import spread  # noqa: E402

from api_gateway.discovery.client import Discovery  # noqa: E402

HOSTS = WATCHERS = 200
CHANGES = 20  # in a run
TICKS = os.sysconf("SC_CLK_TCK")


class Service:
    """The program, with a file of hosts."""

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
                        for n in range(HOSTS)
                    ]
                }
            )
        )
        config = self.folder / "registry.json"
        config.write_text(json.dumps({"listen": f"127.0.0.1:{self.port}", "hosts": str(hosts)}))
        self.program = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "api_gateway.registry",
            stderr=subprocess.PIPE,
            env={**os.environ, "REGISTRY_CONFIG": str(config), "PYTHONPATH": str(ROOT)},
        )
        self.port = int((await self.program.stderr.readline()).decode().rsplit(":", 1)[1])
        return self

    def cpu(self):
        fields = Path(f"/proc/{self.program.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / TICKS

    def memory(self):
        pages = Path(f"/proc/{self.program.pid}/statm").read_text().split()[1]
        return int(pages) * os.sysconf("SC_PAGE_SIZE")

    async def __aexit__(self, *_):
        if self.program.returncode is None:
            self.program.kill()
        await self.program.wait()


class Caller:
    """One connection; counts the bytes that come on it."""

    def __init__(self, port):
        self.port, self.bytes, self.seen, self.version = port, 0, 0.0, 0

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

    async def watch(self, whole):
        """For good: changes, or after each of them the whole list."""
        self.version = (await self.call("GET", "/v1/endpoints"))["version"]
        while True:
            told = await self.call("GET", f"/v1/endpoints?index={self.version}&wait=60000")
            if whole and told["servers"]:
                told = await self.call("GET", "/v1/endpoints")
            self.version, self.seen = told["version"], time.perf_counter()


def registration(weight, incarnation):
    return json.dumps(
        {"addr": "127.0.0.1:1", "weight": weight, "incarnation": incarnation, "ttl_ms": 600_000}
    ).encode()


async def changes(folder, whole, at_once=1):
    """Bytes a change and watcher, CPU seconds a change, seconds that each took to the last watcher."""
    async with Service(folder) as service:
        callers = [await Caller(service.port).open() for _ in range(WATCHERS)]
        tasks = [asyncio.create_task(caller.watch(whole)) for caller in callers]
        writer = await Caller(service.port).open()
        while not all(caller.version for caller in callers):
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.3)
        before, cpu, times = sum(c.bytes for c in callers), service.cpu(), []
        for number in range(CHANGES):
            began = time.perf_counter()
            for n in range(at_once):
                told = await writer.call("PUT", f"/v1/hosts/r-{n}", registration(1.0 + number, 1))
            while not all(caller.version >= told["version"] for caller in callers):
                await asyncio.sleep(0.002)
            times.append(max(caller.seen for caller in callers) - began)
        used = (service.cpu() - cpu) / CHANGES
        size = (sum(c.bytes for c in callers) - before) / CHANGES / WATCHERS
        for task in tasks:
            task.cancel()
        return size, used, times


async def outage(folder, away):
    """Calls a second of 200 clients after the service is back, and how long until all have their list."""
    calls, told = [], set()
    async with Service(folder) as first:

        def listen(number):
            return lambda listing: told.add(number)

        place = ("127.0.0.1", first.port)
        clients = [Discovery(place, None, listen(n), lambda: None, 200, n) for n in range(200)]
        for client in clients:
            client.set_watching(True)
        while len(told) < 200:
            await asyncio.sleep(0.05)
    await asyncio.sleep(away)
    told.clear()

    async def joined(reader, writer):
        """A stand-in in front of the service's address that counts calls and passes them on."""
        try:
            there, out = await asyncio.open_connection("127.0.0.1", again.port)
        except OSError:
            writer.close()
            return

        async def back():
            while data := await there.read(65536):
                writer.write(data)

        task = asyncio.create_task(back())
        while data := await reader.read(65536):
            calls.append(time.monotonic() - began)
            out.write(data)
        task.cancel()
        out.close()

    async with Service(folder) as again:
        began = time.monotonic()
        server = await asyncio.start_server(joined, "127.0.0.1", first.port, backlog=512)
        while len(told) < 200:
            await asyncio.sleep(0.05)
        took = time.monotonic() - began
        for client in clients:
            await client.close()
        server.close()
    return calls, took


async def memory(folder, count):
    async with Service(folder) as service:
        writer, sizes = await Caller(service.port).open(), [service.memory()]
        for half in range(2):
            for n in range(count // 2):
                body = registration(1.0 + n, half * count + n)
                await writer.call("PUT", f"/v1/hosts/r-{n % 300}", body)
            sizes.append(service.memory())
        return sizes[1] - sizes[0], sizes[2] - sizes[1]


def main():
    logging.disable(logging.WARNING)  # 200 clients say that the service does not answer
    pairs = int(sys.argv[1]) if len(sys.argv) > 1 else 5
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        rows = {"bytes": [], "bytes whole": [], "cpu": [], "cpu whole": [], "one": [], "many": []}
        for number in range(pairs):
            for whole in (True, False) if number % 2 else (False, True):
                size, used, times = uvloop.run(changes(folder, whole))
                rows["bytes whole" if whole else "bytes"].append(size)
                rows["cpu whole" if whole else "cpu"].append(used * 1000)
                if not whole:
                    rows["one"].append(statistics.median(times) * 1000)
            rows["many"].append(statistics.median(uvloop.run(changes(folder, False, 100))[2]) * 1000)
        print(f"{HOSTS} hosts, {WATCHERS} watchers, {CHANGES} changes a run")
        spread("bytes a change and watcher, by changes", rows["bytes"], "B")
        spread("the same by whole lists", rows["bytes whole"], "B")
        spread("CPU of the service a change, by changes", rows["cpu"], "ms")
        spread("the same by whole lists", rows["cpu whole"], "ms")
        spread("a change of one host to the last watcher", rows["one"], "ms")
        spread("100 changes to the last watcher", rows["many"], "ms")
        for away in (2.0, 10.0):
            calls, took = uvloop.run(outage(folder, away))
            seconds = [sum(n <= at < n + 1 for at in calls) for n in range(int(max(calls)) + 1)]
            print(
                f"200 clients after {away:.0f} s of outage: calls in each second {seconds}, "
                f"all have their list after {took:.1f} s"
            )
        first, second = uvloop.run(memory(folder, 10000))
        print(
            f"memory over 10000 changes: {first / 1024:.0f} KiB more in the first half, "
            f"{second / 1024:.0f} KiB in the second"
        )


if __name__ == "__main__":
    main()
