"""The clock of a gateway's processes: one beginning, whatever the wall clock does between them."""

import time

import pytest

from api_gateway.gateway.wall_clock import GatewayClock

HOUR = 3600.0


@pytest.mark.parametrize("off", [-HOUR, HOUR])
def test_the_next_process_goes_on_from_the_same_beginning(off, tmp_path, monkeypatch):
    first = GatewayClock(tmp_path, "n0")
    wall = time.time
    monkeypatch.setattr(time, "time", lambda: wall() + off)
    assert abs(GatewayClock(tmp_path, "n0")() - first()) < 0.1
    assert abs(GatewayClock(tmp_path, "n1")() - first() - off) < 0.1  # another gateway's


def test_what_another_life_of_the_machine_kept_does_not_count(tmp_path):
    (tmp_path / "n0-clock.json").write_text('{"boot": "another", "zero": 5.0}')
    assert abs(GatewayClock(tmp_path, "n0")() - time.time()) < 0.1
    assert "another" not in (tmp_path / "n0-clock.json").read_text()


@pytest.mark.parametrize("text", ["", "{", "[]", '{"boot": 1}'])
def test_a_file_that_is_torn_or_a_folder_that_is_gone_leaves_the_process_its_own_clock(text, tmp_path):
    (tmp_path / "n0-clock.json").write_text(text)
    for folder in (tmp_path, tmp_path / "none", None):
        assert abs(GatewayClock(folder, "n0")() - time.time()) < 0.1


def test_a_step_is_seen_once(monkeypatch):
    clock, wall = GatewayClock(), time.time
    assert not clock.has_wall_clock_stepped()
    monkeypatch.setattr(time, "time", lambda: wall() - HOUR)
    assert clock.has_wall_clock_stepped() and abs(clock.wall_offset + HOUR) < 0.1
    assert not clock.has_wall_clock_stepped()
