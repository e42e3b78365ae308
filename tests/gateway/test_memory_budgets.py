"""The sum of what a process may hold, and the return of freed memory."""

import asyncio
import math
from types import SimpleNamespace

import pytest
from netkit import on_loop, wait_until

from api_gateway.downstream.client_connection import COMMAND_READ_BYTES
from api_gateway.downstream.client_server import MAX_REPLY_OVERRUN
from api_gateway.downstream.partial_command import UNCOUNTED_COMMAND_BYTES
from api_gateway.gateway import memory_watch
from api_gateway.gateway.memory_watch import HIGH_FRACTION, MIN_GROWTH_BYTES, MemoryWatch
from api_gateway.gateway.process_limits import (
    CLIENT_CONNECTION_BYTES,
    CUSTOMER_BYTES,
    ENDPOINT_CONNECTION_BYTES,
    PROCESS_BASE_BYTES,
    ProcessLimits,
)

MB = 1024 * 1024
LIMIT_BYTES = 32 * MB


def most_bytes(memory_mb, descriptors):
    """Return the most bytes that a process may hold with all budgets and places for connections full."""
    limits = ProcessLimits(*[None] * 5)
    config = SimpleNamespace(max_memory_bytes=memory_mb * MB, max_descriptors=descriptors)
    capacity = limits.capacity(config)
    budgets = (
        capacity.large_body_bytes
        + capacity.partial_command_bytes
        + capacity.request_bytes
        + capacity.customers * CUSTOMER_BYTES
        + MAX_REPLY_OVERRUN * capacity.reply_bytes
        + capacity.answer_bytes
    )
    connections = capacity.connections * (CLIENT_CONNECTION_BYTES + ENDPOINT_CONNECTION_BYTES)
    return PROCESS_BASE_BYTES + connections + budgets


# Guards against budgets that are each bounded, and exceed the limit together.
@pytest.mark.parametrize("memory_mb", [32, 40, 48, 64, 96, 128, 192])
@pytest.mark.parametrize("descriptors", [256, 512, 1024])
def test_the_sum_of_all_budgets_and_connections_is_within_the_memory_limit(memory_mb, descriptors):
    assert most_bytes(memory_mb, descriptors) <= memory_mb * MB


def test_what_a_connection_holds_uncounted_fits_into_its_allowance():
    assert max(COMMAND_READ_BYTES, 2 * UNCOUNTED_COMMAND_BYTES) <= CLIENT_CONNECTION_BYTES / 2


class Memory:
    """The memory of a process that can give back what it has freed."""

    def __init__(self, used, free):
        self.used, self.free = used, free

    def release(self):
        self.used -= self.free
        self.free = 0
        return True


def watch(memory):
    return MemoryWatch(lambda: LIMIT_BYTES, lambda: memory.used, memory.release)


# Guards against freed memory that the allocator keeps until the process passes its limit.
def test_free_memory_is_returned_near_the_limit_and_not_below():
    memory = Memory(used=math.ceil(HIGH_FRACTION * LIMIT_BYTES) - 1, free=5 * MB)
    watched = watch(memory)
    watched.check()
    assert not watched.release_count
    memory.used += 1
    watched.check()
    assert watched.release_count == 1
    assert memory.used == math.ceil(HIGH_FRACTION * LIMIT_BYTES) - 5 * MB


def test_memory_that_is_in_use_is_not_searched_again_before_it_has_grown():
    memory = Memory(used=LIMIT_BYTES, free=0)
    watched = watch(memory)
    for _ in range(5):
        watched.check()
    assert watched.release_count == 1
    memory.used += MIN_GROWTH_BYTES
    watched.check()
    assert watched.release_count == 2


@on_loop
async def test_the_memory_is_checked_at_intervals_until_the_end(monkeypatch):
    monkeypatch.setattr(memory_watch, "CHECK_INTERVAL_S", 0.01)
    memory = Memory(used=0, free=0)
    watched = watch(memory)
    watched.start()
    memory.used = LIMIT_BYTES
    await wait_until(lambda: watched.release_count)
    watched.close()
    memory.used *= 2
    await asyncio.sleep(0.05)
    assert watched.release_count == 1
