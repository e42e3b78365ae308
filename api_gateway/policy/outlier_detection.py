"""How likely an endpoint fails, estimated at the level where it shows: the endpoint, a service class, a plan.

Errors, silence, lost connections and refusals for want of capacity are evidence alike, at each level by how
much of all endpoints fails there, so that an answer of another kind clears nothing. While many fail, proven
endpoints are first. Harm: a healthy endpoint that failed by chance gets less until half of that is forgotten.
"""

from __future__ import annotations

from typing import TypeAlias

from api_gateway.policy.customer_accounts import MEAN_GAIN

# Seconds in which half of the evidence on an endpoint is forgotten, which gives it its next attempts.
EVIDENCE_HALF_LIFE_S = 10.0

# Seconds after which an estimate differs from the pool's by less than floats can tell.
EVIDENCE_MAX_AGE_S = 60 * EVIDENCE_HALF_LIFE_S

# Least part of endpoints that are taken to fail, also before anything is seen.
MIN_MEAN_PROBABILITY = 0.02

# Greatest part of endpoints that are taken to fail.
MAX_MEAN_PROBABILITY = 0.6

# Part of attempts that fail at a failing endpoint.
FAILURE_RATE_IF_FAILING = 0.9

# Part of attempts that fail at a healthy endpoint.
FAILURE_RATE_IF_HEALTHY = 0.05

# Chance that an endpoint fails, and the time in seconds at which it was estimated. A plain tuple, since a
# request reads several.
Estimate: TypeAlias = tuple[float, float]


class HealthEstimator:
    """Keeps the probability that an endpoint fails, for each endpoint and level.

    A level is a key as "host" (all of the endpoint, the first of all), "class read" or "plan free".
    Times are in seconds.

    Attributes:
        estimates: By endpoint and level; endpoints in order of their latest evidence.
        pool: Mean probability at each level, which an endpoint without evidence has.
    """

    def __init__(self) -> None:
        """Begin without evidence."""
        self.estimates: dict[str, dict[str, Estimate]] = {}
        self.mean_probability: dict[str, float] = {}

    def health_score(self, endpoint_id: str, keys: tuple[str, ...], now: float) -> float:
        """Return the health at the worst of the levels, from 0, surely failing, to 1."""
        return self.health_scores([endpoint_id], keys, now)[0]

    def health_scores(self, endpoint_ids: list[str], keys: tuple[str, ...], now: float) -> list[float]:
        """Return the health of several endpoints, in their order."""
        scores: list[float] = []
        means = [(key, self.mean_probability.get(key, MIN_MEAN_PROBABILITY)) for key in keys]
        # A request's evidence at all levels is of one time, so what is left of it is worked out once.
        weighted_at = now
        remaining_weight = 1.0
        for endpoint_id in endpoint_ids:
            known = self.estimates.get(endpoint_id, {})
            worst = 0.0
            for key, probability in means:
                if key in known:
                    estimated, estimated_at = known[key]
                    if estimated_at != weighted_at:
                        weighted_at = estimated_at
                        remaining_weight = 0.5 ** ((now - estimated_at) / EVIDENCE_HALF_LIFE_S)
                    probability += (estimated - probability) * remaining_weight
                worst = probability if probability > worst else worst
            scores.append((1 - worst) ** 2)
        return scores

    def record(self, endpoint_id: str, keys: tuple[str, ...], failed: bool, now: float) -> None:
        """Take the end of an attempt as evidence, by Bayes' rule at each level."""
        max_mean = max(self.mean_probability.get(key, MIN_MEAN_PROBABILITY) for key in keys)
        known = self.estimates.pop(endpoint_id, {})
        self.estimates[endpoint_id] = known
        for key in keys:
            mean = self.mean_probability.get(key, MIN_MEAN_PROBABILITY)
            probability = mean
            if key in known:
                probability += (known[key][0] - probability) * 0.5 ** (
                    (now - known[key][1]) / EVIDENCE_HALF_LIFE_S
                )
            if failed:
                probability += (probability_after_failure(probability) - probability) * (mean / max_mean) ** 2
            else:  # any answer shows that the whole endpoint works, but not that it serves the other kinds
                probability = 0.0 if key == keys[0] else probability_after_answer(probability)
            known[key] = (probability, now)
            self.mean_probability[key] = min(
                MAX_MEAN_PROBABILITY, max(MIN_MEAN_PROBABILITY, mean + MEAN_GAIN * (probability - mean))
            )
        oldest = next(iter(self.estimates))
        if now - self.estimates[oldest][keys[0]][1] > EVIDENCE_MAX_AGE_S:
            del self.estimates[oldest]

    def forget(self, endpoint_id: str) -> None:
        """Drop all evidence on an endpoint."""
        self.estimates.pop(endpoint_id, None)


def probability_after_failure(probability: float) -> float:
    """Return the probability that an endpoint is failing, given it before a failed attempt."""
    return (
        probability
        * FAILURE_RATE_IF_FAILING
        / (probability * FAILURE_RATE_IF_FAILING + (1 - probability) * FAILURE_RATE_IF_HEALTHY)
    )


def probability_after_answer(probability: float) -> float:
    """Return the probability that an endpoint is failing, given it before an answered attempt."""
    failing = probability * (1 - FAILURE_RATE_IF_FAILING)
    healthy = (1 - probability) * (1 - FAILURE_RATE_IF_HEALTHY)
    return failing / (failing + healthy)
