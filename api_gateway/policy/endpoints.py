"""What is known of the hosts: who is there, how much each bears, which are doubtful; the choice of one.

It is kept by change: no request, timer or change of one host walks all hosts. A list may be a view, the hosts
that this gateway was given of all there are: the module is then one of `crowd` gateways there.
"""

from __future__ import annotations

import bisect
import itertools
import math
import random
from typing import TypeVar

from api_gateway import interface as api
from api_gateway.policy.customer_accounts import GAIN, QUICK, stable_hash
from api_gateway.policy.outlier_detection import HealthEstimator
from api_gateway.policy.slow_start import StartTimes, later_start

TICK = 0.02  # s; coarsest delay of a check on held requests and copies; far under any aim

# Attempts out
LIMIT_MOST = 4.0  # attempts out at one host over all gateways
ROOM_CLEAR = 0.6  # part of that below which hosts clearly have room
OUT_SLACK = 2.0  # times its even part that one gateway may have out, where there are few gateways
OUT_EVEN = 4.0  # gateways above which it is less
ABLE_SPAN = 0.1  # s between two counts of the hosts that can do work
COPY_AT = 4.0  # mean deviations above the mean time, after which an attempt is taken for silent
PRIOR = 4  # answers that a class's first mean and deviation stand for: one alone tells no deviation

# Load and pressure
CONGESTED = 5.0  # requests held at a host, above which it holds more than it works on well
PRESSED = 0.5  # part of answers from congested hosts that sheds work
PRESS_SPAN = 1.5  # s over which that part is taken
SERVERS_OF_HOST = 2.0  # requests a host works on at once, when nothing tells more
REPORT_AGE = 1.0  # s after which a load report says half as much
RATE_SPAN = 3.0  # s over which own sends are counted

# Choice of a host
OWN_PART = 3.0  # hosts that a gateway uses, times those whose even part of attempts it may have out
CHOICES = 4.0  # hosts compared, times hosts over gateways
DRAWS = 40  # draws of a host before all are looked at
CROSS_WEIGHT = 10.0  # relative service time given to save one unit of the cross-zone price
LOOK_MOST = 512  # hosts looked at one by one for a choice or a sum; of more, so many drawn stand for all
GOLDEN = 0.6180339887498949  # places of gateways in steps of this are even on the ring, whatever their number

# Slow start
COLD_PART = 0.4  # of what a cold host bears by the rules, the rest for chance and the others' bursts

# Lists and views
BULK = 16  # a list that names more than one host in so many up has all sorted: the quicker way from there on
GONE_SPAN = 60.0  # s for which a host that left is known: lists blink
GONE_LEAST = 64  # hosts that left which are known at least, or as many as are up
VIEW_SPARE = 2.0  # hosts of a plain view, times those that a gateway uses: half may be cold or fail
VIEW_LEAD = 0.1  # part of these that is passed over at its begin where it is as dense as all the ring
WIDEN_SPAN = 5.0  # s by which a view that was asked for is there
EASY_SPAN = 60.0  # s of ease until a wide view is given back

BY_NUMBER, BY_PLACE = (lambda s: s.number), (lambda s: (s.place, s.number))
T = TypeVar("T")


class Server:
    def __init__(self, host: api.Endpoint, now: float, credit: float, began: float) -> None:
        self.host, self.up = host, host.state == "up"
        self.out: dict[tuple[str, int], float] = {}  # attempts out: when sent
        self.began = began  # when it started, as far as is known; 0: long ago
        self.others, self.others_at, self.ratio = 0.0, -math.inf, 1.0  # ratio: time against the fleet's
        self.credit, self.credit_at, self.dice = credit, now, credit  # sends it may get from here while cold
        self.number = 0  # in order of the first word of each
        self.place = stable_hash(host.id, "place")  # on the ring that gateways take their hosts from

    def warmth(self, now: float, rules: api.Rules) -> float:
        if not self.began > 0 or now - self.began >= rules.slow_start_duration:
            return 1.0
        age = max(0.0, now - self.began)
        return (
            rules.slow_start_min_capacity
            + (1 - rules.slow_start_min_capacity) * age / rules.slow_start_duration
            if rules.slow_start_duration
            else 1.0
        )


class Fleet:
    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        self.rng, self.health, self.numbers = rng, HealthEstimator(), itertools.count()
        self.servers: dict[str, Server] = {}
        self.starts = StartTimes()
        self.gone: dict[str, float] = {}  # of these the ones not listed as up, since when
        self.up: list[Server] = []  # listed as up, and not banned
        self.ring: list[Server] = []  # the same in order of their places, which is one for all gateways
        self.own: list[Server] = []  # those that this gateway uses
        self.cold: dict[str, Server] = {}  # of `up`; some may be warm by now
        self.weights: list[float] = []  # of `up`, in order
        self.banned: dict[str, float] = {}  # hosts that an operator took out, and when
        self.mean, self.dev, self.seen = dict[str, float](), dict[str, float](), dict[str, int]()
        self.rate, self.rate_at = 0.0, 0.0  # own sends a second
        self.done, self.done_at = 0.0, 0.0  # answers a second from warm hosts
        self.warm, self.warm_at = 0.0, -math.inf  # weight of the warm hosts among its own
        self.warm_own: list[Server] | None = None  # whose it is, if all are warm
        self.able, self.able_at = 0.0, -math.inf  # hosts that can do work, in whole ones
        self.out, self.held, self.reports = 0, 0.0, False  # own attempts out; mean load of reports, if any
        self.pressure, self.answer_at = 0.0, 0.0
        self.top = 1.0  # largest weight
        self.ahead: float | None = None  # rank of its place among those of all gateways, less the place
        self.given = self.total = 0  # hosts of which the list is a view, by the list; 0: it is the whole list
        self.wish = self.asked = 0  # hosts of the view that is to be asked for, and that was
        self.asked_at, self.short_at = -math.inf, -math.inf  # when it was; when a plain view last fell short
        self.retune(settings)

    def retune(self, settings: api.Settings) -> None:
        """A class that is new has no history; one that is gone keeps its own, for what is still open."""
        self.set, self.warm_own, self.ahead = settings, None, None
        self.cold.update((s.host.id, s) for s in self.up if s.began > 0)  # it may be so by the new rules
        self.gauge()
        for c in settings.classes.values():
            if c.name not in self.mean:
                self.mean[c.name] = self.dev[c.name] = min(c.latency_objective / 5, c.deadline)
                self.seen[c.name] = PRIOR

    def gauge(self) -> None:
        """How many gateways share the hosts that are listed here."""
        listed = len(self.up) + sum(s is not None and s.up for s in map(self.servers.get, self.banned))
        self.total = self.given if self.given > listed else 0
        self.crowd = (
            max(1.0, self.set.gateway_count * listed / self.total) if self.total else self.set.gateway_count
        )
        self.limit = max(1.0, LIMIT_MOST / self.crowd)

    def listed(self, now: float, event: api.EndpointList) -> None:
        whole = event.mode not in ("delta", "failed")
        if whole:
            named = {h.id for h in event.endpoints}
            for name, server in self.servers.items():
                if server.up and name not in named:
                    server.up, self.gone[name] = False, now
        bulk = whole or len(event.endpoints) * BULK > len(self.up)
        for host in event.endpoints:
            self.hear(now, host, bulk, event.available_total > 0)
        self.starts.heard(now, event.mode)
        self.given = self.given if event.mode == "failed" else event.available_total
        if bulk:
            self.sort(now)
        self.refresh(now)

    def hear(self, now: float, host: api.Endpoint, bulk: bool, view: bool) -> None:
        old = self.servers.get(host.id)
        if old is None and host.state != "up" and view:
            return  # it is in other views
        if old is not None and not bulk:
            self.leave(old)
        if old is None or (host.state == "up" and host.started_at > old.host.started_at):
            # Credit starts anywhere below one send: first sends of many gateways are spread over time.
            cold_time = self.set.rules.slow_start_duration
            began = self.starts.began(now, host, old.host if old else None, view, cold_time)
            self.know(Server(host, now, self.rng.random(), began), old)
        else:
            old.host, old.up = host, host.state == "up"
        server = self.servers[host.id]
        self.gone.pop(host.id, None) if server.up else self.gone.setdefault(host.id, now)
        if not bulk:
            self.enter(server)

    def know(self, server: Server, old: Server | None) -> None:
        server.number, server.out = (next(self.numbers), {}) if old is None else (old.number, old.out)
        self.servers[server.host.id] = server
        self.health.forget(server.host.id)  # what its last life did says nothing of this one

    def ban(self, now: float, event: api.EndpointOverride) -> None:
        """What is known of a host ends with its ban: it was restarted meanwhile, or may have been."""
        old = self.servers.get(event.endpoint_id)
        if old is not None:
            self.leave(old)
        since = self.banned.pop(event.endpoint_id, event.at)
        if event.ejected:
            self.banned[event.endpoint_id] = event.at
        if old is not None and not event.ejected:
            began = old.began if old.host.started_at > since else min(event.at, now)
            self.know(Server(old.host, now, self.rng.random(), began), old)
            self.servers[event.endpoint_id].up = old.up
            self.enter(self.servers[event.endpoint_id])
        self.refresh(now)

    def clock_stepped(self, now: float, offset: float) -> None:
        """The wall clock may be off by `offset` seconds: what is cold by either reading of it is cold."""
        for server in self.up:
            if server.host.started_at > 0:
                server.began = later_start(
                    now, server.began, server.host.started_at, offset, self.set.rules.slow_start_duration
                )
                if server.warmth(now, self.set.rules) < 1.0:
                    self.cold[server.host.id] = server
        self.refresh(now)

    def enter(self, s: Server) -> None:
        if s.up and s.host.id not in self.banned:
            bisect.insort(self.up, s, key=BY_NUMBER)
            bisect.insort(self.ring, s, key=BY_PLACE)
            bisect.insort(self.weights, s.host.weight)
            if s.began > 0:
                self.cold[s.host.id] = s

    def leave(self, s: Server) -> None:
        if s.up and s.host.id not in self.banned:
            del self.up[bisect.bisect_left(self.up, BY_NUMBER(s), key=BY_NUMBER)]
            del self.ring[bisect.bisect_left(self.ring, BY_PLACE(s), key=BY_PLACE)]
            del self.weights[bisect.bisect(self.weights, s.host.weight) - 1]  # the last of equals
            self.cold.pop(s.host.id, None)

    def sort(self, now: float) -> None:
        """All that `enter` and `leave` keep, from the beginning."""
        up = [s for s in self.servers.values() if s.up and s.host.id not in self.banned]
        self.up, self.ring, self.weights = up, sorted(up, key=BY_PLACE), sorted(s.host.weight for s in up)
        self.cold = {s.host.id: s for s in up if s.warmth(now, self.set.rules) < 1.0}

    def refresh(self, now: float) -> None:
        self.gauge()
        self.own, self.able_at, self.warm_own = self.up, -math.inf, None
        self.top = (self.weights[-1] if self.weights else 1.0) or 1.0
        self.forget(now)

    def forget(self, now: float) -> None:
        """Of hosts that left long ago, or with many after them, nothing stays once none of their attempts is
        out; a ban does. Harm: one that was away for longer starts as unknown."""
        for name, since in list(itertools.islice(self.gone.items(), LOOK_MOST)):
            if now - since <= GONE_SPAN and len(self.gone) <= max(GONE_LEAST, len(self.up)):
                break
            del self.gone[name]
            if self.servers[name].out:
                self.gone[name] = now
            else:
                del self.servers[name]
                self.health.forget(name)

    def some(self, servers: list[T]) -> list[T]:
        """All of them, or as many as are looked at one by one."""
        n, luck = len(servers), self.rng.random
        return servers if n <= LOOK_MOST else list({servers[int(luck() * n)]: None for _ in range(LOOK_MOST)})

    def mean_held(self) -> float:
        return self.held if self.reports else self.out * self.crowd / max(1, len(self.up))

    def own_rate(self, now: float) -> float:
        return self.rate * math.exp((self.rate_at - now) / RATE_SPAN)

    def bears(self, s: Server, now: float) -> float:
        """What a warm host of this size answers for this gateway, a second. Sends would count what fails as
        well, and a mean over all hosts the cold ones, which then stay idle because they are."""
        if now - self.warm_at > TICK:
            self.warm_at = now
            if self.own is not self.warm_own:
                some = self.some(self.own)
                warm = [x.host.weight for x in some if x.warmth(now, self.set.rules) == 1.0]
                self.warm = sum(warm) * (len(self.own) / max(1, len(some)))
                self.warm_own = self.own if len(warm) == len(some) else None
        if self.warm > 0:
            return self.done * math.exp((self.done_at - now) / RATE_SPAN) * s.host.weight / self.warm
        return self.own_rate(now) / max(1, len(self.own))

    def others(self, now: float) -> list[Server]:
        """Hosts of other gateways, for when its own are taken. A cold one is left to those whose own it is:
        what it bears is shared out among these."""
        return [s for s in self.some(self.up) if s.warmth(now, self.set.rules) == 1.0]

    def patience(self, name: str) -> float:
        """Time after which an attempt is taken for silent."""
        return max(TICK, self.mean[name] + COPY_AT * self.dev[name])

    def may_send(self, s: Server, now: float) -> bool:
        if not s.up or len(s.out) >= int(self.limit + s.dice):
            return False
        rules = self.set.rules
        warm = s.warmth(now, rules)
        if warm == 1.0:
            return True
        # A cold host falls over when all gateways together send more than it bears: credit is saved up.
        rate = warm * rules.overload_multiple * COLD_PART * self.bears(s, now)
        s.credit = min(s.credit + (now - s.credit_at) * rate, max(1.0, rate * rules.overload_window))
        s.credit_at = now
        return s.credit >= 1.0

    def full(self, now: float, keys: tuple[str, ...]) -> bool:
        """Many gateways with one out at each server overdrive all, so what one has out in all is limited too:
        by the hosts that can do the work, since cold and failing ones leave it to the rest."""
        if now - self.able_at > ABLE_SPAN:
            self.able_at = now
            self.forget(now)
            own = self.part(keys, now, self.count_able(keys, now))
            self.own = own if self.own is self.up or own != self.own else self.own  # the same has its sums
            if self.total:
                self.widen(now)
        slack = 1.0 + (OUT_SLACK - 1.0) * min(1.0, math.sqrt(OUT_EVEN / self.crowd))
        return self.out >= max(2.0, slack * LIMIT_MOST * self.able / self.crowd)

    def count_able(self, keys: tuple[str, ...], now: float) -> dict[str, float]:
        """Counts a usual host for each, and what those lack that are cold or doubted; what these can do."""
        rules, usual, known = self.set.rules, self.health.health("", keys, now), list(self.health.hosts)
        some, cold = self.some(known), self.some(list(self.cold.values()))
        here = [x for x in some if x in self.servers and x not in self.gone and x not in self.banned]
        able = {
            x: sound * self.cold[x].warmth(now, rules) if x in self.cold else sound
            for x, sound in zip(here, self.health.healths(here, keys, now), strict=True)
        }
        off = (sum(able.values()) - usual * len(able)) * (len(known) / max(1, len(some)))
        warm = {s.host.id: s.warmth(now, rules) for s in cold}
        less = sum(x * usual - usual for name, x in warm.items() if name not in self.health.hosts)
        self.able = usual * len(self.up) + off + less * (len(self.cold) / max(1, len(cold)))
        for name in [name for name, x in warm.items() if x == 1.0]:
            del self.cold[name]
        return able

    def need(self) -> float:
        """Whole hosts that a gateway uses."""
        return OWN_PART * max(1.0, LIMIT_MOST * (self.total or len(self.up)) / self.set.gateway_count)

    def part(self, keys: tuple[str, ...], now: float, able: dict[str, float]) -> list[Server]:
        """The hosts that this gateway uses: of many gateways each sees little of a host, learns it late and
        finds no connection to it. So it takes those that follow its own place on the ring, which is the same
        number of gateways for each host, until they do the work of as many whole hosts as it needs."""
        total, need, rules, own = len(self.ring), self.need(), self.set.rules, list[Server]()
        if need >= total:
            return self.up
        at = self.entry(need) if self.total else total * self.set.gateway_index // self.set.gateway_count
        usual = self.health.health("", keys, now)
        for n in range(at - total, at):
            if need <= 0:
                break
            own.append(s := self.ring[n])
            x = s.host.id
            sound = self.health.health(x, keys, now) if x in self.health.hosts and x not in able else usual
            need -= able[x] if x in able else s.warmth(now, rules) * sound
        return own

    def entry(self, need: float) -> int:
        """Rank from which on the hosts of a view are used. The rank of its place among all is not told, but
        how many follow on the arc that those used should fill: half of what is too many there is passed
        over, which halves the variance of the gateways to a host, and what its own place is off by."""
        place = self.set.gateway_index * GOLDEN % 1.0
        if self.ahead is None:
            before = sum(n * GOLDEN % 1.0 < place for n in range(self.set.gateway_count))
            self.ahead = before / self.set.gateway_count - place
        at, end = (
            bisect.bisect_left(self.ring, (int(x % 1.0 * 2**63), -1), key=BY_PLACE)
            for x in (place, place + need / self.total)
        )
        excess = (end - at) % len(self.ring) - need
        skip = VIEW_LEAD * need + excess / 2 + self.ahead * self.total
        return (at + max(0, round(skip))) % len(self.ring)

    def widen(self, now: float) -> None:
        """A view that can't do the work of as many hosts as are used is to be twice as large, and is given
        back when one of plain size would have done for a while. Harm: others' hosts are used meanwhile."""
        need = min(self.need(), self.total)
        plain = min(self.total, math.ceil(VIEW_SPARE * need))
        if self.able * plain < need * len(self.up) or self.able < need:
            self.short_at = now
        if self.able < need and now - self.asked_at > WIDEN_SPAN:
            self.wish = self.asked = min(self.total, max(2 * len(self.up), plain))
            self.asked_at = now
        elif self.asked > plain and now - max(self.short_at, self.asked_at) > EASY_SPAN:
            self.wish, self.asked, self.asked_at = plain, plain, now

    def weight(self, s: Server, keys: tuple[str, ...], now: float) -> float:
        size = s.host.weight / self.top * s.warmth(now, self.set.rules)
        return size * self.health.health(s.host.id, keys, now)

    def score(self, s: Server, keys: tuple[str, ...], now: float) -> float:
        fresh = 0.5 ** ((now - s.others_at) / REPORT_AGE)  # without a report it is as busy as the rest
        load = len(s.out) + fresh * s.others + (1 - fresh) * self.mean_held()
        size = max(s.host.weight, 1e-9)  # what a cold one may get is up to its credit
        cross = self.set.prices.get("cross_zone", 0.0) * CROSS_WEIGHT if s.host.zone != self.set.zone else 0.0
        sound = max(0.01, self.health.health(s.host.id, keys, now))
        return max(0.3, s.ratio) * (1 + load / SERVERS_OF_HOST) / size / sound + cross

    def pick(self, now: float, keys: tuple[str, ...], fits: list[Server] | None) -> Server | None:
        """Best of some servers, drawn by weight: as many as this gateway has fresh reports for, two at least,
        since the best of all by an old report is the same server for all gateways."""
        if self.full(now, keys):
            return None
        pool = self.own if fits is None else fits
        few = max(2, math.ceil(CHOICES * len(pool) / self.set.gateway_count))
        if few < len(pool) or len(pool) > LOOK_MOST:
            some = (pool[int(self.rng.random() * len(pool))] for _ in range(DRAWS))
            fit = (s for s in some if self.rng.random() < self.weight(s, keys, now) and self.may_send(s, now))
            pool = list(itertools.islice(fit, few)) or self.some(pool)
        able = [s for s in pool if self.may_send(s, now)]
        if not able and pool is not self.up and fits is None:
            able = [s for s in self.others(now) if self.may_send(s, now)]
        return min(able, key=lambda s: self.score(s, keys, now) + TICK * self.rng.random(), default=None)

    def sent(self, s: Server, key: tuple[str, int], now: float) -> None:
        s.out[key] = now
        s.credit -= 1.0
        self.out += 1
        self.rate, self.rate_at = self.own_rate(now) + 1.0 / RATE_SPAN, now

    def ended(self, host: str, key: tuple[str, int]) -> None:
        s = self.servers.get(host)
        self.out -= s is not None and s.out.pop(key, None) is not None

    def answered(
        self, now: float, event: api.AttemptEnded, cls: api.ServiceClass | None, keys: tuple[str, ...]
    ) -> None:
        s = self.servers.get(event.endpoint_id)
        if s is None:
            return  # a late word of one that is forgotten: it tells of nobody that is here
        out, high = len(s.out), event.result == "timeout"
        self.ended(event.endpoint_id, (event.request_id, event.attempt))
        if event.load_report:
            waiting, util = event.load_report.get("queue", 0.0), event.load_report.get("util", 0.0)
            held = event.load_report.get("inflight", waiting + SERVERS_OF_HOST * util)
            s.others, s.others_at = max(0.0, held - out), now
            self.held += (QUICK if self.reports else 1.0) * (held - self.held)
            self.reports, high = True, held > CONGESTED
        if event.result in ("connect_failed", "full", "error", "reset", "ok"):
            level = keys[:1] if event.result == "connect_failed" else keys
            self.health.record(event.endpoint_id, level, event.result != "ok", now)
        if event.load_report or event.result in ("ok", "timeout"):
            gain = max(QUICK / 2, 1 - math.exp((self.answer_at - now) / PRESS_SPAN))
            self.pressure, self.answer_at = self.pressure + min(gain, 0.5) * (high - self.pressure), now
        if event.result == "ok" and s.warmth(now, self.set.rules) == 1.0:
            self.done = self.done * math.exp((self.done_at - now) / RATE_SPAN) + 1.0 / RATE_SPAN
            self.done_at = now
        if event.result != "ok" or cls is None:
            return
        s.ratio += QUICK * (min(event.elapsed / max(self.mean[cls.name], 1e-6), 10.0) - s.ratio)
        self.seen[cls.name] += 1
        gain, off = max(1 / self.seen[cls.name], GAIN), event.elapsed - self.mean[cls.name]
        self.mean[cls.name] += gain * off
        self.dev[cls.name] += gain * (abs(off) * (1 - gain) - self.dev[cls.name])
