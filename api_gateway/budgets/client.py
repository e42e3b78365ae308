"""A gateway's side on its socket: sends exchanges at their times, takes the grants. Nothing here decides."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import aiohttp
import msgspec

from api_gateway.budgets.clock import boot_clock
from api_gateway.budgets.holder import BudgetHolder
from api_gateway.budgets.lock import FileLock
from api_gateway.budgets.terms import GrantResponse, Terms

INTERVAL_JITTER = 0.1  # fraction of the interval by which exchanges are spread
CONFIRM_INTERVAL_FRACTION = 0.2  # of the interval, after which a smaller grant is confirmed
RESERVE_POLL_INTERVAL_S = 1.0  # between two attempts to get the share of the reserve
ERROR_BODY_BYTES = 200  # of an error's body that are logged

log = logging.getLogger(__name__)


class ReserveLock(FileLock):
    """The right to a gateway's share of the reserve. Processes of one gateway have the folder in common."""

    def __init__(self, folder: Path, name: str) -> None:
        """Takes nothing yet.

        Args:
            folder: Where processes of this gateway find each other.
            name: The gateway's name.
        """
        super().__init__(folder / f"{name}-reserve.lock")
        self.last_error = ""

    def acquire(self) -> bool:
        """Returns whether this process has the share now; a failing disk is logged once and means no."""
        try:
            return super().acquire()
        except OSError as err:
            if str(err) != self.last_error:
                log.warning("share of the reserve not available error=%s", err)
            self.last_error = str(err)
            return False


class BudgetClient:
    """Exchanges with the grantor for one gateway. `holder` says what may be used."""

    def __init__(
        self,
        terms: Terms,
        grantor: str,
        name: str,
        zone: str,
        index: int,
        folder: Path,
        clock: Callable[[], float] = boot_clock,
    ) -> None:
        """Connects to nothing yet.

        Args:
            terms: Those of the grantor.
            grantor: Its HOST:PORT.
            name: The gateway's name.
            zone: Its zone.
            index: Its number.
            folder: Where processes of this gateway find each other.
            clock: Seconds that only go forward, also while the machine sleeps.
        """
        self.url = f"http://{grantor}/v1/exchange"
        self.clock = clock
        self.reserve_lock = ReserveLock(folder, name)
        incarnation = int(time.time() * 1000)
        has_reserve = self.reserve_lock.acquire()
        self.holder = BudgetHolder(terms, name, zone, index, incarnation, has_reserve, clock())
        self.failures = 0
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Begins to exchange; to be called on the event loop."""
        timeout = aiohttp.ClientTimeout(total=self.holder.terms.exchange_interval)
        self.session = aiohttp.ClientSession(timeout=timeout)
        self.tasks = [
            asyncio.create_task(self.run_exchanges()),
            asyncio.create_task(self.wait_for_reserve()),
        ]

    async def wait_for_reserve(self) -> None:
        """Takes over the share of the reserve once another process of this gateway has ended."""
        holder = self.holder
        while not holder.uses_reserve and holder.index < holder.terms.max_gateways:
            await asyncio.sleep(RESERVE_POLL_INTERVAL_S)
            if self.reserve_lock.acquire():
                holder.start_using_reserve(self.clock())

    async def run_exchanges(self) -> None:
        """Exchanges once in each interval, until a newer process of this gateway is there."""
        loop = asyncio.get_running_loop()
        interval = self.holder.terms.exchange_interval
        while not self.holder.is_superseded:
            started_at = loop.time()
            self.log_outcome(await self.exchange())
            if self.holder.confirm_soon:
                fraction = CONFIRM_INTERVAL_FRACTION
            else:
                fraction = random.uniform(1 - INTERVAL_JITTER, 1 + INTERVAL_JITTER)
            await asyncio.sleep(max(0.0, started_at + interval * fraction - loop.time()))
        log.warning("budgets end: superseded by a newer process gateway=%s", self.holder.name)

    def log_outcome(self, error: str) -> None:
        """Logs the first failure of several, and the first success after them."""
        if error and not self.failures:
            remaining = max(0.0, self.holder.granted_until - self.clock())
            log.warning("budget exchange failed error=%s grants_end_in=%.1fs", error, remaining)
        elif not error and self.failures:
            log.info("budget exchanges work again failures=%d", self.failures)
        self.failures = self.failures + 1 if error else 0

    async def exchange(self) -> str:
        """Exchanges once; returns why it failed, or "" where it did not."""
        request = msgspec.json.encode(self.holder.make_exchange(self.clock()))
        try:
            async with self.session.post(self.url, data=request) as response:
                body = await response.read()
                if response.status == 200:
                    grants = msgspec.json.decode(body, type=GrantResponse)
                    self.holder.on_response(self.clock(), grants)
                    return ""
                if response.status == 409:
                    self.holder.on_stale_incarnation(int(msgspec.json.decode(body)["life"]))
                    return ""
                return f"{response.status} {body[:ERROR_BODY_BYTES].decode(errors='replace')}"
        except (aiohttp.ClientError, TimeoutError, ValueError, KeyError, OSError) as err:
            return f"{type(err).__name__} {err}".strip()

    def status(self) -> dict[str, Any]:
        """Returns what operators see, as JSON."""
        return {**self.holder.status(self.clock()), "failures": self.failures}

    async def close(self) -> None:
        """Ends the tasks, the session and the right to the share of the reserve."""
        for task in self.tasks:
            task.cancel()
        await self.session.close()
        self.reserve_lock.close()
