"""Read the gateway configuration from the environment and a JSON file into a validated `Config`."""

from __future__ import annotations

import json
import os
import socket
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

from api_gateway import interface as api
from api_gateway.base.endpoint_list import Address, EndpointListing, read_address, read_list
from api_gateway.base.errors import ConfigError, config_errors_in_one_line
from api_gateway.settings_parser import read_seconds, read_settings

if TYPE_CHECKING:
    from api_gateway.discovery.subset_config import SubsetConfig
    from api_gateway.downstream.admission_settings import AdmissionSettings
    from api_gateway.membership.service import MembershipConfig

BYTES_PER_MB = 2**20

# A JSON object with arbitrary keys.
Document = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Config:
    """A validated configuration.

    Attributes:
        name: The name of the gateway, which all its processes share.
        listen: The address that clients connect to.
        inherited_socket: The descriptor of an inherited socket that already listens on that address.
        control: The address of the control API; None disables it.
        shared_folder: The folder for files that the processes of this gateway share.
        discovery: The address of the discovery service.
        counter: The address of the counter; None if there is no counter.
        seed: The seed of the random number generators.
        max_descriptors: Maximum number of file descriptors open in all processes of this gateway.
        max_memory_bytes: Maximum memory used by all processes of this gateway.
        initial_list: The last known endpoint list of this gateway, which may be out of date.
        settings: The settings of the decision engine.
        connect_timeout: Timeout in seconds for connecting to an endpoint.
        endpoint_idle_close: Seconds after which endpoints close an idle connection.
        max_in_flight: Maximum number of requests in flight.
        other_replicas: Addresses of further replicas of the discovery service.
        saves_list: Whether the endpoint list is saved to a file that the next process reads.
        has_replicas: Whether the file contains the `replicas` section, which configures the previous two.
        edge: Limits on new client connections; None if there are no limits.
        membership: The cluster that this process joins; None if it joins none.
        subset: Configuration of the subset of endpoints that is used; None to use all endpoints.
        document: The parsed file. A reloaded file must contain at least the same keys.
    """

    name: str
    listen: Address
    inherited_socket: int | None
    control: Address | None
    shared_folder: Path | None
    discovery: Address
    counter: Address | None
    seed: int
    max_descriptors: int
    max_memory_bytes: float
    initial_list: EndpointListing
    settings: api.Settings
    connect_timeout: float
    endpoint_idle_close: float
    max_in_flight: int
    other_replicas: tuple[Address, ...]
    saves_list: bool
    has_replicas: bool
    edge: AdmissionSettings | None
    membership: MembershipConfig | None
    subset: SubsetConfig | None
    document: Document


def read_config(env: Mapping[str, str] = os.environ) -> Config:
    """Read the startup configuration from the file named by RELAY_CONFIG and from the environment.

    Raises:
        ConfigError: RELAY_CONFIG is not set, or the file is unreadable or invalid.
    """
    path = env.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG is not set")
    with config_errors_in_one_line(path), open(path, encoding="utf-8") as file:
        return build_config(json.load(file), env)


def reread_config(previous: Config, env: Mapping[str, str] = os.environ) -> Config:
    """Read the configuration file again for a reload.

    The environment of a running program cannot change, so the file takes precedence over RELAY_DISCOVERY
    here. The listening addresses stay the same.

    Raises:
        ConfigError: The file is unreadable or invalid, or lacks a key that the previous one contained.
    """
    path = env.get("RELAY_CONFIG", "")
    with config_errors_in_one_line(path), open(path, encoding="utf-8") as file:
        document = json.load(file)
        require_complete(dict.fromkeys(previous.document), document, "the file")
        require_complete(previous.document["settings"], document["settings"], "settings")
        return rebuild_config(previous, document)


def rebuild_config(previous: Config, document: Document) -> Config:
    """Build a configuration from a document, keeping the values that a running process cannot change.

    Raises:
        ValueError: A value of the document is not allowed.
        KeyError: A key is missing.
    """
    return replace(
        build_config(document, {}),
        name=previous.name,
        listen=previous.listen,
        inherited_socket=previous.inherited_socket,
        control=previous.control,
        shared_folder=previous.shared_folder,
        seed=previous.seed,
        initial_list=previous.initial_list,
        other_replicas=previous.other_replicas,
        saves_list=previous.saves_list,
        has_replicas=previous.has_replicas,
        edge=previous.edge,
        membership=previous.membership,
        subset=previous.subset,
    )


def require_complete(previous: Any, new: Any, name: str) -> None:
    """Check that a JSON value contains every key of the previous one, with values of the same kind.

    Each object in a list must contain the keys that all objects of the previous list had in common.

    Args:
        previous: The value in the previous configuration.
        new: The value in the same place of the new configuration.
        name: The path of the value, for the error message.

    Raises:
        ValueError: A key is missing, or a value is of a different kind.
    """
    if previous is None:
        return
    if json_kind(previous) != json_kind(new):
        raise ValueError(f"{name} is {json_kind(new)} and not {json_kind(previous)}")
    if isinstance(previous, dict):
        for key, value in previous.items():
            if key not in new:
                raise ValueError(f"{name}: {key!r} is missing")
            require_complete(value, new[key], f"{name}.{key}")
    elif isinstance(previous, list) and previous and all(isinstance(entry, dict) for entry in previous):
        common = {key: value for key, value in previous[0].items() if all(key in entry for entry in previous)}
        for number, entry in enumerate(new):
            require_complete(common, entry, f"{name}.{number}")


def json_kind(value: Any) -> str:
    """Return the kind of a JSON value as it is named in error messages."""
    if isinstance(value, bool):
        return "true or false"
    return "a number" if isinstance(value, int | float) else type(value).__name__


def build_config(document: Document, env: Mapping[str, str]) -> Config:
    """Build the configuration from a document and the environment, which takes precedence.

    Raises:
        ValueError: A value is not allowed.
        KeyError: A key is missing.
        OSError: The inherited descriptor cannot be used.
    """
    settings_document = document["settings"]
    limits = settings_document["limits"]
    settings = read_settings(settings_document)
    counter = document.get("counter")
    control = env.get("RELAY_CONTROL") or document.get("control")
    if settings.has_counter and not counter:
        raise ValueError("the settings allow a counter but no address is given")
    inherited_socket = env.get("RELAY_SOCKET_FD")
    shared_folder = env.get("TMPDIR")
    other_replicas, saves_list = _read_replicas(document.get("replicas", {}))
    return Config(
        name=env.get("RELAY_NAME") or document["name"],
        listen=read_address(env.get("RELAY_LISTEN") or document["listen"]),
        inherited_socket=_read_listening_descriptor(inherited_socket) if inherited_socket else None,
        control=read_address(control) if control else None,
        shared_folder=Path(shared_folder) if shared_folder else None,
        discovery=read_address(env.get("RELAY_DISCOVERY") or document["discovery"]),
        counter=read_address(counter) if counter else None,
        seed=int(document["seed"], 16),
        max_descriptors=int(document["limits"]["sockets"]),
        max_memory_bytes=float(document["limits"]["memory_mb"]) * BYTES_PER_MB,
        initial_list=read_list(document["known"], "cached"),
        settings=settings,
        connect_timeout=read_seconds(limits["connect_timeout"]),
        endpoint_idle_close=read_seconds(limits["idle_close"]),
        max_in_flight=int(limits["max_open"]),
        other_replicas=other_replicas,
        saves_list=saves_list,
        has_replicas="replicas" in document,
        edge=_read_edge(document["edge"]) if "edge" in document else None,
        membership=_read_membership(document["membership"]) if "membership" in document else None,
        subset=_read_subset(document["view"]) if "view" in document else None,
        document=document,
    )


def _read_listening_descriptor(text: str) -> int:
    """Return the number of the inherited descriptor after checking that it is a listening socket.

    Raises:
        ValueError: The text is not a number, or the socket does not listen.
        OSError: The descriptor is not an open socket.
    """
    with socket.socket(fileno=os.dup(int(text))) as sock:
        if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            raise ValueError(f"descriptor {text} does not listen")
    return int(text)


def _read_replicas(document: Document) -> tuple[tuple[Address, ...], bool]:
    """Return the other discovery replicas, and whether the endpoint list is saved.

    Raises:
        ValueError: The document has keys other than `others` and `keep`, or a value has the wrong type.
    """
    others = document.get("others", [])
    keep = document.get("keep", False)
    if set(document) - {"others", "keep"} or not isinstance(others, list) or not isinstance(keep, bool):
        raise ValueError("replicas may hold others, a list of HOST:PORT, and keep, true or false")
    return tuple(read_address(text) for text in others), keep


# Modules of optional features are imported only if the document contains their key.


def _read_membership(document: Any) -> MembershipConfig:
    from api_gateway.membership.service import read_membership_config

    return read_membership_config(document)


def _read_edge(document: Any) -> AdmissionSettings:
    from api_gateway.downstream.admission_settings import parse_admission_settings

    return parse_admission_settings(document)


def _read_subset(document: Any) -> SubsetConfig:
    from api_gateway.discovery.subset_config import read_subset_config

    return read_subset_config(document)
