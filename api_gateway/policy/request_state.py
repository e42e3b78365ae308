"""The requests in work, and all that their parts share: what is due, what is counted, how one ends."""

from __future__ import annotations

import heapq
import math
import random
from dataclasses import dataclass, field

from api_gateway import interface as api
from api_gateway.policy.cluster_clock import FleetTime
from api_gateway.policy.customer_accounts import (
    Account,
    CounterCall,
    CounterState,
    OpenAttemptCall,
    PlanUse,
    stable_hash,
)
from api_gateway.policy.endpoints import TICK, Fleet

INITIAL_GRANTED_FRACTION = (
    0.5,
    0.3,
)  # share of first tries and of repeats taken to be granted, before any was
OPEN_COUNT_EPOCH_S, IDLE_MOST = 5.0, 60.0  # s; life of a count of open attempts, and of an idle account
INITIAL_RETRY_BUDGET, RETRY_MOST = 15.0, 30.0  # retries over all gateways at the start; that may be saved up


@dataclass(slots=True)
class Job:
    req: api.Request
    service_class: api.ServiceClass
    plan: api.Plan
    account: Account
    arrived_at: float
    deadline: float
    priority: float
    priority_per_unit: float  # worth a unit of work
    health_keys: tuple[str, ...]  # levels at which a host may fail it: wholly, for its class, for its plan
    limits: api.Limits
    stage: str = "units"  # units, slot, queue, sent
    is_over_quota: bool = False
    open_attempt_epoch: int = 0  # open attempt held: own part -1, or the epoch of the shared count
    sent_count: int = 0
    is_streaming: bool = False
    in_flight: dict[int, tuple[api.Endpoint, float]] = field(default_factory=dict)
    possibly_executed: list[tuple[api.Endpoint, float]] = field(
        default_factory=list
    )  # ended, but may have run
    overdue_attempts: set[int] = field(default_factory=set)  # attempts whose silence was noted
    tried_endpoints: set[str] = field(default_factory=set)
    is_done: bool = False

    def unresolved_attempts(self) -> list[tuple[api.Endpoint, float]]:
        """Attempts that may have run, or may yet."""
        return self.possibly_executed + list(self.in_flight.values())


class State:
    """Each layer above adds one responsibility: attempts, shedding, quota, and the gateway as a whole. Each
    uses only what lies below it."""

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        self.settings, self.started_at, self.rng = settings, now, random.Random(seed)
        self.cluster_clock = FleetTime(settings.gateway_count, self.rng)
        self.fleet, self.counter = Fleet(settings, self.rng), CounterState(settings)
        self.plan_usage = {
            (p, again): PlanUse(now, INITIAL_GRANTED_FRACTION[again])
            for p in self.settings.plans
            for again in (0, 1)
        }
        self.accounts: dict[str, Account] = {}  # in order of their last request
        self.jobs, self.queue = dict[str, Job](), list[Job]()
        self.pending_calls: dict[int, list[CounterCall]] = {}  # by count name, in order of the calls
        self.timed_out_calls: dict[int, CounterCall] = {}  # the last that timed out, by count name
        self.retry_budget = INITIAL_RETRY_BUDGET / settings.gateway_count
        self.max_priority_weight = max(c.priority_weight for c in settings.classes.values())
        self.due_checks: list[tuple[float, str]] = []  # when which job is to be looked at
        self.timer_due_at = self.watch_retry_at = math.inf
        self.is_clock_checked = False  # whether the counter has been asked for the fleet's time
        self.is_draining = False  # clients are sent away: leases sought ahead would lapse unused
        self.admitted_fraction, self.admitted_fraction_updated_at, self.mean_priority = (
            1.0,
            now,
            0.0,
        )  # worth: running mean of a request's
        self.recent_priorities: list[float] = []  # values of the latest requests
        self.actions: list[api.Action] = []

    def schedule_check(self, at: float, job: Job) -> None:
        heapq.heappush(self.due_checks, (min(at, job.deadline - 2 * TICK), job.req.request_id))

    def add_to_counter(self, name: int, amount: float, life: float, call: CounterCall) -> None:
        self.pending_calls.setdefault(name, []).append(call)
        self.actions.append(api.AddToCounter(name, amount, min(60.0, max(life, 1.0))))

    def count_open_attempt(self, acct: Account, epoch: int, amount: int, job: Job | None = None) -> None:
        call = (
            OpenAttemptCall(acct, "slot", epoch, job=job)
            if job is not None
            else CounterCall(acct, "void", epoch)
        )
        self.add_to_counter(stable_hash("open", acct.name, epoch), amount, 2 * OPEN_COUNT_EPOCH_S, call)

    def reject(self, now: float, job: Job, wait: float) -> None:
        ran = job.service_class.idempotency != "safe" and (
            job.service_class.idempotency,
            job.service_class.dedup_scope,
        ) != ("keyed", "all")
        if not (ran and (job.possibly_executed or job.in_flight)):
            most = job.limits.max_retry_after if job.limits.sends_retry_after else 0.0
            self.actions.append(
                api.RejectRequest(job.req.request_id, min(max(wait, 0.0), most), job.stage == "queue")
            )
        else:
            self.actions.append(api.FailRequest(job.req.request_id))
        self.finish(now, job)

    def finish(self, now: float, job: Job) -> None:
        job.is_done = True
        self.jobs.pop(job.req.request_id, None)
        self.actions += [
            api.CancelAttempt(job.req.request_id, number) for number in job.in_flight if job.limits.can_cancel
        ]
        if job.open_attempt_epoch > 0:
            self.count_open_attempt(job.account, job.open_attempt_epoch, -1)
        job.account.open_attempts_here -= job.open_attempt_epoch < 0
