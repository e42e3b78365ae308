"""Limits on new client connections, parsed from the key `edge` of the configuration."""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass
from typing import Any

Network = ipaddress.IPv4Network | ipaddress.IPv6Network


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Limits on new connections; field names are the keys of the object `edge`, and 0 means no limit."""

    # Open connections per source.
    per_source: int = 0
    # New connections per second and source. Bursts may be as large as this number, and at least 1.
    new_per_source: float = 0.0
    # New connections per second over all sources.
    new: float = 0.0
    # Prefix lengths, in bits, by which addresses are grouped into sources.
    prefix4: int = 32
    prefix6: int = 64
    # Networks of proxies that forward many clients; limits per source do not apply to them.
    fronts: tuple[Network, ...] = ()
    # Concurrent connects to one endpoint, shared by the attempts that wait; 0: no limit on connects at all.
    connects: int = 0
    # Concurrent connects to all endpoints; applies only together with `connects`.
    connects_all: int = 0
    # Whether commands are scheduled by fair queueing, see fair_queueing.
    turns: bool = True
    # Weights in fair queueing; the first network that contains the address applies, the default is 1.
    weights: tuple[tuple[Network, float], ...] = ()
    # Whether a client that shuts its sending side still gets its replies; if not, it counts as disconnected.
    half_closed: bool = False
    # Seconds without a response after which a peer's machine counts as unreachable; 0: never.
    vanished: float = 60.0


NUMBER_TYPES: dict[str, Any] = {  # used with isinstance, which also accepts unions
    "per_source": int,
    "new_per_source": int | float,
    "new": int | float,
    "prefix4": int,
    "prefix6": int,
    "vanished": int | float,
    "connects": int,
    "connects_all": int,
}
BOOLEAN_KEYS = ("turns", "half_closed")
NETWORK_KEYS = ("fronts", "weights")
UPPER_BOUNDS = {"prefix4": 32, "prefix6": 128, "vanished": 3600}
DEFAULT_UPPER_BOUND = 1e6


def parse_admission_settings(raw: Any) -> AdmissionSettings:
    """Parse the value of the key `edge`, which may be any JSON.

    Raises:
        ValueError: If it is malformed; the message names the key, its value and what is allowed.
    """
    if not isinstance(raw, dict):
        raise ValueError(f"edge is {raw!r}, not an object")
    for name, value in raw.items():
        if name not in NETWORK_KEYS:
            check_scalar(name, value)
    if raw.get("half_closed") and not raw.get("turns", True):
        raise ValueError("edge.half_closed is true, which needs turns")
    fronts = parse_fronts(raw.get("fronts", []))
    weights = parse_weights(raw.get("weights", {}))
    return AdmissionSettings(**{**raw, "fronts": fronts, "weights": weights})


def check_scalar(name: str, value: Any) -> None:
    """Validate the number or boolean of a key; raises ValueError."""
    if name in BOOLEAN_KEYS:
        if not isinstance(value, bool):
            raise ValueError(f"edge.{name} is {value!r}, not true or false")
        return
    if name not in NUMBER_TYPES:
        raise ValueError(f"edge.{name}: no such key")
    upper_bound = UPPER_BOUNDS.get(name, DEFAULT_UPPER_BOUND)
    if isinstance(value, bool) or not isinstance(value, NUMBER_TYPES[name]) or not 0 <= value <= upper_bound:
        raise ValueError(f"edge.{name} is {value!r}, not a number from 0 to {upper_bound:.0f}")


def parse_fronts(raw: Any) -> tuple[Network, ...]:
    """Parse `fronts`, a list of networks; raises ValueError."""
    if not isinstance(raw, list) or not all(isinstance(text, str) for text in raw):
        raise ValueError(f"edge.fronts is {raw!r}, not a list of networks such as 10.0.0.0/8")
    try:
        return tuple(ipaddress.ip_network(text) for text in raw)
    except ValueError as err:
        raise ValueError(f"edge.fronts: {err}") from err


def parse_weights(raw: Any) -> tuple[tuple[Network, float], ...]:
    """Parse `weights`, an object that maps networks to weights, in its order; raises ValueError."""
    if not isinstance(raw, dict):
        raise ValueError(f"edge.weights is {raw!r}, not an object such as {{'10.0.0.0/8': 4}}")
    weights = []
    for text, weight in raw.items():
        if isinstance(weight, bool) or not isinstance(weight, int | float) or not 0.1 <= weight <= 100:
            raise ValueError(f"edge.weights.{text} is {weight!r}, not a number from 0.1 to 100")
        try:
            weights.append((ipaddress.ip_network(text), float(weight)))
        except ValueError as err:
            raise ValueError(f"edge.weights: {err}") from err
    return tuple(weights)
