"""What gateways live among in a scale run, on loopback: the list service with a file of hosts, the counter's
stand-in, and real gateways as the deploy file starts them, each behind a wire that counts what passes."""

from __future__ import annotations

import asyncio
import json
import time
import tomllib
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

import aiohttp

from api_gateway.emulators.site import BASE_SETTINGS, Json, config
from api_gateway.experiments.scale.crowds import NO_NEWS
from api_gateway.supervisor.errors import StartError
from api_gateway.supervisor.ports import free_port
from api_gateway.supervisor.process import NO_ENVIRONMENT, ManagedProcess
from api_gateway.supervisor.sample_deployment import CLASSES, PLANS

ROOT = Path(__file__).resolve().parents[3]
READY_WITHIN = 60.0  # s
CALLS = (b" HTTP/1.1\r\n", b"ping\r\n", b"incr ")  # each begins or ends so
ZONES = ("a", "b", "c")
RENEWED = 3_600_000  # ms for which a registration counts: longer than any run
OWN = 64  # hosts that register themselves, so that they can change; the others are in the file


def entry(number: int) -> Json:
    return {
        "id": f"h-{number:08x}",
        "addr": f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:6379",
        "zone": ZONES[number % 3],
        "kind": "std",
        "cell": number % 7,
        "state": "up",
        "weight": 1.0,
        "started_ms": 0,
    }


def run_module(tree: Path = ROOT) -> str:
    """The module that the deploy file's `run` starts. Raises ValueError where it starts something else."""
    words = tomllib.loads((tree / "deploy" / "balancer.toml").read_text())["run"].split()
    if words[:-1] != ["exec", ".venv/bin/python", "-B", "-m"]:
        raise ValueError(f"the deploy file's run is {' '.join(words)!r}")
    return words[-1]


class Wire:
    """Passes on what two sides say, and counts it: bytes each way, calls by their first line, and of these
    the watches that ended without news."""

    def __init__(self, place: str) -> None:
        self.host, _, port = place.rpartition(":")
        self.port, self.out, self.back, self.calls = int(port), 0, 0, 0
        self.idle, self.idle_back = 0, 0
        self.place = ""
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> str:
        self.place = f"127.0.0.1:{free_port()}"
        host, _, port = self.place.rpartition(":")
        self.server = await asyncio.start_server(self.joined, host, int(port), backlog=1024)
        return self.place

    async def joined(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            there, back = await asyncio.open_connection(self.host, self.port)
        except OSError:
            writer.close()
            return
        task = asyncio.create_task(self.copy(there, writer, False))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        await self.copy(reader, back, True)
        task.cancel()
        writer.close()

    async def copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, out: bool) -> None:
        try:
            while data := await reader.read(262_144):
                if out:
                    self.out += len(data)
                    self.calls += sum(data.count(word) for word in CALLS)
                else:
                    self.back += len(data)
                    self.idle += data.count(NO_NEWS)
                    self.idle_back += len(data) if NO_NEWS in data else 0
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        writer.close()

    def counts(self) -> tuple[int, int, int]:
        return self.out, self.back, self.calls

    def news(self) -> tuple[int, int]:
        """Bytes and calls that brought some."""
        return self.back - self.idle_back, self.calls - self.idle

    async def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()


class Real:
    """A gateway by the deploy file's command, its list service and its counter each behind a wire."""

    def __init__(self, index: int, part: ManagedProcess, lists: Wire, counts: Wire) -> None:
        self.index, self.part, self.lists, self.counts = index, part, lists, counts

    @property
    def number(self) -> int:
        assert self.part.process is not None
        return self.part.process.pid


class Rig:
    def __init__(
        self,
        folder: Path,
        hosts: int,
        gateways: int = 4200,
        watchers: int = 4000,
        more: Json | None = None,
        listed: list[Json] | None = None,
        tree: Path = ROOT,
        own: int = OWN,
    ) -> None:
        """`gateways`: as many as the settings name; `more`: keys of a gateway's file; `listed`: hosts in
        place of such as nobody listens for, none of which changes; `tree`: the build of the gateways; `own`:
        hosts that register themselves."""
        self.folder, self.hosts, self.named, self.tree = folder, hosts, gateways, tree
        self.own = 0 if listed else min(own, hosts)
        listed = listed or [entry(n) for n in range(self.own, hosts)]
        self.more = more or {}
        self.service_at = f"127.0.0.1:{free_port()}"
        (folder / "hosts.json").write_text(json.dumps({"servers": listed}))
        (folder / "registry.json").write_text(
            json.dumps({"listen": self.service_at, "hosts": str(folder / "hosts.json"), "watchers": watchers})
        )
        self.service = ManagedProcess(
            "service", folder, "api_gateway.registry", env={"REGISTRY_CONFIG": str(folder / "registry.json")}
        )
        self.counter = ManagedProcess("counter", folder, "api_gateway.cli", "standin", "counter")
        self.real: list[Real] = []
        self.session: Any = None
        self.changed = 0

    async def __aenter__(self) -> Rig:
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=20.0))
        await asyncio.gather(self.service.start(), self.counter.start(reports_addresses=True))
        await self.until(self.service, f"http://{self.service_at}/status", 1.0)
        for number in range(self.own):
            await self.register(number)
        return self

    async def __aexit__(self, *_: object) -> None:
        await asyncio.gather(*(real.part.stop() for real in self.real))
        await asyncio.gather(self.service.stop(), self.counter.stop())
        for real in self.real:
            await real.lists.close()
            await real.counts.close()
        await self.session.close()

    async def until(self, part: ManagedProcess, url: str, patience: float = READY_WITHIN) -> None:
        """Until a call there is answered by 200. Raises StartError."""
        end = time.monotonic() + max(patience, READY_WITHIN)
        while part.is_running and time.monotonic() < end:
            try:
                async with self.session.get(url) as answer:
                    if answer.status == 200:
                        return
            except (aiohttp.ClientError, TimeoutError):
                pass
            await asyncio.sleep(0.02)
        raise StartError(part.last_log_line())

    # Hosts that change

    async def register(self, number: int) -> int:
        """A host of its own starts, or starts anew. The version of that."""
        self.changed += 1
        return await self.put(number, self.changed, RENEWED, 10**12 + self.changed)

    async def put(self, number: int, incarnation: int, ttl_ms: int, started_ms: int = 0) -> int:
        """The version of that."""
        told = {key: value for key, value in entry(number).items() if key not in ("id", "state")} | {
            "started_ms": started_ms,
            "incarnation": incarnation,
            "ttl_ms": ttl_ms,
        }
        url = f"http://{self.service_at}/v1/hosts/h-{number:08x}"
        async with self.session.put(url, data=json.dumps(told)) as answer:
            if answer.status != 200:
                raise StartError(f"the list service answers {answer.status}: {await answer.text()}")
            return (await answer.json())["version"]

    async def change(self) -> int:
        return await self.register(self.changed % self.own)

    async def changes(self, a_second: float, seconds: float) -> int:
        """One host after another starts anew, at an even pace; how many did."""
        began, done = time.monotonic(), 0
        while done < a_second * seconds:
            await asyncio.sleep(max(0.0, began + done / a_second - time.monotonic()))
            await self.change()
            done += 1
        await asyncio.sleep(max(0.0, began + seconds - time.monotonic()))
        return done

    # Gateways

    async def start(
        self,
        number: int,
        tree: Callable[[Json], Json] = lambda told: told,
        module: str = "",
        env: Mapping[str, str] = NO_ENVIRONMENT,
    ) -> float:
        """A real gateway, by the deploy file's module where none is named; seconds until it is ready."""
        name = f"gateway-{number}"
        lists, counts = Wire(self.service_at), Wire(self.counter.addresses["listen"])
        settings = BASE_SETTINGS | {
            "services": CLASSES,
            "plans": list(PLANS),
            "index": number,
            "group_size": self.named,
            "locality": ZONES[number % 3],
        }
        told = config([], await lists.open(), await counts.open(), settings, name, f"127.0.0.1:{free_port()}")
        control, scratch = f"127.0.0.1:{free_port()}", self.folder / name
        scratch.mkdir()
        told |= {"seed": f"{number + 1:x}", "control": control, "replicas": {"others": [], "keep": False}}
        (self.folder / f"{name}.json").write_text(json.dumps(tree(told | self.more)))
        part = ManagedProcess(
            name,
            self.folder,
            module or run_module(self.tree),
            env={
                **env,
                "RELAY_CONFIG": str(self.folder / f"{name}.json"),
                "TMPDIR": str(scratch),
                "PYTHONPATH": str(self.tree),
                "PYTHONSAFEPATH": "1",
            },
        )  # the build of no other place
        part.addresses = {"listen": told["listen"], "control": control}
        began = time.monotonic()
        await part.start()
        self.real.append(Real(number, part, lists, counts))
        self.real.sort(key=lambda real: real.index)  # several may start together
        await self.until(part, f"http://{control}/status")
        return time.monotonic() - began
