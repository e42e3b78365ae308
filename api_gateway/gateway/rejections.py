"""Counts and logs why requests were rejected, for operators."""

from __future__ import annotations

import logging
from enum import StrEnum

from api_gateway.base.reason_log import ReasonLog

log = logging.getLogger(__name__)


class RejectionReason(StrEnum):
    """Why a valid request was not passed to the decision engine, or was rejected by it."""

    STOPPING = "stopping"  # the process is about to exit
    IN_FLIGHT_LIMIT = "in_flight_limit"
    MEMORY = "memory"
    BODY_WAIT = "body_wait"  # its large body waited too long for memory
    ID_IN_FLIGHT = "id_in_flight"
    ID_FORWARDED = "id_forwarded"  # an earlier request with this id may have run
    POLICY = "policy"


class Rejections(ReasonLog[RejectionReason]):
    """The rejected requests by reason."""

    def __init__(self) -> None:
        """Start without any."""
        super().__init__(log)

    def record(self, reason: RejectionReason, request_id: str) -> None:
        """Count a rejection, and log it unless the decision engine made it, as it does under any overload."""
        if reason is RejectionReason.POLICY:
            self.count(reason)
        else:
            self.write(reason, "request rejected reason=%s request=%s", reason, request_id)
