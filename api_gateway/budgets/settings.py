"""Settings of the fleet-wide budgets, and the messages that the grantor and the gateways exchange about them.

A budget is either a level (a whole number of units in use at the same time) or a rate (units per second,
with a burst). Across all gateways a level never exceeds its total, and a rate never yields more than
total * T + burst units in any T seconds. Each process measures durations with its own clock; the speeds of
any two clocks differ by at most `clock_drift`.

The JSON keys are part of the wire format and of the configuration file. A field whose key differs from its
attribute states the key explicitly.
"""

from __future__ import annotations

import math
from typing import Annotated

import msgspec
from msgspec import Meta, Struct, field

LEVEL = "level"
RATE = "rate"
MAX_BUDGETS = 100  # in the settings and in one exchange
MIN_EXCHANGES_PER_GRANT = 3  # exchange intervals per grant, so that two exchanges may be lost
AMOUNT_TOLERANCE = 1e-9  # rounding error allowed between a sum of parts and the amount divided

Name = Annotated[str, Meta(min_length=1, max_length=128)]
Amount = Annotated[float, Meta(ge=0, lt=1e12)]
Total = Annotated[float, Meta(gt=0, lt=1e12)]
Number = Annotated[int, Meta(ge=0, lt=2**62)]
Weight = Annotated[float, Meta(ge=0.01, le=100)]
MaxGateways = Annotated[int, Meta(ge=1, le=2000)]
BudgetList = Annotated[list["Budget"], Meta(min_length=1, max_length=MAX_BUDGETS)]


class SettingsError(ValueError):
    """The settings are inconsistent. The message names the key and the reason in one line."""


class Budget(Struct, frozen=True, forbid_unknown_fields=True):
    """One fleet-wide limit.

    Attributes:
        name: The name of the budget in every message.
        kind: LEVEL or RATE.
        total: Units, or units per second, for all gateways together.
        reserve: The part of the total that is set aside. Each of `BudgetSettings.max_gateways` gateways may
            use an equal share of it without a grant.
        minimum: The least that each participating gateway is granted.
        burst: Units of a rate that all gateways together may use at the same instant.
        release_delay: Seconds for which units of a level may remain in use after their grant has expired,
            because requests end later or an endpoint keeps connections of a machine that has failed.
    """

    name: Name
    kind: str
    total: Total = field(name="whole")
    reserve: Amount = 0.0
    minimum: Amount = field(default=0.0, name="least")
    burst: Amount = 0.0
    release_delay: Annotated[float, Meta(ge=0, le=600)] = field(default=0.0, name="linger")


class BudgetSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """The settings that the grantor and all gateways have in common.

    Attributes:
        max_gateways: Number of gateways among which the reserve is divided.
        budgets: The fleet-wide limits.
        grant_duration: Seconds for which a grant is valid.
        exchange_interval: Seconds between two exchanges of a gateway.
        clock_drift: The largest fraction by which the speeds of any two clocks differ.
        unassigned_fraction: The fraction of each budget that the grantor does not hand out above demand, so
            that gateways that start can be granted some at once.
    """

    max_gateways: MaxGateways = field(name="most")
    budgets: BudgetList
    grant_duration: Annotated[float, Meta(gt=0, le=600)] = field(default=5.0, name="length")
    exchange_interval: Annotated[float, Meta(gt=0, le=60)] = field(default=1.0, name="every")
    clock_drift: Annotated[float, Meta(ge=0, le=0.5)] = field(default=0.03, name="drift")
    unassigned_fraction: Annotated[float, Meta(ge=0, le=0.9)] = field(default=0.1, name="pool")

    def reserve_share(self, budget: Budget) -> float:
        """Return the units that each gateway may use without a grant, measured with its own clock."""
        if budget.kind == LEVEL:
            return float(math.floor(budget.reserve / self.max_gateways))
        return budget.reserve / self.max_gateways / (1 + self.clock_drift)

    def divisible_amount(self, budget: Budget) -> float:
        """Return the upper bound on the sum of all grants."""
        reserved = self.max_gateways * self.reserve_share(budget)
        if budget.kind == LEVEL:
            return math.floor(budget.total) - reserved
        return budget.total / (1 + self.clock_drift) - reserved

    def burst_ratio(self, budget: Budget) -> float:
        """Return the tokens of a rate that a gateway may accumulate per granted unit per second.

        Each gateway may accumulate one further token, without which it could never spend any. Both together
        sum to the burst.
        """
        divisible = self.divisible_amount(budget)
        if budget.kind != RATE or divisible <= 0:
            return 0.0
        return (budget.burst - self.max_gateways) / divisible

    def grant_lifetime(self) -> float:
        """Return the seconds on the grantor's clock after which a grant has expired on any gateway's."""
        return self.grant_duration * (1 + self.clock_drift)


def validate_settings(settings: BudgetSettings) -> None:
    """Check the constraints that the types of the fields do not express.

    Raises:
        SettingsError: The settings are inconsistent.
    """
    if settings.grant_duration < MIN_EXCHANGES_PER_GRANT * settings.exchange_interval:
        raise SettingsError(
            f"length is {settings.grant_duration:g}, under three times every ({settings.exchange_interval:g})"
        )
    names = [budget.name for budget in settings.budgets]
    if len(set(names)) < len(names):
        raise SettingsError("two budgets share one name")
    for budget in settings.budgets:
        validate_amounts(settings, budget)
        if budget.kind == LEVEL:
            validate_level(budget)
        else:
            validate_rate(settings, budget)


def validate_amounts(settings: BudgetSettings, budget: Budget) -> None:
    """Check the kind of a budget, and that its reserve and its minimums fit into its total.

    Raises:
        SettingsError: The kind is unknown, or the amounts do not fit.
    """
    path = f"budgets.{budget.name}"
    if budget.kind not in (LEVEL, RATE):
        raise SettingsError(f"{path}.kind is {budget.kind!r}, not level or rate")
    if budget.reserve > budget.total:
        raise SettingsError(f"{path}.reserve is {budget.reserve:g}, more than whole ({budget.total:g})")
    divisible = settings.divisible_amount(budget)
    if budget.minimum * settings.max_gateways > divisible + AMOUNT_TOLERANCE:
        raise SettingsError(
            f"{path}.least is {budget.minimum:g}: {settings.max_gateways} gateways need more than the "
            f"{divisible:g} to be divided among them"
        )


def validate_level(budget: Budget) -> None:
    """Check the constraints that apply only to levels.

    Raises:
        SettingsError: A key is missing, is not a whole number, or applies only to rates.
    """
    path = f"budgets.{budget.name}"
    if budget.burst or budget.minimum != math.floor(budget.minimum):
        raise SettingsError(f"{path}: a level must have no burst, and its least must be a whole number")
    if not budget.release_delay:
        raise SettingsError(
            f"{path}.linger is missing: the seconds for which a unit may remain in use after its grant"
        )


def validate_rate(settings: BudgetSettings, budget: Budget) -> None:
    """Check the constraints that apply only to rates.

    Raises:
        SettingsError: A key applies only to levels, or the burst is too small.
    """
    if budget.release_delay or budget.burst < settings.max_gateways:
        raise SettingsError(
            f"budgets.{budget.name}: a rate must have no linger, and a burst of at least "
            f"{settings.max_gateways}: one unit per gateway, because all may act at the same instant"
        )


class BudgetReport(Struct, frozen=True):
    """A gateway's report about one budget.

    Attributes:
        demand: Units that the gateway could use.
        holding: The granted units to which the gateway limits itself until it accepts a newer response. For a
            level this is at least what it uses above its part of the reserve.
        reserve_share: The gateway's part of the reserve, or 0 if it has none.
    """

    demand: Amount = field(name="need")
    holding: Amount = field(name="have")
    reserve_share: Amount = field(name="reserve")


class ExchangeRequest(Struct, frozen=True):
    """The request that a gateway sends to the grantor once per interval.

    Attributes:
        name: The gateway's name.
        zone: The gateway's zone.
        index: The gateway's number, which identifies its share of the reserve.
        incarnation: Increases with each start of the gateway.
        sequence: Increases with each exchange.
        term: The newest grantor term that the gateway has seen.
        budgets: A report for each budget, by budget name.
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
        incarnation: The incarnation in the request.
        sequence: The sequence number of the request.
        term: The grantor's term.
        duration: Seconds for which the grants are valid, counted from the moment the request was sent.
        amounts: Granted units, or units per second, by budget name.
        burst_ratios: For rates, the tokens that may accumulate per granted unit per second, by budget name.
    """

    incarnation: int = field(name="life")
    sequence: int = field(name="seq")
    term: int
    duration: float = field(name="length")
    amounts: dict[str, float] = field(name="parts")
    burst_ratios: dict[str, float] = field(default_factory=dict, name="ratios")


def decode_exchange(data: bytes) -> ExchangeRequest:
    """Decode the body of an exchange.

    Raises:
        ValueError: The body is malformed or contains amounts out of range; the message says which.
    """
    return msgspec.json.decode(data, type=ExchangeRequest)
