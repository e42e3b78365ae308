"""Hosts that tell when they had a command and when they answered it.

`python -m api_gateway.experiments.scale.timed WORK` is a process of them; each command takes WORK s.

None waits for another, so that it does not matter which host is chosen, and what a request took outside of
its host can be
told to the microsecond, whatever the host's timers do. It prints where it listens, as JSON. The clock is the
machine's monotonic one, which all processes share.
"""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import time
from typing import Any

import hiredis
import uvloop

BACKLOG = 1024


def told(came: int, went: int) -> bytes:
    """The answer to a command; ns at which it came and at which it is answered."""
    value = b"%d,%d" % (came, went)
    return b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (len(value), value)


def read_told(value: bytes) -> tuple[float, float]:
    """The same, in s. Raises ValueError where it is no such value."""
    came, went = value.split(b",")
    return int(came) / 1e9, int(went) / 1e9


class Line(asyncio.Protocol):
    """A connection from a gateway or a relay; one command at a time."""

    def __init__(self, work: float) -> None:
        self.work, self.loop = work, asyncio.get_running_loop()
        self.parser = hiredis.Reader(notEnoughData=...)

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        came = time.monotonic_ns()
        self.parser.feed(data)
        while (got := self.parser.gets()) is not ...:
            if got[0] == b"INFO":
                self.transport.write(b"$10\r\ninflight=0\r\n")
            else:
                self.loop.call_later(self.work, self.answer, came)

    def answer(self, came: int) -> None:
        if not self.transport.is_closing():
            self.transport.write(told(came, time.monotonic_ns()))


async def serve(work: float) -> None:
    ends, loop = asyncio.Event(), asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ends.set)
    server = await loop.create_server(lambda: Line(work), "127.0.0.1", 0, backlog=BACKLOG)
    print(json.dumps({"listen": f"127.0.0.1:{server.sockets[0].getsockname()[1]}"}), flush=True)
    await ends.wait()


def main() -> int:
    uvloop.run(serve(float(sys.argv[1])))
    return 0


if __name__ == "__main__":
    sys.exit(main())
