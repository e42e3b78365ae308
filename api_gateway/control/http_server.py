"""An HTTP/1.1 server that answers one call per connection.

h11 implements the protocol. A complete HTTP library takes 11 MB of memory, a third of the smallest limit of a
gateway.
"""

from __future__ import annotations

import asyncio
import json
import logging
import time
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qsl, unquote

import h11

# Maximum open connections; one more closes the oldest.
MAX_CONNECTIONS = 16
# Seconds after which a connection is closed, whether or not it has made a call.
CALL_TIMEOUT_S = 6.0
# Bytes read at once.
READ_BYTES = 16 * 1024

log = logging.getLogger(__name__)

# The HTTP status and the JSON object of the body.
Answer = tuple[int, dict[str, Any]]


class ControlCall:
    """One call: its request line, and its body as far as it has been read.

    Attributes:
        method: The HTTP method.
        target: The path and query as sent.
        path: The decoded path.
        query: The decoded names and values of the query, in their order.
    """

    def __init__(self, request: h11.Request, connection: CallConnection) -> None:
        """Decode the request line of `request`, whose body `connection` reads."""
        self.method = request.method.decode("ascii")
        self.target = request.target.decode("ascii")
        path, _, query = self.target.partition("?")
        self.path = unquote(path)
        self.query = parse_qsl(query, keep_blank_values=True)
        self._connection = connection

    async def read_body(self, max_bytes: int, timeout_s: float) -> bytes:
        """Return the body; a longer one is read only until it exceeds `max_bytes`.

        Raises:
            TimeoutError: The body does not arrive within `timeout_s` seconds.
        """
        body = bytearray()
        self._connection.send_continue()
        async with asyncio.timeout(timeout_s):
            while len(body) <= max_bytes:
                event = await self._connection.next_event()
                if not isinstance(event, h11.Data):
                    break
                body += event.data
        return bytes(body)


class CallConnection:
    """The HTTP protocol of one connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Start the protocol on an open connection."""
        self._reader = reader
        self._writer = writer
        self._protocol = h11.Connection(h11.SERVER)

    async def next_event(self) -> Any:
        """Return the next event of h11, once it has arrived. Raises h11.RemoteProtocolError and OSError."""
        while True:
            event = self._protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            self._protocol.receive_data(await self._reader.read(READ_BYTES))

    def send_continue(self) -> None:
        """Ask the client for the body if it waits for that."""
        if self._protocol.they_are_waiting_for_100_continue:
            reply = h11.InformationalResponse(status_code=HTTPStatus.CONTINUE, headers=[], reason="Continue")
            self._writer.write(self._protocol.send(reply) or b"")

    async def send_answer(self, answer: Answer) -> None:
        """Send an answer and wait until it is written, or the client has disconnected."""
        status, document = answer
        body = json.dumps(document).encode()
        response = h11.Response(
            status_code=status,
            reason=HTTPStatus(status).phrase,
            headers=[
                ("Content-Type", "application/json; charset=utf-8"),
                ("Content-Length", str(len(body))),
                ("Date", time.strftime("%a, %d %b %Y %H:%M:%S GMT", time.gmtime())),
                ("Server", "api-gateway"),
                ("Connection", "close"),
            ],
        )
        self._writer.write(self._protocol.send(response) or b"")
        self._writer.write(self._protocol.send(h11.Data(data=body)) or b"")
        self._writer.write(self._protocol.send(h11.EndOfMessage()) or b"")
        await self._writer.drain()

    async def discard_rest(self) -> None:
        """Shut sending and read the rest of the request: a close over unread bytes would reset the answer."""
        if self._protocol.their_state is h11.DONE:
            return
        self._writer.write_eof()
        while await self._reader.read(READ_BYTES):
            pass


class SingleCallProtocol(asyncio.StreamReaderProtocol):
    """The transport events of one connection."""

    def __init__(self, server: SingleCallServer) -> None:
        """Create the protocol of a connection that is being accepted by `server`."""
        super().__init__(asyncio.StreamReader(limit=READ_BYTES), server.serve_connection)
        self.server = server
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start its call."""
        self.server.add_connection(self, transport)
        super().connection_made(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the call's reads and remove the connection."""
        super().connection_lost(exc)
        self.server.remove_connection(self)


class SingleCallServer:
    """An HTTP server that serves one call per connection.

    A connection is closed after CALL_TIMEOUT_S if it makes no call, stays open after its call or does not
    read its answer.
    """

    def __init__(self, handler: Callable[[ControlCall], Awaitable[Answer]]) -> None:
        """Serve calls with `handler`; the owner of the socket sets `on_connection_ended`."""
        self.handler = handler
        self.connections: set[SingleCallProtocol] = set()
        # Those of them that are not being closed, oldest first.
        self.open_connections: dict[SingleCallProtocol, asyncio.Transport] = {}
        self.on_connection_ended: Callable[[], None] = lambda: None

    def __call__(self) -> SingleCallProtocol:
        """Create the protocol of a new connection."""
        return SingleCallProtocol(self)

    def add_connection(self, protocol: SingleCallProtocol, transport: asyncio.BaseTransport) -> None:
        """Limit the number of open connections and the duration of this one."""
        self.connections.add(protocol)
        self.open_connections[protocol] = transport  # type: ignore[assignment]
        if len(self.open_connections) > MAX_CONNECTIONS:
            self.abort(next(iter(self.open_connections)))
        protocol.timer = asyncio.get_running_loop().call_later(CALL_TIMEOUT_S, self.abort, protocol)

    def remove_connection(self, protocol: SingleCallProtocol) -> None:
        """Notify the owner of the socket that a connection has ended."""
        if protocol.timer is not None:
            protocol.timer.cancel()
        self.connections.discard(protocol)
        self.open_connections.pop(protocol, None)
        self.on_connection_ended()

    def abort(self, protocol: SingleCallProtocol) -> None:
        """Close a connection at once, even with an unread answer; further calls have no effect."""
        transport = self.open_connections.pop(protocol, None)
        if transport is not None:
            transport.abort()

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the call of a connection and close it."""
        connection = CallConnection(reader, writer)
        try:
            answer = await self.answer_call(connection)
            if answer is not None:
                await connection.send_answer(answer)
                await connection.discard_rest()
        except OSError:
            pass  # the client has disconnected, or the connection was aborted
        finally:
            writer.close()

    async def answer_call(self, connection: CallConnection) -> Answer | None:
        """Return the answer to the call of a connection; None if the client disconnects before its call."""
        try:
            event = await connection.next_event()
            if not isinstance(event, h11.Request):
                return None
            return await self.handler(ControlCall(event, connection))
        except h11.RemoteProtocolError as err:
            return err.error_status_hint, {"error": str(err)}
        except OSError:
            raise
        except Exception:
            log.exception("control call failed")
            return HTTPStatus.INTERNAL_SERVER_ERROR, {"error": "unexpected error"}

    def close(self) -> None:
        """Close all connections."""
        for protocol in list(self.open_connections):
            self.abort(protocol)
