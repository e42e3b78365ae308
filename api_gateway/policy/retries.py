"""First sends, further attempts and second copies, and the budget that they draw on."""

from __future__ import annotations

import math

from api_gateway import interface as api
from api_gateway.policy.endpoint_load import TICK
from api_gateway.policy.endpoint_table import Server
from api_gateway.policy.request_state import Job, State

QUEUE_HOLD, QUEUE_LEAST = 0.5, 4  # share of the aim spent waiting for a server; requests that always may
RETRY_SHARE, RETRY_SPARE, RETRY_FULL = 0.1, 0.3, 0.2  # per first send; with room; price of one after `full`


class Attempts(State):
    """Sends what waits for it, hears how it ended, and tries again where the class and the budget allow."""

    def fits(self, job: Job, s: Server, now: float) -> bool:
        if s.host.id in job.avoid or job.cls.idempotency == "safe" or not job.unproven():
            return s.host.id not in job.avoid
        if job.cls.idempotency == "unsafe" or self.window(now, job) <= 0:
            return False
        scope = job.cls.dedup_scope
        return scope == "all" or all(getattr(h, scope) == getattr(s.host, scope) for h, _ in job.unproven())

    def window(self, now: float, job: Job) -> float:
        """How long another attempt may go out: hosts know a key so long after the first that may have run."""
        first = min((t for _, t in job.unproven()), default=math.inf)
        return first + job.cls.dedup_window - TICK - now if job.cls.idempotency == "keyed" else math.inf

    def choose(self, now: float, job: Job) -> Server | None:
        fits = [x for x in self.fleet.some(self.fleet.own) if self.fits(job, x, now)] if job.avoid else None
        if fits == [] and self.fleet.own is not self.fleet.up:
            fits = [x for x in self.fleet.others(now) if self.fits(job, x, now)]
        return self.fleet.pick(now, job.keys, fits)

    def send(self, now: float, job: Job) -> bool:
        more = job.sends < job.limits.max_attempts and not job.streaming
        s = self.choose(now, job) if more and (job.limits.hedging or not job.live) else None
        if s is None:
            return False
        self.out.append(api.SendAttempt(job.req.request_id, s.host.id, send_within=self.window(now, job)))
        job.live[job.sends] = (s.host, now)
        self.fleet.sent(s, (job.req.request_id, job.sends), now)
        job.sends += 1
        job.avoid.add(s.host.id)
        job.stage = "sent"
        self.look(now + self.fleet.patience(job.cls.name), job)
        return True

    def outcome(self, now: float, event: api.AttemptEnded) -> None:
        job = self.jobs.get(event.request_id)
        self.fleet.answered(now, event, job.cls if job else None, job.keys if job else ("host",))
        if job is None:
            return
        sent = job.live.pop(event.attempt, None)
        if event.actual_units and self.set.settles_units and job.plan.rate and not job.beyond:
            job.acct.uncharged += event.actual_units - job.req.units
        if event.is_final:
            self.close(now, job)
            return
        if event.result in ("error", "timeout", "reset", "cancelled") and sent is not None:
            job.ran.append(sent)
        if job.live:
            return
        cost = {"connect_failed": 0.0, "full": RETRY_FULL}.get(event.result, 1.0)
        late = now + max(TICK, self.fleet.mean[job.cls.name]) > job.deadline or event.result == "moot"
        if late or self.budget < cost or not self.send(now, job):
            self.refuse(now, job, 0.0)
        else:
            self.budget -= cost

    def began(self, job: Job, event: api.ResponseStarted) -> None:
        """The answer flows: its host's work is done, so it holds no place there at its client's pace."""
        job.streaming = True
        self.fleet.ended(event.endpoint_id, (event.request_id, event.attempt))
        if job.limits.can_cancel:
            self.out += [
                api.CancelAttempt(event.request_id, number) for number in job.live if number != event.attempt
            ]

    def check(self, now: float, job: Job) -> None:
        ending = now >= job.deadline - 2 * TICK - 1e-6
        most = {"units": 2 * self.counter.timeout, "queue": QUEUE_HOLD * job.cls.latency_objective}.get(
            job.stage, math.inf
        )
        if job.stage != "sent" and (ending or now - job.arrived >= most - 1e-6):
            self.refuse(now, job, 0.0)
        elif job.stage == "sent" and not ending and not job.streaming:
            self.late(now, job)

    def late(self, now: float, job: Job) -> None:
        """An attempt long without answer: evidence against its host, and reason for another one, whatever the
        cause. Harm: work done twice where an answer was only slow, so it draws on the budget for retries."""
        patience = self.fleet.patience(job.cls.name) - TICK
        late = [n for n, (_, sent) in job.live.items() if now - sent >= patience]
        for number in set(late) - job.late:
            host = job.live[number][0].id
            self.fleet.ended(host, (job.req.request_id, number))  # a silent one holds no other's place
            self.fleet.health.record(host, job.keys, True, now)
        job.late.update(late)
        self.look(now + max(2 * TICK, self.fleet.dev[job.cls.name]), job)
        if not late or len(job.live) > 1 or job.cls.idempotency == "unsafe" or self.budget < 1.0:
            return
        if job.limits.hedging:
            self.budget -= self.send(now, job)
        elif job.limits.can_cancel and job.sends < job.limits.max_attempts and self.choose(now, job):
            self.out.append(
                api.CancelAttempt(job.req.request_id, late[0])
            )  # its outcome starts the next attempt
