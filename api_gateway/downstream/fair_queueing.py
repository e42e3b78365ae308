"""Whose commands are next: turns among the sources of commands, and among the connections of each.

Ring deals out turns: deficit round robin (Shreedhar and Varghese, SIGCOMM 1995) with the newcomers' list of
FQ-CoDel (RFC 8290). What waits stays unparsed in its connection, so nothing piles up anew.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections import deque
from typing import Any, Protocol

import hiredis

from api_gateway.base.resp import NO_REPLY, SMALL
from api_gateway.downstream.client_connection import MOST_PENDING, Client
from api_gateway.downstream.client_server import ClientServer

QUANTUM = 4.0  # commands that a connection or a source may have taken before the next one's turn
COMMAND_BYTES = 1024  # bytes that count as much as a command by itself
WINDOW, WINDOW_LEAST = 32.0, 4.0  # commands of a connection in work: at first; however pressed hosts are
LOT = 8.0  # commands that are taken before answers and new bytes are looked at again: some 2 ms

log = logging.getLogger(__name__)


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
