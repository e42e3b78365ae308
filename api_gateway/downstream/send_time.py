"""An estimate of when a client sent what the gateway has just read."""

from __future__ import annotations

from collections.abc import Callable

# Seconds without a byte in an empty socket, after which further bytes of a large command were sent later.
# A client whose buffers are full needs about one round trip to send on.
STREAM_PAUSE_S = 0.05


class SendTime:
    """The earliest time at which a client may have sent the last bytes that were read from it.

    Usually that is when they were read. A large command may have waited unread. Its bytes, and those that
    follow it, may then have been sent before the wait, until the socket has once been read empty and, within
    the command, stayed empty for STREAM_PAUSE_S.

    Attributes:
        earliest: That time, in seconds of the monotonic clock.
    """

    def __init__(self, now: float) -> None:
        """Begin with a connection that was opened at `now`."""
        self.earliest = now
        self._is_behind = False  # whether the bytes read next may be older than they seem
        self._required_pause_s = 0.0  # how long an empty socket must stay so
        self._was_emptied = False  # whether the last read left the socket empty
        self._last_read_at = now

    def on_wait_ended(self, now: float) -> None:
        """Reading of a large command begins again after a wait."""
        self._is_behind = True
        self._required_pause_s = STREAM_PAUSE_S
        self._was_emptied = False
        self._last_read_at = now

    def on_order_wait_ended(self, began_at: float, now: float) -> None:
        """A wait for the end of an earlier reply is over; it does not count in the time of later commands.

        Args:
            began_at: When the wait began.
            now: When it ended.
        """
        self.earliest = min(now, self.earliest + now - began_at)

    def on_large_command_ended(self) -> None:
        """The last byte of a large command was read."""
        self._required_pause_s = 0.0

    def on_read(self, now: float, count_unread_bytes: Callable[[], int]) -> None:
        """Bytes were read.

        Args:
            now: When.
            count_unread_bytes: Returns how many further bytes the socket holds; called only after a wait.
        """
        if self._is_behind and self._was_emptied and now - self._last_read_at >= self._required_pause_s:
            self._is_behind = False
        if self._is_behind:
            self._was_emptied = count_unread_bytes() == 0
        else:
            self.earliest = now
        self._last_read_at = now
