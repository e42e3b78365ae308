"""Admission decisions for new connections: limits per source and by rate, without I/O or clock."""

from __future__ import annotations

import ipaddress
from collections import OrderedDict
from dataclasses import dataclass
from functools import lru_cache

from api_gateway.downstream.admission_settings import AdmissionSettings

# Sources to remember; above that, sources without a connection are forgotten, oldest first.
MAX_SOURCES = 4096


@dataclass(slots=True)
class SourceState:
    """Open connections and rate limit state of one source."""

    open_connections: int = 0
    tokens: float = 0.0  # new connections that it may open at `refilled_at`
    refilled_at: float = 0.0  # monotonic time of the last refill


class TokenBucket:
    """Rate limit on new connections of all sources; bursts may be as large as the rate of one second."""

    def __init__(self, rate: float, now: float) -> None:
        """Create a full bucket.

        Args:
            rate: Connections per second; 0: no limit.
            now: The monotonic time.
        """
        self.rate = rate
        self.tokens = max(1.0, rate)
        self.refilled_at = now

    def seconds_until_token(self, now: float) -> float:
        """Return the seconds until one connection may be admitted."""
        if not self.rate:
            return 0.0
        refill = (now - self.refilled_at) * self.rate
        self.tokens = min(max(1.0, self.rate), self.tokens + refill)
        self.refilled_at = now
        return max(0.0, (1.0 - self.tokens) / self.rate)

    def take(self) -> None:
        """Take the token of a connection that was admitted."""
        self.tokens -= 1.0 if self.rate else 0.0


class ConnectionLimiter:
    """Decides whether a new connection is admitted, and counts the connections of each source."""

    def __init__(self, settings: AdmissionSettings, now: float) -> None:
        """Create a limiter without connections at the monotonic time `now`."""
        self.settings = settings
        self.total_rate = TokenBucket(settings.new, now)
        self.sources: OrderedDict[str, SourceState] = OrderedDict()  # least recently connected first
        # Cached because parsing an address costs more than the rest of the decision.
        self.source_name = lru_cache(MAX_SOURCES)(self.parse_source_name)
        # Connections by outcome; the keys are shown in the status.
        self.counts = {"taken": 0, "per_source": 0, "new_per_source": 0, "pauses": 0}

    def parse_source_name(self, address: str) -> str | None:
        """Return the name of the source that an address belongs to, or None for a proxy in `fronts`."""
        try:
            ip = ipaddress.ip_address(address.split("%")[0])
        except ValueError:
            return address
        if any(ip in front for front in self.settings.fronts):
            return None
        prefix_bits = self.settings.prefix4 if ip.version == 4 else self.settings.prefix6
        return str(ipaddress.ip_network((ip, prefix_bits), strict=False))

    def weight(self, address: str) -> float:
        """Return the fair queueing weight of the first network that contains the address, or 1."""
        if not self.settings.weights:
            return 1.0
        ip = ipaddress.ip_address(address.split("%")[0])
        return next((weight for network, weight in self.settings.weights if ip in network), 1.0)

    def touch_source(self, now: float, name: str) -> SourceState:
        """Return the state of a source, created if unknown, and mark it as the most recently connected."""
        state = self.sources.pop(name, None)
        if state is None:
            state = SourceState(tokens=max(1.0, self.settings.new_per_source), refilled_at=now)
        self.sources[name] = state
        if len(self.sources) > MAX_SOURCES:
            self._forget_oldest_unused(name)
        return state

    def _forget_oldest_unused(self, excluded_name: str) -> None:
        """Forget the least recently connected source without a connection, except `excluded_name`."""
        unused = next(
            (
                name
                for name, state in self.sources.items()
                if not state.open_connections and name != excluded_name
            ),
            None,
        )
        if unused is not None:
            del self.sources[unused]

    def admit(self, now: float, address: str) -> str:
        """Decide whether to admit a new connection, and count it.

        Args:
            now: The monotonic time.
            address: The client's address.

        Returns:
            "" if it is admitted, in which case `release` must be called when it closes; otherwise the name of
            the limit that rejects it.
        """
        name = self.source_name(address)
        rejected_by = "" if name is None else self._admit_to_source(self.touch_source(now, name), now)
        if not rejected_by:
            self.total_rate.take()
        self.counts[rejected_by or "taken"] += 1
        return rejected_by

    def _admit_to_source(self, state: SourceState, now: float) -> str:
        """Count a new connection of a source; return the name of the limit that rejects it, or ""."""
        rate = self.settings.new_per_source
        state.tokens = min(max(1.0, rate), state.tokens + (now - state.refilled_at) * rate)
        state.refilled_at = now
        if self.settings.per_source and state.open_connections >= self.settings.per_source:
            return "per_source"
        if rate and state.tokens < 1.0:
            return "new_per_source"
        state.tokens -= 1.0 if rate else 0.0
        state.open_connections += 1
        return ""

    def release(self, address: str) -> None:
        """Uncount an admitted connection that has closed."""
        name = self.source_name(address)
        if name is not None and name in self.sources:
            self.sources[name].open_connections -= 1
