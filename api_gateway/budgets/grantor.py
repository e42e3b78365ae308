"""The grantor: which part of each budget each gateway may use, and until when. No I/O, no clock, no globals.

Of each life of a gateway the grantor keeps the most that it may be using (`cover`): what it said it holds
itself to, or the newest part that it was told, whichever is more. A gateway takes only the answer to its
latest exchange, so its next one settles which of the two it is. What a life covers is free for others when
the gateway has said that it holds itself to less, or when the grant has ended by any clock, and never
before. A part is told only up to what all others leave, so the covers never sum to more than what is divided.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from api_gateway.budgets.division import Claim, divide, spread, whole_parts
from api_gateway.budgets.terms import LEVEL, RATE, Budget, Exchange, Grants, Report, Terms

RISE, FALL = 0.5, 2.0  # exchanges in which a need is believed that grew; that shrank
FLAP = 0.1  # part of a grant by which it does not follow a need where nobody goes short
DIVIDE = 0.2  # s between two divisions of a budget at the least
TURN = 10.0  # s after which others have the units of a level that cannot be shared evenly
MOST_NAMES = 4096  # gateways that are remembered; more are not taken
FORGET = 3600.0  # s after which one that has nothing is forgotten

Key = tuple[str, int, str]  # a gateway's name, its life and a budget


class Held(NamedTuple):
    """What the log says of one cover: it may be in use for `hold` s from whenever it is read, and its units
    for `linger` s more. A later life of the grantor may have shorter terms of its own."""

    cover: float
    hold: float
    linger: float


class Stale(Exception):
    """A word of an older life; `life` is the newest one known."""

    def __init__(self, life: int) -> None:
        super().__init__(f"life {life} is known")
        self.life = life


class Superseded(Exception):
    """An exchange that a newer one of the same life has overtaken, or whose grants have ended by now: no
    answer to it would be of use."""


class Unsound(ValueError):
    """An exchange that cannot be true; the text says why."""


@dataclass(slots=True)
class Hold:
    """One budget of one life."""

    cover: float = 0.0
    need: float = 0.0  # smoothed, what the reserve does not give already
    target: float = 0.0
    stored: float = 0.0  # what the log has at least: no more may be covered by what is told
    linger: float = 0.0  # s that units were to outlast their grant by the terms of an earlier life


@dataclass(slots=True)
class Life:
    name: str
    number: int
    zone: str = ""
    index: int = 0
    seq: int = -1
    heard: float = -math.inf
    until: float = -math.inf  # when all that it was granted has ended
    reserves: bool = False  # whether it uses its share of the reserve
    holds: dict[str, Hold] = field(default_factory=dict)
    answer: Grants | None = None


@dataclass(slots=True)
class Pot:
    """One budget over all."""

    budget: Budget
    room: float  # what all grants together may come to
    share: float  # of the reserve, for each of the most gateways
    ratio: float  # of a rate: what may be saved up for each unit a second that is granted
    largest: float  # whole that it had: gateways may not have heard of a smaller one
    covered: float = 0.0
    level: float = math.inf  # what a gateway of weight 1 gets at most, by the last division
    short: bool = False  # whether some gateway's part is below its target
    divided_at: float = -math.inf
    dirty: bool = True
    grows: tuple[float, float] = (math.inf, 0.0)  # when the room becomes larger, and how large


class Grantor:
    """`term` is told with each grant, and is newer than that of any earlier life of the grantor. `stored`:
    what the log held, where it was whole; None: nothing is known of earlier grants, which are waited out, for
    `longest` s where the log says that they may last so long. `logs`: whether what is told must be stored
    first."""

    def __init__(
        self,
        terms: Terms,
        term: int,
        now: float,
        stored: Mapping[Key, Held] | None,
        logs: bool,
        weights: Mapping[str, float] | None = None,
        longest: float = 0.0,
    ) -> None:
        self.terms, self.term, self.logs, self.disk = terms, term, logs, True
        self.weights = weights or {}  # by the name of a gateway, or else of its zone
        self.lives: dict[tuple[str, int], Life] = {}
        self.newest: dict[str, int] = {}  # the newest life by name
        self.pots = {budget.name: self.pot(budget) for budget in terms.budgets}
        self.learned_at = now
        if stored is None:
            self.wait_out(now, longest, term - 1)
        self.unstored: dict[Key, float] = {}  # covers that the log does not have as they are
        self.counts: Counter[str] = Counter()
        for key, held in (stored or {}).items():
            self.recall(now, key, held)

    def pot(self, budget: Budget) -> Pot:
        terms = self.terms
        return Pot(budget, terms.divided(budget), terms.share(budget), terms.ratio(budget), budget.whole)

    def wait_out(self, now: float, longest: float, term: int) -> None:
        """Nothing is known of grants that were told by now, up to that term; they last for `longest` s, or as
        long as those of these terms."""
        linger = max(budget.linger for budget in self.terms.budgets)
        self.learned_at = now + max(self.terms.hold() + linger, longest)
        self.term = max(self.term, term + 1)

    def recall(self, now: float, key: Key, held: Held) -> None:
        """What an earlier life of the grantor had told: it may have been told just now, and lasts as long as
        that life said. Where terms are longer now, the log must hear of that before it is told again."""
        name, number, budget = key
        life = self.lives.setdefault((name, number), Life(name, number))
        life.until, life.heard = max(life.until, now + max(self.terms.hold(), held.hold)), now
        hold = life.holds[budget] = Hold(held.cover, need=held.cover, stored=held.cover, linger=held.linger)
        self.newest[name] = max(number, self.newest.get(name, 0))
        if budget in self.pots:
            self.pots[budget].covered += held.cover
        if held.hold < self.terms.hold() or held.linger < self.linger(budget, hold):
            self.outdated(key, hold)

    def outdated(self, key: Key, hold: Hold) -> None:
        """What the log has of it lasts too short a time."""
        hold.stored = 0.0
        self.unstored[key] = hold.cover

    def linger(self, budget: str, hold: Hold) -> float:
        pot = self.pots.get(budget)
        return max(hold.linger, pot.budget.linger if pot is not None else 0.0)

    # Exchanges

    def exchange(self, now: float, told: Exchange) -> Grants:
        """The answer. Raises Stale, Superseded or Unsound. With a log, what `owed` names must be stored
        first."""
        self.check(told)
        life = self.life_of(told)
        if told.seq < life.seq or told.seq == life.seq and life.answer is None:
            self.counts["superseded"] += 1
            raise Superseded
        if told.seq == life.seq and life.answer is not None:
            self.counts["repeated"] += 1
            return life.answer
        self.counts["exchanges"] += 1
        if told.term > self.term:
            self.term = told.term + 1  # the only grantor, set back: what it tells must be newer all the same
        first = life.heard == -math.inf
        life.zone, life.index, life.seq = told.zone, told.index, told.seq
        life.reserves = any(report.reserve > 0 for report in told.budgets.values())
        for name, report in told.budgets.items():
            hold = life.holds.setdefault(name, Hold())
            self.believe(hold, report, 0.0 if first else now - life.heard)
            self.pots[name].dirty = True
        life.heard = now
        parts = {name: self.grant(now, life, name, report) for name, report in told.budgets.items()}
        # From the first answer on: the gateway counts from before it asked, so its end is never later.
        life.until = max(life.until, now + self.terms.hold())
        ratios = {name: self.pots[name].ratio for name in parts if self.pots[name].ratio}
        life.answer = Grants(told.life, told.seq, self.term, self.terms.length, parts, ratios)
        return life.answer

    def check(self, told: Exchange) -> None:
        for name, report in told.budgets.items():
            pot = self.pots.get(name)
            if pot is None:
                raise Unsound(f"no budget is named {name!r}")
            if report.need > pot.largest or report.have > pot.largest:
                raise Unsound(f"{name}: a need or a part is over the whole of {pot.largest:g}")
            if report.reserve > pot.share * (1 + 1e-9):
                raise Unsound(f"{name}: {report.reserve:g} of the reserve, where a share has {pot.share:g}")
            if report.reserve > 0 and told.index >= self.terms.most:
                raise Unsound(f"index {told.index} has no share of the reserve: only {self.terms.most} do")

    def life_of(self, told: Exchange) -> Life:
        newest = self.newest.get(told.name)
        if newest is not None and told.life < newest:
            self.counts["stale"] += 1
            raise Stale(newest)
        if newest is None and len(self.newest) >= MOST_NAMES:
            raise Unsound(f"{MOST_NAMES} gateways are known already")
        self.newest[told.name] = told.life
        return self.lives.setdefault((told.name, told.life), Life(told.name, told.life))

    def believe(self, hold: Hold, report: Report, passed: float) -> None:
        need = max(0.0, report.need - report.reserve)
        time = self.terms.every * (RISE if need > hold.need else FALL)
        hold.need += (need - hold.need) * (1 - math.exp(-passed / time) if passed > 0 else 1.0)

    def grant(self, now: float, life: Life, name: str, report: Report) -> float:
        pot, hold = self.pots[name], life.holds[name]
        others = pot.covered - hold.cover
        if now < self.learned_at:
            most = min(report.have, pot.room)  # it keeps what it has; all that others have is not known yet
        else:
            most = max(0.0, pot.room - others)
        if self.logs and not self.disk:
            most = min(most, hold.stored)
        self.aim(now, life, pot, hold)
        part = min(self.part(pot, hold, report.have, most), most)
        if pot.budget.kind == LEVEL:
            part = float(math.floor(part + 1e-9))
        self.cover(life, name, hold, max(report.have, part))
        return part

    def part(self, pot: Pot, hold: Hold, have: float, most: float) -> float:
        """Its target; or what it has, where that is near enough and nobody goes short."""
        near = abs(hold.target - have) <= FLAP * have
        return have if near and not pot.short and have <= most else hold.target

    def cover(self, life: Life, name: str, hold: Hold, cover: float) -> None:
        self.pots[name].covered += cover - hold.cover
        hold.cover = cover
        key = life.name, life.number, name
        if cover != hold.stored:
            self.unstored[key] = cover
        else:
            self.unstored.pop(key, None)

    # The division

    def aim(self, now: float, life: Life, pot: Pot, hold: Hold) -> None:
        """Divides anew where something has changed; between two divisions one that comes gets what the last
        one would have given it."""
        if pot.dirty and now - pot.divided_at >= DIVIDE:
            self.divide(now, pot)
        else:
            weight = self.weight(life)
            hold.target = max(hold.target, min(max(hold.need, pot.budget.least), pot.level * weight))

    def weight(self, life: Life) -> float:
        return self.weights.get(life.name, self.weights.get(life.zone, 1.0))

    def divide(self, now: float, pot: Pot) -> None:
        name, budget = pot.budget.name, pot.budget
        there = [
            life
            for life in self.lives.values()
            if name in life.holds
            and (now < life.until or life.heard == now)
            and self.newest[life.name] == life.number
        ]
        there.sort(key=lambda life: life.name)
        holds = [life.holds[name] for life in there]
        claims = [
            Claim(hold.need, budget.least, self.weight(life)) for life, hold in zip(there, holds, strict=True)
        ]
        parts, pot.level = divide(pot.room, claims)
        spare = pot.room * (1 - self.terms.pool) - sum(parts)
        if spare > 0 and parts:
            parts = spread(spare, parts, claims)
        if budget.kind == LEVEL:
            parts = whole_parts(parts, int(now / TURN))
        for hold, part in zip(holds, parts, strict=True):
            hold.target = part
        pot.covered = sum(life.holds[name].cover for life in self.lives.values() if name in life.holds)
        missing = sum(max(0.0, hold.target * (1 - FLAP) - hold.cover) for hold in holds)
        pot.short = missing > pot.room - pot.covered + 1e-9
        pot.divided_at, pot.dirty = now, False

    # Time

    def tick(self, now: float) -> None:
        """Frees what has ended. To be called some times a second."""
        for key, life in list(self.lives.items()):
            if now < life.until:
                continue
            for name, hold in list(life.holds.items()):
                if now >= life.until + self.linger(name, hold):
                    self.free(life, name, hold)
            newest = self.newest.get(life.name) == life.number
            if not life.holds and (not newest or now - life.heard >= FORGET):
                del self.lives[key]  # till then an older life is not taken for a new gateway
                if newest:
                    del self.newest[life.name]
        for pot in self.pots.values():
            if now >= pot.grows[0]:
                pot.room, pot.grows = pot.grows[1], (math.inf, 0.0)
                pot.dirty = True
            elif now - pot.divided_at >= TURN:
                pot.dirty = True

    def free(self, life: Life, name: str, hold: Hold) -> None:
        if name in self.pots:
            self.pots[name].covered -= hold.cover
            self.pots[name].dirty = True
        if hold.stored or hold.cover:
            self.unstored[life.name, life.number, name] = 0.0
        del life.holds[name]
        life.answer = None

    # The log

    def owed(self, told: Exchange) -> dict[Key, float]:
        """Of what was just answered, what must be stored before it may be told."""
        life = self.lives[told.name, told.life]
        if not self.logs or life.answer is None:
            return {}
        return {
            (life.name, life.number, name): life.holds[name].cover
            for name, part in life.answer.parts.items()
            if part > life.holds[name].stored
        }

    def rows(self, now: float, all_of_it: bool) -> dict[Key, Held]:
        """What the log does not have as it is; or all that may be in use. A cover of 0 is none."""
        rows = {} if all_of_it else dict.fromkeys(self.unstored, Held(0.0, 0.0, 0.0))
        for life in self.lives.values():
            for name, hold in life.holds.items():
                key = life.name, life.number, name
                if all_of_it or key in self.unstored:
                    lasts = max(self.terms.hold(), life.until - now)
                    rows[key] = Held(hold.cover, lasts, self.linger(name, hold))
        return rows

    def longest(self, now: float) -> float:
        """Seconds after which nothing is in use of all that was granted by now, whatever is known of it."""
        linger = max(
            (self.linger(name, hold) for life in self.lives.values() for name, hold in life.holds.items()),
            default=0.0,
        )
        linger = max(linger, *(budget.linger for budget in self.terms.budgets))
        until = max((life.until for life in self.lives.values()), default=now)
        return max(max(self.terms.hold(), until - now) + linger, self.learned_at - now)

    def stored(self, written: Mapping[Key, Held]) -> None:
        """These rows are in the log, for good."""
        self.disk = True
        for key, held in written.items():
            name, number, budget = key
            life = self.lives.get((name, number))
            hold = life.holds.get(budget) if life is not None else None
            if hold is not None and held.linger >= self.linger(budget, hold):
                hold.stored = held.cover
            if self.unstored.get(key) == held.cover and (hold is None or hold.stored == held.cover):
                del self.unstored[key]

    def whole(self, now: float) -> bool:
        """Whether what it knows is all that is granted. A log of what an earlier life learned in part is no
        use to the next: it waits too."""
        return now >= self.learned_at

    def unwritten(self) -> None:
        """The log takes nothing: nothing more is told than what it has already."""
        self.disk = False

    def cut_back(self, told: Exchange, answer: Grants) -> Grants:
        """An answer that could not be stored, with no more than what was stored before. Raises Superseded
        where its grants have ended while the disk was tried."""
        life = self.lives.get((told.name, told.life))
        if life is None or not life.holds.keys() >= answer.parts.keys():
            raise Superseded
        parts = {name: min(part, life.holds[name].stored) for name, part in answer.parts.items()}
        cut = Grants(answer.life, answer.seq, answer.term, answer.length, parts, answer.ratios)
        if life.seq == told.seq:
            life.answer = cut
            for name, part in parts.items():
                self.cover(life, name, life.holds[name], max(told.budgets[name].have, part))
        return cut

    # Changes

    def retune(self, now: float, terms: Terms, weights: Mapping[str, float]) -> None:
        """Other wholes, least parts, lingers, pool or weights, or one more budget; what is granted above a
        smaller whole is worked off as grants end. Raises Unsound where a change is none that holds at once
        everywhere: the reserve is used by gateways that hear nothing."""
        fixed = [(t.most, t.length, t.every, t.drift) for t in (self.terms, terms)]
        if fixed[0] != fixed[1]:
            raise Unsound("most, length, every and drift cannot change while the grantor runs")
        fresh = {budget.name: budget for budget in terms.budgets}
        for name, pot in self.pots.items():
            new = fresh.get(name)
            if new is None or (new.kind, new.reserve) != (pot.budget.kind, pot.budget.reserve):
                raise Unsound(f"{name}: a budget cannot go while it is granted, nor change kind or reserve")
            if new.linger < pot.budget.linger:
                raise Unsound(f"{name}: a linger cannot become shorter while it is granted")
        longer = {name for name, pot in self.pots.items() if fresh[name].linger > pot.budget.linger}
        self.terms, self.weights = terms, weights
        for name, budget in fresh.items():
            pot = self.pots.setdefault(name, self.pot(budget))
            room = terms.divided(budget)
            if budget.kind == RATE and room > pot.room:
                # Parts told so far may save up more for each unit than new ones: these come when those end.
                pot.grows = now + terms.hold(), room
            else:
                pot.room, pot.grows = room, (math.inf, 0.0)
            pot.budget, pot.ratio, pot.dirty = budget, terms.ratio(budget), True
            pot.largest = max(pot.largest, budget.whole)
        for life in self.lives.values():
            for name in life.holds.keys() & longer:
                self.outdated((life.name, life.number, name), life.holds[name])

    def status(self, now: float) -> dict[str, object]:
        """What operators see. `over`: how much more is granted than a smaller whole bears, until grants
        end."""
        current = [life for life in self.lives.values() if now < life.until]
        return {
            "term": self.term,
            "disk": self.disk or not self.logs,
            "learning": round(max(0.0, self.learned_at - now), 1),
            "gateways": len({life.name for life in current}),
            "surplus": sorted({life.name for life in current if life.index >= self.terms.most}),
            "clashes": clashes(current),
            "counts": dict(self.counts),
            "budgets": {
                name: {
                    "whole": pot.budget.whole,
                    "reserve": pot.budget.reserve,
                    "divided": pot.room,
                    "granted": round(pot.covered, 6),
                    "over": round(max(0.0, pot.covered - pot.room), 6),
                    "needed": round(sum(life.holds[name].need for life in current if name in life.holds), 6),
                    "short": pot.short,
                }
                for name, pot in self.pots.items()
            },
        }


def clashes(lives: list[Life]) -> list[list[str]]:
    """Names that use one share of the reserve."""
    by_index: dict[int, set[str]] = {}
    for life in lives:
        if life.reserves:
            by_index.setdefault(life.index, set()).add(life.name)
    return [sorted(names) for _, names in sorted(by_index.items()) if len(names) > 1]
