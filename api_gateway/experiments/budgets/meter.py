"""A host that measures by its own clock which units gateways really use.

The first line of a connection names its budget. A connection of a level counts as one unit while it is open,
and is closed after a while without data, as hosts do. On a connection of a rate, each further byte is a unit.
Connections in excess of the total count as a breach only if they last longer than BREACH_DELAY_S, because the
end of one connection may be read after the start of another one that was opened later.

`python -m api_gateway.experiments.budgets.meter CONFIG`, where CONFIG is the file with the budgets.
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

BREACH_DELAY_S = 0.05
MAX_READ_DELAY_S = 0.1  # Units may be read this much after their arrival, which makes a burst look larger
IDLE_TIMEOUT_S = 0.4  # Time without data after which a connection is closed


class Meter(StreamStandIn):
    """Counts the units of all budgets and the breaches of their totals."""

    def __init__(self, settings: BudgetSettings) -> None:
        super().__init__()
        self.started_at = monotonic()
        self.levels = {b.name: LevelReferee(b.total) for b in settings.budgets if b.kind == LEVEL}
        self.rates = {
            b.name: RateReferee(b.total, b.burst + b.total * MAX_READ_DELAY_S)
            for b in settings.budgets
            if b.kind != LEVEL
        }
        self.breaches = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Count the units of one connection until it ends."""
        name = (await reader.readline()).decode().strip()
        if name in self.levels:
            await self.serve_level(name, reader)
        elif name in self.rates:
            while data := await reader.read(4096):
                for _ in data:
                    self.rates[name].spend(monotonic() - self.started_at)

    async def serve_level(self, name: str, reader: asyncio.StreamReader) -> None:
        """Count a connection as one unit until it is closed or idle for too long."""
        self.change(name, 1)
        try:
            while True:
                async with asyncio.timeout(IDLE_TIMEOUT_S):
                    if not await reader.read(4096):
                        return
        except TimeoutError:
            pass
        finally:
            self.change(name, -1)

    def change(self, name: str, delta: int) -> None:
        """Change the units in use of a level, and check again later if they exceed its total."""
        level = self.levels[name]
        level.change(monotonic() - self.started_at, delta)
        if delta > 0 and level.in_use > level.total:
            asyncio.get_running_loop().call_later(BREACH_DELAY_S, self.recheck_level, name)

    def recheck_level(self, name: str) -> None:
        """Count a breach if the units in use still exceed the total."""
        self.breaches += self.levels[name].in_use > self.levels[name].total

    def status(self) -> dict[str, Any]:
        """Return the breaches and the use of each budget."""
        now = monotonic() - self.started_at
        return {
            "breaches": self.breaches + sum(rate.breaches for rate in self.rates.values()),
            "levels": {
                name: {"held": level.in_use, "largest": level.largest, "mean": round(level.mean(now), 2)}
                for name, level in self.levels.items()
            },
            "rates": {
                name: {"spent": rate.spent, "lowest": round(rate.lowest_tokens, 2)}
                for name, rate in self.rates.items()
            },
        }


def main() -> None:
    """Run the meter as a process, on any free ports of this machine."""
    config = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=ConfigFile)
    any_port = ("127.0.0.1", 0)
    uvloop.run(run(Meter(config.terms), any_port, any_port))


if __name__ == "__main__":
    main()
