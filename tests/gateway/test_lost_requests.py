"""Requests that a real gateway process at its limit of connections has read, and has to answer."""

import asyncio
import contextlib
import time
from pathlib import Path

import pytest
from gateway_process import PING, PONG, gateway_process
from netkit import (
    SETTINGS,
    StubCounter,
    StubDiscovery,
    StubHost,
    call_control,
    command,
    entry,
    gateway_config,
    on_loop,
    read_reply,
    terms,
)

MEMORY_MB, DESCRIPTORS = 32, 256
CLIENT_CAPACITY = 96  # of a process with these descriptors
UPLOAD_BYTES, UPLOAD_STEP_BYTES, UPLOAD_INTERVAL_S = 9000, 300, 0.3  # within its time, and slowly


@contextlib.asynccontextmanager
async def small_gateway(folder):
    """Run a process with the fewest descriptors that the operators give; yield it and its hosts."""
    async with (
        StubCounter() as counter,
        StubDiscovery() as discovery,
        StubHost() as first,
        StubHost() as other,
    ):
        discovery.servers = [entry(first, "h1"), entry(other, "h2")]
        config = gateway_config(discovery.servers, discovery.port, counter.port, SETTINGS)
        config["limits"] |= {"memory_mb": MEMORY_MB, "sockets": DESCRIPTORS}
        async with gateway_process(Path(folder), config) as gateway:
            await gateway.wait_until_ready()
            yield gateway, (first, other)


async def upload_slowly(port, number):
    """Keep a place for a connection busy, with one large body after another."""
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        while True:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            request_id = b"upload-%d-%d" % (number, time.monotonic_ns())
            body = b"x" * UPLOAD_BYTES
            text = command(request_id, terms(c="note"), b"API.WRITE", body=body)
            writer.write(text[:1000])
            for start in range(1000, len(text), UPLOAD_STEP_BYTES):
                await asyncio.sleep(UPLOAD_INTERVAL_S)
                writer.write(text[start : start + UPLOAD_STEP_BYTES])
            await read_reply(reader)
            writer.close()


async def read_or_end(reader):
    """Return a reply, or b"" if the connection ends or is reset before it."""
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        return await read_reply(reader)
    return b""


async def ended_reasons(gateway):
    """Return the counts of ended connections by reason."""
    return (await call_control(gateway.control_port, "GET /metrics"))[1]["connections_ended"]


# Guards against a request that is handled after its connection was shut behind an earlier reply.
@pytest.mark.parametrize(
    "answered_at_once",
    [PING, b"*1\r\n$7\r\nUNKNOWN\r\n", command(b"no-time", terms(d="0"))],
    ids=["ping", "unknown", "no-time"],
)
@on_loop
async def test_a_request_behind_one_answered_at_once_is_not_lost_at_the_limit(answered_at_once, tmp_path):
    async with small_gateway(tmp_path) as (gateway, _):
        uploads = [asyncio.create_task(upload_slowly(gateway.port, n)) for n in range(CLIENT_CAPACITY + 1)]
        while (await gateway.status())["clients"] < CLIENT_CAPACITY:
            await asyncio.sleep(0.02)
        replies = []
        for number in range(30):
            reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
            writer.write(answered_at_once + command(b"behind-%d" % number))
            replies.append((await read_or_end(reader), await read_or_end(reader)))
            writer.close()
            await asyncio.sleep(0.02)
        for upload in uploads:
            upload.cancel()
        read = [(first, second) for first, second in replies if first]
        assert read
        assert all(second for _, second in read)
        assert "request_lost" not in await ended_reasons(gateway)


# Guards against a connection that is evicted although a command on it has begun.
@pytest.mark.parametrize("crowd_size", [30, 170])
@on_loop
async def test_a_crowd_ends_no_connection_that_has_sent_half_of_a_command(crowd_size, tmp_path):
    async with small_gateway(tmp_path) as (gateway, _):
        peers = [await asyncio.open_connection("127.0.0.1", gateway.port) for _ in range(85)]
        for reader, writer in peers:
            writer.write(PING)
            assert await read_reply(reader) == PONG
        commands = [command(b"half-%d" % number) for number in range(len(peers))]
        for (_, writer), text in zip(peers, commands, strict=True):
            writer.write(text[: len(text) // 2])
        await asyncio.sleep(0.2)
        crowd = [await asyncio.open_connection("127.0.0.1", gateway.port) for _ in range(crowd_size)]
        replies = []
        for (reader, writer), text in zip(peers, commands, strict=True):
            writer.write(text[len(text) // 2 :])
            replies.append(await read_or_end(reader))
        for _, writer in [*peers, *crowd]:
            writer.close()
        assert all(replies)
