"""Builds the discovery client that a configuration asks for. What it does not ask for is not imported."""

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
    """A discovery client, and the list to begin with until it has another."""

    client: Discovery
    initial_list: EndpointListing


def agent_drain_grace(config: Config) -> float | None:
    """Return the drain grace in seconds where lists are pushed to an agent beside this process."""
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
        config: The configuration of the start.
        clock: The time of events, in seconds.
        on_list: Gets each list.
        on_poll_failed: Called after each poll that failed.
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
        _subset(config),
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
        _subset(config),
    )
    client.clock = clock
    return DiscoverySetup(client, client.load_cached_list() or config.initial_list)


def _known_version(config: Config) -> int | None:
    """Return the version of the list that need not be sent again; None where a complete one is wanted.

    Where lists are pushed a poll costs nothing, so a complete one it is.
    """
    known = config.initial_list.endpoint_list
    has_version = known.endpoints and config.settings.discovery_mode == "ask"
    return known.version if has_version else None


def _subset(config: Config) -> EndpointSubset | None:
    """Return the subset of the endpoints that is used; None where that is all of them."""
    if config.subset is None:
        return None
    from api_gateway.discovery.subsets import EndpointSubset

    return EndpointSubset(config.subset, config.settings.gateway_index, config.settings.zone)
