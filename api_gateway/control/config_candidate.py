"""Validates an operator's candidate configuration and compares it with the one in force.

Each key is checked against the table in config_schema. Afterwards gateway.config.build_config() checks
whether the keys form a valid configuration together.
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
    MAX_BODY_BYTES,
    MAX_DEPTH,
    NON_EMPTY_OBJECT_LIST,
    OBJECT,
    OBJECT_LIST,
    JsonObject,
)
from api_gateway.gateway.config import json_kind

# Maximum characters of a string, and digits of a number, that an answer repeats.
MAX_SHOWN_LENGTH = 80
# Pairs of a rate and its burst: where the rate is above 0, the burst must be above 0 too.
RATE_KEYS = (("rate", "most_at_once"), ("cap_rate", "cap_depth"))


@dataclass(frozen=True, slots=True)
class Fault:
    """One validation error in a candidate.

    Attributes:
        path: The dotted path of the key; "" for the candidate itself.
        value: The value found at the path.
        allowed: A description of the allowed values.
    """

    path: str
    value: Any
    allowed: str

    def to_json(self) -> JsonObject:
        """Return the fault as the answer to an operator lists it."""
        return {"path": self.path, "value": abbreviate(self.value), "allowed": self.allowed}


def abbreviate(value: Any) -> Any:
    """Return a short form of a value for an answer, which JSON can always represent."""
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
    """A key that occurs more than once in one object of the JSON text.

    The object itself is stored because its id() could be reused by another object once it is freed.
    """

    owner: JsonObject
    name: str


def parse(body: bytes) -> tuple[Any, list[Fault]]:
    """Return the decoded body and its faults; if there are faults, the decoded body may be None."""
    if len(body) > MAX_BODY_BYTES:
        return None, [Fault("", f"{len(body)} bytes", f"at most {MAX_BODY_BYTES} bytes")]
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
        return None, [Fault("", "nested without end", f"at most {MAX_DEPTH} levels")]
    except ValueError as err:  # JSONDecodeError, or an integer with too many digits
        return None, [Fault("", " ".join(str(err).split()), "JSON")]
    return tree, list(find_malformed(tree, repeated))


def find_malformed(tree: Any, repeated: list[RepeatedKey]) -> Iterator[Fault]:
    """Yield the faults that no key may have: non-finite numbers, repeated keys and too deep nesting."""
    stack: list[tuple[str, Any, int]] = [("", tree, 1)]
    while stack:
        path, value, depth = stack.pop()
        if isinstance(value, float) and not math.isfinite(value):
            yield Fault(path, value, "a finite number")
        if not isinstance(value, dict | list):
            continue
        if depth > MAX_DEPTH:
            yield Fault(path, value, f"at most {MAX_DEPTH} levels")
            continue
        if isinstance(value, dict):
            names = [key.name for key in repeated if key.owner is value]
            yield from (Fault(join_path(path, name), value[name], "each key once") for name in names)
        entries = value.items() if isinstance(value, dict) else enumerate(value)
        stack.extend((join_path(path, name), entry, depth + 1) for name, entry in entries)


def is_same(value: Any, current: Any) -> bool:
    """Return whether two JSON values are equal; unlike in Python, True does not equal 1."""
    return bool(value == current) and isinstance(value, bool) == isinstance(current, bool)


def join_path(path: str, name: object) -> str:
    """Return the path of a key or a list index below `path`."""
    return f"{path}.{name}" if path else str(name)


def check(tree: Any, current: JsonObject) -> list[Fault]:
    """Return all faults in the keys of a candidate.

    Args:
        tree: The candidate, in which parse() found no faults.
        current: The complete configuration in force, including the keys that cannot change.
    """
    if not isinstance(tree, dict):
        return [Fault("", tree, OBJECT.allowed)]
    faults = list(check_keys(tree, current, "", ""))
    for path in sorted(FIXED_PATHS & tree.keys()):
        if path in current and tree[path] != current[path]:
            explanation = KEY_BY_PATH[path].explanation
            allowed = f"as it is, or left out: {explanation}; a change needs a new process"
            faults.append(Fault(path, tree[path], allowed))
    if not faults:
        faults = list(check_combinations(tree, current))
    return faults


def check_keys(tree: JsonObject, current: Any, path: str, pattern: str) -> Iterator[Fault]:
    """Yield the faults of each key on its own, and a fault for each missing key.

    Args:
        tree: An object of the candidate.
        current: The value in force at the same path.
        path: The path of the object.
        pattern: The path as config_schema writes it, with `*` for any name or list index.
    """
    current = current if isinstance(current, dict) else {}
    for name in current.keys() - tree.keys():
        if join_path(pattern, name) not in FIXED_PATHS:
            yield Fault(join_path(path, name), None, "it must be there: it is in force")
    for name, value in tree.items():
        yield from check_key(name, value, current, path, pattern)


def check_key(name: str, value: Any, current: JsonObject, path: str, pattern: str) -> Iterator[Fault]:
    """Yield the faults of one key and of all keys below it; the arguments are those of check_keys()."""
    key_path = join_path(path, name)
    key_pattern = join_path(pattern, name)
    key = KEY_BY_PATH.get(key_pattern) or KEY_BY_PATH.get(join_path(pattern, "*"))
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


def check_entries(entries: list[JsonObject], current: Any, path: str, pattern: str) -> Iterator[Fault]:
    """Yield the faults of a list of objects, which must all have the keys that every entry in force has.

    The arguments are those of check_keys().
    """
    current_entries = current if isinstance(current, list) and current else [{}]
    common_names = [name for name in current_entries[0] if all(name in entry for entry in current_entries)]
    examples = {name: value for entry in current_entries for name, value in entry.items()}
    names_seen = set()
    for index, entry in enumerate(entries):
        entry_path = join_path(path, index)
        for name in set(common_names) - entry.keys():
            yield Fault(join_path(entry_path, name), None, "it must be there: it is in force")
        entry_examples = {name: value for name, value in examples.items() if name in entry}
        yield from check_keys(entry, entry_examples, entry_path, join_path(pattern, "*"))
        name = entry.get("name")
        if isinstance(name, str):
            if name in names_seen:
                yield Fault(join_path(entry_path, "name"), name, "a name that no other entry has")
            names_seen.add(name)


def check_combinations(tree: JsonObject, current: JsonObject) -> Iterator[Fault]:
    """Yield the faults in combinations of keys that are each valid on their own."""
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


def differences(current: Any, candidate: Any, path: str = "") -> Iterator[JsonObject]:
    """Yield each difference as `path`, `from` and `to`; list entries are matched by their names."""
    current = index_by_name(current)
    candidate = index_by_name(candidate)
    if isinstance(current, dict) and isinstance(candidate, dict):
        for name in [*current, *(name for name in candidate if name not in current)]:
            key_path = join_path(path, name)
            if name in candidate and name in current:
                yield from differences(current[name], candidate[name], key_path)
            else:
                yield {
                    "path": key_path,
                    "from": abbreviate(current.get(name)),
                    "to": abbreviate(candidate.get(name)),
                }
    elif not is_same(candidate, current):
        yield {"path": path, "from": abbreviate(current), "to": abbreviate(candidate)}


def index_by_name(value: Any) -> Any:
    """Return a list of objects with unique names as an object keyed by name, and other values unchanged."""
    if not isinstance(value, list) or not value:
        return value
    if not all(isinstance(entry, dict) and isinstance(entry.get("name"), str) for entry in value):
        return value
    by_name = {entry["name"]: entry for entry in value}
    return by_name if len(by_name) == len(value) else value
