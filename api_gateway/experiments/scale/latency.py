"""The path of a request through a real gateway, against a bare relay of the same lines to the same hosts.

Requests come by a schedule whatever the answers, from a thread of its own, and times count from when one was
written. Hosts tell when they had a command and when they answered it (`timed`), so the time that a request
takes outside of its host is known: what the gateway adds is that time, less the same through the relay. Few
processes stand for many hosts: each listens for several entries of the list. The settings name as many
gateways as stand beside so many hosts in a fleet of 4,200 and 56,000. A second gateway, whose requests are
stamped on their way (`stamped`), tells by part of the path where that time is spent.
"""

from __future__ import annotations

import asyncio
import gc
import itertools
import json
import math
import random
import tempfile
import threading
import time
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import hiredis
from hdrh.histogram import HdrHistogram

from api_gateway.demo.traffic import encode
from api_gateway.emulators.site import Json
from api_gateway.experiments.scale import machine
from api_gateway.experiments.scale.rig import Real, Rig, entry
from api_gateway.experiments.scale.timed import read_told
from api_gateway.supervisor.process import ManagedProcess

PROCESSES, WORK = 2, 0.005  # of hosts, which wait without work; s that each command takes
CUSTOMERS = 1000
GATEWAYS, HOSTS = 4200, 56_000
WARM = 8.0  # s, in which a connection to nearly each host that a gateway uses comes up
WARM_RELAY = 1.0  # s, for the relay's own
LONGEST = 10_000_000  # us that are told apart
PLAN: Json = {"name": "open", "rate": 1e5, "most_at_once": 1e6}  # nobody is beyond quota here
PERCENTILES = (50, 90, 99, 99.9)
SLOWEST = 0.01  # part of the requests whose parts are told beside the percentile
RELAY_MOST = 0.25  # part of the hosts' time that the relay's 99th percentile may take outside of them, or the
# load's be late by: past it the point was disturbed and counts as failed
STAMPED = "api_gateway.experiments.scale.stamped"
SERVED = ("host", "work")  # parts that are the host's own

# What a part of the page is the sum of, in parts of `joined`; each other part is one of its own.
GROUPS: dict[str, tuple[str, ...]] = {
    "loop": ("arrive", "to_host", "from_host", "back"),
    "sockets": ("read", "send", "answer"),
    "connection": ("settle", "connect"),
}


@dataclass(slots=True)
class Asked:
    """A request: when it was written and answered, when its host had it and was done with it, s."""

    name: str
    written: float
    read: float = 0.0
    came: float = 0.0
    went: float = 0.0
    served: bool = False

    @property
    def whole(self) -> float:
        return self.read - self.written

    @property
    def outside(self) -> float:
        return self.whole - (self.went - self.came)


class Line(asyncio.Protocol):
    """A connection; one command at a time."""

    def __init__(self, load: Load) -> None:
        self.load, self.parser = load, hiredis.Reader(notEnoughData=...)
        self.asked: Asked | None = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def ask(self, asked: Asked, command: bytes) -> None:
        self.asked, asked.written = asked, time.monotonic()
        self.transport.write(command)

    def data_received(self, data: bytes) -> None:
        now = time.monotonic()
        self.parser.feed(data)
        if (answer := self.parser.gets()) is not ...:
            self.ended(now, answer)

    def ended(self, now: float, answer: Any) -> None:
        asked, self.asked = self.asked, None
        if asked is None:
            return
        asked.read = now
        value = answer[0] if isinstance(answer, list) else answer
        if isinstance(value, bytes):
            asked.came, asked.went = read_told(value)
            asked.served = True
        self.load.answered(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.ended(time.monotonic(), None)


class Load:
    """Requests at one rate to one place."""

    def __init__(self, place: str, rate: float, seed: int) -> None:
        self.rate, self.rng, self.seed = rate, random.Random(seed), seed
        host, _, port = place.rpartition(":")
        self.address, self.idle = (host, int(port)), list[Line]()
        self.loop, self.tasks = asyncio.get_running_loop(), set[asyncio.Task[None]]()
        self.asked, self.late = list[Asked](), list[float]()
        self.number = self.open = 0
        self.none_open = asyncio.Event()

    def due(self, at: float) -> None:
        self.number += 1
        self.open += 1
        self.none_open.clear()
        self.late.append(time.monotonic() - at)
        if self.idle:
            self.ask(self.idle.pop())
        else:
            task = self.loop.create_task(self.connect())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def connect(self) -> None:
        _, line = await self.loop.create_connection(lambda: Line(self), *self.address)
        self.ask(line)

    def ask(self, line: Line) -> None:
        asked = Asked(f"{self.seed:x}-{id(self):x}-{self.number}-{len(self.asked)}", 0.0)
        self.asked.append(asked)
        line.ask(
            asked,
            encode(
                [
                    b"API.READ",
                    b"%016x" % self.rng.randrange(CUSTOMERS),
                    asked.name.encode(),
                    b"c=reading,t=open,d=3000,units=1,spread=1,first=0",
                ]
            ),
        )

    def answered(self, line: Line) -> None:
        self.open -= 1
        if not self.open:
            self.none_open.set()
        if not line.transport.is_closing():
            self.idle.append(line)

    def pace(self, seconds: float, gaps: random.Random) -> None:
        """In a thread: the loop's own timers tick in milliseconds."""
        at = time.monotonic()
        end = at + seconds
        while at < end:
            time.sleep(max(0.0, at - time.monotonic()))
            self.loop.call_soon_threadsafe(self.due, at)
            at += gaps.expovariate(self.rate)

    async def run(self, seconds: float) -> None:
        thread = threading.Thread(
            target=self.pace, args=(seconds, random.Random(self.rng.random())), daemon=True
        )
        thread.start()
        while thread.is_alive():
            await asyncio.sleep(0.05)
        await asyncio.sleep(0)  # what the thread told last
        if self.open:
            await self.none_open.wait()

    async def measured(self, seconds: float, warm: float) -> None:
        """Once connections are up and means have settled. No pause for garbage falls into it."""
        await self.run(warm)
        gc.collect()
        gc.disable()
        self.asked, self.late = [], []
        try:
            await self.run(seconds)
        finally:
            gc.enable()
        for line in self.idle:
            line.transport.close()


def percentile(values: Iterable[float], part: float) -> float:
    """Of times in s; in ms."""
    times = HdrHistogram(1, LONGEST, 3)
    for value in values:
        times.record_value(min(LONGEST, max(1, round(1e6 * value))))
    return times.get_value_at_percentile(part) / 1000


async def added(
    hosts: int, view: int, rate: float, seconds: float, seed: int, edge: bool = False
) -> tuple[dict[str, float], list[str]]:
    """The figures, and what disturbed them. `view`: hosts that a gateway is told of; 0: all. `edge`: clients
    have their commands taken in turns."""
    gateways = max(2, round(hosts * GATEWAYS / HOSTS))
    with tempfile.TemporaryDirectory(prefix="scale-") as text:
        folder = Path(text)
        program = "api_gateway.experiments.scale.timed"
        parts = [ManagedProcess(f"host-{n}", folder, program, str(WORK)) for n in range(PROCESSES)]
        try:
            await asyncio.gather(*(part.start(reports_addresses=True) for part in parts))
            places = [part.addresses["listen"] for part in parts]
            listed = [entry(n) | {"addr": places[n % PROCESSES]} for n in range(hosts)]
            relay = ManagedProcess("relay", folder, "api_gateway.experiments.scale.relay", *places)
            parts.append(relay)
            await relay.start(reports_addresses=True)
            more: Json = ({"view": {"size": view}} if view else {}) | ({"edge": {}} if edge else {})
            async with Rig(folder, hosts, gateways, more=more, listed=listed) as rig:
                await rig.start(0, with_plan)
                await rig.start(1, with_plan, STAMPED, {"STAMPS": str(folder / "stamps.json")})
                return await beside(rig, relay, rate, seconds, seed)
        finally:
            await asyncio.gather(*(part.stop() for part in parts))


def with_plan(tree: Json) -> Json:
    return tree | {"settings": tree["settings"] | {"plans": [PLAN]}}


async def beside(
    rig: Rig, relay: ManagedProcess, rate: float, seconds: float, seed: int
) -> tuple[dict[str, float], list[str]]:
    """Each alone: the relay for half of its time, the gateway, the stamped gateway, the relay again."""
    plain, stamped = rig.real
    assert relay.process is not None
    at, number = relay.addresses["listen"], relay.process.pid
    figures, loads = dict[str, float](), dict[str, list[Load]]()
    cpu, asked = dict[str, float](), dict[str, int]()
    for turn, (name, place, pid, part) in enumerate(
        (
            ("relay", at, number, 0.5),
            ("gateway", plain.part.addresses["listen"], plain.number, 1.0),
            ("stamped", stamped.part.addresses["listen"], stamped.number, 1.0),
            ("relay", at, number, 0.5),
        )
    ):
        load, before = Load(place, rate, seed + 1000 * (turn > 2)), machine.cpu_ms(pid)
        await load.measured(part * seconds, WARM_RELAY if name == "relay" else WARM)
        cpu[name] = cpu.get(name, 0.0) + machine.cpu_ms(pid) - before
        asked[name] = asked.get(name, 0) + load.number
        loads.setdefault(name, []).append(load)
    for name, some in loads.items():
        figures |= told(name, [one for load in some for one in load.asked])
        figures[f"{name}_cpu_ms_a_request"] = cpu[name] / asked[name]
    for name, label in (("gateway", "added"), ("stamped", "stamped_added")):
        figures |= {
            f"{label}_p{part:g}_ms": figures[f"{name}_outside_p{part:g}_ms"]
            - figures[f"relay_outside_p{part:g}_ms"]
            for part in PERCENTILES
        }
    figures["hosts_p99_ms"] = percentile(
        (one.went - one.came for load in loads["relay"] for one in load.asked if one.served), 99
    )
    figures["load_late_p99_ms"] = max(percentile(load.late, 99) for some in loads.values() for load in some)
    figures["rss_mb"] = machine.resident_mb(plain.number)
    figures["counts_a_request"] = plain.counts.calls / max(1, asked["gateway"])
    stamps = await left(stamped, rig.folder / "stamps.json")
    figures |= by_part(loads["stamped"][0].asked, stamps["requests"])
    figures |= garbage(stamps["pauses"], loads["stamped"][0].asked)
    return figures, disturbed(figures)


def told(name: str, asked: list[Asked]) -> dict[str, float]:
    served = [one for one in asked if one.served]
    figures = {f"{name}_not_served": 1 - len(served) / max(1, len(asked))}
    for part in PERCENTILES:
        figures[f"{name}_p{part:g}_ms"] = percentile((one.whole for one in served), part)
        figures[f"{name}_outside_p{part:g}_ms"] = percentile((one.outside for one in served), part)
    return figures


async def left(real: Real, path: Path) -> Json:
    """What a stamped gateway leaves at its end."""
    await real.part.stop()
    return json.loads(path.read_text())


def disturbed(figures: dict[str, float]) -> list[str]:
    """Why the figures are not the gateway's: what is about the relay or the load alone says it."""
    most, found = 1000 * WORK * RELAY_MOST, list[str]()
    for name, what in (
        ("relay_outside_p99_ms", "the bare relay took outside of its hosts"),
        ("load_late_p99_ms", "the load was late by"),
    ):
        if figures[name] > most:
            found.append(f"disturbed: {what} {figures[name]:.1f} ms for 99 in 100, {most:g} are the most")
    if figures["relay_not_served"] > 0:
        found.append(f"disturbed: {figures['relay_not_served']:.1%} were not served through the bare relay")
    return found


# By part of the path


def joined(asked: Asked, trace: Json) -> dict[str, float]:
    """The parts of a request, s; they sum to its whole. Those of the gateway, and between processes: the wait
    of what was written until its reader turns to it, which is the kernel and the reader's loop."""
    spent = {name: value for name, value in trace["spent"].items() if name != "host"}
    return {
        "arrive": trace["began"] - asked.written,
        **spent,
        "to_host": asked.came - trace["written"],
        "work": asked.went - asked.came,
        "from_host": trace["heard"] - asked.went,
        "back": asked.read - trace["ended"],
    }


def by_part(asked: list[Asked], traces: dict[str, Json]) -> dict[str, float]:
    """Of what is spent outside of the hosts: the 99th percentile of each part alone, its mean, and its mean
    among the slowest requests, which sums over the parts."""
    rows = [
        (one.outside, joined(one, traces[one.name])) for one in asked if one.served and one.name in traces
    ]
    if not rows:
        return {}
    rows.sort(key=lambda row: row[0])
    slow = rows[-max(1, math.ceil(SLOWEST * len(rows))) :]
    figures = {
        "slow_all_ms": mean(outside for outside, _ in slow),
        "slow_requests": float(len(slow)),
        "mean_all_ms": mean(outside for outside, _ in rows),
    }
    for name, members in itertools.chain(singles(rows[0][1]), GROUPS.items()):
        figures[f"part_{name}_p99_ms"] = percentile((of(row, members) for _, row in rows), 99)
        figures[f"mean_{name}_ms"] = mean(of(row, members) for _, row in rows)
        figures[f"slow_{name}_ms"] = mean(of(row, members) for _, row in slow)
    return figures


def singles(row: dict[str, float]) -> Iterator[tuple[str, tuple[str, ...]]]:
    return ((name, (name,)) for name in row if name not in SERVED)


def of(row: dict[str, float], members: tuple[str, ...]) -> float:
    return sum(row[name] for name in members)


def mean(values: Iterable[float]) -> float:
    """Of times in s; in ms."""
    held = list(values)
    return 1000 * sum(held) / max(1, len(held))


def garbage(pauses: list[tuple[float, float, int]], asked: list[Asked]) -> dict[str, float]:
    """The pauses of the gateway's process while it was measured."""
    if not asked:
        return {}
    began, ended = asked[0].written, max(one.read for one in asked)
    within = [(length, generation) for at, length, generation in pauses if began <= at <= ended]
    return {
        "pauses_s": sum(length for length, _ in within) / (ended - began),
        "pause_longest_ms": 1000 * max((length for length, _ in within), default=0.0),
        "pauses_full": float(sum(generation == 2 for _, generation in within)),
    }
