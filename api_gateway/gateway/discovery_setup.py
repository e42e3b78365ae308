"""Build the discovery client for a configuration.

Modules of optional features are imported only if the configuration enables them.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from api_gateway.base.endpoint_list import EndpointListing
from api_gateway.discovery.client import Discovery
from api_gateway.gateway.config import Config

if TYPE_CHECKING:
    from api_gateway.discovery.subsets import EndpointSubset


@dataclass(frozen=True, slots=True)
class DiscoverySetup:
    """A discovery client, and the endpoint list to use until the client receives one."""

    client: Discovery
    initial_list: EndpointListing


def agent_drain_grace(config: Config) -> float | None:
    """Return the drain grace in seconds, or None if no local agent receives pushed lists for this process."""
    settings = config.settings
    has_agent = settings.discovery_mode == "push" and not config.has_replicas
    return settings.rules.drain_grace if has_agent else None


def build_discovery(
    config: Config,
    clock: Callable[[], float],
    on_list: Callable[[EndpointListing], None],
    on_poll_failed: Callable[[], None],
) -> DiscoverySetup:
    """Build the discovery client.

    Args:
        config: The startup configuration.
        clock: Returns the time of events in seconds.
        on_list: Called with each endpoint list.
        on_poll_failed: Called after each failed poll.
    """
    if config.has_replicas:
        return _build_replicas(config, clock, on_list, on_poll_failed)
    client = Discovery(
        config.discovery,
        _known_version(config),
        on_list,
        on_poll_failed,
        config.settings.gateway_count,
        config.seed,
        agent_drain_grace(config),
        _build_subset(config),
    )
    return DiscoverySetup(client, config.initial_list)


def _build_replicas(
    config: Config,
    clock: Callable[[], float],
    on_list: Callable[[EndpointListing], None],
    on_poll_failed: Callable[[], None],
) -> DiscoverySetup:
    from api_gateway.discovery.replicas import Replicas

    client = Replicas(
        config.discovery,
        config.other_replicas,
        config.shared_folder if config.saves_list else None,
        config.name,
        _known_version(config),
        on_list,
        on_poll_failed,
        config.settings.gateway_count,
        config.seed,
        None,
        _build_subset(config),
    )
    client.clock = clock
    return DiscoverySetup(client, client.load_cached_list() or config.initial_list)


def _known_version(config: Config) -> int | None:
    """Return the version of the initial list, or None to request a complete one.

    If lists are pushed, a poll costs nothing, so a complete list is always requested.
    """
    initial = config.initial_list.endpoint_list
    has_version = initial.endpoints and config.settings.discovery_mode == "ask"
    return initial.version if has_version else None


def _build_subset(config: Config) -> EndpointSubset | None:
    """Return the subset of endpoints to use, or None to use all endpoints."""
    if config.subset is None:
        return None
    from api_gateway.discovery.subsets import EndpointSubset

    return EndpointSubset(config.subset, config.settings.gateway_index, config.settings.zone)
