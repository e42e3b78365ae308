"""Client of discovery: watches for changes of the endpoint list, and fetches the full list where it has none.

One service may answer all gateways. What starts or fails for all of them at one moment would make them call
at one moment for good, so delays are drawn at random (see `polling`), and a call asks for the changes since
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

if TYPE_CHECKING:  # only with the key `view`
    from api_gateway.discovery.subsets import EndpointSubset

PATH = "/v1/endpoints"
SUBSET_POLL_INTERVAL_S = 0.02  # between checks whether a list has been read to its end
EMPTY_WATCH_DELAY_S = 0.05  # after a watch that ended early without news; far under the 200 ms of a new watch

log = logging.getLogger(__name__)


def format_url(address: Address) -> str:
    """Return the URL of the endpoint list at an address."""
    return f"http://{format_host(address)}{PATH}"


def format_query(params: Params) -> str:
    """Return parameters as the query of a URL."""
    return "&".join(f"{name}={value}" for name, value in params.items())


async def fetch_list(fetcher: Fetcher, address: Address, params: Params, limit: float) -> EndpointListing:
    """Fetch a list or its changes within `limit` seconds.

    Raises:
        ValueError: The answer is no endpoint list.
        FetchError, OSError: The call failed.
    """
    return read_list(await fetcher.get(address, f"{PATH}?{format_query(params)}" if params else PATH, limit))


class Discovery:
    """Keeps the endpoint list of one gateway up to date.

    One call is in flight at a time, so lists take effect in the order in which they were requested.
    `version` is that of the last list, or None where no watch can go on from one.
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
        viewing: EndpointSubset | None = None,
    ) -> None:
        """Initialise the discovery.

        Args:
            address: Where discovery listens.
            version: Version of the list that is known from before; None: there is none.
            on_list: Gets each list that takes effect.
            on_failure: Called after each call that failed.
            gateways: Gateways that call the same service.
            seed: Of the random delays.
            grace: Grace period of a drain in seconds, where an agent on this machine answers this gateway
                alone; None where one service answers all.
            viewing: The subset of the endpoints that this gateway uses; None: it uses all.
        """
        self.address = address
        self.subset = viewing
        # With a subset, too, the known list serves while the first call is delayed; no watch goes on from it.
        self.delays_first_call = viewing is not None and version is not None
        self.version = None if viewing else version
        self.on_list = on_list
        self.on_failure = on_failure
        self.schedule = PollSchedule(gateways, random.Random(seed), grace)
        self.backoff = self.schedule.backoff
        self.failure_log = LimitedLog(log)
        self.recovery_log = LimitedLog(log)
        self.fetcher = Fetcher()
        self.subset_change: asyncio.Handle | None = None  # the turn in which a changed subset takes effect
        self.watch_task: asyncio.Task[None] | None = None
        self.last_answer_at: float | None = None  # monotonic
        self.first_answer = asyncio.Event()
        self.drains = DrainMemory()

    def set_drain_grace(self, grace: float) -> None:
        """Take over another grace period of a drain, in seconds, where an agent answers."""
        self.schedule.set_grace(grace)

    @property
    def url(self) -> str:
        """URL of the endpoint list."""
        return format_url(self.address)

    def age(self) -> float | None:
        """Return the seconds since the last answer; None: there was none."""
        return None if self.last_answer_at is None else monotonic() - self.last_answer_at

    def status(self) -> dict[str, Any]:
        """Return what operators see of the list, as JSON."""
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
        """Call discovery once and let the answer take effect.

        Args:
            params: Of the watch; none: the full list is fetched.
            limit: Time limit in seconds.

        Returns:
            Whether the answer brought anything new.
        """
        address = self.address
        version = self.version
        listing = await self._fetch(self.fetcher, address, params, limit, self._on_partial_list)
        if address == self.address:  # else it moved meanwhile, and versions of the old address mean nothing
            if (
                params
                and listing.endpoint_list.mode == "delta"
                and listing.endpoint_list.version < (version or 0)
            ):
                raise ValueError(
                    f"changes up to version {listing.endpoint_list.version}, where {version} was known"
                )
            self.validate(listing)
            if self.subset:
                await self.subset.bring(listing)
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
        """Fetch a list without any effect but what `on_partial_list` has."""
        if self.subset:
            return await self.subset.ask(fetcher, address, PATH, format_query(params), limit, on_partial_list)
        return await fetch_list(fetcher, address, params, limit)

    def _on_partial_list(self, listing: EndpointListing) -> None:
        """Take what precedes the endpoints of a full list, or drains in it, before the rest is read."""
        self.validate(listing)
        if listing.endpoint_list.endpoints:
            self.on_list(replace(listing, endpoint_list=replace(listing.endpoint_list, mode="delta")))

    async def fetch_list_from(self, address: Address) -> EndpointListing:
        """Fetch the full list at another address, without effect here. Raises what went wrong."""
        fetcher = Fetcher()
        try:
            return await self._fetch(fetcher, address, {}, FULL_LIST_TIMEOUT_S)
        finally:
            fetcher.close()

    # Lists that take effect

    def validate(self, listing: EndpointListing) -> None:
        """Raise what speaks against taking a list."""

    def accept_list(self, listing: EndpointListing) -> None:
        """Let a list take effect and pass it on."""
        self.version = listing.endpoint_list.version
        if self.subset:
            older = self.drains.is_older(listing)
            listing = self.subset.take(
                listing,
                lambda endpoint: self.drains.correct_endpoint(endpoint, older),
                list(self.drains.started_at),
            )
        self.record_list(listing)
        self.on_list(self.drains.correct(listing))

    def record_list(self, listing: EndpointListing) -> None:
        """Note a list that takes effect."""

    def adopt_known_list(self, listing: EndpointListing) -> EndpointListing:
        """Return a list that is known from before, as it holds here."""
        return self.drains.correct(self.subset.cut(listing) if self.subset else listing)

    # The subset

    def may_have_endpoint(self, host: str) -> bool:
        """Return whether an endpoint may exist that is outside the subset."""
        return self.subset is not None and self.subset.may_enter(host)

    def resize_subset(self, size: int) -> None:
        """Make the subset `size` available endpoints large, as far as its bounds allow."""
        if self.subset and self.subset.resize(size):
            self._on_subset_change(self.subset)

    def relocate_subset(self, index: int, zone: str) -> None:
        """Take the subset for another gateway index and zone from here on."""
        if self.subset and self.subset.move(index, zone):
            self._on_subset_change(self.subset)

    def _on_subset_change(self, viewing: EndpointSubset) -> None:
        """Schedule a turn for the changed subset, as the decision module may be in the middle of one."""
        if viewing.shelf is None:
            self.fetch_full_list()
        elif self.subset_change is None:
            self.subset_change = asyncio.get_running_loop().call_soon(self._apply_subset_change, viewing)

    def _apply_subset_change(self, viewing: EndpointSubset) -> None:
        self.subset_change = None
        if viewing.reading:  # a list that takes effect once it is complete
            loop = asyncio.get_running_loop()
            self.subset_change = loop.call_later(SUBSET_POLL_INTERVAL_S, self._apply_subset_change, viewing)
        elif viewing.shelf is not None:  # else another service has sent a subset meanwhile
            no_changes = EndpointListing(api.EndpointList("delta", self.drains.last_version, ()), {})
            listing = viewing.shift(no_changes)
            self.record_list(listing)
            self.on_list(self.drains.correct(listing))

    # The watch

    async def attempt(self, params: Params, limit: float) -> bool:
        """Call discovery once and note the result.

        Returns:
            Whether a list answered the call.
        """
        started_at = monotonic()
        wait = int(params.get("wait", 0)) / 1000
        try:
            has_news = await self.poll(params, limit)
        except Exception as err:  # whatever it is, the watch must outlive it
            self._on_call_failed(err, started_at, is_watch=wait > 0)
            return False
        if self.backoff.failure_count:
            self.recovery_log.write(
                logging.INFO, "discovery answers again failures=%d", self.backoff.failure_count
            )
        self.schedule.record_success()
        if not has_news and monotonic() - started_at < wait / 2:
            await asyncio.sleep(EMPTY_WATCH_DELAY_S)
        return True

    def _on_call_failed(self, err: Exception, started_at: float, *, is_watch: bool) -> None:
        is_unreadable = isinstance(err, ValueError)
        is_timeout = isinstance(err, TimeoutError)
        # Up to the moment at which it broke a watch would have brought changes.
        was_cut = is_watch and isinstance(err, OSError | BrokenConnectionError) and not is_timeout
        self.schedule.record_failure(
            unknown_since=monotonic() if was_cut else started_at,
            is_timeout=is_timeout,
            is_unreadable=is_unreadable,
        )
        if is_unreadable:  # what changed there is in the full list
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
        """Watch until cancelled; where a known list serves meanwhile, `delay` seconds from now on."""
        if self.delays_first_call or self.version is not None:
            await asyncio.sleep(delay)
        while True:
            if self.version is None:
                is_answered = await self.attempt({}, self.schedule.timeouts.full_list)
            else:  # without a delay after the last answer: past 200 ms it would be a new watch
                is_answered = await self.attempt(*self.schedule.watch_call(self.version))
            if not is_answered:
                delay = self.schedule.retry_delay(monotonic())
                if not self.schedule.take_immediate_retry(monotonic()):
                    await asyncio.sleep(delay)

    def set_watching(self, on: bool, pause: float | None = None) -> None:
        """Start or stop watching.

        Args:
            on: Whether there shall be a watch.
            pause: Seconds before its first call; None: drawn at random.
        """
        if on and self.watch_task is None:
            delay = self.backoff.first_delay() if pause is None else pause
            self.watch_task = asyncio.get_running_loop().create_task(self.run(delay))
        elif not on and self.watch_task is not None:
            self.watch_task.cancel()
            self.watch_task = None

    def restart(self) -> None:
        """Begin a running watch anew: its call in flight is given up before the next is made."""
        if self.watch_task is not None:
            self.set_watching(False)
            self.set_watching(True, 0.0)

    def move_to(self, address: Address, listing: EndpointListing | None = None) -> None:
        """Go on at another address, from the list that was fetched there or else with the full one."""
        self.address = address
        self.version = None
        if listing is not None:
            self.accept_list(listing)
        self.restart()

    def fetch_full_list(self) -> None:
        """Fetch the full list, in place of the call that is in flight."""
        self.version = None
        self.restart()

    async def wait_for_first_list(self) -> None:
        """Wait for the first answer, for no longer than a service that is there takes."""
        with suppress(TimeoutError):
            async with asyncio.timeout(self.schedule.timeouts.overrun_range[1]):
                await self.first_answer.wait()
        if self.subset and self.subset.reading:  # the answer is arriving
            with suppress(TimeoutError):
                async with asyncio.timeout(FULL_LIST_TIMEOUT_S):
                    await self.first_answer.wait()

    async def close(self) -> None:
        """Stop watching and close the connection."""
        self.set_watching(False)
        if self.subset_change is not None:
            self.subset_change.cancel()
        self.fetcher.close()
