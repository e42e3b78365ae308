"""What a process of hollow gateways is told, and how it tells what they have sent and got."""

from __future__ import annotations

import asyncio
import gc
import json
import signal
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from typing import Any, Protocol

NO_NEWS = b'"servers": []'  # in the answer to a watch that ended without any
ENTRY = b'"started_ms": '  # in each host that an answer tells of


@dataclass(frozen=True, slots=True)
class Crowd:
    first: int  # the number of the first of them
    count: int
    gateways: int  # as many as the settings name
    service: str  # the list service's HOST:PORT
    view: int = 0  # hosts that each asks for; 0: all
    zones: tuple[str, ...] = ("a", "b", "c")
    tree: dict[str, Any] | None = None  # full ones: a gateway's file; None: light ones

    def encode(self) -> str:
        return json.dumps(asdict(self))


class One(Protocol):
    """One of a crowd."""

    async def start(self) -> Any: ...

    def counts(self) -> dict[str, float]: ...


async def stand(made: Sequence[One]) -> None:
    """They start, and live until SIGTERM. The first line printed says where each line is answered by a line
    of JSON with the counts of each."""
    told, loop = asyncio.Event(), asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, told.set)

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while await reader.readline():
            counts = [one.counts() for one in made]
            writer.write(json.dumps({"each": counts}).encode() + b"\n")
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    print(json.dumps({"listen": f"127.0.0.1:{server.sockets[0].getsockname()[1]}"}), flush=True)
    for one in made:
        await one.start()
    gc.freeze()  # as a real gateway does
    await told.wait()
    server.close()  # what else goes on is cancelled with the loop
