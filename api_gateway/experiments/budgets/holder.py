"""A simulated gateway that takes units of budgets as far as it is allowed and uses them at the meter.

It runs as `python -m api_gateway.experiments.budgets.holder CONFIG --name holder-0 --index 0
--grantor HOST:PORT --meter HOST:PORT --folder FOLDER`. The allowances and the exchange with the grantor are
the code of the product. The demand changes with time: it is low, high, or more than the total.
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

USE_INTERVAL_S = 0.05  # Interval at which the units in use are adjusted to the demand
MAX_WORK_S = 0.2  # Longest duration of a request
DEMAND_INTERVAL_S = 2.0  # Time for which the demand stays the same


class Unit:
    """A connection to the meter, and until when a request occupies it."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.busy_until = reader, writer, 0.0


class SimulatedHolder(StandIn):
    """Uses units of all budgets as its demand and its allowances permit."""

    def __init__(
        self, settings: BudgetSettings, meter: tuple[str, int], client: BudgetClient, seed: int
    ) -> None:
        super().__init__(seed)
        self.settings, self.meter, self.client = settings, meter, client
        self.units: dict[str, list[Unit]] = {b.name: [] for b in settings.budgets if b.kind == LEVEL}
        self.opening = dict.fromkeys(self.units, 0)
        self.rate_writers: dict[str, asyncio.StreamWriter] = {}
        self.refused = self.used = 0

    async def open(self, host: str, port: int) -> None:
        """Open no listener: only the control address is served."""

    def status(self) -> dict[str, Any]:
        """Return the status of the budget client, and the units refused and used."""
        return {**self.client.status(), "refused": self.refused, "used": self.used}

    async def __aexit__(self, *_: object) -> None:
        await self.client.close()

    async def use_budgets(self) -> None:
        """Adjust the units in use to the demand at each interval, without end."""
        self.client.start()
        loop, last_used_at = asyncio.get_running_loop(), asyncio.get_running_loop().time()
        credit = dict.fromkeys((b.name for b in self.settings.budgets), 0.0)
        while True:
            demand = self.demand(loop.time())
            for name in self.units:
                await self.adjust_level(name, int(demand[name]), loop.time())
            for budget in self.settings.budgets:
                if budget.kind != LEVEL:
                    credit[budget.name] += demand[budget.name] * (loop.time() - last_used_at)
                    credit[budget.name] = await self.spend_rate(
                        budget.name, min(credit[budget.name], budget.total)
                    )
            last_used_at = loop.time()
            await asyncio.sleep(USE_INTERVAL_S)

    def demand(self, now: float) -> dict[str, float]:
        """Return the demand by budget: sometimes the total for all holders, otherwise a random part each."""
        if int(now / DEMAND_INTERVAL_S) % 4 == 3:
            return {budget.name: budget.total for budget in self.settings.budgets}
        rng = random.Random(
            f"{self.client.holder.name} {self.client.holder.incarnation} {int(now / DEMAND_INTERVAL_S)}"
        )
        return {b.name: b.total * rng.choice((0, 0.02, 0.1, 0.3, 1.0)) for b in self.settings.budgets}

    async def adjust_level(self, name: str, wanted: int, now: float) -> None:
        """Close idle connections in excess of the demand or the allowance, and open those that are wanted."""
        units, holder = self.units[name], self.client.holder
        for unit in [u for u in units if u.reader.at_eof() or u.writer.is_closing()]:  # closed by the host
            self.close_unit(name, unit)
        idle = [unit for unit in units if unit.busy_until <= now]
        for unit in idle[: max(0, len(units) - wanted, holder.excess_units(self.client.clock(), name))]:
            self.close_unit(name, unit)
        for unit in units:
            unit.writer.write(b".")
            if unit.busy_until <= now and self.random.random() < 0.5:
                unit.busy_until = now + self.random.uniform(0, MAX_WORK_S)
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

    def close_unit(self, name: str, unit: Unit) -> None:
        """Close a connection and release its unit."""
        self.units[name].remove(unit)
        unit.writer.transport.abort()
        self.client.holder.release(name)

    async def spend_rate(self, name: str, credit: float) -> float:
        """Spend the whole units of `credit` as far as is allowed, and return the remainder."""
        if name not in self.rate_writers:
            try:
                _, writer = await asyncio.open_connection(*self.meter)
            except OSError:
                return credit
            writer.write(name.encode() + b"\n")
            self.rate_writers[name] = writer
        while credit >= 1:
            credit -= 1
            if self.client.holder.spend(self.client.clock(), name) == 0.0:
                self.rate_writers[name].write(b"x")
                self.used += 1
            else:
                self.refused += 1
        return credit


def main() -> None:
    """Run the holder as a process."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("config", type=Path)
    for name in ("name", "grantor", "meter"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--folder", type=Path, required=True)
    parser.add_argument("--index", type=int, required=True)
    parser.add_argument(
        "--pace", type=float, default=1.0, help="speed of its clock, relative to the clock of this machine"
    )
    args = parser.parse_args()
    settings = msgspec.json.decode(args.config.read_bytes(), type=ConfigFile).terms
    host, _, port = args.meter.rpartition(":")
    any_port = ("127.0.0.1", 0)

    async def serve() -> None:
        client = BudgetClient(
            settings, args.grantor, args.name, "a", args.index, args.folder, lambda: boot_clock() * args.pace
        )
        holder = SimulatedHolder(settings, (host, int(port)), client, args.index)
        await run(holder, any_port, any_port, holder.use_budgets)

    uvloop.run(serve())


if __name__ == "__main__":
    main()
