"""What is given up when hosts have no room or a quota is spent, and in which order."""

from __future__ import annotations

import bisect
import math

from api_gateway.policy.endpoints import LIMIT_MOST, PRESS_SPAN, PRESSED, ROOM_CLEAR
from api_gateway.policy.request_state import RETRY_MOST, Job
from api_gateway.policy.retries import (
    MAX_QUEUE_TIME_FRACTION,
    MIN_QUEUE_LENGTH,
    RETRY_BUDGET_PER_SEND,
    RETRY_BUDGET_PER_SEND_WITH_CAPACITY,
    Attempts,
)

ADMISSION_DECREASE_PER_S, ADMISSION_INCREASE_PER_S, MIN_ADMITTED_FRACTION = (
    0.7,
    0.15,
    0.05,
)  # 1/s down, 1/s up, least part that still passes


class Shedding(Attempts):
    """The queue in front of the hosts: the best paid goes first, the worst paid is refused."""

    def should_shed(self, now: float, job: Job) -> bool:
        """While answers come from servers that hold too much, what is worth least a unit of work is refused,
        whatever the cause: one gateway of many has too few out for a limit of its own to relieve them."""
        ranks = self.recent_priorities = [*self.recent_priorities[-63:], job.priority_per_unit]
        step, fleet, self.admitted_fraction_updated_at = (
            now - self.admitted_fraction_updated_at,
            self.fleet,
            now,
        )
        if fleet.pressure * math.exp(min(0.0, (fleet.answer_at + 1 - now) / PRESS_SPAN)) > PRESSED:
            self.admitted_fraction = max(
                MIN_ADMITTED_FRACTION,
                self.admitted_fraction * math.exp(-ADMISSION_DECREASE_PER_S * min(step, 1.0)),
            )
        else:
            self.admitted_fraction = min(1.0, self.admitted_fraction + ADMISSION_INCREASE_PER_S * step)
        luck, most = (
            self.rng.random(),
            (1 - self.admitted_fraction) * len(ranks) * (self.settings.gateway_count > LIMIT_MOST),
        )
        return (
            most > 0
            and luck * ranks.count(job.priority_per_unit) + sum(v < job.priority_per_unit for v in ranks)
            < most
        )

    def handle_over_quota(self, now: float, job: Job, wait: float) -> None:
        clear = self.fleet.mean_held() < ROOM_CLEAR * LIMIT_MOST and not self.queue
        if job.plan.over_quota_weight > job.plan.over_quota_cost and clear:
            job.is_over_quota = True
            self.enqueue(now, job)
        else:
            self.reject(now, job, wait)

    def enqueue(self, now: float, job: Job) -> None:
        acct, units = job.account, job.req.units
        if acct.remaining_ceiling(now) < units:
            self.reject(now, job, 0.0)
            return
        acct.ceiling_units -= units  # spent before sending
        job.stage = "queue"
        bisect.insort(self.queue, job, key=lambda j: (not j.is_over_quota, j.priority_per_unit))
        most = max(
            MIN_QUEUE_LENGTH,
            self.fleet.own_rate(now) * MAX_QUEUE_TIME_FRACTION * job.service_class.latency_objective,
        )
        self.queue = [j for j in self.queue if not j.is_done] if len(self.queue) > most else self.queue
        if len(self.queue) > most:
            self.reject(now, self.queue.pop(0), 0.0)
        self.send_queued(now)
        if job.stage == "queue" and not job.is_done:
            self.schedule_check(now + MAX_QUEUE_TIME_FRACTION * job.service_class.latency_objective, job)

    def send_queued(self, now: float) -> None:
        while self.queue:
            job = self.queue[-1]
            if not job.is_done:
                if not self.send_attempt(now, job):
                    return  # nothing was sent for it yet, so no server has room for any other either
                clear = self.fleet.mean_held() < ROOM_CLEAR * LIMIT_MOST
                share = RETRY_BUDGET_PER_SEND_WITH_CAPACITY if clear else RETRY_BUDGET_PER_SEND
                self.retry_budget = min(
                    max(2.0, RETRY_MOST / self.settings.gateway_count), self.retry_budget + share
                )
            self.queue.pop()
