"""Large request bodies: one that is being received, and the memory for all of them."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from api_gateway.base.resp import MOST_LARGE

if TYPE_CHECKING:
    from api_gateway.downstream.client_connection import Client


class Body:
    """A large body that comes in pieces. Its place in the budget is taken before any of them."""

    __slots__ = ("data", "size")

    def __init__(self, length: int) -> None:
        self.data, self.size = bytearray(length), 0

    def add(self, piece: bytes) -> None:
        if self.size < len(self.data):  # and not the end behind it
            self.data[self.size : self.size + len(piece)] = piece
            self.size += len(piece)


class Budget:
    """Bytes of large bodies over all clients. Who finds no room waits; the first of them gets in first."""

    def __init__(self) -> None:
        self.most = MOST_LARGE
        self.used = 0
        self.waiting: deque[tuple[int, Client]] = deque()

    def take(self, length: int, client: Client) -> None:
        self.waiting.append((length, client))
        self.admit()

    def give(self, length: int) -> None:
        self.used -= length
        self.admit()

    def admit(self) -> None:
        """One body at least always has its place, however small the budget has become."""
        while self.waiting:
            length, client = self.waiting[0]
            gone = client.transport.is_closing()
            if not gone and self.used and self.used + length > self.most:
                return
            self.waiting.popleft()
            if not gone:
                self.used += length
                client.admitted(length)
