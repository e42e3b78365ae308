"""The form by which a cost grows with a size, from measured points, and what it comes to at another size.

Four forms have a constant and at most one slope: constant `a`, log `a + b ln n`, linear `a + b n` and n log n
`a + b n ln n`. The fifth, worse, is `a + b n**p` with p from 1.2 to 4. Each is fitted by least squares to the
residuals over the median at their size (sizes that cost under a hundredth of the dearest count as that
hundredth), so that a small size weighs as much as a large one.

The least squares are solved in rational arithmetic, and the terms of the forms are rounded in decimal
arithmetic, so that a fit has the same digits on every machine, whatever its floating-point library.
"""

import functools
import math
import statistics
from collections.abc import Sequence
from decimal import Context, Decimal
from fractions import Fraction
from typing import Any

Point = tuple[float, float]

FORMS = ("constant", "log", "linear", "n log n", "worse")  # from the simplest
TOO_FEW, NONE = "too few", "none"  # in place of a form
LEAST_SIZES = 4  # different sizes, under which no form is named
LEAST_TRIAL = 3  # different sizes left, under which there is no trial by prediction,
LEAST_POINTS = 4  # nor under so many points: a form with a slope could not be chosen
LEAST_SHARE = 0.01  # of the dearest size: what a cheaper one counts as when residuals are weighed
LEAST_RESIDUAL = 0.01  # relative: forms that come closer than this aren't told apart
TIE = 2.0  # by which a form must beat a simpler one with as many coefficients
SLOPE_GAIN = 10.0  # by which m ln(r^2) must fall at least for one coefficient more
LOOSE = 0.2  # relative residual above which a form does not describe the points well
MOST_TRIAL = 0.2  # relative error of a trial above which a form tells nothing past its points
HOPELESS = 0.4  # and above which none is named: noise of a busy machine stays below it
POWERS = tuple(round(1.2 + 0.05 * step, 2) for step in range(57))
# Digits of logarithms and powers; a float has 17.
DECIMAL_CONTEXT = Context(prec=34)


def fit(points: Sequence[Point]) -> dict[str, Any]:
    """The form of points (size, cost), with coefficients, relative residual, spread and a trial.

    The form is chosen by the corrected criterion of Akaike, m ln(r^2) + 2k + 2k(k + 1) / (m - k - 1) for m
    points, k coefficients and the relative residual r: each coefficient must earn its place, the more so
    where points are few, and a form with as many coefficients as m - 1 is out. r counts as at least
    `LEAST_RESIDUAL`. A form must be better than the best before it by `TIE`; if it has more coefficients the
    criterion must be better and m ln(r^2) less by `SLOPE_GAIN`, as several forms try their luck on the same
    noise. Ties go to the simpler. With fewer than `LEAST_SIZES` different sizes the form is "too few",
    with a residual above `HOPELESS` it is "none": then there are no coefficients, and nothing is foretold.

    The trial fits anew, form included, without the largest size and predicts it: `error` is the prediction
    over the median there, less one (None where that median is zero, `predicted` stands all the same).
    """
    points = [(float(size), float(cost)) for size, cost in points]
    if any(size <= 0 for size, _ in points):
        raise ValueError("a size must be above zero")
    found: dict[str, Any] = {"points": len(points), "spread": spread(points)}
    sizes = sorted({size for size, _ in points})
    if len(sizes) < LEAST_SIZES:
        return found | {"form": TOO_FEW, "sizes": len(sizes)}
    chosen = _chosen(points)
    if chosen["residual"] > HOPELESS:
        chosen = {"form": NONE, "residual": chosen["residual"], "loose": True}
    return found | {"sizes": len(sizes)} | chosen | {"trial": _trial(points, sizes[-1])}


def spread(points: Sequence[Point]) -> list[dict[str, float]]:
    """Least, median and most over the repeats at each size, smallest size first."""
    by_size: dict[float, list[float]] = {}
    for size, cost in points:
        by_size.setdefault(size, []).append(cost)
    return [
        {
            "at": size,
            "repeats": len(costs),
            "min": min(costs),
            "median": statistics.median(costs),
            "max": max(costs),
        }
        for size, costs in sorted(by_size.items())
    ]


def predict(fitted: dict[str, Any], size: float) -> float | None:
    """The cost at a size by a fit, or None where it has no form."""
    form = fitted["form"]
    if form in (TOO_FEW, NONE):
        return None
    if form == "constant":
        return fitted["constant"]
    return fitted["constant"] + fitted["slope"] * float(_term(form, fitted.get("power"), float(size)))


def extrapolate(fitted: dict[str, Any], size: float) -> dict[str, Any]:
    """The cost at a size beyond the points: `value` (None without a form), the form, and how far it reaches.

    `times` is the size over the largest measured one; up to one it lies within the points.
    """
    largest = max((row["at"] for row in fitted["spread"]), default=0.0)
    trial = fitted.get("trial")
    return {
        "value": predict(fitted, size),
        "form": fitted["form"],
        "at": size,
        "largest": largest,
        "times": size / largest if largest else None,
        "residual": fitted.get("residual"),
        "trial_error": trial["error"] if trial else None,
    }


def foretells(fitted: dict[str, Any]) -> bool:
    """Whether a fit may be taken past its largest size: it describes its points, and without the largest of
    them it came to that one within `MOST_TRIAL`. One that was not tried may not."""
    trial = fitted.get("trial")
    if fitted["form"] in (TOO_FEW, NONE) or fitted["loose"] or trial is None:
        return False
    if trial["error"] is None:  # nothing was measured there
        return abs(trial["predicted"]) <= LEAST_RESIDUAL * max(row["max"] for row in fitted["spread"])
    return abs(trial["error"]) <= MOST_TRIAL


def _chosen(points: Sequence[Point]) -> dict[str, Any]:
    """The best form of the points with its coefficients; see `fit` for how it's chosen."""
    weights = _Scaled([1 / Fraction(scale) ** 2 for scale in _scales(points)])
    best = _solved(FORMS[0], None, points, weights)
    for form in FORMS[1:]:
        if form == "worse":
            found = min(
                (_solved(form, power, points, weights) for power in POWERS),
                key=lambda found: found["residual"],
            )
        else:
            found = _solved(form, None, points, weights)
        if _better(found, best, len(points)):
            best = found
    return best | {"loose": best["residual"] > LOOSE}


def _coefficients(form: str) -> int:
    return {"constant": 1, "worse": 3}.get(form, 2)


def _better(found: dict[str, Any], best: dict[str, Any], points: int) -> bool:
    gain = _misfit(best, points) - _misfit(found, points)
    dearer = _penalty(found, points) - _penalty(best, points)
    if _coefficients(found["form"]) == _coefficients(best["form"]):
        return gain > TIE
    return gain > max(dearer, SLOPE_GAIN)


def _misfit(found: dict[str, Any], points: int) -> float:
    return points * math.log(max(found["residual"], LEAST_RESIDUAL) ** 2)


def _penalty(found: dict[str, Any], points: int) -> float:
    coefficients = _coefficients(found["form"])
    free = points - coefficients - 1
    return 2 * coefficients + 2 * coefficients * (coefficients + 1) / free if free > 0 else math.inf


class _Scaled:
    """Rational numbers as whole ones over a common denominator: sums of products need no reduction."""

    def __init__(self, values: Sequence[Fraction]) -> None:
        self.denominator = math.lcm(*(value.denominator for value in values))
        self.numerators = [value.numerator * (self.denominator // value.denominator) for value in values]

    def dot(self, *others: "_Scaled") -> Fraction:
        """The sum of the products with the numbers of the others at the same places."""
        rows = zip(self.numerators, *(other.numerators for other in others), strict=True)
        denominators = (self.denominator, *(other.denominator for other in others))
        return Fraction(sum(math.prod(row) for row in rows), math.prod(denominators))


def _solved(form: str, power: float | None, points: Sequence[Point], weights: _Scaled) -> dict[str, Any]:
    """Coefficients of one form by weighted least squares, and the relative RMS of what is left.

    The weights are those of the squared residuals.
    """
    costs = _Scaled([Fraction(cost) for _, cost in points])
    ones = _Scaled([Fraction(1)] * len(points))
    weight = weights.dot(ones)
    cost = weights.dot(costs)
    slope = Fraction(0)
    term_cost = Fraction(0)
    constant = cost / weight
    if form != "constant":
        by_size = {size: _term(form, power, size) for size, _ in points}
        terms = _Scaled([by_size[size] for size, _ in points])
        term = weights.dot(terms)
        term_cost = weights.dot(terms, costs)
        variance = weight * weights.dot(terms, terms) - term * term
        slope = (weight * term_cost - term * cost) / variance
        constant = (cost - slope * term) / weight
    left = weights.dot(costs, costs) - constant * cost - slope * term_cost
    found: dict[str, Any] = {
        "form": form,
        "constant": float(constant),
        "residual": math.sqrt(left / len(points)),
    }
    if form != "constant":
        found["slope"] = float(slope)
    if power is not None:
        found["power"] = power
    return found


@functools.lru_cache(maxsize=4096)
def _term(form: str, power: float | None, size: float) -> Fraction:
    """What the slope of a form is multiplied by at a size."""
    exact_size = Decimal(size)
    if form == "linear":
        return Fraction(exact_size)
    if form == "worse":
        return Fraction(DECIMAL_CONTEXT.power(exact_size, Decimal(str(power))))
    logarithm = DECIMAL_CONTEXT.ln(exact_size)
    return Fraction(logarithm if form == "log" else DECIMAL_CONTEXT.multiply(exact_size, logarithm))


def _scales(points: Sequence[Point]) -> list[float]:
    """What each point's residual is taken relative to: the median at its size, with a floor."""
    medians = {row["at"]: abs(row["median"]) for row in spread(points)}
    floor = LEAST_SHARE * max(medians.values())
    if floor == 0.0:
        floor = max(abs(cost) for _, cost in points) or 1.0
    return [max(medians[size], floor) for size, _ in points]


def _trial(points: Sequence[Point], largest: float) -> dict[str, Any] | None:
    """The largest size predicted from the others; None where too few are left."""
    rest = [(size, cost) for size, cost in points if size < largest]
    if len({size for size, _ in rest}) < LEAST_TRIAL or len(rest) < LEAST_POINTS:
        return None
    found = _chosen(rest)
    if found["residual"] > HOPELESS:
        return None
    predicted = predict(found, largest)
    assert predicted is not None
    measured = statistics.median(cost for size, cost in points if size == largest)
    return {
        "at": largest,
        "form": found["form"],
        "predicted": predicted,
        "measured": measured,
        "error": predicted / measured - 1 if measured else None,
    }
