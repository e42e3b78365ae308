"""Commands behind a large value are not forwarded while the endpoint may still break that off."""

import asyncio
import time

import pytest
from netkit import (
    SERVED,
    VALUE,
    Node,
    StubHost,
    command,
    limit_client_send_buffers,
    on_loop,
    read_reply,
    set_in_flight_limit,
    terms,
    wait_until,
    write_command,
)

from api_gateway.downstream import client_connection, connection_timeouts
from api_gateway.upstream import connection as upstream_connection

LARGE = bytes(range(256)) * 1024  # 256 KiB
LARGE_ANSWER = b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (len(LARGE), LARGE)
LARGE_REPLY = b"$%d\r\n%s\r\n" % (len(LARGE), LARGE)
HALF = len(LARGE_ANSWER) // 2
WRITES = [b"w%d" % number for number in range(5)]


class HalvedValueHost(StubHost):
    """Answers `large...` with the first half of a value, and everything else at once."""

    def __init__(self):
        super().__init__()
        self.value_writer = None
        self.writers_by_task = {}  # each connection is served by a task of its own

    async def serve(self, reader, writer):
        self.writers_by_task[asyncio.current_task()] = writer
        await super().serve(reader, writer)

    async def answer_to(self, received):
        if received[2].startswith(b"large"):
            self.value_writer = self.writers_by_task[asyncio.current_task()]
            return LARGE_ANSWER[:HALF]
        return VALUE

    def runs_of(self, names):
        return [received[2] for received in self.commands if received[2] in names]


async def begin_value(node, host, behind=b""):
    """Send a command for a large value, and `behind` with it; return once its first half has come."""
    reader, writer = await node.connect()
    writer.write(command(b"large", terms(d="10000")) + behind)
    await reader.readexactly(1000)
    return reader, writer


# Guards against requests that run although their replies are lost with a value that breaks off before them.
@pytest.mark.parametrize("end", ["reset", "silence"])
@on_loop
async def test_no_command_behind_a_value_is_lost_with_it(end, tmp_path, monkeypatch):
    monkeypatch.setattr(upstream_connection, "VALUE_STALL_TIMEOUT_S", 0.5)
    async with HalvedValueHost() as host, Node(host, path=tmp_path) as node:
        reader, writer = await begin_value(node, host)
        writer.write(b"".join(write_command(name) for name in WRITES))
        await asyncio.sleep(0.2)  # far more than they take where nothing holds them
        assert not host.runs_of(WRITES)
        if end == "reset":
            host.value_writer.transport.abort()
        assert len(await reader.read()) < len(LARGE_REPLY) and not host.runs_of(WRITES)
        assert not node.node.in_flight and not node.node.engine.requests_in_flight
        reader, writer = await node.connect()  # as clients do after a close that crossed their commands
        writer.write(b"".join(write_command(name) for name in WRITES))
        assert [await read_reply(reader) for _ in WRITES] == [SERVED] * len(WRITES)
        assert sorted(host.runs_of(WRITES)) == WRITES


# Guards against commands that stay unanswered, or run out of time, behind a value that is whole in the end.
@on_loop
async def test_commands_behind_a_whole_value_are_served_in_their_time(tmp_path):
    async with HalvedValueHost() as host, Node(host, path=tmp_path) as node:
        reader, writer = await begin_value(node, host)
        writer.write(b"".join(write_command(name, deadline_ms=400) for name in WRITES))
        await asyncio.sleep(0.6)  # the wait for earlier replies does not count in their time
        host.value_writer.write(LARGE_ANSWER[HALF:])
        assert (await reader.readexactly(len(LARGE_REPLY) - 1000)) == LARGE_REPLY[1000:]
        assert [await read_reply(reader) for _ in WRITES] == [SERVED] * len(WRITES)
        assert sorted(host.runs_of(WRITES)) == WRITES


# Guards against a body that counts as stopped because it was not read while a value was in transfer.
@on_loop
async def test_a_body_that_was_not_read_behind_a_value_is_not_late(tmp_path, monkeypatch):
    monkeypatch.setattr(connection_timeouts, "BODY_PROGRESS_TIMEOUT_S", 0.3)
    monkeypatch.setattr(connection_timeouts, "COMMAND_TIMEOUT_S", 0.3)
    on_value_ended = client_connection.ClientConnection.on_value_ended

    def end_and_check(connection):
        on_value_ended(connection)
        connection_timeouts.check_timeouts(
            connection, time.monotonic()
        )  # as the timer may, before the socket is read

    async with HalvedValueHost() as host, Node(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        upload = command(b"w0", terms(c="write", k="77", d="10000"), b"API.WRITE", body=LARGE)
        writer.write(command(b"large", terms(d="10000")) + upload[:60_000])
        await reader.readexactly(1000)
        monkeypatch.setattr(client_connection.ClientConnection, "on_value_ended", end_and_check)
        await asyncio.sleep(0.5)
        writer.write(upload[60_000:])
        host.value_writer.write(LARGE_ANSWER[HALF:])
        await reader.readexactly(len(LARGE_REPLY) - 1000)
        assert await read_reply(reader) == SERVED


# Guards against a wait for a slow client, where the end of the value is known.
@on_loop
async def test_commands_are_forwarded_once_the_endpoint_has_written_the_value(tmp_path):
    async with HalvedValueHost() as host, Node(host, path=tmp_path) as node:
        reader, writer = await begin_value(node, host)
        writer.transport.pause_reading()
        writer.write(write_command(b"w0"))
        host.value_writer.write(LARGE_ANSWER[HALF:])
        await wait_until(lambda: host.runs_of(WRITES))
        writer.transport.resume_reading()
        await reader.readexactly(len(LARGE_REPLY) - 1000)
        assert await read_reply(reader) == SERVED


# Guards against a request that waits for an endpoint and is sent, or given a second copy, behind a value.
@on_loop
async def test_requests_that_wait_for_an_endpoint_are_held_behind_a_value(tmp_path):
    async with HalvedValueHost() as host, Node(host, path=tmp_path) as node:
        set_in_flight_limit(node.node, 1)
        writes = b"".join(write_command(name, deadline_ms=3000) for name in WRITES[:3])
        reader, writer = await begin_value(node, host, writes)
        await asyncio.sleep(0.2)
        assert not host.runs_of(WRITES)
        other = await asyncio.gather(*(node.send_command(write_command(b"other%d" % n)) for n in range(3)))
        assert other == [SERVED] * 3  # what is held takes no place from others
        host.value_writer.write(LARGE_ANSWER[HALF:])
        await reader.readexactly(len(LARGE_REPLY) - 1000)
        assert [await read_reply(reader) for _ in range(3)] == [SERVED] * 3
        assert sorted(host.runs_of(WRITES)) == WRITES[:3]


# Guards against requests that are held for good, or replies out of order, where several values come in turn.
@on_loop
async def test_a_pipeline_of_values_is_answered_in_order(tmp_path):
    async with HalvedValueHost() as host, Node(host, path=tmp_path) as node:
        set_in_flight_limit(node.node, 1)
        reader, writer = await node.connect()
        names = [b"large0", b"a", b"large1", b"b", b"c"]
        writer.write(b"".join(command(name, terms(d="10000")) for name in names))
        for name in names:
            if name.startswith(b"large"):
                await wait_until(lambda: host.value_writer is not None)
                host.value_writer.write(LARGE_ANSWER[HALF:])
                host.value_writer = None
                assert await read_reply(reader) == LARGE_REPLY
            else:
                assert await read_reply(reader) == SERVED
        assert not node.node.engine.requests_in_flight


# Guards against replies that are lost with a reset, because commands behind the value lie unread at its end.
@pytest.mark.parametrize(
    "at_once, behind",
    [(b"", write_command(b"w0")), (b"", b"nonsense\r\n"), (b"nonsense\r\n" + bytes(20_000), b"")],
    ids=["command", "malformed", "malformed at once"],
)
@on_loop
async def test_replies_before_a_value_that_breaks_off_reach_a_slow_client(at_once, behind, tmp_path):
    async with HalvedValueHost() as host, Node(host, path=tmp_path) as node:
        limit_client_send_buffers(node.node)
        first = bytes(60_000)
        host.answer = b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (len(first), first)
        host.answer_to = lambda received: answer(host, received)
        reader, writer = await node.connect()
        writer.transport.pause_reading()
        writer.write(command(b"small") + command(b"large", terms(d="10000")) + at_once)
        await wait_until(lambda: host.value_writer)
        writer.write(behind)
        await asyncio.sleep(0.1)
        host.value_writer.transport.abort()
        await wait_until(lambda: not node.node.in_flight)
        writer.transport.resume_reading()
        assert await read_reply(reader) == b"$%d\r\n%s\r\n" % (len(first), first)
        part = await reader.read()  # more than the client's machine had taken when the value broke off
        assert 100_000 < len(part) < len(LARGE_REPLY) and not host.runs_of(WRITES)


async def answer(host, received):
    """Answer `small` with the host's answer, and everything else as the host does."""
    return host.answer if received[2] == b"small" else await HalvedValueHost.answer_to(host, received)
