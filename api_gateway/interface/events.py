"""What a gateway tells its decision module: one type for each kind of event.

Times are seconds (floats), ids are opaque text. The clock reading comes with each event, beside it.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from api_gateway.interface.checks import require
from api_gateway.interface.settings import Settings

ATTEMPT_RESULTS = ("ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot")
COUNTER_RESULTS = ("ok", "full", "connect_failed", "timeout", "late")  # late: an ok behind its time-out
LIST_MODES = ("delta", "full", "cached", "failed")


@dataclass(frozen=True, slots=True)
class Endpoint:
    id: str
    zone: str
    cell: int
    weight: float
    kind: str
    state: str  # "up", "leaving" or "down"
    started_at: float  # clock time of its last start; 0: long ago

    def __post_init__(self) -> None:
        require(self.state in ("up", "leaving", "down"), f"host {self.id}: unknown state {self.state!r}")


@dataclass(frozen=True, slots=True)
class EndpointList:
    mode: str  # one of MODES
    version: int
    endpoints: tuple[Endpoint, ...]
    available_total: int = (
        0  # hosts that are up in all; more than are listed so: this is a view of them; 0: no view
    )

    def __post_init__(self) -> None:
        require(self.mode in LIST_MODES, f"unknown list mode {self.mode!r}")
        require(self.available_total >= 0, "negative total")


@dataclass(frozen=True, slots=True)
class Request:
    request_id: str
    time_left: float  # until the client gives up
    customer: str
    plan: str
    service_class: str
    units: float
    first_gateway: int  # the customer's gateways: `spread` in a row from this one
    gateway_spread: int
    is_retry: bool = False
    is_write: bool = False

    def __post_init__(self) -> None:
        require(self.units >= 0, f"request {self.request_id}: negative units")
        require(self.gateway_spread >= 1, f"request {self.request_id}: spread must be at least 1")


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    request_id: str
    attempt: int
    endpoint_id: str
    result: str
    elapsed: float
    is_final: bool
    metered_use: int = 0  # 1 + percent of the customer's rate used in the last metered period; 0: none
    actual_units: float = 0  # units that the request really counted; 0: none
    load_report: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        require(self.result in ATTEMPT_RESULTS, f"unknown result {self.result!r}")


@dataclass(frozen=True, slots=True)
class CounterReply:
    name: int
    result: str
    total: float
    elapsed: float

    def __post_init__(self) -> None:
        require(self.result in COUNTER_RESULTS, f"unknown counter result {self.result!r}")


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    endpoint_id: str
    result: str
    elapsed: float
    load_report: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class TimerFired:
    label: int


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    request_id: str
    attempt: int
    endpoint_id: str
    elapsed: float


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    request_id: str


@dataclass(frozen=True, slots=True)
class PeerMessage:
    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class EndpointOverride:
    """An operator's word on a host, whatever the list says of it."""

    endpoint_id: str
    ejected: bool  # False: it may be used again, and is cold: it started at `at`, or later
    at: float  # clock time at which this was said


@dataclass(frozen=True, slots=True)
class DrainChanged:
    """Clients are being sent away (on), or come back."""

    draining: bool


@dataclass(frozen=True, slots=True)
class WallClockStepped:
    """The wall clock was seen to step, or was found to be wrong; the clock that events carry did not move."""

    offset: float  # s by which the wall clock is ahead of the clock of events now


@dataclass(frozen=True, slots=True)
class ClusterClockNeeded:
    """The clock comes from a machine's wall clock, so the fleet's time has to be agreed on by the counter."""


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """Settings for the requests that come from now on."""

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
