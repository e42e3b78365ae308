"""A request is freed, with its body, as soon as it is finished, without help from the garbage collector."""

import asyncio
import gc

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
    terms,
    wait_until,
)

from api_gateway.downstream.large_body import LargeBody
from api_gateway.gateway.in_flight import InFlightRequest
from api_gateway.upstream.attempt import Attempt

MIB = 2**20
LARGE = bytes(MIB)
MEMORY_LIMIT_MB = 64  # of the configuration; the gateway is killed above it
CLIENTS = 4
WRITES_PER_CLIENT = 8  # of 4 MiB each, so twice the memory limit in all


@pytest.fixture
def count_objects():
    """Return a function that counts the requests, bodies and attempts created in the test and not freed."""
    kinds = (InFlightRequest, LargeBody, Attempt)

    def find():
        return [found for found in gc.get_objects() if type(found) in kinds]

    gc.collect()
    gc.disable()
    earlier = {id(found) for found in find()}
    yield lambda: [type(found).__name__ for found in find() if id(found) not in earlier]
    gc.enable()


def answer(value):
    return b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (len(value), value)


def upload(id=b"w1", **overrides):
    return command(id, terms(c="write", k="77", **overrides), b"API.WRITE", body=LARGE)


# Guards against a reference cycle of a request and its reply, which kept bodies beyond their reservation.
@pytest.mark.parametrize("value", [b"value", LARGE], ids=["small value", "large value"])
@on_loop
async def test_an_answered_write_leaves_nothing_on_an_open_connection(value, scratch, count_objects):
    async with StubHost(answer(value)) as host, Node(host, path=scratch) as node:
        reader, writer = await node.connect()
        for n in range(3):
            writer.write(upload(b"w%d" % n))
            assert await read_reply(reader) == b"$%d\r\n%s\r\n" % (len(value), value)
        await wait_until(lambda: not node.node.in_flight)
        await wait_until(lambda: not count_objects())
        assert node.node.clients.body_budget.reserved_bytes == 0


# Guards against bodies that stay with a reply that waits behind an earlier one, beyond their reservation.
@on_loop
async def test_an_answered_write_behind_an_unanswered_command_leaves_only_the_latter(scratch, count_objects):
    held = asyncio.Event()

    class Host(StubHost):
        async def answer_to(self, received):
            if received[2] == b"r0":
                await held.wait()
            return answer(b"value")

    async with Host() as host, Node(host, path=scratch) as node:
        reader, writer = await node.connect()
        writer.write(command(b"r0") + upload(b"w1") + upload(b"w2"))
        await wait_until(lambda: len(host.commands) == 3)
        await wait_until(lambda: sorted(count_objects()) == ["Attempt", "InFlightRequest"])
        held.set()
        assert [await read_reply(reader) for _ in range(3)] == [SERVED] * 3


# Guards against a body that is released twice, by the connection and by the request.
@pytest.mark.parametrize("plan", ["small", "nothing"], ids=["over quota", "invalid"])
@on_loop
async def test_a_rejected_write_leaves_nothing_and_is_released_once(plan, scratch, count_objects):
    async with StubHost() as host, Node(host, path=scratch) as node:
        reader, writer = await node.connect()
        replies = []
        for n in range(4):
            writer.write(upload(b"w%d" % n, t=plan))
            replies.append(await read_reply(reader))
            assert node.node.clients.body_budget.reserved_bytes == 0
        assert sum(reply.startswith(b"-") for reply in replies) >= 3
        await wait_until(lambda: not count_objects())


# Guards against a body that is released twice where the request is finished while it is being admitted.
@on_loop
async def test_a_write_that_is_rejected_at_once_is_released_once(scratch, count_objects):
    async with StubHost() as host, Node(host, path=scratch) as node:
        requests = node.node.requests
        node.node.dispatcher.dispatch = lambda event: requests.finish(
            requests.in_flight[event.request_id], b"-BUSY\r\n"
        )
        reader, writer = await node.connect()
        for n in range(2):
            writer.write(upload(b"w%d" % n))
            assert await read_reply(reader) == b"-BUSY\r\n"
            assert node.node.clients.body_budget.reserved_bytes == 0
        await wait_until(lambda: not count_objects())


# Guards against bodies that stay after a client has left or a value has broken off.
@on_loop
async def test_a_client_that_leaves_and_a_value_that_breaks_off_leave_nothing(scratch, count_objects):
    async with StubHost(None) as host, Node(host, path=scratch) as node:
        _, writer = await node.connect()
        writer.write(upload(b"w1"))
        await wait_until(lambda: len(host.commands) == 1)
        writer.close()
        await wait_until(lambda: not node.node.clients.connections)
        reader, writer = await node.connect()
        writer.write(upload(b"w2"))
        await wait_until(lambda: len(host.commands) == 2)
        host.writers[-1].write(answer(LARGE)[:200000])
        await reader.readexactly(1000)
        for host_writer in host.writers:
            host_writer.close()
        await wait_until(lambda: not node.node.in_flight and not count_objects())


class EarlyRefusalHost(StubHost):
    """Answers BUSY to the first bytes of a command and reads no more."""

    async def serve(self, reader, writer):
        await reader.read(1000)
        writer.write(b"-BUSY\r\n")
        await asyncio.Event().wait()


# Guards against a body that stays in the buffer of a connection whose host answered before it read.
@on_loop
async def test_an_answer_before_the_body_is_written_leaves_no_body_in_the_buffer(scratch):
    async with EarlyRefusalHost() as host, Node(host, path=scratch) as node:
        reader, writer = await node.connect()
        writer.write(command(b"w1", terms(c="write", k="77"), b"API.WRITE", body=LARGE * 4))
        assert (await read_reply(reader)).startswith(b"-BUSY")
        await wait_until(lambda: not node.node.in_flight)
        assert not [c for c in node.node.upstream.connections if c.transport.get_write_buffer_size()]


# Guards against a gateway that is killed for its memory by large writes that come one after another.
@on_loop
async def test_large_writes_in_turn_keep_a_gateway_within_its_memory_limit(scratch):
    async with StubHost() as host, StubDiscovery() as discovery, StubCounter() as counter:
        discovery.servers = [entry(host)]
        config = gateway_config(discovery.servers, discovery.port, counter.port)
        config["limits"]["memory_mb"] = MEMORY_LIMIT_MB
        async with gateway_process(scratch, config) as gateway:
            await gateway.wait_until_ready()
            used_mb = []

            async def write(client):
                reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
                for n in range(WRITES_PER_CLIENT):
                    fields = terms(c="write", k=f"{client}-{n}")
                    writer.write(command(b"w%d-%d" % (client, n), fields, b"API.WRITE", body=LARGE * 4))
                    assert await read_reply(reader) == SERVED
                    used_mb.append(gateway.anonymous_mb())
                writer.close()

            await asyncio.gather(*(write(client) for client in range(CLIENTS)))
            assert max(used_mb) < MEMORY_LIMIT_MB
