"""All pools: health checks, the limit of connections, abandoned attempts and idle connections."""

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
async def test_a_probe_brings_the_load_report(tmp_path):
    async with StubHost(b"$8\r\nactive=7\r\n") as host, Node(host, path=tmp_path) as node:
        seen, done = [], asyncio.Event()

        class Watcher:
            def handle(self, now, event):
                if isinstance(event, api.HealthCheckEnded):
                    seen.append(event)
                    done.set()
                return []

        node.node.dispatcher.engine = Watcher()
        node.node.probe(api.CheckHealth("h1"))
        await done.wait()
        assert host.commands == [[b"INFO", b"load"]]
        assert seen[0].result == "ok" and seen[0].load_report == {"inflight": 7.0}


@on_loop
async def test_one_connection_is_used_again_and_closed_before_the_host_would(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        for n in range(3):
            assert await node.send_command(command(b"r%d" % n)) == SERVED
            await wait_until_settled(node.node.upstream.pools["h1"])
        assert len(host.writers) == 1
        (conn,) = node.node.upstream.pools["h1"].idle
        node.node.upstream.close_stale()
        assert node.node.upstream.pools["h1"].idle == [conn]
        conn.idle_since -= 28.0  # of the 30 s after which the host would close it
        node.node.upstream.close_stale()
        assert node.node.upstream.pools["h1"].idle == []
        while await host.arrived.get() is not None:
            pass


@on_loop
async def test_the_cap_on_connections_holds(tmp_path):
    async with StubHost(answer=None) as host, Node(host, path=tmp_path) as node:
        node.node.upstream.max_connections = 2
        set_in_flight_limit(node.node, 100.0)
        asked = [
            asyncio.create_task(node.send_command(command(b"r%d" % n, terms=terms(d="500"))))
            for n in range(6)
        ]
        await asyncio.gather(*asked)
        assert len(host.writers) <= 2 * 3 and node.node.upstream.connection_count <= 2


@on_loop
async def test_an_attempt_called_off_has_left_the_host_before_the_next_goes_out(tmp_path):
    """Where second copies are not allowed, one attempt's connection must end before the next is written."""
    async with StubHost(None) as one, StubHost() as two, Node(one, two, path=tmp_path) as node:

        class Mover:
            def handle(self, now, event):
                if isinstance(event, api.Request):
                    return [api.SendAttempt(event.request_id, "h1")]
                return (
                    [api.SendAttempt(event.request_id, "h2")]
                    if getattr(event, "result", "") == "cancelled"
                    else []
                )

        node.node.dispatcher.engine = Mover()
        asked = asyncio.create_task(node.send_command(command()))
        await one.arrived.get()
        (attempt,) = node.node.in_flight["r1"].attempts.values()
        ended = attempt.connection.sock
        node.node.attempts.cancel(api.CancelAttempt("r1", 0))
        with pytest.raises(OSError):  # the socket was shut at once, not in a later turn of the loop
            ended.send(b"x")
        assert await one.arrived.get() is None
        assert await asked == SERVED and len(two.commands) == 1


@on_loop
async def test_connects_called_off_before_they_began_take_no_room(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        hosts = node.node.upstream
        hosts.max_connections = 2
        for _ in range(5):
            attempt = Attempt("h1", lambda _: command(), lambda attempt: None)
            hosts.send(attempt, 3.0)
            hosts.abandon(attempt, "cancelled")
            assert attempt.result == "connect_failed"
        assert await node.send_command(command()) == SERVED
        assert len(host.commands) == 1


class Rests:
    def __init__(self, since):
        self.idle_since = since


@pytest.mark.parametrize("seed", range(20))
def test_those_that_rest_stand_in_the_order_of_their_resting_also_those_that_are_put_back(seed):
    rng, hosts, taken, now = random.Random(seed), EndpointPools(1.0, 30.0, 10), [], 0.0
    for _ in range(300):
        now += rng.choice((0.0, 0.01, 1.0))
        if hosts.idle and rng.random() < 0.4:
            taken.append(rng.choice(list(hosts.idle)))
            del hosts.idle[taken[-1]]
        elif taken and rng.random() < 0.5:
            hosts.add_idle(taken.pop(rng.randrange(len(taken))))
        else:
            hosts.add_idle(Rests(now))
        order = [conn.idle_since for conn in hosts.idle]
        assert order == sorted(order)


class Walked(dict):
    """Pools over which nothing may walk."""

    def __iter__(self):
        raise AssertionError("all pools are walked over")

    values = items = __iter__


@on_loop
async def test_no_request_change_or_timer_walks_over_all_pools(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        hosts = node.node.upstream
        hosts.pools = Walked(hosts.pools)
        hosts.max_connections = 1
        for n in range(3):
            assert await node.send_command(command(b"r%d" % n)) == SERVED
        node.discovery.change([entry(host, "h2")])
        await wait_until(lambda: "h2" in hosts.pools)
        node.discovery.change([entry(host, "h1", "removed")])
        await wait_until(lambda: "h1" not in hosts.pools)
        assert await node.send_command(command(b"r4")) == SERVED  # the place of the one that rested
        hosts.close_stale()
        hosts.close_excess_idle()
        assert hosts.idle_count() <= hosts.connection_count <= 1
        hosts.pools = dict(dict.items(hosts.pools))
