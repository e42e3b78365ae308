"""Values and bodies above 64 KiB are streamed in pieces, use bounded memory and are never duplicated."""

import asyncio
import random

import pytest
from netkit import (
    SERVED,
    Node,
    StubHost,
    command,
    limit_client_send_buffers,
    on_loop,
    read_reply,
    terms,
    wait_until,
)

from api_gateway.base.resp import INCOMPLETE, MAX_VALUE_BYTES, STREAMING_THRESHOLD_BYTES, RespReader
from api_gateway.downstream import client_server, connection_timeouts, reply_delivery
from api_gateway.downstream.body_budget import BodyBudget

BIG = bytes(range(256)) * 4096  # 1 MiB
WRITE = terms(c="write", k="77")


def value(data):
    return b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (len(data), data)


def upload(id=b"w1", body=BIG):
    return command(id, WRITE, b"API.WRITE", body=body)


@pytest.mark.parametrize("seed", range(40))
def test_a_large_string_is_complete_however_it_is_split(seed):
    rng = random.Random(seed)
    body = bytes(rng.choice(b"ab\r\n$") for _ in range(STREAMING_THRESHOLD_BYTES + 1 + rng.randrange(3)))
    ping = b"*1\r\n$4\r\nPING\r\n"
    text = ping + b"*2\r\n$1\r\na\r\n$%d\r\n%s\r\n" % (len(body), body) + ping
    reader, values, pieces, offset = RespReader(STREAMING_THRESHOLD_BYTES, (2, 1)), [], [], 0
    while offset < len(text) or reader.large_string_bytes:
        size = rng.choice([1, 2, 3, 50, 40000])
        reader.feed(text[offset : offset + size])
        offset += size
        if reader.large_string_bytes and rng.random() < 0.6:
            reader.pass_on(pieces.append)
        while (command_value := reader.gets()) is not INCOMPLETE:
            values.append(command_value)
    assert b"".join(pieces) == body + b"\r\n" and values == [[b"PING"], [b"a", b""], [b"PING"]]


@pytest.mark.parametrize(
    "text",
    [
        b"*4\r\n$8\r\nAPI.READ\r\n$70000\r\n",
        b"*5\r\n$70000\r\n",
        b"$70000\r\n",
        b"*2\r\n*5\r\n$1\r\na\r\n$1\r\na\r\n$1\r\na\r\n$1\r\na\r\n$70000\r\n",
        b"*5\r\n$1\r\na\r\n$1\r\na\r\n$1\r\na\r\n$1\r\na\r\n$%d\r\n" % (MAX_VALUE_BYTES + 1),
    ],
)
@on_loop
async def test_only_a_body_may_be_large_within_the_protocol_limit(text, tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        writer.write(text)
        assert await reader.read() == b"-ERR protocol error\r\n"


@on_loop
async def test_a_large_value_is_forwarded_as_it_arrives(tmp_path):
    async with StubHost(None) as host, Node(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        writer.write(command(terms=terms(d="400")))
        await host.arrived.get()
        text, host_writer = value(BIG), host.writers[0]
        host_writer.write(text[:100])
        head = b"$%d\r\n" % len(BIG)
        assert await reader.readexactly(len(head) + 50) == head + BIG[:50]
        await asyncio.sleep(0.5)  # past the deadline, which applies only until the first bytes
        for offset in range(100, len(text), 9999):
            host_writer.write(text[offset : offset + 9999])
            await host_writer.drain()
        rest = await reader.readexactly(len(BIG) - 50 + 2)
        assert rest == BIG[50:] + b"\r\n" and len(host.commands) == 1
        host.answer = value(b"value")
        writer.write(command(b"r2"))
        assert await read_reply(reader) == SERVED and not node.node.in_flight


@on_loop
async def test_a_slow_reader_slows_the_host_and_uses_bounded_memory(tmp_path):
    async with StubHost(None) as host, Node(host, path=tmp_path) as node:
        limit_client_send_buffers(node.node)
        reader, writer = await node.connect()
        writer.transport.pause_reading()
        writer.write(command())
        await host.arrived.get()
        big = BIG * 4
        host.writers[0].write(value(big))
        await wait_until(lambda: any(c.is_paused for c in node.node.upstream.connections))
        client = next(iter(node.node.clients.connections))
        assert client.transport.get_write_buffer_size() < 1 << 20
        assert await node.send_command(b"*1\r\n$4\r\nPING\r\n") == b"+PONG\r\n"
        writer.transport.resume_reading()
        assert await read_reply(reader) == b"$%d\r\n%s\r\n" % (len(big), big)


@on_loop
async def test_a_truncated_value_closes_the_connection_and_is_not_retried(tmp_path):
    async with StubHost(None) as one, StubHost(None) as two, Node(one, two, path=tmp_path) as node:
        reader, writer = await node.connect()
        writer.write(command())
        await wait_until(lambda: one.commands or two.commands)
        host_writer = (one.writers or two.writers)[0]
        host_writer.write(value(BIG)[:200000])
        await reader.readexactly(1000)
        host_writer.close()
        assert len(await reader.read()) < len(BIG)
        assert len(one.commands) + len(two.commands) == 1 and not node.node.in_flight
        assert not node.node.engine.requests_in_flight


@on_loop
async def test_a_large_value_waits_for_earlier_replies(tmp_path):
    async with StubHost(None) as host, Node(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        writer.write(command(b"r1") + command(b"r2"))
        await wait_until(lambda: len(host.commands) == 2)
        later = next(n for n, sent in enumerate(host.commands) if sent[2] == b"r2")
        host.writers[later].write(value(BIG))
        await wait_until(lambda: any(request.streaming_attempt for request in node.node.in_flight.values()))
        host.writers[1 - later].write(value(b"value"))
        assert await read_reply(reader) == SERVED
        assert await read_reply(reader) == b"$%d\r\n%s\r\n" % (len(BIG), BIG)


@on_loop
async def test_a_client_that_disconnects_during_a_value_ends_the_attempt(tmp_path):
    async with StubHost(None) as host, Node(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        writer.write(command())
        await host.arrived.get()
        host.writers[0].write(value(BIG)[:200000])
        await reader.readexactly(1000)
        writer.close()
        await wait_until(lambda: not host.connections and not node.node.in_flight)


@on_loop
async def test_a_slow_large_body_is_sent_completely_and_retried_after_a_failure(tmp_path, monkeypatch):
    monkeypatch.setattr(connection_timeouts, "COMMAND_TIMEOUT_S", 0.3)
    answers = [b"-BUSY\r\n", value(b"value")]
    async with (
        StubHost(lambda: answers.pop(0)) as one,
        StubHost(lambda: answers.pop(0)) as two,
        Node(one, two, path=tmp_path) as node,
    ):
        reader, writer = await node.connect()
        text = upload()
        for part in (text[:90], text[90:130], text[130:200], text[200:500000], text[500000:]):
            writer.write(part)
            await asyncio.sleep(0.2)
        assert await read_reply(reader) == SERVED
        sent = one.commands + two.commands
        assert len(sent) == 2 and all(parts[4] == BIG for parts in sent)
        assert node.node.clients.body_budget.reserved_bytes == 0


@on_loop
async def test_a_stalled_body_closes_its_connection_and_releases_its_reservation(tmp_path, monkeypatch):
    monkeypatch.setattr(connection_timeouts, "BODY_PROGRESS_TIMEOUT_S", 0.3)
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        writer.write(upload()[:5000])
        assert await reader.read() == b"-ERR no whole command in time\r\n"
        await wait_until(lambda: node.node.clients.body_budget.reserved_bytes == 0)
        assert not host.commands


@on_loop
async def test_a_body_that_is_only_announced_reserves_nothing(tmp_path, monkeypatch):
    monkeypatch.setattr(connection_timeouts, "BODY_PROGRESS_TIMEOUT_S", 0.3)
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        node.node.sibling_watch.timer.cancel()
        node.node.clients.body_budget.capacity_bytes = len(BIG)
        head = upload()[: -len(BIG) - 2]
        reader, writer = await node.connect()
        writer.write(head)
        await wait_until(lambda: any(c.reader.large_string_bytes for c in node.node.clients.connections))
        assert await node.send_command(upload()) == SERVED
        assert await reader.read() == b"-ERR no whole command in time\r\n"
        slow, slow_writer = await node.connect()
        slow_writer.write(upload(b"w2")[: -len(BIG) - 2])
        await wait_until(lambda: any(c.reader.large_string_bytes for c in node.node.clients.connections))
        slow_writer.write(upload(b"w2")[-len(BIG) - 2 :])
        assert await read_reply(slow) == SERVED


@on_loop
async def test_a_body_waits_unread_until_the_budget_has_capacity(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        node.node.sibling_watch.timer.cancel()
        budget = node.node.clients.body_budget
        budget.capacity_bytes = len(BIG)
        first, first_writer = await node.connect()
        first_writer.write(upload(b"w1")[:70000])
        await wait_until(lambda: budget.reserved_bytes)
        second, second_writer = await node.connect()
        second_writer.write(upload(b"w2"))
        await wait_until(lambda: budget.waiting)
        assert not host.commands
        first_writer.write(upload(b"w1")[70000:])
        assert await read_reply(first) == SERVED and await read_reply(second) == SERVED
        assert [sent[2] for sent in host.commands] == [b"w1", b"w2"] and budget.reserved_bytes == 0


@on_loop
async def test_a_rejected_large_body_releases_its_reservation(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        bad = command(b"w1", terms(c="nothing"), b"API.WRITE", body=BIG)
        assert (await node.send_command(bad)).startswith(b"-ERR")
        assert node.node.clients.body_budget.reserved_bytes == 0 and not host.commands
        assert await node.send_command(upload()) == SERVED
        assert node.node.clients.body_budget.reserved_bytes == 0


def test_the_body_budget_admits_in_order_and_always_one():
    class Stub:
        def __init__(self):
            self.transport, self.reserved = self, 0

        def is_closing(self):
            return self.reserved < 0

        def on_body_reserved(self, length):
            self.reserved = length

    budget, (one, two, three, four) = BodyBudget(), [Stub() for _ in range(4)]
    budget.capacity_bytes = 10
    for stub, length in ((one, 20), (two, 6), (three, 5), (four, 3)):
        budget.reserve(length, stub)
    assert [waiter.reserved for waiter in (one, two, three, four)] == [20, 0, 0, 0]
    three.reserved = -1  # closed meanwhile
    budget.release(20)
    assert [waiter.reserved for waiter in (two, three, four)] == [6, -1, 3] and budget.reserved_bytes == 9


@on_loop
async def test_a_drain_does_not_wait_for_an_incomplete_body(tmp_path, monkeypatch):
    monkeypatch.setattr(client_server, "DRAIN_READ_S", 0.05)
    monkeypatch.setattr(connection_timeouts, "DRAIN_FIRST_COMMAND_TIMEOUT_S", 0.05)
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        writer.write(command(b"r1") + upload()[:90000])
        assert await read_reply(reader) == SERVED
        await wait_until(lambda: node.node.clients.body_budget.reserved_bytes)
        await node.call_control("POST /standby")
        assert await reader.read() == b"-BUSY\r\n"
        await wait_until(lambda: not node.node.clients.body_budget.reserved_bytes)
        assert len(host.commands) == 1


@on_loop
async def test_a_client_that_stops_reading_is_aborted(tmp_path, monkeypatch):
    monkeypatch.setattr(reply_delivery, "WRITE_PROGRESS_TIMEOUT_S", 0.3)
    async with StubHost(value(BIG * 4)) as host, Node(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        writer.transport.pause_reading()
        for n in range(6):  # more than the socket buffers hold
            writer.write(command(b"r%d" % n))
        await wait_until(lambda: node.node.clients.connections)
        await wait_until(lambda: not node.node.clients.connections)
        await wait_until(lambda: not node.node.in_flight)


@on_loop
async def test_above_the_limit_a_connection_receiving_a_body_is_not_closed(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        node.node.sibling_watch.timer.cancel()
        node.node.clients.capacity = 2
        reader, writer = await node.connect()
        writer.write(upload()[:90000])
        await wait_until(lambda: node.node.clients.body_budget.reserved_bytes)
        idle, _ = await node.connect()
        third, third_writer = await node.connect()
        assert await idle.read() == b""
        writer.write(upload()[90000:])
        assert await read_reply(reader) == SERVED
