"""Figures of the limits on new connections, on and off in pairs: python tests/measure/edge.py [PAIRS]

CPU of the whole process (clients, stand-ins and gateway) for a connection that asks once, and for a request
on connections that are kept; the ratio of on to off shows what the limits cost. Loopback, half a minute.
"""

import asyncio
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

import uvloop  # noqa: E402
from changes import spread  # noqa: E402
from netkit import SETTINGS, Node, StubHost, command, read_reply  # noqa: E402

CONNECTIONS, REQUESTS, CLIENTS = 1500, 4000, 8
PING = b"*1\r\n$4\r\nPING\r\n"
OPEN = SETTINGS | {"plans": [{"name": "p", "rate": 1e6, "most_at_once": 1e7}]}


async def play(folder, on):
    """CPU seconds a connection and a request."""
    limits = {"edge": {"per_source": 900, "new_per_source": 1e5, "new": 1e5, "fronts": ["10.0.0.0/8"]}}
    more = limits if on else None
    async with StubHost() as host, Node(host, path=folder, settings=OPEN, config_overrides=more) as node:

        async def connect():
            for _ in range(CONNECTIONS // CLIENTS):
                reader, writer = await asyncio.open_connection("127.0.0.1", node.port)
                writer.write(PING)
                await read_reply(reader)
                writer.close()

        async def ask(number):
            reader, writer = await node.connect()
            for n in range(REQUESTS // CLIENTS):
                writer.write(command(b"%d-%d" % (number, n), customer=b"%016x" % number))
                await read_reply(reader)

        began = time.process_time()
        await asyncio.gather(*(connect() for _ in range(CLIENTS)))
        middle = time.process_time()
        await asyncio.gather(*(ask(n) for n in range(CLIENTS)))
        return (middle - began) / CONNECTIONS, (time.process_time() - middle) / REQUESTS


def main():
    pairs = int(sys.argv[1]) if len(sys.argv) > 1 else 8
    connections, requests = [], []
    for number in range(pairs):
        played = {}
        for on in (True, False) if number % 2 else (False, True):
            with tempfile.TemporaryDirectory() as folder:
                played[on] = uvloop.run(play(Path(folder), on))
        connections.append(played[True][0] / played[False][0])
        requests.append(played[True][1] / played[False][1])
    spread("CPU of a connection, on over off", connections, "")
    spread("CPU of a request on a kept connection, on over off", requests, "")


if __name__ == "__main__":
    main()
