"""Socket operations that asyncio lacks or delays: unread bytes, disconnects and shutdown of sending."""

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


def count_unread_bytes(descriptor: int) -> int:
    """Return the number of received but unread bytes of a socket; raises OSError."""
    count = array.array("i", [0])
    fcntl.ioctl(descriptor, termios.FIONREAD, count)
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
