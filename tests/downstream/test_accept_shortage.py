"""A momentary shortage of descriptors at accept closes no client connection unread."""

import asyncio
import os
import resource
import socket

import pytest
from gateway_process import gateway_process
from netkit import (
    SERVED,
    Node,
    StubCounter,
    StubDiscovery,
    StubHost,
    command,
    entry,
    gateway_config,
    on_loop,
    read_reply,
    wait_until,
)

SHORTAGE_S, RECOVERY_S = 0.02, 0.04  # periods without and with free descriptors


def lowest_free_descriptor(process):
    """Return the lowest free descriptor number, the limit at which no further descriptor can be opened."""
    used_numbers, limit = {int(fd) for fd in os.listdir(f"/proc/{process.pid}/fd")}, 0
    while limit in used_numbers:
        limit += 1
    return limit


async def cycle_descriptor_limit(process):
    """Repeatedly deny the process new descriptors for a moment."""
    hard = resource.prlimit(process.pid, resource.RLIMIT_NOFILE)[1]
    while True:
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (lowest_free_descriptor(process), hard))
        await asyncio.sleep(SHORTAGE_S)
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (256, hard))
        await asyncio.sleep(RECOVERY_S)


@pytest.mark.parametrize("edge", [{}, {"edge": {}}], ids=["", "edge"])
@on_loop
async def test_a_momentary_descriptor_shortage_closes_no_new_connection_unread(edge, tmp_path):
    """Each request uses a new connection, which the kernel accepts even if the process has no descriptor."""
    async with StubHost() as host, StubCounter() as counter, StubDiscovery() as discovery:
        discovery.servers = [entry(host)]
        tree = gateway_config([entry(host)], discovery.port, counter.port) | edge
        async with gateway_process(tmp_path, tree) as gateway:
            await gateway.wait_until_ready()
            unanswered, replies = [], []

            async def send_request(number):
                reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
                writer.write(command(b"r%d" % number))
                try:
                    reply = await read_reply(reader)
                except OSError as err:
                    reply = repr(err).encode()
                (replies if reply[:1] in (b"$", b"-") else unanswered).append(reply)
                writer.close()

            shortage_task = asyncio.create_task(cycle_descriptor_limit(gateway.process))
            for start in range(0, 400, 10):
                await asyncio.gather(*(send_request(number) for number in range(start, start + 10)))
            shortage_task.cancel()
            assert not unanswered
            assert replies.count(SERVED) > 300


@pytest.mark.parametrize("edge", [{}, {"edge": {}}], ids=["", "edge"])
@on_loop
async def test_the_descriptor_of_a_client_aborted_on_accept_is_closed_once(edge, tmp_path):
    """A second close could hit another connection that reuses the descriptor number."""
    async with StubHost() as host, Node(host, path=tmp_path, config_overrides=edge) as node:
        node.node.limits.apply = lambda: None
        node.node.clients.capacity = 0
        descriptors = []
        listener = node.node.clients.listener
        connect_accepted_socket = listener.loop.connect_accepted_socket

        class RecordingLoop:
            """The event loop, which also records the descriptor of each accepted socket after the call."""

            def __getattr__(self, name):
                return getattr(asyncio.get_running_loop(), name)

            async def connect_accepted_socket(self, factory, sock):
                try:
                    await connect_accepted_socket(factory, sock)
                finally:
                    descriptors.append(sock.fileno())

        listener.loop = RecordingLoop()
        peers = [socket.create_connection(("127.0.0.1", node.port)) for _ in range(10)]
        await wait_until(lambda: len(descriptors) == 10)
        assert set(descriptors) == {-1}  # only the transport owns the descriptors
        for peer in peers:
            peer.close()
