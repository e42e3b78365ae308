"""Units and open attempts of customers: by lease, by allowance, by a count over all gateways."""

from __future__ import annotations

import math

from api_gateway import interface as api
from api_gateway.policy.customer_accounts import (
    CHARGE_THRESHOLD_FRACTION,
    CONGESTED_LATENCY_FRACTION,
    Account,
    CounterCall,
    OpenAttemptCall,
    stable_hash,
)
from api_gateway.policy.endpoints import TICK
from api_gateway.policy.load_shedding import Shedding
from api_gateway.policy.request_state import OPEN_COUNT_EPOCH_S, Job

RESERVED_BURST_FRACTION = (
    0.2  # share of a burst kept from the class worth least a unit, for the one worth most
)
CALL_TIME_COST = (
    0.3  # worth of a call's time at the full time-out (c1 grows as the counter slows), squared share
)
UNHEARD_MOST = 256  # timed-out calls that are remembered in case that their totals come after all
CORRECTION_CALL_VALUE = (
    0.15  # worth of a call that only mends a count for others, or finds a limit seldom reached
)
TOTAL_ROUNDING_UNITS = 0.01  # units by which a total may be off: it is told to some digits only
MAX_SAMPLE_WEIGHT = 20.0  # tries that a call stands for at most in what a plan was granted
SAMPLE_MOST = 4.0  # a sampled charge stands for so many at most: more makes the count jump


class Quota(Shedding):
    """The design's mechanism: leases by adds on the counter, and the light customers' allowance."""

    def current_account(self, now: float, req: api.Request, plan: api.Plan, old: Account | None) -> Account:
        """A new customer's, or one whose plan or whose time has changed: the same windows go on."""
        fresh = Account(req, plan, self.started_at, now, self.rng, self.cluster_clock.offset)
        if old is None:
            return fresh
        old.advance_window(now)
        if math.isclose(fresh.window_length, old.window_length) and fresh.clock_offset == old.clock_offset:
            old.plan, old.has_fractional_share = plan, 0 < plan.burst < old.gateway_spread
            return old
        past = [
            a
            for a in (*old.previous_accounts, old)
            if a.open_attempts_here or a.pending_call or a.window_at(now) == a.window_number
        ]
        same = [
            a
            for a in past
            if math.isclose(a.window_length, fresh.window_length) and a.clock_offset == fresh.clock_offset
        ]
        left = [a for a in same if a.window_at(now) == a.window_number]
        if left:
            fresh = left[0]
            fresh.plan, fresh.has_fractional_share = plan, 0 < plan.burst < fresh.gateway_spread
            fresh.uncharged_units += (
                old.lifetime_units - fresh.lifetime_units
            )  # its count has not heard what was spent meanwhile
            fresh.record_use(old.lifetime_units - fresh.lifetime_units)
        else:
            fresh.carry_over_from(old, now)
        fresh.lifetime_units, fresh.previous_accounts = (
            old.lifetime_units,
            [a for a in past if a is not fresh],
        )
        return fresh

    def reserved_units(self, job: Job) -> float:
        """Kept for classes that earn more with a unit; binds near the end of a quota only."""
        return (
            RESERVED_BURST_FRACTION
            * job.plan.burst
            * (1 - job.service_class.priority_weight / self.max_priority_weight)
            if self.max_priority_weight
            else 0.0
        )

    def spare_units(self, now: float, job: Job) -> float:
        return job.account.remaining_units(now) - self.reserved_units(job) - job.req.units

    def take_units(self, now: float, job: Job) -> bool:
        acct, units = job.account, job.req.units
        if self.spare_units(now, job) + acct.lease < 0:
            return False
        left = acct.uncharged_allowance(now, self.counter.failure_count > 0) - acct.uncharged_units
        if acct.lease >= units:
            acct.lease -= units
        # What is less than a request is rounded at random, once a window: over all gateways it comes out.
        elif acct.remaining_units(now) >= units and left >= units * (1 - acct.rounding_draw):
            acct.uncharged_since = acct.uncharged_since if acct.uncharged_units else now
            acct.uncharged_units += units
        else:
            return False
        acct.record_use(units)
        self.request_open_attempt(now, job)
        return True

    def want_units(self, now: float, job: Job) -> None:
        job.account.advance_window(now)
        use = self.plan_usage[job.plan.name, job.req.is_retry]
        gain = (
            job.priority
            / max(self.mean_priority, 1e-9)
            * min(use.granted_fraction, use.unasked_error_cost(job.plan))
        )
        chance = self.counter.call_probability(gain)
        self.decide_units(now, job, self.rng.random() < chance)
        self.renew(
            now, job.account, 1 / max(chance, 1 / MAX_SAMPLE_WEIGHT)
        )  # it stands for those not asked too

    def decide_units(self, now: float, job: Job, ask: bool) -> None:
        acct, room = job.account, job.account.remaining_units(now)
        if self.take_units(now, job):
            return
        if now < acct.exhausted_until or self.spare_units(now, job) < 0:
            self.handle_over_quota(now, job, (job.req.units - room) / acct.plan.rate)
        elif ask and self.counter.is_usable(now):
            acct.waiting_requests.append(job.req.request_id)
            self.schedule_check(now + 2 * self.counter.timeout + TICK, job)
        else:
            self.unasked(now, job)

    def unasked(self, now: float, job: Job) -> None:
        use, units = self.plan_usage[job.plan.name, job.req.is_retry], job.req.units
        use.refill_credit(now)
        if (
            job.account.has_fractional_share
            and use.credit_units >= units
            and use.granted_fraction > use.unasked_error_cost(job.plan)
        ):
            use.credit_units -= units
            job.account.record_use(units)
            self.request_open_attempt(now, job)
        else:
            self.handle_over_quota(now, job, 0.0)

    def renew(self, now: float, acct: Account, factor: float = 1.0) -> None:
        if acct.pending_call is not None or not self.counter.is_usable(now):
            return
        need = sum(self.jobs[i].req.units for i in acct.waiting_requests if i in self.jobs)
        w = (
            0
            if self.is_draining
            else acct.block(self.counter.price + CALL_TIME_COST * self.counter.latency_fraction**2)
        )
        room = acct.remaining_units(now)
        more = acct.lease < w / 2 and room > w * acct.gateway_spread and now >= acct.exhausted_until
        due = acct.uncharged_units > max(
            1.0, CHARGE_THRESHOLD_FRACTION * acct.uncharged_allowance(now, False)
        )
        if not (need or due or (acct.counted_units and more)):
            return
        ask = max(need, w) - acct.lease if need else w * more
        ask = max(0, int(min(math.ceil(ask), max(room, 0.0))))
        if ask + acct.uncharged_units <= 0:
            self.settle_waiting_requests(now, acct)
            return
        extra = need * (min(SAMPLE_MOST, factor) - 1)
        call = acct.pending_call = CounterCall(
            acct,
            "units",
            acct.window_number,
            acct.uncharged_units,
            ask,
            extra,
            factor,
            acct.unrefilled_units(now),
        )
        acct.counter_total += acct.uncharged_units
        acct.uncharged_units = 0.0
        self.add_to_counter(
            stable_hash(acct.name, acct.window_number),
            ask + call.charged_units + call.sampled_units,
            3 * acct.window_length,
            call,
        )

    def on_counter_reply(self, now: float, event: api.CounterReply) -> None:
        if event.result == "late":
            self.on_late_counter_reply(now, event)
        if event.result == "late" or event.name not in self.pending_calls:
            return
        call, *rest = self.pending_calls.pop(event.name)
        self.pending_calls.update({event.name: rest} if rest else {})
        ok, acct = event.result == "ok", call.account
        self.counter.record_answer(now, ok, event.elapsed)
        if ok:
            self.cluster_clock.counter_answers(now)
        if call.kind == "units":
            acct.pending_call = None
            acct.advance_window(now)
            if call.window_number == acct.window_number and ok:
                self.apply_grant(now, acct, event.total, call)
            elif call.window_number == acct.window_number and event.result != "timeout":
                acct.uncharged_units += call.charged_units  # surely not added: the charge is still owed
                acct.counter_total -= call.charged_units
            elif call.window_number == acct.window_number:
                acct.unconfirmed_units += (
                    call.charged_units
                )  # else each silent call would renew the allowance
                self.timed_out_calls[event.name] = call
                while len(self.timed_out_calls) > UNHEARD_MOST:
                    del self.timed_out_calls[next(iter(self.timed_out_calls))]
            self.settle_waiting_requests(now, acct)
        elif isinstance(call, OpenAttemptCall):
            self.on_open_attempt_counted(now, event, call)

    def on_late_counter_reply(self, now: float, event: api.CounterReply) -> None:
        """The lease is in the count, so it is spent here: left alone, it would fill the count for nobody."""
        call = self.timed_out_calls.pop(event.name, None)
        if call is not None:
            call.account.advance_window(now)
            if call.window_number == call.account.window_number:
                self.apply_grant(now, call.account, event.total, call)

    def apply_grant(self, now: float, acct: Account, total: float, call: CounterCall) -> None:
        mine, extra = call.charged_units + call.requested_units + call.sampled_units, 0.0
        if total <= mine + TOTAL_ROUNDING_UNITS and not acct.counted_units:
            extra = acct.overdraft  # whoever finds the count empty brings the last window's overdraft along
        elif (
            total < acct.counted_units + mine - TOTAL_ROUNDING_UNITS
        ):  # less than what is ours alone: a count was lost; ours again
            extra = acct.counted_units
        total = max(total, acct.others_carried_units + acct.counted_units + mine)
        if (
            not acct.has_fractional_share
        ):  # the store holds a burst at most: what a quiet customer let run over is gone
            extra += max(
                0,
                int(
                    acct.window_quota(now)
                    - acct.plan.burst
                    - (total + extra - call.requested_units - call.unrefilled_units)
                ),
            )
        jobs = [self.jobs[i] for i in acct.waiting_requests if i in self.jobs]
        kept = min((self.reserved_units(j) for j in jobs), default=0.0)
        over = min(call.requested_units, max(0.0, math.ceil(total + extra + kept - acct.window_quota(now))))
        acct.counted_units += mine + extra - over
        acct.counter_total, acct.unconfirmed_units = total + extra - over, 0.0
        acct.lease += call.requested_units - over
        need = sum(j.req.units for j in jobs)
        if need:
            use = self.plan_usage[acct.plan.name, jobs[0].req.is_retry]
            use.record_grant(now, need * call.sample_weight, min(need, acct.lease) * call.sample_weight)
        if self.rng.random() < self.counter.call_probability(
            CORRECTION_CALL_VALUE
        ):  # in a crowd the excess stays counted
            extra -= over
        if extra:
            self.add_to_counter(
                stable_hash(acct.name, acct.window_number),
                extra,
                3 * acct.window_length,
                CounterCall(acct, "void", acct.window_number),
            )

    def settle_waiting_requests(self, now: float, acct: Account) -> None:
        waiting, acct.waiting_requests = acct.waiting_requests, []
        jobs = [self.jobs[i] for i in waiting if i in self.jobs]
        for job in sorted(jobs, key=lambda j: -j.priority / max(j.req.units, 1e-9)):
            if acct.remaining_units(now) + acct.lease < job.req.units:
                wait = max(0.0, 1 - acct.remaining_units(now)) / acct.plan.rate
                crowd = (
                    self.counter.latency_fraction > CONGESTED_LATENCY_FRACTION
                )  # others wait for the same unit: no call until the turn
                acct.exhausted_until = acct.window_started_at + acct.window_length if crowd else now + wait
            self.decide_units(now, job, not self.counter.failure_count > 0)
        if acct.waiting_requests:
            self.renew(now, acct)

    def request_open_attempt(self, now: float, job: Job, ask: bool = True) -> None:
        """Own even part of the open limit; the rest is shared by a count, asked for what that changes, or
        judged by Little's law from the customer's rate, which its units bound, and the time of answers."""
        acct, plan = job.account, job.plan
        own, shared = divmod(plan.max_concurrent, acct.gateway_spread)
        rate = max(acct.counter_total, acct.used_units) / max(
            now - acct.window_started_at, acct.window_length / 4
        )
        mean = (
            min(rate, plan.rate or rate) / max(job.req.units, 1e-9) * self.fleet.mean[job.service_class.name]
        )
        over = 1 - sum(mean**n * math.exp(-mean) / math.factorial(n) for n in range(plan.max_concurrent))
        cost = max(0.0, plan.over_quota_cost - plan.over_quota_weight)
        job.stage = "slot"
        if own and sum(a.open_attempts_here for a in (acct, *acct.previous_accounts)) < own:
            job.open_attempt_epoch = -1
            acct.open_attempts_here += 1
        elif (
            shared
            and ask
            and self.counter.is_usable(now)
            and (self.rng.random() < self.counter.call_probability(max(over, CORRECTION_CALL_VALUE) * cost))
        ):
            self.count_open_attempt(
                acct, int((now + self.cluster_clock.offset) / OPEN_COUNT_EPOCH_S) + 1, 1, job
            )
            self.schedule_check(job.deadline, job)
            return
        elif plan.max_concurrent and (plan.max_concurrent >= acct.gateway_spread or over * cost >= 1 - over):
            self.handle_over_quota(now, job, 0.0)
            return
        self.enqueue(now, job)

    def on_open_attempt_counted(self, now: float, event: api.CounterReply, call: OpenAttemptCall) -> None:
        job, acct, ok = call.job, call.account, event.result == "ok"
        if ok and (job.is_done or event.total > acct.plan.max_concurrent % acct.gateway_spread):
            self.count_open_attempt(acct, call.window_number, -1)
        if ok and not job.is_done and event.total > acct.plan.max_concurrent % acct.gateway_spread:
            self.handle_over_quota(now, job, 0.0)
        elif not job.is_done:
            job.open_attempt_epoch = call.window_number if ok else 0
            self.enqueue(now, job) if ok else self.request_open_attempt(now, job, False)
