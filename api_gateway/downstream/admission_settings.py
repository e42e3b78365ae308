"""The limits on new connections of clients, as the key `edge` of the configuration gives them."""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass
from typing import Any

Network = ipaddress.IPv4Network | ipaddress.IPv6Network


@dataclass(frozen=True, slots=True)
class Edge:
    """The limits; 0: none."""

    per_source: int = 0  # connections that one source holds at once
    new_per_source: float = 0.0  # a second; as many may come at once, one at least
    new: float = 0.0  # a second, of all sources
    prefix4: int = 32  # bits of an address that make a source
    prefix6: int = 64
    fronts: tuple[Network, ...] = ()  # sources behind which many clients come: no limit by source for them
    connects: int = 0  # to one host at once, shared by the attempts that wait for one; none where it is 0
    connects_all: int = 0  # to all hosts at once, with connects
    turns: bool = True  # whether commands are taken in turns
    weights: tuple[tuple[Network, float], ...] = ()  # of sources in turns, the first that fits; else 1
    half_closed: bool = False  # whether one that ends its sending still gets its answers: else it has gone
    vanished: float = 60.0  # s without a sign of life after which a peer's machine is gone; 0: never


KEYS: dict[str, Any] = {
    "per_source": int,
    "new_per_source": int | float,
    "new": int | float,
    "prefix4": int,
    "prefix6": int,
    "vanished": int | float,
    "connects": int,
    "connects_all": int,
}
MOST = {"prefix4": 32, "prefix6": 128, "vanished": 3600}


def read_edge(told: Any) -> Edge:
    """Raises ValueError that names the key, its value and what is allowed."""
    if not isinstance(told, dict):
        raise ValueError(f"edge is {told!r}, not an object")
    for name, value in told.items():
        if name in ("fronts", "weights"):
            continue
        if name in ("turns", "half_closed"):
            if not isinstance(value, bool):
                raise ValueError(f"edge.{name} is {value!r}, not true or false")
            continue
        if name not in KEYS:
            raise ValueError(f"edge.{name}: no such key")
        most = MOST.get(name, 1e6)
        if isinstance(value, bool) or not isinstance(value, KEYS[name]) or not 0 <= value <= most:
            raise ValueError(f"edge.{name} is {value!r}, not a number from 0 to {most:.0f}")
    if told.get("half_closed") and not told.get("turns", True):
        raise ValueError("edge.half_closed is true, which needs turns")
    fronts = told.get("fronts", [])
    if not isinstance(fronts, list) or not all(isinstance(text, str) for text in fronts):
        raise ValueError(f"edge.fronts is {fronts!r}, not a list of networks such as 10.0.0.0/8")
    try:
        networks = tuple(ipaddress.ip_network(text) for text in fronts)
    except ValueError as err:
        raise ValueError(f"edge.fronts: {err}") from err
    return Edge(**{**told, "fronts": networks, "weights": read_weights(told.get("weights", {}))})


def read_weights(told: Any) -> tuple[tuple[Network, float], ...]:
    if not isinstance(told, dict):
        raise ValueError(f"edge.weights is {told!r}, not an object such as {{'10.0.0.0/8': 4}}")
    weights = []
    for text, weight in told.items():
        if isinstance(weight, bool) or not isinstance(weight, int | float) or not 0.1 <= weight <= 100:
            raise ValueError(f"edge.weights.{text} is {weight!r}, not a number from 0.1 to 100")
        try:
            weights.append((ipaddress.ip_network(text), float(weight)))
        except ValueError as err:
            raise ValueError(f"edge.weights: {err}") from err
    return tuple(weights)
