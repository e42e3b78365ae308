"""Client of the counter service: pipelined calls over a few persistent connections.

Each counter name is assigned to one connection, so its answers arrive in order. A lost connection is reopened
with backoff. A call ends once, with one of the results `ok`, `full`, `timeout` and `connect_failed`. After a
`timeout` it may report a second result, `late`, because the amount was added and the total is valid.
"""

from __future__ import annotations

import asyncio
import logging
import math
import re
from collections import deque
from collections.abc import Callable
from time import monotonic

from api_gateway.base.descriptors import reclaim_nothing, retry_after_reclaim
from api_gateway.base.endpoint_list import Address
from api_gateway.base.ratelimit import LimitedLog

# Several connections, so that a slow part of the counter does not delay the names on the others.
CONNECTION_COUNT = 4
CONNECT_TIMEOUT_S = 1.0
# Idle time after which a `ping`, which changes no counter, keeps a connection open.
KEEP_ALIVE_S = 2.0
# Fraction of the counter's observed idle timeout after which the next `ping` is sent.
KEEP_ALIVE_FRACTION = 0.5
MIN_KEEP_ALIVE_S = 0.1
# Time without a due answer after which a connection counts as dead and is reopened.
ANSWER_TIMEOUT_S = 2.0
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
# Used instead of a counter name in a `ping` call.
PING_NAME = -1
MAX_ANSWER_BYTES = 4096
# The answer to `incr`. float() alone would also accept 1_0 and surrounding white space.
TOTAL_ANSWER = re.compile(rb"ok ([+-]?(?:\d+\.?\d*|\.\d+)(?:[eE][+-]?\d+)?)")

log = logging.getLogger(__name__)

# Calls of a connection that may be unanswered or wait for it; more are not sent.
MAX_UNANSWERED_CALLS = 1024

# Receives the outcome of a call: counter name, result, total and seconds since the call was made.
ResultCallback = Callable[[int, str, float, float], None]


class Call:
    """One command to the counter and the callback that receives its result.

    Attributes:
        name: Counter name, or PING_NAME.
        command: The bytes to send.
        on_result: Called once with the result; None afterwards, or if no result is needed.
        on_late_result: Called with the total that arrives after a timeout.
        started_at: When the call was made, by the monotonic clock.
        is_written: Whether the command was sent, so that its amount may have been added.
        is_reread: Whether the call reads the total again after a malformed answer.
        timer: Timer that ends the call at its timeout.
    """

    __slots__ = (
        "name",
        "command",
        "on_result",
        "on_late_result",
        "started_at",
        "is_written",
        "is_reread",
        "timer",
    )

    def __init__(self, name: int, command: bytes, on_result: ResultCallback | None) -> None:
        """Initialise a call that is not sent yet."""
        self.name = name
        self.command = command
        self.on_result = on_result
        self.on_late_result: ResultCallback | None = None
        self.started_at = monotonic()
        self.is_written = False
        self.is_reread = False
        self.timer: asyncio.TimerHandle | None = None

    def give_up(self) -> None:
        """End the call without an answer."""
        self.end("timeout" if self.is_written else "connect_failed")

    def end(self, result: str, total: float = 0.0) -> None:
        """Report the result once; a total after a timeout is reported as `late`."""
        if self.timer is not None:
            self.timer.cancel()
        callback = self.on_result
        self.on_result = None
        if result == "timeout":
            self.on_late_result = callback
        elif callback is None and result == "ok":
            callback = self.on_late_result
            result = "late"
        if callback is not None:
            callback(self.name, result, total, monotonic() - self.started_at)


class CounterConnection(asyncio.Protocol):
    """One connection to the counter, which is reopened whenever it is lost.

    Attributes:
        address: Address for the next connect.
        transport: Transport of the open connection; None: it is not open.
        unanswered_calls: Calls that were sent, in the order of their answers.
        waiting_calls: Calls that wait for a connection attempt; None if no attempt is under way.
        keep_alive: Idle seconds after which a `ping` is sent; learned, because the counter does not announce
            its idle timeout.
        reclaim_descriptor: Closes another connection of the gateway if no descriptor is free; set by the
            owner.
    """

    def __init__(self, address: Address) -> None:
        """Initialise a closed connection; `run` opens it."""
        self.address = address
        self.transport: asyncio.Transport | None = None
        self.unanswered_calls: deque[Call] = deque()
        self.waiting_calls: list[Call] | None = None
        self.keep_alive = KEEP_ALIVE_S
        self.reclaim_descriptor: Callable[[], bool] = reclaim_nothing
        self._partial_line = b""
        self._is_write_blocked = False
        self._last_written_at = 0.0
        self._is_proven = False  # it has received an answer, so it is reopened without backoff
        self._lost = asyncio.Event()
        self._protocol_log = LimitedLog(log)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the calls that waited for the connection."""
        self.transport = transport  # type: ignore[assignment]
        # Without a buffer above the socket, pause_writing is called as soon as it did not take a whole call.
        transport.set_write_buffer_limits(high=0)  # type: ignore[attr-defined]
        self._partial_line = b""
        self._is_write_blocked = False
        self._last_written_at = monotonic()
        self._is_proven = False
        self._release_waiting_calls()

    def pause_writing(self) -> None:
        """Stop sending calls, because the socket's buffer is full."""
        self._is_write_blocked = True

    def resume_writing(self) -> None:
        """Allow calls to be sent again."""
        self._is_write_blocked = False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the unanswered calls and have `run` connect again."""
        self.transport = None
        if self._is_proven:  # it is reopened at once, and new calls wait for that
            self.waiting_calls = self.waiting_calls or []
        calls = self.unanswered_calls
        self.unanswered_calls = deque()
        for call in calls:
            call.give_up()
        self._lost.set()

    def eof_received(self) -> None:
        """Learn the counter's idle timeout if it closed an idle connection."""
        if not self.unanswered_calls:
            idle_time = KEEP_ALIVE_FRACTION * (monotonic() - self._last_written_at)
            self.keep_alive = max(MIN_KEEP_ALIVE_S, min(self.keep_alive, idle_time))

    def data_received(self, data: bytes) -> None:
        """Match each answer with the oldest unanswered call; drop the connection after a malformed one."""
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        for line in lines:
            is_terminated = len(line) <= MAX_ANSWER_BYTES and line[-1:] == b"\r"
            if not is_terminated or not self._handle_answer(line[:-1]):
                self._protocol_log.write(logging.WARNING, "counter: unexpected answer %r", line[:80])
                self.abort_after_malformed_answer()
                return
        if len(self._partial_line) > MAX_ANSWER_BYTES:
            self._protocol_log.write(logging.WARNING, "counter: answer exceeds the maximum length")
            self.abort_after_malformed_answer()

    def write(self, call: Call) -> bool:
        """Send a call, or queue it for a connection that is being opened.

        Returns:
            Whether the call was accepted; otherwise no byte of it has been or will be sent.
        """
        if len(self.unanswered_calls) + len(self.waiting_calls or ()) >= MAX_UNANSWERED_CALLS:
            return False
        if self.waiting_calls is not None:
            self.waiting_calls.append(call)
            return True
        if self.transport is None or self._is_write_blocked or self.transport.is_closing():
            return False
        self.unanswered_calls.append(call)
        self._last_written_at = monotonic()
        call.is_written = True
        self.transport.write(call.command)
        return True

    def expect_connection(self) -> None:
        """Let new calls wait for the connection that `run` is about to open."""
        self.waiting_calls = []

    def change_address(self, address: Address) -> None:
        """Reconnect to another address once all unanswered calls are answered; new calls wait for it."""
        self.address = address
        if self.transport is not None:
            self._is_proven = True
            self.waiting_calls = self.waiting_calls or []
            self._abort_if_unused()

    def abort(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    def check(self) -> None:
        """Drop a connection that no longer answers; keep an idle one open with a `ping`."""
        now = monotonic()
        if self.unanswered_calls and now - self.unanswered_calls[0].started_at > ANSWER_TIMEOUT_S:
            # A machine that has failed sends nothing, so its connections would stay open forever.
            self._protocol_log.write(
                logging.WARNING, "counter: no answer for %.0f s, reconnecting", ANSWER_TIMEOUT_S
            )
            self.abort()
            return
        is_idle = self.transport is not None and not self.unanswered_calls
        if is_idle and now - self._last_written_at > self.keep_alive:
            self.write(Call(PING_NAME, b"ping\r\n", None))

    async def run(self) -> None:
        """Keep the connection open until cancelled, with backoff between failed attempts."""
        backoff = MIN_BACKOFF_S
        while True:
            self._lost.clear()
            self.waiting_calls = self.waiting_calls or []
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await retry_after_reclaim(self._connect, self.reclaim_descriptor)
            except (OSError, TimeoutError):
                self._release_waiting_calls()
                await asyncio.sleep(backoff)
                backoff = min(MAX_BACKOFF_S, 2 * backoff)
                continue
            await self._lost.wait()
            if self._is_proven:
                backoff = MIN_BACKOFF_S
            else:  # the counter accepted and closed it without an answer
                await asyncio.sleep(backoff)
                backoff = min(MAX_BACKOFF_S, 2 * backoff)

    async def _connect(self) -> None:
        host, port = self.address
        await asyncio.get_running_loop().create_connection(lambda: self, host, port)

    def _release_waiting_calls(self) -> None:
        """Send the waiting calls; end those that cannot be sent, since no connection is being opened."""
        waiting = self.waiting_calls or []
        self.waiting_calls = None
        for call in waiting:
            if call.on_result is not None and not self.write(call):
                call.give_up()

    def _handle_answer(self, line: bytes) -> bool:
        """Return whether a line answers the oldest unanswered call. Text after `error` is ignored."""
        if not self.unanswered_calls:
            return False
        if (line == b"pong") != (self.unanswered_calls[0].name == PING_NAME):
            return False
        if match := TOTAL_ANSWER.fullmatch(line):
            total = float(match[1])
            if not math.isfinite(total):
                return False
            self.unanswered_calls.popleft().end("ok", total)
        elif line == b"busy" or line.split(b" ", 1)[0] == b"error":
            self.unanswered_calls.popleft().end("full")
        elif line == b"pong":
            self.unanswered_calls.popleft().end("ok")
        else:
            return False
        self._is_proven = True
        self._abort_if_unused()
        return True

    def abort_after_malformed_answer(self) -> None:
        """Drop the connection. The amount was added, so the next connection first reads the total."""
        due_call = self.unanswered_calls[0] if self.unanswered_calls else None
        if due_call is not None and due_call.on_result is not None and not due_call.is_reread:
            self.unanswered_calls.popleft()
            _, name, _, lifetime = due_call.command.split()
            due_call.command = b"incr %s 0 %s\r\n" % (name, lifetime)
            due_call.is_reread = True
            self._is_proven = True
            self.waiting_calls = [due_call, *(self.waiting_calls or [])]
        self.abort()

    def _abort_if_unused(self) -> None:
        """Close the connection if new calls already wait for the next one and all answers have arrived."""
        if self.waiting_calls is not None and not self.unanswered_calls:
            self.abort()


class CounterClient:
    """The gateway's client of the counter service.

    Attributes:
        timeout: Seconds that a call waits for its answer.
        connections: The connections; each counter name is assigned to one of them.
    """

    def __init__(self, address: Address, timeout: float) -> None:
        """Initialise a client that is not connected; `start` connects it."""
        self.timeout = timeout
        self.connections = [CounterConnection(address) for _ in range(CONNECTION_COUNT)]
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Open the connections and keep them open. Calls made before they are open wait for them."""
        loop = asyncio.get_running_loop()
        for connection in self.connections:
            connection.expect_connection()
        coroutines = [*(connection.run() for connection in self.connections), self._check_connections()]
        self._tasks = [loop.create_task(coroutine) for coroutine in coroutines]

    def add(self, name: int, amount: float, lifetime: float, on_result: ResultCallback) -> None:
        """Add to a counter and read its total.

        Args:
            name: The counter's name.
            amount: Amount to add; 0 only reads the total.
            lifetime: Seconds for which the counter keeps the name; at least 1 ms is requested.
            on_result: Callback for the result; never called before this method returns.
        """
        lifetime_ms = max(1, math.ceil(lifetime * 1000))
        command = b"incr %d %s %d\r\n" % (name, f"{amount:.7g}".encode(), lifetime_ms)
        call = Call(name, command, on_result)
        loop = asyncio.get_running_loop()
        # A name always uses the same connection, which keeps its answers in order.
        if self.connections[name % CONNECTION_COUNT].write(call):
            call.timer = loop.call_later(self.timeout, call.give_up)
        else:
            loop.call_soon(call.give_up)

    def reconfigure(self, address: Address, timeout: float) -> None:
        """Apply a changed configuration.

        Args:
            address: New address of the counter.
            timeout: Seconds that a call waits for its answer.
        """
        self.timeout = timeout
        for connection in self.connections:
            if connection.address != address:
                connection.change_address(address)

    async def ping(self, address: Address) -> None:
        """Send a `ping`, which changes no counter, to another address.

        Raises:
            OSError: No `pong` arrives.
        """
        host, port = address
        reader, writer = await asyncio.open_connection(host, port, limit=MAX_ANSWER_BYTES)
        try:
            writer.write(b"ping\r\n")
            if await reader.readline() != b"pong\r\n":
                raise ConnectionError(f"no counter answers at {host}:{port}")
        finally:
            writer.transport.abort()

    def close(self) -> None:
        """Close the connections permanently."""
        for task in self._tasks:
            task.cancel()
        for connection in self.connections:
            connection.abort()

    async def _check_connections(self) -> None:
        while True:
            await asyncio.sleep(min(connection.keep_alive for connection in self.connections) / 4)
            for connection in self.connections:
                connection.check()
