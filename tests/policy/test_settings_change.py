"""Quotas over changes of their plans: nothing is granted twice, nothing is lost that was not spent."""

import pytest
from helpers import EngineHarness, actions_of, plan, settings

from api_gateway import interface as api

OLD = plan(rate=2.0, burst=20.0)
FASTER = plan(rate=3.0, burst=20.0)  # its windows are shorter
DEARER = plan(rate=2.0, burst=20.0, priority_factor=2.0)
TWICE = plan(rate=4.0, burst=40.0)  # windows of the same length


def world(seed):
    return EngineHarness(settings(plans=[OLD]), seed=seed, start=1000.0 + 1.7 * seed)


def spend(w, tries=60, **kw):
    """How many of so many tries at one moment pass."""
    sends = [
        s
        for _ in range(tries)
        for s in actions_of(w.request(**kw)[1], api.SendAttempt)
        if not w.end_attempt(s)
    ]
    return len(sends)


def change(w, *plans):
    w.handle(api.SettingsChanged(settings(plans=plans)))


@pytest.mark.parametrize("seed", range(1, 7))
@pytest.mark.parametrize("fresh", [FASTER, DEARER, plan(rate=0.5, burst=20.0), plan(rate=2.0, burst=10.0)])
def test_a_quota_that_was_spent_is_not_granted_again_under_other_figures(seed, fresh):
    w = world(seed)
    assert spend(w) >= 16
    change(w, fresh)
    assert spend(w) <= 1


@pytest.mark.parametrize("seed", range(1, 7))
def test_a_larger_burst_in_windows_of_the_same_length_grants_the_difference(seed):
    w = world(seed)
    first = spend(w)
    change(w, TWICE)
    more = spend(w, 90)  # and at most as much again: the window's refill so far counts at the new rate
    assert first >= 16 and 15 <= more <= 20 + w.engine.accounts["c"].window_quota(w.now) / 2 - 20


@pytest.mark.parametrize("seed", range(1, 7))
def test_windows_that_change_back_and_forth_grant_no_more_than_one_burst_and_the_refill(seed):
    w, start, total = world(seed), 1000.0 + 1.7 * seed, 0
    for turn in range(12):
        total += spend(w, 8)
        change(w, [FASTER, plan(rate=4.0, burst=20.0), OLD][turn % 3])
        w.now += 0.1
    assert total <= 20 + 4.0 * (w.now - start) + 5


@pytest.mark.parametrize("seed", range(1, 7))
def test_back_in_the_window_that_was_left_its_count_hears_what_was_spent_meanwhile(seed):
    w = world(seed)
    spend(w, 4)
    kept, left = w.engine.accounts["c"], w.engine.accounts["c"].lifetime_used_units
    change(w, FASTER)
    between = spend(w, 6)
    change(w, OLD)
    spend(w, 1)
    assert w.engine.accounts["c"] is kept and between == 6 and kept.lifetime_used_units - left >= 6
    assert kept.counter_total + kept.uncharged_units >= left + between


@pytest.mark.parametrize("fresh", [FASTER, DEARER])
def test_what_was_not_spent_is_still_there(fresh):
    w = world(3)
    assert spend(w, 2) == 2
    change(w, fresh)
    assert spend(w) >= 14


def test_two_gateways_that_change_one_after_the_other_hold_one_quota():
    counts, worlds = {}, []
    for index in (0, 1):
        w = EngineHarness(settings(plans=[OLD], gateway_index=index), seed=5 + index)
        w.counts = counts
        worlds.append(w)
    spent = sum(spend(w, 5) for w in worlds * 5)
    for w in worlds:
        change(w, FASTER)
        spent += spend(w, 20)
    assert spent <= 25


def test_open_attempts_of_before_a_change_still_hold_their_places():
    limited = plan(rate=2.0, burst=20.0, max_concurrent=4)
    w = EngineHarness(settings(plans=[limited]))
    out = [s for _ in range(2) for s in actions_of(w.request(spread=2)[1], api.SendAttempt)]
    assert len(out) == 2 and w.engine.accounts["c"].local_open_attempts == 2
    change(w, plan(rate=3.0, burst=20.0, max_concurrent=4))
    assert actions_of(w.request(spread=2)[1], api.RejectRequest)
    acct = w.engine.accounts["c"]
    assert acct.local_open_attempts == 0 and acct.previous_accounts[0].local_open_attempts == 2
    for s in out:
        w.end_attempt(s)
    assert actions_of(w.request(spread=2)[1], api.SendAttempt) and acct.local_open_attempts == 1


def test_a_plan_that_went_and_came_back_goes_on_where_it_was():
    w = world(2)
    spend(w)
    change(w, plan("other"))
    change(w, OLD)
    assert spend(w) <= 1


def test_a_request_that_waits_for_its_lease_over_a_change_gets_its_answer():
    w = world(4)
    w.counter_mode = "hold"
    calls, waiting = [], ""
    while not waiting:
        name, acts = w.request()
        calls += actions_of(acts, api.AddToCounter)
        waiting = "" if actions_of(acts, api.SendAttempt) else name
        for s in actions_of(acts, api.SendAttempt):
            w.end_attempt(s)
    assert w.engine.requests_in_flight[waiting].stage == "units"
    change(w, FASTER)
    w.request()
    assert w.engine.accounts["c"].previous_accounts
    acts = w.handle(api.CounterReply(calls[0].name, "ok", calls[0].amount, 0.002))
    w.counter_mode = "answer"
    acts += w.handle(
        api.CounterReply(
            actions_of(acts, api.AddToCounter)[0].name,
            "ok",
            actions_of(acts, api.AddToCounter)[0].amount + 4,
            0.002,
        )
    )
    assert waiting in [s.request_id for s in actions_of(acts, api.SendAttempt)]
