"""Budgets of the whole fleet and the messages about them, as the grantor and the gateways exchange them.

A budget is either a level (units held at once, in whole units) or a rate (units a second, with a burst). Over
all gateways a level never exceeds its total, and a rate never gives more than total * T + burst units in any
T seconds. Seconds are those of the process that counts them; clocks differ by `clock_drift` at most.

The JSON keys are those of the wire and of the configuration file. Where they differ from the attribute, the
field names them.
"""

from __future__ import annotations

import math
from typing import Annotated

import msgspec
from msgspec import Meta, Struct, field

LEVEL = "level"
RATE = "rate"
MAX_BUDGETS = 100
MIN_EXCHANGES_PER_GRANT = 3  # a grant must outlast that many exchanges: two of them may be lost
AMOUNT_TOLERANCE = 1e-9  # sums of parts may differ by so much from the amount that was divided

Name = Annotated[str, Meta(min_length=1, max_length=128)]
Amount = Annotated[float, Meta(ge=0, lt=1e12)]
Total = Annotated[float, Meta(gt=0, lt=1e12)]
Number = Annotated[int, Meta(ge=0, lt=2**62)]
Weight = Annotated[float, Meta(ge=0.01, le=100)]
MaxGateways = Annotated[int, Meta(ge=1, le=2000)]
BudgetList = Annotated[list["Budget"], Meta(min_length=1, max_length=MAX_BUDGETS)]


class TermsError(ValueError):
    """The terms contradict themselves; the text names the key and the reason in one line."""


class Budget(Struct, frozen=True, forbid_unknown_fields=True):
    """One limit of the fleet.

    Attributes:
        name: Its name in every message.
        kind: LEVEL or RATE.
        total: Units, or units a second, for all gateways together.
        reserve: The part of the total that is set aside: each of `Terms.max_gateways` gateways may use its
            even share of it without a grant.
        minimum: What each gateway that takes part is granted at least.
        burst: Units of a rate that may be used at once, over all gateways.
        release_delay: Seconds for which units of a level may outlast their grant, because requests end later
            or an endpoint keeps connections of a machine that has gone.
    """

    name: Name
    kind: str
    total: Total = field(name="whole")
    reserve: Amount = 0.0
    minimum: Amount = field(default=0.0, name="least")
    burst: Amount = 0.0
    release_delay: Annotated[float, Meta(ge=0, le=600)] = field(default=0.0, name="linger")


class Terms(Struct, frozen=True, forbid_unknown_fields=True):
    """What the grantor and all gateways agree on.

    Attributes:
        max_gateways: Gateways among which the reserve is shared.
        budgets: The limits.
        grant_duration: Seconds for which a grant lasts.
        exchange_interval: Seconds between two exchanges of a gateway.
        clock_drift: The fraction by which the pace of any two clocks differs at most.
        unassigned_fraction: The fraction of each budget that stays with the grantor, for gateways that start,
            where nobody needs it.
    """

    max_gateways: MaxGateways = field(name="most")
    budgets: BudgetList
    grant_duration: Annotated[float, Meta(gt=0, le=600)] = field(default=5.0, name="length")
    exchange_interval: Annotated[float, Meta(gt=0, le=60)] = field(default=1.0, name="every")
    clock_drift: Annotated[float, Meta(ge=0, le=0.5)] = field(default=0.03, name="drift")
    unassigned_fraction: Annotated[float, Meta(ge=0, le=0.9)] = field(default=0.1, name="pool")

    def reserve_share(self, budget: Budget) -> float:
        """Returns the units that each gateway may use without a grant, counted by its own clock."""
        if budget.kind == LEVEL:
            return float(math.floor(budget.reserve / self.max_gateways))
        return budget.reserve / self.max_gateways / (1 + self.clock_drift)

    def divisible_amount(self, budget: Budget) -> float:
        """Returns the units that all grants together may come to."""
        reserved = self.max_gateways * self.reserve_share(budget)
        if budget.kind == LEVEL:
            return math.floor(budget.total) - reserved
        return budget.total / (1 + self.clock_drift) - reserved

    def burst_ratio(self, budget: Budget) -> float:
        """Returns the units of a rate that may be saved up for each unit a second that is granted.

        Each gateway may save up one unit beside, or it could never act; both sum to the burst.
        """
        divisible = self.divisible_amount(budget)
        if budget.kind != RATE or divisible <= 0:
            return 0.0
        return (budget.burst - self.max_gateways) / divisible

    def grant_lifetime(self) -> float:
        """Returns the seconds by the grantor's clock after which a grant has ended by any gateway's."""
        return self.grant_duration * (1 + self.clock_drift)


def validate_terms(terms: Terms) -> None:
    """Checks what the types of the fields do not.

    Raises:
        TermsError: The terms contradict themselves.
    """
    if terms.grant_duration < MIN_EXCHANGES_PER_GRANT * terms.exchange_interval:
        raise TermsError(
            f"length is {terms.grant_duration:g}, under three exchanges of {terms.exchange_interval:g} s"
        )
    names = [budget.name for budget in terms.budgets]
    if len(set(names)) < len(names):
        raise TermsError("two budgets have one name")
    for budget in terms.budgets:
        validate_amounts(terms, budget)
        if budget.kind == LEVEL:
            validate_level(budget)
        else:
            validate_rate(terms, budget)


def validate_amounts(terms: Terms, budget: Budget) -> None:
    """Checks the kind of a budget and that its parts fit into its total.

    Raises:
        TermsError: They do not.
    """
    path = f"budgets.{budget.name}"
    if budget.kind not in (LEVEL, RATE):
        raise TermsError(f"{path}.kind is {budget.kind!r}, not level or rate")
    if budget.reserve > budget.total:
        raise TermsError(f"{path}.reserve is {budget.reserve:g}, over the whole of {budget.total:g}")
    divisible = terms.divisible_amount(budget)
    if budget.minimum * terms.max_gateways > divisible + AMOUNT_TOLERANCE:
        raise TermsError(
            f"{path}.least is {budget.minimum:g}: {terms.max_gateways} gateways have more than the "
            f"{divisible:g} that are divided"
        )


def validate_level(budget: Budget) -> None:
    """Checks what holds for levels alone.

    Raises:
        TermsError: A key is missing, or belongs to rates.
    """
    path = f"budgets.{budget.name}"
    if budget.burst or budget.minimum != math.floor(budget.minimum):
        raise TermsError(f"{path}: a level has no burst, and its least part is a whole number")
    if not budget.release_delay:
        raise TermsError(f"{path}.linger is missing: how long may a unit outlast its grant?")


def validate_rate(terms: Terms, budget: Budget) -> None:
    """Checks what holds for rates alone.

    Raises:
        TermsError: A key belongs to levels, or the burst is too small.
    """
    if budget.release_delay or budget.burst < terms.max_gateways:
        raise TermsError(
            f"budgets.{budget.name}: a rate has no linger, and a burst of {terms.max_gateways} or more, "
            "one for each gateway: all may act at the same instant"
        )


class BudgetReport(Struct, frozen=True):
    """What a gateway says of one budget.

    Attributes:
        demand: Units that it could use.
        holding: The granted units to which it limits itself from now on, until it takes a newer response; of
            a level at least what it uses beyond its share of the reserve.
        reserve_share: Its share of the reserve, 0 where it has none.
    """

    demand: Amount = field(name="need")
    holding: Amount = field(name="have")
    reserve_share: Amount = field(name="reserve")


class ExchangeRequest(Struct, frozen=True):
    """What a gateway sends to the grantor, once in each interval.

    Attributes:
        name: The gateway's name.
        zone: Its zone.
        index: Its number, which names its share of the reserve.
        incarnation: Grows with each start of the gateway.
        sequence: Grows with each exchange.
        term: The newest term of a grantor that it has seen.
        budgets: A report for each budget, by its name.
    """

    name: Name
    zone: Annotated[str, Meta(max_length=128)]
    index: Number
    incarnation: Number = field(name="life")
    sequence: Number = field(name="seq")
    term: Number
    budgets: Annotated[dict[str, BudgetReport], Meta(max_length=MAX_BUDGETS)]


class GrantResponse(Struct, frozen=True):
    """The grantor's response to one exchange.

    Attributes:
        incarnation: That of the request.
        sequence: That of the request.
        term: The grantor's.
        duration: Seconds for which the grants last, from the moment at which the request was sent.
        amounts: Granted units, or units a second, by the name of the budget.
        burst_ratios: Of rates, the units that may be saved up for each unit a second that is granted.
    """

    incarnation: int = field(name="life")
    sequence: int = field(name="seq")
    term: int
    duration: float = field(name="length")
    amounts: dict[str, float] = field(name="parts")
    burst_ratios: dict[str, float] = field(default_factory=dict, name="ratios")


def decode_exchange(data: bytes) -> ExchangeRequest:
    """Reads the body of an exchange.

    Raises:
        ValueError: It has another form, or holds amounts that are impossible; the text says which.
    """
    return msgspec.json.decode(data, type=ExchangeRequest)
