"""Cold hosts under the sum of many gateways: what all of them together send to each, against what it bears.

Played on one clock with no sockets: hosts work on requests one behind another, answer slower while cold, and
turn away what is too much. A cold host falls over with more than N + 2 x root of N + 2 requests in the time
that the settings name; N is what they allow it at the start of that time, when it bears least. A gateway
that has not heard yet that a host started anew takes it for warm; what it sends is in the sum of all, and
left out of that of the gateways that were told."""

import heapq
import itertools
import math
import random

import pytest
from helpers import actions_of, host, plan, settings

from api_gateway import interface as api
from api_gateway.policy import DecisionEngine
from api_gateway.policy.endpoint_table import EndpointState

BIG = plan(rate=1e6, burst=1e6)
LENGTH = 13.0  # s of a play
START = 1000.0


class Machine:
    """A host: when each of its slots is free, and when requests came."""

    def __init__(self, name, slots, work):
        self.name, self.started, self.free, self.came = name, 0.0, [0.0] * slots, []
        self.told = []  # of those that came the ones from gateways that knew when it started
        self.rate = slots / work  # requests a second while it is warm

    def slow_start_factor(self, now, rules):
        age = now - self.started
        if not self.started or age >= rules.slow_start_duration:
            return 1.0
        return (
            rules.slow_start_min_capacity
            + (1 - rules.slow_start_min_capacity) * age / rules.slow_start_duration
        )

    def take(self, now, work, rules):
        """When its answer comes; None: it turns the request away."""
        self.came.append(now)
        begins = max(now, heapq.heappop(self.free))
        if begins - now > 0.5:
            heapq.heappush(self.free, begins)
            return None
        ends = begins + work / self.slow_start_factor(now, rules)
        heapq.heappush(self.free, ends)
        return ends

    def worst(self, rules, came):
        """The most of these in one overload window while it was cold, as part of what makes it fall."""
        cold = [at for at in came if self.started and 0 <= at - self.started < rules.slow_start_duration]
        worst, first = 0.0, 0
        for last, at in enumerate(cold):
            while at - cold[first] > rules.overload_window:
                first += 1
            warm = self.slow_start_factor(max(self.started, at - rules.overload_window), rules)
            n = rules.overload_multiple * self.rate * warm * rules.overload_window
            worst = max(worst, (last - first + 1) / (n + 2 * math.sqrt(n) + 2))
        return worst


class Play:
    """Gateways with uneven traffic. `cold`: moments at which so many hosts come back; `restarts`: moments at
    which so many gateways start anew. Hosts work on `slots` requests at once, for `work` seconds each."""

    def __init__(
        self, seed, gateways=30, hosts=12, load=0.6, cold=(), restarts=(), slots=2, work=0.05, **rules
    ):
        self.rng, self.work = random.Random(seed), work
        self.conf = [
            settings(
                plans=[BIG],
                gateway_count=gateways,
                gateway_index=n,
                has_counter=False,
                counter_timeout=0.0,
                rules=rules,
            )
            for n in range(gateways)
        ]
        self.rules = self.conf[0].rules
        self.machines = {f"h{n}": Machine(f"h{n}", slots, work) for n in range(hosts)}
        self.gateways = [None] * gateways
        self.order, self.events, self.now = itertools.count(), [], START
        for n in range(gateways):
            self.begin(n)
        parts = [self.rng.lognormvariate(0.0, 0.8) for _ in range(gateways)]
        rate = load * hosts * slots / work
        for n, part in enumerate(parts):
            self.traffic(n, rate * part / sum(parts))
        for at, count in cold:
            self.at(START + at, self.come_back, count)
        for at, count in restarts:
            self.at(START + at, self.restart, count)
        self.sends = {}  # by gateway's life and request: attempts so far
        self.served = self.asked = 0

    def at(self, time, act, *args):
        heapq.heappush(self.events, (time, next(self.order), act, args))

    def run(self):
        while self.events and self.events[0][0] < START + LENGTH:
            self.now, _, act, args = heapq.heappop(self.events)
            act(*args)
        return max(machine.worst(self.rules, machine.came) for machine in self.machines.values())

    def told(self):
        """As `run` tells, of the gateways that knew."""
        return max(machine.worst(self.rules, machine.told) for machine in self.machines.values())

    def listed(self, machines):
        return tuple(host(m.name, started=m.started) for m in machines)

    def begin(self, n):
        self.gateways[n] = DecisionEngine(self.conf[n], self.rng.getrandbits(32), self.now)
        self.tell(self.gateways[n], api.EndpointList("cached", 1, self.listed(self.machines.values())))

    def restart(self, count):
        for n in self.rng.sample(range(len(self.gateways)), min(count, len(self.gateways))):
            self.begin(n)

    def come_back(self, count):
        """Hosts that are warm start anew; each gateway hears of it by itself."""
        warm = [m for m in self.machines.values() if not m.started]
        back = self.rng.sample(warm, count)
        for machine in back:
            machine.started, machine.free = self.now, [self.now] * len(machine.free)
        for n in range(len(self.gateways)):
            self.at(self.now + self.rng.uniform(0.0, 0.3), self.hear, n, self.listed(back))

    def hear(self, n, hosts):
        self.tell(self.gateways[n], api.EndpointList("delta", 2, hosts))

    def traffic(self, n, rate):
        self.at(self.now + self.rng.expovariate(rate), self.ask, n, rate)

    def ask(self, n, rate):
        self.asked += 1
        name, customer = f"r{self.asked}", f"c{self.asked % 50}"
        self.tell(self.gateways[n], api.Request(name, 3.0, customer, "p", "read", 1, 0, 1))
        self.traffic(n, rate)

    def tell(self, gateway, event):
        if gateway not in self.gateways:  # of an earlier life
            return
        acts = gateway.handle(self.now, event)
        for timer in actions_of(acts, api.SetTimer):
            self.at(self.now + timer.delay, self.tell, gateway, api.TimerFired(timer.label))
        for send in actions_of(acts, api.SendAttempt):
            self.send(gateway, send)

    def send(self, gateway, send):
        number = self.sends[send.request_id] = self.sends.get(send.request_id, -1) + 1
        machine = self.machines[send.endpoint_id]
        if gateway.endpoint_pool.endpoints[send.endpoint_id].started_at == machine.started:
            machine.told.append(self.now)
        ends = machine.take(self.now, self.rng.uniform(0.5, 1.5) * self.work, self.rules)
        result = "full" if ends is None else "ok"
        self.at(ends or self.now + 0.002, self.answer, gateway, send, number, result, self.now)

    def answer(self, gateway, send, number, result, sent):
        self.served += result == "ok"
        self.tell(
            gateway,
            api.AttemptEnded(
                send.request_id, number, send.endpoint_id, result, self.now - sent, result == "ok"
            ),
        )


SMALL = dict(slots=1, work=0.15, cold=((4.0, 3), (6.0, 4)))
DAYS = {
    "a few": dict(cold=((4.0, 2),)),
    "at different moments": dict(cold=((4.0, 1), (5.0, 2), (6.0, 1), (8.0, 2))),
    "most": dict(cold=((4.0, 3), (5.5, 3), (7.0, 3))),
    "few hosts": dict(hosts=6, cold=((4.0, 1), (7.0, 2))),
    "one host of two": dict(hosts=2, cold=((5.0, 1),)),
    "all": dict(cold=((5.0, 12),)),
    "gateways start too": dict(cold=((4.0, 2), (6.0, 2)), restarts=((4.5, 10), (5.5, 10), (6.1, 20))),
    "all gateways start on cold hosts": dict(cold=((5.0, 9),), restarts=((5.2, 30),)),
    "crowded": dict(load=0.95, cold=((4.0, 2), (6.0, 2)), restarts=((6.5, 15),)),
    "overrun": dict(load=1.6, cold=((5.0, 4),), restarts=((6.0, 10),)),
    "small hosts": dict(SMALL, restarts=((6.5, 15),)),
    "small hosts, crowded": dict(SMALL, load=1.0, slow_start_min_capacity=0.1),
    "small hosts that fall soon": dict(SMALL, overload_window=0.5, slow_start_min_capacity=0.1),
    "large hosts": dict(slots=16, work=0.1, hosts=6, cold=((4.0, 1), (6.0, 2)), overload_window=1.0),
    "as at a site": dict(
        slots=3,
        work=0.25,
        cold=((4.0, 3), (6.0, 3)),
        restarts=((6.5, 15),),
        load=0.8,
        overload_multiple=3.0,
        overload_window=1.0,
        slow_start_min_capacity=0.18,
        slow_start_duration=18.0,
    ),
}


@pytest.mark.parametrize("day", DAYS)
@pytest.mark.parametrize("gateways", [20, 30])
def test_no_cold_host_falls_under_the_sum_of_all_gateways(day, gateways):
    played = Play(7 * gateways, gateways, **DAYS[day])
    assert played.run() <= 1.0 and played.told() <= 1.0
    assert played.served > 0.4 * played.asked  # and work is done meanwhile


@pytest.mark.parametrize(
    "gateways, seed, share", [(20, 3, 0.05), (20, 10, 0.1), (30, 13, 0.05), (30, 13, 0.1)]
)
def test_gateways_that_know_send_no_cold_host_too_much_where_hosts_fall_soon(gateways, seed, share):
    """Crowded small hosts that fall within 0.5 s, and news that takes up to 0.3 s: five sends of gateways
    that were not told yet are 1.16 of what makes one fall; nothing that these know could keep them back."""
    played = Play(seed, gateways, **SMALL, load=1.0, overload_window=0.5, slow_start_min_capacity=share)
    played.run()
    assert played.told() <= 1.0
    late = [
        at - m.started
        for m in played.machines.values()
        if m.started
        for at in set(m.came) - set(m.told)
        if at >= m.started
    ]
    assert 0.0 < max(late) < 0.3  # what came in ignorance came before the news
    assert played.served > 0.4 * played.asked


@pytest.mark.parametrize("day", ["most", "small hosts", "small hosts, crowded"])
def test_the_play_tells_where_cold_hosts_get_too_much(day, monkeypatch):
    """Planted: cold hosts are taken for warm ones."""
    monkeypatch.setattr(EndpointState, "slow_start_factor", lambda *_: 1.0)
    played = Play(1, **DAYS[day] | dict(load=0.95, overload_multiple=1.0))
    assert played.run() > 1.0 and played.told() > 1.0
