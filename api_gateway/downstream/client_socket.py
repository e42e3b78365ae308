"""What the kernel knows of clients' sockets, and an end that the event loop offers only a turn later."""

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
    """Return how many bytes have arrived on a socket and were not read; raises OSError."""
    count = array.array("i", [0])
    fcntl.ioctl(descriptor, termios.FIONREAD, count)
    return count[0]


def find_disconnected(connections: Iterable[ClientConnection]) -> list[ClientConnection]:
    """Return the connections whose clients have gone, even if bytes stand unread before that."""
    by_descriptor: dict[int, ClientConnection] = {}
    poll = select.poll()
    for connection in connections:
        descriptor = connection.transport.get_extra_info("socket").fileno()
        if descriptor >= 0 and not connection.transport.is_closing():
            by_descriptor[descriptor] = connection
            # A reset is reported with any mask.
            poll.register(descriptor, select.POLLRDHUP if connection.is_closed_by_half_close() else 0)
    return [by_descriptor[descriptor] for descriptor, _ in poll.poll(0)]


def shut_down_sending(transport_socket: socket.socket) -> None:
    """Shut the sending side of a transport's socket at once; the transport goes on owning it."""
    family, kind, protocol = transport_socket.family, transport_socket.type, transport_socket.proto
    sock = socket.socket(family, kind, protocol, transport_socket.fileno())  # no descriptor of its own
    try:
        sock.shutdown(socket.SHUT_WR)
    except OSError:  # the peer has reset the connection
        pass
    finally:
        sock.detach()
