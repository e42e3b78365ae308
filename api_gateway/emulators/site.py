"""The configuration of a gateway that uses stand-ins, in the format that the gateway reads."""

from __future__ import annotations

from typing import Any

NS_PER_S = 1_000_000_000  # settings give times in nanoseconds
Json = dict[str, Any]

BASE_SETTINGS: Json = {
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
        "max_retry_after": 2 * NS_PER_S,
        "connect_timeout": NS_PER_S // 4,
        "idle_close": 30 * NS_PER_S,
        "max_open": 20000,
    },
    "rules": {
        "answer_slack": 8_000_000,
        "drain_grace": NS_PER_S,
        "start_capacity": 0.2,
        "cold": NS_PER_S,
        "fall_multiple": 2.0,
        "tip_after": NS_PER_S,
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


def entry(name: str, address: str, state: str = "up", zone: str = "a") -> Json:
    """Return a host's entry of the endpoint list, in discovery's format; `address` is HOST:PORT."""
    return {
        "id": name,
        "addr": address,
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
    """Return a configuration.

    Args:
        listed: Entries of the endpoint list that is known at the start.
        discovery: HOST:PORT of discovery.
        counter: HOST:PORT of the counter.
        settings: The settings of the gateway's policy.
        name: The gateway's name.
        listen: HOST:PORT at which clients connect.
    """
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
