"""The settings of one deployment, as the decision module reads them.

Times are seconds (floats), names are opaque text. `settings_parser.py` makes these records of a site's
configuration, whose keys have other names.
"""

from __future__ import annotations

from dataclasses import dataclass

from api_gateway.interface.checks import require

# safe: a repeat changes nothing; keyed: endpoints discard a repeat by its idempotency key; unsafe: neither
IDEMPOTENCY_LEVELS = ("safe", "keyed", "unsafe")
# Which endpoints know each other's keys: all, those of a zone, those of a cell
DEDUP_SCOPES = ("all", "zone", "cell")


@dataclass(frozen=True, slots=True)
class ServiceClass:
    """A class of requests: what an answer is worth by when, and whether a repeat is harmless."""

    name: str
    latency_objective: float  # s within which an answer has the full priority weight
    deadline: float  # s that a client waits at most
    idempotency: str  # one of IDEMPOTENCY_LEVELS
    dedup_scope: str  # keyed only: the endpoints that discard a repeat, one of DEDUP_SCOPES
    dedup_window: float  # keyed only: s for which they do
    priority_weight: float  # of an answer within the objective, for a unit
    late_priority_weight: float  # of an answer after it
    is_streaming: bool  # answers flow for a while after they have begun
    objective_stretch: float  # not used by the decision module

    def __post_init__(self) -> None:
        """Check the values."""
        require(
            self.idempotency in IDEMPOTENCY_LEVELS, f"class {self.name}: unknown effect {self.idempotency!r}"
        )
        require(self.dedup_scope in DEDUP_SCOPES, f"class {self.name}: unknown scope {self.dedup_scope!r}")
        require(
            self.latency_objective > 0 and self.deadline > 0,
            f"class {self.name}: aim and deadline must be above 0",
        )
        require(
            self.dedup_window >= 0 and self.priority_weight >= 0,
            f"class {self.name}: negative memory or worth",
        )


@dataclass(frozen=True, slots=True)
class Plan:
    """What a customer may use: quotas over all gateways, and the worth of its requests."""

    name: str
    rate: float  # units a second; 0: no such quota
    burst: float  # units
    max_concurrent: int  # attempts open at once over all gateways; 0: no such quota
    price_factor: float  # multiplies the class's priority weight
    over_quota_weight: float  # what a unit beyond quota earns
    over_quota_cost: float  # what it costs
    ceiling_rate: float  # units a second; 0: no ceiling
    ceiling_burst: float  # units
    ceiling_slack: float  # not used by the decision module

    def __post_init__(self) -> None:
        """Check the values."""
        low = min(
            self.rate,
            self.burst,
            self.max_concurrent,
            self.price_factor,
            self.over_quota_weight,
            self.over_quota_cost,
            self.ceiling_rate,
            self.ceiling_burst,
            self.ceiling_slack,
        )
        require(low >= 0, f"plan {self.name}: negative figure")
        require(self.rate == 0 or self.burst > 0, f"plan {self.name}: a rate needs a burst")
        require(
            self.ceiling_rate == 0 or self.ceiling_burst > 0, f"plan {self.name}: a ceiling needs a burst"
        )


@dataclass(frozen=True, slots=True)
class Limits:
    """What the deployment can do, and how far an answer may go."""

    can_cancel: bool  # attempts in flight may be cancelled
    hedging: bool  # a second attempt may be sent while one is in flight
    health_checks: bool  # endpoints answer health checks
    peer_messages: bool  # gateways can send each other messages
    sends_retry_after: bool  # a rejection says when to come again
    max_attempts: int  # of a request, the first one included
    max_retry_after: float  # s

    def __post_init__(self) -> None:
        """Check the values."""
        require(self.max_attempts >= 1, "max_attempts must be at least 1")


@dataclass(frozen=True, slots=True)
class Rules:
    """How endpoints and discovery behave in this deployment."""

    answer_slack: float  # s
    drain_grace: float  # s for which a draining endpoint may still get requests
    slow_start_min_capacity: float  # part of its capacity that an endpoint has at its start
    slow_start_duration: float  # s after which it has all of it
    overload_multiple: float  # of its capacity: an endpoint that gets more while it warms up fails
    overload_window: float  # s of such load that it bears
    poll_deadline: float  # s; only where discovery answers polls

    def __post_init__(self) -> None:
        """Check the values."""
        require(0 <= self.slow_start_min_capacity <= 1, "cold_share must lie in 0..1")
        low = min(self.drain_grace, self.slow_start_duration, self.overload_multiple, self.overload_window)
        require(low >= 0, "negative rule figure")


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one gateway."""

    gateway_index: int  # number of this gateway
    gateway_count: int
    zone: str
    classes: dict[str, ServiceClass]
    plans: dict[str, Plan]
    limits: Limits
    rules: Rules
    prices: dict[str, float]  # by what they are for, such as cross_zone
    has_counter: bool  # there is a shared counter
    counter_price: float  # of a call to it, in attempts
    counter_timeout: float  # s
    meter_period: float  # s; 0: use is not metered
    settles_units: bool  # endpoints tell what units a request really took
    max_units: float  # of one request
    discovery_mode: str  # "push": changes are sent, or "ask": the list is polled and watched
    load_report_fields: tuple[str, ...]
    weight_kind: str  # what an endpoint's weight stands for

    def __post_init__(self) -> None:
        """Check the values."""
        require(0 <= self.gateway_index < self.gateway_count, "index must lie in 0..gateways-1")
        require(self.discovery_mode in ("push", "ask"), f"unknown discovery mode {self.discovery_mode!r}")
        require(not self.has_counter or self.counter_timeout > 0, "a counter needs a time-out")
        require(bool(self.classes), "no request classes")
