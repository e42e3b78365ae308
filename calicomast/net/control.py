"""The second address, where operators and the platform call: readiness, hosts out by hand, drains."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from aiohttp import web

from calicomast.net.listing import Address

MOST_CALLERS = 16  # connections; past them the one that came first goes
CALL_WITHIN = 6.0  # s after which a connection ends, with or without a call
BACKLOG = 64

log = logging.getLogger(__name__)

Answer = tuple[int, dict[str, Any]]


class UnknownHost(Exception):
    """No list has named this host."""


class Callers(web.Server):
    """A connection is for one call: one that brings none is not kept, nor is one that stays after it."""

    def connection_made(self, handler: Any, transport: asyncio.Transport) -> None:
        super().connection_made(handler, transport)
        if len(self.connections) > MOST_CALLERS:
            self.connections[0].force_close()
        asyncio.get_running_loop().call_later(CALL_WITHIN, handler.force_close)


class Control:
    """`node` has status(), hand(host, out) and drain(on); they act before they return."""

    def __init__(self, node: Any) -> None:
        self.node = node
        self.server = Callers(self.call, access_log=None)
        self.listener: asyncio.Server | None = None
        self.calls: dict[str, tuple[str, Callable[[web.BaseRequest], Answer]]] = {
            "/status": ("GET", self.status),
            "/maintenance/enter": ("POST", lambda request: self.hand(request, True)),
            "/maintenance/exit": ("POST", lambda request: self.hand(request, False)),
            "/standby": ("POST", lambda request: self.drain(request, True)),
            "/active": ("POST", lambda request: self.drain(request, False))}

    async def listen(self, address: Address) -> int:
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(self.server, *address, backlog=BACKLOG)
        return self.listener.sockets[0].getsockname()[1]

    async def call(self, request: web.BaseRequest) -> web.Response:
        status, told = self.answer(request)
        if request.method != "GET":
            log.info("control: %s %s: %d", request.method, request.path_qs, status)
        answer = web.json_response(told, status=status)
        answer.force_close()
        return answer

    def answer(self, request: web.BaseRequest) -> Answer:
        if request.path not in self.calls:
            return 404, {"error": "no such call"}
        method, act = self.calls[request.path]
        if request.method != method:
            return 405, {"error": f"this is a {method}"}
        try:
            return act(request)
        except ValueError as err:
            return 400, {"error": str(err)}
        except UnknownHost as err:
            return 404, {"error": f"no list has named host {err}"}
        except OSError as err:
            log.error("control: %s", err)
            return 500, {"error": f"it does not outlast this process: {err}"}

    def status(self, request: web.BaseRequest) -> Answer:
        names(request)
        told = self.node.status()
        return (200 if told["ready"] else 503), told

    def hand(self, request: web.BaseRequest, out: bool) -> Answer:
        host = names(request, "host")[0]
        self.node.hand(host, out)
        return 200, {"host": host, "out": out}

    def drain(self, request: web.BaseRequest, on: bool) -> Answer:
        names(request)
        if not self.node.drain(on):
            return 409, {"error": "this process is at its end"}
        return 200, {"state": self.node.state}

    def close(self) -> None:
        if self.listener:
            self.listener.close()
        for caller in self.server.connections:
            caller.force_close()


def names(request: web.BaseRequest, *wanted: str) -> list[str]:
    """The values of exactly these names in the query. Raises ValueError if it holds others."""
    if [name for name, _ in sorted(request.query.items())] != sorted(wanted) or (
            not all(request.query.values())):
        raise ValueError(f"the query must hold {' and '.join(wanted) or 'nothing'}")
    return [request.query[name] for name in wanted]
