"""Figures of the capacity page, each with where it comes from, and the arithmetic between them.

A figure knows the expression that gave it, in names of the target, constants of the code and stored runs.
What is worked out from others is no better than the worst of them, and not measured where one of them is not.
"""

from __future__ import annotations

import ast
import math
import re
import statistics
import tomllib
from collections.abc import Callable
from functools import cache, lru_cache
from pathlib import Path
from typing import Any

import msgspec
from msgspec import structs

from api_gateway.experiments.scale import fit
from api_gateway.experiments.scale.runs import Run, load

PACKAGE = Path(__file__).resolve().parents[2]

TARGET, ASSUMED, CODE, ARITHMETIC, MEASURED, DERIVED, EXTRAPOLATED = (
    "target",
    "assumed",
    "code",
    "arithmetic",
    "measured",
    "derived",
    "extrapolated",
)
MARKS = {
    TARGET: "T",
    ASSUMED: "S",
    CODE: "C",
    ARITHMETIC: "A",
    MEASURED: "M",
    DERIVED: "D",
    EXTRAPOLATED: "E",
}
EXACT = (TARGET, ASSUMED, CODE)
# What a mark says beside its letter
ONCE, BUSY, FAILED, OTHER = REMARKS = "1", "~", "!", "^"
HELD = {"hosts": "hosts", "gateways": "gateways", "zones": "zones", "rack": "rack_hosts"}  # target's names
BUSY_AT = 1.5  # times the least yardstick of all runs on a like machine, above which other work took part
TIMES = re.compile(r"(^|_)(ms|cpu)(_|$)|^(ready|last)_s$")  # names of figures that other work makes larger
NOT_MEASURED = "not measured"
NEAR = 0.005  # relative: a size that is measured as near counts as the one that was asked for
PARTS = ("fleet", "limits", "events", "wanted", "assumed")  # of the target
OWN_PARTS = ("wanted", "assumed")  # which the operators did not give


class Figure(msgspec.Struct, frozen=True):
    """`runs`: names of those that it rests on; `remarks`: what is to be said of them beside the letter."""

    value: float | None
    expr: str
    kind: str
    unit: str = ""
    runs: tuple[str, ...] = ()
    remarks: frozenset[str] = frozenset()

    def __add__(self, other: Figure) -> Figure:
        return joined(self, "+", other)

    def __sub__(self, other: Figure) -> Figure:
        return joined(self, "-", other)

    def __mul__(self, other: Figure) -> Figure:
        return joined(self, "*", other)

    def __truediv__(self, other: Figure) -> Figure:
        return joined(self, "/", other)

    def named(self, name: str, unit: str) -> Figure:
        return structs.replace(self, expr=name, unit=unit)


def joined(left: Figure, sign: str, right: Figure) -> Figure:
    value: float | None = None
    if left.value is not None and right.value is not None:
        value = {
            "+": lambda a, b: a + b,
            "-": lambda a, b: a - b,
            "*": lambda a, b: a * b,
            "/": lambda a, b: a / b if b else math.inf,
        }[sign](left.value, right.value)
    kinds = {left.kind, right.kind}
    kind = EXTRAPOLATED if EXTRAPOLATED in kinds else DERIVED if kinds & {MEASURED, DERIVED} else ARITHMETIC
    first, second = left.expr, right.expr
    if sign in "*/":
        first, second = (f"({text})" if " + " in text or " - " in text else text for text in (first, second))
        second = f"({second})" if sign == "/" and (" * " in second or " / " in second) else second
    if sign == "-" and (" + " in second or " - " in second):
        second = f"({second})"
    return Figure(
        value,
        f"{first} {sign} {second}",
        kind,
        "",
        tuple(dict.fromkeys((*left.runs, *right.runs))),
        left.remarks | right.remarks,
    )


def most(*figures: Figure) -> Figure:
    """The largest of those that have a value; not measured where none has."""
    known = [figure for figure in figures if figure.value is not None]
    return max(known, key=lambda figure: figure.value or 0.0, default=figures[0])


def first(*figures: Figure) -> Figure:
    """The first of them that has a value; the last where none has."""
    return next((figure for figure in figures if figure.value is not None), figures[-1])


def digits(value: float, exact: bool = False) -> str:
    """Three digits that count; whole numbers of the target and of the code in full."""
    if exact or value == 0:
        return f"{value:,.10g}" if value != int(value) else f"{int(value):,}"
    if math.isinf(value):
        return "without bound"
    value = float(f"{value:.2e}")
    places = max(0, 2 - math.floor(math.log10(abs(value))))
    if places > 6:
        places -= 1
    return f"{value:,.{places}f}"


def size(value: int | float) -> str:
    """Of a point or a fit: in full."""
    return digits(float(value), True)


class Book:
    """The target, the code's constants and the stored runs, as figures; and what is worked out from them."""

    def __init__(self, target: dict[str, Any], runs: list[Run]) -> None:
        self.target, self.runs = target, sorted(runs, key=lambda run: run.at)
        self.formulas: dict[str, tuple[str, Figure]] = {}
        self.shown: set[str] = set()  # texts with digits that figures gave
        self.by_axis: dict[tuple[str, str], list[Run]] = {}  # by role and axis, the newest first
        for run in reversed(self.runs):
            self.by_axis.setdefault((run.role, run.axis), []).append(run)
        self.sticks: dict[tuple[Any, ...], float] = {}  # the least yardstick of each machine
        for run in runs:
            of_all = [point.yardstick_ms for point in run.points if point.yardstick_ms]
            at = structs.astuple(run.machine)
            self.sticks[at] = min([*of_all, self.sticks.get(at, math.inf)])

    # Sources

    def of(self, name: str, unit: str = "") -> Figure:
        """One of the target's."""
        for part in PARTS:
            if name in self.target[part]:
                kind = ASSUMED if part in OWN_PARTS else TARGET
                return Figure(float(self.target[part][name]), name, kind, unit)
        raise KeyError(name)

    def code(self, module: str, name: str, unit: str = "") -> Figure:
        """A constant of the program, read from its text: the lab imports little of it."""
        return Figure(constant(module, name), f"{module}.{name}", CODE, unit)

    def measured(
        self,
        figure: str,
        role: str,
        axis: str,
        at: Figure,
        variant: str = "",
        build: str = "",
        unit: str = "",
        name: str = "",
    ) -> Figure:
        """From the newest run of a role along an axis that has the figure: the median at that size, or by its
        fit where there are no points; past the largest only if the form fits well and held its trial."""
        run = self.run(figure, role, axis, variant, build, name)
        if run is None or at.value is None:
            return Figure(None, f"{role}/{axis}.{figure}", MEASURED, unit)
        wanted, source = at.value, f"{run.name}.{figure}@{at.expr}"

        def near(point: float) -> bool:
            return abs(point / wanted - 1) <= NEAR

        values = points(run, figure)
        here = [cost for point, cost in values if near(point)]
        if here:
            remarks = self.remarks(run, figure, near)
            return Figure(statistics.median(here), source, MEASURED, unit, (run.name,), remarks)
        found = fitted(tuple(values))
        beyond = wanted > max(point for point, _ in values)
        foretold = None if beyond and not fit.foretells(found) else fit.predict(found, wanted)
        return Figure(
            foretold, source, EXTRAPOLATED, unit, (run.name,), self.remarks(run, figure, lambda _: True)
        )

    def in_yardsticks(
        self,
        figure: str,
        role: str,
        axis: str,
        at: Figure,
        variant: str = "",
        build: str = "",
        name: str = "",
    ) -> Figure:
        """A time in ms beside the fixed work that was timed just before its point, so that it may be read on
        another machine; not measured at a size without points."""
        run = self.run(figure, role, axis, variant, build, name)
        if run is None or at.value is None:
            return Figure(None, f"{role}/{axis}.{figure}/yardstick", MEASURED, "yardsticks")

        def near(size: float) -> bool:
            return abs(size / (at.value or 1) - 1) <= NEAR

        here = [
            point.figures[figure] / point.yardstick_ms
            for point in run.points
            if figure in point.figures and near(point.at) and point.yardstick_ms
        ]
        return Figure(
            statistics.median(here) if here else None,
            f"{run.name}.{figure}/yardstick@{at.expr}",
            MEASURED,
            "yardsticks",
            (run.name,),
            self.remarks(run, figure, near),
        )

    def remarks(self, run: Run, figure: str, fits: Callable[[float], bool]) -> frozenset[str]:
        """Of the points at sizes that fit: one has a single repeat, one was measured beside other work; of
        the run: it failed a check of its own, or held another size of the fleet than the target's. What is
        counted in virtual time comes out the same each time."""
        sticks = dict[int, list[float]]()
        for point in run.points:
            if figure in point.figures and fits(float(point.at)) and point.yardstick_ms:
                sticks.setdefault(point.at, []).append(point.yardstick_ms)
        found = set()
        if any(len(repeats) == 1 for repeats in sticks.values()):
            found.add(ONCE)
        least = self.sticks[structs.astuple(run.machine)]
        if TIMES.search(figure) and any(
            statistics.median(repeats) > BUSY_AT * least for repeats in sticks.values()
        ):
            found.add(BUSY)
        if run.failed:
            found.add(FAILED)
        for name, of_target in HELD.items():
            held = run.held.get(name)
            if isinstance(held, int | float) and abs(held / (self.of(of_target).value or 1) - 1) > NEAR:
                found.add(OTHER)
        return frozenset(found)

    def held(
        self, size: str, figure: str, role: str, axis: str, variant: str = "", build: str = "", unit: str = ""
    ) -> Figure:
        """What a run held while it went along its axis; not measured where there's no such run."""
        run = self.run(figure, role, axis, variant, build)
        value = run.held.get(size) if run else None
        if run is None or not isinstance(value, int | float):
            return Figure(None, f"{role}/{axis}.held.{size}", MEASURED, unit)
        return Figure(float(value), f"{run.name}.held.{size}", MEASURED, unit, (run.name,))

    def run(
        self, figure: str, role: str, axis: str, variant: str = "", build: str = "", name: str = ""
    ) -> Run | None:
        """The newest; `variant`, `build` and `name` are how these begin, a build with "!" is none that begins
        so."""
        for run in self.by_axis.get((role, axis), ()):
            fits = (
                run.build.startswith(build)
                if not build.startswith("!")
                else not run.build.startswith(build[1:])
            )
            if (
                run.variant.startswith(variant)
                and fits
                and run.name.startswith(name)
                and any(figure in point.figures for point in run.points)
            ):
                return run
        return None

    # What is worked out

    def name(self, name: str, figure: Figure, unit: str = "") -> Figure:
        """Gives a figure a name, under which the page shows its formula."""
        assert name not in self.formulas, name
        self.formulas[name] = (figure.expr, figure.named(name, unit or figure.unit))
        return self.formulas[name][1]

    def __getitem__(self, name: str) -> Figure:
        return self.formulas[name][1]

    # Text

    def show(self, figure: Figure) -> str:
        if figure.value is None:
            return NOT_MEASURED
        text = digits(figure.value, figure.kind in EXACT)
        self.shown.add(text)
        told = "core" if (text, figure.unit) == ("1", "cores") else figure.unit
        remarks = "".join(remark for remark in REMARKS if remark in figure.remarks)
        return f"{text}{' ' + told if told else ''} ({MARKS[figure.kind]}{remarks})"

    def plain(self, text: str) -> str:
        """A text with digits that stands in a run or names it."""
        self.shown.add(text)
        return text

    def slope(
        self, figure: str, role: str, axis: str, unit: str, variant: str = "", build: str = "", name: str = ""
    ) -> str:
        """Form, coefficients, residual and trial of a run's fit, and the run."""
        run = self.run(figure, role, axis, variant, build, name)
        if run is None:
            return NOT_MEASURED
        found = fitted(tuple(points(run, figure)))
        return f"{self.form(found, unit, axis)}; `{self.plain(run.name)}`"

    def form(self, found: dict[str, Any], unit: str, axis: str) -> str:
        if found["form"] == fit.TOO_FEW:
            rows = [
                f"{self.plain(digits(row['median']))} at {self.plain(size(row['at']))}"
                for row in found["spread"]
            ]
            return f"{unit}: {', '.join(rows)} {axis}; too few sizes for a form"
        if found["form"] == fit.NONE:
            return f"{unit}: no form fits"
        term = {
            "constant": "",
            "log": f"ln({axis})",
            "linear": axis,
            "n log n": f"{axis} ln({axis})",
            "worse": f"{axis}^{self.plain(format(found.get('power', 0), 'g'))}",
        }[found["form"]]
        text = f"{unit}: {self.plain(digits(found['constant']))}"
        if term:
            sign = "-" if found["slope"] < 0 else "+"
            text += f" {sign} {self.plain(digits(abs(found['slope'])))} {term}"
        largest = self.plain(size(found["spread"][-1]["at"]))
        text += f" ({found['form']}; measured up to {largest}; off by {self.percent(found['residual'])}"
        trial = found["trial"]
        if trial is None:
            text += "; not tried by prediction"
        elif trial["error"] is not None:
            text += f"; the largest size foretold to within {self.percent(abs(trial['error']))}"
        if found["loose"]:
            return f"{text}, no form fits well)"
        return text + (")" if fit.foretells(found) else ": it tells nothing past its points)")

    def percent(self, share: float) -> str:
        return self.plain(digits(100 * share) if share >= 0.001 else "0") + " %"


@lru_cache(maxsize=4096)
def fitted(values: tuple[fit.Point, ...]) -> dict[str, Any]:
    return fit.fit(values)


def points(run: Run, figure: str) -> list[fit.Point]:
    return [(float(point.at), point.figures[figure]) for point in run.points if figure in point.figures]


@cache
def constant(module: str, name: str) -> float:
    """A number that a module of the package assigns at its top, or has from another one. Raises KeyError."""
    path = (PACKAGE / Path(*module.split("."))).with_suffix(".py")
    tree = ast.parse(path.read_text() if path.exists() else "")
    for node in tree.body:
        if isinstance(node, ast.Assign):
            for place in node.targets:
                names = place.elts if isinstance(place, ast.Tuple) else [place]
                values = node.value.elts if isinstance(node.value, ast.Tuple) else [node.value]
                for target, value in zip(names, values, strict=False):
                    if isinstance(target, ast.Name) and target.id == name:
                        return worked(value, module)
        if isinstance(node, ast.ImportFrom) and node.module and node.module.startswith(f"{PACKAGE.name}."):
            for alias in node.names:
                if (alias.asname or alias.name) == name:
                    return constant(node.module.removeprefix(f"{PACKAGE.name}."), alias.name)
    raise KeyError(f"{module}.{name}")


def worked(node: ast.expr, module: str) -> float:
    """Numbers, other constants that the module has, and products of them."""
    if isinstance(node, ast.Constant) and isinstance(node.value, int | float):
        return float(node.value)
    if isinstance(node, ast.Name):
        return constant(module, node.id)
    if isinstance(node, ast.BinOp) and isinstance(node.op, ast.Mult):
        return worked(node.left, module) * worked(node.right, module)
    raise ValueError(ast.dump(node))


def read_target(path: Path) -> dict[str, Any]:
    """Raises ValueError where a part is missing or a figure is no number above zero."""
    target = tomllib.loads(path.read_text())
    for part in PARTS:
        if not isinstance(target.get(part), dict):
            raise ValueError(f"{path.name}: no table [{part}]")
        for name, value in target[part].items():
            if type(value) not in (int, float) or value <= 0:
                raise ValueError(f"{path.name}: {part}.{name} is {value!r}, not a number above 0")
    return target


def read_runs(folder: Path) -> list[Run]:
    return [load(path) for path in sorted(folder.glob("*.json"))] if folder.is_dir() else []
