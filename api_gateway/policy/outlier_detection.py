"""Passive outlier detection: the probability that an endpoint is failing, by endpoint and by kind of request.

An estimate is kept for the endpoint as a whole, for each service class and for each plan, because an endpoint
may fail only some kinds of requests. Errors, timeouts, lost connections and rejections for lack of capacity
all count as evidence. A failure counts at each level in proportion to how common failures are there among all
endpoints, so that a successful answer to another kind doesn't clear it. While many endpoints fail, those
that are known to work are preferred. The cost is that a healthy endpoint which failed by chance receives less
traffic until half of that evidence has decayed.
"""

from __future__ import annotations

from typing import TypeAlias

from api_gateway.policy.customer_accounts import MEAN_GAIN

# Seconds in which evidence on an endpoint loses half of its weight. The decay is also what lets an endpoint
# that failed receive attempts again.
EVIDENCE_HALF_LIFE_S = 10.0

# Seconds after which the difference between an estimate and the mean is below floating-point precision.
EVIDENCE_MAX_AGE_S = 60 * EVIDENCE_HALF_LIFE_S

# Lower bound of the mean probability of failing, also used before there is any evidence.
MIN_MEAN_PROBABILITY = 0.02

# Upper bound of the mean probability of failing.
MAX_MEAN_PROBABILITY = 0.6

# Fraction of attempts that fail at a failing endpoint.
FAILURE_RATE_IF_FAILING = 0.9

# Fraction of attempts that fail at a healthy endpoint.
FAILURE_RATE_IF_HEALTHY = 0.05

# Probability that an endpoint is failing, and the time in seconds of that estimate. A plain tuple, because
# each request reads several.
Estimate: TypeAlias = tuple[float, float]


class HealthEstimator:
    """Estimates the probability that an endpoint is failing, for each endpoint and level.

    A level is a key such as "host" (the endpoint as a whole, always the first key), "class read" or
    "plan free". Times are in seconds.

    Attributes:
        estimates: Estimates by endpoint id and level. Endpoints are ordered by their latest evidence.
        mean_probability: Mean probability at each level, assumed for an endpoint without evidence.
    """

    def __init__(self) -> None:
        """Initialise without evidence."""
        self.estimates: dict[str, dict[str, Estimate]] = {}
        self.mean_probability: dict[str, float] = {}

    def health_score(self, endpoint_id: str, keys: tuple[str, ...], now: float) -> float:
        """Return the health at the worst of the levels, from 0 (certainly failing) to 1."""
        return self.health_scores([endpoint_id], keys, now)[0]

    def health_scores(self, endpoint_ids: list[str], keys: tuple[str, ...], now: float) -> list[float]:
        """Return the health scores of several endpoints, in the same order."""
        scores: list[float] = []
        means = [(key, self.mean_probability.get(key, MIN_MEAN_PROBABILITY)) for key in keys]
        # One request updates all its levels at the same time, so the decayed weight is computed only once.
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
        """Update the estimates of an endpoint with the result of an attempt, by Bayes' rule at each level."""
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
            else:  # any answer shows that the endpoint as a whole works, but not that it serves other kinds
                probability = 0.0 if key == keys[0] else probability_after_answer(probability)
            known[key] = (probability, now)
            self.mean_probability[key] = min(
                MAX_MEAN_PROBABILITY, max(MIN_MEAN_PROBABILITY, mean + MEAN_GAIN * (probability - mean))
            )
        oldest = next(iter(self.estimates))
        if now - self.estimates[oldest][keys[0]][1] > EVIDENCE_MAX_AGE_S:
            del self.estimates[oldest]

    def forget(self, endpoint_id: str) -> None:
        """Discard all evidence on an endpoint."""
        self.estimates.pop(endpoint_id, None)


def probability_after_failure(probability: float) -> float:
    """Return the posterior probability that an endpoint is failing after a failed attempt."""
    return (
        probability
        * FAILURE_RATE_IF_FAILING
        / (probability * FAILURE_RATE_IF_FAILING + (1 - probability) * FAILURE_RATE_IF_HEALTHY)
    )


def probability_after_answer(probability: float) -> float:
    """Return the posterior probability that an endpoint is failing after an answered attempt."""
    failing = probability * (1 - FAILURE_RATE_IF_FAILING)
    healthy = (1 - probability) * (1 - FAILURE_RATE_IF_HEALTHY)
    return failing / (failing + healthy)
