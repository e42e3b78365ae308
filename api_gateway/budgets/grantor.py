"""The grantor decides how much of each budget each gateway may use, and until when.

It performs no I/O, reads no clock and has no global state.

For each incarnation of a gateway the grantor records an upper bound on what it may be using, the outstanding
amount. This is the larger of the amount to which the gateway reported to limit itself and the newest amount
that it was granted. A gateway accepts only the response to its latest exchange, so its next exchange shows
which of the two applies. Outstanding units become free for other gateways only when the gateway has reported
a lower limit, or when the grant has expired on every clock. No grant exceeds what the outstanding amounts of
all others leave, so the sum of the outstanding amounts never exceeds the amount that is divided.
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
from api_gateway.budgets.settings import (
    AMOUNT_TOLERANCE,
    LEVEL,
    RATE,
    Budget,
    BudgetReport,
    BudgetSettings,
    ExchangeRequest,
    GrantResponse,
)

DEMAND_RISE_EXCHANGES = 0.5  # time constant, in exchange intervals, for smoothing a rising demand
DEMAND_FALL_EXCHANGES = 2.0  # time constant, in exchange intervals, for smoothing a falling demand
HYSTERESIS_FRACTION = 0.1  # change of a grant that is too small to make while no gateway goes short
MIN_DIVISION_INTERVAL_S = 0.2  # minimum time between two divisions of a budget
ROTATION_INTERVAL_S = 10.0  # time after which indivisible units of a level move to other gateways
MAX_GATEWAY_NAMES = 4096  # gateways recorded at the same time; exchanges of further ones are rejected
FORGET_AFTER_S = 3600.0  # time since its last exchange after which a gateway without grants is removed


class Grantor:
    """Divides the configured budgets among the gateways.

    All methods maintain one invariant: the sum of the outstanding amounts never exceeds the amount that is
    divided. The class has many methods so that this can be checked in one place.

    Attributes:
        settings: The settings in force.
        term: The number that each grant carries; larger than that of any earlier incarnation of the grantor.
        has_log: Whether grants must be stored before they are sent.
        is_log_writable: Whether the last write to the log succeeded.
        learned_at: When all grants of earlier incarnations have expired. Nothing new is granted before.
        unstored: Outstanding amounts that differ from the log, by grant; 0 for a grant that has expired.
        counts: Number of events for the operators' status, by name.
    """

    def __init__(
        self,
        settings: BudgetSettings,
        term: int,
        now: float,
        stored: Mapping[GrantKey, StoredGrant] | None,
        has_log: bool,
        weights: Mapping[str, float] | None = None,
        longest_lifetime: float = 0.0,
    ) -> None:
        """Create a grantor from the contents of the log.

        Args:
            settings: The settings in force.
            term: See the class.
            now: The grantor's monotonic clock in seconds.
            stored: The grants in the log, if the log was complete. None means that earlier grants are
                unknown; the grantor then waits until they have expired.
            has_log: See the class.
            weights: Weights by the name of a gateway, or else of its zone; 1 for a gateway with neither.
            longest_lifetime: Seconds for which earlier grants may be in use according to a log that is not
                complete.
        """
        self.settings = settings
        self.term = term
        self.has_log = has_log
        self.is_log_writable = True
        self.weights = weights or {}
        self.incarnations: dict[tuple[str, int], GatewayIncarnation] = {}
        self.newest_incarnations: dict[str, int] = {}
        self.pools = {budget.name: self.make_pool(budget) for budget in settings.budgets}
        self.learned_at = now
        if stored is None:
            self.wait_for_earlier_grants(now, longest_lifetime, term - 1)
        self.unstored: dict[GrantKey, float] = {}
        self.counts: Counter[str] = Counter()
        for key, grant in (stored or {}).items():
            self.restore(now, GrantKey(*key), grant)

    def make_pool(self, budget: Budget) -> BudgetPool:
        """Return the pool of a budget without grants."""
        settings = self.settings
        return BudgetPool(
            budget=budget,
            divisible=settings.divisible_amount(budget),
            reserve_share=settings.reserve_share(budget),
            burst_ratio=settings.burst_ratio(budget),
            largest_total=budget.total,
        )

    def wait_for_earlier_grants(self, now: float, longest_lifetime: float, term: int) -> None:
        """Grant nothing new until all earlier grants have expired.

        Args:
            now: The grantor's clock in seconds.
            longest_lifetime: Seconds to wait at least, because earlier grants may be in use that long.
            term: The newest term of the earlier grants.
        """
        release_delay = max(budget.release_delay for budget in self.settings.budgets)
        self.learned_at = now + max(self.settings.grant_lifetime() + release_delay, longest_lifetime)
        self.term = max(self.term, term + 1)

    def restore(self, now: float, key: GrantKey, stored: StoredGrant) -> None:
        """Take over a grant that an earlier incarnation of the grantor had made.

        It may have been made a moment ago, so its whole stored lifetime is assumed to remain. If the
        configured durations are longer now, the log must hold them before the amount is granted again.
        """
        incarnation = self.incarnations.setdefault(
            (key.gateway, key.incarnation), GatewayIncarnation(key.gateway, key.incarnation)
        )
        lifetime = max(self.settings.grant_lifetime(), stored.lifetime)
        incarnation.granted_until = max(incarnation.granted_until, now + lifetime)
        incarnation.last_exchange_at = now
        grant = BudgetGrant(
            outstanding_amount=stored.amount,
            demand=stored.amount,
            stored_amount=stored.amount,
            release_delay=stored.release_delay,
        )
        incarnation.grants[key.budget] = grant
        newest = self.newest_incarnations.get(key.gateway, 0)
        self.newest_incarnations[key.gateway] = max(key.incarnation, newest)
        if key.budget in self.pools:
            self.pools[key.budget].outstanding_amount += stored.amount
        is_shorter = stored.lifetime < self.settings.grant_lifetime()
        if is_shorter or stored.release_delay < self.release_delay_of(key.budget, grant):
            self.mark_unstored(key, grant)

    def mark_unstored(self, key: GrantKey, grant: BudgetGrant) -> None:
        """Mark a grant to be stored again because the log holds too short a duration for it."""
        grant.stored_amount = 0.0
        self.unstored[key] = grant.outstanding_amount

    def release_delay_of(self, budget: str, grant: BudgetGrant) -> float:
        """Return the longest release delay in seconds of all settings under which a grant was made."""
        pool = self.pools.get(budget)
        return max(grant.release_delay, pool.budget.release_delay if pool is not None else 0.0)

    # Exchanges

    def handle_exchange(self, now: float, request: ExchangeRequest) -> GrantResponse:
        """Return the response to an exchange.

        If there is a log, `unstored_amounts` must be stored before the response is sent.

        Raises:
            StaleIncarnationError: A newer incarnation of the gateway is known.
            SupersededExchangeError: A newer exchange has already been answered.
            InvalidExchangeError: The request names an unknown budget or contains impossible amounts.
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
            # There is one grantor, so its clock was set back. Its grants must carry a newer term anyway.
            self.term = request.term + 1
        self.update_reports(now, incarnation, request)
        amounts = {
            name: self.grant(now, incarnation, name, report) for name, report in request.budgets.items()
        }
        # Counted from the first response to this exchange. The gateway counts from before it sent the
        # exchange, so its grants never expire later.
        granted_until = now + self.settings.grant_lifetime()
        incarnation.granted_until = max(incarnation.granted_until, granted_until)
        response = GrantResponse(
            request.incarnation,
            request.sequence,
            self.term,
            self.settings.grant_duration,
            amounts,
            {name: self.pools[name].burst_ratio for name in amounts if self.pools[name].burst_ratio},
        )
        incarnation.last_response = response
        return response

    def validate(self, request: ExchangeRequest) -> None:
        """Check a request against the settings.

        Raises:
            InvalidExchangeError: The request contradicts the settings.
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
            if report.reserve_share > 0 and request.index >= self.settings.max_gateways:
                raise InvalidExchangeError(
                    f"index {request.index} has no share of the reserve: only {self.settings.max_gateways} do"
                )

    def incarnation_of(self, request: ExchangeRequest) -> GatewayIncarnation:
        """Return the record of the incarnation that sent a request, created at its first request.

        Raises:
            StaleIncarnationError: A newer incarnation of the gateway is known.
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
        """Record what a gateway reports about itself and its demand."""
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
        """Update the smoothed demand of a grant. It follows a rise faster than a fall."""
        demand = max(0.0, report.demand - report.reserve_share)
        exchanges = DEMAND_RISE_EXCHANGES if demand > grant.demand else DEMAND_FALL_EXCHANGES
        time_constant = self.settings.exchange_interval * exchanges
        weight = 1 - math.exp(-elapsed / time_constant) if elapsed > 0 else 1.0
        grant.demand += (demand - grant.demand) * weight

    def grant(self, now: float, incarnation: GatewayIncarnation, name: str, report: BudgetReport) -> float:
        """Return the amount of one budget to grant a gateway now, at most what all others leave."""
        pool = self.pools[name]
        grant = incarnation.grants[name]
        if now < self.learned_at:
            # The gateway keeps its units. What all others use is not known yet.
            available = min(report.holding, pool.divisible)
        else:
            available = max(0.0, pool.divisible - (pool.outstanding_amount - grant.outstanding_amount))
        if self.has_log and not self.is_log_writable:
            available = min(available, grant.stored_amount)
        self.update_target(now, incarnation, pool, grant)
        amount = min(self.next_amount(pool, grant, report.holding, available), available)
        if pool.budget.kind == LEVEL:
            amount = float(math.floor(amount + AMOUNT_TOLERANCE))
        self.set_outstanding_amount(incarnation, name, grant, max(report.holding, amount))
        return amount

    def next_amount(self, pool: BudgetPool, grant: BudgetGrant, holding: float, available: float) -> float:
        """Return the target, or the current holding if that is close to it and no gateway goes short."""
        is_near = abs(grant.target - holding) <= HYSTERESIS_FRACTION * holding
        keeps_holding = is_near and not pool.is_short and holding <= available
        return holding if keeps_holding else grant.target

    def set_outstanding_amount(
        self, incarnation: GatewayIncarnation, name: str, grant: BudgetGrant, amount: float
    ) -> None:
        """Set the outstanding amount of a grant, and note whether it still has to be stored."""
        self.pools[name].outstanding_amount += amount - grant.outstanding_amount
        grant.outstanding_amount = amount
        key = incarnation.key(name)
        if amount != grant.stored_amount:
            self.unstored[key] = amount
        else:
            self.unstored.pop(key, None)

    # Division

    def update_target(
        self, now: float, incarnation: GatewayIncarnation, pool: BudgetPool, grant: BudgetGrant
    ) -> None:
        """Divide the budget again if something has changed.

        Between two divisions a gateway that joins gets what the last division would have given it.
        """
        if pool.needs_division and now - pool.divided_at >= MIN_DIVISION_INTERVAL_S:
            self.divide_pool(now, pool)
        else:
            fair_amount = pool.fair_level * self.weight_of(incarnation)
            wanted = max(grant.demand, pool.budget.minimum)
            grant.target = max(grant.target, min(wanted, fair_amount))

    def weight_of(self, incarnation: GatewayIncarnation) -> float:
        """Return the weight configured for a gateway, else for its zone, else 1."""
        return self.weights.get(incarnation.name, self.weights.get(incarnation.zone, 1.0))

    def divide_pool(self, now: float, pool: BudgetPool) -> None:
        """Set the target of each gateway that has a grant of this budget or is requesting one."""
        name = pool.budget.name
        claimants = self.claimants_of(now, name)
        grants = [incarnation.grants[name] for incarnation in claimants]
        claims = [
            Claim(grant.demand, pool.budget.minimum, self.weight_of(incarnation))
            for incarnation, grant in zip(claimants, grants, strict=True)
        ]
        parts, pool.fair_level = divide_fairly(pool.divisible, claims)
        spare = pool.divisible * (1 - self.settings.unassigned_fraction) - sum(parts)
        if spare > 0 and parts:
            parts = distribute_spare(spare, parts, claims)
        if pool.budget.kind == LEVEL:
            parts = round_to_integers(parts, int(now / ROTATION_INTERVAL_S))
        for grant, part in zip(grants, parts, strict=True):
            grant.target = part
        # The sum is recomputed so that rounding errors do not accumulate.
        pool.outstanding_amount = sum(
            incarnation.grants[name].outstanding_amount
            for incarnation in self.incarnations.values()
            if name in incarnation.grants
        )
        missing = sum(
            max(0.0, grant.target * (1 - HYSTERESIS_FRACTION) - grant.outstanding_amount) for grant in grants
        )
        pool.is_short = missing > pool.divisible - pool.outstanding_amount + AMOUNT_TOLERANCE
        pool.divided_at = now
        pool.needs_division = False

    def claimants_of(self, now: float, budget: str) -> list[GatewayIncarnation]:
        """Return the newest incarnations that take part in the division of a budget, sorted by name."""
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
        """Release grants that have expired. Must be called several times per second."""
        for key, incarnation in list(self.incarnations.items()):
            if now < incarnation.granted_until:
                continue
            for name, grant in list(incarnation.grants.items()):
                if now >= incarnation.granted_until + self.release_delay_of(name, grant):
                    self.release(incarnation, name, grant)
            is_newest = self.newest_incarnations.get(incarnation.name) == incarnation.incarnation
            is_forgotten = now - incarnation.last_exchange_at >= FORGET_AFTER_S
            if not incarnation.grants and (not is_newest or is_forgotten):
                # Until here, the record prevents an older incarnation from being taken for a new gateway.
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
        """Free the outstanding amount of a grant for other gateways, and remove the grant."""
        if name in self.pools:
            self.pools[name].outstanding_amount -= grant.outstanding_amount
            self.pools[name].needs_division = True
        if grant.stored_amount or grant.outstanding_amount:
            self.unstored[incarnation.key(name)] = 0.0
        del incarnation.grants[name]
        incarnation.last_response = None

    # The log

    def unstored_amounts(self, request: ExchangeRequest) -> dict[GrantKey, float]:
        """Return the amounts that must be stored before the response to a request may be sent."""
        incarnation = self.incarnations[request.name, request.incarnation]
        if not self.has_log or incarnation.last_response is None:
            return {}
        return {
            incarnation.key(name): incarnation.grants[name].outstanding_amount
            for name, amount in incarnation.last_response.amounts.items()
            if amount > incarnation.grants[name].stored_amount
        }

    def rows_to_store(self, now: float, complete: bool) -> dict[GrantKey, StoredGrant]:
        """Return the grants that differ from the log.

        Args:
            now: The grantor's clock in seconds.
            complete: Whether to return all grants instead.
        """
        rows = {} if complete else dict.fromkeys(self.unstored, NO_GRANT)
        for incarnation in self.incarnations.values():
            for name, grant in incarnation.grants.items():
                key = incarnation.key(name)
                if complete or key in self.unstored:
                    lifetime = max(self.settings.grant_lifetime(), incarnation.granted_until - now)
                    rows[key] = StoredGrant(
                        grant.outstanding_amount, lifetime, self.release_delay_of(name, grant)
                    )
        return rows

    def longest_lifetime(self, now: float) -> float:
        """Return the seconds after which no unit granted so far is in use any more."""
        release_delays = [
            self.release_delay_of(name, grant)
            for incarnation in self.incarnations.values()
            for name, grant in incarnation.grants.items()
        ]
        release_delays += [budget.release_delay for budget in self.settings.budgets]
        granted_until = max(
            (incarnation.granted_until for incarnation in self.incarnations.values()), default=now
        )
        lifetime = max(self.settings.grant_lifetime(), granted_until - now)
        return max(lifetime + max(release_delays), self.learned_at - now)

    def on_stored(self, written: Mapping[GrantKey, StoredGrant]) -> None:
        """Record that the log now contains these rows."""
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
        """Return whether all grants in use are known.

        A log written before that is incomplete, so the next incarnation of the grantor has to wait too.
        """
        return now >= self.learned_at

    def on_log_failed(self) -> None:
        """Record that the log cannot be written. Grants are now limited to the amounts it contains."""
        self.is_log_writable = False

    def reduce_to_stored(self, request: ExchangeRequest, response: GrantResponse) -> GrantResponse:
        """Return a response that could not be stored, reduced to the amounts already in the log.

        Raises:
            SupersededExchangeError: The grants expired while the write was attempted.
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
                outstanding_amount = max(request.budgets[name].holding, amount)
                self.set_outstanding_amount(incarnation, name, incarnation.grants[name], outstanding_amount)
        return reduced

    # Changes of the settings

    def change_settings(self, now: float, settings: BudgetSettings, weights: Mapping[str, float]) -> None:
        """Apply new totals, minimums, release delays, weights, or an additional budget.

        If a total becomes smaller, the excess of the grants disappears as they expire.

        Raises:
            InvalidExchangeError: The change cannot take effect everywhere at once, because gateways that are
                not notified go on using the reserve under the old settings.
        """
        self.validate_change(settings)
        budgets = {budget.name: budget for budget in settings.budgets}
        budgets_with_longer_delay = {
            name
            for name, pool in self.pools.items()
            if budgets[name].release_delay > pool.budget.release_delay
        }
        self.settings = settings
        self.weights = weights
        for name, budget in budgets.items():
            pool = self.pools.setdefault(name, self.make_pool(budget))
            self.change_budget(now, pool, budget)
        for incarnation in self.incarnations.values():
            for name in incarnation.grants.keys() & budgets_with_longer_delay:
                self.mark_unstored(incarnation.key(name), incarnation.grants[name])

    def validate_change(self, settings: BudgetSettings) -> None:
        """Check that new settings can take effect while the grantor runs.

        Raises:
            InvalidExchangeError: They can only take effect with a restart.
        """
        if fixed_while_running(self.settings) != fixed_while_running(settings):
            raise InvalidExchangeError(
                "most, length, every and drift cannot be changed while the grantor is running"
            )
        budgets = {budget.name: budget for budget in settings.budgets}
        for name, pool in self.pools.items():
            old = pool.budget
            new = budgets.get(name)
            if new is None or (new.kind, new.reserve) != (old.kind, old.reserve):
                raise InvalidExchangeError(
                    f"{name}: a budget in use cannot be removed, nor can its kind or its reserve be changed"
                )
            if new.release_delay < old.release_delay:
                raise InvalidExchangeError(f"{name}: the linger of a budget in use cannot be shortened")

    def change_budget(self, now: float, pool: BudgetPool, budget: Budget) -> None:
        """Apply the settings in force to one budget."""
        divisible = self.settings.divisible_amount(budget)
        if budget.kind == RATE and divisible > pool.divisible:
            # Earlier grants may accumulate more tokens per unit than new ones would, so the increase waits
            # until they have expired.
            pool.pending_growth = PendingGrowth(now + self.settings.grant_lifetime(), divisible)
        else:
            pool.divisible = divisible
            pool.pending_growth = None
        pool.budget = budget
        pool.burst_ratio = self.settings.burst_ratio(budget)
        pool.needs_division = True
        pool.largest_total = max(pool.largest_total, budget.total)


def fixed_while_running(settings: BudgetSettings) -> tuple[int, float, float, float]:
    """Return the settings that gateways apply without being notified of a change."""
    return (settings.max_gateways, settings.grant_duration, settings.exchange_interval, settings.clock_drift)
