"""Case 3: whole requests stay unanswered past their time while large values are written slowly."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

from harness import (
    CUSTOMER,
    LOOPBACK,
    MIB,
    PING,
    Host,
    Record,
    Site,
    command,
    main,
    read_answer,
    service_class,
    settings,
    working_host,
)

UPLOADS = 6
UPLOAD_S = 8.0
PIECES = 80
UPLOAD_DEADLINE_MS = 15_000
REQUESTS = 4
REQUEST_BYTES = 100_000
REQUEST_GAP_S = 0.5
DEADLINE_MS = 3_000
# The pages allow 50 ms for sockets past the deadline, and half a second in which an answer earns nothing.
ALLOWED_S = 0.05 + 0.5


async def upload(site: Site, number: int, duration: float) -> None:
    """Write one value of 4 MiB over `duration` seconds and read the answer."""
    reader, writer = await asyncio.open_connection(LOOPBACK, site.port)
    name = b"upload%d" % number
    fields = b"c=settlement,t=utility,d=%d,k=%s,units=1,spread=1,first=0" % (UPLOAD_DEADLINE_MS, name)
    text = command(b"API.WRITE", CUSTOMER, name, fields, bytes(4 * MIB))
    size = len(text) // PIECES + 1
    for start in range(0, len(text), size):
        writer.write(text[start : start + size])
        await writer.drain()
        await asyncio.sleep(duration / PIECES)
    site.record.write(f"{name.decode()} written")
    answer = await read_answer(reader)
    site.record.write(f"{name.decode()} answered {answer[:24]!r}")
    writer.close()


async def request(site: Site, number: int) -> bool:
    """Send one whole request at once; return whether it got its final answer in time."""
    record = site.record
    name = f"request{number}"
    reader, writer = await asyncio.open_connection(LOOPBACK, site.port)
    writer.write(PING)
    await reader.readline()  # the gateway has accepted the connection and reads it
    fields = b"c=reading,t=utility,d=%d,k=%s,units=1,spread=1,first=0" % (DEADLINE_MS, name.encode())
    writer.write(command(b"API.WRITE", CUSTOMER, name.encode(), fields, bytes(REQUEST_BYTES)))
    while writer.transport.get_write_buffer_size():
        await asyncio.sleep(0.005)
    sent_at = time.monotonic()
    record.write(f"{name} sent whole, d={DEADLINE_MS}")
    answer = b""
    try:
        async with asyncio.timeout(4 * DEADLINE_MS / 1000):
            answer = await read_answer(reader)
    except TimeoutError:
        pass
    took = time.monotonic() - sent_at
    is_in_time = bool(answer) and took <= DEADLINE_MS / 1000 + ALLOWED_S
    record.write(f"{name} answer={answer[:24]!r} after {took:.3f} s: {'in time' if is_in_time else 'lost'}")
    writer.close()
    return is_in_time


async def run(record: Record, trouble: bool) -> bool:
    """Send the requests beside the uploads and return whether each got its final answer in time."""
    hosts = [Host(f"s-{number}", working_host(0.05)) for number in range(4)]
    # Settings may give a class another effect than the site does: here both classes carry a key.
    classes = [service_class("settlement", 15, "token", 4), service_class("reading", 3, "token", 1.2)]
    site = Site(record, hosts, settings(classes))
    site.limits = {"cores": 1.0, "memory_mb": 64, "sockets": 256}
    async with site:
        duration = UPLOAD_S if trouble else 0.0
        uploads = [asyncio.create_task(upload(site, number, duration)) for number in range(UPLOADS)]
        tasks = []
        for number in range(REQUESTS):
            await asyncio.sleep(REQUEST_GAP_S)
            tasks.append(asyncio.create_task(request(site, number)))
        results = await asyncio.gather(*tasks)
        await asyncio.gather(*uploads)
        for host in hosts:
            for at, words in host.commands:
                record.write(
                    f"{host.name} ran {words[2].decode()} {words[3].decode()} at {at - record.started_at:.3f}"
                )
    return all(results)


if __name__ == "__main__":
    sys.exit(main(Path(__file__).resolve().parent, run))
