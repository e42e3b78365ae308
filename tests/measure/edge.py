"""Measures the limits on new connections, in pairs of runs on and off: python tests/measure/edge.py [PAIRS]

Measured is the CPU of the whole process (clients, stand-ins and gateway) for a connection with one request,
and for a request on a persistent connection; the ratio of on to off is the cost of the limits. Loopback, half
a minute.
"""

import asyncio
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

import uvloop  # noqa: E402
from changes import print_spread  # noqa: E402
from netkit import SETTINGS, Node, StubHost, command, read_reply  # noqa: E402

CONNECTION_COUNT, REQUEST_COUNT, CLIENT_COUNT = 1500, 4000, 8
PING = b"*1\r\n$4\r\nPING\r\n"
UNLIMITED_SETTINGS = SETTINGS | {"plans": [{"name": "p", "rate": 1e6, "most_at_once": 1e7}]}


async def measure_cpu(folder, is_limited):
    """Return the CPU seconds for a connection and for a request."""
    limits = {"edge": {"per_source": 900, "new_per_source": 1e5, "new": 1e5, "fronts": ["10.0.0.0/8"]}}
    overrides = limits if is_limited else None
    async with (
        StubHost() as host,
        Node(host, path=folder, settings=UNLIMITED_SETTINGS, config_overrides=overrides) as node,
    ):

        async def connect():
            for _ in range(CONNECTION_COUNT // CLIENT_COUNT):
                reader, writer = await asyncio.open_connection("127.0.0.1", node.port)
                writer.write(PING)
                await read_reply(reader)
                writer.close()

        async def send_requests(number):
            reader, writer = await node.connect()
            for n in range(REQUEST_COUNT // CLIENT_COUNT):
                writer.write(command(b"%d-%d" % (number, n), customer=b"%016x" % number))
                await read_reply(reader)

        started_at = time.process_time()
        await asyncio.gather(*(connect() for _ in range(CLIENT_COUNT)))
        connected_at = time.process_time()
        await asyncio.gather(*(send_requests(n) for n in range(CLIENT_COUNT)))
        return (connected_at - started_at) / CONNECTION_COUNT, (
            time.process_time() - connected_at
        ) / REQUEST_COUNT


def main():
    pairs = int(sys.argv[1]) if len(sys.argv) > 1 else 8
    connections, requests = [], []
    for number in range(pairs):
        results = {}
        for is_limited in (True, False) if number % 2 else (False, True):
            with tempfile.TemporaryDirectory() as folder:
                results[is_limited] = uvloop.run(measure_cpu(Path(folder), is_limited))
        connections.append(results[True][0] / results[False][0])
        requests.append(results[True][1] / results[False][1])
    print_spread("CPU of a connection, on over off", connections, "")
    print_spread("CPU of a request on a kept connection, on over off", requests, "")


if __name__ == "__main__":
    main()
