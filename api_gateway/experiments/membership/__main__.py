"""Figures of the failure detector, in virtual time: `python -m api_gateway.experiments.membership KIND`."""

from __future__ import annotations

import argparse
import random
import statistics
import sys
import time
import tracemalloc
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

from api_gateway.experiments.membership.world import Cluster, address_of, play
from api_gateway.membership.member_table import FORGET_AFTER_S
from api_gateway.membership.messages import (
    ALIVE,
    Datagram,
    MemberUpdate,
    Message,
    Ping,
    StateUpdate,
    encode_datagram,
)
from api_gateway.membership.swim import Swim

LOSSES = (0.0, 0.1, 0.2, 0.3, 0.4)
SPLITS = (10.0, 60.0, 600.0, 3600.0)  # s
PAUSES = (1.0, 3.0, 10.0, 60.0)  # s
SETTLE = 120.0  # s that a cluster has to come together, at any loss
LOOK = 0.05  # s between looks at who knows
QUIET = 20.0  # s after which what is new has been told

Row = tuple[str, ...]


class Case(NamedTuple):
    size: int
    loss: float
    seed: int
    seconds: float


def cluster(case: Case) -> Cluster:
    made = Cluster(case.size, case.seed, case.loss)
    made.settle(SETTLE)
    return made


def detection(case: Case) -> list[float]:
    """When each member that lives knew of a death, in seconds from it."""
    c = cluster(case)
    c.run(QUIET / 2)
    gone = c.names()[case.size // 2]
    c.kill(gone)
    began, took = c.now, dict[str, float]()

    def look() -> None:
        for member in c.members.values():
            if member.name not in took and gone not in member.table.present:
                took[member.name] = c.now - began

    c.run(LOOK, look, LOOK)
    while len(took) < len(c.members) and c.now - began < SETTLE:
        c.run(LOOK, look, LOOK)
    return sorted(took.values())


def falsely(case: Case) -> tuple[int, int]:
    """Members that lived and were held dead by anybody, and pairs of who held whom so."""
    c = cluster(case)
    seen = set[tuple[str, str]]()
    c.run(case.seconds, lambda: seen.update(c.dead()), 0.5)
    return len({of for _, of in seen}), len(seen)


def healing(case: Case) -> tuple[float, int]:
    """Seconds to one view after two halves were split for so long; neighbours that were held dead on their
    own side while it healed."""
    c = cluster(case)
    names = c.names()
    one, other = names[::2], names[1::2]
    c.split(one, other)
    c.run(case.seconds)
    c.heal()
    side, held = dict.fromkeys(one, 0) | dict.fromkeys(other, 1), set[tuple[str, str]]()
    began = c.now
    while not c.agreed() and c.now - began < SETTLE:
        c.run(0.5, lambda: held.update(p for p in c.dead() if side[p[0]] == side[p[1]]))
    return c.now - began, len(held)


def pausing(case: Case) -> tuple[int, int, float]:
    """A third sleeps, then all in turn: others held dead by any that was awake, by any that woke, and seconds
    to one view after the last."""
    c = cluster(case)
    names, awake, woke = c.names(), set[str](), set[str]()
    slept: set[str] = set()

    def look() -> None:
        for who, of in c.dead() - {(a, b) for a, b in c.dead() if b in slept}:
            (woke if who in slept else awake).add(of)

    for group in [names[::3], *([name] for name in names)]:
        slept = set(group)
        c.pause(*group)
        c.run(case.seconds, look)
        c.resume(*group)
        c.run(2.0, look)
        if len(group) > 1:
            c.settle(SETTLE)
    return len(awake), len(woke), c.settle(SETTLE)


def load(case: Case) -> tuple[float, float]:
    """Datagrams and bytes that a member sends a second, at rest."""
    c = cluster(case)
    c.run(2 * QUIET)
    before = c.told.copy()
    c.run(case.seconds)
    told = c.told - before
    return told["sent"] / case.size / case.seconds, told["bytes"] / case.size / case.seconds


def alone(size: int) -> Swim:
    """One that knows so many others."""
    swim = Swim("c", "m0", address_of(0), 1, [], random.Random(1), 0.0, {"kind": "gateway"})
    updates = [MemberUpdate(f"m{n}", address_of(n), 1, ALIVE, {"kind": "gateway"}) for n in range(1, size)]
    for start in range(0, size, 8):
        data = datagram_of_m1(StateUpdate(), updates[start : start + 8])
        swim.receive(0.0, address_of(1), data)
    return swim


def datagram_of_m1(message: Message, updates: list[MemberUpdate]) -> bytes:
    """Return a datagram of the member m1, which names the address of m0."""
    return encode_datagram("c", Datagram("m1", address_of(0), message, tuple(updates)))


def timed(act: Callable[..., object], *told: object) -> float:
    """Microseconds."""
    began = time.perf_counter()
    act(*told)
    return (time.perf_counter() - began) * 1e6


def rumours(incarnation: int) -> list[MemberUpdate]:
    """Updates of 16 members that live."""
    return [
        MemberUpdate(f"m{n}", address_of(n), incarnation, ALIVE, {"kind": "gateway"}) for n in range(1, 17)
    ]


def cost(size: int) -> tuple[float, float, float, float]:
    """Medians in microseconds: a period with its probe, a datagram with 16 rumours that are all news, a whole
    exchange; and kB of memory for each member known."""
    tracemalloc.start()
    swim = alone(size)
    memory = tracemalloc.get_traced_memory()[0] / size / 1000
    tracemalloc.stop()
    ticks, hears, wholes = list[float](), list[float](), list[float]()
    for number in range(1000):
        period = swim.detector.next_probe_at
        while swim.detector.next_probe_at == period:
            now = swim.next_due_at()
            took = timed(swim.tick, now)
        ticks.append(took)
        swim.detector.probes.clear()  # as if acknowledged
        data = datagram_of_m1(Ping(number, None), rumours(3 + number))
        hears.append(timed(swim.receive, now, address_of(1), data))
        if number % 100 == 0:
            wholes.append(timed(swim.anti_entropy.begin_exchange, now))
            swim.drain_outbox()
    return statistics.median(ticks), statistics.median(hears), statistics.median(wholes), memory


# What is shown


def table(head: Row, rows: list[Row]) -> None:
    for row in (head, ("---",) * len(head), *rows):
        print(f"| {' | '.join(row)} |")


def of(values: list[float], part: float) -> float:
    return sorted(values)[min(len(values) - 1, int(part * len(values)))]


def show_detection(args: argparse.Namespace, pool: ProcessPoolExecutor) -> None:
    rows = list[Row]()
    for size in args.sizes:
        for loss in args.losses:
            cases = [Case(size, loss, seed, 0) for seed in range(args.seeds)]
            runs = list(pool.map(detection, cases))
            every = [took for run in runs for took in run]
            missed = sum(len(run) < size - 1 for run in runs)
            rows.append(
                (
                    str(size),
                    f"{loss:.0%}",
                    f"{statistics.median(every):.1f}",
                    f"{of(every, 0.99):.1f}",
                    f"{max(every):.1f}",
                    str(missed),
                )
            )
    table(("members", "loss", "known, median s", "99th percentile", "last", "runs where not all knew"), rows)


def show_false(args: argparse.Namespace, pool: ProcessPoolExecutor) -> None:
    rows = list[Row]()
    for size in args.sizes:
        for loss in args.losses:
            cases = [Case(size, loss, seed, args.seconds) for seed in range(args.seeds)]
            runs = list(pool.map(falsely, cases))
            rows.append(
                (
                    str(size),
                    f"{loss:.0%}",
                    f"{args.seeds} of {args.seconds:g} s",
                    str(sum(members for members, _ in runs)),
                    str(sum(pairs for _, pairs in runs)),
                )
            )
    table(("members", "loss", "runs", "members held dead by anybody", "pairs"), rows)


def show_splits(args: argparse.Namespace, pool: ProcessPoolExecutor) -> None:
    rows = list[Row]()
    for size in args.sizes:
        for seconds in SPLITS:
            runs = list(pool.map(healing, [Case(size, 0.0, seed, seconds) for seed in range(args.seeds)]))
            took = [seconds for seconds, _ in runs]
            rows.append(
                (
                    str(size),
                    f"{seconds:g}",
                    f"{statistics.median(took):.1f}",
                    f"{max(took):.1f}",
                    str(sum(held for _, held in runs)),
                )
            )
    table(("members", "split for s", "one view after, median s", "longest", "neighbours held dead"), rows)


def show_pauses(args: argparse.Namespace, pool: ProcessPoolExecutor) -> None:
    rows = list[Row]()
    for size in args.sizes:
        for seconds in PAUSES:
            runs = list(pool.map(pausing, [Case(size, 0.0, seed, seconds) for seed in range(args.seeds)]))
            rows.append(
                (
                    str(size),
                    f"{seconds:g}",
                    str(sum(run[0] for run in runs)),
                    str(sum(run[1] for run in runs)),
                    f"{max(run[2] for run in runs):.1f}",
                )
            )
    table(
        ("members", "pause s", "others held dead by one awake", "by one that woke", "one view after s"), rows
    )


def show_load(args: argparse.Namespace, pool: ProcessPoolExecutor) -> None:
    cases = [Case(size, 0.0, 1, 60.0) for size in args.sizes]
    table(
        ("members", "datagrams a member a second", "bytes"),
        [
            (str(case.size), f"{sent:.2f}", f"{size:.0f}")
            for case, (sent, size) in zip(cases, pool.map(load, cases), strict=True)
        ],
    )


def show_cost(args: argparse.Namespace, pool: ProcessPoolExecutor) -> None:
    rows = list[Row]()
    for size in args.sizes:
        runs = [cost(size) for _ in range(args.seeds)]
        rows.append((str(size), *(f"{statistics.median(values):.1f}" for values in zip(*runs, strict=True))))
    table(
        (
            "members known",
            "a period, us",
            "a datagram of 16 rumours, us",
            "a whole exchange, us",
            "memory a member, kB",
        ),
        rows,
    )


def show_storms(args: argparse.Namespace, pool: ProcessPoolExecutor) -> None:
    runs = list(pool.map(storm, range(args.seeds)))
    for seed, (breaches, _) in enumerate(runs):
        if breaches:
            print(f"seed {seed}: {breaches[0]}")
    print(
        f"{len(runs)} storms, {sum(bool(breaches) for breaches, _ in runs)} with a breach; pairs of one "
        f"that held another dead, which most reached: {sum(false for _, false in runs)}"
    )


def storm(seed: int) -> tuple[list[str], int]:
    referee = play(seed).referee
    return referee.breaches, len(referee.false)


KINDS: dict[str, Callable[[argparse.Namespace, ProcessPoolExecutor], None]] = {
    "detection": show_detection,
    "false": show_false,
    "splits": show_splits,
    "pauses": show_pauses,
    "load": show_load,
    "cost": show_cost,
    "storms": show_storms,
}


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m api_gateway.experiments.membership", description=__doc__)
    parser.add_argument("kind", choices=sorted(KINDS))
    parser.add_argument("--sizes", type=int, nargs="+", default=[40], help="members")
    parser.add_argument("--losses", type=float, nargs="+", default=LOSSES, help="shares of datagrams")
    parser.add_argument("--seeds", type=int, default=4, help="runs of each case")
    parser.add_argument("--seconds", type=float, default=2 * FORGET_AFTER_S, help="of a run, in virtual time")
    parser.add_argument("--processes", type=int, default=4, help="that play at the same time")
    args = parser.parse_args()
    with ProcessPoolExecutor(args.processes) as pool:
        KINDS[args.kind](args, pool)
    return 0


if __name__ == "__main__":
    sys.exit(main())
