"""The grantor: which part of each budget each gateway may use, and until when. No I/O, no clock, no globals.

Of each incarnation of a gateway the grantor keeps the most that it may be using (what its grant covers): what
the gateway said it limits itself to, or the newest amount it was granted, whichever is more. A gateway
accepts only the response to its latest exchange, so its next one settles which of the two it is. What an
incarnation covers is free for others when the gateway has said that it limits itself to less, or when the
grant has ended by any clock, and never before. An amount is granted only up to what all others leave, so the
sum of what is covered never exceeds what is divided.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping

from api_gateway.budgets.division import Claim, distribute_spare, divide_fairly, round_to_integers
from api_gateway.budgets.errors import (
    InvalidExchangeError,
    StaleIncarnationError,
    SupersededExchangeError,
)
from api_gateway.budgets.records import (
    NO_GRANT,
    BudgetGrant,
    BudgetPool,
    GatewayIncarnation,
    GrantKey,
    PendingGrowth,
    StoredGrant,
)
from api_gateway.budgets.terms import (
    AMOUNT_TOLERANCE,
    LEVEL,
    RATE,
    Budget,
    BudgetReport,
    ExchangeRequest,
    GrantResponse,
    Terms,
)

DEMAND_RISE_EXCHANGES = 0.5  # exchanges after which a demand that grew is believed
DEMAND_FALL_EXCHANGES = 2.0  # exchanges after which a demand that shrank is
HYSTERESIS_FRACTION = 0.1  # of a grant, by which it does not follow a demand where nobody goes short
MIN_DIVISION_INTERVAL_S = 0.2  # between two divisions of a budget
ROTATION_INTERVAL_S = 10.0  # after which others have the units of a level that cannot be shared evenly
MAX_GATEWAY_NAMES = 4096  # gateways that are remembered; exchanges of further ones are rejected
FORGET_AFTER_S = 3600.0  # after which a gateway that has nothing is forgotten


class Grantor:
    """Divides the budgets of one set of terms.

    The methods are many because all of them keep one invariant, that the sum of what is covered never exceeds
    what is divided; it can be checked in one place.

    Attributes:
        terms: The terms in force.
        term: The number that each grant carries; newer than that of any earlier incarnation of the grantor.
        has_log: Whether what is granted must be stored before it is sent.
        is_log_writable: Whether the log took the last write.
        learned_at: When all grants of earlier incarnations have ended; before, nothing new is granted.
        unstored: Amounts that the log does not hold as they are; 0 for a grant that has ended.
        counts: Events for the operators' status, by name.
    """

    def __init__(
        self,
        terms: Terms,
        term: int,
        now: float,
        stored: Mapping[GrantKey, StoredGrant] | None,
        has_log: bool,
        weights: Mapping[str, float] | None = None,
        longest_lifetime: float = 0.0,
    ) -> None:
        """Begins with what the log held.

        Args:
            terms: The terms in force.
            term: See the class.
            now: The grantor's clock in seconds; it only goes forward.
            stored: What the log held, where it was complete. None: nothing is known of earlier grants, which
                are waited for until they have ended.
            has_log: See the class.
            weights: By the name of a gateway, or else of its zone; 1 where there is none.
            longest_lifetime: Seconds for which earlier grants may last by the log, where it is not complete.
        """
        self.terms = terms
        self.term = term
        self.has_log = has_log
        self.is_log_writable = True
        self.weights = weights or {}
        self.incarnations: dict[tuple[str, int], GatewayIncarnation] = {}
        self.newest_incarnations: dict[str, int] = {}
        self.pools = {budget.name: self.make_pool(budget) for budget in terms.budgets}
        self.learned_at = now
        if stored is None:
            self.wait_for_earlier_grants(now, longest_lifetime, term - 1)
        self.unstored: dict[GrantKey, float] = {}
        self.counts: Counter[str] = Counter()
        for key, grant in (stored or {}).items():
            self.restore(now, GrantKey(*key), grant)

    def make_pool(self, budget: Budget) -> BudgetPool:
        """Returns the pool of a budget of which nothing is granted."""
        terms = self.terms
        return BudgetPool(
            budget=budget,
            divisible=terms.divisible_amount(budget),
            reserve_share=terms.reserve_share(budget),
            burst_ratio=terms.burst_ratio(budget),
            largest_total=budget.total,
        )

    def wait_for_earlier_grants(self, now: float, longest_lifetime: float, term: int) -> None:
        """Grants nothing new until all that was granted before has ended.

        Args:
            now: The grantor's clock in seconds.
            longest_lifetime: Seconds for which earlier grants may last at least.
            term: The newest term of these grants.
        """
        release_delay = max(budget.release_delay for budget in self.terms.budgets)
        self.learned_at = now + max(self.terms.grant_lifetime() + release_delay, longest_lifetime)
        self.term = max(self.term, term + 1)

    def restore(self, now: float, key: GrantKey, stored: StoredGrant) -> None:
        """Takes over what an earlier incarnation of the grantor had granted.

        It may have been granted just now, and lasts as long as that incarnation said. Where terms are longer
        now, the log must hold that before it is granted again.
        """
        incarnation = self.incarnations.setdefault(
            (key.gateway, key.incarnation), GatewayIncarnation(key.gateway, key.incarnation)
        )
        lifetime = max(self.terms.grant_lifetime(), stored.lifetime)
        incarnation.granted_until = max(incarnation.granted_until, now + lifetime)
        incarnation.last_exchange_at = now
        grant = BudgetGrant(
            covered=stored.amount,
            demand=stored.amount,
            stored_amount=stored.amount,
            release_delay=stored.release_delay,
        )
        incarnation.grants[key.budget] = grant
        newest = self.newest_incarnations.get(key.gateway, 0)
        self.newest_incarnations[key.gateway] = max(key.incarnation, newest)
        if key.budget in self.pools:
            self.pools[key.budget].covered += stored.amount
        is_shorter = stored.lifetime < self.terms.grant_lifetime()
        if is_shorter or stored.release_delay < self.release_delay_of(key.budget, grant):
            self.mark_unstored(key, grant)

    def mark_unstored(self, key: GrantKey, grant: BudgetGrant) -> None:
        """Notes that what the log holds of a grant lasts too short a time."""
        grant.stored_amount = 0.0
        self.unstored[key] = grant.covered

    def release_delay_of(self, budget: str, grant: BudgetGrant) -> float:
        """Returns the seconds for which units may outlast the grant, by all terms that it was given under."""
        pool = self.pools.get(budget)
        return max(grant.release_delay, pool.budget.release_delay if pool is not None else 0.0)

    # Exchanges

    def handle_exchange(self, now: float, request: ExchangeRequest) -> GrantResponse:
        """Returns the response to an exchange.

        With a log, `unstored_amounts` must be stored before it is sent.

        Raises:
            StaleIncarnationError: A newer incarnation of the gateway is known.
            SupersededExchangeError: A newer exchange was answered.
            InvalidExchangeError: It names what does not exist, or amounts that are impossible.
        """
        self.validate(request)
        incarnation = self.incarnation_of(request)
        last_response = incarnation.last_response
        is_repeated = request.sequence == incarnation.sequence
        if request.sequence < incarnation.sequence or is_repeated and last_response is None:
            self.counts["superseded"] += 1
            raise SupersededExchangeError
        if is_repeated and last_response is not None:
            self.counts["repeated"] += 1
            return last_response
        self.counts["exchanges"] += 1
        if request.term > self.term:
            # The only grantor, whose clock was set back: what it grants must be newer all the same.
            self.term = request.term + 1
        self.update_reports(now, incarnation, request)
        amounts = {
            name: self.grant(now, incarnation, name, report) for name, report in request.budgets.items()
        }
        # From the first response on: the gateway counts from before it asked, so its end is never later.
        granted_until = now + self.terms.grant_lifetime()
        incarnation.granted_until = max(incarnation.granted_until, granted_until)
        response = GrantResponse(
            request.incarnation,
            request.sequence,
            self.term,
            self.terms.grant_duration,
            amounts,
            {name: self.pools[name].burst_ratio for name in amounts if self.pools[name].burst_ratio},
        )
        incarnation.last_response = response
        return response

    def validate(self, request: ExchangeRequest) -> None:
        """Checks what a request says against the terms.

        Raises:
            InvalidExchangeError: They contradict it.
        """
        for name, report in request.budgets.items():
            pool = self.pools.get(name)
            if pool is None:
                raise InvalidExchangeError(f"no budget is named {name!r}")
            if report.demand > pool.largest_total or report.holding > pool.largest_total:
                raise InvalidExchangeError(
                    f"{name}: a need or a part is over the whole of {pool.largest_total:g}"
                )
            if report.reserve_share > pool.reserve_share * (1 + AMOUNT_TOLERANCE):
                raise InvalidExchangeError(
                    f"{name}: {report.reserve_share:g} of the reserve, "
                    f"where a share has {pool.reserve_share:g}"
                )
            if report.reserve_share > 0 and request.index >= self.terms.max_gateways:
                raise InvalidExchangeError(
                    f"index {request.index} has no share of the reserve: only {self.terms.max_gateways} do"
                )

    def incarnation_of(self, request: ExchangeRequest) -> GatewayIncarnation:
        """Returns the incarnation that sent a request; it is remembered from its first one on.

        Raises:
            StaleIncarnationError: A newer one is known.
            InvalidExchangeError: Too many gateways are known.
        """
        newest = self.newest_incarnations.get(request.name)
        if newest is not None and request.incarnation < newest:
            self.counts["stale"] += 1
            raise StaleIncarnationError(newest)
        if newest is None and len(self.newest_incarnations) >= MAX_GATEWAY_NAMES:
            raise InvalidExchangeError(f"{MAX_GATEWAY_NAMES} gateways are known already")
        self.newest_incarnations[request.name] = request.incarnation
        return self.incarnations.setdefault(
            (request.name, request.incarnation), GatewayIncarnation(request.name, request.incarnation)
        )

    def update_reports(self, now: float, incarnation: GatewayIncarnation, request: ExchangeRequest) -> None:
        """Takes over what a gateway says of itself and of its demand."""
        is_first = incarnation.last_exchange_at == -math.inf
        elapsed = 0.0 if is_first else now - incarnation.last_exchange_at
        incarnation.zone = request.zone
        incarnation.index = request.index
        incarnation.sequence = request.sequence
        incarnation.uses_reserve = any(report.reserve_share > 0 for report in request.budgets.values())
        for name, report in request.budgets.items():
            grant = incarnation.grants.setdefault(name, BudgetGrant())
            self.update_demand(grant, report, elapsed)
            self.pools[name].needs_division = True
        incarnation.last_exchange_at = now

    def update_demand(self, grant: BudgetGrant, report: BudgetReport, elapsed: float) -> None:
        """Smooths a demand over some exchanges: one that grew is believed sooner than one that shrank."""
        demand = max(0.0, report.demand - report.reserve_share)
        exchanges = DEMAND_RISE_EXCHANGES if demand > grant.demand else DEMAND_FALL_EXCHANGES
        time_constant = self.terms.exchange_interval * exchanges
        weight = 1 - math.exp(-elapsed / time_constant) if elapsed > 0 else 1.0
        grant.demand += (demand - grant.demand) * weight

    def grant(self, now: float, incarnation: GatewayIncarnation, name: str, report: BudgetReport) -> float:
        """Returns the amount of one budget that a gateway is granted now, at most what all others leave."""
        pool = self.pools[name]
        grant = incarnation.grants[name]
        if now < self.learned_at:
            # It keeps what it has; all that the others have is not known yet.
            available = min(report.holding, pool.divisible)
        else:
            available = max(0.0, pool.divisible - (pool.covered - grant.covered))
        if self.has_log and not self.is_log_writable:
            available = min(available, grant.stored_amount)
        self.update_target(now, incarnation, pool, grant)
        amount = min(self.next_amount(pool, grant, report.holding, available), available)
        if pool.budget.kind == LEVEL:
            amount = float(math.floor(amount + AMOUNT_TOLERANCE))
        self.set_covered(incarnation, name, grant, max(report.holding, amount))
        return amount

    def next_amount(self, pool: BudgetPool, grant: BudgetGrant, holding: float, available: float) -> float:
        """Returns the target, or what the gateway has where that is near enough and nobody goes short."""
        is_near = abs(grant.target - holding) <= HYSTERESIS_FRACTION * holding
        keeps = is_near and not pool.is_short and holding <= available
        return holding if keeps else grant.target

    def set_covered(
        self, incarnation: GatewayIncarnation, name: str, grant: BudgetGrant, amount: float
    ) -> None:
        """Sets what a grant covers, and notes whether the log still has to hold it."""
        self.pools[name].covered += amount - grant.covered
        grant.covered = amount
        key = incarnation.key(name)
        if amount != grant.stored_amount:
            self.unstored[key] = amount
        else:
            self.unstored.pop(key, None)

    # Division

    def update_target(
        self, now: float, incarnation: GatewayIncarnation, pool: BudgetPool, grant: BudgetGrant
    ) -> None:
        """Divides anew where something has changed.

        Between two divisions a gateway that comes gets what the last one would have given it.
        """
        if pool.needs_division and now - pool.divided_at >= MIN_DIVISION_INTERVAL_S:
            self.divide_pool(now, pool)
        else:
            fair_amount = pool.fair_level * self.weight_of(incarnation)
            wanted = max(grant.demand, pool.budget.minimum)
            grant.target = max(grant.target, min(wanted, fair_amount))

    def weight_of(self, incarnation: GatewayIncarnation) -> float:
        """Returns the weight of a gateway: its own, else that of its zone, else 1."""
        return self.weights.get(incarnation.name, self.weights.get(incarnation.zone, 1.0))

    def divide_pool(self, now: float, pool: BudgetPool) -> None:
        """Sets the target of each gateway that has a grant of this budget, or has just asked for one."""
        name = pool.budget.name
        claimants = self.claimants_of(now, name)
        grants = [incarnation.grants[name] for incarnation in claimants]
        claims = [
            Claim(grant.demand, pool.budget.minimum, self.weight_of(incarnation))
            for incarnation, grant in zip(claimants, grants, strict=True)
        ]
        parts, pool.fair_level = divide_fairly(pool.divisible, claims)
        spare = pool.divisible * (1 - self.terms.unassigned_fraction) - sum(parts)
        if spare > 0 and parts:
            parts = distribute_spare(spare, parts, claims)
        if pool.budget.kind == LEVEL:
            parts = round_to_integers(parts, int(now / ROTATION_INTERVAL_S))
        for grant, part in zip(grants, parts, strict=True):
            grant.target = part
        # Summed anew, so that errors of rounding do not add up.
        pool.covered = sum(
            incarnation.grants[name].covered
            for incarnation in self.incarnations.values()
            if name in incarnation.grants
        )
        missing = sum(max(0.0, grant.target * (1 - HYSTERESIS_FRACTION) - grant.covered) for grant in grants)
        pool.is_short = missing > pool.divisible - pool.covered + AMOUNT_TOLERANCE
        pool.divided_at = now
        pool.needs_division = False

    def claimants_of(self, now: float, budget: str) -> list[GatewayIncarnation]:
        """Returns the newest incarnations that have a share in the division of a budget, by name."""
        claimants = [
            incarnation
            for incarnation in self.incarnations.values()
            if budget in incarnation.grants
            and (now < incarnation.granted_until or incarnation.last_exchange_at == now)
            and self.newest_incarnations[incarnation.name] == incarnation.incarnation
        ]
        return sorted(claimants, key=lambda incarnation: incarnation.name)

    # Time

    def release_ended(self, now: float) -> None:
        """Releases what has ended. To be called some times a second."""
        for key, incarnation in list(self.incarnations.items()):
            if now < incarnation.granted_until:
                continue
            for name, grant in list(incarnation.grants.items()):
                if now >= incarnation.granted_until + self.release_delay_of(name, grant):
                    self.release(incarnation, name, grant)
            is_newest = self.newest_incarnations.get(incarnation.name) == incarnation.incarnation
            is_forgotten = now - incarnation.last_exchange_at >= FORGET_AFTER_S
            if not incarnation.grants and (not is_newest or is_forgotten):
                # Not sooner: till then an older incarnation is not taken for a new gateway.
                del self.incarnations[key]
                if is_newest:
                    del self.newest_incarnations[incarnation.name]
        for pool in self.pools.values():
            growth = pool.pending_growth
            if growth is not None and now >= growth.due_at:
                pool.divisible = growth.divisible
                pool.pending_growth = None
                pool.needs_division = True
            elif now - pool.divided_at >= ROTATION_INTERVAL_S:
                pool.needs_division = True

    def release(self, incarnation: GatewayIncarnation, name: str, grant: BudgetGrant) -> None:
        """Frees what a grant covers for other gateways."""
        if name in self.pools:
            self.pools[name].covered -= grant.covered
            self.pools[name].needs_division = True
        if grant.stored_amount or grant.covered:
            self.unstored[incarnation.key(name)] = 0.0
        del incarnation.grants[name]
        incarnation.last_response = None

    # The log

    def unstored_amounts(self, request: ExchangeRequest) -> dict[GrantKey, float]:
        """Returns what must be stored before the response to a request may be sent."""
        incarnation = self.incarnations[request.name, request.incarnation]
        if not self.has_log or incarnation.last_response is None:
            return {}
        return {
            incarnation.key(name): incarnation.grants[name].covered
            for name, amount in incarnation.last_response.amounts.items()
            if amount > incarnation.grants[name].stored_amount
        }

    def rows_to_store(self, now: float, complete: bool) -> dict[GrantKey, StoredGrant]:
        """Returns what the log does not hold as it is.

        Args:
            now: The grantor's clock in seconds.
            complete: Whether all that may be in use is wanted instead.
        """
        rows = {} if complete else dict.fromkeys(self.unstored, NO_GRANT)
        for incarnation in self.incarnations.values():
            for name, grant in incarnation.grants.items():
                key = incarnation.key(name)
                if complete or key in self.unstored:
                    lifetime = max(self.terms.grant_lifetime(), incarnation.granted_until - now)
                    rows[key] = StoredGrant(grant.covered, lifetime, self.release_delay_of(name, grant))
        return rows

    def longest_lifetime(self, now: float) -> float:
        """Returns the seconds after which nothing is in use of all that was granted by now."""
        release_delays = [
            self.release_delay_of(name, grant)
            for incarnation in self.incarnations.values()
            for name, grant in incarnation.grants.items()
        ]
        release_delays += [budget.release_delay for budget in self.terms.budgets]
        granted_until = max(
            (incarnation.granted_until for incarnation in self.incarnations.values()), default=now
        )
        lifetime = max(self.terms.grant_lifetime(), granted_until - now)
        return max(lifetime + max(release_delays), self.learned_at - now)

    def on_stored(self, written: Mapping[GrantKey, StoredGrant]) -> None:
        """Notes that these rows are in the log."""
        self.is_log_writable = True
        for key, stored in written.items():
            incarnation = self.incarnations.get((key.gateway, key.incarnation))
            grant = incarnation.grants.get(key.budget) if incarnation is not None else None
            if grant is not None and stored.release_delay >= self.release_delay_of(key.budget, grant):
                grant.stored_amount = stored.amount
            is_current = grant is None or grant.stored_amount == stored.amount
            if self.unstored.get(key) == stored.amount and is_current:
                del self.unstored[key]

    def is_complete(self, now: float) -> bool:
        """Returns whether all that is granted is known.

        A log of what an incarnation knew in part is no use to the next one, which waits too.
        """
        return now >= self.learned_at

    def on_log_failed(self) -> None:
        """Notes that the log takes nothing: no more is granted than what it holds already."""
        self.is_log_writable = False

    def reduce_to_stored(self, request: ExchangeRequest, response: GrantResponse) -> GrantResponse:
        """Returns a response that could not be stored, reduced to what the log held before.

        Raises:
            SupersededExchangeError: Its grants have ended while the disk was tried.
        """
        incarnation = self.incarnations.get((request.name, request.incarnation))
        if incarnation is None or not incarnation.grants.keys() >= response.amounts.keys():
            raise SupersededExchangeError
        amounts = {
            name: min(amount, incarnation.grants[name].stored_amount)
            for name, amount in response.amounts.items()
        }
        reduced = GrantResponse(
            response.incarnation,
            response.sequence,
            response.term,
            response.duration,
            amounts,
            response.burst_ratios,
        )
        if incarnation.sequence == request.sequence:
            incarnation.last_response = reduced
            for name, amount in amounts.items():
                covered = max(request.budgets[name].holding, amount)
                self.set_covered(incarnation, name, incarnation.grants[name], covered)
        return reduced

    # Changes of the terms

    def change_terms(self, now: float, terms: Terms, weights: Mapping[str, float]) -> None:
        """Takes other totals, minimums, release delays, weights, or one more budget.

        What is granted above a smaller total is worked off as grants end.

        Raises:
            InvalidExchangeError: The change cannot hold at once everywhere, because the reserve is used by
                gateways that hear nothing.
        """
        self.validate_change(terms)
        budgets = {budget.name: budget for budget in terms.budgets}
        longer_delays = {
            name
            for name, pool in self.pools.items()
            if budgets[name].release_delay > pool.budget.release_delay
        }
        self.terms = terms
        self.weights = weights
        for name, budget in budgets.items():
            pool = self.pools.setdefault(name, self.make_pool(budget))
            self.change_budget(now, pool, budget)
        for incarnation in self.incarnations.values():
            for name in incarnation.grants.keys() & longer_delays:
                self.mark_unstored(incarnation.key(name), incarnation.grants[name])

    def validate_change(self, terms: Terms) -> None:
        """Checks that other terms can hold from now on.

        Raises:
            InvalidExchangeError: They cannot while the grantor runs.
        """
        if fixed_while_running(self.terms) != fixed_while_running(terms):
            raise InvalidExchangeError("most, length, every and drift cannot change while the grantor runs")
        budgets = {budget.name: budget for budget in terms.budgets}
        for name, pool in self.pools.items():
            old = pool.budget
            new = budgets.get(name)
            if new is None or (new.kind, new.reserve) != (old.kind, old.reserve):
                raise InvalidExchangeError(
                    f"{name}: a budget cannot go while it is granted, nor change kind or reserve"
                )
            if new.release_delay < old.release_delay:
                raise InvalidExchangeError(f"{name}: a linger cannot become shorter while it is granted")

    def change_budget(self, now: float, pool: BudgetPool, budget: Budget) -> None:
        """Puts one budget on the terms in force."""
        divisible = self.terms.divisible_amount(budget)
        if budget.kind == RATE and divisible > pool.divisible:
            # Grants so far may save up more for each unit than new ones: these come when those have ended.
            pool.pending_growth = PendingGrowth(now + self.terms.grant_lifetime(), divisible)
        else:
            pool.divisible = divisible
            pool.pending_growth = None
        pool.budget = budget
        pool.burst_ratio = self.terms.burst_ratio(budget)
        pool.needs_division = True
        pool.largest_total = max(pool.largest_total, budget.total)


def fixed_while_running(terms: Terms) -> tuple[int, float, float, float]:
    """Returns what gateways go by that hear nothing of a change."""
    return (terms.max_gateways, terms.grant_duration, terms.exchange_interval, terms.clock_drift)
