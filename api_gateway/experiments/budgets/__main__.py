"""Figures of budgets: `python -m api_gateway.experiments.budgets use|times|cost|plot`.

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
from api_gateway.experiments.budgets.world import IDLE, WORK, Gateway, World
from api_gateway.experiments.connection_load import cpu
from api_gateway.supervisor.ports import free_port
from api_gateway.supervisor.process import ManagedProcess

GATEWAYS, MOST = 20, 24
EVEN = 10.0  # units of the level for each of the gateways that are there, and a second of the rate
TERMS = BudgetSettings(
    max_gateways=MOST,
    grant_duration=3.0,
    exchange_interval=0.5,
    clock_drift=0.03,
    unassigned_fraction=0.1,
    budgets=[
        Budget("connections", LEVEL, EVEN * GATEWAYS, reserve=MOST, minimum=1, release_delay=WORK + IDLE),
        Budget("connects", "rate", EVEN * GATEWAYS, reserve=MOST, minimum=0.5, burst=2 * EVEN * GATEWAYS),
    ],
)
SETTLED = 10.0  # s from which on a run counts
SAMPLE = 0.1  # s


# What is wanted, in parts of an even division


def steady(world: World, index: int) -> float:
    return 0.8


def crowded(world: World, index: int) -> float:
    return 1.5


def skewed(world: World, index: int) -> float:
    """One in ten wants ten times as much as the others; all together four fifths of the whole."""
    return 0.8 * 20 / 38 * (10 if index % 10 == 0 else 1)


def moving(world: World, index: int) -> float:
    """A fifth of them, others each 5 s, wants four times its part, the rest a fifth of theirs."""
    rng = random.Random(f"{world.seed} {int(world.now / 5)}")
    return 4.0 if index in rng.sample(range(GATEWAYS), GATEWAYS // 5) else 0.2


WANTS: dict[str, Callable[[World, int], float]] = {
    "steady, four fifths": steady,
    "steady, half more than there is": crowded,
    "skew, ten to one": skewed,
    "moving each 5 s": moving,
    "coming and going": skewed,
}


def worlds(kind: str, seed: int) -> World:
    made: list[World] = []

    def wants(gateway: Gateway) -> dict[str, float]:
        world = made[0] if made else gateway.world
        return dict.fromkeys(("connections", "connects"), EVEN * WANTS[kind](world, gateway.index))

    made.append(World(seed, TERMS, GATEWAYS, wants=wants))
    return made[0]


def use(kind: str, seed: int, seconds: float) -> dict[str, float]:
    """How much of the level was held and of the rate spent, over what one who sees all would give and over
    what an even, fixed division among the most gateways would; and the largest sum."""
    world = worlds(kind, seed)
    rng = random.Random(seed)
    world.run(SETTLED)
    spent = world.referees["connects"].spent
    held = ideal = even = 0.0
    largest, came = 0.0, world.now + 2.0
    while world.now < SETTLED + seconds:
        world.run(SAMPLE)
        if kind == "coming and going" and world.now >= came:
            came += 2.0
            gateway = rng.choice(world.gateways)
            world.kill(gateway)
            world.replace(gateway)
        wants = [EVEN * WANTS[kind](world, index) for index in range(GATEWAYS)]
        whole = EVEN * GATEWAYS
        held += world.referees["connections"].held
        ideal += min(whole, sum(int(want) for want in wants))
        even += sum(min(int(want), int(whole / MOST)) for want in wants)
        largest = max(largest, world.referees["connections"].held / whole)
    steps = seconds / SAMPLE
    wanted = sum(EVEN * WANTS[kind](world, index) for index in range(GATEWAYS))
    rate = (world.referees["connects"].spent - spent) / seconds
    assert not world.breaches()
    return {
        "level held, of what one who sees all gives": held / ideal,
        "level by an even division": even / ideal,
        "level held, of the whole": held / steps / (EVEN * GATEWAYS),
        "largest sum, of the whole": largest,
        "rate spent, of what one who sees all gives": rate / min(EVEN * GATEWAYS, wanted),
    }


# Times


def newcomer(seed: int) -> float:
    """Seconds until one that starts while all want more than there is has nine tenths of its part."""
    world = worlds("steady, half more than there is", seed)
    world.run(SETTLED)
    gateway = world.gateways[seed % GATEWAYS]
    world.kill(gateway)
    world.run(10.0)  # by then the others have its part
    world.replace(gateway)
    began, fresh = world.now, next(g for g in world.gateways if g.index == gateway.index)
    while fresh.holder.allowed_amount(fresh.now(), "connections") < 0.9 * EVEN:
        world.run(0.02)
    return world.now - began


def inherited(seed: int) -> float:
    """Seconds until the others use what one had that died, but for its share of the reserve."""
    world = worlds("steady, half more than there is", seed)
    world.run(SETTLED)
    before = world.referees["connections"].held
    gateway = world.gateways[seed % GATEWAYS]
    world.kill(gateway)
    began = world.now
    while world.referees["connections"].held < 0.97 * before:
        world.run(0.02)
    return world.now - began


# Cost


async def cost(gateways: int, budgets: int, seconds: float) -> dict[str, float]:
    """CPU of the service, over sockets, with a log, at needs that change."""
    terms = BudgetSettings(
        max_gateways=gateways,
        exchange_interval=1.0,
        grant_duration=5.0,
        budgets=[
            Budget(f"b{n}", LEVEL, 20 * gateways, reserve=gateways, minimum=1, release_delay=1.0)
            for n in range(budgets)
        ],
    )
    with tempfile.TemporaryDirectory(prefix="budgets-") as text:
        folder, place = Path(text), f"127.0.0.1:{free_port()}"
        config = ConfigFile(place, terms, str(folder / "x.db"))
        (folder / "budgets.json").write_bytes(msgspec.json.encode(config))
        part = ManagedProcess(
            "grantor", folder, "api_gateway.budgets", env={"BUDGETS_CONFIG": str(folder / "budgets.json")}
        )
        await part.start()
        await asyncio.sleep(1.0)
        clients = [BudgetClient(terms, place, f"g{n}", "z", n, folder) for n in range(gateways)]
        for client in clients:
            client.start()
            await asyncio.sleep(1.0 / gateways)
        rng = random.Random(1)

        def want() -> None:
            for client in clients:
                for name in client.holder.allowances:
                    if client.holder.acquire(client.clock(), name, rng.randint(1, 40)):
                        client.holder.release(name)

        await asyncio.sleep(8.0)  # till it has learned and granted
        assert part.process is not None
        before, sent = cpu(part.process.pid), sum(client.holder.sequence for client in clients)
        for _ in range(int(seconds)):
            want()
            await asyncio.sleep(1.0)
        spent = cpu(part.process.pid) - before
        exchanges = sum(client.holder.sequence for client in clients) - sent
        failures = sum(client.failures > 0 for client in clients)
        for client in clients:
            await client.close()
        await part.stop()
    return {
        "exchanges a second": exchanges / seconds,
        "part of a core": spent / seconds,
        "ms an exchange": 1000 * spent / exchanges,
        "gateways that fail": failures,
    }


# Plot


def plot(path: Path, seed: int) -> None:
    """The parts of a level over time, through faults, and what hosts see."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    world = worlds("skew, ten to one", seed)
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
    parts: list[list[float]] = [[] for _ in range(GATEWAYS)]
    held: list[float] = []
    pending = list(faults)
    while world.now < 75:
        if pending and world.now >= pending[0][0]:
            pending.pop(0)[2]()
        world.run(SAMPLE)
        times.append(world.now)
        held.append(world.referees["connections"].held)
        for index, gateway in enumerate(world.gateways):
            parts[index].append(
                gateway.holder.allowed_amount(gateway.now(), "connections") if gateway.alive else 0.0
            )
    figure, axes = pyplot.subplots(figsize=(11, 5))
    axes.stackplot(times, parts, linewidth=0.2, edgecolor="white")
    axes.plot(times, held, color="black", linewidth=1.2, label="held, as hosts see it")
    axes.axhline(EVEN * GATEWAYS, color="red", linewidth=1, label="the whole")
    for at, name, _ in faults:
        axes.axvline(at, color="grey", linewidth=0.6, linestyle=":")
        axes.text(at, EVEN * GATEWAYS * 1.02, name, rotation=35, fontsize=8)
    axes.set_xlabel("s")
    axes.set_ylabel("connections that each of 20 gateways may hold")
    axes.set_ylim(0, EVEN * GATEWAYS * 1.25)
    axes.legend(loc="lower left", fontsize=8)
    figure.tight_layout()
    figure.savefig(path, dpi=90)
    assert not world.breaches()


def spread_of(values: list[float], digits: int = 2) -> str:
    ordered = sorted(values)
    return f"{statistics.median(ordered):.{digits}f} ({ordered[0]:.{digits}f} to {ordered[-1]:.{digits}f})"


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m api_gateway.experiments.budgets", description=__doc__)
    parser.add_argument("what", choices=["use", "times", "cost", "plot"])
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--file", type=Path, default=Path("docs/budgets.png"))
    told = parser.parse_args()
    if told.what == "use":
        for kind in WANTS:
            runs = [use(kind, seed, told.seconds) for seed in range(told.seeds)]
            for name in runs[0]:
                print(f"{kind}: {name}: {spread_of([run[name] for run in runs])}", flush=True)
    elif told.what == "times":
        for act in (newcomer, inherited):
            print(f"{act.__name__}: {spread_of([act(seed) for seed in range(told.seeds)])} s", flush=True)
    elif told.what == "cost":
        for gateways, budgets in ((100, 1), (100, 20), (200, 5), (200, 20), (400, 1), (400, 5), (400, 20)):
            print(
                json.dumps(
                    {
                        "gateways": gateways,
                        "budgets": budgets,
                        **uvloop.run(cost(gateways, budgets, told.seconds)),
                    }
                ),
                flush=True,
            )
    else:
        plot(told.file, 1)


if __name__ == "__main__":
    main()
