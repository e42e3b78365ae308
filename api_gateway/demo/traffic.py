"""Traffic for the demo: customers of three plans, some above their quota, and a front end that spreads it.

The load is open loop: requests arrive on a schedule that does not depend on replies, and latency counts from
the scheduled time.
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

from api_gateway.emulators.site import NS_PER_S
from api_gateway.supervisor.sample_deployment import CLASSES, PLANS

PING_INTERVAL_S, PING_TIMEOUT_S = 0.5, 1.0
MAX_RETRIES = 2  # of a request whose connection broke; each goes to another gateway if one is ready
MAX_RECENT_LATENCIES = 5000  # per class, for its percentiles
CUSTOMERS_PER_PLAN = {"village": 12, "cooperative": 6, "utility": 3}
DEMAND_FACTORS = (0.4, 0.8, 3.0)  # demand of a customer relative to its quota, assigned in turn
CLASS_MIX = (("reading", 0.46), ("statement", 0.33), ("settlement", 0.21))  # fraction of requests
BODY = b"b" * 64
OUTCOMES = ("served", "refused", "failed", "lost")  # of a request; lost: no reply before its deadline


@dataclass(slots=True)
class Customer:
    """A customer and its use of its quota.

    Attributes:
        id: The customer's id.
        plan: The customer's plan, as in the settings.
        demand: Units requested per second.
        first: Index of the first gateway that serves the customer.
        spread: Number of gateways that serve the customer.
        used: Units that may have been sent on to hosts.
    """

    id: int
    plan: dict[str, Any]
    demand: float
    first: int
    spread: int
    used: float = 0.0

    def excess(self, seconds: float) -> float:
        """Return the units used above the quota of that many seconds, which begin with a full burst."""
        return max(0.0, self.used - self.plan["most_at_once"] - self.plan["rate"] * seconds)


@dataclass(slots=True)
class Tally:
    """Results of a service class: requests by outcome, and the last latencies in seconds."""

    outcomes: Counter[str] = field(default_factory=Counter)
    latencies: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_RECENT_LATENCIES))

    def percentile(self, quantile: float) -> float | None:
        """Return a quantile of the latencies in milliseconds; None if there are none."""
        latencies = sorted(self.latencies)
        return (
            round(latencies[min(len(latencies) - 1, int(quantile * len(latencies)))] * 1000, 1)
            if latencies
            else None
        )


def encode(parts: list[bytes]) -> bytes:
    """Return a RESP2 command."""
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts)


class Connection:
    """A connection to a gateway with at most one request in flight."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Wrap the streams of an open connection."""
        self.reader, self.writer = reader, writer

    async def request(self, parts: list[bytes]) -> bytes:
        """Send a command and return the first byte of the reply; b"B" for -BUSY.

        Raises:
            OSError: The connection broke before the reply.
            EOFError: The gateway closed the connection before the reply.
        """
        self.writer.write(encode(parts))
        line = await self.reader.readuntil(b"\r\n")
        if line[:1] == b"$":
            await self.reader.readexactly(int(line[1:]) + 2)
        return line[:1] if line[:5] != b"-BUSY" else b"B"


class GatewayClient:
    """The front end's connections to one gateway.

    Attributes:
        ready: Whether the last health check succeeded.
        idle: Open connections without a request.
        outcomes: Number of attempts by outcome.
    """

    def __init__(self, address: str) -> None:
        """Create a client of the gateway at HOST:PORT, without connections."""
        self.host, _, port = address.rpartition(":")
        self.port, self.ready, self.idle = int(port), False, list[Connection]()
        self.outcomes: Counter[str] = Counter()

    async def connect(self) -> Connection:
        """Return an idle connection that is still open, or a new one."""
        while self.idle:
            connection = self.idle.pop()
            if not connection.reader.at_eof() and not connection.writer.is_closing():
                return connection
        return Connection(*await asyncio.open_connection(self.host, self.port))

    async def check_health(self) -> None:
        """Ping the gateway at regular intervals until cancelled."""
        while True:
            try:
                async with asyncio.timeout(PING_TIMEOUT_S):
                    connection = await self.connect()
                    self.ready = await connection.request([b"PING"]) == b"+"
                self.idle.append(connection)
            except (OSError, EOFError, TimeoutError):
                self.ready = False
            await asyncio.sleep(PING_INTERVAL_S)

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self.idle:
            connection.writer.close()


class Traffic:
    """Generates the requests of all customers and counts their outcomes.

    Attributes:
        gateways: A client for each gateway.
        classes: The service classes by name.
        tallies: Results by class.
        started_at: Time of the first request on the monotonic clock; 0 before it.
        duration: Seconds from the first request to the end of traffic; 0 before the end.
        open_requests: Tasks of requests in flight.
        customers: All customers.
    """

    def __init__(self, addresses: list[str], seed: int = 1, scale: float = 1.0) -> None:
        """Create the customers; nothing is sent yet.

        Args:
            addresses: HOST:PORT of each gateway.
            seed: Determines arrivals, classes and assignment of gateways.
            scale: Factor applied to the demand of all customers.
        """
        self.gateways = [GatewayClient(address) for address in addresses]
        self.random, self.scale, self.numbers = random.Random(seed), scale, itertools.count(1)
        self.classes = {service_class["name"]: service_class for service_class in CLASSES}
        self.tallies = {name: Tally() for name in self.classes}
        self.started_at = self.duration = 0.0
        self.open_requests: set[asyncio.Task[None]] = set()
        self.customers = []
        plans = [plan for plan in PLANS for _ in range(CUSTOMERS_PER_PLAN[plan["name"]])]
        for number, plan in enumerate(plans):
            demand = plan["rate"] * DEMAND_FACTORS[number % len(DEMAND_FACTORS)] * scale
            first = self.random.randrange(len(addresses))
            self.customers.append(Customer(0x1000 + number, plan, demand, first, min(len(addresses), 2)))

    async def run(self, seconds: float | None, stop_requested: asyncio.Event) -> None:
        """Send requests for some seconds or until stopped, then wait for those in flight."""
        health_checks = [asyncio.create_task(gateway.check_health()) for gateway in self.gateways]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(PING_TIMEOUT_S * 5):
                while not all(gateway.ready for gateway in self.gateways):
                    await asyncio.sleep(0.02)
        self.started_at = time.monotonic()
        arrivals = [asyncio.create_task(self.generate_requests(customer)) for customer in self.customers]
        try:
            async with asyncio.timeout(seconds):
                await stop_requested.wait()
        except TimeoutError:
            pass
        finally:
            self.duration = time.monotonic() - self.started_at
            for task in arrivals:
                task.cancel()
            if self.open_requests:
                await asyncio.wait(self.open_requests)
            for task in health_checks:
                task.cancel()
            await asyncio.gather(*arrivals, *health_checks, return_exceptions=True)
            for gateway in self.gateways:
                gateway.close()

    def elapsed(self) -> float:
        """Return the seconds for which requests have been sent."""
        return self.duration or (time.monotonic() - self.started_at if self.started_at else 0.0)

    async def generate_requests(self, customer: Customer) -> None:
        """Start a customer's requests at exponentially distributed intervals until cancelled."""
        due = time.monotonic()
        while True:
            due += self.random.expovariate(customer.demand)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            task = asyncio.create_task(self.request(customer, due))
            self.open_requests.add(task)
            task.add_done_callback(self.open_requests.discard)

    async def request(self, customer: Customer, due: float) -> None:
        """Send one request, with retries where a connection breaks, and count its outcome."""
        name = self.random.choices([n for n, _ in CLASS_MIX], [fraction for _, fraction in CLASS_MIX])[0]
        deadline = due + self.classes[name]["deadline"] / NS_PER_S
        key, outcome = b"%x" % next(self.numbers), "lost"
        for attempt in range(1 + MAX_RETRIES):
            gateway = self.choose_gateway(customer, attempt)
            result = await self.attempt(gateway, customer, name, key, deadline, attempt)
            if result != "reset":
                outcome = result
                break
            self.tallies[name].outcomes["tried again"] += 1
            await asyncio.sleep(0.05)
        self.tallies[name].outcomes[outcome] += 1
        if outcome == "served":
            self.tallies[name].latencies.append(time.monotonic() - due)

    def choose_gateway(self, customer: Customer, attempt: int) -> GatewayClient:
        """Return a ready gateway of the customer's set, another one for each attempt if there is one."""
        assigned = [self.gateways[(customer.first + n) % len(self.gateways)] for n in range(customer.spread)]
        candidates = [gateway for gateway in assigned if gateway.ready] or assigned
        return candidates[(next(self.numbers) + attempt) % len(candidates)]

    async def attempt(
        self,
        gateway: GatewayClient,
        customer: Customer,
        name: str,
        key: bytes,
        deadline: float,
        attempt: int,
    ) -> str:
        """Send a request once and return its result.

        Args:
            gateway: Where to send it.
            customer: The customer.
            name: The service class.
            key: The idempotency key, sent if the class needs one; also part of the request id.
            deadline: Time by which the reply must arrive, on the monotonic clock.
            attempt: Number of earlier attempts.

        Returns:
            One of served, refused, failed, lost (no reply in time) or reset (the connection broke).
        """
        time_left = deadline - time.monotonic()
        has_key = self.classes[name]["effect"] == "token"
        terms = b"c=%s,t=%s,d=%d,%sunits=1,spread=%d,first=%d" % (
            name.encode(),
            customer.plan["name"].encode(),
            max(1, time_left * 1000),
            b"k=%s," % key if has_key else b"",
            customer.spread,
            customer.first,
        )
        parts = [
            b"API.WRITE" if has_key else b"API.READ",
            b"%016x" % customer.id,
            b"%s.%d" % (key, attempt),
            terms,
        ]
        connection, sent = None, False
        try:
            async with asyncio.timeout(time_left):
                connection = await gateway.connect()
                sent = True
                reply_type = await connection.request(parts + ([BODY] if has_key else []))
        except TimeoutError:
            outcome = "lost"
        except (OSError, EOFError):
            outcome = "reset"
            gateway.ready = False
        else:
            outcome = {b"$": "served", b"B": "refused"}.get(reply_type, "failed")
            gateway.idle.append(connection)
        if outcome in ("lost", "reset") and connection is not None:
            with contextlib.suppress(OSError):
                connection.writer.close()
        gateway.outcomes[outcome] += 1
        if sent and outcome != "refused":
            customer.used += 1.0
        return outcome

    def summary(self) -> dict[str, Any]:
        """Return requests by outcome, latency by class in ms, and use of quota by plan over all gateways."""
        seconds = self.elapsed()
        total = sum((tally.outcomes for tally in self.tallies.values()), Counter())
        plans = {}
        for plan in PLANS:
            customers = [c for c in self.customers if c.plan is plan]
            quota = sum(plan["most_at_once"] + plan["rate"] * seconds for _ in customers)
            plans[plan["name"]] = {
                "customers": len(customers),
                "asked_of_quota": round(sum(c.demand for c in customers) * seconds / quota, 3),
                "used_of_quota": round(sum(c.used for c in customers) / quota, 3),
                "most_beyond_in_bursts": round(
                    max(c.excess(seconds) for c in customers) / plan["most_at_once"], 3
                ),
            }
        return {
            "seconds": round(seconds, 1),
            **{name: total[name] for name in OUTCOMES},
            "tried_again": total["tried again"],
            "classes": {
                name: {
                    **{outcome: tally.outcomes[outcome] for outcome in OUTCOMES},
                    "median_ms": tally.percentile(0.5),
                    "p99_ms": tally.percentile(0.99),
                }
                for name, tally in self.tallies.items()
            },
            "plans": plans,
        }
