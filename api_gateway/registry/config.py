"""Read the list service's configuration, a JSON file named by REGISTRY_CONFIG, and the hosts file."""

from __future__ import annotations

import json
import os
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

from api_gateway.base.endpoint_list import Address, read_address
from api_gateway.base.errors import ConfigError, config_errors_in_one_line
from api_gateway.registry.core import STATES, Host
from api_gateway.registry.errors import InvalidValueError
from api_gateway.registry.subsets import MAX_VIEWS

if TYPE_CHECKING:
    from api_gateway.membership.service import MembershipConfig

CONFIG_KEYS = {"listen", "hosts", "watchers", "learn_ms", "membership", "views"}
DEFAULT_LEARNING_S = 10.0  # time for hosts to register again after a start, if there is no hosts file
LEARNING_LIMIT_MS = 3_600_000  # upper limit of `learn_ms`: one hour
DEFAULT_MAX_WATCHES = MAX_VIEWS  # one waiting watch for each view
NAME_LENGTH_LIMIT = 128  # characters of an id, an address, a zone or a kind
CELL_BOUND = 2**31  # exclusive, for the absolute value of a cell
WEIGHT_BOUND = 1e9  # exclusive
TIME_BOUND_MS = 2**53  # exclusive; every JSON parser reads smaller integers exactly


@dataclass(frozen=True, slots=True)
class RegistryConfig:
    """Settings of the list service.

    Attributes:
        listen: Address that the service listens on.
        hosts_path: The operator's hosts file, or None.
        max_watches: Maximum number of waiting watches.
        learning_duration_s: Seconds after a start without a list, until the hosts have registered again.
        membership: The cluster that this process joins; None if it joins none.
        max_views: Maximum number of live views.
    """

    listen: Address
    hosts_path: Path | None
    max_watches: int
    learning_duration_s: float
    membership: MembershipConfig | None = None
    max_views: int = MAX_VIEWS


def read_config(env: Mapping[str, str] = os.environ) -> RegistryConfig:
    """Read the configuration file whose path is in REGISTRY_CONFIG.

    Raises:
        ConfigError: It is missing or invalid; the message gives the reason in one line.
    """
    path = env.get("REGISTRY_CONFIG")
    if not path:
        raise ConfigError("REGISTRY_CONFIG is not set")
    with config_errors_in_one_line(path), open(path, encoding="utf-8") as file:
        return _parse_config(json.load(file))


def _parse_config(document: dict[str, Any]) -> RegistryConfig:
    unknown = set(document) - CONFIG_KEYS
    if unknown:
        names = ", ".join(sorted(unknown))
        raise InvalidValueError(names, f"no such key: {names}")
    max_watches = document.get("watchers", DEFAULT_MAX_WATCHES)
    max_views = document.get("views", MAX_VIEWS)
    _check_count("watchers", max_watches)
    _check_count("views", max_views)
    hosts = document.get("hosts")
    learn_ms = document.get("learn_ms", 0 if hosts else DEFAULT_LEARNING_S * 1000)
    if type(learn_ms) not in (int, float) or not 0 <= learn_ms <= LEARNING_LIMIT_MS:
        text = f"learn_ms is {learn_ms!r}, not a number from 0 to {LEARNING_LIMIT_MS}"
        raise InvalidValueError("learn_ms", text)
    return RegistryConfig(
        read_address(document["listen"]),
        Path(hosts) if hosts else None,
        max_watches,
        learn_ms / 1000,
        _parse_membership(document["membership"]) if "membership" in document else None,
        max_views,
    )


def _check_count(key: str, value: object) -> None:
    if type(value) is not int or value < 1:
        raise InvalidValueError(key, f"{key} is {value!r}, not a whole number of 1 or more")


def _parse_membership(value: Any) -> MembershipConfig:
    """Parse the key `membership`; the package is imported only if the key is set."""
    from api_gateway.membership.service import read_membership_config

    return read_membership_config(value)


def read_hosts(path: Path) -> list[Host]:
    """Read the operator's hosts file, {"servers": [...]} with entries of the protocol.

    One invalid entry rejects the complete file.

    Raises:
        ConfigError: It is missing or has an invalid entry; the message gives the reason in one line.
    """
    with config_errors_in_one_line(str(path)), open(path, encoding="utf-8") as file:
        hosts = [read_host(entry) for entry in json.load(file)["servers"]]
        if len({host.id for host in hosts}) < len(hosts):
            raise InvalidValueError("id", "two hosts have one id")
        return hosts


def read_host(value: Any, expected_id: str | None = None) -> Host:
    """Validate an entry of the protocol and return it as a host.

    Args:
        value: The entry as parsed from JSON.
        expected_id: The id in the path of a call; the entry may then omit its own.

    Raises:
        ValueError: The entry is invalid; the message names the key and the fault.
    """
    if not isinstance(value, dict):
        raise InvalidValueError("", "an entry must be an object")
    entry = {"id": expected_id, **value} if expected_id else value
    for key, rule in ENTRY_RULES.items():
        if key in entry and not rule.is_met_by(entry[key]):
            raise InvalidValueError(key, f"{key} is {str(entry[key])[:80]!r}, not {rule.expected}")
    if expected_id is not None and entry["id"] != expected_id:
        raise InvalidValueError("id", f"id is {entry['id']!r}, and the call names {expected_id!r}")
    for key in ("id", "addr"):
        if key not in entry:
            raise InvalidValueError(key, f"{key} is missing")
    read_address(entry["addr"])
    return Host(**{key: entry[key] for key in ENTRY_RULES if key in entry})


@dataclass(frozen=True, slots=True)
class EntryRule:
    """Rule for the value of one key of an entry.

    Attributes:
        types: Allowed types; a boolean does not count as a number.
        is_valid: Further check for a value of these types.
        expected: Description of the allowed values, for error messages.
    """

    types: tuple[type, ...]
    is_valid: Callable[[Any], bool]
    expected: str

    def is_met_by(self, value: object) -> bool:
        """Return whether a value is allowed."""
        return isinstance(value, self.types) and not isinstance(value, bool) and self.is_valid(value)


def is_valid_name(text: str) -> bool:
    """Return whether a text can be an id: printable, without spaces and URL delimiters."""
    return 0 < len(text) <= NAME_LENGTH_LIMIT and text.isprintable() and not set(text) & set(" /?#")


def _is_short(text: str) -> bool:
    return len(text) <= NAME_LENGTH_LIMIT


ENTRY_RULES: dict[str, EntryRule] = {
    "id": EntryRule((str,), is_valid_name, "a word of 1 to 128 characters"),
    "addr": EntryRule((str,), is_valid_name, "HOST:PORT"),
    "zone": EntryRule((str,), _is_short, "a text of at most 128 characters"),
    "kind": EntryRule((str,), _is_short, "a text of at most 128 characters"),
    "cell": EntryRule((int,), lambda cell: abs(cell) < CELL_BOUND, "a whole number"),
    "state": EntryRule((str,), lambda state: state in STATES[:2], "up or draining"),
    "weight": EntryRule((int, float), lambda weight: 0 < weight < WEIGHT_BOUND, "a number above 0"),
    "started_ms": EntryRule((int,), lambda time: 0 <= time < TIME_BOUND_MS, "milliseconds of Unix time"),
}
