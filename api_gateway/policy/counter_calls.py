"""The shared counter as this gateway uses it: calls that are out, and whether a call is worth its price."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from api_gateway import interface as api
from api_gateway.policy.customer_accounts import FAST_MEAN_GAIN, Account, stable_hash

if TYPE_CHECKING:
    from api_gateway.policy.request_state import RequestState

# Rationing
CONGESTED_LATENCY_FRACTION = 0.5  # part of the time-out from which on calls are rationed
CONGESTION_PRICE_SLOPE = 4.0  # price of a call, in attempts, for each further part of the time-out
HALF_CONGESTION_GATEWAY_COUNT = 20.0  # gateways at which half the congestion is expected before any answer
MAX_BACKOFF_S = 1.0  # from a silent counter
BACKOFF_FAILURE_COUNT = 2  # failures in a row after which the counter is taken for silent
CORRECTION_CALL_VALUE = 0.15  # of a call that only corrects a count, or checks a limit seldom reached

# Counts
OPEN_COUNT_EPOCH_S = 5.0  # life of one count of open attempts
MAX_COUNTER_LIFETIME_S = 60.0  # longest and shortest time for which the counter is asked to keep a count
MIN_COUNTER_LIFETIME_S = 1.0


@dataclass(slots=True)
class CounterCall:
    """A call to the counter that was sent. This plain kind corrects a count: nobody waits for its reply."""

    account: Account
    window_number: int  # the quota window, or the epoch of a count of open attempts


@dataclass(slots=True)
class LeaseCall(CounterCall):
    """A call that charges units admitted before and leases further ones."""

    charged_units: float
    requested_units: float  # the lease
    sampled_units: float  # counted for requests that were decided without a call
    sample_weight: float  # requests that each waiting one stands for
    unrefilled_units: float  # of `charged_units`: admitted just now, not made good by the refill

    @property
    def added_units(self) -> float:
        """All that the call adds to the count."""
        return self.charged_units + self.requested_units + self.sampled_units


@dataclass(slots=True)
class OpenAttemptCall(CounterCall):
    """A call that counts one more open attempt, for the request that waits for it."""

    state: RequestState


class CounterState:
    """How the shared counter fares, as its answers show, and whether a call is worth its price."""

    def __init__(self, settings: api.Settings) -> None:
        """Begin as with many gateways that start at once: the more there are, the slower it is taken for."""
        self.apply_settings(settings)
        self.failure_count = int(not self.is_enabled)  # in a row
        self.retry_at = 0.0
        count = settings.gateway_count
        # Mean time of an answer, in parts of the time-out
        self.latency_fraction = 0.5 * count / (count + HALF_CONGESTION_GATEWAY_COUNT)
        self.is_clock_wrong = False  # then calls would name another window than the other gateways' do

    def apply_settings(self, settings: api.Settings) -> None:
        """Take over the settings' figures of the counter."""
        self.is_enabled = settings.has_counter
        self.timeout = settings.counter_timeout  # s
        self.price = settings.counter_price  # of a call, in attempts

    def is_usable(self, now: float) -> bool:
        """Say whether a call may be made now."""
        is_backing_off = now < self.retry_at and self.failure_count >= BACKOFF_FAILURE_COUNT
        return self.is_enabled and not self.is_clock_wrong and not is_backing_off

    def call_probability(self, gain: float) -> float:
        """Return the chance with which to make a call: the less it can change a decision, the lower.

        Args:
            gain: What the call is expected to gain, in the value of a usual request.
        """
        congestion = max(0.0, self.latency_fraction - CONGESTED_LATENCY_FRACTION)
        return min(1.0, gain / max(1e-9, self.price + CONGESTION_PRICE_SLOPE * congestion))

    def record_answer(self, now: float, *, is_ok: bool, elapsed: float) -> None:
        """Take the end of a call into account.

        Args:
            now: The time, s.
            is_ok: Whether the counter answered.
            elapsed: s that it took.
        """
        latency = min(1.0, elapsed / self.timeout) if is_ok else 1.0
        self.latency_fraction += FAST_MEAN_GAIN * (latency - self.latency_fraction)
        if is_ok:
            self.failure_count = 0
        elif now >= self.retry_at:  # a burst of failures counts once
            self.failure_count += 1
            self.retry_at = now + min(MAX_BACKOFF_S, self.timeout * 2.0 ** (self.failure_count - 1))


class CounterCalls:
    """The calls to the shared counter that were sent and not answered; the caller passes on the actions."""

    def __init__(self, actions: list[api.Action]) -> None:
        """Begin without calls; `actions` belongs to the engine and takes what is to be sent."""
        self.actions = actions
        self.pending: dict[int, list[CounterCall]] = {}  # by name of the count, in order of the calls

    def add(self, name: int, amount: float, lifetime: float, call: CounterCall) -> None:
        """Send a call that adds `amount` to a count, which is to be kept for `lifetime` s."""
        self.pending.setdefault(name, []).append(call)
        kept_for = min(MAX_COUNTER_LIFETIME_S, max(lifetime, MIN_COUNTER_LIFETIME_S))
        self.actions.append(api.AddToCounter(name, amount, kept_for))

    def count_open_attempt(
        self, account: Account, epoch: int, amount: int, state: RequestState | None = None
    ) -> None:
        """Add to the count of a customer's open attempts over all gateways.

        Args:
            account: The customer's.
            epoch: Of the count.
            amount: 1 for a request that waits for a place, -1 to give one back.
            state: The request that waits, if one does.
        """
        call = CounterCall(account, epoch) if state is None else OpenAttemptCall(account, epoch, state)
        self.add(stable_hash("open", account.name, epoch), amount, 2 * OPEN_COUNT_EPOCH_S, call)

    def pop_oldest(self, name: int) -> CounterCall | None:
        """Remove and return the oldest call to a count; None if none is out."""
        if name not in self.pending:
            return None
        call, *rest = self.pending.pop(name)
        if rest:
            self.pending[name] = rest
        return call
