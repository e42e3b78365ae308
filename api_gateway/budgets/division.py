"""Weighted max-min fair division of an amount among claims with minimums. Pure functions."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

ROUNDING_TOLERANCE = 1e-9  # a part that is this close to a whole number counts as one


@dataclass(frozen=True, slots=True)
class Claim:
    """One gateway's claim in a division.

    Attributes:
        demand: Units that the gateway can use.
        minimum: Units that it gets regardless of its demand, as long as the minimums of all claims fit.
        weight: Its weight relative to the other claims.
    """

    demand: float
    minimum: float = 0.0
    weight: float = 1.0

    @property
    def wanted_amount(self) -> float:
        """The most units that this claim is given."""
        return max(self.demand, self.minimum)


class Division(NamedTuple):
    """The result of dividing an amount.

    Attributes:
        parts: One part per claim, in the order of the claims.
        level: The upper bound on the part of a claim of weight 1; infinite if all claims are satisfied.
    """

    parts: list[float]
    level: float


def divide_fairly(amount: float, claims: list[Claim]) -> Division:
    """Divide an amount by weighted max-min fairness.

    No claim gets more than it wants. A claim that gets less than it wants gets, relative to its weight, no
    less than any other claim, except where a minimum raises that one. If the minimums alone do not fit, all
    of them are reduced by the same factor.

    Args:
        amount: Units to divide; a negative amount counts as 0.
        claims: The claims to divide the amount among.
    """
    amount = max(0.0, amount)
    wanted = sum(claim.wanted_amount for claim in claims)
    if wanted <= amount:
        return Division([claim.wanted_amount for claim in claims], math.inf)
    minimum = sum(claim.minimum for claim in claims)
    if minimum >= amount:
        return Division([claim.minimum * amount / minimum for claim in claims], 0.0)
    level = fair_level(amount, minimum, claims)
    parts = [min(claim.wanted_amount, max(claim.minimum, level * claim.weight)) for claim in claims]
    return Division(parts, level)


def fair_level(amount: float, minimum: float, claims: list[Claim]) -> float:
    """Return the level at which the parts sum to the amount.

    As the level rises, a claim's part grows from its minimum to its wanted amount. The sum of all parts is
    therefore piecewise linear, with breakpoints at the levels where a part starts or stops growing.
    """
    growth_begins = [(claim.minimum / claim.weight, claim.weight) for claim in claims]
    growth_ends = [(claim.wanted_amount / claim.weight, -claim.weight) for claim in claims]
    level = 0.0
    slope = 0.0
    total = minimum
    for next_level, slope_change in sorted(growth_begins + growth_ends):
        if slope > 0 and total + slope * (next_level - level) >= amount:
            break
        total += slope * (next_level - level)
        level = next_level
        slope += slope_change
    return level + (amount - total) / slope


def distribute_spare(spare: float, parts: list[float], claims: list[Claim]) -> list[float]:
    """Return the parts, each increased by its weighted share of an amount that no claim wants."""
    total = sum(claim.weight for claim in claims)
    return [part + spare * claim.weight / total for part, claim in zip(parts, claims, strict=True)]


def round_to_integers(parts: list[float], rotation: int) -> list[float]:
    """Round the parts to whole numbers whose sum is the sum of the parts, rounded down.

    Args:
        parts: The parts to round.
        rotation: Selects which fractional parts are rounded up. Consecutive values move the extra units on,
            so that each part gets one in turn.
    """
    floors = [math.floor(part + ROUNDING_TOLERANCE) for part in parts]
    remainder = math.floor(sum(parts) + ROUNDING_TOLERANCE) - sum(floors)
    fractional = [index for index, part in enumerate(parts) if part - floors[index] > ROUNDING_TOLERANCE]
    for step in range(min(remainder, len(fractional))):
        floors[fractional[(rotation * remainder + step) % len(fractional)]] += 1
    return [float(floor) for floor in floors]
