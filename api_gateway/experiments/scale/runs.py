"""What a run leaves: one JSON file, with build, seed, machine, points, fits and what was not run."""

from __future__ import annotations

import json
import statistics
from collections import Counter
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import msgspec

from api_gateway.experiments.scale import machine
from api_gateway.experiments.scale.fit import fit

REPEATS = 3
LACKING = "only "  # how texts on missing repeats begin

Figures = dict[str, float]
Where = float | str


class Machine(msgspec.Struct, forbid_unknown_fields=True):
    cpus: int
    model: str
    memory_mb: int
    python: str


class Point(msgspec.Struct, forbid_unknown_fields=True):
    at: int
    repeat: int
    figures: Figures
    yardstick_ms: float = 0.0


class Off(msgspec.Struct, forbid_unknown_fields=True):
    """A figure of a real gateway beside that of the hollow ones, and how far these are off, as a share."""

    real: float
    hollow: float
    off: float
    difference: str = ""  # what a hollow one lacks


class Run(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=False):
    name: str
    role: str
    axis: str
    build: str
    seed: int
    variant: str
    held: dict[str, Where]
    machine: Machine
    yardstick_ms: float
    at: str
    points: list[Point] = []
    fits: dict[str, dict[str, Any]] = {}
    hollow: dict[str, Off] = {}
    not_run: list[str] = []
    failed: list[str] = []
    schema: int = 1


def begin(
    name: str, role: str, axis: str, variant: str, held: dict[str, Where], seed: int, tree: Path
) -> Run:
    return Run(
        name,
        role,
        axis,
        machine.build(tree),
        seed,
        variant,
        held,
        Machine(**machine.machine()),
        0.0,
        datetime.now(UTC).isoformat(timespec="seconds"),
    )


def load(path: Path) -> Run:
    """Raises ValueError where it is no run, or one by another schema."""
    run = msgspec.json.decode(path.read_bytes(), type=Run)
    if run.schema != 1:
        raise ValueError(f"{path.name}: schema {run.schema} and not 1")
    return run


def store(run: Run, folder: Path) -> Path:
    """With the fits of all its points. Points of a run of the same build, variant and conditions that is
    there already stay, but where this one has them anew: a long run is played in pieces."""
    path = folder / f"{run.name}.json"
    if path.exists():
        last = load(path)
        if (last.build, last.variant, last.held, last.seed) == (run.build, run.variant, run.held, run.seed):
            latest = {(point.at, point.repeat): point for point in (*last.points, *run.points)}
            run.points = [latest[at] for at in sorted(latest)]
            run.hollow = worst(last.hollow, run.hollow)
            run.failed = list(dict.fromkeys((*last.failed, *run.failed)))
    run.yardstick_ms = statistics.median(point.yardstick_ms for point in run.points) if run.points else 0.0
    run.fits = fits(run.points)
    run.not_run = [text for text in run.not_run if not text.startswith(LACKING)] + lacking(run.points)
    folder.mkdir(parents=True, exist_ok=True)
    text = json.dumps(msgspec.to_builtins(run), indent=1)
    msgspec.json.decode(text, type=Run)
    path.write_text(text + "\n")
    return path


def lacking(points: list[Point]) -> list[str]:
    """Sizes with fewer repeats than there should be; what is counted in virtual time needs but one."""
    repeats = Counter(point.at for point in points if point.yardstick_ms)
    return [
        f"{LACKING}{count} of {REPEATS} repeats at {', '.join(map(str, sizes))}"
        for count in range(1, REPEATS)
        if (sizes := [size for size, found in sorted(repeats.items()) if found == count])
    ]


def fits(points: list[Point]) -> dict[str, dict[str, Any]]:
    """Of each figure, over the points that have it."""
    names = sorted({name for point in points for name in point.figures})
    return {
        name: fit([(point.at, point.figures[name]) for point in points if name in point.figures])
        for name in names
    }


def worst(one: dict[str, Off], other: dict[str, Off]) -> dict[str, Off]:
    """Of each figure that by which hollow ones are off most."""
    return {
        name: max((told[name] for told in (one, other) if name in told), key=lambda it: it.off)
        for name in {**one, **other}
    }


def off(real: float, hollow: float) -> float:
    return abs(hollow - real) / abs(real) if real else float(hollow != real)
