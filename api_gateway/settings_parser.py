"""The settings of a deployment: the wire's names and nanoseconds to interface.Settings.

The simulator sends them as flat text, a real gateway finds them as nested JSON; both are read here.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from api_gateway import interface as api

EFFECT = {"pure": "safe", "token": "keyed", "side_effect": "unsafe"}
DISCOVERY = {"pushed": "push", "on_request": "ask"}
REPORT = {
    "active": "inflight",
    "waiting": "queue",
    "cpu": "util",
    "avg_ms": "latency",
    "rps": "rps",
    "err_rps": "errors",
}
BOOL = {"true": True, "1": True, "false": False, "0": False}
NS = 1e9


def _items(node: Any) -> list[dict[str, Any]]:
    """A list of objects: as JSON has it, or as the simulator's flat paths count it."""
    return node if isinstance(node, list) else [node[str(k)] for k in range(int(node["count"]))]


def _names(node: Any) -> list[str]:
    return node if isinstance(node, list) else node.split(",")


def seconds(value: Any) -> float:
    return int(value) / NS


def flag(node: dict[str, Any], name: str, default: bool = False) -> bool:
    return BOOL[str(node[name]).lower()] if name in node else default


def _num(node: dict[str, Any], name: str) -> float:
    return float(node.get(name, 0))


def read_settings(t: dict[str, Any]) -> api.Settings:
    classes = {
        c["name"]: api.ServiceClass(
            name=c["name"],
            latency_objective=seconds(c["slo"]),
            deadline=seconds(c["deadline"]),
            idempotency=EFFECT[c["effect"]],
            dedup_scope=c.get("dedup_scope", "all"),
            dedup_window=seconds(c.get("memory_span", "0")),
            priority_weight=float(c["gain"]),
            late_priority_weight=_num(c, "late_value"),
            is_streaming=flag(c, "streaming"),
            objective_stretch=_num(c, "aim_stretch"),
        )
        for c in _items(t["services"])
    }
    plans = {
        p["name"]: api.Plan(
            name=p["name"],
            rate=_num(p, "rate"),
            burst=_num(p, "most_at_once"),
            max_concurrent=int(_num(p, "parallel")),
            price_factor=float(p.get("value_factor", 1)),
            over_quota_weight=_num(p, "beyond_earns"),
            over_quota_cost=_num(p, "over_cost"),
            ceiling_rate=_num(p, "cap_rate"),
            ceiling_burst=_num(p, "cap_depth"),
            ceiling_slack=_num(p, "hard_slack"),
        )
        for p in _items(t["plans"])
    }
    lim, rules, spec = t["limits"], t["rules"], t["specifics"]
    names = t.get("reporting", {}).get("names", "")
    return api.Settings(
        gateway_index=int(t["index"]),
        gateway_count=int(t["group_size"]),
        zone=t["locality"],
        classes=classes,
        plans=plans,
        limits=api.Limits(
            can_cancel=flag(lim, "cancel"),
            hedging=flag(lim, "second_copies"),
            health_checks=flag(lim, "probes"),
            peer_messages=flag(lim, "peers"),
            sends_retry_after=flag(lim, "retry_after"),
            max_attempts=int(lim["max_attempts"]),
            max_retry_after=seconds(lim.get("max_retry_after", "0")),
        ),
        rules=api.Rules(
            answer_slack=seconds(rules["answer_slack"]),
            drain_grace=seconds(rules["drain_grace"]),
            slow_start_min_capacity=float(rules["start_capacity"]),
            slow_start_duration=seconds(rules["cold"]),
            overload_multiple=float(rules["fall_multiple"]),
            overload_window=seconds(rules["tip_after"]),
            poll_deadline=seconds(rules.get("must_ask_in", "0")),
        ),
        prices={k: float(v) for k, v in t.get("prices", {}).items()},
        has_counter=flag(spec, "shared_counter"),
        counter_price=_num(spec, "counter_price"),
        counter_timeout=seconds(spec.get("counter_timeout", "0")),
        meter_period=seconds(spec.get("meter_period", "0")),
        settles_units=flag(spec, "settles"),
        max_units=float(spec.get("units_top", 1)),
        discovery_mode=DISCOVERY[t["registry_mode"]],
        load_report_fields=tuple(REPORT[n] for n in _names(names) if n in REPORT),
        weight_kind=t.get("weights", "none"),
    )


def read_report(pairs: Iterable[tuple[str, str] | list[str]]) -> dict[str, float]:
    """The fields of a load report that are known and have a value; latency in seconds."""
    return {
        REPORT[name]: float(value) / 1000 if name == "avg_ms" else float(value)
        for name, value in pairs
        if name in REPORT and value
    }
