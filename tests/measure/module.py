"""CPU of the decision module by fleet size: python tests/measure/module.py [--json] [HOSTS ...]

One gateway of 4,200 is asked 119 times a second of its own clock by 1,000 customers in three classes. All
that it sends is answered after 4 to 12 ms, all that it counts after 2 ms, and its timers fire when they are
due. CPU is that of `handle` alone. A change is one host that goes down or starts again; what it leaves for
the next request to do shows in the figure of that request. Whole lists, and views of 480 hosts of these.
Sizes take turns, and the least of some runs counts, since a busy machine makes all slower by turns.
"""

import argparse
import heapq
import itertools
import json
import random
import sys
import time
import tracemalloc
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
sys.path += [str(ROOT / "tests"), str(ROOT)]  # last, so that PYTHONPATH may name another module to measure

from helpers import CELL, READ, WRITE, plan, settings  # noqa: E402

from api_gateway import interface as api  # noqa: E402
from api_gateway.policy import DecisionEngine  # noqa: E402
from api_gateway.policy.customer_accounts import stable_hash  # noqa: E402

GATEWAYS, RATE, CUSTOMERS, VIEW = 4200, 119.0, 1000, 480
SIZES = (100, 1000, 10_000, 56_000)
CHANGE_EVERY = 0.25  # s of module time
GOLDEN = 0.6180339887498949


class Driver:
    """Hands events to one module in order of their time and takes the CPU of each kind of them."""

    def __init__(self, gateway: DecisionEngine, rng: random.Random) -> None:
        self.gateway, self.rng, self.now = gateway, rng, 1000.0
        self.events: list[tuple[float, int, str, object]] = []
        self.number = itertools.count()
        self.spent: dict[str, list[int]] = {}  # ns of each event
        self.sends: dict[str, int] = {}
        self.sent = self.widened = 0

    def put(self, after: float, kind: str, event: object) -> None:
        heapq.heappush(self.events, (self.now + after, next(self.number), kind, event))

    def handle(self, kind: str, event: object) -> None:
        began = time.process_time_ns()
        actions = self.gateway.handle(self.now, event)
        self.spent.setdefault(kind, []).append(time.process_time_ns() - began)
        for action in actions:
            self.act(action)

    def act(self, action: object) -> None:
        match action:
            case api.SendAttempt():
                number, took = self.sends.get(action.request_id, 0), 0.004 + 0.008 * self.rng.random()
                self.sends[action.request_id], self.sent = number + 1, self.sent + 1
                self.put(
                    took,
                    "outcome",
                    api.AttemptEnded(action.request_id, number, action.endpoint_id, "ok", took, True),
                )
            case api.AddToCounter():
                self.put(
                    0.002, "counted", api.CounterReply(action.name, "ok", max(0.0, action.amount), 0.002)
                )
            case api.SetTimer():
                self.put(action.delay, "timer", api.TimerFired(action.label))
            case api.RejectRequest() | api.FailRequest():
                self.sends.pop(action.request_id, None)
            case _:
                self.widened += type(action).__name__ == "ResizeSubset"

    def run(self, until: float) -> None:
        while self.events and self.events[0][0] <= until:
            self.now, _, kind, event = heapq.heappop(self.events)
            self.handle(kind, event)
            if kind == "outcome":
                self.sends.pop(event.request_id, None)
        self.now = until


def in_view(hosts: list[api.Endpoint], index: int, view: int) -> list[api.Endpoint]:
    """The hosts that follow a gateway's place on the ring."""
    place = int((index * GOLDEN) % 1.0 * 2**63)
    return sorted(hosts, key=lambda h: (stable_hash(h.id, "place") - place) % 2**63)[:view]


def measure(
    hosts: int,
    view: int | None = None,
    gateways: int = GATEWAYS,
    seconds: float = 10.0,
    index: int = 1234,
    seed: int = 1,
) -> dict[str, float]:
    """CPU in ms of the module for a request with all that follows from it, and for a change of one host."""
    rng = random.Random(seed)
    conf = settings(plans=[plan(rate=10.0, burst=40.0)], gateway_count=gateways, gateway_index=index)
    listed = [api.Endpoint(f"h{n}", f"z{n % 3 + 1}", n % 7, 1.0, "k", "up", 0.0) for n in range(hosts)]
    more = {}
    if view is not None:
        listed, more = in_view(listed, index, view), {"available_total": hosts}
    tracemalloc.start()
    gateway = DecisionEngine(conf, seed, 1000.0)
    driver = Driver(gateway, rng)
    driver.handle("list", api.EndpointList("full", 1, tuple(listed), **more))
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    names = itertools.count()

    def ask(kind: str) -> None:
        cls = rng.choice((READ, WRITE, CELL))
        name = f"c{rng.randrange(CUSTOMERS)}"
        driver.handle(kind, api.Request(f"r{next(names)}", 3.0, name, "p", cls.name, 1.0, 0, 6))

    def steps(begin: float, end: float, changes: bool) -> None:
        at, change_at, version = begin, begin + CHANGE_EVERY if changes else end, 1
        while at < end:
            at += rng.expovariate(RATE)
            driver.run(at)
            if at >= change_at:
                change_at, version = change_at + CHANGE_EVERY, version + 1
                old = rng.choice(listed)
                state, started = ("down", 0.0) if version % 2 else ("up", at)
                new = api.Endpoint(old.id, old.zone, old.cell, 1.0, "k", state, started)
                driver.handle("change", api.EndpointList("delta", version, (new,), **more))
                ask("request after a change")
            else:
                ask("request")

    steps(1000.0, 1003.0, False)  # means and connections settle
    driver.spent.clear()
    driver.sent = 0
    steps(1003.0, 1003.0 + seconds, False)
    usual, asked, sent = driver.spent, len(driver.spent["request"]), driver.sent
    driver.spent = {}
    steps(1003.0 + seconds, 1003.0 + 2 * seconds, True)
    changed = driver.spent

    def mean(times: list[int]) -> float:
        return sum(times) / len(times) / 1e6

    return {
        "hosts": hosts,
        "view": view or 0,
        "gateways": gateways,
        "requests": asked,
        "sends": sent,
        "request_ms": sum(sum(times) for times in usual.values()) / asked / 1e6,
        "change_ms": mean(changed["change"]),
        "after_change_ms": mean(changed["request after a change"]),
        "memory_mb": held / 1e6,
        "known": len(gateway.endpoint_pool.endpoints),
        "own": len(gateway.endpoint_pool.subset_endpoints),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("hosts", nargs="*", type=int, default=SIZES)
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--seconds", type=float, default=4.0, help="of module time in a run")
    parser.add_argument("--runs", type=int, default=5)
    parser.add_argument("--whole", action="store_true", help="no views")
    args = parser.parse_args()
    views = not args.whole and "available_total" in api.EndpointList.__dataclass_fields__
    shapes = [
        (hosts, view)
        for hosts in args.hosts
        for view in (None, VIEW)
        if view is None or (views and hosts > view)
    ]
    runs = [[measure(*shape, seconds=args.seconds) for shape in shapes] for _ in range(args.runs)]
    for played in zip(*runs, strict=True):
        figures = played[0] | {x: min(p[x] for p in played) for x in played[0] if x.endswith("_ms")}
        if args.json:
            print(json.dumps(figures), flush=True)
        else:
            print(
                "{hosts:6d} hosts, view of {view:3d}: a request {request_ms:.3f} ms, a change "
                "{change_ms:.3f} ms, a request after one {after_change_ms:.3f} ms; {memory_mb:.1f} MB, "
                "uses {own} of {known}, sent {sends} of {requests}".format(**figures),
                flush=True,
            )


if __name__ == "__main__":
    main()
