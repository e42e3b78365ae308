"""One gateway: which event goes where, and when it wants to be woken."""

from __future__ import annotations

import heapq
import itertools
import math

from api_gateway import interface as api
from api_gateway.policy.cluster_clock import BEACON, LIFETIME
from api_gateway.policy.customer_accounts import GAIN, PlanUse
from api_gateway.policy.endpoints import TICK
from api_gateway.policy.quota_leases import Quota
from api_gateway.policy.request_state import IDLE_MOST, INITIAL_GRANTED_FRACTION, Job


class Gateway(Quota):
    """The module's face: see the folder."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        self.actions = []
        match event:
            case api.Request():
                self.request(now, event)
            case api.AttemptEnded():
                self.outcome(now, event)
            case api.CounterReply(name=name) if name == BEACON:
                self.on_cluster_clock_reply(now, event)
            case api.CounterReply():
                self.on_counter_reply(now, event)
            case api.TimerFired():
                self.on_timer(now)
            case api.EndpointList():
                self.fleet.listed(now, event)
                if event.mode == "failed":
                    self.watch_retry_at = now + 1.0
                elif event.mode == "cached" and self.settings.discovery_mode == "ask":
                    self.actions.append(api.WatchEndpoints(True))
            case api.ResponseStarted() if event.request_id in self.jobs:
                self.on_response_started(self.jobs[event.request_id], event)
            case api.EndpointOverride():
                self.fleet.ban(now, event)
            case api.ClusterClockNeeded() if self.counter.is_enabled:
                self.cluster_clock.start(now)
            case api.WallClockStepped():
                self.fleet.clock_stepped(now, event.offset)
            case api.DrainChanged():
                self.is_draining = event.draining
            case api.SettingsChanged():
                self.retune(now, event.settings)
            case api.ClientDisconnected() if event.request_id in self.jobs:
                self.finish(now, self.jobs[event.request_id])
        self.send_queued(now)
        if self.fleet.wish:
            self.actions.append(api.ResizeSubset(self.fleet.wish))
            self.fleet.wish = 0
        while self.due_checks and self.due_checks[0][1] not in self.jobs:
            heapq.heappop(self.due_checks)
        if now >= self.cluster_clock.due:
            self.actions.append(api.AddToCounter(BEACON, self.cluster_clock.call(now), LIFETIME))
        at = min(
            self.due_checks[0][0] if self.due_checks else math.inf,
            self.watch_retry_at,
            self.cluster_clock.due,
        )
        if at < self.timer_due_at:  # what is due next; nothing when idle
            self.timer_due_at = at
            self.actions.append(api.SetTimer(max(0.0, at - now), 0))
        return self.actions

    def on_cluster_clock_reply(self, now: float, event: api.CounterReply) -> None:
        """Windows are named by the fleet's time; where that is another than here, hosts' starts are, too."""
        time, before, first = self.cluster_clock, self.cluster_clock.offset, not self.is_clock_checked
        if event.result == "late":
            return
        self.is_clock_checked = True
        time.counted(now, event.result == "ok", event.total)
        if first or time.synchronizing != self.counter.is_clock_wrong:
            self.actions.append(api.ClusterClockChanged(time.synchronizing))
        self.counter.is_clock_wrong = time.synchronizing
        if time.offset != before:
            self.actions.append(
                api.LogMessage(f"the fleet's time is {time.offset:+.1f} s from this gateway's")
            )
            self.fleet.clock_stepped(now, time.offset)

    def retune(self, now: float, settings: api.Settings) -> None:
        """For what comes from now on: a job keeps its class, its plan and the limits that it began with."""
        self.settings = settings
        self.fleet.retune(settings)
        self.counter.apply_settings(settings)
        self.cluster_clock.gateways = settings.gateway_count
        for key in itertools.product(settings.plans, (0, 1)):
            self.plan_usage.setdefault(key, PlanUse(now, INITIAL_GRANTED_FRACTION[key[1]]))
        self.top = max(c.priority_weight for c in settings.classes.values())

    def request(self, now: float, req: api.Request) -> None:
        cls, plan = self.settings.classes[req.service_class], self.settings.plans[req.plan]
        acct = self.accounts.pop(req.customer, None)
        if acct is None or acct.plan != plan or acct.clock_offset != self.cluster_clock.offset:
            acct = self.current_account(now, req, plan, acct)
        self.accounts[req.customer], acct.last_request_at = acct, now
        oldest = next(iter(self.accounts.values()))
        if now - oldest.last_request_at > IDLE_MOST and not (
            oldest.pending_call or oldest.open_attempts_here
        ):
            del self.accounts[oldest.name]
        worth = cls.priority_weight * plan.price_factor * req.units
        self.mean_priority += (GAIN if self.mean_priority else 1.0) * (worth - self.mean_priority)
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
            self.settings.limits,
        )
        if req.time_left < 2 * TICK or self.should_shed(
            now, job
        ):  # no check would come round in time, or no room
            self.reject(now, job, 0.0)
        elif acct.remaining_ceiling(now) < req.units:
            self.reject(now, job, (req.units - acct.ceiling_units) * acct.gateway_spread / plan.ceiling_rate)
        elif plan.rate:
            self.want_units(now, job)
        else:
            self.request_open_attempt(now, job)

    def on_timer(self, now: float) -> None:
        if now >= self.timer_due_at - 1e-6:
            self.timer_due_at = math.inf
        if now >= self.watch_retry_at:
            self.watch_retry_at = math.inf
            self.actions.append(api.WatchEndpoints(True))
        while self.due_checks and self.due_checks[0][0] <= now + 1e-6:
            name = heapq.heappop(self.due_checks)[1]
            if name in self.jobs:
                self.check_request(now, self.jobs[name])
