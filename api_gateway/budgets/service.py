"""The grantor on its socket: exchanges in, grants out once they are on disk. Nothing here decides."""

from __future__ import annotations

import asyncio
import logging
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import msgspec
from aiohttp import web

from api_gateway.base.accepting import AcceptingServer, serve
from api_gateway.base.calls import hand_out, read_body
from api_gateway.base.errors import ConfigError
from api_gateway.budgets.clock import boot_clock
from api_gateway.budgets.config import Config, read_config
from api_gateway.budgets.grantor import Grantor, Stale, Superseded, Unsound
from api_gateway.budgets.store import Log, State, Store, StoreError, fixed
from api_gateway.budgets.terms import Exchange, Grants, read_exchange

EXCHANGE = "/v1/exchange"
MOST_BODY = 64 * 1024  # bytes of an exchange
BODY_WITHIN = 2.0  # s for it to come
TAKEN_WITHIN = 5.0  # s after which a caller that does not take its answer is given up
TICK = 0.1  # s between looks for grants that have ended
WRITE_EVERY = 1.0  # s between writes of what became less, and between tries where the disk takes nothing
BACKLOG = 1024

log = logging.getLogger(__name__)


class Service:
    def __init__(self, config: Config) -> None:
        self.config, self.clock = config, boot_clock
        self.store = Store(config.log) if config.log is not None else None
        self.server = web.Server(self.call, access_log=None)
        self.listener: AcceptingServer | None = None
        self.writer = ThreadPoolExecutor(1)
        self.waiting: list[asyncio.Future[bool]] = []  # answers that are told once they are on disk
        self.wake = asyncio.Event()
        self.tasks: list[asyncio.Task[None]] = []
        self.told_whole = False  # whether the log says that it holds all that is granted
        self.writes = 0
        self.read = False  # whether the log was read: nothing is known of it before

    async def start(self) -> int:
        """Raises OSError. Returns the port."""
        found, disk, now = Log(State()), True, self.clock()
        if self.store is not None:
            try:
                found, self.read = self.store.open(), True
                if found.torn:
                    log.warning("%s was torn and is put aside", self.config.log)
            except StoreError as err:
                disk = False
                log.error("the log takes nothing: %s; no new or larger grants until it does", err)
        self.fixed = self.agreed(found.state)
        covers, term = found.covers(), max(int(time.time() * 1000), found.state.term + 1)
        self.grantor = Grantor(
            self.config.terms,
            term,
            now,
            covers,
            self.store is not None,
            self.config.weights,
            found.state.longest,
        )
        if not disk:
            self.grantor.unwritten()
        if covers is None:
            log.info(
                "nothing is known of earlier grants: new ones in %.1f s, when all of them have ended",
                self.grantor.learned_at - now,
            )
        loop = asyncio.get_running_loop()
        if self.store is not None:
            self.wake.set()  # how long all may last stands in the log from the first moment on
            self.tasks.append(loop.create_task(self.keep_writing()))
        self.tasks.append(loop.create_task(self.keep_ticking()))
        self.listener = serve(self.config.listen, self.server, BACKLOG)
        return self.listener.sockets[0].getsockname()[1]

    def agreed(self, before: State) -> dict[str, float | str]:
        """What gateways that hear nothing go by, by all that was ever said. Raises ConfigError where the file
        says something else now: such gateways would use shares that are no longer set aside."""
        told = fixed(self.config.terms)
        for what in sorted(before.fixed.keys() & told.keys()):
            if before.fixed[what] != told[what]:
                raise ConfigError(
                    f"{what} is {told[what]}, and was {before.fixed[what]} by the log "
                    f"{self.config.log}: gateways may still go by that; stop them all, then "
                    "move the log away"
                )
        return {**before.fixed, **told}

    async def keep_ticking(self) -> None:
        while True:
            self.grantor.tick(self.clock())
            await asyncio.sleep(TICK)

    # The log

    async def keep_writing(self) -> None:
        """What became more is written at once, all that has come by then together; the rest once a second."""
        while True:
            try:
                async with asyncio.timeout(WRITE_EVERY):
                    await self.wake.wait()
            except TimeoutError:
                pass
            self.wake.clear()
            whole = self.grantor.whole(self.clock())
            owed = self.waiting or self.grantor.unstored or whole != self.told_whole or self.writes == 0
            if owed or not self.grantor.disk:
                await self.write(whole)

    async def write(self, whole: bool) -> None:
        assert self.store is not None
        grantor, first = self.grantor, self.writes == 0 or not self.grantor.disk
        waiting, self.waiting = self.waiting, []
        loop = asyncio.get_running_loop()
        try:
            if not self.read:
                whole = self.late(await loop.run_in_executor(self.writer, self.store.open))
            now = self.clock()
            rows = grantor.rows(now, first)
            state = State(grantor.term, whole, grantor.longest(now), {**self.fixed, **fixed(grantor.terms)})
            await loop.run_in_executor(self.writer, self.store.write, rows, state, first)
        except StoreError as err:
            if grantor.disk:
                log.error("the log takes nothing: %s; no new or larger grants until it does", err)
            grantor.unwritten()
        else:
            self.writes += 1
            self.told_whole = whole
            if not grantor.disk:
                log.info("the log takes what is granted again")
            grantor.stored(rows)
        for waiter in waiting:
            if not waiter.done():
                waiter.set_result(grantor.disk)

    def late(self, found: Log) -> bool:
        """The log is read at last: another grantor may have had it until just now. Whether all that is
        granted is known. Raises StoreError where the file's shares are not those of the log."""
        now = self.clock()
        try:
            self.fixed = self.agreed(found.state)
        except ConfigError as err:
            raise StoreError(str(err)) from err
        self.read = True
        self.grantor.wait_out(now, found.state.longest, found.state.term)
        log.info("new grants in %.1f s, when all earlier ones have ended", self.grantor.learned_at - now)
        return self.grantor.whole(now)

    async def on_disk(self) -> bool:
        """Once all that was granted so far is; False where it could not be."""
        waiter = asyncio.get_running_loop().create_future()
        self.waiting.append(waiter)
        self.wake.set()
        return await waiter

    # Calls

    async def call(self, request: web.BaseRequest) -> web.Response:
        answer = await self.answer(request)
        await hand_out(request, answer, TAKEN_WITHIN)
        return answer

    async def answer(self, request: web.BaseRequest) -> web.Response:
        if request.path == "/status" and request.method == "GET":
            return web.json_response({**self.grantor.status(self.clock()), "writes": self.writes})
        if request.path != EXCHANGE or request.method != "POST":
            return refuse(404, "no such call")
        try:
            body = await read_body(request, MOST_BODY, BODY_WITHIN)
            if len(body) > MOST_BODY:
                return refuse(413, f"an exchange takes {MOST_BODY} bytes at most")
            grants = await self.exchange(read_exchange(body))
        except Stale as err:
            return refuse(409, str(err), life=err.life)
        except Superseded:
            return refuse(410, "a newer exchange was answered")
        except ValueError as err:  # Unsound, and what msgspec finds
            return refuse(400, " ".join(str(err).split()))
        except TimeoutError:
            return refuse(408, f"no whole body within {BODY_WITHIN:.0f} s")
        return web.Response(body=msgspec.json.encode(grants), content_type="application/json")

    async def exchange(self, told: Exchange) -> Grants:
        """Raises Stale, Superseded or Unsound."""
        grants = self.grantor.exchange(self.clock(), told)
        if self.grantor.owed(told) and (not self.grantor.disk or not await self.on_disk()):
            return self.grantor.cut_back(told, grants)
        return grants

    def reload(self) -> None:
        """After SIGHUP: the file as it is now, whole or not at all."""
        try:
            config = read_config()
            self.grantor.retune(self.clock(), config.terms, config.weights)
        except (ConfigError, Unsound) as err:
            log.error("SIGHUP: %s; nothing changes", err)
            return
        log.info("SIGHUP: %d budgets", len(config.terms.budgets))

    async def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        if self.listener is not None:
            self.listener.close()
        await self.server.shutdown(0.5)
        self.writer.shutdown()
        if self.store is not None:
            self.store.close()


def refuse(status: int, reason: str, **more: Any) -> web.Response:
    return web.json_response({"error": reason, **more}, status=status)
