"""Each end of a client connection, with its requests in each place: what was read is answered."""

import pytest
from ends_by_places import (
    ENDS,
    HOST_ENDS,
    PLACES,
    Plan,
    draw_plan,
    draw_plan_of_both_sides,
    run_plan,
)
from netkit import on_loop

SEEDS = range(40)
PLACES_WITHOUT_VALUES = [place for place, (kinds, *_) in PLACES.items() if "value" not in kinds]


def check(outcome):
    assert not outcome.lost(), outcome
    assert not outcome.lost_count


# Guards against an end that does not look at the place in which a request stands.
@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("place", PLACES)
@on_loop
async def test_a_command_that_was_read_is_answered_whatever_ends_its_connection(
    place, end, tmp_path, monkeypatch
):
    check(await run_plan(Plan(*PLACES[place], ends=ENDS[end]), tmp_path, monkeypatch))


@pytest.mark.parametrize("end", ENDS)
@on_loop
async def test_a_body_that_waits_for_memory_is_answered_whatever_ends_its_connection(
    end, tmp_path, monkeypatch
):
    plan = Plan(["now", "upload", "now"], 0.5, 1.0, ENDS[end], is_memory_short=True, delay_s=0.1)
    check(await run_plan(plan, tmp_path, monkeypatch))


@pytest.mark.parametrize("seed", SEEDS)
@on_loop
async def test_drawn_places_and_ends_lose_no_command_that_was_read(seed, tmp_path, monkeypatch):
    check(await run_plan(draw_plan(seed), tmp_path, monkeypatch))


# Guards against an end on the side of the hosts that leaves a request without an answer.
@pytest.mark.parametrize("end", HOST_ENDS)
@pytest.mark.parametrize("place", PLACES_WITHOUT_VALUES)
@on_loop
async def test_a_command_that_was_read_is_answered_whatever_ends_the_connections_to_hosts(
    place, end, tmp_path, monkeypatch
):
    check(await run_plan(Plan(*PLACES[place], ends=HOST_ENDS[end]), tmp_path, monkeypatch))


@pytest.mark.parametrize("seed", SEEDS)
@on_loop
async def test_drawn_ends_of_both_sides_lose_no_command_that_was_read(seed, tmp_path, monkeypatch):
    check(await run_plan(draw_plan_of_both_sides(seed), tmp_path, monkeypatch))
