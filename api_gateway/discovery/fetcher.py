"""JSON by HTTP/1.1 GET: h11 reads and writes the protocol, one connection rests between two calls.

A whole HTTP library takes more CPU at a start than the rest of the gateway, and 14 MB; a client needs none of
its parts but these.
"""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress
from typing import Any

import h11

from api_gateway.base.descriptors import reclaim_nothing, retry_after_reclaim
from api_gateway.base.endpoint_list import Address

MOST_BODY = 16 * 1024 * 1024  # bytes of an answer: a list of 1,000 hosts takes 150 kB
PIECE = 64 * 1024


class Refused(Exception):
    """The answer is not 2xx."""

    def __init__(self, status: int) -> None:
        super().__init__(f"status {status}")
        self.status = status


class Broken(Exception):
    """The connection ended before the answer was whole, or it is none, or too large."""


class Closed(Broken):
    """A connection that rested was closed meanwhile, or brought what nobody asked for: no answer came."""


def host_of(address: Address) -> str:
    host, port = address
    return f"{f'[{host}]' if ':' in host else host}:{port}"


def read_json(text: bytes | bytearray) -> Any:
    try:
        return json.loads(text)
    except RecursionError as err:
        raise ValueError("nested too deeply") from err


class Line:
    """One connection; calls on it go one behind the other."""

    def __init__(self, address: Address, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.address, self.reader, self.writer = address, reader, writer
        self.conn, self.used = h11.Connection(h11.CLIENT), False

    async def get(self, target: str) -> bytearray:
        """Raises Refused, Broken or OSError."""
        try:
            return await self.answer(target)
        except h11.RemoteProtocolError as err:
            raise Broken(str(err)) from err

    async def answer(self, target: str) -> bytearray:
        head = h11.Request(
            method="GET",
            target=target,
            headers=[("Host", host_of(self.address)), ("Accept", "application/json")],
        )
        if self.used and not await self.quiet():
            raise Closed("something came while it rested")
        self.writer.write(self.conn.send(head) + self.conn.send(h11.EndOfMessage()))
        status, body = 0, bytearray()
        while True:
            event = self.conn.next_event()
            if event is h11.NEED_DATA:
                self.conn.receive_data(await self.read(not status))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data  # pieces that are joined would take twice the memory
                if len(body) > MOST_BODY:
                    raise Broken(f"an answer of more than {MOST_BODY} bytes")
            elif isinstance(event, h11.EndOfMessage):
                break
        if not 200 <= status < 300:
            raise Refused(status)
        return body

    async def read(self, first: bool) -> bytes:
        try:
            data = await self.reader.read(PIECE)
        except ConnectionError as err:
            raise (Closed if first and self.used else Broken)(str(err)) from err
        if not data and first and self.used:
            raise Closed("closed while it rested")
        return data

    async def quiet(self) -> bool:
        """Whether nothing has come since the last answer: the next call would take that for its own."""
        more = asyncio.ensure_future(self.reader.read(1))
        try:
            await asyncio.sleep(0)
        finally:
            more.cancel()
        [came] = await asyncio.gather(more, return_exceptions=True)
        return isinstance(came, asyncio.CancelledError)

    def rests(self) -> bool:
        """Whether another call may go on it."""
        self.used = True
        if (self.conn.our_state, self.conn.their_state) != (h11.DONE, h11.DONE):
            return False
        if self.conn.trailing_data != (b"", False):  # the next call would take that for its answer
            return False
        self.conn.start_next_cycle()
        return not self.reader.at_eof()

    def close(self) -> None:
        self.writer.close()


class Fetcher:
    """Calls of one caller. Calls at the same time each have a connection of their own; one is kept."""

    def __init__(self) -> None:
        self.resting: Line | None = None
        self.reclaim_descriptor = reclaim_nothing  # ends a connection of others where none can be opened

    async def get(self, address: Address, target: str, limit: float) -> Any:
        """The JSON that is told there. Raises ValueError beside what fetch() raises."""
        return read_json(await self.fetch(address, target, limit))

    async def fetch(self, address: Address, target: str, limit: float) -> bytearray:
        """What is told there, within `limit` seconds. Raises TimeoutError beside what Line.get raises."""
        async with asyncio.timeout(limit):
            line, self.resting = self.resting, None
            if line is not None and line.address == address:
                with suppress(Closed):
                    return await self.call(line, target)
            elif line is not None:
                line.close()
            opened = await retry_after_reclaim(
                lambda: asyncio.open_connection(*address), self.reclaim_descriptor
            )
            line = Line(address, *opened)
            return await self.call(line, target)

    async def call(self, line: Line, target: str) -> bytearray:
        kept = False
        try:
            body = await line.get(target)
            kept = line.rests() and self.resting is None
            return body
        finally:
            if kept:
                self.resting = line
            else:
                line.close()

    def close(self) -> None:
        if self.resting is not None:
            self.resting.close()
            self.resting = None
