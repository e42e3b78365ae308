"""Ports for processes that are about to listen."""

from __future__ import annotations

import contextlib
import random
import socket

from api_gateway.supervisor.errors import StartError

# Below the range from which the kernel takes the ports of outgoing connections: one of these could have the
# port a moment later, before the process that it is meant for.
PORT_RANGE = range(15000, 32000)
PORT_ATTEMPTS = 1000
LOOPBACK = "127.0.0.1"

reserved_ports: set[tuple[socket.SocketKind, int]] = set()  # that a process may be about to listen on


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Reserves a port of the loopback address that nobody listens on; none is returned twice.

    Args:
        kind: SOCK_STREAM for TCP, SOCK_DGRAM for UDP.

    Raises:
        StartError: No port is free.
    """
    for port in random.sample(PORT_RANGE, PORT_ATTEMPTS):
        if (kind, port) in reserved_ports:
            continue
        with socket.socket(type=kind) as sock, contextlib.suppress(OSError):
            sock.bind((LOOPBACK, port))
            reserved_ports.add((kind, port))
            return port
    raise StartError("no port is free")
