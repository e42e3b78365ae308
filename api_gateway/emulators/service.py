"""What the stand-ins share: a listener, faults that can be switched while they run, and their process."""

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
    """Which faults are on. Shares of commands are from 0 to 1, times in seconds."""

    delay: float = 0.0  # s more before each answer
    silent: float = 0.0  # share that gets no answer
    busy: float = 0.0  # share that is turned away
    error: float = 0.0  # share that fails
    reset: float = 0.0  # share whose connection breaks

    def changed(self, told: dict[str, str]) -> Faults:
        """Raises ValueError that names the fault and what it may be."""
        named = {field.name for field in fields(self)}
        values = {}
        for name, text in told.items():
            most = 3600.0 if name == "delay" else 1.0
            if name not in named:
                raise ValueError(f"no such fault: {name}; there are {', '.join(sorted(named))}")
            try:
                values[name] = float(text)
            except ValueError:
                values[name] = -1.0
            if not 0 <= values[name] <= most:
                raise ValueError(f"{name} is {text!r}, not a number from 0 to {most:g}")
        return replace(self, **values)


class StandIn:
    """Something that listens on TCP of this machine. `faults` may be replaced at any time."""

    def __init__(self, seed: int = 0) -> None:
        self.faults, self.random, self.port = Faults(), random.Random(seed), 0

    def struck(self, share: float) -> bool:
        return share > 0 and self.random.random() < share

    def switch(self, faults: Faults) -> None:
        self.faults = faults

    def status(self) -> dict[str, Any]:
        return {}

    async def open(self, host: str, port: int) -> None:
        raise NotImplementedError

    async def __aenter__(self) -> Any:
        await self.open("127.0.0.1", 0)
        return self

    async def __aexit__(self, *_: object) -> None:
        raise NotImplementedError


class Served(StandIn):
    """One that speaks a protocol of its own on each connection."""

    def __init__(self, seed: int = 0) -> None:
        super().__init__(seed)
        self.writers: list[asyncio.StreamWriter] = []

    async def open(self, host: str, port: int) -> None:
        self.server = await asyncio.start_server(self.joined, host, port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def joined(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.remove(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    async def __aexit__(self, *_: object) -> None:
        self.server.close()
        for writer in self.writers:
            writer.close()


class Calls:
    """The second address of a stand-in: `GET /status`, `POST /faults?silent=1&delay=0.2`."""

    def __init__(self, stand_in: StandIn) -> None:
        self.stand_in = stand_in

    async def open(self, host: str, port: int) -> int:
        app = web.Application()
        app.router.add_get("/status", self.status)
        app.router.add_post("/faults", self.fault)
        self.runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self.runner.setup()
        site = web.TCPSite(self.runner, host, port)
        await site.start()
        return self.runner.addresses[0][1]

    async def status(self, request: web.Request) -> web.Response:
        stand_in = self.stand_in
        return web.json_response({"faults": asdict(stand_in.faults), **stand_in.status()})

    async def fault(self, request: web.Request) -> web.Response:
        try:
            self.stand_in.switch(self.stand_in.faults.changed(dict(request.query)))
        except ValueError as err:
            return web.json_response({"error": str(err)}, status=400)
        return await self.status(request)

    async def close(self) -> None:
        await self.runner.cleanup()


async def run(
    stand_in: StandIn,
    listen: tuple[str, int],
    control: tuple[str, int],
    beside: Callable[[], Any] | None = None,
) -> None:
    """Until SIGTERM or SIGINT. The first line printed is {"listen": ..., "control": ...}, as JSON; `beside`
    makes a task that lives as long."""
    told, loop = asyncio.Event(), asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, told.set)
    calls = Calls(stand_in)
    await stand_in.open(*listen)
    port = await calls.open(*control)
    told_of = {"listen": f"{listen[0]}:{stand_in.port}", "control": f"{control[0]}:{port}"}
    print(json.dumps(told_of), flush=True)
    task = asyncio.create_task(beside()) if beside else None
    await told.wait()
    if task is not None:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
    await calls.close()
    await stand_in.__aexit__()
