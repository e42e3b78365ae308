"""The grantor on its socket: takes exchanges, responds once the grants are on disk. Nothing here decides."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import time
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from typing import Any

import msgspec
from aiohttp import web

from api_gateway.base.accepting import AcceptingServer, serve
from api_gateway.base.errors import ConfigError
from api_gateway.base.http_io import read_body, write_response
from api_gateway.budgets.clock import boot_clock
from api_gateway.budgets.config import Config, read_config
from api_gateway.budgets.errors import (
    BudgetsError,
    GrantLogError,
    InvalidExchangeError,
    StaleIncarnationError,
    SupersededExchangeError,
)
from api_gateway.budgets.grantor import Grantor
from api_gateway.budgets.grantor_status import describe_grantor
from api_gateway.budgets.store import GrantLog, GrantStore, LogState, fixed_terms_of
from api_gateway.budgets.terms import ExchangeRequest, GrantResponse, decode_exchange

EXCHANGE_PATH = "/v1/exchange"
STATUS_PATH = "/status"
MAX_BODY_BYTES = 64 * 1024  # of an exchange
BODY_TIMEOUT_S = 2.0  # for a body to come
RESPONSE_TIMEOUT_S = 5.0  # after which a caller that does not read its response is given up
EXPIRY_INTERVAL_S = 0.1  # between checks for grants that have ended
WRITE_INTERVAL_S = 1.0  # between writes of what shrank, and between attempts while the disk fails
SHUTDOWN_TIMEOUT_S = 0.5  # that calls in progress have at the end
BACKLOG = 1024

log = logging.getLogger(__name__)


class GrantorService:
    """Owns the grantor, its log and the listening socket."""

    def __init__(self, config: Config) -> None:
        """Opens nothing yet."""
        self.config = config
        self.clock = boot_clock
        self.store = GrantStore(config.log) if config.log is not None else None
        self.server = web.Server(self.handle_call, access_log=None)
        self.listener: AcceptingServer | None = None
        self.writer = ThreadPoolExecutor(1)
        self.log_waiters: list[asyncio.Future[bool]] = []  # responses that are sent once they are stored
        self.write_wanted = asyncio.Event()
        self.tasks: list[asyncio.Task[None]] = []
        self.stored_as_complete = False  # whether the log says that it holds all that is granted
        self.writes = 0
        self.is_log_read = False  # before, nothing is known of what it holds

    async def start(self) -> int:
        """Reads the log, listens and begins to serve; returns the port.

        Raises:
            OSError: The address cannot be listened on.
            ConfigError: The terms contradict what the log says.
        """
        stored = self.read_log()
        self.fixed_terms = self.check_fixed_terms(stored.state)
        self.grantor = self.make_grantor(stored)
        if self.store is not None and not self.is_log_read:
            self.grantor.on_log_failed()
        loop = asyncio.get_running_loop()
        if self.store is not None:
            self.write_wanted.set()  # how long all grants may last stands in the log from the first moment on
            self.tasks.append(loop.create_task(self.keep_writing()))
        self.tasks.append(loop.create_task(self.keep_releasing()))
        self.listener = await serve(self.config.listen, self.server, BACKLOG)
        port: int = self.listener.sockets[0].getsockname()[1]
        return port

    def read_log(self) -> GrantLog:
        """Returns what the log holds; nothing where there is none or it cannot be read."""
        if self.store is None:
            return GrantLog(LogState())
        try:
            stored = self.store.open()
        except GrantLogError as err:
            log.error("grant log unavailable, no new or larger grants until it is usable error=%s", err)
            return GrantLog(LogState())
        self.is_log_read = True
        if stored.was_corrupt:
            log.warning("grant log was corrupt and is put aside path=%s", self.config.log)
        return stored

    def make_grantor(self, stored: GrantLog) -> Grantor:
        """Returns a grantor that begins with what the log held."""
        now = self.clock()
        rows = stored.complete_rows()
        grantor = Grantor(
            self.config.terms,
            max(int(time.time() * 1000), stored.state.term + 1),
            now,
            rows,
            self.store is not None,
            self.config.weights,
            stored.state.longest_lifetime,
        )
        if rows is None:
            wait = grantor.learned_at - now
            log.info("earlier grants unknown, waiting until they have ended wait=%.1fs", wait)
        return grantor

    def check_fixed_terms(self, before: LogState) -> dict[str, float | str]:
        """Returns what gateways that hear nothing go by, by all terms so far.

        Raises:
            ConfigError: The file says something else now: such gateways would use shares of the reserve that
                are no longer set aside.
        """
        fixed = fixed_terms_of(self.config.terms)
        for name in sorted(before.fixed_terms.keys() & fixed.keys()):
            if before.fixed_terms[name] != fixed[name]:
                raise ConfigError(
                    f"{name} is {fixed[name]}, and was {before.fixed_terms[name]} by the log "
                    f"{self.config.log}: gateways may still go by that; stop them all, then "
                    "move the log away"
                )
        return {**before.fixed_terms, **fixed}

    async def keep_releasing(self) -> None:
        """Releases grants that have ended, until it is cancelled."""
        while True:
            self.grantor.release_ended(self.clock())
            await asyncio.sleep(EXPIRY_INTERVAL_S)

    # The log

    async def keep_writing(self) -> None:
        """Writes the log, until it is cancelled.

        What became more is written at once, together with all that has come by then; the rest once in an
        interval.
        """
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(WRITE_INTERVAL_S):
                    await self.write_wanted.wait()
            self.write_wanted.clear()
            is_complete = self.grantor.is_complete(self.clock())
            has_news = self.log_waiters or self.grantor.unstored or self.writes == 0
            if has_news or is_complete != self.stored_as_complete or not self.grantor.is_log_writable:
                await self.write_log(is_complete)

    async def write_log(self, is_complete: bool) -> None:
        """Writes what the log does not hold, and wakes the responses that wait for it."""
        waiters = self.log_waiters
        self.log_waiters = []
        try:
            await self.store_grants(is_complete)
        except GrantLogError as err:
            if self.grantor.is_log_writable:
                log.error("grant log unavailable, no new or larger grants until it is usable error=%s", err)
            self.grantor.on_log_failed()
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(self.grantor.is_log_writable)

    async def store_grants(self, is_complete: bool) -> None:
        """Writes what the log does not hold; all there is after a failure and at the first write.

        Raises:
            GrantLogError: The disk did not take it.
        """
        assert self.store is not None
        grantor = self.grantor
        writes_all = self.writes == 0 or not grantor.is_log_writable
        loop = asyncio.get_running_loop()
        if not self.is_log_read:
            stored = await loop.run_in_executor(self.writer, self.store.open)
            is_complete = self.on_log_opened_late(stored)
        now = self.clock()
        rows = grantor.rows_to_store(now, writes_all)
        fixed_terms = {**self.fixed_terms, **fixed_terms_of(grantor.terms)}
        state = LogState(grantor.term, is_complete, grantor.longest_lifetime(now), fixed_terms)
        write = partial(self.store.write, rows, state, complete=writes_all)
        await loop.run_in_executor(self.writer, write)
        self.writes += 1
        self.stored_as_complete = is_complete
        if not grantor.is_log_writable:
            log.info("grant log usable again")
        grantor.on_stored(rows)

    def on_log_opened_late(self, stored: GrantLog) -> bool:
        """Takes over a log that another grantor may have had until just now.

        Returns:
            Whether all that is granted is known.

        Raises:
            GrantLogError: The terms contradict those of the log.
        """
        assert self.store is not None
        now = self.clock()
        try:
            self.fixed_terms = self.check_fixed_terms(stored.state)
        except ConfigError as err:
            raise GrantLogError(self.store.path, err) from err
        self.is_log_read = True
        self.grantor.wait_for_earlier_grants(now, stored.state.longest_lifetime, stored.state.term)
        wait = self.grantor.learned_at - now
        log.info("grant log opened, waiting until earlier grants end wait=%.1fs", wait)
        return self.grantor.is_complete(now)

    async def wait_until_stored(self) -> bool:
        """Returns True once all that was granted so far is stored, False where it could not be."""
        waiter: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self.log_waiters.append(waiter)
        self.write_wanted.set()
        return await waiter

    # Calls

    async def handle_call(self, request: web.BaseRequest) -> web.Response:
        """Answers one HTTP call."""
        response = await self.respond(request)
        await write_response(request, response, RESPONSE_TIMEOUT_S)
        return response

    async def respond(self, request: web.BaseRequest) -> web.Response:
        """Returns the response to one call."""
        if request.path == STATUS_PATH and request.method == "GET":
            status = describe_grantor(self.grantor, self.clock())
            return web.json_response({**status, "writes": self.writes})
        if request.path != EXCHANGE_PATH or request.method != "POST":
            return error_response(404, "no such call")
        try:
            return await self.respond_to_exchange(request)
        except (BudgetsError, ValueError, TimeoutError) as err:
            return response_to_error(err)

    async def respond_to_exchange(self, request: web.BaseRequest) -> web.Response:
        """Returns the response to one exchange.

        Raises:
            ValueError: The body is no exchange.
            TimeoutError: It did not come in time.
            BudgetsError: It is not answered with grants.
        """
        body = await read_body(request, MAX_BODY_BYTES, BODY_TIMEOUT_S)
        if len(body) > MAX_BODY_BYTES:
            return error_response(413, f"an exchange takes {MAX_BODY_BYTES} bytes at most")
        grants = await self.exchange(decode_exchange(body))
        return web.Response(body=msgspec.json.encode(grants), content_type="application/json")

    async def exchange(self, request: ExchangeRequest) -> GrantResponse:
        """Returns the grants for one exchange, once they are stored.

        Raises:
            StaleIncarnationError, SupersededExchangeError, InvalidExchangeError: See Grantor.handle_exchange.
        """
        response = self.grantor.handle_exchange(self.clock(), request)
        if not self.grantor.unstored_amounts(request):
            return response
        if self.grantor.is_log_writable and await self.wait_until_stored():
            return response
        return self.grantor.reduce_to_stored(request, response)

    def reload(self) -> None:
        """Takes the file as it is now, after SIGHUP: completely or not at all."""
        try:
            config = read_config()
            self.grantor.change_terms(self.clock(), config.terms, config.weights)
        except (ConfigError, InvalidExchangeError) as err:
            log.error("SIGHUP: configuration rejected, nothing changes error=%s", err)
            return
        log.info("SIGHUP: configuration in force budgets=%d", len(config.terms.budgets))

    async def close(self) -> None:
        """Ends the tasks, the listener, calls in progress, the writer and the log, in this order."""
        for task in self.tasks:
            task.cancel()
        if self.listener is not None:
            self.listener.close()
        await self.server.shutdown(SHUTDOWN_TIMEOUT_S)
        self.writer.shutdown()
        if self.store is not None:
            self.store.close()


def response_to_error(err: Exception) -> web.Response:
    """Returns the status and the JSON of each error with which an exchange may end."""
    if isinstance(err, StaleIncarnationError):
        return error_response(409, str(err), life=err.newest_incarnation)
    if isinstance(err, SupersededExchangeError):
        return error_response(410, "a newer exchange was answered")
    if isinstance(err, TimeoutError):
        return error_response(408, f"no whole body within {BODY_TIMEOUT_S:.0f} s")
    return error_response(400, " ".join(str(err).split()))  # InvalidExchangeError, or what msgspec finds


def error_response(status: int, reason: str, **more: Any) -> web.Response:
    """Returns a JSON error with further keys beside its reason."""
    return web.json_response({"error": reason, **more}, status=status)
