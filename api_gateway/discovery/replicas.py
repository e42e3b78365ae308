"""Discovery from a list service of several replicas, whose outages the last good list outlasts.

One replica is asked at a time, the next one after a failure. A version that goes backwards within an epoch is
that of a replica that lags, and not taken; another epoch is another life of the service, and its list counts.
The list is kept under $TMPDIR, so that a process which starts in an outage begins with what the last one had.
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
from api_gateway.base.endpoint_list import STATE, Address, Listing, read_list, write_address
from api_gateway.base.shared_file import Kept
from api_gateway.discovery.client import Discovery, Params

KEEP_EVERY = 5.0  # s between two times that the list is written
WORD = {state: word for word, state in STATE.items()}

log = logging.getLogger(__name__)


class Behind(Exception):
    """A replica that lags: what it tells is older than what is known."""


class Replicas(Discovery):
    """`folder` is where the list is kept; None: nowhere. `clock` times it, in seconds that the process which
    reads it later can compare."""

    clock: Callable[[], float] = staticmethod(time.time)

    def __init__(
        self, address: Address, others: tuple[Address, ...], folder: Path | None, name: str, *args: Any
    ) -> None:
        super().__init__(address, *args)
        self.places, self.at = [address, *others], 0
        self.epoch, self.newest = "", 0  # of the last list; its version
        self.list: dict[str, tuple[api.Endpoint, Address | None]] = {}
        self.kept = Kept(folder / f"{name}-list.json" if folder else None)
        self.writing: asyncio.TimerHandle | None = None

    def recall(self) -> Listing | None:
        """The list that was kept, as if it had just been told; it keeps its age."""
        try:
            text = self.kept.read()
            if text is None:
                return None
            told = json.loads(text)
            listing, at, total = read_list(told), float(told["at"]), int(told.get("total", 0))
        except (OSError, ValueError, KeyError, TypeError, OverflowError, RecursionError) as err:
            log.error("%s: %s; it is passed over", self.kept.path, err)
            return None
        if not listing.hosts.endpoints:
            return None
        self.note(listing)
        self.heard = time.monotonic() - max(0.0, self.clock() - at)
        if not self.viewing or self.viewing.resume(told.get("query")):
            self.version = self.newest
        else:
            self.waits = True  # the view is another one now
        return replace(listing, hosts=replace(listing.hosts, mode="cached", available_total=total))

    async def get(self, params: Params, limit: float) -> bool:
        known = {"epoch": quote(self.epoch, "")} if self.epoch and params else {}
        return await super().get({**params, **known}, limit)

    async def attempt(self, params: Params, limit: float) -> bool:
        done = await super().attempt(params, limit)
        if not done and len(self.places) > 1:
            self.at = (self.at + 1) % len(self.places)
            self.address = self.places[self.at]
        return done

    def check(self, listing: Listing) -> None:
        known = bool(self.epoch) and listing.epoch == self.epoch
        if known and listing.hosts.version < self.newest:
            raise Behind(f"version {listing.hosts.version}, where {self.newest} is known")
        if self.epoch and not known and listing.hosts.mode != "full":
            raise ValueError("changes of another epoch")

    def take(self, listing: Listing) -> None:
        self.check(listing)
        if self.epoch and listing.epoch != self.epoch:
            log.warning(
                "discovery: %s is in epoch %s, not %s any longer: its whole list counts",
                self.url,
                listing.epoch or "none",
                self.epoch,
            )
        super().take(listing)
        if self.writing is None and self.kept.path is not None:
            self.writing = asyncio.get_running_loop().call_later(KEEP_EVERY, self.keep)

    def note(self, listing: Listing) -> None:
        self.epoch, self.newest = listing.epoch, listing.hosts.version
        if listing.hosts.mode != "delta":
            self.list = {}
        for host in listing.hosts.endpoints:
            if host.state == "down":
                self.list.pop(host.id, None)
            else:
                self.list[host.id] = host, listing.addresses.get(host.id)

    def keep(self) -> None:
        self.writing = None
        servers = [
            {
                "id": h.id,
                "zone": h.zone,
                "kind": h.kind,
                "cell": h.cell,
                "state": WORD[h.state],
                "weight": h.weight,
                "started_ms": h.started_at * 1000,
                **({"addr": write_address(address)} if address else {}),
            }
            for h, address in self.list.values()
        ]
        heard = self.clock() - (self.age() or 0.0)
        try:
            with self.kept.locked():
                self.kept.write(
                    json.dumps(
                        {
                            "at": heard,
                            "version": self.newest,
                            "epoch": self.epoch,
                            "full": True,
                            "servers": servers,
                            **self.kind(),
                        }
                    )
                )
        except OSError as err:
            log.error("%s: %s; the list is not kept", self.kept.path, err)

    def kind(self) -> dict[str, Any]:
        """What of all hosts the kept list holds; `query` where the service told that by itself."""
        if not self.viewing:
            return {}
        by_service = {"query": self.viewing.view.query()} if self.viewing.known else {}
        return {"total": self.viewing.total, **by_service}

    def move(self, address: Address, listing: Listing | None = None) -> None:
        self.places[0], self.at, self.epoch = address, 0, ""
        super().move(address, listing)

    def told_of(self) -> dict[str, Any]:
        return {**super().told_of(), "epoch": self.epoch}

    async def close(self) -> None:
        if self.writing is not None:
            self.writing.cancel()
            self.keep()
        await super().close()
