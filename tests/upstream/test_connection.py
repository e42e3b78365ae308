"""Connections to endpoints: answers that are late, odd, partial or doubled reach nobody they are not for."""

import asyncio
import socket

import pytest
from netkit import (
    SERVED,
    VALUE,
    Node,
    StubHost,
    command,
    on_loop,
    set_in_flight_limit,
    terms,
    wait_until,
    write_command,
)
from scripted_host import ScriptedHost, value_reply

from api_gateway import interface as api


@on_loop
async def test_a_report_that_says_nothing_sound_is_ignored(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        for n, report in enumerate(
            (
                b"$-1\r\n",
                b"$3\r\n???\r\n",
                b"$10\r\nactive=nan\r\n",
                b"$9\r\nactive=-1\r\n",
                b":7\r\n",
                b"$8\r\nactive=x\r\n",
            )
        ):
            host.answer = b"*3\r\n$1\r\nv\r\n$-1\r\n" + report
            assert await node.send_command(command(b"r%d" % n)) == b"$1\r\nv\r\n"
        assert not node.node.engine.endpoint_pool.load.has_reports


@pytest.mark.parametrize(
    "odd",
    [
        b"+OK\r\n",
        b"$2\r\nOK\r\n",
        b"*0\r\n",
        b"*-1\r\n",
        b"*1\r\n$-1\r\n",
        b":1\r\n",
        b"*1\r\n:1\r\n",
        b"nonsense\r\n",
        b"$-1\r\n",
        b"*3\r\n$%d\r\n" % (4 * 2**20 + 1),
        b"*1\r\n$69633\r\n",
        b"*1\r\n$65537\r\n" + b"x" * 65537 + b"\r\n",
    ],
)
@on_loop
async def test_what_is_no_value_of_a_host_is_not_served(odd, tmp_path):
    async with StubHost(odd) as host, Node(host, path=tmp_path) as node:
        assert (await node.send_command(write_command(service_class=b"note"))).startswith(b"-ERR")
        host.answer = VALUE
        assert await node.send_command(command(b"r2")) == SERVED


@on_loop
async def test_an_answer_that_announces_too_much_ends_its_attempt_only(tmp_path):
    async with StubHost(b"*1000000000\r\n") as host, Node(host, path=tmp_path) as node:
        assert (
            await node.send_command(write_command(service_class=b"note", deadline_ms=60000))
            == b"-ERR failed\r\n"
        )  # long before that
        host.answer = VALUE
        assert await node.send_command(command(b"r2")) == SERVED


@on_loop
async def test_a_late_answer_reaches_nobody(tmp_path):
    async with StubHost(answer=None) as host, Node(host, path=tmp_path) as node:
        asked = asyncio.create_task(node.send_command(write_command(service_class=b"note", deadline_ms=300)))
        assert await host.arrived.get()
        (late,) = host.writers
        assert (await asked).startswith(b"-ERR") and await host.arrived.get() is None
        await wait_until(late.is_closing)  # its connection went too, so a late answer has no way
        host.answer = VALUE
        assert await node.send_command(command(b"r2")) == SERVED


@on_loop
async def test_a_host_that_breaks_off_may_have_run_an_unsafe_request(tmp_path):
    async with StubHost(b"") as one, StubHost(b"") as two, Node(one, two, path=tmp_path) as node:
        assert (await node.send_command(write_command(service_class=b"note"))).startswith(b"-ERR")
        assert len(one.commands) + len(two.commands) == 1


@on_loop
async def test_a_host_that_turns_away_never_ran_it(tmp_path):
    turns = iter([b"-BUSY active=3\r\n", VALUE])
    async with StubHost() as one, StubHost() as two, Node(one, two, path=tmp_path) as node:
        one.answer = two.answer = lambda: next(turns)
        assert await node.send_command(write_command(service_class=b"note")) == SERVED
        assert [c[2] for c in one.commands + two.commands] == [b"r1", b"r1"]


@on_loop
async def test_a_refused_connection_never_ran_it(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        host.server.close()
        await host.server.wait_closed()
        assert (await node.send_command(write_command(service_class=b"note"))).startswith(
            b"-BUSY"
        )  # harmless to try again


@pytest.mark.parametrize("effect", ["read", "note"])
@on_loop
async def test_a_second_answer_that_is_late_reaches_no_other_request(effect, tmp_path):
    """The next request is due in the turn of the first one's answer; the second answer comes after that."""
    asks = {"read": command, "note": lambda name: write_command(name, service_class=b"note")}[effect]
    async with ScriptedHost() as host, Node(host, path=tmp_path) as node:
        set_in_flight_limit(node.node, 1.0)  # the next one waits for the first one's place
        node.node.engine.endpoint_pool.is_at_limit = lambda *_: (
            bool(node.node.upstream.connections)
            and any(conn.attempt for conn in node.node.upstream.connections)
        )
        first = asyncio.create_task(node.send_command(asks(b"r1")))
        _, out = await host.commands.get()
        second = asyncio.create_task(node.send_command(asks(b"r2")))
        await wait_until(lambda: "r2" in node.node.in_flight)
        pool = node.node.upstream.pools["h1"]
        pool.settle_time, pool.typical_response_time = 10.0, 100.0  # far more than this machine is late
        out.write(value_reply(b"one"))
        assert await first == b"$3\r\none\r\n"
        out.write(value_reply(b"one"))
        name, other = await host.commands.get()
        assert name == b"r2"
        other.write(value_reply(b"two"))
        assert await second == b"$3\r\ntwo\r\n"


@pytest.mark.parametrize("left", [b"*3\r\n$3\r\nol", value_reply(b"old"), b"-ERR late\r\n", None])
@on_loop
async def test_a_connection_with_something_unread_takes_no_request(left, tmp_path):
    """It came in the turn in which the next request goes out, so the loop has not read it: a half line, a
    second answer, an end. On that connection an unsafe request would be lost or get an answer of another."""
    async with ScriptedHost() as host, Node(host, path=tmp_path) as node:
        first = asyncio.create_task(node.send_command(command(b"r1")))
        _, out = await host.commands.get()
        out.write(value_reply(b"one"))
        assert await first == b"$3\r\none\r\n"
        pool = node.node.upstream.pools["h1"]
        (conn,) = pool.idle
        conn.idle_since -= pool.settle_time
        conn.transport.pause_reading()  # as between two turns of the loop
        out.write(left) if left else out.close()
        await wait_until(lambda: not conn.is_sound())
        second = asyncio.create_task(node.send_command(write_command(b"r2", service_class=b"note")))
        name, other = await host.commands.get()
        assert name == b"r2" and other is not out
        other.write(value_reply(b"two"))
        assert await second == b"$3\r\ntwo\r\n"


@pytest.mark.parametrize("body, result", [(b"x" * 4_000_000, "connect_failed"), (b"BODY", "reset")])
@on_loop
async def test_a_request_of_which_a_host_took_a_part_only_never_ran(body, result, tmp_path):
    """The host's machine takes what its buffers hold, then the connection breaks. Whatever is whole there may
    have run."""
    silent = socket.create_server(("127.0.0.1", 0))
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        seen = []

        class Sender:
            def handle(self, now, event):
                if isinstance(event, api.AttemptEnded):
                    seen.append(event.result)
                    return [api.FailRequest(event.request_id)]
                return [api.SendAttempt(event.request_id, "silent")] if isinstance(event, api.Request) else []

        node.node.dispatcher.engine = Sender()
        node.node.upstream.set_address("silent", silent.getsockname())
        asked = asyncio.create_task(
            node.send_command(command(b"r1", terms(c="note"), b"API.WRITE", body=body))
        )
        await wait_until(lambda: any(conn.attempt for conn in node.node.upstream.connections))
        (conn,) = node.node.upstream.connections
        await wait_until(lambda: not conn.is_written or len(body) < 100)
        silent.close()  # what nobody accepted is reset
        assert await asked == b"-ERR failed\r\n" and seen == [result]
