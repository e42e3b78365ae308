"""Which new connections of clients are taken: limits by source and by rate, a pause where descriptors end.

Only with the key `edge`. Gate decides, with no I/O and no clock; Acceptor takes connections in bounded lots,
so that a rush of handshakes leaves turns to the requests in work.
"""

from __future__ import annotations

import asyncio
import errno
import ipaddress
import logging
import socket
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from functools import lru_cache
from time import monotonic
from typing import Any

BATCH = 16  # connections that are taken in one turn of the loop
PAUSE = 0.1  # s without accepting where descriptors or memory for sockets have run out
MOST_SOURCES = 4096  # that are remembered; past that the ones that rest longest are forgotten
EMPTY = {errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS}
REFUSED = b"-ERR too many connections\r\n"

log = logging.getLogger(__name__)

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


KEYS: dict[str, Any] = {"per_source": int, "new_per_source": int | float, "new": int | float, "prefix4": int,
                        "prefix6": int}
BITS = {"prefix4": 32, "prefix6": 128}


def read_edge(told: Any) -> Edge:
    """Raises ValueError that names the key, its value and what is allowed."""
    if not isinstance(told, dict):
        raise ValueError(f"edge is {told!r}, not an object")
    for name, value in told.items():
        if name == "fronts":
            continue
        if name not in KEYS:
            raise ValueError(f"edge.{name}: no such key")
        most = BITS.get(name, 1e6)
        if isinstance(value, bool) or not isinstance(value, KEYS[name]) or not 0 <= value <= most:
            raise ValueError(f"edge.{name} is {value!r}, not a number from 0 to {most:.0f}")
    fronts = told.get("fronts", [])
    if not isinstance(fronts, list) or not all(isinstance(text, str) for text in fronts):
        raise ValueError(f"edge.fronts is {fronts!r}, not a list of networks such as 10.0.0.0/8")
    try:
        networks = tuple(ipaddress.ip_network(text) for text in fronts)
    except ValueError as err:
        raise ValueError(f"edge.fronts: {err}") from err
    return Edge(**{**told, "fronts": networks})


@dataclass(slots=True)
class Source:
    held: int = 0  # connections
    tokens: float = 0.0
    at: float = 0.0  # when the tokens were counted


class Bucket:
    """New connections a second, for all; as many as come in one second may come at once."""

    def __init__(self, rate: float, now: float) -> None:
        self.rate, self.tokens, self.at = rate, max(1.0, rate), now

    def wait(self, now: float) -> float:
        """Seconds until there is room for one."""
        if not self.rate:
            return 0.0
        self.tokens = min(max(1.0, self.rate), self.tokens + (now - self.at) * self.rate)
        self.at = now
        return max(0.0, (1.0 - self.tokens) / self.rate)


class Gate:
    """What it says of a connection that came: "" where it is taken, else why not."""

    def __init__(self, edge: Edge, now: float) -> None:
        self.edge, self.all = edge, Bucket(edge.new, now)
        self.sources: OrderedDict[str, Source] = OrderedDict()  # the one that came last is last
        self.name = lru_cache(MOST_SOURCES)(self.source_of)  # reading an address costs more than all the rest
        self.counts = {"taken": 0, "per_source": 0, "new_per_source": 0, "pauses": 0}

    def source_of(self, address: str) -> str | None:
        """The source that an address belongs to; None: a front."""
        try:
            ip = ipaddress.ip_address(address.split("%")[0])
        except ValueError:
            return address
        if any(ip in front for front in self.edge.fronts):
            return None
        bits = self.edge.prefix4 if ip.version == 4 else self.edge.prefix6
        return str(ipaddress.ip_network((ip, bits), strict=False))

    def source(self, now: float, name: str) -> Source:
        found = self.sources.pop(name, None) or Source(tokens=max(1.0, self.edge.new_per_source), at=now)
        self.sources[name] = found
        if len(self.sources) > MOST_SOURCES:  # of those that hold nothing the one that came first
            idle = next((n for n, s in self.sources.items() if not s.held and n != name), None)
            if idle is not None:
                del self.sources[idle]
        return found

    def ask(self, now: float, address: str) -> str:
        name, why = self.name(address), ""
        if name is not None:
            source, rate = self.source(now, name), self.edge.new_per_source
            source.tokens = min(max(1.0, rate), source.tokens + (now - source.at) * rate)
            source.at = now
            if self.edge.per_source and source.held >= self.edge.per_source:
                why = "per_source"
            elif rate and source.tokens < 1.0:
                why = "new_per_source"
            else:
                source.tokens -= 1.0 if rate else 0.0
                source.held += 1
        if not why:
            self.all.tokens -= 1.0 if self.all.rate else 0.0
        self.counts[why or "taken"] += 1
        return why

    def left(self, address: str) -> None:
        name = self.name(address)
        if name is not None and name in self.sources:
            self.sources[name].held -= 1


class Acceptor:
    """In the place of an asyncio server: takes what the gate lets in."""

    def __init__(self, sock: socket.socket, make: Callable[[], asyncio.Protocol], gate: Gate) -> None:
        self.sockets, self.make, self.gate = [sock], make, gate
        self.loop = asyncio.get_running_loop()
        self.coming: set[asyncio.Task[Any]] = set()
        self.timer: asyncio.TimerHandle | None = None
        sock.setblocking(False)
        self.resume()

    def resume(self) -> None:
        self.timer = None
        self.loop.add_reader(self.sockets[0].fileno(), self.turn)

    def pause(self, seconds: float) -> None:
        """What comes meanwhile waits in the backlog."""
        self.gate.counts["pauses"] += 1
        self.loop.remove_reader(self.sockets[0].fileno())
        self.timer = self.loop.call_later(seconds, self.resume)

    def turn(self) -> None:
        for _ in range(BATCH):
            now = monotonic()
            wait = self.gate.all.wait(now)
            if wait > 0:
                self.pause(wait)
                return
            try:
                sock, address = self.sockets[0].accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as err:
                if err.errno not in EMPTY:
                    raise
                log.warning("no connection can be taken: %s; again in %.1f s", err, PAUSE)
                self.pause(PAUSE)
                return
            self.take(now, sock, address[0])

    def take(self, now: float, sock: socket.socket, address: str) -> None:
        if self.gate.ask(now, address):
            with sock:
                sock.setblocking(False)
                try:
                    sock.send(REFUSED)
                except OSError:
                    pass
            return
        task = self.loop.create_task(self.connect(sock, address))
        self.coming.add(task)
        task.add_done_callback(self.coming.discard)

    async def connect(self, sock: socket.socket, address: str) -> None:
        try:
            protocol: Any = self.make()
            protocol.ended = lambda: self.gate.left(address)
            await self.loop.connect_accepted_socket(lambda: protocol, sock)
        except OSError:
            self.gate.left(address)
            sock.close()

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        sock = self.sockets[0]
        if sock.fileno() >= 0:
            self.loop.remove_reader(sock.fileno())
            sock.close()
