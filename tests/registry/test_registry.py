"""The core of the list service: versions, changes, watches, leases and self-preservation."""

import random

import pytest

from api_gateway.registry import core
from api_gateway.registry.core import Host, RegistrationConflictError, Registry


def host(host_id, **fields):
    return Host(host_id, f"10.0.0.{len(host_id)}:6379", **fields)


def states(registry):
    return {
        entry.host.id: entry.host.state
        for entry in registry.entries.values()
        if entry.host.state != "removed"
    }


def tick_until_idle(registry, now):
    """Call tick() until nothing more is due at `now`, and return the answers."""
    answers = []
    while registry.due() <= now:
        answers += registry.tick(now)
    return answers


def test_versions_grow_and_a_watch_gets_the_changes_since_its_version():
    registry = Registry("e1", 10)
    registry.load(0.0, [host("a"), host("b")])
    assert registry.version == 12 and {h.id for h in registry.answer("k", None).hosts} == {"a", "b"}
    assert registry.watch(0.0, "k", 12, 5.0, None) is None
    registry.load(1.0, [host("a"), host("b", state="draining"), host("c")])
    answers = tick_until_idle(registry, 1.0 + core.BATCH_DELAY_S)
    assert [(a.key, a.index, a.version) for a in answers] == [("k", 12, 14)]
    assert {(h.id, h.state) for h in answers[0].hosts} == {("b", "draining"), ("c", "up")}
    assert not registry.watches and not registry.watch_deadlines


def test_many_changes_wake_a_watch_once():
    registry = Registry("e", 1)
    registry.watch(0.0, "k", 1, 60.0, None)
    answers = []
    for n in range(50):
        registry.register(0.001 * n, host(f"h{n}"), 1, 10.0)
        answers += tick_until_idle(registry, 0.001 * n)
    answers += tick_until_idle(registry, 0.2)
    assert len(answers) == 1 and len(answers[0].hosts) == 50


@pytest.mark.parametrize(
    "index, epoch, is_complete",
    [
        (100, None, False),
        (101, "e", False),
        (99, None, True),
        (5, None, True),
        (0, None, True),
        (2**60, None, True),
        (101, "other", True),
        (101, "", True),
    ],
)
def test_index_that_is_too_old_or_in_the_future_or_of_another_epoch_gets_the_complete_list(
    index, epoch, is_complete
):
    registry = Registry("e", 100)
    registry.load(0.0, [host("a")])
    answer = registry.watch(0.0, "k", index, 0.0, epoch)
    assert (answer.index is None) == is_complete and answer.version == 101
    assert [h.id for h in answer.hosts] == (["a"] if is_complete or index == 100 else [])


def test_change_log_is_bounded(monkeypatch):
    monkeypatch.setattr(core, "MAX_TOMBSTONES", 10)
    registry = Registry("e", 1)
    for n in range(30):
        registry.register(0.0, host("a", weight=1.0 + n), 1, 10.0)
    assert len(registry.changes_since(1)) == 1  # one entry per host, however often it changed
    for n in range(30):
        registry.register(0.0, host(f"h{n}"), 1, 10.0)
        registry.deregister(0.0, f"h{n}", 1)
    assert (
        len(registry.entries) == 11
        and registry.changes_since(registry.version - 20) is not None
        and registry.changes_since(registry.version - 21) is None
    )


def test_wait_without_a_change_ends_and_is_capped():
    registry = Registry("e", 1)
    assert registry.watch(0.0, "k", 1, 1e9, None) is None
    assert not tick_until_idle(registry, core.MAX_WAIT_S - 0.01)
    answers = tick_until_idle(registry, core.MAX_WAIT_S)
    assert [(a.key, a.index, a.version, a.hosts) for a in answers] == [("k", 1, 1, ())]


def test_cancelled_watches_leave_no_state():
    registry = Registry("e", 1)
    for n in range(5000):
        registry.watch(0.0, n, 1, 50.0, None)
        registry.cancel_watch(n)
    assert not registry.watches and len(registry.watch_deadlines) <= 16


def test_expired_host_drains_before_its_removal_and_a_renewal_restores_it():
    registry = Registry("e", 1)
    registry.register(0.0, host("a"), 7, 5.0)
    registry.renew(4.0, "a", 7)
    tick_until_idle(registry, 8.9)
    assert states(registry) == {"a": "up"}
    tick_until_idle(registry, 9.3)
    assert states(registry) == {"a": "draining"}
    registry.renew(10.0, "a", 7)
    assert states(registry) == {"a": "up"}
    tick_until_idle(registry, 15.3)
    tick_until_idle(registry, 15.3 + core.DRAIN_DURATION_S + 0.3)
    assert states(registry) == {} and [h.state for h in registry.changes_since(1)] == ["removed"]
    with pytest.raises(RegistrationConflictError):
        registry.renew(30.0, "a", 7)
    tick_until_idle(registry, 15.9 + core.DRAIN_DURATION_S + core.TOMBSTONE_LIFETIME_S)
    # The tombstone is dropped, so the removal is no longer known.
    assert not registry.entries and registry.changes_since(1) is None


def test_request_of_an_older_incarnation_changes_nothing():
    registry = Registry("e", 1)
    registry.register(0.0, host("a"), 7, 5.0)
    registry.register(1.0, host("a", started_ms=9), 8, 5.0)
    for request in (
        lambda: registry.renew(2.0, "a", 7),
        lambda: registry.drain(2.0, "a", 7),
        lambda: registry.deregister(2.0, "a", 7),
        lambda: registry.register(2.0, host("a"), 7, 5.0),
        lambda: registry.renew(2.0, "b", 7),
    ):
        version = registry.version
        with pytest.raises(RegistrationConflictError):
            request()
        assert registry.version == version and states(registry) == {"a": "up"}
    registry.deregister(3.0, "a", 8)
    with pytest.raises(RegistrationConflictError):
        # Delayed, from an incarnation older than the one that deregistered.
        registry.register(4.0, host("a"), 7, 5.0)
    registry.register(4.0, host("a"), 9, 5.0)
    assert states(registry) == {"a": "up"}


def test_repeated_registration_renews_the_lease_without_a_change():
    registry = Registry("e", 1)
    for now in (0.0, 4.0, 8.0):
        registry.register(now, host("a"), 1, 5.0)
    assert registry.version == 2 and registry.entries["a"].deadline == 13.0


def test_requested_drain_is_not_undone_by_a_renewal():
    registry = Registry("e", 1)
    registry.register(0.0, host("a"), 1, 100.0)
    registry.drain(1.0, "a", 1)
    registry.renew(2.0, "a", 1)
    assert states(registry) == {"a": "draining"}
    tick_until_idle(registry, 1.5 + core.DRAIN_DURATION_S)
    assert states(registry) == {}


def test_hosts_of_the_file_do_not_expire_and_drain_when_the_file_omits_them():
    registry = Registry("e", 1)
    registry.load(0.0, [host("a"), host("b", state="draining"), host("c")])
    tick_until_idle(registry, 1e6)
    assert states(registry) == {"a": "up", "b": "draining", "c": "up"}
    version = registry.version
    registry.load(1e6, [host("a"), host("b", state="draining"), host("c")])
    assert registry.version == version  # the file is unchanged
    registry.load(1e6, [host("a")])
    assert states(registry) == {"a": "up", "b": "draining", "c": "draining"}
    tick_until_idle(registry, 1e6 + core.DRAIN_DURATION_S + 0.5)
    assert states(registry) == {"a": "up"}
    with pytest.raises(RegistrationConflictError):
        registry.register(1e6 + 20, host("a"), 1, 5.0)


def test_self_preservation_keeps_most_hosts_when_many_leases_expire_together():
    registry = Registry("e", 1)
    for n in range(100):
        registry.register(0.0, host(f"h{n}"), 1, 5.0)
    tick_until_idle(registry, 6.0)
    assert len(registry.preserved_hosts) == 70 and sum(s == "up" for s in states(registry).values()) == 70
    for n in range(100):
        if f"h{n}" in registry.preserved_hosts or n % 2:
            registry.renew(7.0, f"h{n}", 1)
    tick_until_idle(registry, 8.0)
    assert not registry.preserved_hosts  # all of them have renewed their leases
    up_counts = []
    for window in range(1, 30):  # without renewals all hosts expire within some windows
        for step in range(10):
            tick_until_idle(registry, 7.0 + (window + step / 10) * core.SELF_PRESERVATION_WINDOW_S)
        up_counts.append(sum(s == "up" for s in states(registry).values()))
    assert (
        all(a - b <= 30 for a, b in zip(up_counts, up_counts[1:], strict=False))
        and up_counts[0] > 0
        and up_counts[-1] == 0
    )
    assert states(registry) == {} and not registry.preserved_hosts


def test_one_change_wakes_four_hundred_watches_of_a_thousand_hosts():
    registry = Registry("e", 1)
    registry.load(0.0, [host(f"h{n}") for n in range(1000)])
    tick_until_idle(registry, 1.0)
    for n in range(400):
        assert registry.watch(1.0, n, registry.version, 60.0, "e") is None
    registry.register(2.0, host("new"), 1, 30.0)
    answers = tick_until_idle(registry, 2.1)
    assert len(answers) == 400 and {a.hosts for a in answers} == {(host("new"),)}


class NonIterableEntries(dict):
    """A dict of entries that allows lookups by id but no iteration."""

    def fail_on_iteration(self):
        raise AssertionError("iterated over all entries")

    __iter__ = keys = values = items = fail_on_iteration


def test_changes_renewals_and_expiries_do_not_iterate_over_all_hosts():
    registry = Registry("e", 1)
    registry.entries = NonIterableEntries()
    for n in range(200):
        registry.register(0.0, host(f"h{n}"), 1, 5.0 if n < 10 else 500.0)
    for n in range(5):
        assert registry.watch(1.0, n, registry.version, 60.0, "e") is None
    registry.renew(2.0, "h0", 1)
    registry.drain(2.0, "h100", 1)
    assert [len(answer.hosts) for answer in tick_until_idle(registry, 2.1)] == [1] * 5
    tick_until_idle(registry, 6.0)
    assert {h.id: h.state for h in registry.changes_since(registry.version - 9)} == {
        f"h{n}": "draining" for n in range(1, 10)
    }
    tick_until_idle(registry, 20.0)
    assert not registry.preserved_hosts and registry.registered_up_count == 189


def test_changes_are_answered_in_list_order():
    registry = Registry("e", 1)
    registry.load(0.0, [host("a"), host("b"), host("c")])
    for name in "cab":
        registry.load(1.0, [host(n, weight=2.0) if n <= name else host(n) for n in "abc"])
    assert [h.id for h in registry.changes_since(1)] == ["a", "b", "c"]


def test_mass_expiry_is_spread_over_several_ticks(monkeypatch):
    monkeypatch.setattr(core, "MAX_EXPIRIES_PER_CHECK", 10)
    registry = Registry("e", 1)
    for n in range(100):
        registry.register(0.0, host(f"h{n}"), 1, 5.0)
    for now in (
        6.0,
        6.0 + core.DRAIN_DURATION_S,
        7.0 + core.SELF_PRESERVATION_WINDOW_S,
        8.0 + core.SELF_PRESERVATION_WINDOW_S + core.DRAIN_DURATION_S,
    ):
        changes = []
        while registry.due() <= now:
            version = registry.version
            registry.tick(now)
            changes.append(registry.version - version)
        assert max(changes) <= 10 and sum(changes) >= 20
    # 30 % of the remaining hosts expire in each window.
    assert len(registry.preserved_hosts) == 49 and len(states(registry)) == 49


def test_repeated_registrations_leave_no_state():
    registry = Registry("e", 1)
    for n in range(1000):
        registry.register(float(n), host("a"), n, 3600.0)
        registry.renew(n + 0.5, "a", n)
    assert len(registry.deadlines) <= 2 * len(registry.entries) + 16 and len(registry.change_order) == 1


# Seeded runs: a watcher that applies its answers has the list, even if answers are lost or delayed


class Watcher:
    """Applies answers as a gateway does: changes are merged, a complete list replaces the old one."""

    def __init__(self):
        self.index, self.epoch, self.hosts_by_id, self.pending = None, None, {}, None

    def take(self, answer, epoch):
        if epoch == self.epoch and self.index is not None:
            assert answer.version >= self.index, "a version decreased within an epoch"
        if answer.index is None:
            self.hosts_by_id = {}
        else:
            assert epoch == self.epoch and answer.index == self.index, (
                "changes since a version that the watcher does not have"
            )
        for entry in answer.hosts:
            if entry.state == "removed":
                self.hosts_by_id.pop(entry.id, None)
            else:
                self.hosts_by_id[entry.id] = entry
        self.index, self.epoch, self.pending = answer.version, epoch, None


def run_random_operations(seed, monkeypatch, steps=400):
    monkeypatch.setattr(core, "TOMBSTONE_LIFETIME_S", 8.0)
    monkeypatch.setattr(core, "MAX_TOMBSTONES", 6)
    rng = random.Random(seed)
    run_number, now, first_version = 1, 0.0, 1
    knows_epochs = rng.random() < 0.5  # watchers without epochs rely on versions that start higher
    registry, watchers = Registry("e1", first_version), [Watcher() for _ in range(5)]
    incarnations = {f"h{n}": 1 for n in range(12)}
    for _ in range(steps):
        now += rng.choice([0.0, 0.01, 0.3, 2.0])
        name = rng.choice(list(incarnations))
        operation = rng.choice(["register"] * 4 + ["renew"] * 6 + ["drain", "deregister", "load", "late"])
        incarnation = incarnations[name]
        version_before = registry.version
        try:
            if operation == "register":
                incarnations[name] += rng.random() < 0.3
                registry.register(now, host(name, weight=rng.choice([1.0, 2.0])), incarnations[name], 6.0)
            elif operation == "renew":
                registry.renew(now, name, incarnation)
            elif operation == "drain":
                registry.drain(now, name, incarnation)
            elif operation == "deregister":
                registry.deregister(now, name, incarnation)
            elif operation == "late" and incarnation > 1:  # a delayed request of an older incarnation
                states_before = dict(states(registry))
                with pytest.raises(RegistrationConflictError):
                    rng.choice([registry.renew, registry.drain, registry.deregister])(
                        now, name, incarnation - 1
                    )
                assert states(registry) == states_before
            elif operation == "load":
                registry.load(now, [host(f"f{n}") for n in range(rng.randint(0, 4))])
        except RegistrationConflictError:
            assert registry.version == version_before
        assert registry.version >= version_before
        if rng.random() < 0.02:  # the service restarts with an empty list
            run_number, first_version = (
                run_number + 1,
                rng.choice([1, registry.version + 1]) if knows_epochs else registry.version + 1000,
            )
            registry = Registry(f"e{run_number}", first_version)
            for watcher in watchers:
                watcher.pending = None
        for answer in tick_until_idle(registry, now):
            if rng.random() < 0.8:  # else the answer is lost, and the watcher repeats its request
                answer.key.take(answer, registry.epoch)
            answer.key.pending = None
        for watcher in watchers:
            if watcher.pending is None and rng.random() < 0.7:
                watcher.pending = registry
                if watcher.index is None:
                    watcher.take(registry.answer(watcher, None), registry.epoch)
                elif (
                    answer := registry.watch(
                        now,
                        watcher,
                        watcher.index,
                        rng.choice([0.0, 5.0, 60.0]),
                        watcher.epoch if knows_epochs else None,
                    )
                ) is not None:
                    watcher.take(answer, registry.epoch)
            elif watcher.pending is not None and rng.random() < 0.05:  # the watcher reconnects
                registry.cancel_watch(watcher)
                watcher.pending = None
        for watcher in watchers:
            assert (watcher in registry.watches) == (watcher.pending is not None)
    now += core.BATCH_DELAY_S + 0.01
    for watcher in watchers:
        registry.cancel_watch(watcher)
        watcher.take(
            registry.answer(watcher, None)
            if watcher.index is None
            else registry.watch(now, watcher, watcher.index, 0.0, watcher.epoch if knows_epochs else None),
            registry.epoch,
        )
        assert {n: e.state for n, e in watcher.hosts_by_id.items()} == states(registry)
    overdue = [
        e for e in registry.entries.values() if e.ttl_s and e.host.state == "up" and e.deadline < now - 1
    ]
    assert {e.host.id for e in overdue} <= registry.preserved_hosts


@pytest.mark.parametrize("seed", range(40))
def test_watcher_that_applies_its_answers_has_the_list(seed, monkeypatch):
    run_random_operations(seed, monkeypatch)


def planted_base(monkeypatch):
    monkeypatch.setattr(
        Registry,
        "changes_since",
        lambda self, index: tuple(e.host for e in self.entries.values() if e.changed_at_version > index),
    )


def planted_forgotten_at_once(monkeypatch):
    remove = Registry.remove

    def remove_without_tombstone(self, now, entry):
        remove(self, now, entry)
        self.entries.pop(entry.host.id, None)
        self.tombstones.pop(entry.host.id, None)

    monkeypatch.setattr(Registry, "remove", remove_without_tombstone)


def planted_no_incarnation(monkeypatch):
    monkeypatch.setattr(Registry, "find_registered", lambda self, name, incarnation: self.entries[name])


@pytest.mark.parametrize("bug", [planted_base, planted_forgotten_at_once, planted_no_incarnation])
def test_a_planted_bug_is_caught(bug, monkeypatch):
    bug(monkeypatch)
    caught_count = 0
    for seed in range(10):
        try:
            run_random_operations(seed, monkeypatch)
        except (AssertionError, KeyError, pytest.fail.Exception):
            caught_count += 1
    assert caught_count >= 3
