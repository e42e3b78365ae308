"""The processes of a scenario and the links between them, with the faults that can be injected into both."""

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
from api_gateway.experiments.budgets.holder import MAX_WORK_S
from api_gateway.experiments.budgets.meter import IDLE_TIMEOUT_S
from api_gateway.experiments.faults import scenario as scenarios
from api_gateway.experiments.faults.lines import NO_IMPAIRMENT, Impairment
from api_gateway.experiments.faults.links import LOOPBACK, Network
from api_gateway.supervisor.local_cluster import LocalCluster
from api_gateway.supervisor.ports import free_port
from api_gateway.supervisor.process import NO_ENVIRONMENT, ManagedProcess

SEED_COUNT = 2  # members that every gateway is configured to join through
SLOW_PERIOD_S = 0.1  # a slowed process runs for a fraction of each such period
DELAY_CHECK_INTERVAL_S = 0.02  # between two measurements of the scheduling delay of the driver
CLOCK_RATES = (1.0, 1.01, 0.99)  # of the clocks of holders, in turn; 1.0 is real time


def split_address(text: str) -> tuple[str, int]:
    """Split HOST:PORT."""
    host, _, port = text.rpartition(":")
    return host, int(port)


class World(LocalCluster):
    """The running processes and links of one scenario."""

    def __init__(self, folder: Path, spec: scenarios.WorldSpec, seed: int) -> None:
        super().__init__(folder, spec.gateways, spec.hosts if spec.gateways else 0)
        self.spec, self.network, self.rng = spec, Network(seed), random.Random(seed)
        # Processes that were paused, slowed or restarted. Their timer delays do not make the run void.
        self.disturbed: set[str] = set()
        self.slow_tasks: dict[str, asyncio.Task[None]] = {}
        self.membership_configs: dict[str, Json] = {}  # membership section of each gateway's configuration
        self.max_delay_s = {"driver": 0.0, "canary": 0.0}
        self.watch_tasks: list[asyncio.Task[None]] = []
        self.canary = self.make_process("canary", "api_gateway.experiments.faults.canary")
        self.grantor: ManagedProcess | None = None
        self.meter: ManagedProcess | None = None
        self.holders: list[ManagedProcess] = []
        if spec.holders:
            self.prepare_budgets()

    def make_process(
        self, name: str, module: str, *args: str, env: Mapping[str, str] = NO_ENVIRONMENT
    ) -> ManagedProcess:
        """Create a process whose log is not affected by the faults of its disk."""
        return ManagedProcess(name, self.folder, module, *args, env=env, isolated=True)

    # Start and end

    async def start_dependencies(self) -> list[Json]:
        """Start what gateways depend on, and put the links in place."""
        servers = await super().start_dependencies() if self.gateways else await self.start_without_gateways()
        for process in self.gateways:
            name = process.name
            self.membership_configs[name] = {
                "cluster": "faults",
                "listen": f"{LOOPBACK}:{free_port(socket.SOCK_DGRAM)}",
            }
        if self.gateways:
            addresses = {
                name: split_address(config["listen"]) for name, config in self.membership_configs.items()
            }
            advertised = await self.network.datagram_links.open(addresses)
            seeds = [f"{LOOPBACK}:{port}" for _, port in list(advertised.values())[:SEED_COUNT]]
            for name, (host, port) in advertised.items():
                self.membership_configs[name] |= {"advertise": f"{host}:{port}", "seeds": seeds}
                self.membership_configs[name]["counter"] = await self.network.add_stream_link(
                    name, "counter", split_address(self.counter.addresses["listen"])
                )
                self.membership_configs[name]["discovery"] = await self.network.add_stream_link(
                    name, "registry", split_address(self.registry_address)
                )
        return servers

    async def start_without_gateways(self) -> list[Json]:
        """Start no dependencies, because holders need none of those of gateways."""
        self.open_session()
        return []

    def gateway_config(self, number: int, gateway: ManagedProcess, servers: list[Json]) -> Json:
        """Return the configuration of a gateway, with its dependencies addressed through links."""
        membership = dict(self.membership_configs[gateway.name])
        addresses = {name: membership.pop(name) for name in ("counter", "discovery")}
        return super().gateway_config(number, gateway, servers) | addresses | {"membership": membership}

    async def start(self) -> None:
        """Start all processes. Raises StartError."""
        await self.canary.start(pipes_output=True)
        self.watch_tasks = [
            asyncio.create_task(self.watch_driver()),
            asyncio.create_task(self.watch_canary()),
        ]
        await super().start()
        if self.grantor is not None:
            await self.start_budgets()

    def all_processes(self) -> list[ManagedProcess]:
        """Return all processes except the canary."""
        budget_processes = [process for process in (self.grantor, self.meter) if process is not None]
        cluster_processes = super().all_processes() if self.gateways else []
        return [*cluster_processes, *budget_processes, *self.holders]

    async def stop(self) -> None:
        """Continue paused processes, close the links and stop all processes."""
        for name in list(self.slow_tasks):
            self.stop_slowing(name)
        for process in self.all_processes():
            process.send_signal(signal.SIGCONT)
        await self.network.close()
        await asyncio.gather(*(process.stop() for process in self.holders))
        await asyncio.gather(
            *(process.stop() for process in (self.grantor, self.meter) if process is not None)
        )
        await super().stop()
        for task in self.watch_tasks:
            task.cancel()
        await self.canary.kill()

    # Scheduling delays of this machine

    async def watch_driver(self) -> None:
        """Record the longest scheduling delay of this process."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + DELAY_CHECK_INTERVAL_S
            await asyncio.sleep(DELAY_CHECK_INTERVAL_S)
            self.max_delay_s["driver"] = max(self.max_delay_s["driver"], loop.time() - due)

    async def watch_canary(self) -> None:
        """Record the longest scheduling delay that the canary process prints."""
        assert self.canary.process is not None and self.canary.process.stdout is not None
        async for line in self.canary.process.stdout:
            self.max_delay_s["canary"] = max(self.max_delay_s["canary"], float(line))

    async def watch_members(self) -> None:
        """Read the timer delays that gateways report, except for those delayed on purpose."""
        for process in self.gateways:
            response = (
                await self.request_json(f"http://{process.addresses['control']}/members")
                if process.is_running
                else None
            )
            if response and process.name not in self.disturbed:
                self.max_delay_s[process.name] = response["late"]

    # Names

    def matching_processes(self, patterns: Sequence[str], pick: int = 0) -> list[ManagedProcess]:
        """Return the processes that match. Raises ScenarioError if a pattern matches no process."""
        found: dict[str, ManagedProcess] = {}
        for pattern in patterns:
            matches = [
                process for process in self.all_processes() if fnmatch.fnmatchcase(process.name, pattern)
            ]
            if not matches:
                raise scenarios.ScenarioError(f"no process is named {pattern!r}")
            found |= {process.name: process for process in matches}
        if pick:
            return [found[name] for name in sorted(self.rng.sample(sorted(found), min(pick, len(found))))]
        return list(found.values())

    def disk_folder(self, process: ManagedProcess) -> Path:
        """Return the folder that serves as the disk of a process."""
        return self.disk_folder_of(process.name)

    def disk_folder_of(self, name: str) -> Path:
        """Return the folder that serves as the disk of the process of this name."""
        return self.folder / name

    def disk_file(self, process: ManagedProcess, name: str) -> Path:
        """Return the path of a file on the disk of a process. Raises ScenarioError if it is elsewhere."""
        path = (self.disk_folder(process) / name).resolve()
        if self.disk_folder(process).resolve() not in path.parents:
            raise scenarios.ScenarioError(f"{name!r} is not on the disk of {process.name}")
        return path

    # Faults of processes

    async def start_gateway(self, process: ManagedProcess) -> None:
        """Start any process of the world, not only gateways, and update the links to it."""
        if process is self.grantor:
            await process.start()
            await self.wait_for(
                process, f"http://{process.addresses['listen']}/status", lambda response: True
            )
        elif process in self.gateways:
            await super().start_gateway(process)
        else:
            old_addresses = dict(process.addresses)
            await process.start(reports_addresses=process is not self.registry)
            self.update_links(process, old_addresses)

    def update_links(self, process: ManagedProcess, old_addresses: dict[str, str]) -> None:
        """Point links at the new address of a process that chose another port at its restart."""
        if process.addresses != old_addresses and "listen" in process.addresses:
            self.network.retarget(process.name, split_address(process.addresses["listen"]))

    async def kill(self, process: ManagedProcess) -> None:
        """Kill a process, also one that is being slowed."""
        self.stop_slowing(process.name)
        await process.kill()

    async def start_again(self, processes: Sequence[ManagedProcess], disk: bool) -> None:
        """Start processes that are not running, without `disk` after deleting their files."""
        for process in processes:
            if process.is_running:
                raise scenarios.ScenarioError(f"{process.name} is already running")
            if not disk:
                shutil.rmtree(self.disk_folder(process), ignore_errors=True)
                self.disk_folder(process).mkdir()
            self.disturbed.add(process.name)
        await self.start_gateways(processes)

    def pause(self, process: ManagedProcess) -> None:
        """Stop a process with SIGSTOP."""
        self.disturbed.add(process.name)
        process.send_signal(signal.SIGSTOP)

    def resume(self, process: ManagedProcess) -> None:
        """Continue a process with SIGCONT."""
        process.send_signal(signal.SIGCONT)

    def slow(self, process: ManagedProcess, fraction: float) -> None:
        """Let a process run for only a fraction of the time. A fraction of 1 ends the slowdown."""
        self.stop_slowing(process.name)
        if fraction < 1:
            self.disturbed.add(process.name)
            self.slow_tasks[process.name] = asyncio.create_task(self.throttle(process, fraction))

    async def throttle(self, process: ManagedProcess, fraction: float) -> None:
        """Stop and continue a process periodically."""
        try:
            while process.is_running:
                process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(SLOW_PERIOD_S * (1 - fraction))
                process.send_signal(signal.SIGCONT)
                await asyncio.sleep(SLOW_PERIOD_S * fraction)
        finally:
            process.send_signal(signal.SIGCONT)

    def stop_slowing(self, name: str) -> None:
        """End the slowdown of a process, if any."""
        task = self.slow_tasks.pop(name, None)
        if task is not None:
            task.cancel()

    # Faults of links

    def cut_links(self, process: ManagedProcess, directions: str) -> None:
        """Cut the links of a process in the directions "from" or "to" it, or "both"."""
        for sender, to in list(self.network.one_way_links):
            if (sender == process.name and directions != "to") or (
                to == process.name and directions != "from"
            ):
                self.network.one_way_links[sender, to].impair(Impairment(cut=True))

    def impair_links(self, process: ManagedProcess, impairment: Impairment) -> None:
        """Impair all links of a process in both directions."""
        for pair, link in self.network.one_way_links.items():
            if process.name in pair:
                link.impair(impairment)

    def heal_links(self, process: ManagedProcess) -> None:
        """Remove the impairments of all links of a process."""
        self.impair_links(process, NO_IMPAIRMENT)

    # Faults of disks

    def limit_file_size(self, process: ManagedProcess, max_bytes: int) -> None:
        """Limit the size of the files that a running process writes. -1 removes the limit."""
        if process.process is not None and process.is_running:
            hard = resource.prlimit(process.process.pid, resource.RLIMIT_FSIZE)[1]
            resource.prlimit(process.process.pid, resource.RLIMIT_FSIZE, (max_bytes, hard))

    def set_read_only(self, process: ManagedProcess, on: bool) -> None:
        """Make the files and folders of a process read-only, or writable again.

        Files that are already open can still be written, but no file can be created or opened for writing.
        """
        for path in (*self.disk_folder(process).rglob("*"), self.disk_folder(process)):
            path.chmod((0o555 if path.is_dir() else 0o444) if on else (0o755 if path.is_dir() else 0o644))

    def truncate_file(self, process: ManagedProcess, name: str, fraction: float, byte: int | None) -> int:
        """Truncate a file at a fraction of its length, or at `byte`, and return its new length in bytes."""
        if process.is_running:
            raise scenarios.ScenarioError(
                f"{process.name} is still running: stop it before truncating its files"
            )
        path = self.disk_file(process, name)
        with contextlib.suppress(FileNotFoundError):
            length = int(path.stat().st_size * fraction) if byte is None else byte
            os.truncate(path, length)
            return length
        raise scenarios.ScenarioError(f"{process.name} has no file {name!r}")

    # Budgets

    def prepare_budgets(self) -> None:
        """Create the grantor and the meter, and the disk folders of grantor and holders."""
        self.budgets_address = f"{LOOPBACK}:{free_port()}"
        self.grantor = self.make_process(
            "grantor", "api_gateway.budgets", env={"BUDGETS_CONFIG": str(self.folder / "budgets.json")}
        )
        self.grantor.addresses = {"listen": self.budgets_address}
        budgets_file = str(self.folder / "budgets.json")
        self.meter = self.make_process("meter", "api_gateway.experiments.budgets.meter", budgets_file)
        for name in ("grantor", *(f"holder-{n}" for n in range(self.spec.holders))):
            (self.folder / name).mkdir(exist_ok=True)

    async def start_budgets(self) -> None:
        """Start the grantor, the meter and the holders.

        Per holder, the level has four units beside the reserve, and the rate four units per second.
        """
        assert self.grantor is not None and self.meter is not None
        holder_count = self.spec.holders
        budgets = [
            {
                "name": "connections",
                "kind": "level",
                "whole": 5 * holder_count,
                "reserve": holder_count,
                "least": 1,
                "linger": MAX_WORK_S + IDLE_TIMEOUT_S + 0.2,
            },
            {
                "name": "connects",
                "kind": "rate",
                "whole": 4 * holder_count,
                "reserve": holder_count,
                "least": 0.5,
                "burst": 3 * holder_count,
            },
        ]
        terms = {"most": holder_count, "length": 2.0, "every": 0.25, "drift": 0.03, "budgets": budgets}
        log = {"log": str(self.disk_folder(self.grantor) / "budgets.db")} if self.spec.log else {}
        write_json(self.folder / "budgets.json", {"listen": self.budgets_address, "terms": terms, **log})
        await asyncio.gather(self.start_gateway(self.grantor), self.start_gateway(self.meter))
        for number in range(holder_count):
            name = f"holder-{number}"
            grantor_address = await self.network.add_stream_link(
                name, "grantor", split_address(self.budgets_address)
            )
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
                    grantor_address,
                    "--meter",
                    self.meter.addresses["listen"],
                    "--folder",
                    str(self.disk_folder_of(name)),
                    "--pace",
                    str(CLOCK_RATES[number % len(CLOCK_RATES)]),
                )
            )
        await self.start_gateways(self.holders)

    # Observed state

    async def status(self, process: ManagedProcess) -> Any:
        """Return the reply to GET /status, or None if the process is not running."""
        addresses = {"listen": self.registry_address} if process is self.registry else process.addresses
        address = addresses.get("control") or addresses["listen"]
        return await self.request_json(f"http://{address}/status") if process.is_running else None

    async def member_states(self, process: ManagedProcess) -> dict[str, str] | None:
        """Return the member states by name as this gateway sees them, or None if it is not running."""
        response = (
            await self.request_json(f"http://{process.addresses['control']}/members")
            if process.is_running
            else None
        )
        return {row["name"]: row["state"] for row in response["members"]} if response else None

    def count_in_log(self, process: ManagedProcess, text: str) -> int:
        """Return how often the text occurs in the log of a process."""
        return process.log_path.read_text(errors="replace").count(text) if process.log_path.exists() else 0


def write_json(path: Path, value: Any) -> None:
    """Write a value to a file as JSON."""
    path.write_text(json.dumps(value))
