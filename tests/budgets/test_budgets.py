"""Budgets: the division, the cores under faults in virtual time, what was granted on disk, and the
service."""

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
from api_gateway.experiments.budgets.world import TERMS, World, play

TERMS_BY_NAME = {budget.name: budget for budget in TERMS.budgets}

# The division


@pytest.mark.parametrize("seed", range(40))
def test_parts_are_max_min_fair_and_sum_to_the_room_at_most(seed):
    rng = random.Random(seed)
    room = rng.choice((0.0, 1.0, 50.0, 1000.0))
    claims = [
        Claim(
            rng.choice((0, 0.1, 3, rng.uniform(0, 200), 1e9)),
            rng.choice((0, 0, 1.0)),
            rng.choice((1, 1, 2, 0.5)),
        )
        for _ in range(rng.randint(1, 40))
    ]
    parts, level = divide_fairly(room, claims)
    wanted = sum(claim.wanted_amount for claim in claims)
    assert sum(parts) == pytest.approx(min(room, wanted), abs=1e-6)
    assert all(0 <= part <= claim.wanted_amount + 1e-9 for part, claim in zip(parts, claims, strict=True))
    if sum(claim.minimum for claim in claims) <= room:
        assert all(part >= claim.minimum - 1e-9 for part, claim in zip(parts, claims, strict=True))
        for part, claim in zip(parts, claims, strict=True):  # who goes short has no less than any other
            if part < claim.wanted_amount - 1e-6:
                assert part == pytest.approx(max(claim.minimum, level * claim.weight), rel=1e-6)
    assert math.fsum(distribute_spare(10.0, parts, claims)) == pytest.approx(sum(parts) + 10.0)
    wholes = [round_to_integers(parts, turn) for turn in range(30)]
    for made in wholes:
        assert sum(made) == math.floor(sum(parts) + 1e-9) and all(part == int(part) for part in made)
        assert all(abs(whole - part) < 1 for whole, part in zip(made, parts, strict=True))


def test_units_that_cannot_be_shared_evenly_go_round():
    held = [round_to_integers([0.3] * 10, turn) for turn in range(10)]
    assert all(sum(made) == 3 for made in held) and all(sum(one) == 3 for one in zip(*held, strict=True))


# Faults in virtual time


@pytest.mark.parametrize("first", range(0, 90, 10))
def test_the_sum_is_kept_under_any_faults(first):
    for seed in range(first, first + 10):
        world = play(seed)
        assert not world.breaches(), seed


def test_after_the_faults_all_of_it_is_of_use_again():
    world = play(4, wants=lambda gateway: dict.fromkeys(TERMS_BY_NAME, 40))
    world.calm()
    world.run(15.0)
    spent, at = world.referees["connects"].spent, world.now
    world.run(20.0)
    reserves = sum(gateway.holder.uses_reserve for gateway in world.gateways)
    assert world.referees["connections"].held >= 32 + reserves and not world.breaches()
    assert (world.referees["connects"].spent - spent) / (world.now - at) > 0.9 * (15.5 + 0.48 * reserves)


class Patched:
    """A planted bug: methods that are otherwise while it lasts, or a world of its own."""

    def __init__(self, kind=World, where=None, name="", value=None):
        self.kind, self.where, self.name, self.value = kind, where, name, value

    def put(self, monkeypatch):
        if self.where is not None:
            monkeypatch.setattr(self.where, self.name, self.value(getattr(self.where, self.name)))


def ends_counted_from_the_answer(old):
    def on_response(self, now, response):
        self.sent_at = now
        return old(self, now, response)

    return on_response


def any_answer_taken(old):
    def on_response(self, now, response):
        if response.incarnation == self.incarnation:
            self.sequence = response.sequence
            self.awaits_response = True
        return old(self, now, response)

    return on_response


def tokens_from_the_start(old):
    def init(self, *args):
        old(self, *args)
        for allowance in self.allowances.values():
            allowance.tokens = 1.0

    return init


def part_freed_before_it_is_confirmed(old):
    def grant(self, now, incarnation, name, report):
        amount = old(self, now, incarnation, name, report)
        self.set_outstanding_amount(incarnation, name, incarnation.grants[name], amount)
        return amount

    return grant


def old_life_freed(old):
    def incarnation_of(self, request):
        current = old(self, request)
        for other in list(self.incarnations.values()):
            if other.name == current.name and other is not current:
                for name, grant in list(other.grants.items()):
                    self.release(other, name, grant)
        return current

    return incarnation_of


class FreesOnAHint(World):
    def suspect(self, gateway, act):
        lives = list(self.grantor.incarnations.values()) if self.grantor and act[:2] in ("pa", "cu") else []
        for life in lives:
            if life.name == gateway.name:
                for name, hold in list(life.grants.items()):
                    self.grantor.release(life, name, hold)


def forgets_how_long(old):
    def restore(self, now, key, stored):
        return old(self, now, key, stored._replace(lifetime=0.0))

    return restore


class WaitsForNothing(World):
    def start_grantor(self, disk):
        super().start_grantor(disk)
        self.grantor.learned_at = -math.inf


class SkipsTheLog(World):
    def write(self, grantor):
        self.disk_whole = True
        grantor.on_stored(grantor.rows_to_store(self.grantor_clock(self.now), False))


class TrustsALogOfHalf(World):
    def write(self, grantor):
        super().write(grantor)
        self.disk_whole = True


class SharesTheReserveTwice(World):
    def start(self, index):
        gateway = super().start(index)
        gateway.holder.start_using_reserve(gateway.now())
        return gateway


BUGS = {
    "end counted from the answer": Patched(World, BudgetHolder, "on_response", ends_counted_from_the_answer),
    "older answers taken": Patched(World, BudgetHolder, "on_response", any_answer_taken),
    "freed before it is confirmed": Patched(World, Grantor, "grant", part_freed_before_it_is_confirmed),
    "the part of an older life freed": Patched(World, Grantor, "incarnation_of", old_life_freed),
    "reserve not set aside": Patched(
        World, BudgetSettings, "divisible_amount", lambda old: lambda self, b: float(b.total)
    ),
    "grants held too short": Patched(
        World, BudgetSettings, "grant_lifetime", lambda old: lambda self: 0.7 * self.grant_duration
    ),
    "freed on a hint": Patched(FreesOnAHint),
    "no wait without a log": Patched(WaitsForNothing),
    "log skipped": Patched(SkipsTheLog),
    "reserve shared by two lives": Patched(SharesTheReserveTwice),
}


@pytest.mark.parametrize("name", BUGS)
def test_planted_bugs_are_caught(name, monkeypatch):
    bug = BUGS[name]
    bug.put(monkeypatch)
    seeds = sorted(range(160), key=lambda seed: -(seed % 3))  # those first in which all want all at once
    assert any(play(seed, kind=bug.kind).breaches() for seed in seeds), name


@pytest.mark.parametrize("forgets", [False, True])
def test_a_restart_with_shorter_grants_holds_those_of_the_life_before(forgets, monkeypatch):
    if forgets:  # planted
        monkeypatch.setattr(Grantor, "restore", forgets_how_long(Grantor.restore))
    breaches, long = 0, msgspec.structs.replace(TERMS, grant_duration=6.0)
    for seed in range(6):
        world = World(seed, long, wants=lambda gateway: dict.fromkeys(TERMS_BY_NAME, 40))
        world.run(12.0)
        world.cut_to = {f"g{n}" for n in range(4)}
        world.length = 1.5
        world.restart_grantor(True)
        world.run(8.0)
        breaches += world.breaches()
    assert bool(breaches) == forgets


@pytest.mark.parametrize("minted", [False, True])
def test_restarts_in_a_row_bring_no_more_than_the_whole(minted, monkeypatch):
    if minted:  # planted
        monkeypatch.setattr(BudgetHolder, "__init__", tokens_from_the_start(BudgetHolder.__init__))
    world = World(1, wants=lambda gateway: dict.fromkeys(TERMS_BY_NAME, 40))
    world.run(8.0)
    world.crash(0, 100)
    world.run(15.0)
    assert bool(world.breaches()) == minted


@pytest.mark.parametrize("kind, kept", [(World, True), (TrustsALogOfHalf, False)])
def test_a_log_of_what_was_learned_in_part_is_not_taken_for_all(kind, kept):
    breaches = 0
    for seed in range(30):
        world = kind(seed, wants=lambda gateway: dict.fromkeys(TERMS_BY_NAME, 40))
        world.run(8.0)
        world.cut_to.add("g0")  # the second life does not hear of its grant, which goes on
        for disk in (False, True):
            world.restart_grantor(disk)
            world.run(1.3)
        world.run(3.0)
        breaches += world.breaches()
    assert (breaches == 0) == kept


# The grantor and a holder by themselves


class Pair:
    """Gateways of one grantor, on one clock without faults."""

    def __init__(self, settings=TERMS, **more):
        self.settings, self.now = settings, 0.0
        self.grantor, self.holders = Grantor(settings, 1, 0.0, {}, False, **more), {}

    def come(self, name, index=None, life=1, zone="z"):
        index = len(self.holders) if index is None else index
        self.holders[name] = BudgetHolder(self.settings, name, zone, index, life, True, self.now)
        return self.holders[name]

    def exchange(self, name, **needs):
        """One exchange; the granted parts."""
        holder = self.holders[name]
        for budget, need in needs.items():
            if budget == "connects":
                holder.allowances[budget].requested += need * 0.5
            else:
                holder.allowances[budget].peak = max(need, holder.allowances[budget].peak)
        told = holder.make_exchange(self.now)
        self.now += 0.001
        holder.on_response(self.now, self.grantor.handle_exchange(self.now, told))
        return {
            part: round(holder.granted_amount(self.now, holder.allowances[part]), 3)
            for part in holder.allowances
        }

    def rounds(self, count, **needs):
        for _ in range(count):
            self.now += 0.5
            self.grantor.release_ended(self.now)
            told = {name: self.exchange(name, **needs.get(name, {})) for name in list(self.holders)}
        return told


def test_who_shouts_gets_a_fair_part_and_a_newcomer_has_one_in_one_exchange():
    pair = Pair()
    for name in "abc":
        pair.come(name)
    told = pair.rounds(20, a={"connections": 40}, b={"connections": 40}, c={"connections": 3})
    assert told["c"]["connections"] >= 2 and told["a"] == told["b"] and told["a"]["connections"] >= 14
    quiet = Pair()
    for name in "abc":
        quiet.come(name)
    quiet.rounds(20, a={"connections": 5}, b={"connections": 5}, c={"connections": 5})
    quiet.come("new")
    assert quiet.exchange("new", connections=3)["connections"] >= 2  # from the pool, at once
    pair.come("new")
    pair.exchange("new", connections=40)
    told = pair.rounds(4, a={"connections": 40}, b={"connections": 40}, new={"connections": 40})
    assert told["new"]["connections"] >= 9  # as soon as others confirmed


def test_parts_do_not_flap_at_steady_need():
    pair, rng = Pair(), random.Random(1)
    for name in "abcdef":
        pair.come(name)
    seen = []
    for _ in range(100):
        told = pair.rounds(1, **{name: {"connects": rng.uniform(2.8, 3.2)} for name in "abcdef"})
        seen.append(tuple(parts["connects"] for parts in told.values()))
    changes = sum(a != b for a, b in zip(seen[20:], seen[21:], strict=False))
    assert changes <= 4 and sum(seen[-1]) <= pair.settings.divisible_amount(TERMS.budgets[1]) + 1e-6


def test_weights_by_zone_and_by_name():
    pair = Pair(weights={"far": 0.5, "big": 2.0})
    for name, zone in (("a", "z"), ("big", "z"), ("c", "far")):
        pair.come(name, zone=zone)
    told = pair.rounds(20, **{name: {"connections": 40} for name in ("a", "big", "c")})
    parts = [told[name]["connections"] + 1 for name in ("big", "a", "c")]  # with the share of the reserve
    assert parts[0] > 1.6 * parts[1] and parts[1] > 1.6 * parts[2]


def odd(**kw):
    report = {"need": 1.0, "have": 0.0, "reserve": 0.0}
    report |= {key: value for key, value in kw.items() if key in report}
    told = {
        "name": "a",
        "zone": "z",
        "index": 0,
        "life": 1,
        "seq": 1,
        "term": 0,
        "budgets": {kw.pop("budget", "connections"): report},
    }
    return json.dumps(told | {k: v for k, v in kw.items() if k in told}).encode()


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"[]",
        b"{",
        odd(need=float("nan")),
        odd(need=-1),
        odd(need=41),
        odd(have=41),
        odd(reserve=2),
        odd(need="1"),
        odd(budget="none"),
        odd(index=-1),
        odd(seq=-1),
        odd(name=""),
        odd(name="x" * 200),
        odd(index=8, reserve=1),
    ],
)
def test_what_cannot_be_true_is_refused_and_changes_nothing(data):
    grantor = Grantor(TERMS, 1, 0.0, {}, False)
    with pytest.raises(ValueError):
        grantor.handle_exchange(1.0, decode_exchange(data))
    assert not grantor.incarnations and not grantor.newest_incarnations


def test_repeats_older_messages_and_older_lives_change_nothing():
    pair = Pair()
    holder = pair.come("a", life=5)
    first, second = holder.make_exchange(0.0), holder.make_exchange(0.1)
    answer = pair.grantor.handle_exchange(0.2, second)
    assert pair.grantor.handle_exchange(0.3, second) is answer  # a copy of it is answered alike
    with pytest.raises(SupersededExchangeError):
        pair.grantor.handle_exchange(0.3, first)
    old = BudgetHolder(TERMS, "a", "z", 0, 4, True, 0.0)
    with pytest.raises(StaleIncarnationError) as err:
        pair.grantor.handle_exchange(0.3, old.make_exchange(0.3))
    assert holder.on_response(0.4, answer) and not holder.on_response(0.4, answer)
    old.on_stale_incarnation(err.value.newest_incarnation)  # it starts on a clock that was set back
    assert old.incarnation == 6 and not old.is_superseded
    pair.grantor.handle_exchange(0.5, old.make_exchange(0.5))
    holder.on_stale_incarnation(6)
    assert holder.is_superseded
    assert holder.on_response(0.6, pair.grantor.handle_exchange(0.6, old.make_exchange(0.6))) is False
    newer = pair.grantor.handle_exchange(0.7, old.make_exchange(0.7))
    old.term = newer.term + 1
    assert old.on_response(0.8, newer) is False and old.counts["old terms"] == 1


def test_more_gateways_than_stated_and_two_with_one_index_are_told():
    pair = Pair()
    for number in range(9):
        pair.come(f"g{number}", index=min(number, 8))
    pair.come("twin", index=3)
    pair.rounds(10)
    told = describe_grantor(pair.grantor, pair.now)
    assert told["surplus"] == ["g8"] and told["clashes"] == [["g3", "twin"]]
    assert (
        pair.holders["g8"].allowed_amount(pair.now, "connections") >= 1
        and not pair.holders["g8"].uses_reserve
    )


def test_without_a_grantor_a_share_of_the_reserve_and_no_more():
    holder, now = BudgetHolder(TERMS, "a", "z", 0, 1, True, 0.0), 0.0
    assert [holder.acquire(0.0, "connections") for _ in range(3)] == [True, False, False]
    spent = 0
    while now < 100:
        now += 0.1
        spent += holder.spend(now, "connects") == 0
    share = TERMS.reserve_share(TERMS.budgets[1])
    assert share * 100 - 2 <= spent <= share * 100 + 1
    wait = holder.spend(now, "connects")
    assert 0 < wait < 1 / share and holder.spend(now + wait, "connects") == 0
    surplus = BudgetHolder(TERMS, "b", "z", 8, 1, True, 0.0)
    assert not surplus.acquire(50.0, "connections") and surplus.spend(50.0, "connects") == math.inf


def test_a_level_above_a_smaller_part_is_worked_off_and_counts_until_then():
    pair = Pair()
    pair.come("a")
    pair.rounds(5, a={"connections": 40})
    holder = pair.holders["a"]
    while holder.acquire(pair.now, "connections"):
        pass
    used = holder.allowances["connections"].used
    pair.come("b")
    pair.rounds(1, a={"connections": 40}, b={"connections": 40})
    for _ in range(40):
        pair.rounds(1, a={"connections": 40}, b={"connections": 40})
        covers = sum(
            life.grants["connections"].outstanding_amount for life in pair.grantor.incarnations.values()
        )
        both = sum(
            h.allowances["connections"].used
            + max(
                0, h.update_holding(pair.now, h.allowances["connections"]) - h.allowances["connections"].used
            )
            for h in pair.holders.values()
        )
        assert covers <= 32 and both <= 40
        if holder.excess_units(pair.now, "connections"):
            holder.release("connections")
        pair.holders["b"].acquire(pair.now, "connections")
    assert (
        holder.allowances["connections"].used < used - 10
        and pair.holders["b"].allowances["connections"].used > 10
    )


def changed(**kw):
    level = msgspec.structs.replace(TERMS.budgets[0], **kw)
    return msgspec.structs.replace(TERMS, budgets=[level, TERMS.budgets[1]])


def test_a_smaller_whole_takes_effect_as_grants_end():
    pair = Pair()
    for name in "abcd":
        pair.come(name)
    pair.rounds(10, **{name: {"connections": 40} for name in "abcd"})
    pair.grantor.change_settings(pair.now, changed(total=20.0), {})
    assert describe_grantor(pair.grantor, pair.now)["budgets"]["connections"]["over"] == 20.0
    pair.rounds(8, **{name: {"connections": 40} for name in "abcd"})
    told = describe_grantor(pair.grantor, pair.now)["budgets"]["connections"]
    assert told["over"] == 0 and told["granted"] <= 12


@pytest.mark.parametrize(
    "terms, why",
    [
        (msgspec.structs.replace(TERMS, max_gateways=9), "most"),
        (msgspec.structs.replace(TERMS, grant_duration=9.0), "length"),
        (msgspec.structs.replace(TERMS, budgets=TERMS.budgets[:1]), "connects"),
        (changed(reserve=16.0), "reserve"),
        (changed(release_delay=0.1), "linger"),
    ],
)
def test_changes_that_hold_nowhere_at_once_are_refused_whole(terms, why):
    grantor = Grantor(TERMS, 1, 0.0, {}, False)
    with pytest.raises(InvalidExchangeError, match=why):
        grantor.change_settings(1.0, terms, {})
    assert grantor.settings is TERMS


def test_a_larger_rate_waits_until_older_grants_have_ended():
    grantor = Grantor(TERMS, 1, 0.0, {}, False)
    rate = msgspec.structs.replace(TERMS.budgets[1], total=40.0)
    terms = msgspec.structs.replace(TERMS, budgets=[TERMS.budgets[0], rate])
    grantor.change_settings(1.0, terms, {})
    grantor.release_ended(1.0 + 0.9 * terms.grant_lifetime())
    assert grantor.pools["connects"].divisible == TERMS.divisible_amount(TERMS.budgets[1])
    grantor.release_ended(1.1 + terms.grant_lifetime())
    assert grantor.pools["connects"].divisible == terms.divisible_amount(rate)


# Terms


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
def test_terms_that_cannot_hold_are_refused(change, why):
    with pytest.raises(SettingsError, match=why):
        validate_settings(msgspec.structs.replace(TERMS, **change))


# On disk

KEYS = {
    GrantKey("a", 1, "connections"): StoredGrant(4.0, 3.1, 0.7),
    GrantKey("b", 2, "connects"): StoredGrant(1.5, 3.1, 0.0),
}


def test_what_was_written_is_there_again_with_its_term(tmp_path):
    store = GrantStore(tmp_path / "x.db")
    found = store.open()
    assert found == GrantLog(LogState()) and found.complete_rows() is None
    store.write(KEYS, LogState(7, False, 4.0), complete=True)
    other = GrantStore(tmp_path / "x.db")
    with pytest.raises(GrantLogError, match="another"):  # one grantor has it
        other.open()
    store.close()
    found = other.open()
    assert found.state == LogState(7, False, 4.0) and found.complete_rows() is None  # it did not know all
    other.close()
    new = ("c", 3, "connects"), StoredGrant(2.0, 1.0, 0.0)
    store.write(
        {("a", 1, "connections"): StoredGrant(0.0, 0.0, 0.0), new[0]: new[1]},
        LogState(8, True),
        complete=False,
    )
    store.close()
    assert GrantStore(tmp_path / "x.db").open().complete_rows() == dict([*list(KEYS.items())[1:], new])


def test_a_log_torn_at_any_byte_is_known_whole_or_not_at_all(tmp_path):
    path = tmp_path / "x.db"
    store = GrantStore(path)
    store.open()
    rows = {(f"g{n}", n, "connections"): StoredGrant(1.0 + n, 3.0, 1.0) for n in range(30)}
    store.write(rows, LogState(5, True), complete=True)
    store.close()
    data, torn = path.read_bytes(), 0
    for size in range(0, len(data), 7):
        path.write_bytes(data[:size])
        again = GrantStore(path)
        found = again.open()
        assert found.complete_rows() is None and found.state.term == 0, size
        torn += found.was_corrupt
        again.write(KEYS, LogState(6, True), complete=True)
        again.close()
        assert again.open().complete_rows() == KEYS
        again.close()
    assert torn > 0.9 * len(data) / 7
    path.write_bytes(data)
    assert len(GrantStore(path).open().complete_rows()) == 30


def test_a_disk_that_takes_nothing_is_told_and_used_again(tmp_path):
    store = GrantStore(tmp_path / "none" / "x.db")
    for act in (store.open, lambda: store.write(KEYS, LogState(1, True), complete=True)):
        with pytest.raises(GrantLogError):
            act()
    (tmp_path / "none").mkdir()
    store.write(KEYS, LogState(2, True), complete=True)
    store.close()
    assert store.open() == GrantLog(LogState(2, True), KEYS)


def test_what_the_log_says_outlasts_shorter_terms_and_is_written_anew_for_longer_ones():
    short = msgspec.structs.replace(changed(release_delay=0.2), grant_duration=1.5)
    grantor = Grantor(short, 1, 100.0, KEYS, True)
    for late, left in ((1.6, 2), (3.2, 1), (3.9, 0)):  # the rate's grant ends, then units of the level go
        grantor.release_ended(100.0 + late)
        assert len(grantor.rows_to_store(100.0 + late, True)) == left
    long = Grantor(msgspec.structs.replace(TERMS, grant_duration=6.0), 1, 100.0, KEYS, True)
    told = ExchangeRequest("a", "z", 0, 1, 1, 0, {"connections": BudgetReport(4, 4, 0)})
    assert (
        long.unstored_amounts(told) == {}
        and long.handle_exchange(100.1, told).amounts
        and long.unstored_amounts(told)
    )  # stored first
    rows = long.rows_to_store(100.2, False)
    assert rows.keys() == KEYS.keys() and all(held.lifetime > 6 for held in rows.values())
    long.on_stored(rows)
    assert not long.unstored_amounts(told) and not long.unstored and long.longest_lifetime(101.0) > 6.7
    terms = long.settings
    level = msgspec.structs.replace(terms.budgets[0], release_delay=9.0)
    long.change_settings(101.0, msgspec.structs.replace(terms, budgets=[level, terms.budgets[1]]), {})
    assert long.unstored_amounts(told) and long.longest_lifetime(101.0) > 15
    assert Grantor(short, 1, 0.0, None, True, longest_lifetime=15.0).learned_at == 15.0


def test_an_answer_whose_grant_ended_while_the_disk_hung_is_none():
    grantor = Grantor(TERMS, 1, 0.0, {}, True)
    told = ExchangeRequest("a", "z", 0, 1, 1, 0, {"connections": BudgetReport(4, 0, 0)})
    answer = grantor.handle_exchange(0.0, told)
    grantor.release_ended(30.0)
    with pytest.raises(SupersededExchangeError):
        grantor.reduce_to_stored(told, answer)


# The service


def config(tmp_path, log=True):
    return Config(
        ("127.0.0.1", 0),
        msgspec.structs.replace(TERMS, exchange_interval=0.05, grant_duration=1.0),
        tmp_path / "x.db" if log else None,
        {},
    )


@on_loop
async def test_gateways_have_their_parts_over_restarts_and_a_disk_that_fails(tmp_path):
    service = GrantorService(config(tmp_path))
    port = await service.start()
    service.grantor.learned_at = 0.0  # nobody was granted anything before
    clients = [
        BudgetClient(service.config.settings, f"127.0.0.1:{port}", f"g{n}", "z", n, tmp_path)
        for n in range(3)
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
    late = BudgetClient(service.config.settings, f"127.0.0.1:{port}", "late", "z", 5, tmp_path)
    late.start()
    await wait_until(lambda: not service.grantor.is_log_writable and late.holder.was_answered)
    assert granted(late) == 0 and all(granted(client) >= 1 for client in clients)
    del service.store.write
    await wait_until(lambda: granted(late) >= 1 and service.grantor.is_log_writable)
    clients[0].holder.incarnation -= 1  # it is told that a newer one is there
    await wait_until(lambda: clients[0].holder.is_superseded)
    async with aiohttp.ClientSession() as session:
        base = f"http://127.0.0.1:{port}"
        for method, path, data, status in (
            ("GET", "/v1/exchange", b"", 404),
            ("POST", "/v1/exchange", b"{", 400),
            ("POST", "/v1/exchange", b"x" * 70_000, 413),
            ("GET", "/status", b"", 200),
        ):
            async with session.request(method, base + path, data=data) as answer:
                assert answer.status == status
    for client in (*clients, late):
        await client.close()
    twin.reserve_lock.close()
    await service.close()


@on_loop
async def test_a_second_grantor_on_one_log_waits_until_what_the_first_granted_has_ended(tmp_path):
    first, second = GrantorService(config(tmp_path)), GrantorService(config(tmp_path))
    await first.start()
    await wait_until(lambda: first.writes)
    await second.start()
    second.grantor.learned_at = 0.0  # it has waited long enough by its own start
    await wait_until(lambda: not second.log_waiters)
    assert (
        not second.grantor.is_log_writable and not second.is_log_read
    )  # a paused one has the log still, too
    await first.close()
    await wait_until(lambda: second.is_log_read and second.grantor.is_log_writable)
    assert second.grantor.term > first.grantor.term
    assert describe_grantor(second.grantor, second.clock())["learning"] > 0 and not second.stored_as_complete
    await second.close()


def test_the_share_of_the_reserve_goes_with_its_process(tmp_path):
    one, other = ReserveLock(tmp_path, "g"), ReserveLock(tmp_path, "g")
    assert one.acquire() and one.acquire() and not other.acquire()
    one.close()
    assert other.acquire()
    assert not ReserveLock(tmp_path / "none", "g").acquire()
    other.close()


FILE = {"listen": "127.0.0.1:0", "terms": msgspec.to_builtins(TERMS)}


def started(tmp_path, tree):
    (tmp_path / "budgets.json").write_text(json.dumps(tree))
    env = {**os.environ, "BUDGETS_CONFIG": str(tmp_path / "budgets.json")}
    return subprocess.Popen(
        [sys.executable, "-m", "api_gateway.budgets"], env=env, text=True, cwd=ROOT, stderr=subprocess.PIPE
    )


@pytest.mark.parametrize(
    "tree, why",
    [
        ({}, "listen"),
        ({**FILE, "more": 1}, "more"),
        ({**FILE, "listen": "x"}, "HOST:PORT"),
        ({**FILE, "terms": {**FILE["terms"], "length": 0.1}}, "length"),
        ({**FILE, "weights": {"a": 0}}, "weights"),
    ],
)
def test_a_bad_configuration_ends_the_start_in_one_line(tree, why, tmp_path):
    process = started(tmp_path, tree)
    _, err = process.communicate(timeout=60)
    assert process.returncode == 2 and err.count("\n") == 1 and why in err


def test_a_changed_file_is_taken_whole_or_not_at_all(tmp_path):
    process = started(tmp_path, FILE)
    lines = iter(process.stderr.readline, "")
    assert any("budgets are granted at" in line for line in lines)
    for terms, word in (({**FILE["terms"], "most": 9}, "nothing changes"), (FILE["terms"], "budgets=2")):
        (tmp_path / "budgets.json").write_text(json.dumps({**FILE, "terms": terms}))
        process.send_signal(signal.SIGHUP)
        assert word in next(lines)
    process.terminate()
    assert process.wait(timeout=30) == 0
    process.stderr.close()


def test_a_start_that_takes_shares_away_from_who_hears_nothing_is_refused(tmp_path):
    log = str(tmp_path / "budgets.db")
    store = GrantStore(tmp_path / "budgets.db")
    store.write({}, LogState(1, True, 4.0, fixed_settings_of(TERMS)), complete=True)
    store.close()
    terms = {**FILE["terms"], "most": 4}
    process = started(tmp_path, {**FILE, "terms": terms, "log": log})
    _, err = process.communicate(timeout=60)
    assert process.returncode == 2 and err.count("\n") == 1 and "most is 4.0, and was 8.0" in err
