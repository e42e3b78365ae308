"""The list service on its socket: HTTP in, the core's answers out. Nothing here decides."""

from __future__ import annotations

import asyncio
import json
import logging
import math
from collections.abc import Callable, Iterable
from time import monotonic
from typing import Any

from aiohttp import web

from api_gateway.base.accepting import AcceptingServer, serve
from api_gateway.base.calls import hand_out, read_body
from api_gateway.base.endpoint_list import write_address
from api_gateway.base.errors import ConfigError
from api_gateway.base.subsets import View, read_view
from api_gateway.registry.config import Config, read_host, read_hosts
from api_gateway.registry.core import TTL_LEAST, TTL_MOST, Answer, Host, Registry, Stale
from api_gateway.registry.subsets import TooMany

LIST = "/v1/endpoints"
HOSTS = "/v1/hosts/"
TAKEN_WITHIN = 10.0  # s after which a caller that does not take its answer is given up
MOST_BODY = 16 * 1024  # bytes of a registration
BODY_WITHIN = 2.0  # s for it to come
RETRY_AFTER = "5"  # s, for a watch that finds no place
BACKLOG = 1024
MOST_QUERY = 64 * 1024  # bytes of a call's first line: a view may name many kinds
ENCODED_MOST = 32 * 1024 * 1024  # bytes of answers of one version that are kept; the last one in any case
FIELDS = tuple(Host.__dataclass_fields__)

log = logging.getLogger(__name__)


class Service:
    def __init__(self, config: Config, registry: Registry, clock: Callable[[], float] = monotonic) -> None:
        self.config, self.registry, self.clock = config, registry, clock
        self.server = web.Server(
            self.call, access_log=None, handler_cancellation=True, max_line_size=MOST_QUERY
        )
        self.listener: AcceptingServer | None = None
        self.waiting: dict[object, asyncio.Future[Answer]] = {}
        self.encoded: dict[tuple[object, ...], bytes] = {}  # of the version that is told now
        self.encoded_at, self.encoded_size = -1, 0  # that version, and bytes
        self.texts: dict[str, tuple[Host, bytes]] = {}  # hosts as they were last told, by id
        self.timer: asyncio.TimerHandle | None = None
        self.guarded = 0
        self.learned_at = 0.0  # before that no list is told
        self.member: Any = None  # a membership.service.Member, where this process takes part

    async def start(self) -> int:
        """Raises ConfigError or OSError. Returns the port."""
        if self.config.hosts_path is not None:
            self.registry.load(self.clock(), read_hosts(self.config.hosts_path))
        self.learned_at = self.clock() + self.config.learning_duration_s
        self.listener = serve(self.config.listen, self.server, BACKLOG)
        self.turn()
        port = self.listener.sockets[0].getsockname()[1]
        if self.config.membership:
            from api_gateway.membership.service import Member

            name = f"registry-{write_address((self.config.listen[0], port))}"
            self.member = Member(self.config.membership, name, lambda: {"kind": "registry"})
            log.info("membership of %s at port %d", self.config.membership.cluster, await self.member.start())
        return port

    def reload(self) -> None:
        """After SIGHUP: the operator's file as it is now, whole or not at all."""
        if self.config.hosts_path is None:
            log.info("SIGHUP: there is no file of hosts")
            return
        try:
            hosts = read_hosts(self.config.hosts_path)
        except ConfigError as err:
            log.error("SIGHUP: %s; nothing changes", err)
            return
        self.registry.load(self.clock(), hosts)
        log.info("SIGHUP: %d hosts in the file, version %d", len(hosts), self.registry.version)
        self.turn()

    def turn(self) -> None:
        """Hands out what the core has for those that wait, and comes back when more is due."""
        for answer in self.registry.tick(self.clock()):
            waiter = self.waiting.pop(answer.key, None)
            if waiter is not None and not waiter.done():
                waiter.set_result(answer)
        held = len(self.registry.held)
        if bool(held) != bool(self.guarded):
            log.warning(
                "self-preservation %s: %d hosts have lapsed and stay listed",
                "begins" if held else "ends",
                held,
            )
        self.guarded = held
        if self.timer is not None:
            self.timer.cancel()
        delay = max(0.0, self.registry.due() - self.clock())
        self.timer = asyncio.get_running_loop().call_later(delay + 0.001, self.turn)

    async def call(self, request: web.BaseRequest) -> web.Response:
        answer = await self.answer(request)
        await hand_out(request, answer, TAKEN_WITHIN)
        return answer

    async def answer(self, request: web.BaseRequest) -> web.Response:
        try:
            if request.path == LIST and request.method == "GET":
                return await self.listed(request)
            if request.path == "/status" and request.method == "GET":
                return web.json_response(self.status())
            if request.path == "/members" and request.method == "GET" and self.member is not None:
                return web.json_response(self.member.told())
            if request.path.startswith(HOSTS):
                return await self.told(request)
        except ValueError as err:
            return refuse(400, str(err))
        except Stale as err:
            return refuse(409, str(err))
        except TooMany as err:
            return refuse(503, str(err))
        except TimeoutError:
            return refuse(408, f"no whole body within {BODY_WITHIN:.0f} s")
        return refuse(404, "no such call")

    # The list

    async def listed(self, request: web.BaseRequest) -> web.Response:
        query = request.query
        if set(query) - {"index", "wait", "epoch", "view", "kinds"}:
            raise ValueError("the query may hold index, wait, epoch, view and kinds")
        if "kinds" in query and "view" not in query:
            raise ValueError("kinds are those of a view, and the query holds none")
        view = read_view(query["view"], query.get("kinds")) if "view" in query else None
        if self.clock() < self.learned_at:
            return refuse(503, "hosts are still coming back after the start")
        if "index" not in query:
            answer = (
                self.registry.answer(None, None)
                if view is None
                else self.registry.view(self.clock(), None, view)
            )
        else:
            index = whole("index", query["index"])
            wait = min(whole("wait", query.get("wait", "0")), 2**31) / 1000
            if len(self.waiting) >= self.config.max_watches and wait > 0:
                return refuse(503, "too many watches")
            answer = await self.watch(index, wait, query.get("epoch"), view)
        return web.Response(body=self.encode(answer), content_type="application/json")

    async def watch(self, index: int, wait: float, epoch: str | None, view: View | None) -> Answer:
        key = object()
        answer = (
            self.registry.watch(self.clock(), key, index, wait, epoch)
            if view is None
            else self.registry.watch_view(self.clock(), key, view, index, wait, epoch)
        )
        if answer is not None:
            return answer
        waiter = self.waiting[key] = asyncio.get_running_loop().create_future()
        self.turn()
        try:
            return await waiter
        finally:  # also where the watcher has gone
            self.waiting.pop(key, None)
            self.registry.forget(key)

    def encode(self, answer: Answer) -> bytes:
        """Many watches get the same answer, which is made once."""
        if self.encoded_at != answer.version:
            self.encoded.clear()
            self.encoded_at, self.encoded_size = answer.version, 0
        at = (answer.index, answer.version) + (() if answer.view is None else (answer.view,))
        if at not in self.encoded:
            head = {"version": answer.version, "full": answer.index is None, "epoch": self.registry.epoch}
            if answer.view is not None:
                head |= {"view": True, "total": answer.total}
            servers = b", ".join([self.text(host) for host in answer.hosts])
            text = self.encoded[at] = b'%s, "servers": [%s]}' % (json.dumps(head).encode()[:-1], servers)
            self.encoded_size += len(text)
            while self.encoded_size > ENCODED_MOST and len(self.encoded) > 1:
                self.encoded_size -= len(self.encoded.pop(next(iter(self.encoded))))
        return self.encoded[at]

    def text(self, host: Host) -> bytes:
        """Made once for each of its changes, however many answers it is in."""
        known = self.texts.get(host.id)
        if known is None or known[0] is not host:
            if len(self.texts) > 2 * len(self.registry.entries) + 1000:
                self.texts.clear()
            known = host, json.dumps({name: getattr(host, name) for name in FIELDS}).encode()
            if host.state != "removed":
                self.texts[host.id] = known
        return known[1]

    # Hosts that register themselves

    async def told(self, request: web.BaseRequest) -> web.Response:
        name, _, act = request.path[len(HOSTS) :].partition("/")
        now, registry = self.clock(), self.registry
        if request.method == "PUT" and not act:
            body = await read_body(request, MOST_BODY, BODY_WITHIN)
            if len(body) > MOST_BODY:
                return refuse(413, f"a registration takes {MOST_BODY} bytes at most")
            host, incarnation, ttl = read_registration(name, body)
            registry.register(self.clock(), host, incarnation, ttl)
        elif request.method == "POST" and act == "renew":
            registry.renew(now, name, incarnation_of(request))
        elif request.method == "POST" and act == "drain":
            registry.drain(now, name, incarnation_of(request))
        elif request.method == "DELETE" and not act:
            registry.deregister(now, name, incarnation_of(request))
        else:
            return refuse(405, "PUT or DELETE a host, or POST its renew or drain")
        self.turn()
        return web.json_response({"version": registry.version, "epoch": registry.epoch})

    def status(self) -> dict[str, Any]:
        entries = self.registry.entries.values()
        return {
            "epoch": self.registry.epoch,
            "version": self.registry.version,
            "hosts": {state: count(entries, state) for state in ("up", "draining", "removed")},
            "registered": sum(1 for e in entries if e.ttl and e.host.state != "removed"),
            "watches": len(self.waiting),
            "views": len(self.registry.views.lives),
            "self_preservation": sorted(self.registry.held),
        }

    async def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        if self.member is not None:
            self.member.close()
        if self.listener is not None:
            self.listener.close()
        await self.server.shutdown(0.5)


def count(entries: Iterable[Any], state: str) -> int:
    return sum(1 for entry in entries if entry.host.state == state)


def refuse(status: int, reason: str) -> web.Response:
    headers = {"Retry-After": RETRY_AFTER} if status == 503 else {}
    return web.json_response({"error": reason}, status=status, headers=headers)


def whole(name: str, text: str) -> int:
    if not (text.isascii() and text.isdecimal()) or len(text) > 18:
        raise ValueError(f"{name} must be a whole number of 0 or more")
    return int(text)


def incarnation_of(request: web.BaseRequest) -> int:
    if set(request.query) != {"incarnation"}:
        raise ValueError("the query must hold incarnation")
    return whole("incarnation", request.query["incarnation"])


def read_registration(name: str, body: bytes) -> tuple[Host, int, float]:
    try:
        told = json.loads(body)
    except (ValueError, RecursionError) as err:
        raise ValueError(f"no JSON: {' '.join(str(err).split())}") from err
    if not isinstance(told, dict):
        raise ValueError("a registration must be an object")
    incarnation, ttl = told.pop("incarnation", None), told.pop("ttl_ms", None)
    if type(incarnation) is not int or not 0 <= incarnation < 2**53:
        raise ValueError("incarnation must be a whole number that grows with each life of the host")
    if type(ttl) is not int or not TTL_LEAST * 1000 <= ttl <= TTL_MOST * 1000:
        raise ValueError(f"ttl_ms must be a whole number, {TTL_LEAST * 1000:.0f} to {TTL_MOST * 1000:.0f}")
    unknown = set(told) - set(Host.__dataclass_fields__)
    if unknown:
        raise ValueError(f"no such key: {min(unknown)[:80]!r}")
    if told.get("state", "up") != "up":
        raise ValueError("a host registers as up; it drains by a call of its own")
    if not math.isfinite(told.get("weight", 1.0) if is_number(told.get("weight", 1.0)) else math.nan):
        raise ValueError("weight must be a number above 0")
    return read_host(told, name), incarnation, ttl / 1000


def is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)
