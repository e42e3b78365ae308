"""Fetches JSON by HTTP/1.1 GET over a connection that stays open between calls.

h11 implements the protocol. A complete HTTP library takes more CPU at startup than the rest of the gateway,
and 14 MB of memory, while this client needs only GET requests.
"""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress
from typing import Any

import h11

from api_gateway.base.descriptors import reclaim_nothing, retry_after_reclaim
from api_gateway.base.endpoint_list import Address

MAX_BODY_BYTES = 16 * 1024 * 1024  # size of an answer; a list of 1,000 endpoints takes 150 kB
READ_BYTES = 64 * 1024  # maximum size of one read from the socket


class FetchError(Exception):
    """A call failed for a reason other than a network error or a timeout."""


class StatusError(FetchError):
    """The status of the answer is not 2xx."""

    def __init__(self, status: int) -> None:
        """Store the HTTP status."""
        super().__init__(f"status {status}")
        self.status = status


class BrokenConnectionError(FetchError):
    """The connection ended before the answer was complete, or the answer is malformed or too large."""

    def __init__(self, reason: str) -> None:
        """Store the reason, which is also the message."""
        super().__init__(reason)
        self.reason = reason


class IdleConnectionClosedError(BrokenConnectionError):
    """An idle connection was closed, or received data without a request, before the next answer began."""


# The answer to an operator's configuration change contains the class name of an error. These names are part
# of that interface and stay, although the classes have been renamed.
StatusError.__name__ = "Refused"
BrokenConnectionError.__name__ = "Broken"


def format_host(address: Address) -> str:
    """Return an address as the value of a Host header."""
    host, port = address
    return f"{f'[{host}]' if ':' in host else host}:{port}"


def read_json(text: bytes | bytearray) -> Any:
    """Read JSON of any shape.

    Raises:
        ValueError: The text is not JSON, or is nested too deeply.
    """
    try:
        return json.loads(text)
    except RecursionError as err:
        raise ValueError("nested too deeply") from err


class FetchConnection:
    """One HTTP connection, which makes one call at a time. It owns the reader and the writer."""

    def __init__(self, address: Address, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Start the HTTP protocol on an open connection."""
        self.address = address
        self.reader = reader
        self.writer = writer
        self.protocol = h11.Connection(h11.CLIENT)
        self.is_reused = False  # whether a call has been completed on it

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
        """Send a request and read its answer. Raises h11.RemoteProtocolError and whatever get() raises."""
        request = h11.Request(
            method="GET",
            target=target,
            headers=[("Host", format_host(self.address)), ("Accept", "application/json")],
        )
        if self.is_reused and not await self.is_quiet():
            raise IdleConnectionClosedError("data arrived on the idle connection")
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
                body += event.data  # joining a list of chunks would need twice the memory
                if len(body) > MAX_BODY_BYTES:
                    raise BrokenConnectionError(f"an answer of more than {MAX_BODY_BYTES} bytes")
            elif isinstance(event, h11.EndOfMessage):
                break
        if not 200 <= status < 300:
            raise StatusError(status)
        return body

    async def read(self, *, before_status: bool) -> bytes:
        """Read the next bytes; empty if the peer has closed the connection.

        Args:
            before_status: Whether the status of the answer has not been read yet.
        """
        was_idle = before_status and self.is_reused
        try:
            data = await self.reader.read(READ_BYTES)
        except ConnectionError as err:
            raise (IdleConnectionClosedError if was_idle else BrokenConnectionError)(str(err)) from err
        if not data and was_idle:
            raise IdleConnectionClosedError("the connection was closed while idle")
        return data

    async def is_quiet(self) -> bool:
        """Return whether no data has arrived that the next call would mistake for its answer."""
        unexpected = asyncio.ensure_future(self.reader.read(1))
        try:
            await asyncio.sleep(0)
        finally:
            unexpected.cancel()
        [result] = await asyncio.gather(unexpected, return_exceptions=True)
        return isinstance(result, asyncio.CancelledError)

    def prepare_reuse(self) -> bool:
        """Prepare the connection for another call and return whether one can be made."""
        self.is_reused = True
        if (self.protocol.our_state, self.protocol.their_state) != (h11.DONE, h11.DONE):
            return False
        if self.protocol.trailing_data != (b"", False):  # the next call would read it as its answer
            return False
        self.protocol.start_next_cycle()
        return not self.reader.at_eof()

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


class Fetcher:
    """Makes calls and keeps one idle connection open. Concurrent calls use separate connections.

    `reclaim_descriptor` closes a connection elsewhere in this process if no connection can be opened.
    """

    def __init__(self) -> None:
        """Initialise without an idle connection."""
        self.idle_connection: FetchConnection | None = None
        self.reclaim_descriptor = reclaim_nothing

    async def get(self, address: Address, target: str, limit: float) -> Any:
        """Return the JSON at `target`, of any shape. Raises ValueError in addition to what fetch() raises."""
        return read_json(await self.fetch(address, target, limit))

    async def fetch(self, address: Address, target: str, limit: float) -> bytearray:
        """Return the body of the answer for `target`.

        Args:
            address: Address of the service.
            target: Path and query.
            limit: Time limit of the call in seconds.

        Raises:
            TimeoutError: The call exceeded `limit`.
            StatusError, BrokenConnectionError, OSError: As in FetchConnection.get().
        """
        async with asyncio.timeout(limit):
            idle = self.idle_connection
            self.idle_connection = None
            if idle is not None and idle.address == address:
                with suppress(IdleConnectionClosedError):
                    return await self.call(idle, target)
            elif idle is not None:
                idle.close()
            streams = await retry_after_reclaim(
                lambda: asyncio.open_connection(*address), self.reclaim_descriptor
            )
            return await self.call(FetchConnection(address, *streams), target)

    async def call(self, connection: FetchConnection, target: str) -> bytearray:
        """Make a call on a connection, then keep it as the idle connection or close it."""
        stays_open = False
        try:
            body = await connection.get(target)
            stays_open = connection.prepare_reuse() and self.idle_connection is None
            return body
        finally:
            if stays_open:
                self.idle_connection = connection
            else:
                connection.close()

    def close(self) -> None:
        """Close the idle connection, if there is one."""
        if self.idle_connection is not None:
            self.idle_connection.close()
            self.idle_connection = None
