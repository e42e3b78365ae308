"""Scale runs on this machine: `python -m api_gateway.experiments.scale RUN`.

Each leaves a file in docs/scale.
"""

from __future__ import annotations

import argparse
import importlib
import sys
import time
from collections.abc import Callable, Coroutine, Iterator
from pathlib import Path
from typing import Any, TypeVar

import uvloop

from api_gateway.experiments.scale import machine, runs
from api_gateway.experiments.scale.programs import program
from api_gateway.experiments.scale.service import MOST_OFF
from api_gateway.supervisor.errors import StartError

ROOT = Path(__file__).resolve().parents[3]
Args = argparse.Namespace
T = TypeVar("T")
Act = Callable[[Args], Iterator[runs.Run]]  # the run after each of its points

MODULE_AXES: dict[str, tuple[str, list[int]]] = {  # the axis, its name in a Case, and sizes
    "hosts": ("hosts", [100, 1000, 3000, 10_000, 30_000, 56_000]),
    "customers": ("customers", [1000, 3000, 10_000, 30_000, 100_000]),
    "plans": ("plans", [10, 100, 1000, 6000, 18_000]),
    "classes": ("classes", [3, 30, 300, 3000, 18_000]),
    "kinds": ("kinds", [1, 10, 100, 1000, 2600]),
    "cells": ("cells", [1, 10, 100, 1000, 2600]),
    "requests": ("rate", [30, 60, 119, 300, 595]),
    "changes": ("changes", [1, 4, 16, 64, 256]),
}
HELD: dict[str, int] = {
    "hosts": 1000,
    "gateways": 4200,
    "customers": 1000,
    "plans": 3,
    "classes": 3,
    "kinds": 1,
    "cells": 7,
    "rate": 119,
    "changes": 1,
    "view": 0,
}


def one_held(text: str) -> tuple[str, int]:
    """Raises ValueError where it is not AXIS=SIZE."""
    name, _, size = text.partition("=")
    if name not in HELD:
        raise ValueError(name)
    return name, int(size)


def say(text: str) -> None:
    print(text, flush=True)


def played(play: Coroutine[Any, Any, T]) -> T:
    """What it gives, within the bounds of a run. Raises OutOfBounds."""
    return uvloop.run(machine.bounded(play))


def module_run(axis: str) -> Act:
    def act(args: Args) -> Iterator[runs.Run]:
        name, sizes = MODULE_AXES[axis]
        held = dict(HELD)
        if axis == "plans":
            held["customers"] = 18_000  # so that each plan is somebody's
        if axis in ("customers", "plans"):
            held["hosts"] = 100  # many requests are asked before anything is measured
        if axis in ("kinds", "cells"):
            held["hosts"] = 10_000  # so that each is some host's
        if args.view:
            held["view"] = args.view
        held |= dict(args.held)
        machine.Estimate(1000.0, 2, 0.0).check()
        made = runs.begin(
            f"module-by-{axis}{args.label}",
            "gateway",
            axis,
            args.variant,
            dict(held.items()),
            args.seed,
            args.tree,
        )
        del made.held[name]
        for repeat in args.repeats:
            for size in args.sizes or sizes:
                made.points.append(module_point(args, held | {name: size}, size, repeat))
                yield made

    return act


def module_point(args: Args, case: dict[str, Any], size: int, repeat: int) -> runs.Point:
    """CPU and memory each in a process of their own: what traces memory takes time."""
    case, figures, stick = case | {"seed": args.seed + repeat}, dict[str, float](), machine.yardstick()
    for memory in (False, True):
        told = case | {"memory": memory, "seconds": args.seconds}
        figures |= program([str(Path(__file__).with_name("module.py"))], args.tree, told)
    say(
        f"{size}: {figures['cpu_ms_a_request']:.3f} ms a request, {figures['cpu_ms_a_change']:.3f} ms a "
        f"change, {figures['kept_mb']:.1f} MB"
    )
    return runs.Point(size, repeat, figures, stick)


def gateway_by_hosts(args: Args) -> Iterator[runs.Run]:
    """One real gateway without clients."""
    from api_gateway.experiments.scale.rest import PACE, rest

    made = runs.begin(
        f"gateway-by-hosts{args.label}",
        "gateway",
        "hosts",
        args.variant,
        {"gateways": 4200, "view": args.view, "clients": 0, "changes_s": PACE, "seconds": args.seconds},
        args.seed,
        args.tree,
    )
    for repeat in args.repeats:
        for size in args.sizes or [200, 1000, 10_000, 56_000]:
            machine.Estimate(200.0 + size / 50, 4, 60 + 3 * args.seconds).check()
            stick = machine.yardstick()
            figures = played(rest(size, args.view, args.seconds, 1234 + repeat, args.tree))
            say(
                f"{size}: ready in {figures['ready_s']:.2f} s, {figures['rss_mb']:.0f} MB, "
                f"{figures['cpu_share']:.2%} of a core at rest, {figures['cpu_ms_a_change']:.2f} ms a change"
            )
            made.points.append(runs.Point(size, repeat, figures, stick))
            yield made


def latency_by_requests(args: Args) -> Iterator[runs.Run]:
    """What a real gateway adds to a request, against a bare relay."""
    from api_gateway.experiments.scale import latency

    held: dict[str, int] = {"hosts": 100} | dict(args.held)
    made = runs.begin(
        f"latency-by-requests{args.label}",
        "gateway",
        "requests",
        args.variant,
        {
            **held,
            "view": args.view,
            "edge": int(args.edge),
            "seconds": args.seconds,
            "host_processes": latency.PROCESSES,
            "host_ms": 1000 * latency.WORK,
        },
        args.seed,
        args.tree,
    )
    machine.Estimate(1000.0, latency.PROCESSES + 6, 60 + 2 * latency.WARM + 3 * args.seconds).check()
    for repeat in args.repeats:
        for size in args.sizes or [30, 119, 300, 595]:
            stick = machine.yardstick()
            figures, failed = played(
                latency.added(held["hosts"], args.view, size, args.seconds, args.seed + repeat, args.edge)
            )
            say(
                f"{size}: p50 {figures['added_p50_ms']:.2f} ms and p99 {figures['added_p99_ms']:.2f} ms more "
                f"than a relay ({figures['stamped_added_p99_ms']:.2f} where it is stamped); "
                f"{figures['gateway_cpu_ms_a_request']:.2f} ms of CPU a request, "
                f"{figures['gateway_not_served']:.2%} not served{''.join(f'; {what}' for what in failed)}"
            )
            made.failed += [f"{size}, repeat {repeat}: {what}" for what in failed]
            if not failed:  # a point that was disturbed says nothing of the gateway
                made.points.append(runs.Point(size, repeat, figures, stick))
            yield made


SERVICE_SIZES = {"gateways": [50, 100, 200, 400, 800], "hosts": [1000, 3000, 10_000, 30_000, 56_000]}


def service_by(axis: str) -> Act:
    def act(args: Args) -> Iterator[runs.Run]:
        """The list service under hollow and real gateways."""
        from api_gateway.experiments.scale import service

        seconds = max(args.seconds, service.COUNTED)
        held: dict[str, int] = {"hosts": 1000, "gateways": 200} | dict(args.held)
        made = runs.begin(
            f"service-by-{axis}{args.label}",
            "list-service",
            axis,
            args.variant,
            {**held, "view": args.view, "real": service.REAL, "seconds": seconds},
            args.seed,
            args.tree,
        )
        del made.held[axis]
        sizes = args.sizes or SERVICE_SIZES[axis]
        for size in sizes:
            service.estimate(**{**held, axis: size}, view=args.view, seconds=seconds).check()
        for repeat in args.repeats:
            for size in sizes:
                stick = machine.yardstick()
                figures, compared, failed = played(
                    service.play(**{**held, axis: size}, view=args.view, seconds=seconds)
                )
                made.hollow = runs.worst(made.hollow, compared)
                made.failed += [f"{size}, repeat {repeat}: {what}" for what in failed]
                say(
                    f"{size}: {figures['cpu_ms_a_change']:.2f} ms a change, last told after "
                    f"{figures['last_ms']:.0f} ms, {figures['bytes_a_change_gateway']:.0f} B; "
                    f"{'; '.join(failed) or 'hollow as real'}"
                )
                made.points.append(runs.Point(size, repeat, figures, stick))
                yield made

    return act


def members(args: Args) -> Iterator[runs.Run]:
    """The cluster that gateways form."""
    from api_gateway.experiments.scale import beside

    seconds = max(args.seconds, beside.COUNTED)
    made = runs.begin(
        f"membership-by-gateways{args.label}",
        "membership",
        "gateways",
        args.variant,
        {"real": beside.REAL, "seconds": seconds},
        args.seed,
        args.tree,
    )
    for repeat in args.repeats:
        for size in args.sizes or [25, 50, 100, 200]:
            beside.estimate(size, seconds, size * beside.TOLD_EACH).check()
            stick = machine.yardstick()
            figures, compared = played(beside.members(size, seconds))
            made.hollow = runs.worst(made.hollow, compared)
            made.failed += [
                f"{size}, repeat {repeat}: {name}: hollow {it.hollow:.4g}, real {it.real:.4g}"
                for name, it in compared.items()
                if it.off > MOST_OFF
            ]
            say(
                f"{size}: {figures['messages_s']:.1f} datagrams and {figures['bytes_out_s']:.0f} B a second, "
                f"{figures['cpu_share']:.2%} of a core each, {compared['messages_s'].off:.1%} off"
            )
            made.points.append(runs.Point(size, repeat, figures, stick))
            yield made


def counted_members(args: Args) -> Iterator[runs.Run]:
    """The cluster in virtual time."""
    from api_gateway.experiments.scale import swarm

    made = runs.begin(
        f"membership-counted{args.label}",
        "membership",
        "gateways",
        args.variant,
        {"rounds": swarm.ROUNDS},
        args.seed,
        args.tree,
    )
    for repeat in args.repeats[:1]:
        for size in args.sizes or [25, 50, 100, 200, 400]:
            figures = swarm.members(size, args.seed + repeat)
            say(
                f"{size}: {figures['messages_s']:.2f} datagrams and {figures['bytes_out_s']:.0f} B a second "
                f"at rest, which comes after {figures['start_rest_s']:.0f} s; at most "
                f"{figures['start_bytes_out_s_most'] / 1000:.1f} kB in a second while all start"
            )
            made.points.append(runs.Point(size, repeat, figures))
            yield made


def holders(args: Args) -> Iterator[runs.Run]:
    """The grantor of budgets."""
    from api_gateway.experiments.scale import beside

    made = runs.begin(
        f"grantor-by-gateways{args.label}",
        "grantor",
        "gateways",
        args.variant,
        {"budgets": beside.BUDGETS, "seconds": args.seconds},
        args.seed,
        args.tree,
    )
    made.not_run = ["real gateways: they have no client of the grantor"]
    for repeat in args.repeats:
        for size in args.sizes or [100, 200, 400, 800]:
            beside.estimate(size, args.seconds).check()
            stick = machine.yardstick()
            figures = played(beside.holders(size, args.seconds))
            say(
                f"{size}: {figures['cpu_share']:.1%} of a core, {figures['rss_mb']:.0f} MB, "
                f"{figures['messages_s']:.0f} exchanges a second"
            )
            made.points.append(runs.Point(size, repeat, figures, stick))
            yield made


def leased(args: Args) -> Iterator[runs.Run]:
    """The counter's stand-in."""
    from api_gateway.experiments.scale import leases
    from api_gateway.experiments.scale.demand import CUSTOMERS, RATE

    made = runs.begin(
        f"counter-by-requests{args.label}",
        "counter",
        "requests",
        args.variant,
        {"rate": RATE, "customers": CUSTOMERS, "seconds": args.seconds},
        args.seed,
        args.tree,
    )
    made.not_run = ["real gateways: they call for requests of clients, which here there are none of"]
    for repeat in args.repeats:
        for size in args.sizes or [RATE * count for count in (25, 50, 100, 200)]:
            leases.estimate(size, args.seconds).check()
            stick = machine.yardstick()
            figures = played(leases.leased(size, args.seconds))
            say(
                f"{size}: {figures['cpu_share']:.1%} of a core, {figures['rss_mb']:.0f} MB, "
                f"{figures['messages_s']:.0f} calls a second, {figures['calls_a_request']:.3f} a request"
            )
            made.points.append(runs.Point(size, repeat, figures, stick))
            yield made


def rush(args: Args) -> Iterator[runs.Run]:
    """Counted in the module's own time: one repeat, since each is the same."""
    from api_gateway.experiments.scale.demand import ASKED_EACH, CUSTOMERS, RATE, RUSH

    made = runs.begin(
        f"rush-by-customers{args.label}",
        "counter",
        "customers",
        args.variant,
        {"rate": RATE, "customers": CUSTOMERS, "seconds": RUSH, "each": ASKED_EACH},
        args.seed,
        args.tree,
    )
    for size in args.sizes or [18, 36, 72, 143, 286]:
        figures = program(
            ["-m", "api_gateway.experiments.scale.lessees"], args.tree, {"rush": size, "seed": args.seed}
        )
        say(
            f"{size}: {figures['calls_s_most']:.0f} calls to the counter in the worst second, "
            f"{figures['calls_s']:.0f} a second before, {figures['accounts_new']:.0f} new accounts"
        )
        made.points.append(runs.Point(size, 0, figures))
        yield made


def configuration(args: Args) -> Iterator[runs.Run]:
    """Changes of a gateway's configuration."""
    from api_gateway.experiments.scale.configuration import Refused, change

    made = runs.begin(
        f"configuration-by-plans{args.label}",
        "distribution",
        "plans",
        args.variant,
        {"hosts": 200, "clients": 0},
        args.seed,
        args.tree,
    )
    made.not_run = ["distribution over many gateways: a change is one operator's call at one of them"]
    for repeat in args.repeats:
        for size in args.sizes or [10, 100, 500, 1000, 3000, 18_000]:
            machine.Estimate(400.0, 4, 60.0).check()
            stick = machine.yardstick()
            try:
                figures = played(change(size))
            except Refused as err:
                say(f"{size}: {err}")
                made.not_run = list(dict.fromkeys([*made.not_run, str(err)]))
                continue
            say(
                f"{size}: {figures['cpu_ms_a_change']:.1f} ms of CPU a change of "
                f"{figures['config_bytes'] / 1000:.0f} kB, {figures['rss_mb']:.0f} MB"
            )
            made.points.append(runs.Point(size, repeat, figures, stick))
            yield made


EVENT_SECONDS = 60.0  # after an event begins
LONGER = {"apart": 120.0}  # where it takes longer: the guard lets hosts go in two spans
# For which regions are cut off before they heal, in s: past what is remembered of hosts that went
# (TOMBSTONE_LIFETIME_S of the registry), so that an hour tells the same but for pauses that are drawn: 94
# and 92 KB a gateway, of 131.
APART = 900.0
EVENTS = ("rack", "zone", "rollout", "everything", "apart", "healed", "lost", "back")


def event(name: str) -> Act:
    def act(args: Args) -> Iterator[runs.Run]:
        """Counted in virtual time: one repeat, since each is the same."""
        held: dict[str, int] = {"hosts": 56_000, "zones": 6, "rack": 40} | dict(args.held)
        seconds = LONGER.get(name, EVENT_SECONDS)
        if name == "healed":
            held = {"apart": int(APART)} | held
        made = runs.begin(
            f"event-{name}{args.label}",
            "list-service",
            f"event:{name}",
            args.variant,
            {**held, "view": args.view, "seconds": seconds},
            args.seed,
            args.tree,
        )
        for size in args.sizes or [131, 262, 525, 1050, 2100, 4200]:
            machine.Estimate(300.0 + size * (1 + args.view / 500), 2, 0.0).check()
            figures = program(
                ["-m", "api_gateway.experiments.scale.events"],
                args.tree,
                {"event": name, "gateways": size, **held, "view": args.view, "seconds": seconds},
            )
            say(
                f"{size} gateways: {figures['messages_a_gateway']:.1f} messages and "
                f"{figures['bytes_a_gateway'] / 1000:.1f} kB each, at most "
                f"{figures['bytes_in_s_most'] / 1000:.1f} kB in a second"
            )
            made.points.append(runs.Point(size, 0, figures))
            yield made

    return act


CONNECTS = {"requests": ("rate", [30, 60, 119, 300, 595]), "hosts": ("hosts", [1000, 3000, 10_000, 56_000])}


def connects_by(axis: str) -> Act:
    def act(args: Args) -> Iterator[runs.Run]:
        """Counted in the module's own time: one repeat, since each is the same."""
        name, sizes = CONNECTS[axis]
        held = {"hosts": 56_000, "gateways": 4200, "customers": 143, "rate": 119, "view": args.view} | dict(
            args.held
        )
        made = runs.begin(
            f"connects-by-{axis}{args.label}",
            "gateway",
            axis,
            args.variant,
            {of: size for of, size in held.items() if of != name},
            args.seed,
            args.tree,
        )
        for size in args.sizes or sizes:
            figures = program(
                ["-m", "api_gateway.experiments.scale.connects"],
                args.tree,
                {**held, name: size, "seed": args.seed},
            )
            say(
                f"{size}: {figures['connects_s']:.2f} connects a second at rest, "
                f"{figures['connects_start']:.0f} in ten seconds from its start, "
                f"{figures['connections']:.0f} connections to {figures['hosts_used']:.0f} hosts"
            )
            made.points.append(runs.Point(size, 0, figures))
            yield made

    return act


def in_processes(args: Args) -> Iterator[runs.Run]:
    """What gateways are told of a rack that goes, beside the same in virtual time: counted, and so once."""
    from api_gateway.experiments.scale import processes

    held: dict[str, int] = {"hosts": 1000} | dict(args.held)
    made = runs.begin(
        f"event-rack-processes{args.label}",
        "list-service",
        "event:rack in processes",
        args.variant,
        {**held, "view": args.view},
        args.seed,
        args.tree,
    )
    for repeat in args.repeats[:1]:
        for size in args.sizes or [50, 100, 200, 400]:
            processes.estimate(size, held["hosts"]).check()
            figures, compared = played(processes.rack(size, held["hosts"], args.view))
            made.hollow = runs.worst(made.hollow, compared)
            entries, least = compared["entries_a_gateway"], compared["messages_a_gateway"]
            if entries.off or least.real < least.hollow:
                made.failed.append(
                    f"{size}: told of {entries.real:g} hosts in {least.real:g} answers, "
                    f"foretold {entries.hollow:g} in {least.hollow:g}"
                )
            say(
                f"{size}: {entries.real:g} hosts in {least.real:g} answers each, foretold {entries.hollow:g} "
                f"in {least.hollow:g}"
            )
            made.points.append(runs.Point(size, repeat, figures))
            yield made


RUNS: dict[str, Act] = {
    "configuration-by-plans": configuration,
    "membership-by-gateways": members,
    "grantor-by-gateways": holders,
    "membership-counted": counted_members,
    "counter-by-requests": leased,
    "rush-by-customers": rush,
    "event-rack-processes": in_processes,
    **{f"connects-by-{axis}": connects_by(axis) for axis in CONNECTS},
    **{f"event-{name}": event(name) for name in EVENTS},
    "latency-by-requests": latency_by_requests,
    "service-by-gateways": service_by("gateways"),
    "service-by-hosts": service_by("hosts"),
    "gateway-by-hosts": gateway_by_hosts,
    **{f"module-by-{axis}": module_run(axis) for axis in MODULE_AXES},
}


def main() -> int:
    if sys.argv[1:2] in (["page"], ["plots"]):
        return importlib.import_module(f"api_gateway.experiments.scale.{sys.argv[1]}").main(sys.argv[2:])
    parser = argparse.ArgumentParser(prog="python -m api_gateway.experiments.scale", description=__doc__)
    parser.add_argument("run", choices=sorted(RUNS), help="or page, or plots, with arguments of their own")
    parser.add_argument("--sizes", type=int, nargs="+", help="in place of the run's own")
    parser.add_argument("--repeats", type=int, nargs="+", default=[0, 1, 2], help="their numbers")
    parser.add_argument("--seed", type=int, default=1, help="of repeat 0; each has the next one")
    parser.add_argument("--seconds", type=float, default=3.0, help="that are measured at each point")
    parser.add_argument("--view", type=int, default=0, help="hosts that a gateway is told of; 0: all")
    parser.add_argument("--edge", action="store_true", help="clients' commands are taken in turns")
    parser.add_argument(
        "--held", nargs="*", default=[], type=one_held, metavar="AXIS=SIZE", help="of the other axes"
    )
    parser.add_argument("--variant", default="whole list", help="what is measured, in words")
    parser.add_argument("--label", default="", help="what the name of the file ends with")
    parser.add_argument("--tree", type=Path, default=ROOT, help="the build that is measured")
    parser.add_argument("--out", type=Path, default=ROOT / "docs" / "scale", help="where files are left")
    args = parser.parse_args()
    began, path, run = time.monotonic(), None, None
    try:
        for run in RUNS[args.run](args):
            path = runs.store(run, args.out)
    except machine.OutOfBounds as err:
        say(f"refused: {err}")
        return 1
    except StartError as err:
        say(f"did not come up: {err}")
        return 1
    if run is None or path is None:
        say("refused: no size could be played")
        return 1
    say(f"{path.name}: {len(run.points)} points, {time.monotonic() - began:.0f} s, {len(run.failed)} failed")
    return 1 if run.failed else 0


if __name__ == "__main__":
    sys.exit(main())
