"""Requests of one customer that four gateways with one counter admit, compared with the customer's quota.

Each scenario bounds the excess over the quota, as a multiple of the burst.
"""

import asyncio
import json
from contextlib import AsyncExitStack

import pytest
from netkit import (
    SETTINGS,
    StubCounter,
    StubDiscovery,
    StubHost,
    command,
    entry,
    gateway_config,
    on_loop,
    read_reply,
    set_in_flight_limit,
    terms,
    wait_until,
)

from api_gateway.emulators.service import Faults
from api_gateway.gateway.config import read_config
from api_gateway.gateway.node import GatewayNode
from api_gateway.gateway.wall_clock import GatewayClock
from api_gateway.policy.cluster_clock import BEACON_NAME
from api_gateway.policy.customer_accounts import stable_hash

GATEWAYS, RATE, BURST = 4, 2.0, 24.0
WINDOW_LENGTH_S = BURST / RATE
EDGE_S = 0.3  # a burst of requests arrives this long before a window ends, and is decided by then
CUSTOMER = b"00000000b4d65521"
# Offset of the start of the customer's windows.
PHASE_S = stable_hash(CUSTOMER.decode(), "phase") % 4096 / 4096 * WINDOW_LENGTH_S
# Time before the window's end at which a scenario starts unless it sets another time itself.
MIDDLE_S = WINDOW_LENGTH_S / 2


class TokenBucket:
    """The exact quota: the units that one token bucket grants to the admitted requests."""

    def __init__(self):
        self.tokens, self.updated_at, self.granted = BURST, None, 0

    def take(self, now):
        self.tokens = min(
            BURST, self.tokens + RATE * (now - (self.updated_at if self.updated_at is not None else now))
        )
        self.updated_at = now
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            self.granted += 1


class Cluster:
    """Four gateways with one counter, one host and one clock, which the scenarios advance."""

    def __init__(self, path, timeout):
        self.path, self.timeout, self.clock, self.stack = path, timeout, GatewayClock(), AsyncExitStack()
        self.counter, self.quota, self.admitted, self.request_count = StubCounter(), TokenBucket(), 0, 0

    async def __aenter__(self):
        discovery = StubDiscovery()
        for stub in (self.counter, discovery, host := StubHost()):
            await self.stack.enter_async_context(stub)
        discovery.servers = [entry(host)]
        plans = [{"name": "p", "rate": RATE, "most_at_once": BURST}]
        calls = SETTINGS["specifics"] | {"counter_timeout": int(self.timeout * 1e9)}
        settings = SETTINGS | {"group_size": GATEWAYS, "plans": plans, "specifics": calls}
        self.nodes = [
            await self.start(index, discovery.port, [entry(host)], settings) for index in range(GATEWAYS)
        ]
        return self

    async def start(self, index, discovery_port, listed, settings):
        config_file = self.path / f"{index}.json"
        config_file.write_text(
            json.dumps(gateway_config(listed, discovery_port, self.counter.port, settings | {"index": index}))
        )
        node = GatewayNode(read_config({"RELAY_CONFIG": str(config_file)}))
        node.clock = node.dispatcher.clock = node.sibling_watch.clock = self.clock
        # All gateways use one clock, which the scenarios advance.
        node.engine.cluster_clock.start = lambda now: None
        set_in_flight_limit(node, 1000.0)  # the host has capacity for all requests
        node.engine.endpoint_pool.is_at_limit = lambda *_: False
        node.port = await node.start()
        self.stack.push_async_callback(self.stop, node)
        return node

    async def stop(self, node):
        node.sibling_watch.timer.cancel()
        node.clients.begin_shutdown()
        node.clients.close()
        node.upstream.close()
        node.counter.close()
        await node.discovery.close()

    async def __aexit__(self, *_):
        await self.stack.aclose()

    async def send_requests(self, node, count):
        """Send `count` requests of the customer to one gateway at once, and count the admitted ones."""
        reader, writer = await asyncio.open_connection("127.0.0.1", node.port)
        request_terms = terms(spread=str(GATEWAYS), d="60000")
        for _ in range(count):
            self.request_count += 1
            writer.write(command(b"r%d" % self.request_count, request_terms, customer=CUSTOMER))
        for _ in range(count):
            if (await read_reply(reader)).startswith(b"$"):
                self.admitted += 1
                self.quota.take(self.clock())
        writer.close()

    async def send_to_all(self, count):
        """Send `count` requests to each gateway at the same time."""
        await asyncio.gather(*(self.send_requests(node, count) for node in self.nodes))

    def remaining_window_s(self):
        """Return the seconds until the customer's window ends."""
        return WINDOW_LENGTH_S - (self.clock() - PHASE_S) % WINDOW_LENGTH_S

    def advance_to(self, remaining_s):
        """Advance the clock until `remaining_s` of a window remain."""
        self.clock.epoch += (self.remaining_window_s() - remaining_s) % WINDOW_LENGTH_S

    def lease_call_count(self):
        """Return the number of calls to the counter, without those for the cluster's time."""
        return sum(words[1] != b"%d" % BEACON_NAME for words in self.counter.calls)

    @property
    def excess(self):
        """Admitted requests over the quota, as a multiple of the burst."""
        return (self.admitted - self.quota.granted) / BURST


async def one_moment(cluster):
    """The counter answers; each gateway uses its allowance and leases more units."""
    await cluster.send_to_all(60)


async def over_the_end(cluster):
    """The window ends while calls are in flight.

    Each gateway's call is counted in the old window, and its answer arrives in the new one.
    """
    cluster.advance_to(EDGE_S)
    cluster.counter.silent = True
    calls_before = cluster.lease_call_count()
    requests = asyncio.create_task(cluster.send_to_all(60))
    await wait_until(lambda: cluster.lease_call_count() - calls_before == GATEWAYS)
    cluster.clock.epoch += cluster.remaining_window_s()
    cluster.counter.silent = False
    cluster.counter.send_pending_replies()
    await requests


async def lightly(cluster):
    """One request at a time at each gateway in turn, so that no request needs a call."""
    for _ in range(60):
        for node in cluster.nodes:
            await cluster.send_requests(node, 1)


async def across_the_end(cluster):
    """Leases in one window, then in the next one just after its start."""
    await cluster.send_to_all(1)
    cluster.advance_to(EDGE_S)
    await cluster.send_to_all(60)
    cluster.clock.epoch += 2 * EDGE_S
    await cluster.send_to_all(60)


async def for_three_windows(cluster):
    """Bursts of requests just before and after the end of each window: overdrafts must be carried over."""
    await cluster.send_to_all(1)
    for _ in range(3):
        cluster.advance_to(EDGE_S)
        await cluster.send_to_all(30)
        cluster.clock.epoch += 2 * EDGE_S
        await cluster.send_to_all(30)


async def calls_refused(cluster):
    """No call is counted: admitted units stay owed, and no lease is granted."""
    cluster.counter.set_faults(Faults(busy=1.0))
    await one_moment(cluster)


async def calls_lost(cluster):
    """Each call is counted but not answered: no gateway knows its charge, and none spends its lease."""
    cluster.counter.silent = True
    await one_moment(cluster)


async def calls_lost_across_the_end(cluster):
    cluster.counter.silent = True
    await across_the_end(cluster)


async def calls_lost_over_the_end(cluster):
    """No call is answered, and the window ends while requests wait."""
    cluster.advance_to(EDGE_S)
    cluster.counter.silent = True
    calls_before = cluster.lease_call_count()
    requests = asyncio.create_task(cluster.send_to_all(60))
    await wait_until(lambda: cluster.lease_call_count() - calls_before >= GATEWAYS)
    cluster.clock.epoch += cluster.remaining_window_s()
    await requests


async def some_lost(cluster):
    """Every third call has no answer."""
    cluster.counter.set_faults(Faults(silent=0.33))
    await for_three_windows(cluster)


# Bounds of the excess, as multiples of the burst. An uncharged allowance is at most half of the remaining
# quota. Where no call is answered, rounding adds one unit for each gateway. The first call of a window
# carries the overdraft over. If that call is lost, so is the overdraft, in each of three windows. Units
# charged by calls that are in flight or lost at a window's end are owed in the next window.
@pytest.mark.parametrize(
    "scenario, bound",
    [
        (one_moment, 0.5),
        (over_the_end, 1.5),
        (lightly, 0.5),
        (across_the_end, 1.0),
        (for_three_windows, 1.0),
        (calls_refused, 0.0),
        (calls_lost, 0.0),
        (calls_lost_across_the_end, 1.0 + 2 * GATEWAYS / BURST),
        (some_lost, 3.0),
        (calls_lost_over_the_end, 2 * GATEWAYS / BURST),
    ],
)
@on_loop
async def test_excess_over_the_quota_is_bounded(scenario, bound, scratch):
    loses_calls = scenario in (calls_lost, calls_lost_across_the_end, some_lost, calls_lost_over_the_end)
    # The long timeout keeps a slow machine from causing timeouts.
    async with Cluster(scratch, 0.08 if loses_calls else 10.0) as cluster:
        cluster.advance_to(MIDDLE_S)  # independent of the time of day
        await scenario(cluster)
        print(f"{scenario.__name__}: {cluster.admitted} admitted, {cluster.excess:.2f} bursts over the quota")
        assert cluster.excess <= bound
        assert cluster.admitted >= BURST / 3  # the quota itself is not withheld
