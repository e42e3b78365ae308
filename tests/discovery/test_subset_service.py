"""Tests of service quality with subsets, simulated with real decision modules by `measure/served.py`."""

import sys
from dataclasses import replace
from pathlib import Path

sys.path.append(str(Path(__file__).resolve().parents[1] / "measure"))

from served import START_TIME_S, WARM_UP_S, ZONE_BACK_S, ZONE_LOST_S, ZONE_REMOVED_S, Simulation  # noqa: E402

HOSTS, GATEWAYS, LOAD = 60, 36, 0.6
# Maximum of largest over mean, and of its mean over the seeds. With about 36 requests per host, random choice
# alone gives 1.4.
MAX_IMBALANCE, MAX_MEAN_IMBALANCE = 1.75, 1.65
SEEDS = range(1, 6)


def simulate(views, event="none", seed=5):
    simulation = Simulation(HOSTS, GATEWAYS, views, LOAD, event, seed)
    return simulation, simulation.run()


def test_with_few_gateways_the_subset_is_the_full_list():
    assert Simulation(HOSTS, 12, True, LOAD, "none", 1).size == HOSTS
    assert Simulation(HOSTS, GATEWAYS, True, LOAD, "none", 1).size == 40


def test_subsets_serve_as_much_as_the_full_list_and_as_evenly():
    imbalances, turned_away = [], [0.0, 0.0]
    for seed in SEEDS:
        (_, full_figures), (subset_simulation, subset_figures) = (
            simulate(False, seed=seed),
            simulate(True, seed=seed),
        )
        assert subset_figures["requests"] == full_figures["requests"] > 2000  # both get the same requests
        assert full_figures["served"] > 0.98 and abs(subset_figures["served"] - full_figures["served"]) < 0.02
        assert subset_figures["hosts_with_none"] == full_figures["hosts_with_none"] == 0
        assert max(subset_figures["largest_over_mean"], full_figures["largest_over_mean"]) < MAX_IMBALANCE
        assert all(
            len(known) == 40 for known in subset_simulation.known_hosts
        )  # the subsets had the intended size
        imbalances.append(subset_figures["largest_over_mean"])
        turned_away = [
            turned_away[0] + full_figures["turned_away"],
            turned_away[1] + subset_figures["turned_away"],
        ]
    assert sum(imbalances) / len(imbalances) < MAX_MEAN_IMBALANCE
    assert turned_away[1] < 1.6 * turned_away[0]


def test_the_simulation_detects_hosts_that_no_subset_uses():
    """An injected fault gives all gateways the same index and zone."""
    simulation = Simulation(HOSTS, GATEWAYS, True, LOAD / 2, "none", 5)
    simulation.views = [replace(view, index=0, zone="") for view in simulation.views]
    figures = simulation.run()
    assert figures["hosts_with_none"] > 0 and figures["largest_over_mean"] > MAX_IMBALANCE


def test_service_recovers_after_a_zone_outage():
    simulation, figures = simulate(True, "zone")
    before, after = (
        simulation.goodput(int(WARM_UP_S), int(ZONE_LOST_S) - 1),
        simulation.goodput(simulation.completed_seconds - 5, simulation.completed_seconds),
    )
    assert before > 0.98 and after > 0.98 and figures["served"] > 0.97
    # Requests fail at most until the list reports the outage.
    assert figures["hosts_with_none"] == 0 and figures["below_s"] <= 3
    recovered = [host for host in simulation.hosts.values() if host.started_at]
    assert len(recovered) == HOSTS // 6 and all(
        host.started_at == START_TIME_S + ZONE_BACK_S > START_TIME_S + ZONE_REMOVED_S for host in recovered
    )
    assert all(simulation.senders[host.name] for host in recovered)  # the recovered hosts are used again
    assert all(len(known) >= 40 for known in simulation.known_hosts)
