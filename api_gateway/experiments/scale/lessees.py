"""Lessees: hollow gateways that ask the counter for leases, and a rush of customers at one gateway.

A lessee is the real module, asked beforehand in its own time for its part of the requests; what it counts
then goes out at the same moments through the gateway's own client of the counter, round and round. Customers
stay within their quotas, so that no call depends on what the counter answers. Started as a program with
{"first": ..., "count": ..., "counter": "HOST:PORT"} in JSON it is a process of them; with {"rush": customers,
"seed": ...} it prints the figures of a rush.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections import Counter as Counts
from typing import Any

import uvloop

from api_gateway import interface as api
from api_gateway.base.endpoint_list import read_address
from api_gateway.counter_client import CounterClient
from api_gateway.experiments.scale.crowds import stand
from api_gateway.experiments.scale.demand import ASKED_EACH, CUSTOMERS, RATE, RUSH
from api_gateway.experiments.scale.module import WARM, Case, Driver

ROUND = 6.0  # s of calls that are made again and again
TIMEOUT = 1.0  # s for an answer; the operators' own is shorter, and what is counted here is the counter
STEP = 0.005  # s between looks which calls are due

Call = tuple[float, int, float, float]  # s from the begin of a round, name, amount, lifetime


class Asked(Driver):
    """A module whose calls to the counter are written down."""

    def __init__(self, case: Case) -> None:
        super().__init__(case)
        self.calls = list[Call]()

    def act(self, action: object) -> None:
        super().act(action)
        if isinstance(action, api.AddToCounter):
            self.calls.append((self.now, action.name, action.amount, action.lifetime))


def asked(number: int) -> list[Call]:
    """What one gateway asks of the counter in a round, at rest."""
    driver = Asked(Case(hosts=100, customers=CUSTOMERS, rate=float(RATE), seed=number + 1))
    driver.begin()
    driver.steps(WARM)
    began = driver.now
    driver.calls.clear()
    driver.steps(ROUND)
    return [(at - began, name, amount, lifetime) for at, name, amount, lifetime in driver.calls]


class Lessee:
    """One hollow gateway."""

    def __init__(self, number: int, counter: str) -> None:
        self.calls, self.counter = asked(number), CounterClient(read_address(counter), TIMEOUT)
        self.sent = self.answered = self.failed = 0
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        self.counter.start()
        self.task = asyncio.get_running_loop().create_task(self.go())

    async def go(self) -> None:
        began = time.monotonic()
        while True:
            for at, name, amount, lifetime in self.calls:
                while time.monotonic() < began + at:
                    await asyncio.sleep(STEP)
                self.sent += 1
                self.counter.add(name, amount, lifetime, self.done)
            began += ROUND

    def done(self, _name: int, result: str, _total: float, _elapsed: float) -> None:
        self.answered += result == "ok"
        self.failed += result not in ("ok", "late")

    def counts(self) -> dict[str, float]:
        return {
            "sent": self.sent,
            "answered": self.answered,
            "failed": self.failed,
            "lines": len(self.counter.connections),
        }


def rush(customers: int, seed: int = 1) -> dict[str, float]:
    """So many customers that nobody knew come to a gateway within a second, beside those that it has: calls
    to the counter by second of module time, and what is kept of customers. Nothing here is a time of the
    machine."""
    driver = Asked(Case(hosts=100, customers=CUSTOMERS, rate=float(RATE), seed=seed))
    driver.begin()
    driver.steps(WARM)
    driver.calls.clear()
    driver.steps(float(RUSH))
    usual, known = by_second(driver.calls), len(driver.gateway.accounts)
    driver.calls.clear()
    began, asked_before = driver.now, len(driver.spent["request"])
    for number in range(customers * ASKED_EACH * RUSH):  # evenly, one customer after another
        driver.steps(began + number / (customers * ASKED_EACH) - driver.now)
        driver.ask("request", CUSTOMERS + number % customers)
    driver.steps(began + RUSH - driver.now)
    calls, made = by_second(driver.calls), len(driver.spent["request"]) - asked_before
    return {
        "calls_s": sum(usual.values()) / RUSH,
        "calls_s_most": float(max(calls.values(), default=0)),
        "calls_a_request": sum(calls.values()) / made,
        "requests_s": made / RUSH,
        "calls_a_new_customer": (sum(calls.values()) - sum(usual.values())) / customers,
        "accounts": float(len(driver.gateway.accounts)),
        "accounts_new": float(len(driver.gateway.accounts) - known),
    }


def by_second(calls: list[Call]) -> Counts[int]:
    return Counts(int(at) for at, *_ in calls)


async def serve(told: dict[str, Any]) -> None:
    await stand([Lessee(told["first"] + number, told["counter"]) for number in range(told["count"])])


def main() -> int:
    told = json.loads(sys.argv[1])
    if "rush" in told:
        print(json.dumps(rush(told["rush"], told["seed"])))
    else:
        uvloop.run(serve(told))
    return 0


if __name__ == "__main__":
    sys.exit(main())
