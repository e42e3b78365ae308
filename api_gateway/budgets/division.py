"""Division of one amount among claims: max-min fair by demand, with minimums and weights. Pure functions."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

ROUNDING_TOLERANCE = 1e-9  # by which a part may miss a whole number and still count as one


@dataclass(frozen=True, slots=True)
class Claim:
    """What one gateway asks for.

    Attributes:
        demand: Units that it can use.
        minimum: Units that it gets in any case, as far as all minimums fit.
        weight: Its weight against the others.
    """

    demand: float
    minimum: float = 0.0
    weight: float = 1.0

    @property
    def wanted_amount(self) -> float:
        """The units above which nothing is given to it."""
        return max(self.demand, self.minimum)


class Division(NamedTuple):
    """A division of one amount.

    Attributes:
        parts: One for each claim, in their order.
        level: What a part of weight 1 reaches; infinite where all that is wanted fits.
    """

    parts: list[float]
    level: float


def divide_fairly(amount: float, claims: list[Claim]) -> Division:
    """Divides an amount so that nobody gets more than wanted.

    Whoever gets less than wanted has, for its weight, no less than any other, but for minimums. Where the
    minimums alone do not fit they shrink alike.

    Args:
        amount: Units to be divided; below 0 counts as 0.
        claims: Whom it is divided among.
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
    """Returns the level at which the parts sum to the amount.

    A claim's part grows with the level from its minimum up to what is wanted. The sum of all parts is
    therefore linear between the levels at which some part begins or stops to grow.
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
    """Returns the parts with what nobody asked for on top, by weight."""
    total = sum(claim.weight for claim in claims)
    return [part + spare * claim.weight / total for part, claim in zip(parts, claims, strict=True)]


def round_to_integers(parts: list[float], turn: int) -> list[float]:
    """Returns whole numbers with the same sum, rounded down.

    Args:
        parts: What is rounded.
        turn: Whose fraction is rounded up changes with it, so that each has the extra unit in turn.
    """
    floors = [math.floor(part + ROUNDING_TOLERANCE) for part in parts]
    remainder = math.floor(sum(parts) + ROUNDING_TOLERANCE) - sum(floors)
    fractional = [index for index, part in enumerate(parts) if part - floors[index] > ROUNDING_TOLERANCE]
    for step in range(min(remainder, len(fractional))):
        floors[fractional[(turn * remainder + step) % len(fractional)]] += 1
    return [float(floor) for floor in floors]
