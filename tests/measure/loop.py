"""How long the list service's loop is held: python tests/measure/loop.py [GATEWAYS] [HOSTS] [CHANGES]

The service as a process with a file of hosts, and so many gateways that watch a view each. A line for each
phase: how long its loop was held at most, its full collections of garbage with the longest, what one at the
end of it frees, its CPU and memory. The phases: the start, all views asked for, so many changes of one host,
one after another, and as many watches that end and come again. Loopback, some minutes; 2 GB.
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
from gateway_view import Program  # noqa: E402
from views import KINDS, SIZE, ZONES  # noqa: E402

from api_gateway.base.serving import run  # noqa: E402
from api_gateway.base.subsets import SubsetSpec  # noqa: E402
from api_gateway.registry.config import read_config  # noqa: E402
from api_gateway.registry.core import Registry  # noqa: E402
from api_gateway.registry.service import Service  # noqa: E402

TURN = 0.002  # s between two looks at the loop
PART = 200  # connections that begin at once


class Watched(Service):
    """Notes in its status how long the loop was held since the last status."""

    async def start(self):
        self.held = self.full = self.longest = self.freed = 0.0
        self.began = 0.0
        gc.callbacks.append(self.collected)
        self.beat = asyncio.create_task(self.beating())
        return await super().start()

    async def beating(self):
        while True:
            at = time.perf_counter()
            await asyncio.sleep(TURN)
            self.held = max(self.held, time.perf_counter() - at - TURN)

    def collected(self, phase, told):
        if told["generation"] == 2:
            if phase == "start":
                self.began = time.perf_counter()
            else:
                self.full, self.freed = self.full + 1, self.freed + told["collected"]
                self.longest = max(self.longest, time.perf_counter() - self.began)

    def status(self):
        told = {
            "held": self.held,
            "full": self.full,
            "longest": self.longest,
            "freed": self.freed,
            "watches": len(self.waiting),
            "frozen": gc.get_freeze_count(),
        }
        told["left"] = gc.collect()
        self.held = self.full = self.longest = self.freed = 0.0
        return told


class Gateway:
    def __init__(self, port, number):
        self.port, self.number = port, number
        self.query = SubsetSpec(number, SIZE, ZONES[number % len(ZONES)]).query()
        self.version = self.told = 0

    async def ask(self, query=""):
        self.writer.write(f"GET /v1/endpoints?{self.query}{query} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        head = await self.reader.readuntil(b"\r\n\r\n")
        left = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        first = await self.reader.readexactly(min(left, 200))
        left -= len(first)
        while left:
            left -= len(await self.reader.read(min(left, 65536)))
        self.version, self.told = int(re.search(rb'"version": (\d+)', first)[1]), self.told + 1

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port, limit=8192)
        await self.ask()

    async def watch(self):
        with suppress(asyncio.IncompleteReadError, ConnectionError):  # the service has ended
            while True:
                await self.ask(f"&index={self.version}&wait=60000")

    async def again(self):
        """The connection ends and another comes."""
        self.task.cancel()
        self.writer.close()
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port, limit=8192)
        self.task = asyncio.create_task(self.watch())


async def call(port, method, path, body=b""):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(
        b"%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s"
        % (method.encode(), path.encode(), len(body), body)
    )
    head = await reader.readuntil(b"\r\n\r\n")
    told = await reader.readexactly(int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0]))
    writer.close()
    return json.loads(told)


async def phase(name, service, port, cpu):
    seen, used = await call(port, "GET", "/status"), service.cpu()
    print(
        f"{name}: the loop held for {seen['held'] * 1000:.0f} ms at most; {seen['full']:.0f} full "
        f"collections, the longest {seen['longest'] * 1000:.0f} ms, {seen['freed']:.0f} objects freed, "
        f"{seen['left']} left, {seen['frozen']} frozen; {used - cpu:.2f} s of CPU, "
        f"{service.memory()[0]:.0f} MB",
        flush=True,
    )
    return used


def entry(n, **kw):
    return {
        "id": f"s-{n:08x}",
        "addr": f"10.{n // 62500}.{n // 250 % 250}.{n % 250}:6379",
        "zone": ZONES[n // KINDS % 6],
        "kind": f"svc-{n % KINDS}",
        "cell": n % 7,
    } | kw


async def play(gateways, hosts, changes):
    with tempfile.TemporaryDirectory() as name:
        file, config = Path(name) / "hosts.json", Path(name) / "registry.json"
        file.write_text(json.dumps({"servers": [entry(n) for n in range(hosts) if n % 20]}))
        config.write_text(
            json.dumps({"listen": "127.0.0.1:0", "hosts": str(file), "watchers": gateways + 100})
        )
        service = await Program(__file__, "--serve", env={"REGISTRY_CONFIG": str(config)}).start()
        port, rng = service.port, random.Random(1)

        async def register(n, weight):
            told = {k: v for k, v in entry(n, weight=weight).items() if k != "id"}
            await call(
                port,
                "PUT",
                f"/v1/hosts/{entry(n)['id']}",
                json.dumps(told | {"incarnation": 1, "ttl_ms": 3_600_000}).encode(),
            )

        try:
            for n in range(0, hosts, 20):
                await register(n, 1.0)
            cpu = await phase(f"{hosts} hosts there", service, port, 0.0)
            all_ = [Gateway(port, n) for n in range(gateways)]
            for n in range(0, gateways, PART):
                await asyncio.gather(*(one.open() for one in all_[n : n + PART]))
            for one in all_:
                one.task = asyncio.create_task(one.watch())
            cpu = await phase(f"{gateways} views told whole", service, port, cpu)
            await asyncio.sleep(2.0)
            cpu = await phase("2 s at rest", service, port, cpu)
            for part in range(2):
                before = sum(one.told for one in all_)
                for n in range(changes):
                    await register(rng.randrange(0, hosts, 20), 1.0 + part + n / changes)
                    await asyncio.sleep(0.06)
                await asyncio.sleep(0.5)
                answers = sum(one.told for one in all_) - before
                print(f"  {answers / changes:.1f} answers a change")
                cpu = await phase(f"{changes} changes of a host", service, port, cpu)
            for _ in range(2):
                for n in range(0, gateways, PART):
                    await asyncio.gather(*(one.again() for one in all_[n : n + PART]))
                    await asyncio.sleep(0.2)
                cpu = await phase(f"{gateways} watches end and come again", service, port, cpu)
        finally:
            await service.stop()


def main():
    if sys.argv[1:] == ["--serve"]:
        config = read_config()
        sys.exit(run("registry", lambda: Watched(config, Registry("e", 1)), "lists"))
    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
    gateways, hosts, changes = [*map(int, sys.argv[1:]), *(4200, 56_000, 100)[len(sys.argv) - 1 :]]
    uvloop.run(play(gateways, hosts, changes))


if __name__ == "__main__":
    main()
