"""Measure the failure detector in virtual time: `python -m api_gateway.experiments.membership KIND`."""

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
SPLIT_DURATIONS_S = (10.0, 60.0, 600.0, 3600.0)
PAUSE_DURATIONS_S = (1.0, 3.0, 10.0, 60.0)
MAX_SETTLE_S = 120.0  # Time within which the views must converge, at any loss
CHECK_INTERVAL_S = 0.05  # Between two checks which members have detected a death
QUIET_S = 20.0  # Time after which all recent updates have been spread

Row = tuple[str, ...]


class Case(NamedTuple):
    """One simulated run: cluster size, packet loss, seed, and a duration that depends on the kind."""

    size: int
    loss: float
    seed: int
    seconds: float


def converged_cluster(case: Case) -> Cluster:
    """Return a cluster in which all members know each other."""
    cluster = Cluster(case.size, case.seed, case.loss)
    cluster.settle(MAX_SETTLE_S)
    return cluster


def measure_detection(case: Case) -> list[float]:
    """Return the seconds from a death until each live member detected it, in ascending order."""
    cluster = converged_cluster(case)
    cluster.run(QUIET_S / 2)
    killed = cluster.names()[case.size // 2]
    cluster.kill(killed)
    started_at, delay_by_member = cluster.now, dict[str, float]()

    def record_detections() -> None:
        for member in cluster.members.values():
            if member.name not in delay_by_member and killed not in member.table.present:
                delay_by_member[member.name] = cluster.now - started_at

    cluster.run(CHECK_INTERVAL_S, record_detections, CHECK_INTERVAL_S)
    while len(delay_by_member) < len(cluster.members) and cluster.now - started_at < MAX_SETTLE_S:
        cluster.run(CHECK_INTERVAL_S, record_detections, CHECK_INTERVAL_S)
    return sorted(delay_by_member.values())


def measure_false_deaths(case: Case) -> tuple[int, int]:
    """Count the live members that were considered dead, and the pairs (observer, member) of this kind."""
    cluster = converged_cluster(case)
    false_deaths = set[tuple[str, str]]()
    cluster.run(case.seconds, lambda: false_deaths.update(cluster.false_deaths()), 0.5)
    return len({member for _, member in false_deaths}), len(false_deaths)


def measure_healing(case: Case) -> tuple[float, int]:
    """Split a cluster into two halves and heal it.

    Returns:
        The seconds until the views converged after the split, and the number of pairs on the same side in
        which one considered the other dead meanwhile.
    """
    cluster = converged_cluster(case)
    names = cluster.names()
    side, other_side = names[::2], names[1::2]
    cluster.split(side, other_side)
    cluster.run(case.seconds)
    cluster.heal()
    side_by_name, same_side_deaths = (
        dict.fromkeys(side, 0) | dict.fromkeys(other_side, 1),
        set[tuple[str, str]](),
    )
    started_at = cluster.now
    while not cluster.is_converged() and cluster.now - started_at < MAX_SETTLE_S:
        cluster.run(
            0.5,
            lambda: same_side_deaths.update(
                pair for pair in cluster.false_deaths() if side_by_name[pair[0]] == side_by_name[pair[1]]
            ),
        )
    return cluster.now - started_at, len(same_side_deaths)


def measure_pauses(case: Case) -> tuple[int, int, float]:
    """Pause a third of the members, then each member in turn.

    Returns:
        The number of members that were not paused and were considered dead by a running member, the same for
        a resumed one, and the seconds until the views converged after the last pause.
    """
    cluster = converged_cluster(case)
    names, reported_by_awake, reported_by_resumed = cluster.names(), set[str](), set[str]()
    paused: set[str] = set()

    def record_false_deaths() -> None:
        for observer, suspect in cluster.false_deaths() - {
            (a, b) for a, b in cluster.false_deaths() if b in paused
        }:
            (reported_by_resumed if observer in paused else reported_by_awake).add(suspect)

    for group in [names[::3], *([name] for name in names)]:
        paused = set(group)
        cluster.pause(*group)
        cluster.run(case.seconds, record_false_deaths)
        cluster.resume(*group)
        cluster.run(2.0, record_false_deaths)
        if len(group) > 1:
            cluster.settle(MAX_SETTLE_S)
    return len(reported_by_awake), len(reported_by_resumed), cluster.settle(MAX_SETTLE_S)


def measure_load(case: Case) -> tuple[float, float]:
    """Return the datagrams and bytes that an idle member sends per second."""
    cluster = converged_cluster(case)
    cluster.run(2 * QUIET_S)
    traffic_before = cluster.traffic.copy()
    cluster.run(case.seconds)
    traffic = cluster.traffic - traffic_before
    return traffic["sent"] / case.size / case.seconds, traffic["bytes"] / case.size / case.seconds


def swim_with_members(size: int) -> Swim:
    """Return a member of a cluster of this size, which knows all the others."""
    swim = Swim("c", "m0", address_of(0), 1, [], random.Random(1), 0.0, {"kind": "gateway"})
    updates = [MemberUpdate(f"m{n}", address_of(n), 1, ALIVE, {"kind": "gateway"}) for n in range(1, size)]
    for start in range(0, size, 8):
        data = datagram_from_m1(StateUpdate(), updates[start : start + 8])
        swim.receive(0.0, address_of(1), data)
    return swim


def datagram_from_m1(message: Message, updates: list[MemberUpdate]) -> bytes:
    """Return a datagram from the member m1 to the address of m0."""
    return encode_datagram("c", Datagram("m1", address_of(0), message, tuple(updates)))


def time_call_us(function: Callable[..., object], *arguments: object) -> float:
    """Return the duration of a call in microseconds."""
    started_at = time.perf_counter()
    function(*arguments)
    return (time.perf_counter() - started_at) * 1e6


def alive_updates(incarnation: int) -> list[MemberUpdate]:
    """Return updates that report 16 members as alive."""
    return [
        MemberUpdate(f"m{n}", address_of(n), incarnation, ALIVE, {"kind": "gateway"}) for n in range(1, 17)
    ]


def measure_cost(size: int) -> tuple[float, float, float, float]:
    """Measure the CPU and memory cost of one member.

    Returns:
        The median microseconds of a protocol period with its probe, of a datagram with 16 updates that are
        all new, and of a full state exchange; and the kB of memory per known member.
    """
    tracemalloc.start()
    swim = swim_with_members(size)
    memory_kb = tracemalloc.get_traced_memory()[0] / size / 1000
    tracemalloc.stop()
    period_times_us, datagram_times_us, exchange_times_us = list[float](), list[float](), list[float]()
    for number in range(1000):
        period = swim.detector.next_probe_at
        while swim.detector.next_probe_at == period:
            now = swim.next_due_at()
            time_us = time_call_us(swim.tick, now)
        period_times_us.append(time_us)
        swim.detector.probes.clear()  # as if acknowledged
        data = datagram_from_m1(Ping(number, None), alive_updates(3 + number))
        datagram_times_us.append(time_call_us(swim.receive, now, address_of(1), data))
        if number % 100 == 0:
            exchange_times_us.append(time_call_us(swim.anti_entropy.begin_exchange, now))
            swim.drain_outbox()
    return (
        statistics.median(period_times_us),
        statistics.median(datagram_times_us),
        statistics.median(exchange_times_us),
        memory_kb,
    )


# Output


def print_table(header: Row, rows: list[Row]) -> None:
    """Print a Markdown table."""
    for row in (header, ("---",) * len(header), *rows):
        print(f"| {' | '.join(row)} |")


def quantile(values: list[float], fraction: float) -> float:
    """Return the value below which this fraction of the values lies."""
    return sorted(values)[min(len(values) - 1, int(fraction * len(values)))]


def show_detection(args: argparse.Namespace, pool: ProcessPoolExecutor) -> None:
    """Print how long the members take to detect a death, by cluster size and loss."""
    rows = list[Row]()
    for size in args.sizes:
        for loss in args.losses:
            cases = [Case(size, loss, seed, 0) for seed in range(args.seeds)]
            runs = list(pool.map(measure_detection, cases))
            delays_s = [delay_s for run in runs for delay_s in run]
            incomplete_runs = sum(len(run) < size - 1 for run in runs)
            rows.append(
                (
                    str(size),
                    f"{loss:.0%}",
                    f"{statistics.median(delays_s):.1f}",
                    f"{quantile(delays_s, 0.99):.1f}",
                    f"{max(delays_s):.1f}",
                    str(incomplete_runs),
                )
            )
    print_table(
        ("members", "loss", "known, median s", "99th percentile", "last", "runs where not all knew"), rows
    )


def show_false(args: argparse.Namespace, pool: ProcessPoolExecutor) -> None:
    """Print how many live members are considered dead, by cluster size and loss."""
    rows = list[Row]()
    for size in args.sizes:
        for loss in args.losses:
            cases = [Case(size, loss, seed, args.seconds) for seed in range(args.seeds)]
            runs = list(pool.map(measure_false_deaths, cases))
            rows.append(
                (
                    str(size),
                    f"{loss:.0%}",
                    f"{args.seeds} of {args.seconds:g} s",
                    str(sum(member_count for member_count, _ in runs)),
                    str(sum(pair_count for _, pair_count in runs)),
                )
            )
    print_table(("members", "loss", "runs", "members held dead by anybody", "pairs"), rows)


def show_splits(args: argparse.Namespace, pool: ProcessPoolExecutor) -> None:
    """Print how long the views take to converge after a network split, by cluster size and duration."""
    rows = list[Row]()
    for size in args.sizes:
        for seconds in SPLIT_DURATIONS_S:
            runs = list(
                pool.map(measure_healing, [Case(size, 0.0, seed, seconds) for seed in range(args.seeds)])
            )
            durations_s = [seconds for seconds, _ in runs]
            rows.append(
                (
                    str(size),
                    f"{seconds:g}",
                    f"{statistics.median(durations_s):.1f}",
                    f"{max(durations_s):.1f}",
                    str(sum(false_deaths for _, false_deaths in runs)),
                )
            )
    print_table(
        ("members", "split for s", "one view after, median s", "longest", "neighbours held dead"), rows
    )


def show_pauses(args: argparse.Namespace, pool: ProcessPoolExecutor) -> None:
    """Print the effects of paused members, by cluster size and duration."""
    rows = list[Row]()
    for size in args.sizes:
        for seconds in PAUSE_DURATIONS_S:
            runs = list(
                pool.map(measure_pauses, [Case(size, 0.0, seed, seconds) for seed in range(args.seeds)])
            )
            rows.append(
                (
                    str(size),
                    f"{seconds:g}",
                    str(sum(run[0] for run in runs)),
                    str(sum(run[1] for run in runs)),
                    f"{max(run[2] for run in runs):.1f}",
                )
            )
    print_table(
        ("members", "pause s", "others held dead by one awake", "by one that woke", "one view after s"), rows
    )


def show_load(args: argparse.Namespace, pool: ProcessPoolExecutor) -> None:
    """Print the traffic of an idle member, by cluster size."""
    cases = [Case(size, 0.0, 1, 60.0) for size in args.sizes]
    print_table(
        ("members", "datagrams a member a second", "bytes"),
        [
            (str(case.size), f"{sent:.2f}", f"{size:.0f}")
            for case, (sent, size) in zip(cases, pool.map(measure_load, cases), strict=True)
        ],
    )


def show_cost(args: argparse.Namespace, pool: ProcessPoolExecutor) -> None:
    """Print the CPU and memory cost of one member, by cluster size."""
    rows = list[Row]()
    for size in args.sizes:
        runs = [measure_cost(size) for _ in range(args.seeds)]
        rows.append((str(size), *(f"{statistics.median(values):.1f}" for values in zip(*runs, strict=True))))
    print_table(
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
    """Run storms of random faults and print the breaches of invariants."""
    runs = list(pool.map(run_storm, range(args.seeds)))
    for seed, (breaches, _) in enumerate(runs):
        if breaches:
            print(f"seed {seed}: {breaches[0]}")
    print(
        f"{len(runs)} storms, {sum(bool(breaches) for breaches, _ in runs)} with a breach; pairs of one "
        f"that held another dead, which most reached: {sum(false_deaths for _, false_deaths in runs)}"
    )


def run_storm(seed: int) -> tuple[list[str], int]:
    """Return the breaches of a run with random faults and the number of false deaths."""
    referee = play(seed).referee
    return referee.breaches, len(referee.false_deaths)


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
    """Run the measurement that the command line names."""
    parser = argparse.ArgumentParser(prog="python -m api_gateway.experiments.membership", description=__doc__)
    parser.add_argument("kind", choices=sorted(KINDS))
    parser.add_argument("--sizes", type=int, nargs="+", default=[40], help="members")
    parser.add_argument(
        "--losses", type=float, nargs="+", default=LOSSES, help="fractions of datagrams that are lost"
    )
    parser.add_argument("--seeds", type=int, default=4, help="runs of each case")
    parser.add_argument(
        "--seconds", type=float, default=2 * FORGET_AFTER_S, help="duration of a run, in virtual time"
    )
    parser.add_argument(
        "--processes", type=int, default=4, help="processes that run simulations at the same time"
    )
    args = parser.parse_args()
    with ProcessPoolExecutor(args.processes) as pool:
        KINDS[args.kind](args, pool)
    return 0


if __name__ == "__main__":
    sys.exit(main())
