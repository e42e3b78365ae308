"""A stand-in for the counter: each line adds to a named total and is answered with the new total."""

from __future__ import annotations

import asyncio
from collections import deque
from time import monotonic
from typing import Any

from api_gateway.emulators.service import Faults, StreamStandIn

MAX_NAMES = 100_000  # beyond this, the name that was added first is removed
MAX_LIFETIME_S = 60.0  # of a name
MAX_RECORDED_CALLS = 1000  # calls that stay available for inspection


class Counter(StreamStandIn):
    """Keeps each total for the lifetime that the first call with its name gives.

    Attributes:
        idle_timeout: Seconds without a line after which a connection is closed; None for no limit.
        silent: Whether calls are added but not answered until `send_pending_replies`.
        pings: Number of pings received.
        added: Number of calls that added to a total.
        closed: Gets an item for each connection closed by the idle timeout.
        calls: The last calls, each as the words of its line.
        arrived: The same calls as a queue, for tests that wait for one.
        totals: Total by name.
        expires_at: Time at which each name expires, on the monotonic clock.
        pending_replies: Replies withheld because of silence, each with its connection.
    """

    def __init__(self, seed: int = 0) -> None:
        """Create a counter without totals; `seed` determines which calls faults affect."""
        super().__init__(seed)
        self.idle_timeout: float | None = None
        self.pings = self.added = 0
        self.closed: asyncio.Queue[bool] = asyncio.Queue()
        self.calls: deque[list[bytes]] = deque(maxlen=MAX_RECORDED_CALLS)
        self.totals: dict[bytes, float] = {}
        self.expires_at: dict[bytes, float] = {}
        self.silent = False
        self.pending_replies: list[tuple[asyncio.StreamWriter, bytes]] = []
        self.arrived: asyncio.Queue[list[bytes]] = asyncio.Queue(MAX_RECORDED_CALLS)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the lines of one connection until it ends."""
        while line := await self.read_line(reader):
            if (reply := self.answer_to(line.split())) is None:
                continue
            if self.faults.delay:
                await asyncio.sleep(self.faults.delay)
            if self.silent or self.should_inject(self.faults.silent):
                self.pending_replies.append((writer, reply))
            else:
                writer.write(reply)

    def answer_to(self, words: list[bytes]) -> bytes | None:
        """Execute one line, given as its words, and return the reply."""
        if words == [b"ping"]:
            self.pings += 1
            return b"pong\r\n"
        if self.should_inject(self.faults.busy):
            return b"busy\r\n"
        if self.should_inject(self.faults.error) or len(words) != 4 or words[0] != b"incr":
            return b"error\r\n"
        self.calls.append(words)
        if self.arrived.full():
            self.arrived.get_nowait()
        self.arrived.put_nowait(words)
        total = self.add(words[1], float(words[2]), min(MAX_LIFETIME_S, float(words[3]) / 1000))
        self.added += 1
        return b"ok %.7g\r\n" % total

    def add(self, name: bytes, amount: float, lifetime: float) -> float:
        """Add to a total and return it; a new name expires after `lifetime` seconds."""
        now = monotonic()
        if self.expires_at.get(name, 0.0) <= now:
            self.totals.pop(name, None)
            self.expires_at[name] = now + lifetime
        total = self.totals[name] = self.totals.get(name, 0.0) + amount
        if len(self.totals) > MAX_NAMES:
            oldest = next(iter(self.totals))
            del self.totals[oldest], self.expires_at[oldest]
        return total

    async def read_line(self, reader: asyncio.StreamReader) -> bytes:
        """Return the next line, or b"" at the end of the connection or after the idle timeout."""
        try:
            async with asyncio.timeout(self.idle_timeout):
                return await reader.readline()
        except TimeoutError:
            self.closed.put_nowait(True)
            return b""

    def send_pending_replies(self) -> None:
        """Send the replies withheld because of silence to the connections that are still open."""
        pending, self.pending_replies = self.pending_replies, []
        for writer, reply in pending:
            if not writer.is_closing():
                writer.write(reply)

    def set_faults(self, faults: Faults) -> None:
        """Replace the faults; once `silent` is off, send the withheld replies late."""
        super().set_faults(faults)
        if not faults.silent:
            self.send_pending_replies()

    def status(self) -> dict[str, Any]:
        """Return the numbers of names, of calls added and of withheld replies."""
        return {"names": len(self.totals), "added": self.added, "held": len(self.pending_replies)}
