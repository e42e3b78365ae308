"""The end of a process, with deadlines so short that SIGKILL comes soon after SIGTERM."""

import asyncio
import random
import signal
import socket
import time

import pytest
from gateway_process import gateway_process
from netkit import (
    SETTINGS,
    Node,
    StubCounter,
    StubDiscovery,
    StubHost,
    command,
    entry,
    gateway_config,
    on_loop,
    read_reply,
    terms,
    wait_until,
    wait_until_settled,
)

from api_gateway.emulators.host import VALUE
from api_gateway.gateway import shutdown

S = 1_000_000_000
CLIENTS, PAUSE = 200, 0.03  # connections; s for which each rests at most between two requests


class SlowHost(StubHost):
    """Answers after a while, and some commands never."""

    async def answer_to(self, got):
        await asyncio.sleep(random.uniform(0.0, 0.05))
        return VALUE if random.random() < 0.9 else None


@pytest.mark.parametrize("deadline", [0.15, 0.4])
@on_loop
async def test_clients_that_send_to_the_end_lose_nothing_that_was_forwarded(deadline, tmp_path):
    """Each rests for a moment between two requests, and the kill comes at the page's earliest."""
    times = {"deadline": int(deadline * S), "slo": int(deadline * S / 2)}
    services = [cls | times for cls in SETTINGS["services"]]
    async with SlowHost() as one, SlowHost() as two, StubCounter() as counter, StubDiscovery() as discovery:
        discovery.servers = [entry(one, "h1"), entry(two, "h2")]
        tree = gateway_config(
            discovery.servers, discovery.port, counter.port, SETTINGS | {"services": services}
        )
        async with gateway_process(tmp_path, tree) as process:
            await process.wait_until_ready()
            unanswered = set()

            async def send(number):
                reader, writer = await asyncio.open_connection("127.0.0.1", process.port)
                for turn in range(10_000):
                    name = b"%d-%d" % (number, turn)
                    unanswered.add(name)
                    writer.write(command(name, terms(d=int(deadline * 1000))))
                    try:
                        if not await read_reply(reader):
                            break
                    except OSError:
                        break
                    unanswered.discard(name)
                    await asyncio.sleep(random.uniform(0.0, PAUSE))
                writer.close()

            sending = [asyncio.create_task(send(number)) for number in range(CLIENTS)]
            await asyncio.sleep(0.5)
            began = time.monotonic()
            process.signal(signal.SIGTERM)
            while process.process.returncode is None and time.monotonic() - began < deadline + 0.7:
                await asyncio.sleep(0.01)
            process.signal(signal.SIGKILL)
            await asyncio.gather(*sending)
        forwarded = {got[2] for host in (one, two) for got in host.commands}
    assert not unanswered & forwarded


@pytest.mark.parametrize("more", [{}, {"edge": {}}], ids=["", "edge"])
@on_loop
async def test_a_command_that_becomes_whole_as_the_process_gives_up_is_not_forwarded(
    more, tmp_path, monkeypatch
):
    """Its connection is open, as half of it had come; no time is left in which it could be answered."""
    monkeypatch.setattr(shutdown, "KILL_DELAY_S", 0.2)
    monkeypatch.setattr(shutdown, "ACCEPT_PERIOD_S", 0.0)
    async with StubHost() as host, Node(host, path=tmp_path, config_overrides=more) as node:
        for _ in range(2):  # connections to the host that rest
            await asyncio.gather(*(node.send_command(command(b"r%d" % number)) for number in range(4)))
        await wait_until_settled(node.node.upstream.pools["h1"])
        host.answer = None
        while not host.arrived.empty():
            host.arrived.get_nowait()
        _, busy = await node.connect()
        late = socket.create_connection(("127.0.0.1", node.port))  # what it sends is there at once
        busy.write(command(b"busy"))
        await host.arrived.get()
        text = command(b"late")
        late.sendall(text[:30])
        await wait_until(
            lambda: any(client.partial_command_bytes for client in node.node.clients.connections)
        )
        abandon = node.node.requests.abandon

        def abandoned(work):
            late.sendall(text[30:])
            abandon(work)

        node.node.requests.abandon = abandoned
        await node.node.stop()
        late.close()
    assert b"late" not in [got[2] for got in host.commands]
