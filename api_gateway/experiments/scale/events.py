"""Events of a whole fleet in virtual time, over the list service's own core: who is told how much.

Gateways are watches that come again 10 ms after each answer. Answers are those that the service would write,
byte for byte but for HTTP's head. Nothing here depends on the machine or is a time of it. Started as a
program with a Case in JSON it prints the figures; after the word processes, what those have to know too that
play the same.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
import json
import random
import sys
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Any

from api_gateway.base.subsets import SubsetSpec
from api_gateway.discovery.polling import ANSWER_MARGIN_S, KNOWN_WITHIN_S, Backoff
from api_gateway.registry.config import DEFAULT_LEARNING_S, RegistryConfig
from api_gateway.registry.core import (
    BATCH_DELAY_S,
    DRAIN_DURATION_S,
    EXPIRY_CHECK_INTERVAL_S,
    Answer,
    Host,
    RegistrationConflictError,
    Registry,
)
from api_gateway.registry.service import Service

AGAIN, WAIT = 0.01, 5.0  # s after an answer in which the next watch comes; of a watch
SHORT, LONG = 5.0, 3600.0  # s for which hosts count that an event is about, and the others
AT = 10.0  # s at which an event begins
AWAY = 20.0  # s that a restart takes
PACE = 4.0  # restarts a second in a rollout
FIRST = 1_700_000_000_000  # the version with which each life of a service begins


@dataclass(frozen=True, slots=True)
class Case:
    event: str
    gateways: int
    hosts: int = 56_000
    zones: int = 6
    view: int = 480  # 0: all hosts are told
    rack: int = 40
    seconds: float = 40.0  # after the event begins
    apart: float = 3600.0  # for which regions are cut off from each other
    names: tuple[str, ...] = ()  # of zones, where others than z0, z1 ... are needed

    def zone(self, number: int) -> str:
        return self.names[number % self.zones] if self.names else f"z{number % self.zones}"

    def beyond(self, number: int) -> bool:
        """Whether a host or a gateway is in the region that the list service is not in."""
        return number % self.zones >= self.zones // 2


class World:
    def __init__(self, case: Case) -> None:
        self.case, self.now, self.began = case, 0.0, AT
        self.life()
        self.epochs = [self.registry.epoch] * case.gateways  # of the last answer of each
        self.up_at = 0.0  # from when on the service answers
        self.cut = range(0)  # gateways that do not reach it, where they are beyond
        self.backoffs: dict[int, Backoff] = {}
        self.refused: Counter[int] = Counter()  # calls that failed, by second
        self.reached = case.gateways  # that can be told anything
        self.asks: list[tuple[float, int]] = []
        self.acts: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.versions = [0] * case.gateways
        self.counting = False
        self.told: Counter[int] = Counter()  # answers with news, by gateway
        self.bytes: Counter[int] = Counter()
        self.seconds: Counter[tuple[int, int]] = Counter()  # bytes by gateway and second
        self.entries = 0
        self.last = 0.0

    def life(self, number: int = 0) -> None:
        """The service begins anew, and knows nothing."""
        self.registry = Registry(f"0123456789abcde{number:x}", FIRST)
        self.service = Service(
            RegistryConfig(("127.0.0.1", 0), None, self.case.gateways + 1, 0.0),
            self.registry,
            lambda: self.now,
        )

    def host(self, number: int, started: int = 0) -> Host:
        return Host(
            f"h-{number:08x}",
            f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:6379",
            self.case.zone(number),
            "std",
            number % 7,
            started_ms=started,
        )

    def at(self, when: float, act: Callable[[], None]) -> None:
        heapq.heappush(self.acts, (when, next(self.order), act))

    def answered(self, answer: Answer) -> None:
        number: Any = answer.key
        text = self.service.encode(answer)
        self.versions[number], self.epochs[number] = answer.version, self.registry.epoch
        self.backoffs.pop(number, None)
        heapq.heappush(self.asks, (self.now + AGAIN, number))
        if answer.hosts and self.counting:
            self.told[number] += 1
            self.bytes[number] += len(text)
            self.seconds[number, int(self.now)] += len(text)
            self.entries += len(answer.hosts)
            self.last = self.now

    def fail(self, number: int) -> None:
        """A call that is refused or broken off: the next one comes after the gateway's own pause."""
        backoff = self.backoffs.setdefault(number, Backoff(self.case.gateways, random.Random(number)))
        due = (KNOWN_WITHIN_S - ANSWER_MARGIN_S) / (
            1 if backoff.failure_count else 2
        )  # as Discovery.due has it
        self.refused[int(self.now)] += self.counting and self.now < self.up_at
        heapq.heappush(self.asks, (self.now + backoff.next_delay(due), number))

    def ask(self, number: int) -> None:
        """The first call is for the whole list; then watches go on from the last answer."""
        if self.now < self.up_at or number in self.cut and self.case.beyond(number):
            self.fail(number)
            return
        registry, index, view, epoch = self.registry, self.versions[number], None, self.epochs[number]
        if self.case.view:
            view = SubsetSpec(number, self.case.view, self.case.zone(number))
        answer: Answer | None
        if not index:
            answer = registry.answer(number, None) if view is None else registry.view(self.now, number, view)
        elif view is None:
            answer = registry.watch(self.now, number, index, WAIT, epoch)
        else:
            answer = registry.watch_view(self.now, number, view, index, WAIT, epoch)
        if answer is not None:
            self.answered(answer)

    def run(self, until: float) -> None:
        while True:
            due = [self.registry.due()] + [queue[0][0] for queue in (self.asks, self.acts) if queue]
            at = max(self.now, min(due))
            if at > until:
                break
            self.now = at
            while self.acts and self.acts[0][0] <= at:
                heapq.heappop(self.acts)[2]()
            while self.asks and self.asks[0][0] <= at:
                self.ask(heapq.heappop(self.asks)[1])
            if self.registry.due() <= at:
                for answer in self.registry.tick(at):
                    self.answered(answer)
        self.now = until

    # Events

    def renew(self, number: int, incarnation: int) -> None:
        """While it lives: a host that an event is about, until that."""
        name = self.host(number).id
        if self.now < AT:
            self.registry.renew(self.now, name, incarnation)
            self.at(self.now + SHORT / 2, lambda: self.renew(number, incarnation))

    def register(self, number: int) -> None:
        self.registry.register(self.now, self.host(number), 1, LONG)

    def fill(self) -> None:
        for number in range(self.case.hosts):
            self.register(number)

    def broken(self, numbers: Iterable[int]) -> None:
        """Watches of these gateways that wait break."""
        for number in numbers:
            if number in self.registry.watches:
                self.registry.cancel_watch(number)
                self.fail(number)

    def lapse(self, numbers: Sequence[int]) -> None:
        """They fall silent together."""
        for number in numbers:
            self.registry.register(self.now, self.host(number), 1, SHORT)
            self.at(self.now + SHORT / 2, partial(self.renew, number, 1))

    def restart(self, number: int) -> None:
        """It drains and comes back, by when it has been removed."""
        name = self.host(number).id

        def back() -> None:
            self.registry.register(self.now, self.host(number, 1_700_000_000_000 + int(self.now)), 2, LONG)

        try:
            self.registry.drain(self.now, name, 1)
        except RegistrationConflictError:
            return
        self.at(self.now + AWAY, back)


def rack(world: World) -> None:
    world.lapse(rack_of(world.case))


def rack_of(case: Case) -> range:
    """Hosts behind one rack: all in one zone."""
    return range(0, case.rack * case.zones, case.zones)


def zone(world: World) -> None:
    world.lapse(range(0, world.case.hosts, world.case.zones))


def rollout(world: World) -> None:
    """Hosts one after another, spread over the fleet, but for the last of the time."""
    step = 7919  # prime to the number of hosts
    for count in range(int(PACE * (world.case.seconds - AWAY - 1))):
        world.at(AT + count / PACE, partial(world.restart, count * step % world.case.hosts))


def everything(world: World) -> None:
    """All gateways and the service begin at once: each asks for its list."""


def sever(world: World) -> None:
    """The other region's gateways are cut off: their watches break."""
    world.cut = range(world.case.gateways)
    world.broken([number for number in world.cut if world.case.beyond(number)])


def apart(world: World) -> None:
    """Regions are cut off from each other. Of the other one's hosts the service hears nothing, and its
    gateways are told nothing."""
    world.lapse([number for number in range(world.case.hosts) if world.case.beyond(number)])
    world.at(AT, lambda: sever(world))
    world.reached = sum(not world.case.beyond(number) for number in range(world.case.gateways))


def healed(world: World) -> None:
    """They reach each other again after that time: hosts register anew, each when its next renewal is due,
    and gateways ask from what they knew before. What was told meanwhile is not counted."""
    case, at = world.case, AT + world.case.apart
    far = [number for number in range(case.hosts) if case.beyond(number)]
    apart(world)
    world.reached, world.began = case.gateways, at

    def renew(number: int) -> None:
        world.registry.renew(world.now, world.host(number).id, 1)

    for place, number in enumerate(number for number in range(case.hosts) if not case.beyond(number)):
        for again in range(1, int(2 * case.apart / LONG) + 1):  # they renew all the time
            world.at(
                AT + again * LONG / 2 + place / case.hosts,
                partial(renew, number),
            )

    def join() -> None:
        world.cut = range(0)

    world.at(at, join)
    for place, number in enumerate(far):
        world.at(at + SHORT / 2 * place / len(far), partial(world.register, number))


def lost(world: World) -> None:
    """One copy of the service is lost, as each may be in turn: gateways ask the other, which knows all hosts
    but none of their versions."""

    def turn() -> None:
        world.broken(range(world.case.gateways))
        world.life(1)
        world.fill()

    world.at(AT, turn)


def back(world: World) -> None:
    """The only copy of the service is lost and comes back, and learns for a while: hosts register anew, each
    when its next renewal is due, before anything is told."""

    def turn() -> None:
        world.up_at = AT + AWAY + DEFAULT_LEARNING_S
        world.broken(range(world.case.gateways))
        world.life(1)
        for number in range(world.case.hosts):
            world.at(
                AT + AWAY + SHORT / 2 * number / world.case.hosts,
                partial(world.register, number),
            )

    world.at(AT, turn)


EVENTS: dict[str, Callable[[World], None]] = {
    "rack": rack,
    "zone": zone,
    "rollout": rollout,
    "everything": everything,
    "apart": apart,
    "healed": healed,
    "lost": lost,
    "back": back,
}


async def play(case: Case) -> dict[str, float]:
    """It waits for nothing: the service as it is made asks for a loop."""
    world = World(case)
    world.fill()
    world.registry.tick(0.1)
    EVENTS[case.event](world)
    world.counting = case.event == "everything"
    for number in range(case.gateways):
        heapq.heappush(world.asks, (1.0 + 4.0 * number / case.gateways, number))
    world.run(world.began - 0.001)
    world.counting = True
    if case.event != "everything":
        world.run(world.began + case.seconds)
    return figures(world)


def figures(world: World) -> dict[str, float]:
    """Of a gateway that can be told, mean and most; of the service, all together. Bytes of a second: the
    worst one."""
    count, service = world.reached, Counter[int]()
    for (_, second), size in world.seconds.items():
        service[second] += size
    return {
        "messages_a_gateway": world.told.total() / count,
        "messages_a_gateway_most": float(max(world.told.values(), default=0)),
        "bytes_a_gateway": world.bytes.total() / count,
        "bytes_a_gateway_most": float(max(world.bytes.values(), default=0)),
        "bytes_in_s_most": float(max(world.seconds.values(), default=0)),
        "entries_a_gateway": world.entries / count,
        "messages": float(world.told.total()),
        "bytes": float(world.bytes.total()),
        "service_bytes_out_s_most": float(max(service.values(), default=0)),
        "last_s": max(0.0, world.last - world.began),
        "hosts_up": float(sum(entry.host.state == "up" for entry in world.registry.entries.values())),
        "hosts_held": float(len(world.registry.preserved_hosts)),
        "refused": float(world.refused.total()),
        "refused_s_most": float(max(world.refused.values(), default=0)),
    }


def in_processes(told: dict[str, Any]) -> dict[str, Any]:
    """A rack that goes, as processes play it: the figures, the rack's hosts, and spans of the list service in
    s. `after`: s that are counted after they lapsed; None: until they are removed."""
    after = told.pop("after")
    after = DRAIN_DURATION_S if after is None else after
    case = Case(**told, seconds=SHORT + after + 1.0)
    return {
        "figures": asyncio.run(play(case)),
        "rack": list(rack_of(case)),
        "after": after,
        "look": EXPIRY_CHECK_INTERVAL_S,
        "gather": BATCH_DELAY_S,
    }


def main() -> int:
    *words, text = sys.argv[1:]
    told = json.loads(text)
    print(json.dumps(in_processes(told) if words == ["processes"] else asyncio.run(play(Case(**told)))))
    return 0


if __name__ == "__main__":
    sys.exit(main())
