"""Clients send many commands at once and go; afterwards the gateway refuses everybody for good."""

from __future__ import annotations

import asyncio
import sys
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

WORK_S = {b"c=reading": 0.025, b"c=statement": 0.055}  # of a host, by class
COMMANDS = 600  # that a client sends at once
READINGS = 60  # that come first among them, the others are statements
CUSTOMERS = 8  # whose requests come on a connection in turn
STAYS_S = (0.2, 0.25, 0.3)  # before it goes, each in turn
LEAVERS = 80  # such clients, one after another
REST_S = 6.0  # without any client, longer than the longest deadline
PROBES, PROBE_INTERVAL_S = 20, 0.3  # of a sound client afterwards: over 4 s, and more than 15 requests


async def answer(host: Host, words: Words, writer: asyncio.StreamWriter) -> None:
    """Answer after the work of the class."""
    await asyncio.sleep(WORK_S[words[3].split(b",")[0]])
    writer.write(served(b"value"))


async def send_much(record: Record, port: int, number: int, stays_s: float, *, goes: bool) -> None:
    """Send many commands at once; go after a while, or stay until all are answered."""
    client = Client(record, f"{number}", port)
    await client.connect()
    customer = 0x1000 + CUSTOMERS * number
    commands = [
        read_command(
            f"a{number:03x}{i:012x}",
            3000,
            "reading" if i < READINGS else "statement",
            customer + i % CUSTOMERS,
        )
        for i in range(COMMANDS)
    ]
    await client.send(b"".join(commands), f"{COMMANDS} commands at once")
    if goes:
        await asyncio.sleep(stays_s)
        client.close()
        record(f"client {number} has closed its connection")
        return
    while client.received.count(b"value") + client.received.count(b"-") < COMMANDS:
        if not await client.read(65536):
            break
    client.close()
    got = client.received.count(b"value"), client.received.count(b"-BUSY"), client.received.count(b"-ERR")
    record(f"client {number} got served, refused, failed: {got}")


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
        clients = []
        for number in range(LEAVERS):
            stays_s = STAYS_S[number % len(STAYS_S)]
            clients.append(asyncio.create_task(send_much(record, port, number, stays_s, goes=trouble)))
            await asyncio.sleep(stays_s + 0.1)
        await asyncio.gather(*clients)
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
