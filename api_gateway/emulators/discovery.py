"""A stand-in for discovery: serves an endpoint list that the test or experiment sets."""

from __future__ import annotations

import asyncio
from collections import deque
from contextlib import suppress
from typing import Any

from aiohttp import web

from api_gateway.emulators.service import StandIn

MAX_CHANGES = 1000  # kept for watches; also the number of recorded calls
Entry = dict[str, Any]  # of an endpoint list, in discovery's format


class Discovery(StandIn):
    """Serves an endpoint list and its changes.

    Attributes:
        servers: The entries of the list.
        version: The version of the list.
        raw: A body that answers the next call instead of the list; None for the list.
        silent: Whether calls are never answered.
        refuses: Whether calls are answered with status 503.
        calls: The queries of calls that `call` has not returned yet.
        call_arrived: Set when a call arrives.
        changed: Set, and replaced, when watches must check for changes.
        change_log: The last changes, each with its version.
        empty_wakeups: Number of watches that are yet to end without a change.
    """

    def __init__(self, seed: int = 0) -> None:
        """Create an empty list; `seed` determines which calls faults affect."""
        super().__init__(seed)
        self.servers: list[Entry] = []
        self.version, self.raw, self.silent, self.refuses = 1, None, False, False
        self.calls: deque[dict[str, str]] = deque(maxlen=MAX_CHANGES)
        self.call_arrived, self.changed = asyncio.Event(), asyncio.Event()
        self.change_log: deque[tuple[int, list[Entry]]] = deque(maxlen=MAX_CHANGES)
        self.empty_wakeups = 0

    def change(self, entries: list[Entry]) -> None:
        """Apply changed entries and end all watches; without entries, end one watch without a change."""
        if entries:
            self.version += 1
            self.change_log.append((self.version, entries))
            servers_by_id = {entry["id"]: entry for entry in (*self.servers, *entries)}
            self.servers = [entry for entry in servers_by_id.values() if entry["state"] != "removed"]
        else:
            self.empty_wakeups += 1
        self.changed.set()
        self.changed = asyncio.Event()

    async def call(self) -> dict[str, str]:
        """Wait for the next call and return its query; calls are returned in order of arrival."""
        while not self.calls:
            self.call_arrived.clear()
            await self.call_arrived.wait()
        return self.calls.popleft()

    async def watch(self, index: int, wait: float) -> list[Entry]:
        """Wait for changes after version `index` and return them; empty after `wait` seconds."""
        with suppress(TimeoutError):
            async with asyncio.timeout(wait):
                while not self.changes_since(index) and not self.empty_wakeups:
                    await self.changed.wait()
        # The reply reports the current version, so it must include a change that arrives in the same
        # event loop iteration as the timeout.
        changes = self.changes_since(index)
        if not changes and self.empty_wakeups:
            self.empty_wakeups -= 1
        return changes

    def changes_since(self, index: int) -> list[Entry]:
        """Return the entries that changed after version `index`."""
        return [entry for version, entries in self.change_log if version > index for entry in entries]

    async def answer(self, request: web.Request) -> web.Response:
        """Answer a request for the list, or for its changes where the query has an index."""
        self.calls.append(dict(request.query))
        self.call_arrived.set()
        if self.faults.delay:
            await asyncio.sleep(self.faults.delay)
        if self.silent or self.should_inject(self.faults.silent):
            await asyncio.Event().wait()
        if self.refuses or self.should_inject(self.faults.busy):
            return web.Response(status=503)
        if self.should_inject(self.faults.error):
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
        """Return the version of the list and the state of each entry."""
        return {"version": self.version, "hosts": {entry["id"]: entry["state"] for entry in self.servers}}

    async def open(self, host: str, port: int) -> None:
        """Start listening; port 0 selects a free port."""
        app = web.Application()
        app.router.add_get("/v1/endpoints", self.answer)
        self.runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self.runner.setup()
        site = web.TCPSite(self.runner, host, port)
        await site.start()
        self.port = self.runner.addresses[0][1]

    async def __aexit__(self, *_: object) -> None:
        """Stop listening and end the open calls."""
        await self.runner.cleanup()
