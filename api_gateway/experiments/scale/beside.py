"""What stands beside the list: the cluster that gateways form, and the grantor of budgets, by gateways.

Members and holders are the gateway's own, some tens a process; what one of them takes is what a process of
them takes above an empty one. Some real gateways are in the cluster, as many and for as long as it takes for
chance not to pass for a difference. Real ones have no client of the grantor.
"""

from __future__ import annotations

import asyncio
import json
import socket
import statistics
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from api_gateway.budgets.config import ConfigFile
from api_gateway.budgets.settings import LEVEL, Budget, BudgetSettings
from api_gateway.experiments.scale import machine
from api_gateway.experiments.scale.rig import Rig, Wire
from api_gateway.experiments.scale.runs import Off, off
from api_gateway.experiments.scale.service import Hollow
from api_gateway.supervisor.errors import StartError
from api_gateway.supervisor.ports import free_port
from api_gateway.supervisor.process import ManagedProcess

EACH = 50  # a process
REAL = 5
SETTLE = 60.0  # s at most until all know each other, or have a grant
TOLD_EACH = 1.0  # s a member, at most, until none has rumours left to pass on
COUNTED = 30.0  # s at least over which datagrams of members are counted: some eighty of each
BUDGETS = 5
CHANCE = "whom a member asks is drawn"


class Crowds:
    """Processes of one kind, and an empty one that tells what a process takes by itself."""

    def __init__(self, folder: Path, told: dict[str, Any], count: int) -> None:
        self.count, self.made = count, list[Hollow]()
        for first in range(0, count, EACH):
            self.made.append(crowd(folder, told, first, min(EACH, count - first)))
        self.empty = crowd(folder, told, count, 0)

    async def __aenter__(self) -> Crowds:
        await asyncio.gather(*(one.start() for one in (*self.made, self.empty)))
        return self

    async def __aexit__(self, *_: object) -> None:
        await asyncio.gather(*(one.stop() for one in (*self.made, self.empty)))

    async def each(self) -> list[dict[str, float]]:
        return [one for made in self.made for one in await made.counts()]

    def cpu(self) -> float:
        """In ms, of all."""
        return sum(machine.cpu_ms(made.number) for made in self.made)

    def mb(self) -> float:
        """Of one of them."""
        empty = machine.resident_mb(self.empty.number)
        return sum(machine.resident_mb(made.number) - empty for made in self.made) / self.count

    async def until(self, fits: Any, within: float = SETTLE) -> None:
        """Raises StartError."""
        began = time.monotonic()
        while not all(fits(one) for one in await self.each()):
            if time.monotonic() - began > within:
                raise StartError(f"not all of {self.count} came up within {within:.0f} s")
            await asyncio.sleep(0.5)


def crowd(folder: Path, told: dict[str, Any], first: int, count: int) -> Hollow:
    args = json.dumps(told | {"first": first, "count": count})
    return Hollow(
        ManagedProcess(f"crowd-{first}-{count}", folder, "api_gateway.experiments.scale.parts", args)
    )


def estimate(count: int, seconds: float, told: float = 0.0) -> machine.Estimate:
    """`told`: s in which members pass on what is new."""
    processes = count // EACH + 2
    mb = 60.0 * processes + count * count / 1000 + 400
    return machine.Estimate(mb, processes + 2 + REAL, SETTLE + told + seconds)


def joining(place: str, seeds: list[str]) -> Callable[[dict[str, Any]], dict[str, Any]]:
    """Makes a gateway's configuration that of a member."""
    cluster = {"cluster": "scale", "listen": place, "seeds": seeds}
    return lambda tree: tree | {"membership": cluster}


async def members(count: int, seconds: float) -> tuple[dict[str, float], dict[str, Off]]:
    """Of one member, a second, once all know each other and have passed that on."""
    with tempfile.TemporaryDirectory(prefix="scale-") as text:
        folder = Path(text)
        seeds = [f"127.0.0.1:{free_port(socket.SOCK_DGRAM)}" for _ in range(REAL)]
        async with (
            Rig(folder, 200, count) as rig,
            Crowds(folder, {"kind": "members", "seeds": seeds}, count - REAL) as crowds,
        ):
            for number, place in enumerate(seeds):
                await rig.start(number, joining(place, seeds))
            await crowds.until(lambda one: one["known"] >= count - 1)
            await crowds.until(lambda one: not one["rumours"], SETTLE + TOLD_EACH * count)
            before, sent, cpu = await crowds.each(), await sent_by(rig), crowds.cpu()
            await asyncio.sleep(seconds)
            after, sent_after, cpu = await crowds.each(), await sent_by(rig), crowds.cpu() - cpu

            def rate(name: str) -> float:
                return (
                    statistics.fmean(b[name] - a[name] for a, b in zip(before, after, strict=True)) / seconds
                )

            real = statistics.fmean(b - a for a, b in zip(sent, sent_after, strict=True)) / seconds
            figures = {
                "messages_s": rate("sent"),
                "bytes_out_s": rate("out"),
                "bytes_in_s": rate("back"),
                "cpu_share": cpu / seconds / 1000 / crowds.count,
                "rss_mb": crowds.mb(),
            }
            return figures, {"messages_s": Off(real, rate("sent"), off(real, rate("sent")), CHANCE)}


async def sent_by(rig: Rig) -> list[int]:
    """Datagrams that the real ones have sent."""
    found = []
    for real in rig.real:
        async with rig.session.get(f"http://{real.part.addresses['control']}/members") as answer:
            found.append((await answer.json())["counts"]["sent"])
    return found


async def holders(count: int, seconds: float) -> dict[str, float]:
    """Of the grantor; bytes are those of one holder's exchanges times all of them."""
    terms = BudgetSettings(
        max_gateways=count,
        budgets=[
            Budget(f"b{n}", LEVEL, 20 * count, reserve=count, minimum=1, release_delay=1.0)
            for n in range(BUDGETS)
        ],
    )
    with tempfile.TemporaryDirectory(prefix="scale-") as text:
        folder, place = Path(text), f"127.0.0.1:{free_port()}"
        (folder / "budgets.json").write_bytes(
            msgspec.json.encode(ConfigFile(place, terms, str(folder / "x.db")))
        )
        grantor = ManagedProcess(
            "grantor", folder, "api_gateway.budgets", env={"BUDGETS_CONFIG": str(folder / "budgets.json")}
        )
        wire = Wire(place)
        await grantor.start()
        await asyncio.sleep(1.0)
        assert grantor.process is not None
        told = {"kind": "holders", "terms": msgspec.to_builtins(terms)}
        one = crowd(folder, told | {"grantor": await wire.open()}, count - 1, 1)
        try:
            async with Crowds(folder, told | {"grantor": place}, count - 1) as crowds:
                await one.start()
                await crowds.until(lambda it: it["sent"] > 5 and it["granted"] == BUDGETS)
                number, before, counts = grantor.process.pid, await crowds.each(), wire.counts()
                cpu, crowd_cpu = machine.cpu_ms(number), crowds.cpu()
                await asyncio.sleep(seconds)
                cpu, crowd_cpu = machine.cpu_ms(number) - cpu, crowds.cpu() - crowd_cpu
                after, counts_after = await crowds.each(), wire.counts()
                sent = sum(b["sent"] - a["sent"] for a, b in zip(before, after, strict=True))
                exchanges = sent * count / crowds.count
                out, back, calls = (b - a for a, b in zip(counts, counts_after, strict=True))
                return {
                    "cpu_share": cpu / seconds / 1000,
                    "rss_mb": machine.resident_mb(number),
                    "messages_s": exchanges / seconds,
                    "bytes_in_s": out / calls * exchanges / seconds,
                    "bytes_out_s": back / calls * exchanges / seconds,
                    "cpu_ms_a_message": cpu / exchanges,
                    "holder_cpu_share": crowd_cpu / seconds / 1000 / crowds.count,
                    "holder_mb": crowds.mb(),
                    "failures": sum(it["failures"] for it in after),
                }
        finally:
            await one.stop()
            await grantor.stop()
            await wire.close()
