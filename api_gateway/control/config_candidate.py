"""The check of an operator's candidate for a configuration, and its differences from the one in force.

Each key is checked by the table of config_schema. Whether the keys make a configuration together is for
gateway.config.build(), which every candidate passes after this.
"""

from __future__ import annotations

import json
import math
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from api_gateway.control.config_schema import (
    FIXED_PATHS,
    KEY_BY_PATH,
    MOST_BODY,
    MOST_DEPTH,
    NON_EMPTY_OBJECT_LIST,
    OBJECT,
    OBJECT_LIST,
    JsonObject,
)
from api_gateway.gateway.config import json_kind

# Characters of a value that an answer repeats, and digits of a number.
MAX_SHOWN_LENGTH = 80
# Where the value limits a rate, the other key limits how much comes at once.
RATE_KEYS = (("rate", "most_at_once"), ("cap_rate", "cap_depth"))


@dataclass(frozen=True, slots=True)
class Fault:
    """What is wrong in a candidate.

    Attributes:
        path: The key, with dots; "" for the candidate itself.
        value: What stands there.
        allowed: What may stand there.
    """

    path: str
    value: Any
    allowed: str

    def to_json(self) -> JsonObject:
        """Return what an operator is shown."""
        return {"path": self.path, "value": abbreviate(self.value), "allowed": self.allowed}


def abbreviate(value: Any) -> Any:
    """Return a value as an answer repeats it: short, and such that JSON can express it."""
    if isinstance(value, dict | list):
        return f"{'an object' if isinstance(value, dict) else 'a list'} of {len(value)}"
    if isinstance(value, float) and not math.isfinite(value):
        return str(value)
    if isinstance(value, str) and len(value) > MAX_SHOWN_LENGTH:
        return value[:MAX_SHOWN_LENGTH] + "..."
    if isinstance(value, int) and not isinstance(value, bool) and abs(value) >= 10**MAX_SHOWN_LENGTH:
        return "a number without end"
    return value


@dataclass(frozen=True, slots=True)
class RepeatedKey:
    """A key that one object of the JSON text holds twice or more.

    The object is kept and not its id alone: an id may be another object's as soon as its own is gone.
    """

    owner: JsonObject
    name: str


def parse(body: bytes) -> tuple[Any, list[Fault]]:
    """Return the tree that a body holds, and its faults; with a fault the tree may be None."""
    if len(body) > MOST_BODY:
        return None, [Fault("", f"{len(body)} bytes", f"at most {MOST_BODY} bytes")]
    repeated: list[RepeatedKey] = []

    def make_object(pairs: list[tuple[str, Any]]) -> JsonObject:
        tree = dict(pairs)
        if len(tree) < len(pairs):
            names = [name for name, _ in pairs]
            repeated.extend(RepeatedKey(tree, name) for name in tree if names.count(name) > 1)
        return tree

    try:
        tree = json.loads(body.decode("utf-8"), object_pairs_hook=make_object)
    except UnicodeDecodeError as err:
        return None, [Fault("", f"byte {err.start}", "UTF-8")]
    except RecursionError:
        return None, [Fault("", "nested without end", f"at most {MOST_DEPTH} levels")]
    except ValueError as err:  # JSONDecodeError, or a number of too many digits
        return None, [Fault("", " ".join(str(err).split()), "JSON")]
    return tree, list(find_malformed(tree, repeated))


def find_malformed(tree: Any, repeated: list[RepeatedKey]) -> Iterator[Fault]:
    """Yield what no key may hold: numbers that are not finite, keys that stand twice, too many levels."""
    stack: list[tuple[str, Any, int]] = [("", tree, 1)]
    while stack:
        path, value, depth = stack.pop()
        if isinstance(value, float) and not math.isfinite(value):
            yield Fault(path, value, "a finite number")
        if not isinstance(value, dict | list):
            continue
        if depth > MOST_DEPTH:
            yield Fault(path, value, f"at most {MOST_DEPTH} levels")
            continue
        if isinstance(value, dict):
            names = [key.name for key in repeated if key.owner is value]
            yield from (Fault(join(path, name), value[name], "each key once") for name in names)
        entries = value.items() if isinstance(value, dict) else enumerate(value)
        stack.extend((join(path, name), entry, depth + 1) for name, entry in entries)


def is_same(value: Any, current: Any) -> bool:
    """Return whether two JSON values are the same; True is no 1."""
    return bool(value == current) and isinstance(value, bool) == isinstance(current, bool)


def join(path: str, name: object) -> str:
    """Return the path of a key, or of a place in a list, below `path`."""
    return f"{path}.{name}" if path else str(name)


def check(tree: Any, current: JsonObject) -> list[Fault]:
    """Return all that is wrong with the keys of a candidate.

    Args:
        tree: The candidate, without faults of parse().
        current: The whole tree in force.
    """
    if not isinstance(tree, dict):
        return [Fault("", tree, OBJECT.allowed)]
    faults = list(check_keys(tree, current, "", ""))
    for path in sorted(FIXED_PATHS & tree.keys()):
        if path in current and tree[path] != current[path]:
            why = KEY_BY_PATH[path].explanation
            allowed = f"as it is, or left out: {why}; a change needs a new process"
            faults.append(Fault(path, tree[path], allowed))
    if not faults:
        faults = list(check_combinations(tree, current))
    return faults


def check_keys(tree: JsonObject, current: Any, path: str, pattern: str) -> Iterator[Fault]:
    """Yield the faults of each key for itself, and the keys that are missing.

    Args:
        tree: An object of the candidate.
        current: What is in force in its place.
        path: Where the object stands.
        pattern: The same as config_schema writes it, with `*` for any name or place.
    """
    current = current if isinstance(current, dict) else {}
    for name in current.keys() - tree.keys():
        if join(pattern, name) not in FIXED_PATHS:
            yield Fault(join(path, name), None, "it must be there: it is in force")
    for name, value in tree.items():
        yield from check_key(name, value, current, path, pattern)


def check_key(name: str, value: Any, current: JsonObject, path: str, pattern: str) -> Iterator[Fault]:
    """Yield the faults of one key and of all below it; the arguments are those of check_keys()."""
    key_path = join(path, name)
    key_pattern = join(pattern, name)
    key = KEY_BY_PATH.get(key_pattern) or KEY_BY_PATH.get(join(pattern, "*"))
    if key is None and name not in current:
        yield Fault(key_path, value, "no such key")
    elif key is None and json_kind(value) != json_kind(current[name]):
        yield Fault(key_path, value, f"{json_kind(current[name])}, as it is")
    elif key is not None and not is_same(value, current.get(name)) and not key.kind.is_valid(value):
        yield Fault(key_path, value, key.kind.allowed)
    elif key_pattern in FIXED_PATHS:
        return
    elif isinstance(value, dict):
        yield from check_keys(value, current.get(name), key_path, key_pattern)
    elif key is not None and key.kind in (OBJECT_LIST, NON_EMPTY_OBJECT_LIST):
        yield from check_entries(value, current.get(name), key_path, key_pattern)


def check_entries(found: list[JsonObject], current: Any, path: str, pattern: str) -> Iterator[Fault]:
    """Yield the faults of a list of objects: each must have what all of those in force have.

    The arguments are those of check_keys().
    """
    in_force = current if isinstance(current, list) and current else [{}]
    common = [name for name in in_force[0] if all(name in entry for entry in in_force)]
    examples = {name: value for entry in in_force for name, value in entry.items()}
    names_seen = set()
    for index, entry in enumerate(found):
        entry_path = join(path, index)
        for name in set(common) - entry.keys():
            yield Fault(join(entry_path, name), None, "it must be there: it is in force")
        examples_here = {name: value for name, value in examples.items() if name in entry}
        yield from check_keys(entry, examples_here, entry_path, join(pattern, "*"))
        name = entry.get("name")
        if isinstance(name, str):
            if name in names_seen:
                yield Fault(join(entry_path, "name"), name, "a name that no other entry has")
            names_seen.add(name)


def check_combinations(tree: JsonObject, current: JsonObject) -> Iterator[Fault]:
    """Yield what no key says by itself, where each of them is right."""
    settings = tree["settings"]
    if settings["index"] >= settings["group_size"]:
        yield Fault("settings.index", settings["index"], f"below group_size, {settings['group_size']}")
    if bool(tree.get("counter")) != bool(current.get("counter")):
        yield Fault("counter", tree.get("counter"), "it cannot come or go: that needs a new process")
    specifics = settings["specifics"]
    if specifics.get("shared_counter") and not specifics.get("counter_timeout"):
        yield Fault(
            "settings.specifics.counter_timeout",
            specifics.get("counter_timeout"),
            "above 0 where there is a counter",
        )
    for index, plan in enumerate(settings["plans"]):
        for rate, burst in RATE_KEYS:
            if plan.get(rate, 0) > 0 and not plan.get(burst, 0) > 0:
                yield Fault(f"settings.plans.{index}.{burst}", plan.get(burst), f"above 0 where {rate} is")


def differences(current: Any, fresh: Any, path: str = "") -> Iterator[JsonObject]:
    """Yield what differs, as `path`, `from` and `to`; entries of lists are known by their names."""
    current = index_by_name(current)
    fresh = index_by_name(fresh)
    if isinstance(current, dict) and isinstance(fresh, dict):
        for name in [*current, *(name for name in fresh if name not in current)]:
            key_path = join(path, name)
            if name in fresh and name in current:
                yield from differences(current[name], fresh[name], key_path)
            else:
                yield {
                    "path": key_path,
                    "from": abbreviate(current.get(name)),
                    "to": abbreviate(fresh.get(name)),
                }
    elif not is_same(fresh, current):
        yield {"path": path, "from": abbreviate(current), "to": abbreviate(fresh)}


def index_by_name(value: Any) -> Any:
    """Return a list of objects as an object by their names, if each has its own; else the value as it is."""
    if not isinstance(value, list) or not value:
        return value
    if not all(isinstance(entry, dict) and isinstance(entry.get("name"), str) for entry in value):
        return value
    by_name = {entry["name"]: entry for entry in value}
    return by_name if len(by_name) == len(value) else value
