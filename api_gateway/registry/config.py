"""What the list service is told: one JSON file, named by REGISTRY_CONFIG."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from api_gateway.base.endpoint_list import Address, read_address
from api_gateway.base.errors import ConfigError, in_one_line
from api_gateway.registry.core import STATES, Host
from api_gateway.registry.subsets import MOST_VIEWS

KEYS = {"listen", "hosts", "watchers", "learn_ms", "membership", "views"}
LEARN = 10.0  # s after a start in which hosts come back, where there is no file that names them
WATCHERS = MOST_VIEWS  # watches that wait at once, where the file does not say: one for each view


@dataclass(frozen=True, slots=True)
class Config:
    listen: Address
    hosts: Path | None  # the operator's file
    watchers: int
    learn: float  # s after a start for which no list is told: it would lack the hosts that are not back yet
    membership: Any = None  # a membership.service.Membership: where this process takes part; None: nowhere
    views: int = MOST_VIEWS  # live at once


def read_config(env: Mapping[str, str] = os.environ) -> Config:
    path = env.get("REGISTRY_CONFIG")
    if not path:
        raise ConfigError("REGISTRY_CONFIG is not set")
    with in_one_line(path), open(path, encoding="utf-8") as file:
        told = json.load(file)
        if set(told) - KEYS:
            raise ValueError(f"no such key: {', '.join(sorted(set(told) - KEYS))}")
        watchers, views = told.get("watchers", WATCHERS), told.get("views", MOST_VIEWS)
        for key, value in (("watchers", watchers), ("views", views)):
            if type(value) is not int or value < 1:
                raise ValueError(f"{key} is {value!r}, not a whole number of 1 or more")
        hosts = told.get("hosts")
        learn = told.get("learn_ms", 0 if hosts else LEARN * 1000)
        if type(learn) not in (int, float) or not 0 <= learn <= 3_600_000:
            raise ValueError(f"learn_ms is {learn!r}, not a number from 0 to 3600000")
        return Config(
            read_address(told["listen"]),
            Path(hosts) if hosts else None,
            watchers,
            learn / 1000,
            membership_of(told["membership"]) if "membership" in told else None,
            views,
        )


def membership_of(told: Any) -> Any:
    """Imported only where the key is."""
    from api_gateway.membership.service import read_membership

    return read_membership(told)


def read_hosts(path: Path) -> list[Host]:
    """The operator's file, {"servers": [...]} in the protocol's form, as a whole. Raises ConfigError."""
    with in_one_line(str(path)), open(path, encoding="utf-8") as file:
        hosts = [read_host(entry) for entry in json.load(file)["servers"]]
        if len({host.id for host in hosts}) < len(hosts):
            raise ValueError("two hosts have one id")
        return hosts


def read_host(told: Any, name: str | None = None) -> Host:
    """One entry in the protocol's form. Raises ValueError that says what is wrong with which key."""
    if not isinstance(told, dict):
        raise ValueError("an entry must be an object")
    entry = {"id": name, **told} if name else told
    for key, (kind, fits, allowed) in ENTRY.items():
        if key in entry and (
            not isinstance(entry[key], kind) or isinstance(entry[key], bool) or not fits(entry[key])
        ):
            raise ValueError(f"{key} is {str(entry[key])[:80]!r}, not {allowed}")
    if name is not None and entry["id"] != name:
        raise ValueError(f"id is {entry['id']!r}, and the call names {name!r}")
    missing = [key for key in ("id", "addr") if key not in entry]
    if missing:
        raise ValueError(f"{missing[0]} is missing")
    read_address(entry["addr"])
    return Host(**{key: entry[key] for key in ENTRY if key in entry})


def is_word(text: str) -> bool:
    return 0 < len(text) <= 128 and text.isprintable() and not set(text) & set(" /?#")


ENTRY: dict[str, tuple[Any, Any, str]] = {
    "id": (str, is_word, "a word of 1 to 128 characters"),
    "addr": (str, is_word, "HOST:PORT"),
    "zone": (str, lambda v: len(v) <= 128, "a text of at most 128 characters"),
    "kind": (str, lambda v: len(v) <= 128, "a text of at most 128 characters"),
    "cell": (int, lambda v: abs(v) < 2**31, "a whole number"),
    "state": (str, lambda v: v in STATES[:2], "up or draining"),
    "weight": (int | float, lambda v: 0 < v < 1e9, "a number above 0"),
    "started_ms": (int, lambda v: 0 <= v < 2**53, "milliseconds of Unix time"),
}
