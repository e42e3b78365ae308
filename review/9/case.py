"""Idle clients fill the connections while a client reads a long value and sends its next request."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins_2 import (
    BROKEN,
    HELD,
    Client,
    Host,
    NotRunError,
    Record,
    Site,
    Words,
    read_command,
    run_case,
    served,
    settings,
)

VALUE = bytes(range(256)) * 4096  # 1 MiB; a value may have 4
VALUE_ID = "9b1f03aa5c7e2d41"
PIECE_BYTES, PAUSE_S = 16 * 1024, 0.05  # the client reads such a piece and then rests: 320 kB a second
SOCKETS = 256  # descriptors of the gateway
IDLE_CLIENTS = 150
CROWD_AT_S = 0.5  # after the request, the idle clients come
NEXT_AT_S = (1.5, 2.0)  # after the request, the client sends its next ones


async def answer(host: Host, words: Words, writer: asyncio.StreamWriter) -> None:
    """Answer one request with the long value, and all others with a short one."""
    await asyncio.sleep(0.1)
    writer.write(served(VALUE if words[2] == VALUE_ID.encode() else b"value"))
    await writer.drain()
    host.record(f"host {host.name} has given the whole answer for {words[2].decode()}")


async def read_slowly(client: Client, expected_bytes: int) -> None:
    """Read piece by piece until the long answer is whole or the connection ends."""
    while len(client.received) < expected_bytes and await client.read(PIECE_BYTES):
        await asyncio.sleep(PAUSE_S)


async def stay_idle(record: Record, port: int) -> None:
    """Hold a connection without a request until it is closed."""
    client = Client(record, "idle", port)
    try:
        await client.connect()
        while await client.read(4096):
            pass
    except OSError:
        pass
    finally:
        client.close()


async def case(record: Record, trouble: bool) -> int:
    """Return whether the client got the whole answer to its first request."""
    hosts = [Host("a", record, answer), Host("b", record, answer)]
    async with Site(record, hosts, settings(), SOCKETS) as site:
        port = site.gateway.port
        client = Client(record, "slow", port, 64 * 1024)
        await client.connect()
        await client.send(read_command(VALUE_ID, 6000), f"API.READ {VALUE_ID}")
        sent_at = time.monotonic()
        expected = b"$%d\r\n%s\r\n" % (len(VALUE), VALUE)
        reading = asyncio.create_task(read_slowly(client, len(expected)))
        await asyncio.sleep(CROWD_AT_S)
        crowd = []
        if trouble:
            crowd = [asyncio.create_task(stay_idle(record, port)) for _ in range(IDLE_CLIENTS)]
            record(f"{IDLE_CLIENTS} idle clients connect")
        for next_at in NEXT_AT_S:
            await asyncio.sleep(sent_at + next_at - time.monotonic())
            record(f"client slow has {len(client.received)} of {len(expected)} bytes")
            request_id = f"1c0ffee05c7e{int(1000 * next_at):04x}"
            await client.send(read_command(request_id, 6000), f"API.READ {request_id} behind it")
        await reading
        record(f"{sum(not task.done() for task in crowd)} of the idle clients still have their connection")
        for task in crowd:
            task.cancel()
        got = bytes(client.received[: len(expected)])
        record(
            f"client slow has {len(got)} of {len(expected)} bytes of the first answer after "
            f"{time.monotonic() - sent_at:.1f} s; connection: {client.end or 'open'}"
        )
        client.close()
        if not any(VALUE_ID in host.runs for host in hosts):
            raise NotRunError("no host got the request")
        return HELD if got == expected else BROKEN


run_case(Path(__file__).resolve().parent, case)
