"""A bare relay, to compare with: what clients say goes to one of the hosts as it comes, and back.

Started with HOST:PORT of each host it prints where it listens, as JSON; each connection has one of its own to
the next host in turn.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import signal
import sys
from collections.abc import Callable
from typing import Any

import uvloop


class Side(asyncio.Protocol):
    """One of two connections; what comes on it goes out on the other."""

    def __init__(self, made: Callable[[Side], None] | None = None) -> None:
        self.made, self.other = made, None
        self.early = list[bytes]()

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        if self.made is not None:
            self.made(self)

    def data_received(self, data: bytes) -> None:
        if self.other is None:
            self.early.append(data)
        else:
            self.other.transport.write(data)

    def join(self, other: Any) -> None:
        self.other = other
        other.other = self
        other.transport.write(b"".join(self.early))

    def connection_lost(self, exc: Exception | None) -> None:
        if self.other is not None:
            self.other.transport.close()


async def serve(places: list[str]) -> None:
    told, loop, tasks = asyncio.Event(), asyncio.get_running_loop(), set[asyncio.Task[None]]()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, told.set)
    turn = itertools.cycle(places)

    async def join(side: Side) -> None:
        host, _, port = next(turn).rpartition(":")
        _, other = await loop.create_connection(Side, host, int(port))
        side.join(other)

    def made(side: Side) -> None:
        task = asyncio.create_task(join(side))
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    server = await loop.create_server(lambda: Side(made), "127.0.0.1", 0, backlog=1024)
    print(json.dumps({"listen": f"127.0.0.1:{server.sockets[0].getsockname()[1]}"}), flush=True)
    await told.wait()


def main() -> int:
    uvloop.run(serve(sys.argv[1:]))
    return 0


if __name__ == "__main__":
    sys.exit(main())
