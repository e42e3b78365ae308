"""A want of descriptors at accept that lasts a moment closes no client unread."""

import asyncio
import os
import resource

import pytest
from gateway_process import gateway_process
from netkit import SERVED, StubCounter, StubDiscovery, StubHost, command, entry, on_loop, read_reply, told

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
        tree = told([entry(host)], discovery.port, counter.port) | edge
        async with gateway_process(tmp_path, tree) as gateway:
            await gateway.ready()
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
