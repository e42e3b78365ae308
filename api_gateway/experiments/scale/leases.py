"""The counter's stand-in under the lease calls of hollow gateways: processes of lessees.py."""

from __future__ import annotations

import asyncio
import json
import tempfile
import time
from pathlib import Path

from api_gateway.experiments.scale import machine
from api_gateway.experiments.scale.demand import RATE
from api_gateway.experiments.scale.rig import Wire
from api_gateway.experiments.scale.service import Hollow
from api_gateway.supervisor.process import ManagedProcess

EACH = 25  # gateways a process
SETTLE = 2.0  # s


def lessees(folder: Path, first: int, count: int, counter: str) -> Hollow:
    told = json.dumps({"first": first, "count": count, "counter": counter})
    return Hollow(ManagedProcess(f"lessees-{first}", folder, "api_gateway.experiments.scale.lessees", told))


def estimate(requests: int, seconds: float) -> machine.Estimate:
    gateways = max(1, requests // RATE)
    return machine.Estimate(
        300.0 + 60.0 * (gateways / EACH + 1) + gateways * 0.5,
        4 + gateways // EACH,
        30.0 + SETTLE + seconds + gateways / 10,
    )


async def leased(requests: int, seconds: float) -> dict[str, float]:
    """Of the stand-in, by requests a second of all gateways; bytes are those of one gateway's calls times all
    of them."""
    gateways = max(1, requests // RATE)
    with tempfile.TemporaryDirectory(prefix="scale-") as text:
        folder = Path(text)
        counter = ManagedProcess("counter", folder, "api_gateway.cli", "standin", "counter")
        await counter.start(reports_addresses=True)
        assert counter.process is not None
        number, place = counter.process.pid, counter.addresses["listen"]
        wire, made = Wire(place), list[Hollow]()
        empty = machine.resident_mb(number)
        try:
            made = [
                lessees(folder, 0, 1, await wire.open()),
                *(
                    lessees(folder, first, min(EACH, gateways - first), place)
                    for first in range(1, gateways, EACH)
                ),
            ]
            await asyncio.gather(*(one.start() for one in made))
            await asyncio.sleep(SETTLE)
            before, counts, cpu = await each(made), wire.counts(), machine.cpu_ms(number)
            began = time.monotonic()
            await asyncio.sleep(seconds)
            cpu, took = machine.cpu_ms(number) - cpu, time.monotonic() - began
            after, counts_after = await each(made), wire.counts()
            sent, answered, failed = (
                sum(b[name] - a[name] for a, b in zip(before, after, strict=True))
                for name in ("sent", "answered", "failed")
            )
            out, back, calls = (b - a for a, b in zip(counts, counts_after, strict=True))
            return {
                "cpu_share": cpu / took / 1000,
                "rss_mb": machine.resident_mb(number),
                "rss_empty_mb": empty,
                "messages_s": sent / took,
                "calls_a_request": sent / took / (gateways * RATE),
                "cpu_ms_a_message": cpu / sent,
                "bytes_in_s": out / calls * sent / took,
                "bytes_out_s": back / calls * sent / took,
                "answered_share": answered / sent,
                "failures": failed,
                "connections": float(sum(one["lines"] for one in after)),
            }
        finally:
            await asyncio.gather(*(one.stop() for one in made))
            await counter.stop()
            await wire.close()


async def each(made: list[Hollow]) -> list[dict[str, float]]:
    return [one for process in made for one in await process.counts()]
