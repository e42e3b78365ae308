"""An attempt: one command sent to one endpoint, which ends with exactly one result."""

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

# The `context` of attempts that are health checks.
HEALTH_CHECK: Final = object()


class Attempt:
    """One command for one endpoint and, once it has ended, its result.

    All times are in seconds of the monotonic clock.

    Attributes:
        endpoint_id: The endpoint's id.
        make_payload: Builds the bytes to send. It is called just before they are written, with the seconds
            left until the attempt's deadline. It returns empty bytes if the attempt is no longer needed.
        body: The last argument of the command if it is large. It is written after the payload without
            being copied.
        on_done: Called once, when `result` is set.
        context: The caller's record of this attempt, or HEALTH_CHECK.
        started_at: When the attempt was created, or when its wait for a settling connection ended.
        send_deadline: The latest time at which it may be sent.
        deadline: When the attempt times out.
        result: One of `interface.ATTEMPT_RESULTS`; empty until the attempt has ended.
        value: The value in the answer, unless it was streamed in chunks.
        metered_use: The metered use that the endpoint reported.
        load_report: The load report in the answer.
        connection: The connection that the attempt was sent on; None until then.
        timer: Abandons the attempt at its deadline.
        on_value_begins: Called with the length of a large value when it begins. Returns whether to accept
            the value.
        time_to_value: Seconds from `started_at` to the first bytes of a large value; 0 until then.
        value_sink: Receives the chunks of a large value.
        is_value_blocked: Returns whether reading of the chunks must pause.
        is_value_complete: Whether the sink has received all chunks.
        on_value_complete: Called once if the value is complete but the parts of the answer that follow it
            have not arrived yet.
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
        "on_value_complete",
        "send_deadline",
        "deadline",
    )

    def __init__(
        self,
        endpoint_id: str,
        make_payload: Callable[[float], bytes],
        on_done: Callable[[Attempt], None],
        context: Any = None,  # opaque here, only the caller reads it
        body: bytearray | None = None,
        on_value_begins: Callable[[Attempt, int], bool] | None = None,
        within: float = math.inf,
    ) -> None:
        """Create an attempt, to be sent with `EndpointPools.send`.

        Args:
            endpoint_id: The endpoint's id.
            make_payload: See the attribute.
            on_done: See the attribute.
            context: See the attribute.
            body: See the attribute.
            on_value_begins: See the attribute. With None, large values are refused.
            within: Seconds from now after which it must not be sent any more.
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
        self.on_value_complete: Callable[[], None] | None = None
        self.result = ""
        self.value = b""
        self.metered_use = 0
        self.load_report: LoadReport = {}
        self.connection: Connection | None = None
        self.timer: asyncio.TimerHandle | None = None

    def response_time(self) -> float:
        """Return the seconds until now, or until the first bytes of the answer if it was streamed.

        The rest of a large value does not count, because its duration depends on how fast the client reads.
        """
        return self.time_to_value or monotonic() - self.started_at

    def forward_chunk(self, data: bytes) -> None:
        """Pass a chunk of a large value to the sink; the last chunk is the closing CRLF."""
        assert self.value_sink is not None
        self.value_sink(data)
        self.is_value_complete = data == CRLF

    def end(self, result: str) -> None:
        """Set the result and call `on_done`, unless the attempt has already ended."""
        if self.result:
            return
        self.result = result
        if self.timer is not None:
            self.timer.cancel()
        self.on_done(self)

    @property
    def is_written(self) -> bool:
        """Whether the socket accepted the last byte, after which the endpoint may have run the request."""
        return self.connection is not None and self.connection.is_written
