"""The outgoing datagrams that result from one input of a member, in order."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from api_gateway.membership.messages import Address, Datagram, MemberUpdate, Message, encode_datagram


@dataclass(frozen=True, slots=True)
class OutgoingDatagram:
    """An encoded datagram for the caller to send.

    Attributes:
        to: Destination address.
        data: The bytes to send.
    """

    to: Address
    data: bytes


class Outbox:
    """Encodes the datagrams of one member and buffers them until the caller drains them.

    Each datagram names the advertised address of the member. Replies go there, not to the source address.
    """

    def __init__(self, cluster: str, name: str, address: Address, counts: Counter[str]) -> None:
        """Start empty, for the member `name` of `cluster` with the advertised address `address`."""
        self._cluster = cluster
        self._name = name
        self._address = address
        self._counts = counts
        self._datagrams: list[OutgoingDatagram] = []

    def add(
        self,
        to: Address,
        message: Message,
        updates: Iterable[MemberUpdate],
        *,
        is_full_state: bool = False,
    ) -> None:
        """Encode a datagram with the current updates and queue it."""
        datagram = Datagram(self._name, self._address, message, tuple(updates), is_full_state)
        self._datagrams.append(OutgoingDatagram(to, encode_datagram(self._cluster, datagram)))

    def drain(self) -> list[OutgoingDatagram]:
        """Return the queued datagrams, count them as sent, and empty the outbox. The caller owns the list."""
        datagrams = self._datagrams
        self._datagrams = []
        self._counts["sent"] += len(datagrams)
        return datagrams
