"""What the decision module asks its gateway to do: one type for each kind of action.

Times are seconds (floats), ids are opaque text.
"""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SendAttempt:
    request_id: str
    endpoint_id: str
    timeout: float = 0  # 0: until the client gives up
    send_within: float = math.inf  # s in which it goes out, whatever a connect takes, or else not at all


@dataclass(frozen=True, slots=True)
class RejectRequest:
    request_id: str
    retry_after: float = 0
    overloaded: bool = False  # hosts had no room for it, so more of the same sender find none either


@dataclass(frozen=True, slots=True)
class FailRequest:
    request_id: str


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class AddToCounter:
    name: int
    amount: float
    lifetime: float


@dataclass(frozen=True, slots=True)
class SetTimer:
    delay: float
    label: int


@dataclass(frozen=True, slots=True)
class CheckHealth:
    endpoint_id: str


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    endpoint_id: str


@dataclass(frozen=True, slots=True)
class FetchEndpoints:
    """Ask discovery for the whole list, once."""


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    enabled: bool


@dataclass(frozen=True, slots=True)
class ResizeSubset:
    """The view of the hosts is to be of so many that are up, from now on: it may be larger or smaller."""

    endpoint_count: int


@dataclass(frozen=True, slots=True)
class ClusterClockChanged:
    """Whether this gateway's clock is known to be another than the fleet's, and is being set. Said after the
    first look at the fleet's time, and with each change."""

    synchronizing: bool


@dataclass(frozen=True, slots=True)
class LogMessage:
    text: str


Action = (
    SendAttempt
    | RejectRequest
    | FailRequest
    | CancelAttempt
    | AddToCounter
    | SetTimer
    | CheckHealth
    | CloseIdleConnections
    | FetchEndpoints
    | WatchEndpoints
    | ResizeSubset
    | ClusterClockChanged
    | LogMessage
)
