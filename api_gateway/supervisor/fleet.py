"""Processes of the program: each is started, asked for readiness, and ends with its supervisor."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import json
import os
import random
import signal
import socket
import sys
from asyncio.subprocess import DEVNULL, PIPE, Process
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from types import MappingProxyType
from typing import Any

import aiohttp

from api_gateway.emulators.site import BASE, Json, S, config

READY_WITHIN = 20.0  # s for a process to be ready
ENDS_WITHIN = 5.0  # s after SIGTERM at which a process is killed
PR_SET_PDEATHSIG, PR_CAPBSET_DROP = 1, 24
CAP_DAC_OVERRIDE, CAP_DAC_READ_SEARCH = 1, 2
AT_ONCE = 16  # processes that start at the same time
ZONES = ("a", "b")
PORTS = range(15000, 32000)
given: set[tuple[socket.SocketKind, int]] = set()  # ports that a process may be about to listen at
NOTHING: Mapping[str, str] = MappingProxyType({})
EDGE: Mapping[str, Any] = MappingProxyType({"edge": {}})

CLASSES: list[Json] = [  # times in seconds: wanted within, deadline
    {"name": "reading", "slo": 6 * S // 5, "deadline": 3 * S, "effect": "pure", "gain": 1.0},
    {"name": "statement", "slo": 2 * S, "deadline": 4 * S, "effect": "pure", "gain": 2.0},
    {
        "name": "settlement",
        "slo": 2 * S,
        "deadline": 5 * S,
        "effect": "token",
        "gain": 5.0,
        "dedup_scope": "all",
        "memory_span": 15 * S,
    },
]
PLANS: list[Json] = [
    {"name": "village", "rate": 2.0, "most_at_once": 8.0, "value_factor": 0.9, "over_cost": 0.5},
    {"name": "cooperative", "rate": 5.0, "most_at_once": 20.0, "value_factor": 1.3, "over_cost": 1.2},
    {"name": "utility", "rate": 20.0, "most_at_once": 60.0, "value_factor": 1.6, "over_cost": 0.8},
]


class StartFailed(Exception):
    """A process did not come up; the text says which and why in one line."""


def die_with(parent: int, obeys: bool) -> Callable[[], None]:
    """In a child before its program begins: the kernel ends it once its parent is gone, even by SIGKILL.
    `obeys`: the modes of files count for it, also where root starts it."""
    libc = ctypes.CDLL(None, use_errno=True)

    def act() -> None:
        libc.prctl(PR_SET_PDEATHSIG, signal.SIGTERM)
        for right in (CAP_DAC_OVERRIDE, CAP_DAC_READ_SEARCH) if obeys else ():
            libc.prctl(PR_CAPBSET_DROP, right)
        if os.getppid() != parent:
            os._exit(1)

    return act


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Of those below the range that connections out take theirs from: one of these could have it a moment
    later, before the process that it is meant for. None is given twice by one supervisor."""
    for port in random.sample(PORTS, 1000):
        if (kind, port) in given:
            continue
        with socket.socket(type=kind) as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            given.add((kind, port))
            return port
    raise StartFailed("no port is free")


class Part:
    """One process. Its log is FOLDER/NAME.log; a start again appends to it. `apart`: nothing but its own
    files is subject to what befalls its disk: its log goes through the supervisor, and file modes count."""

    def __init__(
        self,
        name: str,
        folder: Path,
        module: str,
        *args: str,
        env: Mapping[str, str] = NOTHING,
        apart: bool = False,
    ) -> None:
        self.name, self.folder, self.command, self.apart = name, folder, ("-B", "-m", module, *args), apart
        self.env = {**os.environ, **env}
        self.process: Process | None = None
        self.wanted = False  # whether it ought to run
        self.places: dict[str, str] = {}

    async def start(self, told: bool = False, piped: bool = False) -> None:
        """`told`: its first line says where it listens; `piped`: who starts it reads what it prints."""
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *self.command,
                env=self.env,
                stdin=DEVNULL,
                stdout=PIPE if told or piped else log,
                stderr=PIPE if self.apart else log,
                start_new_session=True,
                preexec_fn=die_with(os.getpid(), self.apart),
            )
        self.wanted = True
        if self.apart:
            self.copying = asyncio.create_task(self.copy(self.process.stderr))
        if told:
            assert self.process.stdout is not None
            try:
                async with asyncio.timeout(READY_WITHIN):
                    line = await self.process.stdout.readline()
                self.places = json.loads(line)
            except (TimeoutError, ValueError) as err:
                raise StartFailed(self.why()) from err

    async def copy(self, told: asyncio.StreamReader | None) -> None:
        assert told is not None
        with open(self.log, "ab") as log:
            while data := await told.read(65536):
                log.write(data)
                log.flush()

    @property
    def log(self) -> Path:
        return self.folder / f"{self.name}.log"

    @property
    def alive(self) -> bool:
        return self.process is not None and self.process.returncode is None

    def why(self) -> str:
        """The last line of its log."""
        lines = self.log.read_text(errors="replace").strip().splitlines() if self.log.exists() else []
        return f"{self.name}: {lines[-1] if lines else 'did not come up'}"

    def signal(self, number: int) -> None:
        if self.alive:
            assert self.process is not None
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def kill(self) -> None:
        self.wanted = False
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def stop(self) -> None:
        self.wanted = False
        self.signal(signal.SIGTERM)
        if self.process is not None:
            try:
                async with asyncio.timeout(ENDS_WITHIN):
                    await self.process.wait()
            except TimeoutError:
                await self.kill()


class Fleet:
    """A list service, a counter, hosts that register themselves, and gateways, all on 127.0.0.1."""

    def __init__(
        self,
        folder: Path,
        gateways: int,
        hosts: int,
        work: float = 0.02,
        slots: int = 4,
        plans: Sequence[Json] = PLANS,
        more: Mapping[str, Any] = EDGE,
    ) -> None:
        """`work`: s that a host takes for a command, `slots` at once; `more`: keys of a gateway's file."""
        self.folder, self.plans, self.more = folder, plans, more
        self.registry_at, self.listed = f"127.0.0.1:{free_port()}", 0
        self.files = {"registry.json": {"listen": self.registry_at, "learn_ms": 0}}
        self.registry = self.part(
            "registry", "api_gateway.registry", env={"REGISTRY_CONFIG": str(folder / "registry.json")}
        )
        self.counter = self.stand_in("counter", "counter")
        self.hosts = [
            self.stand_in(
                f"host-{n}",
                "host",
                "--name",
                f"host-{n}",
                "--zone",
                ZONES[n % len(ZONES)],
                "--work",
                str(work),
                "--slots",
                str(slots),
                "--room",
                str(16 * slots),
                "--register",
                self.registry_at,
                "--seed",
                str(n),
            )
            for n in range(hosts)
        ]
        self.gateways = [self.gateway(n) for n in range(gateways)]
        self.session: Any = None

    def part(self, name: str, module: str, *args: str, env: Mapping[str, str] = NOTHING) -> Part:
        return Part(name, self.folder, module, *args, env=env)

    def stand_in(self, name: str, kind: str, *args: str) -> Part:
        return self.part(name, "api_gateway.cli", "standin", kind, *args)

    def gateway(self, number: int) -> Part:
        name, folder = f"gateway-{number}", self.folder / f"gateway-{number}"
        folder.mkdir(exist_ok=True)
        made = self.part(
            name,
            "api_gateway.gateway",
            env={"RELAY_CONFIG": str(self.folder / f"{name}.json"), "TMPDIR": str(folder)},
        )
        made.places = {"listen": f"127.0.0.1:{free_port()}", "control": f"127.0.0.1:{free_port()}"}
        return made

    def parts(self) -> list[Part]:
        return [self.registry, self.counter, *self.hosts, *self.gateways]

    async def start(self) -> None:
        """Raises StartFailed."""
        servers = await self.surroundings()
        for number, part in enumerate(self.gateways):
            (self.folder / f"{part.name}.json").write_text(json.dumps(self.tree(number, part, servers)))
        await self.begin_all(self.gateways)

    async def surroundings(self) -> list[Json]:
        """What gateways live among; the hosts in discovery's form. Raises StartFailed."""
        self.open_session()
        for name, tree in self.files.items():
            (self.folder / name).write_text(json.dumps(tree))
        await asyncio.gather(
            self.registry.start(),
            self.counter.start(told=True),
            *(host.start(told=True) for host in self.hosts),
        )
        return (
            await self.until(
                self.registry,
                f"http://{self.registry_at}/v1/endpoints",
                lambda told: len(told["servers"]) == len(self.hosts),
            )
        )["servers"]

    def open_session(self) -> None:
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1.0))

    def tree(self, number: int, part: Part, servers: list[Json]) -> Json:
        """The configuration of a gateway."""
        settings = BASE | {
            "services": CLASSES,
            "plans": list(self.plans),
            "index": number,
            "group_size": len(self.gateways),
            "locality": ZONES[number % len(ZONES)],
        }
        tree = config(
            servers,
            self.registry_at,
            self.counter.places["listen"],
            settings,
            part.name,
            part.places["listen"],
        )
        return tree | {"seed": f"{number + 1:x}", "control": part.places["control"]} | dict(self.more)

    async def begin_all(self, parts: Sequence[Part]) -> None:
        """Some at a time, so that each has its time to come up."""
        room = asyncio.Semaphore(AT_ONCE)

        async def begin(part: Part) -> None:
            async with room:
                await self.begin(part)

        await asyncio.gather(*(begin(part) for part in parts))

    async def begin(self, part: Part) -> None:
        await part.start()
        await self.until(part, f"http://{part.places['control']}/status", lambda told: told["ready"])

    async def until(self, part: Part, url: str, fits: Callable[[Any], bool]) -> Any:
        """What is told at `url` once that fits."""
        try:
            async with asyncio.timeout(READY_WITHIN):
                while part.alive:
                    told = await self.ask(url)
                    if told is not None and fits(told):
                        return told
                    await asyncio.sleep(0.05)
        except TimeoutError:
            pass
        raise StartFailed(part.why())

    async def ask(self, url: str, method: str = "GET") -> Any:
        """The JSON told there; None where nobody says yes."""
        try:
            async with self.session.request(method, url) as answer:
                return await answer.json() if answer.status == 200 else None
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return None

    async def counter_silent(self, on: bool) -> None:
        await self.ask(f"http://{self.counter.places['control']}/faults?silent={int(on)}", "POST")

    def died(self) -> list[str]:
        """Processes that ended by themselves."""
        return [part.name for part in self.parts() if part.wanted and not part.alive]

    async def stop(self) -> None:
        """Gateways first, while what they need is still there."""
        await asyncio.gather(*(part.stop() for part in self.gateways))
        await asyncio.gather(*(part.stop() for part in (*self.hosts, self.counter)))
        await self.registry.stop()
        if self.session is not None:
            await self.session.close()
