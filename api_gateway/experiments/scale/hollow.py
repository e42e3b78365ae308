"""Hollow gateways: the control side of real ones, without clients, hosts or a process of their own.

`full` ones are the program's own node but for the socket that clients come to: module, list, counter's lines,
bans, history, second address. `light` ones have the client of the list service alone, so that some hundreds
are cheap. A process of them takes its Crowd as JSON and answers, on the port that its first line names, each
line with a line of JSON: what each of them has sent and got.
"""

from __future__ import annotations

import json
import logging
import sys
import tempfile
import time
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import uvloop

from api_gateway.base.endpoint_list import EndpointListing, read_address
from api_gateway.discovery.fetcher import FetchConnection, Fetcher
from api_gateway.discovery.replicas import Replicas
from api_gateway.experiments.scale.crowds import ENTRY, NO_NEWS, Crowd, stand
from api_gateway.gateway.config import build_config
from api_gateway.gateway.node import GatewayNode

NOWHERE: Mapping[str, str] = {}


class Reads:
    """A reader that counts."""

    def __init__(self, reader: Any, counted: Counted) -> None:
        self.reader, self.counted = reader, counted

    async def read(self, most: int) -> bytes:
        data = await self.reader.read(most)
        self.counted.back += len(data)
        self.counted.idle += data.count(NO_NEWS)
        self.counted.idle_back += len(data) if NO_NEWS in data else 0
        return data

    def at_eof(self) -> bool:
        return self.reader.at_eof()


class Writes:
    """A writer that counts."""

    def __init__(self, writer: Any, counted: Counted) -> None:
        self.writer, self.counted = writer, counted

    def write(self, data: bytes) -> None:
        self.counted.out += len(data)
        self.writer.write(data)

    def close(self) -> None:
        self.writer.close()


class Counted(Fetcher):
    """The gateway's own calls; bytes each way and calls are counted."""

    def __init__(self) -> None:
        super().__init__()
        self.out = self.back = self.calls = self.idle = self.idle_back = 0
        self.body = self.entries = 0  # bytes of answers that brought news, without HTTP's head; their hosts

    async def call(self, line: FetchConnection, target: str) -> bytearray:
        if not isinstance(line.reader, Reads):
            line.reader = Reads(line.reader, self)  # type: ignore[assignment]
            line.writer = Writes(line.writer, self)  # type: ignore[assignment]
        self.calls += 1
        body = await super().call(line, target)
        if NO_NEWS not in body:
            self.body, self.entries = self.body + len(body), self.entries + body.count(ENTRY)
        return body


class Light:
    """The client of the list service; `version` is the last that it was told, `at` when."""

    def __init__(self, crowd: Crowd, number: int) -> None:
        self.version, self.at, self.failures, self.hosts = 0, 0.0, 0, 0
        zone = crowd.zones[number % len(crowd.zones)]
        self.discovery = Replicas(
            read_address(crowd.service),
            (),
            None,
            f"hollow-{number}",
            None,
            self.told,
            self.failed,
            crowd.gateways,
            number,
            None,
            viewing(crowd, number, zone),
        )
        self.counted = self.discovery.fetcher = Counted()

    def told(self, listing: EndpointListing) -> None:
        if listing.endpoint_list.endpoints:  # else the watch ended without news
            self.version, self.at = listing.endpoint_list.version, time.monotonic()
        self.hosts = max(self.hosts, len(listing.endpoint_list.endpoints))

    def failed(self) -> None:
        self.failures += 1

    async def start(self) -> None:
        self.discovery.set_watching(True)

    def counts(self) -> dict[str, float]:
        counted = self.counted
        return {
            "out": counted.out,
            "back": counted.back,
            "calls": counted.calls,
            "news_back": counted.back - counted.idle_back,
            "news": counted.calls - counted.idle,
            "news_body": counted.body,
            "entries": counted.entries,
            "version": self.version,
            "at": self.at,
            "failures": self.failures,
            "hosts": self.hosts,
        }


def viewing(crowd: Crowd, number: int, zone: str) -> Any:
    if not crowd.view:
        return None
    from api_gateway.discovery.subset_config import read_subset_config
    from api_gateway.discovery.subsets import EndpointSubset

    return EndpointSubset(read_subset_config({"size": crowd.view}), number, zone)


class Full(GatewayNode):
    """A node whose clients' socket is missing."""

    def __init__(self, crowd: Crowd, number: int, folder: Path) -> None:
        assert crowd.tree is not None
        settings = crowd.tree["settings"] | {
            "index": number,
            "group_size": crowd.gateways,
            "locality": crowd.zones[number % len(crowd.zones)],
        }
        tree = crowd.tree | {
            "name": f"hollow-{number}",
            "settings": settings,
            "seed": f"{number + 1:x}",
            "discovery": crowd.service,
            "control": "127.0.0.1:0",
        }
        scratch = folder / str(number)
        scratch.mkdir()
        super().__init__(build_config(tree, {"TMPDIR": str(scratch)}))
        self.clients.listen = self.nowhere  # type: ignore[method-assign]
        self.version, self.at = 0, 0.0

    async def nowhere(self, host: str, port: int, inherited: int | None = None, edge: Any = None) -> int:
        """No socket; looks after clients go on, though there are none."""
        self.clients.run_checks()
        return 0

    def on_endpoint_list(self, listing: EndpointListing) -> None:
        super().on_endpoint_list(listing)
        self.version, self.at = listing.endpoint_list.version, time.monotonic()

    def counts(self) -> dict[str, float]:
        return {
            "version": self.version,
            "at": self.at,
            "failures": self.discovery.backoff.failure_count,
            "hosts": len(self.endpoint_updates.known_ids),
        }


async def serve(crowd: Crowd, folder: Path) -> None:
    numbers = range(crowd.first, crowd.first + crowd.count)
    await stand([Full(crowd, n, folder) if crowd.tree else Light(crowd, n) for n in numbers])


def main() -> int:
    logging.basicConfig(stream=sys.stderr, level=logging.WARNING)
    with tempfile.TemporaryDirectory(prefix="hollow-") as folder:
        uvloop.run(serve(Crowd(**json.loads(sys.argv[1])), Path(folder)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
