"""Runs a `Swim` member on a UDP socket with an asyncio timer. All protocol logic is in `Swim`."""

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
from api_gateway.membership.member_table import Member
from api_gateway.membership.messages import ALIVE, Address
from api_gateway.membership.outbox import OutgoingDatagram
from api_gateway.membership.swim import Swim

MAX_CLUSTER_NAME_CHARACTERS = 64  # in the key `membership.cluster`
LATENESS_WINDOW_S = 60.0  # length of each of the two windows for which the maximum timer lateness is kept
SEED_RESOLUTION_INTERVAL_S = 30.0  # between two resolutions of the seed host names
TIMER_MARGIN_S = 0.001  # added to timers so that rounding does not make them fire early
CONFIG_KEYS = {"cluster", "listen", "seeds", "advertise"}  # allowed under `membership`

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class MembershipConfig:
    """The settings of a member.

    Attributes:
        cluster: Name of the cluster.
        listen: Address that the socket is bound to.
        seeds: Addresses to join through; hosts may be names.
        advertise: Address that other members send to, if it differs from `listen`.
    """

    cluster: str
    listen: Address
    seeds: tuple[Address, ...]
    advertise: Address | None = None


def read_membership_config(value: Any) -> MembershipConfig:
    """Validate the value of the key `membership` and convert it.

    Raises:
        MembershipConfigError: A value is invalid; the message names its key.
        ValueError: An address is invalid.
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
        raise _config_error("cluster", cluster, expected)
    if not isinstance(seeds, list) or not all(isinstance(seed, str) for seed in seeds):
        raise _config_error("seeds", seeds, "a list of HOST:PORT")
    if not isinstance(listen, str):
        raise _config_error("listen", listen, "HOST:PORT")
    if advertise is not None and not isinstance(advertise, str):
        raise _config_error("advertise", advertise, "HOST:PORT")
    return MembershipConfig(
        cluster,
        read_address(listen),
        tuple(read_address(seed) for seed in seeds),
        read_address(advertise) if advertise else None,
    )


def _is_cluster_name(value: object) -> TypeGuard[str]:
    return isinstance(value, str) and 0 < len(value) <= MAX_CLUSTER_NAME_CHARACTERS and value.isprintable()


def _config_error(key: str, value: object, expected: str) -> MembershipConfigError:
    path = f"membership.{key}"
    return MembershipConfigError(path, f"{path} is {value!r}, not {expected}")


def is_numeric_host(host: str) -> bool:
    """Return whether a host is an IP address rather than a name."""
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


async def resolve_seeds(seeds: tuple[Address, ...]) -> list[Address]:
    """Return the current IP addresses of the seeds, without names that cannot be resolved."""
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
    """Return the number of datagrams that a socket dropped because its buffer was full.

    Args:
        sock: A UDP socket over IPv4. Linux lists its drops in /proc/net/udp. Elsewhere the result is 0.
    """
    try:
        inode = str(os.fstat(sock.fileno()).st_ino)
        rows = [line.split() for line in Path("/proc/net/udp").read_text().splitlines()[1:]]
        return next((int(row[-1]) for row in rows if row[9] == inode), 0)
    except (OSError, ValueError, IndexError, AttributeError):
        return 0


class MembershipService(asyncio.DatagramProtocol):
    """A process as a member of a cluster.

    Attributes:
        config: The settings of the member.
        name: Name of the member, unique in the cluster.
        swim: The protocol state, set by `start`.
        transport: The UDP socket, set by `start`.
    """

    def __init__(
        self, config: MembershipConfig, name: str, metadata_source: Callable[[], dict[str, str]]
    ) -> None:
        """Prepare a member. `metadata_source` is called before each step for the metadata to publish."""
        self.config = config
        self.name = name
        self.transport: asyncio.DatagramTransport
        self.swim: Swim
        self._metadata_source = metadata_source
        self._timer: asyncio.TimerHandle | None = None
        self._seed_resolver: asyncio.Task[None] | None = None
        self._timer_due_at = monotonic()
        self._lateness_window_began_at = self._timer_due_at
        self._previous_max_lateness_s = 0.0  # in the previous window
        self._max_lateness_s = 0.0  # in the current window

    async def start(self) -> int:
        """Bind the socket and join.

        The first incarnation is the wall clock in milliseconds, so that restarts increase it.

        Returns:
            The port that the socket is bound to.

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
            self._seed_resolver = loop.create_task(self._resolve_seeds_periodically())
        return bound[1]

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Handle a datagram. Before the first step it is dropped, because the sender will repeat it."""
        if self._timer is None:
            return
        self.send(self.swim.receive(monotonic(), (addr[0], addr[1]), data))

    def error_received(self, exc: Exception) -> None:
        """Ignore errors such as an unreachable port, because missing acks show the same."""

    def send(self, datagrams: list[OutgoingDatagram]) -> None:
        """Send datagrams."""
        for datagram in datagrams:
            self.transport.sendto(datagram.data, datagram.to)

    def status(self) -> dict[str, Any]:
        """Return the body of `GET /members`.

        `disagree` lists the alive members of the same kind that have a different configuration.
        """
        swim = self.swim
        now = monotonic()
        members = sorted(swim.members.values(), key=lambda member: member.name)
        return {
            "cluster": self.config.cluster,
            "name": self.name,
            "members": [_member_status(member, now) for member in members],
            "disagree": [member.name for member in members if _has_other_config(member, swim.local_member)],
            "health": swim.health.score,
            "version": swim.version,
            "late": round(max(self._previous_max_lateness_s, self._max_lateness_s), 3),
            "silent": round(swim.health.probe_loss, 3),
            "overflows": count_receive_overflows(self.transport.get_extra_info("socket")),
            "counts": dict(swim.counts),
        }

    def close(self) -> None:
        """Leave the cluster and close the socket."""
        if self._timer is not None:
            self._timer.cancel()
        if self._seed_resolver is not None:
            self._seed_resolver.cancel()
        self.send(self.swim.leave(monotonic()))
        self.transport.close()

    async def _resolve_seeds_periodically(self) -> None:
        """Resolve the seeds periodically, because their names may refer to other machines by now."""
        while True:
            await asyncio.sleep(SEED_RESOLUTION_INTERVAL_S)
            anti_entropy = self.swim.anti_entropy
            anti_entropy.seeds = await resolve_seeds(self.config.seeds) or anti_entropy.seeds

    def _run_step(self) -> None:
        """Run everything that is due, and set the timer for the next step."""
        now = monotonic()
        self._record_lateness(now)
        metadata = self._metadata_source()
        if metadata != self.swim.local_member.metadata:  # for example after a configuration change
            self.swim.set_metadata(metadata)
        self.send(self.swim.tick(now))
        now = monotonic()
        self._timer_due_at = max(now, self.swim.next_due_at()) + TIMER_MARGIN_S
        self._timer = asyncio.get_running_loop().call_later(self._timer_due_at - now, self._run_step)

    def _record_lateness(self, now: float) -> None:
        """Update the maximum lateness of the timer in the current window."""
        if now - self._lateness_window_began_at > LATENESS_WINDOW_S:
            self._previous_max_lateness_s = self._max_lateness_s
            self._max_lateness_s = 0.0
            self._lateness_window_began_at = now
        self._max_lateness_s = max(self._max_lateness_s, now - self._timer_due_at)


def _member_status(member: Member, now: float) -> dict[str, Any]:
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


def _has_other_config(member: Member, local_member: Member) -> bool:
    return (
        member.state == ALIVE
        and member.metadata.get("kind") == local_member.metadata.get("kind")
        and member.metadata.get("config") != local_member.metadata.get("config")
    )
