"""Events that a gateway reports to its decision engine, one type for each kind.

Times are in seconds (floats). Ids are opaque strings. The clock reading is passed next to the event,
not in it.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from api_gateway.interface.checks import require
from api_gateway.interface.settings import Settings

# full: the endpoint had no capacity and did not execute the request
# moot: the attempt was cancelled before it was sent, so it says nothing about the endpoint
ATTEMPT_RESULTS = ("ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot")
COUNTER_RESULTS = ("ok", "full", "connect_failed", "timeout", "late")  # late: ok, but after the timeout
# delta: only the changes; full: the complete list; cached: the last known list; failed: no list available
LIST_MODES = ("delta", "full", "cached", "failed")


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A server that handles requests, as described by the endpoint list."""

    id: str
    zone: str
    cell: int  # group of endpoints within the zone
    weight: float  # relative capacity
    kind: str
    state: str  # "up", "leaving" (draining) or "down"
    started_at: float  # s, clock time of the last start; 0: long ago

    def __post_init__(self) -> None:
        """Validate the field values."""
        require(self.state in ("up", "leaving", "down"), f"host {self.id}: unknown state {self.state!r}")


@dataclass(frozen=True, slots=True)
class EndpointList:
    """The endpoint list, changes to it, or the failure to fetch it."""

    mode: str  # one of LIST_MODES
    version: int
    endpoints: tuple[Endpoint, ...]
    # Number of endpoints that are up in the whole deployment. If it exceeds the listed ones that are up, the
    # list is a subset. 0: the list is not a subset.
    available_total: int = 0

    def __post_init__(self) -> None:
        """Validate the field values."""
        require(self.mode in LIST_MODES, f"unknown list mode {self.mode!r}")
        require(self.available_total >= 0, "negative total")


@dataclass(frozen=True, slots=True)
class Request:
    """A request received from a client."""

    request_id: str
    time_left: float  # seconds until the client gives up
    customer: str
    plan: str
    service_class: str
    units: float  # quota units that the request consumes
    first_gateway: int  # index of the first of the customer's gateways, which have consecutive indexes
    gateway_spread: int  # number of the customer's gateways
    is_retry: bool = False  # marked by the client as its own retry
    is_write: bool = False

    def __post_init__(self) -> None:
        """Validate the field values."""
        require(self.units >= 0, f"request {self.request_id}: negative units")
        require(self.gateway_spread >= 1, f"request {self.request_id}: spread must be at least 1")


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt ended, with or without an answer."""

    request_id: str
    attempt: int  # number of the attempt
    endpoint_id: str
    result: str  # one of ATTEMPT_RESULTS
    elapsed: float  # seconds since the attempt was sent
    is_final: bool  # the request has been answered, or no longer needs an answer
    # 1 + percent of the customer's rate used in the last metered period; 0: not reported
    metered_use: int = 0
    actual_units: float = 0  # units that the request actually consumed; 0: not reported
    load_report: dict[str, float] = field(default_factory=dict)  # value by field; empty: not reported

    def __post_init__(self) -> None:
        """Validate the field values."""
        require(self.result in ATTEMPT_RESULTS, f"unknown result {self.result!r}")


@dataclass(frozen=True, slots=True)
class AttemptNotSent:
    """An attempt was not begun, because its request had been answered or its client had disconnected.

    It has no number and no result; `ClientDisconnected` or `AttemptEnded` tells how its request ended.
    """

    request_id: str
    endpoint_id: str


@dataclass(frozen=True, slots=True)
class CounterReply:
    """A call to the shared counter returned a total or failed."""

    name: int  # name of the counter entry
    result: str  # one of COUNTER_RESULTS
    total: float  # total of the entry after the call
    elapsed: float  # seconds since the call was made

    def __post_init__(self) -> None:
        """Validate the field values."""
        require(self.result in COUNTER_RESULTS, f"unknown counter result {self.result!r}")


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """A health check of an endpoint returned or failed."""

    endpoint_id: str
    result: str  # one of ATTEMPT_RESULTS
    elapsed: float  # seconds since the check was sent
    load_report: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The delay of a SetTimer action has passed."""

    label: int  # copied from the SetTimer action


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """An endpoint began its response, which is streamed to the client."""

    request_id: str
    attempt: int  # number of the attempt
    endpoint_id: str
    elapsed: float  # seconds since the attempt was sent


@dataclass(frozen=True, slots=True)
class RequestHoldChanged:
    """The reply to a request now comes after a value that an endpoint still writes, or no longer does.

    If that value breaks off, no reply to the request can be delivered.
    """

    request_id: str
    held: bool  # whether it must not be sent


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """A client disconnected before it received its answer."""

    request_id: str


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message arrived from another gateway."""

    sender: int  # index of the sending gateway
    data: bytes


@dataclass(frozen=True, slots=True)
class EndpointOverride:
    """An operator ejected an endpoint or ended its ejection. This takes precedence over the endpoint list."""

    endpoint_id: str
    ejected: bool  # False: in use again with a slow start, as if started at `overridden_at` or later
    overridden_at: float  # s, clock time of the override


@dataclass(frozen=True, slots=True)
class CustomerLimitChanged:
    """The number of customers whose state the gateway has memory for has changed."""

    max_customers: int

    def __post_init__(self) -> None:
        """Validate the field values."""
        require(self.max_customers > 0, "no customer allowed")


@dataclass(frozen=True, slots=True)
class DrainChanged:
    """A graceful shutdown began to move clients to other gateways, or was cancelled."""

    draining: bool  # False: clients return to this gateway


@dataclass(frozen=True, slots=True)
class WallClockStepped:
    """The wall clock stepped or was found to be wrong. The clock used for events did not change."""

    offset: float  # seconds by which the wall clock is now ahead of the clock used for events


@dataclass(frozen=True, slots=True)
class ClusterClockNeeded:
    """The clock follows a wall clock, so gateways must agree on the cluster's time through the counter."""


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """New settings apply to all requests that arrive from now on."""

    settings: Settings


Event = (
    EndpointList
    | Request
    | AttemptEnded
    | AttemptNotSent
    | CounterReply
    | HealthCheckEnded
    | TimerFired
    | ResponseStarted
    | RequestHoldChanged
    | ClientDisconnected
    | PeerMessage
    | EndpointOverride
    | CustomerLimitChanged
    | DrainChanged
    | ClusterClockNeeded
    | WallClockStepped
    | SettingsChanged
)
