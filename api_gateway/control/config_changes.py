"""How a configuration comes into force: check, prepare, commit, then confirmation or rollback.

One way for all origins: SIGHUP, an operator's call, a rollback, the process beside this one in an upgrade.
Prepare gets all that can fail and has no effect; its last step writes the history, and the commit follows in
the same turn of the event loop. By the history the processes of a gateway agree: each follows what is newer.
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
from api_gateway.control.config_schema import CHANGEABLE_PATHS, MOST_TOLD
from api_gateway.control.errors import ChangeRejectedError
from api_gateway.gateway.config import Config, reread_config

if TYPE_CHECKING:
    from api_gateway.gateway.node import GatewayNode

# Seconds for all steps of a prepare together.
PREPARE_TIMEOUT_S = 3.0
# Seconds past the deadline of a confirmation at which it is checked: the loop's timers may fire early.
TIMER_MARGIN_S = 0.002
# Seconds that an operator may ask for to confirm a change.
CONFIRM_LEAST = 1.0
CONFIRM_MOST = 3600.0

log = logging.getLogger(__name__)


class ConfigChanges:
    """Brings configurations of one gateway process into force, and follows the processes beside it.

    It owns the history and the timer of a pending confirmation; the node owns the configuration itself.
    """

    def __init__(self, node: GatewayNode, folder: Path | None) -> None:
        """Begin with the node's configuration as version 1, without reading or writing anything.

        Args:
            node: The process whose configuration changes.
            folder: Where the history is stored; None: nowhere.
        """
        self.node = node
        self.history_file = ConfigHistoryFile(folder, node.config.name)
        self.current = make_version(1, node.clock(), "start", changeable_content(node.config))
        self.history = ConfigHistory(source_digest(node.config), (self.current,))
        self.preparing = False
        self.confirmation_timer: asyncio.TimerHandle | None = None

    # The history, and what other processes wrote there

    def start(self) -> None:
        """Go on from the stored version, unless what this process was started with has changed since."""
        own = self.history
        try:
            with self.history_file.locked():
                found = self.history_file.load()
                if found is None:
                    self.history_file.save(own)
                elif found.source_digest != own.source_digest or (
                    found.newest.origin == "start" and found.newest.content != self.current.content
                ):
                    found = replace(found, source_digest=own.source_digest)
                    found = found.add(self.current.content, self.node.clock(), "start")
                    self.history_file.save(found)
        except OSError as err:
            self.history_file.log_not_saved(err)
        else:
            self.adopt_history(found or own)

    def poll(self) -> None:
        """Follow what another process has brought into force; cheap where the file has not changed."""
        if self.history_file.has_changed() and (found := self.history_file.load()) is not None:
            self.adopt_history(found)

    def adopt_history(self, history: ConfigHistory) -> None:
        """Take a history as this process's own, and its newest version into force.

        What a start took from a changed file is for that process alone, until a change comes after it.
        """
        newest = history.newest
        previous_history = self.history
        self.history = history
        is_for_this_process = newest.origin != "start" or newest.content == self.current.content
        if newest != self.current and is_for_this_process:
            try:
                config = build_config(self.node.config, newest.content)
            except ConfigError as err:  # another version of the program wrote it
                log.error(
                    "configuration version not usable, version %d stays error=%s", self.current.number, err
                )
                self.history = previous_history
                return
            self.commit(config, newest, None)
        self.schedule_expiry()

    def commit(self, config: Config, version: ConfigVersion, listing: EndpointListing | None) -> None:
        """Bring a configuration into force between two events of the loop; nothing here can fail."""
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

    # Calls of operators

    def status(self) -> JsonObject:
        """Return the version in force, the newest one if that is another, and what waits to be confirmed."""
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
        """Return the status with the configuration itself, to make a candidate from."""
        return {**self.status(), "config": self.current.content}

    def list_versions(self) -> list[JsonObject]:
        """Return all versions of the history, the oldest first."""
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
        """Return the content of a candidate, without any effect.

        Args:
            body: The candidate as JSON.

        Raises:
            ChangeRejectedError: With each fault of the candidate.
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
            shown = [fault.to_json() for fault in faults[:MOST_TOLD]]
            raise ChangeRejectedError(400, f"{len(faults)} faults", faults=shown)
        return content

    def is_in_force(self, content: JsonObject) -> bool:
        """Return whether this content is in force here and is the newest version."""
        return self.current == self.history.newest and not list(
            config_candidate.differences(self.current.content, content)
        )

    async def apply(self, body: bytes, expected_version: int, confirm_within: float | None) -> JsonObject:
        """Bring a candidate into force, and return the status.

        Args:
            body: The candidate as JSON.
            expected_version: The newest version as the operator knows it.
            confirm_within: Seconds after which it is rolled back unless confirmed; None: it stays.

        Raises:
            ChangeRejectedError: Nothing has changed.
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
            ChangeRejectedError: Nothing has changed.
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
        """Let the version that waits for its confirmation stay, and return the status.

        Raises:
            ChangeRejectedError: This version does not wait.
            OSError: The confirmation cannot be stored; the version goes on waiting.
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

    # The change itself

    async def change(
        self,
        content: JsonObject,
        origin: str,
        restored: int | None = None,
        confirm_within: float | None = None,
    ) -> JsonObject:
        """Prepare and commit a checked content, and return the status.

        The arguments are those of ChangeInProgress.

        Raises:
            ChangeRejectedError: Nothing has changed.
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
        self.commit(change.config, self.history.newest, change.listing)  # still the turn of the last step
        self.schedule_expiry()
        return {**self.status(), "changed": True}

    async def prepare(self, change: ChangeInProgress) -> None:
        """Do all steps that can fail, in their order.

        Raises:
            ChangeRejectedError: A step failed; none has had an effect.
        """
        step = ""
        try:
            async with asyncio.timeout(PREPARE_TIMEOUT_S):
                for step in STEPS:  # noqa: B007
                    await STEPS[step](self, change)
        except ChangeRejectedError:
            raise
        except TimeoutError as err:
            text = f"{step}: nothing within {PREPARE_TIMEOUT_S:.0f} s; nothing changes"
            raise ChangeRejectedError(503, text, step=step) from err
        except Exception as err:  # whatever went wrong there, the answer says so
            text = f"{step}: {type(err).__name__} {err}; nothing changes"
            raise ChangeRejectedError(503, text, step=step) from err

    def reload(self) -> None:
        """Read the configuration file again after SIGHUP.

        It comes into force whatever waits for a confirmation or is being prepared. A file that cannot be used
        changes nothing.
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
            log.warning("SIGHUP: counter address ignored, a counter that comes needs a new process")
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
        """Return what `update` makes of the newest history, stored if it can be.

        What cannot be stored holds in this process all the same.
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
        """Set the timer for the deadline of the confirmation that is pending now, if one is."""
        if self.confirmation_timer is not None:
            self.confirmation_timer.cancel()
        self.confirmation_timer = None
        pending = self.history.pending
        if pending is not None:
            left = max(0.0, pending.deadline - self.node.clock())
            self.confirmation_timer = self.node.call_later(left + TIMER_MARGIN_S, self.expire)

    def expire(self) -> None:
        """Go back to what was in force before a version that nobody confirmed.

        No address is contacted first: the previous version worked, and the change may be what cut the
        operator off.
        """

        def undo(history: ConfigHistory) -> ConfigHistory:
            pending = history.pending
            if pending is None or self.node.clock() < pending.deadline:
                return history
            previous = history.find(pending.previous)
            assert previous is not None  # the newest but one, which a history keeps
            log.warning("configuration version not confirmed in time version=%d", pending.number)
            return history.add(previous.content, self.node.clock(), "expiry", pending.previous)

        self.adopt_history(self.update_history(undo))

    def close(self) -> None:
        """Stop the timer."""
        if self.confirmation_timer is not None:
            self.confirmation_timer.cancel()
