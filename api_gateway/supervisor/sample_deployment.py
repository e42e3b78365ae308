"""The classes and plans of the deployments that the demo and the experiments start."""

from __future__ import annotations

from api_gateway.emulators.site import Json, S

ZONES = ("a", "b")

# Times in nanoseconds, as in a site's configuration.
CLASSES: list[Json] = [
    {"name": "reading", "slo": 6 * S // 5, "deadline": 3 * S, "effect": "pure", "gain": 1.0},
    {"name": "statement", "slo": 2 * S, "deadline": 4 * S, "effect": "pure", "gain": 2.0},
    {
        "name": "settlement",
        "slo": 2 * S,
        "deadline": 5 * S,
        "effect": "token",
        "gain": 5.0,
        "dedup_scope": "all",
        "memory_span": 15 * S,
    },
]
PLANS: list[Json] = [
    {"name": "village", "rate": 2.0, "most_at_once": 8.0, "value_factor": 0.9, "over_cost": 0.5},
    {"name": "cooperative", "rate": 5.0, "most_at_once": 20.0, "value_factor": 1.3, "over_cost": 1.2},
    {"name": "utility", "rate": 20.0, "most_at_once": 60.0, "value_factor": 1.6, "over_cost": 0.8},
]
