"""What happens at a gateway, for its decision module: one type for each kind of event.

Times are seconds (floats), ids are opaque text. The clock reading comes with each event, beside it.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from api_gateway.interface.checks import require
from api_gateway.interface.settings import Settings

# full: the endpoint had no capacity and did not execute it; moot: called off before it was sent, which says
# nothing of the endpoint
ATTEMPT_RESULTS = ("ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot")
COUNTER_RESULTS = ("ok", "full", "connect_failed", "timeout", "late")  # late: ok, but after its time-out
# delta: what has changed; full: the complete list; cached: the one that was known; failed: none was had
LIST_MODES = ("delta", "full", "cached", "failed")


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A server that requests are sent to, as the endpoint list describes it."""

    id: str
    zone: str
    cell: int  # its group within the zone
    weight: float  # relative size
    kind: str
    state: str  # "up", "leaving" (draining) or "down"
    started_at: float  # s, clock time of its last start; 0: long ago

    def __post_init__(self) -> None:
        """Check the values."""
        require(self.state in ("up", "leaving", "down"), f"host {self.id}: unknown state {self.state!r}")


@dataclass(frozen=True, slots=True)
class EndpointList:
    """The endpoint list or changes of it, or that it could not be had."""

    mode: str  # one of LIST_MODES
    version: int
    endpoints: tuple[Endpoint, ...]
    # Endpoints that are up in all: if more than are listed so, the list is a subset of them; 0: no subset
    available_total: int = 0

    def __post_init__(self) -> None:
        """Check the values."""
        require(self.mode in LIST_MODES, f"unknown list mode {self.mode!r}")
        require(self.available_total >= 0, "negative total")


@dataclass(frozen=True, slots=True)
class Request:
    """A request that a client sent."""

    request_id: str
    time_left: float  # s until the client gives up
    customer: str
    plan: str
    service_class: str
    units: float  # that it takes from the quota
    first_gateway: int  # the first of the customer's gateways, which are counted in a row
    gateway_spread: int  # how many these are
    is_retry: bool = False  # the client marks it as a retry of its own
    is_write: bool = False

    def __post_init__(self) -> None:
        """Check the values."""
        require(self.units >= 0, f"request {self.request_id}: negative units")
        require(self.gateway_spread >= 1, f"request {self.request_id}: spread must be at least 1")


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt ended, with or without an answer."""

    request_id: str
    attempt: int  # its number
    endpoint_id: str
    result: str  # one of ATTEMPT_RESULTS
    elapsed: float  # s since it was sent
    is_final: bool  # the request has its answer, or none is wanted any longer
    metered_use: int = 0  # 1 + percent of the customer's rate used in the last metered period; 0: none
    actual_units: float = 0  # units that the request really counted; 0: none
    load_report: dict[str, float] = field(default_factory=dict)  # by field; empty: none

    def __post_init__(self) -> None:
        """Check the values."""
        require(self.result in ATTEMPT_RESULTS, f"unknown result {self.result!r}")


@dataclass(frozen=True, slots=True)
class CounterReply:
    """A call to the shared counter ended."""

    name: int  # of the count
    result: str  # one of COUNTER_RESULTS
    total: float  # of the count after the call
    elapsed: float  # s since the call

    def __post_init__(self) -> None:
        """Check the values."""
        require(self.result in COUNTER_RESULTS, f"unknown counter result {self.result!r}")


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """A health check ended."""

    endpoint_id: str
    result: str  # one of ATTEMPT_RESULTS
    elapsed: float  # s
    load_report: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that was asked for has fired."""

    label: int  # as it was given with the action


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """An endpoint has begun to answer, and the answer flows to the client."""

    request_id: str
    attempt: int  # its number
    endpoint_id: str
    elapsed: float  # s since it was sent


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """A client went away before it had its answer."""

    request_id: str


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Another gateway sent a message."""

    sender: int  # number of that gateway
    data: bytes


@dataclass(frozen=True, slots=True)
class EndpointOverride:
    """An operator ejected an endpoint or ended that, whatever the list says of it."""

    endpoint_id: str
    ejected: bool  # False: used again, from a slow start: it started at `at` or later
    at: float  # s, clock time of the override


@dataclass(frozen=True, slots=True)
class DrainChanged:
    """A graceful shutdown sends clients away, or they come back."""

    draining: bool  # False: they come back


@dataclass(frozen=True, slots=True)
class WallClockStepped:
    """The wall clock stepped, or was found to be wrong; the clock that events carry did not move."""

    offset: float  # s by which the wall clock is ahead of the clock of events now


@dataclass(frozen=True, slots=True)
class ClusterClockNeeded:
    """The clock comes from a wall clock, so gateways have to agree on the cluster's time by the counter."""


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """Settings changed for the requests that come from now on."""

    settings: Settings


Event = (
    EndpointList
    | Request
    | AttemptEnded
    | CounterReply
    | HealthCheckEnded
    | TimerFired
    | ResponseStarted
    | ClientDisconnected
    | PeerMessage
    | EndpointOverride
    | DrainChanged
    | ClusterClockNeeded
    | WallClockStepped
    | SettingsChanged
)
