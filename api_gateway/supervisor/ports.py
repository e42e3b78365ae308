"""Allocation of ports for processes that are about to listen."""

from __future__ import annotations

import contextlib
import random
import socket

from api_gateway.supervisor.errors import StartError

# Below the kernel's range of ephemeral ports: an outgoing connection could otherwise take a port before the
# process for which it was allocated listens on it.
PORT_RANGE = range(15000, 32000)
PORT_ATTEMPTS = 1000
LOOPBACK = "127.0.0.1"

reserved_ports: set[tuple[socket.SocketKind, int]] = set()  # all ports returned so far


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Return a port of the loopback address that is not in use; no port is returned twice.

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
