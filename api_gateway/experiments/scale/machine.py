"""The machine that a run is on: a yardstick of work, what it is, and bounds that a run keeps to."""

from __future__ import annotations

import asyncio
import os
import statistics
import subprocess
import sys
import time
from collections.abc import Coroutine
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

MOST_MB = 12_000.0  # of memory that a run takes with all that it started
MOST_PROCESSES = 300
MOST_SECONDS = 600.0
LOOPS = 50_000  # of the yardstick
LOOK = 1.0  # s between looks whether a run is within its bounds
PAGE, TICK = os.sysconf("SC_PAGE_SIZE"), os.sysconf("SC_CLK_TCK")

T = TypeVar("T")


class OutOfBounds(Exception):
    """A run is larger than a run may be; the text says by what."""


@dataclass(frozen=True, slots=True)
class Estimate:
    """What a run is going to take, all processes together."""

    mb: float
    processes: int
    seconds: float

    def check(self) -> None:
        """Raises OutOfBounds, before anything is started."""
        for what, value, most in (
            ("MB of memory", self.mb, MOST_MB),
            ("processes", self.processes, MOST_PROCESSES),
            ("seconds", self.seconds, MOST_SECONDS),
        ):
            if value > most:
                raise OutOfBounds(f"about {value:.0f} {what} are needed, {most:.0f} are the most")


def yardstick(rounds: int = 5) -> float:
    """Median CPU in ms of a fixed piece of work in Python: integers, a dict and calls, nothing of the
    project."""
    return statistics.median(stroke() for _ in range(rounds))


def stroke() -> float:
    began = time.process_time()
    held: dict[int, int] = {}
    value = 1
    for number in range(LOOPS):
        value = (value * 1_103_515_245 + 12_345) & 0x7FFFFFFF
        held[value & 1023] = max(number, held.get(value & 1023, 0))
    return (time.process_time() - began) * 1000


def machine() -> dict[str, Any]:
    """What may be said of it without naming it."""
    return {
        "cpus": os.cpu_count(),
        "model": model(),
        "memory_mb": memory_mb(),
        "python": ".".join(str(part) for part in sys.version_info[:3]),
    }


def model() -> str:
    lines = Path("/proc/cpuinfo").read_text().splitlines()
    return next((line.partition(":")[2].strip() for line in lines if line.startswith("model name")), "")


def memory_mb() -> int:
    line = Path("/proc/meminfo").read_text().splitlines()[0]
    return int(line.split()[1]) // 1024


def build(tree: Path) -> str:
    """The last commit of a work tree that changed what is measured, which the lab itself is not; "-dirty"
    where that has changed since."""

    def git(*args: str) -> str:
        return subprocess.run(
            ["git", "-C", str(tree), *args, "--", "api_gateway", "deploy", ":!api_gateway/experiments"],
            capture_output=True,
            text=True,
            check=True,
        ).stdout.strip()

    changed = git("status", "--porcelain", "--untracked-files=no")
    return git("log", "-1", "--format=%h", "--abbrev=12") + ("-dirty" if changed else "")


# Processes


def cpu(number: int) -> float:
    """Seconds of CPU that a process took so far."""
    fields = Path(f"/proc/{number}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICK


def cpu_ms(number: int) -> float:
    """The same by the scheduler's own clock, in ms: finer than ticks; of the threads that are there."""
    return (
        sum(
            int((task / "schedstat").read_text().split()[0])
            for task in Path(f"/proc/{number}/task").iterdir()
        )
        / 1e6
    )


def resident_mb(number: int) -> float:
    return int(Path(f"/proc/{number}/statm").read_text().split()[1]) * PAGE / 2**20


def family(number: int) -> list[int]:
    """A process and all that descend from it."""
    found, pending = list[int](), [number]
    while pending:
        at = pending.pop()
        try:
            children = [
                int(child)
                for task in Path(f"/proc/{at}/task").iterdir()
                for child in (task / "children").read_text().split()
            ]
        except (FileNotFoundError, ProcessLookupError):
            continue
        found.append(at)
        pending += children
    return found


def within_bounds(began: float) -> None:
    """Raises OutOfBounds where this process and all that it started take more than a run may."""
    numbers, mb = family(os.getpid()), 0.0
    for number in numbers:
        try:
            mb += resident_mb(number)
        except (FileNotFoundError, ProcessLookupError):
            continue  # it has ended meanwhile
    if mb > MOST_MB:
        raise OutOfBounds(f"the run takes {mb:.0f} MB, {MOST_MB:.0f} are the most")
    if len(numbers) > MOST_PROCESSES:
        raise OutOfBounds(f"the run has {len(numbers)} processes, {MOST_PROCESSES} are the most")
    if time.monotonic() - began > MOST_SECONDS:
        raise OutOfBounds(f"the run takes more than {MOST_SECONDS:.0f} s")


async def bounded(play: Coroutine[Any, Any, T]) -> T:
    """What a play gives; it is ended where it leaves the bounds. Raises OutOfBounds."""
    began, task = time.monotonic(), asyncio.create_task(play)
    try:
        while not (await asyncio.wait([task], timeout=LOOK))[0]:
            within_bounds(began)
        return task.result()
    finally:
        if not task.done():
            task.cancel()
            await asyncio.wait([task])
