"""JSON by HTTP/1.1 GET, over one connection that stays open between two calls.

h11 reads and writes the protocol. A complete HTTP library takes more CPU at a start than the rest of the
gateway, and 14 MB; this client needs none of its parts but these.
"""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress
from typing import Any

import h11

from api_gateway.base.descriptors import reclaim_nothing, retry_after_reclaim
from api_gateway.base.endpoint_list import Address

MAX_BODY_BYTES = 16 * 1024 * 1024  # of an answer: a list of 1,000 endpoints takes 150 kB
READ_BYTES = 64 * 1024  # read from the socket at once


class FetchError(Exception):
    """A call failed other than by the network or by time."""


class StatusError(FetchError):
    """The answer's status is not 2xx."""

    def __init__(self, status: int) -> None:
        """Initialise the status error."""
        super().__init__(f"status {status}")
        self.status = status


class BrokenConnectionError(FetchError):
    """The connection ended before the answer was complete, or what came is no answer, or too large."""

    def __init__(self, reason: str) -> None:
        """Initialise the broken connection error."""
        super().__init__(reason)
        self.reason = reason


class IdleConnectionClosedError(BrokenConnectionError):
    """An idle connection was closed meanwhile, or brought what was not requested: no answer came."""


# The answer to an operator's change of the configuration names an error by its class; that text stays.
StatusError.__name__ = "Refused"
BrokenConnectionError.__name__ = "Broken"


def format_host(address: Address) -> str:
    """Return an address as a Host header has it."""
    host, port = address
    return f"{f'[{host}]' if ':' in host else host}:{port}"


def read_json(text: bytes | bytearray) -> Any:
    """Read JSON of any shape.

    Raises:
        ValueError: It is none, or nested too deeply.
    """
    try:
        return json.loads(text)
    except RecursionError as err:
        raise ValueError("nested too deeply") from err


class FetchConnection:
    """One connection, whose calls follow one another. It owns the reader and the writer."""

    def __init__(self, address: Address, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Initialise the line."""
        self.address = address
        self.reader = reader
        self.writer = writer
        self.protocol = h11.Connection(h11.CLIENT)
        self.is_reused = False  # whether a call has ended on it

    async def get(self, target: str) -> bytearray:
        """Make a call and return the body of the answer.

        Raises:
            StatusError: The answer is not 2xx.
            BrokenConnectionError: There is no complete answer.
            OSError: The connection failed.
        """
        try:
            return await self.exchange(target)
        except h11.RemoteProtocolError as err:
            raise BrokenConnectionError(str(err)) from err

    async def exchange(self, target: str) -> bytearray:
        """Write a request and read its answer. Raises h11.RemoteProtocolError beside what get() raises."""
        request = h11.Request(
            method="GET",
            target=target,
            headers=[("Host", format_host(self.address)), ("Accept", "application/json")],
        )
        if self.is_reused and not await self.is_quiet():
            raise IdleConnectionClosedError("something came while it rested")
        self.writer.write(self.protocol.send(request) + self.protocol.send(h11.EndOfMessage()))
        status = 0
        body = bytearray()
        while True:
            event = self.protocol.next_event()
            if event is h11.NEED_DATA:
                self.protocol.receive_data(await self.read(before_status=not status))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data  # joining pieces would take twice the memory
                if len(body) > MAX_BODY_BYTES:
                    raise BrokenConnectionError(f"an answer of more than {MAX_BODY_BYTES} bytes")
            elif isinstance(event, h11.EndOfMessage):
                break
        if not 200 <= status < 300:
            raise StatusError(status)
        return body

    async def read(self, *, before_status: bool) -> bytes:
        """Read what comes next; nothing: the peer has closed.

        Args:
            before_status: Whether nothing of the answer has been read yet.
        """
        was_idle = before_status and self.is_reused
        try:
            data = await self.reader.read(READ_BYTES)
        except ConnectionError as err:
            raise (IdleConnectionClosedError if was_idle else BrokenConnectionError)(str(err)) from err
        if not data and was_idle:
            raise IdleConnectionClosedError("closed while it rested")
        return data

    async def is_quiet(self) -> bool:
        """Return whether nothing has come since the last answer: the next call would take it for its own."""
        unexpected = asyncio.ensure_future(self.reader.read(1))
        try:
            await asyncio.sleep(0)
        finally:
            unexpected.cancel()
        [result] = await asyncio.gather(unexpected, return_exceptions=True)
        return isinstance(result, asyncio.CancelledError)

    def prepare_reuse(self) -> bool:
        """Return whether another call may be made on this connection, and make it ready for one."""
        self.is_reused = True
        if (self.protocol.our_state, self.protocol.their_state) != (h11.DONE, h11.DONE):
            return False
        if self.protocol.trailing_data != (b"", False):  # the next call would take that for its answer
            return False
        self.protocol.start_next_cycle()
        return not self.reader.at_eof()

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


class Fetcher:
    """Calls of one caller. Concurrent calls each have a connection of their own; one stays open when idle.

    `reclaim_descriptor` ends a connection of others where none can be opened.
    """

    def __init__(self) -> None:
        """Initialise the fetcher."""
        self.idle_connection: FetchConnection | None = None
        self.reclaim_descriptor = reclaim_nothing

    async def get(self, address: Address, target: str, limit: float) -> Any:
        """Return the JSON at `target`, of any shape. Raises ValueError beside what fetch() raises."""
        return read_json(await self.fetch(address, target, limit))

    async def fetch(self, address: Address, target: str, limit: float) -> bytearray:
        """Return the body at `target`.

        Args:
            address: Where the service listens.
            target: Path and query.
            limit: Time limit of the call in seconds.

        Raises:
            TimeoutError: The call took longer; beside what Line.get() raises.
        """
        async with asyncio.timeout(limit):
            idle = self.idle_connection
            self.idle_connection = None
            if idle is not None and idle.address == address:
                with suppress(IdleConnectionClosedError):
                    return await self.call(idle, target)
            elif idle is not None:
                idle.close()
            opened = await retry_after_reclaim(
                lambda: asyncio.open_connection(*address), self.reclaim_descriptor
            )
            return await self.call(FetchConnection(address, *opened), target)

    async def call(self, line: FetchConnection, target: str) -> bytearray:
        """Make a call on a connection, and keep it open or close it."""
        stays_open = False
        try:
            body = await line.get(target)
            stays_open = line.prepare_reuse() and self.idle_connection is None
            return body
        finally:
            if stays_open:
                self.idle_connection = line
            else:
                line.close()

    def close(self) -> None:
        """Close the idle connection, if there is one."""
        if self.idle_connection is not None:
            self.idle_connection.close()
            self.idle_connection = None
