"""Reads the configuration of a gateway: environment and JSON file to one checked `Config`."""

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

# A JSON object of any shape.
Document = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Config:
    """One checked configuration.

    Attributes:
        name: The gateway's name, which its processes share.
        listen: Where clients connect.
        inherited_socket: The descriptor of a socket that listens there already.
        control: Where operators call; None where none may.
        shared_folder: The folder that processes of this gateway share.
        discovery: The discovery service.
        counter: The counter.
        seed: Of the random draws.
        max_descriptors: File descriptors that the processes of this gateway may hold.
        max_memory_bytes: Memory that they may take.
        initial_list: The endpoints as this gateway last had them; the list may be old.
        settings: What the decision module goes by.
        connect_timeout: Seconds for a connect to an endpoint.
        endpoint_idle_close: Seconds after which endpoints close an idle connection.
        max_in_flight: Requests in flight at once.
        other_replicas: More replicas of the discovery service.
        saves_list: Whether the endpoint list outlasts the process.
        has_replicas: Whether the file has the key for these two.
        edge: Limits on new connections of clients; None: none.
        membership: The cluster where this process takes part; None: nowhere.
        subset: The subset of the endpoints that is used; None: all of them.
        tree: The file itself: a later one must be as complete.
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
    """Read the configuration of a start from the file that RELAY_CONFIG names and from the environment.

    Raises:
        ConfigError: The variable is not set, or the file cannot be used.
    """
    path = env.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG is not set")
    with config_errors_in_one_line(path), open(path, encoding="utf-8") as file:
        return build_config(json.load(file), env)


def reread_config(last: Config, env: Mapping[str, str] = os.environ) -> Config:
    """Read what the file says now.

    The environment of a running program cannot change, so here the file counts and not RELAY_DISCOVERY; what
    is listened on stays.

    Raises:
        ConfigError: The file cannot be used, or lacks a key that the last one had.
    """
    path = env.get("RELAY_CONFIG", "")
    with config_errors_in_one_line(path), open(path, encoding="utf-8") as file:
        document = json.load(file)
        require_complete(dict.fromkeys(last.document), document, "the file")
        require_complete(last.document["settings"], document["settings"], "settings")
        return rebuild_config(last, document)


def rebuild_config(last: Config, document: Document) -> Config:
    """Return what a document says; what a running process cannot change stays as it is.

    Raises:
        ValueError: A value of the document is not allowed.
        KeyError: A key is missing.
    """
    return replace(
        build_config(document, {}),
        name=last.name,
        listen=last.listen,
        inherited_socket=last.inherited_socket,
        control=last.control,
        shared_folder=last.shared_folder,
        seed=last.seed,
        initial_list=last.initial_list,
        other_replicas=last.other_replicas,
        saves_list=last.saves_list,
        has_replicas=last.has_replicas,
        edge=last.edge,
        membership=last.membership,
        subset=last.subset,
    )


def require_complete(last: Any, fresh: Any, name: str) -> None:
    """Check that a value has each key that the last one had, and values of the same kinds.

    Of the objects in a list each needs what all of them had.

    Args:
        last: The JSON value that was read last.
        fresh: The JSON value that is in its place now.
        name: The place, for the error's text.

    Raises:
        ValueError: A key is missing, or a value is of another kind.
    """
    if last is None:
        return
    if json_kind(last) != json_kind(fresh):
        raise ValueError(f"{name} is {json_kind(fresh)} and not {json_kind(last)}")
    if isinstance(last, dict):
        for key, value in last.items():
            if key not in fresh:
                raise ValueError(f"{name}: {key!r} is missing")
            require_complete(value, fresh[key], f"{name}.{key}")
    elif isinstance(last, list) and last and all(isinstance(entry, dict) for entry in last):
        common = {key: value for key, value in last[0].items() if all(key in entry for entry in last)}
        for number, entry in enumerate(fresh):
            require_complete(common, entry, f"{name}.{number}")


def json_kind(value: Any) -> str:
    """Return the kind of a JSON value, in the words of an error's text."""
    if isinstance(value, bool):
        return "true or false"
    return "a number" if isinstance(value, int | float) else type(value).__name__


def build_config(document: Document, env: Mapping[str, str]) -> Config:
    """Build the configuration from a document and the environment, which goes first.

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
    """Return the number of a descriptor.

    Raises:
        ValueError: It is no number, or that of a socket which does not listen.
        OSError: It is not that of a socket.
    """
    with socket.socket(fileno=os.dup(int(text))) as sock:
        if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            raise ValueError(f"descriptor {text} does not listen")
    return int(text)


def _read_replicas(document: Document) -> tuple[tuple[Address, ...], bool]:
    """Return the other replicas of discovery, and whether the endpoint list is saved.

    Raises:
        ValueError: The document holds more than `others`, a list of addresses, and `keep`.
    """
    others = document.get("others", [])
    keep = document.get("keep", False)
    if set(document) - {"others", "keep"} or not isinstance(others, list) or not isinstance(keep, bool):
        raise ValueError("replicas may hold others, a list of HOST:PORT, and keep, true or false")
    return tuple(read_address(text) for text in others), keep


# Optional parts: each is imported only where the document has its key.


def _read_membership(document: Any) -> MembershipConfig:
    from api_gateway.membership.service import read_membership_config

    return read_membership_config(document)


def _read_edge(document: Any) -> AdmissionSettings:
    from api_gateway.downstream.admission_settings import parse_admission_settings

    return parse_admission_settings(document)


def _read_subset(document: Any) -> SubsetConfig:
    from api_gateway.discovery.subset_config import read_subset_config

    return read_subset_config(document)
