"""A wall clock that is wrong by an hour, at the start or later, breaks neither slow start nor quotas."""

import asyncio
import contextlib
import math
import time

import pytest
from gateway_process import gateway_process
from netkit import (
    SERVED,
    SETTINGS,
    StubCounter,
    StubDiscovery,
    StubHost,
    command,
    entry,
    gateway_config,
    on_loop,
    read_reply,
    terms,
)

from api_gateway.emulators.host import WorkingHost

HOUR = 3600.0
NEAR = [[0, 0.4]]  # windows of a second, 0.4 s apart: half a burst more passes at their turns
LINKS = 20  # connections of clients to each gateway


async def press(port, until, name, rate, **fields):
    """Sends `rate` requests a second over kept connections until then; returns how many were served."""
    served, loop = 0, asyncio.get_running_loop()

    async def ask(link):
        nonlocal served
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        due, number = loop.time() + link / rate, 0
        while due < until:
            await asyncio.sleep(max(0.0, due - loop.time()))
            writer.write(command(b"%s-%d-%d" % (name, link, number), terms(**fields)))
            reply = await read_reply(reader)
            served += reply == SERVED
            number, due = number + 1, due + LINKS / rate
        writer.close()

    await asyncio.gather(*(ask(link) for link in range(LINKS)))
    return served


COLD = {"start_capacity": 0.1, "cold": 4_000_000_000, "fall_multiple": 2.0, "tip_after": 1_000_000_000}
SLOTS, WORK = 4, 0.05  # requests that a warm host works on at once, and for how many seconds
CLOCKS = {
    "right": [],
    "ahead": [[0, HOUR]],
    "ahead at first": [[0, HOUR], [3, 0.0]],
    "behind": [[0, -HOUR]],
    "behind at first": [[0, -HOUR], [3, 0.0]],
    "stepped ahead": [[0, 0.0], [1, HOUR]],
    "stepped behind": [[0, 0.0], [1, -HOUR]],
}


class NotingHost(WorkingHost):
    """Notes when each command came."""

    def __init__(self):
        super().__init__(SLOTS, WORK)
        self.times = []

    def note(self, got):
        if got is not None:
            self.times.append(time.monotonic())

    def between(self, begin, end):
        return sum(begin <= at < end for at in self.times)


@pytest.mark.parametrize("clock", CLOCKS.values(), ids=CLOCKS)
@on_loop
async def test_a_host_that_started_gets_its_budget_whatever_the_clock_says(clock, tmp_path):
    """A watch tells its start as new. In its first second it bears 16 requests by the settings, with the
    rule's slack for chance; once it is warm it gets its share."""
    async with contextlib.AsyncExitStack() as stack:
        warm = [await stack.enter_async_context(NotingHost()) for _ in range(3)]
        cold = await stack.enter_async_context(NotingHost())
        counter = await stack.enter_async_context(StubCounter())
        discovery = await stack.enter_async_context(StubDiscovery())
        discovery.servers = [entry(host, f"h{n}") for n, host in enumerate(warm, 1)]
        settings = SETTINGS | {"rules": SETTINGS["rules"] | COLD}
        tree = gateway_config(discovery.servers, discovery.port, counter.port, settings)
        gateway = await stack.enter_async_context(gateway_process(tmp_path, tree, {"clock": clock}))
        await gateway.wait_until_ready()
        end = asyncio.get_running_loop().time() + 10.0
        pressing = asyncio.create_task(press(gateway.port, end, b"r", 200.0))
        await asyncio.sleep(3.5)
        began = time.monotonic()
        discovery.change([entry(cold, "h4") | {"started_ms": time.time() * 1000}])
        assert await pressing > 1000
    budget = COLD["fall_multiple"] * COLD["start_capacity"] * SLOTS / WORK
    assert cold.between(began, began + 1.0) <= budget + 3 * math.sqrt(budget) + 3
    assert cold.between(began + 5.0, began + 6.0) >= 20


@pytest.mark.parametrize(
    "clock", [[], [[0, HOUR]], [[0, -HOUR]], NEAR], ids=["right", "ahead", "behind", "near"]
)
@on_loop
async def test_two_gateways_hold_one_quota_whatever_the_clock_of_one_says(clock, tmp_path):
    """A customer of 20 units a second with a burst of 20 presses on both for 5 s: 120 units are its own."""
    async with StubHost() as one, StubHost() as two, StubCounter() as counter, StubDiscovery() as discovery:
        discovery.servers = [entry(one, "h1"), entry(two, "h2")]
        plan = {"name": "p", "rate": 20.0, "most_at_once": 20.0}
        trees = [
            gateway_config(discovery.servers, discovery.port, counter.port,
                 SETTINGS | {"group_size": 2, "index": index, "plans": [plan]})
            | {"name": f"n{index}"} for index in (0, 1)]  # fmt: skip
        async with gateway_process(tmp_path, trees[0], name="a.json") as right:
            async with gateway_process(tmp_path, trees[1], {"clock": clock}, "b.json") as other:
                await right.wait_until_ready()
                await other.wait_until_ready()
                end = asyncio.get_running_loop().time() + 5.0
                served = await asyncio.gather(
                    *(press(gateway.port, end, name, 60.0, spread=2)
                      for gateway, name in ((right, b"a"), (other, b"b"))))  # fmt: skip
    assert 80 <= sum(served) <= (150 if clock == NEAR else 135)
