"""Reads the settings of a deployment: the wire's names and nanoseconds to `interface.Settings`.

The simulator sends them as flat text, a real gateway finds them as nested JSON; both are read here.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from api_gateway import interface as api

# Values of the wire, and what the interface calls them.
IDEMPOTENCY_OF_EFFECT = {"pure": "safe", "token": "keyed", "side_effect": "unsafe"}
DISCOVERY_MODES = {"pushed": "push", "on_request": "ask"}
LOAD_REPORT_FIELDS = {
    "active": "inflight",
    "waiting": "queue",
    "cpu": "util",
    "avg_ms": "latency",
    "rps": "rps",
    "err_rps": "errors",
}
BOOLEANS = {"true": True, "1": True, "false": False, "0": False}

NANOSECONDS_PER_SECOND = 1e9
MILLISECONDS_PER_SECOND = 1000

# A JSON object of any shape, or the simulator's flat paths as a tree of text.
Tree = dict[str, Any]


def seconds(value: Any) -> float:
    """Return the seconds of a whole number of nanoseconds, which may be text.

    Raises:
        ValueError: It is no whole number.
    """
    return int(value) / NANOSECONDS_PER_SECOND


def flag(tree: Tree, name: str, default: bool = False) -> bool:
    """Return a boolean of a tree.

    Args:
        tree: Where it stands.
        name: Its key.
        default: What counts where the key is missing.

    Raises:
        KeyError: The value is no boolean.
    """
    return BOOLEANS[str(tree[name]).lower()] if name in tree else default


def read_settings(tree: Tree) -> api.Settings:
    """Return the settings that a tree holds.

    Raises:
        ValueError: A value is not allowed.
        KeyError: A key is missing, or a value is none of those that its key allows.
    """
    # In this order, since the first fault is the one that an operator hears of.
    classes = {entry["name"]: _read_service_class(entry) for entry in _entries(tree["services"])}
    plans = {entry["name"]: _read_plan(entry) for entry in _entries(tree["plans"])}
    limits = tree["limits"]
    rules = tree["rules"]
    specifics = tree["specifics"]
    report_names = tree.get("reporting", {}).get("names", "")
    return api.Settings(
        gateway_index=int(tree["index"]),
        gateway_count=int(tree["group_size"]),
        zone=tree["locality"],
        classes=classes,
        plans=plans,
        limits=_read_limits(limits),
        rules=_read_rules(rules),
        prices={name: float(price) for name, price in tree.get("prices", {}).items()},
        has_counter=flag(specifics, "shared_counter"),
        counter_price=_number(specifics, "counter_price"),
        counter_timeout=seconds(specifics.get("counter_timeout", "0")),
        meter_period=seconds(specifics.get("meter_period", "0")),
        settles_units=flag(specifics, "settles"),
        max_units=float(specifics.get("units_top", 1)),
        discovery_mode=DISCOVERY_MODES[tree["registry_mode"]],
        load_report_fields=tuple(
            LOAD_REPORT_FIELDS[name] for name in _names(report_names) if name in LOAD_REPORT_FIELDS
        ),
        weight_kind=tree.get("weights", "none"),
    )


def read_load_report(pairs: Iterable[tuple[str, str] | list[str]]) -> dict[str, float]:
    """Return the fields of a load report that are known and have a value; latency in seconds.

    Raises:
        ValueError: A value is no number, or a pair is none.
    """
    return {
        LOAD_REPORT_FIELDS[name]: float(value) / MILLISECONDS_PER_SECOND if name == "avg_ms" else float(value)
        for name, value in pairs
        if name in LOAD_REPORT_FIELDS and value
    }


def _read_service_class(entry: Tree) -> api.ServiceClass:
    return api.ServiceClass(
        name=entry["name"],
        latency_objective=seconds(entry["slo"]),
        deadline=seconds(entry["deadline"]),
        idempotency=IDEMPOTENCY_OF_EFFECT[entry["effect"]],
        dedup_scope=entry.get("dedup_scope", "all"),
        dedup_window=seconds(entry.get("memory_span", "0")),
        priority_weight=float(entry["gain"]),
        late_priority_weight=_number(entry, "late_value"),
        is_streaming=flag(entry, "streaming"),
        objective_stretch=_number(entry, "aim_stretch"),
    )


def _read_plan(entry: Tree) -> api.Plan:
    return api.Plan(
        name=entry["name"],
        rate=_number(entry, "rate"),
        burst=_number(entry, "most_at_once"),
        max_concurrent=int(_number(entry, "parallel")),
        price_factor=float(entry.get("value_factor", 1)),
        over_quota_weight=_number(entry, "beyond_earns"),
        over_quota_cost=_number(entry, "over_cost"),
        ceiling_rate=_number(entry, "cap_rate"),
        ceiling_burst=_number(entry, "cap_depth"),
        ceiling_slack=_number(entry, "hard_slack"),
    )


def _read_limits(tree: Tree) -> api.Limits:
    return api.Limits(
        can_cancel=flag(tree, "cancel"),
        hedging=flag(tree, "second_copies"),
        health_checks=flag(tree, "probes"),
        peer_messages=flag(tree, "peers"),
        sends_retry_after=flag(tree, "retry_after"),
        max_attempts=int(tree["max_attempts"]),
        max_retry_after=seconds(tree.get("max_retry_after", "0")),
    )


def _read_rules(tree: Tree) -> api.Rules:
    return api.Rules(
        answer_slack=seconds(tree["answer_slack"]),
        drain_grace=seconds(tree["drain_grace"]),
        slow_start_min_capacity=float(tree["start_capacity"]),
        slow_start_duration=seconds(tree["cold"]),
        overload_multiple=float(tree["fall_multiple"]),
        overload_window=seconds(tree["tip_after"]),
        poll_deadline=seconds(tree.get("must_ask_in", "0")),
    )


def _entries(value: Any) -> list[Tree]:
    """Return a list of objects: as JSON has it, or as the simulator's flat paths count it."""
    if isinstance(value, list):
        return value
    return [value[str(number)] for number in range(int(value["count"]))]


def _names(value: Any) -> list[str]:
    return value if isinstance(value, list) else value.split(",")


def _number(tree: Tree, name: str) -> float:
    return float(tree.get(name, 0))
