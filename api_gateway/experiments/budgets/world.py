"""A simulated grantor and its gateways in virtual time, which run the real grantor and holders.

The faults are lost, late and duplicated messages, pauses, deaths, network cuts, clocks that run fast or slow,
restarts and full disks.
"""

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

USE_INTERVAL_S = 0.05  # Interval, by its own clock, at which a gateway adjusts its units to its demand
GRANTOR_TICK_S = 0.1  # Interval at which the grantor releases expired grants
RESPONSE_TIMEOUT_S = 0.5  # Time after which a gateway no longer waits for a response
MAX_WORK_S = 0.3  # Longest duration of a request, during which its connection is not released
IDLE_TIMEOUT_S = 0.4  # Time after which a host closes a connection without activity

SETTINGS = BudgetSettings(
    max_gateways=8,
    grant_duration=3.0,
    exchange_interval=0.5,
    clock_drift=0.03,
    unassigned_fraction=0.1,
    budgets=[
        Budget("connections", "level", 40, reserve=8, minimum=1, release_delay=MAX_WORK_S + IDLE_TIMEOUT_S),
        Budget("connects", "rate", 20, reserve=4, minimum=0.2, burst=24),
    ],
)


class Clock:
    """The clock of a machine, which has a random offset and a random speed within the drift."""

    def __init__(self, rng: random.Random, drift: float) -> None:
        self.offset, self.speed = rng.uniform(0, 1e6), 1 + rng.uniform(-drift, drift)

    def __call__(self, now: float) -> float:
        return self.offset + now * self.speed

    def true_duration(self, seconds: float) -> float:
        """Return the true duration in which the given number of seconds pass on this clock."""
        return seconds / self.speed


@dataclass
class Unit:
    """A connection at the host: until when a request occupies it, and when the host last saw activity."""

    busy_until: float
    last_seen_at: float


@dataclass
class Demand:
    """What a gateway would use without limits: units in use of levels, and units per second of rates."""

    amounts: dict[str, float] = field(default_factory=dict)


class Gateway:
    """One process of a gateway, with a real holder.

    Args:
        world: The world that it runs in.
        index: Its index among the gateways, which its successors share.
        start_number: How many processes of this index there have been, including this one.
        may_use_reserve: Whether it may use its share of the reserve.
    """

    def __init__(self, world: World, index: int, start_number: int, may_use_reserve: bool) -> None:
        self.world, self.index, self.name = world, index, f"g{index}"
        self.rng = random.Random(f"{world.seed} {index} {start_number}")
        self.clock = Clock(self.rng, world.drift)
        # The wall clock, which numbers the incarnations, may have been set back
        set_back = start_number > 1 and self.rng.random() < 0.25
        incarnation = start_number - 5 if set_back else start_number
        self.holder = BudgetHolder(
            world.settings, self.name, "z", index, max(0, incarnation), may_use_reserve, self.clock(world.now)
        )
        self.units: dict[str, list[Unit]] = {b.name: [] for b in world.settings.budgets if b.kind == LEVEL}
        # Units of rates that are wanted by now
        self.pending_units = dict.fromkeys(self.holder.allowances, 0.0)
        self.alive, self.paused = True, False
        self.inbox: list[Callable[[], None]] = []
        self.last_used_at = world.now
        self.refused = 0
        world.after(self.rng.uniform(0, USE_INTERVAL_S), self.on_use_timer)
        world.after(self.rng.uniform(0, 0.1), self.on_exchange_timer)

    def now(self) -> float:
        """Return the time of its own clock."""
        return self.clock(self.world.now)

    def run(self, callback: Callable[[], None]) -> None:
        """Call it now, or after the pause if the process is paused, or never if it has ended."""
        if self.alive and self.paused:
            self.inbox.append(callback)
        elif self.alive:
            callback()

    def on_exchange_timer(self) -> None:
        """Make the next exchange, unless the process is paused or has ended."""
        self.run(self.exchange)

    def exchange(self) -> None:
        """Send a request to the grantor and schedule the next one."""
        world = self.world
        self.send()
        world.after(
            self.clock.true_duration(world.settings.exchange_interval * self.rng.uniform(0.9, 1.1)),
            self.on_exchange_timer,
        )

    def send(self) -> None:
        """Send a request to the grantor, unless a newer incarnation has superseded this one."""
        if not self.holder.is_superseded:
            self.world.to_grantor(self, self.holder.make_exchange(self.now()))

    def on_response(self, response: GrantResponse | StaleIncarnationError) -> None:
        """Handle a response of the grantor, and confirm it soon if the holder asks for that."""
        if isinstance(response, StaleIncarnationError):
            self.holder.on_stale_incarnation(response.newest_incarnation)
        else:
            self.holder.on_response(self.now(), response)
            if self.holder.confirm_soon:
                delay_s = self.clock.true_duration(
                    CONFIRM_INTERVAL_FRACTION * self.world.settings.exchange_interval
                )
                self.world.after(delay_s, lambda: self.run(self.send))

    def on_use_timer(self) -> None:
        """Adjust the units in use, unless the process is paused or has ended."""
        self.run(self.use_budgets)

    def use_budgets(self) -> None:
        """Use units of all budgets as far as demand and allowances permit, and schedule the next time."""
        world, demand = self.world, self.world.demand(self)
        for name, allowance in self.holder.allowances.items():
            if allowance.budget.kind == LEVEL:
                self.use_level(name, int(demand.get(name, 0)))
            else:
                self.pending_units[name] += demand.get(name, 0.0) * (world.now - self.last_used_at)
                self.use_rate(name)
        self.last_used_at = world.now
        world.after(self.clock.true_duration(USE_INTERVAL_S), self.on_use_timer)

    def use_level(self, name: str, wanted: int) -> None:
        """Release idle units in excess of the demand or the allowance, and acquire those that are wanted.

        Connections that a request still occupies are not released.
        """
        world, units, now = self.world, self.units[name], self.now()
        for unit in units:
            unit.last_seen_at = world.now
        idle = [unit for unit in units if unit.busy_until <= world.now]
        spare = max(len(units) - wanted, self.holder.excess_units(now, name))
        for unit in idle[: max(0, spare)]:
            units.remove(unit)
            self.holder.release(name)
            world.referees[name].change(world.now, -1)
        for unit in units:
            if unit.busy_until <= world.now and self.rng.random() < 0.5:
                unit.busy_until = world.now + self.rng.uniform(0, MAX_WORK_S)
        while len(units) < wanted and self.holder.acquire(now, name, wanted - len(units)):
            units.append(Unit(world.now + self.rng.uniform(0, MAX_WORK_S), world.now))
            world.referees[name].change(world.now, 1)
        self.refused += max(0, wanted - len(units))

    def use_rate(self, name: str) -> None:
        """Spend the pending units as far as is allowed; the others are refused."""
        while self.pending_units[name] >= 1:
            self.pending_units[name] -= 1
            if self.holder.spend(self.now(), name) == 0.0:
                self.world.referees[name].spend(self.world.now)
            else:
                self.refused += 1

    def on_connection_closed(self, name: str, unit: Unit) -> None:
        """Remove the unit of a connection that the host has closed."""
        if unit in self.units[name]:
            self.units[name].remove(unit)
            self.world.referees[name].change(self.world.now, -1)
            if self.alive:
                self.holder.release(name)


class World:
    """The simulated grantor, gateways, network and disk.

    Args:
        seed: The seed of all random draws.
        settings: The settings of the budgets.
        gateways: The number of gateways.
        has_log: Whether the grantor has a log.
        loss: The fraction of messages that are lost.
        drift: The largest deviation of a clock from the true time, at most half of the settings' drift.
        demand: Returns the demand of a gateway by budget; drawn from the seed by default.
    """

    def __init__(
        self,
        seed: int,
        settings: BudgetSettings = SETTINGS,
        gateways: int = 8,
        has_log: bool = True,
        loss: float = 0.0,
        drift: float = 0.01,
        demand: Callable[[Gateway], Mapping[str, float]] | None = None,
    ) -> None:
        self.seed, self.settings, self.has_log, self.loss, self.drift = seed, settings, has_log, loss, drift
        self.rng, self.now, self.event_ids = random.Random(seed), 0.0, itertools.count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.referees: dict[str, Any] = {
            b.name: LevelReferee(b.total) if b.kind == LEVEL else RateReferee(b.total, b.burst)
            for b in settings.budgets
        }
        self.disk: dict[GrantKey, StoredGrant] = {}
        self.is_disk_complete, self.disk_longest_lifetime = False, 0.0  # what the log says about all grants
        self.grant_duration_s = settings.grant_duration  # as the grantor has it since its last start
        self.disk_full = False
        self.cut_to_grantor: set[str] = set()  # gateways whose messages do not reach the grantor
        self.cut_from_grantor: set[str] = set()  # gateways that receive nothing from the grantor
        self.demand = demand or self.random_demand
        self.start_counts: dict[int, int] = {}
        self.grantor_paused, self.grantor_inbox = False, list[Callable[[], None]]()
        self.grantor_clock = Clock(self.rng, drift)
        self.grantor: Grantor | None = None
        self.grantor_starts = 0  # how often the grantor was started
        self.start_grantor(True)
        self.gateways, self.replaced = list[Gateway](), list[Gateway]()
        for index in range(gateways):
            self.gateways.append(self.start(index))
        self.after(GRANTOR_TICK_S, self.tick)
        self.after(IDLE_TIMEOUT_S / 4, self.close_idle)

    # Events

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Run an action after a delay in true time."""
        heapq.heappush(self.events, (self.now + seconds, next(self.event_ids), action))

    def run(self, seconds: float) -> None:
        """Advance the virtual time and run all events that are due."""
        end = self.now + seconds
        while self.events[0][0] <= end:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.now = end

    def breaches(self) -> int:
        """Return the number of breaches over all budgets."""
        return sum(referee.breaches for referee in self.referees.values())

    # Demand

    def random_demand(self, gateway: Gateway) -> dict[str, float]:
        """Return the demand of a gateway by budget, after one of three patterns that the seed selects.

        Either each gateway draws a new demand every two seconds, or all but one, which changes, demand the
        total, or the gateways alternate between no demand and twice the total.
        """
        interval_number, kind = int(self.now / 2), self.seed % 3
        rng = random.Random(f"{self.seed} {gateway.index} {interval_number}")
        if kind == 0:
            fractions = {
                budget.name: rng.choice((0, 0.02, 0.1, 0.3, 2.0)) for budget in self.settings.budgets
            }
        elif kind == 1:
            is_idle = interval_number % len(self.gateways) == gateway.index
            fractions = dict.fromkeys(self.referees, 0.0 if is_idle else 1.0)
        else:
            fractions = dict.fromkeys(self.referees, 2.0 if self.now % 7 > 4 else 0.0)
        return {budget.name: budget.total * fractions[budget.name] for budget in self.settings.budgets}

    # Gateways

    def start(self, index: int) -> Gateway:
        """Start a process of a gateway.

        The machine lets it use the reserve only if no other live process of this gateway does.
        """
        start_number = self.start_counts[index] = self.start_counts.get(index, 0) + 1
        previous = [g for g in (*self.gateways, *self.replaced) if g.index == index and g.alive]
        return Gateway(self, index, start_number, not any(g.holder.uses_reserve for g in previous))

    def kill(self, gateway: Gateway, with_machine: bool = False) -> None:
        """End a process.

        If its machine ends with it, its connections stay open until the hosts close them as idle.
        """
        gateway.alive = False
        for name, units in gateway.units.items():
            for unit in list(units):
                if not with_machine:
                    gateway.on_connection_closed(name, unit)

    def resume(self, gateway: Gateway) -> None:
        """End the pause of a gateway and run what has queued up, in random order."""
        gateway.paused = False
        inbox, gateway.inbox = gateway.inbox, []
        gateway.rng.shuffle(inbox)  # the order of actions after a pause is not defined
        for action in inbox:
            gateway.run(action)

    def close_idle(self) -> None:
        """Let the hosts close idle connections of gateways that are paused or have ended."""
        for gateway in (*self.gateways, *self.replaced):
            if gateway.alive and not gateway.paused:
                continue
            for name, units in gateway.units.items():
                for unit in [unit for unit in units if self.now - unit.last_seen_at >= IDLE_TIMEOUT_S * 0.9]:
                    gateway.on_connection_closed(name, unit)
        self.after(IDLE_TIMEOUT_S / 20, self.close_idle)

    # Messages

    def transmit(self, action: Callable[[], None]) -> None:
        """Deliver a message, which may be late, lost or duplicated."""
        for _ in range(1 + (self.rng.random() < 0.03)):
            if self.rng.random() >= self.loss:
                self.after(self.rng.choice((0.001, 0.01, 0.1, 0.4 if self.loss else 0.02)), action)

    def to_grantor(self, gateway: Gateway, request: ExchangeRequest) -> None:
        """Send a request over the network, unless it is cut in this direction."""
        if gateway.name not in self.cut_to_grantor:
            self.transmit(lambda: self.on_exchange(gateway, request))

    def on_exchange(self, gateway: Gateway, request: ExchangeRequest) -> None:
        """Handle a request at the grantor, and respond after new grants are stored."""
        if self.grantor_paused:
            self.grantor_inbox.append(lambda: self.on_exchange(gateway, request))
            return
        grantor = self.grantor
        if grantor is None:
            return
        try:
            response = grantor.handle_exchange(self.grantor_clock(self.now), request)
        except StaleIncarnationError as err:
            stale = err
            self.to_gateway(gateway, lambda: gateway.on_response(stale))
            return
        except (SupersededExchangeError, InvalidExchangeError):
            return
        if grantor.unstored_amounts(request) and grantor.is_log_writable:
            self.after(
                self.rng.uniform(0.001, 0.02),
                lambda: self.store_and_respond(grantor, gateway, request, response),
            )
        else:
            self.send_response(gateway, response)

    def store_and_respond(
        self, grantor: Grantor, gateway: Gateway, request: ExchangeRequest, response: GrantResponse
    ) -> None:
        """Store the grants and send the response, reduced to the stored grants if the disk is full."""
        if grantor is not self.grantor:
            return  # it has ended in the meantime
        if self.disk_full:
            grantor.on_log_failed()
            try:
                response = grantor.reduce_to_stored(request, response)
            except SupersededExchangeError:
                return
        else:
            self.store_grants(grantor)
            if self.rng.random() < 0.002:
                self.restart_grantor(True)  # it ends after storing and before responding
                return
        self.send_response(gateway, response)

    def store_grants(self, grantor: Grantor) -> None:
        """Write all grants that have changed to the disk."""
        now = self.grantor_clock(self.now)
        batch = grantor.rows_to_store(now, False)
        self.disk.update(batch)
        self.is_disk_complete, self.disk_longest_lifetime = (
            grantor.is_complete(now),
            grantor.longest_lifetime(now),
        )
        grantor.on_stored(batch)

    def send_response(self, gateway: Gateway, response: GrantResponse) -> None:
        """Send a response to a gateway."""
        self.to_gateway(gateway, lambda: gateway.on_response(response))

    def to_gateway(self, gateway: Gateway, action: Callable[[], None]) -> None:
        """Run an action at a gateway when a message arrives, unless the network is cut in this direction."""
        if gateway.name not in self.cut_from_grantor:
            self.transmit(lambda: gateway.run(action))

    # The grantor

    def start_grantor(self, keeps_disk: bool) -> None:
        """Start the grantor with its log or without.

        Without the log it does not know the earlier grants. The very first grantor has to wait as well.
        """
        self.grantor_starts += 1
        if not keeps_disk:
            self.disk_longest_lifetime, self.grant_duration_s = 0.0, self.settings.grant_duration
        if not (keeps_disk and self.is_disk_complete):
            self.disk, self.is_disk_complete = {}, False
        stored_grants = (
            {key: stored for key, stored in self.disk.items() if stored.amount}
            if self.is_disk_complete
            else None
        )
        # Without the log, the term may go back, as after a clock that was set back
        term = self.grantor_starts if self.has_log and keeps_disk else self.rng.randint(0, 3)
        settings = msgspec.structs.replace(self.settings, grant_duration=self.grant_duration_s)
        self.grantor = Grantor(
            settings,
            term,
            self.grantor_clock(self.now),
            stored_grants,
            self.has_log,
            longest_lifetime=self.disk_longest_lifetime,
        )
        if self.has_log and not self.disk_full:
            self.store_grants(self.grantor)

    def restart_grantor(self, keeps_disk: bool) -> None:
        """End the grantor and start another one soon."""
        if self.grantor is None:
            return
        self.grantor, self.grantor_inbox, self.grantor_paused = None, [], False
        self.after(self.rng.uniform(0.05, 1.0), lambda: self.start_grantor(keeps_disk))

    def resume_grantor(self) -> None:
        """End the pause of the grantor and handle the messages that have queued up."""
        self.grantor_paused = False
        inbox, self.grantor_inbox = self.grantor_inbox, []
        for action in inbox:
            action()

    def tick(self) -> None:
        """Let the grantor release expired grants and at times write its log."""
        if self.grantor is not None and not self.grantor_paused:
            self.grantor.release_ended(self.grantor_clock(self.now))
            if self.has_log and not self.disk_full and self.rng.random() < 0.1:
                self.store_grants(self.grantor)
        self.after(GRANTOR_TICK_S, self.tick)

    # Faults

    def inject_fault(self) -> str:
        """Inject one drawn fault, or end one, and return its name."""
        rng = self.rng
        gateway = rng.choice(self.gateways)
        action = rng.choice(
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
        if action in ("kill", "machine") and gateway.alive:
            self.kill(gateway, action == "machine")
            if action == "kill":
                self.replace(gateway)
            else:  # a machine takes longer to restart than hosts to close its connections
                self.after(IDLE_TIMEOUT_S + MAX_WORK_S, lambda: self.replace(gateway))
        elif action == "pause":
            gateway.paused = True
            if rng.random() < 0.3:  # its supervisor considers it dead and starts another one
                self.replace(gateway)
        elif action == "pause many":
            for other in rng.sample(self.gateways, len(self.gateways) // 2):
                other.paused = True
        elif action == "resume":
            for other in (*self.gateways, *self.replaced):
                if other.alive and other.paused:
                    self.resume(other)
        elif action.startswith("cut"):
            (self.cut_to_grantor if action == "cut to" else self.cut_from_grantor).add(gateway.name)
        elif action == "heal":
            self.cut_to_grantor.clear()
            self.cut_from_grantor.clear()
            self.loss = 0.0
        elif action in ("grantor", "grantor, no disk"):
            self.restart_grantor(action == "grantor")
        elif action == "pause grantor":
            self.grantor_paused = True
        elif action == "resume grantor":
            self.resume_grantor()
        elif action in ("full", "free"):
            self.disk_full = action == "full"
        elif action == "loss":
            self.loss = rng.choice((0.0, 0.1, 0.2, 0.4))
        elif action == "other length" and self.disk_longest_lifetime:  # its log has the longer duration
            self.grant_duration_s = (
                self.settings.grant_duration
                if self.grant_duration_s < self.settings.grant_duration
                else 3 * self.settings.exchange_interval
            )
            self.restart_grantor(True)
        elif action == "crash loop" and gateway.alive:
            self.crash_loop(gateway.index, 12)
        elif action == "grantor twice":  # the second start finds what the first one has learned so far
            self.restart_grantor(False)
            self.after(2.0, lambda: self.restart_grantor(True))
        self.on_suspicion(gateway, action)
        return action

    def crash_loop(self, index: int, times: int) -> None:
        """End and replace a gateway again and again, soon after each start."""
        gateway = self.gateways[index]
        if times and gateway.alive:
            self.kill(gateway)
            self.replace(gateway)
            self.after(0.15, lambda: self.crash_loop(index, times - 1))

    def end_faults(self) -> None:
        """End all faults."""
        self.cut_to_grantor.clear()
        self.cut_from_grantor.clear()
        self.loss, self.disk_full = 0.0, False
        for gateway in (*self.gateways, *self.replaced):
            if gateway.alive and gateway.paused:
                self.resume(gateway)
        self.resume_grantor()

    def replace(self, gateway: Gateway) -> None:
        """Start another process of a gateway, unless this one has been replaced before."""
        if gateway not in self.gateways:
            return
        self.replaced.append(gateway)
        self.gateways[self.gateways.index(gateway)] = self.start(gateway.index)

    def on_suspicion(self, gateway: Gateway, action: str) -> None:
        """Handle a suspicion of a failure detector. Here it has no effect."""


def play(
    seed: int, seconds: float = 60.0, faults: int = 40, world_class: type[World] = World, **world_options: Any
) -> World:
    """Run a world with faults at random times, up to the first breach."""
    rng = random.Random(f"faults {seed}")
    world = world_class(seed, has_log=rng.random() < 0.7, **world_options)
    world.run(rng.uniform(5, 10))
    for _ in range(faults):
        world.inject_fault()
        world.run(rng.expovariate(faults / seconds))
        if world.breaches():
            break
    return world
