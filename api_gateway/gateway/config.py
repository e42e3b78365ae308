"""What a real gateway is told: environment and JSON file to one checked Config."""

from __future__ import annotations

import json
import os
import socket
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from api_gateway import interface as api
from api_gateway.base.endpoint_list import Address, Listing, read_address, read_list
from api_gateway.base.errors import ConfigError, in_one_line
from api_gateway.settings_parser import read_settings, seconds


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: Address
    inherited: int | None  # the descriptor of a socket that listens there already
    control: Address | None  # where operators call
    scratch: Path | None  # a folder that processes of this gateway share
    discovery: Address
    counter: Address | None
    seed: int
    sockets: int  # file descriptors that the process may hold
    memory: float  # bytes that the processes of this gateway may take
    known: Listing  # the hosts as this gateway last had them; it may be old
    settings: api.Settings
    connect_timeout: float
    idle_close: float  # hosts close a connection that has stood idle for this long
    max_open: int  # requests in work at once
    others: tuple[Address, ...]  # more replicas of discovery
    keep: bool  # whether its list outlasts the process
    replicas: bool  # whether the file has the key for these two
    edge: Any  # an admission.Edge: limits on new connections of clients; None: none
    membership: Any  # a membership.service.Membership: where this process takes part; None: nowhere
    view: Any  # a views.Wanted: the part of the hosts that is used; None: all of them
    tree: dict[str, Any]  # the file itself: a later one must be as complete


def read_config(env: Mapping[str, str] = os.environ) -> Config:
    path = env.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG is not set")
    with in_one_line(path), open(path, encoding="utf-8") as file:
        return build(json.load(file), env)


def reread_config(last: Config, env: Mapping[str, str] = os.environ) -> Config:
    """What the file says now; ConfigError if it says less than the last one. The environment of a program
    that runs cannot change, so here the file counts and not RELAY_DISCOVERY; what is listened on stays."""
    path = env.get("RELAY_CONFIG", "")
    with in_one_line(path), open(path, encoding="utf-8") as file:
        tree = json.load(file)
        complete({key: None for key in last.tree}, tree, "the file")
        complete(last.tree["settings"], tree["settings"], "settings")
        return rebuild(last, tree)


def rebuild(last: Config, tree: dict[str, Any]) -> Config:
    """What `tree` says; what a process that runs cannot change stays as it is."""
    return replace(
        build(tree, {}),
        name=last.name,
        listen=last.listen,
        inherited=last.inherited,
        control=last.control,
        scratch=last.scratch,
        seed=last.seed,
        known=last.known,
        others=last.others,
        keep=last.keep,
        replicas=last.replicas,
        edge=last.edge,
        membership=last.membership,
        view=last.view,
    )


def complete(last: Any, fresh: Any, name: str) -> None:
    """Raises ValueError unless `fresh` has each key that `last` has, and values of the same kinds. Of the
    objects in a list each has what all of them had."""
    if last is None:
        return
    if kind(last) != kind(fresh):
        raise ValueError(f"{name} is {kind(fresh)} and not {kind(last)}")
    if isinstance(last, dict):
        for key, value in last.items():
            if key not in fresh:
                raise ValueError(f"{name}: {key!r} is missing")
            complete(value, fresh[key], f"{name}.{key}")
    elif isinstance(last, list) and last and all(isinstance(entry, dict) for entry in last):
        common = {key: value for key, value in last[0].items() if all(key in entry for entry in last)}
        for number, entry in enumerate(fresh):
            complete(common, entry, f"{name}.{number}")


def kind(value: Any) -> str:
    if isinstance(value, bool):
        return "true or false"
    return "a number" if isinstance(value, int | float) else type(value).__name__


def read_descriptor(text: str) -> int:
    """Raises ValueError or OSError unless it is one of a socket that listens."""
    with socket.socket(fileno=os.dup(int(text))) as sock:
        if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            raise ValueError(f"descriptor {text} does not listen")
    return int(text)


def build(told: dict[str, Any], env: Mapping[str, str]) -> Config:
    """What the file and the environment say; the environment goes first."""
    tree = told["settings"]
    limits = tree["limits"]
    settings = read_settings(tree)
    counter, control = told.get("counter"), env.get("RELAY_CONTROL") or told.get("control")
    if settings.has_counter and not counter:
        raise ValueError("the settings allow a counter but no address is given")
    inherited, scratch = env.get("RELAY_SOCKET_FD"), env.get("TMPDIR")
    others, keep = read_replicas(told.get("replicas", {}))
    return Config(
        name=env.get("RELAY_NAME") or told["name"],
        listen=read_address(env.get("RELAY_LISTEN") or told["listen"]),
        inherited=read_descriptor(inherited) if inherited else None,
        control=read_address(control) if control else None,
        scratch=Path(scratch) if scratch else None,
        discovery=read_address(env.get("RELAY_DISCOVERY") or told["discovery"]),
        counter=read_address(counter) if counter else None,
        seed=int(told["seed"], 16),
        sockets=int(told["limits"]["sockets"]),
        memory=float(told["limits"]["memory_mb"]) * 2**20,
        known=read_list(told["known"], "cached"),
        settings=settings,
        connect_timeout=seconds(limits["connect_timeout"]),
        idle_close=seconds(limits["idle_close"]),
        max_open=int(limits["max_open"]),
        others=others,
        keep=keep,
        replicas="replicas" in told,
        edge=edge_of(told["edge"]) if "edge" in told else None,
        membership=membership_of(told["membership"]) if "membership" in told else None,
        view=view_of(told["view"]) if "view" in told else None,
        tree=told,
    )


def membership_of(told: Any) -> Any:
    """Imported where there is one only."""
    from api_gateway.membership.service import read_membership

    return read_membership(told)


def edge_of(told: Any) -> Any:
    """Imported where there is one only."""
    from api_gateway.downstream.admission_settings import read_edge

    return read_edge(told)


def view_of(told: Any) -> Any:
    """Imported where there is one only."""
    from api_gateway.discovery.subset_config import read_wanted

    return read_wanted(told)


def read_replicas(told: dict[str, Any]) -> tuple[tuple[Address, ...], bool]:
    """Raises ValueError unless it holds at most `others`, a list of addresses, and `keep`."""
    others, keep = told.get("others", []), told.get("keep", False)
    if set(told) - {"others", "keep"} or not isinstance(others, list) or not isinstance(keep, bool):
        raise ValueError("replicas may hold others, a list of HOST:PORT, and keep, true or false")
    return tuple(read_address(text) for text in others), keep
