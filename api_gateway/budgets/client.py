"""The gateway's client of the grantor.

It sends exchanges on schedule and passes the grants to the holder, which makes all decisions.
"""

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
from api_gateway.budgets.settings import BudgetSettings, GrantResponse

INTERVAL_JITTER = 0.1  # fraction of the interval by which exchanges are randomly shifted
CONFIRM_INTERVAL_FRACTION = 0.2  # fraction of the interval after which a smaller grant is confirmed
RESERVE_POLL_INTERVAL_S = 1.0  # time between two attempts to acquire the reserve lock
ERROR_BODY_BYTES = 200  # leading part of an error response's body that is logged

log = logging.getLogger(__name__)


class ReserveLock(FileLock):
    """The right to use a gateway's share of the reserve, shared by all processes of that gateway."""

    def __init__(self, folder: Path, name: str) -> None:
        """Create the lock without acquiring it.

        Args:
            folder: The folder that all processes of this gateway use for lock files.
            name: The gateway's name.
        """
        super().__init__(folder / f"{name}-reserve.lock")
        self.last_error = ""

    def acquire(self) -> bool:
        """Return whether this process holds the lock now. An OSError is logged once and counts as no."""
        try:
            return super().acquire()
        except OSError as err:
            if str(err) != self.last_error:
                log.warning("cannot lock the share of the reserve error=%s", err)
            self.last_error = str(err)
            return False


class BudgetClient:
    """Exchanges messages with the grantor for one gateway. `holder` tracks what the gateway may use."""

    def __init__(
        self,
        settings: BudgetSettings,
        grantor: str,
        name: str,
        zone: str,
        index: int,
        folder: Path,
        clock: Callable[[], float] = boot_clock,
    ) -> None:
        """Create the client and try to acquire the reserve lock, without connecting.

        Args:
            settings: The settings, equal to those of the grantor.
            grantor: HOST:PORT of the grantor.
            name: The gateway's name.
            zone: The gateway's zone.
            index: The gateway's number.
            folder: The folder that all processes of this gateway use for lock files.
            clock: Returns monotonic seconds, which also advance while the machine is suspended.
        """
        self.url = f"http://{grantor}/v1/exchange"
        self.clock = clock
        self.reserve_lock = ReserveLock(folder, name)
        incarnation = int(time.time() * 1000)
        has_reserve = self.reserve_lock.acquire()
        self.holder = BudgetHolder(settings, name, zone, index, incarnation, has_reserve, clock())
        self.failures = 0
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start the exchanges. Must be called on the event loop."""
        timeout = aiohttp.ClientTimeout(total=self.holder.settings.exchange_interval)
        self.session = aiohttp.ClientSession(timeout=timeout)
        self.tasks = [
            asyncio.create_task(self.run_exchanges()),
            asyncio.create_task(self.wait_for_reserve()),
        ]

    async def wait_for_reserve(self) -> None:
        """Take over the share of the reserve once the other process of this gateway has ended."""
        holder = self.holder
        while not holder.uses_reserve and holder.index < holder.settings.max_gateways:
            await asyncio.sleep(RESERVE_POLL_INTERVAL_S)
            if self.reserve_lock.acquire():
                holder.start_using_reserve(self.clock())

    async def run_exchanges(self) -> None:
        """Exchange once per interval, until a newer process of this gateway exists."""
        loop = asyncio.get_running_loop()
        interval = self.holder.settings.exchange_interval
        while not self.holder.is_superseded:
            started_at = loop.time()
            self.log_outcome(await self.exchange())
            if self.holder.confirm_soon:
                fraction = CONFIRM_INTERVAL_FRACTION
            else:
                fraction = random.uniform(1 - INTERVAL_JITTER, 1 + INTERVAL_JITTER)
            await asyncio.sleep(max(0.0, started_at + interval * fraction - loop.time()))
        log.warning("budget exchanges stop: superseded by a newer process gateway=%s", self.holder.name)

    def log_outcome(self, error: str) -> None:
        """Log the first of consecutive failures, and the first success after them."""
        if error and not self.failures:
            remaining = max(0.0, self.holder.granted_until - self.clock())
            log.warning("budget exchange failed error=%s grants_end_in=%.1fs", error, remaining)
        elif not error and self.failures:
            log.info("budget exchange succeeded again failures=%d", self.failures)
        self.failures = self.failures + 1 if error else 0

    async def exchange(self) -> str:
        """Perform one exchange; return why it failed, or "" if it succeeded."""
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
        """Return the status for operators, as JSON."""
        return {**self.holder.status(self.clock()), "failures": self.failures}

    async def close(self) -> None:
        """Cancel the tasks, close the session and release the reserve lock."""
        for task in self.tasks:
            task.cancel()
        await self.session.close()
        self.reserve_lock.close()
