"""Quotas when plans change: spent units are not granted twice, and unspent units are not lost."""

import pytest
from helpers import EngineHarness, actions_of, plan, settings

from api_gateway import interface as api

OLD_PLAN = plan(rate=2.0, burst=20.0)
FASTER_PLAN = plan(rate=3.0, burst=20.0)  # shorter windows
HIGHER_PRIORITY_PLAN = plan(rate=2.0, burst=20.0, priority_factor=2.0)
DOUBLED_PLAN = plan(rate=4.0, burst=40.0)  # windows of the same length


def make_harness(seed):
    """Return an engine with OLD_PLAN; the seed also sets where in its window the test starts."""
    return EngineHarness(settings(plans=[OLD_PLAN]), seed=seed, start=1000.0 + 1.7 * seed)


def count_successes(harness, attempts=60, **overrides):
    """Send requests at the current time and return how many of them are forwarded."""
    successful = [
        sent
        for _ in range(attempts)
        for sent in actions_of(harness.request(**overrides)[1], api.SendAttempt)
        if not harness.end_attempt(sent)
    ]
    return len(successful)


def change_plans(harness, *plans):
    """Replace all plans in the settings."""
    harness.handle(api.SettingsChanged(settings(plans=plans)))


@pytest.mark.parametrize("seed", range(1, 7))
@pytest.mark.parametrize(
    "fresh", [FASTER_PLAN, HIGHER_PRIORITY_PLAN, plan(rate=0.5, burst=20.0), plan(rate=2.0, burst=10.0)]
)
def test_spent_quota_is_not_granted_again_by_a_changed_plan(seed, fresh):
    harness = make_harness(seed)
    assert count_successes(harness) >= 16
    change_plans(harness, fresh)
    assert count_successes(harness) <= 1


@pytest.mark.parametrize("seed", range(1, 7))
def test_larger_burst_in_windows_of_the_same_length_grants_the_difference(seed):
    harness = make_harness(seed)
    spent_before = count_successes(harness)
    change_plans(harness, DOUBLED_PLAN)
    # The difference of the bursts is granted, and at most as much again, because the window's refill so far
    # counts at the new rate.
    spent_after = count_successes(harness, 90)
    assert (
        spent_before >= 16
        and 15 <= spent_after <= 20 + harness.engine.accounts["c"].window_quota(harness.now) / 2 - 20
    )


@pytest.mark.parametrize("seed", range(1, 7))
def test_repeated_window_changes_grant_one_burst_and_the_refill(seed):
    harness, started_at, total = make_harness(seed), 1000.0 + 1.7 * seed, 0
    for turn in range(12):
        total += count_successes(harness, 8)
        change_plans(harness, [FASTER_PLAN, plan(rate=4.0, burst=20.0), OLD_PLAN][turn % 3])
        harness.now += 0.1
    assert total <= 20 + 4.0 * (harness.now - started_at) + 5


@pytest.mark.parametrize("seed", range(1, 7))
def test_returning_to_a_window_charges_what_was_spent_in_between(seed):
    harness = make_harness(seed)
    count_successes(harness, 4)
    account, spent_before = harness.engine.accounts["c"], harness.engine.accounts["c"].lifetime_used_units
    change_plans(harness, FASTER_PLAN)
    spent_between = count_successes(harness, 6)
    change_plans(harness, OLD_PLAN)
    count_successes(harness, 1)
    assert (
        harness.engine.accounts["c"] is account
        and spent_between == 6
        and account.lifetime_used_units - spent_before >= 6
    )
    assert account.counter_total + account.uncharged_units >= spent_before + spent_between


@pytest.mark.parametrize("fresh", [FASTER_PLAN, HIGHER_PRIORITY_PLAN])
def test_unspent_quota_survives_a_plan_change(fresh):
    harness = make_harness(3)
    assert count_successes(harness, 2) == 2
    change_plans(harness, fresh)
    assert count_successes(harness) >= 14


def test_gateways_that_change_plans_at_different_times_share_one_quota():
    counts, harnesses = {}, []
    for index in (0, 1):
        harness = EngineHarness(settings(plans=[OLD_PLAN], gateway_index=index), seed=5 + index)
        harness.counts = counts
        harnesses.append(harness)
    spent = sum(count_successes(harness, 5) for harness in harnesses * 5)
    for harness in harnesses:
        change_plans(harness, FASTER_PLAN)
        spent += count_successes(harness, 20)
    assert spent <= 25


def test_open_attempts_keep_their_slots_over_a_plan_change():
    limited = plan(rate=2.0, burst=20.0, max_concurrent=4)
    harness = EngineHarness(settings(plans=[limited]))
    attempts = [sent for _ in range(2) for sent in actions_of(harness.request(spread=2)[1], api.SendAttempt)]
    assert len(attempts) == 2 and harness.engine.accounts["c"].local_open_attempts == 2
    change_plans(harness, plan(rate=3.0, burst=20.0, max_concurrent=4))
    assert actions_of(harness.request(spread=2)[1], api.RejectRequest)
    account = harness.engine.accounts["c"]
    assert account.local_open_attempts == 0 and account.previous_accounts[0].local_open_attempts == 2
    for sent in attempts:
        harness.end_attempt(sent)
    assert actions_of(harness.request(spread=2)[1], api.SendAttempt) and account.local_open_attempts == 1


def test_plan_that_is_removed_and_restored_continues_its_quota():
    harness = make_harness(2)
    count_successes(harness)
    change_plans(harness, plan("other"))
    change_plans(harness, OLD_PLAN)
    assert count_successes(harness) <= 1


def test_request_that_waits_for_a_lease_over_a_plan_change_is_sent():
    harness = make_harness(4)
    harness.counter_mode = "hold"
    calls, waiting_id = [], ""
    while not waiting_id:
        request_id, actions = harness.request()
        calls += actions_of(actions, api.AddToCounter)
        waiting_id = "" if actions_of(actions, api.SendAttempt) else request_id
        for sent in actions_of(actions, api.SendAttempt):
            harness.end_attempt(sent)
    assert harness.engine.requests_in_flight[waiting_id].stage == "units"
    change_plans(harness, FASTER_PLAN)
    harness.request()
    assert harness.engine.accounts["c"].previous_accounts
    actions = harness.handle(api.CounterReply(calls[0].name, "ok", calls[0].amount, 0.002))
    harness.counter_mode = "answer"
    actions += harness.handle(
        api.CounterReply(
            actions_of(actions, api.AddToCounter)[0].name,
            "ok",
            actions_of(actions, api.AddToCounter)[0].amount + 4,
            0.002,
        )
    )
    assert waiting_id in [sent.request_id for sent in actions_of(actions, api.SendAttempt)]
