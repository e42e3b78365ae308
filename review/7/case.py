"""A gateway is told to end while a client still reads the answers to its earlier requests."""

from __future__ import annotations

import asyncio
import signal
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
    write_command,
)

VALUE = b"v" * 60_000  # below 64 KiB
REQUESTS = 200  # settlements that a client sends at once
DEADLINE_MS = 15_000  # of the class
PIECE_BYTES, PAUSE_S = 50_000, 0.05  # the client reads such a piece and then rests: 1 MB a second
OTHERS, OTHERS_S = 8, 3.0  # clients with readings, one after another, and for how long before
SIGTERM_AFTER_S = 1.0  # after the settlements


async def answer(host: Host, words: Words, writer: asyncio.StreamWriter) -> None:
    """Answer after some work."""
    await asyncio.sleep(0.02)
    writer.write(served(VALUE if words[0] == b"API.WRITE" else b"value"))
    await writer.drain()


async def send_readings(record: Record, port: int, number: int) -> None:
    """Send one reading after another on a connection, as ordinary clients do."""
    client = Client(record, f"other {number}", port)
    await client.connect()
    for reading in range(100_000):
        request_id = f"a{number:03x}{reading:012x}"
        client.received.clear()
        await client.send(
            read_command(request_id, 3000, "reading", 0x1000 + number), f"API.READ {request_id}"
        )
        while b"\r\n" not in client.received and await client.read(4096):
            pass
        await asyncio.sleep(0.02)


def count_answers(data: bytes) -> tuple[int, int]:
    """Return how many whole answers the bytes hold that served a request, and how many others."""
    served_count = other_count = offset = 0
    while (end := data.find(b"\r\n", offset)) >= 0:
        if data[offset : offset + 1] != b"$":
            other_count += 1
            offset = end + 2
            continue
        offset = end + 2 + int(data[offset + 1 : end]) + 2
        if offset > len(data):
            break
        served_count += 1
    return served_count, other_count


async def read_slowly(client: Client) -> None:
    """Read piece by piece until all is answered or the connection ends."""
    while await client.read(PIECE_BYTES):
        if sum(count_answers(bytes(client.received))) == REQUESTS:
            return
        await asyncio.sleep(PAUSE_S)


async def case(record: Record, trouble: bool) -> int:
    """Return whether the client got a whole answer to each of its requests."""
    hosts = [Host(name, record, answer) for name in "abc"]
    async with Site(record, hosts, settings()) as site:
        port = site.gateway.port
        others = [asyncio.create_task(send_readings(record, port, number)) for number in range(OTHERS)]
        await asyncio.sleep(OTHERS_S)
        client = Client(record, "slow", port, 64 * 1024)
        await client.connect()
        ids = [f"9b1f03aa5c{number:06x}" for number in range(REQUESTS)]
        commands = b"".join(write_command(request_id, DEADLINE_MS) for request_id in ids)
        await client.send(commands, f"API.WRITE {ids[0]} to {ids[-1]} at once")
        started_at = time.monotonic()
        reading = asyncio.create_task(read_slowly(client))
        await asyncio.sleep(SIGTERM_AFTER_S)
        for task in others:
            task.cancel()
        runs = sum(request_id in ids for host in hosts for request_id in host.runs)
        record(f"the hosts have run {runs} of these")
        sigterm_at = time.monotonic()
        if trouble:
            site.gateway.signal(signal.SIGTERM)
        await reading
        code = site.gateway.process.returncode
        ended = "runs on" if code is None else f"has ended by itself with status {code}"
        served_count, other_count = count_answers(bytes(client.received))
        record(
            f"client slow got {served_count} values and {other_count} other answers to {REQUESTS} requests, "
            f"the last byte {time.monotonic() - started_at:.1f} s after the first request "
            f"and {time.monotonic() - sigterm_at:.1f} s after SIGTERM; connection: {client.end or 'open'}; "
            f"the gateway {ended}"
        )
        client.close()
        if not runs or time.monotonic() - started_at > DEADLINE_MS / 1000:
            raise NotRunError("nothing has run, or the client was too slow")
        return HELD if served_count + other_count == REQUESTS else BROKEN


run_case(Path(__file__).resolve().parent, case)
