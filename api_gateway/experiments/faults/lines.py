"""Model of the traffic in one direction of a link: loss, delay, queueing and reordering. No I/O, no clock.

A datagram is delivered any number of times, or never. A stream keeps its order. A chunk of it that is lost is
delivered later, as after a retransmission, and nothing is delivered while the line is cut.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass

RETRANSMIT_TIMEOUT_S = 0.2  # the minimum of Linux for TCP; doubled after each further loss
REORDER_DELAY_S = 0.05  # added to the delay of a datagram that is reordered
MAX_QUEUE_S = 1.0  # of datagrams on a throttled line; further ones are lost


@dataclass(frozen=True, slots=True)
class Impairment:
    """Impairment of one direction of a link. Probabilities are from 0 to 1, times in seconds."""

    drop: float = 0.0
    delay: float = 0.0
    jitter: float = 0.0  # upper bound of the random delay added to each datagram or chunk
    reorder: float = 0.0  # probability that a datagram is overtaken by later ones
    duplicate: float = 0.0  # probability that a datagram is delivered twice
    rate: float = 0.0  # bytes per second; 0 is unlimited
    cut: bool = False


NO_IMPAIRMENT = Impairment()


class Line:
    """One direction between two processes. `counts` holds the number of datagrams and chunks per outcome."""

    def __init__(self, rng: random.Random) -> None:
        self.rng, self.impairment = rng, NO_IMPAIRMENT
        self.free_at = 0.0  # when a throttled line has sent all that is queued
        self.last_chunk_at = 0.0  # delivery time of the latest chunk of the stream
        self.counts: Counter[str] = Counter()

    def occurs(self, probability: float) -> bool:
        """Draw whether an event of this probability occurs."""
        return probability > 0 and self.rng.random() < probability

    def draw_delay(self) -> float:
        """Draw a delay: the fixed delay plus the jitter."""
        impairment = self.impairment
        return impairment.delay + (self.rng.uniform(0, impairment.jitter) if impairment.jitter else 0.0)

    def enqueue(self, now: float, size: int) -> float:
        """Return when `size` bytes have been sent, after everything queued before them."""
        if not self.impairment.rate:
            return now
        self.free_at = max(now, self.free_at) + size / self.impairment.rate
        return self.free_at

    def datagram_times(self, now: float, size: int) -> list[float]:
        """Return the delivery times of a datagram and its copies, empty if it is lost."""
        impairment = self.impairment
        is_queue_full = impairment.rate > 0 and self.free_at - now > MAX_QUEUE_S
        if impairment.cut or is_queue_full or self.occurs(impairment.drop):
            self.counts["lost"] += 1
            return []
        sent_at = self.enqueue(now, size)
        times = [sent_at + self.draw_delay() for _ in range(1 + self.occurs(impairment.duplicate))]
        if self.occurs(impairment.reorder):
            times[0] += REORDER_DELAY_S
            self.counts["reordered"] += 1
        self.counts["passed"] += 1
        return times

    def chunk_time(self, now: float, size: int) -> float | None:
        """Return the delivery time of a chunk of the stream, never before that of an earlier chunk.

        None means that the line is cut. The caller asks again when it is restored.
        """
        if self.impairment.cut:
            return None
        timeout = RETRANSMIT_TIMEOUT_S
        due = self.enqueue(now, size) + self.draw_delay()
        while self.occurs(self.impairment.drop) and timeout < 60:
            due += timeout
            timeout *= 2
            self.counts["again"] += 1
        self.last_chunk_at = max(due, self.last_chunk_at)
        self.counts["passed"] += 1
        return self.last_chunk_at
