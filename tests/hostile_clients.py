"""Hostile clients of a gateway, each kind a function; run in a process of its own by soak_hostile_clients.py.

    python tests/hostile_clients.py KIND PORT CONNECTIONS SECONDS

A request id tells ValueHost in soak_hostile_clients.py what to answer: `id_for` encodes it.
"""

import asyncio
import contextlib
import itertools
import math
import os
import socket
import struct
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

import uvloop  # noqa: E402
from netkit import command, terms  # noqa: E402

CUSTOMER = b"00000000000000bb"
CONNECT_BATCH = 40  # connections that are opened at once
FIELD_COUNT = 9_000
SMALL_BODY_BYTES = 60_000  # just below the size from which a body has a place in the large body budget
FLOOD_BATCH_BYTES = 64 * 1024
SLOW_READ_BYTES_PER_S = 20_000
SLOW_READ_INTERVAL_S = 0.2
WRITE_INTERVAL_S = 0.1
ABRUPT_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: close with a reset

serial = itertools.count()


def id_for(size=5, delay_ms=0, kb_per_s=0):
    """Return a new request id: the size of the value, the delay before it and the rate at which it comes."""
    return b"x.%d.%d.%d.%d.%d" % (size, delay_ms, kb_per_s, time.monotonic_ns(), next(serial))


def note(request_id, size, deadline_ms=2500):
    """Return a write of the class that is not idempotent."""
    return command(request_id, terms(c="note", d=deadline_ms), b"API.WRITE", CUSTOMER, bytes(b"b" * size))


def read(request_id, deadline_ms=2500, customer=CUSTOMER, **fields):
    """Return a read."""
    return command(request_id, terms(d=deadline_ms, **fields), customer=customer)


def many_fields(request_id, deadline_ms=2500):
    """Return a read with FIELD_COUNT short fields."""
    fields = terms(d=deadline_ms) + b"," + b",".join(b"%x=" % number for number in range(FIELD_COUNT))
    return command(request_id, fields, customer=CUSTOMER)


class Load:
    """The connections of a hostile client process."""

    def __init__(self, port, connection_count, seconds):
        self.port, self.connection_count = port, connection_count
        self.end = time.monotonic() + seconds
        self.sent_count = 0

    async def for_each_connection(self, action):
        """Run `action(reader, writer, number)` on each connection at once until it ends or the time is up."""
        gate = asyncio.Semaphore(CONNECT_BATCH)

        async def run_one(number):
            with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                async with asyncio.timeout(max(0.1, self.end - time.monotonic())):
                    async with gate:
                        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                    try:
                        await action(reader, writer, number)
                        await reader.read()
                    finally:
                        writer.transport.abort()

        await asyncio.gather(*(run_one(number) for number in range(self.connection_count)))

    async def flood(self, make_batch, reads=True):
        """Write batches on one connection as fast as the gateway takes them."""

        async def write(reader, writer, _):
            discarding = asyncio.create_task(discard(reader)) if reads else None
            try:
                while time.monotonic() < self.end:
                    batch, count = make_batch()
                    writer.write(batch)
                    self.sent_count += count
                    await writer.drain()
            finally:
                if discarding:
                    discarding.cancel()
                    await asyncio.gather(discarding, return_exceptions=True)

        await self.for_each_connection(write)


async def discard(reader):
    while await reader.read(256 * 1024):
        pass


def repeated(text):
    """Return a function that makes a batch of one repeated command."""
    count = FLOOD_BATCH_BYTES // len(text) + 1
    return lambda: (text * count, count)


def generated(make, count=200):
    """Return a function that makes a batch of commands that each differ."""
    return lambda: (b"".join(make() for _ in range(count)), count)


async def read_slowly(_, writer):
    """Read SLOW_READ_BYTES_PER_S until the gateway ends the connection."""
    await read_slowly_for(writer, math.inf)


async def read_slowly_for(writer, seconds):
    """Read SLOW_READ_BYTES_PER_S for some seconds, or until the gateway ends the connection."""
    writer.transport.pause_reading()
    ends_at = time.monotonic() + seconds
    sock = socket.socket(fileno=os.dup(writer.get_extra_info("socket").fileno()))
    with sock:
        while time.monotonic() < ends_at:
            await asyncio.sleep(SLOW_READ_INTERVAL_S)
            with contextlib.suppress(BlockingIOError):
                if not sock.recv(int(SLOW_READ_BYTES_PER_S * SLOW_READ_INTERVAL_S)):
                    return


# Memory


async def half_bodies(load):
    """Send most of a body just below the size of a large one, and stop."""

    async def act(reader, writer, _):
        writer.write(note(id_for(), SMALL_BODY_BYTES)[:-1000])

    await load.for_each_connection(act)


async def half_fields(load):
    """Send most of a request with very many fields, and stop."""

    async def act(reader, writer, _):
        writer.write(many_fields(id_for())[:-100])

    await load.for_each_connection(act)


async def whole_fields(load):
    """Send three requests with very many fields to hosts that take 2 s."""

    async def act(reader, writer, _):
        writer.write(b"".join(many_fields(id_for(delay_ms=2000)) for _ in range(3)))

    await load.for_each_connection(act)


async def long_fields(load):
    """Send three requests with a field of 60,000 bytes to hosts that take 2 s."""

    async def act(reader, writer, _):
        texts = [read(id_for(delay_ms=2000), x="x" * SMALL_BODY_BYTES) for _ in range(3)]
        writer.write(b"".join(texts))

    await load.for_each_connection(act)


async def whole_bodies(load):
    """Send three requests with bodies just below the size of a large one to hosts that take 2 s."""

    async def act(reader, writer, _):
        writer.write(b"".join(note(id_for(delay_ms=2000), SMALL_BODY_BYTES) for _ in range(3)))

    await load.for_each_connection(act)


async def slow_readers(load):
    """Ask for 20 values of 60,000 bytes and read them slowly."""

    async def act(reader, writer, _):
        writer.write(b"".join(read(id_for(60_000)) for _ in range(20)))
        await read_slowly(reader, writer)

    await load.for_each_connection(act)


async def slow_large_readers(load):
    """Ask for 10 values of 1 MB and read them slowly."""

    async def act(reader, writer, _):
        writer.write(b"".join(read(id_for(1_000_000)) for _ in range(10)))
        await read_slowly(reader, writer)

    await load.for_each_connection(act)


async def slow_answer_readers(load):
    """Ask for 3 values of 60,000 bytes one after another, which slow hosts write slowly."""

    async def act(reader, writer, _):
        while time.monotonic() < load.end:
            writer.write(b"".join(read(id_for(60_000)) for _ in range(3)))
            await read_slowly_for(writer, 2.0)

    await load.for_each_connection(act)


async def write_slowly(load, size):
    async def act(reader, writer, number):
        text = note(id_for(), size)
        piece = max(1, size // 25)
        for start in range(0, len(text), piece):
            writer.write(text[start : start + piece])
            await writer.drain()
            await asyncio.sleep(WRITE_INTERVAL_S)

    await load.for_each_connection(act)


async def slow_writers(load):
    """Write 300,000 bytes in 2.5 s."""
    await write_slowly(load, 300_000)


async def slow_large_writers(load):
    """Write 3 MB in 2.5 s."""
    await write_slowly(load, 3_000_000)


async def slow_small_writers(load):
    """Write 60,000 bytes in 2.5 s."""
    await write_slowly(load, SMALL_BODY_BYTES)


async def short_parts(load):
    """Send the head of an array of 20,000 parts, and nested arrays."""

    async def act(reader, writer, number):
        if number % 2:
            writer.write(b"*20000\r\n" + b"$1\r\na\r\n" * 19_999)
        else:
            writer.write(b"*60\r\n" * 12_000)

    await load.for_each_connection(act)


async def empty_parts(load):
    """Send most of an array of arrays of empty arrays, which take many times their bytes, and stop."""

    async def act(reader, writer, _):
        writer.write(b"*64\r\n" + (b"*64\r\n" + b"*0\r\n" * 64) * 63)

    await load.for_each_connection(act)


async def waiting_replies(load):
    """Send pipelines of which the first reply takes 2 s and the others are 60,000 bytes long."""

    async def act(reader, writer, _):
        writer.write(read(id_for(delay_ms=2000)) + b"".join(read(id_for(60_000)) for _ in range(30)))

    await load.for_each_connection(act)


async def unread_errors(load):
    """Send unknown commands with long replies at full speed and read nothing."""
    await load.flood(repeated(b"*1\r\n$4\r\nPING\r\n"), reads=False)


# Full speed on one connection


async def ping_flood(load):
    await load.flood(repeated(b"*1\r\n$4\r\nPING\r\n"))


async def unknown_flood(load):
    await load.flood(repeated(b"*2\r\n$4\r\nABCD\r\n$1\r\nx\r\n"))


async def short_deadline_flood(load):
    await load.flood(generated(lambda: read(id_for(), deadline_ms=1)))


async def new_plan_flood(load):
    await load.flood(generated(lambda: read(id_for(), t=f"plan{next(serial)}")))


async def new_customer_flood(load):
    await load.flood(generated(lambda: read(id_for(), customer=b"%016x" % next(serial))))


async def request_flood(load):
    await load.flood(generated(lambda: read(id_for())))


# Clients that leave


async def resets(load):
    """Send 700 requests in a pipeline and reset the connection after 50 ms, again and again."""

    async def act(reader, writer, number):
        while time.monotonic() < load.end:
            writer.write(b"".join(read(id_for()) for _ in range(700)))
            load.sent_count += 700
            await asyncio.sleep(0.05)
            sock = writer.get_extra_info("socket")
            if sock is not None:  # the gateway has not closed the connection
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABRUPT_CLOSE)
            writer.transport.abort()
            reader, writer = await asyncio.open_connection("127.0.0.1", load.port)

    await load.for_each_connection(act)


async def same_ids(load):
    """Send an unsafe request, leave after 60 ms, and send the same id on a new connection.

    The connections do so in turn, so that one of them does at any moment of an upgrade.
    """

    async def act(reader, writer, number):
        await asyncio.sleep(0.08 * number)
        while time.monotonic() < load.end:
            text = note(id_for(delay_ms=300), 20)
            load.sent_count += 1
            writer.write(text)
            await asyncio.sleep(0.06)
            writer.close()
            for _ in range(2):
                reader, writer = await asyncio.open_connection("127.0.0.1", load.port)
                writer.write(text)
                await reader.readline()
                writer.close()
                await asyncio.sleep(0.3)
            reader, writer = await asyncio.open_connection("127.0.0.1", load.port)

    await load.for_each_connection(act)


async def idle_crowd(load):
    """Open connections and send nothing."""

    async def act(reader, writer, _):
        await asyncio.sleep(0)

    await load.for_each_connection(act)


# The connections that each kind uses with 1,024 descriptors.
KINDS = {
    half_bodies: 331,
    half_fields: 331,
    whole_fields: 331,
    whole_bodies: 331,
    long_fields: 331,
    slow_readers: 300,
    slow_large_readers: 300,
    slow_writers: 331,
    slow_large_writers: 331,
    slow_small_writers: 331,
    short_parts: 331,
    empty_parts: 331,
    waiting_replies: 100,
    unread_errors: 10,
    ping_flood: 1,
    unknown_flood: 1,
    short_deadline_flood: 1,
    new_plan_flood: 1,
    new_customer_flood: 1,
    request_flood: 1,
    resets: 4,
    same_ids: 8,
    idle_crowd: 331,
}
# Played by soak_mixed_clients.py only, so that the draws of soak_hostile_clients.py stay.
MIXED_KINDS = [*KINDS, slow_answer_readers]
BY_NAME = {kind.__name__: kind for kind in MIXED_KINDS}


def main():
    """Run one kind of client."""
    name, port, connection_count, seconds = sys.argv[1:]
    load = Load(int(port), int(connection_count), float(seconds))
    uvloop.run(BY_NAME[name](load))
    print(load.sent_count)


if __name__ == "__main__":
    main()
