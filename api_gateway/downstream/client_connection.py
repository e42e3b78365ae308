"""One connection of a client: reads its commands and writes their answers in order."""

from __future__ import annotations

import array
import asyncio
import fcntl
import select
import socket
import termios
from collections import deque
from collections.abc import Callable, Iterable
from time import monotonic
from typing import TYPE_CHECKING, Any

import hiredis

from api_gateway.base.resp import NO_REPLY, SMALL, Reader
from api_gateway.downstream.body_budget import Body

if TYPE_CHECKING:
    from api_gateway.downstream.client_server import ClientServer

MOST_COMMAND = SMALL + 4096  # bytes of one command but for a large body, framing included
MOST_PENDING = 512  # commands of one connection in work; past that it is not read
HEAD_WITHIN = 2.5  # s for a connection's first command, and for one that has begun, to come but for its body
PIECE_WITHIN = 2.2  # s between two pieces of a body
TAKEN_WITHIN = 60.0  # s after which a client that takes nothing more of its answers is given up
LINGER = 1.0  # s after the end of what is sent in which the client may end its side
FIRST_WITHIN = 1.0  # s for the first command of a connection that comes during a drain


class Slot:
    """The place of one command's answer among those of its connection."""

    __slots__ = ("client", "answer", "token", "turn")

    def __init__(self, client: Client) -> None:
        self.client = client
        self.answer: bytes | None = None
        self.turn: Callable[[], None] | None = None  # of an answer in pieces: called whenever it may go on
        self.token: Any = None  # what the handler keeps of a command that it has not answered yet

    def reply(self, answer: bytes) -> None:
        self.answer = answer
        self.client.flush()

    def blocked(self) -> bool:
        """Whether pieces must wait: other answers go first, or the client has not taken what was written."""
        return self.client.pending[0] is not self or self.client.paused

    def piece(self, data: bytes) -> None:
        self.client.transport.write(data)

    def cut(self) -> None:
        """An answer that began does not end: the client can tell by the end of its connection."""
        self.client.broken = True
        self.client.transport.close()


class Client(asyncio.Protocol):
    def __init__(self, server: ClientServer) -> None:
        self.server = server
        self.reader = Reader(MOST_COMMAND, (5, 4))
        self.body: Body | None = None  # that is coming
        self.waits = False  # for a place for a body
        self.moved, self.unsent = 0.0, 0  # when the client last took something; bytes it had not taken then
        self.pending: deque[Slot] = deque()
        self.partial = 0  # bytes read of a command that is not whole yet
        self.came = self.heard = monotonic()  # when the connection came; when the last bytes did
        self.active = self.came  # when the last whole command came, or else the connection
        self.awaited: float | None = self.active  # since when a command is due; None: between commands
        self.closing = self.broken = self.paused = self.reading_paused = False
        self.last = False  # nothing more is read until a drain is over
        self.write_shut: float | None = None  # since when nothing more is sent, nor read
        self.asked = 0  # whole commands that have come
        self.unlooked = False  # what came waits for its turn
        self.ended: Callable[[], None] | None = None  # hears of its end
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.server.timed[self] = None
        self.server.alone(self, lambda: self.server.joined(self))

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.left(self)
        if self.ended is not None:
            self.ended()
        body, self.body = self.body, None
        if body:
            self.server.budget.give(len(body.data))
        self.gone()

    def eof_received(self) -> bool:
        """The client has gone, whatever it has not taken yet."""
        self.gone()
        return False

    def gone(self) -> None:
        """Nothing more is done for what it asked."""
        self.closing = self.broken = True
        pending, self.pending = self.pending, deque()
        for slot in pending:
            if slot.answer is None:
                self.server.handler.gone(slot)

    def data_received(self, data: bytes) -> None:
        if self.broken:
            return
        self.reader.feed(data)
        self.heard = monotonic()
        self.partial = 0 if self.body else self.partial + len(data)
        if self.awaited is None:
            self.awaited = self.heard
        self.commands()

    def commands(self) -> None:
        """Takes all that came whole."""
        try:
            while (command := self.reader.gets()) is not NO_REPLY:
                self.take(command)
        except hiredis.ProtocolError:
            self.fail(b"-ERR protocol error\r\n")
        else:
            self.expect()
        self.throttle()

    def take(self, command: Any) -> None:
        self.partial, self.active = 0, monotonic()
        self.asked += 1
        self.awaited = self.active if self.reader.has_data() else None
        body, self.body = self.body, None
        if body and isinstance(command, list):
            command[-1] = body.data
        slot = Slot(self)
        self.pending.append(slot)
        self.server.idle.drop(self)
        self.server.handler.command(slot, command)
        if body and slot.token is None:  # it was not taken
            self.server.budget.give(len(body.data))

    def expect(self) -> None:
        """What the rest of a command needs, all whole ones being taken."""
        if self.reader.held and not self.waits:  # a body that was only announced gets no place yet
            self.waits = True
            self.server.budget.take(self.reader.begun, self)
        elif self.partial > MOST_COMMAND and not self.waits:  # one without end must not fill the memory
            self.fail(b"-ERR command too long\r\n")
        if self.awaited is not None:  # one has begun
            self.server.timed[self] = None

    def admitted(self, length: int) -> None:
        """There is a place for the body that has begun."""
        self.waits, self.partial, self.heard = False, 0, monotonic()
        self.body = Body(length)
        self.reader.pass_on(self.body.add)
        self.commands()

    def take_waiting(self) -> None:
        """Takes at once what was read and waits for its turn: nothing, where commands have no turns."""

    def check(self, now: float) -> bool:
        """Ends one that takes too long. False: nothing of it has a time now."""
        if self.write_shut is not None:
            self.check_shut(now, self.write_shut)
            return True
        if self.server.drained_at is not None:
            self.check_drain(now, self.server.drained_at)
        self.check_taken(now)
        if self.broken or self.awaited is None:
            return self.paused
        if self.reading_paused or self.unlooked:
            return True
        if self.reader.in_last():
            late = now - self.heard > PIECE_WITHIN
        else:
            late = now - self.awaited > HEAD_WITHIN
        if late:
            self.fail(b"-ERR no whole command in time\r\n")
        return True

    def works(self) -> bool:
        """Whether something is due for it, or it ends."""
        return bool(
            self.pending
            or self.closing
            or self.body
            or self.waits
            or self.unlooked
            or self.transport.is_closing()
        )

    def rests(self, since: float) -> bool:
        """Whether it has had no request since then."""
        return (
            not (
                self.pending
                or self.closing
                or self.body
                or self.waits
                or self.unlooked
                or self.awaited is not None
            )
            and self.active <= since
        )

    def check_taken(self, now: float) -> None:
        """A client that takes nothing more of an answer is not kept, nor is the host's connection."""
        unsent = self.transport.get_write_buffer_size() if self.paused else 0
        if not self.paused or unsent != self.unsent:
            self.moved, self.unsent = now, unsent
        elif now - self.moved > TAKEN_WITHIN:
            self.broken = True
            self.transport.abort()

    def check_drain(self, now: float, since: float) -> None:
        """What has rested so long that no request crosses its end goes, and what came whole is the last."""
        if now - since > self.server.last_read and (self.pending or now - self.came > FIRST_WITHIN):
            self.last = True
            self.throttle()
        self.flush()

    def fail(self, answer: bytes) -> None:
        """Framing is lost: nothing more is read; what was taken is still answered first."""
        self.closing = self.broken = True
        slot = Slot(self)
        self.pending.append(slot)
        slot.reply(answer)
        self.throttle()

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
        """Says that no answer follows, and closes once the client has ended its side. A request that crosses
        this stays unread, so its client sends it once more; a close over it would reset the connection, and
        take answers along that are still on their way."""
        closing = self.transport.is_closing() or self.write_shut is not None
        if closing or not (self.broken or self.last) and self.unread():
            return
        self.closing, self.write_shut = True, monotonic()
        self.server.idle.drop(self)
        self.server.timed[self] = None
        self.throttle()
        if not self.asked:  # no answer is on its way to a peer that never asked for one
            self.transport.close()
            return
        self.server.lingers(self)
        if self.transport.get_write_buffer_size():
            self.transport.write_eof()
            return
        # The loop would do that a turn later: a request that comes until then would be lost.
        told = self.transport.get_extra_info("socket")
        sock = socket.socket(told.family, told.type, told.proto, told.fileno())  # no descriptor of its own
        try:
            sock.shutdown(socket.SHUT_WR)
        except OSError:  # the peer has reset it
            pass
        finally:
            sock.detach()

    def check_shut(self, now: float, since: float) -> None:
        if now - since > (TAKEN_WITHIN if self.transport.get_write_buffer_size() else LINGER):
            self.transport.abort()

    def leave(self) -> None:
        """The client has ended its side while it was not read."""
        self.gone()
        self.transport.abort() if self.write_shut is not None else self.transport.close()

    def flush(self) -> None:
        pending = self.pending
        while pending and (answer := pending[0].answer) is not None:
            pending.popleft()
            if answer:
                self.transport.write(answer)
        if pending and (turn := pending[0].turn) is not None and not self.paused:
            turn()
        if not pending and not self.unlooked and (self.closing or self.drained()):
            self.end()
        elif self.reading_paused:
            self.throttle()
        if not pending and not self.closing:
            self.server.idle.add(self)

    def pressed(self) -> None:
        """A command of it was refused because hosts had no room."""

    def pause_writing(self) -> None:
        self.paused, self.moved = True, monotonic()
        self.server.timed[self] = None
        self.throttle()

    def resume_writing(self) -> None:
        self.paused = False
        self.throttle()
        self.flush()

    def throttle(self) -> None:
        """A client that takes no answers or has too much in work is not read until that is over."""
        reading_paused = (
            self.paused
            or self.last
            or self.waits
            or self.unlooked
            or self.broken
            or self.write_shut is not None
            or len(self.pending) >= MOST_PENDING
        )
        if reading_paused != self.reading_paused and not self.transport.is_closing():
            self.reading_paused = reading_paused
            if reading_paused:
                self.transport.pause_reading()
                self.server.not_read[self] = None
            else:
                self.transport.resume_reading()
                self.server.not_read.pop(self, None)

    def ends_by_half(self) -> bool:
        """Whether it has gone once it has ended its sending."""
        return True

    def look(self) -> None:
        """Finds out by itself whether it has gone: the loop hears of that a turn later at best."""
        if self.transport.is_closing():
            self.gone()
        elif ended([self]):
            self.leave()


def ended(clients: Iterable[Client]) -> list[Client]:
    """Those whose peers have gone, whatever stands unread before that."""
    found, poll = {}, select.poll()
    for client in clients:
        fd = client.transport.get_extra_info("socket").fileno()
        if fd >= 0 and not client.transport.is_closing():
            found[fd] = client
            poll.register(fd, select.POLLRDHUP if client.ends_by_half() else 0)  # a reset is told in any case
    return [found[fd] for fd, _ in poll.poll(0)]
