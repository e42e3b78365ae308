"""How a whole is divided: max-min fair by need, with least parts and weights. Pure functions."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Claim:
    need: float
    least: float = 0.0
    weight: float = 1.0

    @property
    def wanted(self) -> float:
        return max(self.need, self.least)


def divide(room: float, claims: list[Claim]) -> tuple[list[float], float]:
    """Parts that sum to `room` at most, none above what is wanted, and the level that a part of weight 1
    reaches (infinite where all wanted parts fit). Whoever gets less than wanted has, for its weight, no less
    than any other but for least parts. Where least parts alone do not fit they shrink alike."""
    room, wanted = max(0.0, room), sum(claim.wanted for claim in claims)
    if wanted <= room:
        return [claim.wanted for claim in claims], math.inf
    least = sum(claim.least for claim in claims)
    if least >= room:
        return [claim.least * room / least for claim in claims], 0.0
    # Raise one level for all: a claim's part grows with it from its least part up to what is wanted.
    bends = sorted(
        [(claim.least / claim.weight, claim.weight) for claim in claims]
        + [(claim.wanted / claim.weight, -claim.weight) for claim in claims]
    )
    level, slope, total = 0.0, 0.0, least
    for at, change in bends:
        if slope > 0 and total + slope * (at - level) >= room:
            break
        total, level, slope = total + slope * (at - level), at, slope + change
    level += (room - total) / slope
    return [min(claim.wanted, max(claim.least, level * claim.weight)) for claim in claims], level


def spread(spare: float, parts: list[float], claims: list[Claim]) -> list[float]:
    """What nobody asked for, by weight, on top of the parts."""
    total = sum(claim.weight for claim in claims)
    return [part + spare * claim.weight / total for part, claim in zip(parts, claims, strict=True)]


def whole_parts(parts: list[float], turn: int) -> list[float]:
    """Whole numbers with the same sum, rounded down: whose fraction is rounded up changes with `turn`."""
    floors = [math.floor(part + 1e-9) for part in parts]
    left = math.floor(sum(parts) + 1e-9) - sum(floors)
    broken = [at for at, part in enumerate(parts) if part - floors[at] > 1e-9]
    for step in range(min(left, len(broken))):
        floors[broken[(turn * left + step) % len(broken)]] += 1
    return [float(part) for part in floors]
