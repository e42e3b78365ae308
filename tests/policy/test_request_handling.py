import pytest
from helpers import EngineHarness, actions_of, host, plan, settings

from api_gateway import interface as api

BIG = plan(rate=1000.0, burst=4000.0)


def world(hosts=None, **kw):
    return EngineHarness(settings(plans=[BIG], **kw), hosts)


def test_every_request_gets_one_answer_even_without_servers():
    w = EngineHarness(hosts=[])
    name, acts = w.request()
    acts = acts + w.advance(3.0)
    assert (
        len([a for a in acts if isinstance(a, (api.RejectRequest, api.FailRequest)) and a.request_id == name])
        == 1
    )


@pytest.mark.parametrize("result", ["error", "timeout", "reset", "cancelled"])
def test_unsafe_is_not_sent_again_nor_refused_when_it_may_have_run(result):
    w = world()
    s = actions_of(w.request(service_class="note")[1], api.SendAttempt)[0]
    acts = w.end_attempt(s, result)
    assert (
        not actions_of(acts, api.SendAttempt)
        and not actions_of(acts, api.RejectRequest)
        and len(actions_of(acts, api.FailRequest)) == 1
    )


@pytest.mark.parametrize("result", ["full", "connect_failed"])
def test_unsafe_is_sent_again_when_it_never_ran(result):
    w = world()
    s = actions_of(w.request(service_class="note")[1], api.SendAttempt)[0]
    acts = w.end_attempt(s, result)
    assert [a.endpoint_id for a in actions_of(acts, api.SendAttempt)] == [
        {"h1": "h2", "h2": "h1"}[s.endpoint_id]
    ]


@pytest.mark.parametrize("cls", ["write", "cellwrite"])
def test_keyed_stays_in_its_group_and_time(cls):
    hosts = [host("a1", "z1", 1), host("a2", "z1", 1), host("b1", "z2", 2), host("b2", "z2", 2)]
    w = world(hosts)
    s = actions_of(w.request(service_class=cls)[1], api.SendAttempt)[0]
    again = actions_of(w.end_attempt(s, "error"), api.SendAttempt)
    assert [a.endpoint_id[0] for a in again] == [s.endpoint_id[0]]
    w = world(hosts)
    s = actions_of(w.request(service_class="write")[1], api.SendAttempt)[0]
    w.now += 1.0  # its memory is over
    acts = w.end_attempt(s, "error")
    assert (
        not actions_of(acts, api.SendAttempt)
        and not actions_of(acts, api.RejectRequest)
        and actions_of(acts, api.FailRequest)
    )


def test_draining_and_gone_hosts_get_nothing_new():
    w = world()
    w.handle(api.EndpointList("delta", 2, (host("h1", state="leaving"),)))
    w.handle(api.EndpointList("full", 3, (host("h2"),)))
    for _ in range(5):
        assert {s.endpoint_id for s in actions_of(w.request()[1], api.SendAttempt)} <= {"h2"}


@pytest.mark.parametrize("gateways", [1, 3, 200])
def test_cold_host_gets_no_more_than_it_bears_from_all_gateways_together(gateways):
    hosts = [host(f"h{k}") for k in range(10)]
    ws = [
        EngineHarness(settings(plans=[BIG], gateway_count=gateways, gateway_index=k), hosts, seed=k)
        for k in range(gateways)
    ]
    cold, total, now, out = [], 0, 1000.0, []
    for step in range(1600):  # 200 a second over all; the tenth host restarts after 2 s
        w, now = ws[step % gateways], 1000.0 + step * 0.005
        if step == 400:
            for x in ws:
                x.now = now
                x.handle(api.EndpointList("delta", 2, (host("h9", started=now),)))
        w.now = now
        for s in actions_of(w.request()[1], api.SendAttempt):
            cold += [now] if s.endpoint_id == "h9" and step >= 400 else []
            total += 1
            out.append((w, s))
        if len(out) > 25:
            x, s = out.pop(0)
            x.now = now
            for s2 in actions_of(x.end_attempt(s), api.SendAttempt):
                cold += [now] if s2.endpoint_id == "h9" and step >= 400 else []
                out.append((x, s2))
    fair = total / 8 / 10  # a warm host's sends a second
    assert cold, "the ramp sends something"
    for t in cold:  # bears at least twice its fifth of capacity for 2 s, by the rules of these settings
        warm = 0.2 + 0.8 * (t - 1002.0) / 10
        assert sum(t <= x < t + 2.0 for x in cold) <= 2 * 2.0 * max(warm, 0.2) * fair * 2 + 3


def test_silent_host_is_left_and_its_safe_work_copied():
    w = world()
    first = actions_of(w.request()[1], api.SendAttempt)[0]
    sent = []
    for _ in range(60):
        for s in actions_of(w.request()[1], api.SendAttempt):
            if s.endpoint_id != first.endpoint_id:
                w.end_attempt(s)
            sent.append(s.endpoint_id)
        w.advance(0.1)
    assert first.endpoint_id not in sent[-20:-1] or sent[-20:].count(first.endpoint_id) <= 2
    assert [
        a
        for _, a in w.action_log
        if isinstance(a, api.SendAttempt)
        and a.request_id == first.request_id
        and a.endpoint_id != first.endpoint_id
    ]


def test_no_second_copy_where_not_allowed():
    w = world(limits=dict(can_hedge=False))
    out, most = {}, 0
    for _ in range(40):
        acts = w.request()[1] + w.advance(0.05)
        todo = list(acts)
        while todo:
            a = todo.pop(0)
            if isinstance(a, api.SendAttempt):
                out[a.request_id] = out.get(a.request_id, 0) + 1
                most = max(most, out[a.request_id])
                if a.endpoint_id == "h2":
                    out[a.request_id] -= 1
                    todo += w.end_attempt(a)
            elif isinstance(a, api.CancelAttempt) and out.get(a.request_id):
                out[a.request_id] -= 1
                todo += w.handle(api.AttemptEnded(a.request_id, a.attempt, "h1", "cancelled", 0.3, False))
    assert most == 1


def test_restart_is_deterministic():
    logs = []
    for _ in range(2):
        w = world([host(f"h{k}") for k in range(6)])
        for _ in range(30):
            w.request()
            w.advance(0.02)
        logs.append(w.action_log)
    assert logs[0] == logs[1]


def test_late_and_odd_events_are_taken_quietly():
    w = world()
    name, acts = w.request()
    s = actions_of(acts, api.SendAttempt)[0]
    w.handle(api.ClientDisconnected(name))
    acts = w.end_attempt(s, "ok", final=True)
    assert not [a for a in acts if isinstance(a, (api.RejectRequest, api.FailRequest, api.SendAttempt))]
    w.handle(api.ClientDisconnected("never"))
    w.handle(api.TimerFired(77))
    w.handle(api.CounterReply(5, "ok", 3, 0.1))
    w.handle(api.HealthCheckEnded("h1", "ok", 0.1))
    w.handle(api.PeerMessage(1, b"x"))


def test_discovery_on_request_is_watched_and_asked_again():
    conf = settings(discovery_mode="ask")
    w = EngineHarness(conf)
    assert [a for _, a in w.action_log if a == api.WatchEndpoints(True)]
    w.handle(api.EndpointList("failed", 0, ()))
    assert api.WatchEndpoints(True) in w.advance(1.2)


def test_stream_is_left_to_the_client():
    w = world()
    s = actions_of(w.request()[1], api.SendAttempt)[0]
    w.handle(api.ResponseStarted(s.request_id, 0, s.endpoint_id, 0.1))
    acts = w.advance(4.0)
    assert not [a for a in acts if getattr(a, "request_id", None) == s.request_id]


@pytest.mark.parametrize("cls", ["write", "cellwrite"])
def test_keyed_fails_where_its_group_has_no_other_host(cls):
    w = world([host("a1", "z1", 1), host("b1", "z2", 2), host("b2", "z2", 2)])
    s = actions_of(w.request(service_class=cls)[1], api.SendAttempt)[0]
    assert s.endpoint_id == "a1"
    acts = w.end_attempt(s, "error")
    assert not actions_of(acts, api.SendAttempt) and len(actions_of(acts, api.FailRequest)) == 1


def test_repeat_with_no_time_left_is_answered_at_once():
    w = world()
    assert actions_of(w.request(remaining_s=0.01)[1], api.RejectRequest)


@pytest.mark.parametrize("result", ["full", "error", "timeout"])
def test_host_that_fails_one_plan_or_class_keeps_the_others(result):
    bad, good = {"plan": "p", "service_class": "note"}, {"plan": "q", "service_class": "read"}
    w = EngineHarness(
        settings(plans=[BIG, plan("q", rate=1000.0, burst=4000.0)], gateway_count=1), [host("h1")]
    )
    for _ in range(12):
        s = actions_of(w.request(**bad)[1], api.SendAttempt)[0]
        w.advance(1.0)  # long enough to be taken for silent
        w.end_attempt(s, result, final=result != "full")
        for s in actions_of(w.request(**good)[1], api.SendAttempt):
            w.end_attempt(s)
    w.handle(api.EndpointList("delta", 2, (host("h2"),)))
    hosts = []
    for _ in range(8):
        s = actions_of(w.request(**bad)[1], api.SendAttempt)[0]
        hosts.append(s.endpoint_id)
        w.end_attempt(s)
    assert hosts.count("h1") == 0
    assert "h1" in [
        s.endpoint_id for _ in range(4) for s in actions_of(w.request(**good)[1], api.SendAttempt)
    ]


def test_retries_at_the_start_are_no_storm_whatever_the_number_of_gateways():
    for gateways in (1, 200):
        again = 0
        for k in range(gateways):
            w = EngineHarness(settings(plans=[BIG], gateway_count=gateways, gateway_index=k), seed=k)
            s = actions_of(w.request()[1], api.SendAttempt)[0]
            again += len(actions_of(w.end_attempt(s, "error"), api.SendAttempt))
        assert again <= 15


def test_no_timer_when_nothing_is_due():
    w = world()
    s = actions_of(w.request()[1], api.SendAttempt)[0]
    w.end_attempt(s)
    assert not actions_of(w.advance(1.0), api.SetTimer)


def test_idle_accounts_are_dropped():
    w = world()
    for k in range(300):
        for s in actions_of(w.request(customer=f"c{k}")[1], api.SendAttempt):
            w.end_attempt(s)
        w.now += 1.0
    assert len(w.engine.accounts) < 70


def test_overload_of_servers_sheds_what_is_worth_least_with_many_gateways():
    w = EngineHarness(settings(plans=[BIG], gateway_count=50), [host(f"h{k}") for k in range(10)])
    served = {"read": 0, "write": 0}
    for k in range(400):
        cls = ("read", "write")[k % 2]
        for s in actions_of(w.request(service_class=cls)[1], api.SendAttempt):
            served[cls] += 1
            w.end_attempt(s, load_report={"queue": 30.0, "util": 1.0}, elapsed=0.9)
        w.now += 0.05
    assert served["read"] < 0.5 * served["write"] and served["write"] < 150


def retuned(w, **kw):
    w.handle(api.SettingsChanged(settings(plans=[BIG], **kw)))


def test_a_request_keeps_the_class_and_the_attempts_that_it_began_with():
    w = world([host(f"h{n}") for n in range(6)], limits=dict(max_attempts=3))
    old = actions_of(w.request(service_class="read")[1], api.SendAttempt)[0]
    late = api.ServiceClass("late", 1.0, 3.0, "unsafe", "all", 5.0, 1.0, 0.0, False, 0.0)
    retuned(w, limits=dict(max_attempts=1), classes={"late": late})
    again = actions_of(w.end_attempt(old, "error"), api.SendAttempt)
    assert [s.request_id for s in again] == [old.request_id]
    new = actions_of(w.request(service_class="late")[1], api.SendAttempt)[0]
    acts = w.end_attempt(new, "error")
    assert not actions_of(acts, api.SendAttempt) and actions_of(
        acts, api.FailRequest
    )  # unsafe now, and one attempt
    assert actions_of(w.end_attempt(again[0], "error", attempt=1), api.SendAttempt)


def test_a_customer_whose_plan_changed_gets_the_new_quota():
    w = EngineHarness(settings(plans=[plan(rate=0.001, burst=1.0)]), [host("h1"), host("h2")])
    answers = [
        actions_of(w.request(service_class="write", spread=1)[1], (api.SendAttempt, api.RejectRequest))[0]
        for _ in range(3)
    ]
    assert [type(a) for a in answers] == [api.SendAttempt, api.RejectRequest, api.RejectRequest]
    w.end_attempt(answers[0])
    w.handle(api.SettingsChanged(settings(plans=[plan(rate=10.0, burst=40.0)])))
    assert actions_of(w.request(service_class="write", spread=1)[1], api.SendAttempt)


def test_in_a_drain_no_lease_is_sought_ahead_of_need():
    leased = {False: 0.0, True: 0.0}
    for on in (False, True):
        w = EngineHarness(settings(plans=[plan(rate=50.0, burst=200.0)]), [host(f"h{n}") for n in range(9)])
        w.handle(api.DrainChanged(on))
        for _ in range(80):
            for s in actions_of(w.request(spread=2)[1], api.SendAttempt):
                w.end_attempt(s)
            w.now += 0.02
            leased[on] = max(leased[on], w.engine.accounts["c"].leased_units)
    assert leased[False] >= 2.0 and leased[True] == 0.0
    w.handle(api.DrainChanged(False))
    assert not w.engine.quota.is_draining


def test_an_answer_that_flows_is_the_only_one_and_holds_no_place_at_its_host():
    w = world()
    first = actions_of(w.request(service_class="read")[1], api.SendAttempt)[0]
    copy = actions_of(w.advance(2.0), api.SendAttempt)
    assert [s.request_id for s in copy] == [first.request_id] and copy[0].endpoint_id != first.endpoint_id
    acts = w.handle(api.ResponseStarted(first.request_id, 1, copy[0].endpoint_id, 2.0))
    assert actions_of(acts, api.CancelAttempt) == [api.CancelAttempt(first.request_id, 0)]
    assert (
        not w.engine.endpoint_pool.endpoints[copy[0].endpoint_id].in_flight
        and w.engine.endpoint_pool.in_flight == 0
    )
    acts = w.end_attempt(first, "cancelled") + w.advance(3.0)
    assert not actions_of(
        acts, (api.SendAttempt, api.RejectRequest, api.FailRequest)
    )  # its time does not count any longer
    w.handle(api.AttemptEnded(first.request_id, 1, copy[0].endpoint_id, "reset", 2.0, True))
    assert not w.engine.requests_in_flight


def test_what_flows_at_its_clients_pace_leaves_its_host_room_for_others():
    w = EngineHarness(settings(plans=[BIG]), [host("h1")])
    sent = [s for _ in range(8) for s in actions_of(w.request()[1], api.SendAttempt)]
    assert len(sent) == 2 and w.engine.endpoint_pool.in_flight == 2
    acts = w.handle(api.ResponseStarted(sent[0].request_id, 0, "h1", 0.1))
    assert len(actions_of(acts, api.SendAttempt)) == 1 and w.engine.endpoint_pool.in_flight == 2


def test_a_refusal_tells_whether_hosts_had_no_room():
    w = EngineHarness(settings(plans=[BIG, plan("small", rate=0.01, burst=1.0)], gateway_count=1))
    pressed = [
        a for n in range(300) for a in actions_of(w.request(customer=f"c{n}", spread=1)[1], api.RejectRequest)
    ]
    beyond = [
        a
        for _ in range(5)
        for a in actions_of(w.request(customer="s", plan="small", spread=1)[1], api.RejectRequest)
    ]
    assert pressed and all(a.overloaded for a in pressed)
    assert [a for a in beyond if not a.overloaded]
