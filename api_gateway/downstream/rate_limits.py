"""Which new connections are taken: limits by source and by rate, with no I/O and no clock."""

from __future__ import annotations

import ipaddress
from collections import OrderedDict
from dataclasses import dataclass
from functools import lru_cache

from api_gateway.downstream.admission_settings import Edge

MOST_SOURCES = 4096  # that are remembered; past that the ones that rest longest are forgotten


@dataclass(slots=True)
class Source:
    held: int = 0  # connections
    tokens: float = 0.0
    at: float = 0.0  # when the tokens were counted


class Bucket:
    """New connections a second, for all; as many as come in one second may come at once."""

    def __init__(self, rate: float, now: float) -> None:
        self.rate, self.tokens, self.at = rate, max(1.0, rate), now

    def wait(self, now: float) -> float:
        """Seconds until there is room for one."""
        if not self.rate:
            return 0.0
        self.tokens = min(max(1.0, self.rate), self.tokens + (now - self.at) * self.rate)
        self.at = now
        return max(0.0, (1.0 - self.tokens) / self.rate)


class Gate:
    """What it says of a connection that came: "" where it is taken, else why not."""

    def __init__(self, edge: Edge, now: float) -> None:
        self.edge, self.all = edge, Bucket(edge.new, now)
        self.sources: OrderedDict[str, Source] = OrderedDict()  # the one that came last is last
        self.name = lru_cache(MOST_SOURCES)(self.source_of)  # reading an address costs more than all the rest
        self.counts = {"taken": 0, "per_source": 0, "new_per_source": 0, "pauses": 0}

    def source_of(self, address: str) -> str | None:
        """The source that an address belongs to; None: a front."""
        try:
            ip = ipaddress.ip_address(address.split("%")[0])
        except ValueError:
            return address
        if any(ip in front for front in self.edge.fronts):
            return None
        bits = self.edge.prefix4 if ip.version == 4 else self.edge.prefix6
        return str(ipaddress.ip_network((ip, bits), strict=False))

    def weight(self, address: str) -> float:
        if not self.edge.weights:
            return 1.0
        ip = ipaddress.ip_address(address.split("%")[0])
        return next((weight for net, weight in self.edge.weights if ip in net), 1.0)

    def source(self, now: float, name: str) -> Source:
        found = self.sources.pop(name, None) or Source(tokens=max(1.0, self.edge.new_per_source), at=now)
        self.sources[name] = found
        if len(self.sources) > MOST_SOURCES:  # of those that hold nothing the one that came first
            idle = next((n for n, s in self.sources.items() if not s.held and n != name), None)
            if idle is not None:
                del self.sources[idle]
        return found

    def ask(self, now: float, address: str) -> str:
        name, why = self.name(address), ""
        if name is not None:
            source, rate = self.source(now, name), self.edge.new_per_source
            source.tokens = min(max(1.0, rate), source.tokens + (now - source.at) * rate)
            source.at = now
            if self.edge.per_source and source.held >= self.edge.per_source:
                why = "per_source"
            elif rate and source.tokens < 1.0:
                why = "new_per_source"
            else:
                source.tokens -= 1.0 if rate else 0.0
                source.held += 1
        if not why:
            self.all.tokens -= 1.0 if self.all.rate else 0.0
        self.counts[why or "taken"] += 1
        return why

    def left(self, address: str) -> None:
        name = self.name(address)
        if name is not None and name in self.sources:
            self.sources[name].held -= 1
