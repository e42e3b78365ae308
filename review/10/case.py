"""A host's connection is reset in the middle of a long value, and a settlement waits behind that."""

from __future__ import annotations

import asyncio
import os
import socket
import struct
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
    write_command,
)

VALUE = bytes(range(256)) * 4096  # 1 MiB; a value may have 4
RESET_AFTER_S = 1.5  # in the middle of the value
SETTLEMENTS = 5  # of the client, behind its statement on the connection
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


async def answer(host: Host, words: Words, writer: asyncio.StreamWriter) -> None:
    """Answer a settlement after some work; give a statement's value in two halves, or reset in between."""
    if words[0] == b"API.WRITE":
        await asyncio.sleep(0.1)
        writer.write(served(b"posted"))
        host.record(f"host {host.name} has run and answered {words[2].decode()}")
        return
    text = served(VALUE)
    writer.write(text[: len(text) // 2])
    await asyncio.sleep(RESET_AFTER_S)
    if TROUBLE:
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()
        host.record(f"the connection of host {host.name} is reset under {words[2].decode()}")
        return
    writer.write(text[len(text) // 2 :])


async def read_all(client: Client, expected_bytes: int) -> None:
    """Read until all has come or the connection ends."""
    while len(client.received) < expected_bytes and await client.read(65536):
        pass


async def case(record: Record, _: bool) -> int:
    """Return whether each settlement of the client was answered."""
    hosts = [Host(name, record, answer) for name in "abc"]
    async with Site(record, hosts, settings()) as site:
        client = Client(record, "front", site.gateway.port)
        await client.connect()
        await client.send(read_command("9b1f03aa5c7e2d41", 6000), "API.READ 9b1f03aa5c7e2d41")
        await asyncio.sleep(0.2)
        ids = [f"9b1f03aa5c0{number:05x}" for number in range(SETTLEMENTS)]
        for request_id in ids:
            await client.send(write_command(request_id, 15_000), f"API.WRITE {request_id}")
        behind = b"$6\r\nposted\r\n"
        expected_bytes = len(b"$%d\r\n%s\r\n" % (len(VALUE), VALUE)) + SETTLEMENTS * len(behind)
        try:
            async with asyncio.timeout(20):
                await read_all(client, expected_bytes)
        except TimeoutError:
            record("nothing more has come for 20 s")
        answered = client.received.count(behind)
        runs = sum(request_id in ids for host in hosts for request_id in host.runs)
        record(
            f"client front has {len(client.received)} of {expected_bytes} bytes, {answered} answers to "
            f"{SETTLEMENTS} settlements, of which {runs} have run; connection: {client.end or 'open'}"
        )
        client.close()
        if not runs:
            raise NotRunError("no host got a settlement")
        return HELD if answered == SETTLEMENTS else BROKEN


run_case(Path(__file__).resolve().parent, case)
