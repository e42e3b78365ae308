"""docs/CAPACITY.md, from the target and the stored runs: `python -m api_gateway.experiments.scale page`.

The prose is page.md's and has no figures of its own: `{{figure NAME}}` and `{{table NAME}}` stand for what is
worked out here. Every figure of the page comes through a Book, which remembers what it gave.
"""

from __future__ import annotations

import argparse
import copy
import re
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any, NamedTuple

from api_gateway.experiments.scale import cells, fit, tables
from api_gateway.experiments.scale.arithmetic import add_formulas
from api_gateway.experiments.scale.cells import NOT_MEASURED, Book, Figure, digits, size
from api_gateway.experiments.scale.plots import plotted
from api_gateway.experiments.scale.runs import Run
from api_gateway.experiments.scale.tables import BREAKS, MISSING, NOTHING, Row

HERE = Path(__file__).resolve().parent
DOCS = HERE.parents[2] / "docs"
PLACE = re.compile(r"\{\{(\w+) ([\w-]+)\}\}")
NUMBER = re.compile(r"(?<![\w.])\d+(?:,\d{3})*(?:\.\d+)?(?:e-?\d+)?")
CODE = re.compile(r"`[^`]*`")


def main(argv: list[str]) -> int:
    parser = argparse.ArgumentParser(prog="python -m api_gateway.experiments.scale page", description=__doc__)
    parser.add_argument("--target", type=Path, default=HERE / "target.toml")
    parser.add_argument("--runs", type=Path, default=DOCS / "scale", help="folder of stored runs")
    parser.add_argument("--out", type=Path, default=DOCS / "CAPACITY.md")
    parser.add_argument("--check", action="store_true", help="write nothing; status 1 if the page is another")
    args = parser.parse_args(argv)
    text, book = page(args.target, args.runs)
    if args.check:
        return int(not args.out.exists() or args.out.read_text() != text)
    args.out.write_text(text)
    print(f"{args.out.name}: {len(book.runs)} runs, {text.count(NOT_MEASURED)} cells not measured")
    return 0


def page(target: Path, folder: Path) -> tuple[str, Book]:
    """The text, and the book that gave its figures."""
    book = made(cells.read_target(target), cells.read_runs(folder))
    template = (HERE / "page.md").read_text()
    return PLACE.sub(lambda place: placed(book, *place.groups()), template), book


def made(target: dict[str, Any], runs: list[Any]) -> Book:
    book = Book(target, runs)
    add_formulas(book)
    return book


def placed(book: Book, kind: str, name: str) -> str:
    if kind == "figure":
        return book.show(book[name] if name in book.formulas else book.of(name, UNITS.get(name, "")))
    if kind == "table":
        return TABLES[name](book)
    if kind == "rows":
        return role(book, name)
    if kind == "text":
        return TEXTS[name](book)
    if kind == "remark":
        return REMARKS[name](book)
    raise KeyError(kind)


# Units of the target's figures where prose names them
UNITS = {
    "added_ms": "ms",
    "change_s": "s",
    "control_mb": "MB",
    "control_kb_s": "KB/s",
    "apart_s": "s",
    "control_cores": "cores",
    "loop_cores": "cores",
    "requests_s": "requests/s",
    "rollout_s": "s",
}


def table(head: Iterable[str], lines: Iterable[Iterable[str]]) -> str:
    names = list(head)
    text = [f"| {' | '.join(names)} |", f"| {' | '.join('---' for _ in names)} |"]
    return "\n".join(text + [f"| {' | '.join(line)} |" for line in lines])


def shown(book: Book, figure: Figure | None) -> str:
    return "" if figure is None else book.show(figure)


def ratio(book: Book, figure: Figure | None) -> str:
    if figure is None:
        return ""
    text = book.show(figure)
    return f"**{text}**" if (figure.value or 0) > 1 else text


# Tables


def role(book: Book, name: str) -> str:
    return table(
        (
            "row",
            "slope and its run, or formula",
            "at the target, at rest",
            "at the worst event",
            "limit",
            "ratio",
            "carried by",
        ),
        (
            (
                row.what,
                tables.slope(book, row.slope),
                at_rest(book, row),
                worst(book, row),
                shown(book, row.limit) or "none given",
                row_ratio(book, row),
                row.carried,
            )
            for row in tables.rows(book)[name]
        ),
    )


def row_ratio(book: Book, row: Row) -> str:
    """Bold where something breaks past the limit."""
    return shown(book, row.ratio) if row.breaks == NOTHING else ratio(book, row.ratio)


def at_rest(book: Book, row: Row) -> str:
    """Nothing where the row is about an event alone."""
    if row.rest is None and row.worst is not None and row.worst.value is not None:
        return "none"
    return shown(book, row.rest) or NOT_MEASURED


def worst(book: Book, row: Row) -> str:
    if row.event == "none":
        return "as at rest"
    return f"{row.event}: {shown(book, row.worst) or NOT_MEASURED}"


def over_limit(book: Book) -> list[tuple[str, Row, Figure]]:
    """Rows that pass their limit, with their role: by what breaks, then by ratio."""
    over = [
        (name, row, row.ratio)
        for name, rows in tables.rows(book).items()
        for row in rows
        if row.breaks in BREAKS and row.ratio is not None and (row.ratio.value or 0) > 1
    ]
    return sorted(over, key=lambda told: (BREAKS.index(told[1].breaks), -(told[2].value or 0)))


def shortfalls(book: Book) -> str:
    """What passes its limit; then what is missing and has no figure."""
    lines = [
        (title(name), row.what, row.breaks, ratio(book, factor), status(name, row))
        for name, row, factor in over_limit(book)
    ]
    found = [(name, row) for name, rows in tables.rows(book).items() for row in rows]
    for name in dict.fromkeys(name for name, row in found if row.carried == MISSING):
        whats = "; ".join(row.what for part, row in found if part == name and row.carried == MISSING)
        lines.append((title(name), whats, "no such part", NOT_MEASURED, MISSING))
    return table(("part", "row", "what breaks", "ratio to its limit", "state of it"), lines)


def told_first(book: Book, built: bool) -> str:
    """The first of the shortfalls that was built here, or that is open, in a sentence."""
    found = [told for told in over_limit(book) if (told[0] in BUILT) == built]
    if not found:
        return (
            "Nothing that was built here passed its limit at this target."
            if built
            else "Nothing that is open passes its limit at this target, as far as it is measured."
        )
    name, row, factor = found[0]
    text = f'"{row.what}" of the {title(name)}: {ratio(book, factor)} times its limit, where {row.breaks}.'
    if built:
        return f"{text} It was built here."
    return f"{text}{f' Past it {row.past}.' if row.past else ''} It is open; today {row.carried} carries it."


def unknown(book: Book) -> str:
    """By role, how many of its rows have no figure at all."""
    lines = []
    for name, rows in tables.rows(book).items():
        bare = [
            row
            for row in rows
            if all(figure is None or figure.value is None for figure in (row.rest, row.worst))
        ]
        if bare:
            lines.append(f"{title(name)} ({book.plain(str(len(bare)))} of {book.plain(str(len(rows)))})")
    return "; ".join(lines) or "none"


def unbuilt(book: Book) -> str:
    names = [name for name, rows in tables.rows(book).items() if any(row.carried == MISSING for row in rows)]
    return "; ".join(title(name) for name in names) or "none"


def bounds(book: Book) -> str:
    """Constants of the code that grow tight with a fleet, the tightest first."""
    found = [
        (name, row, row.limit, row.ratio)
        for name, rows in tables.rows(book).items()
        for row in rows
        if row.limit is not None and row.limit.kind == cells.CODE and row.ratio is not None
    ]
    found.sort(key=lambda told: -(told[3].value or 0))
    lines = []
    for name, row, limit, factor in found:
        breaks = NOT_MEASURED if factor.value is None else "within it" if factor.value <= 1 else row.breaks
        lines.append(
            (
                f"`{limit.expr}`",
                book.show(limit),
                f"{title(name)}, {row.what}",
                at_rest(book, row),
                worst(book, row),
                row_ratio(book, row),
                breaks,
                row.past or "see its row",
            )
        )
    return table(
        (
            "constant",
            "value",
            "bounds",
            "asked at rest",
            "at the worst event",
            "ratio",
            "what breaks",
            "what the code does past it",
        ),
        lines,
    )


class Asked(NamedTuple):
    """`figure`: a name of the target, of a formula or of a sum; `limit`: one of the target or of a formula,
    or a constant's module and name; `why`: what it hangs on."""

    what: str
    figure: str
    limit: str
    unit: str
    why: str


ASKED = (
    Asked(
        "a request's work in the module, at a burst",
        "module_cores_view_in_a_burst",
        "loop_cores",
        "cores",
        "the module looks at the hosts that it uses, not at all of them",
    ),
    Asked(
        "a request's work with sockets, at a burst",
        "process_cores_burst",
        "loop_cores",
        "cores",
        "a gateway has one loop; its room is shared out over more gateways",
    ),
    Asked(
        "time added to a request, at the mean",
        "added_p99_ms_usual",
        "added_ms",
        "ms",
        "by which part of the path: see there",
    ),
    Asked(
        "time added to a request, at a burst",
        "added_p99_ms_burst",
        "added_ms",
        "ms",
        "by which part of the path: see there",
    ),
    Asked(
        "control of a gateway: processor",
        "sum processor",
        "control_cores",
        "cores",
        "at rest little is done; changes of a view are few",
    ),
    Asked(
        "control of a gateway: memory",
        "sum memory",
        "control_mb",
        "MB",
        "each gateway keeps all of the configuration, a plan for each route",
    ),
    Asked(
        "control of a gateway: bytes in and out",
        "sum bytes",
        "control_kb_s",
        "KB/s",
        "each change of configuration brings all of it",
    ),
    Asked(
        "of it the list, in the worst second of an event",
        "view_second_kb",
        "control_kb_s",
        "KB/s",
        "what takes the place of hosts that went is told at once",
    ),
    Asked(
        "a change of configuration in force everywhere, by an operator's calls",
        "everywhere_s",
        "change_s",
        "s",
        "nothing distributes it; a tool calls so many gateways at a time, each takes all of it",
    ),
    Asked(
        "a configuration with a plan for each route",
        "config_bytes",
        "control.config_schema.MAX_BODY_BYTES",
        "bytes",
        "a bound of the call; the file that is read at SIGHUP has none",
    ),
    Asked(
        "list service: one process, in a rollout",
        "registry_cores_in_a_rollout",
        "loop_cores",
        "cores",
        "with views a change is told to those whom it concerns",
    ),
    Asked(
        "list service: bytes out in the worst second of an event",
        "view_service_second_kb",
        "machine_kb_s",
        "KB/s",
        "gateways that all turn to one service ask for their views at once",
    ),
    Asked(
        "list service: one process, renewals of all hosts",
        "renewal_cores",
        "loop_cores",
        "cores",
        "each renewal is a call of its own",
    ),
    Asked(
        "list service: watches that wait, by its default",
        "gateways",
        "registry.config.DEFAULT_MAX_WATCHES",
        "watches",
        "a default; the key `watchers` sets another",
    ),
    Asked(
        "members of one cluster",
        "gateways",
        "membership.member_table.MAX_MEMBERS",
        "members",
        "a bound; gateways past it serve, unseen by the others",
    ),
    Asked(
        "budgets at one grantor",
        "budgets",
        "budgets.settings.MAX_BUDGETS",
        "budgets",
        "a bound; no gateway uses budgets yet, and they are not divided over grantors",
    ),
    Asked(
        "processor of the services, all copies, on the machines for control",
        "sum machines",
        "cores_of_all",
        "cores",
        "what is not built is not in it",
    ),
)


VERDICTS = ("**does not hold**", "not known", "holds so far; parts are not measured", "holds")


def verdicts(book: Book) -> str:
    """What is asked, what it comes to, and whether that holds."""
    lines = list[tuple[str, str, str, str, str]]()
    for asked in ASKED:
        told, limit, lacking = *asked_figures(book, asked), False
        if asked.figure in SUMS:
            parts, column = SUMS[asked.figure]
            figures = [line.takes[column] for line in parts(book)]
            lacking = any(figure is not None and figure.value is None for figure in figures)
        if told is None or told.value is None:
            verdict = VERDICTS[1]
        elif told.value > (limit.value or 0):
            verdict = VERDICTS[0]
        else:
            verdict = VERDICTS[2] if lacking else VERDICTS[3]
        text = NOT_MEASURED if told is None else book.show(told)
        lines.append(
            (
                asked.what,
                f"at least {text}" if lacking and told else text,
                book.show(limit),
                verdict,
                asked.why,
            )
        )
    lines.sort(key=lambda line: VERDICTS.index(line[3]))
    return table(("asked", "at the target", "limit", "verdict", "what it hangs on"), lines)


def asked_figures(book: Book, asked: Asked) -> tuple[Figure | None, Figure]:
    """What it comes to, and its limit."""
    limit = named(book, asked.limit, asked.unit)
    if asked.figure in SUMS:
        parts, column = SUMS[asked.figure]
        return total(book, [line.takes[column] for line in parts(book)])[1], limit
    return named(book, asked.figure, asked.unit), limit


def status(name: str, row: Row) -> str:
    return f"built here: {row.carried}" if name in BUILT else f"open; now {row.carried}"


def title(name: str) -> str:
    return TITLES[name]


BUILT = ("gateway-before",)  # roles as they were before what was built here
TITLES = {
    "gateway-path": "gateway, path of a request",
    "gateway-control": "gateway, control",
    "gateway-before": "gateway with the whole list, as it was",
    "list-service": "list service",
    "distribution": "distribution of configuration",
    "counter": "counter",
    "membership": "membership",
    "grantor": "grantor of budgets",
    "voters": "voters of duties",
    "hosts": "hosts",
}


def before_after(book: Book) -> str:
    """The whole list on the build before, on this one, and a view on this one."""
    lines = []
    for what, stem, limit in (
        ("module, CPU a request", "request_ms", None),
        ("the same beside the fixed work", "request_yardsticks", None),
        ("the same over that at few hosts", "request_growth", book.of("growth", "times")),
        ("module, CPU a change", "change_ms", book.of("change_cpu_ms", "ms")),
        ("the same beside the fixed work", "change_yardsticks", None),
        ("the same with what the next request takes more", "followed_ms", book.of("change_cpu_ms", "ms")),
        ("module, CPU of the first list", "list_ms", None),
        ("module, kept list", "list_mb", None),
        ("gateway, memory", "rss_mb", book.of("control_mb", "MB")),
        ("gateway, bytes in and out at rest", "kb_s", book.of("control_kb_s", "KB/s")),
        ("gateway, the same in a rollout", "kb_s_in_a_rollout", book.of("control_kb_s", "KB/s")),
        ("gateway, processor at rest", "cpu_share", book.of("control_cores", "cores")),
        ("gateway, the same in a rollout", "cpu_share_in_a_rollout", book.of("control_cores", "cores")),
        ("gateway, bytes at its start", "start_kb", None),
        ("gateway, ready after its start", "ready_s", None),
    ):
        base, _, event = stem.partition("_in_a_")
        names = [
            f"{base}_{label}" + (f"_in_a_{event}" if event else "") for label in ("before", "whole", "view")
        ]
        lines.append(
            (what, *(ratio_to(book, book[name], limit) for name in names), shown(book, limit) or "none given")
        )
    return table(
        ("at the target's hosts", "before, whole list", "now, whole list", "now, a view", "wanted at most"),
        lines,
    )


def ratio_to(book: Book, figure: Figure, limit: Figure | None) -> str:
    """A figure, bold where it's above its limit."""
    text = book.show(figure)
    over = limit is not None and figure.value is not None and figure.value > (limit.value or 0)
    return f"**{text}**" if over else text


def total(book: Book, figures: list[Figure | None]) -> tuple[str, Figure | None]:
    """The sum of those that have a value; "at least" where some have none."""
    known = [figure for figure in figures if figure is not None and figure.value is not None]
    if not known:
        return NOT_MEASURED, None
    summed = known[0]
    for figure in known[1:]:
        summed = summed + figure
    few = any(figure is not None and figure.value is None for figure in figures)
    summed = summed.named("sum", known[0].unit)
    return ("at least " if few else "") + book.show(summed), summed


LEAST_PART = 0.001  # of a limit, that is told


class Part(NamedTuple):
    """Of a sum: what it is, and what it takes."""

    what: str
    takes: tuple[Figure | None, ...]


def sums(book: Book, lines: list[Part], limits: tuple[Figure, ...], head: tuple[str, ...]) -> str:
    """Each with its part of the limit."""
    told = [
        (what, *(part_of(book, figure, limit) for figure, limit in zip(figures, limits, strict=True)))
        for what, figures in lines
    ]
    columns = [total(book, [line.takes[n] for line in lines]) for n in range(len(limits))]
    told.append(("**all**", *(text for text, _ in columns)))
    told.append(("limit", *(book.show(limit) for limit in limits)))
    told.append(
        (
            "ratio",
            *(
                NOT_MEASURED if summed is None else ratio(book, summed / limit)
                for (_, summed), limit in zip(columns, limits, strict=True)
            ),
        )
    )
    return table(head, told)


def part_of(book: Book, figure: Figure | None, limit: Figure) -> str:
    if figure is None:
        return "none"
    text = book.show(figure)
    if figure.value is None:
        return text
    share = figure.value / (limit.value or 1)
    return f"{text}, {book.percent(share) if share >= LEAST_PART else f'under {book.percent(LEAST_PART)}'}"


def of_machines(book: Book) -> list[Part]:
    """Services, each in as many copies as it needs."""
    copies, none = book.of("copies"), Figure(None, NOT_MEASURED, cells.MEASURED)
    parts = (
        (
            "list service, in a rollout",
            "copies",
            "registry_cores_in_a_rollout",
            "registry_mb",
            "registry_kb_s_in_a_rollout",
        ),
        ("list service, renewals of hosts", "", "renewal_cores", "", ""),
        ("grantor of budgets", "copies", "grantor_cpu_share", "grantor_rss_mb", "grantor_kb_s"),
    )
    lines = [
        Part(
            what,
            (
                book.of(machine, "machines") if machine else None,
                *(
                    (book[name] * copies).named(name, told) if name else None
                    for name, told in zip(names, ("cores", "MB", "KB/s"), strict=True)
                ),
            ),
        )
        for what, machine, *names in parts
    ]
    return lines + [
        Part(what, (none, none, none, none))
        for what in ("distribution of configuration (not built)", "voters of duties (not built)")
    ]


def machines(book: Book) -> str:
    return sums(
        book,
        of_machines(book),
        (book.of("machines", "machines"), book["cores_of_all"], book["mb_of_all"], book["kb_s_of_all"]),
        ("service, all its copies", "machines, one for each copy", "processor", "memory", "bytes out"),
    )


def of_control(book: Book) -> list[Part]:
    """What a gateway does beside its requests."""
    return [
        Part(
            "process and list with a view, in a rollout",
            (book["cpu_share_view_in_a_rollout"], book["rss_mb_view"], book["kb_s_view_in_a_rollout"]),
        ),
        Part(
            "membership",
            (book["membership_cpu_share"], book["membership_rss_mb"], book["membership_kb_s"]),
        ),
        Part(
            "configuration, a plan for each route",
            (book["configuration_cores"], book["configuration_mb"], book["configuration_kb_s"]),
        ),
        Part(
            "exchanges with the grantor (no gateway does them yet)",
            (book["grantor_holder_cpu_share"], book["grantor_holder_mb"], book["holder_kb_s"]),
        ),
    ]


def gateway_control(book: Book) -> str:
    return sums(
        book,
        of_control(book),
        (book.of("control_cores", "cores"), book.of("control_mb", "MB"), book.of("control_kb_s", "KB/s")),
        ("part", "processor", "memory", "bytes in and out"),
    )


SUMS: dict[str, tuple[Callable[[Book], list[Part]], int]] = {
    "sum processor": (of_control, 0),
    "sum memory": (of_control, 1),
    "sum bytes": (of_control, 2),
    "sum machines": (of_machines, 1),
}

PARTS = (
    ("**all that is added**", "added_p99_ms", "`gateway.node.GatewayNode`"),
    ("of it work: the module", "part_module_p99_ms", "`policy.engine.DecisionEngine.handle`"),
    (
        "of it work: sockets and framing",
        "part_sockets_p99_ms",
        "`downstream.client_connection.ClientConnection`, `upstream.connection.Connection`",
    ),
    ("of it waiting: until a loop turns to it", "part_loop_p99_ms", "`gateway.node.GatewayNode`"),
    (
        "of it waiting: for its turn among clients",
        "part_turn_p99_ms",
        "`downstream.fair_queueing.CommandScheduler`",
    ),
    (
        "of it waiting: for a lease of its quota",
        "part_lease_p99_ms",
        "`policy.quota_leases.QuotaLeases.request_units`",
    ),
    ("of it waiting: for a connection to its host", "part_connection_p99_ms", "`upstream.pool.Pool`"),
    (
        "of it waiting: for a host that is free",
        "part_queue_p99_ms",
        "`policy.endpoints.EndpointPool.is_at_limit`",
    ),
    ("of it at hosts that failed it", "part_again_p99_ms", "`policy.retries.AttemptSender.on_attempt_ended`"),
    ("beside it: added in the median", "added_p50_ms", "`gateway.node.GatewayNode`"),
    ("beside it: added where requests are stamped", "stamped_added_p99_ms", "`gateway.node.GatewayNode`"),
    ("beside it: outside of its host through a bare relay", "relay_outside_p99_ms", "the lab's relay"),
    (
        "beside it: outside of its host through the gateway",
        "gateway_outside_p99_ms",
        "`gateway.node.GatewayNode`",
    ),
    ("beside it: the longest pause for garbage", "pause_longest_ms", "`gateway.node.GatewayNode`"),
)


def slowest(stem: str) -> str:
    """Its mean among the slowest requests; nothing where that is not told."""
    if stem == "added_p99_ms":
        return "slow_all_ms"
    return stem.replace("part_", "slow_").replace("_p99", "") if stem.startswith("part_") else ""


def added(book: Book) -> str:
    """The time added to a request, by part of its path."""
    limit, lines = book.of("added_ms", "ms"), []
    for what, stem, carried in PARTS:
        at = [book[f"{stem}_{label}"] for label in ("usual", "burst")]
        shown = [
            text
            for label in ("usual", "burst")
            for text in (
                book.show(book[f"{stem}_{label}"]),
                book.show(book[f"{slowest(stem)}_{label}"]) if slowest(stem) else "",
            )
        ]
        over = "" if what.startswith("beside") else ratio(book, cells.most(*at) / limit)
        lines.append((what, *shown, over, carried))
    return table(
        (
            "part of the path",
            "at the mean: alone",
            "at the mean: among the slowest",
            "at a burst: alone",
            "at a burst: among the slowest",
            "of the limit, ratio",
            "carried by",
        ),
        lines,
    )


STEPS = (
    ("accepted: checked by the service that takes it", "accepted", MISSING),
    ("stored", "stored", MISSING),
    ("told: each gateway hears that there is one", "told", MISSING),
    ("fetched: what changed", "fetched", MISSING),
    (
        "checked by a gateway and in force there, a plan for each route",
        "apply_s",
        "`control.config_changes.ConfigChanges.prepare`, `control.config_changes.ConfigChanges.commit`",
    ),
)


def change(book: Book) -> str:
    """The time until a change of configuration is in force, by step."""
    lines = []
    for what, step, carried in STEPS:
        at = [
            book.measured(f"{step}_s", "distribution", axis, book.of("gateways"), unit="s")
            for axis in ("gateways", "event:rollout", "event:zone")
        ]
        if step in book.formulas:
            at[0] = book[step]
        lines.append((what, *(book.show(figure) for figure in at), carried))
    none = Figure(None, NOT_MEASURED, cells.MEASURED)
    lines.append(
        (
            "**all of it**, by an operator's calls at all gateways",
            ratio_to(book, book["everywhere_s"], book.of("change_s")),
            book.show(none),
            book.show(none),
            "`control.config_changes.ConfigChanges.change`",
        )
    )
    return table(("step", "at rest", "in a rollout", "with a zone cut off", "carried by"), lines)


def events(book: Book) -> str:
    """What the operators count on."""
    lines = []
    for event in EVENTS:
        count = book[event.many] if event.many in book.formulas else book.of(event.many, event.unit)
        cost, lasts = (named(book, name, "s") if name else None for name in (event.cost, event.lasts))
        lines.append(
            (
                event.what,
                event.text,
                book.show(count),
                f"{book.show(cost)} {event.of}" if cost and cost.value is not None else NOT_MEASURED,
                NOT_MEASURED if lasts is None else book.show(lasts),
                event.carried,
                event.shown,
            )
        )
    return table(
        ("event", "what happens", "how many", "what it costs", "for how long", "carried by", "shown to"),
        lines,
    )


def named(book: Book, name: str, unit: str) -> Figure:
    """Of a formula, of a module's constant, or one of the target's."""
    module, dot, constant = name.rpartition(".")
    if name in book.formulas:
        return book[name]
    return book.code(module, constant, unit) if dot else book.of(name, unit)


def told(book: Book) -> str:
    """What each event tells a gateway, and for how long that fills its limit."""
    lines, limit = [], book.of("control_kb_s", "KB/s")
    for event in EVENTS:
        for label, how in (("view", "a view"), ("whole", "the whole list")):
            stem = f"{event.told}_{label}"
            if f"{stem}_kb" not in book.formulas or book[f"{stem}_kb"].value is None:
                continue
            figures = [
                book[f"{stem}_{part}"] if f"{stem}_{part}" in book.formulas else None
                for part in ("messages", "kb", "kb_most", "second_kb", "s", "last_s", "service_second_kb")
            ]
            lines.append(
                (
                    event.what,
                    how,
                    *(
                        NOT_MEASURED if figure is None else ratio_to(book, figure, limit if n == 3 else None)
                        for n, figure in enumerate(figures)
                    ),
                )
            )
    return table(
        (
            "event",
            "gateways have",
            "messages, mean",
            "KB, mean",
            "KB, most",
            "KB in the worst second",
            "s at its limit",
            "s until the last is told",
            "KB of the service in its worst second",
        ),
        lines,
    )


class Event(NamedTuple):
    """`many`, `cost`, `lasts`: names of the target or of formulas; `of`: whose the cost is; `told`: how
    figures of what a gateway is told begin."""

    what: str
    text: str
    many: str
    unit: str
    told: str
    cost: str
    of: str
    lasts: str
    carried: str
    shown: str


EVENTS = (
    Event(
        "a machine fails",
        "its registration lapses, it drains and is removed; until then attempts at it fail and are made "
        "elsewhere, and gateways that see it send it less",
        "failed_a_day",
        "a day",
        "loss",
        "loss_view_kb",
        "at a gateway with it in view",
        "lapse_s",
        "`registry.core.Registry.check_expiry`, `policy.outlier_detection.HealthEstimator`",
        "gateways with it in view; the list service's `GET /status`, by counts; callers, by an attempt more",
    ),
    Event(
        "a machine is restarted or replaced",
        "it drains, goes, comes back cold and gets more as it warms",
        "restarted_a_day",
        "a day",
        "restart",
        "restart_view_kb",
        "at a gateway with it in view",
        "registry.core.DRAIN_DURATION_S",
        "`policy.endpoint_table.EndpointState.slow_start_factor`",
        "gateways with it in view",
    ),
    Event(
        "a rack or switch goes",
        "its hosts lapse together, far fewer than the guard lets go in a span (`hosts_that_may_lapse`)",
        "rack_hosts",
        "hosts",
        "rack",
        "rack_view_kb_most",
        "at one gateway at most",
        "lapse_s",
        "`registry.core.Registry.may_expire`",
        "gateways with some of them in view; the list service's `GET /status`, by counts",
    ),
    Event(
        "a zone goes",
        "its hosts lapse within one span if these are fewer than the guard lets go; each view takes others "
        "in their place; a gateway with the whole list that asks from before what is remembered gets all",
        "hosts_of_a_zone",
        "hosts",
        "zone",
        "zone_view_kb_most",
        "at one gateway at most",
        "lapse_s",
        "`registry.core.Registry.may_expire`, `base.subsets.SubsetSpec`",
        "all gateways; the list service's `GET /status`, and its log where the guard holds some",
    ),
    Event(
        "all gateways start at once",
        "each asks for its view, at a time drawn over the fleet's size",
        "gateways",
        "gateways",
        "everything",
        "everything_view_kb_most",
        "at each gateway",
        "registry_ready_s_by_gateways",
        "`discovery.polling.Backoff.first_delay`",
        "the list service; fronts, by gateways that are ready later",
    ),
    Event(
        "a rollout",
        "hosts drain, go and come back one after another, spread over the fleet",
        "changes_in_a_rollout",
        "entries/s",
        "rollout",
        "kb_s_view_in_a_rollout",
        "at a gateway",
        "rollout_s",
        "`registry.core.Registry.drain`",
        "gateways with them in view; the list service's `GET /status`, by counts",
    ),
    Event(
        "a change of configuration",
        "an operator's call at each gateway brings all of it; each checks, prepares and swaps it whole, "
        "open requests end by what they began with; a gateway that was not reached keeps the old one",
        "changes_a_day",
        "a day",
        "",
        "distribution_cpu_ms_a_change",
        "of CPU at each gateway",
        "everywhere_s",
        "`control.config_changes.ConfigChanges.change`",
        "the caller; `GET /config` of each gateway; `GET /members`, by a digest of each in the cluster",
    ),
    Event(
        "a rush of tenants, each at its own gateways",
        "each is new there: a lease for each, so calls to the counter come at once; requests wait for them",
        "tenants",
        "tenants",
        "",
        "rush_calls_s",
        "of one gateway in the worst second",
        "",
        "`policy.quota_leases.QuotaLeases.request_units`, `counter_client.CounterClient`",
        "callers, by what they wait; the counter",
    ),
    Event(
        "a rush of tenants, all at one gateway",
        "each asks there: an account for each, with plans and quotas as before; accounts that "
        "rest go one with each later request",
        "tenants",
        "tenants",
        "",
        "kept_mb_by_customers",
        "at that gateway",
        "accounts_let_go_s",
        "`policy.customer_accounts.Account`, `policy.engine.DecisionEngine.on_request`",
        "callers beyond quota, by refusals; nobody else: memory is not told",
    ),
    Event(
        "a list service goes",
        "gateways that name several ask another, whose list is of another life and comes whole; with but "
        "one they serve from the last list, and fail on hosts that went meanwhile; hosts register anew",
        "copies",
        "machines",
        "lost",
        "lost_view_kb_most",
        "at one gateway at most",
        "lost_view_last_s",
        "`discovery.replicas.Replicas`",
        "each gateway's `GET /status`, and its log by the other life; hosts, by renewals that fail",
    ),
    Event(
        "the last list service goes, too",
        "gateways serve from the last list, a restarted one from what it kept on its disk; nobody learns "
        "of hosts that come, go or drain until it is back and has learned which hosts are there",
        "gateways",
        "gateways",
        "back",
        "back_view_kb_most",
        "at one gateway at most, once it is back",
        "back_view_last_s",
        "`discovery.replicas.Replicas`, `policy.outlier_detection.HealthEstimator`",
        "each gateway's `GET /status`, by the age of its list; callers, by attempts at hosts that are gone",
    ),
    Event(
        "the grantor of budgets goes",
        "grants hold until they end, then each gateway falls to its part of the reserve; no gateway uses "
        "one yet",
        "gateways",
        "gateways",
        "",
        "",
        "",
        "",
        "`budgets.holder.BudgetHolder`",
        "its holders; hosts, by the units of the reserve",
    ),
    Event(
        "the counter goes",
        "each gateway goes on with even parts of quotas until the counter answers again",
        "counts_of_all",
        "calls/s",
        "",
        "",
        "",
        "",
        "`policy.quota_leases.QuotaLeases.decide_without_counter`",
        "callers near their quota, either way; no figure of the gateway",
    ),
    Event(
        "a member that others joined by goes",
        "its cluster goes on; new members need another of the seeds",
        "gateways",
        "members",
        "",
        "",
        "",
        "",
        "`membership.swim.Swim`",
        "`GET /members`",
    ),
    Event(
        "voters or what distributes configuration go",
        "neither is built",
        "copies",
        "machines",
        "",
        "",
        "",
        "",
        MISSING,
        "nobody",
    ),
    Event(
        "regions lose each other",
        "each side goes on with what it knows; hosts that cannot reach a list service lapse there, in each "
        "span as many as the guard lets go (`spans_until_a_region_lapsed`); the side that does not reach "
        "the counter goes on with even parts of quotas; configuration differs until they meet again",
        "apart_s",
        "s",
        "apart",
        "apart_view_kb_most",
        "at one gateway at most",
        "apart_s",
        "`registry.core.Registry.may_expire`, `policy.quota_leases.QuotaLeases.decide_without_counter`",
        "`GET /members`, `GET /status`; callers, by what passes beyond a quota",
    ),
    Event(
        "regions meet again",
        "hosts and gateways of the other region come back; views and quotas grow together; which of two "
        "configurations counts nobody says",
        "hosts_of_a_region",
        "hosts",
        "healed",
        "healed_view_kb_most",
        "at one gateway at most",
        "healed_view_last_s",
        "`registry.core.Registry.register`, `membership.swim.Swim`",
        "`GET /members`, `GET /status`",
    ),
)


def lists(book: Book) -> str:
    """What the list service holds and refuses in events about itself."""
    lines = []
    for event in EVENTS:
        for label, how in (("view", "a view"), ("whole", "the whole list")):
            figures = [
                book[f"{event.told}_{label}_{part}"]
                for part in ("hosts_up", "hosts_held", "refused", "refused_s_most")
                if f"{event.told}_{label}_{part}" in book.formulas
            ]
            if any(figure.value is not None for figure in figures):
                lines.append((event.what, how, *(book.show(figure) for figure in figures)))
    if not lines:
        return "No run has what the list service holds and refuses meanwhile: not measured."
    return table(
        (
            "event",
            "gateways have",
            "hosts listed up",
            "hosts held by the guard",
            "calls refused",
            "of them in the worst second",
        ),
        lines,
    )


def words(book: Book) -> str:
    """What stands for the operators' words, and what each reading costs a gateway's module."""
    lines = []
    for word in WORDS:
        figures = [
            book[f"{stem}_by_{word.by}"] if word.by else None for stem in ("kept_mb", "idle_mb", "request_ms")
        ]
        count = book[word.many] if word.many in book.formulas else book.of(word.many)
        lines.append(
            (
                word.word,
                word.read,
                book.show(count),
                *(NOT_MEASURED if figure is None else book.show(figure) for figure in figures),
                word.why,
            )
        )
    return table(
        (
            "word",
            "read as",
            "how many",
            "MB kept",
            "MB kept after ten idle minutes",
            "CPU a request",
            "taken or open",
        ),
        lines,
    )


class Word(NamedTuple):
    word: str
    read: str
    many: str
    by: str  # the axis by which it was measured
    why: str


WORDS = (
    Word(
        "tenant",
        "customer of a request",
        "tenants",
        "customers",
        "taken: quotas are counted by customer, and none need be configured",
    ),
    Word(
        "tenant",
        "plan of the settings",
        "plans",
        "plans_of_tenants",
        "open: only where each tenant has terms of its own",
    ),
    Word(
        "route", "class of the settings", "routes", "classes", "taken: aims, deadlines and copies go by class"
    ),
    Word(
        "route",
        "class and plan together: as many plans",
        "routes",
        "plans",
        "open: where a tenant's routes have terms of their own",
    ),
    Word(
        "service",
        "kind of a host in the list",
        "services",
        "kinds",
        "taken: views may name kinds; the module itself sends to any host that it is told of",
    ),
    Word(
        "service",
        "cell of a host in the list",
        "services",
        "cells",
        "open: a cell bounds only where an idempotency key is known",
    ),
    Word("service", "a label of its own in the list", "services", "", "open: the list has none"),
)


def assumptions(book: Book) -> str:
    lines = []
    for name, formula, text in ASSUMPTIONS:
        half, twice = (made(changed(book.target, name, by), book.runs)[formula] for by in (0.5, 2.0))
        followed = f"`{formula}`: {book.show(half)}; {book.show(book[formula])}; {book.show(twice)}"
        lines.append((f"`{name}`", book.show(book.of(name)), followed, text))
    return table(("assumption", "value", "what follows at half, as assumed, at twice", "in words"), lines)


ASSUMPTIONS = (
    (
        "view_hosts",
        "connections_a_host_in_view",
        "more hosts in view cost memory and bytes; fewer leave little choice when a zone goes",
    ),
    ("spread", "customers_a_gateway", "what a gateway keeps of customers moves with it"),
    ("burst", "requests_in_a_burst", "the processor at a burst moves with it"),
    ("entries_a_restart", "changes_in_a_rollout_in_view", "bytes and processor of changes move with it"),
    ("entries_a_loss", "loss_view_kb", "what a gateway is told of a loss moves with it"),
    ("rollout_s", "changes_in_a_rollout", "a rollout in half the time has twice the changes a second"),
    ("calls_in_work_s", "attempts_out_a_host", "hosts hold as many more open"),
    ("plans_a_tenant", "plans", "a configuration is as much longer"),
    ("connections_a_pair", "connections_a_host_in_view", "hosts hold as many more"),
    ("exchange_s", "exchanges_s", "the grantor's messages go against it"),
    ("budgets", "budgets_over_most", "what one grantor would hold moves with it"),
    ("loop_cores", "module_of_a_loop", "the part of a loop that the module takes goes against it"),
    ("machine_cores", "cores_of_all", "the ratio to the machines set aside goes against it"),
    ("machine_mb", "mb_of_all", "the same for memory"),
    ("machine_kb_s", "kb_s_of_all", "the same for bytes"),
    (
        "ttl_s",
        "renewals_s",
        "messages of hosts to the list service go against it, how long the dead stay listed moves with it",
    ),
    ("renewals_a_ttl", "renewals_s", "the list service's messages of hosts move with it"),
    ("kind_bytes", "query_bytes", "the question for a view of all kinds is as much longer"),
    ("calls_at_once", "everywhere_s", "the time until a change is everywhere goes against it"),
    ("host_connections", "connections_of_a_host", "the part of them that gateways take goes against it"),
    ("copies", "registry_cores_of_copies", "all that the services take moves with it"),
)


def changed(target: dict[str, Any], name: str, factor: float) -> dict[str, Any]:
    other = copy.deepcopy(target)
    other["assumed"][name] *= factor
    return other


def formulas(book: Book) -> str:
    """Those that have a value; of the others the names of figures that no run has."""
    lines = [
        (f"`{name}`", f"`{expr}`", book.show(figure))
        for name, (expr, figure) in book.formulas.items()
        if figure.value is not None
    ]
    lacking = dict.fromkeys(
        expr for expr, figure in book.formulas.values() if figure.value is None and " " not in expr
    )
    text = table(("name", "formula", "value"), lines)
    if lacking:
        text += f"\n\nNot measured, by role and axis: {', '.join(f'`{expr}`' for expr in lacking)}."
    return text


def target_table(book: Book) -> str:
    return table(
        ("target", "value"),
        [
            (f"`{name}`", book.show(book.of(name)))
            for part in ("fleet", "limits", "events")
            for name in book.target[part]
        ],
    )


def runs(book: Book) -> str:
    if not book.runs:
        return "No run is stored."
    head = (
        "run",
        "role, axis",
        "variant",
        "held",
        "build",
        "seed",
        "at",
        "sizes",
        "repeats",
        "cores",
        "yardstick, ms",
        "failed, not run",
    )
    return table(head, (told_run(book, run) for run in book.runs))


def told_run(book: Book, run: Run) -> list[str]:
    told, sizes = book.plain, sorted({point.at for point in run.points})
    repeats = [sum(point.at == at for point in run.points) for at in sizes]
    sticks = [point.yardstick_ms for point in run.points]
    return [
        f"`{told(run.name)}`",
        f"{run.role}, {told(run.axis)}",
        told(run.variant),
        told(", ".join(f"{name} {held(value)}" for name, value in run.held.items())) or "none",
        f"`{told(run.build)}`",
        told(str(run.seed)),
        told(run.at),
        ", ".join(told(size(at)) for at in sizes),
        told(between(repeats)),
        told(str(run.machine.cpus)),
        told(between([digits(stick) for stick in sorted(sticks)])) if any(sticks) else "virtual time",
        told("; ".join((*run.failed, *run.not_run))) or "none",
    ]


def held(value: Any) -> str:
    return value if isinstance(value, str) else size(value)


def between(values: list[Any]) -> str:
    """The first and the last of some in order."""
    if not values:
        return "none"
    low, high = (values[0], values[-1]) if isinstance(values[0], str) else (min(values), max(values))
    return str(low) if low == high else f"{low} to {high}"


def hollow(book: Book) -> str:
    """Gateways without sockets beside a real one: how far off they are."""
    told, lines = book.plain, []
    for run in book.runs:
        for name, off in run.hollow.items():
            lines.append(
                (
                    f"`{told(run.name)}`",
                    f"`{name}`",
                    told(digits(off.real)),
                    told(digits(off.hollow)),
                    book.percent(off.off),
                    told(off.difference) or "none told",
                )
            )
    if not lines:
        return "No run compares hollow gateways with a real one: not measured."
    return table(("run", "figure", "real", "hollow", "off", "what a hollow one lacks"), lines)


def pictures(book: Book) -> str:
    names = [run.name for run in book.runs if plotted(run)]
    if not names:
        return "No run has sizes enough for a plot."
    return "\n".join(f"![Cost against size, `{book.plain(name)}`](scale/{name}.png)" for name in names)


TABLES: dict[str, Callable[[Book], str]] = {
    "shortfalls": shortfalls,
    "before-after": before_after,
    "machines": machines,
    "gateway-sum": gateway_control,
    "verdicts": verdicts,
    "bounds": bounds,
    "added": added,
    "change": change,
    "events": events,
    "told": told,
    "lists": lists,
    "words": words,
    "assumptions": assumptions,
    "formulas": formulas,
    "target": target_table,
    "runs": runs,
    "hollow": hollow,
    "pictures": pictures,
}


REMARKS: dict[str, Callable[[Book], str]] = {
    "once": lambda book: book.plain(cells.ONCE),
    "busy": lambda _: cells.BUSY,
    "failed": lambda _: cells.FAILED,
    "other": lambda _: cells.OTHER,
    "slow": lambda book: book.plain(digits(cells.BUSY_AT, True)),
    "loose": lambda book: book.percent(fit.LOOSE),
    "trial": lambda book: book.percent(fit.MOST_TRIAL),
}
TEXTS: dict[str, Callable[[Book], str]] = {
    "first-built": lambda book: told_first(book, True),
    "first-open": lambda book: told_first(book, False),
    "unknown": unknown,
    "unbuilt": unbuilt,
}


# The check of a page


def untraced(text: str, book: Book) -> list[str]:
    """Numbers of a page that no figure gave: outside of code and links each must be one that was shown."""
    given = {number for shown in book.shown for number in NUMBER.findall(shown)}
    plain = CODE.sub(lambda span: "" if span[0][1:-1] in known(book) else span[0], text)
    plain = re.sub(r"\]\([^)]*\)", "]", plain)
    return [number for number in NUMBER.findall(plain) if number not in given]


def known(book: Book) -> set[str]:
    """Names and formulas, which may hold digits."""
    return book.shown | set(book.formulas) | {expr for expr, _ in book.formulas.values()}
