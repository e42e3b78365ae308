"""An event of the fleet in real processes, where it fits: the list service and hollow gateways, beside the
same event in virtual time. What each gateway is told has to be the same."""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from api_gateway.experiments.scale import machine
from api_gateway.experiments.scale.programs import program
from api_gateway.experiments.scale.rig import RENEWED, ROOT, ZONES, Rig
from api_gateway.experiments.scale.runs import Off, off
from api_gateway.experiments.scale.service import EACH, SETTLE, Play

SHORT = 2.0  # s for which the hosts of the rack count
BEFORE = 1.0  # s in which all know them, before they fall silent
TAKES = 70.0  # s of a size, where hosts are counted until they are removed
FIGURES = ("messages_a_gateway", "bytes_a_gateway", "entries_a_gateway")
SPLIT = "lapses of one moment may fall into two looks of the service"


def foretell(gateways: int, hosts: int, view: int, seconds: float | None) -> dict[str, Any]:
    """The same in virtual time, as events.in_processes tells it. Raises OutOfBounds."""
    return program(
        ["-m", "api_gateway.experiments.scale.events", "processes"],
        ROOT,
        {
            "event": "rack",
            "gateways": gateways,
            "hosts": hosts,
            "zones": len(ZONES),
            "view": view,
            "names": ZONES,
            "after": seconds,
        },
    )


def estimate(gateways: int, hosts: int) -> machine.Estimate:
    crowds = -(-gateways // EACH)
    return machine.Estimate(300.0 + 80.0 * crowds + hosts * gateways / 1000, crowds + 3, TAKES)


async def put(rig: Rig, numbers: Sequence[int], ttl_ms: int) -> None:
    """They register as in virtual time, all at once."""
    await asyncio.gather(*(rig.put(number, rig.changed + 1, ttl_ms) for number in numbers))


async def rack(
    gateways: int, hosts: int, view: int, seconds: float | None = None
) -> tuple[dict[str, float], dict[str, Off]]:
    """What a gateway is told of a rack that goes within some seconds after it lapsed, or until its hosts are
    removed, and how far the same in virtual time is off."""
    told = foretell(gateways, hosts, view, seconds)
    foretold, waits = told["figures"], told["after"] + 2 * told["look"] + told["gather"]
    with tempfile.TemporaryDirectory(prefix="scale-") as folder:
        rig = Rig(Path(folder), hosts, gateways, own=hosts)  # the guard counts those that register
        async with Play(rig, gateways, view, 0) as now:
            await put(rig, range(hosts), RENEWED)
            await now.start()
            await put(rig, told["rack"], int(1000 * SHORT))
            await asyncio.sleep(BEFORE)
            before = await now.lights()
            await asyncio.sleep(SHORT + waits + SETTLE)
            after = await now.lights()
    figures = {
        name: sum(b[key] - a[key] for a, b in zip(before, after, strict=True)) / gateways
        for name, key in zip(FIGURES, ("news", "news_body", "entries"), strict=True)
    }
    compared = {
        name: Off(
            figures[name],
            foretold[name],
            off(figures[name], foretold[name]),
            "virtual time" if name == "entries_a_gateway" else SPLIT,
        )
        for name in FIGURES
    }
    return figures, compared
