"""Tests that the processes of a gateway share one epoch, even if the wall clock is stepped in between."""

import time

import pytest

from api_gateway.gateway.wall_clock import GatewayClock

HOUR_S = 3600.0


@pytest.mark.parametrize("offset", [-HOUR_S, HOUR_S])
def test_the_next_process_uses_the_stored_epoch(offset, tmp_path, monkeypatch):
    first = GatewayClock(tmp_path, "n0")
    read_wall_clock = time.time
    monkeypatch.setattr(time, "time", lambda: read_wall_clock() + offset)
    assert abs(GatewayClock(tmp_path, "n0")() - first()) < 0.1
    assert abs(GatewayClock(tmp_path, "n1")() - first() - offset) < 0.1  # another gateway has its own epoch


def test_the_epoch_of_an_earlier_boot_is_ignored(tmp_path):
    (tmp_path / "n0-clock.json").write_text('{"boot": "another", "zero": 5.0}')
    assert abs(GatewayClock(tmp_path, "n0")() - time.time()) < 0.1
    assert "another" not in (tmp_path / "n0-clock.json").read_text()


@pytest.mark.parametrize("text", ["", "{", "[]", '{"boot": 1}'])
def test_without_a_valid_file_or_folder_the_process_uses_its_own_epoch(text, tmp_path):
    (tmp_path / "n0-clock.json").write_text(text)
    for folder in (tmp_path, tmp_path / "none", None):
        assert abs(GatewayClock(folder, "n0")() - time.time()) < 0.1


def test_a_step_is_reported_once(monkeypatch):
    clock, read_wall_clock = GatewayClock(), time.time
    assert not clock.has_wall_clock_stepped()
    monkeypatch.setattr(time, "time", lambda: read_wall_clock() - HOUR_S)
    assert clock.has_wall_clock_stepped() and abs(clock.wall_offset + HOUR_S) < 0.1
    assert not clock.has_wall_clock_stepped()
