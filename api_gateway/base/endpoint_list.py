"""Parses endpoint lists in the format of service discovery, and the addresses in them.

Invalid input raises ValueError. The class is part of the interface, because the answer to an operator's
configuration change names the class of the error.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any, NamedTuple, TypeVar

from api_gateway import interface as api

ENDPOINT_STATES = {"up": "up", "draining": "leaving", "removed": "down"}
"""States of the decision engine, by the state in an endpoint list."""
PORT_LIMIT = 65536
MS_PER_S = 1000

Address = tuple[str, int]

T = TypeVar("T")

log = logging.getLogger(__name__)


class AddressedEndpoint(NamedTuple):
    """An endpoint and the address at which it listens, None if the list has no address."""

    endpoint: api.Endpoint
    address: Address | None


def read_address(text: str) -> Address:
    """Read HOST:PORT. Raises ValueError."""
    host, colon, port = text.rpartition(":")
    if not (host and colon and port.isascii() and port.isdecimal() and int(port) < PORT_LIMIT):
        raise ValueError(f"{text!r} is not HOST:PORT")
    return host.strip("[]"), int(port)


def format_address(address: Address) -> str:
    """Return an address in the format that read_address() reads."""
    host, port = address
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


@dataclass(frozen=True, slots=True)
class EndpointListing:
    """An endpoint list for the decision engine, and the addresses of its endpoints."""

    endpoint_list: api.EndpointList
    addresses: dict[str, Address]  # by endpoint id
    epoch: str = ""  # incarnation of the service that sent the list, if it names one
    is_subset: bool = False  # whether the list is the requested subset


def read_list(document: dict[str, Any], mode: str | None = None) -> EndpointListing:
    """Read a list in the format of service discovery.

    An unreadable entry of a full list is skipped, and its endpoint gets no requests. An unreadable entry of a
    list of changes invalidates the whole list, because the service would not send that change again once the
    gateway has adopted the version of the list. If an endpoint occurs twice, the last entry wins, since it is
    the latest change.

    Args:
        document: The list, as JSON.
        mode: Mode of the result; None: the mode that the list states.

    Raises:
        ValueError: The document is not an endpoint list.
    """
    listing = read_list_header(document, mode)
    unreadable = UnreadableEntries()
    try:
        servers = require_type(document["servers"], list)
    except (KeyError, TypeError) as err:
        raise ValueError(f"not a list of hosts: {type(err).__name__} {err}") from err
    entries: dict[str, AddressedEndpoint] = {}
    for entry in servers:
        if (found := unreadable.read(entry)) is not None:
            entries[found.endpoint.id] = found
    unreadable.check(len(entries), listing.endpoint_list.mode)
    return with_endpoints(listing, entries.values())


def with_endpoints(listing: EndpointListing, entries: Iterable[AddressedEndpoint]) -> EndpointListing:
    """Return a copy of a list whose endpoints are replaced by `entries`."""
    entries = list(entries)
    return replace(
        listing,
        endpoint_list=replace(listing.endpoint_list, endpoints=tuple(entry.endpoint for entry in entries)),
        addresses={entry.endpoint.id: entry.address for entry in entries if entry.address is not None},
    )


def read_list_header(document: dict[str, Any], mode: str | None = None) -> EndpointListing:
    """Read the fields of a list other than its endpoints.

    Args:
        document: The list, as JSON, or the fields that have been read so far.
        mode: Mode of the result; None: the mode that the list states.

    Raises:
        ValueError: The document is not an endpoint list.
    """
    try:
        list_mode = mode or ("full" if require_type(document["full"], bool) else "delta")
        version = read_integer(document["version"])
        epoch = require_type(document.get("epoch", ""), str)
        is_subset = require_type(document.get("view", False), bool)
        total = read_integer(document.get("total", 0)) if is_subset else 0
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as err:
        raise ValueError(f"not a list of hosts: {type(err).__name__} {err}") from err
    return EndpointListing(api.EndpointList(list_mode, version, (), total), {}, epoch, is_subset)


class UnreadableEntries:
    """Counts the entries of one list that cannot be read."""

    def __init__(self) -> None:
        """Initialise with no unreadable entries."""
        self.count = 0
        self.last_error = ""

    def read(self, entry: Any) -> AddressedEndpoint | None:
        """Read an entry, which may be any JSON value; count it and return None if it is unreadable."""
        try:
            return read_entry(entry)
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as err:
            self.count += 1
            self.last_error = f"{type(err).__name__} {err} in {str(entry)[:200]}"
            return None

    def check(self, readable_count: int, mode: str) -> None:
        """Log how many entries could not be read, or reject the list.

        Args:
            readable_count: Number of entries that could be read.
            mode: Mode of the list.

        Raises:
            ValueError: No entry could be read, or the list consists of changes and one is unreadable.
        """
        if self.count and (not readable_count or mode == "delta"):
            raise ValueError(f"not a list of hosts: {self.last_error}")
        if self.count:
            log.warning(
                "list of hosts: %d of %d entries cannot be read: %s",
                self.count,
                readable_count + self.count,
                self.last_error,
            )


def read_entry(document: dict[str, Any]) -> AddressedEndpoint:
    """Read an entry. Raises KeyError, TypeError, ValueError, AttributeError or OverflowError."""
    started_ms = document.get("started_ms")
    address = document.get("addr")
    endpoint = api.Endpoint(
        id=require_type(document["id"], str),
        zone=require_type(document.get("zone", ""), str),
        cell=read_integer(document.get("cell", 0)),
        weight=read_number(document.get("weight", 1.0)),
        kind=require_type(document.get("kind", ""), str),
        state=ENDPOINT_STATES[document["state"]],
        started_at=0.0 if started_ms is None else read_number(started_ms) / MS_PER_S,
    )
    if not endpoint.id:
        raise ValueError("an empty id")
    return AddressedEndpoint(endpoint, None if address in (None, "") else read_address(address))


def require_type(value: Any, kind: type[T]) -> T:
    """Return the value if it is of type `kind`. Raises TypeError for any other type."""
    if not isinstance(value, kind):
        raise TypeError(f"{value!r:.80} is no {kind.__name__}")
    return value


def read_number(value: Any) -> float:
    """Return a number of at least 0. Raises ValueError, also for booleans, NaN and Infinity.

    Python's JSON reader accepts NaN and Infinity, too.
    """
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < math.inf:
        raise ValueError(f"{value!r:.80} is no number from 0")
    return float(value)


def read_integer(value: Any) -> int:
    """Return an integer of at least 0, which may be written as 1.0. Raises ValueError."""
    if not read_number(value).is_integer():
        raise ValueError(f"{value!r:.80} is not whole")
    return int(value)
