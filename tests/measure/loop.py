"""Measures how long the list service's loop blocks: python tests/measure/loop.py [GATEWAYS] [HOSTS] [CHANGES]

The service runs as a process with a hosts file, and GATEWAYS clients watch a view each. Each phase prints a
line: the longest block of the loop, the number of full garbage collections and the longest of them, what a
collection at the end of the phase frees, CPU and memory. The phases are the start, the request for all views,
CHANGES changes of one host in sequence, and a reconnection of every watch. Loopback, some minutes, 2 GB.
"""

import asyncio
import gc
import json
import random
import re
import resource
import sys
import tempfile
import time
from contextlib import suppress
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests"), str(ROOT / "tests" / "measure")]

import uvloop  # noqa: E402
from gateway_view import ServiceProcess  # noqa: E402
from views import KIND_COUNT, VIEW_SIZE, ZONES  # noqa: E402

from api_gateway.base.serving import run  # noqa: E402
from api_gateway.base.subsets import SubsetSpec  # noqa: E402
from api_gateway.registry.config import read_config  # noqa: E402
from api_gateway.registry.core import Registry  # noqa: E402
from api_gateway.registry.service import Service  # noqa: E402

PROBE_INTERVAL_S = 0.002  # time between two measurements of the loop's delay
CONNECTION_BATCH = 200  # connections opened at once


class ObservedService(Service):
    """Reports in its status the longest block of the loop since the last status call."""

    async def start(self):
        self.longest_block = self.full_count = self.longest_collection = self.freed_count = 0.0
        self.collection_started_at = 0.0
        gc.callbacks.append(self.on_collection)
        self.probe_task = asyncio.create_task(self.probe_loop())
        return await super().start()

    async def probe_loop(self):
        while True:
            slept_at = time.perf_counter()
            await asyncio.sleep(PROBE_INTERVAL_S)
            self.longest_block = max(self.longest_block, time.perf_counter() - slept_at - PROBE_INTERVAL_S)

    def on_collection(self, phase, info):
        if info["generation"] == 2:
            if phase == "start":
                self.collection_started_at = time.perf_counter()
            else:
                self.full_count, self.freed_count = self.full_count + 1, self.freed_count + info["collected"]
                self.longest_collection = max(
                    self.longest_collection, time.perf_counter() - self.collection_started_at
                )

    def status(self):
        report = {
            "held": self.longest_block,
            "full": self.full_count,
            "longest": self.longest_collection,
            "freed": self.freed_count,
            "watches": len(self.waiting),
            "frozen": gc.get_freeze_count(),
        }
        report["left"] = gc.collect()
        self.longest_block = self.full_count = self.longest_collection = self.freed_count = 0.0
        return report


class WatchingGateway:
    """The connection of one gateway that watches its view, and how many replies it got."""

    def __init__(self, port, number):
        self.port, self.number = port, number
        self.query = SubsetSpec(number, VIEW_SIZE, ZONES[number % len(ZONES)]).query()
        self.version = self.reply_count = 0

    async def request_list(self, query=""):
        self.writer.write(f"GET /v1/endpoints?{self.query}{query} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        head = await self.reader.readuntil(b"\r\n\r\n")
        remaining = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        first = await self.reader.readexactly(min(remaining, 200))
        remaining -= len(first)
        while remaining:
            remaining -= len(await self.reader.read(min(remaining, 65536)))
        self.version, self.reply_count = int(re.search(rb'"version": (\d+)', first)[1]), self.reply_count + 1

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port, limit=8192)
        await self.request_list()

    async def watch(self):
        with suppress(asyncio.IncompleteReadError, ConnectionError):  # the service has ended
            while True:
                await self.request_list(f"&index={self.version}&wait=60000")

    async def reconnect(self):
        """Close the connection and watch on another one."""
        self.task.cancel()
        self.writer.close()
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port, limit=8192)
        self.task = asyncio.create_task(self.watch())


async def send_call(port, method, path, body=b""):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(
        b"%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s"
        % (method.encode(), path.encode(), len(body), body)
    )
    head = await reader.readuntil(b"\r\n\r\n")
    reply = await reader.readexactly(int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0]))
    writer.close()
    return json.loads(reply)


async def print_phase(name, service, port, previous_cpu):
    report, cpu = await send_call(port, "GET", "/status"), service.cpu()
    print(
        f"{name}: the loop blocked for {report['held'] * 1000:.0f} ms at most; {report['full']:.0f} full "
        f"collections, the longest {report['longest'] * 1000:.0f} ms, {report['freed']:.0f} objects freed, "
        f"{report['left']} freed at the end, {report['frozen']} frozen; {cpu - previous_cpu:.2f} s of CPU, "
        f"{service.memory()[0]:.0f} MB",
        flush=True,
    )
    return cpu


def entry(number, **fields):
    return {
        "id": f"s-{number:08x}",
        "addr": f"10.{number // 62500}.{number // 250 % 250}.{number % 250}:6379",
        "zone": ZONES[number // KIND_COUNT % 6],
        "kind": f"svc-{number % KIND_COUNT}",
        "cell": number % 7,
    } | fields


async def measure(gateways, hosts, changes):
    with tempfile.TemporaryDirectory() as name:
        file, config = Path(name) / "hosts.json", Path(name) / "registry.json"
        file.write_text(json.dumps({"servers": [entry(n) for n in range(hosts) if n % 20]}))
        config.write_text(
            json.dumps({"listen": "127.0.0.1:0", "hosts": str(file), "watchers": gateways + 100})
        )
        service = await ServiceProcess(__file__, "--serve", env={"REGISTRY_CONFIG": str(config)}).start()
        port, rng = service.port, random.Random(1)

        async def register(n, weight):
            registration = {key: value for key, value in entry(n, weight=weight).items() if key != "id"}
            await send_call(
                port,
                "PUT",
                f"/v1/hosts/{entry(n)['id']}",
                json.dumps(registration | {"incarnation": 1, "ttl_ms": 3_600_000}).encode(),
            )

        try:
            for n in range(0, hosts, 20):
                await register(n, 1.0)
            cpu = await print_phase(f"{hosts} hosts registered", service, port, 0.0)
            clients = [WatchingGateway(port, n) for n in range(gateways)]
            for n in range(0, gateways, CONNECTION_BATCH):
                await asyncio.gather(*(client.open() for client in clients[n : n + CONNECTION_BATCH]))
            for client in clients:
                client.task = asyncio.create_task(client.watch())
            cpu = await print_phase(f"{gateways} views sent in full", service, port, cpu)
            await asyncio.sleep(2.0)
            cpu = await print_phase("2 s idle", service, port, cpu)
            for round_number in range(2):
                before = sum(client.reply_count for client in clients)
                for n in range(changes):
                    await register(rng.randrange(0, hosts, 20), 1.0 + round_number + n / changes)
                    await asyncio.sleep(0.06)
                await asyncio.sleep(0.5)
                replies = sum(client.reply_count for client in clients) - before
                print(f"  {replies / changes:.1f} answers per change")
                cpu = await print_phase(f"{changes} changes of a host", service, port, cpu)
            for _ in range(2):
                for n in range(0, gateways, CONNECTION_BATCH):
                    await asyncio.gather(
                        *(client.reconnect() for client in clients[n : n + CONNECTION_BATCH])
                    )
                    await asyncio.sleep(0.2)
                cpu = await print_phase(f"{gateways} watches reconnect", service, port, cpu)
        finally:
            await service.stop()


def main():
    if sys.argv[1:] == ["--serve"]:
        config = read_config()
        sys.exit(run("registry", lambda: ObservedService(config, Registry("e", 1)), "lists"))
    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
    gateways, hosts, changes = [*map(int, sys.argv[1:]), *(4200, 56_000, 100)[len(sys.argv) - 1 :]]
    uvloop.run(measure(gateways, hosts, changes))


if __name__ == "__main__":
    main()
