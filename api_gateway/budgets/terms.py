"""What a budget is and what is sent about it: the same text for the grantor and for gateways.

Seconds are of the process that counts them. A level is what is held at once, in whole units; a rate is units
a second, with a burst. Over all gateways a level never exceeds its whole, and a rate never gives more than
whole * T + burst in any T seconds, counted by a clock within `drift` of each gateway's.
"""

from __future__ import annotations

import math
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

LEVEL, RATE = "level", "rate"
MOST_BUDGETS = 100

Name = Annotated[str, Meta(min_length=1, max_length=128)]
Amount = Annotated[float, Meta(ge=0, lt=1e12)]
Whole = Annotated[float, Meta(gt=0, lt=1e12)]
Number = Annotated[int, Meta(ge=0, lt=2**62)]
Weight = Annotated[float, Meta(ge=0.01, le=100)]


class TermsError(ValueError):
    """The terms cannot hold; the text says which key and why in one line."""


class Budget(Struct, frozen=True, forbid_unknown_fields=True):
    """`reserve` is set aside of the whole: each of the most gateways may use its even share of that without
    asking. `least`: what a gateway that is there has granted at least. `linger`: seconds for which units of a
    level may outlast their grant, because requests end or a host keeps what a machine that went had open."""

    name: Name
    kind: str
    whole: Whole
    reserve: Amount = 0.0
    least: Amount = 0.0
    burst: Amount = 0.0
    linger: Annotated[float, Meta(ge=0, le=600)] = 0.0


class Terms(Struct, frozen=True, forbid_unknown_fields=True):
    """`most`: gateways among which the reserve is shared; `length`: s of a grant; `every`: s between
    exchanges; `drift`: by how much any two clocks differ in their pace at most, as a part; `pool`: the part
    of the division in which what nobody needs stays for those that come."""

    most: Annotated[int, Meta(ge=1, le=2000)]
    budgets: Annotated[list[Budget], Meta(min_length=1, max_length=MOST_BUDGETS)]
    length: Annotated[float, Meta(gt=0, le=600)] = 5.0
    every: Annotated[float, Meta(gt=0, le=60)] = 1.0
    drift: Annotated[float, Meta(ge=0, le=0.5)] = 0.03
    pool: Annotated[float, Meta(ge=0, le=0.9)] = 0.1

    def share(self, budget: Budget) -> float:
        """What each of the most gateways may use without a grant, by its own clock."""
        if budget.kind == LEVEL:
            return float(math.floor(budget.reserve / self.most))
        return budget.reserve / self.most / (1 + self.drift)

    def divided(self, budget: Budget) -> float:
        """What all grants together may come to."""
        if budget.kind == LEVEL:
            return math.floor(budget.whole) - self.most * self.share(budget)
        return budget.whole / (1 + self.drift) - self.most * self.share(budget)

    def ratio(self, budget: Budget) -> float:
        """Units of a rate that may be saved up for each that is granted a second. Each of the most gateways
        may save up one beside, so that it can act at all; both sum to the burst."""
        divided = self.divided(budget)
        return (budget.burst - self.most) / divided if budget.kind == RATE and divided > 0 else 0.0

    def hold(self) -> float:
        """Seconds, by the grantor's clock, after which a grant has ended by any gateway's."""
        return self.length * (1 + self.drift)


def check(terms: Terms) -> None:
    """Raises TermsError."""
    if terms.length < 3 * terms.every:
        raise TermsError(f"length is {terms.length:g}, under three exchanges of {terms.every:g} s")
    names = [budget.name for budget in terms.budgets]
    if len(set(names)) < len(names):
        raise TermsError("two budgets have one name")
    for budget in terms.budgets:
        where = f"budgets.{budget.name}"
        if budget.kind not in (LEVEL, RATE):
            raise TermsError(f"{where}.kind is {budget.kind!r}, not level or rate")
        if budget.reserve > budget.whole:
            raise TermsError(f"{where}.reserve is {budget.reserve:g}, over the whole of {budget.whole:g}")
        if budget.least * terms.most > terms.divided(budget) + 1e-9:
            raise TermsError(
                f"{where}.least is {budget.least:g}: {terms.most} gateways have more than the "
                f"{terms.divided(budget):g} that are divided"
            )
        if budget.kind == LEVEL and (budget.burst or budget.least != math.floor(budget.least)):
            raise TermsError(f"{where}: a level has no burst, and its least part is a whole number")
        if budget.kind == LEVEL and not budget.linger:
            raise TermsError(f"{where}.linger is missing: how long may a unit outlast its grant?")
        if budget.kind == RATE and (budget.linger or budget.burst < terms.most):
            raise TermsError(
                f"{where}: a rate has no linger, and a burst of {terms.most} or more, one for "
                "each gateway: all may act at the same instant"
            )


# Messages


class Report(Struct, frozen=True):
    """`have`: the granted part that this gateway holds itself to from now on, until it takes a newer answer;
    of a level at least what it uses beyond its share of the reserve. `reserve`: that share, 0 where it has
    none."""

    need: Amount
    have: Amount
    reserve: Amount


class Exchange(Struct, frozen=True):
    """`life` grows with each start of a gateway, `seq` with each exchange; `term`: the newest it has seen."""

    name: Name
    zone: Annotated[str, Meta(max_length=128)]
    index: Number
    life: Number
    seq: Number
    term: Number
    budgets: Annotated[dict[str, Report], Meta(max_length=MOST_BUDGETS)]


class Grants(Struct, frozen=True):
    """To one exchange: parts by budget, from the moment that the exchange was sent, for `length` s; of rates
    also what may be saved up for each unit a second of the part."""

    life: int
    seq: int
    term: int
    length: float
    parts: dict[str, float]
    ratios: dict[str, float] = {}


def read_exchange(data: bytes) -> Exchange:
    """Raises ValueError that says what is wrong: of the form, or amounts that cannot be."""
    return msgspec.json.decode(data, type=Exchange)
