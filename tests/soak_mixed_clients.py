"""Soak test of memory: one real gateway with all kinds of slow clients at once, in waves, and slow hosts.

    python tests/soak_mixed_clients.py [--seeds 10] [--first 1] [--seconds 60]
    python tests/soak_mixed_clients.py --all-kinds --seconds 60 --memory-mb 32 --descriptors 1024

A seed draws how many connections each kind of hostile client opens (hostile_clients.py), when each wave of
them begins and how long it lasts, and how many hosts are slow. The memory of the process must stay within its
limit, and requests of polite clients must get their answers in time. Each violation is printed on a line; the
exit code is 1 if there was one.
"""

import argparse
import asyncio
import random
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

import hostile_clients  # noqa: E402
import uvloop  # noqa: E402
from netkit import call_control  # noqa: E402
from soak_hostile_clients import POLITE_CLIENTS, Plan, SoakRun, print_outcome  # noqa: E402

from api_gateway.gateway.process_limits import RESERVED_DESCRIPTORS  # noqa: E402

MEMORY_MB, DESCRIPTORS = 32, 1024  # the least memory that the operators give, with the most descriptors
KINDS = (
    "half_bodies",
    "half_fields",
    "whole_fields",
    "whole_bodies",
    "long_fields",
    "slow_readers",
    "slow_large_readers",
    "slow_answer_readers",
    "slow_writers",
    "slow_large_writers",
    "slow_small_writers",
    "waiting_replies",
    "empty_parts",
)
WAVE_S = (1.0, 8.0)
WAVE_PAUSE_S = (0.0, 2.0)
METRICS_INTERVAL_S = 0.25


@dataclass
class MixedPlan(Plan):
    """A plan with all its kinds at once.

    Attributes:
        connections: How many connections each kind opens at once.
        waves: Whether the clients of a kind come and go.
        slow_host_count: How many of the hosts are slow.
    """

    connections: dict[str, int] = field(default_factory=dict)
    waves: bool = True
    slow_host_count: int = 1


def draw_plan(seed, seconds, memory_mb=MEMORY_MB, descriptors=DESCRIPTORS):
    """Draw the plan of a seed."""
    rng = random.Random(seed)
    kinds = rng.sample(KINDS, rng.randint(4, len(KINDS)))
    total = rng.choice([descriptors // 3, descriptors // 2, descriptors])
    weights = [rng.random() + 0.1 for _ in kinds]
    connections = {
        kind: max(1, int(total * weight / sum(weights))) for kind, weight in zip(kinds, weights, strict=True)
    }
    return MixedPlan(
        kinds,
        memory_mb,
        descriptors,
        seconds=seconds,
        connections=connections,
        waves=rng.random() < 0.7,
        slow_host_count=rng.choice([0, 1, 2, 4]),
    )


def plan_of_all_kinds(seconds, memory_mb, descriptors):
    """Return the plan with all kinds at once, which together fill the places for connections."""
    connections = dict.fromkeys(KINDS, descriptors // 2 // len(KINDS))
    return MixedPlan(
        list(KINDS), memory_mb, descriptors, seconds=seconds, connections=connections, slow_host_count=2
    )


# Planted bug: the plan that shows it on a busy machine, too, and the rule that it breaks.
BROKEN_RULES = {
    "endless memory": (
        MixedPlan(
            ["half_bodies", "half_fields"],
            MEMORY_MB,
            DESCRIPTORS,
            connections={"half_bodies": 100, "half_fields": 330},
            waves=False,
            slow_host_count=0,
        ),
        "memory",
    )
}


class MixedRun(SoakRun):
    """A gateway under all kinds of slow clients."""

    def __init__(self, plan, seed=0, planted=""):
        super().__init__(plan, seed, planted)
        self.peak_holdings = {}

    def is_slow_host(self, number):
        return number < self.plan.slow_host_count

    def has_crossed_close(self, reply):
        """Return whether the gateway may have closed the connection unread, to make room for others."""
        capacity = (self.plan.descriptors - RESERVED_DESCRIPTORS) // 2
        return sum(self.plan.connections.values()) + POLITE_CLIENTS > capacity

    async def run_hostile(self, port, name):
        """Run the clients of a kind until the end, in waves if the plan says so."""
        rng = random.Random(f"{name} {self.seed}")
        ends_at = time.monotonic() + self.plan.seconds
        while (seconds := ends_at - time.monotonic()) > 0.5:
            if self.plan.waves:
                seconds = min(seconds, rng.uniform(*WAVE_S))
            await self.run_hostile_process(port, name, self.plan.connections[name], seconds)
            await asyncio.sleep(rng.uniform(*WAVE_PAUSE_S) if self.plan.waves else 0.0)

    async def play(self, gateway):
        holdings = asyncio.create_task(self.record_holdings(gateway))
        try:
            await super().play(gateway)
        finally:
            holdings.cancel()

    async def record_holdings(self, gateway):
        """Record what the gateway tells of its memory at the highest figure that it gives."""
        while True:
            _, metrics = await call_control(gateway.control_port, "GET /metrics")
            peak = self.peak_holdings.get("memory", {}).get("anonymous_bytes", 0)
            if metrics["memory"]["anonymous_bytes"] > peak:
                self.peak_holdings = {"memory": metrics["memory"], "objects": metrics["objects"]}
            await asyncio.sleep(METRICS_INTERVAL_S)


async def run_plan(plan, seed=0, planted=""):
    """Play a plan, print its outcome and return the violations."""
    mixed_run = MixedRun(plan, seed, planted)
    await mixed_run.run()
    print_outcome(mixed_run)
    print(f"    at the highest figure of the metrics: {mixed_run.peak_holdings}", flush=True)
    return mixed_run.violations


def main():
    """Run the seeds, or all kinds at once, one play after another."""
    parser = argparse.ArgumentParser(description="soak test of memory with all kinds of slow clients")
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--memory-mb", type=int, default=MEMORY_MB)
    parser.add_argument("--descriptors", type=int, default=DESCRIPTORS)
    parser.add_argument("--all-kinds", action="store_true")
    args = parser.parse_args()
    limits = args.memory_mb, args.descriptors
    if args.all_kinds:
        plans = {0: plan_of_all_kinds(args.seconds, *limits)}
    else:
        seeds = range(args.first, args.first + args.seeds)
        plans = {seed: draw_plan(seed, args.seconds, *limits) for seed in seeds}
    failed_count = sum(bool(uvloop.run(run_plan(plan, seed))) for seed, plan in plans.items())
    print(f"{len(plans)} runs; {failed_count} broke a rule")
    return int(bool(failed_count))


if __name__ == "__main__":
    assert set(KINDS) <= set(hostile_clients.BY_NAME)
    sys.exit(main())
