"""The memory of replies that a client has not read."""

from __future__ import annotations

from api_gateway.base.byte_budget import ByteBudget
from api_gateway.downstream.pending_reply import PendingReply

# Bytes that a complete reply takes beside its encoding, until it is written.
REPLY_OVERHEAD_BYTES = 160
# In place of a reply that cannot be written yet and for which there is no memory.
UNDELIVERABLE_REPLY = b"-ERR failed\r\n"


class ReplyAccount:
    """Counts the replies of one connection in the budget of all.

    Attributes:
        unsent_bytes: Bytes that the write buffer holds, as counted in the budget. It keeps each piece that
            was written until the socket has accepted the whole of it.
    """

    def __init__(self, budget: ByteBudget) -> None:
        """Start without any reply; `budget` counts those of all connections."""
        self.unsent_bytes = 0
        self._budget = budget

    def hold(self, reply: PendingReply) -> None:
        """Count a complete reply that cannot be written yet; an error replaces it if the budget is full."""
        assert reply.encoded_reply is not None
        held_bytes = REPLY_OVERHEAD_BYTES + len(reply.encoded_reply)
        if not self._budget.try_reserve(held_bytes):
            if len(reply.encoded_reply) > len(UNDELIVERABLE_REPLY):
                reply.encoded_reply = UNDELIVERABLE_REPLY
            held_bytes = REPLY_OVERHEAD_BYTES
            self._budget.reserve_anyway(held_bytes)
        reply.held_bytes = held_bytes

    def release(self, reply: PendingReply) -> None:
        """Return the bytes of a reply that is written or whose client has disconnected to the budget."""
        self._budget.release(reply.held_bytes)
        reply.held_bytes = 0

    def count_unsent(self, written_bytes: int, *, is_empty: bool) -> bool:
        """Count the write buffer after `written_bytes` were written to it; return whether it has changed.

        Args:
            written_bytes: The length of the piece that was written; 0: none was.
            is_empty: Whether the socket has accepted everything.
        """
        unsent_bytes = 0 if is_empty else self.unsent_bytes + written_bytes
        if unsent_bytes == self.unsent_bytes:
            return False
        self._budget.reserve_anyway(unsent_bytes - self.unsent_bytes)
        self.unsent_bytes = unsent_bytes
        return True

    def close(self) -> None:
        """Return the bytes of the write buffer, which has been discarded, to the budget."""
        self._budget.release(self.unsent_bytes)
        self.unsent_bytes = 0
