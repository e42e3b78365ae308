"""The failure detector on a UDP socket: datagrams in, the core's sends out. Nothing here decides."""

from __future__ import annotations

import asyncio
import ipaddress
import logging
import os
import random
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from time import monotonic
from typing import Any

from api_gateway.base.endpoint_list import read_address, write_address
from api_gateway.membership.core import ALIVE, Address, Send, Swim

MOST_WORD = 64  # characters of a cluster's name
LATE_SPAN = 60.0  # s
RESOLVE = 30.0  # s between looks at what the names of seeds mean

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Membership:
    """Where a process takes part."""

    cluster: str
    listen: Address
    seeds: tuple[Address, ...]
    advertise: Address | None = None  # where others reach it, if that is not where it listens


def read_membership(told: Any) -> Membership:
    """Raises ValueError that names the key."""
    if not isinstance(told, dict) or set(told) - {"cluster", "listen", "seeds", "advertise"}:
        raise ValueError("membership may hold cluster, listen, advertise and seeds")
    cluster, seeds = told.get("cluster"), told.get("seeds", [])
    if not isinstance(cluster, str) or not 0 < len(cluster) <= MOST_WORD or not cluster.isprintable():
        raise ValueError(f"membership.cluster is {cluster!r}, not a text of 1 to {MOST_WORD} characters")
    if not isinstance(seeds, list) or not all(isinstance(seed, str) for seed in seeds):
        raise ValueError(f"membership.seeds is {seeds!r}, not a list of HOST:PORT")
    if not isinstance(told.get("listen"), str):
        raise ValueError(f"membership.listen is {told.get('listen')!r}, not HOST:PORT")
    advertise = told.get("advertise")
    if advertise is not None and not isinstance(advertise, str):
        raise ValueError(f"membership.advertise is {advertise!r}, not HOST:PORT")
    return Membership(
        cluster,
        read_address(told["listen"]),
        tuple(read_address(seed) for seed in seeds),
        read_address(advertise) if advertise else None,
    )


def numeric(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


async def resolved(seeds: tuple[Address, ...]) -> list[Address]:
    """Where the seeds are now; a name that means nothing now is left out."""
    loop, found = asyncio.get_running_loop(), list[Address]()
    for host, port in seeds:
        try:
            told = await loop.getaddrinfo(host, port, type=socket.SOCK_DGRAM)
            found.append((str(told[0][4][0]), port))
        except OSError as err:
            log.info("seed %s: %s", host, err)
    return found


def overflows(sock: Any) -> int:
    """Datagrams that were lost because this socket's buffer was full (Linux, drops in /proc/net/udp)."""
    try:
        inode = str(os.fstat(sock.fileno()).st_ino)
        lines = Path("/proc/net/udp").read_text().splitlines()[1:]
        return next((int(line.split()[-1]) for line in lines if line.split()[9] == inode), 0)
    except (OSError, ValueError, IndexError, AttributeError):
        return 0


class Member(asyncio.DatagramProtocol):
    """One process of the cluster. `meta` tells what it says of itself, whenever that is asked."""

    def __init__(self, config: Membership, name: str, meta: Callable[[], dict[str, str]]) -> None:
        self.config, self.name, self.meta = config, name, meta
        self.transport: asyncio.DatagramTransport
        self.swim: Swim
        self.timer: asyncio.TimerHandle | None = None
        self.resolving: asyncio.Task[None] | None = None
        self.due = self.late_since = monotonic()
        self.late = [0.0, 0.0]  # by which its timer came late at most, in the last span and in this one

    async def start(self) -> int:
        """Raises OSError. Returns the port. Incarnations go on from the clock over restarts."""
        loop, seeds = asyncio.get_running_loop(), await resolved(self.config.seeds)
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=self.config.listen)
        place = self.transport.get_extra_info("sockname")[:2]
        told = self.config.advertise or place
        self.swim = Swim(
            self.config.cluster,
            self.name,
            told,
            int(time.time() * 1000),
            seeds,
            random.Random(),
            monotonic(),
            self.meta(),
        )
        self.turn()
        if any(not numeric(host) for host, _ in self.config.seeds):
            self.resolving = loop.create_task(self.keep_resolving())
        return place[1]

    async def keep_resolving(self) -> None:
        """Names of seeds may mean other machines by now."""
        while True:
            await asyncio.sleep(RESOLVE)
            self.swim.seeds = await resolved(self.config.seeds) or self.swim.seeds

    def datagram_received(self, data: bytes, addr: Any) -> None:
        if self.timer is None:
            return  # it came before the first turn: whoever sent it asks again
        self.send(self.swim.receive(monotonic(), (addr[0], addr[1]), data))

    def error_received(self, exc: Exception) -> None:
        """Nobody listens there: a probe without an ack says the same."""

    def send(self, sends: list[Send]) -> None:
        for send in sends:
            self.transport.sendto(send.data, send.to)

    def turn(self) -> None:
        now = monotonic()
        self.behind(now)
        fresh = self.meta()
        if fresh != self.swim.me.meta:  # such as another version of the configuration
            self.swim.tell(fresh)
        self.send(self.swim.tick(now))
        now = monotonic()
        self.due = max(now, self.swim.due()) + 0.001
        self.timer = asyncio.get_running_loop().call_later(self.due - now, self.turn)

    def behind(self, now: float) -> None:
        """Keeps by how much its own timer came late at most within a minute or two."""
        if now - self.late_since > LATE_SPAN:
            self.late, self.late_since = [self.late[1], 0.0], now
        self.late[1] = max(self.late[1], now - self.due)

    def told(self) -> dict[str, Any]:
        """What operators see. Those of this one's kind whose configuration version differs are named."""
        now, own = monotonic(), self.swim.me.meta
        rows = [
            {
                "name": m.name,
                "address": write_address(m.address),
                "state": m.state,
                "for": round(now - m.since, 1),
                "incarnation": m.incarnation,
                "accusers": m.accusers,
                "through": m.through,
                **m.meta,
            }
            for m in sorted(self.swim.members.values(), key=lambda m: m.name)
        ]
        disagree = [
            m.name
            for m in self.swim.members.values()
            if m.state == ALIVE
            and m.meta.get("kind") == own.get("kind")
            and m.meta.get("config") != own.get("config")
        ]
        return {
            "cluster": self.config.cluster,
            "name": self.name,
            "members": rows,
            "disagree": sorted(disagree),
            "health": self.swim.doubt,
            "version": self.swim.version,
            "late": round(max(self.late), 3),
            "silent": round(self.swim.silent, 3),
            "overflows": overflows(self.transport.get_extra_info("socket")),
            "counts": dict(self.swim.counts),
        }

    def close(self) -> None:
        """Leaves on purpose."""
        if self.timer is not None:
            self.timer.cancel()
        if self.resolving is not None:
            self.resolving.cancel()
        self.send(self.swim.leave(monotonic()))
        self.transport.close()
