"""Calls to the counter: pipelined over a few kept connections, each name on one of them."""

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

LINES = 4  # connections, so that a part that is slow does not hold up the names of the others
KEEP_ALIVE = 2.0  # s without a call after which a `ping`, which costs nothing, keeps a connection open
KEEP_PART, KEEP_LEAST = 0.5, 0.1  # part of the rest after which the counter closed one; least time for a ping
SILENT = 2.0  # s without an answer that was due, after which a connection is held dead and made anew
BACKOFF_LEAST, BACKOFF_MOST = 0.05, 1.0  # s between tries to connect
PING = -1  # in place of a name
MOST_LINE = 4096  # bytes of an answer
TOTAL = re.compile(rb"ok ([+-]?(?:\d+\.?\d*|\.\d+)(?:[eE][+-]?\d+)?)")  # float() takes 1_0 and blanks too

log = logging.getLogger(__name__)

Done = Callable[[int, str, float, float], None]  # name, result, total, elapsed


class Call:
    __slots__ = ("name", "text", "done", "started", "written", "again", "late", "timer")

    def __init__(self, name: int, text: bytes, done: Done | None) -> None:
        self.name, self.text, self.done, self.started, self.written = name, text, done, monotonic(), False
        self.again = False  # it reads the total that a broken answer left out
        self.late: Done | None = None  # hears of an answer after the time-out
        self.timer: asyncio.TimerHandle | None = None

    def give_up(self) -> None:
        self.end("timeout" if self.written else "connect_failed")  # once written, it may have been added

    def end(self, result: str, total: float = 0.0) -> None:
        """Reports once, but for a total that comes after a time-out: it is true, and the add was made."""
        if self.timer is not None:
            self.timer.cancel()
        done, self.done = self.done, None
        if result == "timeout":
            self.late = done
        elif done is None and result == "ok":
            done, result = self.late, "late"
        if done is not None:
            done(self.name, result, total, monotonic() - self.started)


class Line(asyncio.Protocol):
    """One connection, made again whenever it is lost."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.transport: asyncio.Transport | None = None
        self.calls: deque[Call] = deque()  # written and not answered
        self.coming: list[Call] | None = None  # calls that wait for a connection which is coming up
        self.rest, self.blocked, self.used = b"", False, 0.0
        self.worked = False  # the connection has brought an answer
        self.keep_alive = KEEP_ALIVE  # the counter does not tell for how long a connection may stand idle
        self.lost = asyncio.Event()
        self.reclaim_descriptor = reclaim_nothing  # ends a connection of others where none can be opened
        self.odd = LimitedLog(log)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        # pause_writing then tells at once that the socket did not take a whole call.
        transport.set_write_buffer_limits(high=0)  # type: ignore[attr-defined]
        self.rest, self.blocked, self.used, self.worked = b"", False, monotonic(), False
        self.release()

    def release(self) -> None:
        waiting, self.coming = self.coming or [], None
        for call in waiting:
            if call.done is not None and not self.write(call):
                call.give_up()

    def pause_writing(self) -> None:
        self.blocked = True

    def resume_writing(self) -> None:
        self.blocked = False

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self.worked:  # it is made again at once: what comes meanwhile waits for that
            self.coming = self.coming or []
        calls, self.calls = self.calls, deque()
        for call in calls:
            call.give_up()
        self.lost.set()

    def eof_received(self) -> None:
        if not self.calls:  # it stood idle for too long: from now on it is kept open in time
            idle = KEEP_PART * (monotonic() - self.used)
            self.keep_alive = max(KEEP_LEAST, min(self.keep_alive, idle))

    def write(self, call: Call) -> bool:
        """False if nothing of it was written, nor will be."""
        if self.coming is not None:
            self.coming.append(call)
            return True
        if self.transport is None or self.blocked or self.transport.is_closing():
            return False
        self.calls.append(call)
        self.used, call.written = monotonic(), True
        self.transport.write(call.text)
        return True

    def data_received(self, data: bytes) -> None:
        *lines, self.rest = (self.rest + data).split(b"\n")
        for line in lines:
            if len(line) > MOST_LINE or line[-1:] != b"\r" or not self.answer(line[:-1]):
                self.odd.say(logging.WARNING, "counter: unexpected answer %r", line[:80])
                self.spoilt()
                return
        if len(self.rest) > MOST_LINE:
            self.odd.say(logging.WARNING, "counter: an answer without end")
            self.spoilt()

    def spoilt(self) -> None:
        """An answer without a number: the amount was added, so the total is read on the next connection."""
        if self.calls and self.calls[0].done is not None and not self.calls[0].again:
            call = self.calls.popleft()
            _, name, _, lifetime = call.text.split()
            call.text, call.again = b"incr %s 0 %s\r\n" % (name, lifetime), True
            self.worked, self.coming = True, [call, *(self.coming or [])]
        self.abort()

    def answer(self, line: bytes) -> bool:
        """Whether it answers the call whose turn it is. What is said behind an error changes nothing."""
        if not self.calls or (line == b"pong") != (self.calls[0].name == PING):
            return False
        if told := TOTAL.fullmatch(line):
            total = float(told[1])
            if not math.isfinite(total):
                return False
            self.calls.popleft().end("ok", total)
        elif line == b"busy" or line.split(b" ", 1)[0] == b"error":
            self.calls.popleft().end("full")
        elif line == b"pong":
            self.calls.popleft().end("ok")
        else:
            return False
        self.worked = True
        self.leave()
        return True

    def move(self, address: Address) -> None:
        """To another address, once what is out here is answered; what comes from now on goes there."""
        self.address = address
        if self.transport is not None:
            self.worked, self.coming = True, self.coming or []
            self.leave()

    def leave(self) -> None:
        if self.coming is not None and not self.calls:
            self.abort()

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def check(self) -> None:
        now = monotonic()
        if self.calls and now - self.calls[0].started > SILENT:
            # A machine that vanished says nothing, and its connections stay open for good.
            self.odd.say(logging.WARNING, "counter: no answer for %.0f s, connecting again", SILENT)
            self.abort()
        elif self.transport is not None and not self.calls and now - self.used > self.keep_alive:
            self.write(Call(PING, b"ping\r\n", None))

    async def keep(self) -> None:
        loop, pause = asyncio.get_running_loop(), BACKOFF_LEAST
        while True:
            self.lost.clear()
            self.coming = self.coming or []
            try:
                async with asyncio.timeout(1.0):
                    await retry_after_reclaim(
                        lambda: loop.create_connection(lambda: self, *self.address), self.reclaim_descriptor
                    )
            except (OSError, TimeoutError):
                self.release()
                await asyncio.sleep(pause)
                pause = min(BACKOFF_MOST, 2 * pause)
                continue
            await self.lost.wait()
            if self.worked:
                pause = BACKOFF_LEAST
            else:  # accepted, then closed: no reason to hurry
                await asyncio.sleep(pause)
                pause = min(BACKOFF_MOST, 2 * pause)


class Counter:
    def __init__(self, address: Address, timeout: float) -> None:
        self.timeout = timeout
        self.lines = [Line(address) for _ in range(LINES)]
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        loop = asyncio.get_running_loop()
        for line in self.lines:  # what is called at once waits for the first connection
            line.coming = []
        work = [*(line.keep() for line in self.lines), self.checks()]
        self.tasks = [loop.create_task(one) for one in work]

    async def checks(self) -> None:
        while True:
            await asyncio.sleep(min(line.keep_alive for line in self.lines) / 4)
            for line in self.lines:
                line.check()

    def add(self, name: int, amount: float, lifetime: float, done: Done) -> None:
        text = b"incr %d %s %d\r\n" % (name, f"{amount:.7g}".encode(), max(1, math.ceil(lifetime * 1000)))
        call, loop = Call(name, text, done), asyncio.get_running_loop()
        if self.lines[name % LINES].write(call):  # one line a name keeps its answers in order
            call.timer = loop.call_later(self.timeout, call.give_up)
        else:
            loop.call_soon(call.give_up)

    def retune(self, address: Address, timeout: float) -> None:
        self.timeout = timeout
        for line in self.lines:
            if line.address != address:
                line.move(address)

    async def contact(self, address: Address) -> None:
        """A `ping`, which costs nothing, at another address. Raises OSError where no `pong` comes."""
        reader, writer = await asyncio.open_connection(*address, limit=MOST_LINE)
        try:
            writer.write(b"ping\r\n")
            if await reader.readline() != b"pong\r\n":
                raise ConnectionError(f"no counter answers at {address[0]}:{address[1]}")
        finally:
            writer.transport.abort()

    def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        for line in self.lines:
            line.abort()
