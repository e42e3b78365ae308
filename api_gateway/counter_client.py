"""Client of the counter service: pipelined calls over a few persistent connections.

Each counter name belongs to one connection, so its answers come in order. A connection that is lost is opened
again with backoff. A call ends once, with one of the results `ok`, `full`, `timeout` and `connect_failed`;
after a `timeout` it may report once more, as `late`, since the amount was added and the total is true.
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

# Number of connections: several, so that a slow part of the counter does not delay the names of the others.
CONNECTION_COUNT = 4
CONNECT_TIMEOUT_S = 1.0
# Idle time after which a `ping`, which costs nothing, keeps a connection open.
KEEP_ALIVE_S = 2.0
# Part of the idle time after which the counter closed a connection, at which the next `ping` is sent.
KEEP_ALIVE_FRACTION = 0.5
MIN_KEEP_ALIVE_S = 0.1
# Wait for a due answer after which a connection counts as dead and is opened again.
ANSWER_TIMEOUT_S = 2.0
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
# Stands in for the counter name in a call that is a `ping`.
PING_NAME = -1
MAX_ANSWER_BYTES = 4096
# The answer to `incr`. float() alone would take 1_0 and blanks, too.
TOTAL_ANSWER = re.compile(rb"ok ([+-]?(?:\d+\.?\d*|\.\d+)(?:[eE][+-]?\d+)?)")

log = logging.getLogger(__name__)

# Receives a call's outcome: counter name, result, total, seconds since the call was made.
ResultCallback = Callable[[int, str, float, float], None]


class Call:
    """One command to the counter and the callback that receives its result.

    Attributes:
        name: Counter name, or PING_NAME.
        command: The bytes to send.
        on_result: Called once with the result; None once it was, or where nobody waits.
        on_late_result: Called with the total that comes after a timeout.
        started_at: When the call was made, by the monotonic clock.
        is_written: Whether it was written, so that its amount may have been added.
        is_reread: Whether it reads the total that a malformed answer left out.
        timer: Ends the call at its timeout.
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
        """Make a call that is not written yet."""
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
    """One connection to the counter, opened again whenever it is lost.

    Attributes:
        address: Where the next connection goes.
        transport: The open connection's transport.
        unanswered_calls: Calls that were written, in the order of their answers.
        waiting_calls: Calls that wait for a connection which is coming up; None where none comes up.
        keep_alive: Idle seconds after which a `ping` is sent; learnt, since the counter does not announce
            after how long it closes an idle connection.
        reclaim_descriptor: Closes some other connection of the gateway where none can be opened; set by the
            owner.
    """

    def __init__(self, address: Address) -> None:
        """Make a connection that is not open; `run` opens it."""
        self.address = address
        self.transport: asyncio.Transport | None = None
        self.unanswered_calls: deque[Call] = deque()
        self.waiting_calls: list[Call] | None = None
        self.keep_alive = KEEP_ALIVE_S
        self.reclaim_descriptor: Callable[[], bool] = reclaim_nothing
        self._partial_line = b""
        self._is_write_blocked = False
        self._last_written_at = 0.0
        self._is_proven = False  # it has brought an answer, so it is opened again without backoff
        self._lost = asyncio.Event()
        self._protocol_log = LimitedLog(log)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the calls that waited for the connection."""
        self.transport = transport  # type: ignore[assignment]
        # With no buffer above the socket, pause_writing follows at once where it did not take a whole call.
        transport.set_write_buffer_limits(high=0)  # type: ignore[attr-defined]
        self._partial_line = b""
        self._is_write_blocked = False
        self._last_written_at = monotonic()
        self._is_proven = False
        self._release_waiting_calls()

    def pause_writing(self) -> None:
        """Note that the socket takes no more."""
        self._is_write_blocked = True

    def resume_writing(self) -> None:
        """Note that the socket takes calls again."""
        self._is_write_blocked = False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the unanswered calls and have `run` connect again."""
        self.transport = None
        if self._is_proven:  # it is opened again at once: calls made meanwhile wait for that
            self.waiting_calls = self.waiting_calls or []
        calls = self.unanswered_calls
        self.unanswered_calls = deque()
        for call in calls:
            call.give_up()
        self._lost.set()

    def eof_received(self) -> None:
        """Learn the counter's idle timeout where it closed an idle connection."""
        if not self.unanswered_calls:
            idle_time = KEEP_ALIVE_FRACTION * (monotonic() - self._last_written_at)
            self.keep_alive = max(MIN_KEEP_ALIVE_S, min(self.keep_alive, idle_time))

    def data_received(self, data: bytes) -> None:
        """Match each answer with the call that is due; drop the connection at a malformed one."""
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        for line in lines:
            is_line = len(line) <= MAX_ANSWER_BYTES and line[-1:] == b"\r"
            if not is_line or not self._handle_answer(line[:-1]):
                self._protocol_log.write(logging.WARNING, "counter: unexpected answer %r", line[:80])
                self.abort_after_malformed_answer()
                return
        if len(self._partial_line) > MAX_ANSWER_BYTES:
            self._protocol_log.write(logging.WARNING, "counter: an answer without end")
            self.abort_after_malformed_answer()

    def write(self, call: Call) -> bool:
        """Send a call, or queue it for a connection that is coming up.

        Returns:
            Whether it was taken; otherwise no byte of it was written, nor will be.
        """
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
        """Let calls from now on wait for the connection that `run` is about to open."""
        self.waiting_calls = []

    def move(self, address: Address) -> None:
        """Change the address, once the unanswered calls are answered; calls from now on go to the new one."""
        self.address = address
        if self.transport is not None:
            self._is_proven = True
            self.waiting_calls = self.waiting_calls or []
            self._abort_if_leaving()

    def abort(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    def check(self) -> None:
        """Drop a connection that has gone silent; keep an idle one open by a `ping`."""
        now = monotonic()
        if self.unanswered_calls and now - self.unanswered_calls[0].started_at > ANSWER_TIMEOUT_S:
            # A machine that vanished says nothing, and its connections stay open for good.
            self._protocol_log.write(
                logging.WARNING, "counter: no answer for %.0f s, connecting again", ANSWER_TIMEOUT_S
            )
            self.abort()
            return
        is_idle = self.transport is not None and not self.unanswered_calls
        if is_idle and now - self._last_written_at > self.keep_alive:
            self.write(Call(PING_NAME, b"ping\r\n", None))

    async def run(self) -> None:
        """Keep the connection open until cancelled, with backoff between attempts that fail."""
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
            else:  # accepted, then closed without an answer
                await asyncio.sleep(backoff)
                backoff = min(MAX_BACKOFF_S, 2 * backoff)

    async def _connect(self) -> None:
        host, port = self.address
        await asyncio.get_running_loop().create_connection(lambda: self, host, port)

    def _release_waiting_calls(self) -> None:
        """Send the waiting calls; those that cannot be sent end, since no connection is coming up now."""
        waiting = self.waiting_calls or []
        self.waiting_calls = None
        for call in waiting:
            if call.on_result is not None and not self.write(call):
                call.give_up()

    def _handle_answer(self, line: bytes) -> bool:
        """Return whether a line answers the call that is due. Text behind `error` has no meaning."""
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
        self._abort_if_leaving()
        return True

    def abort_after_malformed_answer(self) -> None:
        """Drop the connection; the amount was added, so the next connection first reads the total."""
        due_call = self.unanswered_calls[0] if self.unanswered_calls else None
        if due_call is not None and due_call.on_result is not None and not due_call.is_reread:
            self.unanswered_calls.popleft()
            _, name, _, lifetime = due_call.command.split()
            due_call.command = b"incr %s 0 %s\r\n" % (name, lifetime)
            due_call.is_reread = True
            self._is_proven = True
            self.waiting_calls = [due_call, *(self.waiting_calls or [])]
        self.abort()

    def _abort_if_leaving(self) -> None:
        """Close a connection whose calls already wait for the next one, once all answers have come."""
        if self.waiting_calls is not None and not self.unanswered_calls:
            self.abort()


class CounterClient:
    """The gateway's client of the counter service.

    Attributes:
        timeout: Seconds that a call waits for its answer.
        connections: The connections; a counter name belongs to one of them.
    """

    def __init__(self, address: Address, timeout: float) -> None:
        """Make a client that is not connected; `start` connects it."""
        self.timeout = timeout
        self.connections = [CounterConnection(address) for _ in range(CONNECTION_COUNT)]
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Open the connections and keep them open. Calls made at once wait for the first of them."""
        loop = asyncio.get_running_loop()
        for connection in self.connections:
            connection.expect_connection()
        work = [*(connection.run() for connection in self.connections), self._check_connections()]
        self._tasks = [loop.create_task(coroutine) for coroutine in work]

    def add(self, name: int, amount: float, lifetime: float, on_result: ResultCallback) -> None:
        """Add to a counter and read its total.

        Args:
            name: The counter's name.
            amount: What is added; 0 reads the total only.
            lifetime: Seconds for which the counter keeps the name; at least 1 ms is asked for.
            on_result: Receives the result, never before this method returns.
        """
        lifetime_ms = max(1, math.ceil(lifetime * 1000))
        command = b"incr %d %s %d\r\n" % (name, f"{amount:.7g}".encode(), lifetime_ms)
        call = Call(name, command, on_result)
        loop = asyncio.get_running_loop()
        # One connection a name keeps its answers in order.
        if self.connections[name % CONNECTION_COUNT].write(call):
            call.timer = loop.call_later(self.timeout, call.give_up)
        else:
            loop.call_soon(call.give_up)

    def reconfigure(self, address: Address, timeout: float) -> None:
        """Apply a changed configuration.

        Args:
            address: Where the counter is now.
            timeout: Seconds that a call waits for its answer.
        """
        self.timeout = timeout
        for connection in self.connections:
            if connection.address != address:
                connection.move(address)

    async def ping(self, address: Address) -> None:
        """Send a `ping`, which costs nothing, to another address.

        Raises:
            OSError: Where no `pong` comes.
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
        """Close the connections for good."""
        for task in self._tasks:
            task.cancel()
        for connection in self.connections:
            connection.abort()

    async def _check_connections(self) -> None:
        while True:
            await asyncio.sleep(min(connection.keep_alive for connection in self.connections) / 4)
            for connection in self.connections:
                connection.check()
