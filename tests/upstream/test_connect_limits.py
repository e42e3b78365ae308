"""Connects to hosts: bounded by host and in all, shared by those who wait, and failed together."""

import asyncio
import random
from collections import Counter
from time import monotonic

import pytest
from netkit import Node, StubHost, command, on_loop, read_reply, wait_until

from api_gateway.upstream.attempt import Attempt
from api_gateway.upstream.connect_limits import SharedPool, limited_pool_factory
from api_gateway.upstream.endpoint_pools import EndpointPools


class Line:
    """In the place of a connection: works on an attempt for a while, then rests."""

    is_written, attempt = True, None

    def __init__(self, pool, rng):
        self.pool, self.rng, self.transport, self.ended = pool, rng, self, False
        self.idle_since, self.served, self.is_used = 0.0, 0, False

    def is_closing(self):
        return self.ended

    def is_sound(self):
        return not self.ended

    def start(self, attempt):
        assert not self.ended and not attempt.result
        attempt.connection, self.is_used = self, True
        self.served += 1
        asyncio.get_running_loop().call_later(self.rng.random() * 0.002, self.done, attempt)
        return True

    def done(self, attempt):
        if not self.ended and self.rng.random() < 0.1:
            self.close()
        elif not self.ended:
            self.pool.add_idle(self)
        attempt.end("ok")

    def close(self):
        self.ended = True
        self.pool.forget(self)


class Unbounded(SharedPool):
    """Planted: the bound by host is not looked at."""

    def start_connects(self):
        limit, self.limits.max_per_endpoint = self.limits.max_per_endpoint, 1000
        super().start_connects()
        self.limits.max_per_endpoint = limit


class Forgets(SharedPool):
    """Planted: one whose host refused is not told."""

    def fail_waiting(self):
        self.waiting = {}


class Hoards(SharedPool):
    """Planted: what comes up rests although others wait."""

    def add_idle(self, conn):
        conn.idle_since = monotonic()
        self.idle.append(conn)


async def play(seed, kind=SharedPool):
    rng = random.Random(seed)
    host_most, most = rng.randint(1, 4), rng.choice((0, 2, 5))
    hosts, ended, seen, connects = EndpointPools(10.0, 30.0, 1000), [], 0, 0
    make = limited_pool_factory(host_most, most)

    class Tried(kind):
        settle_time = 0.002

        async def open(self):
            nonlocal connects
            connects += 1
            await asyncio.sleep(rng.random() * 0.003)
            return None if rng.random() < 0.1 else Line(self, rng)

    hosts.make_pool = lambda *args: Tried(*args, make(*args).limits)
    for name in ("a", "b", "c"):
        hosts.set_address(name, ("127.0.0.1", 1))
    attempts, beside = [], Counter()
    for _ in range(150):
        for _ in range(rng.choice((0, 1, 1, 8))):
            attempts.append(Attempt(rng.choice("abc"), lambda _: b"x", lambda attempt: ended.append(attempt)))
            hosts.send(attempts[-1], 30.0)
        if rng.random() < 0.1:
            hosts.abandon(rng.choice(attempts), "cancelled") if attempts and not attempts[
                -1
            ].connection else None
        if rng.random() < 0.02:  # a host goes and comes back elsewhere
            hosts.set_address("a", None)
            hosts.set_address("a", ("127.0.0.1", 2))
        await asyncio.sleep(0.0005)
        pools = list(hosts.pools.values())
        seen = max(seen, *(len(pool.connecting) for pool in pools))
        assert all(len(pool.connecting) <= host_most for pool in pools), "past the bound by host"
        assert not most or sum(len(pool.connecting) for pool in pools) <= most, "past the bound in all"
        assert hosts.connecting_count == sum(len(pool.connecting) for pool in pools)
        resting = sorted(conn.idle_since for pool in pools for conn in pool.idle)
        assert kind is Hoards or [conn.idle_since for conn in hosts.idle] == resting
        settled = {
            conn
            for pool in pools
            if pool.waiting
            for conn in pool.idle
            if monotonic() - conn.idle_since > 5 * pool.settle_time
        }
        beside = Counter({conn: beside[conn] + 1 for conn in settled})
        # The loop's timers fire in order: a few turns after that time its own has fired, however late all is.
        assert max(beside.values(), default=0) < 5, "one waits beside a connection at rest"
    async with asyncio.timeout(1.0):
        while len(ended) < len(attempts) or any(pool.connecting for pool in hosts.pools.values()):
            await asyncio.sleep(0.001)
    assert len({id(attempt) for attempt in ended}) == len(ended) == len(attempts), "not one end each"
    assert not any(pool.waiting for pool in hosts.pools.values())
    hosts.close()
    return connects, len(attempts)


@pytest.mark.parametrize("seed", range(12))
@on_loop
async def test_whatever_comes_connects_are_bounded_and_each_attempt_ends_once(seed):
    connects, attempts = await play(seed)
    assert connects < attempts  # they are shared


@pytest.mark.parametrize(
    "bug, why", [(Unbounded, "by host"), (Hoards, "waits beside|TimeoutError"), (Forgets, "")]
)
@on_loop
async def test_planted_bugs_are_caught(bug, why):
    with pytest.raises((AssertionError, TimeoutError)) as caught:
        for seed in range(12):
            await play(seed, bug)
    assert not why or any(word in repr(caught.value) for word in why.split("|"))


@pytest.mark.parametrize("most", [1, 0])
@on_loop
async def test_an_attempt_waits_no_longer_than_a_connect_may_take(most):
    """Whether no connect is free in all, or those that come up do not come up in time."""

    class Slow(SharedPool):
        async def open(self):
            await asyncio.Event().wait()

    hosts, ended = EndpointPools(0.05, 30.0, 1000), []
    make = limited_pool_factory(1, most)
    hosts.make_pool = lambda *args: Slow(*args, make(*args).limits)
    for name in "ab":
        hosts.set_address(name, ("127.0.0.1", 1))
        hosts.send(Attempt(name, lambda _: b"x", ended.append), 30.0)
    await wait_until(lambda: len(ended) == 2)
    assert {attempt.result for attempt in ended} == {"connect_failed"}
    assert not any(pool.waiting for pool in hosts.pools.values())
    hosts.close()


async def refused(port):
    """Waits until nobody listens there."""
    while True:
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
        except ConnectionRefusedError:
            return
        writer.close()
        await asyncio.sleep(0)


@pytest.mark.parametrize("edge, bounded", [({"connects": 2, "connects_all": 3}, True), ({}, False)])
@on_loop
async def test_a_rush_of_requests_is_no_rush_of_handshakes(edge, bounded, scratch):
    more = {"edge": edge}
    async with (
        StubHost() as one,
        StubHost() as two,
        Node(one, two, path=scratch, config_overrides=more) as node,
    ):
        reader, writer = await node.connect()
        writer.write(b"".join(command(b"r%d" % n, customer=b"%016x" % n) for n in range(40)))
        most = 0
        for _ in range(40):
            most = max(most, *(len(pool.connecting) for pool in node.node.upstream.pools.values()))
            assert (await read_reply(reader))[:1] in (b"$", b"-")
        assert all(isinstance(pool, SharedPool) == bounded for pool in node.node.upstream.pools.values())
        if bounded:
            assert most <= 2
            for host in (one, two):  # the loop closes a listener later than it says so
                host.server.close()
                await refused(host.port)
            for conn in list(node.node.upstream.connections):
                conn.close()
            assert (await node.send_command(command(b"last"))).startswith((b"-ERR", b"-BUSY"))
            await wait_until(lambda: not any(pool.waiting for pool in node.node.upstream.pools.values()))
