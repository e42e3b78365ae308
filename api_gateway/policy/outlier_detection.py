"""How likely an endpoint fails, estimated at the level where it shows: the endpoint, a service class, a plan.

Errors, silence, lost connections and refusals for want of capacity are evidence alike, at each level by how
much of all endpoints fails there, so that an answer of another kind clears nothing. While many fail, proven
endpoints are first. Harm: a healthy endpoint that failed by chance gets less until half of that is forgotten.
"""

from __future__ import annotations

from typing import TypeAlias

from api_gateway.policy.customer_accounts import MEAN_GAIN

# Seconds in which half of the evidence on an endpoint is forgotten, which gives it its next attempts.
HALF_LIFE_S = 10.0

# Seconds after which an estimate differs from the pool's by less than floats can tell.
EVIDENCE_MAX_AGE_S = 60 * HALF_LIFE_S

# Least part of endpoints that are taken to fail, also before anything is seen.
MIN_POOL_CHANCE = 0.02

# Greatest part of endpoints that are taken to fail.
MAX_POOL_CHANCE = 0.6

# Part of attempts that fail at a failing endpoint.
FAILS_IF_FAILING = 0.9

# Part of attempts that fail at a healthy endpoint.
FAILS_IF_HEALTHY = 0.05

# Chance that an endpoint fails, and the time in seconds at which it was estimated. A plain tuple, since a
# request reads several.
Estimate: TypeAlias = tuple[float, float]


class HealthEstimator:
    """Keeps the chance that an endpoint fails, for each endpoint and level.

    A level is a key as "host" (all of the endpoint, the first of all), "class read" or "plan free".
    Times are in seconds.

    Attributes:
        estimates: By endpoint and level; endpoints in order of their latest evidence.
        pool: Mean chance at each level, which an endpoint without evidence has.
    """

    def __init__(self) -> None:
        """Begin without evidence."""
        self.estimates: dict[str, dict[str, Estimate]] = {}
        self.pool: dict[str, float] = {}

    def health(self, endpoint_id: str, keys: tuple[str, ...], now: float) -> float:
        """Return the health at the worst of the levels, from 0, surely failing, to 1."""
        return self.healths([endpoint_id], keys, now)[0]

    def healths(self, endpoint_ids: list[str], keys: tuple[str, ...], now: float) -> list[float]:
        """Return the health of several endpoints, in their order."""
        found: list[float] = []
        pools = [(key, self.pool.get(key, MIN_POOL_CHANCE)) for key in keys]
        # A request's evidence at all levels is of one time, so what is left of it is worked out once.
        last_at = now
        part_left = 1.0
        for endpoint_id in endpoint_ids:
            known = self.estimates.get(endpoint_id, {})
            worst = 0.0
            for key, chance in pools:
                if key in known:
                    estimated, at = known[key]
                    if at != last_at:
                        last_at = at
                        part_left = 0.5 ** ((now - at) / HALF_LIFE_S)
                    chance += (estimated - chance) * part_left
                worst = chance if chance > worst else worst
            found.append((1 - worst) ** 2)
        return found

    def record(self, endpoint_id: str, keys: tuple[str, ...], failed: bool, now: float) -> None:
        """Take the end of an attempt as evidence, by Bayes' rule at each level."""
        greatest = max(self.pool.get(key, MIN_POOL_CHANCE) for key in keys)
        known = self.estimates.pop(endpoint_id, {})
        self.estimates[endpoint_id] = known
        for key in keys:
            pool = self.pool.get(key, MIN_POOL_CHANCE)
            chance = pool
            if key in known:
                chance += (known[key][0] - chance) * 0.5 ** ((now - known[key][1]) / HALF_LIFE_S)
            if failed:
                chance += (chance_after_failure(chance) - chance) * (pool / greatest) ** 2
            else:  # any answer shows that the whole endpoint works, but not that it serves the other kinds
                chance = 0.0 if key == keys[0] else chance_after_answer(chance)
            known[key] = (chance, now)
            self.pool[key] = min(MAX_POOL_CHANCE, max(MIN_POOL_CHANCE, pool + MEAN_GAIN * (chance - pool)))
        oldest = next(iter(self.estimates))
        if now - self.estimates[oldest][keys[0]][1] > EVIDENCE_MAX_AGE_S:
            del self.estimates[oldest]

    def forget(self, endpoint_id: str) -> None:
        """Drop all evidence on an endpoint."""
        self.estimates.pop(endpoint_id, None)


def chance_after_failure(chance: float) -> float:
    """Return the chance that an endpoint is failing, given it before a failed attempt."""
    return chance * FAILS_IF_FAILING / (chance * FAILS_IF_FAILING + (1 - chance) * FAILS_IF_HEALTHY)


def chance_after_answer(chance: float) -> float:
    """Return the chance that an endpoint is failing, given it before an answered attempt."""
    failing = chance * (1 - FAILS_IF_FAILING)
    healthy = (1 - chance) * (1 - FAILS_IF_HEALTHY)
    return failing / (failing + healthy)
