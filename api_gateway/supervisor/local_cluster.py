"""A cluster on this machine: a list service, a counter, hosts and gateways."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from types import MappingProxyType
from typing import Any

import aiohttp

from api_gateway.emulators.site import BASE_SETTINGS, Json, config
from api_gateway.supervisor.errors import StartError
from api_gateway.supervisor.ports import LOOPBACK, free_port
from api_gateway.supervisor.process import NO_ENVIRONMENT, READY_TIMEOUT_S, ManagedProcess
from api_gateway.supervisor.sample_deployment import CLASSES, PLANS, ZONES

MAX_CONCURRENT_STARTS = 16
POLL_INTERVAL_S = 0.05  # between requests that check whether a process is ready
REQUEST_TIMEOUT_S = 1.0
QUEUE_PER_SLOT = 16  # queued commands per slot of a host
DEFAULT_EXTRA_KEYS: Mapping[str, Any] = MappingProxyType({"edge": {}})


class LocalCluster:
    """The processes of a cluster, which listen on the loopback address and end when this process ends.

    Attributes:
        registry: The list service.
        counter: The emulated counter.
        hosts: The emulated hosts.
        gateways: The gateways.
        config_files: JSON documents by file name, written to the folder before the start.
    """

    def __init__(
        self,
        folder: Path,
        gateways: int,
        hosts: int,
        work_s: float = 0.02,
        slots: int = 4,
        plans: Sequence[Json] = PLANS,
        extra_keys: Mapping[str, Any] = DEFAULT_EXTRA_KEYS,
    ) -> None:
        """Prepare the processes; none is started yet.

        Args:
            folder: Folder of configurations and logs.
            gateways: Number of gateways.
            hosts: Number of hosts.
            work_s: Mean seconds of work of a host per command.
            slots: Number of commands that a host works on at once.
            plans: The customers' plans.
            extra_keys: Additional keys of each gateway's configuration.
        """
        self.folder = folder
        self.plans = plans
        self.extra_keys = extra_keys
        self.registry_address = f"{LOOPBACK}:{free_port()}"
        self.config_files = {"registry.json": {"listen": self.registry_address, "learn_ms": 0}}
        self.registry = self.make_process(
            "registry", "api_gateway.registry", env={"REGISTRY_CONFIG": str(folder / "registry.json")}
        )
        self.counter = self.make_emulator("counter", "counter")
        self.hosts = [self.make_host(number, work_s, slots) for number in range(hosts)]
        self.gateways = [self.make_gateway(number) for number in range(gateways)]
        self.session: Any = None

    def make_process(
        self, name: str, module: str, *args: str, env: Mapping[str, str] = NO_ENVIRONMENT
    ) -> ManagedProcess:
        """Return a process of the program, not started yet."""
        return ManagedProcess(name, self.folder, module, *args, env=env)

    def make_emulator(self, name: str, kind: str, *args: str) -> ManagedProcess:
        """Return a stand-in of a kind such as "host" or "counter", not started yet."""
        return self.make_process(name, "api_gateway.cli", "standin", kind, *args)

    def make_host(self, number: int, work_s: float, slots: int) -> ManagedProcess:
        """Return a host that registers itself with the list service, not started yet."""
        name = f"host-{number}"
        options = {
            "--name": name,
            "--zone": ZONES[number % len(ZONES)],
            "--work": str(work_s),
            "--slots": str(slots),
            "--room": str(QUEUE_PER_SLOT * slots),
            "--register": self.registry_address,
            "--seed": str(number),
        }
        arguments = [part for option in options.items() for part in option]
        return self.make_emulator(name, "host", *arguments)

    def make_gateway(self, number: int) -> ManagedProcess:
        """Return a gateway with a client address and a control address, not started yet."""
        name = f"gateway-{number}"
        folder = self.folder / name
        folder.mkdir(exist_ok=True)
        gateway = self.make_process(
            name,
            "api_gateway.gateway",
            env={"RELAY_CONFIG": str(self.folder / f"{name}.json"), "TMPDIR": str(folder)},
        )
        gateway.addresses = {
            "listen": f"{LOOPBACK}:{free_port()}",
            "control": f"{LOOPBACK}:{free_port()}",
        }
        return gateway

    def all_processes(self) -> list[ManagedProcess]:
        """Return all processes; each comes after those that it depends on."""
        return [self.registry, self.counter, *self.hosts, *self.gateways]

    async def start(self) -> None:
        """Start all processes and wait until they are ready.

        Raises:
            StartError: A process did not start.
        """
        servers = await self.start_dependencies()
        for number, gateway in enumerate(self.gateways):
            document = self.gateway_config(number, gateway, servers)
            (self.folder / f"{gateway.name}.json").write_text(json.dumps(document))
        await self.start_gateways(self.gateways)

    async def start_dependencies(self) -> list[Json]:
        """Start the processes that gateways depend on and return the endpoint list in discovery's format.

        Raises:
            StartError: A process did not start.
        """
        self.open_session()
        for name, document in self.config_files.items():
            (self.folder / name).write_text(json.dumps(document))
        await asyncio.gather(
            self.registry.start(),
            self.counter.start(reports_addresses=True),
            *(host.start(reports_addresses=True) for host in self.hosts),
        )
        listing = await self.wait_for(
            self.registry,
            f"http://{self.registry_address}/v1/endpoints",
            lambda document: len(document["servers"]) == len(self.hosts),
        )
        servers: list[Json] = listing["servers"]
        return servers

    def open_session(self) -> None:
        """Create the HTTP session, which `stop` closes."""
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S))

    def gateway_config(self, number: int, gateway: ManagedProcess, servers: list[Json]) -> Json:
        """Return the configuration of a gateway."""
        settings = BASE_SETTINGS | {
            "services": CLASSES,
            "plans": list(self.plans),
            "index": number,
            "group_size": len(self.gateways),
            "locality": ZONES[number % len(ZONES)],
        }
        document = config(
            servers,
            self.registry_address,
            self.counter.addresses["listen"],
            settings,
            gateway.name,
            gateway.addresses["listen"],
        )
        instance_keys = {"seed": f"{number + 1:x}", "control": gateway.addresses["control"]}
        return document | instance_keys | dict(self.extra_keys)

    async def start_gateways(self, gateways: Sequence[ManagedProcess]) -> None:
        """Start gateways, at most MAX_CONCURRENT_STARTS at a time so that each becomes ready in time.

        Raises:
            StartError: A gateway did not start.
        """
        limit = asyncio.Semaphore(MAX_CONCURRENT_STARTS)

        async def start_with_limit(gateway: ManagedProcess) -> None:
            async with limit:
                await self.start_gateway(gateway)

        await asyncio.gather(*(start_with_limit(gateway) for gateway in gateways))

    async def start_gateway(self, gateway: ManagedProcess) -> None:
        """Start one gateway and wait until it is ready.

        Raises:
            StartError: The gateway did not start.
        """
        await gateway.start()
        url = f"http://{gateway.addresses['control']}/status"
        await self.wait_for(gateway, url, lambda status: status["ready"])

    async def wait_for(self, process: ManagedProcess, url: str, is_expected: Callable[[Any], bool]) -> Any:
        """Poll `url` until its JSON is as expected, and return it.

        Raises:
            StartError: The process ended, or READY_TIMEOUT_S passed.
        """
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                while process.is_running:
                    document = await self.request_json(url)
                    if document is not None and is_expected(document):
                        return document
                    await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError:
            pass
        raise StartError(process.last_log_line())

    async def request_json(self, url: str, method: str = "GET") -> Any:
        """Return the JSON at `url`; None if the request fails or the status is not 200."""
        try:
            async with self.session.request(method, url) as response:
                return await response.json() if response.status == 200 else None
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return None

    async def set_counter_silent(self, silent: bool) -> None:
        """Set whether the counter withholds its replies."""
        url = f"http://{self.counter.addresses['control']}/faults?silent={int(silent)}"
        await self.request_json(url, "POST")

    def unexpected_exits(self) -> list[str]:
        """Return the names of processes that ended without being stopped."""
        return [
            process.name for process in self.all_processes() if process.should_run and not process.is_running
        ]

    async def stop(self) -> None:
        """Stop all processes, gateways first, because they depend on the others while they shut down."""
        await asyncio.gather(*(gateway.stop() for gateway in self.gateways))
        await asyncio.gather(*(process.stop() for process in (*self.hosts, self.counter)))
        await self.registry.stop()
        if self.session is not None:
            await self.session.close()
