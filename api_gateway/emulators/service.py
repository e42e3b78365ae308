"""Common parts of the stand-ins: the listener, faults that can be set at run time, and the main loop."""

from __future__ import annotations

import asyncio
import json
import random
import signal
from collections.abc import Callable
from dataclasses import asdict, dataclass, fields, replace
from typing import Any

from aiohttp import web


@dataclass(frozen=True, slots=True)
class Faults:
    """The faults that a stand-in injects.

    Field names are also the JSON keys of /status and the query parameters of /faults.

    Attributes:
        delay: Additional seconds before each reply.
        silent: Fraction of commands, from 0 to 1, that get no reply.
        busy: Fraction that is rejected as overload.
        error: Fraction that fails.
        reset: Fraction whose connection is closed instead of a reply.
    """

    delay: float = 0.0
    silent: float = 0.0
    busy: float = 0.0
    error: float = 0.0
    reset: float = 0.0

    def updated(self, query: dict[str, str]) -> Faults:
        """Return the faults with the values of a query.

        Raises:
            ValueError: A fault does not exist, or its value is out of range; the text names both.
        """
        fault_names = {field.name for field in fields(self)}
        values = {}
        for name, text in query.items():
            maximum = 3600.0 if name == "delay" else 1.0
            if name not in fault_names:
                raise ValueError(f"no such fault: {name}; there are {', '.join(sorted(fault_names))}")
            try:
                values[name] = float(text)
            except ValueError:
                values[name] = -1.0
            if not 0 <= values[name] <= maximum:
                raise ValueError(f"{name} is {text!r}, not a number from 0 to {maximum:g}")
        return replace(self, **values)


class StandIn:
    """A server that emulates another system.

    Attributes:
        faults: The faults to inject; may be replaced at any time.
        random: Source of randomness for faults and times of work.
        port: The port on which it listens; 0 before `open`.
    """

    def __init__(self, seed: int = 0) -> None:
        """Create a stand-in without faults that is not listening yet."""
        self.faults, self.random, self.port = Faults(), random.Random(seed), 0

    def should_inject(self, fraction: float) -> bool:
        """Return, at random, whether a fault that affects this fraction of commands affects this one."""
        return fraction > 0 and self.random.random() < fraction

    def set_faults(self, faults: Faults) -> None:
        """Replace the faults."""
        self.faults = faults

    def status(self) -> dict[str, Any]:
        """Return what GET /status reports beside the faults."""
        return {}

    async def open(self, host: str, port: int) -> None:
        """Start listening; port 0 selects a free port."""
        raise NotImplementedError

    async def __aenter__(self) -> Any:
        """Start listening on a free port of the loopback address."""
        await self.open("127.0.0.1", 0)
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop listening."""
        raise NotImplementedError


class StreamStandIn(StandIn):
    """A stand-in with its own protocol over TCP connections.

    Attributes:
        writers: The open connections, in order of their arrival.
    """

    def __init__(self, seed: int = 0) -> None:
        """Create a stand-in without connections that is not listening yet."""
        super().__init__(seed)
        self.writers: list[asyncio.StreamWriter] = []

    async def open(self, host: str, port: int) -> None:
        """Start listening; port 0 selects a free port."""
        self.server = await asyncio.start_server(self.handle_connection, host, port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection and close it, also where the client resets it."""
        self.writers.append(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.remove(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends; on return it is closed."""
        raise NotImplementedError

    async def __aexit__(self, *_: object) -> None:
        """Stop listening and close all connections."""
        self.server.close()
        for writer in self.writers:
            writer.close()


class ControlServer:
    """The control address of a stand-in: `GET /status`, `POST /faults?silent=1&delay=0.2`."""

    def __init__(self, stand_in: StandIn) -> None:
        """Create a control server for a stand-in; it is not listening yet."""
        self.stand_in = stand_in

    async def open(self, host: str, port: int) -> int:
        """Start listening and return the port; port 0 selects a free port."""
        app = web.Application()
        app.router.add_get("/status", self.handle_status)
        app.router.add_post("/faults", self.handle_faults)
        self.runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self.runner.setup()
        site = web.TCPSite(self.runner, host, port)
        await site.start()
        return self.runner.addresses[0][1]

    async def handle_status(self, request: web.Request) -> web.Response:
        """Answer with the faults and the status of the stand-in."""
        stand_in = self.stand_in
        return web.json_response({"faults": asdict(stand_in.faults), **stand_in.status()})

    async def handle_faults(self, request: web.Request) -> web.Response:
        """Set the faults of the query and answer as /status does; status 400 for invalid faults."""
        try:
            self.stand_in.set_faults(self.stand_in.faults.updated(dict(request.query)))
        except ValueError as err:
            return web.json_response({"error": str(err)}, status=400)
        return await self.handle_status(request)

    async def close(self) -> None:
        """Stop listening."""
        await self.runner.cleanup()


async def run(
    stand_in: StandIn,
    listen: tuple[str, int],
    control: tuple[str, int],
    background: Callable[[], Any] | None = None,
) -> None:
    """Run a stand-in until SIGTERM or SIGINT; first print {"listen": ..., "control": ...} as a line of JSON.

    Args:
        stand_in: What to run.
        listen: Host and port of its protocol.
        control: Host and port of its control server.
        background: Makes a coroutine that runs as long as the stand-in.
    """
    stop_requested, loop = asyncio.Event(), asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    control_server = ControlServer(stand_in)
    await stand_in.open(*listen)
    port = await control_server.open(*control)
    addresses = {"listen": f"{listen[0]}:{stand_in.port}", "control": f"{control[0]}:{port}"}
    print(json.dumps(addresses), flush=True)
    task = asyncio.create_task(background()) if background else None
    await stop_requested.wait()
    if task is not None:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
    await control_server.close()
    await stand_in.__aexit__()
