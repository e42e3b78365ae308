"""Measures the decision engine's CPU by fleet size: python tests/measure/module.py [--json] [HOSTS ...]

One gateway of 4,200 gets 119 requests per second of virtual time from 1,000 customers in three classes. Every
attempt is answered after 4 to 12 ms, every counter call after 2 ms, and timers fire when they are due. Only
the CPU of `handle` is counted. A change is one host that goes down or starts again; work that it defers to
the next request is counted for that request. Measured are full lists, and views of 480 of these hosts. Sizes
alternate and the minimum of several runs is taken, since a busy machine slows all of them from time to time.
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
sys.path += [str(ROOT / "tests"), str(ROOT)]  # last, so that PYTHONPATH may name another build to measure

from helpers import CELL, READ, WRITE, plan, settings  # noqa: E402

from api_gateway import interface as api  # noqa: E402
from api_gateway.policy import DecisionEngine  # noqa: E402
from api_gateway.policy.customer_accounts import stable_hash  # noqa: E402

GATEWAY_COUNT, REQUESTS_PER_S, CUSTOMER_COUNT, VIEW_SIZE = 4200, 119.0, 1000, 480
HOST_COUNTS = (100, 1000, 10_000, 56_000)
CHANGE_INTERVAL_S = 0.25  # in virtual time
GOLDEN_RATIO_FRACTION = 0.6180339887498949


class EngineDriver:
    """Passes events to one engine in order of time and records the CPU time by kind of event."""

    def __init__(self, gateway: DecisionEngine, rng: random.Random) -> None:
        self.gateway, self.rng, self.now = gateway, rng, 1000.0
        self.events: list[tuple[float, int, str, object]] = []
        self.event_numbers = itertools.count()
        self.cpu_times_ns: dict[str, list[int]] = {}  # kind: of each event
        self.sends_by_request: dict[str, int] = {}
        self.send_count = self.resize_count = 0

    def schedule(self, after: float, kind: str, event: object) -> None:
        heapq.heappush(self.events, (self.now + after, next(self.event_numbers), kind, event))

    def handle(self, kind: str, event: object) -> None:
        started_at = time.process_time_ns()
        actions = self.gateway.handle(self.now, event)
        self.cpu_times_ns.setdefault(kind, []).append(time.process_time_ns() - started_at)
        for action in actions:
            self.handle_action(action)

    def handle_action(self, action: object) -> None:
        match action:
            case api.SendAttempt():
                attempt, latency = (
                    self.sends_by_request.get(action.request_id, 0),
                    0.004 + 0.008 * self.rng.random(),
                )
                self.sends_by_request[action.request_id], self.send_count = attempt + 1, self.send_count + 1
                self.schedule(
                    latency,
                    "outcome",
                    api.AttemptEnded(action.request_id, attempt, action.endpoint_id, "ok", latency, True),
                )
            case api.AddToCounter():
                self.schedule(
                    0.002, "counted", api.CounterReply(action.name, "ok", max(0.0, action.amount), 0.002)
                )
            case api.SetTimer():
                self.schedule(action.delay, "timer", api.TimerFired(action.label))
            case api.RejectRequest() | api.FailRequest():
                self.sends_by_request.pop(action.request_id, None)
            case _:
                self.resize_count += type(action).__name__ == "ResizeSubset"

    def run(self, end: float) -> None:
        while self.events and self.events[0][0] <= end:
            self.now, _, kind, event = heapq.heappop(self.events)
            self.handle(kind, event)
            if kind == "outcome":
                self.sends_by_request.pop(event.request_id, None)
        self.now = end


def hosts_in_view(hosts: list[api.Endpoint], index: int, view: int) -> list[api.Endpoint]:
    """Return the hosts that follow a gateway's position on the ring."""
    place = int((index * GOLDEN_RATIO_FRACTION) % 1.0 * 2**63)
    return sorted(hosts, key=lambda h: (stable_hash(h.id, "place") - place) % 2**63)[:view]


def measure(
    hosts: int,
    view: int | None = None,
    gateways: int = GATEWAY_COUNT,
    seconds: float = 10.0,
    index: int = 1234,
    seed: int = 1,
) -> dict[str, float]:
    """Return the engine's CPU in ms for a request with its subsequent events and for a change of one host."""
    rng = random.Random(seed)
    engine_settings = settings(
        plans=[plan(rate=10.0, burst=40.0)], gateway_count=gateways, gateway_index=index
    )
    listed_hosts = [api.Endpoint(f"h{n}", f"z{n % 3 + 1}", n % 7, 1.0, "k", "up", 0.0) for n in range(hosts)]
    overrides = {}
    if view is not None:
        listed_hosts, overrides = hosts_in_view(listed_hosts, index, view), {"available_total": hosts}
    tracemalloc.start()
    gateway = DecisionEngine(engine_settings, seed, 1000.0)
    driver = EngineDriver(gateway, rng)
    driver.handle("list", api.EndpointList("full", 1, tuple(listed_hosts), **overrides))
    traced_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    request_numbers = itertools.count()

    def send_request(kind: str) -> None:
        service_class = rng.choice((READ, WRITE, CELL))
        customer = f"c{rng.randrange(CUSTOMER_COUNT)}"
        driver.handle(
            kind, api.Request(f"r{next(request_numbers)}", 3.0, customer, "p", service_class.name, 1.0, 0, 6)
        )

    def run_load(start: float, end: float, changes: bool) -> None:
        now, next_change, version = start, start + CHANGE_INTERVAL_S if changes else end, 1
        while now < end:
            now += rng.expovariate(REQUESTS_PER_S)
            driver.run(now)
            if now >= next_change:
                next_change, version = next_change + CHANGE_INTERVAL_S, version + 1
                old_host = rng.choice(listed_hosts)
                state, started_at = ("down", 0.0) if version % 2 else ("up", now)
                new_host = api.Endpoint(
                    old_host.id, old_host.zone, old_host.cell, 1.0, "k", state, started_at
                )
                driver.handle("change", api.EndpointList("delta", version, (new_host,), **overrides))
                send_request("request after a change")
            else:
                send_request("request")

    run_load(1000.0, 1003.0, False)  # lets means and connections settle
    driver.cpu_times_ns.clear()
    driver.send_count = 0
    run_load(1003.0, 1003.0 + seconds, False)
    steady_times, request_count, send_count = (
        driver.cpu_times_ns,
        len(driver.cpu_times_ns["request"]),
        driver.send_count,
    )
    driver.cpu_times_ns = {}
    run_load(1003.0 + seconds, 1003.0 + 2 * seconds, True)
    change_times = driver.cpu_times_ns

    def mean(times: list[int]) -> float:
        return sum(times) / len(times) / 1e6

    return {
        "hosts": hosts,
        "view": view or 0,
        "gateways": gateways,
        "requests": request_count,
        "sends": send_count,
        "request_ms": sum(sum(times) for times in steady_times.values()) / request_count / 1e6,
        "change_ms": mean(change_times["change"]),
        "after_change_ms": mean(change_times["request after a change"]),
        "memory_mb": traced_bytes / 1e6,
        "known": len(gateway.endpoint_pool.endpoints),
        "own": len(gateway.endpoint_pool.subset_endpoints),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("hosts", nargs="*", type=int, default=HOST_COUNTS)
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--seconds", type=float, default=4.0, help="virtual time of a run")
    parser.add_argument("--runs", type=int, default=5)
    parser.add_argument("--whole", action="store_true", help="full lists only, no views")
    args = parser.parse_args()
    views = not args.whole and "available_total" in api.EndpointList.__dataclass_fields__
    shapes = [
        (hosts, view)
        for hosts in args.hosts
        for view in (None, VIEW_SIZE)
        if view is None or (views and hosts > view)
    ]
    runs = [[measure(*shape, seconds=args.seconds) for shape in shapes] for _ in range(args.runs)]
    for samples in zip(*runs, strict=True):
        figures = samples[0] | {
            name: min(sample[name] for sample in samples) for name in samples[0] if name.endswith("_ms")
        }
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
