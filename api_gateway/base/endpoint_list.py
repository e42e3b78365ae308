"""Lists of hosts in discovery's form, and the addresses in them."""

from __future__ import annotations

import codecs
import json
import logging
import math
import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace
from typing import Any, TypeVar

from api_gateway import interface as api

STATE = {"up": "up", "draining": "leaving", "removed": "down"}

WINDOW = 64 * 1024  # characters of a long list that are decoded at once
MOST_VALUE = 256 * 1024  # characters that one entry, or a value beside the entries, may take
ENDS = tuple(" \t\r\n:,]}")  # what may follow a value
SPACE = re.compile(r"[ \t\r\n]*")

Address = tuple[str, int]

T = TypeVar("T")

log = logging.getLogger(__name__)


def read_address(text: str) -> Address:
    host, colon, port = text.rpartition(":")
    if not (host and colon and port.isascii() and port.isdecimal() and int(port) < 65536):
        raise ValueError(f"{text!r} is not HOST:PORT")
    return host.strip("[]"), int(port)


def write_address(address: Address) -> str:
    host, port = address
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


@dataclass(frozen=True, slots=True)
class Listing:
    """A list as the decision module takes it, and where each host listens."""

    hosts: api.EndpointList
    addresses: dict[str, Address]
    epoch: str = ""  # the life of the service that told it, where it names one
    view: bool = False  # whether it is the part of the hosts that was asked for
    shelf: Any = None  # a net.views.Shelf: all hosts, where the gateway takes its view from them by itself


def read_list(told: dict[str, Any], mode: str | None = None) -> Listing:
    """Raises ValueError if `told` is not a list of hosts in discovery's form. An entry that cannot be read
    costs that entry of a whole list, where a host that is not named gets nothing; of changes it costs all of
    them: from their version on that change would never be told again. Of a host that is named twice the last
    entry counts, as the change that came last."""
    listing, entries, odd = read_beside(told, mode), dict[str, tuple[api.Endpoint, Address | None]](), Odd()
    try:
        servers = read(told["servers"], list)
    except (KeyError, TypeError) as err:
        raise ValueError(f"not a list of hosts: {type(err).__name__} {err}") from err
    for entry in servers:
        if (found := odd.read(entry)) is not None:
            entries[found[0].id] = found
    odd.weigh(len(entries), listing.hosts.mode)
    return with_hosts(listing, entries.values())


def with_hosts(listing: Listing, entries: Iterable[tuple[api.Endpoint, Address | None]]) -> Listing:
    entries = list(entries)
    return replace(
        listing,
        hosts=replace(listing.hosts, endpoints=tuple(host for host, _ in entries)),
        addresses={host.id: address for host, address in entries if address is not None},
    )


def read_beside(told: dict[str, Any], mode: str | None = None) -> Listing:
    """What a list says beside its hosts."""
    try:
        kind = mode or ("full" if read(told["full"], bool) else "delta")
        version, epoch = read_whole(told["version"]), read(told.get("epoch", ""), str)
        view = read(told.get("view", False), bool)
        total = read_whole(told.get("total", 0)) if view else 0
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as err:
        raise ValueError(f"not a list of hosts: {type(err).__name__} {err}") from err
    return Listing(api.EndpointList(kind, version, (), total), {}, epoch, view)


class Odd:
    """The entries of one list that cannot be read."""

    def __init__(self) -> None:
        self.count, self.last = 0, ""

    def read(self, entry: Any) -> tuple[api.Endpoint, Address | None] | None:
        try:
            return read_entry(entry)
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as err:
            self.count, self.last = self.count + 1, f"{type(err).__name__} {err} in {str(entry)[:200]}"
            return None

    def weigh(self, read: int, mode: str) -> None:
        """What they cost, beside so many that were read. Raises ValueError where that is all of them."""
        if self.count and (not read or mode == "delta"):
            raise ValueError(f"not a list of hosts: {self.last}")
        if self.count:
            log.warning(
                "list of hosts: %d of %d entries cannot be read: %s", self.count, read + self.count, self.last
            )


def read_entry(told: dict[str, Any]) -> tuple[api.Endpoint, Address | None]:
    started, place = told.get("started_ms"), told.get("addr")
    host = api.Endpoint(
        id=read(told["id"], str),
        zone=read(told.get("zone", ""), str),
        cell=read_whole(told.get("cell", 0)),
        weight=read_number(told.get("weight", 1.0)),
        kind=read(told.get("kind", ""), str),
        state=STATE[told["state"]],
        started_at=0.0 if started is None else read_number(started) / 1000,
    )
    if not host.id:
        raise ValueError("an empty id")
    return host, None if place in (None, "") else read_address(place)


def read(value: Any, kind: type[T]) -> T:
    if not isinstance(value, kind):
        raise TypeError(f"{value!r:.80} is no {kind.__name__}")
    return value


def read_number(value: Any) -> float:
    """A number from 0: neither a word, nor true, nor NaN or Infinity, which Python reads too."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < math.inf:
        raise ValueError(f"{value!r:.80} is no number from 0")
    return float(value)


def read_whole(value: Any) -> int:
    if not read_number(value).is_integer():
        raise ValueError(f"{value!r:.80} is not whole")
    return int(value)


class Entries:
    """The entries of a long list one after another, so that no more than one of them is held as objects.
    `told` has what stands beside them, as far as it has been read: all of it after the last entry. Raises
    ValueError where the text is no list of hosts."""

    def __init__(self, body: bytes | bytearray) -> None:
        self.body, self.at, self.told = body, 0, dict[str, Any]()
        self.decoder, self.scan = codecs.getincrementaldecoder("utf-8")(), json.JSONDecoder().raw_decode
        self.text, self.place = "", 0

    def more(self) -> bool:
        """Whether there was more text to decode."""
        if self.at >= len(self.body):
            return False
        piece = self.body[self.at : self.at + WINDOW]
        self.at += len(piece)
        decoded = self.decoder.decode(piece, final=self.at >= len(self.body))
        self.text, self.place = self.text[self.place :] + decoded, 0
        return True

    def gathers(self) -> bool:
        """Whether there was more text, for a value that is not whole."""
        return len(self.text) - self.place <= MOST_VALUE and self.more()

    def peek(self) -> str:
        """The next character that is no space; nothing at the end."""
        while True:
            self.place = SPACE.match(self.text, self.place).end()  # type: ignore[union-attr]
            if self.place < len(self.text):
                return self.text[self.place]
            if not self.more():
                return ""

    def skip(self, allowed: str) -> str:
        if not (char := self.peek()) or char not in allowed:
            raise ValueError(f"not a list of hosts: {char or 'the end'!r} where one of {allowed!r} was due")
        self.place += 1
        return char

    def value(self) -> Any:
        self.peek()
        while True:
            try:
                value, end = self.scan(self.text, self.place)
                if self.text[end : end + 1] in ENDS or not self.gathers():  # else a number may go on
                    self.place = end
                    return value
            except json.JSONDecodeError:
                if not self.gathers():
                    raise
            except RecursionError as err:
                raise ValueError("not a list of hosts: nested without end") from err

    def __iter__(self) -> Iterator[Any]:
        self.skip("{")
        seen, done = False, self.peek() == "}"
        while not done:
            name = self.value()
            if not isinstance(name, str):
                raise ValueError("not a list of hosts: a name that is none")
            self.skip(":")
            if name != "servers":
                self.told[name] = self.value()
            elif seen or self.peek() != "[":
                raise ValueError("not a list of hosts: servers is no list, or stands twice")
            else:
                seen = True
                yield from self.servers()
            done = self.skip(",}") == "}"
        if not seen or self.peek():
            raise ValueError("not a list of hosts: no servers in it, or more behind it")

    def servers(self) -> Iterator[Any]:
        self.skip("[")
        done = self.peek() == "]"
        if done:
            self.skip("]")
        while not done:
            yield self.value()
            done = self.skip(",]") == "]"
