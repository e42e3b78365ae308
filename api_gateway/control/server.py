"""The second address, where operators and the platform call: readiness, hosts out by hand, drains, changes of
the configuration."""

from __future__ import annotations

import asyncio
import inspect
import logging
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

from api_gateway.base.accepting import BoundedServer, open_listening_socket
from api_gateway.base.calls import read_body
from api_gateway.base.endpoint_list import Address
from api_gateway.control.config_changes import CONFIRM_LEAST, CONFIRM_MOST
from api_gateway.control.config_schema import MOST_BODY, MOST_TOLD, differences, is_number
from api_gateway.control.errors import ChangeRejectedError
from api_gateway.control.host_overrides import UnknownHost

MOST_CALLERS = 16  # connections; past them the one that came first goes
MOST_ENDING = 4  # beside them whose end has not taken effect; more than both wait unopened, whatever comes
CALL_WITHIN = 6.0  # s after which a connection ends, with or without a call
BACKLOG = 64
BODY_WITHIN = 2.0  # s for a body to come

log = logging.getLogger(__name__)

Answer = tuple[int, dict[str, Any]]


class Callers(web.Server):
    """A connection is for one call: one that brings none is not kept, nor is one that stays after it or does
    not take its answer."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        self.open: dict[Any, asyncio.Transport] = {}  # that are to stay, the first to come first
        self.ended: Callable[[], None] = lambda: None  # hears of each end

    def connection_made(self, handler: Any, transport: asyncio.Transport) -> None:
        super().connection_made(handler, transport)
        self.open[handler] = transport
        if len(self.open) > MOST_CALLERS:
            self.end(next(iter(self.open)))
        asyncio.get_running_loop().call_later(CALL_WITHIN, self.end, handler)

    def connection_lost(self, handler: Any, exc: BaseException | None = None) -> None:
        super().connection_lost(handler, exc)
        self.open.pop(handler, None)
        self.ended()

    def end(self, handler: Any) -> None:
        """Whatever of an answer it has not taken."""
        transport = self.open.pop(handler, None)
        if transport is not None:
            handler.force_close()
            transport.abort()


class Control:
    """`node` has status(), hand(host, out) and drain(on), which act before they return, and its changes."""

    def __init__(self, node: Any) -> None:
        self.node = node
        self.server = Callers(self.call, access_log=None)
        self.listener: BoundedServer | None = None
        self.calls: dict[str, tuple[str, Callable[[web.BaseRequest], Answer | Awaitable[Answer]]]] = {
            "/status": ("GET", self.status),
            "/members": ("GET", self.members),
            "/config": ("GET", self.config),
            "/config/history": ("GET", self.history),
            "/config/check": ("POST", self.check),
            "/config/apply": ("POST", self.apply),
            "/config/confirm": ("POST", self.confirm),
            "/config/rollback": ("POST", self.roll_back),
            "/maintenance/enter": ("POST", lambda request: self.hand(request, True)),
            "/maintenance/exit": ("POST", lambda request: self.hand(request, False)),
            "/standby": ("POST", lambda request: self.drain(request, True)),
            "/active": ("POST", lambda request: self.drain(request, False)),
        }

    async def listen(self, address: Address) -> int:
        """Returns the port. Raises OSError."""
        sock = open_listening_socket(address, BACKLOG)
        self.listener = BoundedServer(sock, self.server, MOST_CALLERS + MOST_ENDING)
        self.server.ended = self.listener.connection_ended
        return self.listener.sockets[0].getsockname()[1]

    async def call(self, request: web.BaseRequest) -> web.Response:
        status, told = await self.answer(request)
        if request.method != "GET":
            log.info("control: %s %s: %d", request.method, request.path_qs, status)
        answer = web.json_response(told, status=status)
        answer.force_close()
        return answer

    async def answer(self, request: web.BaseRequest) -> Answer:
        if request.path not in self.calls:
            return 404, {"error": "no such call"}
        method, act = self.calls[request.path]
        if request.method != method:
            return 405, {"error": f"this is a {method}"}
        try:
            answer = act(request)
            return await answer if inspect.isawaitable(answer) else answer
        except ValueError as err:
            return 400, {"error": str(err)}
        except ChangeRejectedError as err:
            return err.status, err.answer
        except UnknownHost as err:
            return 404, {"error": f"no list has named host {err}"}
        except TimeoutError:
            return 408, {"error": f"no whole body within {BODY_WITHIN:.0f} s"}
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

    def members(self, request: web.BaseRequest) -> Answer:
        names(request)
        if self.node.member is None:
            return 404, {"error": "this process is in no cluster"}
        return 200, self.node.member.told()

    def config(self, request: web.BaseRequest) -> Answer:
        names(request)
        return 200, self.node.changes.status_with_config()

    def history(self, request: web.BaseRequest) -> Answer:
        names(request)
        return 200, {"versions": self.node.changes.list_versions()}

    async def check(self, request: web.BaseRequest) -> Answer:
        names(request)
        changes = self.node.changes
        tree = changes.check(await read_body(request, MOST_BODY, BODY_WITHIN))
        rows = list(differences(changes.current.content, tree))
        return 200, {"changes": rows[:MOST_TOLD], "more": max(0, len(rows) - MOST_TOLD)}

    async def apply(self, request: web.BaseRequest) -> Answer:
        expect, within = names(request, "expect", maybe="confirm_within")
        body = await read_body(request, MOST_BODY, BODY_WITHIN)
        return 200, await self.node.changes.apply(body, whole("expect", expect), span(within))

    def confirm(self, request: web.BaseRequest) -> Answer:
        return 200, self.node.changes.confirm(whole("version", names(request, "version")[0]))

    async def roll_back(self, request: web.BaseRequest) -> Answer:
        return 200, await self.node.changes.roll_back(whole("to", names(request, "to")[0]))

    def close(self) -> None:
        if self.listener:
            self.listener.close()
        for caller in self.server.connections:
            caller.force_close()


def names(request: web.BaseRequest, *wanted: str, maybe: str = "") -> list[str]:
    """The values of exactly these names in the query; "" for one that may be there and is not. Raises
    ValueError if it holds others."""
    found = [name for name, _ in sorted(request.query.items())]
    if found not in (sorted(wanted), sorted([*wanted, maybe])) or not all(request.query.values()):
        least = f"the query must hold {' and '.join(wanted) or 'nothing'}"
        raise ValueError(least + (f", and may hold {maybe}" if maybe else ""))
    return [request.query.get(name, "") for name in ([*wanted, maybe] if maybe else wanted)]


def whole(name: str, text: str) -> int:
    if not (text.isascii() and text.isdecimal()) or len(text) > 9:
        raise ValueError(f"{name} must be a version's number")
    return int(text)


def span(text: str) -> float | None:
    if not text:
        return None
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not is_number(value) or not CONFIRM_LEAST <= value <= CONFIRM_MOST:
        raise ValueError(f"confirm_within must be {CONFIRM_LEAST:.0f} to {CONFIRM_MOST:.0f} seconds")
    return value
