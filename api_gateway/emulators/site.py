"""A configuration for a gateway among stand-ins, in the platform's form."""

from __future__ import annotations

from typing import Any

S = 1_000_000_000  # ns: times of the settings are told in them
Json = dict[str, Any]

BASE: Json = {
    "group_size": 1,
    "index": 0,
    "locality": "a",
    "registry_mode": "pushed",
    "limits": {
        "cancel": True,
        "second_copies": False,
        "probes": True,
        "max_attempts": 3,
        "retry_after": True,
        "max_retry_after": 2 * S,
        "connect_timeout": S // 4,
        "idle_close": 30 * S,
        "max_open": 20000,
    },
    "rules": {
        "answer_slack": 8_000_000,
        "drain_grace": S,
        "start_capacity": 0.2,
        "cold": S,
        "fall_multiple": 2.0,
        "tip_after": S,
    },
    "prices": {"cross_zone": 0.005},
    "reporting": {"names": ["active"], "via": "answers"},
    "specifics": {
        "shared_counter": True,
        "counter_price": 0.01,
        "counter_timeout": 80_000_000,
        "units_top": 1,
    },
    "weights": "none",
}


def entry(name: str, place: str, state: str = "up", zone: str = "a") -> Json:
    """A host as discovery tells it; `place` is HOST:PORT."""
    return {
        "id": name,
        "addr": place,
        "zone": zone,
        "kind": "k",
        "cell": 0,
        "state": state,
        "weight": 1.0,
        "started_ms": 0,
    }


def config(
    listed: list[Json],
    discovery: str,
    counter: str,
    settings: Json,
    name: str = "n0",
    listen: str = "127.0.0.1:0",
) -> Json:
    return {
        "name": name,
        "listen": listen,
        "discovery": discovery,
        "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "counter": counter,
        "known": {"version": 1, "full": True, "servers": listed},
        "settings": settings,
    }
