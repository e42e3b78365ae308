"""Plays all kinds of slow clients at once for a short time, and checks that a planted bug breaks its rule."""

import asyncio

import pytest
import soak_mixed_clients
import uvloop
from soak_mixed_clients import BROKEN_RULES, DESCRIPTORS, MEMORY_MB

DURATION_S = 12.0
SEEDS = (3, 5)


async def with_timeout(run):
    async with asyncio.timeout(90):
        return await run


# Guards against holdings that are each bounded, and pass the memory limit together.
def test_all_kinds_of_slow_clients_at_once_stay_within_the_memory_limit():
    plan = soak_mixed_clients.plan_of_all_kinds(DURATION_S, MEMORY_MB, DESCRIPTORS)
    assert not uvloop.run(with_timeout(soak_mixed_clients.run_plan(plan)))


@pytest.mark.parametrize("seed", SEEDS)
def test_drawn_kinds_of_slow_clients_stay_within_the_memory_limit(seed):
    plan = soak_mixed_clients.draw_plan(seed, DURATION_S)
    assert not uvloop.run(with_timeout(soak_mixed_clients.run_plan(plan, seed)))


@pytest.mark.parametrize("planted", BROKEN_RULES)
def test_a_planted_bug_breaks_its_rule_under_slow_clients(planted):
    plan, rule = BROKEN_RULES[planted]
    assert rule in uvloop.run(with_timeout(soak_mixed_clients.run_plan(plan, planted=planted)))
