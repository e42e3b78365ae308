"""A request whose large body waits for memory is answered within its time, and the wait counts."""

import asyncio
import time

import pytest
from netkit import SERVED, Node, StubHost, command, on_loop, read_reply, terms, wait_until

from api_gateway.downstream import client_connection as clients
from api_gateway.downstream import client_server, connection_timeouts
from api_gateway.downstream.body_budget import BodyBudget
from api_gateway.downstream.send_time import STREAM_PAUSE_S, SendTime

LARGE = bytes(2**20)
WHOLE = bytes(100_000)  # fits into the buffers of the sockets, so that its client can send it at once
PING, PONG = b"*1\r\n$4\r\nPING\r\n", b"+PONG\r\n"
FAIR_QUEUEING = {"edge": {}}
# After the deadline, 50 ms are allowed for sockets, and half a second in which a reply earns nothing.
ALLOWED_S = 0.05 + 0.5
TOLERANCE_MS = 150  # by which the time that a host is told may exceed what is left
RESERVE_MS = 30  # that the gateway keeps for the reply


def upload(id, body, deadline_ms=3000, service_class="write"):
    fields = terms(c=service_class, k="77", d=str(deadline_ms))
    return command(id, fields, b"API.WRITE", body=body)


class FullBudget:
    """Occupies the budget of a gateway for bodies with one that arrives until `finish` is called."""

    def __init__(self, node):
        self.node, self.budget = node, node.node.clients.body_budget

    async def __aenter__(self):
        self.node.node.sibling_watch.timer.cancel()  # it would set the capacity again
        self.budget.capacity_bytes = len(LARGE)
        self.reader, self.writer = await self.node.connect()
        self.text = upload(b"first", LARGE, deadline_ms=15000)
        self.writer.write(self.text[:70000])
        await wait_until(lambda: self.budget.reserved_bytes == len(LARGE))
        self.progress = asyncio.create_task(self.keep_sending())
        return self

    async def keep_sending(self):
        """Send a byte now and then, so that the body counts as arriving."""
        for offset in range(70000, 71000):
            self.sent = offset + 1
            self.writer.write(self.text[offset : offset + 1])
            await asyncio.sleep(0.2)

    async def finish(self):
        self.progress.cancel()
        self.writer.write(self.text[self.sent :])
        assert await read_reply(self.reader) == SERVED

    async def __aexit__(self, *_):
        self.progress.cancel()


async def send_whole(node, text):
    """Send a command at once on a connection that the gateway reads; return its reader and writer."""
    reader, writer = await node.connect()
    writer.write(PING)
    assert await read_reply(reader) == PONG
    writer.write(text)
    await wait_until(lambda: not writer.transport.get_write_buffer_size())
    return reader, writer


# Guards against whole requests that get no answer while large bodies arrive slowly on other connections.
@pytest.mark.parametrize("overrides", [{}, FAIR_QUEUEING], ids=["plain", "fair queueing"])
@on_loop
async def test_a_request_that_waits_for_memory_is_rejected_in_time(overrides, scratch):
    async with StubHost() as host, Node(host, path=scratch, config_overrides=overrides) as node:
        async with FullBudget(node) as full:
            reader, writer = await send_whole(node, upload(b"second", WHOLE, deadline_ms=1000) + PING)
            async with asyncio.timeout(1.0 + ALLOWED_S):
                assert await read_reply(reader) == b"-BUSY\r\n"
                assert await read_reply(reader) == PONG
            await full.finish()
            writer.write(upload(b"third", WHOLE))
            assert await read_reply(reader) == SERVED
        assert [sent[2] for sent in host.commands] == [b"first", b"third"]
        assert full.budget.reserved_bytes == 0 and not full.budget.waiting
        bodies = (await node.call_control("GET /status"))[1]["large_bodies"]
        assert bodies == {"reserved_bytes": 0, "waiting": 0, "rejected": 1}


def told_ms(host, name):
    """Return the time in ms that the host was told for a request."""
    (fields,) = (sent[3] for sent in host.commands if sent[2] == name)
    return int(dict(field.split(b"=") for field in fields.split(b","))[b"d"])


# Guards against a deadline that is counted from the end of the wait, so that requests run after their time.
@pytest.mark.parametrize("overrides", [{}, FAIR_QUEUEING], ids=["plain", "fair queueing"])
@on_loop
async def test_the_wait_for_memory_counts_towards_the_deadline(overrides, scratch):
    async with StubHost() as host, Node(host, path=scratch, config_overrides=overrides) as node:
        async with FullBudget(node) as full:
            reader, _ = await send_whole(node, upload(b"second", WHOLE))
            sent_at = time.monotonic()
            await asyncio.sleep(0.6)
            await full.finish()
            waited_ms = 1000 * (time.monotonic() - sent_at)
            assert await read_reply(reader) == SERVED
        assert told_ms(host, b"second") <= 3000 - 600 + TOLERANCE_MS
        assert told_ms(host, b"second") <= 3000 - waited_ms + TOLERANCE_MS


# Guards against a wait that is taken off the time of a request that its client was still sending.
@on_loop
async def test_a_request_that_is_sent_after_the_wait_has_its_whole_time(scratch):
    async with StubHost() as host, Node(host, path=scratch) as node:
        async with FullBudget(node) as full:
            text = upload(b"second", LARGE)
            reader, writer = await send_whole(node, text[:90000])
            await wait_until(lambda: full.budget.waiting)
            await asyncio.sleep(0.6)
            await full.finish()
            for offset in range(90000, len(text), 400_000):
                await asyncio.sleep(4 * STREAM_PAUSE_S)
                writer.write(text[offset : offset + 400_000])
            assert await read_reply(reader) == SERVED
        assert told_ms(host, b"second") > 3000 - RESERVE_MS - 600


# Guards against a body whose command was rejected being kept, or taken for further commands.
@on_loop
async def test_a_body_that_arrives_after_its_rejection_is_read_to_its_end(scratch):
    async with StubHost() as host, Node(host, path=scratch) as node:
        async with FullBudget(node) as full:
            text = upload(b"second", LARGE, deadline_ms=400) + PING
            reader, writer = await send_whole(node, text[:90000])
            await wait_until(lambda: full.budget.rejected_count)
            assert not full.budget.waiting
            for offset in range(90000, len(text), 300_000):
                writer.write(text[offset : offset + 300_000])
                await asyncio.sleep(0.05)
            assert [await read_reply(reader) for _ in range(2)] == [b"-BUSY\r\n", PONG]
            assert full.budget.reserved_bytes == len(LARGE)


# Guards against invalid commands that hold back others or are answered as if they could be sent again.
@on_loop
async def test_an_invalid_command_does_not_wait_for_memory(scratch):
    async with StubHost() as host, Node(host, path=scratch) as node, FullBudget(node):
        reader, _ = await send_whole(node, upload(b"second", WHOLE, service_class="nothing"))
        assert await read_reply(reader) == b"-ERR unknown class or plan\r\n"


# Guards against a drain that ends a connection without an answer to a whole request that waits for memory.
@pytest.mark.parametrize("overrides", [{}, FAIR_QUEUEING], ids=["plain", "fair queueing"])
@on_loop
async def test_a_drain_answers_a_request_that_waits_for_memory(overrides, scratch, monkeypatch):
    monkeypatch.setattr(client_server, "DRAIN_READ_S", 0.3)
    monkeypatch.setattr(connection_timeouts, "DRAIN_FIRST_COMMAND_TIMEOUT_S", 0.3)
    async with StubHost() as host, Node(host, path=scratch, config_overrides=overrides) as node:
        node.node.clients.drain_read_s = 0.3
        async with FullBudget(node):
            reader, _ = await send_whole(node, upload(b"second", WHOLE, deadline_ms=15000))
            await node.call_control("POST /standby")
            assert await reader.read() == b"-BUSY\r\n"
        assert not host.commands


# Guards against whole requests that get memory from others that a drain rejects, and are then closed unread.
@pytest.mark.parametrize("overrides", [{}, FAIR_QUEUEING], ids=["plain", "fair queueing"])
@on_loop
async def test_a_drain_serves_whole_requests_that_get_memory_from_rejected_ones(
    overrides, scratch, monkeypatch
):
    monkeypatch.setattr(connection_timeouts, "DRAIN_FIRST_COMMAND_TIMEOUT_S", 0.3)
    async with StubHost() as host, Node(host, path=scratch, config_overrides=overrides) as node:
        node.node.clients.drain_read_s = 0.3
        async with FullBudget(node) as full:
            full.budget.capacity_bytes += 4 * len(WHOLE)
            partial = await send_whole(node, upload(b"partial", LARGE, deadline_ms=15000)[:90000])
            await wait_until(lambda: full.budget.waiting)
            names = [b"whole%d" % number for number in range(3)]
            clients_behind = [
                await send_whole(node, upload(name, WHOLE, deadline_ms=15000)) for name in names
            ]
            await wait_until(lambda: len(full.budget.waiting) == 1 + len(names))
            await node.call_control("POST /standby")
            assert [await reader.read() for reader, _ in clients_behind] == [SERVED] * len(names)
            assert sorted(sent[2] for sent in host.commands) == names
            assert await partial[0].read() == b"-BUSY\r\n"
        await wait_until(lambda: not full.budget.reserved_bytes and not full.budget.waiting)


# Guards against a drain that waits for the body of a rejected command that never ends.
@on_loop
async def test_a_drain_ends_a_rejected_body_that_does_not_arrive(scratch, monkeypatch):
    monkeypatch.setattr(connection_timeouts, "DRAIN_FIRST_COMMAND_TIMEOUT_S", 0.1)
    monkeypatch.setattr(connection_timeouts, "DRAIN_PARTIAL_COMMAND_S", 0.3)
    monkeypatch.setattr(connection_timeouts, "BODY_PROGRESS_TIMEOUT_S", 60.0)
    async with StubHost() as host, Node(host, path=scratch) as node:
        node.node.clients.drain_read_s = 0.1
        async with FullBudget(node):
            reader, _ = await send_whole(node, upload(b"second", LARGE, deadline_ms=15000)[:90000])
            await node.call_control("POST /standby")
            assert await reader.read() == b"-BUSY\r\n"


# Guards against a place in the queue that a client leaves behind.
@on_loop
async def test_a_client_that_leaves_while_it_waits_frees_its_place(scratch):
    async with StubHost() as host, Node(host, path=scratch) as node, FullBudget(node) as full:
        _, writer = await send_whole(node, upload(b"second", WHOLE, deadline_ms=15000))
        await wait_until(lambda: full.budget.waiting)
        writer.close()
        await wait_until(lambda: not full.budget.waiting)
        assert len(node.node.clients.connections) == 1


class WaitingConnection:
    """A connection that records what the budget reserves for it."""

    def __init__(self):
        self.transport, self.reserved = self, 0

    def is_closing(self):
        return False

    def on_body_reserved(self, length):
        self.reserved = length


# Guards against connections that go on waiting behind one that has given up.
def test_a_cancelled_wait_admits_those_behind_it():
    budget, (one, two, three) = BodyBudget(), [WaitingConnection() for _ in range(3)]
    budget.capacity_bytes = 10
    for connection, length in ((one, 6), (two, 8), (three, 4)):
        budget.reserve(length, connection)
    assert [connection.reserved for connection in (one, two, three)] == [6, 0, 0]
    budget.cancel(two)
    budget.cancel(one)  # it does not wait, so its reservation stays
    assert [connection.reserved for connection in (one, two, three)] == [6, 0, 4]
    assert budget.reserved_bytes == 10 and not budget.waiting


def test_bytes_are_sent_when_they_are_read_as_long_as_nothing_waited():
    send_time = SendTime(0.0)
    for now in (1.0, 1.01, 3.0):
        send_time.on_read(now, lambda: 5)
        assert send_time.earliest == now


@pytest.mark.parametrize(
    "reads, earliest",
    [
        ([(5.0, 900), (5.1, 800), (5.2, 0)], 1.0),  # the socket still held bytes before the last read
        ([(5.0, 0), (5.04, 0)], 1.0),  # the socket was empty for less than a pause
        ([(5.0, 0), (5.06, 0)], 5.06),
        ([(5.0, 900), (5.1, 0), (5.3, 900), (5.31, 0)], 5.31),
    ],
)
def test_bytes_of_a_waiting_command_are_as_old_as_the_wait_until_a_pause(reads, earliest):
    send_time = SendTime(0.0)
    send_time.on_read(1.0, lambda: 0)
    send_time.on_wait_ended(4.9)
    for now, unread_bytes in reads:
        send_time.on_read(now, lambda unread_bytes=unread_bytes: unread_bytes)
    assert send_time.earliest == earliest


def test_after_a_waiting_command_an_empty_socket_suffices():
    send_time = SendTime(0.0)
    send_time.on_read(1.0, lambda: 0)
    send_time.on_wait_ended(4.9)
    send_time.on_read(5.0, lambda: 0)
    send_time.on_large_command_ended()
    send_time.on_read(5.01, lambda: 0)
    assert send_time.earliest == 5.01


# Guards against bytes of a body that waits for memory, read with the body before it and in no budget.
@pytest.mark.parametrize("overrides", [{}, FAIR_QUEUEING], ids=["plain", "fair queueing"])
@on_loop
async def test_little_of_a_waiting_body_is_read_with_the_body_before_it(overrides, scratch):
    async with StubHost(answer=None) as host, Node(host, path=scratch, config_overrides=overrides) as node:
        node.node.sibling_watch.timer.cancel()  # it would set the capacity again
        budget = node.node.clients.body_budget
        budget.capacity_bytes = len(WHOLE)
        await send_whole(node, upload(b"first", WHOLE) + upload(b"second", WHOLE))
        await wait_until(lambda: budget.waiting)
        (client,) = node.node.clients.connections
        assert 0 < len(client.reader.buffered) <= clients.COMMAND_READ_BYTES
