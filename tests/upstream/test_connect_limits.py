"""Connect limits per endpoint and in total, and pools whose waiting attempts share new connections."""

import asyncio
import random
from collections import Counter
from time import monotonic

import pytest
from netkit import Node, StubHost, command, on_loop, read_reply, wait_until

from api_gateway.upstream.attempt import Attempt
from api_gateway.upstream.connect_limits import SharedPool, limited_pool_factory
from api_gateway.upstream.endpoint_pools import EndpointPools


class FakeConnection:
    """Replaces a connection: answers each attempt after a random delay, then becomes idle or closes."""

    is_written, attempt = True, None

    def __init__(self, pool, rng):
        self.pool, self.rng, self.transport, self.is_closed = pool, rng, self, False
        self.idle_since, self.served, self.is_used = 0.0, 0, False

    def is_closing(self):
        return self.is_closed

    def is_sound(self):
        return not self.is_closed

    def start(self, attempt):
        assert not self.is_closed and not attempt.result
        attempt.connection, self.is_used = self, True
        self.served += 1
        asyncio.get_running_loop().call_later(self.rng.random() * 0.002, self.finish, attempt)
        return True

    def finish(self, attempt):
        if not self.is_closed and self.rng.random() < 0.1:
            self.close()
        elif not self.is_closed:
            self.pool.add_idle(self)
        attempt.end("ok")

    def close(self):
        self.is_closed = True
        self.pool.remove(self)


class Unbounded(SharedPool):
    """Planted bug: the limit per endpoint is ignored."""

    def start_connects(self):
        limit, self.limits.max_per_endpoint = self.limits.max_per_endpoint, 1000
        super().start_connects()
        self.limits.max_per_endpoint = limit


class Forgets(SharedPool):
    """Planted bug: waiting attempts are dropped without a result when a connect fails."""

    def fail_waiting(self):
        self.waiting = {}


class Hoards(SharedPool):
    """Planted bug: a new connection stays idle although attempts wait."""

    def add_idle(self, connection):
        connection.idle_since = monotonic()
        self.idle.append(connection)


async def run_random_requests(seed, pool_class=SharedPool):
    rng = random.Random(seed)
    max_per_endpoint, max_total = rng.randint(1, 4), rng.choice((0, 2, 5))
    endpoint_pools, ended, max_connecting, connect_count = EndpointPools(10.0, 30.0, 1000), [], 0, 0
    make_limited_pool = limited_pool_factory(max_per_endpoint, max_total)

    class TestedPool(pool_class):
        settle_time = 0.002

        async def open(self):
            nonlocal connect_count
            connect_count += 1
            await asyncio.sleep(rng.random() * 0.003)
            return None if rng.random() < 0.1 else FakeConnection(self, rng)

    endpoint_pools.make_pool = lambda *args: TestedPool(*args, make_limited_pool(*args).limits)
    for name in ("a", "b", "c"):
        endpoint_pools.set_address(name, ("127.0.0.1", 1))
    attempts, idle_rounds = [], Counter()
    for _ in range(150):
        for _ in range(rng.choice((0, 1, 1, 8))):
            attempts.append(Attempt(rng.choice("abc"), lambda _: b"x", lambda attempt: ended.append(attempt)))
            endpoint_pools.send(attempts[-1], 30.0)
        if rng.random() < 0.1:
            endpoint_pools.abandon(rng.choice(attempts), "cancelled") if attempts and not attempts[
                -1
            ].connection else None
        if rng.random() < 0.02:  # an endpoint is removed and comes back at another address
            endpoint_pools.set_address("a", None)
            endpoint_pools.set_address("a", ("127.0.0.1", 2))
        await asyncio.sleep(0.0005)
        pools = list(endpoint_pools.pools.values())
        max_connecting = max(max_connecting, *(len(pool.connecting) for pool in pools))
        assert all(len(pool.connecting) <= max_per_endpoint for pool in pools), (
            "more connects to an endpoint than the limit by host"
        )
        assert not max_total or sum(len(pool.connecting) for pool in pools) <= max_total, (
            "more connects than the total limit"
        )
        assert endpoint_pools.connecting_count == sum(len(pool.connecting) for pool in pools)
        idle_times = sorted(connection.idle_since for pool in pools for connection in pool.idle)
        assert (
            pool_class is Hoards
            or [connection.idle_since for connection in endpoint_pools.idle] == idle_times
        )
        settled = {
            connection
            for pool in pools
            if pool.waiting
            for connection in pool.idle
            if monotonic() - connection.idle_since > 5 * pool.settle_time
        }
        idle_rounds = Counter({connection: idle_rounds[connection] + 1 for connection in settled})
        # The event loop fires timers in order, so however late it is, the connection's own settle timer has
        # fired a few iterations after that time.
        assert max(idle_rounds.values(), default=0) < 5, "an attempt waits beside an idle connection"
    async with asyncio.timeout(1.0):
        while len(ended) < len(attempts) or any(pool.connecting for pool in endpoint_pools.pools.values()):
            await asyncio.sleep(0.001)
    assert len({id(attempt) for attempt in ended}) == len(ended) == len(attempts), (
        "an attempt did not end exactly once"
    )
    assert not any(pool.waiting for pool in endpoint_pools.pools.values())
    endpoint_pools.close()
    return connect_count, len(attempts)


@pytest.mark.parametrize("seed", range(12))
@on_loop
async def test_connects_stay_within_limits_and_each_attempt_ends_once(seed):
    connect_count, attempts = await run_random_requests(seed)
    assert connect_count < attempts  # attempts share connections


@pytest.mark.parametrize(
    "bug, why", [(Unbounded, "by host"), (Hoards, "waits beside|TimeoutError"), (Forgets, "")]
)
@on_loop
async def test_planted_bugs_are_caught(bug, why):
    with pytest.raises((AssertionError, TimeoutError)) as caught:
        for seed in range(12):
            await run_random_requests(seed, bug)
    assert not why or any(word in repr(caught.value) for word in why.split("|"))


@pytest.mark.parametrize("max_total", [1, 0])
@on_loop
async def test_an_attempt_waits_no_longer_than_the_connect_timeout(max_total):
    """Both when the total limit blocks its connect and when the connect hangs."""

    class HangingPool(SharedPool):
        async def open(self):
            await asyncio.Event().wait()

    endpoint_pools, ended = EndpointPools(0.05, 30.0, 1000), []
    make_limited_pool = limited_pool_factory(1, max_total)
    endpoint_pools.make_pool = lambda *args: HangingPool(*args, make_limited_pool(*args).limits)
    for name in "ab":
        endpoint_pools.set_address(name, ("127.0.0.1", 1))
        endpoint_pools.send(Attempt(name, lambda _: b"x", ended.append), 30.0)
    await wait_until(lambda: len(ended) == 2)
    assert {attempt.result for attempt in ended} == {"connect_failed"}
    assert not any(pool.waiting for pool in endpoint_pools.pools.values())
    endpoint_pools.close()


async def wait_until_refused(port):
    """Wait until nothing listens on the port."""
    while True:
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
        except ConnectionRefusedError:
            return
        writer.close()
        await asyncio.sleep(0)


@pytest.mark.parametrize("edge, is_limited", [({"connects": 2, "connects_all": 3}, True), ({}, False)])
@on_loop
async def test_a_burst_of_requests_causes_no_burst_of_handshakes(edge, is_limited, scratch):
    config_overrides = {"edge": edge}
    async with (
        StubHost() as one,
        StubHost() as two,
        Node(one, two, path=scratch, config_overrides=config_overrides) as node,
    ):
        reader, writer = await node.connect()
        writer.write(b"".join(command(b"r%d" % n, customer=b"%016x" % n) for n in range(40)))
        max_connecting = 0
        for _ in range(40):
            max_connecting = max(
                max_connecting, *(len(pool.connecting) for pool in node.node.upstream.pools.values())
            )
            assert (await read_reply(reader))[:1] in (b"$", b"-")
        assert all(isinstance(pool, SharedPool) == is_limited for pool in node.node.upstream.pools.values())
        if is_limited:
            assert max_connecting <= 2
            for host in (one, two):  # the event loop closes a listener some time after close() returns
                host.server.close()
                await wait_until_refused(host.port)
            for connection in list(node.node.upstream.connections):
                connection.close()
            assert (await node.send_command(command(b"last"))).startswith((b"-ERR", b"-BUSY"))
            await wait_until(lambda: not any(pool.waiting for pool in node.node.upstream.pools.values()))
