"""Case 1: writes with values of 4 MiB, one after another, take the gateway over its limit on memory."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from harness import (
    CUSTOMER,
    LOOPBACK,
    MIB,
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

CLIENTS = 4
WRITES = 30  # by each client, each sent after the answer to the one before
PIECES = 8
PIECE_GAP_S = 0.01
MEMORY_MB = 192
LARGE, ORDINARY = 4 * MIB, MIB // 16
DEADLINE_MS = 15_000


async def enforce_memory_limit(site: Site) -> None:
    """Kill the gateway once it holds more than its limit, as the platform does."""
    process = site.process
    assert process is not None
    while process.returncode is None:
        if (used := site.memory_mb()) > MEMORY_MB:
            site.record.write(f"platform: gateway holds {used:.0f} MB, limit {MEMORY_MB} MB: killed")
            process.kill()
            await process.wait()
        await asyncio.sleep(0.02)


async def write_values(site: Site, client: int, size: int) -> list[bytes]:
    """Send the writes of one client and return the answers; b"" for none."""
    answers = []
    body = bytes(size)
    reader, writer = await asyncio.open_connection(LOOPBACK, site.port)
    for number in range(WRITES):
        name = b"w%d-%d" % (client, number)
        fields = b"c=settlement,t=utility,d=%d,k=%s,units=1,spread=1,first=0" % (DEADLINE_MS, name)
        text = command(b"API.WRITE", CUSTOMER, name, fields, body)
        for start in range(0, len(text), len(text) // PIECES + 1):
            writer.write(text[start : start + len(text) // PIECES + 1])
            await asyncio.sleep(PIECE_GAP_S)
        answers.append(await read_answer(reader))
        shown = answers[-1][:24]
        site.record.write(
            f"sent {name.decode()} of {size} bytes, answered {shown!r} {site.memory_mb():.0f} MB"
        )
        if not answers[-1]:
            break
    writer.close()
    return answers


async def run(record: Record, trouble: bool) -> bool:
    """Send the writes and return whether the gateway lived and answered each of them."""
    hosts = [Host(f"s-{number}", working_host(0.05)) for number in range(4)]
    site = Site(record, hosts, settings([service_class("settlement", 15, "token", aim_s=4)]))
    site.limits["memory_mb"] = MEMORY_MB
    async with site:
        assert site.process is not None
        platform = asyncio.create_task(enforce_memory_limit(site))
        size = LARGE if trouble else ORDINARY
        results = await asyncio.gather(
            *(write_values(site, client, size) for client in range(CLIENTS)), return_exceptions=True
        )
        is_alive = site.process.returncode is None
        platform.cancel()
        ran = sum(len(host.commands) for host in hosts)
        lost = [result for result in results if not isinstance(result, list) or b"" in result]
        record.write(
            f"alive={is_alive} peak={site.peak_mb:.0f} MB run={ran} clients without an answer={len(lost)}"
        )
    return is_alive and not lost


if __name__ == "__main__":
    sys.exit(main(Path(__file__).resolve().parent, run))
