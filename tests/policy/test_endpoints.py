import pytest
from helpers import EngineHarness, actions_of, host, plan, settings

from api_gateway import interface as api

BIG = plan(rate=1000.0, burst=4000.0)


def test_few_are_out_at_each_server_and_the_rest_waits_in_order_of_worth():
    w = EngineHarness(settings(plans=[BIG]), [host("h1")])
    sent = [s for _ in range(8) for s in actions_of(w.request(service_class="read")[1], api.SendAttempt)]
    assert len(sent) == 2  # half of what all gateways together leave at one server
    name, acts = w.request(service_class="write")
    assert not actions_of(acts, api.SendAttempt)
    assert [s.request_id for s in actions_of(w.end_attempt(sent[0]), api.SendAttempt)] == [name]


def test_waiting_requests_are_bounded():
    w = EngineHarness(settings(plans=[BIG]), [host("h1")])
    acts = [a for _ in range(200) for a in w.request()[1]]
    assert len(actions_of(acts, api.RejectRequest)) > 150


def test_a_fraction_of_an_attempt_is_rounded_by_chance_over_gateways_and_servers():
    out = 0
    for k in range(3):
        w = EngineHarness(
            settings(plans=[BIG], gateway_count=3, gateway_index=k),
            [host(f"h{n}") for n in range(30)],
            seed=k,
        )
        out += sum(len(actions_of(w.request()[1], api.SendAttempt)) for _ in range(200))
    assert 100 < out < 140  # four a server over all, not six


def test_one_gateway_of_many_has_few_out_in_all_and_a_silent_attempt_holds_no_place():
    w = EngineHarness(settings(plans=[BIG], gateway_count=200), [host(f"h{n}") for n in range(50)])
    sends = [
        s
        for _ in range(20)
        for s in actions_of(w.request(service_class="note", remaining_s=3.0)[1], api.SendAttempt)
    ]
    assert len(sends) == 2  # twice its even part of four a server
    w.advance(1.2)  # waiting requests end, the two are taken for silent
    assert actions_of(w.request(service_class="note")[1], api.SendAttempt)


def test_a_slow_counter_is_asked_less_and_a_call_then_stands_for_those_unasked():
    calls, most = {}, {}
    for slow in (0.001, 0.045):
        w = EngineHarness(settings(gateway_count=100, plans=[plan(rate=2.0, burst=8.0)]))
        w.counter_mode, calls[slow], most[slow] = "hold", 0, 0.0
        for k in range(60):
            for c in actions_of(w.request(customer=f"c{k}", spread=60)[1], api.AddToCounter):
                calls[slow] += c.amount > 0
                most[slow] = max(most[slow], c.amount)
                w.handle(api.CounterReply(c.name, "ok", 20.0 * (k % 2) + c.amount, slow))
            w.now += 0.1
    assert calls[0.045] < 0.7 * calls[0.001]
    assert most[0.001] <= 1.1 and 1.1 < most[0.045] <= 4.0


def test_a_banned_host_gets_nothing_whatever_the_list_says_and_is_cold_when_it_returns():
    w = EngineHarness(settings(plans=[BIG], gateway_count=1), [host("h1"), host("h2")])
    w.handle(api.EndpointOverride("h1", True, w.now))
    w.handle(api.EndpointList("full", 2, (host("h1"), host("h2"), host("h3"))))
    sends = [s for _ in range(12) for s in actions_of(w.request()[1], api.SendAttempt)]
    assert {s.endpoint_id for s in sends} == {"h2", "h3"}
    failed = [s for end in sends for s in actions_of(w.end_attempt(end, "error"), api.SendAttempt)]
    assert failed and "h1" not in {s.endpoint_id for s in failed}
    w.now += 5.0
    w.handle(api.EndpointOverride("h1", False, w.now))
    server = w.engine.endpoint_pool.endpoints["h1"]
    assert (
        server.slow_start_factor(w.now, w.settings.rules) == 0.2
        and server in w.engine.endpoint_pool.available
    )
    assert server.slow_start_factor(w.now + 10.0, w.settings.rules) == 1.0


def test_a_start_that_the_list_told_during_the_ban_is_the_one_that_counts():
    w = EngineHarness(settings(plans=[BIG]), [host("h1"), host("h2")])
    w.handle(api.EndpointOverride("h1", True, w.now))
    w.handle(api.EndpointList("delta", 2, (host("h1", started=w.now + 1.0),)))
    w.now += 6.0
    w.handle(api.EndpointOverride("h1", False, w.now))
    assert abs(w.engine.endpoint_pool.endpoints["h1"].slow_start_factor(w.now, w.settings.rules) - 0.6) < 1e-9


def test_a_return_is_heard_of_by_a_process_that_did_not_see_the_ban():
    w = EngineHarness(settings(plans=[BIG]), [host("h1"), host("h2")])
    w.handle(api.EndpointOverride("h1", False, w.now - 5.0))
    w.handle(api.EndpointOverride("h9", False, w.now))  # of a host that no list has named here
    assert abs(w.engine.endpoint_pool.endpoints["h1"].slow_start_factor(w.now, w.settings.rules) - 0.6) < 1e-9


def test_a_host_that_started_again_is_not_held_to_what_its_last_life_did():
    w = EngineHarness(
        settings(plans=[BIG], gateway_count=1, rules=dict(slow_start_duration=0.1)), [host("h1")]
    )
    for _ in range(6):
        w.end_attempt(actions_of(w.request()[1], api.SendAttempt)[0], "reset", final=True)
    w.handle(api.EndpointList("delta", 2, (host("h2"),)))
    before = [s for _ in range(4) for s in actions_of(w.request()[1], api.SendAttempt)]
    for s in before:
        w.end_attempt(s)
    w.handle(api.EndpointList("delta", 3, (host("h1", started=w.now),)))
    w.now += 0.2
    after = [s.endpoint_id for _ in range(6) for s in actions_of(w.request()[1], api.SendAttempt)]
    assert [s.endpoint_id for s in before] == ["h2"] * 4 and "h1" in after


def many(gateways, hosts, **kw):
    return [
        EngineHarness(settings(plans=[BIG], gateway_count=gateways, gateway_index=k, **kw), hosts, seed=k)
        for k in range(gateways)
    ]


def play(worlds, seconds, sent, step=0.05):
    """Each gateway is asked four times a second; all that is sent is answered at once and counted by host."""
    for n in range(round(seconds / step)):
        for k, w in enumerate(worlds):
            w.now += step
            w.handle(api.TimerFired(0))
            if (n + k) % 5 == 0:
                for s in actions_of(w.request()[1], api.SendAttempt):
                    sent.setdefault(s.endpoint_id, []).append(w.now)
                    w.end_attempt(s)


@pytest.mark.parametrize("count, least", [(12, 0.2), (60, 0.07)])
def test_cold_hosts_get_what_their_warmth_is_worth_however_many_are_cold(count, least):
    worlds = many(40, [host(f"h{n}") for n in range(count)])
    usual: dict[str, list[float]] = {}
    play(worlds, 6.0, usual)
    bears = sum(len(times) for times in usual.values()) / 6.0 / count  # a second, by a warm host
    cold = tuple(host(f"h{n}", started=worlds[0].now) for n in range(count * 3 // 4))
    for w in worlds:
        w.handle(api.EndpointList("delta", 2, cold))
    sent: dict[str, list[float]] = {}
    play(worlds, 4.0, sent)
    each = sum(len(sent.get(h.id, [])) for h in cold) / 4.0 / len(cold)
    assert least * bears < each < 0.36 * bears  # it can do 0.2 to 0.52 of that meanwhile
    for times in (sent.get(h.id, []) for h in cold):
        # nor is any pushed over: twice what it can do, some slack for chance
        assert max((sum(t <= x < t + 2.0 for x in times) for t in times), default=0) < 2.0 * 2.0 * 0.3 * bears


def test_what_one_of_many_gateways_has_out_goes_by_the_hosts_that_can_do_work():
    out = {}
    for cold in (0, 45):
        hosts = [host(f"h{n}", started=1000.0 if n < cold else 0.0) for n in range(60)]
        w = EngineHarness(settings(plans=[BIG], gateway_count=40), hosts)
        out[cold] = sum(len(actions_of(w.request()[1], api.SendAttempt)) for _ in range(60))
    assert 6 <= out[0] <= 8  # a third more than its even part of four a host
    assert 3 <= out[45] <= 4


def test_what_a_gateway_of_few_has_out_is_as_it_was():
    w = EngineHarness(settings(plans=[BIG], gateway_count=2), [host("h1"), host("h2"), host("h3")])
    assert (
        sum(len(actions_of(w.request()[1], api.SendAttempt)) for _ in range(60)) == 6
    )  # two a host: half of four


def test_one_quick_answer_does_not_make_copies_of_what_follows():
    w = EngineHarness(settings(plans=[BIG], gateway_count=1))
    w.end_attempt(actions_of(w.request()[1], api.SendAttempt)[0], elapsed=0.01)
    assert actions_of(w.request()[1], api.SendAttempt) and not actions_of(w.advance(0.3), api.SendAttempt)
    assert actions_of(w.advance(0.8), api.SendAttempt)  # but one that is long silent gets its copy


def used(worlds):
    """How many gateways have each host among those that they send to first."""
    hosts: dict[str, int] = {}
    for w in worlds:
        w.now += 1.0
        w.end_attempt(actions_of(w.request()[1], api.SendAttempt)[0])
        for s in w.engine.endpoint_pool.subset_endpoints:
            hosts[s.entry.id] = hosts.get(s.entry.id, 0) + 1
    return hosts


def test_many_gateways_use_a_part_of_the_hosts_each_and_each_host_is_used_alike():
    names = [f"h{n}" for n in range(60)]
    worlds = many(40, [host(name) for name in names])
    before = used(worlds)
    assert sum(before.values()) <= 40 * 20 and set(before) == set(names)
    assert max(before.values()) - min(before.values()) <= 2
    for w in worlds:  # a zone is lost, and some of the rest are replaced
        gone = tuple(host(name, state="down") for name in names[:36])
        w.handle(api.EndpointList("delta", 2, gone + tuple(host(f"new{n}") for n in range(6))))
    after = used(worlds)
    assert len(after) == 30 and max(after.values()) - min(after.values()) <= 2
    sent: dict[str, list[float]] = {}
    play(worlds[:1], 20.0, sent)
    assert len(sent) <= 12  # and sends to no others while these can take it


def test_a_gateway_whose_hosts_fail_uses_others():
    w = EngineHarness(settings(plans=[BIG], gateway_count=40), [host(f"h{n}") for n in range(60)])
    w.end_attempt(actions_of(w.request()[1], api.SendAttempt)[0])
    bad = {s.entry.id for s in w.engine.endpoint_pool.subset_endpoints}
    assert len(bad) <= 20
    good = 0
    for _ in range(80):
        w.now += 0.1
        for s in actions_of(w.request()[1], api.SendAttempt):
            good += s.endpoint_id not in bad
            w.end_attempt(s, "error" if s.endpoint_id in bad else "ok", final=True)
    assert good > 40


def test_few_gateways_use_all_hosts():
    worlds = many(3, [host(f"h{n}") for n in range(10)])
    assert used(worlds) == {f"h{n}": 3 for n in range(10)}


def test_in_a_crowd_as_much_passes_unasked_as_the_asked_tries_stand_for():
    w = EngineHarness(settings(gateway_count=100, plans=[plan(rate=2.0, burst=8.0)]))
    w.counter_mode, sent, asked = "hold", 0, 0
    for k in range(600):
        w.now += 0.05
        _, acts = w.request(customer=f"c{k}", spread=60)
        for c in actions_of(acts, api.AddToCounter):
            asked += c.amount > 0
            acts = acts + w.handle(api.CounterReply(c.name, "ok", c.amount, 0.048))
        for s in actions_of(acts, api.SendAttempt):
            sent += k >= 200
            w.end_attempt(s)
    assert asked < 150  # few of these customers, all of them within their quotas, can be asked for
    assert sent > 250  # of 400


HOUR, NOW = 3600.0, 1e6


def slow_start_factor(world, name):
    return world.engine.endpoint_pool.endpoints[name].slow_start_factor(world.now, world.settings.rules)


@pytest.mark.parametrize("off", [-HOUR, HOUR])
def test_a_start_that_is_news_is_new_whatever_the_clock_says(off):
    """Of a host that restarts and of one that joins; `off`: by how much the gateway's clock is ahead."""
    w = EngineHarness(settings(plans=[BIG]), [host("h1"), host("h2", started=NOW - off - 500.0)], start=NOW)
    w.handle(api.EndpointList("full", 2, (host("h1"), host("h2", started=NOW - off - 500.0))))
    w.now += 5.0
    true = w.now - off - 1.0
    w.handle(api.EndpointList("delta", 3, (host("h2", started=true), host("h3", started=true))))
    assert (
        slow_start_factor(w, "h2") == slow_start_factor(w, "h3") == w.settings.rules.slow_start_min_capacity
    )
    w.now += w.settings.rules.slow_start_duration
    assert slow_start_factor(w, "h2") == slow_start_factor(w, "h3") == 1.0


def test_what_a_first_list_or_a_view_names_may_have_run_for_long():
    w = EngineHarness(settings(plans=[BIG]), [host("h1", started=NOW - HOUR)], start=NOW)
    w.handle(api.EndpointList("full", 2, (host("h1", started=NOW - HOUR), host("h2", started=1.0)), 50))
    w.handle(api.EndpointList("delta", 3, (host("h3", started=NOW - HOUR),), 50))
    assert slow_start_factor(w, "h1") == slow_start_factor(w, "h2") == slow_start_factor(w, "h3") == 1.0


def test_a_clock_that_steps_leaves_no_host_warmer_than_either_reading_has_it():
    w = EngineHarness(
        settings(plans=[BIG]), [host("h1", started=NOW - HOUR - 2.0), host("h2", started=10.0)], start=NOW
    )
    assert slow_start_factor(w, "h1") == 1.0
    w.handle(api.WallClockStepped(-HOUR))
    assert abs(slow_start_factor(w, "h1") - 0.36) < 1e-9 and slow_start_factor(w, "h2") == 1.0
    w.handle(api.WallClockStepped(0.0))
    assert abs(slow_start_factor(w, "h1") - 0.36) < 1e-9


def test_a_clock_that_is_some_seconds_ahead_makes_no_warm_host_of_one_that_warms_up_in_less():
    w = EngineHarness(settings(plans=[BIG], rules=dict(slow_start_duration=4.0)), [host("h1")], start=NOW)
    w.handle(api.EndpointList("full", 2, (host("h1"),)))
    w.handle(api.EndpointList("delta", 3, (host("h2", started=NOW - 5.0),)))
    assert slow_start_factor(w, "h2") == w.settings.rules.slow_start_min_capacity
