"""Brings configurations into force: check, prepare, commit, then confirmation or rollback.

A change may come from SIGHUP, an operator's call, a rollback, or the other process of this gateway during an
upgrade. The prepare phase contains every step that can fail, and a failed prepare has no effect. Its last
step writes the history, and the commit follows in the same turn of the event loop. The processes of a gateway
agree through the shared history, because each adopts the newest version.
"""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING

from api_gateway.base.endpoint_list import EndpointListing, format_address
from api_gateway.base.errors import ConfigError
from api_gateway.control import config_candidate
from api_gateway.control.config_history import (
    ConfigHistory,
    ConfigHistoryFile,
    ConfigVersion,
    JsonObject,
    make_version,
)
from api_gateway.control.config_preparation import (
    STEPS,
    ChangeInProgress,
    build_config,
    changeable_content,
    reject_if_stopping,
    source_digest,
)
from api_gateway.control.config_schema import CHANGEABLE_PATHS, MAX_LISTED_ITEMS
from api_gateway.control.errors import ChangeRejectedError
from api_gateway.gateway.config import Config, reread_config

if TYPE_CHECKING:
    from api_gateway.gateway.node import GatewayNode

# Seconds for all prepare steps together.
PREPARE_TIMEOUT_S = 3.0
# Seconds after the confirmation deadline at which it is checked, because event loop timers may fire early.
TIMER_MARGIN_S = 0.002
# Bounds of the confirmation window that an operator may request, in seconds.
MIN_CONFIRM_WINDOW_S = 1.0
MAX_CONFIRM_WINDOW_S = 3600.0

log = logging.getLogger(__name__)


class ConfigChanges:
    """Changes the configuration of one gateway process, and adopts changes made by the other processes.

    This class owns the history and the confirmation timer; the node owns the configuration itself.
    """

    def __init__(self, node: GatewayNode, folder: Path | None) -> None:
        """Start with the node's configuration as version 1, without reading or writing files.

        Args:
            node: The process whose configuration changes.
            folder: The folder in which the history is stored; with None it is not stored.
        """
        self.node = node
        self.history_file = ConfigHistoryFile(folder, node.config.name)
        self.current = make_version(1, node.clock(), "start", changeable_content(node.config))
        self.history = ConfigHistory(source_digest(node.config), (self.current,))
        self.preparing = False
        self.confirmation_timer: asyncio.TimerHandle | None = None

    # The shared history

    def start(self) -> None:
        """Continue from the stored version unless this process was started with a changed configuration."""
        initial = self.history
        try:
            with self.history_file.locked():
                found = self.history_file.load()
                if found is None:
                    self.history_file.save(initial)
                elif found.source_digest != initial.source_digest or (
                    found.newest.origin == "start" and found.newest.content != self.current.content
                ):
                    found = replace(found, source_digest=initial.source_digest)
                    found = found.add(self.current.content, self.node.clock(), "start")
                    self.history_file.save(found)
        except OSError as err:
            self.history_file.log_not_saved(err)
        else:
            self.adopt_history(found or initial)

    def poll(self) -> None:
        """Adopt a change made by another process; cheap if the history file has not changed."""
        if self.history_file.has_changed() and (found := self.history_file.load()) is not None:
            self.adopt_history(found)

    def adopt_history(self, history: ConfigHistory) -> None:
        """Replace this process's history and bring its newest version into force.

        A version of origin "start", which another process read from a changed file when it started, applies
        to that process alone. This process adopts only the next change after it.
        """
        newest = history.newest
        previous_history = self.history
        self.history = history
        is_for_this_process = newest.origin != "start" or newest.content == self.current.content
        if newest != self.current and is_for_this_process:
            try:
                config = build_config(self.node.config, newest.content)
            except ConfigError as err:  # written by another release of the gateway
                log.error(
                    "configuration version not usable, keeping version %d error=%s", self.current.number, err
                )
                self.history = previous_history
                return
            self.commit(config, newest, None)
        self.schedule_expiry()

    def commit(self, config: Config, version: ConfigVersion, listing: EndpointListing | None) -> None:
        """Bring a configuration into force within one turn of the event loop; no step here can fail."""
        previous = self.current
        self.current = version
        if list(config_candidate.differences(previous.content, version.content)):
            self.node.adopt_config(config, listing)
        log.info(
            "configuration version in force version=%d origin=%s classes=%d plans=%d discovery=%s",
            version.number,
            version.origin,
            len(config.settings.classes),
            len(config.settings.plans),
            format_address(config.discovery),
        )

    # Operator calls

    def status(self) -> JsonObject:
        """Return the version in force, the newest version if it differs, and the pending confirmation."""
        self.poll()
        newest = self.history.newest.number
        pending = self.history.pending
        status = self.current.to_json()
        if newest != self.current.number:
            status["newest"] = newest
        status["pending"] = None
        if pending is not None:
            status["pending"] = {
                "version": pending.number,
                "back": pending.previous,
                "left": round(max(0.0, pending.deadline - self.node.clock()), 1),
            }
        return status

    def status_with_config(self) -> JsonObject:
        """Return the status and the configuration itself, from which an operator can make a candidate."""
        return {**self.status(), "config": self.current.content}

    def list_versions(self) -> list[JsonObject]:
        """Return all versions in the history, oldest first."""
        self.poll()
        pending_number = self.history.pending and self.history.pending.number
        return [
            {
                **version.to_json(),
                "in_force": version == self.current,
                "pending": version.number == pending_number,
            }
            for version in self.history.versions
        ]

    def check(self, body: bytes) -> JsonObject:
        """Validate a candidate without any effect, and return its content.

        Args:
            body: The candidate as JSON.

        Raises:
            ChangeRejectedError: The candidate is invalid; the error lists its faults.
        """
        self.poll()
        tree, faults = config_candidate.parse(body)
        if not faults:
            faults = config_candidate.check(tree, {**self.node.config.document, **self.current.content})
        content: JsonObject = {}
        if not faults:
            content = {name: tree[name] for name in CHANGEABLE_PATHS if name in tree}
            try:
                build_config(self.node.config, content)
            except ConfigError as err:
                faults = [config_candidate.Fault("", None, str(err))]
        if faults:
            shown = [fault.to_json() for fault in faults[:MAX_LISTED_ITEMS]]
            raise ChangeRejectedError(400, f"{len(faults)} faults", faults=shown)
        return content

    def is_in_force(self, content: JsonObject) -> bool:
        """Return whether this content is in force in this process and is the newest version."""
        return self.current == self.history.newest and not list(
            config_candidate.differences(self.current.content, content)
        )

    async def apply(self, body: bytes, expected_version: int, confirm_within: float | None) -> JsonObject:
        """Bring a candidate into force, and return the status.

        Args:
            body: The candidate as JSON.
            expected_version: The newest version that the operator knows.
            confirm_within: Seconds after which the change is rolled back unless confirmed; with None it needs
                no confirmation.

        Raises:
            ChangeRejectedError: The change was rejected and has had no effect.
        """
        content = self.check(body)
        if self.is_in_force(content):
            return {**self.status(), "changed": False}
        if expected_version != self.history.newest.number:
            raise ChangeRejectedError(409, f"version {self.history.newest.number} came first")
        if self.history.pending is not None:
            raise ChangeRejectedError(
                409, f"version {self.history.pending.number} waits for its confirmation"
            )
        return await self.change(content, "call", confirm_within=confirm_within)

    async def roll_back(self, number: int) -> JsonObject:
        """Bring the content of an earlier version into force again, and return the status.

        Raises:
            ChangeRejectedError: The rollback was rejected and has had no effect.
        """
        self.poll()
        found = self.history.find(number)
        if found is None:
            raise ChangeRejectedError(404, f"the history holds no version {number}")
        content = self.check(json.dumps(found.content).encode())
        if self.is_in_force(content):
            return {**self.status(), "changed": False}
        return await self.change(content, "rollback", restored=number)

    def confirm(self, number: int) -> JsonObject:
        """Confirm the version that is pending, and return the status.

        Raises:
            ChangeRejectedError: This version is not pending.
            OSError: The confirmation cannot be stored; the version stays pending.
        """
        self.poll()
        pending = self.history.pending
        if pending is not None and pending.number == number and self.node.clock() >= pending.deadline:
            self.expire()
            pending = None
        if pending is not None and pending.number == number:
            with self.history_file.locked():
                self.poll()
                if self.history.pending == pending:
                    confirmed = replace(self.history, pending=None)
                    self.history_file.save(confirmed)
                    self.adopt_history(confirmed)
                    log.info("configuration version confirmed version=%d", number)
        if self.history.newest.number != number or self.history.pending is not None:
            raise ChangeRejectedError(409, f"version {number} does not wait for a confirmation")
        return self.status()

    # Prepare and commit

    async def change(
        self,
        content: JsonObject,
        origin: str,
        restored: int | None = None,
        confirm_within: float | None = None,
    ) -> JsonObject:
        """Prepare and commit content that check() accepted, and return the status.

        The arguments are those of ChangeInProgress.

        Raises:
            ChangeRejectedError: The change was rejected and has had no effect.
        """
        reject_if_stopping(self.node)
        if self.preparing:
            raise ChangeRejectedError(409, "another change is being prepared")
        config = build_config(self.node.config, content)
        change = ChangeInProgress(config, self.node.config, self.history, origin, restored, confirm_within)
        self.preparing = True
        try:
            await self.prepare(change)
        finally:
            self.preparing = False
        self.commit(change.config, self.history.newest, change.listing)  # in the last step's event loop turn
        self.schedule_expiry()
        return {**self.status(), "changed": True}

    async def prepare(self, change: ChangeInProgress) -> None:
        """Run all steps that can fail, in order.

        Raises:
            ChangeRejectedError: A step failed; no step has had an effect.
        """
        step = ""
        try:
            async with asyncio.timeout(PREPARE_TIMEOUT_S):
                for step in STEPS:  # noqa: B007
                    await STEPS[step](self, change)
        except ChangeRejectedError:
            raise
        except TimeoutError as err:
            message = f"{step}: nothing within {PREPARE_TIMEOUT_S:.0f} s; nothing changes"
            raise ChangeRejectedError(503, message, step=step) from err
        except Exception as err:  # the answer reports any failure to the operator
            message = f"{step}: {type(err).__name__} {err}; nothing changes"
            raise ChangeRejectedError(503, message, step=step) from err

    def reload(self) -> None:
        """Read the configuration file again after SIGHUP.

        The file comes into force even if another change is pending confirmation or being prepared. An
        unusable file changes nothing.
        """
        try:
            config = reread_config(self.node.config)
        except ConfigError as err:
            log.error("SIGHUP: configuration file not usable, nothing changes error=%s", err)
            return
        log.info(
            "SIGHUP: configuration file read classes=%d plans=%d discovery=%s",
            len(config.settings.classes),
            len(config.settings.plans),
            format_address(config.discovery),
        )
        if config.counter and not self.node.config.counter:
            log.warning("SIGHUP: counter address ignored, adding a counter needs a new process")
        content = changeable_content(config)

        def add_file(history: ConfigHistory) -> ConfigHistory:
            history = replace(history, source_digest=source_digest(config), pending=None)
            newest = history.newest
            if self.current == newest and not list(config_candidate.differences(newest.content, content)):
                return history
            return history.add(content, self.node.clock(), "signal")

        self.history = self.update_history(add_file)
        self.commit(config, self.history.newest, None)
        self.schedule_expiry()

    def update_history(self, update: Callable[[ConfigHistory], ConfigHistory]) -> ConfigHistory:
        """Apply `update` to the newest history, store the result if possible and return it.

        If the result cannot be stored, it is in effect in this process only.
        """
        updated = None
        try:
            with self.history_file.locked():
                self.poll()
                updated = update(self.history)
                self.history_file.save(updated)
        except OSError as err:
            self.history_file.log_not_saved(err)
        return updated or update(self.history)

    def schedule_expiry(self) -> None:
        """Set the timer for the deadline of the pending confirmation, if there is one."""
        if self.confirmation_timer is not None:
            self.confirmation_timer.cancel()
        self.confirmation_timer = None
        pending = self.history.pending
        if pending is not None:
            remaining = max(0.0, pending.deadline - self.node.clock())
            self.confirmation_timer = self.node.call_later(remaining + TIMER_MARGIN_S, self.expire)

    def expire(self) -> None:
        """Roll back to the previous version if the pending one was not confirmed in time.

        No address is contacted first, because the previous version worked and the change itself may have cut
        the operator off.
        """

        def undo(history: ConfigHistory) -> ConfigHistory:
            pending = history.pending
            if pending is None or self.node.clock() < pending.deadline:
                return history
            previous = history.find(pending.previous)
            assert previous is not None  # MIN_VERSIONS keeps the version before the newest
            log.warning("configuration version not confirmed in time version=%d", pending.number)
            return history.add(previous.content, self.node.clock(), "expiry", pending.previous)

        self.adopt_history(self.update_history(undo))

    def close(self) -> None:
        """Cancel the confirmation timer."""
        if self.confirmation_timer is not None:
            self.confirmation_timer.cancel()
