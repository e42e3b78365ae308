"""The counter by its protocol: lines that add to named numbers, each answered with the total."""

from __future__ import annotations

import asyncio
from collections import deque
from time import monotonic
from typing import Any

from api_gateway.emulators.service import Faults, Served

MOST_NAMES = 100_000  # known at once; of more, the one that came first is forgotten
MOST_LIFE = 60.0  # s that a name lives at most
MOST_CALLS = 1000  # that are remembered for whoever looks


class Counter(Served):
    """Keeps totals, each for the life that its first call named. While it is `silent`, calls are added and
    stay unanswered until `answer_all`; `idle`: s without a line after which it closes a connection."""

    def __init__(self, seed: int = 0) -> None:
        super().__init__(seed)
        self.idle: float | None = None
        self.pings = self.added = 0
        self.closed: asyncio.Queue[bool] = asyncio.Queue()
        self.calls: deque[list[bytes]] = deque(maxlen=MOST_CALLS)
        self.totals: dict[bytes, float] = {}
        self.ends: dict[bytes, float] = {}  # when each name is forgotten, by the monotonic clock
        self.silent = False
        self.held: list[tuple[asyncio.StreamWriter, bytes]] = []
        self.arrived: asyncio.Queue[list[bytes]] = asyncio.Queue(MOST_CALLS)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await self.line(reader):
            if (answer := self.answer_to(line.split())) is None:
                continue
            if self.faults.delay:
                await asyncio.sleep(self.faults.delay)
            if self.silent or self.struck(self.faults.silent):
                self.held.append((writer, answer))
            else:
                writer.write(answer)

    def answer_to(self, words: list[bytes]) -> bytes | None:
        if words == [b"ping"]:
            self.pings += 1
            return b"pong\r\n"
        if self.struck(self.faults.busy):
            return b"busy\r\n"
        if self.struck(self.faults.error) or len(words) != 4 or words[0] != b"incr":
            return b"error\r\n"
        self.calls.append(words)
        if self.arrived.full():
            self.arrived.get_nowait()
        self.arrived.put_nowait(words)
        total = self.add(words[1], float(words[2]), min(MOST_LIFE, float(words[3]) / 1000))
        self.added += 1
        return b"ok %.7g\r\n" % total

    def add(self, name: bytes, amount: float, life: float) -> float:
        """The total; `life` is that of a new name, in seconds."""
        now = monotonic()
        if self.ends.get(name, 0.0) <= now:
            self.totals.pop(name, None)
            self.ends[name] = now + life
        total = self.totals[name] = self.totals.get(name, 0.0) + amount
        if len(self.totals) > MOST_NAMES:
            oldest = next(iter(self.totals))
            del self.totals[oldest], self.ends[oldest]
        return total

    async def line(self, reader: asyncio.StreamReader) -> bytes:
        try:
            async with asyncio.timeout(self.idle):
                return await reader.readline()
        except TimeoutError:
            self.closed.put_nowait(True)
            return b""

    def answer_all(self) -> None:
        held, self.held = self.held, []
        for writer, answer in held:
            if not writer.is_closing():
                writer.write(answer)

    def switch(self, faults: Faults) -> None:
        """What was held while it was silent is answered, late, once it is not."""
        super().switch(faults)
        if not faults.silent:
            self.answer_all()

    def status(self) -> dict[str, Any]:
        return {"names": len(self.totals), "added": self.added, "held": len(self.held)}
