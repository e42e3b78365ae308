"""Light clients beside deep pipelines, with turns and without, in pairs.

`python -m api_gateway.experiments.connection_load` plays them.

One gateway by its command and hosts that are stand-ins, each a process; pipelines in one more process, so
that they slow no light client by themselves. Light clients ask on a schedule, and their times count from when
a request was due. Each play is bounded by its seconds.
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

from api_gateway.demo.traffic import Door, Line, encode
from api_gateway.supervisor.local_cluster import LocalCluster

PLAN = {"name": "open", "rate": 1e5, "most_at_once": 1e6}  # nobody is beyond quota here
TERMS = b"c=reading,t=open,d=3000,units=1,spread=1,first=0"
LIGHT, EVERY = 20, 0.1  # light clients; s between two requests of one
CUSTOMERS = 50  # of a pipeline
HOSTS, SLOTS = 4, 16
WARM = 2.0  # s after the start in which hosts that are cold get little, whoever asks
TICK = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True, slots=True)
class Kind:
    """A crowd: pipelines of `depth` commands from one address, and perhaps one from another."""

    name: str
    pipelines: int
    depth: int = 1500
    work: float = 0.002  # s that a host takes for a command
    other: bool = False  # one more pipeline, from another source
    churn: int = 0  # clients that connect, ask once whether the gateway serves, and go, again and again


KINDS = (
    Kind("calm", 0),
    Kind("one pipeline", 1),
    Kind("four pipelines", 4),
    Kind("four, slow hosts", 4, work=0.02),
    Kind("40 of one source beside one", 40, depth=50, other=True),
    Kind("connect and close", 0, churn=16),
)


def command(customer: int, name: bytes) -> bytes:
    return encode([b"API.READ", b"%016x" % customer, name, TERMS])


class Pipeline(asyncio.Protocol):
    """Keeps `depth` commands on its connection until it is ended."""

    def __init__(self, number: int, depth: int) -> None:
        self.number, self.depth, self.asked = number, depth, 0
        self.counts: Counter[str] = Counter()
        self.reader, self.answered = hiredis.Reader(notEnoughData=...), 0

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.more(self.depth)

    def more(self, count: int) -> None:
        texts = []
        for _ in range(count):
            self.asked += 1
            customer = self.number * CUSTOMERS + self.asked % CUSTOMERS
            texts.append(command(customer, b"p%d-%d" % (self.number, self.asked)))
        self.transport.write(b"".join(texts))

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        while (told := self.reader.gets()) is not ...:
            self.counts["served" if isinstance(told, bytes) else "refused"] += 1
            self.answered += 1
        if self.answered > self.depth // 20:
            self.more(self.answered)
            self.answered = 0


async def churn(place: str, end: float, counts: Counter[str]) -> None:
    host, _, port = place.rpartition(":")
    while time.monotonic() < end:
        try:
            line = Line(*await asyncio.open_connection(host, int(port)))
            counts["served" if await line.ask([b"PING"]) == b"+" else "refused"] += 1
            line.writer.close()
        except (OSError, EOFError):
            counts["refused"] += 1


async def press(place: str, kind: Kind, seconds: float) -> list[dict[str, int]]:
    """What each pipeline got, the one of the other source last; or what those that come and go did."""
    host, _, port = place.rpartition(":")
    loop, made = asyncio.get_running_loop(), []
    for number in range(kind.pipelines + kind.other):
        source = ("127.0.0.2", 0) if number == kind.pipelines else None
        _, pipeline = await loop.create_connection(
            lambda number=number: Pipeline(number, kind.depth), host, int(port), local_addr=source
        )
        made.append(pipeline)
    churned: Counter[str] = Counter()
    end = time.monotonic() + seconds
    await asyncio.gather(asyncio.sleep(seconds), *(churn(place, end, churned) for _ in range(kind.churn)))
    for pipeline in made:
        pipeline.transport.abort()
    return [dict(pipeline.counts) for pipeline in made] + ([dict(churned)] if kind.churn else [])


async def light(number: int, place: str, end: float, told: list[tuple[float, bytes]]) -> None:
    """Requests on a schedule, whatever becomes of those before, each on a connection that is free."""
    door, asked, due = Door(place), list[asyncio.Task[None]](), time.monotonic() + EVERY * number / LIGHT

    async def ask(due: float, name: bytes) -> None:
        line = await door.line()
        answer = await line.ask([b"API.READ", b"%016x" % (0x10000 + number), name, TERMS])
        told.append((time.monotonic() - due, answer))
        door.idle.append(line)

    while due < end:
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        asked.append(asyncio.create_task(ask(due, b"l%d-%d" % (number, len(asked)))))
        due += EVERY
    await asyncio.gather(*asked)
    for line in door.idle:
        line.writer.close()


def cpu(number: int) -> float:
    """Seconds of CPU that a process took so far."""
    fields = Path(f"/proc/{number}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICK


def jain(counts: list[int]) -> float:
    """Jain's index of fairness: 1 where all have the same, 1 / n where one has all."""
    square = sum(count * count for count in counts)
    return sum(counts) ** 2 / (len(counts) * square) if square else 0.0


async def play(kind: Kind, on: bool, seconds: float) -> dict[str, float]:
    with tempfile.TemporaryDirectory(prefix="crowd-") as folder:
        fleet = LocalCluster(Path(folder), 1, HOSTS, kind.work, SLOTS, [PLAN], {"edge": {}} if on else {})
        try:
            await fleet.start()
            (gateway,) = fleet.gateways
            assert gateway.process is not None
            place, told = gateway.addresses["listen"], list[tuple[float, bytes]]()
            await asyncio.sleep(WARM)
            before, end = cpu(gateway.process.pid), time.monotonic() + seconds
            presser = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "api_gateway.experiments.connection_load",
                "--press",
                place,
                kind.name,
                str(seconds),
                stdout=asyncio.subprocess.PIPE,
            )
            await asyncio.gather(*(light(n, place, end, told) for n in range(LIGHT)))
            counts = json.loads((await presser.communicate())[0])
            spent = cpu(gateway.process.pid) - before
        finally:
            await fleet.stop()
    times, served = sorted(seconds for seconds, _ in told), [c.get("served", 0) for c in counts]
    all_served = sum(served) + sum(answer == b"$" for _, answer in told)
    figures = {
        "light: median ms": times[len(times) // 2] * 1000,
        "light: 99th percentile ms": times[int(len(times) * 0.99)] * 1000,
        "light: refused %": 100 * sum(answer != b"$" for _, answer in told) / len(told),
        "CPU a served request, ms": 1000 * spent / max(1, all_served),
    }
    if kind.churn:
        figures["connections a second"] = sum(served) / seconds
    if kind.pipelines:
        figures["pipelines: served a second"] = sum(served) / seconds
    if kind.pipelines > 1:
        figures["pipelines: Jain's index"] = jain(served[: kind.pipelines])
    if kind.other:
        figures["pipelines: the other source's part"] = served[-1] / max(1, sum(served))
    return figures


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--pairs", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--kind", choices=[kind.name for kind in KINDS], action="append")
    parser.add_argument("--press", nargs=3, help=argparse.SUPPRESS)
    told = parser.parse_args()
    if told.press:
        kind = next(kind for kind in KINDS if kind.name == told.press[1])
        print(json.dumps(uvloop.run(press(told.press[0], kind, float(told.press[2])))))
        return
    for kind in KINDS:
        if told.kind and kind.name not in told.kind:
            continue
        plays: dict[bool, list[dict[str, float]]] = {True: [], False: []}
        for number in range(told.pairs):
            for on in (True, False) if number % 2 else (False, True):
                plays[on].append(uvloop.run(play(kind, on, told.seconds)))
        for name in plays[True][0]:
            cells = []
            for on in (False, True):
                values = sorted(play[name] for play in plays[on])
                cells.append(
                    f"{'on' if on else 'off'} {statistics.median(values):.4g} "
                    f"({values[0]:.4g} to {values[-1]:.4g})"
                )
            print(f"{kind.name}: {name}: {', '.join(cells)}", flush=True)


if __name__ == "__main__":
    main()
