"""What becomes of what goes one way over a link: lost, late, held, out of order. No I/O, no clock.

Datagrams come out at any number of times, or never. A stream keeps its order: what is lost of it comes later,
as after a transmission that is done again, and what is cut off is held until the line is whole.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass

AGAIN = 0.2  # s after which TCP sends again what was lost, as Linux at the least; then twice as long
BEHIND = 0.05  # s by which a datagram that loses its place comes later
WAITS_MOST = 1.0  # s of datagrams that a throttled line holds; more is lost


@dataclass(frozen=True, slots=True)
class Treatment:
    """Shares are from 0 to 1, times in seconds."""

    drop: float = 0.0
    delay: float = 0.0
    jitter: float = 0.0  # up to so much more, drawn for each
    reorder: float = 0.0  # share of datagrams that come after some of those behind them
    double: float = 0.0  # share of datagrams that come twice
    rate: float = 0.0  # bytes a second; 0: any number
    cut: bool = False


PASS = Treatment()


class Line:
    """One direction between two processes. `counts`: what became of what came."""

    def __init__(self, rng: random.Random) -> None:
        self.rng, self.treatment = rng, PASS
        self.free_at = 0.0  # when all that came is through, where the line is throttled
        self.last = 0.0  # when the last piece of a stream comes out
        self.counts: Counter[str] = Counter()

    def struck(self, share: float) -> bool:
        return share > 0 and self.rng.random() < share

    def lag(self) -> float:
        told = self.treatment
        return told.delay + (self.rng.uniform(0, told.jitter) if told.jitter else 0.0)

    def queue(self, now: float, size: int) -> float:
        """When `size` bytes are through, behind all that came before."""
        if not self.treatment.rate:
            return now
        self.free_at = max(now, self.free_at) + size / self.treatment.rate
        return self.free_at

    def datagram(self, now: float, size: int) -> list[float]:
        """When it comes out, and its copies; nothing where it is lost."""
        told = self.treatment
        full = told.rate > 0 and self.free_at - now > WAITS_MOST
        if told.cut or full or self.struck(told.drop):
            self.counts["lost"] += 1
            return []
        through = self.queue(now, size)
        times = [through + self.lag() for _ in range(1 + self.struck(told.double))]
        if self.struck(told.reorder):
            times[0] += BEHIND
            self.counts["reordered"] += 1
        self.counts["passed"] += 1
        return times

    def piece(self, now: float, size: int) -> float | None:
        """When a piece of a stream comes out, never before those that came earlier; None: not before the line
        is whole again, and then it is to be asked anew."""
        if self.treatment.cut:
            return None
        again = AGAIN
        due = self.queue(now, size) + self.lag()
        while self.struck(self.treatment.drop) and again < 60:
            due += again
            again *= 2
            self.counts["again"] += 1
        self.last = max(due, self.last)
        self.counts["passed"] += 1
        return self.last
