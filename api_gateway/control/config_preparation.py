"""Prepares a configuration change: extracts its content and runs the steps that can fail.

If a step fails, neither it nor an earlier step leaves an effect.
"""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from api_gateway.base.endpoint_list import EndpointListing, format_address
from api_gateway.base.errors import config_errors_in_one_line
from api_gateway.control.config_history import (
    ConfigHistory,
    JsonObject,
    PendingConfirmation,
    content_digest,
)
from api_gateway.control.config_schema import CHANGEABLE_PATHS
from api_gateway.control.errors import ChangeRejectedError
from api_gateway.gateway.config import Config, rebuild_config
from api_gateway.policy import DecisionEngine

if TYPE_CHECKING:
    from api_gateway.control.config_changes import ConfigChanges
    from api_gateway.gateway.node import GatewayNode


def changeable_content(config: Config) -> JsonObject:
    """Return the parts of a configuration that may change, whether set by the file or the environment."""
    content: JsonObject = {
        "discovery": format_address(config.discovery),
        "limits": config.document["limits"],
        "settings": config.document["settings"],
    }
    if config.counter:
        content["counter"] = format_address(config.counter)
    return content


def source_digest(config: Config) -> str:
    """Return the digest of the parts that may change, as the configuration file itself sets them."""
    source = {name: config.document.get(name) for name in CHANGEABLE_PATHS}
    return content_digest(json.dumps(source, sort_keys=True))


def build_config(current: Config, content: JsonObject) -> Config:
    """Return the current configuration with its changeable parts replaced by `content`.

    Raises:
        ConfigError: The result is not a valid configuration.
    """
    with config_errors_in_one_line("configuration"):
        return rebuild_config(current, {**current.document, **content})


def reject_if_stopping(node: GatewayNode) -> None:
    """Raise ChangeRejectedError if this process is shutting down."""
    if node.state == "stopping":
        raise ChangeRejectedError(409, "this process is at its end")


@dataclass(slots=True)
class ChangeInProgress:
    """A change that is being prepared.

    Attributes:
        config: The configuration that is to come into force.
        previous: The configuration in force when the change began.
        history: The history when the change began; if it has been replaced by the last step, the change is
            rejected.
        origin: One of config_history.ORIGINS.
        restored: The number of the version that a rollback restores, if any.
        confirm_within: Seconds until the change must be confirmed; with None it needs no confirmation.
        listing: The endpoint list from a new discovery address, set by the discovery step.
    """

    config: Config
    previous: Config
    history: ConfigHistory
    origin: str
    restored: int | None = None
    confirm_within: float | None = None
    listing: EndpointListing | None = None


async def try_decision_module(changes: ConfigChanges, change: ChangeInProgress) -> None:
    """Apply the change to a trial instance of the decision engine."""
    trial = DecisionEngine(change.previous.settings, 1, changes.node.clock())
    trial.apply_settings(changes.node.clock(), change.config.settings)


async def check_capacity(changes: ConfigChanges, change: ChangeInProgress) -> None:
    """Reject limits that are below the current usage."""
    shortage = changes.node.capacity_shortage(change.config)
    if shortage:
        raise ChangeRejectedError(409, f"{shortage}; nothing changes", step="room")


async def contact_discovery(changes: ConfigChanges, change: ChangeInProgress) -> None:
    """Fetch the endpoint list from a new discovery address."""
    if change.config.discovery != change.previous.discovery:
        change.listing = await changes.node.discovery.fetch_list_from(change.config.discovery)


async def contact_counter(changes: ConfigChanges, change: ChangeInProgress) -> None:
    """Connect to a new counter address."""
    if change.config.counter is not None and change.config.counter != change.previous.counter:
        counter = changes.node.counter
        assert counter is not None  # the check rejects adding a counter, which needs a new process
        await counter.ping(change.config.counter)


async def store_history(changes: ConfigChanges, change: ChangeInProgress) -> None:
    """Add the change to the stored history; this last step runs in the same event loop turn as the commit.

    If the process dies after this step, the next process starts with the new version.

    Raises:
        ChangeRejectedError: Another change came first, or this process is shutting down.
        OSError: The history cannot be written.
    """
    reject_if_stopping(changes.node)
    with changes.history_file.locked():
        changes.poll()
        if changes.history is not change.history:
            raise ChangeRejectedError(409, f"version {changes.history.newest.number} came first")
        now = changes.node.clock()
        content = changeable_content(change.config)
        history = changes.history.add(content, now, change.origin, change.restored)
        if change.confirm_within is not None:
            number = history.newest.number
            pending = PendingConfirmation(number, number - 1, now + change.confirm_within)
            history = replace(history, pending=pending)
        changes.history_file.save(history)
        changes.history = history


# The steps in their order, keyed by the names that answers to operators contain.
STEPS: dict[str, Callable[[ConfigChanges, ChangeInProgress], Awaitable[None]]] = {
    "module": try_decision_module,
    "room": check_capacity,
    "discovery": contact_discovery,
    "counter": contact_counter,
    "history": store_history,
}
