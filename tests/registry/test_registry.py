"""The core of the list service: versions, changes, watches, registrations that lapse."""

import random

import pytest

from api_gateway.registry import core
from api_gateway.registry.core import Host, RegistrationConflictError, Registry


def host(name, **kw):
    return Host(name, f"10.0.0.{len(name)}:6379", **kw)


def states(registry):
    return {e.host.id: e.host.state for e in registry.entries.values() if e.host.state != "removed"}


def settle(registry, now):
    """Ticks until nothing more is due at `now`."""
    told = []
    while registry.due() <= now:
        told += registry.tick(now)
    return told


def test_versions_grow_and_a_watch_gets_what_changed_since():
    r = Registry("e1", 10)
    r.load(0.0, [host("a"), host("b")])
    assert r.version == 12 and {h.id for h in r.answer("k", None).hosts} == {"a", "b"}
    assert r.watch(0.0, "k", 12, 5.0, None) is None
    r.load(1.0, [host("a"), host("b", state="draining"), host("c")])
    told = settle(r, 1.0 + core.BATCH_DELAY_S)
    assert [(a.key, a.index, a.version) for a in told] == [("k", 12, 14)]
    assert {(h.id, h.state) for h in told[0].hosts} == {("b", "draining"), ("c", "up")}
    assert not r.watches and not r.watch_deadlines


def test_many_changes_wake_a_watch_once():
    r = Registry("e", 1)
    r.watch(0.0, "k", 1, 60.0, None)
    told = []
    for n in range(50):
        r.register(0.001 * n, host(f"h{n}"), 1, 10.0)
        told += settle(r, 0.001 * n)
    told += settle(r, 0.2)
    assert len(told) == 1 and len(told[0].hosts) == 50


@pytest.mark.parametrize(
    "index, epoch, whole",
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
def test_an_index_too_old_from_the_future_or_of_another_epoch_gets_the_whole_list(index, epoch, whole):
    r = Registry("e", 100)
    r.load(0.0, [host("a")])
    answer = r.watch(0.0, "k", index, 0.0, epoch)
    assert (answer.index is None) == whole and answer.version == 101
    assert [h.id for h in answer.hosts] == (["a"] if whole or index == 100 else [])


def test_the_log_is_bounded(monkeypatch):
    monkeypatch.setattr(core, "MAX_TOMBSTONES", 10)
    r = Registry("e", 1)
    for n in range(30):
        r.register(0.0, host("a", weight=1.0 + n), 1, 10.0)
    assert len(r.changes_since(1)) == 1  # once, however often it changed
    for n in range(30):
        r.register(0.0, host(f"h{n}"), 1, 10.0)
        r.deregister(0.0, f"h{n}", 1)
    assert (
        len(r.entries) == 11
        and r.changes_since(r.version - 20) is not None
        and r.changes_since(r.version - 21) is None
    )


def test_a_wait_ends_with_no_change_and_is_capped():
    r = Registry("e", 1)
    assert r.watch(0.0, "k", 1, 1e9, None) is None
    assert not settle(r, core.MAX_WAIT_S - 0.01)
    told = settle(r, core.MAX_WAIT_S)
    assert [(a.key, a.index, a.version, a.hosts) for a in told] == [("k", 1, 1, ())]


def test_a_watcher_that_vanishes_leaves_nothing_behind():
    r = Registry("e", 1)
    for n in range(5000):
        r.watch(0.0, n, 1, 50.0, None)
        r.cancel_watch(n)
    assert not r.watches and len(r.watch_deadlines) <= 16


def test_a_host_that_lapses_drains_before_it_is_removed_and_a_renewal_brings_it_back():
    r = Registry("e", 1)
    r.register(0.0, host("a"), 7, 5.0)
    r.renew(4.0, "a", 7)
    settle(r, 8.9)
    assert states(r) == {"a": "up"}
    settle(r, 9.3)
    assert states(r) == {"a": "draining"}
    r.renew(10.0, "a", 7)
    assert states(r) == {"a": "up"}
    settle(r, 15.3)
    settle(r, 15.3 + core.DRAIN_DURATION_S + 0.3)
    assert states(r) == {} and [h.state for h in r.changes_since(1)] == ["removed"]
    with pytest.raises(RegistrationConflictError):
        r.renew(30.0, "a", 7)
    settle(r, 15.9 + core.DRAIN_DURATION_S + core.TOMBSTONE_LIFETIME_S)
    assert not r.entries and r.changes_since(1) is None  # it is not known any longer what went


def test_the_word_of_an_older_life_changes_nothing():
    r = Registry("e", 1)
    r.register(0.0, host("a"), 7, 5.0)
    r.register(1.0, host("a", started_ms=9), 8, 5.0)
    for act in (
        lambda: r.renew(2.0, "a", 7),
        lambda: r.drain(2.0, "a", 7),
        lambda: r.deregister(2.0, "a", 7),
        lambda: r.register(2.0, host("a"), 7, 5.0),
        lambda: r.renew(2.0, "b", 7),
    ):
        version = r.version
        with pytest.raises(RegistrationConflictError):
            act()
        assert r.version == version and states(r) == {"a": "up"}
    r.deregister(3.0, "a", 8)
    with pytest.raises(RegistrationConflictError):
        r.register(4.0, host("a"), 7, 5.0)  # late, from before the life that has ended
    r.register(4.0, host("a"), 9, 5.0)
    assert states(r) == {"a": "up"}


def test_a_repeat_of_a_registration_is_a_renewal_and_no_change():
    r = Registry("e", 1)
    for now in (0.0, 4.0, 8.0):
        r.register(now, host("a"), 1, 5.0)
    assert r.version == 2 and r.entries["a"].deadline == 13.0


def test_a_drain_by_its_own_word_is_not_undone_by_a_renewal():
    r = Registry("e", 1)
    r.register(0.0, host("a"), 1, 100.0)
    r.drain(1.0, "a", 1)
    r.renew(2.0, "a", 1)
    assert states(r) == {"a": "draining"}
    settle(r, 1.5 + core.DRAIN_DURATION_S)
    assert states(r) == {}


def test_hosts_of_the_file_do_not_lapse_and_drain_when_the_file_drops_them():
    r = Registry("e", 1)
    r.load(0.0, [host("a"), host("b", state="draining"), host("c")])
    settle(r, 1e6)
    assert states(r) == {"a": "up", "b": "draining", "c": "up"}
    version = r.version
    r.load(1e6, [host("a"), host("b", state="draining"), host("c")])
    assert r.version == version  # nothing new in it
    r.load(1e6, [host("a")])
    assert states(r) == {"a": "up", "b": "draining", "c": "draining"}
    settle(r, 1e6 + core.DRAIN_DURATION_S + 0.5)
    assert states(r) == {"a": "up"}
    with pytest.raises(RegistrationConflictError):
        r.register(1e6 + 20, host("a"), 1, 5.0)


def test_when_many_lapse_together_a_part_goes_and_the_rest_stay_listed():
    r = Registry("e", 1)
    for n in range(100):
        r.register(0.0, host(f"h{n}"), 1, 5.0)
    settle(r, 6.0)
    assert len(r.preserved_hosts) == 70 and sum(s == "up" for s in states(r).values()) == 70
    for n in range(100):
        if f"h{n}" in r.preserved_hosts or n % 2:
            r.renew(7.0, f"h{n}", 1)
    settle(r, 8.0)
    assert not r.preserved_hosts  # they were there all the time
    left = []
    for span in range(1, 30):  # and now nobody comes back: in some spans all are gone
        for step in range(10):
            settle(r, 7.0 + (span + step / 10) * core.SELF_PRESERVATION_WINDOW_S)
        left.append(sum(s == "up" for s in states(r).values()))
    assert all(a - b <= 30 for a, b in zip(left, left[1:], strict=False)) and left[0] > 0 and left[-1] == 0
    assert states(r) == {} and not r.preserved_hosts


def test_a_thousand_hosts_and_four_hundred_watches_at_one_change():
    r = Registry("e", 1)
    r.load(0.0, [host(f"h{n}") for n in range(1000)])
    settle(r, 1.0)
    for n in range(400):
        assert r.watch(1.0, n, r.version, 60.0, "e") is None
    r.register(2.0, host("new"), 1, 30.0)
    told = settle(r, 2.1)
    assert len(told) == 400 and {a.hosts for a in told} == {(host("new"),)}


class NoWalk(dict):
    """Entries that are found by id only."""

    def walked(self):
        raise AssertionError("all entries are walked over")

    __iter__ = keys = values = items = walked


def test_changes_renewals_lapses_and_their_answers_walk_over_no_list_of_all_hosts():
    r = Registry("e", 1)
    r.entries = NoWalk()
    for n in range(200):
        r.register(0.0, host(f"h{n}"), 1, 5.0 if n < 10 else 500.0)
    for n in range(5):
        assert r.watch(1.0, n, r.version, 60.0, "e") is None
    r.renew(2.0, "h0", 1)
    r.drain(2.0, "h100", 1)
    assert [len(answer.hosts) for answer in settle(r, 2.1)] == [1] * 5
    settle(r, 6.0)
    assert {h.id: h.state for h in r.changes_since(r.version - 9)} == {
        f"h{n}": "draining" for n in range(1, 10)
    }
    settle(r, 20.0)
    assert not r.preserved_hosts and r.registered_up_count == 189


def test_changes_are_told_in_the_order_of_the_list():
    r = Registry("e", 1)
    r.load(0.0, [host("a"), host("b"), host("c")])
    for name in "cab":
        r.load(1.0, [host(n, weight=2.0) if n <= name else host(n) for n in "abc"])
    assert [h.id for h in r.changes_since(1)] == ["a", "b", "c"]


def test_when_many_lapse_together_no_tick_deals_with_all_of_them(monkeypatch):
    monkeypatch.setattr(core, "MAX_EXPIRIES_PER_CHECK", 10)
    r = Registry("e", 1)
    for n in range(100):
        r.register(0.0, host(f"h{n}"), 1, 5.0)
    for now in (
        6.0,
        6.0 + core.DRAIN_DURATION_S,
        7.0 + core.SELF_PRESERVATION_WINDOW_S,
        8.0 + core.SELF_PRESERVATION_WINDOW_S + core.DRAIN_DURATION_S,
    ):
        changes = []
        while r.due() <= now:
            version = r.version
            r.tick(now)
            changes.append(r.version - version)
        assert max(changes) <= 10 and sum(changes) >= 20
    assert (
        len(r.preserved_hosts) == 49 and len(states(r)) == 49
    )  # three tenths of those that were left, each time


def test_hosts_that_register_anew_leave_nothing_behind():
    r = Registry("e", 1)
    for n in range(1000):
        r.register(float(n), host("a"), n, 3600.0)
        r.renew(n + 0.5, "a", n)
    assert len(r.deadlines) <= 2 * len(r.entries) + 16 and len(r.change_order) == 1


# Seeded runs: what a watcher puts together from its answers is the list, whatever is lost or late


class Watcher:
    """As the gateway does it: changes are added to what it has, the whole list replaces that."""

    def __init__(self):
        self.index, self.epoch, self.list, self.asked = None, None, {}, None

    def take(self, answer, epoch):
        if epoch == self.epoch and self.index is not None:
            assert answer.version >= self.index, "a version went back within an epoch"
        if answer.index is None:
            self.list = {}
        else:
            assert epoch == self.epoch and answer.index == self.index, "changes since another version"
        for entry in answer.hosts:
            if entry.state == "removed":
                self.list.pop(entry.id, None)
            else:
                self.list[entry.id] = entry
        self.index, self.epoch, self.asked = answer.version, epoch, None


def play(seed, monkeypatch, steps=400):
    monkeypatch.setattr(core, "TOMBSTONE_LIFETIME_S", 8.0)
    monkeypatch.setattr(core, "MAX_TOMBSTONES", 6)
    rng = random.Random(seed)
    life, now, first = 1, 0.0, 1
    aware = rng.random() < 0.5  # of epochs; watchers that are not rely on versions that start higher
    r, watchers = Registry("e1", first), [Watcher() for _ in range(5)]
    incarnations = {f"h{n}": 1 for n in range(12)}
    for _ in range(steps):
        now += rng.choice([0.0, 0.01, 0.3, 2.0])
        name = rng.choice(list(incarnations))
        op = rng.choice(["register"] * 4 + ["renew"] * 6 + ["drain", "deregister", "load", "late"])
        incarnation = incarnations[name]
        before = r.version
        try:
            if op == "register":
                incarnations[name] += rng.random() < 0.3
                r.register(now, host(name, weight=rng.choice([1.0, 2.0])), incarnations[name], 6.0)
            elif op == "renew":
                r.renew(now, name, incarnation)
            elif op == "drain":
                r.drain(now, name, incarnation)
            elif op == "deregister":
                r.deregister(now, name, incarnation)
            elif op == "late" and incarnation > 1:  # a word of an older life
                kept = dict(states(r))
                with pytest.raises(RegistrationConflictError):
                    rng.choice([r.renew, r.drain, r.deregister])(now, name, incarnation - 1)
                assert states(r) == kept
            elif op == "load":
                r.load(now, [host(f"f{n}") for n in range(rng.randint(0, 4))])
        except RegistrationConflictError:
            assert r.version == before
        assert r.version >= before
        if rng.random() < 0.02:  # the service starts again, empty
            life, first = life + 1, rng.choice([1, r.version + 1]) if aware else r.version + 1000
            r = Registry(f"e{life}", first)
            for w in watchers:
                w.asked = None
        for answer in settle(r, now):
            if rng.random() < 0.8:  # else it is lost on its way: the watcher asks again from where it was
                answer.key.take(answer, r.epoch)
            answer.key.asked = None
        for w in watchers:
            if w.asked is None and rng.random() < 0.7:
                w.asked = r
                if w.index is None:
                    w.take(r.answer(w, None), r.epoch)
                elif (
                    answer := r.watch(
                        now, w, w.index, rng.choice([0.0, 5.0, 60.0]), w.epoch if aware else None
                    )
                ) is not None:
                    w.take(answer, r.epoch)
            elif w.asked is not None and rng.random() < 0.05:  # it vanishes and comes back
                r.cancel_watch(w)
                w.asked = None
        for w in watchers:
            assert (w in r.watches) == (w.asked is not None)
    now += core.BATCH_DELAY_S + 0.01
    for w in watchers:
        r.cancel_watch(w)
        w.take(
            r.answer(w, None)
            if w.index is None
            else r.watch(now, w, w.index, 0.0, w.epoch if aware else None),
            r.epoch,
        )
        assert {n: e.state for n, e in w.list.items()} == states(r)
    ups = [e for e in r.entries.values() if e.ttl_s and e.host.state == "up" and e.deadline < now - 1]
    assert {e.host.id for e in ups} <= r.preserved_hosts


@pytest.mark.parametrize("seed", range(40))
def test_what_a_watcher_puts_together_is_the_list(seed, monkeypatch):
    play(seed, monkeypatch)


def planted_base(monkeypatch):
    monkeypatch.setattr(
        Registry,
        "changes_since",
        lambda self, index: tuple(e.host for e in self.entries.values() if e.changed_at_version > index),
    )


def planted_forgotten_at_once(monkeypatch):
    remove = Registry.remove

    def gone(self, now, entry):
        remove(self, now, entry)
        self.entries.pop(entry.host.id, None)
        self.tombstones.pop(entry.host.id, None)

    monkeypatch.setattr(Registry, "remove", gone)


def planted_no_incarnation(monkeypatch):
    monkeypatch.setattr(Registry, "find_registered", lambda self, name, incarnation: self.entries[name])


@pytest.mark.parametrize("bug", [planted_base, planted_forgotten_at_once, planted_no_incarnation])
def test_a_planted_bug_is_caught(bug, monkeypatch):
    bug(monkeypatch)
    caught = 0
    for seed in range(10):
        try:
            play(seed, monkeypatch)
        except (AssertionError, KeyError, pytest.fail.Exception):
            caught += 1
    assert caught >= 3
