"""What the decision module has its gateway do: one type for each kind of action.

Times are seconds (floats), ids are opaque text.
"""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send a request to an endpoint; its attempts are numbered from 0 in the order of these actions."""

    request_id: str
    endpoint_id: str
    timeout: float = 0  # s; 0: until the client gives up
    send_within: float = math.inf  # s within which it is written, whatever a connect takes; else not at all


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Tell a client that its request was not carried out, so that trying again is harmless."""

    request_id: str
    retry_after: float = 0  # s after which the client may try again; 0: not said
    overloaded: bool = False  # endpoints lacked capacity, so more of the same sender would find none either


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Tell a client that its request failed; it may have been executed."""

    request_id: str


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt in flight; its end is reported like any other."""

    request_id: str
    attempt: int  # its number


@dataclass(frozen=True, slots=True)
class AddToCounter:
    """Add to a count of the shared counter, which reports the total."""

    name: int  # of the count
    amount: float  # below 0 to give back
    lifetime: float  # s for which the counter keeps the count


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Report when some time has passed; a later timer does not replace those before it."""

    delay: float  # s
    label: int  # comes back with the event


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
    """Poll discovery for the complete endpoint list, once."""


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Begin or end the watch of the endpoint list."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class ResizeSubset:
    """Have this gateway's subset hold so many endpoints that are up from now on, more or fewer."""

    endpoint_count: int


@dataclass(frozen=True, slots=True)
class ClusterClockChanged:
    """Tell whether this gateway's clock is known to differ from the cluster's and is being set.

    Given after the first check of the cluster's time, and with each change.
    """

    synchronizing: bool


@dataclass(frozen=True, slots=True)
class LogMessage:
    """Write a line to the log."""

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
