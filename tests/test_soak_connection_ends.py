"""Runs some seeds of soak_connection_ends.py, and checks that each planted bug breaks its rule."""

import asyncio

import pytest
import soak_connection_ends
import uvloop
from soak_connection_ends import BROKEN_RULES

SEEDS = (1, 10, 22)


async def with_timeout(run):
    async with asyncio.timeout(90):
        return await run


@pytest.mark.parametrize("seed", SEEDS)
def test_no_command_is_lost_at_the_end_of_its_connection(seed):
    plan = soak_connection_ends.draw_plan(seed)
    assert not uvloop.run(with_timeout(soak_connection_ends.run_plan(plan, seed)))


@pytest.mark.parametrize("planted", BROKEN_RULES)
def test_a_planted_bug_of_ends_breaks_its_rule(planted):
    plan, rule = BROKEN_RULES[planted]
    assert rule in uvloop.run(with_timeout(soak_connection_ends.run_plan(plan, 1, planted)))
