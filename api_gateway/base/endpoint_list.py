"""Endpoint lists in discovery's form, and the addresses in them.

What cannot be read raises ValueError: the answer to an operator's change of the configuration names an error
by its class, so the class stays.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any, NamedTuple, TypeVar

from api_gateway import interface as api

ENDPOINT_STATES = {"up": "up", "draining": "leaving", "removed": "down"}
"""State of an endpoint in the decision module, by that in a list."""
PORT_LIMIT = 65536
MS_PER_S = 1000

Address = tuple[str, int]

T = TypeVar("T")

log = logging.getLogger(__name__)


class AddressedEndpoint(NamedTuple):
    """An endpoint and where it listens, if a list has said so."""

    endpoint: api.Endpoint
    address: Address | None


def read_address(text: str) -> Address:
    """Read HOST:PORT. Raises ValueError."""
    host, colon, port = text.rpartition(":")
    if not (host and colon and port.isascii() and port.isdecimal() and int(port) < PORT_LIMIT):
        raise ValueError(f"{text!r} is not HOST:PORT")
    return host.strip("[]"), int(port)


def format_address(address: Address) -> str:
    """Return an address as read_address() reads it."""
    host, port = address
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


@dataclass(frozen=True, slots=True)
class EndpointListing:
    """An endpoint list as the decision module takes it, and where each endpoint listens."""

    endpoint_list: api.EndpointList
    addresses: dict[str, Address]  # by endpoint id
    epoch: str = ""  # the incarnation of the service that sent it, where it names one
    is_subset: bool = False  # whether it is the subset that was requested


def read_list(document: dict[str, Any], mode: str | None = None) -> EndpointListing:
    """Read a list in discovery's form.

    An entry that cannot be read costs that entry of a full list, where an endpoint that is not named gets
    nothing. Of changes it costs all of them: from their version on that change would never come again. Of an
    endpoint that is named twice the last entry counts, as the change that came last.

    Args:
        document: The list, as JSON.
        mode: Of the result; None: as the list says.

    Raises:
        ValueError: It is none.
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
    """Return a list with these endpoints in place of its own."""
    entries = list(entries)
    return replace(
        listing,
        endpoint_list=replace(listing.endpoint_list, endpoints=tuple(entry.endpoint for entry in entries)),
        addresses={entry.endpoint.id: entry.address for entry in entries if entry.address is not None},
    )


def read_list_header(document: dict[str, Any], mode: str | None = None) -> EndpointListing:
    """Read what a list says beside its endpoints.

    Args:
        document: The list, as JSON, or what has been read of it so far.
        mode: Of the result; None: as the list says.

    Raises:
        ValueError: It is none.
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
        """Initialise without any."""
        self.count = 0
        self.last_error = ""

    def read(self, entry: Any) -> AddressedEndpoint | None:
        """Read an entry, which may be JSON of any shape; None: it is counted here."""
        try:
            return read_entry(entry)
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as err:
            self.count += 1
            self.last_error = f"{type(err).__name__} {err} in {str(entry)[:200]}"
            return None

    def check(self, readable_count: int, mode: str) -> None:
        """Log how many entries could not be read.

        Args:
            readable_count: Entries that could be read.
            mode: Of the list.

        Raises:
            ValueError: They cost the complete list.
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
    """Return a value of this type. Raises TypeError for another."""
    if not isinstance(value, kind):
        raise TypeError(f"{value!r:.80} is no {kind.__name__}")
    return value


def read_number(value: Any) -> float:
    """Return a number from 0 on: neither a text, nor true, nor NaN or Infinity, which Python reads too."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < math.inf:
        raise ValueError(f"{value!r:.80} is no number from 0")
    return float(value)


def read_integer(value: Any) -> int:
    """Return an integer from 0 on, which may be written as 1.0. Raises ValueError."""
    if not read_number(value).is_integer():
        raise ValueError(f"{value!r:.80} is not whole")
    return int(value)
