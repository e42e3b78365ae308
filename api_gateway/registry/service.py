"""HTTP server of the list service; all decisions are made by the registry."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Callable
from time import monotonic
from typing import TYPE_CHECKING, Any

from aiohttp import web

from api_gateway.base.accepting import AcceptingServer, serve
from api_gateway.base.endpoint_list import format_address
from api_gateway.base.errors import ConfigError
from api_gateway.base.http_io import read_body, write_response
from api_gateway.base.subsets import SubsetSpec, read_subset_spec
from api_gateway.registry.answer_encoding import AnswerEncoder
from api_gateway.registry.config import RegistryConfig, read_hosts
from api_gateway.registry.core import Answer, RegistrationConflictError, Registry
from api_gateway.registry.errors import InvalidValueError
from api_gateway.registry.registration import read_registration, read_whole_number
from api_gateway.registry.subsets import TooManyViewsError

if TYPE_CHECKING:
    from api_gateway.membership.service import MembershipService

LIST_PATH = "/v1/endpoints"
HOSTS_PATH = "/v1/hosts/"
LIST_QUERY_KEYS = {"index", "wait", "epoch", "view", "kinds"}
ANSWER_TIMEOUT_S = 10.0  # then a client that does not read its answer is disconnected
BODY_TIMEOUT_S = 2.0  # for the body of a registration to arrive
MAX_REGISTRATION_BYTES = 16 * 1024  # limit for the body of a registration
MAX_REQUEST_LINE_BYTES = 64 * 1024  # large, because the query of a view may contain many kinds
WAIT_LIMIT_MS = 2**31  # for the wait in a query; the registry caps it far lower
RETRY_AFTER = "5"  # seconds, sent with status 503
LISTEN_BACKLOG = 1024
SHUTDOWN_TIMEOUT_S = 0.5  # for requests that are still in flight
TIMER_MARGIN_S = 0.001  # added to timers, so that rounding does not make them fire early

log = logging.getLogger(__name__)


class Service:
    """Serves the list and its watches, and accepts registrations.

    Attributes:
        config: The settings of the service.
        registry: The list; only this service changes it.
        clock: Monotonic clock in seconds.
        server: The aiohttp server.
        encoder: Encodes and caches answers.
        waiting: Futures of the waiting watches, by key.
        learning_ends_at: Time of `clock` before which no list is served.
        member: Cluster membership of this process, if it is configured.
    """

    def __init__(
        self, config: RegistryConfig, registry: Registry, clock: Callable[[], float] = monotonic
    ) -> None:
        """Create the service; `start` opens its socket."""
        self.config = config
        self.registry = registry
        self.clock = clock
        self.server = web.Server(
            self._handle, access_log=None, handler_cancellation=True, max_line_size=MAX_REQUEST_LINE_BYTES
        )
        self.encoder = AnswerEncoder(registry)
        self.waiting: dict[object, asyncio.Future[Answer]] = {}
        self.learning_ends_at = 0.0
        self.member: MembershipService | None = None
        self._listener: AcceptingServer | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._is_self_preserving = False

    async def start(self) -> int:
        """Read the operator's hosts file and open the socket.

        Returns:
            The port that the service listens on.

        Raises:
            ConfigError: The hosts file is missing or invalid.
            OSError: An address cannot be bound.
        """
        if self.config.hosts_path is not None:
            self.registry.load(self.clock(), read_hosts(self.config.hosts_path))
        self.learning_ends_at = self.clock() + self.config.learning_duration_s
        self._listener = await serve(self.config.listen, self.server, LISTEN_BACKLOG)
        self._run_due()
        port: int = self._listener.sockets[0].getsockname()[1]
        if self.config.membership:
            from api_gateway.membership.service import MembershipService

            name = f"registry-{format_address((self.config.listen[0], port))}"
            self.member = MembershipService(self.config.membership, name, lambda: {"kind": "registry"})
            log.info(
                "membership joined cluster=%s port=%d",
                self.config.membership.cluster,
                await self.member.start(),
            )
        return port

    def reload(self) -> None:
        """Reload the operator's hosts file on SIGHUP; an invalid file changes nothing."""
        if self.config.hosts_path is None:
            log.info("SIGHUP: no hosts file is configured")
            return
        try:
            hosts = read_hosts(self.config.hosts_path)
        except ConfigError as error:
            log.error("SIGHUP: hosts file not usable, nothing changes error=%s", error)
            return
        self.registry.load(self.clock(), hosts)
        log.info("SIGHUP: %d hosts in the file, version %d", len(hosts), self.registry.version)
        self._run_due()

    def encode(self, answer: Answer) -> bytes:
        """Return the JSON body of an answer of the registry."""
        return self.encoder.encode(answer)

    async def close(self) -> None:
        """Stop the server and leave the cluster."""
        if self._timer is not None:
            self._timer.cancel()
        if self.member is not None:
            self.member.close()
        if self._listener is not None:
            self._listener.close()
        await self.server.shutdown(SHUTDOWN_TIMEOUT_S)

    def _run_due(self) -> None:
        """Deliver due answers to their watches, and set the timer for the next tick."""
        for answer in self.registry.tick(self.clock()):
            waiter = self.waiting.pop(answer.key, None)
            if waiter is not None and not waiter.done():
                waiter.set_result(answer)
        self._log_self_preservation()
        if self._timer is not None:
            self._timer.cancel()
        delay_s = max(0.0, self.registry.due() - self.clock())
        self._timer = asyncio.get_running_loop().call_later(delay_s + TIMER_MARGIN_S, self._run_due)

    def _log_self_preservation(self) -> None:
        preserved_count = len(self.registry.preserved_hosts)
        if bool(preserved_count) == self._is_self_preserving:
            return
        self._is_self_preserving = bool(preserved_count)
        change = "begins" if preserved_count else "ends"
        log.warning("self-preservation %s: %d hosts with expired leases stay listed", change, preserved_count)

    # Requests

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        response = await self._respond(request)
        await write_response(request, response, ANSWER_TIMEOUT_S)
        return response

    async def _respond(self, request: web.BaseRequest) -> web.Response:
        """Return the response to a request; errors are converted to responses here."""
        try:
            return await self._dispatch(request)
        except ValueError as error:
            return error_response(400, str(error))
        except RegistrationConflictError as error:
            return error_response(409, str(error))
        except TooManyViewsError as error:
            return error_response(503, str(error))
        except TimeoutError:
            return error_response(408, f"no whole body within {BODY_TIMEOUT_S:.0f} s")

    async def _dispatch(self, request: web.BaseRequest) -> web.Response:
        if request.path == LIST_PATH and request.method == "GET":
            return await self.handle_list(request)
        if request.path == "/status" and request.method == "GET":
            return web.json_response(self.status())
        if request.path == "/members" and request.method == "GET" and self.member is not None:
            return web.json_response(self.member.status())
        if request.path.startswith(HOSTS_PATH):
            return await self._handle_host_request(request)
        return error_response(404, "no such call")

    async def handle_list(self, request: web.BaseRequest) -> web.Response:
        """Answer a request for the list or a view, at once or when there is a newer version."""
        query = request.query
        if set(query) - LIST_QUERY_KEYS:
            raise InvalidValueError("", "the query may hold index, wait, epoch, view and kinds")
        if "kinds" in query and "view" not in query:
            raise InvalidValueError("kinds", "kinds are those of a view, and the query holds none")
        view = read_subset_spec(query["view"], query.get("kinds")) if "view" in query else None
        if self.clock() < self.learning_ends_at:
            return error_response(503, "hosts are still coming back after the start")
        if "index" not in query:
            answer = self._complete_answer(view)
        else:
            index = read_whole_number("index", query["index"])
            wait_s = min(read_whole_number("wait", query.get("wait", "0")), WAIT_LIMIT_MS) / 1000
            if len(self.waiting) >= self.config.max_watches and wait_s > 0:
                return error_response(503, "too many watches")
            answer = await self._watch(index, wait_s, query.get("epoch"), view)
        return web.Response(body=self.encode(answer), content_type="application/json")

    def _complete_answer(self, view: SubsetSpec | None) -> Answer:
        if view is None:
            return self.registry.answer(None, None)
        return self.registry.view(self.clock(), None, view)

    async def _watch(self, index: int, wait_s: float, epoch: str | None, view: SubsetSpec | None) -> Answer:
        key = object()
        if view is None:
            answer = self.registry.watch(self.clock(), key, index, wait_s, epoch)
        else:
            answer = self.registry.watch_view(self.clock(), key, view, index, wait_s, epoch)
        if answer is not None:
            return answer
        waiter: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self.waiting[key] = waiter
        self._run_due()
        try:
            return await waiter
        finally:  # also if the watcher has disconnected
            self.waiting.pop(key, None)
            self.registry.cancel_watch(key)

    async def _handle_host_request(self, request: web.BaseRequest) -> web.Response:
        """Register, renew, drain or remove the host in the path of a request."""
        host_id, _, action = request.path[len(HOSTS_PATH) :].partition("/")
        now = self.clock()
        if request.method == "PUT" and not action:
            body = await read_body(request, MAX_REGISTRATION_BYTES, BODY_TIMEOUT_S)
            if len(body) > MAX_REGISTRATION_BYTES:
                return error_response(413, f"a registration takes {MAX_REGISTRATION_BYTES} bytes at most")
            registration = read_registration(host_id, body)
            self.registry.register(
                self.clock(), registration.host, registration.incarnation, registration.ttl_s
            )
        elif request.method == "POST" and action == "renew":
            self.registry.renew(now, host_id, read_incarnation(request))
        elif request.method == "POST" and action == "drain":
            self.registry.drain(now, host_id, read_incarnation(request))
        elif request.method == "DELETE" and not action:
            self.registry.deregister(now, host_id, read_incarnation(request))
        else:
            return error_response(405, "PUT or DELETE a host, or POST its renew or drain")
        self._run_due()
        return web.json_response({"version": self.registry.version, "epoch": self.registry.epoch})

    def status(self) -> dict[str, Any]:
        """Return the body of `GET /status`."""
        entries = self.registry.entries.values()
        state_counts = Counter(entry.host.state for entry in entries)
        return {
            "epoch": self.registry.epoch,
            "version": self.registry.version,
            "hosts": {state: state_counts[state] for state in ("up", "draining", "removed")},
            "registered": sum(1 for entry in entries if entry.ttl_s and entry.host.state != "removed"),
            "watches": len(self.waiting),
            "views": len(self.registry.views.live_views),
            "self_preservation": sorted(self.registry.preserved_hosts),
        }


def error_response(status: int, reason: str) -> web.Response:
    """Return a response with the reason of a failure; status 503 also gets Retry-After."""
    headers = {"Retry-After": RETRY_AFTER} if status == 503 else {}
    return web.json_response({"error": reason}, status=status, headers=headers)


def read_incarnation(request: web.BaseRequest) -> int:
    """Return the incarnation in the query of a request for a registered host.

    Raises:
        ValueError: It is missing or not a number, or the query contains other keys.
    """
    if set(request.query) != {"incarnation"}:
        raise InvalidValueError("incarnation", "the query must hold incarnation")
    return read_whole_number("incarnation", request.query["incarnation"])
