"""A candidate configuration: every fault found, each with its path, its value and what is allowed."""

import json
from pathlib import Path

import pytest
from netkit import gateway_config

from api_gateway.control import config_candidate as candidate
from api_gateway.control import config_schema as keys
from api_gateway.gateway.config import build_config

ROOT = Path(__file__).resolve().parents[2]
LAST = gateway_config([], 1, 2)


def spoilt(path, value):
    """A candidate with another value at a path; None: without it."""
    tree = json.loads(json.dumps(LAST))
    node, *parents = tree, *path.split(".")
    for part in parents[:-1]:
        node = node[int(part) if part.isdigit() else part]
    if value is None:
        del node[parents[-1]]
    else:
        node[parents[-1]] = value
    return tree


def faults(tree):
    found, odd = candidate.parse(json.dumps(tree).encode())
    return {f.path: f for f in odd or candidate.check(found, LAST)}


def test_what_is_in_force_is_no_fault_and_makes_a_configuration():
    assert not faults(LAST) and build_config(LAST, {})
    few = {name: LAST[name] for name in keys.CHANGEABLE_PATHS}  # what cannot change may be left out
    assert not faults(few)


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
def test_a_fault_is_told_with_its_path_its_value_and_what_is_allowed(path, value):
    found = faults(spoilt(path, value))
    at = path if path in found else "settings.plans.0.cap_depth"  # a rate that lacks its burst
    fault = found[at]
    assert fault.allowed and len(found) == 1
    if at == path:
        shown = fault.to_json()["value"]
        assert shown == candidate.abbreviate(value) and json.dumps(shown, allow_nan=False)


def test_all_faults_are_found_at_once():
    tree = spoilt("settings.plans.0.rate", "10")
    del tree["settings"]["rules"]["cold"]
    tree["settings"]["services"][2]["effect"], tree["limits"]["sockets"] = 5, float("inf")
    assert faults(tree).keys() == {"limits.sockets"}  # what is no JSON number at all comes first
    tree["limits"]["sockets"] = 1
    assert faults(tree).keys() == {
        "settings.plans.0.rate",
        "settings.rules.cold",
        "settings.services.2.effect",
        "limits.sockets",
    }


DEEP = b'{"a":' * 5000 + b"1" + b"}" * 5000


@pytest.mark.parametrize(
    "body, word",
    [
        (b"", "JSON"),
        (b" ", "JSON"),
        (b"{", "JSON"),
        (json.dumps(LAST).encode()[:-9], "JSON"),
        (b"\xff\xfe{}", "UTF-8"),
        (b"null", "object"),
        (b"[]", "object"),
        (b'"text"', "object"),
        (b"5", "object"),
        (b"[" * 100000, "levels"),
        (DEEP, "levels"),
        (b'{"a":' * 20 + b"1" + b"}" * 20, "levels"),
        (b'{"limits":{"cores":1' + b"0" * 5000 + b"}}", "JSON"),
        (b"[" + b"1," * keys.MAX_BODY_BYTES + b"1]", "bytes"),
        (b'{"discovery":"a:1","discovery":"b:2"}', "once"),
        (b'{"limits":{"cores":NaN}}', "finite"),
        (b'{"limits":{"cores":-Infinity}}', "finite"),
        (b'{"limits":{"cores":1e999}}', "finite"),
    ],
)
def test_a_body_that_is_no_candidate(body, word):
    tree, found = candidate.parse(body)
    found = found or candidate.check(tree, LAST)
    assert found and any(word in fault.allowed for fault in found)
    assert json.dumps([f.to_json() for f in found], allow_nan=False)


def test_keys_that_stand_twice_are_named_wherever_they_stand():
    text = json.dumps(LAST).replace('"rate": 1000.0', '"rate": 1000.0, "rate": 5.0')
    text = text.replace('"cores": 1.0', '"cores": 1.0, "cores": 1.0, "cores": 2.0')
    assert sorted(f.path for f in candidate.parse(text.encode())[1]) == [
        "limits.cores",
        "settings.plans.0.rate",
    ]


def test_differences_name_entries_and_not_their_places():
    tree = spoilt("settings.plans.1.rate", 2.0)
    tree["settings"]["plans"].reverse()
    tree["settings"]["services"].append(tree["settings"]["services"][0] | {"name": "extra"})
    del tree["settings"]["services"][2]
    assert {row["path"]: (row["from"], row["to"]) for row in candidate.differences(LAST, tree)} == {
        "settings.plans.small.rate": (1.0, 2.0),
        "settings.services.note": ("an object of 5", None),
        "settings.services.extra": (None, "an object of 5"),
    }
    assert not list(candidate.differences({"a": 1}, {"a": 1.0})) and list(
        candidate.differences({"a": 1}, {"a": True})
    )


class Seen(dict):
    """Notes each name that is read of it, there or not."""

    def __init__(self, tree, path, names):
        super().__init__(
            {name: watch(value, candidate.join_path(path, name), names) for name, value in tree.items()}
        )
        self.path, self.names = path, names

    def __getitem__(self, name):
        self.names.add(candidate.join_path(self.path, name))
        return super().__getitem__(name)

    def __contains__(self, name):
        self.names.add(candidate.join_path(self.path, name))
        return super().__contains__(name)

    def get(self, name, default=None):
        self.names.add(candidate.join_path(self.path, name))
        return super().get(name, default)


def watch(value, path, names):
    if isinstance(value, dict):
        return Seen(value, path, names)
    return [watch(entry, path + ".*", names) for entry in value] if isinstance(value, list) else value


def test_every_key_that_a_configuration_is_read_from_has_its_row_and_the_docs_quote_the_table():
    names = set()
    build_config(Seen(LAST, "", names), {})
    assert {name for name in names if not name.startswith("known.")} <= keys.KEY_BY_PATH.keys()
    # Prices are read by name in the module, whatever names there are; nothing depends on the cores.
    assert keys.KEY_BY_PATH.keys() - names == {"settings.prices.*", "limits.cores"}
    assert keys.FIXED_PATHS == {
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
    assert keys.format_key_table() in (ROOT / "docs" / "configuration.md").read_text()
