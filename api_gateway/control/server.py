"""The HTTP server of the control address, for calls by operators and the platform.

It serves readiness, host overrides, drains and configuration changes; docs/on-call.md describes the calls for
operators.
"""

from __future__ import annotations

import inspect
import logging
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from api_gateway.base.accepting import BoundedServer, open_listening_socket
from api_gateway.base.endpoint_list import Address
from api_gateway.control.config_candidate import differences
from api_gateway.control.config_changes import MAX_CONFIRM_WINDOW_S, MIN_CONFIRM_WINDOW_S
from api_gateway.control.config_schema import MAX_BODY_BYTES, MAX_LISTED_ITEMS, is_number
from api_gateway.control.errors import ChangeRejectedError
from api_gateway.control.host_overrides import UnknownHostError
from api_gateway.control.http_server import MAX_CONNECTIONS, Answer, ControlCall, SingleCallServer

if TYPE_CHECKING:
    from api_gateway.gateway.node import GatewayNode

# Maximum further connections whose close has not completed; above both limits new ones wait in the backlog.
MAX_CLOSING_CONNECTIONS = 4
# Maximum connections waiting to be accepted.
BACKLOG = 64
# Seconds within which a request body must arrive.
BODY_TIMEOUT_S = 2.0
# Maximum digits of a version number in a query.
MAX_VERSION_DIGITS = 9

log = logging.getLogger(__name__)

CallHandler = Callable[[ControlCall], Answer | Awaitable[Answer]]


class ControlServer:
    """Answers operator calls for one gateway process.

    Each call takes effect before its answer is sent, so the answer reports the actual result.
    """

    def __init__(self, node: GatewayNode) -> None:
        """Set up the calls; listen() opens the socket."""
        self.node = node
        self.server = SingleCallServer(self.handle_call)
        self.listener: BoundedServer | None = None
        # The HTTP method and the handler of each path.
        self.routes: dict[str, tuple[str, CallHandler]] = {
            "/status": ("GET", self.get_status),
            "/metrics": ("GET", self.get_metrics),
            "/members": ("GET", self.get_members),
            "/config": ("GET", self.get_config),
            "/config/history": ("GET", self.get_history),
            "/config/check": ("POST", self.check_config),
            "/config/apply": ("POST", self.apply_config),
            "/config/confirm": ("POST", self.confirm_config),
            "/config/rollback": ("POST", self.roll_back_config),
            "/maintenance/enter": ("POST", self.eject_host),
            "/maintenance/exit": ("POST", self.readmit_host),
            "/standby": ("POST", self.begin_drain),
            "/active": ("POST", self.end_drain),
        }

    async def listen(self, address: Address) -> int:
        """Open the control address and return its port. Raises OSError."""
        sock = await open_listening_socket(address, BACKLOG)
        self.listener = BoundedServer(sock, self.server, MAX_CONNECTIONS + MAX_CLOSING_CONNECTIONS)
        self.server.on_connection_ended = self.listener.connection_ended
        port: int = self.listener.sockets[0].getsockname()[1]
        return port

    async def handle_call(self, call: ControlCall) -> Answer:
        """Answer one call, and log it if it may change something."""
        status, document = await self.answer(call)
        if call.method != "GET":
            log.info("control call answered method=%s path=%s status=%d", call.method, call.target, status)
        return status, document

    async def answer(self, call: ControlCall) -> Answer:
        """Return the answer to a call, including a call that fails."""
        if call.path not in self.routes:
            return 404, {"error": "no such call"}
        method, handler = self.routes[call.path]
        if call.method != method:
            return 405, {"error": f"this is a {method}"}
        try:
            answer = handler(call)
            return await answer if inspect.isawaitable(answer) else answer
        except Exception as err:
            error_answer = answer_for_error(err)
            if error_answer is None:
                raise
            return error_answer

    def get_status(self, call: ControlCall) -> Answer:
        """Return the status of this process; the HTTP status says whether it is ready for clients."""
        query_values(call)
        status = self.node.status()
        return (200 if status["ready"] else 503), status

    def get_metrics(self, call: ControlCall) -> Answer:
        """Return what holds memory in this process, and counts of ended connections and rejections."""
        query_values(call)
        return 200, self.node.metrics()

    def eject_host(self, call: ControlCall) -> Answer:
        """Eject a host until an operator readmits it."""
        return self.override_host(call, ejected=True)

    def readmit_host(self, call: ControlCall) -> Answer:
        """End an operator's ejection of a host."""
        return self.override_host(call, ejected=False)

    def override_host(self, call: ControlCall, *, ejected: bool) -> Answer:
        """Set the override of the host given in the query."""
        host = query_values(call, "host")[0]
        self.node.set_override(host, ejected)
        return 200, {"host": host, "out": ejected}

    def begin_drain(self, call: ControlCall) -> Answer:
        """Start draining, so that clients move to other processes."""
        return self.set_drain(call, draining=True)

    def end_drain(self, call: ControlCall) -> Answer:
        """Stop draining and accept clients again."""
        return self.set_drain(call, draining=False)

    def set_drain(self, call: ControlCall, *, draining: bool) -> Answer:
        """Start or stop a drain; a stopping process rejects both."""
        query_values(call)
        if not self.node.set_draining(draining):
            return 409, {"error": "this process is at its end"}
        return 200, {"state": self.node.state}

    def get_members(self, call: ControlCall) -> Answer:
        """Return the members of the cluster as this process sees them."""
        query_values(call)
        if self.node.member is None:
            return 404, {"error": "this process is in no cluster"}
        return 200, self.node.member.status()

    def get_config(self, call: ControlCall) -> Answer:
        """Return the configuration in force."""
        query_values(call)
        return 200, self.node.config_changes().status_with_config()

    def get_history(self, call: ControlCall) -> Answer:
        """Return the versions that can be rolled back to."""
        query_values(call)
        return 200, {"versions": self.node.config_changes().list_versions()}

    async def check_config(self, call: ControlCall) -> Answer:
        """Validate a candidate and return the differences from the configuration in force."""
        query_values(call)
        changes = self.node.config_changes()
        content = changes.check(await call.read_body(MAX_BODY_BYTES, BODY_TIMEOUT_S))
        rows = list(differences(changes.current.content, content))
        return 200, {"changes": rows[:MAX_LISTED_ITEMS], "more": max(0, len(rows) - MAX_LISTED_ITEMS)}

    async def apply_config(self, call: ControlCall) -> Answer:
        """Bring a candidate into force."""
        expected, window = query_values(call, "expect", optional="confirm_within")
        body = await call.read_body(MAX_BODY_BYTES, BODY_TIMEOUT_S)
        expected_version = parse_version_number("expect", expected)
        return 200, await self.node.config_changes().apply(
            body, expected_version, parse_confirm_window(window)
        )

    def confirm_config(self, call: ControlCall) -> Answer:
        """Confirm a pending change."""
        number = parse_version_number("version", query_values(call, "version")[0])
        return 200, self.node.config_changes().confirm(number)

    async def roll_back_config(self, call: ControlCall) -> Answer:
        """Bring an earlier version into force again."""
        number = parse_version_number("to", query_values(call, "to")[0])
        return 200, await self.node.config_changes().roll_back(number)

    def close(self) -> None:
        """Close the listening socket and all connections."""
        if self.listener:
            self.listener.close()
        self.server.close()


def answer_for_error(error: Exception) -> Answer | None:
    """Return the answer to a call that raised this error; None if no call should raise it."""
    if isinstance(error, ValueError):
        return 400, {"error": str(error)}
    if isinstance(error, ChangeRejectedError):
        return error.status, error.answer
    if isinstance(error, UnknownHostError):
        return 404, {"error": f"no list has named host {error}"}
    if isinstance(error, TimeoutError):
        return 408, {"error": f"no whole body within {BODY_TIMEOUT_S:.0f} s"}
    if isinstance(error, OSError):
        log.error("control call failed error=%s", error)
        return 500, {"error": f"it does not outlast this process: {error}"}
    return None


def query_values(call: ControlCall, *required: str, optional: str = "") -> list[str]:
    """Return the query's values of the required names, then of the optional name ("" if it is absent).

    Raises:
        ValueError: The query has missing, repeated or unknown names, or a name without a value.
    """
    present = sorted(name for name, _ in call.query)
    values = dict(call.query)
    accepted = (sorted(required), sorted([*required, optional]))
    if present not in accepted or not all(values.values()):
        message = f"the query must hold {' and '.join(required) or 'nothing'}"
        raise ValueError(message + (f", and may hold {optional}" if optional else ""))
    names = [*required, optional] if optional else required
    return [values.get(name, "") for name in names]


def parse_version_number(name: str, text: str) -> int:
    """Parse the version number in the query parameter `name`. Raises ValueError if it is not a number."""
    if not (text.isascii() and text.isdecimal()) or len(text) > MAX_VERSION_DIGITS:
        raise ValueError(f"{name} must be a version's number")
    return int(text)


def parse_confirm_window(text: str) -> float | None:
    """Return the seconds within which a change must be confirmed; None for "".

    Raises:
        ValueError: The text is not a number within the bounds.
    """
    if not text:
        return None
    try:
        window = float(text)
    except ValueError:
        window = -1.0
    if not is_number(window) or not MIN_CONFIRM_WINDOW_S <= window <= MAX_CONFIRM_WINDOW_S:
        raise ValueError(
            f"confirm_within must be {MIN_CONFIRM_WINDOW_S:.0f} to {MAX_CONFIRM_WINDOW_S:.0f} seconds"
        )
    return window
