"""The failure detector's core in seeded runs without sockets: loss, delay, copies, pauses, splits, deaths."""

import random

import pytest

from api_gateway.experiments.membership.__main__ import Case, cost, detection, falsely, healing, load, pausing
from api_gateway.experiments.membership.referee import Referee
from api_gateway.experiments.membership.world import Cluster, play
from api_gateway.membership import failure_detector, gossip, member_table
from api_gateway.membership.failure_detector import FailureDetector
from api_gateway.membership.local_health import LocalHealth
from api_gateway.membership.messages import ALIVE, DEAD, LEFT, SUSPECT
from api_gateway.membership.rumour_queue import RumourQueue
from api_gateway.membership.state_merge import StateMerger
from api_gateway.membership.swim import Swim


def settled(size, seed, loss=0.0):
    c = Cluster(size, seed, loss)
    c.settle(60)
    return c


def watched(c, seconds, but=()):
    """Of whom it was ever said in that time that it is dead, while it lived."""
    seen = set()
    c.run(seconds, lambda: seen.update(of for _, of in c.dead() if of not in but))
    return seen


@pytest.mark.parametrize("size", [1, 2, 3, 30])
def test_a_cluster_comes_together_through_its_seeds(size):
    c = settled(size, 1)
    c.run(60)
    assert c.agreed() and not c.dead() and not c.referee.breaches
    if size > 1:  # each has been passed on often enough
        assert not any(len(m.pending_rumours) for m in c.members.values())


@pytest.mark.parametrize("seed", range(4))
def test_a_death_is_found_by_all_within_a_bound_and_a_new_life_is_taken(seed):
    c = settled(20, seed)
    gone = c.kill("m7")
    c.settle(25)
    c.start("m7", 7, gone.me.incarnation)  # it does not know that it was held dead
    c.settle(25)
    assert c.named("m7").me.incarnation > gone.me.incarnation


def test_who_leaves_is_gone_at_once_and_is_not_suspected():
    c = settled(12, 3)
    member = c.named("m4")
    c.dispatch(member, member.leave(c.now))
    c.kill("m4")
    c.run(6.0)
    assert all("m4" not in m.view() and m.members["m4"].state == LEFT for m in c.members.values())


@pytest.mark.parametrize("loss, most", [(0.0, 0), (0.2, 0), (0.3, 0)])
def test_false_deaths_at_loss(loss, most):
    """Counted over 20 members, 2 seeds and 2 minutes: how many that live are held dead by another."""
    assert sum(falsely(Case(20, loss, 10 + seed, 120.0))[0] for seed in range(2)) <= most


def test_a_death_is_known_to_all_within_seconds():
    lasts = sorted(detection(Case(40, 0.0, 100 + seed, 0.0))[-1] for seed in range(7))
    assert lasts[3] < 4.0 and lasts[-1] < 7.0, lasts


@pytest.mark.parametrize("size, seconds, most", [(40, 10, 10), (24, 60, 15), (16, 420, 60), (10, 3600, 60)])
def test_a_split_of_any_length_heals_and_takes_no_neighbour_along(size, seconds, most):
    took, held = healing(Case(size, 0.0, seconds, float(seconds)))
    assert took < most and not held


def test_pauses_of_a_third_and_of_all_in_turn_take_nobody_along():
    for seconds in (1.0, 3.0, 10.0):
        assert pausing(Case(12, 0.0, 5, seconds))[:2] == (0, 0)


def test_a_split_in_three_is_seen_as_such_and_heals():
    c = settled(15, 2)
    sides = [c.names(n, None, 3) for n in range(3)]
    c.split(*sides)
    c.run(60)
    for side in sides:
        assert all(c.named(name).view().keys() <= set(side) for name in side)
    c.heal()
    c.settle(60)


def test_one_way_cuts_rings_and_flapping_links_kill_nobody_that_others_reach():
    c = settled(16, 7)
    c.cut({("m3", "m5"), ("m3", "m6")})  # m3 is not heard by two
    seen = watched(c, 90)
    c.heal()
    c.cut((f"m{n}", f"m{(n + 1) % 16}") for n in range(16))
    seen |= watched(c, 40)
    for _ in range(15):
        c.heal()
        seen |= watched(c, 1.0)
        c.cut(("m1", f"m{n}") for n in range(16))
        seen |= watched(c, 1.0)
    assert not seen


@pytest.mark.parametrize("seed", range(3))
def test_a_member_that_hears_nothing_makes_no_one_hold_another_dead(seed):
    c = settled(24, seed)
    c.cut((f"m{n}", "m3") for n in range(24))
    assert not watched(c, 20, ("m3",)) and c.named("m3").size() == 24  # it doubts itself
    assert list(c.named("m3").view().values()).count(SUSPECT) < 8  # from before it knew


def test_a_member_that_is_slow_for_minutes_holds_nobody_dead_and_is_taken_back():
    c = settled(16, 4)
    for every in (0.5, 2.0):
        c.slows("m5", every)
        assert not watched(c, 150, ("m5",))
    c.slows("m5", 0.0)
    c.settle(30)


def test_a_paused_member_does_not_give_its_suspects_its_sleep_once_more():
    """What waited is heard before its timer: a suspicion of just then must not last as long as the sleep."""
    c = settled(10, 1)
    c.pause("m4")
    c.run(100)
    c.kill("m7")
    c.run(20)
    c.resume("m4")
    c.settle(25)


def test_one_address_under_another_name_is_not_the_one_before():
    c = settled(8, 3)
    c.kill("m5")
    c.start("other", 5, 1)
    c.settle(30)  # the other answers there, and not for m5


def test_a_mass_restart_of_seven_in_ten():
    c = settled(30, 5)
    lives = {n: c.kill(f"m{n}").me.incarnation for n in range(30) if n % 10 < 7}
    c.run(1.0)
    for n, incarnation in lives.items():
        c.start(f"m{n}", n, incarnation + 1)
    c.settle(60)


def test_many_join_at_once_through_seeds_of_which_most_are_dead():
    c = Cluster(0, 1)
    for n in range(120):
        c.start(f"m{n}", n, 1, [("10.0.0.0", 7000), ("10.9.9.1", 7000), ("10.9.9.2", 7000)])
    c.settle(90)
    assert not c.referee.breaches


def test_of_two_the_one_that_is_left_finds_out():
    c = settled(2, 1)
    c.kill("m1")
    c.settle(90)


def test_a_name_that_is_used_twice_is_counted_and_the_cluster_stays_whole():
    c = settled(8, 2)
    c.start("m3", 99, 1)
    c.run(20)
    assert sum(m.counts["clashes"] for m in c.members.values() if m.name == "m3") > 0
    assert all("m3" in m.view() for m in c.members.values())


def test_a_restart_on_a_clock_that_was_set_back_is_told_as_it_is_now():
    c = settled(6, 2)
    old = c.kill("m4")
    new = c.start("m4", 4, max(0, old.me.incarnation - 1))
    new.me.metadata = {"kind": "other"}
    c.run(20)
    assert new.me.incarnation > old.me.incarnation
    assert all(m.members["m4"].metadata == {"kind": "other"} for m in c.members.values())


def test_what_is_told_of_a_member_that_is_reached_through_others_only():
    c = settled(6, 3)
    c.cut({("m1", "m2"), ("m2", "m1")})
    c.run(20)
    assert (
        c.named("m1").members["m2"].is_reached_indirectly
        and not c.named("m1").members["m3"].is_reached_indirectly
    )
    version = c.named("m3").version
    c.kill("m5")
    c.run(10)
    assert c.named("m3").version > version


def test_suspicion_is_seen_and_refuted():
    c = settled(10, 6)
    c.pause("m5")
    seen = set()
    c.run(3.0, lambda: seen.update(m.members["m5"].state for m in c.members.values()))
    c.resume("m5")
    c.run(6.0)
    assert SUSPECT in seen and all(m.members["m5"].state == ALIVE for m in c.members.values())


# Datagrams


def test_datagrams_that_are_no_good_change_nothing():
    c = settled(4, 1)
    member, other = c.named("m0"), Cluster(2, 2, name="other").named("m1")
    good = [s.data for s in c.named("m1").leave(c.now)][0]
    before = {n: (m.state, m.incarnation) for n, m in member.members.items()}
    bad = [
        b"",
        b"{",
        b"[]",
        b"null",
        b"\xff\xfe",
        good[:-7],
        b"[" * 5000,
        *[s.data for s in other.leave(0.0)],
        other.tick(9.0)[0].data,
        good.replace(b'"r":[[', b'"r":[["x","h",0,1,0,{}],['),
        good.replace(b'"leave"', b'"x"')[:-1],
        good.replace(b'"k":"more"', b'"k":"else"'),
        b'{"c":"c","k":"ping"}',
    ]
    for data in bad:
        assert member.receive(c.now, ("10.9.9.9", 1), data) == []
    assert {n: (m.state, m.incarnation) for n, m in member.members.items()} == before
    assert member.counts["foreign"] == len(bad)


def test_a_replayed_datagram_does_not_bring_back_what_is_dead():
    c = settled(6, 4)
    old = c.named("m2").tick(c.now + 10)[0].data  # says that m2 lives
    c.kill("m2")
    c.settle(25)
    member = c.named("m0")
    member.receive(c.now, ("10.0.0.2", 7000), old)
    assert member.members["m2"].state == DEAD


def test_a_flood_of_joins_is_bounded(monkeypatch):
    monkeypatch.setattr(member_table, "MAX_MEMBERS", 50)
    c = settled(3, 1)
    member = c.named("m0")
    for n in range(500):
        stranger = Swim("c", f"x{n}", ("10.7.0.1", 1 + n), 1, [("10.0.0.0", 7000)], random.Random(n), c.now)
        for send in stranger.tick(c.now):
            member.receive(c.now, stranger.address, send.data)
    assert len(member.members) <= 50


def test_load_and_cost_of_a_member_do_not_grow_with_the_cluster():
    (few, _), (many, _) = load(Case(10, 0.0, 1, 30.0)), load(Case(60, 0.0, 1, 30.0))
    assert many < 1.3 * few and many <= 3.0
    small, large = cost(100), cost(2000)  # a period, a datagram, and an exchange, which goes by slices
    assert large[0] < 4 * small[0] and large[1] < 4 * small[1] and large[2] < 8 * small[2]


# Storms of drawn faults, and faults of the core that must be caught


@pytest.mark.parametrize("seed", range(24))
def test_what_must_hold_holds_through_a_storm_and_one_view_comes_after_it(seed):
    assert not play(seed).referee.breaches


def no_refutation(monkeypatch):
    monkeypatch.setattr(StateMerger, "refute", lambda self, update: None)


def old_words_count(monkeypatch):
    def apply(self, now, update, *, is_full_state):
        if update.name in self._table.members and update.name != self._table.me.name:
            self._table.members[update.name].incarnation = update.incarnation
        plain(self, now, update, is_full_state=is_full_state)

    plain = StateMerger.apply
    monkeypatch.setattr(StateMerger, "apply", apply)


def dead_in_an_exchange_taken_as_it_stands(monkeypatch):
    def notify_of_death(self, member):
        now = self._health.last_datagram_at  # that of the datagram that is merged
        self._table.set_state(now, member, DEAD)

    monkeypatch.setattr(StateMerger, "notify_of_death", notify_of_death)


def no_doubt_of_oneself(monkeypatch):
    monkeypatch.setattr(LocalHealth, "is_isolated", lambda self, now, member_count: False)
    monkeypatch.setattr(FailureDetector, "has_been_paused", lambda self, now: False)


def rumours_without_bound(monkeypatch):
    monkeypatch.setattr(RumourQueue, "record_transmission", lambda self, name, max_transmissions: None)


def trusts_one_accuser(monkeypatch):
    monkeypatch.setattr(failure_detector, "SUSPICION_SPREAD", 0.3)
    monkeypatch.setattr(failure_detector, "MIN_SUSPICION_S", 0.3)


def news_without_bound(monkeypatch):
    monkeypatch.setattr(gossip, "PUSH_INTERVAL_S", 0.0)
    monkeypatch.setattr(gossip, "PUSH_TARGETS", 30)


def incarnations_that_go_back(monkeypatch):
    def refute(self, update):
        plain(self, update)
        me = self._table.me
        me.incarnation = min(me.incarnation, 3)

    plain = StateMerger.refute
    monkeypatch.setattr(StateMerger, "refute", refute)


def storms():
    for seed in range(24):
        assert not play(seed).referee.breaches


@pytest.mark.parametrize(
    "bug, test",
    [
        (no_refutation, storms),
        (news_without_bound, storms),
        (incarnations_that_go_back, storms),
        (trusts_one_accuser, lambda: test_false_deaths_at_loss(0.3, 0)),
        (old_words_count, lambda: test_a_death_is_found_by_all_within_a_bound_and_a_new_life_is_taken(1)),
        (
            dead_in_an_exchange_taken_as_it_stands,
            lambda: test_a_split_of_any_length_heals_and_takes_no_neighbour_along(24, 60, 15),
        ),
        (no_doubt_of_oneself, lambda: test_a_member_that_hears_nothing_makes_no_one_hold_another_dead(1)),
        (rumours_without_bound, lambda: test_a_cluster_comes_together_through_its_seeds(30)),
    ],
)
def test_a_planted_bug_is_caught(bug, test, monkeypatch):
    bug(monkeypatch)
    with pytest.raises((AssertionError, KeyError)):
        test()


def test_the_referee_tells_a_majority_that_holds_a_healthy_member_dead():
    c = settled(5, 1)
    c.run(30)
    referee = Referee(c)
    referee.healthy_since = dict.fromkeys(c.by_name, 0.0)
    for name in ("m0", "m1", "m2"):
        member = c.named(name)
        member.table.set_state(c.now, member.members["m4"], DEAD)
        referee.stepped(member, True)
    assert referee.counts["majority"] == 1 and len(referee.false) == 3
