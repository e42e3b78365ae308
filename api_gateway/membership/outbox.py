"""The datagrams that one input of a member gives rise to, in their order."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from api_gateway.membership.messages import Address, Datagram, MemberUpdate, Message, encode_datagram


@dataclass(frozen=True, slots=True)
class Send:
    """A datagram for the caller to send.

    Attributes:
        to: Where it goes.
        data: Its bytes.
    """

    to: Address
    data: bytes


class Outbox:
    """Encodes datagrams of one member and keeps them until the caller takes them.

    Each names the address at which the member is reached: answers go there, not to where it came from.
    """

    def __init__(self, cluster: str, name: str, address: Address, counts: Counter[str]) -> None:
        """Start empty, for the member `name` of `cluster` that is reached at `address`."""
        self._cluster = cluster
        self._name = name
        self._address = address
        self._counts = counts
        self._sends: list[Send] = []

    def add(
        self,
        to: Address,
        message: Message,
        updates: Iterable[MemberUpdate],
        *,
        is_full_state: bool = False,
    ) -> None:
        """Encode a datagram now, with what is known now."""
        datagram = Datagram(self._name, self._address, message, tuple(updates), is_full_state)
        self._sends.append(Send(to, encode_datagram(self._cluster, datagram)))

    def drain(self) -> list[Send]:
        """Return what is to be sent, which the caller owns then, and count it."""
        sends = self._sends
        self._sends = []
        self._counts["sent"] += len(sends)
        return sends
