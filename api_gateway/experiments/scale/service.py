"""The list service under many watchers: hollow gateways, some hundreds a process, beside real ones.

A change counts as told once the last watcher of it has it. The first hollow gateways have the numbers of the
real ones, and so their views: over the same changes these have to get the same bytes in as many answers. CPU
and memory are those of one full hollow gateway in a process, beside the real one that has its number: others
are told of other changes. What counts is the median pair, as other work on the machine may strike any one.
"""

from __future__ import annotations

import asyncio
import json
import statistics
import tempfile
import time
from pathlib import Path

from api_gateway.experiments.scale import machine
from api_gateway.experiments.scale.crowds import Crowd
from api_gateway.experiments.scale.rig import Rig, Wire
from api_gateway.experiments.scale.runs import Off, off
from api_gateway.supervisor.errors import StartError
from api_gateway.supervisor.process import ManagedProcess

MOST_OFF = 0.15
NO_SOCKET = "no socket for clients"
EACH = 200  # hollow gateways a process
REAL = 5  # so that a pair or two that are disturbed don't count
CHANGES, EVERY = 20, 0.4  # of hosts, and s between them: no watch ends meanwhile without news
COUNTED = 8.0  # s at rest at least, in which a gateway takes some 20 ms of CPU
SETTLE, WITHIN = 0.3, 120.0  # s: in which the next watch goes out; for all to have what is told
LEAN_MB, FULL_MB, HOST_KB = 60.0, 60.0, 2.0  # estimates: of a process of each kind, and of a host in a list

Counts = list[dict[str, float]]


class Hollow:
    """A process of hollow gateways."""

    def __init__(self, part: ManagedProcess) -> None:
        self.part, self.wires = part, list[Wire]()

    async def start(self) -> None:
        await self.part.start(reports_addresses=True)
        host, _, port = self.part.addresses["listen"].rpartition(":")
        self.line = await asyncio.open_connection(host, int(port), limit=2**22)

    async def counts(self) -> Counts:
        reader, writer = self.line
        writer.write(b"counts\n")
        return json.loads(await reader.readline())["each"]

    @property
    def number(self) -> int:
        assert self.part.process is not None
        return self.part.process.pid

    async def stop(self) -> None:
        await self.part.stop()
        for wire in self.wires:
            await wire.close()


def hollow(rig: Rig, name: str, crowd: Crowd) -> Hollow:
    return Hollow(ManagedProcess(name, rig.folder, "api_gateway.experiments.scale.hollow", crowd.encode()))


class Play:
    """One list service, `gateways` that watch it: the first few real, as many full hollow ones each in a
    process, the others light."""

    def __init__(self, rig: Rig, gateways: int, view: int, real: int = REAL) -> None:
        self.rig, self.view, self.real = rig, view, real
        self.light = gateways - 2 * real
        self.full: list[Hollow] = []
        self.crowds: list[Hollow] = []

    async def __aenter__(self) -> Play:
        await self.rig.__aenter__()
        return self

    async def __aexit__(self, *_: object) -> None:
        await asyncio.gather(*(one.stop() for one in (*self.full, *self.crowds)))
        await self.rig.__aexit__()

    async def start(self) -> float:
        """Seconds from the start of the light ones until each has its list."""
        rig = self.rig
        await asyncio.gather(*(rig.start(n) for n in range(self.real)))
        for n in range(self.real):
            await self.start_full(n)
        numbers = range(self.light)  # the first have the real ones' numbers, and views
        self.crowds = [
            hollow(
                rig,
                f"crowd-{first}",
                Crowd(first, min(EACH, self.light - first), rig.named, rig.service_at, self.view),
            )
            for first in numbers[::EACH]
        ]
        began = time.monotonic()
        await asyncio.gather(*(crowd.start() for crowd in self.crowds))
        await self.told(1)
        return time.monotonic() - began

    async def start_full(self, number: int) -> None:
        """Behind wires, as a real one."""
        rig = self.rig
        lists, counts = Wire(rig.service_at), Wire(rig.counter.addresses["listen"])
        tree = json.loads((rig.folder / "gateway-0.json").read_text()) | {"counter": await counts.open()}
        made = hollow(
            rig, f"hollow-{number}", Crowd(number, 1, rig.named, await lists.open(), self.view, tree=tree)
        )
        made.wires = [lists, counts]
        self.full.append(made)
        await made.start()

    async def every(self) -> Counts:
        return [one for made in (*self.full, *self.crowds) for one in await made.counts()]

    async def lights(self) -> Counts:
        return [one for crowd in self.crowds for one in await crowd.counts()]

    async def watched(self) -> Counts:
        """Of the light ones where there are any: what full ones are asked counts among their CPU."""
        return [one for crowd in self.crowds or self.full for one in await crowd.counts()]

    async def told(self, version: int) -> float:
        """When the last has this version. Raises StartError."""
        end = time.monotonic() + WITHIN
        while time.monotonic() < end:
            each = await self.watched()
            if all(one["version"] >= version for one in each):
                return max(one["at"] for one in each)
            await asyncio.sleep(0.02 + len(each) / 10_000)
        raise StartError(f"{sum(one['version'] < version for one in each)} watchers lack version {version}")

    async def news(self) -> dict[str, list[tuple[int, int]]]:
        """Bytes and answers that brought news: of real ones, full and light hollow ones."""
        light = [(int(one["news_back"]), int(one["news"])) for one in await self.lights()]
        return {
            "real": [real.lists.news() for real in self.rig.real],
            "hollow": [made.wires[0].news() for made in self.full],
            "light": light,
        }

    async def change(self) -> float | None:
        """A host starts anew; seconds until the last that watches it has that. None: nobody does."""
        began = time.monotonic()
        version = await self.rig.change()
        if not self.view:
            return await self.told(version) - began
        await asyncio.sleep(EVERY)
        heard = [one["at"] for one in await self.watched() if one["at"] > began]
        return max(heard) - began if heard else None


def estimate(hosts: int, gateways: int, view: int, seconds: float) -> machine.Estimate:
    """What a play takes; lists that are told whole are kept as objects."""
    listed = min(hosts, view or hosts)
    light, crowds = gateways - 2 * REAL, -(-gateways // EACH)
    mb = (
        2 * REAL * (FULL_MB + listed * HOST_KB / 1000)
        + crowds * LEAN_MB
        + 100
        + hosts * HOST_KB / 1000
        + light * (0.15 + listed * HOST_KB / 2000)
    )
    return machine.Estimate(mb, 2 * REAL + crowds + 3, 60 + seconds + CHANGES * EVERY)


async def play(
    hosts: int, gateways: int, view: int, seconds: float, real: int = REAL
) -> tuple[dict[str, float], dict[str, Off], list[str]]:
    """Figures, how far hollow ones are off, and what failed."""
    more = {"view": {"size": view}} if view else {}
    with tempfile.TemporaryDirectory(prefix="scale-") as folder:
        async with Play(Rig(Path(folder), hosts, more=more), gateways, view, real) as now:
            ready = await now.start()
            await now.change()
            await asyncio.sleep(SETTLE)
            figures, rest, compared = await at_rest(now, seconds)
            moved, more_compared = await changing(now, rest)
            figures |= {"ready_s": ready, **moved}
            compared |= more_compared
            figures["failures"] = sum(one["failures"] for one in await now.every())
    failed = [
        f"{name}: hollow {it.hollow:.6g}, real {it.real:.6g}"
        for name, it in compared.items()
        if it.off > (0.0 if name.startswith(("bytes", "messages")) else MOST_OFF)
    ]
    return figures, compared, failed


async def at_rest(now: Play, seconds: float) -> tuple[dict[str, float], float, dict[str, Off]]:
    """Figures; CPU in ms a second of the service; real gateways and hollow ones compared."""
    before, takes, began = await totals(now), cpu_of(now), time.monotonic()
    await asyncio.sleep(seconds)
    rest = cpu_since(now, takes, time.monotonic() - began)
    after, count = await totals(now), max(1, now.light)
    figures = {
        "cpu_share_rest": rest["service"][0] / 1000,
        "rss_mb": machine.resident_mb(numbers_of(now)["service"][0]),
    }
    for name, of in (("bytes_in_s_rest", "out"), ("bytes_out_s_rest", "back"), ("messages_s_rest", "calls")):
        figures[name] = (after[of] - before[of]) / seconds / count
    memory = {
        side: [machine.resident_mb(number) for number in numbers] for side, numbers in numbers_of(now).items()
    }
    compared = {
        "cpu_share_rest": by_pair(rest, 1000.0, NO_SOCKET),
        "rss_mb": by_pair(memory, 1.0, "the lab's own code beside the gateway's"),
    }
    return figures, rest["service"][0], compared


async def totals(now: Play) -> dict[str, float]:
    """Over the light ones."""
    each = await now.lights()
    return {name: sum(one[name] for one in each) for name in ("out", "back", "calls")}


async def changing(now: Play, rest: float) -> tuple[dict[str, float], dict[str, Off]]:
    before, takes, times, began = await now.news(), cpu_of(now), list[float](), time.monotonic()
    for number in range(CHANGES):
        if (took := await now.change()) is not None:
            times.append(took)
        await asyncio.sleep(max(0.0, began + (number + 1) * EVERY - time.monotonic()))
    await asyncio.sleep(SETTLE)
    seconds = time.monotonic() - began
    share = cpu_since(now, takes, seconds)
    cpu = (share["service"][0] - rest) * seconds / CHANGES
    after = await now.news()
    rows = {
        side: [(b[0] - a[0], b[1] - a[1]) for a, b in zip(before[side], after[side], strict=True)]
        for side in after
    }
    watchers = rows["light"] or rows["real"]
    figures = {
        "cpu_ms_a_change": cpu,
        "cpu_ms_a_change_gateway": cpu / (now.light + 2 * now.real),
        "bytes_a_change_gateway": statistics.fmean(row[0] for row in watchers) / CHANGES,
        "messages_a_change_gateway": statistics.fmean(row[1] for row in watchers) / CHANGES,
    }
    if times:
        figures |= {"last_ms": 1000 * statistics.median(times), "last_most_ms": 1000 * max(times)}
    return figures, compare(rows) | {"cpu_share_changing": by_pair(share, 1000.0, NO_SOCKET)}


def numbers_of(now: Play) -> dict[str, list[int]]:
    assert now.rig.service.process is not None
    return {
        "real": [real.number for real in now.rig.real],
        "hollow": [one.number for one in now.full],
        "service": [now.rig.service.process.pid],
    }


def cpu_of(now: Play) -> dict[str, list[float]]:
    return {side: [machine.cpu_ms(number) for number in numbers] for side, numbers in numbers_of(now).items()}


def cpu_since(now: Play, before: dict[str, list[float]], seconds: float) -> dict[str, list[float]]:
    """CPU in ms a second of each."""
    return {
        side: [(b - a) / seconds for a, b in zip(before[side], numbers, strict=True)]
        for side, numbers in cpu_of(now).items()
    }


def compare(rows: dict[str, list[tuple[int, int]]]) -> dict[str, Off]:
    """What has to be equal: each real gateway beside the hollow ones with its number; the furthest apart."""
    compared = dict[str, Off]()
    for column, name in enumerate(("bytes_in_a_change", "messages_a_change")):
        pairs = [
            (real[column] / CHANGES, rows[side][number][column] / CHANGES)
            for number, real in enumerate(rows["real"])
            for side in ("hollow", "light")
            if number < len(rows[side])
        ]
        real, hollow = max(pairs, key=lambda pair: off(*pair))
        compared[name] = beside(real, hollow)
    return compared


def by_pair(sides: dict[str, list[float]], unit: float, difference: str) -> Off:
    """Each real gateway beside the hollow one that has its number: the pair in the middle, by their ratio."""
    pairs = sorted(zip(sides["real"], sides["hollow"], strict=True), key=lambda pair: pair[1] / pair[0])
    real, hollow = pairs[len(pairs) // 2]
    return beside(real / unit, hollow / unit, difference)


def beside(real: float, hollow: float, difference: str = "") -> Off:
    return Off(real, hollow, off(real, hollow), difference)
