"""One attempt: a command for one endpoint, from its making to its single result."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from time import monotonic
from typing import TYPE_CHECKING, Any, Final

from api_gateway.base.resp import CRLF
from api_gateway.upstream.load_report import LoadReport

if TYPE_CHECKING:
    from api_gateway.upstream.connection import Connection

# The `context` of an attempt that is a health check.
HEALTH_CHECK: Final = object()


class Attempt:
    """One command for one endpoint and, once it has ended, its result.

    Times are by the monotonic clock, in seconds.

    Attributes:
        endpoint_id: The endpoint's id.
        make_payload: Makes the bytes to send, called when they are about to go out with the seconds that are
            left for the attempt then. Empty bytes: the attempt is not wanted any more.
        body: The command's last part where it is large; it follows the payload and is not copied.
        on_done: Called once, when `result` is known.
        context: The caller's own record of this attempt, or HEALTH_CHECK.
        started_at: When the attempt was made, or when the wait for a settling connection ended.
        send_deadline: When it may go out at the latest.
        deadline: When it is given up.
        result: One of `interface.RESULTS`; empty until the attempt has ended.
        value: The value of the answer, where it did not come in pieces.
        metered_use: The metered use that the endpoint reported.
        load_report: The load report of the answer.
        connection: The connection it went out on; None before.
        timer: Gives the attempt up at its deadline.
        on_value_begins: Called with the length of a large value that begins; returns whether it is wanted.
        time_to_value: Seconds from `started_at` to the first bytes of a large value; 0 before.
        value_sink: Receives the pieces of a large value.
        is_value_blocked: Returns whether those pieces must wait.
        is_value_complete: Whether all pieces went to the sink.
    """

    __slots__ = (
        "endpoint_id",
        "make_payload",
        "body",
        "on_done",
        "context",
        "started_at",
        "result",
        "value",
        "metered_use",
        "load_report",
        "connection",
        "timer",
        "on_value_begins",
        "time_to_value",
        "value_sink",
        "is_value_blocked",
        "is_value_complete",
        "send_deadline",
        "deadline",
    )

    def __init__(
        self,
        endpoint_id: str,
        make_payload: Callable[[float], bytes],
        on_done: Callable[[Attempt], None],
        context: Any = None,  # opaque here: the caller alone reads it
        body: bytearray | None = None,
        on_value_begins: Callable[[Attempt, int], bool] | None = None,
        within: float = math.inf,
    ) -> None:
        """Make an attempt that `EndpointPools.send` sends.

        Args:
            endpoint_id: The endpoint's id.
            make_payload: See the attribute.
            on_done: See the attribute.
            context: See the attribute.
            body: See the attribute.
            on_value_begins: See the attribute; None refuses large values.
            within: Seconds from now in which it must have begun to go out.
        """
        self.endpoint_id = endpoint_id
        self.make_payload = make_payload
        self.on_done = on_done
        self.context = context
        self.started_at = monotonic()
        self.body = body
        self.on_value_begins = on_value_begins
        self.send_deadline = self.started_at + within
        self.deadline = math.inf
        self.time_to_value = 0.0
        self.value_sink: Callable[[bytes], None] | None = None
        self.is_value_blocked: Callable[[], bool] | None = None
        self.is_value_complete = False
        self.result = ""
        self.value = b""
        self.metered_use = 0
        self.load_report: LoadReport = {}
        self.connection: Connection | None = None
        self.timer: asyncio.TimerHandle | None = None

    def response_time(self) -> float:
        """Return the seconds until the answer, or until its first bytes where it comes in pieces.

        How long the rest of a large value takes depends on the client's pace.
        """
        return self.time_to_value or monotonic() - self.started_at

    def pass_on_piece(self, data: bytes) -> None:
        """Hand a piece of a large value to the sink; the last one is END."""
        assert self.value_sink is not None
        self.value_sink(data)
        self.is_value_complete = data == CRLF

    def end(self, result: str) -> None:
        """Set the result and report it; without effect once there is one."""
        if self.result:
            return
        self.result = result
        if self.timer is not None:
            self.timer.cancel()
        self.on_done(self)

    @property
    def is_written(self) -> bool:
        """Whether the socket took the last byte: from then on the request may have run."""
        return self.connection is not None and self.connection.is_written
