"""Tests of the budgets: the division, grantor and holders under faults in virtual time, the grant log and
the service."""

import json
import math
import os
import random
import signal
import subprocess
import sys

import aiohttp
import msgspec
import pytest
from commands import ROOT
from netkit import on_loop, wait_until

from api_gateway.budgets.client import BudgetClient, ReserveLock
from api_gateway.budgets.config import Config
from api_gateway.budgets.division import Claim, distribute_spare, divide_fairly, round_to_integers
from api_gateway.budgets.errors import (
    GrantLogError,
    InvalidExchangeError,
    StaleIncarnationError,
    SupersededExchangeError,
)
from api_gateway.budgets.grantor import Grantor
from api_gateway.budgets.grantor_status import describe_grantor
from api_gateway.budgets.holder import BudgetHolder
from api_gateway.budgets.records import GrantKey, StoredGrant
from api_gateway.budgets.service import GrantorService
from api_gateway.budgets.settings import (
    Budget,
    BudgetReport,
    BudgetSettings,
    ExchangeRequest,
    SettingsError,
    decode_exchange,
    validate_settings,
)
from api_gateway.budgets.store import GrantLog, GrantStore, LogState, fixed_settings_of
from api_gateway.experiments.budgets.world import SETTINGS, World, play

BUDGETS_BY_NAME = {budget.name: budget for budget in SETTINGS.budgets}

# The division


@pytest.mark.parametrize("seed", range(40))
def test_parts_are_max_min_fair_and_sum_to_at_most_the_amount(seed):
    rng = random.Random(seed)
    amount = rng.choice((0.0, 1.0, 50.0, 1000.0))
    claims = [
        Claim(
            rng.choice((0, 0.1, 3, rng.uniform(0, 200), 1e9)),
            rng.choice((0, 0, 1.0)),
            rng.choice((1, 1, 2, 0.5)),
        )
        for _ in range(rng.randint(1, 40))
    ]
    parts, level = divide_fairly(amount, claims)
    wanted = sum(claim.wanted_amount for claim in claims)
    assert sum(parts) == pytest.approx(min(amount, wanted), abs=1e-6)
    assert all(0 <= part <= claim.wanted_amount + 1e-9 for part, claim in zip(parts, claims, strict=True))
    if sum(claim.minimum for claim in claims) <= amount:
        assert all(part >= claim.minimum - 1e-9 for part, claim in zip(parts, claims, strict=True))
        for part, claim in zip(parts, claims, strict=True):  # a reduced claim gets no less than any other
            if part < claim.wanted_amount - 1e-6:
                assert part == pytest.approx(max(claim.minimum, level * claim.weight), rel=1e-6)
    assert math.fsum(distribute_spare(10.0, parts, claims)) == pytest.approx(sum(parts) + 10.0)
    rounded_divisions = [round_to_integers(parts, turn) for turn in range(30)]
    for rounded in rounded_divisions:
        assert sum(rounded) == math.floor(sum(parts) + 1e-9) and all(part == int(part) for part in rounded)
        assert all(abs(rounded_part - part) < 1 for rounded_part, part in zip(rounded, parts, strict=True))


def test_indivisible_units_rotate_among_the_claims():
    divisions = [round_to_integers([0.3] * 10, turn) for turn in range(10)]
    assert all(sum(division) == 3 for division in divisions) and all(
        sum(amounts) == 3 for amounts in zip(*divisions, strict=True)
    )


# Faults in virtual time


@pytest.mark.parametrize("first_seed", range(0, 90, 10))
def test_no_budget_is_exceeded_under_random_faults(first_seed):
    for seed in range(first_seed, first_seed + 10):
        world = play(seed)
        assert not world.breaches(), seed


def test_the_full_budget_is_usable_again_after_the_faults():
    """Guards against units that a lost grant or a crashed gateway blocks forever."""
    world = play(4, demand=lambda gateway: dict.fromkeys(BUDGETS_BY_NAME, 40))
    world.end_faults()
    world.run(15.0)
    spent_before, measured_from = world.referees["connects"].spent, world.now
    world.run(20.0)
    reserves = sum(gateway.holder.uses_reserve for gateway in world.gateways)
    assert world.referees["connections"].in_use >= 32 + reserves and not world.breaches()
    assert (world.referees["connects"].spent - spent_before) / (world.now - measured_from) > 0.9 * (
        15.5 + 0.48 * reserves
    )


class PlantedBug:
    """A bug planted on purpose: a replaced method, or a subclass of World that misbehaves."""

    def __init__(self, world_class=World, target=None, method_name="", make_method=None):
        self.world_class, self.target, self.method_name, self.make_method = (
            world_class,
            target,
            method_name,
            make_method,
        )

    def apply(self, monkeypatch):
        if self.target is not None:
            monkeypatch.setattr(
                self.target, self.method_name, self.make_method(getattr(self.target, self.method_name))
            )


def expiry_counted_from_the_response(original):
    def on_response(self, now, response):
        self.sent_at = now
        return original(self, now, response)

    return on_response


def any_response_accepted(original):
    def on_response(self, now, response):
        if response.incarnation == self.incarnation:
            self.sequence = response.sequence
            self.awaits_response = True
        return original(self, now, response)

    return on_response


def tokens_at_the_start(original):
    def init(self, *args):
        original(self, *args)
        for allowance in self.allowances.values():
            allowance.tokens = 1.0

    return init


def amount_freed_before_it_is_confirmed(original):
    def grant(self, now, incarnation, name, report):
        amount = original(self, now, incarnation, name, report)
        self.set_outstanding_amount(incarnation, name, incarnation.grants[name], amount)
        return amount

    return grant


def older_incarnation_freed(original):
    def incarnation_of(self, request):
        current = original(self, request)
        for other in list(self.incarnations.values()):
            if other.name == current.name and other is not current:
                for name, grant in list(other.grants.items()):
                    self.release(other, name, grant)
        return current

    return incarnation_of


class FreesOnASuspicion(World):
    """Releases a gateway's grants when it is paused or cut off, before they have expired."""

    def on_suspicion(self, gateway, action):
        incarnations = (
            list(self.grantor.incarnations.values()) if self.grantor and action[:2] in ("pa", "cu") else []
        )
        for incarnation in incarnations:
            if incarnation.name == gateway.name:
                for name, grant in list(incarnation.grants.items()):
                    self.grantor.release(incarnation, name, grant)


def stored_lifetime_ignored(original):
    def restore(self, now, key, stored):
        return original(self, now, key, stored._replace(lifetime=0.0))

    return restore


class SkipsTheRecoveryWait(World):
    """Grants at once after a start, although earlier grants are unknown."""

    def start_grantor(self, keeps_disk):
        super().start_grantor(keeps_disk)
        self.grantor.learned_at = -math.inf


class SkipsLogWrites(World):
    """Marks grants as stored without storing them."""

    def store_grants(self, grantor):
        self.is_disk_complete = True
        grantor.on_stored(grantor.rows_to_store(self.grantor_clock(self.now), False))


class TrustsALogOfHalf(World):
    """Marks a log as complete although not all earlier grants are known."""

    def store_grants(self, grantor):
        super().store_grants(grantor)
        self.is_disk_complete = True


class GivesTheReserveShareTwice(World):
    """Lets each incarnation use the share of the reserve, also while an earlier one still runs."""

    def start(self, index):
        gateway = super().start(index)
        gateway.holder.start_using_reserve(gateway.now())
        return gateway


BUGS = {
    "end counted from the answer": PlantedBug(
        World, BudgetHolder, "on_response", expiry_counted_from_the_response
    ),
    "older answers taken": PlantedBug(World, BudgetHolder, "on_response", any_response_accepted),
    "freed before it is confirmed": PlantedBug(World, Grantor, "grant", amount_freed_before_it_is_confirmed),
    "the part of an older life freed": PlantedBug(World, Grantor, "incarnation_of", older_incarnation_freed),
    "reserve not set aside": PlantedBug(
        World, BudgetSettings, "divisible_amount", lambda original: lambda self, budget: float(budget.total)
    ),
    "grants held too short": PlantedBug(
        World, BudgetSettings, "grant_lifetime", lambda original: lambda self: 0.7 * self.grant_duration
    ),
    "freed on a hint": PlantedBug(FreesOnASuspicion),
    "no wait without a log": PlantedBug(SkipsTheRecoveryWait),
    "log skipped": PlantedBug(SkipsLogWrites),
    "reserve shared by two lives": PlantedBug(GivesTheReserveShareTwice),
}


@pytest.mark.parametrize("name", BUGS)
def test_planted_bugs_are_caught(name, monkeypatch):
    bug = BUGS[name]
    bug.apply(monkeypatch)
    # First the seeds in which all gateways demand everything at the same time.
    seeds = sorted(range(160), key=lambda seed: -(seed % 3))
    assert any(play(seed, world_class=bug.world_class).breaches() for seed in seeds), name


@pytest.mark.parametrize("ignores_lifetimes", [False, True])
def test_a_restart_with_shorter_grants_honours_the_stored_lifetimes(ignores_lifetimes, monkeypatch):
    """A grantor restarted with a shorter grant duration must not free longer grants of its predecessor."""
    if ignores_lifetimes:  # planted
        monkeypatch.setattr(Grantor, "restore", stored_lifetime_ignored(Grantor.restore))
    breaches, long_settings = 0, msgspec.structs.replace(SETTINGS, grant_duration=6.0)
    for seed in range(6):
        world = World(seed, long_settings, demand=lambda gateway: dict.fromkeys(BUDGETS_BY_NAME, 40))
        world.run(12.0)
        world.cut_to_grantor = {f"g{index}" for index in range(4)}
        world.grant_duration_s = 1.5
        world.restart_grantor(True)
        world.run(8.0)
        breaches += world.breaches()
    assert bool(breaches) == ignores_lifetimes


@pytest.mark.parametrize("starts_with_tokens", [False, True])
def test_repeated_restarts_do_not_exceed_the_total(starts_with_tokens, monkeypatch):
    """Tokens available at the start of a process would allow one more unit with each restart."""
    if starts_with_tokens:  # planted
        monkeypatch.setattr(BudgetHolder, "__init__", tokens_at_the_start(BudgetHolder.__init__))
    world = World(1, demand=lambda gateway: dict.fromkeys(BUDGETS_BY_NAME, 40))
    world.run(8.0)
    world.crash_loop(0, 100)
    world.run(15.0)
    assert bool(world.breaches()) == starts_with_tokens


@pytest.mark.parametrize("world_class, is_safe", [(World, True), (TrustsALogOfHalf, False)])
def test_an_incomplete_log_is_not_taken_for_a_complete_one(world_class, is_safe):
    """A grantor that lost its log and is restarted soon after leaves a log that lacks some valid grants."""
    breaches = 0
    for seed in range(30):
        world = world_class(seed, demand=lambda gateway: dict.fromkeys(BUDGETS_BY_NAME, 40))
        world.run(8.0)
        world.cut_to_grantor.add("g0")  # the second grantor gets no report of its grant, which is still valid
        for disk in (False, True):
            world.restart_grantor(disk)
            world.run(1.3)
        world.run(3.0)
        breaches += world.breaches()
    assert (breaches == 0) == is_safe


# The grantor and a holder by themselves


class Fleet:
    """The holders of one grantor, all on the same clock and without faults."""

    def __init__(self, settings=SETTINGS, **grantor_options):
        self.settings, self.now = settings, 0.0
        self.grantor, self.holders = Grantor(settings, 1, 0.0, {}, False, **grantor_options), {}

    def add_holder(self, name, index=None, incarnation=1, zone="z"):
        index = len(self.holders) if index is None else index
        self.holders[name] = BudgetHolder(self.settings, name, zone, index, incarnation, True, self.now)
        return self.holders[name]

    def exchange(self, name, **demands):
        """Perform one exchange; return the granted amounts."""
        holder = self.holders[name]
        for budget, demand in demands.items():
            if budget == "connects":
                holder.allowances[budget].requested += demand * 0.5
            else:
                holder.allowances[budget].peak = max(demand, holder.allowances[budget].peak)
        request = holder.make_exchange(self.now)
        self.now += 0.001
        holder.on_response(self.now, self.grantor.handle_exchange(self.now, request))
        return {
            budget_name: round(holder.granted_amount(self.now, holder.allowances[budget_name]), 3)
            for budget_name in holder.allowances
        }

    def run_rounds(self, count, **demands):
        for _ in range(count):
            self.now += 0.5
            self.grantor.release_ended(self.now)
            grants = {name: self.exchange(name, **demands.get(name, {})) for name in list(self.holders)}
        return grants


def test_high_demand_gets_a_fair_part_and_a_newcomer_is_served_in_one_exchange():
    fleet = Fleet()
    for name in "abc":
        fleet.add_holder(name)
    grants = fleet.run_rounds(20, a={"connections": 40}, b={"connections": 40}, c={"connections": 3})
    assert grants["c"]["connections"] >= 2 and grants["a"] == grants["b"] and grants["a"]["connections"] >= 14
    low_demand_fleet = Fleet()
    for name in "abc":
        low_demand_fleet.add_holder(name)
    low_demand_fleet.run_rounds(20, a={"connections": 5}, b={"connections": 5}, c={"connections": 5})
    low_demand_fleet.add_holder("new")
    # The newcomer is served from the unassigned fraction at once.
    assert low_demand_fleet.exchange("new", connections=3)["connections"] >= 2
    fleet.add_holder("new")
    fleet.exchange("new", connections=40)
    grants = fleet.run_rounds(4, a={"connections": 40}, b={"connections": 40}, new={"connections": 40})
    assert grants["new"]["connections"] >= 9  # as soon as the others have confirmed


def test_grants_do_not_flap_at_steady_demand():
    fleet, rng = Fleet(), random.Random(1)
    for name in "abcdef":
        fleet.add_holder(name)
    history = []
    for _ in range(100):
        grants = fleet.run_rounds(1, **{name: {"connects": rng.uniform(2.8, 3.2)} for name in "abcdef"})
        history.append(tuple(amounts["connects"] for amounts in grants.values()))
    changes = sum(before != after for before, after in zip(history[20:], history[21:], strict=False))
    assert changes <= 4 and sum(history[-1]) <= fleet.settings.divisible_amount(SETTINGS.budgets[1]) + 1e-6


def test_weights_by_zone_and_by_name():
    fleet = Fleet(weights={"far": 0.5, "big": 2.0})
    for name, zone in (("a", "z"), ("big", "z"), ("c", "far")):
        fleet.add_holder(name, zone=zone)
    grants = fleet.run_rounds(20, **{name: {"connections": 40} for name in ("a", "big", "c")})
    parts = [grants[name]["connections"] + 1 for name in ("big", "a", "c")]  # with the share of the reserve
    assert parts[0] > 1.6 * parts[1] and parts[1] > 1.6 * parts[2]


def exchange_body(**changes):
    report = {"need": 1.0, "have": 0.0, "reserve": 0.0}
    report |= {key: value for key, value in changes.items() if key in report}
    request = {
        "name": "a",
        "zone": "z",
        "index": 0,
        "life": 1,
        "seq": 1,
        "term": 0,
        "budgets": {changes.pop("budget", "connections"): report},
    }
    return json.dumps(
        request | {field: change for field, change in changes.items() if field in request}
    ).encode()


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"[]",
        b"{",
        exchange_body(need=float("nan")),
        exchange_body(need=-1),
        exchange_body(need=41),
        exchange_body(have=41),
        exchange_body(reserve=2),
        exchange_body(need="1"),
        exchange_body(budget="none"),
        exchange_body(index=-1),
        exchange_body(seq=-1),
        exchange_body(name=""),
        exchange_body(name="x" * 200),
        exchange_body(index=8, reserve=1),
    ],
)
def test_an_invalid_exchange_is_rejected_and_changes_nothing(data):
    grantor = Grantor(SETTINGS, 1, 0.0, {}, False)
    with pytest.raises(ValueError):
        grantor.handle_exchange(1.0, decode_exchange(data))
    assert not grantor.incarnations and not grantor.newest_incarnations


def test_repeated_and_older_exchanges_and_older_incarnations_change_nothing():
    fleet = Fleet()
    holder = fleet.add_holder("a", incarnation=5)
    first, second = holder.make_exchange(0.0), holder.make_exchange(0.1)
    response = fleet.grantor.handle_exchange(0.2, second)
    assert fleet.grantor.handle_exchange(0.3, second) is response  # a copy gets the same response
    with pytest.raises(SupersededExchangeError):
        fleet.grantor.handle_exchange(0.3, first)
    older_holder = BudgetHolder(SETTINGS, "a", "z", 0, 4, True, 0.0)
    with pytest.raises(StaleIncarnationError) as err:
        fleet.grantor.handle_exchange(0.3, older_holder.make_exchange(0.3))
    assert holder.on_response(0.4, response) and not holder.on_response(0.4, response)
    # It was never answered, so it takes itself for a process started after the clock was set back.
    older_holder.on_stale_incarnation(err.value.newest_incarnation)
    assert older_holder.incarnation == 6 and not older_holder.is_superseded
    fleet.grantor.handle_exchange(0.5, older_holder.make_exchange(0.5))
    holder.on_stale_incarnation(6)
    assert holder.is_superseded
    assert (
        holder.on_response(0.6, fleet.grantor.handle_exchange(0.6, older_holder.make_exchange(0.6))) is False
    )
    newer_response = fleet.grantor.handle_exchange(0.7, older_holder.make_exchange(0.7))
    older_holder.term = newer_response.term + 1
    assert older_holder.on_response(0.8, newer_response) is False and older_holder.counts["old terms"] == 1


def test_status_reports_surplus_gateways_and_shared_indexes():
    fleet = Fleet()
    for number in range(9):
        fleet.add_holder(f"g{number}", index=min(number, 8))
    fleet.add_holder("twin", index=3)
    fleet.run_rounds(10)
    status = describe_grantor(fleet.grantor, fleet.now)
    assert status["surplus"] == ["g8"] and status["clashes"] == [["g3", "twin"]]
    assert (
        fleet.holders["g8"].allowed_amount(fleet.now, "connections") >= 1
        and not fleet.holders["g8"].uses_reserve
    )


def test_without_a_grantor_only_the_share_of_the_reserve_may_be_used():
    holder, now = BudgetHolder(SETTINGS, "a", "z", 0, 1, True, 0.0), 0.0
    assert [holder.acquire(0.0, "connections") for _ in range(3)] == [True, False, False]
    spent = 0
    while now < 100:
        now += 0.1
        spent += holder.spend(now, "connects") == 0
    share = SETTINGS.reserve_share(SETTINGS.budgets[1])
    assert share * 100 - 2 <= spent <= share * 100 + 1
    wait = holder.spend(now, "connects")
    assert 0 < wait < 1 / share and holder.spend(now + wait, "connects") == 0
    surplus = BudgetHolder(SETTINGS, "b", "z", 8, 1, True, 0.0)
    assert not surplus.acquire(50.0, "connections") and surplus.spend(50.0, "connects") == math.inf


def test_excess_units_of_a_level_count_until_they_are_released():
    fleet = Fleet()
    fleet.add_holder("a")
    fleet.run_rounds(5, a={"connections": 40})
    holder = fleet.holders["a"]
    while holder.acquire(fleet.now, "connections"):
        pass
    used_before = holder.allowances["connections"].used
    fleet.add_holder("b")
    fleet.run_rounds(1, a={"connections": 40}, b={"connections": 40})
    for _ in range(40):
        fleet.run_rounds(1, a={"connections": 40}, b={"connections": 40})
        outstanding = sum(
            incarnation.grants["connections"].outstanding_amount
            for incarnation in fleet.grantor.incarnations.values()
        )
        total_in_use = sum(
            each_holder.allowances["connections"].used
            + max(
                0,
                each_holder.update_holding(fleet.now, each_holder.allowances["connections"])
                - each_holder.allowances["connections"].used,
            )
            for each_holder in fleet.holders.values()
        )
        assert outstanding <= 32 and total_in_use <= 40
        if holder.excess_units(fleet.now, "connections"):
            holder.release("connections")
        fleet.holders["b"].acquire(fleet.now, "connections")
    assert (
        holder.allowances["connections"].used < used_before - 10
        and fleet.holders["b"].allowances["connections"].used > 10
    )


def settings_with_level(**changes):
    level = msgspec.structs.replace(SETTINGS.budgets[0], **changes)
    return msgspec.structs.replace(SETTINGS, budgets=[level, SETTINGS.budgets[1]])


def test_a_smaller_total_takes_effect_as_grants_expire():
    fleet = Fleet()
    for name in "abcd":
        fleet.add_holder(name)
    fleet.run_rounds(10, **{name: {"connections": 40} for name in "abcd"})
    fleet.grantor.change_settings(fleet.now, settings_with_level(total=20.0), {})
    assert describe_grantor(fleet.grantor, fleet.now)["budgets"]["connections"]["over"] == 20.0
    fleet.run_rounds(8, **{name: {"connections": 40} for name in "abcd"})
    status = describe_grantor(fleet.grantor, fleet.now)["budgets"]["connections"]
    assert status["over"] == 0 and status["granted"] <= 12


@pytest.mark.parametrize(
    "terms, why",
    [
        (msgspec.structs.replace(SETTINGS, max_gateways=9), "most"),
        (msgspec.structs.replace(SETTINGS, grant_duration=9.0), "length"),
        (msgspec.structs.replace(SETTINGS, budgets=SETTINGS.budgets[:1]), "connects"),
        (settings_with_level(reserve=16.0), "reserve"),
        (settings_with_level(release_delay=0.1), "linger"),
    ],
)
def test_changes_that_need_a_restart_are_rejected_completely(terms, why):
    grantor = Grantor(SETTINGS, 1, 0.0, {}, False)
    with pytest.raises(InvalidExchangeError, match=why):
        grantor.change_settings(1.0, terms, {})
    assert grantor.settings is SETTINGS


def test_a_larger_rate_waits_until_older_grants_have_expired():
    grantor = Grantor(SETTINGS, 1, 0.0, {}, False)
    rate = msgspec.structs.replace(SETTINGS.budgets[1], total=40.0)
    larger_settings = msgspec.structs.replace(SETTINGS, budgets=[SETTINGS.budgets[0], rate])
    grantor.change_settings(1.0, larger_settings, {})
    grantor.release_ended(1.0 + 0.9 * larger_settings.grant_lifetime())
    assert grantor.pools["connects"].divisible == SETTINGS.divisible_amount(SETTINGS.budgets[1])
    grantor.release_ended(1.1 + larger_settings.grant_lifetime())
    assert grantor.pools["connects"].divisible == larger_settings.divisible_amount(rate)


# Settings


@pytest.mark.parametrize(
    "change, why",
    [
        ({"grant_duration": 1.0}, "length"),
        ({"budgets": [Budget("a", "level", 5, reserve=6)]}, "reserve"),
        ({"budgets": [Budget("a", "level", 16, reserve=8, minimum=2)]}, "least"),
        ({"budgets": [Budget("a", "much", 5)]}, "kind"),
        ({"budgets": [Budget("a", "rate", 5, burst=7)]}, "burst"),
        ({"budgets": [Budget("a", "level", 50, release_delay=1)] * 2}, "one name"),
        ({"budgets": [Budget("a", "level", 50)]}, "linger"),
        ({"budgets": [Budget("a", "level", 50, burst=9)]}, "burst"),
        ({"budgets": [Budget("a", "rate", 50, burst=9, release_delay=1)]}, "linger"),
    ],
)
def test_inconsistent_settings_are_rejected(change, why):
    with pytest.raises(SettingsError, match=why):
        validate_settings(msgspec.structs.replace(SETTINGS, **change))


# On disk

STORED_GRANTS = {
    GrantKey("a", 1, "connections"): StoredGrant(4.0, 3.1, 0.7),
    GrantKey("b", 2, "connects"): StoredGrant(1.5, 3.1, 0.0),
}


def test_written_grants_are_read_again_with_their_term(tmp_path):
    store = GrantStore(tmp_path / "x.db")
    log = store.open()
    assert log == GrantLog(LogState()) and log.complete_rows() is None
    store.write(STORED_GRANTS, LogState(7, False, 4.0), complete=True)
    other = GrantStore(tmp_path / "x.db")
    with pytest.raises(GrantLogError, match="another"):  # another grantor holds its lock
        other.open()
    store.close()
    log = other.open()
    # The grantor that wrote the log did not know all grants.
    assert log.state == LogState(7, False, 4.0) and log.complete_rows() is None
    other.close()
    new = ("c", 3, "connects"), StoredGrant(2.0, 1.0, 0.0)
    store.write(
        {("a", 1, "connections"): StoredGrant(0.0, 0.0, 0.0), new[0]: new[1]},
        LogState(8, True),
        complete=False,
    )
    store.close()
    assert GrantStore(tmp_path / "x.db").open().complete_rows() == dict(
        [*list(STORED_GRANTS.items())[1:], new]
    )


def test_a_truncated_log_is_read_completely_or_not_at_all(tmp_path):
    path = tmp_path / "x.db"
    store = GrantStore(path)
    store.open()
    rows = {(f"g{index}", index, "connections"): StoredGrant(1.0 + index, 3.0, 1.0) for index in range(30)}
    store.write(rows, LogState(5, True), complete=True)
    store.close()
    data, corrupt_count = path.read_bytes(), 0
    for size in range(0, len(data), 7):
        path.write_bytes(data[:size])
        reopened = GrantStore(path)
        log = reopened.open()
        assert log.complete_rows() is None and log.state.term == 0, size
        corrupt_count += log.was_corrupt
        reopened.write(STORED_GRANTS, LogState(6, True), complete=True)
        reopened.close()
        assert reopened.open().complete_rows() == STORED_GRANTS
        reopened.close()
    assert corrupt_count > 0.9 * len(data) / 7
    path.write_bytes(data)
    assert len(GrantStore(path).open().complete_rows()) == 30


def test_a_failing_disk_raises_an_error_and_is_used_again(tmp_path):
    store = GrantStore(tmp_path / "none" / "x.db")
    for operation in (store.open, lambda: store.write(STORED_GRANTS, LogState(1, True), complete=True)):
        with pytest.raises(GrantLogError):
            operation()
    (tmp_path / "none").mkdir()
    store.write(STORED_GRANTS, LogState(2, True), complete=True)
    store.close()
    assert store.open() == GrantLog(LogState(2, True), STORED_GRANTS)


def test_stored_lifetimes_outlast_shorter_settings_and_are_rewritten_for_longer_ones():
    short_settings = msgspec.structs.replace(settings_with_level(release_delay=0.2), grant_duration=1.5)
    grantor = Grantor(short_settings, 1, 100.0, STORED_GRANTS, True)
    # First the grant of the rate expires, then the units of the level are released.
    for elapsed, rows_left in ((1.6, 2), (3.2, 1), (3.9, 0)):
        grantor.release_ended(100.0 + elapsed)
        assert len(grantor.rows_to_store(100.0 + elapsed, True)) == rows_left
    long_grantor = Grantor(
        msgspec.structs.replace(SETTINGS, grant_duration=6.0), 1, 100.0, STORED_GRANTS, True
    )
    request = ExchangeRequest("a", "z", 0, 1, 1, 0, {"connections": BudgetReport(4, 4, 0)})
    # The response must be stored before it is sent.
    assert (
        long_grantor.unstored_amounts(request) == {}
        and long_grantor.handle_exchange(100.1, request).amounts
        and long_grantor.unstored_amounts(request)
    )
    rows = long_grantor.rows_to_store(100.2, False)
    assert rows.keys() == STORED_GRANTS.keys() and all(stored.lifetime > 6 for stored in rows.values())
    long_grantor.on_stored(rows)
    assert (
        not long_grantor.unstored_amounts(request)
        and not long_grantor.unstored
        and long_grantor.longest_lifetime(101.0) > 6.7
    )
    long_settings = long_grantor.settings
    level = msgspec.structs.replace(long_settings.budgets[0], release_delay=9.0)
    long_grantor.change_settings(
        101.0, msgspec.structs.replace(long_settings, budgets=[level, long_settings.budgets[1]]), {}
    )
    assert long_grantor.unstored_amounts(request) and long_grantor.longest_lifetime(101.0) > 15
    assert Grantor(short_settings, 1, 0.0, None, True, longest_lifetime=15.0).learned_at == 15.0


def test_a_response_whose_grant_expired_while_the_disk_hung_is_dropped():
    grantor = Grantor(SETTINGS, 1, 0.0, {}, True)
    request = ExchangeRequest("a", "z", 0, 1, 1, 0, {"connections": BudgetReport(4, 0, 0)})
    response = grantor.handle_exchange(0.0, request)
    grantor.release_ended(30.0)
    with pytest.raises(SupersededExchangeError):
        grantor.reduce_to_stored(request, response)


# The service


def config(tmp_path, log=True):
    return Config(
        ("127.0.0.1", 0),
        msgspec.structs.replace(SETTINGS, exchange_interval=0.05, grant_duration=1.0),
        tmp_path / "x.db" if log else None,
        {},
    )


@on_loop
async def test_gateways_keep_their_grants_over_restarts_and_disk_failures(tmp_path):
    service = GrantorService(config(tmp_path))
    port = await service.start()
    service.grantor.learned_at = 0.0  # there are no earlier grants
    clients = [
        BudgetClient(service.config.settings, f"127.0.0.1:{port}", f"g{index}", "z", index, tmp_path)
        for index in range(3)
    ]
    for client in clients:
        client.start()

    def granted(client):
        return client.holder.granted_amount(client.clock(), client.holder.allowances["connections"])

    await wait_until(lambda: all(granted(client) >= 1 for client in clients))
    twin = BudgetClient(service.config.settings, f"127.0.0.1:{port}", "g0", "z", 0, tmp_path)
    assert not twin.holder.uses_reserve and twin.holder.allowed_amount(twin.clock(), "connections") == 0
    await wait_until(lambda: service.stored_as_complete)
    await service.close()
    await wait_until(lambda: all(client.failures for client in clients))
    service = GrantorService(Config(("127.0.0.1", port), service.config.settings, service.config.log, {}))
    await service.start()
    assert describe_grantor(service.grantor, service.clock())["learning"] == 0
    await wait_until(lambda: all(not client.failures for client in clients))
    service.store.write = lambda *_, **__: (_ for _ in ()).throw(GrantLogError(tmp_path, "full"))
    late_client = BudgetClient(service.config.settings, f"127.0.0.1:{port}", "late", "z", 5, tmp_path)
    late_client.start()
    await wait_until(lambda: not service.grantor.is_log_writable and late_client.holder.was_answered)
    assert granted(late_client) == 0 and all(granted(client) >= 1 for client in clients)
    del service.store.write
    await wait_until(lambda: granted(late_client) >= 1 and service.grantor.is_log_writable)
    clients[0].holder.incarnation -= 1  # the grantor then reports a newer incarnation
    await wait_until(lambda: clients[0].holder.is_superseded)
    async with aiohttp.ClientSession() as session:
        base_url = f"http://127.0.0.1:{port}"
        for method, path, body, status in (
            ("GET", "/v1/exchange", b"", 404),
            ("POST", "/v1/exchange", b"{", 400),
            ("POST", "/v1/exchange", b"x" * 70_000, 413),
            ("GET", "/status", b"", 200),
        ):
            async with session.request(method, base_url + path, data=body) as response:
                assert response.status == status
    for client in (*clients, late_client):
        await client.close()
    twin.reserve_lock.close()
    await service.close()


@on_loop
async def test_a_second_grantor_on_one_log_waits_until_the_grants_of_the_first_have_expired(tmp_path):
    first, second = GrantorService(config(tmp_path)), GrantorService(config(tmp_path))
    await first.start()
    await wait_until(lambda: first.writes)
    await second.start()
    second.grantor.learned_at = 0.0  # the wait after its own start is over
    await wait_until(lambda: not second.log_waiters)
    # The lock also protects the log of a first grantor that is only paused.
    assert not second.grantor.is_log_writable and not second.is_log_read
    await first.close()
    await wait_until(lambda: second.is_log_read and second.grantor.is_log_writable)
    assert second.grantor.term > first.grantor.term
    assert describe_grantor(second.grantor, second.clock())["learning"] > 0 and not second.stored_as_complete
    await second.close()


def test_one_process_at_a_time_holds_the_reserve_lock(tmp_path):
    first, second = ReserveLock(tmp_path, "g"), ReserveLock(tmp_path, "g")
    assert first.acquire() and first.acquire() and not second.acquire()
    first.close()
    assert second.acquire()
    assert not ReserveLock(tmp_path / "none", "g").acquire()
    second.close()


CONFIG = {"listen": "127.0.0.1:0", "terms": msgspec.to_builtins(SETTINGS)}


def start_grantor_process(tmp_path, config_tree):
    (tmp_path / "budgets.json").write_text(json.dumps(config_tree))
    env = {**os.environ, "BUDGETS_CONFIG": str(tmp_path / "budgets.json")}
    return subprocess.Popen(
        [sys.executable, "-m", "api_gateway.budgets"], env=env, text=True, cwd=ROOT, stderr=subprocess.PIPE
    )


@pytest.mark.parametrize(
    "tree, why",
    [
        ({}, "listen"),
        ({**CONFIG, "more": 1}, "more"),
        ({**CONFIG, "listen": "x"}, "HOST:PORT"),
        ({**CONFIG, "terms": {**CONFIG["terms"], "length": 0.1}}, "length"),
        ({**CONFIG, "weights": {"a": 0}}, "weights"),
    ],
)
def test_an_invalid_configuration_is_reported_in_one_line(tree, why, tmp_path):
    process = start_grantor_process(tmp_path, tree)
    _, err = process.communicate(timeout=60)
    assert process.returncode == 2 and err.count("\n") == 1 and why in err


def test_a_changed_file_is_applied_completely_or_not_at_all(tmp_path):
    process = start_grantor_process(tmp_path, CONFIG)
    lines = iter(process.stderr.readline, "")
    assert any("budgets are granted at" in line for line in lines)
    for terms, expected in (
        ({**CONFIG["terms"], "most": 9}, "nothing changes"),
        (CONFIG["terms"], "budgets=2"),
    ):
        (tmp_path / "budgets.json").write_text(json.dumps({**CONFIG, "terms": terms}))
        process.send_signal(signal.SIGHUP)
        assert expected in next(lines)
    process.terminate()
    assert process.wait(timeout=30) == 0
    process.stderr.close()


def test_a_restart_that_changes_fixed_settings_is_rejected(tmp_path):
    log = str(tmp_path / "budgets.db")
    store = GrantStore(tmp_path / "budgets.db")
    store.write({}, LogState(1, True, 4.0, fixed_settings_of(SETTINGS)), complete=True)
    store.close()
    terms = {**CONFIG["terms"], "most": 4}
    process = start_grantor_process(tmp_path, {**CONFIG, "terms": terms, "log": log})
    _, err = process.communicate(timeout=60)
    assert process.returncode == 2 and err.count("\n") == 1 and "most is 4.0, and was 8.0" in err
