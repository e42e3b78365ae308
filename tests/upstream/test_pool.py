"""The connections of one endpoint: waits for a connect or for one that settles."""

import asyncio
from time import monotonic

import pytest
from netkit import (
    SERVED,
    Node,
    StubHost,
    command,
    on_loop,
    wait_until,
    write_command,
)
from scripted_host import ScriptedHost, value_reply

from api_gateway.upstream.attempt import Attempt
from api_gateway.upstream.pool import Pool


@pytest.mark.parametrize("late, sent", [(True, False), (False, True)])
@on_loop
async def test_a_repeat_whose_connect_outlasts_the_window_is_not_sent(late, sent, tmp_path, monkeypatch):
    """Hosts would not know the key any longer, so the work would be done twice."""
    held, opened, real = asyncio.Event(), [], Pool.open

    async def open(self):
        opened.append(self)
        if len(opened) == 2:
            await held.wait()
        return await real(self)

    monkeypatch.setattr(Pool, "open", open)
    async with StubHost(b"") as one, StubHost(b"") as two, Node(one, two, path=tmp_path) as node:
        asked = asyncio.create_task(node.send_command(write_command()))
        await wait_until(lambda: len(opened) == 2)
        (attempt,) = node.node.in_flight["r1"].attempts.values()
        # memory_span, less the way to the host
        assert attempt.send_deadline - attempt.started_at <= 3.0 - 0.02
        if late:
            attempt.send_deadline = monotonic()
        held.set()
        assert (await asked)[:1] == b"-"
        assert len(one.commands) + len(two.commands) == 1 + sent


@on_loop
async def test_an_attempt_whose_time_to_go_out_is_over_ends_unsent_on_a_resting_connection_too(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        assert await node.send_command(command()) == SERVED
        pool, ended = node.node.upstream.pools["h1"], []
        pool.idle[0].idle_since -= pool.settle_time
        node.node.upstream.send(Attempt("h1", lambda _: command(b"r2"), ended.append, within=-1.0), 3.0)
        assert [attempt.result for attempt in ended] == ["connect_failed"]
        assert len(pool.idle) == 1 and len(host.commands) == 1


@pytest.mark.parametrize("end", ["settles", "called off", "drained", "spoilt"])
@on_loop
async def test_a_request_waits_for_a_connection_that_settles_and_ends_once_however_that_ends(end, tmp_path):
    async with ScriptedHost() as host, Node(host, path=tmp_path) as node:
        hosts, ended = node.node.upstream, []
        first = asyncio.create_task(node.send_command(command(b"r1")))
        _, out = await host.commands.get()
        pool = hosts.pools["h1"]
        pool.settle_time, pool.typical_response_time = 30.0 if end != "settles" else 0.2, 1000.0
        out.write(value_reply(b"one"))
        assert await first == b"$3\r\none\r\n"
        (conn,) = pool.idle
        attempt = Attempt("h1", lambda _: command(b"r2"), ended.append)
        hosts.send(attempt, 60.0)
        assert not pool.connecting and not pool.idle and list(pool.settling) == [attempt]
        if end == "settles":
            name, again = await host.commands.get()
            assert name == b"r2" and again is out
            out.write(value_reply(b"two"))
            await wait_until(lambda: ended)
            assert ended[0].result == "ok" and len(hosts.connections) == 1
        elif end == "called off":
            hosts.abandon(attempt, "cancelled")
            assert pool.idle == [conn] and ended[0].result == "connect_failed"
        elif end == "drained":
            hosts.set_address("h1", None)
            assert ended[0].result == "connect_failed" and not hosts.connections
        else:
            out.write(value_reply(b"one"))
            name, other = await host.commands.get()
            assert name == b"r2" and other is not out
        assert not pool.settling and len(ended) <= 1


@pytest.mark.parametrize("pace, new", [(0.01, True), (1.0, False)])
@on_loop
async def test_a_quick_host_is_not_waited_for_while_a_connection_settles(pace, new, tmp_path):
    """A request would take many times what the host needs for it."""
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        assert await node.send_command(command()) == SERVED
        pool = node.node.upstream.pools["h1"]
        pool.settle_time, pool.typical_response_time = 0.3, pace
        pool.idle[0].idle_since = monotonic()
        assert await node.send_command(command(b"r2")) == SERVED
        assert (len(host.writers) == 2) == new
