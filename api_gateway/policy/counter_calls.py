"""Calls to the shared counter: those in flight, the counter's condition, and whether a call pays.

A call costs a price and loads the counter. The slower the counter answers, the more a call has to gain to be
made.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from api_gateway import interface as api
from api_gateway.policy.customer_accounts import FAST_MEAN_GAIN, Account, stable_hash

if TYPE_CHECKING:
    from api_gateway.policy.request_state import RequestState

# Rationing of calls

# Mean latency, as a fraction of the call timeout, above which calls are rationed.
CONGESTED_LATENCY_FRACTION = 0.5
# Increase of a call's price, in attempts, for a latency increase by a whole call timeout.
CONGESTION_PRICE_SLOPE = 4.0
# Number of gateways at which the latency assumed before any answer is half of its upper bound, which is
# half the call timeout.
HALF_CONGESTION_GATEWAY_COUNT = 20.0
MAX_BACKOFF_S = 1.0  # longest pause of calls after failures
BACKOFF_FAILURE_COUNT = 2  # consecutive failures from which on the counter is considered silent
# Gain of a call that only corrects a count or checks a limit that is seldom reached, relative to the value of
# an average request.
CORRECTION_CALL_VALUE = 0.15

# Lifetimes of counts

OPEN_COUNT_EPOCH_S = 5.0  # time after which open attempts are counted under a new name
MAX_COUNTER_LIFETIME_S = 60.0  # longest lifetime that the counter is asked for
MIN_COUNTER_LIFETIME_S = 1.0  # shortest lifetime that the counter is asked for


@dataclass(slots=True)
class CounterCall:
    """A call to the counter that was sent. This base class corrects a count, and no request waits for it."""

    account: Account
    window_number: int  # quota window, or epoch of a count of open attempts


@dataclass(slots=True)
class LeaseCall(CounterCall):
    """A call that charges units admitted earlier and leases further units."""

    charged_units: float
    requested_units: float  # to be leased
    sampled_units: float  # counted for requests that were decided without a call
    sample_weight: float  # number of requests that each waiting request represents
    unrefilled_units: float  # part of `charged_units` that the refill has not covered since admission

    @property
    def added_units(self) -> float:
        """The units that the call adds to the count."""
        return self.charged_units + self.requested_units + self.sampled_units


@dataclass(slots=True)
class OpenAttemptCall(CounterCall):
    """A call that counts one more open attempt, on behalf of a waiting request."""

    state: RequestState


class CounterState:
    """The shared counter's latency and failures, and the decision whether a call is worth its price."""

    def __init__(self, settings: api.Settings) -> None:
        """Assume that all gateways start at once: the more there are, the higher the initial latency."""
        self.apply_settings(settings)
        self.failure_count = int(not self.is_enabled)  # consecutive
        self.retry_at = 0.0
        gateway_count = settings.gateway_count
        # Mean latency of a call, as a fraction of the timeout
        self.latency_fraction = 0.5 * gateway_count / (gateway_count + HALF_CONGESTION_GATEWAY_COUNT)
        # With a wrong clock, calls would count in another window than those of the other gateways.
        self.is_clock_wrong = False

    def apply_settings(self, settings: api.Settings) -> None:
        """Apply the settings of the counter."""
        self.is_enabled = settings.has_counter
        self.timeout = settings.counter_timeout  # s
        self.price = settings.counter_price  # price of a call, in attempts

    def is_usable(self, now: float) -> bool:
        """Return whether a call may be made now."""
        is_backing_off = now < self.retry_at and self.failure_count >= BACKOFF_FAILURE_COUNT
        return self.is_enabled and not self.is_clock_wrong and not is_backing_off

    def call_probability(self, gain: float) -> float:
        """Return the probability with which to make a call; it grows with the gain and falls with congestion.

        Args:
            gain: Expected gain of the call, relative to the value of an average request.
        """
        congestion = max(0.0, self.latency_fraction - CONGESTED_LATENCY_FRACTION)
        return min(1.0, gain / max(1e-9, self.price + CONGESTION_PRICE_SLOPE * congestion))

    def record_answer(self, now: float, *, is_ok: bool, elapsed: float) -> None:
        """Update the latency, the failure count and the backoff by the result of a call.

        Args:
            now: The time, s.
            is_ok: Whether the counter answered.
            elapsed: Duration of the call, s.
        """
        latency = min(1.0, elapsed / self.timeout) if is_ok else 1.0
        self.latency_fraction += FAST_MEAN_GAIN * (latency - self.latency_fraction)
        if is_ok:
            self.failure_count = 0
        elif now >= self.retry_at:  # failures during a backoff are not counted again
            self.failure_count += 1
            self.retry_at = now + min(MAX_BACKOFF_S, self.timeout * 2.0 ** (self.failure_count - 1))


class CounterCalls:
    """The calls to the shared counter that are in flight. Calls are sent as actions of the engine."""

    def __init__(self, actions: list[api.Action]) -> None:
        """Start without calls; new ones are appended to `actions`, which the engine owns and executes."""
        self.actions = actions
        self.pending: dict[int, list[CounterCall]] = {}  # by name of the count, oldest call first

    def add(self, name: int, amount: float, lifetime: float, call: CounterCall) -> None:
        """Send a call that adds `amount` to a count whose requested lifetime is `lifetime` seconds."""
        self.pending.setdefault(name, []).append(call)
        bounded_lifetime = min(MAX_COUNTER_LIFETIME_S, max(lifetime, MIN_COUNTER_LIFETIME_S))
        self.actions.append(api.AddToCounter(name, amount, bounded_lifetime))

    def count_open_attempt(
        self, account: Account, epoch: int, amount: int, state: RequestState | None = None
    ) -> None:
        """Add to the count of a customer's open attempts over all gateways.

        Args:
            account: The customer's account.
            epoch: Epoch of the count.
            amount: 1 for a request that waits for a slot, -1 to release a slot.
            state: The request that waits, if there is one.
        """
        call = CounterCall(account, epoch) if state is None else OpenAttemptCall(account, epoch, state)
        self.add(stable_hash("open", account.name, epoch), amount, 2 * OPEN_COUNT_EPOCH_S, call)

    def pop_oldest(self, name: int) -> CounterCall | None:
        """Remove and return the oldest call in flight to a count; None if there is no call."""
        if name not in self.pending:
            return None
        call, *rest = self.pending.pop(name)
        if rest:
            self.pending[name] = rest
        return call
