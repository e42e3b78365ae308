"""Decisions event by event on seeded streams, against digests that the module gave before a change to it.

A stream is made by what the module does: its attempts end, its counts are answered and its timers fire, so
one decision that differs changes all that follows. The digests are of the text that `repr` gave for the
actions when they were recorded, so that text is written here by names of its own. Recorded by
`python tests/policy/test_decision_streams.py FILE [SEEDS]` from the module that is first on PYTHONPATH.
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

RECORDED = Path(__file__).resolve().parent / "decision_streams.json"
STREAM = api.ServiceClass("stream", 1.0, 6.0, "safe", "all", 5.0, 1.0, 0.5, True, 0.0)
CLASSES = (READ, WRITE, CELL, NOTE, STREAM)
# The recorded text of each action: its class and its fields, in the order in which it holds their values.
TEXTS = {
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
KEEPS = 30.0  # s after which a host that left returns no more
RESULTS = ("error", "full", "timeout", "connect_failed", "reset")
# name: gateways, hosts, requests a second, seconds, zones, discovery, reports, share of hosts that start cold
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


def encode(actions):
    """The bytes that are hashed for the actions of one event."""
    return "[{}]\n".format(", ".join(map(text_of, actions))).encode()


def text_of(action):
    values = [getattr(action, field.name) for field in dataclasses.fields(action)]
    text = TEXTS[type(action)]
    assert text.count("{!r}") == len(values), action
    return text.format(*values)


class Stream:
    def __init__(self, shape, seed):
        self.gateways, count, self.rate, self.length, zones, self.discovery, self.reports, cold = shape
        self.rng, self.now, self.begin = random.Random(f"{seed} {shape}"), 1000.0, 1000.0
        self.zones = [f"z{n + 1}" for n in range(zones)]
        self.hosts, self.left, self.banned = {}, {}, set()
        self.numbers, self.version, self.order = itertools.count(), 1, itertools.count()
        for _ in range(count):
            self.start(0.0 if self.rng.random() >= cold else self.now - 12 * self.rng.random())
        self.conf = self.configure()
        self.index = self.conf.gateway_index
        self.gw = DecisionEngine(self.conf, seed, self.now)
        self.digest, self.events, self.kinds = hashlib.sha256(), 0, {}
        self.due, self.open, self.bad, self.counts = [], {}, {}, {}

    def configure(self):
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
        index = getattr(self, "index", rng.randrange(self.gateways))
        return settings(
            plans,
            limits,
            rules,
            gateway_index=index,
            gateway_count=self.gateways,
            zone=self.zones[0],
            classes={c.name: c for c in CLASSES},
            discovery_mode=self.discovery,
        )

    def put(self, after, make):
        heapq.heappush(self.due, (self.now + after, next(self.order), make))

    def handle(self, event):
        self.events += 1
        name = type(event).__name__
        self.kinds[name] = self.kinds.get(name, 0) + 1
        actions = self.gw.handle(self.now, event)
        self.digest.update(encode(actions))
        for action in actions:
            self.act(action)

    # What the module's actions lead to.

    def act(self, action):
        rng = self.rng
        match action:
            case api.SendAttempt():
                number, work = next(self.open[action.request_id]["numbers"]), self.open[action.request_id]
                result, took = self.fate(action.endpoint_id)
                work["live"].add(number)
                work["hosts"][number] = action.endpoint_id
                if work["cls"] == "stream" and result == "ok":
                    self.put(took / 2, lambda: self.began(action, number))
                self.put(took, lambda: self.end(action, number, result, took))
            case api.CancelAttempt():
                self.put(0.001, lambda: self.end(action, action.attempt, "cancelled", 0.01))
            case api.RejectRequest() | api.FailRequest():
                self.open.pop(action.request_id, None)
            case api.AddToCounter():
                self.put(0.002 + 0.003 * rng.random(), lambda: self.counted(action))
            case api.SetTimer():
                self.put(action.delay, lambda: self.handle(api.TimerFired(action.label)))
            case api.WatchEndpoints():
                self.put(0.05, lambda: self.whole("full"))

    def fate(self, host):
        rng, bad = self.rng, self.bad.get(host)
        gone = host not in self.hosts
        if gone and rng.random() < 0.7:
            return "connect_failed", 0.001
        if bad and rng.random() < 0.9:
            return bad, {"timeout": 2.5, "full": 0.002, "error": 0.01}.get(bad, 0.05)
        if rng.random() < 0.03:
            return rng.choice(RESULTS), 0.2 * rng.random()
        return "ok", min(4.0, rng.expovariate(12.0) + (1.5 if rng.random() < 0.02 else 0.0))

    def end(self, action, number, result, took):
        work = self.open.get(action.request_id)
        if work is not None and number in work["live"]:
            work["live"].discard(number)
        elif work is not None or result == "cancelled" or self.rng.random() < 0.5:
            return  # else a word that comes after all, when all is over
        host = action.endpoint_id if work is None else work["hosts"][number]
        busy = 6.0 * len(self.bad) / max(1, len(self.hosts))
        report = {"queue": 3.0 * self.rng.random() + busy, "util": 0.5} if self.reports else {}
        final = result == "ok"
        if final:
            self.open.pop(action.request_id, None)
        self.handle(
            api.AttemptEnded(action.request_id, number, host, result, took, final, load_report=report)
        )

    def began(self, action, number):
        work = self.open.get(action.request_id)
        if work is not None and number in work["live"]:
            self.handle(api.ResponseStarted(action.request_id, number, action.endpoint_id, 0.05))

    def counted(self, action):
        luck = self.rng.random()
        if luck < 0.94:
            total = self.counts[action.name] = self.counts.get(action.name, 0.0) + action.amount
            self.handle(api.CounterReply(action.name, "ok", max(0.0, total), 0.002))
        elif luck < 0.98:
            self.handle(api.CounterReply(action.name, "timeout", 0.0, 0.05))
            if luck < 0.96:
                self.put(0.1, lambda: self.handle(api.CounterReply(action.name, "late", action.amount, 0.15)))
        else:
            self.handle(api.CounterReply(action.name, "full" if luck < 0.99 else "connect_failed", 0.0, 0.01))

    # What comes from outside.

    def start(self, started):
        n = next(self.numbers)
        weight = self.rng.choice((1.0, 1.0, 1.0, 2.0, 10.0))
        host = api.Endpoint(f"h{n}", self.zones[n % len(self.zones)], n % 7, weight, "k", "up", started)
        self.hosts[host.id] = host
        return host

    def delta(self, *hosts):
        self.version += 1
        self.handle(api.EndpointList("delta", self.version, hosts))

    def whole(self, mode):
        self.version += 1
        some = list(self.hosts.values())
        if self.rng.random() < 0.3:
            self.rng.shuffle(some)
        self.handle(api.EndpointList(mode, self.version, tuple(some)))

    def replace(self, host, **kw):
        return dataclasses.replace(host, **kw)

    def lose(self, host):
        self.hosts.pop(host.id)
        self.left[host.id] = (self.now, host)
        self.banned.discard(host.id)

    def change(self):
        rng, names = self.rng, list(self.hosts)
        count = min(len(names), rng.choice((1, 1, 1, 1, 2, 5)))
        some = [self.hosts[name] for name in rng.sample(names, count)]
        back = [(name, h) for name, (at, h) in self.left.items() if self.now - at < KEEPS]
        match rng.randrange(12):
            case 0 | 1 if len(names) > 4:
                for h in some[: max(1, len(names) // 4)]:
                    self.lose(h)
                    self.delta(self.replace(h, state="down"))
            case 2 if len(names) > 4:
                for h in some[:1]:
                    self.lose(h)
                self.whole("full")
            case 3 | 4 if back:
                name, h = rng.choice(back)
                del self.left[name]
                self.hosts[name] = h if rng.random() < 0.5 else self.replace(h, started_at=self.now)
                self.delta(self.hosts[name])
            case 5:
                self.delta(self.start(self.now))
            case 6:
                for h in some:
                    self.hosts[h.id] = self.replace(h, started_at=self.now - rng.choice((0.0, 1.0)))
                self.delta(*(self.hosts[h.id] for h in some))
            case 7:
                for h in some:
                    self.hosts[h.id] = self.replace(h, weight=rng.choice((1.0, 2.5, 5.0, 10.0)))
                self.delta(*(self.hosts[h.id] for h in some))
            case 8 if len(names) > 4:
                h = self.replace(some[0], state="leaving")
                self.delta(h)
                self.put(2.0, lambda: self.drained(h.id))
            case 9:
                out = [name for name in self.banned if name in self.hosts]
                if out and rng.random() < 0.7:
                    name = sorted(out)[0]
                    self.banned.discard(name)
                    self.handle(api.EndpointOverride(name, False, self.now))
                else:
                    self.banned.add(some[0].id)
                    self.handle(api.EndpointOverride(some[0].id, True, self.now))
            case 10:
                self.handle(api.EndpointList("failed", self.version, ()))
            case 11:
                part = rng.choice((0.0, 0.1, 0.4))
                self.bad = {name: rng.choice(RESULTS) for name in names if rng.random() < part}

    def drained(self, name):
        if name in self.hosts:
            host = self.hosts[name]
            if self.rng.random() < 0.5:
                self.lose(host)
                self.delta(self.replace(host, state="down"))
            else:
                self.delta(host)

    def lose_zone(self):
        """A zone goes, or a third of the only one, and comes back started again."""
        zone = self.rng.choice(self.zones)
        alone = len(self.zones) == 1
        lost = [h for n, h in enumerate(self.hosts.values()) if h.zone == zone and (n % 3 == 0 or not alone)]
        for h in lost:
            self.lose(h)
        self.delta(*(self.replace(h, state="down") for h in lost))
        self.put(6.0, lambda: self.regain([h.id for h in lost]))

    def regain(self, names):
        back = [self.left.pop(name)[1] for name in names if name in self.left]
        for h in back:
            self.hosts[h.id] = self.replace(h, started_at=self.now)
        self.delta(*(self.hosts[h.id] for h in back))

    def ask(self):
        rng, name = self.rng, f"r{self.events}"
        n = min(int(rng.paretovariate(0.6)), 200)
        cls, of = rng.choice(CLASSES), ("small", "wide", "even", "capped")[n % 4]
        self.open[name] = {"cls": cls.name, "live": set(), "numbers": itertools.count(), "hosts": {}}
        spread = max(1, min(self.gateways, 1 + n % 60))
        left = cls.deadline * rng.choice((1.0, 1.0, 0.5, 0.01))
        self.handle(
            api.Request(
                name, left, f"c{n}", of, cls.name, rng.choice((1.0, 1.0, 2.0)), 0, spread, rng.random() < 0.1
            )
        )
        if rng.random() < 0.02:
            self.put(0.3, lambda: name in self.open and self.handle(api.ClientDisconnected(name)))

    def step(self, at):
        while self.due and self.due[0][0] <= at:
            self.now, _, make = heapq.heappop(self.due)
            make()
        self.now = at

    def run(self):
        rng = self.rng
        self.whole("cached")
        change_at, zone_at = self.now + 1.0, self.now + 0.3 * self.length
        tune_at, busy = self.now + 0.6 * self.length, 1.0
        while self.now < self.begin + self.length:
            self.step(self.now + rng.expovariate(self.rate * busy))
            if self.now >= change_at:
                change_at = self.now + rng.expovariate(1.0 / max(0.4, self.length / 100))
                busy = rng.choice((0.3, 1.0, 1.0, 3.0))
                self.change()
            if self.now >= zone_at:
                zone_at = self.now + 0.4 * self.length
                self.lose_zone()
            if self.now >= tune_at:
                tune_at = self.now + 0.2 * self.length
                self.handle(api.SettingsChanged(self.configure()))
                self.handle(api.DrainChanged(rng.random() < 0.3))
            self.ask()
        return {"events": self.events, "digest": self.digest.hexdigest()}


def names(seeds):
    return [(f"{shape} {seed}", SHAPES[shape], seed) for shape in SHAPES for seed in range(1, seeds + 1)]


@pytest.mark.parametrize("name, shape, seed", names(1))
def test_decisions_are_those_recorded(name, shape, seed):
    assert Stream(shape, seed).run() == json.loads(RECORDED.read_text())[name]


# One action of each kind, made by position, and its recorded text; further ones with defaults.
ENCODED = [
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


@pytest.mark.parametrize("action, text", ENCODED, ids=[text for _, text in ENCODED])
def test_text_of_an_action_is_the_recorded_one(action, text):
    assert encode([action]) == f"[{text}]\n".encode()


def test_texts_of_actions_stand_one_after_the_other():
    assert encode([]) == b"[]\n"
    assert encode([api.FailRequest("r1"), api.FetchEndpoints()]) == b"[Fail(id='r1'), Fetch()]\n"


def test_each_kind_of_action_has_a_text():
    kinds = set(typing.get_args(api.Action))
    assert set(TEXTS) == kinds == {type(action) for action, _ in ENCODED}


if __name__ == "__main__":
    told, kinds = {}, {}
    for name, shape, seed in names(int(sys.argv[2]) if len(sys.argv) > 2 else 1):
        stream, began = Stream(shape, seed), time.process_time()
        told[name] = stream.run()
        for kind, count in stream.kinds.items():
            kinds[kind] = kinds.get(kind, 0) + count
        print(f"{name}: {stream.events} events, {time.process_time() - began:.1f} s", flush=True)
    Path(sys.argv[1]).write_text(json.dumps(told, indent=1) + "\n")
    print(sum(t["events"] for t in told.values()), "events:", kinds)
