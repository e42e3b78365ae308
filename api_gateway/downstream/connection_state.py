"""The state of a client connection, without I/O: what it may still read and handle, and when it may end.

A request can stand in many places: unread in the socket, in part or whole in the reader, waiting for a turn
or for memory, unanswered, or answered and not written. Every end of a connection (the limit, an eviction, a
drain, an error) asks this state, so that each of them looks at all places.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from enum import Enum, StrEnum


class Phase(Enum):
    """How far the end of a connection has come."""

    OPEN = "open"  # commands are read and answered
    CLOSING = "closing"  # the same, until no request and no part of one is open
    INPUT_ENDED = "input_ended"  # no command is handled any more; the pending replies are still written
    SENDING_SHUT = "sending_shut"  # nothing is written any more; the client is still to close its side
    CLOSED = "closed"  # the client has left, or the connection was aborted


class Input(Enum):
    """What has been read and not been handled."""

    NONE_YET = "none_yet"  # no byte was read so far
    EMPTY = "empty"  # nothing: the client is between two commands
    PARTIAL = "partial"  # the beginning of a command, whose rest is still to be read
    UNHANDLED = "unhandled"  # bytes that may hold whole commands


class ConnectionEvent(Enum):
    """What changes the phase of a connection."""

    CLOSE_REQUESTED = "close_requested"  # close it once its requests are answered
    INPUT_FAILED = "input_failed"  # the rest of its input cannot be handled
    SENDING_SHUT = "sending_shut"
    ABANDONED = "abandoned"


class CloseCause(StrEnum):
    """Who or what began the end of a client connection."""

    NONE = "none"  # nobody yet
    CONNECTION_LIMIT = "connection_limit"  # it was accepted above the limit
    EVICTION = "eviction"  # it was idle, and made room for another
    LOWERED_LIMIT = "lowered_limit"
    DRAIN = "drain"  # a standby, an upgrade or a shutdown
    CLIENT = "client"  # the client has shut its sending side or disconnected
    ERROR = "error"  # the gateway cannot read on or go on writing; the reason of the end tells why


class InvalidTransitionError(Exception):
    """An event that the phase of the connection does not allow.

    Attributes:
        phase: The phase.
        event: What came in it.
    """

    def __init__(self, phase: Phase, event: str) -> None:
        """Create the error with a message that names both."""
        super().__init__(f"{event} in phase {phase.value}")
        self.phase = phase
        self.event = event


TRANSITIONS: Mapping[Phase, Mapping[ConnectionEvent, Phase]] = {
    Phase.OPEN: {
        ConnectionEvent.CLOSE_REQUESTED: Phase.CLOSING,
        ConnectionEvent.INPUT_FAILED: Phase.INPUT_ENDED,
        ConnectionEvent.ABANDONED: Phase.CLOSED,
    },
    Phase.CLOSING: {
        ConnectionEvent.CLOSE_REQUESTED: Phase.CLOSING,
        ConnectionEvent.INPUT_FAILED: Phase.INPUT_ENDED,
        ConnectionEvent.SENDING_SHUT: Phase.SENDING_SHUT,
        ConnectionEvent.ABANDONED: Phase.CLOSED,
    },
    Phase.INPUT_ENDED: {
        ConnectionEvent.CLOSE_REQUESTED: Phase.INPUT_ENDED,
        ConnectionEvent.INPUT_FAILED: Phase.INPUT_ENDED,
        ConnectionEvent.SENDING_SHUT: Phase.SENDING_SHUT,
        ConnectionEvent.ABANDONED: Phase.CLOSED,
    },
    Phase.SENDING_SHUT: {
        ConnectionEvent.CLOSE_REQUESTED: Phase.SENDING_SHUT,
        ConnectionEvent.ABANDONED: Phase.CLOSED,
    },
    Phase.CLOSED: dict.fromkeys(ConnectionEvent, Phase.CLOSED),
}
# Phases in which commands are read and handled.
HANDLING_PHASES = frozenset({Phase.OPEN, Phase.CLOSING})


class ConnectionState:
    """The phase of a connection, its input, and the decisions that follow from them.

    Attributes:
        phase: How far its end has come.
        input: What was read and is not handled.
        close_cause: What began its end.
        is_reading_stopped: Whether a drain has ended reading until the drain is over.
    """

    def __init__(self) -> None:
        """Start with an open connection from which nothing was read."""
        self.phase = Phase.OPEN
        self.input = Input.NONE_YET
        self.close_cause = CloseCause.NONE
        self.is_reading_stopped = False

    # Events

    def handle(self, event: ConnectionEvent) -> None:
        """Change the phase; raises InvalidTransitionError if the phase does not allow the event."""
        transitions = TRANSITIONS[self.phase]
        if event not in transitions:
            raise InvalidTransitionError(self.phase, event.value)
        self.phase = transitions[event]

    def begin_close(self, cause: CloseCause) -> bool:
        """Request a close; return whether this began it, as the first cause is the one that is reported."""
        self.handle(ConnectionEvent.CLOSE_REQUESTED)
        if self.close_cause is not CloseCause.NONE:
            return False
        self.close_cause = cause
        return True

    def on_bytes_read(self) -> None:
        """Record that the reader has got bytes; raises InvalidTransitionError if none may be handled."""
        self._require_handling("bytes_read")
        self.input = Input.UNHANDLED

    def on_command(self) -> None:
        """Check that a command may be handled; raises InvalidTransitionError if not."""
        self._require_handling("command")

    def on_commands_handled(self, *, is_partial: bool) -> None:
        """Record that the reader holds no whole command, and whether it holds the beginning of one."""
        self.input = Input.PARTIAL if is_partial else Input.EMPTY

    def _require_handling(self, event: str) -> None:
        if not self.may_handle:
            raise InvalidTransitionError(self.phase, event)

    # Decisions

    @property
    def may_handle(self) -> bool:
        """Whether commands may be handled: never once sending is shut, as no reply could be written."""
        return self.phase in HANDLING_PHASES

    @property
    def may_write(self) -> bool:
        """Whether replies may be written."""
        return self.phase not in (Phase.SENDING_SHUT, Phase.CLOSED)

    @property
    def may_read(self) -> bool:
        """Whether further bytes may be read."""
        return self.may_handle and not self.is_reading_stopped

    @property
    def is_closing(self) -> bool:
        """Whether the connection is to be closed, at once or once its requests are answered."""
        return self.phase is not Phase.OPEN

    @property
    def is_sending_shut(self) -> bool:
        """Whether the connection only waits for the client to close its side."""
        return self.phase is Phase.SENDING_SHUT

    @property
    def has_no_input(self) -> bool:
        """Whether no command and no part of one was read that is not handled."""
        return self.input in (Input.NONE_YET, Input.EMPTY)

    def is_at_rest(self, *, has_pending_replies: bool) -> bool:
        """Return whether no request and no part of one is open, as far as the socket has been read.

        Only such a connection may be closed without an answer to make room for others.
        """
        return self.phase is Phase.OPEN and self.has_no_input and not has_pending_replies

    def has_only_a_part(self, *, has_pending_replies: bool) -> bool:
        """Return whether the beginning of a command is all that is open on an open connection."""
        return self.phase is Phase.OPEN and self.input is Input.PARTIAL and not has_pending_replies

    def may_shut_sending(
        self, *, has_pending_replies: bool, is_draining: bool, has_unread_bytes: Callable[[], bool]
    ) -> bool:
        """Return whether the sending side is to be shut now.

        A request or a part of one that has been read is answered first: when reading is stopped, a part has
        to be rejected. What is unread then, or arrives later, stays unread, so that its client sends it again
        elsewhere.

        Args:
            has_pending_replies: Whether replies are not complete or not written.
            is_draining: Whether a drain closes all connections.
            has_unread_bytes: Returns whether the socket holds unread bytes; called only if all else allows
                the shutdown.
        """
        if has_pending_replies or not self.may_handle:
            return self.phase is Phase.INPUT_ENDED and not has_pending_replies
        if not self._is_close_due(is_draining=is_draining):
            return False
        return self.is_reading_stopped or not has_unread_bytes()

    def _is_close_due(self, *, is_draining: bool) -> bool:
        """Return whether a close is requested and nothing that has been read forbids it."""
        # A drain leaves a new connection some time for its first command, until reading is stopped.
        is_first_command_due = self.input is Input.NONE_YET and not self.is_reading_stopped
        if self.phase is Phase.OPEN and (not is_draining or is_first_command_due):
            return False
        return self.has_no_input
