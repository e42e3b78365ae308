"""The processes of a scenario, the links between them, and what is done to both."""

from __future__ import annotations

import asyncio
import contextlib
import fnmatch
import json
import os
import random
import resource
import shutil
import signal
import socket
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

from api_gateway.emulators.site import Json
from api_gateway.experiments.budgets.holder import WORK
from api_gateway.experiments.budgets.meter import IDLE
from api_gateway.experiments.faults import scenario as told
from api_gateway.experiments.faults.lines import PASS, Treatment
from api_gateway.experiments.faults.links import LOOPBACK, Network
from api_gateway.supervisor.local_cluster import LocalCluster
from api_gateway.supervisor.ports import free_port
from api_gateway.supervisor.process import NO_ENVIRONMENT, ManagedProcess

SEEDS = 2  # members that the others know at their start
DUTY = 0.1  # s: a slow process runs for a share of each
LOOK = 0.02  # s between looks at how late the driver itself is
PACES = (1.0, 1.01, 0.99)  # of the clocks of holders


def place_of(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


class World(LocalCluster):
    def __init__(self, folder: Path, shape: told.Shape, seed: int) -> None:
        super().__init__(folder, shape.gateways, shape.hosts if shape.gateways else 0)
        self.shape, self.network, self.random = shape, Network(seed), random.Random(seed)
        self.disturbed: set[str] = set()  # processes that something was done to: they may come late
        self.slowed: dict[str, asyncio.Task[None]] = {}
        self.cluster: dict[str, Json] = {}  # what each gateway's file says of membership
        self.late = {"driver": 0.0, "canary": 0.0}
        self.watching: list[asyncio.Task[None]] = []
        self.canary = self.make_process("canary", "api_gateway.experiments.faults.canary")
        self.grantor: ManagedProcess | None = None
        self.meter: ManagedProcess | None = None
        self.holders: list[ManagedProcess] = []
        if shape.holders:
            self.plan_budgets()

    def make_process(
        self, name: str, module: str, *args: str, env: Mapping[str, str] = NO_ENVIRONMENT
    ) -> ManagedProcess:
        return ManagedProcess(name, self.folder, module, *args, env=env, isolated=True)

    # Start and end

    async def start_dependencies(self) -> list[Json]:
        servers = await super().start_dependencies() if self.gateways else await self.alone()
        for part in self.gateways:
            name = part.name
            self.cluster[name] = {"cluster": "faults", "listen": f"{LOOPBACK}:{free_port(socket.SOCK_DGRAM)}"}
        if self.gateways:
            places = {name: place_of(tree["listen"]) for name, tree in self.cluster.items()}
            told = await self.network.datagrams.open(places)
            seeds = [f"{LOOPBACK}:{port}" for _, port in list(told.values())[:SEEDS]]
            for name, (host, port) in told.items():
                self.cluster[name] |= {"advertise": f"{host}:{port}", "seeds": seeds}
                self.cluster[name]["counter"] = await self.network.stream(
                    name, "counter", place_of(self.counter.addresses["listen"])
                )
                self.cluster[name]["discovery"] = await self.network.stream(
                    name, "registry", place_of(self.registry_address)
                )
        return servers

    async def alone(self) -> list[Json]:
        """Holders need none of what gateways live among."""
        self.open_session()
        return []

    def gateway_config(self, number: int, part: ManagedProcess, servers: list[Json]) -> Json:
        own = dict(self.cluster[part.name])
        places = {name: own.pop(name) for name in ("counter", "discovery")}
        return super().gateway_config(number, part, servers) | places | {"membership": own}

    async def start(self) -> None:
        """Raises StartError."""
        await self.canary.start(pipes_output=True)
        self.watching = [asyncio.create_task(self.watch_driver()), asyncio.create_task(self.watch_canary())]
        await super().start()
        if self.grantor is not None:
            await self.start_budgets()

    def all_processes(self) -> list[ManagedProcess]:
        others = [part for part in (self.grantor, self.meter) if part is not None]
        base = super().all_processes() if self.gateways else []
        return [*base, *others, *self.holders]

    async def stop(self) -> None:
        for name in list(self.slowed):
            self.run_freely(name)
        for part in self.all_processes():
            part.send_signal(signal.SIGCONT)
        await self.network.close()
        await asyncio.gather(*(part.stop() for part in self.holders))
        await asyncio.gather(*(part.stop() for part in (self.grantor, self.meter) if part is not None))
        await super().stop()
        for task in self.watching:
            task.cancel()
        await self.canary.kill()

    # How late this machine is

    async def watch_driver(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + LOOK
            await asyncio.sleep(LOOK)
            self.late["driver"] = max(self.late["driver"], loop.time() - due)

    async def watch_canary(self) -> None:
        assert self.canary.process is not None and self.canary.process.stdout is not None
        async for line in self.canary.process.stdout:
            self.late["canary"] = max(self.late["canary"], float(line))

    async def watch_members(self) -> None:
        """What gateways tell of their own timers, but for those that were held up on purpose."""
        for part in self.gateways:
            seen = (
                await self.request_json(f"http://{part.addresses['control']}/members")
                if part.is_running
                else None
            )
            if seen and part.name not in self.disturbed:
                self.late[part.name] = seen["late"]

    # Names

    def named(self, patterns: Sequence[str], pick: int = 0) -> list[ManagedProcess]:
        """Raises ScenarioError where a pattern names nobody."""
        found: dict[str, ManagedProcess] = {}
        for pattern in patterns:
            fits = [part for part in self.all_processes() if fnmatch.fnmatchcase(part.name, pattern)]
            if not fits:
                raise told.ScenarioError(f"no process is named {pattern!r}")
            found |= {part.name: part for part in fits}
        if pick:
            return [found[name] for name in sorted(self.random.sample(sorted(found), min(pick, len(found))))]
        return list(found.values())

    def disk(self, part: ManagedProcess) -> Path:
        return self.disk_of(part.name)

    def disk_of(self, name: str) -> Path:
        return self.folder / name

    def disk_file(self, part: ManagedProcess, name: str) -> Path:
        path = (self.disk(part) / name).resolve()
        if self.disk(part).resolve() not in path.parents:
            raise told.ScenarioError(f"{name!r} is not on the disk of {part.name}")
        return path

    # What is done to processes

    async def start_gateway(self, part: ManagedProcess) -> None:
        if part is self.grantor:
            await part.start()
            await self.wait_for(part, f"http://{part.addresses['listen']}/status", lambda seen: True)
        elif part in self.gateways:
            await super().start_gateway(part)
        else:
            old = dict(part.addresses)
            await part.start(reports_addresses=part is not self.registry)
            self.moved(part, old)

    def moved(self, part: ManagedProcess, old: dict[str, str]) -> None:
        """One that chose its port by itself listens elsewhere now."""
        if part.addresses != old and "listen" in part.addresses:
            self.network.move(part.name, place_of(part.addresses["listen"]))

    async def kill(self, part: ManagedProcess) -> None:
        self.run_freely(part.name)
        await part.kill()

    async def all_again(self, parts: Sequence[ManagedProcess], disk: bool) -> None:
        for part in parts:
            if part.is_running:
                raise told.ScenarioError(f"{part.name} runs already")
            if not disk:
                shutil.rmtree(self.disk(part), ignore_errors=True)
                self.disk(part).mkdir()
            self.disturbed.add(part.name)
        await self.start_gateways(parts)

    def pause(self, part: ManagedProcess) -> None:
        self.disturbed.add(part.name)
        part.send_signal(signal.SIGSTOP)

    def resume(self, part: ManagedProcess) -> None:
        part.send_signal(signal.SIGCONT)

    def slow(self, part: ManagedProcess, share: float) -> None:
        self.run_freely(part.name)
        if share < 1:
            self.disturbed.add(part.name)
            self.slowed[part.name] = asyncio.create_task(self.hold_back(part, share))

    async def hold_back(self, part: ManagedProcess, share: float) -> None:
        try:
            while part.is_running:
                part.send_signal(signal.SIGSTOP)
                await asyncio.sleep(DUTY * (1 - share))
                part.send_signal(signal.SIGCONT)
                await asyncio.sleep(DUTY * share)
        finally:
            part.send_signal(signal.SIGCONT)

    def run_freely(self, name: str) -> None:
        task = self.slowed.pop(name, None)
        if task is not None:
            task.cancel()

    # What is done to links

    def cut(self, part: ManagedProcess, ways: str) -> None:
        """What goes from it, what goes to it, or both."""
        for sender, to in list(self.network.ways):
            if (sender == part.name and ways != "to") or (to == part.name and ways != "from"):
                self.network.ways[sender, to].treat(Treatment(cut=True))

    def worsen(self, part: ManagedProcess, treatment: Treatment) -> None:
        for pair, way in self.network.ways.items():
            if part.name in pair:
                way.treat(treatment)

    def mend(self, part: ManagedProcess) -> None:
        self.worsen(part, PASS)

    # What is done to disks

    def limit_files(self, part: ManagedProcess, most: int) -> None:
        if part.process is not None and part.is_running:
            hard = resource.prlimit(part.process.pid, resource.RLIMIT_FSIZE)[1]
            resource.prlimit(part.process.pid, resource.RLIMIT_FSIZE, (most, hard))

    def read_only(self, part: ManagedProcess, on: bool) -> None:
        """Files that are open may still be written to: the folder takes no new ones, nor do files that are
        opened from now on."""
        for path in (*self.disk(part).rglob("*"), self.disk(part)):
            path.chmod((0o555 if path.is_dir() else 0o444) if on else (0o755 if path.is_dir() else 0o644))

    def tear(self, part: ManagedProcess, name: str, share: float, byte: int | None) -> int:
        """Returns the length that is left, in bytes."""
        if part.is_running:
            raise told.ScenarioError(f"{part.name} still runs: a file is torn between two lives")
        path = self.disk_file(part, name)
        with contextlib.suppress(FileNotFoundError):
            left = int(path.stat().st_size * share) if byte is None else byte
            os.truncate(path, left)
            return left
        raise told.ScenarioError(f"{part.name} has no file {name!r}")

    # Budgets

    def plan_budgets(self) -> None:
        self.budgets_at = f"{LOOPBACK}:{free_port()}"
        self.grantor = self.make_process(
            "grantor", "api_gateway.budgets", env={"BUDGETS_CONFIG": str(self.folder / "budgets.json")}
        )
        self.grantor.addresses = {"listen": self.budgets_at}
        budgets_file = str(self.folder / "budgets.json")
        self.meter = self.make_process("meter", "api_gateway.experiments.budgets.meter", budgets_file)
        for name in ("grantor", *(f"holder-{n}" for n in range(self.shape.holders))):
            (self.folder / name).mkdir(exist_ok=True)

    async def start_budgets(self) -> None:
        """A whole of four units of a level a holder, and as many of a rate a second."""
        assert self.grantor is not None and self.meter is not None
        most = self.shape.holders
        budgets = [
            {
                "name": "connections",
                "kind": "level",
                "whole": 5 * most,
                "reserve": most,
                "least": 1,
                "linger": WORK + IDLE + 0.2,
            },
            {
                "name": "connects",
                "kind": "rate",
                "whole": 4 * most,
                "reserve": most,
                "least": 0.5,
                "burst": 3 * most,
            },
        ]
        terms = {"most": most, "length": 2.0, "every": 0.25, "drift": 0.03, "budgets": budgets}
        log = {"log": str(self.disk(self.grantor) / "budgets.db")} if self.shape.log else {}
        write(self.folder / "budgets.json", {"listen": self.budgets_at, "terms": terms, **log})
        await asyncio.gather(self.start_gateway(self.grantor), self.start_gateway(self.meter))
        for number in range(most):
            name = f"holder-{number}"
            place = await self.network.stream(name, "grantor", place_of(self.budgets_at))
            self.holders.append(
                self.make_process(
                    name,
                    "api_gateway.experiments.budgets.holder",
                    str(self.folder / "budgets.json"),
                    "--name",
                    name,
                    "--index",
                    str(number),
                    "--grantor",
                    place,
                    "--meter",
                    self.meter.addresses["listen"],
                    "--folder",
                    str(self.disk_of(name)),
                    "--pace",
                    str(PACES[number % len(PACES)]),
                )
            )
        await self.start_gateways(self.holders)

    # What is seen

    async def status(self, part: ManagedProcess) -> Any:
        places = {"listen": self.registry_address} if part is self.registry else part.addresses
        place = places.get("control") or places["listen"]
        return await self.request_json(f"http://{place}/status") if part.is_running else None

    async def members(self, part: ManagedProcess) -> dict[str, str] | None:
        """States by name, as this gateway sees them."""
        seen = (
            await self.request_json(f"http://{part.addresses['control']}/members")
            if part.is_running
            else None
        )
        return {row["name"]: row["state"] for row in seen["members"]} if seen else None

    def logged(self, part: ManagedProcess, text: str) -> int:
        return part.log_path.read_text(errors="replace").count(text) if part.log_path.exists() else 0


def write(path: Path, tree: Any) -> None:
    path.write_text(json.dumps(tree))
