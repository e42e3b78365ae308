"""The grantor's status for operators, served as JSON under `/status`."""

from __future__ import annotations

from api_gateway.budgets.grantor import Grantor
from api_gateway.budgets.records import BudgetPool, GatewayIncarnation

AMOUNT_DIGITS = 6  # decimal places of the amounts shown


def describe_grantor(grantor: Grantor, now: float) -> dict[str, object]:
    """Return the state of all budgets. docs/on-call.md explains the keys."""
    current = [
        incarnation for incarnation in grantor.incarnations.values() if now < incarnation.granted_until
    ]
    max_gateways = grantor.settings.max_gateways
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
    """Return the state of one budget.

    `over` is the outstanding amount in excess of a total that was reduced. It disappears as grants expire.
    """
    name = pool.budget.name
    demand = sum(incarnation.grants[name].demand for incarnation in current if name in incarnation.grants)
    return {
        "whole": pool.budget.total,
        "reserve": pool.budget.reserve,
        "divided": pool.divisible,
        "granted": round(pool.outstanding_amount, AMOUNT_DIGITS),
        "over": round(max(0.0, pool.outstanding_amount - pool.divisible), AMOUNT_DIGITS),
        "needed": round(demand, AMOUNT_DIGITS),
        "short": pool.is_short,
    }


def find_shared_indexes(incarnations: list[GatewayIncarnation]) -> list[list[str]]:
    """Return, for each share of the reserve that several gateways use, the sorted names of these gateways."""
    names_by_index: dict[int, set[str]] = {}
    for incarnation in incarnations:
        if incarnation.uses_reserve:
            names_by_index.setdefault(incarnation.index, set()).add(incarnation.name)
    return [sorted(names) for _, names in sorted(names_by_index.items()) if len(names) > 1]
