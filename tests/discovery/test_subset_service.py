"""Tests of service quality with subsets, simulated with real decision modules by `measure/served.py`."""

import sys
from dataclasses import replace
from pathlib import Path

sys.path.append(str(Path(__file__).resolve().parents[1] / "measure"))

from served import BACK, LOST, REMOVED, START, WARM, Play  # noqa: E402

HOSTS, GATEWAYS, LOAD = 60, 36, 0.6
# Maximum of largest over mean, and of its mean over the seeds. With about 36 requests per host, random choice
# alone gives 1.4.
MAX_IMBALANCE, MAX_MEAN_IMBALANCE = 1.75, 1.65
SEEDS = range(1, 6)


def simulate(views, event="none", seed=5):
    play = Play(HOSTS, GATEWAYS, views, LOAD, event, seed)
    return play, play.run()


def test_with_few_gateways_the_subset_is_the_full_list():
    assert Play(HOSTS, 12, True, LOAD, "none", 1).size == HOSTS
    assert Play(HOSTS, GATEWAYS, True, LOAD, "none", 1).size == 40


def test_subsets_serve_as_much_as_the_full_list_and_as_evenly():
    imbalances, turned_away = [], [0.0, 0.0]
    for seed in SEEDS:
        (_, full_figures), (subset_play, subset_figures) = (
            simulate(False, seed=seed),
            simulate(True, seed=seed),
        )
        assert subset_figures["requests"] == full_figures["requests"] > 2000  # both get the same requests
        assert full_figures["served"] > 0.98 and abs(subset_figures["served"] - full_figures["served"]) < 0.02
        assert subset_figures["hosts_with_none"] == full_figures["hosts_with_none"] == 0
        assert max(subset_figures["largest_over_mean"], full_figures["largest_over_mean"]) < MAX_IMBALANCE
        assert all(len(known) == 40 for known in subset_play.known)  # the subsets had the intended size
        imbalances.append(subset_figures["largest_over_mean"])
        turned_away = [
            turned_away[0] + full_figures["turned_away"],
            turned_away[1] + subset_figures["turned_away"],
        ]
    assert sum(imbalances) / len(imbalances) < MAX_MEAN_IMBALANCE
    assert turned_away[1] < 1.6 * turned_away[0]


def test_the_simulation_detects_hosts_that_no_subset_uses():
    """An injected fault gives all gateways the same index and zone."""
    play = Play(HOSTS, GATEWAYS, True, LOAD / 2, "none", 5)
    play.views = [replace(view, index=0, zone="") for view in play.views]
    figures = play.run()
    assert figures["hosts_with_none"] > 0 and figures["largest_over_mean"] > MAX_IMBALANCE


def test_service_recovers_after_a_zone_outage():
    play, figures = simulate(True, "zone")
    before, after = play.goodput(int(WARM), int(LOST) - 1), play.goodput(play.ended - 5, play.ended)
    assert before > 0.98 and after > 0.98 and figures["served"] > 0.97
    # Requests fail at most until the list reports the outage.
    assert figures["hosts_with_none"] == 0 and figures["below_s"] <= 3
    recovered = [machine for machine in play.machines.values() if machine.started]
    assert len(recovered) == HOSTS // 6 and all(
        machine.started == START + BACK > START + REMOVED for machine in recovered
    )
    assert all(play.senders[machine.name] for machine in recovered)  # the recovered hosts are used again
    assert all(len(known) >= 40 for known in play.known)
