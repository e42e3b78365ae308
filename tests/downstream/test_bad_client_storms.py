"""Hundreds of misbehaving peers beside a client with sequential requests: it is served, no state leaks."""

import asyncio
import os
import socket
from time import monotonic

import pytest
from netkit import Node, StubHost, command, on_loop, read_reply, wait_until

from api_gateway.downstream.connection_timeouts import COMMAND_TIMEOUT_S

PEERS = 150
RESET = b"\x01\0\0\0\0\0\0\0"  # SO_LINGER on, 0 s: closing sends RST
PING = b"*1\r\n$4\r\nPING\r\n"


def reset(writer):
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()


async def drip(reader, writer):
    """Send single bytes, never a complete command, and expect an error line and a close within 3 s.

    It stops sending before the time-out, because a byte that is unread at the close would reset the
    connection and lose the error line.
    """
    closed, started_at = asyncio.create_task(reader.read()), monotonic()
    for byte in PING[:-1]:
        if monotonic() - started_at < COMMAND_TIMEOUT_S / 2:
            writer.write(bytes([byte]))
            await asyncio.wait([closed], timeout=0.3)
    assert (await asyncio.wait_for(closed, 3.0)).startswith(b"-ERR")


async def come_and_go(reader, writer):
    writer.close()


async def reset_at_once(reader, writer):
    reset(writer)


async def reset_in_a_command(reader, writer):
    writer.write(command()[:40])
    await asyncio.sleep(0.05)
    reset(writer)


async def reset_with_work_out(reader, writer):
    writer.write(command(b"w%d" % id(writer), customer=b"%016x" % (id(writer) % 2**33)))
    await asyncio.sleep(0.02)
    reset(writer)


async def reset_with_commands_waiting(reader, writer):
    writer.write(b"".join(command(b"p%d-%d" % (id(writer), n), customer=b"%016x" % n) for n in range(50)))
    await asyncio.sleep(0.02)
    reset(writer)


async def never_reads(reader, writer):
    writer.transport.pause_reading()
    writer.write(PING * 2000)
    await asyncio.sleep(0.5)
    reset(writer)


MISBEHAVIOURS = (
    drip,
    come_and_go,
    reset_at_once,
    reset_in_a_command,
    reset_with_work_out,
    reset_with_commands_waiting,
    never_reads,
)


@pytest.mark.parametrize("more", [{"edge": {"connects": 4, "new_per_source": 1e5}}, None])
@pytest.mark.parametrize("bad", MISBEHAVIOURS)
@on_loop
async def test_a_client_is_served_beside_bad_peers_that_leave_no_state(bad, more, scratch):
    async with StubHost() as host, Node(host, path=scratch, config_overrides=more) as node:
        server, replies = node.node.clients, []
        light = await node.connect()
        light[1].write(PING)
        await read_reply(light[0])
        open_before = len(os.listdir("/proc/self/fd"))

        async def peer():
            reader, writer = await node.connect()
            await bad(reader, writer)
            writer.close()

        async def send_requests():
            while True:
                light[1].write(command(b"l%d" % len(replies), customer=b"%016x" % 7777))
                replies.append(await read_reply(light[0]))
                await asyncio.sleep(0.01)

        request_task = asyncio.create_task(send_requests())
        for _ in range(2):
            await asyncio.gather(*(peer() for _ in range(PEERS)), return_exceptions=bad is not drip)
        answered_before = len(replies)
        await wait_until(lambda: len(replies) > answered_before)  # it is still being served
        request_task.cancel()
        assert {reply[:1] for reply in replies} <= {b"$", b"-"}
        await wait_until(
            lambda: len(server.connections) == 1 and set(node.node.in_flight) <= {b"l%d" % len(replies)}
        )
        upstream = node.node.upstream
        await wait_until(
            lambda: len(os.listdir("/proc/self/fd")) <= open_before + len(upstream.connections) * 2
        )
        assert (
            len(server.timed_connections) <= 1
            and not server.body_budget.reserved_bytes
            and not server.body_budget.waiting
        )
        if more:
            listener = server.listener
            await wait_until(
                lambda: not listener.connecting_tasks
            )  # a finished task is removed one iteration later
            assert sum(source.open_connections for source in listener.limiter.sources.values()) == 1
            assert sum(source.connection_count for source in listener.scheduler.sources.values()) == 1
            await wait_until(lambda: listener.scheduler.count_waiting() == 0)


@on_loop
async def test_a_burst_of_commands_in_a_drain_is_answered_and_disconnected(scratch):
    async with StubHost() as host, Node(host, path=scratch, config_overrides={"edge": {}}) as node:
        peers = [await node.connect() for _ in range(40)]
        for number, (_, writer) in enumerate(peers):
            writer.write(b"".join(command(b"%d-%d" % (number, n), customer=b"%016x" % n) for n in range(20)))
        assert (await node.call_control("POST /standby"))[0] == 200
        for reader, _ in peers:
            replies = [line async for line in replies_of(reader)]
            assert len(replies) == 20 and all(reply[:1] in (b"$", b"-") for reply in replies)
        await wait_until(lambda: not node.node.clients.connections)
        assert (await node.call_control("POST /active"))[0] == 200
        assert (await node.send_command(command(b"after")))[:1] in (b"$", b"-")


async def replies_of(reader):
    while reply := await read_reply(reader):
        yield reply
