"""What one gateway may use: its share of the reserve, and what it was granted. No I/O, no clock, no globals.

Times are of the gateway's own clock, which only goes forward and counts while the machine sleeps. A grant
ends `length` after the exchange was sent that it answers, so before the grantor holds it for ended. Of all
answers only the one to the latest exchange is taken, and none of an older term than the newest seen.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass

from api_gateway.budgets.terms import LEVEL, Budget, Exchange, Grants, Report, Terms

LESS = 0.1  # part of a grant: one that became smaller by more is confirmed at once, not at the next exchange
ASKED_AGAIN = 0.2  # s under which two looks at what was asked for count as one


@dataclass(slots=True)
class Part:
    """One budget here. `granted` counts until the grants end; `share`: of the reserve, always."""

    budget: Budget
    share: float
    granted: float = 0.0
    ratio: float = 0.0
    used: int = 0  # units of a level that are held
    tokens: float = 0.0  # units of a rate that are saved up; none at a start, or restarts would mint them
    at: float = 0.0  # when they were counted
    asked: int = 0  # of a rate: units asked for since the last report
    peak: int = 0  # of a level: most units held or wanted at once since then
    have: float = 0.0  # of a level: the granted part that is not given back yet

    def may(self, granted: float) -> float:
        return self.share + granted


class Holder:
    """One life of a gateway. `reserves`: whether this process alone may use the share of the reserve that
    goes with `index`; two lives of one gateway must never both do so."""

    def __init__(
        self, terms: Terms, name: str, zone: str, index: int, life: int, reserves: bool, now: float
    ) -> None:
        self.terms, self.name, self.zone, self.index, self.life = terms, name, zone, index, life
        self.reserves = reserves and index < terms.most  # one more gateway than stated has no share
        self.parts = {
            budget.name: Part(budget, terms.share(budget) if self.reserves else 0.0, at=now)
            for budget in terms.budgets
        }
        self.ends = -math.inf  # of all that was granted
        self.seq, self.sent_at, self.awaits = 0, now, False
        self.reported_at = now
        self.term = 0
        self.taken = False  # whether this life was ever answered
        self.prompt = False  # whether others wait for this one to confirm that it has less
        self.prompted = False  # whether the last exchange was such a one: no two in a row
        self.superseded = False  # a newer life of this gateway is there: this one is granted nothing more
        self.counts: Counter[str] = Counter()

    def reserve(self, now: float) -> None:
        """From now on this process uses the gateway's share of the reserve: no other does any longer."""
        self.reserves = self.index < self.terms.most
        for part in self.parts.values():
            self.count(now, part)
            part.share = self.terms.share(part.budget) if self.reserves else 0.0

    # Exchanges

    def exchange(self, now: float) -> Exchange:
        """What to send. Its answer, and no older one, will be taken."""
        self.seq += 1
        self.sent_at, self.awaits = now, True
        self.prompted, self.prompt = self.prompt, False
        passed, self.reported_at = max(ASKED_AGAIN, now - self.reported_at), now
        reports = {name: self.report(now, part, passed) for name, part in self.parts.items()}
        return Exchange(self.name, self.zone, self.index, self.life, self.seq, self.term, reports)

    def report(self, now: float, part: Part, passed: float) -> Report:
        if part.budget.kind == LEVEL:
            need: float = part.peak
            part.peak = part.used
        else:
            need, part.asked = part.asked / passed, 0
        return Report(min(need, part.budget.whole), self.have(now, part), part.share)

    def have(self, now: float, part: Part) -> float:
        granted = self.granted(now, part)
        if part.budget.kind != LEVEL:
            return granted
        # What is held beyond a part that became smaller counts until it has been let go.
        part.have = max(granted, min(part.have, part.used - part.share), 0.0)
        return part.have

    def granted(self, now: float, part: Part) -> float:
        return part.granted if now < self.ends else 0.0

    def answered(self, now: float, told: Grants) -> bool:
        """Whether the answer is taken."""
        if told.life != self.life or told.seq != self.seq or not self.awaits:
            self.counts["old answers"] += 1
            return False
        if told.term < self.term:
            self.counts["old terms"] += 1
            return False
        self.awaits, self.taken, self.term = False, True, told.term
        for name, granted in told.parts.items():
            part = self.parts[name]
            self.count(now, part)
            less = granted < self.granted(now, part) * (1 - LESS)
            self.prompt = self.prompt or less and not self.prompted
            if part.budget.kind == LEVEL:
                part.have = max(granted, self.have(now, part))
            part.granted, part.ratio = granted, told.ratios.get(name, 0.0)
        self.ends = self.sent_at + min(told.length, self.terms.length)
        for part in self.parts.values():
            self.count(now, part)
        return True

    def stale(self, newest: int) -> None:
        """A newer life of this name is known. One that starts raises its own above it: its clock was set
        back; one that was answered before has been replaced."""
        if self.taken:
            self.superseded = True
        else:
            self.life, self.seq = newest + 1, 0
        self.awaits = False

    # Use

    def may(self, now: float, name: str) -> float:
        """Units of a level, or units a second, that may be used now."""
        part = self.parts[name]
        return part.may(self.granted(now, part))

    def take(self, now: float, name: str, wanted: int = 1) -> bool:
        """One more unit of a level, to be given back by `give`; `wanted`: how many more have a use."""
        part = self.parts[name]
        part.peak = max(part.peak, part.used + wanted)
        if part.used + 1 > self.may(now, name) + 1e-9:
            return False
        part.used += 1
        return True

    def give(self, name: str) -> None:
        self.parts[name].used -= 1

    def over(self, now: float, name: str) -> int:
        """Units of a level that are to be let go as soon as nothing needs them."""
        return max(0, self.parts[name].used - math.floor(self.may(now, name) + 1e-9))

    def spend(self, now: float, name: str) -> float:
        """0 where one unit of a rate was taken; else the seconds after which there will be one, infinite
        where there is never one without a grant."""
        part = self.parts[name]
        part.asked += 1
        self.count(now, part)
        if part.tokens >= 1 - 1e-9:
            part.tokens -= 1
            return 0.0
        rate = self.may(now, name)
        if rate <= 0 or self.saved(now, part) < 1 - 1e-9:
            return math.inf
        return (1 - part.tokens) / rate

    def saved(self, now: float, part: Part) -> float:
        """Units of a rate that may be saved up."""
        return (1.0 if part.share > 0 else 0.0) + part.ratio * self.granted(now, part)

    def count(self, now: float, part: Part) -> None:
        """Tokens that came since the last look: of the grant only until it ended."""
        if part.budget.kind == LEVEL or now <= part.at:
            return
        lasted = min(max(0.0, min(now, self.ends) - part.at), now - part.at)
        fresh = part.share * (now - part.at) + part.granted * lasted
        part.tokens, part.at = min(self.saved(now, part), part.tokens + fresh), now

    def status(self, now: float) -> dict[str, object]:
        return {
            "life": self.life,
            "term": self.term,
            "ends_in": round(max(0.0, self.ends - now), 3),
            "reserve": self.reserves,
            "superseded": self.superseded,
            "counts": dict(self.counts),
            "budgets": {
                name: {
                    "share": part.share,
                    "granted": self.granted(now, part),
                    "used": part.used,
                    "over": self.over(now, name) if part.budget.kind == LEVEL else 0,
                }
                for name, part in self.parts.items()
            },
        }
