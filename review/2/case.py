"""Case 2: an answer that never ends holds back the answer to the client's next request."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

from harness import (
    CUSTOMER,
    LOOPBACK,
    Behaviour,
    Command,
    Host,
    Record,
    Site,
    command,
    main,
    read_answer,
    service_class,
    settings,
    value_answer,
)

CLIENTS = 4
VALUE = b"v" * 100_000
NULL_PARTS = b"$-1\r\n$-1\r\n"  # the figures on use and the load report, after the value
THINK_S = 0.5  # between the first answer and the second request
READ_DEADLINE_MS = 3_000
WRITE_DEADLINE_MS = 7_500
# The pages allow 50 ms for sockets past the deadline, and half a second in which an answer earns nothing.
ALLOWED_S = 0.05 + 0.5
WATCH_S = 30.0  # for a look at when the answer comes; it has no part in the check


def host_behaviour(record: Record, name: str, trouble: bool) -> Behaviour:
    """Return the behaviour of a host; with `trouble`, an answer to a statement lacks its last parts."""

    async def behave(words: Command, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.05)
        if words[3].startswith(b"c=settlement"):
            record.write(f"{name}: ran {words[2].decode()} and answers it whole")
            writer.write(value_answer(b"settled"))
        elif trouble:
            record.write(
                f"{name}: answers {words[2].decode()} with the whole value and never ends the answer"
            )
            writer.write(value_answer(VALUE).removesuffix(NULL_PARTS))
        else:
            writer.write(value_answer(VALUE))

    return behave


async def run_client(site: Site, number: int) -> bool:
    """Send a read, take its whole value, then a write; return whether the write was answered in time."""
    record = site.record
    reader, writer = await asyncio.open_connection(LOOPBACK, site.port, limit=2**20)
    limits = b"t=utility,d=%d,units=1,spread=1,first=0"
    first, second = b"statement%d" % number, b"settlement%d" % number
    writer.write(command(b"API.READ", CUSTOMER, first, b"c=statement," + limits % READ_DEADLINE_MS))
    answer = await read_answer(reader)
    is_whole = answer == b"$%d\r\n%s\r\n" % (len(VALUE), VALUE)
    record.write(
        f"{first.decode()}: answer of {len(answer)} bytes, {'the whole value' if is_whole else answer[:30]}"
    )
    await asyncio.sleep(THINK_S)
    fields = b"c=settlement,k=key%d,%s" % (number, limits % WRITE_DEADLINE_MS)
    writer.write(command(b"API.WRITE", CUSTOMER, second, fields, b"BODY"))
    sent_at = time.monotonic()
    record.write(f"{second.decode()}: sent on the same connection, d={WRITE_DEADLINE_MS}")
    answer = b""
    try:
        async with asyncio.timeout_at(sent_at + WATCH_S):
            answer = await read_answer(reader)
    except TimeoutError:
        pass
    took = time.monotonic() - sent_at
    is_in_time = bool(answer) and took <= WRITE_DEADLINE_MS / 1000 + ALLOWED_S
    record.write(
        f"{second.decode()}: {answer[:24]!r} after {took:.3f} s: {'in time' if is_in_time else 'lost'}"
    )
    writer.close()
    return is_in_time


async def run(record: Record, trouble: bool) -> bool:
    """Run the clients and return whether each write got its final answer in time."""
    hosts = [Host(f"s-{number}", host_behaviour(record, f"s-{number}", trouble)) for number in range(4)]
    classes = [service_class("statement", 6, "pure", 2.5), service_class("settlement", 15, "token", 4)]
    async with Site(record, hosts, settings(classes)) as site:
        return all(await asyncio.gather(*(run_client(site, number) for number in range(CLIENTS))))


if __name__ == "__main__":
    sys.exit(main(Path(__file__).resolve().parent, run))
