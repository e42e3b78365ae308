"""Settings of one deployment, in the form that the decision engine uses.

Times are in seconds (floats). Names are opaque strings. `settings_parser.py` builds these records from a
site's configuration, whose keys have different names.
"""

from __future__ import annotations

from dataclasses import dataclass

from api_gateway.interface.checks import require

# safe: a repeat has no effect
# keyed: endpoints discard a repeat by its idempotency key
# unsafe: a repeat is executed again
IDEMPOTENCY_LEVELS = ("safe", "keyed", "unsafe")
# Which endpoints share their idempotency keys: all, those of the same zone, or those of the same cell
DEDUP_SCOPES = ("all", "zone", "cell")


@dataclass(frozen=True, slots=True)
class ServiceClass:
    """A class of requests: its latency objective, its priority and whether a repeat is harmless."""

    name: str
    latency_objective: float  # seconds within which an answer gets the full priority weight
    deadline: float  # s, maximum time that a client waits
    idempotency: str  # one of IDEMPOTENCY_LEVELS
    dedup_scope: str  # keyed only: which endpoints discard a repeat, one of DEDUP_SCOPES
    dedup_window: float  # keyed only: seconds for which endpoints remember a key
    priority_weight: float  # per unit, of an answer within the objective
    late_priority_weight: float  # priority weight of an answer after the objective
    is_streaming: bool  # responses are streamed and take a while after their start
    objective_stretch: float  # not used by the decision engine

    def __post_init__(self) -> None:
        """Validate the field values."""
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
    """A customer's quotas, which hold over all gateways together, and the priority of its requests."""

    name: str
    rate: float  # units per second; 0: no rate quota
    burst: float  # units
    max_concurrent: int  # attempts in flight over all gateways; 0: unlimited
    priority_factor: float  # multiplies the class's priority weight
    over_quota_weight: float  # priority weight of a unit over quota
    over_quota_cost: float  # cost of a unit over quota
    ceiling_rate: float  # units per second; 0: no ceiling
    ceiling_burst: float  # units
    ceiling_slack: float  # not used by the decision engine

    def __post_init__(self) -> None:
        """Validate the field values."""
        low = min(
            self.rate,
            self.burst,
            self.max_concurrent,
            self.priority_factor,
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
    """Features that the deployment supports, and limits on attempts and retries."""

    can_cancel: bool  # attempts in flight may be cancelled
    can_hedge: bool  # a second attempt may be sent while one is in flight
    can_check_health: bool  # endpoints answer health checks
    can_message_peers: bool  # gateways can send each other messages
    sends_retry_after: bool  # a rejection says when to retry
    max_attempts: int  # per request, including the first one
    max_retry_after: float  # s, maximum retry delay in a rejection

    def __post_init__(self) -> None:
        """Validate the field values."""
        require(self.max_attempts >= 1, "max_attempts must be at least 1")


@dataclass(frozen=True, slots=True)
class Rules:
    """Known behaviour of the endpoints and of discovery in this deployment."""

    answer_slack: float  # s; not used by the decision engine
    drain_grace: float  # seconds for which a draining endpoint may still receive requests
    slow_start_min_capacity: float  # fraction of its capacity that an endpoint has when it starts
    slow_start_duration: float  # seconds until an endpoint has its full capacity
    overload_multiple: float  # multiple of current capacity; more load fails an endpoint in slow start
    overload_window: float  # seconds for which an endpoint withstands such load
    poll_deadline: float  # s; only used where discovery is polled

    def __post_init__(self) -> None:
        """Validate the field values."""
        require(0 <= self.slow_start_min_capacity <= 1, "cold_share must lie in 0..1")
        low = min(self.drain_grace, self.slow_start_duration, self.overload_multiple, self.overload_window)
        require(low >= 0, "negative rule figure")


@dataclass(frozen=True, slots=True)
class Settings:
    """The complete settings of one gateway."""

    gateway_index: int  # index of this gateway, from 0
    gateway_count: int
    zone: str
    classes: dict[str, ServiceClass]
    plans: dict[str, Plan]
    limits: Limits
    rules: Rules
    prices: dict[str, float]  # by the operation priced, such as cross_zone
    has_counter: bool  # a shared counter is available
    counter_price: float  # cost of a call to the counter, in attempts
    counter_timeout: float  # s
    meter_period: float  # s; 0: usage is not metered
    reports_actual_units: bool  # endpoints report the units that a request actually consumed
    max_request_units: float  # maximum units of one request
    discovery_mode: str  # "push": discovery sends changes; "ask": the list is polled and watched
    load_report_fields: tuple[str, ...]
    weight_kind: str  # meaning of an endpoint's weight

    def __post_init__(self) -> None:
        """Validate the field values."""
        require(0 <= self.gateway_index < self.gateway_count, "index must lie in 0..gateways-1")
        require(self.discovery_mode in ("push", "ask"), f"unknown discovery mode {self.discovery_mode!r}")
        require(not self.has_counter or self.counter_timeout > 0, "a counter needs a time-out")
        require(bool(self.classes), "no request classes")
