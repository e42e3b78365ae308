"""Which new connections of clients are taken, and whose commands are next. Only with the key `edge`.

Gate decides on connections: limits by source and by rate, with no I/O and no clock. Acceptor takes them in
bounded lots, so that a rush of handshakes leaves turns to the requests in work, and pauses where descriptors
end.
Ring deals out turns: deficit round robin (Shreedhar and Varghese, SIGCOMM 1995) with the newcomers' list of
FQ-CoDel (RFC 8290). What waits stays unparsed in its connection, so nothing piles up anew.
"""

from __future__ import annotations

import asyncio
import ipaddress
import logging
import math
import socket
import struct
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import lru_cache, partial
from pathlib import Path
from time import monotonic
from typing import Any, Protocol

import hiredis

from api_gateway.base.accepting import CONNECTION_ERRORS, SHORTAGE_ERRORS
from api_gateway.base.resp import NO_REPLY, SMALL
from api_gateway.downstream.client_connection import MOST_PENDING, Client, ClientServer

MOST_SOURCES = 4096  # that are remembered; past that the ones that rest longest are forgotten
QUANTUM = 4.0  # commands that a connection or a source may have taken before the next one's turn
COMMAND_BYTES = 1024  # bytes that count as much as a command by itself
WINDOW, WINDOW_LEAST = 32.0, 4.0  # commands of a connection in work: at first; however pressed hosts are
ACCEPTS_PER_TURN = 16  # connections that are accepted before the loop turns to requests in flight
PAUSE = 0.1  # s without accepting where the system had nothing left for it
LOT = 8.0  # commands that are taken before answers and new bytes are looked at again: some 2 ms
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

    def weight(self, address: str) -> float:
        if not self.edge.weights:
            return 1.0
        ip = ipaddress.ip_address(address.split("%")[0])
        return next((weight for net, weight in self.edge.weights if ip in net), 1.0)

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


class Member(Protocol):
    """Who may have commands waiting: a connection, or a source with all of its own."""

    queued: bool  # whether it has a place in its ring
    credit: float  # what it may still take in this turn; below 0: what it took too much
    weight: float

    def serve(self, most: float) -> tuple[float, bool]:
        """Takes what waits until it has cost `most` or a little more; the cost, and whether more waits."""
        ...


class Ring:
    """Whose turn is next among those with something waiting. Each round gives a member QUANTUM times its
    weight; one that comes with no debt goes before those that had a turn already, once."""

    def __init__(self) -> None:
        self.fresh: deque[Member] = deque()
        self.round: deque[Member] = deque()

    def __len__(self) -> int:
        return len(self.fresh) + len(self.round)

    def add(self, member: Member) -> None:
        if member.queued:
            return
        member.queued = True
        if member.credit > 0:
            member.credit = QUANTUM * member.weight
            self.fresh.append(member)
        else:
            self.round.append(member)

    def serve(self, most: float) -> tuple[float, bool]:
        """As a member does; the two make a tree of rings."""
        spent = 0.0
        while spent < most and (queue := self.fresh or self.round):
            member = queue[0]
            if member.credit <= 0:
                member.credit += QUANTUM * member.weight
                self.round.append(queue.popleft())
                continue
            cost, more = member.serve(min(member.credit, most - spent))
            member.credit -= cost
            spent += cost
            if not more:
                queue.popleft()
                if queue is self.fresh and self.round:  # else it were new again with each of its commands
                    self.round.append(member)
                else:
                    member.queued = False
        return spent, bool(len(self))


class Origin:
    """The connections of one source that have commands waiting."""

    def __init__(self, weight: float) -> None:
        self.weight, self.credit, self.queued, self.ring = weight, QUANTUM * weight, False, Ring()
        self.serve = self.ring.serve
        self.held = 0  # connections


class Turns:
    """Takes the commands of all connections in turns, in lots between which the loop does all else."""

    def __init__(self, half_closed: bool = False) -> None:
        self.loop, self.half_closed = asyncio.get_running_loop(), half_closed
        self.ring, self.due = Ring(), False
        self.origins: dict[str, Origin] = {}

    def join(self, name: str, weight: float) -> Origin:
        origin = self.origins.setdefault(name, Origin(weight))
        origin.held += 1
        return origin

    def leave(self, name: str) -> None:
        origin = self.origins[name]
        origin.held -= 1
        if not origin.held:
            del self.origins[name]

    def wait(self, client: FairClient) -> None:
        """Takes what came at once where no other waits."""
        if client.origin is None:
            self.ring.add(client)
        else:
            client.origin.ring.add(client)
            self.ring.add(client.origin)
        if not self.due:
            self.turn()

    def turn(self) -> None:
        self.due = True  # also while it lasts: what an answer frees takes its turn, too
        self.due = self.ring.serve(LOT)[1]
        if self.due:
            self.loop.call_soon(self.turn)

    def waiting(self) -> int:
        """Connections with commands that wait, and some that have just had theirs taken."""
        return sum(len(m.ring) if isinstance(m, Origin) else 1 for m in (*self.ring.fresh, *self.ring.round))


class FairClient(Client):
    """A client whose commands are taken in turns."""

    weight = 1.0

    def __init__(self, server: ClientServer, turns: Turns, origin: Origin | None) -> None:
        super().__init__(server)
        self.turns, self.origin, self.credit, self.queued = turns, origin, QUANTUM, False
        self.window = WINDOW  # commands in work past which it gets no turn; one more with each window taken
        self.taken = 0  # commands
        self.spared = 0  # of them, those that were in work when the window was last halved

    def commands(self) -> None:
        self.unlooked = True
        self.turns.wait(self)
        if self.unlooked:
            self.throttle()

    def serve(self, most: float) -> tuple[float, bool]:
        """One that has too much in work, or whose client takes nothing, gets no turn until that is over."""
        spent = 0.0
        if self.transport.is_closing() or self.broken:
            self.unlooked = False
        try:
            while self.unlooked and spent < most and self.may():
                command = self.reader.gets()
                if command is NO_REPLY:
                    self.unlooked = False
                    self.expect()
                else:
                    self.taken += 1
                    self.window = min(MOST_PENDING, self.window + 1 / self.window)
                    self.take(command)
                    spent += cost(command)
        except hiredis.ProtocolError:
            self.unlooked = False
            self.fail(b"-ERR protocol error\r\n")
        except Exception:  # one connection must not take the others' turns along
            log.exception("a connection's commands could not be taken")
            self.unlooked, self.broken = False, True
            self.transport.abort()
        self.throttle()
        if not self.unlooked and not self.pending:
            self.flush()
        return spent, self.unlooked and self.may()

    def take_waiting(self) -> None:
        self.window = math.inf
        self.serve(math.inf)

    def eof_received(self) -> bool:
        """The client sends nothing more. True: the transport stays open for the answers, where that is asked
        for; one that has closed as a whole is found out by the first of them."""
        if not self.turns.half_closed or not (self.pending or self.unlooked):
            return super().eof_received()
        self.close_when_done()
        return True

    def ends_by_half(self) -> bool:
        return not self.turns.half_closed or self.write_shut is not None

    def may(self) -> bool:
        return not self.paused and len(self.pending) < self.window

    def pressed(self) -> None:
        """Halves the window, once for all that was in work when hosts had no room."""
        if self.taken > self.spared:
            self.window = max(WINDOW_LEAST, self.window / 2)
            self.spared = self.taken + len(self.pending)

    def throttle(self) -> None:
        super().throttle()
        if self.unlooked and not self.queued and self.may():
            self.turns.wait(self)


def cost(command: Any) -> float:
    """Of taking a command, in commands. Large bodies have a budget of their own: they count as SMALL here."""
    if not isinstance(command, list):
        return 1.0
    size = sum(len(part) for part in command if isinstance(part, bytes | bytearray))
    return 1.0 + min(SMALL, size) / COMMAND_BYTES


def watch_peer(sock: socket.socket, seconds: float) -> None:
    """A machine that vanished says nothing: the kernel asks it (SO_KEEPALIVE, for connections at rest) and
    looks whether it takes what was sent (TCP_USER_TIMEOUT), and ends the connection after about so long."""
    if not seconds or sock.family not in (socket.AF_INET, socket.AF_INET6):
        return
    probes = 3
    every = max(1, int(seconds / (probes + 1)))
    for option, value in (
        (socket.TCP_KEEPIDLE, every),
        (socket.TCP_KEEPINTVL, every),
        (socket.TCP_KEEPCNT, probes),
        (socket.TCP_USER_TIMEOUT, int(seconds * 1000)),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)


def backlog(sock: socket.socket) -> tuple[int, int]:
    """Connections that wait to be accepted, and how many may: of a socket that listens, TCP_INFO tells these
    as unacked and sacked segments (Linux, net/ipv4/tcp.c, tcp_get_info)."""
    if sock.fileno() < 0:
        return 0, 0
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 104)
    return struct.unpack_from("II", info, 24)


def overflows() -> int:
    """Connections that this machine lost because a backlog was full, whichever socket's it was."""
    try:
        heads, values = [
            line.split()
            for line in Path("/proc/net/netstat").read_text().splitlines()
            if line.startswith("TcpExt:")
        ]
    except (OSError, ValueError):
        return 0
    return int(dict(zip(heads, values, strict=True)).get("ListenOverflows", 0))


class Acceptor:
    """In the place of an asyncio server: takes what the gate lets in."""

    def __init__(self, sock: socket.socket, server: ClientServer, edge: Edge) -> None:
        self.sockets, self.server, self.gate = [sock], server, Gate(edge, monotonic())
        self.turns = Turns(edge.half_closed) if edge.turns else None
        self.overflows = overflows()
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
        for _ in range(ACCEPTS_PER_TURN):
            now = monotonic()
            wait = self.gate.all.wait(now)
            if wait > 0:
                self.pause(wait)
                return
            try:
                sock, address = self.sockets[0].accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as err:
                if err.errno in CONNECTION_ERRORS:
                    continue
                log.warning("no connection can be taken: %s; again in %.1f s", err, PAUSE)
                if err.errno in SHORTAGE_ERRORS:
                    self.server.free()
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
        name, turns = self.gate.name(address), self.turns
        origin: Origin | None = None
        leave: Callable[[], None] | None = None
        if turns and name:
            origin, leave = turns.join(name, self.gate.weight(address)), partial(turns.leave, name)

        def ended() -> None:
            self.gate.left(address)
            if leave is not None:
                leave()

        try:
            watch_peer(sock, self.gate.edge.vanished)
            client = FairClient(self.server, turns, origin) if turns else Client(self.server)
            client.ended = ended
            await self.loop.connect_accepted_socket(lambda: client, sock)
        except Exception as err:  # one that cannot be taken must not hold a place
            if not isinstance(err, OSError):
                log.exception("a connection could not be taken")
            ended()
            sock.close()

    def status(self) -> dict[str, Any]:
        """Connections by what became of them, and the turns: who waits, and how much one may have in work."""
        waiting, most = backlog(self.sockets[0])
        told = {
            **self.gate.counts,
            "backlog": waiting,
            "backlog_most": most,
            "overflows": overflows() - self.overflows,
        }
        if self.turns is None:
            return told
        windows = [client.window for client in self.server.clients if isinstance(client, FairClient)]
        return {
            **told,
            "turns": self.turns.waiting(),
            "windows": [int(min(windows, default=WINDOW)), int(max(windows, default=WINDOW))],
        }

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        sock = self.sockets[0]
        if sock.fileno() >= 0:
            self.loop.remove_reader(sock.fileno())
            sock.close()
