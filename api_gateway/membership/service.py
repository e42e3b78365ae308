"""A member of a cluster on a UDP socket: datagrams in, the sends of `Swim` out. Nothing here decides."""

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
from typing import Any, TypeGuard, cast

from api_gateway.base.descriptors import retry_in_shortage
from api_gateway.base.endpoint_list import format_address, read_address
from api_gateway.membership.errors import MembershipConfigError
from api_gateway.membership.member_table import Member as KnownMember
from api_gateway.membership.messages import ALIVE, Address
from api_gateway.membership.outbox import Send
from api_gateway.membership.swim import Swim

MAX_CLUSTER_NAME_CHARACTERS = 64  # of the key `membership.cluster`
LATENESS_WINDOW_S = 60.0  # over which the latest timer is remembered, twice
SEED_RESOLUTION_INTERVAL_S = 30.0  # between two resolutions of the names of seeds
TIMER_MARGIN_S = 0.001  # by which a timer is set later, so that it is not early by rounding
CONFIG_KEYS = {"cluster", "listen", "seeds", "advertise"}  # of the key `membership`

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Membership:
    """Where a process takes part.

    Attributes:
        cluster: Name of the cluster.
        listen: Address that its socket is bound to.
        seeds: Addresses that it joins through; hosts may be names.
        advertise: Where others reach it, if that is not where it listens.
    """

    cluster: str
    listen: Address
    seeds: tuple[Address, ...]
    advertise: Address | None = None


def read_membership(value: Any) -> Membership:
    """Check the value of the key `membership` and return what it says.

    Raises:
        ValueError: A value cannot be used; the text names its key.
    """
    if not isinstance(value, dict) or set(value) - CONFIG_KEYS:
        text = "membership may hold cluster, listen, advertise and seeds"
        raise MembershipConfigError("membership", text)
    cluster = value.get("cluster")
    seeds = value.get("seeds", [])
    listen = value.get("listen")
    advertise = value.get("advertise")
    if not _is_cluster_name(cluster):
        expected = f"a text of 1 to {MAX_CLUSTER_NAME_CHARACTERS} characters"
        raise _unusable("cluster", cluster, expected)
    if not isinstance(seeds, list) or not all(isinstance(seed, str) for seed in seeds):
        raise _unusable("seeds", seeds, "a list of HOST:PORT")
    if not isinstance(listen, str):
        raise _unusable("listen", listen, "HOST:PORT")
    if advertise is not None and not isinstance(advertise, str):
        raise _unusable("advertise", advertise, "HOST:PORT")
    return Membership(
        cluster,
        read_address(listen),
        tuple(read_address(seed) for seed in seeds),
        read_address(advertise) if advertise else None,
    )


def _is_cluster_name(value: object) -> TypeGuard[str]:
    return isinstance(value, str) and 0 < len(value) <= MAX_CLUSTER_NAME_CHARACTERS and value.isprintable()


def _unusable(key: str, value: object, expected: str) -> MembershipConfigError:
    path = f"membership.{key}"
    return MembershipConfigError(path, f"{path} is {value!r}, not {expected}")


def is_numeric_host(host: str) -> bool:
    """Tell whether a host is an IP address and no name."""
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


async def resolve_seeds(seeds: tuple[Address, ...]) -> list[Address]:
    """Return the IP addresses of the seeds as they are now; a name that has none now is left out."""
    loop = asyncio.get_running_loop()
    addresses: list[Address] = []
    for host, port in seeds:
        try:
            infos = await loop.getaddrinfo(host, port, type=socket.SOCK_DGRAM)
        except OSError as error:
            log.info("seed not resolved host=%s error=%s", host, error)
        else:
            addresses.append((str(infos[0][4][0]), port))
    return addresses


def count_receive_overflows(sock: Any) -> int:
    """Return how many datagrams were lost because a socket's buffer was full.

    Args:
        sock: A UDP socket over IPv4. Linux counts its drops in /proc/net/udp; elsewhere the result is 0.
    """
    try:
        inode = str(os.fstat(sock.fileno()).st_ino)
        rows = [line.split() for line in Path("/proc/net/udp").read_text().splitlines()[1:]]
        return next((int(row[-1]) for row in rows if row[9] == inode), 0)
    except (OSError, ValueError, IndexError, AttributeError):
        return 0


class MembershipService(asyncio.DatagramProtocol):
    """One process as a member of a cluster.

    Attributes:
        config: Where it takes part.
        name: Its name, unique in the cluster.
        swim: Its state, from `start` on.
        transport: Its socket, from `start` on.
    """

    def __init__(self, config: Membership, name: str, metadata_source: Callable[[], dict[str, str]]) -> None:
        """Prepare a member; `metadata_source` is called for what it publishes of itself, before each step."""
        self.config = config
        self.name = name
        self.transport: asyncio.DatagramTransport
        self.swim: Swim
        self._metadata_source = metadata_source
        self._timer: asyncio.TimerHandle | None = None
        self._resolving: asyncio.Task[None] | None = None
        self._due_at = monotonic()
        self._window_began_at = self._due_at
        self._previous_lateness_s = 0.0  # most by which the timer was late, in the window before this one
        self._lateness_s = 0.0  # the same in this window

    async def start(self) -> int:
        """Bind the socket and join.

        Incarnations begin with the clock's milliseconds, so that they go on over restarts.

        Returns:
            The port that it listens at.

        Raises:
            OSError: The address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        seeds = await resolve_seeds(self.config.seeds)
        self.transport, _ = await retry_in_shortage(
            lambda: loop.create_datagram_endpoint(lambda: self, local_addr=self.config.listen)
        )
        bound = cast(Address, self.transport.get_extra_info("sockname")[:2])
        self.swim = Swim(
            self.config.cluster,
            self.name,
            self.config.advertise or bound,
            int(time.time() * 1000),
            seeds,
            random.Random(),
            monotonic(),
            self._metadata_source(),
        )
        self._run_step()
        if any(not is_numeric_host(host) for host, _ in self.config.seeds):
            self._resolving = loop.create_task(self._keep_resolving_seeds())
        return bound[1]

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Handle a datagram; one that comes before the first step is dropped, since its sender repeats it."""
        if self._timer is None:
            return
        self.send(self.swim.receive(monotonic(), (addr[0], addr[1]), data))

    def error_received(self, exc: Exception) -> None:
        """Ignore that nobody listens somewhere: a probe without an ack says the same."""

    def send(self, sends: list[Send]) -> None:
        """Send datagrams."""
        for send in sends:
            self.transport.sendto(send.data, send.to)

    def status(self) -> dict[str, Any]:
        """Return the body of `GET /members`.

        `disagree` names the members of the same kind whose configuration is another one.
        """
        swim = self.swim
        now = monotonic()
        members = sorted(swim.members.values(), key=lambda member: member.name)
        return {
            "cluster": self.config.cluster,
            "name": self.name,
            "members": [_member_row(member, now) for member in members],
            "disagree": [member.name for member in members if _disagrees(member, swim.me)],
            "health": swim.health.score,
            "version": swim.version,
            "late": round(max(self._previous_lateness_s, self._lateness_s), 3),
            "silent": round(swim.health.probe_loss, 3),
            "overflows": count_receive_overflows(self.transport.get_extra_info("socket")),
            "counts": dict(swim.counts),
        }

    def close(self) -> None:
        """Leave the cluster on purpose and close the socket."""
        if self._timer is not None:
            self._timer.cancel()
        if self._resolving is not None:
            self._resolving.cancel()
        self.send(self.swim.leave(monotonic()))
        self.transport.close()

    async def _keep_resolving_seeds(self) -> None:
        """Names of seeds may stand for other machines by now."""
        while True:
            await asyncio.sleep(SEED_RESOLUTION_INTERVAL_S)
            anti_entropy = self.swim.anti_entropy
            anti_entropy.seeds = await resolve_seeds(self.config.seeds) or anti_entropy.seeds

    def _run_step(self) -> None:
        """Do what is due, and set the timer for the next step."""
        now = monotonic()
        self._record_lateness(now)
        metadata = self._metadata_source()
        if metadata != self.swim.me.metadata:  # such as another version of the configuration
            self.swim.set_metadata(metadata)
        self.send(self.swim.tick(now))
        now = monotonic()
        self._due_at = max(now, self.swim.next_due_at()) + TIMER_MARGIN_S
        self._timer = asyncio.get_running_loop().call_later(self._due_at - now, self._run_step)

    def _record_lateness(self, now: float) -> None:
        """Keep by how much the timer was late at most within the last window and this one."""
        if now - self._window_began_at > LATENESS_WINDOW_S:
            self._previous_lateness_s = self._lateness_s
            self._lateness_s = 0.0
            self._window_began_at = now
        self._lateness_s = max(self._lateness_s, now - self._due_at)


def _member_row(member: KnownMember, now: float) -> dict[str, Any]:
    return {
        "name": member.name,
        "address": format_address(member.address),
        "state": member.state,
        "for": round(now - member.state_since, 1),
        "incarnation": member.incarnation,
        "accusers": member.accusers,
        "through": member.is_reached_indirectly,
        **member.metadata,
    }


def _disagrees(member: KnownMember, me: KnownMember) -> bool:
    return (
        member.state == ALIVE
        and member.metadata.get("kind") == me.metadata.get("kind")
        and member.metadata.get("config") != me.metadata.get("config")
    )
