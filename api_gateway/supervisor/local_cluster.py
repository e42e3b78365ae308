"""A deployment on this machine: a list service, a counter, endpoints and gateways."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from types import MappingProxyType
from typing import Any

import aiohttp

from api_gateway.emulators.site import BASE, Json, config
from api_gateway.supervisor.errors import StartError
from api_gateway.supervisor.ports import LOOPBACK, free_port
from api_gateway.supervisor.process import NO_ENVIRONMENT, READY_TIMEOUT_S, ManagedProcess
from api_gateway.supervisor.sample_deployment import CLASSES, PLANS, ZONES

MAX_CONCURRENT_STARTS = 16
POLL_INTERVAL_S = 0.05  # between two requests while a process comes up
REQUEST_TIMEOUT_S = 1.0
QUEUE_PER_SLOT = 16  # commands that wait at an endpoint for each that it works on
DEFAULT_EXTRA_KEYS: Mapping[str, Any] = MappingProxyType({"edge": {}})


class LocalCluster:
    """Processes on the loopback address, which end with this one.

    Attributes:
        registry: The list service.
        counter: The emulated counter.
        hosts: The emulated endpoints.
        gateways: The gateways.
        config_files: JSON documents that are written to the folder before the start, by name.
    """

    def __init__(
        self,
        folder: Path,
        gateways: int,
        hosts: int,
        work: float = 0.02,
        slots: int = 4,
        plans: Sequence[Json] = PLANS,
        extra_keys: Mapping[str, Any] = DEFAULT_EXTRA_KEYS,
    ) -> None:
        """Starts nothing yet.

        Args:
            folder: Of configurations and logs.
            gateways: How many.
            hosts: How many endpoints.
            work: Seconds that an endpoint takes for a command.
            slots: Commands that it works on at once.
            plans: The customers' plans.
            extra_keys: Further keys of each gateway's configuration.
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
        self.hosts = [self.make_endpoint(number, work, slots) for number in range(hosts)]
        self.gateways = [self.make_gateway(number) for number in range(gateways)]
        self.session: Any = None

    def make_process(
        self, name: str, module: str, *args: str, env: Mapping[str, str] = NO_ENVIRONMENT
    ) -> ManagedProcess:
        """Returns a process of the program, not started yet."""
        return ManagedProcess(name, self.folder, module, *args, env=env)

    def make_emulator(self, name: str, kind: str, *args: str) -> ManagedProcess:
        """Returns an emulator of that kind, not started yet."""
        return self.make_process(name, "api_gateway.cli", "standin", kind, *args)

    def make_endpoint(self, number: int, work: float, slots: int) -> ManagedProcess:
        """Returns an endpoint that registers itself, not started yet."""
        name = f"host-{number}"
        options = {
            "--name": name,
            "--zone": ZONES[number % len(ZONES)],
            "--work": str(work),
            "--slots": str(slots),
            "--room": str(QUEUE_PER_SLOT * slots),
            "--register": self.registry_address,
            "--seed": str(number),
        }
        arguments = [part for option in options.items() for part in option]
        return self.make_emulator(name, "host", *arguments)

    def make_gateway(self, number: int) -> ManagedProcess:
        """Returns a gateway with two addresses, not started yet."""
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
        """Returns all processes, those that others need first."""
        return [self.registry, self.counter, *self.hosts, *self.gateways]

    async def start(self) -> None:
        """Starts all processes and waits until they are ready.

        Raises:
            StartError: One did not come up.
        """
        servers = await self.start_dependencies()
        for number, gateway in enumerate(self.gateways):
            document = self.gateway_config(number, gateway, servers)
            (self.folder / f"{gateway.name}.json").write_text(json.dumps(document))
        await self.start_gateways(self.gateways)

    async def start_dependencies(self) -> list[Json]:
        """Starts what gateways depend on; returns the endpoints in discovery's form.

        Raises:
            StartError: One did not come up.
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
        """Makes the HTTP session, which `stop` closes."""
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S))

    def gateway_config(self, number: int, gateway: ManagedProcess, servers: list[Json]) -> Json:
        """Returns the configuration of a gateway."""
        settings = BASE | {
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
        own_keys = {"seed": f"{number + 1:x}", "control": gateway.addresses["control"]}
        return document | own_keys | dict(self.extra_keys)

    async def start_gateways(self, gateways: Sequence[ManagedProcess]) -> None:
        """Starts gateways some at a time, so that each has its time to come up.

        Raises:
            StartError: One did not come up.
        """
        limit = asyncio.Semaphore(MAX_CONCURRENT_STARTS)

        async def start_in_turn(gateway: ManagedProcess) -> None:
            async with limit:
                await self.start_gateway(gateway)

        await asyncio.gather(*(start_in_turn(gateway) for gateway in gateways))

    async def start_gateway(self, gateway: ManagedProcess) -> None:
        """Starts one gateway and waits until it is ready.

        Raises:
            StartError: It did not come up.
        """
        await gateway.start()
        url = f"http://{gateway.addresses['control']}/status"
        await self.wait_for(gateway, url, lambda status: status["ready"])

    async def wait_for(self, process: ManagedProcess, url: str, is_expected: Callable[[Any], bool]) -> Any:
        """Returns the JSON at `url` once it is as expected.

        Raises:
            StartError: The process ended, or it took too long.
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
        """Returns the JSON at `url`; None where the answer is not a 200."""
        try:
            async with self.session.request(method, url) as response:
                return await response.json() if response.status == 200 else None
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return None

    async def set_counter_silent(self, on: bool) -> None:
        """Lets the counter keep silent, or answer again."""
        url = f"http://{self.counter.addresses['control']}/faults?silent={int(on)}"
        await self.request_json(url, "POST")

    def unexpected_exits(self) -> list[str]:
        """Returns the names of processes that ended by themselves."""
        return [
            process.name for process in self.all_processes() if process.should_run and not process.is_running
        ]

    async def stop(self) -> None:
        """Ends all processes: gateways first, while what they need is still there."""
        await asyncio.gather(*(gateway.stop() for gateway in self.gateways))
        await asyncio.gather(*(process.stop() for process in (*self.hosts, self.counter)))
        await self.registry.stop()
        if self.session is not None:
            await self.session.close()
