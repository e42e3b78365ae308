"""A want of descriptors at accept that lasts a moment closes no client unread."""

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

SHORT, ENOUGH = 0.02, 0.04  # s without a descriptor, and with them


def no_more_descriptors(process):
    """The limit below which every number is in use."""
    used, limit = {int(fd) for fd in os.listdir(f"/proc/{process.pid}/fd")}, 0
    while limit in used:
        limit += 1
    return limit


async def descriptors_come_and_go(process):
    """For a moment the process may open none, again and again."""
    hard = resource.prlimit(process.pid, resource.RLIMIT_NOFILE)[1]
    while True:
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (no_more_descriptors(process), hard))
        await asyncio.sleep(SHORT)
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (256, hard))
        await asyncio.sleep(ENOUGH)


@pytest.mark.parametrize("edge", [{}, {"edge": {}}], ids=["", "edge"])
@on_loop
async def test_a_momentary_want_of_descriptors_closes_no_new_connection_unread(edge, tmp_path):
    """Each request has a connection of its own, which the machine accepts whatever the process can do."""
    async with StubHost() as host, StubCounter() as counter, StubDiscovery() as discovery:
        discovery.servers = [entry(host)]
        tree = gateway_config([entry(host)], discovery.port, counter.port) | edge
        async with gateway_process(tmp_path, tree) as gateway:
            await gateway.wait_until_ready()
            lost, answers = [], []

            async def ask(number):
                reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
                writer.write(command(b"r%d" % number))
                try:
                    reply = await read_reply(reader)
                except OSError as err:
                    reply = repr(err).encode()
                (answers if reply[:1] in (b"$", b"-") else lost).append(reply)
                writer.close()

            wanting = asyncio.create_task(descriptors_come_and_go(gateway.process))
            for start in range(0, 400, 10):
                await asyncio.gather(*(ask(number) for number in range(start, start + 10)))
            wanting.cancel()
            assert not lost
            assert answers.count(SERVED) > 300


@pytest.mark.parametrize("edge", [{}, {"edge": {}}], ids=["", "edge"])
@on_loop
async def test_the_descriptor_of_a_client_that_is_cut_as_it_comes_is_closed_once(edge, tmp_path):
    """Its number may be another connection's at once, which a second close would end unread."""
    async with StubHost() as host, Node(host, path=tmp_path, config_overrides=edge) as node:
        node.node.limits.apply = lambda: None
        node.node.clients.capacity = 0
        owned = []
        listener = node.node.clients.listener
        accept = listener.loop.connect_accepted_socket

        class Loop:
            """The loop, with an eye on what it is given."""

            def __getattr__(self, name):
                return getattr(asyncio.get_running_loop(), name)

            async def connect_accepted_socket(self, factory, sock):
                try:
                    await accept(factory, sock)
                finally:
                    owned.append(sock.fileno())

        listener.loop = Loop()
        peers = [socket.create_connection(("127.0.0.1", node.port)) for _ in range(10)]
        await wait_until(lambda: len(owned) == 10)
        assert set(owned) == {-1}  # the transport's alone
        for peer in peers:
            peer.close()
