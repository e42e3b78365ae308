"""One gateway: which event goes where, and when it wants to be woken."""

from __future__ import annotations

import heapq
import itertools
import math

from api_gateway import interface as api
from api_gateway.policy.cluster_clock import BEACON, LIFETIME
from api_gateway.policy.customer_accounts import GAIN, PlanUse
from api_gateway.policy.endpoint_load import TICK
from api_gateway.policy.quota_leases import Quota
from api_gateway.policy.request_state import GRANT_PRIOR, IDLE_MOST, Job


class Gateway(Quota):
    """The module's face: see the folder."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        self.out = []
        match event:
            case api.Request():
                self.request(now, event)
            case api.AttemptEnded():
                self.outcome(now, event)
            case api.CounterReply(name=name) if name == BEACON:
                self.fleet_time_counted(now, event)
            case api.CounterReply():
                self.counted(now, event)
            case api.TimerFired():
                self.tick(now)
            case api.EndpointList():
                self.fleet.listed(now, event)
                if event.mode == "failed":
                    self.watch_at = now + 1.0
                elif event.mode == "cached" and self.set.discovery_mode == "ask":
                    self.out.append(api.WatchEndpoints(True))
            case api.ResponseStarted() if event.request_id in self.jobs:
                self.began(self.jobs[event.request_id], event)
            case api.EndpointOverride():
                self.fleet.ban(now, event)
            case api.ClusterClockNeeded() if self.counter.on:
                self.fleet_time.start(now)
            case api.WallClockStepped():
                self.fleet.clock_stepped(now, event.offset)
            case api.DrainChanged():
                self.draining = event.draining
            case api.SettingsChanged():
                self.retune(now, event.settings)
            case api.ClientDisconnected() if event.request_id in self.jobs:
                self.close(now, self.jobs[event.request_id])
        self.drain_queue(now)
        if self.fleet.wish:
            self.out.append(api.ResizeSubset(self.fleet.wish))
            self.fleet.wish = 0
        while self.due and self.due[0][1] not in self.jobs:
            heapq.heappop(self.due)
        if now >= self.fleet_time.due:
            self.out.append(api.AddToCounter(BEACON, self.fleet_time.call(now), LIFETIME))
        at = min(self.due[0][0] if self.due else math.inf, self.watch_at, self.fleet_time.due)
        if at < self.timer_at:  # what is due next; nothing when idle
            self.timer_at = at
            self.out.append(api.SetTimer(max(0.0, at - now), 0))
        return self.out

    def fleet_time_counted(self, now: float, event: api.CounterReply) -> None:
        """Windows are named by the fleet's time; where that is another than here, hosts' starts are, too."""
        time, before, first = self.fleet_time, self.fleet_time.offset, not self.time_checked
        if event.result == "late":
            return
        self.time_checked = True
        time.counted(now, event.result == "ok", event.total)
        if first or time.synchronizing != self.counter.wrong_time:
            self.out.append(api.ClusterClockChanged(time.synchronizing))
        self.counter.wrong_time = time.synchronizing
        if time.offset != before:
            self.out.append(api.LogMessage(f"the fleet's time is {time.offset:+.1f} s from this gateway's"))
            self.fleet.clock_stepped(now, time.offset)

    def retune(self, now: float, settings: api.Settings) -> None:
        """For what comes from now on: a job keeps its class, its plan and the limits that it began with."""
        self.set = settings
        self.fleet.retune(settings)
        self.counter.retune(settings)
        self.fleet_time.gateways = settings.gateway_count
        for key in itertools.product(settings.plans, (0, 1)):
            self.uses.setdefault(key, PlanUse(now, GRANT_PRIOR[key[1]]))
        self.top = max(c.priority_weight for c in settings.classes.values())

    def request(self, now: float, req: api.Request) -> None:
        cls, plan = self.set.classes[req.service_class], self.set.plans[req.plan]
        acct = self.accounts.pop(req.customer, None)
        if acct is None or acct.plan != plan or acct.offset != self.fleet_time.offset:
            acct = self.account(now, req, plan, acct)
        self.accounts[req.customer], acct.seen_at = acct, now
        oldest = next(iter(self.accounts.values()))
        if now - oldest.seen_at > IDLE_MOST and not (oldest.call or oldest.open_here):
            del self.accounts[oldest.name]
        worth = cls.priority_weight * plan.price_factor * req.units
        self.worth += (GAIN if self.worth else 1.0) * (worth - self.worth)
        job = self.jobs[req.request_id] = Job(
            req,
            cls,
            plan,
            acct,
            now,
            now + req.time_left,
            worth,
            worth / max(self.fleet.mean[cls.name], 1e-6),
            ("host", "class " + cls.name, "plan " + plan.name),
            self.set.limits,
        )
        if req.time_left < 2 * TICK or self.shed(now, job):  # no check would come round in time, or no room
            self.refuse(now, job, 0.0)
        elif acct.ceiling_room(now) < req.units:
            self.refuse(now, job, (req.units - acct.cap) * acct.spread / plan.ceiling_rate)
        elif plan.rate:
            self.want_units(now, job)
        else:
            self.want_slot(now, job)

    def tick(self, now: float) -> None:
        if now >= self.timer_at - 1e-6:
            self.timer_at = math.inf
        if now >= self.watch_at:
            self.watch_at = math.inf
            self.out.append(api.WatchEndpoints(True))
        while self.due and self.due[0][0] <= now + 1e-6:
            name = heapq.heappop(self.due)[1]
            if name in self.jobs:
                self.check(now, self.jobs[name])
