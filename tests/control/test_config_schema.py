"""Validation of candidates: every fault is reported with its path, its value and the allowed values."""

import json
from pathlib import Path

import pytest
from netkit import gateway_config

from api_gateway.control import config_candidate, config_schema
from api_gateway.gateway.config import build_config

ROOT = Path(__file__).resolve().parents[2]
CURRENT = gateway_config([], 1, 2)


def candidate_with(path, value):
    """Return a candidate with another value at a path, or with None without that key."""
    tree = json.loads(json.dumps(CURRENT))
    target, *parents = tree, *path.split(".")
    for part in parents[:-1]:
        target = target[int(part) if part.isdigit() else part]
    if value is None:
        del target[parents[-1]]
    else:
        target[parents[-1]] = value
    return tree


def find_faults(tree):
    parsed, parse_faults = config_candidate.parse(json.dumps(tree).encode())
    return {fault.path: fault for fault in parse_faults or config_candidate.check(parsed, CURRENT)}


def test_config_in_force_has_no_faults_and_builds():
    assert not find_faults(CURRENT) and build_config(CURRENT, {})
    changeable_only = {name: CURRENT[name] for name in config_schema.CHANGEABLE_PATHS}  # others are optional
    assert not find_faults(changeable_only)


@pytest.mark.parametrize(
    "path, value",
    [
        ("discovery", "nowhere"),
        ("discovery", 8500),
        ("discovery", None),
        ("counter", "127.0.0.1:99999"),
        ("counter", ""),
        ("counter", None),
        ("limits", None),
        ("limits", []),
        ("limits.sockets", 12),
        ("limits.sockets", 300.5),
        ("limits.memory_mb", "64"),
        ("limits.memory_mb", -1),
        ("limits.cores", 0),
        ("settings", "none"),
        ("settings.index", 1),
        ("settings.index", -1),
        ("settings.index", True),
        ("settings.registry_mode", "guess"),
        ("settings.locality", ""),
        ("settings.locality", "a\nb"),
        ("settings.locality", "x" * 300),
        ("settings.services", []),
        ("settings.services", {}),
        ("settings.services.0.deadline", 0),
        ("settings.services.0.deadline", "3000000000"),
        ("settings.services.0.slo", 1.5),
        ("settings.services.0.effect", "safe"),
        ("settings.services.0.gain", -1),
        ("settings.services.1.name", "read"),
        ("settings.services.0.gain", None),
        ("settings.services.1.typo", 1),
        ("settings.plans.0.rate", "10"),
        ("settings.plans.0.rate", [1]),
        ("settings.plans.1.most_at_once", 0),
        ("settings.plans.0.name", 7),
        ("settings.plans.0.cap_rate", 5),
        ("settings.limits.max_attempts", 0),
        ("settings.limits.max_attempts", 1e400),
        ("settings.limits.retry_after", "true"),
        ("settings.limits.max_atempts", 3),
        ("settings.rules.start_capacity", 1.1),
        ("settings.rules.cold", float("nan")),
        ("settings.prices.cross_zone", "dear"),
        ("settings.specifics.counter_timeout", 0),
        ("settings.specifics.units_top", 0),
        ("settings.specifics.units_top", float("-inf")),
        ("settings.reporting.names", [1]),
        ("settings.reporting.via", 5),
        ("settings.more", {}),
        ("more", 1),
        ("name", "n1"),
        ("listen", "127.0.0.1:1"),
        ("seed", "ffff"),
        ("known", {"version": 2}),
        ("seed", "xyz"),
    ],
)
def test_fault_reports_path_value_and_allowed_values(path, value):
    found = find_faults(candidate_with(path, value))
    reported_path = path if path in found else "settings.plans.0.cap_depth"  # a rate without its burst
    fault = found[reported_path]
    assert fault.allowed and len(found) == 1
    if reported_path == path:
        shown = fault.to_json()["value"]
        assert shown == config_candidate.abbreviate(value) and json.dumps(shown, allow_nan=False)


def test_all_faults_are_reported_together():
    tree = candidate_with("settings.plans.0.rate", "10")
    del tree["settings"]["rules"]["cold"]
    tree["settings"]["services"][2]["effect"], tree["limits"]["sockets"] = 5, float("inf")
    assert find_faults(tree).keys() == {"limits.sockets"}  # parse() finds it, before check() runs
    tree["limits"]["sockets"] = 1
    assert find_faults(tree).keys() == {
        "settings.plans.0.rate",
        "settings.rules.cold",
        "settings.services.2.effect",
        "limits.sockets",
    }


DEEPLY_NESTED_BODY = b'{"a":' * 5000 + b"1" + b"}" * 5000


@pytest.mark.parametrize(
    "body, word",
    [
        (b"", "JSON"),
        (b" ", "JSON"),
        (b"{", "JSON"),
        (json.dumps(CURRENT).encode()[:-9], "JSON"),
        (b"\xff\xfe{}", "UTF-8"),
        (b"null", "object"),
        (b"[]", "object"),
        (b'"text"', "object"),
        (b"5", "object"),
        (b"[" * 100000, "levels"),
        (DEEPLY_NESTED_BODY, "levels"),
        (b'{"a":' * 20 + b"1" + b"}" * 20, "levels"),
        (b'{"limits":{"cores":1' + b"0" * 5000 + b"}}", "JSON"),
        (b"[" + b"1," * config_schema.MAX_BODY_BYTES + b"1]", "bytes"),
        (b'{"discovery":"a:1","discovery":"b:2"}', "once"),
        (b'{"limits":{"cores":NaN}}', "finite"),
        (b'{"limits":{"cores":-Infinity}}', "finite"),
        (b'{"limits":{"cores":1e999}}', "finite"),
    ],
)
def test_body_that_is_not_a_candidate_is_rejected(body, word):
    tree, found = config_candidate.parse(body)
    found = found or config_candidate.check(tree, CURRENT)
    assert found and any(word in fault.allowed for fault in found)
    assert json.dumps([f.to_json() for f in found], allow_nan=False)


def test_repeated_keys_are_reported_at_any_depth():
    text = json.dumps(CURRENT).replace('"rate": 1000.0', '"rate": 1000.0, "rate": 5.0')
    text = text.replace('"cores": 1.0', '"cores": 1.0, "cores": 1.0, "cores": 2.0')
    assert sorted(f.path for f in config_candidate.parse(text.encode())[1]) == [
        "limits.cores",
        "settings.plans.0.rate",
    ]


def test_differences_match_list_entries_by_name():
    tree = candidate_with("settings.plans.1.rate", 2.0)
    tree["settings"]["plans"].reverse()
    tree["settings"]["services"].append(tree["settings"]["services"][0] | {"name": "extra"})
    del tree["settings"]["services"][2]
    assert {row["path"]: (row["from"], row["to"]) for row in config_candidate.differences(CURRENT, tree)} == {
        "settings.plans.small.rate": (1.0, 2.0),
        "settings.services.note": ("an object of 5", None),
        "settings.services.extra": (None, "an object of 5"),
    }
    assert not list(config_candidate.differences({"a": 1}, {"a": 1.0})) and list(
        config_candidate.differences({"a": 1}, {"a": True})
    )


class RecordingDict(dict):
    """A dict that records the path of each key that is read or looked up, present or not."""

    def __init__(self, tree, path, names):
        super().__init__(
            {
                name: record_reads(value, config_candidate.join_path(path, name), names)
                for name, value in tree.items()
            }
        )
        self.path, self.names = path, names

    def __getitem__(self, name):
        self.names.add(config_candidate.join_path(self.path, name))
        return super().__getitem__(name)

    def __contains__(self, name):
        self.names.add(config_candidate.join_path(self.path, name))
        return super().__contains__(name)

    def get(self, name, default=None):
        self.names.add(config_candidate.join_path(self.path, name))
        return super().get(name, default)


def record_reads(value, path, names):
    if isinstance(value, dict):
        return RecordingDict(value, path, names)
    return [record_reads(entry, path + ".*", names) for entry in value] if isinstance(value, list) else value


def test_schema_covers_every_key_read_and_docs_quote_the_table():
    names = set()
    build_config(RecordingDict(CURRENT, "", names), {})
    assert {name for name in names if not name.startswith("known.")} <= config_schema.KEY_BY_PATH.keys()
    # The decision module reads prices by name, with any names; nothing depends on limits.cores.
    assert config_schema.KEY_BY_PATH.keys() - names == {"settings.prices.*", "limits.cores"}
    assert config_schema.FIXED_PATHS == {
        "name",
        "listen",
        "control",
        "seed",
        "known",
        "replicas",
        "edge",
        "membership",
        "view",
    }
    assert config_schema.format_key_table() in (ROOT / "docs" / "configuration.md").read_text()
