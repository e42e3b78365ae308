"""Replays seeded streams of events and compares all decisions with recorded digests.

A stream depends on the actions of the engine: because of them attempts end, counter calls are answered and
timers fire. One decision that differs therefore changes everything that follows. The digests cover the text
that `repr` gave for the actions when they were recorded. The names of actions and fields have changed since,
so RECORDED_FORMATS spells out the former ones.

`python tests/policy/test_decision_streams.py FILE [SEEDS]` records digests of the engine that is first on
PYTHONPATH.
"""

import dataclasses
import hashlib
import heapq
import itertools
import json
import random
import sys
import time
import typing
from pathlib import Path

import pytest
from helpers import CELL, NOTE, READ, WRITE, plan, settings

from api_gateway import interface as api
from api_gateway.policy import DecisionEngine

DIGESTS_PATH = Path(__file__).resolve().parent / "decision_streams.json"
STREAMING = api.ServiceClass("stream", 1.0, 6.0, "safe", "all", 5.0, 1.0, 0.5, True, 0.0)
CLASSES = (READ, WRITE, CELL, NOTE, STREAMING)
# The text of each action as recorded: its former class and field names, with its values in field order.
RECORDED_FORMATS = {
    api.SendAttempt: "Send(id={!r}, host={!r}, timeout={!r}, within={!r})",
    api.RejectRequest: "Refuse(id={!r}, retry_after={!r}, pressed={!r})",
    api.FailRequest: "Fail(id={!r})",
    api.CancelAttempt: "Cancel(id={!r}, attempt={!r})",
    api.AddToCounter: "Count(name={!r}, amount={!r}, lifetime={!r})",
    api.SetTimer: "SetTimer(delay={!r}, label={!r})",
    api.CheckHealth: "Probe(host={!r})",
    api.CloseIdleConnections: "Close(host={!r})",
    api.FetchEndpoints: "Fetch()",
    api.WatchEndpoints: "Watch(on={!r})",
    api.ResizeSubset: "Widen(hosts={!r})",
    api.ClusterClockChanged: "Synchronizing(on={!r})",
    api.LogMessage: "Log(text={!r})",
}
RETURN_PERIOD_S = 30.0  # removed hosts may return for this long
FAILURE_RESULTS = ("error", "full", "timeout", "connect_failed", "reset")
# Name: gateways, hosts, requests a second, duration in seconds, zones, discovery mode, whether attempts carry
# load reports, fraction of hosts that may be in slow start at the beginning
SHAPES = {
    "alone": (1, 8, 60.0, 40.0, 1, "push", False, 0.0),
    "alone among many": (1, 120, 60.0, 25.0, 3, "push", True, 0.1),
    "pair": (2, 8, 60.0, 40.0, 2, "ask", True, 0.2),
    "five": (5, 30, 80.0, 40.0, 3, "push", False, 0.3),
    "five, asking": (5, 100, 80.0, 30.0, 3, "ask", True, 0.1),
    "thirty": (30, 60, 40.0, 60.0, 3, "push", False, 0.3),
    "thirty, many hosts": (30, 300, 80.0, 40.0, 3, "push", True, 0.3),
    "crowd": (200, 50, 20.0, 80.0, 2, "push", False, 0.1),
    "crowd, many hosts": (200, 300, 60.0, 50.0, 3, "ask", False, 0.2),
    "crowd, seldom asked": (200, 300, 3.0, 1500.0, 3, "push", True, 0.1),
}


def encode_actions(actions):
    """Return the bytes that are hashed for the actions of one event."""
    return "[{}]\n".format(", ".join(map(format_action, actions))).encode()


def format_action(action):
    """Return the text of an action under its recorded names."""
    values = [getattr(action, field.name) for field in dataclasses.fields(action)]
    text = RECORDED_FORMATS[type(action)]
    assert text.count("{!r}") == len(values), action
    return text.format(*values)


class Stream:
    """One gateway's engine with a seeded simulation of its clients, hosts, counter and discovery."""

    def __init__(self, shape, seed):
        (
            self.gateway_count,
            host_count,
            self.request_rate,
            self.duration,
            zone_count,
            self.discovery_mode,
            self.has_load_reports,
            slow_start_fraction,
        ) = shape
        self.rng, self.now, self.start_time = random.Random(f"{seed} {shape}"), 1000.0, 1000.0
        self.zones = [f"z{index + 1}" for index in range(zone_count)]
        self.hosts, self.removed_hosts, self.ejected_hosts = {}, {}, set()
        self.host_numbers, self.version, self.callback_order = itertools.count(), 1, itertools.count()
        for _ in range(host_count):
            self.add_host(
                0.0 if self.rng.random() >= slow_start_fraction else self.now - 12 * self.rng.random()
            )
        self.engine_settings = self.make_settings()
        self.gateway_index = self.engine_settings.gateway_index
        self.engine = DecisionEngine(self.engine_settings, seed, self.now)
        self.digest, self.event_count, self.event_counts = hashlib.sha256(), 0, {}
        self.callbacks, self.open_requests, self.failing_hosts, self.counter_totals = [], {}, {}, {}

    def make_settings(self):
        rng = self.rng
        plans = [
            plan("small", rate=2.0, burst=8.0),
            plan("wide", rate=50.0, burst=200.0, priority_factor=2.0),
            plan("even", rate=1.0 + rng.randrange(3), burst=6.0, over_quota_weight=0.5, over_quota_cost=0.2),
            plan("capped", rate=20.0, burst=40.0, max_concurrent=12, ceiling_rate=30.0, ceiling_burst=90.0),
        ]
        rules = dict(
            slow_start_duration=rng.choice((5.0, 10.0, 18.0)), slow_start_min_capacity=rng.choice((0.0, 0.2))
        )
        limits = dict(can_hedge=rng.random() < 0.7, can_cancel=rng.random() < 0.8)
        index = getattr(self, "gateway_index", rng.randrange(self.gateway_count))
        return settings(
            plans,
            limits,
            rules,
            gateway_index=index,
            gateway_count=self.gateway_count,
            zone=self.zones[0],
            classes={c.name: c for c in CLASSES},
            discovery_mode=self.discovery_mode,
        )

    def schedule(self, delay, callback):
        heapq.heappush(self.callbacks, (self.now + delay, next(self.callback_order), callback))

    def handle(self, event):
        self.event_count += 1
        kind = type(event).__name__
        self.event_counts[kind] = self.event_counts.get(kind, 0) + 1
        actions = self.engine.handle(self.now, event)
        self.digest.update(encode_actions(actions))
        for action in actions:
            self.execute(action)

    # Effects of the engine's actions

    def execute(self, action):
        rng = self.rng
        match action:
            case api.SendAttempt():
                attempt, request = (
                    next(self.open_requests[action.request_id]["numbers"]),
                    self.open_requests[action.request_id],
                )
                result, elapsed = self.draw_result(action.endpoint_id)
                request["in_flight"].add(attempt)
                request["hosts"][attempt] = action.endpoint_id
                if request["service_class"] == "stream" and result == "ok":
                    self.schedule(elapsed / 2, lambda: self.start_response(action, attempt))
                self.schedule(elapsed, lambda: self.end_attempt(action, attempt, result, elapsed))
            case api.CancelAttempt():
                self.schedule(0.001, lambda: self.end_attempt(action, action.attempt, "cancelled", 0.01))
            case api.RejectRequest() | api.FailRequest():
                self.open_requests.pop(action.request_id, None)
            case api.AddToCounter():
                self.schedule(0.002 + 0.003 * rng.random(), lambda: self.reply_to_counter_call(action))
            case api.SetTimer():
                self.schedule(action.delay, lambda: self.handle(api.TimerFired(action.label)))
            case api.WatchEndpoints():
                self.schedule(0.05, lambda: self.send_list("full"))

    def draw_result(self, host):
        rng, failure = self.rng, self.failing_hosts.get(host)
        is_removed = host not in self.hosts
        if is_removed and rng.random() < 0.7:
            return "connect_failed", 0.001
        if failure and rng.random() < 0.9:
            return failure, {"timeout": 2.5, "full": 0.002, "error": 0.01}.get(failure, 0.05)
        if rng.random() < 0.03:
            return rng.choice(FAILURE_RESULTS), 0.2 * rng.random()
        return "ok", min(4.0, rng.expovariate(12.0) + (1.5 if rng.random() < 0.02 else 0.0))

    def end_attempt(self, action, attempt, result, elapsed):
        request = self.open_requests.get(action.request_id)
        if request is not None and attempt in request["in_flight"]:
            request["in_flight"].discard(attempt)
        elif request is not None or result == "cancelled" or self.rng.random() < 0.5:
            return  # otherwise an end is reported late, after its request has ended
        host = action.endpoint_id if request is None else request["hosts"][attempt]
        extra_queue = 6.0 * len(self.failing_hosts) / max(1, len(self.hosts))
        report = (
            {"queue": 3.0 * self.rng.random() + extra_queue, "util": 0.5} if self.has_load_reports else {}
        )
        is_final = result == "ok"
        if is_final:
            self.open_requests.pop(action.request_id, None)
        self.handle(
            api.AttemptEnded(action.request_id, attempt, host, result, elapsed, is_final, load_report=report)
        )

    def start_response(self, action, attempt):
        request = self.open_requests.get(action.request_id)
        if request is not None and attempt in request["in_flight"]:
            self.handle(api.ResponseStarted(action.request_id, attempt, action.endpoint_id, 0.05))

    def reply_to_counter_call(self, action):
        draw = self.rng.random()
        if draw < 0.94:
            total = self.counter_totals[action.name] = (
                self.counter_totals.get(action.name, 0.0) + action.amount
            )
            self.handle(api.CounterReply(action.name, "ok", max(0.0, total), 0.002))
        elif draw < 0.98:
            self.handle(api.CounterReply(action.name, "timeout", 0.0, 0.05))
            if draw < 0.96:
                self.schedule(
                    0.1, lambda: self.handle(api.CounterReply(action.name, "late", action.amount, 0.15))
                )
        else:
            self.handle(api.CounterReply(action.name, "full" if draw < 0.99 else "connect_failed", 0.0, 0.01))

    # Events from outside

    def add_host(self, started_at):
        number = next(self.host_numbers)
        weight = self.rng.choice((1.0, 1.0, 1.0, 2.0, 10.0))
        host = api.Endpoint(
            f"h{number}", self.zones[number % len(self.zones)], number % 7, weight, "k", "up", started_at
        )
        self.hosts[host.id] = host
        return host

    def send_delta(self, *hosts):
        self.version += 1
        self.handle(api.EndpointList("delta", self.version, hosts))

    def send_list(self, mode):
        self.version += 1
        listed = list(self.hosts.values())
        if self.rng.random() < 0.3:
            self.rng.shuffle(listed)
        self.handle(api.EndpointList(mode, self.version, tuple(listed)))

    def replace(self, host, **fields):
        return dataclasses.replace(host, **fields)

    def remove_host(self, host):
        self.hosts.pop(host.id)
        self.removed_hosts[host.id] = (self.now, host)
        self.ejected_hosts.discard(host.id)

    def change_hosts(self):
        rng, host_ids = self.rng, list(self.hosts)
        count = min(len(host_ids), rng.choice((1, 1, 1, 1, 2, 5)))
        chosen = [self.hosts[host_id] for host_id in rng.sample(host_ids, count)]
        returning = [
            (host_id, host)
            for host_id, (removed_at, host) in self.removed_hosts.items()
            if self.now - removed_at < RETURN_PERIOD_S
        ]
        match rng.randrange(12):
            case 0 | 1 if len(host_ids) > 4:
                for host in chosen[: max(1, len(host_ids) // 4)]:
                    self.remove_host(host)
                    self.send_delta(self.replace(host, state="down"))
            case 2 if len(host_ids) > 4:
                for host in chosen[:1]:
                    self.remove_host(host)
                self.send_list("full")
            case 3 | 4 if returning:
                host_id, host = rng.choice(returning)
                del self.removed_hosts[host_id]
                self.hosts[host_id] = host if rng.random() < 0.5 else self.replace(host, started_at=self.now)
                self.send_delta(self.hosts[host_id])
            case 5:
                self.send_delta(self.add_host(self.now))
            case 6:
                for host in chosen:
                    self.hosts[host.id] = self.replace(host, started_at=self.now - rng.choice((0.0, 1.0)))
                self.send_delta(*(self.hosts[host.id] for host in chosen))
            case 7:
                for host in chosen:
                    self.hosts[host.id] = self.replace(host, weight=rng.choice((1.0, 2.5, 5.0, 10.0)))
                self.send_delta(*(self.hosts[host.id] for host in chosen))
            case 8 if len(host_ids) > 4:
                host = self.replace(chosen[0], state="leaving")
                self.send_delta(host)
                self.schedule(2.0, lambda: self.finish_drain(host.id))
            case 9:
                ejected = [host_id for host_id in self.ejected_hosts if host_id in self.hosts]
                if ejected and rng.random() < 0.7:
                    host_id = sorted(ejected)[0]
                    self.ejected_hosts.discard(host_id)
                    self.handle(api.EndpointOverride(host_id, False, self.now))
                else:
                    self.ejected_hosts.add(chosen[0].id)
                    self.handle(api.EndpointOverride(chosen[0].id, True, self.now))
            case 10:
                self.handle(api.EndpointList("failed", self.version, ()))
            case 11:
                failing_fraction = rng.choice((0.0, 0.1, 0.4))
                self.failing_hosts = {
                    host_id: rng.choice(FAILURE_RESULTS)
                    for host_id in host_ids
                    if rng.random() < failing_fraction
                }

    def finish_drain(self, host_id):
        if host_id in self.hosts:
            host = self.hosts[host_id]
            if self.rng.random() < 0.5:
                self.remove_host(host)
                self.send_delta(self.replace(host, state="down"))
            else:
                self.send_delta(host)

    def fail_zone(self):
        """Remove the hosts of a zone, or a third of the only zone, and restart them 6 s later."""
        zone = self.rng.choice(self.zones)
        is_only_zone = len(self.zones) == 1
        lost = [
            host
            for index, host in enumerate(self.hosts.values())
            if host.zone == zone and (index % 3 == 0 or not is_only_zone)
        ]
        for host in lost:
            self.remove_host(host)
        self.send_delta(*(self.replace(host, state="down") for host in lost))
        self.schedule(6.0, lambda: self.restart_hosts([host.id for host in lost]))

    def restart_hosts(self, host_ids):
        returning = [
            self.removed_hosts.pop(host_id)[1] for host_id in host_ids if host_id in self.removed_hosts
        ]
        for host in returning:
            self.hosts[host.id] = self.replace(host, started_at=self.now)
        self.send_delta(*(self.hosts[host.id] for host in returning))

    def send_request(self):
        rng, request_id = self.rng, f"r{self.event_count}"
        customer_number = min(int(rng.paretovariate(0.6)), 200)
        service_class, plan_name = (
            rng.choice(CLASSES),
            ("small", "wide", "even", "capped")[customer_number % 4],
        )
        self.open_requests[request_id] = {
            "service_class": service_class.name,
            "in_flight": set(),
            "numbers": itertools.count(),
            "hosts": {},
        }
        spread = max(1, min(self.gateway_count, 1 + customer_number % 60))
        time_left = service_class.deadline * rng.choice((1.0, 1.0, 0.5, 0.01))
        self.handle(
            api.Request(
                request_id,
                time_left,
                f"c{customer_number}",
                plan_name,
                service_class.name,
                rng.choice((1.0, 1.0, 2.0)),
                0,
                spread,
                rng.random() < 0.1,
            )
        )
        if rng.random() < 0.02:
            self.schedule(
                0.3,
                lambda: request_id in self.open_requests and self.handle(api.ClientDisconnected(request_id)),
            )

    def advance_to(self, until):
        while self.callbacks and self.callbacks[0][0] <= until:
            self.now, _, callback = heapq.heappop(self.callbacks)
            callback()
        self.now = until

    def run(self):
        rng = self.rng
        self.send_list("cached")
        change_at, zone_failure_at = self.now + 1.0, self.now + 0.3 * self.duration
        settings_change_at, load_factor = self.now + 0.6 * self.duration, 1.0
        while self.now < self.start_time + self.duration:
            self.advance_to(self.now + rng.expovariate(self.request_rate * load_factor))
            if self.now >= change_at:
                change_at = self.now + rng.expovariate(1.0 / max(0.4, self.duration / 100))
                load_factor = rng.choice((0.3, 1.0, 1.0, 3.0))
                self.change_hosts()
            if self.now >= zone_failure_at:
                zone_failure_at = self.now + 0.4 * self.duration
                self.fail_zone()
            if self.now >= settings_change_at:
                settings_change_at = self.now + 0.2 * self.duration
                self.handle(api.SettingsChanged(self.make_settings()))
                self.handle(api.DrainChanged(rng.random() < 0.3))
            self.send_request()
        return {"events": self.event_count, "digest": self.digest.hexdigest()}


def stream_cases(seeds):
    """Return the name, shape and seed of each stream for seeds from 1 to `seeds`."""
    return [(f"{shape} {seed}", SHAPES[shape], seed) for shape in SHAPES for seed in range(1, seeds + 1)]


@pytest.mark.parametrize("name, shape, seed", stream_cases(1))
def test_decisions_match_the_recorded_digests(name, shape, seed):
    assert Stream(shape, seed).run() == json.loads(DIGESTS_PATH.read_text())[name]


# Actions of each kind, made with positional arguments or defaults, and their recorded text
ENCODED_ACTIONS = [
    (
        api.SendAttempt("r1", "h'2", 0.25, 1.5e-07),
        """Send(id='r1', host="h'2", timeout=0.25, within=1.5e-07)""",
    ),
    (api.SendAttempt("r1", "h2"), "Send(id='r1', host='h2', timeout=0, within=inf)"),
    (api.RejectRequest("r1", 0.1, True), "Refuse(id='r1', retry_after=0.1, pressed=True)"),
    (api.RejectRequest("r1"), "Refuse(id='r1', retry_after=0, pressed=False)"),
    (api.FailRequest("r1"), "Fail(id='r1')"),
    (api.CancelAttempt("r1", 2), "Cancel(id='r1', attempt=2)"),
    (api.AddToCounter(7, 1.0, 60.0), "Count(name=7, amount=1.0, lifetime=60.0)"),
    (api.SetTimer(0.30000000000000004, 3), "SetTimer(delay=0.30000000000000004, label=3)"),
    (api.CheckHealth("h2"), "Probe(host='h2')"),
    (api.CloseIdleConnections("h2"), "Close(host='h2')"),
    (api.FetchEndpoints(), "Fetch()"),
    (api.WatchEndpoints(False), "Watch(on=False)"),
    (api.ResizeSubset(40), "Widen(hosts=40)"),
    (api.ClusterClockChanged(True), "Synchronizing(on=True)"),
    (api.LogMessage("a {b} \u00e4\n"), "Log(text='a {b} \u00e4\\n')"),
]


@pytest.mark.parametrize("action, text", ENCODED_ACTIONS, ids=[text for _, text in ENCODED_ACTIONS])
def test_action_is_formatted_as_recorded(action, text):
    assert encode_actions([action]) == f"[{text}]\n".encode()


def test_actions_of_an_event_are_joined_in_order():
    assert encode_actions([]) == b"[]\n"
    assert encode_actions([api.FailRequest("r1"), api.FetchEndpoints()]) == b"[Fail(id='r1'), Fetch()]\n"


def test_each_kind_of_action_has_a_format():
    kinds = set(typing.get_args(api.Action))
    assert set(RECORDED_FORMATS) == kinds == {type(action) for action, _ in ENCODED_ACTIONS}


if __name__ == "__main__":
    digests, event_counts = {}, {}
    for name, shape, seed in stream_cases(int(sys.argv[2]) if len(sys.argv) > 2 else 1):
        stream, started_at = Stream(shape, seed), time.process_time()
        digests[name] = stream.run()
        for kind, count in stream.event_counts.items():
            event_counts[kind] = event_counts.get(kind, 0) + count
        print(f"{name}: {stream.event_count} events, {time.process_time() - started_at:.1f} s", flush=True)
    Path(sys.argv[1]).write_text(json.dumps(digests, indent=1) + "\n")
    print(sum(result["events"] for result in digests.values()), "events:", event_counts)
