"""First sends, further attempts and second copies, and the budget that they draw on."""

from __future__ import annotations

import math

from api_gateway import interface as api
from api_gateway.policy.endpoints import TICK, Server
from api_gateway.policy.request_state import Job, State

MAX_QUEUE_TIME_FRACTION, MIN_QUEUE_LENGTH = (
    0.5,
    4,
)  # share of the aim spent waiting for a server; requests that always may
RETRY_BUDGET_PER_SEND, RETRY_BUDGET_PER_SEND_WITH_CAPACITY, REFUSED_ATTEMPT_RETRY_COST = (
    0.1,
    0.3,
    0.2,
)  # per first send; with room; price of one after `full`


class Attempts(State):
    """Sends what waits for it, hears how it ended, and tries again where the class and the budget allow."""

    def can_send_to(self, job: Job, s: Server, now: float) -> bool:
        if (
            s.host.id in job.tried_endpoints
            or job.service_class.idempotency == "safe"
            or not job.unresolved_attempts()
        ):
            return s.host.id not in job.tried_endpoints
        if job.service_class.idempotency == "unsafe" or self.send_time_left(now, job) <= 0:
            return False
        scope = job.service_class.dedup_scope
        return scope == "all" or all(
            getattr(h, scope) == getattr(s.host, scope) for h, _ in job.unresolved_attempts()
        )

    def send_time_left(self, now: float, job: Job) -> float:
        """How long another attempt may go out: hosts know a key so long after the first that may have run."""
        first = min((t for _, t in job.unresolved_attempts()), default=math.inf)
        return (
            first + job.service_class.dedup_window - TICK - now
            if job.service_class.idempotency == "keyed"
            else math.inf
        )

    def choose_endpoint(self, now: float, job: Job) -> Server | None:
        fits = (
            [x for x in self.fleet.some(self.fleet.own) if self.can_send_to(job, x, now)]
            if job.tried_endpoints
            else None
        )
        if fits == [] and self.fleet.own is not self.fleet.up:
            fits = [x for x in self.fleet.others(now) if self.can_send_to(job, x, now)]
        return self.fleet.pick(now, job.health_keys, fits)

    def send_attempt(self, now: float, job: Job) -> bool:
        more = job.sent_count < job.limits.max_attempts and not job.is_streaming
        s = self.choose_endpoint(now, job) if more and (job.limits.hedging or not job.in_flight) else None
        if s is None:
            return False
        self.actions.append(
            api.SendAttempt(job.req.request_id, s.host.id, send_within=self.send_time_left(now, job))
        )
        job.in_flight[job.sent_count] = (s.host, now)
        self.fleet.sent(s, (job.req.request_id, job.sent_count), now)
        job.sent_count += 1
        job.tried_endpoints.add(s.host.id)
        job.stage = "sent"
        self.schedule_check(now + self.fleet.patience(job.service_class.name), job)
        return True

    def outcome(self, now: float, event: api.AttemptEnded) -> None:
        job = self.jobs.get(event.request_id)
        self.fleet.answered(
            now, event, job.service_class if job else None, job.health_keys if job else ("host",)
        )
        if job is None:
            return
        sent = job.in_flight.pop(event.attempt, None)
        if event.actual_units and self.settings.settles_units and job.plan.rate and not job.is_over_quota:
            job.account.uncharged_units += event.actual_units - job.req.units
        if event.is_final:
            self.finish(now, job)
            return
        if event.result in ("error", "timeout", "reset", "cancelled") and sent is not None:
            job.possibly_executed.append(sent)
        if job.in_flight:
            return
        cost = {"connect_failed": 0.0, "full": REFUSED_ATTEMPT_RETRY_COST}.get(event.result, 1.0)
        late = (
            now + max(TICK, self.fleet.mean[job.service_class.name]) > job.deadline or event.result == "moot"
        )
        if late or self.retry_budget < cost or not self.send_attempt(now, job):
            self.reject(now, job, 0.0)
        else:
            self.retry_budget -= cost

    def on_response_started(self, job: Job, event: api.ResponseStarted) -> None:
        """The answer flows: its host's work is done, so it holds no place there at its client's pace."""
        job.is_streaming = True
        self.fleet.ended(event.endpoint_id, (event.request_id, event.attempt))
        if job.limits.can_cancel:
            self.actions += [
                api.CancelAttempt(event.request_id, number)
                for number in job.in_flight
                if number != event.attempt
            ]

    def check_request(self, now: float, job: Job) -> None:
        ending = now >= job.deadline - 2 * TICK - 1e-6
        most = {
            "units": 2 * self.counter.timeout,
            "queue": MAX_QUEUE_TIME_FRACTION * job.service_class.latency_objective,
        }.get(job.stage, math.inf)
        if job.stage != "sent" and (ending or now - job.arrived_at >= most - 1e-6):
            self.reject(now, job, 0.0)
        elif job.stage == "sent" and not ending and not job.is_streaming:
            self.handle_overdue_attempts(now, job)

    def handle_overdue_attempts(self, now: float, job: Job) -> None:
        """An attempt long without answer: evidence against its host, and reason for another one, whatever the
        cause. Harm: work done twice where an answer was only slow, so it draws on the budget for retries."""
        patience = self.fleet.patience(job.service_class.name) - TICK
        late = [n for n, (_, sent) in job.in_flight.items() if now - sent >= patience]
        for number in set(late) - job.overdue_attempts:
            host = job.in_flight[number][0].id
            self.fleet.ended(host, (job.req.request_id, number))  # a silent one holds no other's place
            self.fleet.health.record(host, job.health_keys, True, now)
        job.overdue_attempts.update(late)
        self.schedule_check(now + max(2 * TICK, self.fleet.dev[job.service_class.name]), job)
        if (
            not late
            or len(job.in_flight) > 1
            or job.service_class.idempotency == "unsafe"
            or self.retry_budget < 1.0
        ):
            return
        if job.limits.hedging:
            self.retry_budget -= self.send_attempt(now, job)
        elif (
            job.limits.can_cancel
            and job.sent_count < job.limits.max_attempts
            and self.choose_endpoint(now, job)
        ):
            self.actions.append(
                api.CancelAttempt(job.req.request_id, late[0])
            )  # its outcome starts the next attempt
