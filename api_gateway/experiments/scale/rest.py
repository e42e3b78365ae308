"""A real gateway without clients by the size of the list: at rest, and while hosts change."""

from __future__ import annotations

import asyncio
import tempfile
import time
from pathlib import Path

from api_gateway.experiments.scale import machine
from api_gateway.experiments.scale.rig import ROOT, Real, Rig

SETTLE = 2.0  # s after the start
DAY = 86_400.0  # s
RESTARTS, ENTRIES = 5400, 4  # of hosts on the operators' day, and entries of the list for each
PACE = 4.0  # changes a second, as a rollout of 3 to 6; a change's figures are above those at rest


async def rest(
    hosts: int, view: int, seconds: float, number: int = 1234, tree: Path = ROOT
) -> dict[str, float]:
    more = {"view": {"size": view}} if view else {}
    with tempfile.TemporaryDirectory(prefix="scale-") as folder:
        async with Rig(Path(folder), hosts, more=more, tree=tree) as rig:
            ready = await rig.start(number)
            (real,) = rig.real
            await asyncio.sleep(SETTLE)
            start = real.lists.counts()
            figures = {"ready_s": ready, "start_bytes_in": float(start[1])}
            at_rest = await spent(real, asyncio.sleep(seconds), seconds)
            figures |= {
                f"{name}_s": at_rest[name] / seconds for name in ("bytes_in", "bytes_out", "messages")
            }
            figures["cpu_share"] = at_rest["cpu_ms"] / seconds / 1000
            figures["rss_mb"] = machine.resident_mb(real.number)
            changes = int(PACE * seconds)
            moved = await spent(real, rig.changes(PACE, seconds), seconds)
            figures |= {f"{name}_a_change": (moved[name] - at_rest[name]) / changes for name in moved}
            figures["rss_after_mb"] = machine.resident_mb(real.number)
    day = RESTARTS * ENTRIES / DAY
    figures["cpu_share_day"] = figures["cpu_share"] + day * figures["cpu_ms_a_change"] / 1000
    figures["bytes_in_s_day"] = figures["bytes_in_s"] + day * figures["bytes_in_a_change"]
    return figures


async def spent(real: Real, act: object, seconds: float) -> dict[str, float]:
    """What a gateway takes while something goes on, which lasts for `seconds`."""
    before, cpu, began = wires(real), machine.cpu_ms(real.number), time.monotonic()
    await act  # type: ignore[misc]
    await asyncio.sleep(max(0.0, began + seconds - time.monotonic()))
    out, back, calls = (now - then for now, then in zip(wires(real), before, strict=True))
    return {
        "cpu_ms": machine.cpu_ms(real.number) - cpu,
        "bytes_out": float(out),
        "bytes_in": float(back),
        "messages": float(calls),
    }


def wires(real: Real) -> tuple[int, int, int]:
    """Bytes out and in, and calls, of list service and counter together."""
    one, other = real.lists.counts(), real.counts.counts()
    return one[0] + other[0], one[1] + other[1], one[2] + other[2]
