"""The zones, service classes and plans of the deployments that the demo and the experiments start."""

from __future__ import annotations

from api_gateway.emulators.site import NS_PER_S, Json

ZONES = ("a", "b")

# Times are in nanoseconds, as in the settings.
CLASSES: list[Json] = [
    {"name": "reading", "slo": 6 * NS_PER_S // 5, "deadline": 3 * NS_PER_S, "effect": "pure", "gain": 1.0},
    {"name": "statement", "slo": 2 * NS_PER_S, "deadline": 4 * NS_PER_S, "effect": "pure", "gain": 2.0},
    {
        "name": "settlement",
        "slo": 2 * NS_PER_S,
        "deadline": 5 * NS_PER_S,
        "effect": "token",
        "gain": 5.0,
        "dedup_scope": "all",
        "memory_span": 15 * NS_PER_S,
    },
]
PLANS: list[Json] = [
    {"name": "village", "rate": 2.0, "most_at_once": 8.0, "value_factor": 0.9, "over_cost": 0.5},
    {"name": "cooperative", "rate": 5.0, "most_at_once": 20.0, "value_factor": 1.3, "over_cost": 1.2},
    {"name": "utility", "rate": 20.0, "most_at_once": 60.0, "value_factor": 1.6, "over_cost": 0.8},
]
