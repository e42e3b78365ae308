"""Runs some seeds of soak_large_values.py, and checks that each planted bug breaks its rule."""

import asyncio

import pytest
import soak_large_values
import uvloop

SEEDS = (1, 2, 3)


async def with_timeout(run):
    async with asyncio.timeout(90):
        return await run


@pytest.mark.parametrize("seed", SEEDS)
def test_no_rule_is_broken_with_large_values(seed):
    assert not uvloop.run(with_timeout(soak_large_values.run_seed(seed)))


# Guards against a gateway that is killed under the smallest memory limit that a deployment may set.
def test_no_rule_is_broken_at_the_smallest_memory_limit():
    assert not uvloop.run(with_timeout(soak_large_values.run_seed(101, memory_mb=32)))


@pytest.mark.parametrize("planted", soak_large_values.BROKEN_RULES)
def test_a_planted_bug_of_large_values_breaks_its_rule(planted):
    violations = uvloop.run(with_timeout(soak_large_values.run_seed(1, planted)))
    assert soak_large_values.BROKEN_RULES[planted] in violations
