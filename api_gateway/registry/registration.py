"""Parse registrations of hosts and numbers in query strings."""

from __future__ import annotations

import json
import math
from dataclasses import dataclass
from typing import Any

from api_gateway.registry.answer_encoding import HOST_KEYS
from api_gateway.registry.config import read_host
from api_gateway.registry.core import MAX_TTL_S, MIN_TTL_S, Host
from api_gateway.registry.errors import InvalidValueError

INCARNATION_BOUND = 2**53  # exclusive; every JSON parser reads smaller integers exactly
QUERY_DIGITS_LIMIT = 18  # so that a number in a query fits into 64 bits


@dataclass(frozen=True, slots=True)
class Registration:
    """A parsed registration of a host.

    Attributes:
        host: Its entry of the list.
        incarnation: Number of the host's process, which grows with each start.
        ttl_s: Seconds that the lease lasts without a renewal.
    """

    host: Host
    incarnation: int
    ttl_s: float


def read_registration(host_id: str, body: bytes) -> Registration:
    """Parse the body of a registration.

    Args:
        host_id: The id in the path of the call.
        body: The body of the request.

    Raises:
        ValueError: The body is invalid; the message gives the reason.
    """
    document = _parse_object(body)
    incarnation = document.pop("incarnation", None)
    ttl_ms = document.pop("ttl_ms", None)
    if type(incarnation) is not int or not 0 <= incarnation < INCARNATION_BOUND:
        text = "incarnation must be a whole number that grows with each life of the host"
        raise InvalidValueError("incarnation", text)
    if type(ttl_ms) is not int or not MIN_TTL_S * 1000 <= ttl_ms <= MAX_TTL_S * 1000:
        text = f"ttl_ms must be a whole number, {MIN_TTL_S * 1000:.0f} to {MAX_TTL_S * 1000:.0f}"
        raise InvalidValueError("ttl_ms", text)
    unknown = set(document) - set(HOST_KEYS)
    if unknown:
        raise InvalidValueError(min(unknown), f"no such key: {min(unknown)[:80]!r}")
    if document.get("state", "up") != "up":
        raise InvalidValueError("state", "a host registers as up; it drains by a call of its own")
    if not _is_finite_number(document.get("weight", 1.0)):
        raise InvalidValueError("weight", "weight must be a number above 0")
    return Registration(read_host(document, host_id), incarnation, ttl_ms / 1000)


def read_whole_number(name: str, text: str) -> int:
    """Parse a number in a query string.

    Raises:
        ValueError: The text is not a whole number of 0 or more; the message contains `name`.
    """
    if not (text.isascii() and text.isdecimal()) or len(text) > QUERY_DIGITS_LIMIT:
        raise InvalidValueError(name, f"{name} must be a whole number of 0 or more")
    return int(text)


def _parse_object(body: bytes) -> dict[str, Any]:
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise InvalidValueError("", f"no JSON: {' '.join(str(error).split())}") from error
    if not isinstance(document, dict):
        raise InvalidValueError("", "a registration must be an object")
    return document


def _is_finite_number(value: object) -> bool:
    if isinstance(value, float):
        return math.isfinite(value)
    # isfinite() would overflow for a large integer.
    return isinstance(value, int) and not isinstance(value, bool)
