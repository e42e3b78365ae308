"""The server that clients connect to: reads commands, answers in order, notes clients that left."""

from __future__ import annotations

import array
import asyncio
import contextlib
import fcntl
import os
import socket
import termios
from collections import deque
from collections.abc import Callable
from time import monotonic
from typing import Any

import hiredis

from calicomast.net.resp import NO_REPLY, Reader

MOST_BODY = 64 * 1024
MOST_COMMAND = MOST_BODY + 4096  # bytes of one command, framing included
BACKLOG = 1024
MOST_PENDING = 512  # commands of one connection in work; past that it is not read
WHOLE_WITHIN = 2.2  # s for a connection's first command, and for one that has begun, to come whole
SWEEP = 0.2  # s between looks for those that took longer
LAST_READ = 1.6  # s into a drain from which nothing more is read: at 4 s only older requests are open
FIRST_WITHIN = 1.0  # s for the first command of a connection that comes during a drain


class Slot:
    """The place of one command's answer among those of its connection."""

    __slots__ = ("client", "answer", "token")

    def __init__(self, client: Client) -> None:
        self.client = client
        self.answer: bytes | None = None
        self.token: Any = None  # what the handler keeps of a command that it has not answered yet

    def reply(self, answer: bytes) -> None:
        self.answer = answer
        self.client.flush()


class Client(asyncio.Protocol):
    def __init__(self, server: ClientServer) -> None:
        self.server = server
        self.reader = Reader(MOST_COMMAND)
        self.pending: deque[Slot] = deque()
        self.partial = 0  # bytes read of a command that is not whole yet
        self.active = monotonic()  # when the last whole command came, or else the connection
        self.awaited: float | None = self.active  # since when a command is due; None: between commands
        self.closing = self.broken = self.paused = self.flooded = False
        self.last = False  # nothing more is read until a drain is over
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.server.joined(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.closing = True
        self.server.left(self)
        pending, self.pending = self.pending, deque()
        for slot in pending:
            if slot.answer is None:
                self.server.handler.gone(slot)

    def data_received(self, data: bytes) -> None:
        if self.broken:
            return
        self.reader.feed(data)
        self.partial += len(data)
        if self.awaited is None:
            self.awaited = monotonic()
        try:
            while (command := self.reader.gets()) is not NO_REPLY:
                self.partial, self.active = 0, monotonic()
                self.awaited = self.active if self.reader.has_data() else None
                slot = Slot(self)
                self.pending.append(slot)
                self.server.handler.command(slot, command)
        except hiredis.ProtocolError:
            self.fail(b"-ERR protocol error\r\n")
        else:
            if self.partial > MOST_COMMAND:  # a command without end must not fill the memory
                self.fail(b"-ERR command too long\r\n")
        self.throttle()

    def check(self, now: float) -> None:
        if self.server.drained_at is not None:
            self.check_drain(now, self.server.drained_at)
        if self.broken or self.flooded or self.awaited is None:
            return
        if now - self.awaited > WHOLE_WITHIN:
            self.fail(b"-ERR no whole command in time\r\n")

    def check_drain(self, now: float, since: float) -> None:
        """What has rested so long that no request crosses its end goes, and what came whole is the last."""
        if now - since > LAST_READ and (self.pending or now - self.active > FIRST_WITHIN):
            self.last = True
            self.throttle()
        self.flush()

    def fail(self, answer: bytes) -> None:
        """Framing is lost: nothing more is read; what was taken is still answered first."""
        self.closing = self.broken = True
        slot = Slot(self)
        self.pending.append(slot)
        slot.reply(answer)

    def close_when_done(self) -> None:
        """What still comes on it before that is served too: it was taken."""
        self.closing = True
        self.flush()

    def drained(self) -> bool:
        """Whether its end is due because clients are sent away: not while a command is due or has begun."""
        return self.server.drained_at is not None and (self.awaited is None or self.last)

    def unread(self) -> bool:
        """Whether bytes have come that were not read yet: closing now would reset the connection."""
        count = array.array("i", [0])
        fcntl.ioctl(self.transport.get_extra_info("socket").fileno(), termios.FIONREAD, count)
        return count[0] > 0

    def end(self) -> None:
        if self.transport.is_closing() or not (self.broken or self.last) and self.unread():
            return
        if not self.transport.get_write_buffer_size():
            # The loop would close it a turn later: a request that comes until then would be lost unread.
            sock = socket.socket(fileno=os.dup(self.transport.get_extra_info("socket").fileno()))
            with sock, contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_WR)
        self.transport.close()

    def flush(self) -> None:
        pending = self.pending
        while pending and (answer := pending[0].answer) is not None:
            pending.popleft()
            self.transport.write(answer)
        if not pending and (self.closing or self.drained()):
            self.end()
        elif self.flooded:
            self.throttle()

    def pause_writing(self) -> None:
        self.paused = True
        self.throttle()

    def resume_writing(self) -> None:
        self.paused = False
        self.throttle()

    def throttle(self) -> None:
        """A client that takes no answers or has too much in work is not read until that is over."""
        flooded = self.paused or self.last or len(self.pending) >= MOST_PENDING
        if flooded != self.flooded and not self.transport.is_closing():
            self.flooded = flooded
            self.transport.pause_reading() if flooded else self.transport.resume_reading()


class ClientServer:
    """`handler` has command(slot, command) and gone(slot)."""

    def __init__(self, handler: Any, most: int) -> None:
        self.handler, self.most = handler, most
        self.clients: dict[Client, None] = {}  # in order of their coming
        self.listener: asyncio.Server | None = None
        self.on_empty: Callable[[], None] | None = None
        self.sweeping: asyncio.TimerHandle | None = None
        self.drained_at: float | None = None  # since when clients are sent away

    async def listen(self, host: str, port: int, inherited: int | None = None) -> int:
        """On a duplicate of a descriptor that is inherited: closing it leaves the socket to its owner."""
        loop, made = asyncio.get_running_loop(), (lambda: Client(self))
        if inherited is None:
            self.listener = await loop.create_server(made, host, port, backlog=BACKLOG)
        else:
            sock = socket.socket(fileno=os.dup(inherited))
            self.listener = await loop.create_server(made, sock=sock, backlog=BACKLOG)
        self.sweep()
        return self.listener.sockets[0].getsockname()[1]

    def sweep(self) -> None:
        """A peer that sends nothing, or never a whole command, is owed an end to it."""
        now = monotonic()
        for client in list(self.clients):
            client.check(now)
        self.sweeping = asyncio.get_running_loop().call_later(SWEEP, self.sweep)

    def joined(self, client: Client) -> None:
        """Holds the descriptor limit: the one that is between requests for longest goes."""
        self.clients[client] = None
        if len(self.clients) > self.most:
            idle = [c for c in self.clients if c is not client and not c.pending and not c.closing]
            min(idle, key=lambda c: c.active, default=client).close_when_done()

    def left(self, client: Client) -> None:
        self.clients.pop(client, None)
        if not self.clients and self.on_empty:
            self.on_empty()

    def drain(self, on: bool) -> None:
        """On: each connection closes once all it asked has been answered, a new one after its first."""
        self.drained_at = monotonic() if on else None
        for client in list(self.clients):
            client.last = False
            client.throttle()
            client.flush()

    def finish(self) -> None:
        """No new connections, and an end to those that there are."""
        if self.listener:
            self.listener.close()
        if self.drained_at is None:
            self.drain(True)

    def close(self) -> None:
        """Whatever is still open ends here."""
        if self.sweeping:
            self.sweeping.cancel()
        for client in list(self.clients):
            client.closing = True
            client.transport.close()
