"""A gateway's side on its socket: exchanges out at their times, grants in. Nothing here decides."""

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
from api_gateway.budgets.holder import Holder
from api_gateway.budgets.lock import Lock
from api_gateway.budgets.terms import Grants, Terms

JITTER, PROMPT = 0.1, 0.2  # parts of the time between exchanges: drawn; after which less is confirmed
LOOK = 1.0  # s between looks whether the share of the reserve is free now

log = logging.getLogger(__name__)


class Share(Lock):
    """The right to a gateway's share of the reserve. Processes of one gateway share the folder."""

    def __init__(self, folder: Path, name: str) -> None:
        super().__init__(folder / f"{name}-reserve.lock")
        self.failed = ""

    def take(self) -> bool:
        try:
            return super().take()
        except OSError as err:
            if str(err) != self.failed:
                log.warning("no share of the reserve: %s", err)
            self.failed = str(err)
            return False


class Client:
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
        """`grantor` is HOST:PORT; `folder`: where processes of this gateway find each other."""
        self.url, self.clock, self.share = f"http://{grantor}/v1/exchange", clock, Share(folder, name)
        self.holder = Holder(terms, name, zone, index, int(time.time() * 1000), self.share.take(), clock())
        self.failures = 0
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        every = self.holder.terms.every
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=every))
        self.tasks = [asyncio.create_task(act()) for act in (self.keep_asking, self.keep_looking)]

    async def keep_looking(self) -> None:
        """Another process of this gateway may end and leave its share."""
        while not self.holder.reserves and self.holder.index < self.holder.terms.most:
            await asyncio.sleep(LOOK)
            if self.share.take():
                self.holder.reserve(self.clock())

    async def keep_asking(self) -> None:
        loop, every = asyncio.get_running_loop(), self.holder.terms.every
        while not self.holder.superseded:
            began = loop.time()
            failed = await self.exchange()
            if failed and not self.failures:
                log.warning(
                    "budgets: %s; the grants in hand last %.1f s",
                    failed,
                    max(0.0, self.holder.ends - self.clock()),
                )
            elif not failed and self.failures:
                log.info("budgets: answers again after %d failures", self.failures)
            self.failures = self.failures + 1 if failed else 0
            wait = every * (PROMPT if self.holder.prompt else random.uniform(1 - JITTER, 1 + JITTER))
            await asyncio.sleep(max(0.0, began + wait - loop.time()))
        log.warning(
            "budgets: a newer process of %s is there; this one is granted nothing more", self.holder.name
        )

    async def exchange(self) -> str:
        """Why it failed; "" where it did not."""
        told = msgspec.json.encode(self.holder.exchange(self.clock()))
        try:
            async with self.session.post(self.url, data=told) as answer:
                body = await answer.read()
                if answer.status == 200:
                    self.holder.answered(self.clock(), msgspec.json.decode(body, type=Grants))
                    return ""
                if answer.status == 409:
                    self.holder.stale(int(msgspec.json.decode(body)["life"]))
                    return ""
                return f"{answer.status} {body[:200].decode(errors='replace')}"
        except (aiohttp.ClientError, TimeoutError, ValueError, KeyError, OSError) as err:
            return f"{type(err).__name__} {err}".strip()

    def status(self) -> dict[str, Any]:
        return {**self.holder.status(self.clock()), "failures": self.failures}

    async def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        await self.session.close()
        self.share.close()
