"""Whose commands are handled next: turns among the sources of commands, and among the connections of each.

FairQueue deals out turns: deficit round robin (Shreedhar and Varghese, SIGCOMM 1995) with the list of new
flows of FQ-CoDel (RFC 8290). Commands that wait stay unparsed in their connection, so no second queue builds
up.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections import deque
from typing import Any, Protocol

import hiredis

from api_gateway.base.resp import INCOMPLETE, STREAMING_THRESHOLD_BYTES
from api_gateway.downstream.client_connection import MAX_PENDING_COMMANDS, ClientConnection
from api_gateway.downstream.client_server import ClientServer

# Cost that a connection or a source may spend before the next one's turn; a short command costs 1.
QUANTUM = 4.0
# Bytes of a command that cost as much as a command by itself.
BYTES_PER_COST = 1024
# Commands of a connection in flight, at first and at least, however overloaded the endpoints are.
INITIAL_WINDOW = 32.0
MIN_WINDOW = 4.0
# Cost of the commands handled before replies and new bytes get their turn of the event loop: some 2 ms.
BATCH_COST = 8.0

log = logging.getLogger(__name__)


class QueueMember(Protocol):
    """Who may have commands waiting: a connection, or a source with all its connections."""

    queued: bool  # whether it has a place in its queue
    credit: float  # cost that it may still spend in this turn; below 0: what it overspent
    weight: float  # share of the turns relative to other members

    def serve(self, max_cost: float) -> tuple[float, bool]:
        """Handle waiting commands until they have cost `max_cost` or a little more.

        Returns:
            The cost, and whether more commands wait.
        """
        ...


class FairQueue:
    """Deals out turns among the members that have commands waiting.

    Each round gives a member QUANTUM times its weight. A member that arrives without debt goes before those
    that had a turn already, once.
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self.new_members: deque[QueueMember] = deque()
        self.served_members: deque[QueueMember] = deque()

    def __len__(self) -> int:
        """Return how many members are queued."""
        return len(self.new_members) + len(self.served_members)

    def add(self, member: QueueMember) -> None:
        """Queue a member, unless it is queued already."""
        if member.queued:
            return
        member.queued = True
        if member.credit > 0:
            member.credit = QUANTUM * member.weight
            self.new_members.append(member)
        else:
            self.served_members.append(member)

    def serve(self, max_cost: float) -> tuple[float, bool]:
        """Serve members in turns; a queue is itself a member, so that queues form a tree.

        Returns:
            The cost of what was handled, and whether more commands wait.
        """
        spent = 0.0
        while spent < max_cost and (queue := self.new_members or self.served_members):
            member = queue[0]
            if member.credit <= 0:
                member.credit += QUANTUM * member.weight
                self.served_members.append(queue.popleft())
                continue
            cost, has_more = member.serve(min(member.credit, max_cost - spent))
            member.credit -= cost
            spent += cost
            if not has_more:
                queue.popleft()
                # A new member that is done stays for a round: else it were new again with its next command.
                if queue is self.new_members and self.served_members:
                    self.served_members.append(member)
                else:
                    member.queued = False
        return spent, bool(len(self))


class SourceQueue:
    """The connections of one source that have commands waiting."""

    def __init__(self, weight: float) -> None:
        """Create a source with a weight relative to other sources."""
        self.weight = weight
        self.credit = QUANTUM * weight
        self.queued = False
        self.queue = FairQueue()
        self.serve = self.queue.serve
        self.connection_count = 0


class CommandScheduler:
    """Handles the commands of all connections in turns, in batches between which the loop does all else."""

    def __init__(self, half_closed: bool = False) -> None:
        """Create a scheduler without connections.

        Args:
            half_closed: Whether a client that shuts its sending side still gets its replies.
        """
        self.loop = asyncio.get_running_loop()
        self.half_closed = half_closed
        self.queue = FairQueue()
        self.is_scheduled = False  # whether a batch is running or due
        self.sources: dict[str, SourceQueue] = {}

    def join(self, name: str, weight: float) -> SourceQueue:
        """Add a connection to the source `name`, which gets `weight` if it is new."""
        source = self.sources.setdefault(name, SourceQueue(weight))
        source.connection_count += 1
        return source

    def leave(self, name: str) -> None:
        """Remove a connection from the source `name`, and the source with its last one."""
        source = self.sources[name]
        source.connection_count -= 1
        if not source.connection_count:
            del self.sources[name]

    def enqueue(self, connection: FairClientConnection) -> None:
        """Queue a connection for its turn, which comes at once where no other waits."""
        if connection.source is None:
            self.queue.add(connection)
        else:
            connection.source.queue.add(connection)
            self.queue.add(connection.source)
        if not self.is_scheduled:
            self.run_batch()

    def run_batch(self) -> None:
        """Handle commands of BATCH_COST, and schedule the next batch if more wait."""
        self.is_scheduled = True  # also while it lasts: what a reply frees takes its turn, too
        self.is_scheduled = self.queue.serve(BATCH_COST)[1]
        if self.is_scheduled:
            self.loop.call_soon(self.run_batch)

    def waiting(self) -> int:
        """Count the connections with commands waiting, with some whose commands were just handled."""
        members = (*self.queue.new_members, *self.queue.served_members)
        return sum(len(member.queue) if isinstance(member, SourceQueue) else 1 for member in members)


class FairClientConnection(ClientConnection):
    """A client's connection whose commands are handled in turns.

    Its window bounds the commands in flight: one more with each window of commands handled, half of it when
    endpoints have no capacity (additive increase, multiplicative decrease).
    """

    weight = 1.0

    def __init__(self, server: ClientServer, scheduler: CommandScheduler, source: SourceQueue | None) -> None:
        """Create the protocol of a connection that is being accepted.

        Args:
            server: Owns the connection.
            scheduler: Gives it its turns.
            source: Where it takes its turns; None: a turn of its own, beside those of the sources.
        """
        super().__init__(server)
        self.scheduler = scheduler
        self.source = source
        self.credit = QUANTUM
        self.queued = False
        self.window = INITIAL_WINDOW
        self.handled_commands = 0
        # Of the handled commands, those up to the last one in flight when the window was last halved.
        self.halved_up_to = 0

    def read_commands(self) -> None:
        """Wait for a turn to handle what has arrived."""
        self.awaits_turn = True
        self.scheduler.enqueue(self)
        if self.awaits_turn:
            self.update_reading()

    def serve(self, max_cost: float) -> tuple[float, bool]:
        """Handle commands that wait, as a QueueMember.

        A connection with too much in flight, or whose client takes no replies, gets no turn until that is
        over.

        Returns:
            The cost of what was handled, and whether more can be handled now.
        """
        spent = 0.0
        if self.transport.is_closing() or self.broken:
            self.awaits_turn = False
        try:
            while self.awaits_turn and spent < max_cost and self.has_window():
                command = self.reader.gets()
                if command is INCOMPLETE:
                    self.awaits_turn = False
                    self._check_partial_command()
                else:
                    self.handled_commands += 1
                    self.window = min(MAX_PENDING_COMMANDS, self.window + 1 / self.window)
                    self._handle_command(command)
                    spent += command_cost(command)
        except hiredis.ProtocolError:
            self.awaits_turn = False
            self._fail(b"-ERR protocol error\r\n")
        except Exception:  # one connection must not take the others' turns along
            log.exception("a connection's commands could not be taken")
            self.awaits_turn = False
            self.broken = True
            self.transport.abort()
        self.update_reading()
        if not self.awaits_turn and not self.pending_replies:
            self.flush()
        return spent, self.awaits_turn and self.has_window()

    def read_queued_commands(self) -> None:
        """Handle at once all that was read, whatever the window."""
        self.window = math.inf
        self.serve(math.inf)

    def eof_received(self) -> bool:
        """Handle a client that shuts its sending side.

        Returns:
            True to keep the transport open for the replies, where `half_closed` is set and any are due. A
            client that has closed as a whole is found out by the first of them.
        """
        if not self.scheduler.half_closed or not (self.pending_replies or self.awaits_turn):
            return super().eof_received()
        self.close_when_done()
        return True

    def is_closed_by_half_close(self) -> bool:
        """Return whether a client that has shut its sending side counts as gone."""
        return not self.scheduler.half_closed or self.write_shut_at is not None

    def has_window(self) -> bool:
        """Return whether a further command may be in flight."""
        return not self.writing_paused and len(self.pending_replies) < self.window

    def on_overload(self) -> None:
        """Halve the window, once for all that was in flight when endpoints had no capacity."""
        if self.handled_commands > self.halved_up_to:
            self.window = max(MIN_WINDOW, self.window / 2)
            self.halved_up_to = self.handled_commands + len(self.pending_replies)

    def update_reading(self) -> None:
        """Pause or resume reading, and queue for a turn if commands wait and the window has opened."""
        super().update_reading()
        if self.awaits_turn and not self.queued and self.has_window():
            self.scheduler.enqueue(self)


def command_cost(command: Any) -> float:
    """Return what handling a command, a RESP value of any shape, costs: 1 for a short one.

    Large bodies have a budget of their own: here they count as SMALL bytes.
    """
    if not isinstance(command, list):
        return 1.0
    size = sum(len(part) for part in command if isinstance(part, bytes | bytearray))
    return 1.0 + min(STREAMING_THRESHOLD_BYTES, size) / BYTES_PER_COST
