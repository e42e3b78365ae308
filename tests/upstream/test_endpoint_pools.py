"""The pools of all endpoints: health checks, the connection limit, abandoned attempts, idle connections."""

import asyncio
import random

import pytest
from netkit import (
    SERVED,
    Node,
    StubHost,
    command,
    entry,
    on_loop,
    set_in_flight_limit,
    terms,
    wait_until,
    wait_until_settled,
)

from api_gateway import interface as api
from api_gateway.upstream.attempt import Attempt
from api_gateway.upstream.endpoint_pools import EndpointPools


@on_loop
async def test_a_health_check_returns_the_load_report(tmp_path):
    async with StubHost(b"$8\r\nactive=7\r\n") as host, Node(host, path=tmp_path) as node:
        events, done = [], asyncio.Event()

        class StubEngine:
            def handle(self, now, event):
                if isinstance(event, api.HealthCheckEnded):
                    events.append(event)
                    done.set()
                return []

        node.node.dispatcher.engine = StubEngine()
        node.node.probe(api.CheckHealth("h1"))
        await done.wait()
        assert host.commands == [[b"INFO", b"load"]]
        assert events[0].result == "ok" and events[0].load_report == {"inflight": 7.0}


@on_loop
async def test_a_connection_is_reused_and_closed_before_the_host_closes_it(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        for n in range(3):
            assert await node.send_command(command(b"r%d" % n)) == SERVED
            await wait_until_settled(node.node.upstream.pools["h1"])
        assert len(host.writers) == 1
        (connection,) = node.node.upstream.pools["h1"].idle
        node.node.upstream.close_stale()
        assert node.node.upstream.pools["h1"].idle == [connection]
        connection.idle_since -= 28.0  # the host would close it after 30 s
        node.node.upstream.close_stale()
        assert node.node.upstream.pools["h1"].idle == []
        while await host.arrived.get() is not None:
            pass


@on_loop
async def test_the_connection_limit_is_not_exceeded(tmp_path):
    async with StubHost(answer=None) as host, Node(host, path=tmp_path) as node:
        node.node.upstream.max_connections = 2
        set_in_flight_limit(node.node, 100.0)
        reply_tasks = [
            asyncio.create_task(node.send_command(command(b"r%d" % n, terms=terms(d="500"))))
            for n in range(6)
        ]
        await asyncio.gather(*reply_tasks)
        assert len(host.writers) <= 2 * 3 and node.node.upstream.connection_count <= 2


@on_loop
async def test_a_cancelled_attempt_is_disconnected_before_the_next_one_is_sent(tmp_path):
    """If duplicates are not allowed, an attempt's connection must be closed before the next is written."""
    async with StubHost(None) as one, StubHost() as two, Node(one, two, path=tmp_path) as node:

        class StubEngine:
            def handle(self, now, event):
                if isinstance(event, api.Request):
                    return [api.SendAttempt(event.request_id, "h1")]
                return (
                    [api.SendAttempt(event.request_id, "h2")]
                    if getattr(event, "result", "") == "cancelled"
                    else []
                )

        node.node.dispatcher.engine = StubEngine()
        reply_task = asyncio.create_task(node.send_command(command()))
        await one.arrived.get()
        (attempt,) = node.node.in_flight["r1"].attempts.values()
        sock = attempt.connection.sock
        node.node.attempts.cancel(api.CancelAttempt("r1", 0))
        with pytest.raises(OSError):  # the socket was shut down at once, not in a later loop iteration
            sock.send(b"x")
        assert await one.arrived.get() is None
        assert await reply_task == SERVED and len(two.commands) == 1


@on_loop
async def test_connects_cancelled_before_their_first_step_use_no_capacity(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        endpoint_pools = node.node.upstream
        endpoint_pools.max_connections = 2
        for _ in range(5):
            attempt = Attempt("h1", lambda _: command(), lambda attempt: None)
            endpoint_pools.send(attempt, 3.0)
            endpoint_pools.abandon(attempt, "cancelled")
            assert attempt.result == "connect_failed"
        assert await node.send_command(command()) == SERVED
        assert len(host.commands) == 1


class IdleConnection:
    def __init__(self, idle_since):
        self.idle_since = idle_since


@pytest.mark.parametrize("seed", range(20))
def test_idle_connections_stay_ordered_by_idle_time_when_some_are_returned(seed):
    rng, endpoint_pools, taken, now = random.Random(seed), EndpointPools(1.0, 30.0, 10), [], 0.0
    for _ in range(300):
        now += rng.choice((0.0, 0.01, 1.0))
        if endpoint_pools.idle and rng.random() < 0.4:
            taken.append(rng.choice(list(endpoint_pools.idle)))
            del endpoint_pools.idle[taken[-1]]
        elif taken and rng.random() < 0.5:
            endpoint_pools.add_idle(taken.pop(rng.randrange(len(taken))))
        else:
            endpoint_pools.add_idle(IdleConnection(now))
        order = [connection.idle_since for connection in endpoint_pools.idle]
        assert order == sorted(order)


class NonIterableDict(dict):
    """A dict of pools that fails when it is iterated over."""

    def __iter__(self):
        raise AssertionError("code iterates over all pools")

    values = items = __iter__


@on_loop
async def test_no_request_change_or_timer_iterates_over_all_pools(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        endpoint_pools = node.node.upstream
        endpoint_pools.pools = NonIterableDict(endpoint_pools.pools)
        endpoint_pools.max_connections = 1
        for n in range(3):
            assert await node.send_command(command(b"r%d" % n)) == SERVED
        node.discovery.change([entry(host, "h2")])
        await wait_until(lambda: "h2" in endpoint_pools.pools)
        node.discovery.change([entry(host, "h1", "removed")])
        await wait_until(lambda: "h1" not in endpoint_pools.pools)
        assert await node.send_command(command(b"r4")) == SERVED  # in place of the idle connection
        endpoint_pools.close_stale()
        endpoint_pools.close_excess_idle()
        assert endpoint_pools.idle_count() <= endpoint_pools.connection_count <= 1
        endpoint_pools.pools = dict(dict.items(endpoint_pools.pools))
