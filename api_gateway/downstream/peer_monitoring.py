"""What the kernel knows of connections: peers that vanished, and the backlog of a listening socket."""

from __future__ import annotations

import socket
import struct
from pathlib import Path


def watch_peer(sock: socket.socket, seconds: float) -> None:
    """A machine that vanished says nothing: the kernel asks it (SO_KEEPALIVE, for connections at rest) and
    looks whether it takes what was sent (TCP_USER_TIMEOUT), and ends the connection after about so long."""
    if not seconds or sock.family not in (socket.AF_INET, socket.AF_INET6):
        return
    probes = 3
    every = max(1, int(seconds / (probes + 1)))
    for option, value in (
        (socket.TCP_KEEPIDLE, every),
        (socket.TCP_KEEPINTVL, every),
        (socket.TCP_KEEPCNT, probes),
        (socket.TCP_USER_TIMEOUT, int(seconds * 1000)),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)


def backlog(sock: socket.socket) -> tuple[int, int]:
    """Connections that wait to be accepted, and how many may: of a socket that listens, TCP_INFO tells these
    as unacked and sacked segments (Linux, net/ipv4/tcp.c, tcp_get_info)."""
    if sock.fileno() < 0:
        return 0, 0
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 104)
    return struct.unpack_from("II", info, 24)


def overflows() -> int:
    """Connections that this machine lost because a backlog was full, whichever socket's it was."""
    try:
        heads, values = [
            line.split()
            for line in Path("/proc/net/netstat").read_text().splitlines()
            if line.startswith("TcpExt:")
        ]
    except (OSError, ValueError):
        return 0
    return int(dict(zip(heads, values, strict=True)).get("ListenOverflows", 0))
