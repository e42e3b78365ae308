"""All connections of clients: accepting, their limit, their timers, drain and shutdown."""

from __future__ import annotations

import asyncio
import logging
import math
import os
import select
import socket
from collections import OrderedDict
from collections.abc import Callable
from functools import partial
from itertools import islice
from time import monotonic
from typing import Any

from api_gateway.base.accepting import open_listening_socket
from api_gateway.downstream.body_budget import Budget
from api_gateway.downstream.client_connection import Client, ended
from api_gateway.downstream.idle_connections import Idle
from api_gateway.downstream.listener import ClientListener

BACKLOG = 1024
SWEEP = 0.1  # s between looks for those that took longer, or that went while they were not read
LINGER_PART = 0.25  # part of the connections that may do so at once; past it the first of them is closed
FRESH_PART = 0.25  # part of the connections that those between requests keep which asked once or never
OVER_PART = 0.05  # part past the limit for new ones that are served once where all others are at work
OVER_MOST = 16  # of these; with one turn's new connections within the descriptors that are spare
TRIES = 8  # connections between requests that are looked at for one that may go
REST = 2.0  # s without a request after which a connection may be closed
LAST_READ = 1.6  # s into a drain from which nothing more is read: at 4 s only older requests are open
READ_PART = 0.55  # part of a shorter time for a drain from which nothing more is read

log = logging.getLogger(__name__)


class ClientServer:
    """`handler` has command(slot, command) and gone(slot)."""

    def __init__(self, handler: Any, most: int) -> None:
        self.handler, self.most = handler, most
        self.clients: dict[Client, None] = {}  # in order of their coming
        self.timed: dict[Client, None] = {}  # those of which something is due within a time
        self.not_read: dict[Client, None] = {}  # those that are not read now: the loop hears of no end
        self.idle = Idle()
        self.lingering: OrderedDict[Client, None] = OrderedDict()  # the first that began to is the first
        self.ending: dict[Client, None] = {}  # those that were cut, until the loop says so
        self.listener: Any = None  # a ClientListener, or an Acceptor
        self.on_empty: Callable[[], None] | None = None
        self.sweeping: asyncio.TimerHandle | None = None
        self.drained_at: float | None = None  # since when clients are sent away
        self.last_read = LAST_READ  # s into a drain
        self.budget = Budget()

    async def listen(self, host: str, port: int, inherited: int | None = None, edge: Any = None) -> int:
        """On a duplicate of a descriptor that is inherited: closing it leaves the socket to its owner."""
        sock = (
            socket.socket(fileno=os.dup(inherited))
            if inherited is not None
            else open_listening_socket((host, port), BACKLOG)
        )
        sock.setblocking(False)
        if edge is not None:
            from api_gateway.downstream.admission import Acceptor

            self.listener = Acceptor(sock, self, edge)
        else:
            self.listener = ClientListener(sock, lambda: Client(self), self.free)
        self.sweep()
        return self.listener.sockets[0].getsockname()[1]

    def sweep(self) -> None:
        """A peer that sends nothing, or never a whole command, is owed an end to it; of one that has gone
        nothing more is sent on."""
        self.sweeping = asyncio.get_running_loop().call_later(SWEEP, self.sweep)
        now = monotonic()
        for client in ended(self.not_read):
            self.alone(client, client.leave)
        for client in list(self.timed if self.drained_at is None else self.clients):
            if not self.alone(client, partial(client.check, now)):
                self.timed.pop(client, None)

    def alone(self, client: Client, act: Callable[[], Any]) -> Any:
        """What `act` does to a client; where that fails, it is the end of this one only."""
        try:
            return act()
        except Exception:
            log.exception("a connection could not be served or ended")
            client.broken = True
            client.transport.abort()
            return None

    def joined(self, client: Client) -> None:
        """Holds the limit of descriptors. Past it one goes for each that comes: the first of those that only
        linger, or else one between requests, which may then linger until the next one comes. Where all are at
        work it is the new one: after its first answer, or unread where there are too many of these, too."""
        self.clients[client] = None
        self.idle.add(client)
        if self.excess() > 0 and self.lingering:
            self.cut(next(iter(self.lingering)))
        if self.excess() <= 0:
            return
        gone = self.evict(client)
        if self.excess() > min(OVER_MOST, 1 + self.most * OVER_PART):
            self.cut(client)
        elif not gone:
            client.close_when_done()

    def excess(self) -> int:
        """How many are too many. An end takes effect a turn later: those that have theirs do not count."""
        return len(self.clients) - len(self.ending) - self.most

    def evict(self, but: Client) -> bool:
        """Whether one between requests goes: if possible with nothing unread, else once that is answered."""
        works = None
        for _ in range(TRIES):
            client = self.idle.first(max(1.0, self.most * FRESH_PART))
            if client is None or client is but:
                break
            self.idle.drop(client)  # its next answer brings it back
            if client.works():
                continue
            if not self.alone(client, client.unread):
                self.alone(client, client.close_when_done)
                return True
            works = works or client
        if works is not None:
            self.alone(works, works.close_when_done)
        return works is not None

    def free(self) -> bool:
        """The system has no descriptor left for one that comes: those that have theirs keep it, but for one
        that lingers. Whether there was one."""
        if self.lingering:
            self.cut(next(iter(self.lingering)))
            return True
        return False

    def end_fresh(self) -> bool:
        """Whether there was one at rest which has asked once or never: it is ended at once. For want of a
        descriptor none could be opened to a host, discovery or the counter, which serve all."""
        for client in list(islice(self.idle.fresh, TRIES)):
            self.idle.drop(client)  # its next answer brings it back
            if not client.works() and self.alone(client, client.unread) is False:
                self.cut(client)
                return True
        return False

    def lingers(self, client: Client) -> None:
        """Those that linger hold a part of the descriptors only, but for a drain, which ends all at once."""
        self.lingering[client] = None
        if self.drained_at is None and len(self.lingering) > max(1.0, self.most * LINGER_PART):
            self.cut(next(iter(self.lingering)))

    def cut(self, client: Client) -> None:
        self.lingering.pop(client, None)
        self.ending[client] = None
        client.transport.abort()

    def resting(self) -> list[Client]:
        """Those that may be closed, the one that rests longest first."""
        since = monotonic() - REST
        return sorted((c for c in self.clients if c.rests(since)), key=lambda c: c.active)

    def make_room(self) -> None:
        """After the limit has shrunk: as many go as are too many, of those that rest."""
        for client in self.resting()[: max(0, len(self.clients) - self.most)]:
            client.close_when_done()

    def left(self, client: Client) -> None:
        for known in (self.clients, self.timed, self.not_read, self.lingering, self.ending):
            known.pop(client, None)
        self.idle.drop(client)
        if not self.clients and self.on_empty:
            self.on_empty()

    def drain(self, on: bool) -> None:
        """On: each connection closes once all it asked has been answered, a new one after its first."""
        self.drained_at = monotonic() if on else None
        for client in list(self.clients):
            client.last = False
            self.alone(client, client.throttle)
            self.alone(client, client.flush)

    async def take_last(self, within: float) -> None:
        """Until what has come to the listener is taken: its close would reset what waits there."""
        poll, end = select.poll(), monotonic() + within
        poll.register(self.listener.sockets[0].fileno(), select.POLLIN)
        while (poll.poll(0) or self.listener.coming) and monotonic() < end:
            await asyncio.sleep(0)

    def finish(self, within: float = math.inf) -> None:
        """No new connections, and an end to those that there are, all `within` so many seconds: what comes in
        the second half of these stays unread, and is better off elsewhere."""
        self.last_read = min(self.last_read, READ_PART * within)
        if self.listener:
            self.listener.close()
        if self.drained_at is None:
            self.drain(True)

    def stop_reading(self) -> None:
        """Nothing that comes from here on is read, on any connection; what was read already is taken now."""
        for client in list(self.clients):
            client.last = True
            self.alone(client, client.throttle)
            self.alone(client, client.take_waiting)

    def close(self) -> None:
        """Whatever is still open ends here."""
        if self.sweeping:
            self.sweeping.cancel()
        for client in list(self.clients):
            client.closing = True
            client.transport.close()
