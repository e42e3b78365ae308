"""Socket operations that asyncio lacks or delays: what the kernel holds, disconnects, shutdown of sending."""

from __future__ import annotations

import array
import fcntl
import select
import socket
import termios
from collections.abc import Iterable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from api_gateway.downstream.client_connection import ClientConnection

# From linux/sockios.h; Python has no name for it.
SIOCOUTQNSD = 0x894B


def count_unread_bytes(descriptor: int) -> int:
    """Return the number of received but unread bytes of a socket; raises OSError."""
    return _query_count(descriptor, termios.FIONREAD)


def count_unacknowledged_bytes(descriptor: int) -> int:
    """Return the number of written bytes that the peer's machine has not acknowledged; raises OSError.

    A shutdown of sending counts as one byte.
    """
    return _query_count(descriptor, termios.TIOCOUTQ)


def count_unsent_bytes(descriptor: int) -> int:
    """Return the number of written bytes that the peer's machine has no room for yet; raises OSError."""
    return _query_count(descriptor, SIOCOUTQNSD)


def _query_count(descriptor: int, request: int) -> int:
    count = array.array("i", [0])
    fcntl.ioctl(descriptor, request, count)
    return count[0]


def find_disconnected(connections: Iterable[ClientConnection]) -> list[ClientConnection]:
    """Return the connections whose clients have disconnected, even if earlier bytes are still unread."""
    by_descriptor: dict[int, ClientConnection] = {}
    poll = select.poll()
    for connection in connections:
        descriptor = connection.transport.get_extra_info("socket").fileno()
        if descriptor >= 0 and not connection.transport.is_closing():
            by_descriptor[descriptor] = connection
            # poll() reports a reset whatever the mask.
            poll.register(descriptor, select.POLLRDHUP if connection.is_closed_by_half_close() else 0)
    return [by_descriptor[descriptor] for descriptor, _ in poll.poll(0)]


def shut_down_sending(transport_socket: socket.socket) -> None:
    """Shut the sending side of a transport's socket immediately; the transport keeps owning the socket."""
    family, kind, protocol = transport_socket.family, transport_socket.type, transport_socket.proto
    # This socket shares the transport's descriptor, so it is detached and not closed below.
    sock = socket.socket(family, kind, protocol, transport_socket.fileno())
    try:
        sock.shutdown(socket.SHUT_WR)
    except OSError:  # the peer has reset the connection
        pass
    finally:
        sock.detach()
