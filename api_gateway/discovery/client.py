"""Client of discovery: watches the endpoint list for changes, and fetches the full list if none is known.

One service may answer all gateways. If all of them started or failed at the same time, their calls would stay
synchronised from then on, so delays are drawn at random (see `polling`). A call requests the changes since
the last list, which costs the service less than the full list.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from time import monotonic
from typing import TYPE_CHECKING, Any

from api_gateway import interface as api
from api_gateway.base.endpoint_list import Address, EndpointListing, read_list
from api_gateway.base.ratelimit import LimitedLog
from api_gateway.discovery.drain_memory import DrainMemory
from api_gateway.discovery.fetcher import BrokenConnectionError, Fetcher, format_host
from api_gateway.discovery.polling import FULL_LIST_TIMEOUT_S, Params, PollSchedule

if TYPE_CHECKING:  # imported at run time only with the configuration key `view`
    from api_gateway.discovery.subsets import EndpointSubset

PATH = "/v1/endpoints"
SUBSET_POLL_INTERVAL_S = 0.02  # between checks whether a list has been read completely
EMPTY_WATCH_DELAY_S = 0.05  # after a watch that ended early without changes; well below 200 ms, see run()

log = logging.getLogger(__name__)


def format_url(address: Address) -> str:
    """Return the URL of the endpoint list for an address of the service."""
    return f"http://{format_host(address)}{PATH}"


def format_query(params: Params) -> str:
    """Return parameters as a URL query string."""
    return "&".join(f"{name}={value}" for name, value in params.items())


async def fetch_list(fetcher: Fetcher, address: Address, params: Params, limit: float) -> EndpointListing:
    """Fetch the full list or, with the parameters of a watch, its changes, within `limit` seconds.

    Raises:
        ValueError: The answer is not an endpoint list.
        FetchError, OSError: The call failed.
    """
    return read_list(await fetcher.get(address, f"{PATH}?{format_query(params)}" if params else PATH, limit))


class Discovery:
    """Keeps the endpoint list of one gateway up to date.

    Only one call is in flight at a time, so lists take effect in the order in which they were requested.
    `version` is the version of the last list, or None if no watch can continue from it.
    """

    def __init__(
        self,
        address: Address,
        version: int | None,
        on_list: Callable[[EndpointListing], None],
        on_failure: Callable[[], None],
        gateways: int = 1,
        seed: int = 0,
        grace: float | None = None,
        subset: EndpointSubset | None = None,
    ) -> None:
        """Initialise without starting the watch.

        Args:
            address: Address of discovery.
            version: Version of the initial list; None if there is none.
            on_list: Called with each list that takes effect.
            on_failure: Called after each failed call.
            gateways: Number of gateways that call the same service.
            seed: Seed of the random delays.
            grace: Drain grace period in seconds if an agent on this machine serves only this gateway; None if
                one service serves all gateways.
            subset: Subset of the endpoints that this gateway uses; None: it uses all endpoints.
        """
        self.address = address
        self.subset = subset
        # With a subset, the initial list also serves while the first call is delayed, but no watch continues
        # from it.
        self.delays_first_call = subset is not None and version is not None
        self.version = None if subset else version
        self.on_list = on_list
        self.on_failure = on_failure
        self.schedule = PollSchedule(gateways, random.Random(seed), grace)
        self.backoff = self.schedule.backoff
        self.failure_log = LimitedLog(log)
        self.recovery_log = LimitedLog(log)
        self.fetcher = Fetcher()
        self.subset_change: asyncio.Handle | None = None  # scheduled application of a changed subset
        self.watch_task: asyncio.Task[None] | None = None
        self.last_answer_at: float | None = None  # monotonic time
        self.first_answer = asyncio.Event()
        self.drains = DrainMemory()

    def set_drain_grace(self, grace: float) -> None:
        """Set the drain grace period in seconds. Only for discovery by an agent on this machine."""
        self.schedule.set_grace(grace)

    @property
    def url(self) -> str:
        """URL of the endpoint list at the current address."""
        return format_url(self.address)

    def age(self) -> float | None:
        """Return the seconds since the last answer; None if there was none."""
        return None if self.last_answer_at is None else monotonic() - self.last_answer_at

    def status(self) -> dict[str, Any]:
        """Return the status of the list for operators, as JSON."""
        age = self.age()
        return {
            "version": self.version,
            "age": None if age is None else round(age, 1),
            "from": self.url,
            "failures": self.backoff.failure_count,
            **({"view": self.subset.status()} if self.subset else {}),
        }

    # Calls

    async def poll(self, params: Params, limit: float) -> bool:
        """Call discovery once and apply the answer.

        Args:
            params: Parameters of the watch; empty: the full list is fetched.
            limit: Time limit in seconds.

        Returns:
            Whether the answer contained changes or a new version.
        """
        address = self.address
        version = self.version
        listing = await self._fetch(self.fetcher, address, params, limit, self._on_partial_list)
        if address == self.address:  # after move_to(), versions of the old address mean nothing
            if (
                params
                and listing.endpoint_list.mode == "delta"
                and listing.endpoint_list.version < (version or 0)
            ):
                raise ValueError(
                    f"changes end at version {listing.endpoint_list.version}, before known version {version}"
                )
            self.validate(listing)
            if self.subset:
                await self.subset.store_changes(listing)
            self.accept_list(listing)
            self.last_answer_at = monotonic()
            self.first_answer.set()
        return self.version != version or bool(listing.endpoint_list.endpoints)

    async def _fetch(
        self,
        fetcher: Fetcher,
        address: Address,
        params: Params,
        limit: float,
        on_partial_list: Callable[[EndpointListing], None] | None = None,
    ) -> EndpointListing:
        """Fetch a list. It does not take effect, apart from what is passed to `on_partial_list`."""
        if self.subset:
            return await self.subset.fetch(
                fetcher, address, PATH, format_query(params), limit, on_partial_list
            )
        return await fetch_list(fetcher, address, params, limit)

    def _on_partial_list(self, listing: EndpointListing) -> None:
        """Validate the header of a full list, or apply drains found in it, before the rest has been read."""
        self.validate(listing)
        if listing.endpoint_list.endpoints:
            self.on_list(replace(listing, endpoint_list=replace(listing.endpoint_list, mode="delta")))

    async def fetch_list_from(self, address: Address) -> EndpointListing:
        """Fetch the full list from another address without applying it. Raises the error of a failed call."""
        fetcher = Fetcher()
        try:
            return await self._fetch(fetcher, address, {}, FULL_LIST_TIMEOUT_S)
        finally:
            fetcher.close()

    # Applying lists

    def validate(self, listing: EndpointListing) -> None:
        """Raise an exception if a list must be rejected."""

    def accept_list(self, listing: EndpointListing) -> None:
        """Apply a list and pass it to `on_list`."""
        self.version = listing.endpoint_list.version
        if self.subset:
            is_older = self.drains.is_older(listing)
            listing = self.subset.apply(
                listing,
                lambda endpoint: self.drains.correct_endpoint(endpoint, is_older),
                list(self.drains.started_at),
            )
        self.record_list(listing)
        self.on_list(self.drains.correct(listing))

    def record_list(self, listing: EndpointListing) -> None:
        """Record a list that takes effect, for subclasses that keep the endpoints."""

    def adopt_known_list(self, listing: EndpointListing) -> EndpointListing:
        """Return the initial list with the subset and the endpoint states that apply here."""
        return self.drains.correct(self.subset.select_from(listing) if self.subset else listing)

    # The subset

    def may_have_endpoint(self, host: str) -> bool:
        """Return whether an endpoint that is not in the subset may exist."""
        return self.subset is not None and self.subset.may_contain(host)

    def resize_subset(self, size: int) -> None:
        """Change the size of the subset to `size` available endpoints, within its bounds."""
        if self.subset and self.subset.resize(size):
            self._on_subset_change(self.subset)

    def relocate_subset(self, index: int, zone: str) -> None:
        """Switch to the subset for another gateway index and zone."""
        if self.subset and self.subset.relocate(index, zone):
            self._on_subset_change(self.subset)

    def _on_subset_change(self, subset: EndpointSubset) -> None:
        """Schedule the subset change for later, because the decision engine may be processing an event."""
        if subset.endpoint_store is None:
            self.fetch_full_list()
        elif self.subset_change is None:
            self.subset_change = asyncio.get_running_loop().call_soon(self._apply_subset_change, subset)

    def _apply_subset_change(self, subset: EndpointSubset) -> None:
        self.subset_change = None
        if subset.open_reads:  # the list being read takes effect first
            loop = asyncio.get_running_loop()
            self.subset_change = loop.call_later(SUBSET_POLL_INTERVAL_S, self._apply_subset_change, subset)
        elif subset.endpoint_store is not None:  # otherwise another service has sent a subset in the meantime
            no_changes = EndpointListing(api.EndpointList("delta", self.drains.last_version, ()), {})
            listing = subset.update_selection(no_changes)
            self.record_list(listing)
            self.on_list(self.drains.correct(listing))

    # The watch

    async def attempt(self, params: Params, limit: float) -> bool:
        """Call discovery once and record the outcome.

        Returns:
            Whether the call returned a list.
        """
        started_at = monotonic()
        wait_s = int(params.get("wait", 0)) / 1000
        try:
            has_changes = await self.poll(params, limit)
        except Exception as err:  # no error may end the watch
            self._on_call_failed(err, started_at, is_watch=wait_s > 0)
            return False
        if self.backoff.failure_count:
            self.recovery_log.write(
                logging.INFO, "discovery answers again failures=%d", self.backoff.failure_count
            )
        self.schedule.record_success()
        if not has_changes and monotonic() - started_at < wait_s / 2:
            await asyncio.sleep(EMPTY_WATCH_DELAY_S)
        return True

    def _on_call_failed(self, err: Exception, started_at: float, *, is_watch: bool) -> None:
        is_unreadable = isinstance(err, ValueError)
        is_timeout = isinstance(err, TimeoutError)
        # A watch would have returned any change until the moment its connection broke.
        was_interrupted = is_watch and isinstance(err, OSError | BrokenConnectionError) and not is_timeout
        self.schedule.record_failure(
            unknown_since=monotonic() if was_interrupted else started_at,
            is_timeout=is_timeout,
            is_unreadable=is_unreadable,
        )
        if is_unreadable:  # the full list contains the change that was lost
            self.version = None
        if not self.backoff.failure_count:
            self.failure_log.write(
                logging.WARNING,
                "discovery call failed, the last list stays, retrying with backoff error=%s detail=%s",
                type(err).__name__,
                err,
            )
        self.on_failure()

    async def run(self, delay: float) -> None:
        """Watch until cancelled, starting after `delay` seconds if an initial list can serve until then."""
        if self.delays_first_call or self.version is not None:
            await asyncio.sleep(delay)
        while True:
            if self.version is None:
                has_answered = await self.attempt({}, self.schedule.timeouts.full_list)
            else:  # no delay: more than 200 ms after the last answer this counts as a new watch
                has_answered = await self.attempt(*self.schedule.watch_call(self.version))
            if not has_answered:
                delay = self.schedule.retry_delay(monotonic())
                if not self.schedule.take_immediate_retry(monotonic()):
                    await asyncio.sleep(delay)

    def set_watching(self, enabled: bool, first_delay: float | None = None) -> None:
        """Start or stop watching.

        Args:
            enabled: Whether to watch.
            first_delay: Seconds before the first call; None: drawn at random.
        """
        if enabled and self.watch_task is None:
            delay = self.backoff.first_delay() if first_delay is None else first_delay
            self.watch_task = asyncio.get_running_loop().create_task(self.run(delay))
        elif not enabled and self.watch_task is not None:
            self.watch_task.cancel()
            self.watch_task = None

    def restart(self) -> None:
        """Restart a running watch. Its call in flight is cancelled before the next call is made."""
        if self.watch_task is not None:
            self.set_watching(False)
            self.set_watching(True, 0.0)

    def move_to(self, address: Address, listing: EndpointListing | None = None) -> None:
        """Switch to another address, starting from a list fetched there or else from the full list."""
        self.address = address
        self.version = None
        if listing is not None:
            self.accept_list(listing)
        self.restart()

    def fetch_full_list(self) -> None:
        """Cancel the call in flight and fetch the full list instead."""
        self.version = None
        self.restart()

    async def wait_for_first_list(self) -> None:
        """Wait for the first answer, but no longer than a reachable service needs."""
        with suppress(TimeoutError):
            async with asyncio.timeout(self.schedule.timeouts.overrun_range[1]):
                await self.first_answer.wait()
        if self.subset and self.subset.open_reads:  # the first answer is still being read
            with suppress(TimeoutError):
                async with asyncio.timeout(FULL_LIST_TIMEOUT_S):
                    await self.first_answer.wait()

    async def close(self) -> None:
        """Stop watching and close the connection."""
        self.set_watching(False)
        if self.subset_change is not None:
            self.subset_change.cancel()
        self.fetcher.close()
