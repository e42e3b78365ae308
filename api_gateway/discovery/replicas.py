"""Discovery from a list service with several replicas; the last good list serves during their outages.

One replica is called at a time, and the next one after a failure. If a version goes backwards within an
epoch, the replica lags and its list is rejected. A different epoch means another incarnation of the service,
whose full list is accepted. The list is cached under $TMPDIR, so that a process started during an outage
begins with the list of the previous process.
"""

from __future__ import annotations

import asyncio
import json
import logging
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any
from urllib.parse import quote

from api_gateway import interface as api
from api_gateway.base.endpoint_list import (
    ENDPOINT_STATES,
    Address,
    EndpointListing,
    format_address,
    read_list,
)
from api_gateway.base.shared_file import SharedFile
from api_gateway.discovery.client import Discovery
from api_gateway.discovery.polling import Params

CACHE_WRITE_INTERVAL_S = 5.0
WIRE_STATES = {state: wire_state for wire_state, state in ENDPOINT_STATES.items()}

log = logging.getLogger(__name__)


class StaleReplicaError(Exception):
    """A replica lags behind: its list is older than the last one."""

    def __init__(self, version: int, known_version: int) -> None:
        """Store both versions."""
        super().__init__(f"version {version} is older than the known version {known_version}")
        self.version = version
        self.known_version = known_version


class Replicas(Discovery):
    """Discovery that fails over between several replicas and caches the list in a file.

    `clock` returns the time stored with the cached list, in seconds that a later process can compare with its
    own clock.
    """

    clock: Callable[[], float] = staticmethod(time.time)

    def __init__(
        self,
        address: Address,
        other_addresses: tuple[Address, ...],
        folder: Path | None,
        name: str,
        *args: Any,
    ) -> None:
        """Initialise with the first replica as the current one.

        Args:
            address: The first replica.
            other_addresses: The other replicas.
            folder: Folder for the cached list; None: the list is not cached.
            name: Name of this process, unique in the folder.
            args: Remaining arguments of Discovery.
        """
        super().__init__(address, *args)
        self.replica_addresses = [address, *other_addresses]
        self.replica_index = 0
        self.epoch = ""  # epoch of the last list
        self.newest_version = 0  # version of the last list
        self.endpoints: dict[str, tuple[api.Endpoint, Address | None]] = {}
        self.cache_file = SharedFile(folder / f"{name}-list.json" if folder else None)
        self.cache_timer: asyncio.TimerHandle | None = None

    def load_cached_list(self) -> EndpointListing | None:
        """Restore the cached list with its original age and return it; None if no usable list is cached."""
        try:
            text = self.cache_file.read()
            if text is None:
                return None
            document = json.loads(text)
            listing = read_list(document)
            answered_at = float(document["at"])
            total = int(document.get("total", 0))
        except (OSError, ValueError, KeyError, TypeError, OverflowError, RecursionError) as err:
            log.error(
                "cached endpoint list is unreadable and ignored file=%s error=%s", self.cache_file.path, err
            )
            return None
        if not listing.endpoint_list.endpoints:
            return None
        self.record_list(listing)
        self.last_answer_at = time.monotonic() - max(0.0, self.clock() - answered_at)
        if not self.subset or self.subset.resume(document.get("query")):
            self.version = self.newest_version
        else:
            self.delays_first_call = True  # the subset has changed, so no watch continues from this list
        return replace(
            listing, endpoint_list=replace(listing.endpoint_list, mode="cached", available_total=total)
        )

    async def poll(self, params: Params, limit: float) -> bool:
        """Call the current replica once; a watch also sends the epoch that it continues from."""
        epoch_param = {"epoch": quote(self.epoch, "")} if self.epoch and params else {}
        return await super().poll({**params, **epoch_param}, limit)

    async def attempt(self, params: Params, limit: float) -> bool:
        """Call the current replica once and switch to the next one if the call fails."""
        has_answered = await super().attempt(params, limit)
        if not has_answered and len(self.replica_addresses) > 1:
            self.replica_index = (self.replica_index + 1) % len(self.replica_addresses)
            self.address = self.replica_addresses[self.replica_index]
        return has_answered

    def validate(self, listing: EndpointListing) -> None:
        """Raise an exception if a list must be rejected.

        Raises:
            StaleReplicaError: The replica lags.
            ValueError: The list contains changes of another epoch.
        """
        is_same_epoch = bool(self.epoch) and listing.epoch == self.epoch
        if is_same_epoch and listing.endpoint_list.version < self.newest_version:
            raise StaleReplicaError(listing.endpoint_list.version, self.newest_version)
        if self.epoch and not is_same_epoch and listing.endpoint_list.mode != "full":
            raise ValueError("changes of another epoch")

    def accept_list(self, listing: EndpointListing) -> None:
        """Apply a list, pass it to `on_list` and schedule caching it. Raises what validate() raises."""
        self.validate(listing)
        if self.epoch and listing.epoch != self.epoch:
            log.warning(
                "discovery epoch changed, the full list counts url=%s epoch=%s last_epoch=%s",
                self.url,
                listing.epoch or "none",
                self.epoch,
            )
        super().accept_list(listing)
        if self.cache_timer is None and self.cache_file.path is not None:
            loop = asyncio.get_running_loop()
            self.cache_timer = loop.call_later(CACHE_WRITE_INTERVAL_S, self.write_cache)

    def record_list(self, listing: EndpointListing) -> None:
        """Record the endpoints, the epoch and the version of a list that takes effect."""
        self.epoch = listing.epoch
        self.newest_version = listing.endpoint_list.version
        if listing.endpoint_list.mode != "delta":
            self.endpoints = {}
        for endpoint in listing.endpoint_list.endpoints:
            if endpoint.state == "down":
                self.endpoints.pop(endpoint.id, None)
            else:
                self.endpoints[endpoint.id] = endpoint, listing.addresses.get(endpoint.id)

    def write_cache(self) -> None:
        """Write the list to the cache file; a failure is logged and leaves the file unchanged."""
        self.cache_timer = None
        document = {
            "at": self.clock() - (self.age() or 0.0),
            "version": self.newest_version,
            "epoch": self.epoch,
            "full": True,
            "servers": [cached_entry(endpoint, address) for endpoint, address in self.endpoints.values()],
            **self._cached_subset(),
        }
        try:
            with self.cache_file.locked():
                self.cache_file.write(json.dumps(document))
        except OSError as err:
            log.error("cannot write the cached endpoint list file=%s error=%s", self.cache_file.path, err)

    def _cached_subset(self) -> dict[str, Any]:
        """Return the fields that describe the cached subset; `query` only if the service chose the subset."""
        if not self.subset:
            return {}
        subset_query = {"query": self.subset.spec.query()} if self.subset.is_chosen_by_service else {}
        return {"total": self.subset.total, **subset_query}

    def move_to(self, address: Address, listing: EndpointListing | None = None) -> None:
        """Switch to another first replica, starting from a list fetched there or else from the full list."""
        self.replica_addresses[0] = address
        self.replica_index = 0
        self.epoch = ""
        super().move_to(address, listing)

    def status(self) -> dict[str, Any]:
        """Return the status of the list for operators, including its epoch, as JSON."""
        return {**super().status(), "epoch": self.epoch}

    async def close(self) -> None:
        """Write a pending list to the cache file, stop watching and close the connection."""
        if self.cache_timer is not None:
            self.cache_timer.cancel()
            self.write_cache()
        await super().close()


def cached_entry(endpoint: api.Endpoint, address: Address | None) -> dict[str, Any]:
    """Return an endpoint in the wire format of discovery, as JSON."""
    return {
        "id": endpoint.id,
        "zone": endpoint.zone,
        "kind": endpoint.kind,
        "cell": endpoint.cell,
        "state": WIRE_STATES[endpoint.state],
        "weight": endpoint.weight,
        "started_ms": endpoint.started_at * 1000,
        **({"addr": format_address(address)} if address else {}),
    }
