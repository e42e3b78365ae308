"""Kernel facilities for connections: detection of unreachable peers and backlog statistics."""

from __future__ import annotations

import socket
import struct
from pathlib import Path

# Unanswered probes after which the kernel closes an idle connection.
KEEPALIVE_PROBES = 3
# Length of struct tcp_info and offset of tcpi_unacked (Linux, include/uapi/linux/tcp.h).
TCP_INFO_BYTES = 104
TCP_INFO_UNACKED_OFFSET = 24


def detect_dead_peer(sock: socket.socket, timeout_s: float) -> None:
    """Let the kernel close a connection whose peer's machine has become unreachable.

    The kernel probes idle connections (SO_KEEPALIVE), and checks whether what was sent is acknowledged
    (TCP_USER_TIMEOUT).

    Args:
        sock: The connection; sockets other than TCP are left unchanged.
        timeout_s: Approximate time in seconds after which it is closed; 0: never.
    """
    if not timeout_s or sock.family not in (socket.AF_INET, socket.AF_INET6):
        return
    probe_interval_s = max(1, int(timeout_s / (KEEPALIVE_PROBES + 1)))
    for option, value in (
        (socket.TCP_KEEPIDLE, probe_interval_s),
        (socket.TCP_KEEPINTVL, probe_interval_s),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, int(timeout_s * 1000)),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)


def backlog_usage(sock: socket.socket) -> tuple[int, int]:
    """Return the length and the capacity of the backlog of a listening socket.

    For a listening socket, TCP_INFO gives these as unacked and sacked segments (Linux, net/ipv4/tcp.c,
    tcp_get_info). Both are 0 for a closed socket.
    """
    if sock.fileno() < 0:
        return 0, 0
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    length, capacity = struct.unpack_from("II", info, TCP_INFO_UNACKED_OFFSET)
    return length, capacity


def count_listen_overflows() -> int:
    """Return how many connections this machine dropped because of full backlogs, over all sockets."""
    try:
        names, values = [
            line.split()
            for line in Path("/proc/net/netstat").read_text().splitlines()
            if line.startswith("TcpExt:")
        ]
    except (OSError, ValueError):
        return 0
    return int(dict(zip(names, values, strict=True)).get("ListenOverflows", 0))
