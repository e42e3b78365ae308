"""Fair queueing of commands among sources, and among the connections of each source.

FairQueue implements deficit round robin (Shreedhar and Varghese, SIGCOMM 1995) with the list of new flows of
FQ-CoDel (RFC 8290). Waiting commands stay unparsed in their connection, so no second queue builds up.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from typing import Any, Protocol

import hiredis

from api_gateway.base.resp import INCOMPLETE, STREAMING_THRESHOLD_BYTES
from api_gateway.downstream.client_connection import MAX_PENDING_COMMANDS, ClientConnection
from api_gateway.downstream.client_server import ClientServer
from api_gateway.downstream.connection_ends import EndReason
from api_gateway.downstream.connection_state import CloseCause

# Cost that a connection or source of weight 1 may spend per round; a short command costs 1.
QUANTUM = 4.0
# Bytes of a command that add a cost of 1.
BYTES_PER_COST = 1024
# Commands in flight per connection: the initial window, and the smallest one under overload.
INITIAL_WINDOW = 32.0
MIN_WINDOW = 4.0
# Cost of the commands handled in one iteration of the event loop, before replies and new bytes: about 2 ms.
BATCH_COST = 8.0

log = logging.getLogger(__name__)


class QueueMember(Protocol):
    """A queued flow of commands: a connection, or a source with all its connections."""

    queued: bool  # whether it is in its queue
    credit: float  # cost that it may still spend in this round; negative: debt
    weight: float  # weight relative to other members

    def serve(self, max_cost: float) -> tuple[float, bool]:
        """Handle waiting commands until their cost reaches `max_cost`, which the last one may exceed.

        Returns:
            The cost, and whether more commands wait.
        """
        ...


class FairQueue:
    """Schedules the members that have commands waiting.

    Each round gives a member a credit of QUANTUM times its weight. A member that arrives without debt is
    served once before the members that already had a turn.
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
        """Serve members in turn; a queue has the interface of a member, so that queues form a tree.

        Returns:
            The cost of the handled commands, and whether more commands wait.
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
                # A new member without further commands stays queued for a round; otherwise its next command
                # would make it a new member again.
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
    """Handles the commands of all connections in batches, between which the event loop does other work."""

    def __init__(self, half_closed: bool = False) -> None:
        """Create a scheduler without connections.

        Args:
            half_closed: Whether a client that shuts its sending side still gets its replies.
        """
        self.loop = asyncio.get_running_loop()
        self.half_closed = half_closed
        self.queue = FairQueue()
        self.is_scheduled = False  # whether a batch is running or scheduled
        self.sources: dict[str, SourceQueue] = {}

    def add_to_source(self, name: str, weight: float) -> SourceQueue:
        """Count a connection of the source `name`, which is created with `weight` if it is new."""
        source = self.sources.setdefault(name, SourceQueue(weight))
        source.connection_count += 1
        return source

    def remove_from_source(self, name: str) -> None:
        """Uncount a connection of the source `name`, and remove the source with its last connection."""
        source = self.sources[name]
        source.connection_count -= 1
        if not source.connection_count:
            del self.sources[name]

    def enqueue(self, connection: FairClientConnection) -> None:
        """Queue a connection, and handle its commands immediately if no batch is scheduled."""
        if connection.source is None:
            self.queue.add(connection)
        else:
            connection.source.queue.add(connection)
            self.queue.add(connection.source)
        if not self.is_scheduled:
            self.run_batch()

    def run_batch(self) -> None:
        """Handle commands up to a cost of BATCH_COST, and schedule the next batch if more wait."""
        self.is_scheduled = True  # during the batch, too: commands unblocked by a reply must be queued
        self.is_scheduled = self.queue.serve(BATCH_COST)[1]
        if self.is_scheduled:
            self.loop.call_soon(self.run_batch)

    def count_waiting(self) -> int:
        """Count the queued connections, which include some whose commands were just handled."""
        members = (*self.queue.new_members, *self.queue.served_members)
        return sum(len(member.queue) if isinstance(member, SourceQueue) else 1 for member in members)


class FairClientConnection(ClientConnection):
    """A client connection whose commands are scheduled by fair queueing.

    Its window limits the commands in flight. It grows by one with each window of handled commands and is
    halved when endpoints have no capacity (additive increase, multiplicative decrease).
    """

    weight = 1.0

    def __init__(self, server: ClientServer, scheduler: CommandScheduler, source: SourceQueue | None) -> None:
        """Create the protocol of a connection that is being accepted.

        Args:
            server: Owns the connection.
            scheduler: Schedules its commands.
            source: The source that it is queued in; None: it is queued by itself, next to the sources.
        """
        super().__init__(server)
        self.scheduler = scheduler
        self.source = source
        self.credit = QUANTUM
        self.queued = False
        self.window = INITIAL_WINDOW
        self.handled_commands = 0
        # handled_commands must exceed this number before the window is halved again.
        self.halved_up_to = 0

    def read_commands(self) -> None:
        """Queue the received commands."""
        self.awaits_turn = True
        self.scheduler.enqueue(self)
        if self.awaits_turn:
            self.update_reading()

    def serve(self, max_cost: float) -> tuple[float, bool]:
        """Handle waiting commands, as a QueueMember.

        A connection with a full window, or whose client reads no replies, is not queued again until this has
        changed.

        Returns:
            The cost of the handled commands, and whether more can be handled now.
        """
        spent = 0.0
        if self.transport.is_closing() or not self.state.may_handle:
            self.awaits_turn = False
        try:
            while self.awaits_turn and spent < max_cost and self.state.may_handle and self.has_window():
                command = self.reader.next_command()
                if command is INCOMPLETE:
                    self.awaits_turn = False
                    self._on_commands_handled()
                else:
                    self.handled_commands += 1
                    self.window = min(MAX_PENDING_COMMANDS, self.window + 1 / self.window)
                    self._handle_command(command)
                    spent += command_cost(command)
        except hiredis.ProtocolError:
            self.awaits_turn = False
            self.fail(b"-ERR protocol error\r\n", EndReason.PROTOCOL_ERROR)
        except Exception:  # an error of one connection must not stop the batch of the others
            log.exception("handling the commands of a connection failed")
            self.server.ends.record(EndReason.INTERNAL_ERROR, self)
            self.awaits_turn = False
            self.abort()
        self.update_reading()
        if not self.awaits_turn and not self.pending_replies:
            self.flush()
        return spent, self.awaits_turn and self.has_window()

    def eof_received(self) -> bool:
        """Handle a client that shuts its sending side.

        Returns:
            True to keep the transport open for the replies, if `half_closed` is set and any are pending. A
            client that has closed both directions is detected when the first reply is written.
        """
        if not self.scheduler.half_closed or not (self.pending_replies or self.awaits_turn):
            return super().eof_received()
        self.close_when_done(CloseCause.CLIENT)
        return True

    def is_closed_by_half_close(self) -> bool:
        """Return whether a client that has shut its sending side counts as disconnected."""
        return not self.scheduler.half_closed or self.state.is_sending_shut

    def queue_for_turn(self) -> None:
        """Queue for a turn if commands wait and the window has opened."""
        if not self.queued and self.has_window():
            self.scheduler.enqueue(self)

    def has_window(self) -> bool:
        """Return whether the window and the client admit another command in flight."""
        return self.can_handle_more() and len(self.pending_replies) < self.window

    def on_overload(self) -> None:
        """Halve the window, but only once for all commands in flight when endpoints had no capacity."""
        if self.handled_commands > self.halved_up_to:
            self.window = max(MIN_WINDOW, self.window / 2)
            self.halved_up_to = self.handled_commands + len(self.pending_replies)


def command_cost(command: Any) -> float:
    """Return the cost of handling a command, a RESP value of any shape; a short command costs 1.

    Large bodies have a separate budget, so they count as STREAMING_THRESHOLD_BYTES here.
    """
    if not isinstance(command, list):
        return 1.0
    size = sum(len(part) for part in command if isinstance(part, bytes | bytearray))
    return 1.0 + min(STREAMING_THRESHOLD_BYTES, size) / BYTES_PER_COST
