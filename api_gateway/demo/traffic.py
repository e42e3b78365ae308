"""Traffic for a demo: customers of three plans, some beyond quota, and a front that spreads them.

Open loop: requests come by a schedule whatever the answers, and times count from when they were due.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import time
from collections import Counter, deque
from dataclasses import dataclass, field
from typing import Any

from api_gateway.emulators.site import S
from api_gateway.supervisor.sample_deployment import CLASSES, PLANS

PING_EVERY, PING_WITHIN = 0.5, 1.0  # s
AGAIN_MOST = 2  # more tries of a request whose connection broke, on other gateways
RECENT = 5000  # times of a class that are kept for its percentiles
CUSTOMERS = {"village": 12, "cooperative": 6, "utility": 3}
ASKS = (0.4, 0.8, 3.0)  # times its quota that a customer asks for, in turn
MIX = (("reading", 0.46), ("statement", 0.33), ("settlement", 0.21))
BODY = b"b" * 64
OUTCOMES = ("served", "refused", "failed", "lost")  # of a request; lost: no answer in time


@dataclass(slots=True)
class Customer:
    id: int
    plan: dict[str, Any]
    asks: float  # units a second
    first: int  # of its gateways, and how many
    spread: int
    used: float = 0.0  # units that may have been sent on

    def beyond(self, seconds: float) -> float:
        """Units past what its quota allows in so many seconds, from a full store."""
        return max(0.0, self.used - self.plan["most_at_once"] - self.plan["rate"] * seconds)


@dataclass(slots=True)
class Tally:
    outcomes: Counter[str] = field(default_factory=Counter)
    times: deque[float] = field(default_factory=lambda: deque(maxlen=RECENT))

    def percentile(self, part: float) -> float | None:
        """Milliseconds of the served ones; None before there are any."""
        times = sorted(self.times)
        return round(times[min(len(times) - 1, int(part * len(times)))] * 1000, 1) if times else None


def encode(parts: list[bytes]) -> bytes:
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts)


class Line:
    """A connection to a gateway with at most one request in work."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def ask(self, parts: list[bytes]) -> bytes:
        """The answer's first byte. Raises OSError or EOFError where the connection ends before it."""
        self.writer.write(encode(parts))
        line = await self.reader.readuntil(b"\r\n")
        if line[:1] == b"$":
            await self.reader.readexactly(int(line[1:]) + 2)
        return line[:1] if line[:5] != b"-BUSY" else b"B"


class Door:
    """One gateway as the front sees it."""

    def __init__(self, place: str) -> None:
        self.host, _, port = place.rpartition(":")
        self.port, self.ready, self.idle = int(port), False, list[Line]()
        self.outcomes: Counter[str] = Counter()

    async def line(self) -> Line:
        while self.idle:
            line = self.idle.pop()
            if not line.reader.at_eof() and not line.writer.is_closing():
                return line
        return Line(*await asyncio.open_connection(self.host, self.port))

    async def watch(self) -> None:
        while True:
            try:
                async with asyncio.timeout(PING_WITHIN):
                    line = await self.line()
                    self.ready = await line.ask([b"PING"]) == b"+"
                self.idle.append(line)
            except (OSError, EOFError, TimeoutError):
                self.ready = False
            await asyncio.sleep(PING_EVERY)

    def close(self) -> None:
        for line in self.idle:
            line.writer.close()


class Traffic:
    def __init__(self, places: list[str], seed: int = 1, scale: float = 1.0) -> None:
        self.doors = [Door(place) for place in places]
        self.random, self.scale, self.numbers = random.Random(seed), scale, itertools.count(1)
        self.classes = {told["name"]: told for told in CLASSES}
        self.tallies = {name: Tally() for name in self.classes}
        self.began = self.lasted = 0.0
        self.open: set[asyncio.Task[None]] = set()
        self.customers = []
        plans = [plan for plan in PLANS for _ in range(CUSTOMERS[plan["name"]])]
        for number, plan in enumerate(plans):
            asks = plan["rate"] * ASKS[number % len(ASKS)] * scale
            first = self.random.randrange(len(places))
            self.customers.append(Customer(0x1000 + number, plan, asks, first, min(len(places), 2)))

    async def run(self, seconds: float | None, ended: asyncio.Event) -> None:
        """Asks for so long or until it is ended, then waits for what is open."""
        watches = [asyncio.create_task(door.watch()) for door in self.doors]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(PING_WITHIN * 5):
                while not all(door.ready for door in self.doors):
                    await asyncio.sleep(0.02)
        self.began = time.monotonic()
        asking = [asyncio.create_task(self.arrivals(customer)) for customer in self.customers]
        try:
            async with asyncio.timeout(seconds):
                await ended.wait()
        except TimeoutError:
            pass
        finally:
            self.lasted = time.monotonic() - self.began
            for task in asking:
                task.cancel()
            if self.open:
                await asyncio.wait(self.open)
            for task in watches:
                task.cancel()
            await asyncio.gather(*asking, *watches, return_exceptions=True)
            for door in self.doors:
                door.close()

    def elapsed(self) -> float:
        """Seconds for which it has asked."""
        return self.lasted or (time.monotonic() - self.began if self.began else 0.0)

    async def arrivals(self, customer: Customer) -> None:
        due = time.monotonic()
        while True:
            due += self.random.expovariate(customer.asks)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            task = asyncio.create_task(self.request(customer, due))
            self.open.add(task)
            task.add_done_callback(self.open.discard)

    async def request(self, customer: Customer, due: float) -> None:
        """One request of a client with its tries; it ends in one outcome."""
        name = self.random.choices([n for n, _ in MIX], [share for _, share in MIX])[0]
        deadline = due + self.classes[name]["deadline"] / S
        key, outcome = b"%x" % next(self.numbers), "lost"
        for attempt in range(1 + AGAIN_MOST):
            door = self.choose(customer, attempt)
            told = await self.attempt(door, customer, name, key, deadline, attempt)
            if told != "reset":
                outcome = told
                break
            self.tallies[name].outcomes["tried again"] += 1
            await asyncio.sleep(0.05)
        self.tallies[name].outcomes[outcome] += 1
        if outcome == "served":
            self.tallies[name].times.append(time.monotonic() - due)

    def choose(self, customer: Customer, attempt: int) -> Door:
        """A gateway of the customer's set that is ready, another one at each try if there is one."""
        own = [self.doors[(customer.first + n) % len(self.doors)] for n in range(customer.spread)]
        able = [door for door in own if door.ready] or own
        return able[(next(self.numbers) + attempt) % len(able)]

    async def attempt(
        self, door: Door, customer: Customer, name: str, key: bytes, deadline: float, attempt: int
    ) -> str:
        """How it ended: served, refused, failed, lost (no answer in time) or reset (the connection broke)."""
        left = deadline - time.monotonic()
        keyed = self.classes[name]["effect"] == "token"
        terms = b"c=%s,t=%s,d=%d,%sunits=1,spread=%d,first=%d" % (
            name.encode(),
            customer.plan["name"].encode(),
            max(1, left * 1000),
            b"k=%s," % key if keyed else b"",
            customer.spread,
            customer.first,
        )
        parts = [
            b"API.WRITE" if keyed else b"API.READ",
            b"%016x" % customer.id,
            b"%s.%d" % (key, attempt),
            terms,
        ]
        line, sent = None, False
        try:
            async with asyncio.timeout(left):
                line = await door.line()
                sent = True
                told = await line.ask(parts + ([BODY] if keyed else []))
        except TimeoutError:
            outcome = "lost"
        except (OSError, EOFError):
            outcome = "reset"
            door.ready = False
        else:
            outcome = {b"$": "served", b"B": "refused"}.get(told, "failed")
            door.idle.append(line)
        if outcome in ("lost", "reset") and line is not None:
            with contextlib.suppress(OSError):
                line.writer.close()
        door.outcomes[outcome] += 1
        if sent and outcome != "refused":
            customer.used += 1.0
        return outcome

    def summary(self) -> dict[str, Any]:
        """Counts of requests by outcome, times by class in ms, and use of quota by plan over all gateways."""
        seconds = self.elapsed()
        total = sum((tally.outcomes for tally in self.tallies.values()), Counter())
        plans = {}
        for plan in PLANS:
            own = [c for c in self.customers if c.plan is plan]
            quota = sum(plan["most_at_once"] + plan["rate"] * seconds for _ in own)
            plans[plan["name"]] = {
                "customers": len(own),
                "asked_of_quota": round(sum(c.asks for c in own) * seconds / quota, 3),
                "used_of_quota": round(sum(c.used for c in own) / quota, 3),
                "most_beyond_in_bursts": round(max(c.beyond(seconds) for c in own) / plan["most_at_once"], 3),
            }
        return {
            "seconds": round(seconds, 1),
            **{name: total[name] for name in OUTCOMES},
            "tried_again": total["tried again"],
            "classes": {
                name: {
                    **{o: tally.outcomes[o] for o in OUTCOMES},
                    "median_ms": tally.percentile(0.5),
                    "p99_ms": tally.percentile(0.99),
                }
                for name, tally in self.tallies.items()
            },
            "plans": plans,
        }
