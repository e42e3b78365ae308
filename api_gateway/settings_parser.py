"""Parser for deployment settings: converts external names and nanoseconds to `interface.Settings`.

The simulator sends settings as flat text, and a real gateway reads them from nested JSON. Both forms are
supported.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from api_gateway import interface as api

# External values and the interface's names for them.
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

# A JSON object, or the tree of text values built from the simulator's flat paths.
SettingsTree = dict[str, Any]


def read_seconds(value: Any) -> float:
    """Convert an integer number of nanoseconds, possibly given as text, to seconds.

    Raises:
        ValueError: The value is not an integer.
    """
    return int(value) / NANOSECONDS_PER_SECOND


def read_flag(tree: SettingsTree, name: str, default: bool = False) -> bool:
    """Return a boolean setting.

    Args:
        tree: The object that contains the setting.
        name: The key of the setting.
        default: The value to return if the key is missing.

    Raises:
        KeyError: The value is not a boolean.
    """
    return BOOLEANS[str(tree[name]).lower()] if name in tree else default


def read_settings(tree: SettingsTree) -> api.Settings:
    """Build the settings from their external form.

    Raises:
        ValueError: A value is not allowed.
        KeyError: A key is missing, or its value is not one of the allowed words.
    """
    # Keep this order, because only the first fault found is reported to the operator.
    classes = {entry["name"]: _read_service_class(entry) for entry in _read_entries(tree["services"])}
    plans = {entry["name"]: _read_plan(entry) for entry in _read_entries(tree["plans"])}
    limits = tree["limits"]
    rules = tree["rules"]
    specifics = tree["specifics"]
    load_report_names = tree.get("reporting", {}).get("names", "")
    return api.Settings(
        gateway_index=int(tree["index"]),
        gateway_count=int(tree["group_size"]),
        zone=tree["locality"],
        classes=classes,
        plans=plans,
        limits=_read_limits(limits),
        rules=_read_rules(rules),
        prices={name: float(price) for name, price in tree.get("prices", {}).items()},
        has_counter=read_flag(specifics, "shared_counter"),
        counter_price=_read_number(specifics, "counter_price"),
        counter_timeout=read_seconds(specifics.get("counter_timeout", "0")),
        meter_period=read_seconds(specifics.get("meter_period", "0")),
        reports_actual_units=read_flag(specifics, "settles"),
        max_request_units=float(specifics.get("units_top", 1)),
        discovery_mode=DISCOVERY_MODES[tree["registry_mode"]],
        load_report_fields=tuple(
            LOAD_REPORT_FIELDS[name] for name in _read_names(load_report_names) if name in LOAD_REPORT_FIELDS
        ),
        weight_kind=tree.get("weights", "none"),
    )


def read_load_report(pairs: Iterable[tuple[str, str] | list[str]]) -> dict[str, float]:
    """Return the known, non-empty fields of a load report, with the latency in seconds.

    Raises:
        ValueError: A value is not a number, or an item is not a pair.
    """
    return {
        LOAD_REPORT_FIELDS[name]: float(value) / MILLISECONDS_PER_SECOND if name == "avg_ms" else float(value)
        for name, value in pairs
        if name in LOAD_REPORT_FIELDS and value
    }


def _read_service_class(entry: SettingsTree) -> api.ServiceClass:
    return api.ServiceClass(
        name=entry["name"],
        latency_objective=read_seconds(entry["slo"]),
        deadline=read_seconds(entry["deadline"]),
        idempotency=IDEMPOTENCY_OF_EFFECT[entry["effect"]],
        dedup_scope=entry.get("dedup_scope", "all"),
        dedup_window=read_seconds(entry.get("memory_span", "0")),
        priority_weight=float(entry["gain"]),
        late_priority_weight=_read_number(entry, "late_value"),
        is_streaming=read_flag(entry, "streaming"),
        objective_stretch=_read_number(entry, "aim_stretch"),
    )


def _read_plan(entry: SettingsTree) -> api.Plan:
    return api.Plan(
        name=entry["name"],
        rate=_read_number(entry, "rate"),
        burst=_read_number(entry, "most_at_once"),
        max_concurrent=int(_read_number(entry, "parallel")),
        priority_factor=float(entry.get("value_factor", 1)),
        over_quota_weight=_read_number(entry, "beyond_earns"),
        over_quota_cost=_read_number(entry, "over_cost"),
        ceiling_rate=_read_number(entry, "cap_rate"),
        ceiling_burst=_read_number(entry, "cap_depth"),
        ceiling_slack=_read_number(entry, "hard_slack"),
    )


def _read_limits(tree: SettingsTree) -> api.Limits:
    return api.Limits(
        can_cancel=read_flag(tree, "cancel"),
        can_hedge=read_flag(tree, "second_copies"),
        can_check_health=read_flag(tree, "probes"),
        can_message_peers=read_flag(tree, "peers"),
        sends_retry_after=read_flag(tree, "retry_after"),
        max_attempts=int(tree["max_attempts"]),
        max_retry_after=read_seconds(tree.get("max_retry_after", "0")),
    )


def _read_rules(tree: SettingsTree) -> api.Rules:
    return api.Rules(
        answer_slack=read_seconds(tree["answer_slack"]),
        drain_grace=read_seconds(tree["drain_grace"]),
        slow_start_min_capacity=float(tree["start_capacity"]),
        slow_start_duration=read_seconds(tree["cold"]),
        overload_multiple=float(tree["fall_multiple"]),
        overload_window=read_seconds(tree["tip_after"]),
        poll_deadline=read_seconds(tree.get("must_ask_in", "0")),
    )


def _read_entries(value: Any) -> list[SettingsTree]:
    """Return a list of objects from a JSON list or from numbered flat paths of the simulator."""
    if isinstance(value, list):
        return value
    return [value[str(number)] for number in range(int(value["count"]))]


def _read_names(value: Any) -> list[str]:
    return value if isinstance(value, list) else value.split(",")


def _read_number(tree: SettingsTree, name: str) -> float:
    return float(tree.get(name, 0))
