"""A host that counts what gateways really do, by its own clock: connections that are open, and units that
come.

A connection's first line names its budget. Of a level it counts while it is open, and is closed where nothing
comes on it for a while, as hosts do; of a rate each further byte is a unit. More at once than the whole
counts as a breach where it lasts longer than SETTLE: the end of one connection may be read behind the
beginning of another that came later.

`python -m api_gateway.experiments.budgets.meter CONFIG`, which holds the terms.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from time import monotonic
from typing import Any

import msgspec
import uvloop

from api_gateway.budgets.config import ConfigFile
from api_gateway.budgets.settings import LEVEL, BudgetSettings
from api_gateway.emulators.service import StreamStandIn, run
from api_gateway.experiments.budgets.referee import LevelReferee, RateReferee

SETTLE = 0.05  # s
LATE = 0.1  # s by which units may be read later than they came, which makes a burst look larger
IDLE = 0.4  # s without a sign of life after which a connection is closed


class Meter(StreamStandIn):
    def __init__(self, terms: BudgetSettings) -> None:
        super().__init__()
        self.began = monotonic()
        self.levels = {b.name: LevelReferee(b.total) for b in terms.budgets if b.kind == LEVEL}
        self.rates = {
            b.name: RateReferee(b.total, b.burst + b.total * LATE) for b in terms.budgets if b.kind != LEVEL
        }
        self.breaches = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        name = (await reader.readline()).decode().strip()
        if name in self.levels:
            await self.hold(name, reader)
        elif name in self.rates:
            while data := await reader.read(4096):
                for _ in data:
                    self.rates[name].spend(monotonic() - self.began)

    async def hold(self, name: str, reader: asyncio.StreamReader) -> None:
        self.change(name, 1)
        try:
            while True:
                async with asyncio.timeout(IDLE):
                    if not await reader.read(4096):
                        return
        except TimeoutError:
            pass
        finally:
            self.change(name, -1)

    def change(self, name: str, by: int) -> None:
        level = self.levels[name]
        level.change(monotonic() - self.began, by)
        if by > 0 and level.held > level.whole:
            asyncio.get_running_loop().call_later(SETTLE, self.look, name)

    def look(self, name: str) -> None:
        self.breaches += self.levels[name].held > self.levels[name].whole

    def status(self) -> dict[str, Any]:
        now = monotonic() - self.began
        return {
            "breaches": self.breaches + sum(rate.breaches for rate in self.rates.values()),
            "levels": {
                name: {"held": level.held, "largest": level.largest, "mean": round(level.mean(now), 2)}
                for name, level in self.levels.items()
            },
            "rates": {
                name: {"spent": rate.spent, "lowest": round(rate.lowest, 2)}
                for name, rate in self.rates.items()
            },
        }


def main() -> None:
    told = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=ConfigFile)
    place = ("127.0.0.1", 0)
    uvloop.run(run(Meter(told.terms), place, place))


if __name__ == "__main__":
    main()
