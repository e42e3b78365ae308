"""The settings of one deployment, as the decision module reads them.

Times are seconds (floats), names are opaque text. `settings_parser.py` makes these records of a site's
configuration, whose keys have other names.
"""

from __future__ import annotations

from dataclasses import dataclass

from api_gateway.interface.checks import require

IDEMPOTENCY_LEVELS = ("safe", "keyed", "unsafe")
DEDUP_SCOPES = ("all", "zone", "cell")


@dataclass(frozen=True, slots=True)
class ServiceClass:
    name: str
    latency_objective: float  # an answer within this earns full worth
    deadline: float
    idempotency: str
    dedup_scope: str  # keyed only: the hosts that discard a repeat
    dedup_window: float  # keyed only: for how long they do
    priority_weight: float
    late_priority_weight: float
    is_streaming: bool
    objective_stretch: float

    def __post_init__(self) -> None:
        require(
            self.idempotency in IDEMPOTENCY_LEVELS, f"class {self.name}: unknown effect {self.idempotency!r}"
        )
        require(self.dedup_scope in DEDUP_SCOPES, f"class {self.name}: unknown scope {self.dedup_scope!r}")
        require(
            0 < self.latency_objective and 0 < self.deadline,
            f"class {self.name}: aim and deadline must be above 0",
        )
        require(
            self.dedup_window >= 0 and self.priority_weight >= 0,
            f"class {self.name}: negative memory or worth",
        )


@dataclass(frozen=True, slots=True)
class Plan:
    name: str
    rate: float  # units a second; 0: no such quota
    burst: float  # units
    max_concurrent: int  # attempts out at once over all gateways; 0: no such quota
    price_factor: float
    over_quota_weight: float
    over_quota_cost: float
    ceiling_rate: float  # units a second; 0: no ceiling
    ceiling_burst: float
    ceiling_slack: float

    def __post_init__(self) -> None:
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
    can_cancel: bool
    hedging: bool
    health_checks: bool
    peer_messages: bool
    sends_retry_after: bool
    max_attempts: int
    max_retry_after: float

    def __post_init__(self) -> None:
        require(self.max_attempts >= 1, "max_attempts must be at least 1")


@dataclass(frozen=True, slots=True)
class Rules:
    answer_slack: float
    drain_grace: float
    slow_start_min_capacity: float  # share of its capacity that a fresh host has at least
    slow_start_duration: float  # it is warm within this
    overload_multiple: float
    overload_window: float
    poll_deadline: float  # discovery on request only

    def __post_init__(self) -> None:
        require(0 <= self.slow_start_min_capacity <= 1, "cold_share must lie in 0..1")
        low = min(self.drain_grace, self.slow_start_duration, self.overload_multiple, self.overload_window)
        require(low >= 0, "negative rule figure")


@dataclass(frozen=True, slots=True)
class Settings:
    gateway_index: int  # number of this gateway
    gateway_count: int
    zone: str
    classes: dict[str, ServiceClass]
    plans: dict[str, Plan]
    limits: Limits
    rules: Rules
    prices: dict[str, float]
    has_counter: bool
    counter_price: float
    counter_timeout: float
    meter_period: float
    settles_units: bool
    max_units: float
    discovery_mode: str  # "push" or "ask"
    load_report_fields: tuple[str, ...]
    weight_kind: str  # meaning of a host's weight

    def __post_init__(self) -> None:
        require(0 <= self.gateway_index < self.gateway_count, "index must lie in 0..gateways-1")
        require(self.discovery_mode in ("push", "ask"), f"unknown discovery mode {self.discovery_mode!r}")
        require(not self.has_counter or self.counter_timeout > 0, "a counter needs a time-out")
        require(bool(self.classes), "no request classes")
