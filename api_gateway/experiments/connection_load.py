"""Measure light clients beside deep pipelines, in pairs of runs with and without the `edge` settings.

Run it with `python -m api_gateway.experiments.connection_load`.

One gateway and stand-in hosts run as processes. The pipelines run in a further process, so that they do not
slow the light clients directly. Light clients send requests on a schedule, and a latency counts from the time
at which the request was due. Each run takes a fixed number of seconds.

With `edge`, the gateway takes the commands of its client connections in turns (fair queueing).
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import statistics
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import hiredis
import uvloop

from api_gateway.demo.traffic import Connection, GatewayClient, encode
from api_gateway.supervisor.local_cluster import LocalCluster

PLAN = {"name": "open", "rate": 1e5, "most_at_once": 1e6}  # no customer exceeds this quota
REQUEST_TERMS = b"c=reading,t=open,d=3000,units=1,spread=1,first=0"
LIGHT_CLIENTS, REQUEST_INTERVAL_S = 20, 0.1  # number of light clients; s between the requests of one
CUSTOMERS_PER_PIPELINE = 50  # customers in whose name one pipeline sends
HOSTS, SLOTS_PER_HOST = 4, 16
WARM_UP_S = 2.0  # after the start, while hosts in slow start get little traffic from any client
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True, slots=True)
class LoadKind:
    """A load: pipelines of `depth` commands from one address, and optionally one from another."""

    name: str
    pipelines: int
    depth: int = 1500
    work: float = 0.002  # seconds that a host takes for a command
    has_other_source: bool = False  # adds a pipeline from another address
    churn_clients: int = 0  # clients that repeatedly connect, send one PING and close


KINDS = (
    LoadKind("calm", 0),
    LoadKind("one pipeline", 1),
    LoadKind("four pipelines", 4),
    LoadKind("four, slow hosts", 4, work=0.02),
    LoadKind("40 of one source beside one", 40, depth=50, has_other_source=True),
    LoadKind("connect and close", 0, churn_clients=16),
)


def command(customer: int, request_id: bytes) -> bytes:
    """Encode a request of a customer."""
    return encode([b"API.READ", b"%016x" % customer, request_id, REQUEST_TERMS])


class Pipeline(asyncio.Protocol):
    """Keeps about `depth` commands outstanding on one connection until it is aborted."""

    def __init__(self, number: int, depth: int) -> None:
        self.number, self.depth, self.sent = number, depth, 0
        self.counts: Counter[str] = Counter()
        self.reader, self.unreplaced_replies = hiredis.Reader(notEnoughData=...), 0

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.send(self.depth)

    def send(self, count: int) -> None:
        """Send the next `count` commands in one write."""
        commands = []
        for _ in range(count):
            self.sent += 1
            customer = self.number * CUSTOMERS_PER_PIPELINE + self.sent % CUSTOMERS_PER_PIPELINE
            commands.append(command(customer, b"p%d-%d" % (self.number, self.sent)))
        self.transport.write(b"".join(commands))

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        while (reply := self.reader.gets()) is not ...:
            self.counts["served" if isinstance(reply, bytes) else "refused"] += 1
            self.unreplaced_replies += 1
        if self.unreplaced_replies > self.depth // 20:
            self.send(self.unreplaced_replies)
            self.unreplaced_replies = 0


async def connect_and_close(address: str, end: float, counts: Counter[str]) -> None:
    """Connect, send one PING and close, repeatedly until `end`."""
    host, _, port = address.rpartition(":")
    while time.monotonic() < end:
        try:
            connection = Connection(*await asyncio.open_connection(host, int(port)))
            counts["served" if await connection.request([b"PING"]) == b"+" else "refused"] += 1
            connection.writer.close()
        except (OSError, EOFError):
            counts["refused"] += 1


async def apply_load(address: str, kind: LoadKind, seconds: float) -> list[dict[str, int]]:
    """Apply a load and return the counts per pipeline, the other source last, then those of churn clients."""
    host, _, port = address.rpartition(":")
    loop, pipelines = asyncio.get_running_loop(), []
    for number in range(kind.pipelines + kind.has_other_source):
        source = ("127.0.0.2", 0) if number == kind.pipelines else None
        _, pipeline = await loop.create_connection(
            lambda number=number: Pipeline(number, kind.depth), host, int(port), local_addr=source
        )
        pipelines.append(pipeline)
    churn_counts: Counter[str] = Counter()
    end = time.monotonic() + seconds
    await asyncio.gather(
        asyncio.sleep(seconds),
        *(connect_and_close(address, end, churn_counts) for _ in range(kind.churn_clients)),
    )
    for pipeline in pipelines:
        pipeline.transport.abort()
    return [dict(pipeline.counts) for pipeline in pipelines] + (
        [dict(churn_counts)] if kind.churn_clients else []
    )


async def run_light_client(number: int, address: str, end: float, results: list[tuple[float, bytes]]) -> None:
    """Send requests on a schedule, independent of earlier replies, each on an idle connection."""
    gateway, requests, due = (
        GatewayClient(address),
        list[asyncio.Task[None]](),
        time.monotonic() + REQUEST_INTERVAL_S * number / LIGHT_CLIENTS,
    )

    async def send_request(due: float, request_id: bytes) -> None:
        connection = await gateway.connect()
        reply = await connection.request(
            [b"API.READ", b"%016x" % (0x10000 + number), request_id, REQUEST_TERMS]
        )
        results.append((time.monotonic() - due, reply))
        gateway.idle.append(connection)

    while due < end:
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        requests.append(asyncio.create_task(send_request(due, b"l%d-%d" % (number, len(requests)))))
        due += REQUEST_INTERVAL_S
    await asyncio.gather(*requests)
    for connection in gateway.idle:
        connection.writer.close()


def cpu(pid: int) -> float:
    """Return the CPU seconds that a process has used so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def jain(counts: list[int]) -> float:
    """Return Jain's fairness index: 1 if all counts are equal, 1 / n if one has everything."""
    sum_of_squares = sum(count * count for count in counts)
    return sum(counts) ** 2 / (len(counts) * sum_of_squares) if sum_of_squares else 0.0


async def measure(kind: LoadKind, is_edge_enabled: bool, seconds: float) -> dict[str, float]:
    """Run one load against a new gateway and return the figures."""
    with tempfile.TemporaryDirectory(prefix="crowd-") as folder:
        fleet = LocalCluster(
            Path(folder), 1, HOSTS, kind.work, SLOTS_PER_HOST, [PLAN], {"edge": {}} if is_edge_enabled else {}
        )
        try:
            await fleet.start()
            (gateway,) = fleet.gateways
            assert gateway.process is not None
            address, results = gateway.addresses["listen"], list[tuple[float, bytes]]()
            await asyncio.sleep(WARM_UP_S)
            before, end = cpu(gateway.process.pid), time.monotonic() + seconds
            load_process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "api_gateway.experiments.connection_load",
                "--press",
                address,
                kind.name,
                str(seconds),
                stdout=asyncio.subprocess.PIPE,
            )
            await asyncio.gather(*(run_light_client(n, address, end, results) for n in range(LIGHT_CLIENTS)))
            counts = json.loads((await load_process.communicate())[0])
            cpu_seconds = cpu(gateway.process.pid) - before
        finally:
            await fleet.stop()
    latencies, served = (
        sorted(latency for latency, _ in results),
        [count.get("served", 0) for count in counts],
    )
    all_served = sum(served) + sum(reply == b"$" for _, reply in results)
    figures = {
        "light: median ms": latencies[len(latencies) // 2] * 1000,
        "light: 99th percentile ms": latencies[int(len(latencies) * 0.99)] * 1000,
        "light: refused %": 100 * sum(reply != b"$" for _, reply in results) / len(results),
        "CPU a served request, ms": 1000 * cpu_seconds / max(1, all_served),
    }
    if kind.churn_clients:
        figures["connections a second"] = sum(served) / seconds
    if kind.pipelines:
        figures["pipelines: served a second"] = sum(served) / seconds
    if kind.pipelines > 1:
        figures["pipelines: Jain's index"] = jain(served[: kind.pipelines])
    if kind.has_other_source:
        figures["pipelines: the other source's part"] = served[-1] / max(1, sum(served))
    return figures


def main() -> None:
    """Run the selected loads and print the figures of each, with and without `edge`."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--pairs", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--kind", choices=[kind.name for kind in KINDS], action="append")
    parser.add_argument("--press", nargs=3, help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.press:
        kind = next(kind for kind in KINDS if kind.name == args.press[1])
        print(json.dumps(uvloop.run(apply_load(args.press[0], kind, float(args.press[2])))))
        return
    for kind in KINDS:
        if args.kind and kind.name not in args.kind:
            continue
        runs: dict[bool, list[dict[str, float]]] = {True: [], False: []}
        for number in range(args.pairs):
            for is_edge_enabled in (True, False) if number % 2 else (False, True):
                runs[is_edge_enabled].append(uvloop.run(measure(kind, is_edge_enabled, args.seconds)))
        for name in runs[True][0]:
            cells = []
            for is_edge_enabled in (False, True):
                values = sorted(run[name] for run in runs[is_edge_enabled])
                cells.append(
                    f"{'on' if is_edge_enabled else 'off'} {statistics.median(values):.4g} "
                    f"({values[0]:.4g} to {values[-1]:.4g})"
                )
            print(f"{kind.name}: {name}: {', '.join(cells)}", flush=True)


if __name__ == "__main__":
    main()
