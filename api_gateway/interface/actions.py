"""Actions that the decision engine returns for its gateway to execute, one type for each kind.

Times are in seconds (floats). Ids are opaque strings.
"""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send a request to an endpoint.

    The attempts of a request are numbered from 0, in the order of these actions.
    """

    request_id: str
    endpoint_id: str
    timeout: float = 0  # s; 0: wait until the client gives up
    # Seconds within which the request must be written, connecting included. After that it is not sent.
    send_within: float = math.inf


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Reject a request that was not executed, so the client can safely retry it."""

    request_id: str
    retry_after: float = 0  # seconds after which the client may retry; 0: unspecified
    # The endpoints lacked capacity, so further requests of the same sender would be rejected as well.
    overloaded: bool = False


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Answer a client that its request failed, although it may have been executed."""

    request_id: str


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt in flight. Its end is reported by AttemptEnded, like that of any other attempt."""

    request_id: str
    attempt: int  # number of the attempt


@dataclass(frozen=True, slots=True)
class AddToCounter:
    """Add an amount to an entry of the shared counter, which replies with the new total."""

    name: int  # name of the counter entry
    amount: float  # negative to return units
    lifetime: float  # seconds until the counter discards the entry


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Send a TimerFired event after a delay. A new timer does not replace earlier ones."""

    delay: float  # s
    label: int  # copied to the TimerFired event


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Send a health check to an endpoint."""

    endpoint_id: str


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close the idle connections to an endpoint."""

    endpoint_id: str


@dataclass(frozen=True, slots=True)
class FetchEndpoints:
    """Request the complete endpoint list from discovery once."""


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Start or stop watching discovery for changes of the endpoint list."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class ResizeSubset:
    """Grow or shrink this gateway's subset to the given number of endpoints that are up."""

    endpoint_count: int


@dataclass(frozen=True, slots=True)
class ClusterClockChanged:
    """Report whether this gateway's clock is known to differ from the cluster's and is being adjusted.

    Returned after the first check of the cluster's time, and again at each change.
    """

    synchronizing: bool


@dataclass(frozen=True, slots=True)
class LogMessage:
    """Write one line to the gateway's log."""

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
