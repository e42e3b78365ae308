"""The connections of one endpoint: attempts that wait for a connect or for a connection to settle."""

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


@pytest.mark.parametrize("is_late, is_sent", [(True, False), (False, True)])
@on_loop
async def test_a_retry_whose_connect_outlasts_the_window_is_not_sent(is_late, is_sent, tmp_path, monkeypatch):
    """After the window, hosts have forgotten the idempotency key, so the work would be done twice."""
    may_connect, opened_pools, real_open = asyncio.Event(), [], Pool.open

    async def open(self):
        opened_pools.append(self)
        if len(opened_pools) == 2:
            await may_connect.wait()
        return await real_open(self)

    monkeypatch.setattr(Pool, "open", open)
    async with StubHost(b"") as one, StubHost(b"") as two, Node(one, two, path=tmp_path) as node:
        reply_task = asyncio.create_task(node.send_command(write_command()))
        await wait_until(lambda: len(opened_pools) == 2)
        (attempt,) = node.node.in_flight["r1"].attempts.values()
        # memory_span, less the network delay to the host
        assert attempt.send_deadline - attempt.started_at <= 3.0 - 0.02
        if is_late:
            attempt.send_deadline = monotonic()
        may_connect.set()
        assert (await reply_task)[:1] == b"-"
        assert len(one.commands) + len(two.commands) == 1 + is_sent


@on_loop
async def test_an_attempt_past_its_send_deadline_is_not_sent_on_an_idle_connection(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        assert await node.send_command(command()) == SERVED
        pool, ended = node.node.upstream.pools["h1"], []
        pool.idle[0].idle_since -= pool.settle_time
        node.node.upstream.send(Attempt("h1", lambda _: command(b"r2"), ended.append, within=-1.0), 3.0)
        assert [attempt.result for attempt in ended] == ["connect_failed"]
        assert len(pool.idle) == 1 and len(host.commands) == 1


@pytest.mark.parametrize("end", ["settles", "called off", "drained", "spoilt"])
@on_loop
async def test_an_attempt_that_waits_for_a_connection_to_settle_ends_once(end, tmp_path):
    async with ScriptedHost() as host, Node(host, path=tmp_path) as node:
        endpoint_pools, ended = node.node.upstream, []
        first = asyncio.create_task(node.send_command(command(b"r1")))
        _, writer = await host.commands.get()
        pool = endpoint_pools.pools["h1"]
        pool.settle_time, pool.typical_response_time = 30.0 if end != "settles" else 0.2, 1000.0
        writer.write(value_reply(b"one"))
        assert await first == b"$3\r\none\r\n"
        (connection,) = pool.idle
        attempt = Attempt("h1", lambda _: command(b"r2"), ended.append)
        endpoint_pools.send(attempt, 60.0)
        assert not pool.connecting and not pool.idle and list(pool.settling) == [attempt]
        if end == "settles":
            request_id, second_writer = await host.commands.get()
            assert request_id == b"r2" and second_writer is writer
            writer.write(value_reply(b"two"))
            await wait_until(lambda: ended)
            assert ended[0].result == "ok" and len(endpoint_pools.connections) == 1
        elif end == "called off":
            endpoint_pools.abandon(attempt, "cancelled")
            assert pool.idle == [connection] and ended[0].result == "connect_failed"
        elif end == "drained":
            endpoint_pools.set_address("h1", None)
            assert ended[0].result == "connect_failed" and not endpoint_pools.connections
        else:
            writer.write(value_reply(b"one"))
            request_id, other_writer = await host.commands.get()
            assert request_id == b"r2" and other_writer is not writer
        assert not pool.settling and len(ended) <= 1


@pytest.mark.parametrize("response_time, opens_new", [(0.01, True), (1.0, False)])
@on_loop
async def test_an_attempt_to_a_fast_host_does_not_wait_for_settling(response_time, opens_new, tmp_path):
    """Waiting would take many times as long as the host needs for the request."""
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        assert await node.send_command(command()) == SERVED
        pool = node.node.upstream.pools["h1"]
        pool.settle_time, pool.typical_response_time = 0.3, response_time
        pool.idle[0].idle_since = monotonic()
        assert await node.send_command(command(b"r2")) == SERVED
        assert (len(host.writers) == 2) == opens_new
