"""A request that is held: no attempt of it is sent before its release, and it always ends."""

from helpers import READ, EngineHarness, actions_of, host, plan, settings

from api_gateway import interface as api

PLAN = plan(rate=1000.0, burst=1000.0)


def make_harness(host_count=1):
    return EngineHarness(settings(plans=[PLAN], gateway_count=1), [host(f"h{n}") for n in range(host_count)])


def fill(harness):
    """Send requests until one waits for an endpoint; return the attempts and the id of the one that waits."""
    attempts = []
    while True:
        request, actions = harness.request()
        if not actions_of(actions, api.SendAttempt):
            return attempts, request
        attempts += actions_of(actions, api.SendAttempt)


def ids_of(actions, kind):
    return [action.request_id for action in actions_of(actions, kind)]


# Guards against a request that is sent while its reply could be lost with a value before it.
def test_a_held_request_gets_no_endpoint_and_keeps_none_from_others():
    harness = make_harness()
    (first, *_), held = fill(harness)
    other, actions = harness.request()
    assert not ids_of(actions, api.SendAttempt)
    harness.handle(api.RequestHoldChanged(held, True))
    (second,) = actions_of(harness.end_attempt(first), api.SendAttempt)
    assert second.request_id == other
    assert not ids_of(
        harness.handle(api.RequestHoldChanged(held, False)), api.SendAttempt
    )  # no place is free
    assert ids_of(harness.end_attempt(second), api.SendAttempt) == [held]


# Guards against a retry behind a value, and against a request that is forgotten once its attempt has failed.
def test_a_failed_attempt_of_a_held_request_is_retried_after_its_release():
    harness = make_harness(3)
    request, actions = harness.request()
    (sent,) = actions_of(actions, api.SendAttempt)
    harness.handle(api.RequestHoldChanged(request, True))
    assert not harness.end_attempt(sent, "full")
    (retry,) = actions_of(harness.handle(api.RequestHoldChanged(request, False)), api.SendAttempt)
    assert retry.endpoint_id != sent.endpoint_id


# Guards against a second copy behind a value.
def test_a_held_request_is_not_hedged():
    harness = make_harness(3)
    request, _ = harness.request()
    harness.handle(api.RequestHoldChanged(request, True))
    for _ in range(10):
        harness.now += READ.latency_objective / 10
        assert not ids_of(harness.handle(api.TimerFired(0)), api.SendAttempt)


# Guards against a request that waits for good.
def test_a_held_request_is_rejected_before_its_deadline():
    harness = make_harness()
    _, held = fill(harness)
    harness.handle(api.RequestHoldChanged(held, True))
    waited = READ.latency_objective  # beyond the longest wait for an endpoint
    assert held not in ids_of(harness.advance(waited), api.RejectRequest)
    assert held in ids_of(harness.advance(READ.deadline - waited), api.RejectRequest)
    assert held not in harness.engine.requests_in_flight
