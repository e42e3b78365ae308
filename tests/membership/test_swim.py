"""Seeded simulations of SWIM members without sockets.

The faults are packet loss, delay, duplicates, pauses, network partitions and deaths.
"""

import random

import pytest

from api_gateway.experiments.membership.__main__ import (
    Case,
    measure_cost,
    measure_detection,
    measure_false_deaths,
    measure_healing,
    measure_load,
    measure_pauses,
)
from api_gateway.experiments.membership.referee import Referee
from api_gateway.experiments.membership.world import Cluster, play
from api_gateway.membership import failure_detector, gossip, member_table
from api_gateway.membership.failure_detector import FailureDetector
from api_gateway.membership.local_health import LocalHealth
from api_gateway.membership.messages import ALIVE, DEAD, LEFT, SUSPECT
from api_gateway.membership.state_merge import StateMerger
from api_gateway.membership.swim import Swim
from api_gateway.membership.update_queue import UpdateQueue


def converged_cluster(size, seed, loss=0.0):
    cluster = Cluster(size, seed, loss)
    cluster.settle(60)
    return cluster


def find_false_deaths(cluster, seconds, ignored=()):
    """Return the live members that any member considered dead during the run."""
    false_deaths = set()
    cluster.run(
        seconds,
        lambda: false_deaths.update(name for _, name in cluster.false_deaths() if name not in ignored),
    )
    return false_deaths


@pytest.mark.parametrize("size", [1, 2, 3, 30])
def test_cluster_converges_through_its_seeds(size):
    cluster = converged_cluster(size, 1)
    cluster.run(60)
    assert cluster.is_converged() and not cluster.false_deaths() and not cluster.referee.breaches
    if size > 1:  # each update has been sent often enough
        assert not any(len(m.pending_updates) for m in cluster.members.values())


@pytest.mark.parametrize("seed", range(4))
def test_death_is_detected_by_all_and_restart_is_accepted(seed):
    cluster = converged_cluster(20, seed)
    killed = cluster.kill("m7")
    cluster.settle(25)
    cluster.start("m7", 7, killed.local_member.incarnation)  # it does not know that others consider it dead
    cluster.settle(25)
    assert cluster.named("m7").local_member.incarnation > killed.local_member.incarnation


def test_leaving_member_is_removed_without_suspicion():
    cluster = converged_cluster(12, 3)
    member = cluster.named("m4")
    cluster.dispatch(member, member.leave(cluster.now))
    cluster.kill("m4")
    cluster.run(6.0)
    assert all("m4" not in m.view() and m.members["m4"].state == LEFT for m in cluster.members.values())


@pytest.mark.parametrize("loss, max_false_deaths", [(0.0, 0), (0.2, 0), (0.3, 0)])
def test_no_false_deaths_under_packet_loss(loss, max_false_deaths):
    """Count the live members that any other considers dead, over 20 members, 2 seeds and 2 minutes."""
    assert (
        sum(measure_false_deaths(Case(20, loss, 10 + seed, 120.0))[0] for seed in range(2))
        <= max_false_deaths
    )


def test_death_is_known_to_all_within_seconds():
    durations = sorted(measure_detection(Case(40, 0.0, 100 + seed, 0.0))[-1] for seed in range(7))
    assert durations[3] < 4.0 and durations[-1] < 7.0, durations


@pytest.mark.parametrize(
    "size, seconds, max_duration_s", [(40, 10, 10), (24, 60, 15), (16, 420, 60), (10, 3600, 60)]
)
def test_partition_of_any_length_heals_without_false_deaths(size, seconds, max_duration_s):
    duration_s, false_death_count = measure_healing(Case(size, 0.0, seconds, float(seconds)))
    assert duration_s < max_duration_s and not false_death_count


def test_pauses_of_a_third_and_of_each_member_cause_no_false_deaths():
    for seconds in (1.0, 3.0, 10.0):
        assert measure_pauses(Case(12, 0.0, 5, seconds))[:2] == (0, 0)


def test_three_way_partition_is_detected_and_heals():
    cluster = converged_cluster(15, 2)
    sides = [cluster.names(n, None, 3) for n in range(3)]
    cluster.split(*sides)
    cluster.run(60)
    for side in sides:
        assert all(cluster.named(name).view().keys() <= set(side) for name in side)
    cluster.heal()
    cluster.settle(60)


def test_one_way_cuts_rings_and_flapping_links_cause_no_false_deaths():
    cluster = converged_cluster(16, 7)
    cluster.cut({("m3", "m5"), ("m3", "m6")})  # two members receive nothing from m3
    false_deaths = find_false_deaths(cluster, 90)
    cluster.heal()
    cluster.cut((f"m{n}", f"m{(n + 1) % 16}") for n in range(16))
    false_deaths |= find_false_deaths(cluster, 40)
    for _ in range(15):
        cluster.heal()
        false_deaths |= find_false_deaths(cluster, 1.0)
        cluster.cut(("m1", f"m{n}") for n in range(16))
        false_deaths |= find_false_deaths(cluster, 1.0)
    assert not false_deaths


@pytest.mark.parametrize("seed", range(3))
def test_member_that_receives_nothing_causes_no_false_deaths(seed):
    cluster = converged_cluster(24, seed)
    cluster.cut((f"m{n}", "m3") for n in range(24))
    # It distrusts its own observations, and its suspects are from before it noticed its isolation.
    assert not find_false_deaths(cluster, 20, ("m3",)) and cluster.named("m3").size() == 24
    assert list(cluster.named("m3").view().values()).count(SUSPECT) < 8


def test_slow_member_causes_no_false_deaths_and_recovers():
    cluster = converged_cluster(16, 4)
    for interval_s in (0.5, 2.0):
        cluster.slow_down("m5", interval_s)
        assert not find_false_deaths(cluster, 150, ("m5",))
    cluster.slow_down("m5", 0.0)
    cluster.settle(30)


def test_suspicion_that_begins_after_a_pause_is_not_prolonged_by_it():
    """Datagrams that queued up during a pause are handled before the timers.

    A suspicion that they raise must not be prolonged by the pause.
    """
    cluster = converged_cluster(10, 1)
    cluster.pause("m4")
    cluster.run(100)
    cluster.kill("m7")
    cluster.run(20)
    cluster.resume("m4")
    cluster.settle(25)


def test_new_member_at_an_address_does_not_answer_for_the_previous_one():
    cluster = converged_cluster(8, 3)
    cluster.kill("m5")
    cluster.start("other", 5, 1)
    cluster.settle(30)  # the new member answers at this address, but not for m5


def test_mass_restart_of_seven_in_ten_members():
    cluster = converged_cluster(30, 5)
    incarnations = {n: cluster.kill(f"m{n}").local_member.incarnation for n in range(30) if n % 10 < 7}
    cluster.run(1.0)
    for n, incarnation in incarnations.items():
        cluster.start(f"m{n}", n, incarnation + 1)
    cluster.settle(60)


def test_many_members_join_at_once_with_mostly_dead_seeds():
    cluster = Cluster(0, 1)
    for n in range(120):
        cluster.start(f"m{n}", n, 1, [("10.0.0.0", 7000), ("10.9.9.1", 7000), ("10.9.9.2", 7000)])
    cluster.settle(90)
    assert not cluster.referee.breaches


def test_survivor_of_two_members_detects_the_death():
    cluster = converged_cluster(2, 1)
    cluster.kill("m1")
    cluster.settle(90)


def test_duplicate_name_is_counted_and_stays_present():
    cluster = converged_cluster(8, 2)
    cluster.start("m3", 99, 1)
    cluster.run(20)
    assert sum(m.counts["clashes"] for m in cluster.members.values() if m.name == "m3") > 0
    assert all("m3" in m.view() for m in cluster.members.values())


def test_restart_after_clock_was_set_back_publishes_current_state():
    cluster = converged_cluster(6, 2)
    previous = cluster.kill("m4")
    restarted = cluster.start("m4", 4, max(0, previous.local_member.incarnation - 1))
    restarted.local_member.metadata = {"kind": "other"}
    cluster.run(20)
    assert restarted.local_member.incarnation > previous.local_member.incarnation
    assert all(m.members["m4"].metadata == {"kind": "other"} for m in cluster.members.values())


def test_indirectly_reached_member_is_marked_and_version_increases():
    cluster = converged_cluster(6, 3)
    cluster.cut({("m1", "m2"), ("m2", "m1")})
    cluster.run(20)
    assert (
        cluster.named("m1").members["m2"].is_reached_indirectly
        and not cluster.named("m1").members["m3"].is_reached_indirectly
    )
    version = cluster.named("m3").version
    cluster.kill("m5")
    cluster.run(10)
    assert cluster.named("m3").version > version


def test_suspicion_is_visible_and_refuted():
    cluster = converged_cluster(10, 6)
    cluster.pause("m5")
    states = set()
    cluster.run(3.0, lambda: states.update(m.members["m5"].state for m in cluster.members.values()))
    cluster.resume("m5")
    cluster.run(6.0)
    assert SUSPECT in states and all(m.members["m5"].state == ALIVE for m in cluster.members.values())


# Datagrams


def test_invalid_datagrams_are_ignored():
    cluster = converged_cluster(4, 1)
    member, other = cluster.named("m0"), Cluster(2, 2, name="other").named("m1")
    valid = [s.data for s in cluster.named("m1").leave(cluster.now)][0]
    before = {n: (m.state, m.incarnation) for n, m in member.members.items()}
    invalid = [
        b"",
        b"{",
        b"[]",
        b"null",
        b"\xff\xfe",
        valid[:-7],
        b"[" * 5000,
        *[s.data for s in other.leave(0.0)],
        other.tick(9.0)[0].data,
        valid.replace(b'"r":[[', b'"r":[["x","h",0,1,0,{}],['),
        valid.replace(b'"leave"', b'"x"')[:-1],
        valid.replace(b'"k":"more"', b'"k":"else"'),
        b'{"c":"c","k":"ping"}',
    ]
    for data in invalid:
        assert member.receive(cluster.now, ("10.9.9.9", 1), data) == []
    assert {n: (m.state, m.incarnation) for n, m in member.members.items()} == before
    assert member.counts["foreign"] == len(invalid)


def test_replayed_datagram_does_not_revive_a_dead_member():
    cluster = converged_cluster(6, 4)
    old_datagram = cluster.named("m2").tick(cluster.now + 10)[0].data  # reports m2 as alive
    cluster.kill("m2")
    cluster.settle(25)
    member = cluster.named("m0")
    member.receive(cluster.now, ("10.0.0.2", 7000), old_datagram)
    assert member.members["m2"].state == DEAD


def test_join_flood_is_bounded(monkeypatch):
    monkeypatch.setattr(member_table, "MAX_MEMBERS", 50)
    cluster = converged_cluster(3, 1)
    member = cluster.named("m0")
    for n in range(500):
        joining = Swim(
            "c", f"x{n}", ("10.7.0.1", 1 + n), 1, [("10.0.0.0", 7000)], random.Random(n), cluster.now
        )
        for datagram in joining.tick(cluster.now):
            member.receive(cluster.now, joining.address, datagram.data)
    assert len(member.members) <= 50


def test_load_and_cost_of_a_member_do_not_grow_with_cluster_size():
    (small_rate, _), (large_rate, _) = (
        measure_load(Case(10, 0.0, 1, 30.0)),
        measure_load(Case(60, 0.0, 1, 30.0)),
    )
    assert large_rate < 1.3 * small_rate and large_rate <= 3.0
    # The costs of a period, a datagram and an exchange, which is sent in slices.
    small_cost, large_cost = measure_cost(100), measure_cost(2000)
    assert (
        large_cost[0] < 4 * small_cost[0]
        and large_cost[1] < 4 * small_cost[1]
        and large_cost[2] < 8 * small_cost[2]
    )


# Random faults, and injected bugs that must be detected


@pytest.mark.parametrize("seed", range(24))
def test_invariants_hold_during_random_faults_and_views_converge(seed):
    assert not play(seed).referee.breaches


def no_refutation(monkeypatch):
    monkeypatch.setattr(StateMerger, "refute", lambda self, update: None)


def old_words_count(monkeypatch):
    def apply(self, now, update, *, is_full_state):
        if update.name in self._table.members and update.name != self._table.local_member.name:
            self._table.members[update.name].incarnation = update.incarnation
        original(self, now, update, is_full_state=is_full_state)

    original = StateMerger.apply
    monkeypatch.setattr(StateMerger, "apply", apply)


def dead_in_an_exchange_taken_as_it_stands(monkeypatch):
    def notify_of_death(self, member):
        now = self._health.last_datagram_at  # the time of the datagram being merged
        self._table.set_state(now, member, DEAD)

    monkeypatch.setattr(StateMerger, "notify_of_death", notify_of_death)


def no_doubt_of_oneself(monkeypatch):
    monkeypatch.setattr(LocalHealth, "is_isolated", lambda self, now, member_count: False)
    monkeypatch.setattr(FailureDetector, "has_been_paused", lambda self, now: False)


def rumours_without_bound(monkeypatch):
    monkeypatch.setattr(UpdateQueue, "record_transmission", lambda self, name, max_transmissions: None)


def trusts_one_accuser(monkeypatch):
    monkeypatch.setattr(failure_detector, "LONGEST_SUSPICION_RATIO", 0.3)
    monkeypatch.setattr(failure_detector, "MIN_SUSPICION_S", 0.3)


def news_without_bound(monkeypatch):
    monkeypatch.setattr(gossip, "PUSH_INTERVAL_S", 0.0)
    monkeypatch.setattr(gossip, "PUSH_TARGETS", 30)


def incarnations_that_go_back(monkeypatch):
    def refute(self, update):
        original(self, update)
        local_member = self._table.local_member
        local_member.incarnation = min(local_member.incarnation, 3)

    original = StateMerger.refute
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
        (trusts_one_accuser, lambda: test_no_false_deaths_under_packet_loss(0.3, 0)),
        (old_words_count, lambda: test_death_is_detected_by_all_and_restart_is_accepted(1)),
        (
            dead_in_an_exchange_taken_as_it_stands,
            lambda: test_partition_of_any_length_heals_without_false_deaths(24, 60, 15),
        ),
        (no_doubt_of_oneself, lambda: test_member_that_receives_nothing_causes_no_false_deaths(1)),
        (rumours_without_bound, lambda: test_cluster_converges_through_its_seeds(30)),
    ],
)
def test_injected_bug_is_detected(bug, test, monkeypatch):
    bug(monkeypatch)
    with pytest.raises((AssertionError, KeyError)):
        test()


def test_referee_detects_a_majority_that_considers_a_healthy_member_dead():
    cluster = converged_cluster(5, 1)
    cluster.run(30)
    referee = Referee(cluster)
    referee.healthy_since = dict.fromkeys(cluster.by_name, 0.0)
    for name in ("m0", "m1", "m2"):
        member = cluster.named(name)
        member.table.set_state(cluster.now, member.members["m4"], DEAD)
        referee.on_step(member, True)
    assert referee.counts["majority"] == 1 and len(referee.false_deaths) == 3
