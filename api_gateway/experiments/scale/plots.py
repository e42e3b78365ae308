"""Plots of cost against size with the target marked: `python -m api_gateway.experiments.scale plots`."""

from __future__ import annotations

import argparse
import hashlib
import json
from pathlib import Path
from typing import Any

import numpy as np

from api_gateway.experiments.scale import cells, fit
from api_gateway.experiments.scale.runs import Run

HERE = Path(__file__).resolve().parent
DOCS = HERE.parents[2] / "docs"
LEAST_SIZES = 2  # sizes of which a plot is made
WIDE = 20.0  # times the least cost, past which costs stand on a logarithmic scale
MOST_FIGURES = 4  # plots side by side of one run
SHOWN = (
    "cpu_ms_a_request",
    "cpu_ms_a_change",
    "cpu_ms_after_change",
    "added_p99_ms",
    "added_p50_ms",
    "gateway_cpu_ms_a_request",
    "cpu_share",
    "cpu_share_rest",
    "rss_mb",
    "kept_mb",
    "last_ms",
    "ready_s",
    "bytes_a_gateway_most",
    "bytes_in_s_most",
    "service_bytes_out_s_most",
    "messages_a_gateway",
    "bytes_a_change_gateway",
    "bytes_in_s",
    "bytes_out_s",
    "messages_s",
)  # in this order
AXES = {
    "hosts": "hosts",
    "gateways": "gateways",
    "customers": "tenants",
    "plans": "routes",
    "classes": "routes",
    "view": "view_hosts",
}  # whose size at the target is which of its figures


def main(argv: list[str]) -> int:
    program = "python -m api_gateway.experiments.scale plots"
    parser = argparse.ArgumentParser(prog=program, description=__doc__)
    parser.add_argument("--target", type=Path, default=HERE / "target.toml")
    parser.add_argument("--runs", type=Path, default=DOCS / "scale", help="folder of stored runs")
    parser.add_argument("--out", type=Path, default=DOCS / "scale")
    args = parser.parse_args(argv)
    book = cells.Book(cells.read_target(args.target), cells.read_runs(args.runs))
    for run in book.runs:
        if plotted(run):
            path = args.out / f"{run.name}.png"
            plot(run, at_target(book, run), path)
            print(f"{path.name}: {path.stat().st_size} bytes")
    if args.out.resolve() == args.runs.resolve():
        names = {run.name for run in book.runs if plotted(run)}
        for path in args.out.glob("*.png"):
            if path.stem not in names:
                path.unlink()  # of a run that is gone
    return 0


def plotted(run: Run) -> bool:
    return len({point.at for point in run.points}) >= LEAST_SIZES


def at_target(book: cells.Book, run: Run) -> float | None:
    if run.axis == "requests":
        of_all = book.of("requests_s")
        return (of_all if run.role == "counter" else of_all / book.of("gateways")).value
    if (run.role, run.axis) == ("counter", "customers"):  # of one gateway
        return (book.of("tenants") * book.of("spread") / book.of("gateways")).value
    axis = "gateways" if run.axis.startswith("event:") else run.axis
    return book.of(AXES[axis]).value if axis in AXES else None


def figures(run: Run) -> list[str]:
    names = {name for point in run.points for name in point.figures}
    return ([name for name in SHOWN if name in names] or sorted(names))[:MOST_FIGURES]


def plot(run: Run, target: float | None, path: Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = figures(run)
    picture, places = pyplot.subplots(1, len(names), figsize=(3.6 * len(names), 3.2), squeeze=False)
    for place, name in zip(places[0], names, strict=True):
        draw(place, run, name, target)
    picture.suptitle(f"{run.name} ({run.variant}; build {run.build})", fontsize=9)
    picture.tight_layout()
    path.parent.mkdir(parents=True, exist_ok=True)
    picture.savefig(path, dpi=70, metadata={"Software": None, "Description": digest(run, target)})
    pyplot.close(picture)


def digest(run: Run, target: float | None) -> str:
    """Of what a plot shows, so that one of other points is found out."""
    told = [
        run.name,
        run.variant,
        run.build,
        target,
        [(point.at, point.figures) for point in run.points],
        {name: reach(cells.points(run, name), target) for name in figures(run)},
    ]
    return hashlib.sha256(json.dumps(told, sort_keys=True).encode()).hexdigest()[:16]


def reach(points: list[fit.Point], target: float | None) -> float:
    """The size up to which the line goes: the target where the fit may tell it, or the largest."""
    largest = max(size for size, _ in points)
    return max(largest, target or 0.0) if fit.foretells(cells.fitted(tuple(points))) else largest


def draw(place: Any, run: Run, name: str, target: float | None) -> None:
    """Points of all repeats, the fit as a line (dashed beyond the points), the target as an upright line."""
    points = cells.points(run, name)
    sizes = [size for size, _ in points]
    place.plot(sizes, [cost for _, cost in points], "o", ms=4, color="tab:blue")
    found, largest = fit.fit(points), max(sizes)
    costs = [cost for _, cost in points]
    if found["form"] in fit.FORMS:
        for style, left, right in (("-", min(sizes), largest), ("--", largest, reach(points, target))):
            if right > left:
                line = np.geomspace(left, right, 60)
                foretold = [fit.predict(found, at) or 0.0 for at in line]
                costs += foretold
                place.plot(line, foretold, style, color="tab:orange", lw=1)
    if target:
        place.axvline(target, color="tab:red", lw=1, ls=":")
    place.set_xscale("log")
    place.xaxis.set_major_formatter("{x:g}")
    place.xaxis.set_minor_formatter("")
    if min(costs) > 0 and max(costs) > WIDE * min(costs):
        place.set_yscale("log")
        place.yaxis.set_major_formatter("{x:g}")
        place.yaxis.set_minor_formatter("")
    else:
        place.set_ylim(min(0.0, 1.1 * min(costs)), 1.1 * max(costs) or 1.0)
    place.set_xlabel("gateways" if run.axis.startswith("event:") else run.axis, fontsize=8)
    place.set_title(f"{name} ({found['form']})", fontsize=8)
    place.tick_params(labelsize=7)
