"""Measurements of budgets: `python -m api_gateway.experiments.budgets use|times|cost|plot`.

See docs/decisions.md.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import statistics
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import uvloop

from api_gateway.budgets.client import BudgetClient
from api_gateway.budgets.config import ConfigFile
from api_gateway.budgets.settings import LEVEL, Budget, BudgetSettings
from api_gateway.experiments.budgets.world import IDLE_TIMEOUT_S, MAX_WORK_S, Gateway, World
from api_gateway.experiments.connection_load import cpu
from api_gateway.supervisor.ports import free_port
from api_gateway.supervisor.process import ManagedProcess

GATEWAY_COUNT, MAX_GATEWAYS = 20, 24
EVEN_QUOTA = 10.0  # units of the level per running gateway, and units per second of the rate
SETTINGS = BudgetSettings(
    max_gateways=MAX_GATEWAYS,
    grant_duration=3.0,
    exchange_interval=0.5,
    clock_drift=0.03,
    unassigned_fraction=0.1,
    budgets=[
        Budget(
            "connections",
            LEVEL,
            EVEN_QUOTA * GATEWAY_COUNT,
            reserve=MAX_GATEWAYS,
            minimum=1,
            release_delay=MAX_WORK_S + IDLE_TIMEOUT_S,
        ),
        Budget(
            "connects",
            "rate",
            EVEN_QUOTA * GATEWAY_COUNT,
            reserve=MAX_GATEWAYS,
            minimum=0.5,
            burst=2 * EVEN_QUOTA * GATEWAY_COUNT,
        ),
    ],
)
WARM_UP_S = 10.0  # The measurement of a run begins after it
SAMPLE_INTERVAL_S = 0.1


# Demand patterns, as multiples of the even quota


def steady(world: World, index: int) -> float:
    """Return a constant demand of four fifths of the total."""
    return 0.8


def overloaded(world: World, index: int) -> float:
    """Return a constant demand of one and a half times the total."""
    return 1.5


def skewed(world: World, index: int) -> float:
    """Return a demand ten times as high for one gateway in ten; the sum is four fifths of the total."""
    return 0.8 * 20 / 38 * (10 if index % 10 == 0 else 1)


def moving(world: World, index: int) -> float:
    """Return four times the quota for a fifth of the gateways, drawn every 5 s, and a fifth for the rest."""
    rng = random.Random(f"{world.seed} {int(world.now / 5)}")
    return 4.0 if index in rng.sample(range(GATEWAY_COUNT), GATEWAY_COUNT // 5) else 0.2


DEMAND_PATTERNS: dict[str, Callable[[World, int], float]] = {
    "steady, four fifths": steady,
    "steady, half more than there is": overloaded,
    "skew, ten to one": skewed,
    "moving each 5 s": moving,
    "coming and going": skewed,
}


def make_world(pattern: str, seed: int) -> World:
    """Return a world whose gateways follow a demand pattern."""
    worlds: list[World] = []

    def demand(gateway: Gateway) -> dict[str, float]:
        world = worlds[0] if worlds else gateway.world
        return dict.fromkeys(
            ("connections", "connects"), EVEN_QUOTA * DEMAND_PATTERNS[pattern](world, gateway.index)
        )

    worlds.append(World(seed, SETTINGS, GATEWAY_COUNT, demand=demand))
    return worlds[0]


def measure_use(pattern: str, seed: int, seconds: float) -> dict[str, float]:
    """Measure how well the level and the rate are used under a demand pattern.

    The use is compared with that of an ideal division with full knowledge, and that of the level also with a
    fixed, even division among the largest number of gateways. The result includes the largest sum in use.
    """
    world = make_world(pattern, seed)
    rng = random.Random(seed)
    world.run(WARM_UP_S)
    spent_before = world.referees["connects"].spent
    in_use = ideal = even = 0.0
    largest, next_restart_at = 0.0, world.now + 2.0
    while world.now < WARM_UP_S + seconds:
        world.run(SAMPLE_INTERVAL_S)
        if pattern == "coming and going" and world.now >= next_restart_at:
            next_restart_at += 2.0
            gateway = rng.choice(world.gateways)
            world.kill(gateway)
            world.replace(gateway)
        demands = [EVEN_QUOTA * DEMAND_PATTERNS[pattern](world, index) for index in range(GATEWAY_COUNT)]
        total = EVEN_QUOTA * GATEWAY_COUNT
        in_use += world.referees["connections"].in_use
        ideal += min(total, sum(int(demand) for demand in demands))
        even += sum(min(int(demand), int(total / MAX_GATEWAYS)) for demand in demands)
        largest = max(largest, world.referees["connections"].in_use / total)
    steps = seconds / SAMPLE_INTERVAL_S
    wanted = sum(EVEN_QUOTA * DEMAND_PATTERNS[pattern](world, index) for index in range(GATEWAY_COUNT))
    rate = (world.referees["connects"].spent - spent_before) / seconds
    assert not world.breaches()
    return {
        "level held, of what one who sees all gives": in_use / ideal,
        "level by an even division": even / ideal,
        "level held, of the whole": in_use / steps / (EVEN_QUOTA * GATEWAY_COUNT),
        "largest sum, of the whole": largest,
        "rate spent, of what one who sees all gives": rate / min(EVEN_QUOTA * GATEWAY_COUNT, wanted),
    }


# Times


def newcomer(seed: int) -> float:
    """Return the seconds until a gateway started under overload has nine tenths of its even quota."""
    world = make_world("steady, half more than there is", seed)
    world.run(WARM_UP_S)
    gateway = world.gateways[seed % GATEWAY_COUNT]
    world.kill(gateway)
    world.run(10.0)  # by then the others have its quota
    world.replace(gateway)
    started_at, successor = world.now, next(g for g in world.gateways if g.index == gateway.index)
    while successor.holder.allowed_amount(successor.now(), "connections") < 0.9 * EVEN_QUOTA:
        world.run(0.02)
    return world.now - started_at


def inherited(seed: int) -> float:
    """Return the seconds until the others use the quota of a dead gateway, except its reserve share."""
    world = make_world("steady, half more than there is", seed)
    world.run(WARM_UP_S)
    in_use_before = world.referees["connections"].in_use
    gateway = world.gateways[seed % GATEWAY_COUNT]
    world.kill(gateway)
    started_at = world.now
    while world.referees["connections"].in_use < 0.97 * in_use_before:
        world.run(0.02)
    return world.now - started_at


# Cost


async def measure_cost(gateways: int, budgets: int, seconds: float) -> dict[str, float]:
    """Measure the CPU time of the grantor service over sockets, with a log and changing demand."""
    settings = BudgetSettings(
        max_gateways=gateways,
        exchange_interval=1.0,
        grant_duration=5.0,
        budgets=[
            Budget(f"b{n}", LEVEL, 20 * gateways, reserve=gateways, minimum=1, release_delay=1.0)
            for n in range(budgets)
        ],
    )
    with tempfile.TemporaryDirectory(prefix="budgets-") as folder_name:
        folder, address = Path(folder_name), f"127.0.0.1:{free_port()}"
        config = ConfigFile(address, settings, str(folder / "x.db"))
        (folder / "budgets.json").write_bytes(msgspec.json.encode(config))
        grantor = ManagedProcess(
            "grantor", folder, "api_gateway.budgets", env={"BUDGETS_CONFIG": str(folder / "budgets.json")}
        )
        await grantor.start()
        await asyncio.sleep(1.0)
        clients = [BudgetClient(settings, address, f"g{n}", "z", n, folder) for n in range(gateways)]
        for client in clients:
            client.start()
            await asyncio.sleep(1.0 / gateways)
        rng = random.Random(1)

        def use_random_amounts() -> None:
            for client in clients:
                for name in client.holder.allowances:
                    if client.holder.acquire(client.clock(), name, rng.randint(1, 40)):
                        client.holder.release(name)

        await asyncio.sleep(8.0)  # until it has learned the earlier grants and granted new ones
        assert grantor.process is not None
        cpu_before, exchanges_before = (
            cpu(grantor.process.pid),
            sum(client.holder.sequence for client in clients),
        )
        for _ in range(int(seconds)):
            use_random_amounts()
            await asyncio.sleep(1.0)
        cpu_s = cpu(grantor.process.pid) - cpu_before
        exchanges = sum(client.holder.sequence for client in clients) - exchanges_before
        failing_clients = sum(client.failures > 0 for client in clients)
        for client in clients:
            await client.close()
        await grantor.stop()
    return {
        "exchanges a second": exchanges / seconds,
        "part of a core": cpu_s / seconds,
        "ms an exchange": 1000 * cpu_s / exchanges,
        "gateways that fail": failing_clients,
    }


# Plot


def plot_quotas(path: Path, seed: int) -> None:
    """Plot the quotas of a level over time, through faults, and the units in use at the hosts."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    world = make_world("skew, ten to one", seed)
    faults: list[tuple[float, str, Callable[[], Any]]] = [
        (15, "g0 killed", lambda: world.kill(world.gateways[0])),
        (22, "g0 back", lambda: world.replace(world.gateways[0])),
        (28, "grantor restarts", lambda: world.restart_grantor(True)),
        (34, "grantor loses its log", lambda: world.restart_grantor(False)),
        (44, "g10 sleeps", lambda: setattr(world.gateways[10], "paused", True)),
        (52, "g10 wakes", lambda: world.resume(world.gateways[10])),
        (58, "grantor away", lambda: setattr(world, "grantor_paused", True)),
        (66, "grantor back", world.resume_grantor),
    ]
    times: list[float] = []
    quotas: list[list[float]] = [[] for _ in range(GATEWAY_COUNT)]
    in_use: list[float] = []
    pending = list(faults)
    while world.now < 75:
        if pending and world.now >= pending[0][0]:
            pending.pop(0)[2]()
        world.run(SAMPLE_INTERVAL_S)
        times.append(world.now)
        in_use.append(world.referees["connections"].in_use)
        for index, gateway in enumerate(world.gateways):
            quotas[index].append(
                gateway.holder.allowed_amount(gateway.now(), "connections") if gateway.alive else 0.0
            )
    figure, axes = pyplot.subplots(figsize=(11, 5))
    axes.stackplot(times, quotas, linewidth=0.2, edgecolor="white")
    axes.plot(times, in_use, color="black", linewidth=1.2, label="held, as hosts see it")
    axes.axhline(EVEN_QUOTA * GATEWAY_COUNT, color="red", linewidth=1, label="the whole")
    for time_s, name, _ in faults:
        axes.axvline(time_s, color="grey", linewidth=0.6, linestyle=":")
        axes.text(time_s, EVEN_QUOTA * GATEWAY_COUNT * 1.02, name, rotation=35, fontsize=8)
    axes.set_xlabel("s")
    axes.set_ylabel("connections that each of 20 gateways may hold")
    axes.set_ylim(0, EVEN_QUOTA * GATEWAY_COUNT * 1.25)
    axes.legend(loc="lower left", fontsize=8)
    figure.tight_layout()
    figure.savefig(path, dpi=90)
    assert not world.breaches()


def format_spread(values: list[float], digits: int = 2) -> str:
    """Return the median and the range of the values as text."""
    ordered = sorted(values)
    return f"{statistics.median(ordered):.{digits}f} ({ordered[0]:.{digits}f} to {ordered[-1]:.{digits}f})"


def main() -> None:
    """Run the measurement that the command line names."""
    parser = argparse.ArgumentParser(prog="python -m api_gateway.experiments.budgets", description=__doc__)
    parser.add_argument("what", choices=["use", "times", "cost", "plot"])
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--file", type=Path, default=Path("docs/budgets.png"))
    args = parser.parse_args()
    if args.what == "use":
        for pattern in DEMAND_PATTERNS:
            runs = [measure_use(pattern, seed, args.seconds) for seed in range(args.seeds)]
            for name in runs[0]:
                print(f"{pattern}: {name}: {format_spread([run[name] for run in runs])}", flush=True)
    elif args.what == "times":
        for measure in (newcomer, inherited):
            print(
                f"{measure.__name__}: {format_spread([measure(seed) for seed in range(args.seeds)])} s",
                flush=True,
            )
    elif args.what == "cost":
        for gateways, budgets in ((100, 1), (100, 20), (200, 5), (200, 20), (400, 1), (400, 5), (400, 20)):
            print(
                json.dumps(
                    {
                        "gateways": gateways,
                        "budgets": budgets,
                        **uvloop.run(measure_cost(gateways, budgets, args.seconds)),
                    }
                ),
                flush=True,
            )
    else:
        plot_quotas(args.file, 1)


if __name__ == "__main__":
    main()
