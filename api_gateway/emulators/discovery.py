"""Discovery by its protocol, from a list that is told to it."""

from __future__ import annotations

import asyncio
from collections import deque
from contextlib import suppress
from typing import Any

from aiohttp import web

from api_gateway.emulators.service import StandIn

MOST_CHANGES = 1000  # that are remembered for watches
Entry = dict[str, Any]  # of a list, in the protocol's form


class Discovery(StandIn):
    """Serves `raw` once where it is set, else the list. `silent`: it never answers; `refuses`: 503."""

    def __init__(self, seed: int = 0) -> None:
        super().__init__(seed)
        self.servers: list[Entry] = []
        self.version, self.raw, self.silent, self.refuses = 1, None, False, False
        self.calls: deque[dict[str, str]] = deque(maxlen=MOST_CHANGES)
        self.called, self.woken = asyncio.Event(), asyncio.Event()
        self.log: deque[tuple[int, list[Entry]]] = deque(maxlen=MOST_CHANGES)
        self.nudges = 0  # watches that are to end with nothing new

    def change(self, entries: list[Entry]) -> None:
        """Ends the watches; without entries, one of them, and with nothing new."""
        if entries:
            self.version += 1
            self.log.append((self.version, entries))
            listed = {entry["id"]: entry for entry in (*self.servers, *entries)}
            self.servers = [entry for entry in listed.values() if entry["state"] != "removed"]
        else:
            self.nudges += 1
        self.woken.set()
        self.woken = asyncio.Event()

    async def call(self) -> dict[str, str]:
        """The query of the next call that has come, in their order."""
        while not self.calls:
            self.called.clear()
            await self.called.wait()
        return self.calls.popleft()

    async def watch(self, index: int, wait: float) -> list[Entry]:
        """What is newer than `index`; nothing after `wait` seconds."""
        with suppress(TimeoutError):
            async with asyncio.timeout(wait):
                while not self.newer(index) and not self.nudges:
                    await self.woken.wait()
        newer = self.newer(index)  # also what came in the turn of the time's end: the version told counts it
        if not newer and self.nudges:
            self.nudges -= 1
        return newer

    def newer(self, index: int) -> list[Entry]:
        return [entry for version, entries in self.log if version > index for entry in entries]

    async def answer(self, request: web.Request) -> web.Response:
        self.calls.append(dict(request.query))
        self.called.set()
        if self.faults.delay:
            await asyncio.sleep(self.faults.delay)
        if self.silent or self.struck(self.faults.silent):
            await asyncio.Event().wait()
        if self.refuses or self.struck(self.faults.busy):
            return web.Response(status=503)
        if self.struck(self.faults.error):
            return web.Response(text='{"version":')
        if self.raw is not None:
            raw, self.raw = self.raw, None
            return web.Response(text=raw)
        full = "index" not in request.query
        servers = (
            self.servers
            if full
            else await self.watch(int(request.query["index"]), int(request.query["wait"]) / 1000)
        )
        return web.json_response({"version": self.version, "full": full, "servers": servers})

    def status(self) -> dict[str, Any]:
        return {"version": self.version, "hosts": {entry["id"]: entry["state"] for entry in self.servers}}

    async def open(self, host: str, port: int) -> None:
        app = web.Application()
        app.router.add_get("/v1/endpoints", self.answer)
        self.runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self.runner.setup()
        site = web.TCPSite(self.runner, host, port)
        await site.start()
        self.port = self.runner.addresses[0][1]

    async def __aexit__(self, *_: object) -> None:
        await self.runner.cleanup()
