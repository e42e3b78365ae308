"""What a view costs in service, played with the real modules by the model of `measure/served.py`."""

import sys
from dataclasses import replace
from pathlib import Path

sys.path.append(str(Path(__file__).resolve().parents[1] / "measure"))

from served import BACK, LOST, REMOVED, START, WARM, Play  # noqa: E402

HOSTS, GATEWAYS, LOAD = 60, 36, 0.6
EVEN, EVEN_MEAN = 1.75, 1.65  # largest over mean at most, with some 36 requests a host: chance alone makes
# 1.4 of it; and on the mean of some seeds
SEEDS = range(1, 6)


def played(views, event="none", seed=5):
    play = Play(HOSTS, GATEWAYS, views, LOAD, event, seed)
    return play, play.run()


def test_few_gateways_have_the_whole_list_for_their_view():
    assert Play(HOSTS, 12, True, LOAD, "none", 1).size == HOSTS
    assert Play(HOSTS, GATEWAYS, True, LOAD, "none", 1).size == 40


def test_views_serve_what_the_whole_list_does_and_spread_it_as_well():
    most, turned = [], [0.0, 0.0]
    for seed in SEEDS:
        (_, whole), (view, part) = played(False, seed=seed), played(True, seed=seed)
        assert part["requests"] == whole["requests"] > 2000  # the same was asked
        assert whole["served"] > 0.98 and abs(part["served"] - whole["served"]) < 0.02
        assert part["hosts_with_none"] == whole["hosts_with_none"] == 0
        assert max(part["largest_over_mean"], whole["largest_over_mean"]) < EVEN
        assert all(len(known) == 40 for known in view.known)  # the views were what they are for
        most.append(part["largest_over_mean"])
        turned = [turned[0] + whole["turned_away"], turned[1] + part["turned_away"]]
    assert sum(most) / len(most) < EVEN_MEAN
    assert turned[1] < 1.6 * turned[0]


def test_the_play_tells_where_views_leave_hosts_out():
    """Planted: all gateways have one place."""
    play = Play(HOSTS, GATEWAYS, True, LOAD / 2, "none", 5)
    play.views = [replace(view, index=0, zone="") for view in play.views]
    figures = play.run()
    assert figures["hosts_with_none"] > 0 and figures["largest_over_mean"] > EVEN


def test_a_zone_that_is_lost_and_comes_back_heals():
    play, figures = played(True, "zone")
    before, last = play.goodput(int(WARM), int(LOST) - 1), play.goodput(play.ended - 5, play.ended)
    assert before > 0.98 and last > 0.98 and figures["served"] > 0.97
    assert figures["hosts_with_none"] == 0 and figures["below_s"] <= 3  # before the list tells it, at most
    back = [m for m in play.machines.values() if m.started]
    assert len(back) == HOSTS // 6 and all(m.started == START + BACK > START + REMOVED for m in back)
    assert all(play.senders[m.name] for m in back)  # and they are used again
    assert all(len(known) >= 40 for known in play.known)
