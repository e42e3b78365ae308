"""CPU and memory of the decision module without sockets: one gateway of many, in its own time.

All that it sends is answered after 4 to 12 ms, all that it counts after 2 ms, its timers fire when they are
due; CPU is that of `handle` alone. Started as a program with a Case in JSON it prints the figures: a clean
process for each point. As it imports nothing of the lab it also measures the build that PYTHONPATH names.
"""

from __future__ import annotations

import heapq
import itertools
import json
import random
import sys
import time
import tracemalloc
from dataclasses import dataclass
from typing import Any

from api_gateway import interface as api
from api_gateway.policy import DecisionEngine
from api_gateway.policy.customer_accounts import stable_hash

GOLDEN = 0.6180339887498949
BEGIN = 1000.0  # s of module time
WARM = 2.0  # s in which means settle
CHANGE_EVERY = 0.25  # s
IDLE = 600.0  # s
PACE = 2000.0  # customers a second that ask first
SPREAD = 6  # gateways of a customer
KINDS = ("safe", "keyed", "unsafe")


@dataclass(frozen=True, slots=True)
class Case:
    hosts: int = 1000
    view: int = 0  # hosts that the gateway is told of; 0: all
    gateways: int = 4200
    customers: int = 1000
    plans: int = 3
    classes: int = 3
    kinds: int = 1  # of hosts
    cells: int = 7
    rate: float = 119.0  # requests a second of module time
    changes: int = 1  # entries in a change
    seconds: float = 3.0  # measured, and as long again with changes
    seed: int = 1
    memory: bool = False  # what it keeps is measured, in place of CPU


def settings(case: Case) -> api.Settings:
    classes = {
        f"c{n}": api.ServiceClass(
            f"c{n}", 1.0, 3.0, KINDS[n % 3], "all", 15.0 * (n % 3 == 1), 1.0 + n % 5, 0.0, False, 0.0
        )
        for n in range(case.classes)
    }
    plans = {
        f"p{n}": api.Plan(f"p{n}", 10.0, 40.0, 0, 1.0, 0.0, 0.5, 0.0, 0.0, 0.0) for n in range(case.plans)
    }
    return api.Settings(
        gateway_index=min(1234, case.gateways - 1),
        gateway_count=case.gateways,
        zone="z1",
        classes=classes,
        plans=plans,
        limits=api.Limits(True, False, True, False, True, 3, 2.0),
        rules=api.Rules(0.008, 1.0, 0.2, 1.0, 2.0, 1.0, 0.0),
        prices={"cross_zone": 0.005},
        has_counter=True,
        counter_price=0.01,
        counter_timeout=0.08,
        meter_period=0.0,
        reports_actual_units=False,
        max_request_units=1.0,
        discovery_mode="push",
        load_report_fields=("inflight",),
        weight_kind="none",
    )


def hosts_of(case: Case) -> list[api.Endpoint]:
    """Those that the gateway is told of: all, or the ones that follow its place on the ring."""
    every = [
        api.Endpoint(f"h{n}", f"z{n % 3 + 1}", n % case.cells, 1.0, f"k{n % case.kinds}", "up", 0.0)
        for n in range(case.hosts)
    ]
    if not case.view:
        return every
    place = int((settings(case).gateway_index * GOLDEN) % 1.0 * 2**63)
    return sorted(every, key=lambda h: (stable_hash(h.id, "place") - place) % 2**63)[: case.view]


class Driver:
    """Hands events to one module in order of their time and takes the CPU of each kind of them."""

    def __init__(self, case: Case) -> None:
        self.case, self.rng, self.now = case, random.Random(case.seed), BEGIN
        self.gateway = DecisionEngine(settings(case), case.seed, BEGIN)
        self.events: list[tuple[float, int, str, Any]] = []
        self.number, self.version = itertools.count(), 1
        self.spent: dict[str, list[int]] = {}  # ns of each event
        self.tries: dict[str, int] = {}
        self.sent = self.counts = self.widened = 0
        self.more: dict[str, Any] = {"total": case.hosts} if case.view else {}
        self.listed = hosts_of(case)

    def put(self, after: float, kind: str, event: object) -> None:
        heapq.heappush(self.events, (self.now + after, next(self.number), kind, event))

    def handle(self, kind: str, event: Any) -> None:
        began = time.process_time_ns()
        actions = self.gateway.handle(self.now, event)
        self.spent.setdefault(kind, []).append(time.process_time_ns() - began)
        for action in actions:
            self.act(action)

    def act(self, action: object) -> None:
        match action:
            case api.SendAttempt():
                number, took = self.tries.get(action.request_id, 0), 0.004 + 0.008 * self.rng.random()
                self.tries[action.request_id], self.sent = number + 1, self.sent + 1
                self.put(
                    took,
                    "outcome",
                    api.AttemptEnded(
                        action.request_id,
                        number,
                        action.endpoint_id,
                        "ok",
                        took,
                        True,
                        load_report={"inflight": 1.0},
                    ),
                )
            case api.AddToCounter():
                self.counts += 1
                self.put(
                    0.002, "counted", api.CounterReply(action.name, "ok", max(0.0, action.amount), 0.002)
                )
            case api.SetTimer():
                self.put(action.delay, "timer", api.TimerFired(action.label))
            case api.RejectRequest() | api.FailRequest():
                self.tries.pop(action.request_id, None)
            case _:
                self.widened += type(action).__name__ == "Widen"

    def run(self, until: float) -> None:
        while self.events and self.events[0][0] <= until:
            self.now, _, kind, event = heapq.heappop(self.events)
            self.handle(kind, event)
            if kind == "outcome":
                self.tries.pop(event.request_id, None)
        self.now = until

    def begin(self) -> None:
        self.handle("list", api.EndpointList("full", 1, tuple(self.listed), **self.more))

    def ask(self, kind: str, customer: int) -> None:
        cls, plan = self.rng.randrange(self.case.classes), customer % self.case.plans
        self.handle(
            kind,
            api.Request(
                f"r{next(self.number)}",
                3.0,
                f"c{customer}",
                f"p{plan}",
                f"c{cls}",
                1.0,
                customer % (self.case.gateways - SPREAD),
                SPREAD,
            ),
        )

    def change(self) -> None:
        """So many hosts go down, or start again."""
        self.version += 1
        state, started = ("down", 0.0) if self.version % 2 else ("up", self.now)
        hosts = tuple(
            api.Endpoint(old.id, old.zone, old.cell, 1.0, old.kind, state, started)
            for old in self.rng.sample(self.listed, min(self.case.changes, len(self.listed)))
        )
        self.handle("change", api.EndpointList("delta", self.version, hosts, **self.more))

    def steps(self, seconds: float, changes: bool = False) -> None:
        at, end, change_at = self.now, self.now + seconds, self.now + CHANGE_EVERY
        while at < end:
            at += self.rng.expovariate(self.case.rate)
            self.run(at)
            customer = self.rng.randrange(self.case.customers)
            if changes and at >= change_at:
                change_at += CHANGE_EVERY
                self.change()
                self.ask("after", customer)
            else:
                self.ask("request", customer)

    def each_customer(self) -> None:
        """All of them ask once."""
        for customer in range(self.case.customers):
            self.run(self.now + 1.0 / PACE)
            self.ask("request", customer)


def mean_ms(times: list[int]) -> float:
    return sum(times) / max(1, len(times)) / 1e6


def work(case: Case) -> dict[str, float]:
    """CPU in ms: of a request with all that follows from it, of a change, of the request that comes next, of
    the whole list; and sends, calls to the counter and wider views a request."""
    driver = Driver(case)
    driver.begin()
    listed = mean_ms(driver.spent["list"])
    if case.customers > 1000:
        driver.each_customer()
    driver.steps(WARM)
    driver.spent.clear()
    driver.sent = driver.counts = 0
    driver.steps(case.seconds)
    usual, asked = driver.spent, len(driver.spent["request"])
    told = {"sends_a_request": driver.sent / asked, "counts_a_request": driver.counts / asked}
    driver.spent = {}
    driver.steps(case.seconds, True)
    return {
        "cpu_ms_a_request": sum(sum(times) for times in usual.values()) / asked / 1e6,
        "cpu_ms_a_change": mean_ms(driver.spent["change"]),
        "cpu_ms_after_change": mean_ms(driver.spent["after"]),
        "cpu_ms_whole_list": listed,
        **told,
        "known": float(len(driver.gateway.endpoint_pool.endpoints)),
        "widened": float(driver.widened),
    }


def kept(case: Case) -> dict[str, float]:
    """MB that the module keeps: with its list, after each customer asked once, and when nobody has asked for
    ten minutes but one."""
    tracemalloc.start()
    driver = Driver(case)
    driver.begin()
    figures = {"kept_list_mb": tracemalloc.get_traced_memory()[0] / 1e6}
    driver.each_customer()
    driver.run(driver.now + 2.0)
    driver.spent.clear()
    figures["kept_mb"] = tracemalloc.get_traced_memory()[0] / 1e6
    driver.run(driver.now + IDLE)
    driver.ask("request", 0)
    driver.run(driver.now + 2.0)
    figures["kept_idle_mb"] = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    return figures


def main() -> int:
    case = Case(**json.loads(sys.argv[1]))
    print(json.dumps(kept(case) if case.memory else work(case)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
