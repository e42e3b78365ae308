"""One grantor and many gateways in virtual time, with lost, late and doubled messages, pauses, deaths, cuts,
clocks that run fast or slow, restarts and full disks. The cores are the real ones."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

import msgspec

from api_gateway.budgets.client import CONFIRM_INTERVAL_FRACTION
from api_gateway.budgets.errors import InvalidExchangeError, StaleIncarnationError, SupersededExchangeError
from api_gateway.budgets.grantor import Grantor
from api_gateway.budgets.holder import BudgetHolder
from api_gateway.budgets.records import GrantKey, StoredGrant
from api_gateway.budgets.settings import LEVEL, Budget, BudgetSettings, ExchangeRequest, GrantResponse
from api_gateway.experiments.budgets.referee import LevelReferee, RateReferee

ACT = 0.05  # s, by its own clock, between two looks of a gateway at what it wants
TICK = 0.1  # s between two looks of the grantor
ANSWER_WITHIN = 0.5  # s after which a gateway no longer waits for an answer
WORK = 0.3  # s that a request takes at most, in which its connection is not let go
IDLE = 0.4  # s after which a host closes a connection without a sign of life

TERMS = BudgetSettings(
    max_gateways=8,
    grant_duration=3.0,
    exchange_interval=0.5,
    clock_drift=0.03,
    unassigned_fraction=0.1,
    budgets=[
        Budget("connections", "level", 40, reserve=8, minimum=1, release_delay=WORK + IDLE),
        Budget("connects", "rate", 20, reserve=4, minimum=0.2, burst=24),
    ],
)


class Clock:
    """A machine's: it starts anywhere and runs at its own pace."""

    def __init__(self, rng: random.Random, drift: float) -> None:
        self.zero, self.pace = rng.uniform(0, 1e6), 1 + rng.uniform(-drift, drift)

    def __call__(self, now: float) -> float:
        return self.zero + now * self.pace

    def lasts(self, seconds: float) -> float:
        """True seconds in which so many of its own pass."""
        return seconds / self.pace


@dataclass
class Unit:
    """A connection at the host: until when its request works, and when the host last saw something of it."""

    works_until: float
    seen: float


@dataclass
class Wants:
    """What a gateway would use if it could: units of levels held, and units a second of rates."""

    amounts: dict[str, float] = field(default_factory=dict)


class Gateway:
    def __init__(self, world: World, index: int, number: int, reserves: bool) -> None:
        self.world, self.index, self.name = world, index, f"g{index}"
        self.rng = random.Random(f"{world.seed} {index} {number}")
        self.clock = Clock(self.rng, world.drift)
        set_back = number > 1 and self.rng.random() < 0.25  # the wall clock of which lives are numbered
        life = number - 5 if set_back else number
        self.holder = BudgetHolder(
            world.terms, self.name, "z", index, max(0, life), reserves, self.clock(world.now)
        )
        self.units: dict[str, list[Unit]] = {b.name: [] for b in world.terms.budgets if b.kind == LEVEL}
        self.credit = dict.fromkeys(self.holder.allowances, 0.0)  # of rates: units that are wanted by now
        self.alive, self.paused = True, False
        self.inbox: list[Callable[[], None]] = []
        self.acted = world.now
        self.refused = 0
        world.after(self.rng.uniform(0, ACT), self.act)
        world.after(self.rng.uniform(0, 0.1), self.ask)

    def now(self) -> float:
        return self.clock(self.world.now)

    def run(self, what: Callable[[], None]) -> None:
        """Now, when it runs again, or never."""
        if self.alive and self.paused:
            self.inbox.append(what)
        elif self.alive:
            what()

    def ask(self) -> None:
        self.run(self.exchange)

    def exchange(self) -> None:
        world = self.world
        self.send()
        world.after(self.clock.lasts(world.terms.exchange_interval * self.rng.uniform(0.9, 1.1)), self.ask)

    def send(self) -> None:
        if not self.holder.is_superseded:
            self.world.to_grantor(self, self.holder.make_exchange(self.now()))

    def answered(self, told: GrantResponse | StaleIncarnationError) -> None:
        if isinstance(told, StaleIncarnationError):
            self.holder.on_stale_incarnation(told.newest_incarnation)
        else:
            self.holder.on_response(self.now(), told)
            if self.holder.confirm_soon:
                soon = self.clock.lasts(CONFIRM_INTERVAL_FRACTION * self.world.terms.exchange_interval)
                self.world.after(soon, lambda: self.run(self.send))

    def act(self) -> None:
        self.run(self.use)

    def use(self) -> None:
        world, wants = self.world, self.world.wants(self)
        for name, part in self.holder.allowances.items():
            if part.budget.kind == LEVEL:
                self.use_level(name, int(wants.get(name, 0)))
            else:
                self.credit[name] += wants.get(name, 0.0) * (world.now - self.acted)
                self.use_rate(name)
        self.acted = world.now
        world.after(self.clock.lasts(ACT), self.act)

    def use_level(self, name: str, wanted: int) -> None:
        """Lets go what is not wanted or over its part, but for connections whose request still works."""
        world, units, now = self.world, self.units[name], self.now()
        for unit in units:
            unit.seen = world.now
        free = [unit for unit in units if unit.works_until <= world.now]
        spare = max(len(units) - wanted, self.holder.excess_units(now, name))
        for unit in free[: max(0, spare)]:
            units.remove(unit)
            self.holder.release(name)
            world.referees[name].change(world.now, -1)
        for unit in units:
            if unit.works_until <= world.now and self.rng.random() < 0.5:
                unit.works_until = world.now + self.rng.uniform(0, WORK)
        while len(units) < wanted and self.holder.acquire(now, name, wanted - len(units)):
            units.append(Unit(world.now + self.rng.uniform(0, WORK), world.now))
            world.referees[name].change(world.now, 1)
        self.refused += max(0, wanted - len(units))

    def use_rate(self, name: str) -> None:
        while self.credit[name] >= 1:
            self.credit[name] -= 1
            if self.holder.spend(self.now(), name) == 0.0:
                self.world.referees[name].spend(self.world.now)
            else:
                self.refused += 1

    def drop(self, name: str, unit: Unit) -> None:
        """The host has closed a connection."""
        if unit in self.units[name]:
            self.units[name].remove(unit)
            self.world.referees[name].change(self.world.now, -1)
            if self.alive:
                self.holder.release(name)


class World:
    """`log`: whether the grantor has one. Messages are lost by `loss`; `drift`: of any clock against the true
    time, half of the terms' at most."""

    def __init__(
        self,
        seed: int,
        terms: BudgetSettings = TERMS,
        gateways: int = 8,
        log: bool = True,
        loss: float = 0.0,
        drift: float = 0.01,
        wants: Callable[[Gateway], Mapping[str, float]] | None = None,
    ) -> None:
        self.seed, self.terms, self.log, self.loss, self.drift = seed, terms, log, loss, drift
        self.rng, self.now, self.order = random.Random(seed), 0.0, itertools.count()
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.referees: dict[str, Any] = {
            b.name: LevelReferee(b.total) if b.kind == LEVEL else RateReferee(b.total, b.burst)
            for b in terms.budgets
        }
        self.disk: dict[GrantKey, StoredGrant] = {}
        self.disk_whole, self.disk_longest = False, 0.0  # what the log says of all that was granted
        self.length = terms.grant_duration  # s of a grant, as the grantor has it in this life
        self.disk_full = False
        self.cut_to: set[str] = set()  # gateways whose words do not reach the grantor
        self.cut_from: set[str] = set()  # gateways that hear nothing of it
        self.wants = wants or self.drawn
        self.lives: dict[int, int] = {}
        self.grantor_paused, self.grantor_inbox = False, list[Callable[[], None]]()
        self.grantor_clock = Clock(self.rng, drift)
        self.grantor: Grantor | None = None
        self.began = 0  # lives of the grantor
        self.start_grantor(True)
        self.gateways, self.gone = list[Gateway](), list[Gateway]()
        for index in range(gateways):
            self.gateways.append(self.start(index))
        self.after(TICK, self.tick)
        self.after(IDLE / 4, self.close_idle)

    # Events

    def after(self, seconds: float, act: Callable[[], None]) -> None:
        heapq.heappush(self.heap, (self.now + seconds, next(self.order), act))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.heap[0][0] <= end:
            self.now, _, act = heapq.heappop(self.heap)
            act()
        self.now = end

    def breaches(self) -> int:
        return sum(referee.breaches for referee in self.referees.values())

    # What gateways want

    def drawn(self, gateway: Gateway) -> dict[str, float]:
        """By the seed: each wants something else, and something new every two seconds; or all want more than
        there is, but for one that changes; or nobody wants anything, and then all want all at once."""
        span, kind = int(self.now / 2), self.seed % 3
        rng = random.Random(f"{self.seed} {gateway.index} {span}")
        if kind == 0:
            parts = {budget.name: rng.choice((0, 0.02, 0.1, 0.3, 2.0)) for budget in self.terms.budgets}
        elif kind == 1:
            rests = span % len(self.gateways) == gateway.index
            parts = dict.fromkeys(self.referees, 0.0 if rests else 1.0)
        else:
            parts = dict.fromkeys(self.referees, 2.0 if self.now % 7 > 4 else 0.0)
        return {budget.name: budget.total * parts[budget.name] for budget in self.terms.budgets}

    # Gateways

    def start(self, index: int) -> Gateway:
        """One more life. Its machine lets a process use the reserve only where no other that lives does."""
        number = self.lives[index] = self.lives.get(index, 0) + 1
        old = [g for g in (*self.gateways, *self.gone) if g.index == index and g.alive]
        return Gateway(self, index, number, not any(g.holder.uses_reserve for g in old))

    def kill(self, gateway: Gateway, machine: bool = False) -> None:
        """With its machine, hosts keep what it had open until they close it by themselves."""
        gateway.alive = False
        for name, units in gateway.units.items():
            for unit in list(units):
                if not machine:
                    gateway.drop(name, unit)

    def resume(self, gateway: Gateway) -> None:
        gateway.paused = False
        inbox, gateway.inbox = gateway.inbox, []
        gateway.rng.shuffle(inbox)  # what it does first after a pause is not given
        for act in inbox:
            gateway.run(act)

    def close_idle(self) -> None:
        for gateway in (*self.gateways, *self.gone):
            if gateway.alive and not gateway.paused:
                continue
            for name, units in gateway.units.items():
                for unit in [unit for unit in units if self.now - unit.seen >= IDLE * 0.9]:
                    gateway.drop(name, unit)
        self.after(IDLE / 20, self.close_idle)

    # Messages

    def carry(self, act: Callable[[], None]) -> None:
        """Late, lost or twice."""
        for _ in range(1 + (self.rng.random() < 0.03)):
            if self.rng.random() >= self.loss:
                self.after(self.rng.choice((0.001, 0.01, 0.1, 0.4 if self.loss else 0.02)), act)

    def to_grantor(self, gateway: Gateway, told: ExchangeRequest) -> None:
        if gateway.name not in self.cut_to:
            self.carry(lambda: self.heard(gateway, told))

    def heard(self, gateway: Gateway, told: ExchangeRequest) -> None:
        if self.grantor_paused:
            self.grantor_inbox.append(lambda: self.heard(gateway, told))
            return
        grantor = self.grantor
        if grantor is None:
            return
        try:
            answer = grantor.handle_exchange(self.grantor_clock(self.now), told)
        except StaleIncarnationError as err:
            stale = err
            self.back(gateway, lambda: gateway.answered(stale))
            return
        except (SupersededExchangeError, InvalidExchangeError):
            return
        if grantor.unstored_amounts(told) and grantor.is_log_writable:
            self.after(self.rng.uniform(0.001, 0.02), lambda: self.commit(grantor, gateway, told, answer))
        else:
            self.tell(gateway, answer)

    def commit(
        self, grantor: Grantor, gateway: Gateway, told: ExchangeRequest, answer: GrantResponse
    ) -> None:
        if grantor is not self.grantor:
            return  # it died before
        if self.disk_full:
            grantor.on_log_failed()
            try:
                answer = grantor.reduce_to_stored(told, answer)
            except SupersededExchangeError:
                return
        else:
            self.write(grantor)
            if self.rng.random() < 0.002:
                self.restart_grantor(True)  # stored, and dead before it was told
                return
        self.tell(gateway, answer)

    def write(self, grantor: Grantor) -> None:
        now = self.grantor_clock(self.now)
        batch = grantor.rows_to_store(now, False)
        self.disk.update(batch)
        self.disk_whole, self.disk_longest = grantor.is_complete(now), grantor.longest_lifetime(now)
        grantor.on_stored(batch)

    def tell(self, gateway: Gateway, answer: GrantResponse) -> None:
        self.back(gateway, lambda: gateway.answered(answer))

    def back(self, gateway: Gateway, act: Callable[[], None]) -> None:
        if gateway.name not in self.cut_from:
            self.carry(lambda: gateway.run(act))

    # The grantor

    def start_grantor(self, disk: bool) -> None:
        """With its log; or without: then it knows nothing of earlier grants. The very first one waits too."""
        self.began += 1
        if not disk:
            self.disk_longest, self.length = 0.0, self.terms.grant_duration
        if not (disk and self.disk_whole):
            self.disk, self.disk_whole = {}, False
        known = {key: held for key, held in self.disk.items() if held.amount} if self.disk_whole else None
        term = self.began if self.log and disk else self.rng.randint(0, 3)  # a clock set back
        terms = msgspec.structs.replace(self.terms, grant_duration=self.length)
        self.grantor = Grantor(
            terms, term, self.grantor_clock(self.now), known, self.log, longest_lifetime=self.disk_longest
        )
        if self.log and not self.disk_full:
            self.write(self.grantor)

    def restart_grantor(self, disk: bool) -> None:
        if self.grantor is None:
            return
        self.grantor, self.grantor_inbox, self.grantor_paused = None, [], False
        self.after(self.rng.uniform(0.05, 1.0), lambda: self.start_grantor(disk))

    def resume_grantor(self) -> None:
        self.grantor_paused = False
        inbox, self.grantor_inbox = self.grantor_inbox, []
        for act in inbox:
            act()

    def tick(self) -> None:
        if self.grantor is not None and not self.grantor_paused:
            self.grantor.release_ended(self.grantor_clock(self.now))
            if self.log and not self.disk_full and self.rng.random() < 0.1:
                self.write(self.grantor)
        self.after(TICK, self.tick)

    # Faults

    def strike(self) -> str:
        """One fault or its end, drawn."""
        rng = self.rng
        gateway = rng.choice(self.gateways)
        act = rng.choice(
            (
                "kill",
                "kill",
                "machine",
                "pause",
                "pause",
                "pause many",
                "resume",
                "resume",
                "cut to",
                "cut from",
                "heal",
                "heal",
                "grantor",
                "grantor, no disk",
                "pause grantor",
                "resume grantor",
                "full",
                "free",
                "free",
                "loss",
                "crash loop",
                "grantor twice",
                "other length",
            )
        )
        if act in ("kill", "machine") and gateway.alive:
            self.kill(gateway, act == "machine")
            if act == "kill":
                self.replace(gateway)
            else:  # a machine is up again later than hosts close what it had open
                self.after(IDLE + WORK, lambda: self.replace(gateway))
        elif act == "pause":
            gateway.paused = True
            if rng.random() < 0.3:  # its supervisor holds it for dead and starts another
                self.replace(gateway)
        elif act == "pause many":
            for one in rng.sample(self.gateways, len(self.gateways) // 2):
                one.paused = True
        elif act == "resume":
            for one in (*self.gateways, *self.gone):
                if one.alive and one.paused:
                    self.resume(one)
        elif act.startswith("cut"):
            (self.cut_to if act == "cut to" else self.cut_from).add(gateway.name)
        elif act == "heal":
            self.cut_to.clear()
            self.cut_from.clear()
            self.loss = 0.0
        elif act in ("grantor", "grantor, no disk"):
            self.restart_grantor(act == "grantor")
        elif act == "pause grantor":
            self.grantor_paused = True
        elif act == "resume grantor":
            self.resume_grantor()
        elif act in ("full", "free"):
            self.disk_full = act == "full"
        elif act == "loss":
            self.loss = rng.choice((0.0, 0.1, 0.2, 0.4))
        elif act == "other length" and self.disk_longest:  # by its log it knows of a longer one
            self.length = (
                self.terms.grant_duration
                if self.length < self.terms.grant_duration
                else 3 * self.terms.exchange_interval
            )
            self.restart_grantor(True)
        elif act == "crash loop" and gateway.alive:
            self.crash(gateway.index, 12)
        elif act == "grantor twice":  # the second life finds what the first one has learned so far
            self.restart_grantor(False)
            self.after(2.0, lambda: self.restart_grantor(True))
        self.suspect(gateway, act)
        return act

    def crash(self, index: int, times: int) -> None:
        """Each life of a gateway ends soon after it began."""
        gateway = self.gateways[index]
        if times and gateway.alive:
            self.kill(gateway)
            self.replace(gateway)
            self.after(0.15, lambda: self.crash(index, times - 1))

    def calm(self) -> None:
        """Ends all faults."""
        self.cut_to.clear()
        self.cut_from.clear()
        self.loss, self.disk_full = 0.0, False
        for gateway in (*self.gateways, *self.gone):
            if gateway.alive and gateway.paused:
                self.resume(gateway)
        self.resume_grantor()

    def replace(self, gateway: Gateway) -> None:
        if gateway not in self.gateways:
            return
        self.gone.append(gateway)
        self.gateways[self.gateways.index(gateway)] = self.start(gateway.index)

    def suspect(self, gateway: Gateway, act: str) -> None:
        """What a failure detector would say: nothing here acts upon it."""


def play(seed: int, seconds: float = 60.0, faults: int = 40, kind: type[World] = World, **more: Any) -> World:
    """A run with so many faults at drawn times; it stops at the first breach."""
    rng = random.Random(f"faults {seed}")
    world = kind(seed, log=rng.random() < 0.7, **more)
    world.run(rng.uniform(5, 10))
    for _ in range(faults):
        world.strike()
        world.run(rng.expovariate(faults / seconds))
        if world.breaches():
            break
    return world
