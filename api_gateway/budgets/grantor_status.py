"""What operators see of the grantor: the JSON of its `/status`."""

from __future__ import annotations

from api_gateway.budgets.grantor import Grantor
from api_gateway.budgets.records import BudgetPool, GatewayIncarnation

AMOUNT_DIGITS = 6  # decimals of an amount that are shown


def describe_grantor(grantor: Grantor, now: float) -> dict[str, object]:
    """Returns the state of all budgets, by the keys that docs/on-call.md explains."""
    current = [
        incarnation for incarnation in grantor.incarnations.values() if now < incarnation.granted_until
    ]
    max_gateways = grantor.terms.max_gateways
    return {
        "term": grantor.term,
        "disk": grantor.is_log_writable or not grantor.has_log,
        "learning": round(max(0.0, grantor.learned_at - now), 1),
        "gateways": len({incarnation.name for incarnation in current}),
        "surplus": sorted({incarnation.name for incarnation in current if incarnation.index >= max_gateways}),
        "clashes": find_shared_indexes(current),
        "counts": dict(grantor.counts),
        "budgets": {name: describe_pool(pool, current) for name, pool in grantor.pools.items()},
    }


def describe_pool(pool: BudgetPool, current: list[GatewayIncarnation]) -> dict[str, object]:
    """Returns the state of one budget.

    `over` is how much more is granted than a smaller total bears, until grants end.
    """
    name = pool.budget.name
    demand = sum(incarnation.grants[name].demand for incarnation in current if name in incarnation.grants)
    return {
        "whole": pool.budget.total,
        "reserve": pool.budget.reserve,
        "divided": pool.divisible,
        "granted": round(pool.covered, AMOUNT_DIGITS),
        "over": round(max(0.0, pool.covered - pool.divisible), AMOUNT_DIGITS),
        "needed": round(demand, AMOUNT_DIGITS),
        "short": pool.is_short,
    }


def find_shared_indexes(incarnations: list[GatewayIncarnation]) -> list[list[str]]:
    """Returns the names of gateways that use one share of the reserve, a list for each such share."""
    names_by_index: dict[int, set[str]] = {}
    for incarnation in incarnations:
        if incarnation.uses_reserve:
            names_by_index.setdefault(incarnation.index, set()).add(incarnation.name)
    return [sorted(names) for _, names in sorted(names_by_index.items()) if len(names) > 1]
