"""Every key of a configuration: what it may hold, and whether it may change while a process runs.

One table, by which an operator's candidate is checked and which docs/configuration.md quotes. Whether the
keys make a configuration together is for config.build(), which every one of them passes.
"""

from __future__ import annotations

import json
import math
import sys
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from string import hexdigits
from typing import Any

from api_gateway import interface as api
from api_gateway.base.endpoint_list import read_address
from api_gateway.gateway.config import kind
from api_gateway.settings_parser import DISCOVERY, EFFECT, REPORT

MOST_BODY = 512 * 1024  # bytes of a candidate
MOST_DEPTH = 12  # levels of it
MOST_TOLD = 100  # faults or differences that one answer lists
MOST_TEXT = 256  # characters of a name
SHOWN = 80  # characters of a value that an answer repeats

Tree = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Fault:
    """What is wrong in a candidate: where, what stands there, and what may."""

    path: str
    value: Any
    allowed: str

    def told(self) -> Tree:
        return {"path": self.path, "value": shown(self.value), "allowed": self.allowed}


@dataclass(frozen=True, slots=True)
class Kind:
    allowed: str
    fits: Callable[[Any], bool]


@dataclass(frozen=True, slots=True)
class Key:
    path: str  # `*` stands for any name, or any place in a list
    kind: Kind
    running: bool  # whether it may change while the process runs
    why: str


def is_number(value: Any) -> bool:
    """A whole number may be one past all floats."""
    return isinstance(value, int | float) and not isinstance(value, bool) and abs(value) <= sys.float_info.max


def number(
    text: str, least: float = -math.inf, most: float = math.inf, above: float = -math.inf, whole: bool = False
) -> Kind:
    return Kind(
        text, lambda v: is_number(v) and least <= v <= most and v > above and (not whole or v == int(v))
    )


def one_of(*words: str) -> Kind:
    return Kind(" or ".join(words), lambda v: isinstance(v, str) and v in words)


def is_address(value: Any) -> bool:
    try:
        return isinstance(value, str) and value.isprintable() and bool(read_address(value))
    except ValueError:
        return False


def is_text(value: Any) -> bool:
    return isinstance(value, str) and 0 < len(value) <= MOST_TEXT and value.isprintable()


def is_hex(value: Any) -> bool:
    return isinstance(value, str) and 0 < len(value) <= MOST_TEXT and set(value) <= set(hexdigits)


TEXT = Kind(f"a text of 1 to {MOST_TEXT} printable characters", is_text)
ADDRESS = Kind("HOST:PORT", is_address)
FLAG = Kind("true or false", lambda v: isinstance(v, bool))
OBJECT = Kind("an object", lambda v: isinstance(v, dict))
LIST = Kind("a list of objects", lambda v: isinstance(v, list) and all(isinstance(e, dict) for e in v))
SOME = Kind("a list of one object at least", lambda v: LIST.fits(v) and bool(v))
NAMES = Kind(
    "a list of texts, or one text with commas",
    lambda v: isinstance(v, str) or (isinstance(v, list) and all(isinstance(e, str) for e in v)),
)
AMOUNT = number("a number of 0 or more", least=0)
MORE = number("a number above 0", above=0)
SPAN = number("nanoseconds, a whole number of 0 or more", least=0, whole=True)
TIME = number("nanoseconds, a whole number above 0", above=0, whole=True)
SHARE = number("a number from 0 to 1", least=0, most=1)
COUNT = number("a whole number of 0 or more", least=0, whole=True)
SOME_COUNT = number("a whole number of 1 or more", least=1, whole=True)

NEXT = "for requests that come from now on; open ones keep what they began with"
SELF = "read with each decision"
SPENT = "with a customer's next request; what it spent counts on"
CEILING = "with a customer's next request; it brings no more room than there was"

KEYS = (
    Key("name", TEXT, False, "files under $TMPDIR and the platform know the process by it"),
    Key("listen", ADDRESS, False, "clients hold connections there"),
    Key("control", ADDRESS, False, "the call that would change it comes in there"),
    Key("seed", Kind("hexadecimal digits", is_hex), False, "chances have been drawn from it"),
    Key("known", OBJECT, False, "the list at the start; discovery has told newer ones"),
    Key("replicas", OBJECT, False, "read at the start"),
    Key("edge", OBJECT, False, "read at the start"),
    Key("membership", OBJECT, False, "read at the start"),
    Key("view", OBJECT, False, "read at the start; its place and zone follow the settings"),
    Key("discovery", ADDRESS, True, "the watch begins again there; the last list stays until it answers"),
    Key("counter", ADDRESS, True, "each line moves once its calls are answered; it cannot come or go"),
    Key("limits", OBJECT, True, "room is shared out anew"),
    Key("limits.cores", MORE, True, "nothing here depends on it"),
    Key(
        "limits.memory_mb",
        number("a number of 32 or more", least=32),
        True,
        "bounds large bodies; not below what the process has",
    ),
    Key(
        "limits.sockets",
        number("a whole number of 128 or more", least=128, whole=True),
        True,
        "bounds connections; not below those that are open",
    ),
    Key("settings", OBJECT, True, "taken whole"),
    Key("settings.index", COUNT, True, SELF),
    Key("settings.group_size", SOME_COUNT, True, SELF),
    Key("settings.locality", TEXT, True, SELF),
    Key("settings.registry_mode", one_of(*DISCOVERY), True, SELF),
    Key("settings.weights", TEXT, True, SELF),
    Key("settings.services", SOME, True, NEXT),
    Key("settings.services.*.name", TEXT, True, NEXT),
    Key("settings.services.*.slo", TIME, True, NEXT),
    Key("settings.services.*.deadline", TIME, True, NEXT),
    Key("settings.services.*.effect", one_of(*EFFECT), True, NEXT),
    Key("settings.services.*.dedup_scope", one_of(*api.DEDUP_SCOPES), True, NEXT),
    Key("settings.services.*.memory_span", SPAN, True, NEXT),
    Key("settings.services.*.gain", AMOUNT, True, NEXT),
    Key("settings.services.*.late_value", AMOUNT, True, NEXT),
    Key("settings.services.*.streaming", FLAG, True, NEXT),
    Key("settings.services.*.aim_stretch", AMOUNT, True, NEXT),
    Key("settings.plans", LIST, True, NEXT),
    Key("settings.plans.*.name", TEXT, True, NEXT),
    Key("settings.plans.*.rate", AMOUNT, True, SPENT),
    Key("settings.plans.*.most_at_once", AMOUNT, True, SPENT),
    Key("settings.plans.*.parallel", COUNT, True, "with a customer's next request; open attempts count on"),
    Key("settings.plans.*.value_factor", AMOUNT, True, NEXT),
    Key("settings.plans.*.beyond_earns", AMOUNT, True, NEXT),
    Key("settings.plans.*.over_cost", AMOUNT, True, NEXT),
    Key("settings.plans.*.cap_rate", AMOUNT, True, CEILING),
    Key("settings.plans.*.cap_depth", AMOUNT, True, CEILING),
    Key("settings.plans.*.hard_slack", AMOUNT, True, NEXT),
    Key("settings.limits", OBJECT, True, "taken whole"),
    Key("settings.limits.cancel", FLAG, True, NEXT),
    Key("settings.limits.second_copies", FLAG, True, NEXT),
    Key("settings.limits.probes", FLAG, True, SELF),
    Key("settings.limits.peers", FLAG, True, SELF),
    Key("settings.limits.retry_after", FLAG, True, NEXT),
    Key("settings.limits.max_attempts", SOME_COUNT, True, NEXT),
    Key("settings.limits.max_retry_after", SPAN, True, NEXT),
    Key("settings.limits.max_open", SOME_COUNT, True, NEXT),
    Key("settings.limits.connect_timeout", TIME, True, "for connections that are begun from now on"),
    Key("settings.limits.idle_close", TIME, True, "for all that rest"),
    Key("settings.rules", OBJECT, True, "taken whole"),
    Key("settings.rules.answer_slack", SPAN, True, SELF),
    Key("settings.rules.drain_grace", SPAN, True, SELF),
    Key("settings.rules.start_capacity", SHARE, True, SELF),
    Key("settings.rules.cold", SPAN, True, SELF),
    Key("settings.rules.fall_multiple", AMOUNT, True, SELF),
    Key("settings.rules.tip_after", SPAN, True, SELF),
    Key("settings.rules.must_ask_in", SPAN, True, SELF),
    Key("settings.prices", OBJECT, True, SELF),
    Key("settings.prices.*", number("a number"), True, SELF),
    Key("settings.reporting", OBJECT, True, SELF),
    Key("settings.reporting.names", NAMES, True, f"of {', '.join(REPORT)}; others are passed over"),
    Key("settings.specifics", OBJECT, True, "taken whole"),
    Key("settings.specifics.shared_counter", FLAG, True, "needs an address of the counter"),
    Key("settings.specifics.counter_price", AMOUNT, True, SELF),
    Key("settings.specifics.counter_timeout", SPAN, True, "for calls that are made from now on"),
    Key("settings.specifics.meter_period", SPAN, True, SELF),
    Key("settings.specifics.settles", FLAG, True, SELF),
    Key("settings.specifics.units_top", MORE, True, NEXT),
)
BY_PATH = {key.path: key for key in KEYS}
FIXED = frozenset(key.path for key in KEYS if not key.running)  # all of them at the top
CAN_CHANGE = ("discovery", "counter", "limits", "settings")


def shown(value: Any) -> Any:
    """A value as an answer repeats it: short, and such that JSON has a word for it."""
    if isinstance(value, dict | list):
        return f"{'an object' if isinstance(value, dict) else 'a list'} of {len(value)}"
    if isinstance(value, float) and not math.isfinite(value):
        return str(value)
    if isinstance(value, str) and len(value) > SHOWN:
        return value[:SHOWN] + "..."
    if isinstance(value, int) and not isinstance(value, bool) and abs(value) >= 10**SHOWN:
        return "a number without end"
    return value


def parse(body: bytes) -> tuple[Any, list[Fault]]:
    """The tree that a body holds, and what makes it no such thing."""
    if len(body) > MOST_BODY:
        return None, [Fault("", f"{len(body)} bytes", f"at most {MOST_BODY} bytes")]
    twice: list[tuple[int, str]] = []
    kept: list[Tree] = []  # alive, so that their ids stay theirs

    def entry(pairs: list[tuple[str, Any]]) -> Tree:
        tree = dict(pairs)
        if len(tree) < len(pairs):
            names = [name for name, _ in pairs]
            kept.append(tree)
            twice.extend((id(tree), name) for name in tree if names.count(name) > 1)
        return tree

    try:
        tree = json.loads(body.decode("utf-8"), object_pairs_hook=entry)
    except UnicodeDecodeError as err:
        return None, [Fault("", f"byte {err.start}", "UTF-8")]
    except RecursionError:
        return None, [Fault("", "nested without end", f"at most {MOST_DEPTH} levels")]
    except ValueError as err:  # JSONDecodeError, or a number of too many digits
        return None, [Fault("", " ".join(str(err).split()), "JSON")]
    return tree, list(odd(tree, twice))


def odd(tree: Any, twice: list[tuple[int, str]]) -> Iterator[Fault]:
    """What no key may hold: numbers that are none, keys that stand twice, levels without end."""
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
            doubled = [name for at, name in twice if at == id(value)]
            yield from (Fault(join(path, name), value[name], "each key once") for name in doubled)
        entries = value.items() if isinstance(value, dict) else enumerate(value)
        stack.extend((join(path, name), entry, depth + 1) for name, entry in entries)


def same(value: Any, last: Any) -> bool:
    """True is no 1."""
    return value == last and isinstance(value, bool) == isinstance(last, bool)


def join(path: str, name: object) -> str:
    return f"{path}.{name}" if path else str(name)


def check(tree: Any, last: Tree) -> list[Fault]:
    """All that is wrong with the keys of a candidate, where `last` is the tree in force."""
    if not isinstance(tree, dict):
        return [Fault("", tree, OBJECT.allowed)]
    faults = list(keys(tree, last, "", ""))
    for path in sorted(FIXED & tree.keys()):
        if path in last and tree[path] != last[path]:
            faults.append(
                Fault(
                    path,
                    tree[path],
                    f"as it is, or left out: {BY_PATH[path].why}; a change needs a new process",
                )
            )
    if not faults:
        faults = list(together(tree, last))
    return faults


def keys(tree: Tree, last: Any, path: str, pattern: str) -> Iterator[Fault]:
    """Each key for itself, and those that are missing; in `last` stands what is in force here."""
    last = last if isinstance(last, dict) else {}
    for name in last.keys() - tree.keys():
        if join(pattern, name) not in FIXED:
            yield Fault(join(path, name), None, "it must be there: it is in force")
    for name, value in tree.items():
        at, as_key = join(path, name), join(pattern, name)
        key = BY_PATH.get(as_key) or BY_PATH.get(join(pattern, "*"))
        if key is None and name not in last:
            yield Fault(at, value, "no such key")
        elif key is None and kind(value) != kind(last[name]):
            yield Fault(at, value, f"{kind(last[name])}, as it is")
        elif key is not None and not same(value, last.get(name)) and not key.kind.fits(value):
            yield Fault(at, value, key.kind.allowed)
        elif as_key in FIXED:
            continue
        elif isinstance(value, dict):
            yield from keys(value, last.get(name), at, as_key)
        elif key is not None and key.kind in (LIST, SOME):
            yield from entries(value, last.get(name), at, as_key)


def entries(found: list[Tree], last: Any, path: str, pattern: str) -> Iterator[Fault]:
    """Each entry has what all of those in force have."""
    old = last if isinstance(last, list) and last else [{}]
    common = {name: value for name, value in old[0].items() if all(name in entry for entry in old)}
    optional = {name: value for entry in old for name, value in entry.items()}
    seen = set()
    for place, entry in enumerate(found):
        at = join(path, place)
        yield from (
            Fault(join(at, name), None, "it must be there: it is in force")
            for name in common.keys() - entry.keys()
        )
        known = {name: value for name, value in optional.items() if name in entry}
        yield from keys(entry, known, at, join(pattern, "*"))
        name = entry.get("name")
        if isinstance(name, str) and name in seen:
            yield Fault(join(at, "name"), name, "a name that no other entry has")
        seen.add(name if isinstance(name, str) else None)


def together(tree: Tree, last: Tree) -> Iterator[Fault]:
    """What no key says by itself, where each of them is right."""
    settings = tree["settings"]
    if settings["index"] >= settings["group_size"]:
        yield Fault("settings.index", settings["index"], f"below group_size, {settings['group_size']}")
    if bool(tree.get("counter")) != bool(last.get("counter")):
        yield Fault("counter", tree.get("counter"), "it cannot come or go: that needs a new process")
    if settings["specifics"].get("shared_counter") and not settings["specifics"].get("counter_timeout"):
        yield Fault(
            "settings.specifics.counter_timeout",
            settings["specifics"].get("counter_timeout"),
            "above 0 where there is a counter",
        )
    for place, plan in enumerate(settings["plans"]):
        for rate, burst in (("rate", "most_at_once"), ("cap_rate", "cap_depth")):
            if plan.get(rate, 0) > 0 and not plan.get(burst, 0) > 0:
                yield Fault(f"settings.plans.{place}.{burst}", plan.get(burst), f"above 0 where {rate} is")


def differences(last: Any, fresh: Any, path: str = "") -> Iterator[Tree]:
    """What differs between two trees; entries of lists are known by their names."""
    last, fresh = named(last), named(fresh)
    if isinstance(last, dict) and isinstance(fresh, dict):
        for name in [*last, *(name for name in fresh if name not in last)]:
            if name not in fresh or name not in last:
                yield {"path": join(path, name), "from": shown(last.get(name)), "to": shown(fresh.get(name))}
            else:
                yield from differences(last[name], fresh[name], join(path, name))
    elif not same(fresh, last):
        yield {"path": path, "from": shown(last), "to": shown(fresh)}


def named(value: Any) -> Any:
    if (
        isinstance(value, list)
        and value
        and all(isinstance(e, dict) and isinstance(e.get("name"), str) for e in value)
    ):
        by_name = {entry["name"]: entry for entry in value}
        return by_name if len(by_name) == len(value) else value
    return value


def table() -> str:
    """The keys as docs/configuration.md quotes them."""
    rows = [
        f"| `{key.path}` | {key.kind.allowed} | {'yes' if key.running else 'new process'} | {key.why} |"
        for key in KEYS
    ]
    return "\n".join(
        [
            "| key | may hold | may change while running | how, or why not |",
            "| --- | --- | --- | --- |",
            *rows,
        ]
    )
