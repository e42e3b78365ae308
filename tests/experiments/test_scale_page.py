"""The capacity page: each figure of it has a run, the target or a formula behind it."""

import copy
import importlib
import json
import re
import tomllib
from pathlib import Path

import pytest

from api_gateway.experiments.scale import arithmetic, cells, fit, page, plots, tables
from api_gateway.experiments.scale.cells import ARITHMETIC, DERIVED, EXTRAPOLATED, MEASURED, Figure

ROOT = Path(__file__).resolve().parents[2]
TARGET = ROOT / "api_gateway" / "experiments" / "scale" / "target.toml"
STORED = ROOT / "docs" / "scale"
MACHINE = {"cpus": 8, "model": "made up", "memory_mb": 16000, "python": "3.11.0"}


def made_up(name, points, role="gateway", axis="hosts", variant="whole list", build="e152add00000", **more):
    """A run with figures by size, as it would be stored."""
    told = [
        {"at": at, "repeat": repeat, "figures": figures, "yardstick_ms": 21.0}
        for at, repeats in points.items()
        for repeat, figures in enumerate(repeats)
    ]
    return {
        "schema": 1,
        "name": name,
        "role": role,
        "axis": axis,
        "variant": variant,
        "build": build,
        "seed": 1,
        "machine": MACHINE,
        "yardstick_ms": 21.0,
        "at": "2026-01-01T00:00:00+00:00",
        "held": {},
        "points": told,
        **more,
    }


def module_points(sizes, slope):
    def figures(n, off):
        return {
            "cpu_ms_a_request": (0.2 + slope * n) * off,
            "cpu_ms_a_change": 0.01 + slope * n,
            "cpu_ms_after_change": 0.3 + 2 * slope * n,
        }

    return {n: [figures(n, off) for off in (0.99, 1.0, 1.01)] for n in sizes}


BEFORE = made_up("module-by-hosts-before", module_points((100, 1000, 10000, 56000), 0.0003))
AFTER = made_up(
    "module-by-hosts-view",
    module_points((100, 1000, 10000, 30000), 1e-7),
    variant="view of 480",
    build="abcdef012345",
)
REST = {
    "rss_mb": 27.5,
    "cpu_share": 0.01,
    "bytes_in_s": 40.0,
    "bytes_out_s": 20.0,
    "cpu_ms_a_change": 0.001,
    "bytes_in_a_change": 0.0,
    "bytes_out_a_change": 0.0,
    "ready_s": 0.3,
    "start_bytes_in": 60_000.0,
}
GATEWAY = made_up(
    "gateway-by-hosts-view", {n: [REST] for n in (200, 56000)}, variant="view of 480", build="abcdef012345"
)
WHOLE = made_up(
    "gateway-by-hosts",
    {
        n: [
            REST
            | {
                "cpu_ms_a_change": 2.0,
                "bytes_in_a_change": 350.0,
                "bytes_out_a_change": 120.0,
                "start_bytes_in": 136.0 * n,
            }
        ]
        for n in (200, 56000)
    },
    build="abcdef012345",
)


@pytest.fixture
def folder(tmp_path):
    path = tmp_path / "scale"
    path.mkdir()
    for run in (BEFORE, AFTER, GATEWAY, WHOLE):
        store(path, run)
    return path


def store(path, run):
    (path / f"{run['name']}.json").write_text(json.dumps(run))


def row(text, label, column):
    line = next(line for line in text.splitlines() if line.startswith(f"| {label} |"))
    return line.strip("|").split(" | ")[column].strip()


# In step with what is stored


def test_the_stored_page_is_that_of_the_target_and_the_stored_runs():
    text, book = page.page(TARGET, STORED)
    assert (ROOT / "docs" / "CAPACITY.md").read_text() == text
    assert page.untraced(text, book) == []


def test_each_stored_run_with_sizes_has_a_small_plot_and_each_plot_a_run():
    names = {run.name for run in cells.read_runs(STORED) if plots.plotted(run)}
    assert {path.stem for path in STORED.glob("*.png")} == names
    assert all(path.stat().st_size < 100_000 for path in STORED.glob("*.png"))


def test_each_stored_plot_shows_its_run_as_it_is_stored():
    book = cells.Book(cells.read_target(TARGET), cells.read_runs(STORED))
    for run in filter(plots.plotted, book.runs):
        told = plots.digest(run, plots.at_target(book, run)).encode()
        assert told in (STORED / f"{run.name}.png").read_bytes(), run.name


def test_figures_that_no_run_gave_are_found():
    text, book = page.page(TARGET, STORED)
    for told in ("takes 31.4159 ms", "| 31,415 MB (M) |", "some 27.18 % of it", "`31.4159`"):
        assert page.untraced(f"{text}\n{told}\n", book), told


def test_the_prose_has_no_figures():
    """Marks and placeholders apart; nothing in code either."""
    template = (TARGET.parent / "page.md").read_text()
    assert not re.search(r"\d", page.PLACE.sub("", template))
    told = [*page.EVENTS, *page.WORDS, *page.ASSUMPTIONS, *page.STEPS, *page.TITLES.items()]
    told += [(what, carried) for what, _, carried in page.PARTS]  # the name of a figure is not shown
    told += [(asked.what, asked.unit, asked.why) for asked in page.ASKED] + [tables.BREAKS, (tables.NOTHING,)]
    told += [(row.what, row.event, row.past) for row in every_row()]
    assert not [text for row in told for text in row if re.search(r"\d", text)]


def every_row():
    return [row for rows in tables.rows(page.made(cells.read_target(TARGET), [])).values() for row in rows]


@pytest.mark.parametrize("told", ["0.0437 MB (M)", "31,415 KB (D1)", "57.3 %", "1.273 times"])
def test_a_figure_that_is_changed_by_hand_is_found(told):
    """Wherever it stands: the text is another, and the number is one that nothing gave."""
    text, book = page.page(TARGET, STORED)
    for line in ("| **all** |", "- Requests fall evenly", "## In short"):
        at = text.index(line)
        other = f"{text[:at]}{told}\n{text[at:]}"
        assert other != (ROOT / "docs" / "CAPACITY.md").read_text()
        assert page.untraced(other, book) == [re.match(r"[\d,.]+\d|\d", told)[0]]


def test_fits_are_stored_as_their_points_give_them():
    """A run whose points were altered without its fits, or the reverse, is found."""
    for run in cells.read_runs(STORED):
        assert set(run.fits) == {name for point in run.points for name in point.figures}, run.name
        for name, found in run.fits.items():
            assert json.loads(json.dumps(fit.fit(cells.points(run, name)))) == found, (run.name, name)


def test_a_run_whose_file_was_altered_is_found():
    """Whatever is shown of it stands in the page; the rest of its figures in its plot, and in the fits."""
    book = cells.Book(cells.read_target(TARGET), cells.read_runs(STORED))
    for run in filter(plots.plotted, book.runs):
        stored = (STORED / f"{run.name}.png").read_bytes()
        for figure in run.points[-1].figures:
            altered = copy.deepcopy(run)
            altered.points[-1].figures[figure] = 1.5 * altered.points[-1].figures[figure] + 1.0
            assert plots.digest(altered, plots.at_target(book, run)).encode() not in stored, figure
        told = page.told_run(book, run)
        for at, other in (
            ("build", "x"),
            ("variant", "x"),
            ("at", "x"),
            ("failed", ["x"]),
            ("seed", 7),
            ("held", {"x": 1.0}),
            ("name", "x"),
            ("role", "x"),
            ("not_run", ["x"]),
        ):
            altered = copy.deepcopy(run)
            setattr(altered, at, other)
            assert page.told_run(book, altered) != told, at


def test_each_of_the_target_s_figures_moves_something():
    """A formula, or what stands in a row or among what is asked."""
    runs = cells.read_runs(STORED)

    def told(target):
        book = page.made(target, runs)
        rows = [row for rows in tables.rows(book).values() for row in rows]
        figures = [figure for _, figure in book.formulas.values()]
        figures += [figure for row in rows for figure in (row.rest, row.worst, row.limit) if figure]
        figures += [page.asked_figures(book, asked)[1] for asked in page.ASKED]
        return [(figure.value, figure.remarks) for figure in figures]

    target = cells.read_target(TARGET)
    before = told(target)
    still = {
        name
        for part in cells.PARTS
        for name in target[part]
        if before == told(target | {part: target[part] | {name: 2 * target[part][name]}})
    }
    # These stand by themselves: a percentile, what events are about, and what was wanted of the module.
    assert still == {"added_share", "failed_a_day", "apart_s", "growth", "change_cpu_ms"}


# Marks


def test_what_weakens_a_figure_stands_behind_its_letter(folder):
    once = made_up("module-by-hosts-before", {n: [{"cpu_ms_a_request": 5.0}] for n in (100, 56000)})
    store(folder, once)
    assert row(page.page(TARGET, folder)[0], "module, CPU a request", 1) == "5.00 ms (M1)"
    busy = made_up("module-by-hosts-before", module_points((100, 1000, 10000, 56000), 0.0003))
    for point in busy["points"]:
        point["yardstick_ms"] *= 1.4 if point["at"] == 100 else 2.0
    store(folder, busy)
    text, book = page.page(TARGET, folder)
    assert row(text, "module, CPU a request", 1) == "17.0 ms (M~)"
    assert book["request_growth_before"].remarks == {cells.BUSY}
    assert book["request_ms_before_at_few"].remarks == frozenset()
    store(folder, busy | {"failed": ["at one size, hollow ones were another than real ones"]})
    assert row(page.page(TARGET, folder)[0], "module, CPU a request", 1) == "17.0 ms (M~!)"


def test_times_beside_the_fixed_work_do_not_follow_the_machine(folder):
    _, book = page.page(TARGET, folder)
    usual = book["request_yardsticks_before"]
    assert usual.value == pytest.approx((0.2 + 0.0003 * 56000) / 21.0) and usual.kind == MEASURED
    slow = copy.deepcopy(BEFORE)
    for point in slow["points"]:
        point["yardstick_ms"] *= 2
        point["figures"]["cpu_ms_a_request"] *= 2
    store(folder, slow)
    _, book = page.page(TARGET, folder)
    assert book["request_yardsticks_before"].value == pytest.approx(usual.value)
    assert book["request_yardsticks_view"].value is None  # no points at that size


def test_other_work_is_no_matter_for_counts_and_bytes(folder):
    slow = {**WHOLE, "points": [point | {"yardstick_ms": 63.0} for point in WHOLE["points"]]}
    store(folder, slow)
    _, book = page.page(TARGET, folder)
    assert book["rss_mb_whole"].remarks == book["start_bytes_in_whole"].remarks == {cells.ONCE}
    for name in ("cpu_share_whole", "cpu_ms_a_change_whole", "ready_s_whole"):
        assert book[name].remarks == {cells.ONCE, cells.BUSY}, name


def test_a_run_that_held_another_fleet_says_so(folder, tmp_path):
    store(folder, BEFORE | {"held": {"gateways": 4200, "customers": 7}})
    _, book = page.page(TARGET, folder)
    assert book["request_ms_before"].remarks == frozenset()  # customers are not of the target
    text, book = page.page(other_target(tmp_path / "other.toml", {"gateways": 2000}), folder)
    assert row(text, "module, CPU a request", 1) == "17.0 ms (M^)"
    assert book["module_cores_before"].remarks == {cells.OTHER}


def test_virtual_time_needs_no_repeats(folder):
    points = {n: [{"messages_a_gateway": 2.0}] for n in (525, 4200)}
    run = made_up("event-zone", points, "list-service", "event:zone", variant="view of 480", build="abcdef")
    store(folder, run | {"points": [point | {"yardstick_ms": 0.0} for point in run["points"]]})
    _, book = page.page(TARGET, folder)
    assert book["zone_view_messages"].kind == MEASURED and book["zone_view_messages"].remarks == frozenset()


def test_a_fit_that_failed_its_trial_or_had_none_tells_nothing_past_its_points(folder):
    """Its points lie well on it: it is the largest that was not foretold."""

    def told(costs):
        points = {n: [{"cpu_ms_a_request": cost}] * 3 for n, cost in costs.items()}
        store(folder, made_up("module-by-hosts-view", points, variant="view of 480", build="abcdef012345"))
        text, book = page.page(TARGET, folder)
        run = book.run("cpu_ms_a_request", "gateway", "hosts", "view", name="module-")
        found = cells.fitted(tuple(cells.points(run, "cpu_ms_a_request")))
        return row(text, "module, CPU a request", 3), found, text

    shown, found, text = told({100: 1.0, 1000: 1.05, 3000: 1.0, 10000: 1.05, 30000: 1.3})
    assert found["form"] != "none" and not found["loose"] and abs(found["trial"]["error"]) > fit.MOST_TRIAL
    assert shown == "not measured" and "it tells nothing past its points" in text
    shown, found, _ = told({100: 1.0, 1000: 1.05, 3000: 1.0, 10000: 1.05, 30000: 1.1})
    assert abs(found["trial"]["error"]) <= fit.MOST_TRIAL and shown.endswith("ms (E)")
    points = {n: [{"cpu_ms_a_request": 1.0}] for n in (100, 1000, 10000, 30000)}
    store(folder, made_up("module-by-hosts-view", points, variant="view of 480", build="abcdef012345"))
    text, _ = page.page(TARGET, folder)
    assert row(text, "module, CPU a request", 3) == "not measured" and "not tried by prediction" in text


def test_a_measured_size_is_marked_so_and_one_beyond_as_extrapolated(folder):
    text, book = page.page(TARGET, folder)
    assert row(text, "module, CPU a request", 1) == "17.0 ms (M)"
    assert row(text, "module, CPU a request", 3).endswith("ms (E)")
    assert row(text, "module, CPU a request", 2) == "not measured"
    assert book["module_cores_before"].kind == DERIVED and book["module_cores_view"].kind == EXTRAPOLATED
    assert book["module_cores_before"].runs == ("module-by-hosts-before",)
    assert page.untraced(text, book) == []


def test_too_few_sizes_give_no_figure_at_another_size(folder):
    store(
        folder,
        made_up(
            "module-by-hosts-view",
            module_points((100, 1000, 10000), 1e-7),
            variant="view of 480",
            build="abcdef012345",
        ),
    )
    text, book = page.page(TARGET, folder)
    assert row(text, "module, CPU a request", 3) == "not measured"
    assert "too few sizes for a form" in text
    assert page.untraced(text, book) == []


def test_a_form_that_fits_badly_foretells_nothing_beyond_its_points(folder):
    costs = {100: 3.0, 300: 5.0, 1000: 3.0, 3000: 5.0, 10000: 3.0, 30000: 5.0}
    points = {n: [{"cpu_ms_a_request": cost}] for n, cost in costs.items()}
    store(folder, made_up("module-by-hosts-view", points, variant="view of 480", build="abcdef012345"))
    text, book = page.page(TARGET, folder)
    assert row(text, "module, CPU a request", 3) == "not measured" and "no form fits well" in text
    within = Figure(5000.0, "some", "target")
    assert book.measured("cpu_ms_a_request", "gateway", "hosts", within, "view of 480").kind == EXTRAPOLATED


def test_a_run_of_another_build_or_variant_does_not_stand_in(folder):
    (folder / "module-by-hosts-before.json").unlink()
    text, _ = page.page(TARGET, folder)
    assert row(text, "module, CPU a request", 1) == "not measured"


def test_the_newest_run_counts(folder):
    other = made_up("module-by-hosts-again", {56000: [{"cpu_ms_a_request": 5.0}]})
    store(folder, other | {"at": "2026-01-02T00:00:00+00:00"})
    assert row(page.page(TARGET, folder)[0], "module, CPU a request", 1) == "5.00 ms (M1)"
    store(folder, other | {"at": "2025-01-02T00:00:00+00:00"})
    assert row(page.page(TARGET, folder)[0], "module, CPU a request", 1) == "17.0 ms (M)"


def test_without_runs_nothing_is_measured(tmp_path):
    text, book = page.page(TARGET, tmp_path)
    assert not re.search(r"\((M|D|E)[1~!]*\)", text.split("## In short")[1])
    assert {figure.kind for _, figure in book.formulas.values() if figure.value is not None} == {ARITHMETIC}
    assert row(text, "module, CPU a change", 1) == "not measured"


def test_what_rests_on_several_is_no_better_than_the_worst():
    def figure(kind, value=2.0):
        return Figure(value, kind, kind)

    assert (figure("target") / figure("code")).kind == ARITHMETIC
    assert (figure("target") * figure(MEASURED)).kind == DERIVED
    assert (figure(MEASURED) + figure(EXTRAPOLATED)).kind == EXTRAPOLATED
    assert (figure("target") * figure(MEASURED, None)).value is None
    once, busy = (Figure(2.0, "x", MEASURED, remarks=frozenset(told)) for told in (cells.ONCE, cells.BUSY))
    for told in (once + busy, busy / once, once * figure("target") - busy):
        assert told.remarks == {cells.ONCE, cells.BUSY}
    assert cells.most(once, busy).remarks == once.remarks  # the one that is taken


# Formulas


def test_each_formula_gives_its_value(folder):
    """Read from the page's own text: names are the target's, the code's, a run's or another formula's."""
    _, book = page.page(TARGET, folder)
    worked = 0
    for name, (expr, figure) in book.formulas.items():
        if figure.value is None or "@" in expr:
            continue
        tokens = expr.replace("(", "( ").replace(")", " )").split()
        told = " ".join(
            token if token in {"+", "-", "*", "/", "(", ")"} else str(value(book, token)) for token in tokens
        )
        assert eval(told) == pytest.approx(figure.value), (name, expr)
        worked += 1
    assert worked > 30


def value(book, name):
    if name in book.formulas:
        return book[name].value
    if name in arithmetic.UNITS:
        return arithmetic.UNITS[name]
    if "." in name:
        module, _, constant = name.rpartition(".")
        return getattr(importlib.import_module(f"api_gateway.{module}"), constant)
    return book.of(name).value


def test_the_target_s_arithmetic(tmp_path):
    _, book = page.page(TARGET, tmp_path)
    assert book["requests_a_gateway"].value == pytest.approx(500_000 / 4200)
    assert book["changes_in_a_day"].value == pytest.approx(0.25)
    assert book["deliveries_s"].value == pytest.approx(116.67, abs=0.01)
    assert book["hosts_of_a_zone"].value == pytest.approx(9333.3, abs=0.1)


@pytest.mark.parametrize(
    "figure, expr",
    [
        (lambda a, b, c: (a + b) / c, "(a + b) / c"),
        (lambda a, b, c: a + b / c, "a + b / c"),
        (lambda a, b, c: a / (b * c), "a / (b * c)"),
        (lambda a, b, c: a - (b - c), "a - (b - c)"),
        (lambda a, b, c: a / b / c, "a / b / c"),
    ],
)
def test_expressions_say_what_was_worked_out(figure, expr):
    made = figure(*(Figure(number, name, "target") for name, number in (("a", 7.0), ("b", 3.0), ("c", 2.0))))
    assert made.expr == expr
    assert made.value == pytest.approx(eval(expr, {"a": 7.0, "b": 3.0, "c": 2.0}))


@pytest.mark.parametrize(
    "number, text",
    [
        (0.0, "0"),
        (0.0123456, "0.0123"),
        (1.5, "1.50"),
        (119.05, "119"),
        (9333.3, "9,330"),
        (117_600_000, "118,000,000"),
        (0.0000001234, "0.00000012"),
        (99.99, "100"),
        (-4.2, "-4.20"),
    ],
)
def test_digits(number, text):
    assert cells.digits(number) == text


# Rows


def test_mechanisms_are_names_of_the_code():
    book = page.made(cells.read_target(TARGET), [])
    told = [row.carried for rows in tables.rows(book).values() for row in rows]
    told += [event.carried for event in page.EVENTS] + [part[2] for part in (*page.PARTS, *page.STEPS)]
    template = (TARGET.parent / "page.md").read_text()
    told += [f"`{name}`" for name in re.findall(r"`((?:net|policy|base|registry)\.[\w.]+)`", template)]
    names = {name for text in told for name in re.findall(r"`([^`]+)`", text)}
    assert len(names) > 20
    for name in names:
        assert found(name) is not None, name
    assert {text for text in told if "`" not in text} <= {"missing", "the operators' own", "the lab's relay"}


def found(name):
    """Modules, then what they hold; a field of a class counts."""
    parts = name.split(".")
    for count in range(len(parts), 0, -1):
        try:
            at = importlib.import_module(f"api_gateway.{'.'.join(parts[:count])}")
        except ModuleNotFoundError:
            continue
        for part in parts[count:]:
            if not hasattr(at, part):
                text = Path(importlib.import_module(at.__module__).__file__).read_text()
                return re.search(rf"self\.{part}\b", text)
            at = getattr(at, part)
        return at
    return None


def test_shortfalls_are_ranked_by_what_breaks_then_by_ratio(folder):
    text, _ = page.page(TARGET, folder)
    section = text.split("## What is missing first")[1].split("Built in this work")[0]
    lines = [line.strip("|").split(" | ") for line in section.splitlines() if line.startswith("| ")][2:]
    over = [line for line in lines if line[3].strip() != "not measured"]
    ranks = [tables.BREAKS.index(line[2].strip()) for line in over]
    ratios = [float(line[3].strip(" *").split()[0].replace(",", "")) for line in over]
    assert ranks == sorted(ranks)
    assert all(ratio > 1 for ratio in ratios)
    for rank in set(ranks):
        same = [ratio for ratio, at in zip(ratios, ranks, strict=True) if at == rank]
        assert same == sorted(same, reverse=True)
    assert over[0][0].strip().startswith("gateway with the whole list") and "built here" in over[0][4]


SMALL = {
    "gateways": 40,
    "hosts": 100,
    "services": 10,
    "requests_s": 400,
    "routes": 20,
    "tenants": 1000,
    "changes_a_day": 24,
    "restarted_a_day": 10,
    "failed_a_day": 1,
    "rack_hosts": 4,
    "budgets": 100,
    "control_kb_s": 20,
    "view_hosts": 100,
}


def other_target(path, figures):
    text = TARGET.read_text()
    for name, figure in figures.items():
        text, count = re.subn(rf"(?m)^{name} = [\d.]+", f"{name} = {figure}", text)
        assert count == 1, name
    path.write_text(text)
    return path


def ranked(text):
    section = text.split("## What is missing first")[1].split("Built in this work")[0]
    return [
        [cell.strip() for cell in line.strip("|").split(" | ")]
        for line in section.splitlines()
        if line.startswith("| ")
    ][2:]


def test_a_small_fleet_passes_no_limit(folder, tmp_path):
    text, book = page.page(other_target(tmp_path / "small.toml", SMALL), folder)
    assert page.over_limit(book) == []
    assert {line[3] for line in ranked(text)} == {"not measured"}  # what is missing has no ratio
    assert "Nothing that was built here passed its limit at this target." in text
    assert "Nothing that is open passes its limit at this target, as far as it is measured." in text
    assert "does not hold" not in text
    assert row(text, "members of one cluster", 3) == "holds"
    assert page.untraced(text, book) == []


def test_a_fleet_ten_times_as_large_is_ranked_anew(folder, tmp_path):
    """Ten times of all that grows; what a run did not measure is taken by its fit, or not known."""
    target = cells.read_target(TARGET)
    tenfold = {
        name: 10 * figure for name, figure in target["fleet"].items() if name not in ("regions", "zones")
    }
    text, book = page.page(other_target(tmp_path / "large.toml", tenfold), folder)
    before = {
        (name, row.what): row.ratio
        for rows in [tables.rows(page.made(target, book.runs))]
        for name in rows
        for row in rows[name]
    }
    over = page.over_limit(book)
    assert len(over) > len(page.over_limit(page.made(target, book.runs)))
    assert [tables.BREAKS.index(row.breaks) for _, row, _ in over] == sorted(
        tables.BREAKS.index(row.breaks) for _, row, _ in over
    )
    first = over[0]
    assert first[0] == "gateway-before" and first[1].breaks == tables.GATEWAY
    assert first[2].kind == EXTRAPOLATED  # past the hosts that were measured, by a fit that held its trial
    assert first[2].value == pytest.approx(10 * before[first[0], first[1].what].value, rel=0.05)
    members = next(row for name, row, _ in over if "members that a cluster" in row.what)
    assert members.ratio.value == pytest.approx(
        42_000 / cells.constant("membership.member_table", "MAX_MEMBERS")
    )
    kinds = 26_000 / cells.constant("base.subsets", "MAX_KINDS")
    assert row(text, "`base.subsets.MAX_KINDS`", 5) == f"**{cells.digits(kinds)} (A)**"
    assert any(row.what.startswith("state: kinds that a view names") for _, row, _ in over)
    assert page.untraced(text, book) == []


def fixed(monkeypatch, **constants):
    """Constants of the code as they are told here, whatever they are there."""
    true = cells.constant
    monkeypatch.setattr(
        cells, "constant", lambda module, name: float(constants.get(name, 0)) or true(module, name)
    )


def test_the_order_follows_the_target(folder, tmp_path, monkeypatch):
    """Of rows that break the same, the ratio decides; a worse break goes before any ratio."""
    fixed(monkeypatch, MAX_MEMBERS=2000, MOST_BUDGETS=100, MAX_SOURCES=4096)
    many = other_target(tmp_path / "many.toml", {"tenants": 10_000_000, "budgets": 101})
    _, book = page.page(many, folder)
    order = [row.limit.expr for _, row, _ in page.over_limit(book) if row.limit.kind == cells.CODE]
    assert order.index("membership.member_table.MAX_MEMBERS") < order.index("budgets.settings.MAX_BUDGETS")
    assert order.index("budgets.settings.MAX_BUDGETS") < order.index("downstream.rate_limits.MAX_SOURCES")
    ratios = {row.limit.expr: ratio.value for _, row, ratio in page.over_limit(book)}
    assert ratios["downstream.rate_limits.MAX_SOURCES"] > 1000 > ratios["budgets.settings.MAX_BUDGETS"]
    _, book = page.page(TARGET, folder)
    order = [row.limit.expr for _, row, _ in page.over_limit(book) if row.limit.kind == cells.CODE]
    assert order.index("budgets.settings.MAX_BUDGETS") < order.index("membership.member_table.MAX_MEMBERS")


def test_the_first_of_the_shortfalls_is_told_in_short(folder):
    text, _ = page.page(TARGET, folder)
    lines = ranked(text)
    short = text.split("## In short")[1].split("## The target")[0]
    was = f'**What was missing first**: "{lines[0][1]}" of the {lines[0][0]}: {lines[0][3]} times its limit'
    assert was in short and f"where {lines[0][2]}." in short
    still = next(line for line in lines if line[4].startswith("open"))
    now = f'**What is missing first now**: "{still[1]}" of the {still[0]}: {still[3]} times its limit'
    assert now in short and f"where {still[2]}." in short


def test_verdicts_agree_with_the_rows(folder):
    """What is asked in short has the figure of a row, or of a sum, and fails where that is in the ranking."""
    text, book = page.page(TARGET, folder)
    for asked in page.ASKED:
        figure, limit = page.asked_figures(book, asked)
        told = row(text, asked.what, 3)
        if figure is None or figure.value is None:
            assert told == "not known"
            continue
        assert ("does not hold" in told) == (figure.value > limit.value), asked.what
        if asked.figure in page.SUMS:
            continue
        same = [
            row
            for rows in tables.rows(book).values()
            for row in rows
            if row.limit
            and row.limit.expr == limit.expr
            and any(one is not None and one.expr == figure.expr for one in (row.rest, row.worst))
        ]
        assert same, asked.what
        if "does not hold" in told:
            assert any(row in [over for _, over, _ in page.over_limit(book)] for row in same), asked.what


@pytest.mark.parametrize("most, told", [(4199, "**does not hold**"), (4200, "holds")])
def test_what_is_just_past_its_limit_does_not_hold(folder, monkeypatch, most, told):
    fixed(monkeypatch, MAX_MEMBERS=most)
    text, book = page.page(TARGET, folder)
    assert row(text, "members of one cluster", 3) == told
    assert (told == "holds") != any("members that a" in over.what for _, over, _ in page.over_limit(book))


def test_what_does_not_hold_is_told_first(folder):
    text, _ = page.page(TARGET, folder)
    told = [row(text, asked.what, 3) for asked in page.ASKED]
    section = text.split("## In short")[1].split("## The target")[0]
    shown = [
        line.strip("|").split(" | ")[3].strip() for line in section.splitlines() if line.startswith("| ")
    ][2:]
    assert shown == sorted(told, key=page.VERDICTS.index) and len(set(shown)) > 2


def test_bounds_of_the_code_follow_the_code(folder, monkeypatch):
    fixed(monkeypatch, MAX_MEMBERS=2000)
    text, _ = page.page(TARGET, folder)
    assert row(text, "`membership.member_table.MAX_MEMBERS`", 5) == "**2.10 (A)**"
    assert "| membership | state: members that a cluster may have | a part" in text
    fixed(monkeypatch, MAX_MEMBERS=8000)
    text, _ = page.page(TARGET, folder)
    assert row(text, "`membership.member_table.MAX_MEMBERS`", 1) == "8,000 members (C)"
    assert row(text, "`membership.member_table.MAX_MEMBERS`", 6) == "within it"
    assert "membership | state: members that a cluster may have | a part" not in text


def test_a_bound_past_which_nothing_breaks_is_no_shortfall(folder, monkeypatch):
    fixed(monkeypatch, MAX_LOST_ADDRESSES=64)
    text, book = page.page(TARGET, folder)
    assert row(text, "`membership.member_table.MAX_LOST_ADDRESSES`", 5) == "32.8 (A)"
    assert row(text, "`membership.member_table.MAX_LOST_ADDRESSES`", 6) == "nothing"
    assert not [row for _, row, _ in page.over_limit(book) if row.breaks == tables.NOTHING]


# Constants that bound a number of things, and are no bounds on a fleet: on one connection, line, value or
# caller, times, weights, or what a configuration sets.
NO_BOUND_ON_A_FLEET = {
    "control.config_candidate.MAX_SHOWN_LENGTH",
    "control.server.MAX_VERSION_DIGITS",
    "policy.cluster_clock.EMPTY_TOTAL_MAX",
    "policy.counter_calls.MAX_COUNTER_LIFETIME_S",
    "policy.load_shedding.MAX_QUEUE_TIME_FRACTION",
    "policy.outlier_detection.EVIDENCE_MAX_AGE_S",
    "policy.outlier_detection.MAX_MEAN_PROBABILITY",
    "policy.quota_leases.MAX_SAMPLE_WEIGHT",
    "policy.slow_start.LIST_DELAY_MAX_FRACTION",
    "counter_client.MAX_ANSWER_BYTES",
    "counter_client.MAX_UNANSWERED_CALLS",
    "downstream.client_connection.MAX_PENDING_COMMANDS",
    "downstream.client_connection.MAX_WRITE_BYTES",
    "downstream.client_server.MAX_OVERFLOW_CONNECTIONS",
    "downstream.connection_ends.MAX_LOGGED_IDS",
    "downstream.idle_connections.MAX_FRESH_COMMANDS",
    "downstream.client_server.MAX_REPLY_OVERRUN",
    "downstream.listener.MAX_CLOSED_PER_TURN",
    "downstream.turns.MAX_CONNECTION_COMMANDS",
    "downstream.turns.MAX_TOTAL_COMMANDS",
    "base.resp.MAX_ARRAY_PARTS",
    "base.resp.MAX_LINE_BYTES",
    "base.resp.MAX_VALUE_BYTES",
    "base.resp.MAX_COUNT_DIGITS",
    "gateway.request_parser.MAX_FIELDS",
    "downstream.command_reader.MAX_COMMAND_BYTES",
    "upstream.connection.MAX_REPLY_BYTES",
    "control.http_server.MAX_CONNECTIONS",
    "control.server.MAX_CLOSING_CONNECTIONS",
    "control.config_schema.MAX_DEPTH",
    "control.config_schema.MAX_LISTED_ITEMS",
    "control.config_schema.MAX_TEXT_LENGTH",
    "membership.service.MAX_CLUSTER_NAME_CHARACTERS",
    "membership.gossip.MAX_UPDATES_PER_DATAGRAM",
    "membership.messages.MAX_DATAGRAM_BYTES",
    "membership.messages.MAX_METADATA_BYTES",
    "membership.messages.MAX_ACCUSERS",
    "registry.service.MAX_REGISTRATION_BYTES",
    "base.entry_stream.MAX_VALUE_CHARS",
    "base.subsets.MAX_NAME_CHARS",
    "base.subsets.MAX_NUMBER_DIGITS",
    "control.config_history.MAX_VERSIONS",
    "counter_client.MAX_BACKOFF_S",
    "discovery.polling.MAX_GRACE_S",
    "discovery.polling.MAX_BACKOFF_S",
    "discovery.polling.MAX_BACKOFF_DOUBLINGS",
    "control.config_changes.MAX_CONFIRM_WINDOW_S",
    "policy.counter_calls.MAX_BACKOFF_S",
    "policy.account_table.MAX_ACCOUNT_IDLE_S",
    "policy.retries.MAX_RETRY_BUDGET",
    "policy.quota_leases.MAX_TIMED_OUT_CALLS",
    "policy.quota_leases.MAX_SAMPLED_REQUESTS",
    "policy.endpoint_table.MAX_SAMPLE_SIZE",
    "membership.local_health.MAX_SUSPICION_FACTOR",
    "membership.local_health.MAX_HEALTH_SCORE",
    "membership.messages.MAX_NAME_CHARACTERS",
    "membership.state_merge.MAX_NOTICES",
    "registry.core.MAX_WAIT_S",
    "registry.core.MAX_TTL_S",
    "registry.core.MAX_EXPIRIES_PER_CHECK",
}


def is_bound(constant):
    """Whether a constant bounds something, by its name."""
    parts = constant.split("_")
    return (len(parts) > 1 and bool({"MOST", "MAX"} & set(parts))) or constant == "WATCHERS"


def test_each_bound_in_the_code_is_in_the_table_or_is_none_on_a_fleet():
    """One that is new is found: it goes into the table, or among those above."""
    found = set()
    for part in (
        "gateway",
        "downstream",
        "upstream",
        "discovery",
        "control",
        "counter_client.py",
        "policy",
        "membership",
        "registry",
        "budgets",
        "base",
    ):
        place = ROOT / "api_gateway" / part
        files = [place] if place.is_file() else sorted(place.glob("*.py"))
        assert files, place
        for path in files:
            module = ".".join(path.relative_to(ROOT / "api_gateway").with_suffix("").parts)
            for line in path.read_text().splitlines():
                if names := re.match(r"([A-Z][A-Z_, ]*[A-Z]) = ", line):
                    found |= {f"{module}.{name}" for name in names[1].split(", ") if is_bound(name)}
    listed = {row.limit.expr for row in every_row() if row.limit is not None and row.limit.kind == cells.CODE}
    assert found - listed - NO_BOUND_ON_A_FLEET == set()
    assert found >= NO_BOUND_ON_A_FLEET and not listed & NO_BOUND_ON_A_FLEET


@pytest.mark.parametrize(
    "role, axis, figures, names",
    [
        (
            "membership",
            "gateways",
            ("cpu_share", "rss_mb", "bytes_in_s", "bytes_out_s", "messages_s"),
            ("membership_cpu_share", "membership_rss_mb", "membership_kb_s", "membership_messages_s"),
        ),
        (
            "membership",
            "gateways",
            ("start_bytes_out_s_most", "start_known_s", "start_rest_s"),
            ("membership_start_kb_s", "membership_start_known_s", "membership_start_rest_s"),
        ),
        (
            "grantor",
            "gateways",
            (
                "cpu_share",
                "rss_mb",
                "bytes_in_s",
                "bytes_out_s",
                "messages_s",
                "holder_cpu_share",
                "holder_mb",
            ),
            ("grantor_cpu_share", "grantor_rss_mb", "holder_kb_s", "exchange_bytes"),
        ),
        (
            "counter",
            "requests",
            ("cpu_share", "rss_mb", "calls_a_request"),
            ("counter_cpu_share", "counter_rss_mb", "counts", "counts_of_all"),
        ),
        ("counter", "customers", ("calls_s_most",), ("rush_calls_s", "rush_calls_of_all_s")),
        (
            "gateway",
            "requests",
            ("connects_s", "connects_s_most", "connections", "connections_a_host_most", "hosts_used"),
            (
                "connects_a_host",
                "connects_a_host_at_a_start",
                "connections_at_a_host",
                "connections_of_a_pair",
                "connections_at_a_host_at_most",
                "gateways_of_a_host",
            ),
        ),
        ("gateway", "hosts", ("probes_s", "probes_s_most"), ("probes_a_host", "probes_most_a_host")),
        ("gateway", "kinds", ("kept_mb", "kept_idle_mb", "cpu_ms_a_request"), ("kept_mb_by_kinds",)),
        ("gateway", "cells", ("kept_mb", "kept_idle_mb", "cpu_ms_a_request"), ("request_ms_by_cells",)),
        ("list-service", "hosts", ("cpu_ms_a_renewal",), ("renewal_cores",)),
        *(
            (
                "list-service",
                f"event:{event}",
                ("bytes_a_gateway", "bytes_a_gateway_most", "last_s", "refused", "hosts_up"),
                (
                    f"{event}_view_kb",
                    f"{event}_view_last_s",
                    f"{event}_view_refused",
                    f"{event}_view_hosts_up",
                ),
            )
            for event in ("apart", "healed", "lost", "back")
        ),
        ("distribution", "classes", ("config_bytes",), ("config_bytes_by_classes",)),
    ],
)
def test_a_stored_run_fills_its_cells(tmp_path, role, axis, figures, names):
    """With no further edit, and each of its figures is shown with its mark."""
    sizes = (100, 300, 1000, 3000, 10_000, 56_000, 119_048, 500_000)
    points = {n: [dict.fromkeys(figures, 4.0 + 0.001 * n)] * 3 for n in sizes}
    store(
        tmp_path,
        made_up(
            "gateway-some" if role == "gateway" else "some",
            points,
            role,
            axis,
            "view of 480",
            "abcdef012345",
            held={"budgets": 5, "hosts": 1000},
        ),
    )
    text, book = page.page(TARGET, tmp_path)
    for name in names:
        assert book[name].value is not None, name
        assert book.show(book[name]) in text.split("## Formulas")[0], name
    assert page.untraced(text, book) == []


def test_what_is_missing_is_listed():
    text, _ = page.page(TARGET, STORED)
    section = text.split("## What is missing first")[1].split("Built in this work")[0]
    for part in ("distribution of configuration", "voters of duties"):
        assert re.search(rf"\| {part} \|[^\n]*\| missing \|", section)


def test_each_assumption_is_told():
    target = cells.read_target(TARGET)
    assert sorted(name for name, *_ in page.ASSUMPTIONS) == sorted(target["assumed"])


def test_an_assumption_s_consequences_move_with_it(folder):
    text, book = page.page(TARGET, folder)
    assert "595 requests/s (A); 1,190 requests/s (A)" in row(text, "`burst`", 2)
    for name, formula, _ in page.ASSUMPTIONS:
        twice = page.made(page.changed(book.target, name, 2.0), book.runs)[formula]
        if twice.value is not None:
            assert twice.value != book[formula].value, name


def test_sums_say_at_least_where_parts_are_not_measured(folder):
    text, book = page.page(TARGET, folder)
    assert (
        "| **all** | at least 0.0101 cores (D1) | at least 27.5 MB (M1) | at least 0.0721 KB/s (D1) |" in text
    )
    assert "| **all** | at least 4.00 machines (A) | not measured | not measured | not measured |" in text
    assert "| 0.0101 cores (D1), 25.8 % | 27.5 MB (M1), 43.0 % | 0.0721 KB/s (D1), 1.20 % |" in text
    # No change of the view's run lay in its view; one that does costs what it costs with the whole list.
    assert book["cpu_share_view_in_a_rollout"].value == pytest.approx(0.01 + 3 * 480 / 56000 * 2.0 / 1000)
    assert book["cpu_share_whole_in_a_rollout"].value == pytest.approx(0.01 + 3 * 2.0 / 1000)
    assert book["entry_bytes"].value == pytest.approx(136.0)


def test_figures_of_the_module_and_of_a_process_are_not_mixed(folder):
    text, book = page.page(TARGET, folder)
    assert book["cpu_ms_a_change_view"].runs == ("gateway-by-hosts-view",)
    assert book["change_ms_view"].runs == ("module-by-hosts-view",)


# The command


def test_the_command_writes_and_checks(folder, tmp_path, capsys):
    out = tmp_path / "CAPACITY.md"
    args = ["--runs", str(folder), "--out", str(out)]
    assert page.main([*args, "--check"]) == 1
    assert page.main(args) == 0 and "cells not measured" in capsys.readouterr().out
    assert page.main([*args, "--check"]) == 0
    run = json.loads((folder / "module-by-hosts-before.json").read_text())
    for point in run["points"]:
        point["figures"]["cpu_ms_a_request"] *= 2
    store(folder, run)
    assert page.main([*args, "--check"]) == 1
    out.write_text(out.read_text().replace("17.0 ms", "16.0 ms"))
    assert page.main([*args, "--check"]) == 1


def test_another_target_gives_another_page(folder, tmp_path):
    other = tmp_path / "other.toml"
    other.write_text(
        TARGET.read_text()
        .replace("\nhosts = 56000\n", "\nhosts = 10000\n")
        .replace("requests_s = 500000 ", "requests_s = 84000 ")
    )
    out = tmp_path / "CAPACITY.md"
    assert page.main(["--target", str(other), "--runs", str(folder), "--out", str(out)]) == 0
    text = out.read_text()
    assert row(text, "module, CPU a request", 1) == "3.20 ms (M)"
    assert row(text, "`requests_a_gateway`", 2) == "20.0 requests/s (A)"
    assert page.untraced(text, page.page(other, folder)[1]) == []


def test_plots_of_made_up_runs_are_small(folder, tmp_path):
    assert plots.main(["--runs", str(folder), "--out", str(tmp_path / "plots")]) == 0
    made = sorted((tmp_path / "plots").glob("*.png"))
    assert {path.stem for path in made} == {
        "gateway-by-hosts",
        "gateway-by-hosts-view",
        "module-by-hosts-before",
        "module-by-hosts-view",
    }
    assert all(0 < path.stat().st_size < 100_000 for path in made)


@pytest.mark.parametrize(
    "old, new", [("hosts = 56000", "hosts = 0"), ("hosts = 56000", "hosts = true"), ("[events]", "[other]")]
)
def test_a_target_that_says_nothing_is_refused(tmp_path, old, new):
    path = tmp_path / "target.toml"
    path.write_text(TARGET.read_text().replace(old, new, 1))
    with pytest.raises(ValueError):
        cells.read_target(path)


def test_a_constant_that_is_gone_is_an_error():
    assert cells.constant("registry.core", "MAX_TOMBSTONES") == 1000
    assert cells.constant("control.config_schema", "MAX_BODY_BYTES") == 512 * 1024
    assert cells.constant("policy.endpoints", "MAX_IN_FLIGHT_PER_ENDPOINT") == 4.0
    with pytest.raises(KeyError):
        cells.constant("registry.core", "MOST_OF_NOTHING")


def test_template_and_target_are_in_the_package():
    told = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["setuptools"]["package-data"]
    assert {"page.md", "target.toml"} <= set(told["api_gateway.experiments.scale"])


def test_what_an_event_tells_a_gateway_stands_against_its_limit(folder):
    points = {
        n: [
            {
                "messages_a_gateway": 2.0,
                "bytes_a_gateway": 9000.0,
                "bytes_a_gateway_most": 12_000.0,
                "bytes_in_s_most": 8000.0,
                "service_bytes_out_s_most": 5000.0 * n,
                "last_s": 20.0,
            }
        ]
        for n in (525, 1050, 2100, 4200)
    }
    store(
        folder,
        made_up(
            "event-zone", points, "list-service", "event:zone", variant="view of 480", build="abcdef012345"
        ),
    )
    text, book = page.page(TARGET, folder)
    line = next(line for line in text.splitlines() if line.startswith("| a zone goes | a view | "))
    assert line == (
        "| a zone goes | a view | 2.00 messages (M1) | 9.00 KB (D1) | 12.0 KB (D1) | "
        "**8.00 KB (D1)** | 2.00 s (D1) | 20.0 s (M1) | 21,000 KB (D1) |"
    )
    assert "bytes in: the list, in the worst second | `zone_view_second_kb`" in text
    assert page.untraced(text, book) == []


def test_plots_of_runs_that_are_gone_go(tmp_path):
    store(tmp_path, GATEWAY)
    (tmp_path / "of-another-run.png").write_bytes(b"")
    plots.main(["--runs", str(tmp_path), "--out", str(tmp_path)])
    assert {path.stem for path in tmp_path.glob("*.png")} == {"gateway-by-hosts-view"}


def test_the_list_service_is_taken_by_telling(folder):
    """A run at few hosts concerns more gateways by each change than the target's does."""
    points = {
        n: [{"cpu_ms_a_change": 0.01 * n, "cpu_share_rest": 0.0001 * n}] for n in (50, 100, 200, 400, 800)
    }
    more = {"variant": "view of 480", "build": "abcdef012345"}
    store(
        folder,
        made_up("service-by-gateways", points, "list-service", "gateways", held={"hosts": 1000}, **more),
    )
    store(
        folder,
        made_up(
            "service-by-hosts",
            {n: [{"cpu_ms_a_change": 2.0}] for n in (1000, 56000)},
            "list-service",
            "hosts",
            held={"gateways": 200},
            **more,
        ),
    )
    text, book = page.page(TARGET, folder)
    tellings = 4200 * 480 / 1000
    assert book["registry_change_ms"].value == pytest.approx(2.0 + 36 * (0.01 * 4200 / tellings))
    assert book["registry_change_ms"].kind == EXTRAPOLATED
    assert book["registry_cores_in_a_rollout"].value == pytest.approx(0.42 + 3 * 2.75 / 1000, abs=1e-3)
    assert page.untraced(text, book) == []
