"""Replies that cannot be written yet, and incomplete answers, count in budgets."""

import asyncio
import socket

from netkit import (
    SERVED,
    Node,
    command,
    limit_client_send_buffers,
    on_loop,
    read_reply,
    wait_until,
    write_command,
)
from scripted_host import ScriptedHost, value_reply

VALUE = b"v" * 2000
ENCODED_VALUE = b"$2000\r\n" + VALUE + b"\r\n"


async def answer_second_first(host):
    """Answer the later of two commands and return the writer for the earlier one."""
    writers = dict([await host.commands.get(), await host.commands.get()])
    writers[b"r2"].write(value_reply(VALUE))
    return writers[b"r1"]


@on_loop
async def test_a_reply_that_waits_is_counted_until_it_is_written(scratch):
    async with ScriptedHost() as host, Node(host, path=scratch) as node:
        budget = node.node.clients.reply_budget
        reader, writer = await node.connect()
        writer.write(command(b"r1") + command(b"r2"))
        first = await answer_second_first(host)
        await wait_until(lambda: budget.reserved_bytes > len(VALUE))
        first.write(value_reply(b"value"))
        assert [await read_reply(reader), await read_reply(reader)] == [SERVED, ENCODED_VALUE]
        assert budget.reserved_bytes == 0


# Guards against replies without a bound while a client's first command is unanswered.
@on_loop
async def test_a_reply_that_must_wait_without_memory_for_it_fails(scratch):
    async with ScriptedHost() as host, Node(host, path=scratch) as node:
        budget = node.node.clients.reply_budget
        budget.capacity_bytes = 1000
        node.node.limits.apply = lambda: None
        reader, writer = await node.connect()
        writer.write(command(b"r1") + command(b"r2"))
        first = await answer_second_first(host)
        await wait_until(lambda: budget.refused_count == 1)
        first.write(value_reply(b"value"))
        assert [await read_reply(reader), await read_reply(reader)] == [SERVED, b"-ERR failed\r\n"]
        assert budget.reserved_bytes == 0


@on_loop
async def test_a_client_that_leaves_returns_the_bytes_of_its_replies(scratch):
    async with ScriptedHost() as host, Node(host, path=scratch) as node:
        budget = node.node.clients.reply_budget
        _, writer = await node.connect()
        writer.write(command(b"r1") + command(b"r2"))
        await answer_second_first(host)
        await wait_until(lambda: budget.reserved_bytes > len(VALUE))
        writer.close()
        await wait_until(lambda: not node.node.clients.connections)
        assert budget.reserved_bytes == 0 and not node.node.in_flight


# Guards against a process that keeps whatever its slowest clients have not read.
@on_loop
async def test_the_slowest_reader_is_disconnected_when_unsent_replies_pass_the_limit(scratch):
    async with ScriptedHost() as host, Node(host, path=scratch) as node:
        clients = node.node.clients
        clients.reply_budget.capacity_bytes = 1000
        node.node.limits.apply = lambda: None
        slow = socket.socket()
        slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        slow.setblocking(False)
        await asyncio.get_running_loop().sock_connect(slow, ("127.0.0.1", node.port))
        await wait_until(lambda: clients.connections)
        (connection,) = clients.connections
        gateway_socket = connection.transport.get_extra_info("socket")
        gateway_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        slow.send(command(b"r1"))
        _, writer = await host.commands.get()
        writer.write(value_reply(b"v" * 60_000))
        await wait_until(lambda: not clients.connections)
        assert clients.ends.counts == {"no_memory": 1} and clients.reply_budget.reserved_bytes == 0
        slow.close()


@on_loop
async def test_an_answer_without_memory_for_it_is_an_error(scratch):
    async with ScriptedHost() as host, Node(host, path=scratch) as node:
        budget = node.node.upstream.answer_budget
        budget.capacity_bytes = 1000
        node.node.limits.apply = lambda: None
        reply = asyncio.create_task(node.send_command(write_command(service_class=b"note")))
        _, writer = await host.commands.get()
        writer.write(b"*3\r\n$60000\r\n" + b"v" * 20_000)
        assert await reply == b"-ERR failed\r\n"
        assert budget.refused_count and budget.reserved_bytes == 0


# Guards against a write buffer that keeps a whole reply of which only the unsent part is counted.
@on_loop
async def test_a_reply_that_is_sent_in_part_counts_until_all_of_it_is_sent(scratch):
    long_value = b"v" * 60_000
    async with ScriptedHost() as host, Node(host, path=scratch) as node:
        limit_client_send_buffers(node.node)
        budget = node.node.clients.reply_budget
        reader, writer = await node.connect()
        writer.transport.pause_reading()
        (client,) = node.node.clients.connections
        number = 0
        while not client.transport.get_write_buffer_size():
            writer.write(command(b"r%d" % number))
            _, host_writer = await host.commands.get()
            host_writer.write(value_reply(long_value))
            number += 1
            await wait_until(lambda: not node.node.in_flight)
        assert client.transport.get_write_buffer_size() < len(long_value) <= budget.reserved_bytes
        writer.transport.resume_reading()
        for _ in range(number):
            assert await read_reply(reader) == b"$60000\r\n" + long_value + b"\r\n"
        await wait_until(lambda: not budget.reserved_bytes)
