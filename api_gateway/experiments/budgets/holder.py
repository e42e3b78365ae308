"""A gateway as far as budgets go: it wants units, takes what it may, and uses them at the meter.

`python -m api_gateway.experiments.budgets.holder CONFIG --name holder-0 --index 0 --grantor HOST:PORT --meter
HOST:PORT --folder FOLDER`: the parts that decide and ask are the product's own. What it wants changes with
time: little, much, or more than there is.
"""

from __future__ import annotations

import argparse
import asyncio
import random
from pathlib import Path
from typing import Any

import msgspec
import uvloop

from api_gateway.budgets.client import BudgetClient
from api_gateway.budgets.clock import boot_clock
from api_gateway.budgets.config import ConfigFile
from api_gateway.budgets.settings import LEVEL, BudgetSettings
from api_gateway.emulators.service import StandIn, run

LOOK = 0.05  # s between looks at what is wanted
WORK = 0.2  # s that a request takes at most
SPAN = 2.0  # s for which it wants the same


class Unit:
    """A connection to the meter and until when a request works on it."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.works_until = reader, writer, 0.0


class LabHolder(StandIn):
    def __init__(
        self, terms: BudgetSettings, meter: tuple[str, int], client: BudgetClient, seed: int
    ) -> None:
        super().__init__(seed)
        self.terms, self.meter, self.client = terms, meter, client
        self.units: dict[str, list[Unit]] = {b.name: [] for b in terms.budgets if b.kind == LEVEL}
        self.coming = dict.fromkeys(self.units, 0)
        self.rates: dict[str, asyncio.StreamWriter] = {}
        self.refused = self.used = 0

    async def open(self, host: str, port: int) -> None:
        """It listens nowhere but at its second address."""

    def status(self) -> dict[str, Any]:
        return {**self.client.status(), "refused": self.refused, "used": self.used}

    async def __aexit__(self, *_: object) -> None:
        await self.client.close()

    async def use(self) -> None:
        self.client.start()
        loop, last = asyncio.get_running_loop(), asyncio.get_running_loop().time()
        credit = dict.fromkeys((b.name for b in self.terms.budgets), 0.0)
        while True:
            wants = self.wants(loop.time())
            for name in self.units:
                await self.level(name, int(wants[name]), loop.time())
            for budget in self.terms.budgets:
                if budget.kind != LEVEL:
                    credit[budget.name] += wants[budget.name] * (loop.time() - last)
                    credit[budget.name] = await self.rate(budget.name, min(credit[budget.name], budget.total))
            last = loop.time()
            await asyncio.sleep(LOOK)

    def wants(self, now: float) -> dict[str, float]:
        """All want all at once now and then, and something of their own between."""
        if int(now / SPAN) % 4 == 3:
            return {budget.name: budget.total for budget in self.terms.budgets}
        rng = random.Random(f"{self.client.holder.name} {self.client.holder.incarnation} {int(now / SPAN)}")
        return {b.name: b.total * rng.choice((0, 0.02, 0.1, 0.3, 1.0)) for b in self.terms.budgets}

    async def level(self, name: str, wanted: int, now: float) -> None:
        units, holder = self.units[name], self.client.holder
        for unit in [u for u in units if u.reader.at_eof() or u.writer.is_closing()]:  # the host closed it
            self.let_go(name, unit)
        free = [unit for unit in units if unit.works_until <= now]
        for unit in free[: max(0, len(units) - wanted, holder.excess_units(self.client.clock(), name))]:
            self.let_go(name, unit)
        for unit in units:
            unit.writer.write(b".")
            if unit.works_until <= now and self.random.random() < 0.5:
                unit.works_until = now + self.random.uniform(0, WORK)
        while len(units) < wanted:
            if not holder.acquire(self.client.clock(), name, wanted - len(units)):
                self.refused += 1
                break
            try:
                unit = Unit(*await asyncio.open_connection(*self.meter))
            except OSError:
                holder.release(name)
                break
            unit.writer.write(name.encode() + b"\n")
            units.append(unit)
            self.used += 1

    def let_go(self, name: str, unit: Unit) -> None:
        self.units[name].remove(unit)
        unit.writer.transport.abort()
        self.client.holder.release(name)

    async def rate(self, name: str, credit: float) -> float:
        if name not in self.rates:
            try:
                _, writer = await asyncio.open_connection(*self.meter)
            except OSError:
                return credit
            writer.write(name.encode() + b"\n")
            self.rates[name] = writer
        while credit >= 1:
            credit -= 1
            if self.client.holder.spend(self.client.clock(), name) == 0.0:
                self.rates[name].write(b"x")
                self.used += 1
            else:
                self.refused += 1
        return credit


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("config", type=Path)
    for name in ("name", "grantor", "meter"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--folder", type=Path, required=True)
    parser.add_argument("--index", type=int, required=True)
    parser.add_argument("--pace", type=float, default=1.0, help="of its clock, against this machine's")
    told = parser.parse_args()
    terms = msgspec.json.decode(told.config.read_bytes(), type=ConfigFile).terms
    host, _, port = told.meter.rpartition(":")
    place = ("127.0.0.1", 0)

    async def serve() -> None:
        client = BudgetClient(
            terms, told.grantor, told.name, "a", told.index, told.folder, lambda: boot_clock() * told.pace
        )
        holder = LabHolder(terms, (host, int(port)), client, told.index)
        await run(holder, place, place, holder.use)

    uvloop.run(serve())


if __name__ == "__main__":
    main()
