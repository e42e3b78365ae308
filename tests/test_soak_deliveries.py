"""Runs some seeds of soak_deliveries.py, and checks that each planted bug breaks its rule."""

import asyncio

import pytest
import soak_deliveries
import uvloop
from soak_deliveries import BROKEN_RULES

SEEDS = (1, 3, 5, 9)


async def with_timeout(run):
    async with asyncio.timeout(90):
        return await run


@pytest.mark.parametrize("seed", SEEDS)
def test_no_reply_is_lost(seed):
    assert not uvloop.run(with_timeout(soak_deliveries.run_plan(soak_deliveries.draw_plan(seed), seed)))


@pytest.mark.parametrize("planted", BROKEN_RULES)
def test_a_planted_bug_of_deliveries_breaks_its_rule(planted):
    plan, rule = BROKEN_RULES[planted]
    assert rule in uvloop.run(with_timeout(soak_deliveries.run_plan(plan, 1, planted)))
