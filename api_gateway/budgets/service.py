"""The grantor's HTTP service. It answers exchanges once the grants are on disk.

All decisions about grants are made in `grantor`.
"""

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
from api_gateway.budgets.settings import ExchangeRequest, GrantResponse, decode_exchange
from api_gateway.budgets.store import GrantLog, GrantStore, LogState, fixed_settings_of

EXCHANGE_PATH = "/v1/exchange"
STATUS_PATH = "/status"
MAX_BODY_BYTES = 64 * 1024  # largest body of an exchange
BODY_TIMEOUT_S = 2.0  # time to receive a request body
RESPONSE_TIMEOUT_S = 5.0  # time after which a caller that does not read its response is dropped
EXPIRY_INTERVAL_S = 0.1  # time between checks for expired grants
WRITE_INTERVAL_S = 1.0  # time between writes of reduced grants, and between retries while the disk fails
SHUTDOWN_TIMEOUT_S = 0.5  # time for calls in progress to end at shutdown
BACKLOG = 1024  # connections waiting to be accepted

log = logging.getLogger(__name__)


class GrantorService:
    """Owns the grantor, its log and its listening socket."""

    def __init__(self, config: Config) -> None:
        """Create the service without opening the log or the socket."""
        self.config = config
        self.clock = boot_clock
        self.store = GrantStore(config.log) if config.log is not None else None
        self.server = web.Server(self.handle_call, access_log=None)
        self.listener: AcceptingServer | None = None
        self.writer = ThreadPoolExecutor(1)
        self.log_waiters: list[asyncio.Future[bool]] = []  # one per response waiting to be stored
        self.write_requested = asyncio.Event()
        self.tasks: list[asyncio.Task[None]] = []
        self.stored_as_complete = False  # whether the log is marked as containing all grants
        self.writes = 0
        self.is_log_read = False  # until then, the contents of the log are unknown

    async def start(self) -> int:
        """Read the log, listen and start to serve; return the port.

        Raises:
            OSError: The address cannot be listened on.
            ConfigError: The settings contradict the settings stored in the log.
        """
        stored = self.read_log()
        self.fixed_settings = self.check_fixed_settings(stored.state)
        self.grantor = self.make_grantor(stored)
        if self.store is not None and not self.is_log_read:
            self.grantor.on_log_failed()
        loop = asyncio.get_running_loop()
        if self.store is not None:
            self.write_requested.set()  # the log states from the start how long grants may be in use
            self.tasks.append(loop.create_task(self.run_log_writer()))
        self.tasks.append(loop.create_task(self.run_expiry()))
        self.listener = await serve(self.config.listen, self.server, BACKLOG)
        port: int = self.listener.sockets[0].getsockname()[1]
        return port

    def read_log(self) -> GrantLog:
        """Return the contents of the log, or an empty log if there is none or it cannot be read."""
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
        """Return a grantor created from the contents of the log."""
        now = self.clock()
        rows = stored.complete_rows()
        grantor = Grantor(
            self.config.settings,
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

    def check_fixed_settings(self, log_state: LogState) -> dict[str, float | str]:
        """Return the settings that must not change, of all budgets configured so far.

        Raises:
            ConfigError: The configuration differs from the log in one of them. Gateways that are not notified
                would then use shares of the reserve that are no longer set aside.
        """
        fixed = fixed_settings_of(self.config.settings)
        for name in sorted(log_state.fixed_settings.keys() & fixed.keys()):
            if log_state.fixed_settings[name] != fixed[name]:
                raise ConfigError(
                    f"{name} is {fixed[name]}, and was {log_state.fixed_settings[name]} by the log "
                    f"{self.config.log}: gateways may still use the old value; stop all of them, then "
                    "move the log away"
                )
        return {**log_state.fixed_settings, **fixed}

    async def run_expiry(self) -> None:
        """Release expired grants periodically, until cancelled."""
        while True:
            self.grantor.release_ended(self.clock())
            await asyncio.sleep(EXPIRY_INTERVAL_S)

    # The log

    async def run_log_writer(self) -> None:
        """Write the log until cancelled.

        Grants that became larger are written at once, together with all other changes up to then. Other
        changes are written once per interval.
        """
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(WRITE_INTERVAL_S):
                    await self.write_requested.wait()
            self.write_requested.clear()
            is_complete = self.grantor.is_complete(self.clock())
            has_changes = self.log_waiters or self.grantor.unstored or self.writes == 0
            if has_changes or is_complete != self.stored_as_complete or not self.grantor.is_log_writable:
                await self.write_log(is_complete)

    async def write_log(self, is_complete: bool) -> None:
        """Write all changes to the log and resume the responses that wait for it."""
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
        """Write the grants that differ from the log, or all grants after a failure and at the first write.

        Raises:
            GrantLogError: The log could not be opened or written.
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
        fixed_settings = {**self.fixed_settings, **fixed_settings_of(grantor.settings)}
        state = LogState(grantor.term, is_complete, grantor.longest_lifetime(now), fixed_settings)
        write = partial(self.store.write, rows, state, complete=writes_all)
        await loop.run_in_executor(self.writer, write)
        self.writes += 1
        self.stored_as_complete = is_complete
        if not grantor.is_log_writable:
            log.info("grant log usable again")
        grantor.on_stored(rows)

    def on_log_opened_late(self, stored: GrantLog) -> bool:
        """Take over a log that another grantor may have used until a moment ago.

        Returns:
            Whether all grants in use are known.

        Raises:
            GrantLogError: The settings contradict the settings stored in the log.
        """
        assert self.store is not None
        now = self.clock()
        try:
            self.fixed_settings = self.check_fixed_settings(stored.state)
        except ConfigError as err:
            raise GrantLogError(self.store.path, err) from err
        self.is_log_read = True
        self.grantor.wait_for_earlier_grants(now, stored.state.longest_lifetime, stored.state.term)
        wait = self.grantor.learned_at - now
        log.info("grant log opened, waiting until earlier grants have expired wait=%.1fs", wait)
        return self.grantor.is_complete(now)

    async def wait_until_stored(self) -> bool:
        """Wait until all grants made so far are stored; return False if the write failed."""
        waiter: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self.log_waiters.append(waiter)
        self.write_requested.set()
        return await waiter

    # Calls

    async def handle_call(self, request: web.BaseRequest) -> web.Response:
        """Handle one HTTP call and write its response."""
        response = await self.respond(request)
        await write_response(request, response, RESPONSE_TIMEOUT_S)
        return response

    async def respond(self, request: web.BaseRequest) -> web.Response:
        """Return the response to one HTTP call."""
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
        """Return the response to one exchange.

        Raises:
            ValueError: The body is not a valid exchange.
            TimeoutError: The body did not arrive in time.
            BudgetsError: The exchange gets no grants.
        """
        body = await read_body(request, MAX_BODY_BYTES, BODY_TIMEOUT_S)
        if len(body) > MAX_BODY_BYTES:
            return error_response(413, f"an exchange takes {MAX_BODY_BYTES} bytes at most")
        grants = await self.exchange(decode_exchange(body))
        return web.Response(body=msgspec.json.encode(grants), content_type="application/json")

    async def exchange(self, request: ExchangeRequest) -> GrantResponse:
        """Return the grants for one exchange after they are stored.

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
        """Apply the current configuration file after SIGHUP, either completely or not at all."""
        try:
            config = read_config()
            self.grantor.change_settings(self.clock(), config.settings, config.weights)
        except (ConfigError, InvalidExchangeError) as err:
            log.error("SIGHUP: configuration rejected, nothing changes error=%s", err)
            return
        log.info("SIGHUP: configuration in force budgets=%d", len(config.settings.budgets))

    async def close(self) -> None:
        """Stop the tasks, the listener, calls in progress, the writer and the log, in this order."""
        for task in self.tasks:
            task.cancel()
        if self.listener is not None:
            self.listener.close()
        await self.server.shutdown(SHUTDOWN_TIMEOUT_S)
        self.writer.shutdown()
        if self.store is not None:
            self.store.close()


def response_to_error(err: Exception) -> web.Response:
    """Return the HTTP response to an exchange that failed with an error."""
    if isinstance(err, StaleIncarnationError):
        return error_response(409, str(err), life=err.newest_incarnation)
    if isinstance(err, SupersededExchangeError):
        return error_response(410, "a newer exchange was answered")
    if isinstance(err, TimeoutError):
        return error_response(408, f"no whole body within {BODY_TIMEOUT_S:.0f} s")
    return error_response(400, " ".join(str(err).split()))  # InvalidExchangeError, or a msgspec error


def error_response(status: int, reason: str, **details: Any) -> web.Response:
    """Return a JSON error with its reason and optional further keys."""
    return web.json_response({"error": reason, **details}, status=status)
