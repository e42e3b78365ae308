"""The schema of a configuration: the allowed values of each key, and whether it may change at run time.

config_candidate checks an operator's candidate against this table, and docs/configuration.md quotes it.
"""

from __future__ import annotations

import math
import sys
from collections.abc import Callable
from dataclasses import dataclass
from string import hexdigits
from typing import Any

from api_gateway import interface as api
from api_gateway.base.endpoint_list import read_address
from api_gateway.settings_parser import DISCOVERY_MODES, IDEMPOTENCY_OF_EFFECT, LOAD_REPORT_FIELDS

# Maximum bytes of a candidate.
MAX_BODY_BYTES = 512 * 1024
# Maximum nesting levels of a candidate.
MAX_DEPTH = 12
# Maximum number of faults or differences that one answer lists.
MAX_LISTED_ITEMS = 100
# Maximum characters of a name or a hexadecimal text.
MAX_TEXT_LENGTH = 256

JsonObject = dict[str, Any]


@dataclass(frozen=True, slots=True)
class ValueKind:
    """A kind of value that a key may have.

    Attributes:
        allowed: A description of the allowed values for operators.
        is_valid: A predicate that returns whether a JSON value is of this kind.
    """

    allowed: str
    is_valid: Callable[[Any], bool]


@dataclass(frozen=True, slots=True)
class ConfigKey:
    """One key of a configuration.

    Attributes:
        path: The dotted path; `*` matches any name or list index.
        kind: The kind of its values.
        is_changeable: Whether the value may change while the process runs.
        explanation: How a change takes effect, or why the value cannot change.
    """

    path: str
    kind: ValueKind
    is_changeable: bool
    explanation: str


def changeable(path: str, kind: ValueKind, explanation: str) -> ConfigKey:
    """Return a key that may change while the process runs."""
    return ConfigKey(path, kind, is_changeable=True, explanation=explanation)


def fixed(path: str, kind: ValueKind, explanation: str) -> ConfigKey:
    """Return a key whose change needs a new process."""
    return ConfigKey(path, kind, is_changeable=False, explanation=explanation)


def is_number(value: Any) -> bool:
    """Return whether a JSON value is a number that fits a float; a JSON integer may be too large for one."""
    return isinstance(value, int | float) and not isinstance(value, bool) and abs(value) <= sys.float_info.max


def number_kind(
    allowed: str,
    *,
    minimum: float = -math.inf,
    maximum: float = math.inf,
    above: float = -math.inf,
    integer: bool = False,
) -> ValueKind:
    """Return a kind of numbers within bounds.

    Args:
        allowed: A description of the allowed numbers.
        minimum: The smallest allowed number.
        maximum: The largest allowed number.
        above: An exclusive lower bound.
        integer: Whether the number must be whole; 2.0 counts as whole.
    """

    def is_valid(value: Any) -> bool:
        if not is_number(value) or not minimum <= value <= maximum or value <= above:
            return False
        return not integer or value == int(value)

    return ValueKind(allowed, is_valid)


def one_of(*words: str) -> ValueKind:
    """Return the kind of texts that equal one of `words`."""
    return ValueKind(" or ".join(words), lambda value: isinstance(value, str) and value in words)


def is_address(value: Any) -> bool:
    """Return whether a value is an address as HOST:PORT."""
    try:
        return isinstance(value, str) and value.isprintable() and bool(read_address(value))
    except ValueError:
        return False


def is_name(value: Any) -> bool:
    """Return whether a value is a printable text of bounded length."""
    return isinstance(value, str) and 0 < len(value) <= MAX_TEXT_LENGTH and value.isprintable()


def is_hex(value: Any) -> bool:
    """Return whether a value is a text of hexadecimal digits."""
    return isinstance(value, str) and 0 < len(value) <= MAX_TEXT_LENGTH and set(value) <= set(hexdigits)


def is_object_list(value: Any) -> bool:
    """Return whether a value is a list of JSON objects."""
    return isinstance(value, list) and all(isinstance(entry, dict) for entry in value)


def is_name_list(value: Any) -> bool:
    """Return whether a value is a text, or a list of texts."""
    return isinstance(value, str) or (
        isinstance(value, list) and all(isinstance(entry, str) for entry in value)
    )


TEXT = ValueKind(f"a text of 1 to {MAX_TEXT_LENGTH} printable characters", is_name)
ADDRESS = ValueKind("HOST:PORT", is_address)
FLAG = ValueKind("true or false", lambda value: isinstance(value, bool))
OBJECT = ValueKind("an object", lambda value: isinstance(value, dict))
OBJECT_LIST = ValueKind("a list of objects", is_object_list)
NON_EMPTY_OBJECT_LIST = ValueKind(
    "a list of one object at least", lambda value: is_object_list(value) and bool(value)
)
NAME_LIST = ValueKind("a list of texts, or one text with commas", is_name_list)
NON_NEGATIVE = number_kind("a number of 0 or more", minimum=0)
POSITIVE = number_kind("a number above 0", above=0)
DURATION_NS = number_kind("nanoseconds, a whole number of 0 or more", minimum=0, integer=True)
POSITIVE_DURATION_NS = number_kind("nanoseconds, a whole number above 0", above=0, integer=True)
FRACTION = number_kind("a number from 0 to 1", minimum=0, maximum=1)
NON_NEGATIVE_INTEGER = number_kind("a whole number of 0 or more", minimum=0, integer=True)
POSITIVE_INTEGER = number_kind("a whole number of 1 or more", minimum=1, integer=True)

# Explanations used for several keys.
FROM_NEXT_REQUEST = "for requests that come from now on; open ones keep what they began with"
READ_EACH_DECISION = "read with each decision"
SPENT_USAGE_STILL_COUNTS = "with a customer's next request; what it spent counts on"
CEILING_ADDS_NO_CAPACITY = "with a customer's next request; it brings no more room than there was"

KEYS = (
    fixed("name", TEXT, "files under $TMPDIR and the platform know the process by it"),
    fixed("listen", ADDRESS, "clients hold connections there"),
    fixed("control", ADDRESS, "the call that would change it comes in there"),
    fixed("seed", ValueKind("hexadecimal digits", is_hex), "chances have been drawn from it"),
    fixed("known", OBJECT, "the list at the start; discovery has told newer ones"),
    fixed("replicas", OBJECT, "read at the start"),
    fixed("edge", OBJECT, "read at the start"),
    fixed("membership", OBJECT, "read at the start"),
    fixed("view", OBJECT, "read at the start; its place and zone follow the settings"),
    changeable("discovery", ADDRESS, "the watch begins again there; the last list stays until it answers"),
    changeable("counter", ADDRESS, "each line moves once its calls are answered; it cannot come or go"),
    changeable("limits", OBJECT, "room is shared out anew"),
    changeable("limits.cores", POSITIVE, "nothing here depends on it"),
    changeable(
        "limits.memory_mb",
        number_kind("a number of 32 or more", minimum=32),
        "bounds large bodies; not below what the process has",
    ),
    changeable(
        "limits.sockets",
        number_kind("a whole number of 128 or more", minimum=128, integer=True),
        "bounds connections; not below those that are open",
    ),
    changeable("settings", OBJECT, "taken whole"),
    changeable("settings.index", NON_NEGATIVE_INTEGER, READ_EACH_DECISION),
    changeable("settings.group_size", POSITIVE_INTEGER, READ_EACH_DECISION),
    changeable("settings.locality", TEXT, READ_EACH_DECISION),
    changeable("settings.registry_mode", one_of(*DISCOVERY_MODES), READ_EACH_DECISION),
    changeable("settings.weights", TEXT, READ_EACH_DECISION),
    changeable("settings.services", NON_EMPTY_OBJECT_LIST, FROM_NEXT_REQUEST),
    changeable("settings.services.*.name", TEXT, FROM_NEXT_REQUEST),
    changeable("settings.services.*.slo", POSITIVE_DURATION_NS, FROM_NEXT_REQUEST),
    changeable("settings.services.*.deadline", POSITIVE_DURATION_NS, FROM_NEXT_REQUEST),
    changeable("settings.services.*.effect", one_of(*IDEMPOTENCY_OF_EFFECT), FROM_NEXT_REQUEST),
    changeable("settings.services.*.dedup_scope", one_of(*api.DEDUP_SCOPES), FROM_NEXT_REQUEST),
    changeable("settings.services.*.memory_span", DURATION_NS, FROM_NEXT_REQUEST),
    changeable("settings.services.*.gain", NON_NEGATIVE, FROM_NEXT_REQUEST),
    changeable("settings.services.*.late_value", NON_NEGATIVE, FROM_NEXT_REQUEST),
    changeable("settings.services.*.streaming", FLAG, FROM_NEXT_REQUEST),
    changeable("settings.services.*.aim_stretch", NON_NEGATIVE, FROM_NEXT_REQUEST),
    changeable("settings.plans", OBJECT_LIST, FROM_NEXT_REQUEST),
    changeable("settings.plans.*.name", TEXT, FROM_NEXT_REQUEST),
    changeable("settings.plans.*.rate", NON_NEGATIVE, SPENT_USAGE_STILL_COUNTS),
    changeable("settings.plans.*.most_at_once", NON_NEGATIVE, SPENT_USAGE_STILL_COUNTS),
    changeable(
        "settings.plans.*.parallel",
        NON_NEGATIVE_INTEGER,
        "with a customer's next request; open attempts count on",
    ),
    changeable("settings.plans.*.value_factor", NON_NEGATIVE, FROM_NEXT_REQUEST),
    changeable("settings.plans.*.beyond_earns", NON_NEGATIVE, FROM_NEXT_REQUEST),
    changeable("settings.plans.*.over_cost", NON_NEGATIVE, FROM_NEXT_REQUEST),
    changeable("settings.plans.*.cap_rate", NON_NEGATIVE, CEILING_ADDS_NO_CAPACITY),
    changeable("settings.plans.*.cap_depth", NON_NEGATIVE, CEILING_ADDS_NO_CAPACITY),
    changeable("settings.plans.*.hard_slack", NON_NEGATIVE, FROM_NEXT_REQUEST),
    changeable("settings.limits", OBJECT, "taken whole"),
    changeable("settings.limits.cancel", FLAG, FROM_NEXT_REQUEST),
    changeable("settings.limits.second_copies", FLAG, FROM_NEXT_REQUEST),
    changeable("settings.limits.probes", FLAG, READ_EACH_DECISION),
    changeable("settings.limits.peers", FLAG, READ_EACH_DECISION),
    changeable("settings.limits.retry_after", FLAG, FROM_NEXT_REQUEST),
    changeable("settings.limits.max_attempts", POSITIVE_INTEGER, FROM_NEXT_REQUEST),
    changeable("settings.limits.max_retry_after", DURATION_NS, FROM_NEXT_REQUEST),
    changeable("settings.limits.max_open", POSITIVE_INTEGER, FROM_NEXT_REQUEST),
    changeable(
        "settings.limits.connect_timeout", POSITIVE_DURATION_NS, "for connections that are begun from now on"
    ),
    changeable("settings.limits.idle_close", POSITIVE_DURATION_NS, "for all that rest"),
    changeable("settings.rules", OBJECT, "taken whole"),
    changeable("settings.rules.answer_slack", DURATION_NS, READ_EACH_DECISION),
    changeable("settings.rules.drain_grace", DURATION_NS, READ_EACH_DECISION),
    changeable("settings.rules.start_capacity", FRACTION, READ_EACH_DECISION),
    changeable("settings.rules.cold", DURATION_NS, READ_EACH_DECISION),
    changeable("settings.rules.fall_multiple", NON_NEGATIVE, READ_EACH_DECISION),
    changeable("settings.rules.tip_after", DURATION_NS, READ_EACH_DECISION),
    changeable("settings.rules.must_ask_in", DURATION_NS, READ_EACH_DECISION),
    changeable("settings.prices", OBJECT, READ_EACH_DECISION),
    changeable("settings.prices.*", number_kind("a number"), READ_EACH_DECISION),
    changeable("settings.reporting", OBJECT, READ_EACH_DECISION),
    changeable(
        "settings.reporting.names", NAME_LIST, f"of {', '.join(LOAD_REPORT_FIELDS)}; others are passed over"
    ),
    changeable("settings.specifics", OBJECT, "taken whole"),
    changeable("settings.specifics.shared_counter", FLAG, "needs an address of the counter"),
    changeable("settings.specifics.counter_price", NON_NEGATIVE, READ_EACH_DECISION),
    changeable("settings.specifics.counter_timeout", DURATION_NS, "for calls that are made from now on"),
    changeable("settings.specifics.meter_period", DURATION_NS, READ_EACH_DECISION),
    changeable("settings.specifics.settles", FLAG, READ_EACH_DECISION),
    changeable("settings.specifics.units_top", POSITIVE, FROM_NEXT_REQUEST),
)
KEY_BY_PATH = {key.path: key for key in KEYS}
# Keys whose change needs a new process; all are top-level keys.
FIXED_PATHS = frozenset(key.path for key in KEYS if not key.is_changeable)
# Top-level keys that form the content of a version.
CHANGEABLE_PATHS = ("discovery", "counter", "limits", "settings")


def format_key_table() -> str:
    """Return the table of keys as docs/configuration.md quotes it, in Markdown."""
    rows = [
        "| key | may hold | may change while running | how, or why not |",
        "| --- | --- | --- | --- |",
    ]
    for key in KEYS:
        change = "yes" if key.is_changeable else "new process"
        rows.append(f"| `{key.path}` | {key.kind.allowed} | {change} | {key.explanation} |")
    return "\n".join(rows)
