"""Clients send many commands at once and go; afterwards the gateway refuses everybody for good."""

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

WORK_S = 0.025  # of a host for a request
COMMANDS = 700  # that a client sends at once
STAYS_S = (0.2, 0.3, 0.4, 0.5)  # before it goes, each in turn
CLIENTS, CLIENTS_S = 2, 36.0  # such clients at a time, each comes again when it has gone, and for how long
CUSTOMERS = 8  # whose requests come on a connection in turn
REST_S = 6.0  # without any client, longer than the longest deadline
PROBES, PROBE_INTERVAL_S = 20, 0.3  # of a sound client afterwards: over 4 s, and more than 15 requests


async def answer(host: Host, words: Words, writer: asyncio.StreamWriter) -> None:
    """Answer after some work."""
    await asyncio.sleep(WORK_S)
    writer.write(served(b"value"))


async def send_much(record: Record, port: int, number: int, ends_at: float, *, goes: bool) -> None:
    """Send many commands at once, and go or stay until all are answered; again and again."""
    visits = 0
    while time.monotonic() < ends_at:
        visits += 1
        client = Client(record, f"{number}.{visits}", port)
        await client.connect()
        commands = [
            read_command(
                f"a{number:x}{visits:04x}{i:010x}",
                3000,
                "reading",
                0x10000 * number + CUSTOMERS * visits + i % CUSTOMERS,
            )
            for i in range(COMMANDS)
        ]
        await client.send(b"".join(commands), f"{COMMANDS} commands at once")
        if goes:
            await asyncio.sleep(STAYS_S[visits % len(STAYS_S)])
        while not goes and client.received.count(b"value") + client.received.count(b"-") < COMMANDS:
            if not await client.read(65536):
                break
        client.close()
        record(f"client {client.name} has closed its connection; it has {len(client.received)} bytes")


async def probe(record: Record, port: int, number: int) -> bytes:
    """Send one request on a connection of its own and return the beginning of its answer."""
    client = Client(record, f"probe {number}", port)
    await client.connect()
    request_id = f"b{number:015x}"
    await client.send(read_command(request_id, 3000, "reading"), f"API.READ {request_id}")
    try:
        async with asyncio.timeout(4):
            await client.read(4096)
    except TimeoutError:
        pass
    client.close()
    record(f"client probe {number} got {bytes(client.received)!r}")
    return bytes(client.received)


async def case(record: Record, trouble: bool) -> int:
    """Return whether the gateway still serves after these clients."""
    hosts = [Host(name, record, answer) for name in "abc"]
    async with Site(record, hosts, settings(group_size=3)) as site:
        port = site.gateway.port
        ends_at = time.monotonic() + CLIENTS_S
        await asyncio.gather(
            *[send_much(record, port, number, ends_at, goes=trouble) for number in range(1, CLIENTS + 1)]
        )
        record(f"nobody sends for {REST_S} s")
        await asyncio.sleep(REST_S)
        if not any(host.runs for host in hosts):
            raise NotRunError("no host got a request")
        attempts = sum(len(host.runs) for host in hosts)
        answers = []
        for number in range(PROBES):
            answers.append(await probe(record, port, number))
            await asyncio.sleep(PROBE_INTERVAL_S)
        attempts = sum(len(host.runs) for host in hosts) - attempts
        refused = sum(text.startswith(b"-BUSY") for text in answers)
        record(f"of {PROBES} requests {refused} were refused; {attempts} attempts in that time")
        return BROKEN if refused == PROBES and not attempts else HELD


run_case(Path(__file__).resolve().parent, case)
