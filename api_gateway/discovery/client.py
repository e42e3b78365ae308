"""Discovery: a watch for changes of the list of hosts, and the whole list where there is none to change.

One service may answer all gateways, and what starts or fails for all of them at one moment would ask it at
one moment for good. So each waits for a time drawn by chance, the longer the more of them there are, and asks
for what has changed since its last list: that costs the service less than the whole one.
"""

from __future__ import annotations

import asyncio
import logging
import math
import random
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, replace
from time import monotonic
from typing import Any

from api_gateway import interface as api
from api_gateway.base.endpoint_list import Address, Listing, read_list
from api_gateway.base.ratelimit import LimitedLog
from api_gateway.discovery.fetcher import Broken, Fetcher, host_of

WAIT = 5.0  # s that discovery may hold a watch open
LATE = (1.0, 1.7)  # s past that in which a silent watch is given up, drawn: all fall silent at one moment
ANSWER = 5.0  # s for the whole list, after which the call is given up: it waits its turn there
TOLD = 6.0  # s after which a change counts as told, from when discovery had it and could be reached
ROOM = 0.5  # s of these for the answer
AGENT_WAIT, AGENT_LATE, AGENT_ANSWER, AGENT_PAUSE = 0.25, (0.1, 0.2), 0.4, 0.1  # parts of the drain's grace
GRACE_LEAST, GRACE_MOST = 0.5, 8.0  # s; bounds of the grace that they are parts of
AT_ONCE = 1.0  # s in which one call at most follows a failure at once
TURN = 0.02  # s between looks whether a list has been read
EARLY = 0.05  # s before the next call after a watch that ended early with nothing: far under the 200 ms
LEAVING_MOST = 1024  # hosts told to leave that are remembered
BACKOFF_LEAST, BACKOFF_MOST = 0.05, 1.0  # s; bounds of the pause after a failure, for up to FEW gateways
FEW = 2  # gateways; with more of them pauses are longer in proportion, as far as TOLD allows
START_EACH = 0.1  # s that the first call of each gateway but a few is given, where all begin together
START_FEW = 5  # gateways that ask at once

log = logging.getLogger(__name__)


PATH = "/v1/endpoints"
Params = dict[str, int | str]


def url(address: Address) -> str:
    return f"http://{host_of(address)}{PATH}"


@dataclass(frozen=True, slots=True)
class Timeouts:
    """How long calls wait, in s. No silence is waited out for longer than what it hides may stay unknown:
    what a silent watch missed counts as told 6 s after it fell silent, or 2 s after its wait if later. And
    discovery may be back the moment after a call that fails was made: the next one comes `told` s after it at
    the latest, however long the first one took, so while calls fail none waits."""

    wait: float = WAIT
    late: tuple[float, float] = LATE
    answer: float = ANSWER
    again: float = 0.0  # the wait of watches while calls fail
    pause: float = BACKOFF_MOST  # the longest after a failure, for few gateways
    told: float = TOLD - ROOM


def agent_timeouts(grace: float) -> Timeouts:
    """Of an agent on this machine, which answers at once and at no cost. What it has counts as told at once,
    also when it comes back from a silence, and a drain's grace runs from then: no silence takes more than
    half of it, with the pause after it."""
    unit = max(GRACE_LEAST, min(GRACE_MOST, grace))
    least, most = (part * unit for part in AGENT_LATE)
    return Timeouts(
        AGENT_WAIT * unit,
        (least, most),
        AGENT_ANSWER * unit,
        0.0,
        min(BACKOFF_MOST, AGENT_PAUSE * unit),
        math.inf,
    )


class Backoff:
    """Waits before calls: full jitter, below a bound that doubles with each failure, and `within` the time in
    which the next call is due."""

    def __init__(self, gateways: int, rng: random.Random, most: float = BACKOFF_MOST) -> None:
        self.gateways, self.rng, self.fails, self.most = gateways, rng, 0, most

    def start(self) -> float:
        return self.rng.uniform(0.0, min(TOLD - ROOM, START_EACH * max(0, self.gateways - START_FEW)))

    def pause(self, within: float = math.inf) -> float:
        self.fails += 1
        crowd = max(1.0, self.gateways / FEW)
        most = min(self.most, BACKOFF_LEAST * 2.0 ** min(self.fails, 16))
        longest = min(crowd * most, within)
        return self.rng.uniform(min(crowd * min(BACKOFF_LEAST, most), longest / 2), longest)


async def ask(fetcher: Fetcher, address: Address, params: Params, limit: float) -> Listing:
    return read_list(await fetcher.get(address, f"{PATH}?{query(params)}" if params else PATH, limit))


def query(params: Params) -> str:
    return "&".join(f"{name}={value}" for name, value in params.items())


class Discovery:
    """`told` gets each list, `failed` hears of each call that failed. `version` is that of the last list, or
    None where there is none to go by. `grace`: the drain's, where what answers is an agent on this machine,
    for this gateway alone; None where one service answers all. `viewing`: a views.Viewing, where this gateway
    uses a part of the hosts.

    One call is in work at a time, so lists are taken in the order in which they were asked for."""

    def __init__(
        self,
        address: Address,
        version: int | None,
        told: Callable[[Listing], None],
        failed: Callable[[], None],
        gateways: int = 1,
        seed: int = 0,
        grace: float | None = None,
        viewing: Any = None,
    ) -> None:
        self.address, self.viewing = address, viewing
        # With a view, too, what is known serves while the first call waits its turn; none goes on from it.
        self.waits, self.version = bool(viewing) and version is not None, None if viewing else version
        self.told, self.failed = told, failed
        self.rng = random.Random(seed)
        self.timeouts = Timeouts() if grace is None else agent_timeouts(grace)
        self.backoff = Backoff(gateways if grace is None else 1, self.rng, self.timeouts.pause)
        self.local_failure = False  # the last call failed as it does not for all gateways at one moment
        self.spoilt = False  # what it brought could not be read
        self.unknown = 0.0  # since when there may be changes that the last call, which failed, did not tell
        self.last_immediate = -AT_ONCE  # when a call last followed a failure at once
        self.odd, self.back = LimitedLog(log), LimitedLog(log)
        self.fetcher = Fetcher()
        self.shifting: asyncio.Handle | None = None
        self.watching: asyncio.Task[None] | None = None
        self.heard: float | None = None  # when the last answer came
        self.answered = asyncio.Event()  # the first of them
        self.last = 0  # version of the last list, also where that was another address's
        self.leaving: dict[str, float] = {}  # hosts that lists told to leave, and their starts

    def retune(self, grace: float) -> None:
        """The drain's grace where an agent answers."""
        self.timeouts = agent_timeouts(grace)
        self.backoff.most = self.timeouts.pause

    @property
    def url(self) -> str:
        return url(self.address)

    async def get(self, params: Params, limit: float) -> bool:
        """Whether it brought anything new."""
        asked, last = self.address, self.version
        listing = await self.call(self.fetcher, asked, params, limit, self.early)
        if asked == self.address:  # else it moved meanwhile, and its versions are others
            if params and listing.hosts.mode == "delta" and listing.hosts.version < (last or 0):
                raise ValueError(f"changes up to version {listing.hosts.version}, where {last} was known")
            self.check(listing)
            if self.viewing:
                await self.viewing.bring(listing)
            self.take(listing)
            self.heard = monotonic()
            self.answered.set()
        return self.version != last or bool(listing.hosts.endpoints)

    async def call(
        self,
        fetcher: Fetcher,
        address: Address,
        params: Params,
        limit: float,
        early: Callable[[Listing], None] | None = None,
    ) -> Listing:
        """A list as it is told, without effect but for what `early` gets of it."""
        if self.viewing:
            return await self.viewing.ask(fetcher, address, PATH, query(params), limit, early)
        return await ask(fetcher, address, params, limit)

    def early(self, listing: Listing) -> None:
        """What a whole list says beside its hosts, or drains out of it, before the rest of it is read."""
        self.check(listing)
        if listing.hosts.endpoints:
            self.told(replace(listing, hosts=replace(listing.hosts, mode="delta")))

    def check(self, listing: Listing) -> None:
        """Raises what speaks against a list."""

    def take(self, listing: Listing) -> None:
        self.version = listing.hosts.version
        if self.viewing:
            older = self.is_older(listing)
            listing = self.viewing.take(listing, lambda host: self.counts(host, older), list(self.leaving))
        self.note(listing)
        self.told(self.remember(listing))

    def note(self, listing: Listing) -> None:
        """A list that counts."""

    def begin(self, listing: Listing) -> Listing:
        """What is known from before, as it counts here."""
        return self.remember(self.viewing.cut(listing) if self.viewing else listing)

    def is_older(self, listing: Listing) -> bool:
        return listing.hosts.mode != "delta" and listing.hosts.version <= self.last

    def remember(self, listing: Listing) -> Listing:
        """The list as it counts here."""
        told, older = listing.hosts, self.is_older(listing)
        hosts = tuple(self.counts(host, older) for host in told.endpoints)
        while len(self.leaving) > LEAVING_MOST:
            del self.leaving[next(iter(self.leaving))]
        self.last = told.version
        return replace(listing, hosts=replace(told, endpoints=hosts))

    def counts(self, host: api.Endpoint, older: bool) -> api.Endpoint:
        """A host as it counts here. A whole list that is no newer than the last, as another address or a
        service that lags may tell it, does not bring back one that was told to leave and has not started
        since."""
        if host.state != "up":
            self.leaving.pop(host.id, None)
            self.leaving[host.id] = host.started_at
        elif older and host.started_at <= self.leaving.get(host.id, -1.0):
            return replace(host, state="leaving")
        else:
            self.leaving.pop(host.id, None)
        return host

    def holds(self, host: str) -> bool:
        """Whether a host may be there that the module is not told of."""
        return bool(self.viewing) and self.viewing.holds(host)

    def widen(self, size: int) -> None:
        """The view shall have so many hosts that are up, as far as its bound allows."""
        if self.viewing and self.viewing.resize(size):
            self.shift()

    def place(self, index: int, zone: str) -> None:
        """Where the view is taken from here on."""
        if self.viewing and self.viewing.move(index, zone):
            self.shift()

    def shift(self) -> None:
        """The view is another one. It is told in a turn of its own, as the module may be in the middle of
        one."""
        if self.viewing.shelf is None:
            self.fetch()
        elif self.shifting is None:
            self.shifting = asyncio.get_running_loop().call_soon(self.shifted)

    def shifted(self) -> None:
        self.shifting = None
        if self.viewing.reading:  # a list that counts once it is whole
            self.shifting = asyncio.get_running_loop().call_later(TURN, self.shifted)
        elif self.viewing.shelf is not None:  # else another service told a view meanwhile
            listing = self.viewing.shift(Listing(api.EndpointList("delta", self.last, ()), {}))
            self.note(listing)
            self.told(self.remember(listing))

    def age(self) -> float | None:
        """Seconds since the last answer; None: there was none."""
        return None if self.heard is None else monotonic() - self.heard

    def told_of(self) -> dict[str, Any]:
        """What operators see of the list."""
        age = self.age()
        return {
            "version": self.version,
            "age": None if age is None else round(age, 1),
            "from": self.url,
            "failures": self.backoff.fails,
            **({"view": self.viewing.told_of()} if self.viewing else {}),
        }

    def watch_call(self) -> tuple[Params, float]:
        """A watch from the last list on, and the seconds after which it is broken."""
        wait = self.timeouts.again if self.backoff.fails else self.timeouts.wait
        limit = wait + self.rng.uniform(*self.timeouts.late) if wait else self.timeouts.answer
        return {"index": self.version or 0, "wait": int(wait * 1000)}, limit

    async def attempt(self, params: Params, limit: float) -> bool:
        """Whether the call was answered by a list."""
        began, wait = monotonic(), int(params.get("wait", 0)) / 1000
        try:
            fresh = await self.get(params, limit)
        except Exception as err:  # whatever it is, the watch must outlive it
            unreadable = isinstance(err, ValueError)
            # When a watch is given up was drawn; what cannot be read was spoilt on its way to this gateway.
            silent = isinstance(err, TimeoutError) and not self.backoff.fails
            self.local_failure = silent or unreadable and not self.spoilt
            self.spoilt = unreadable
            broke = wait > 0 and isinstance(err, OSError | Broken) and not isinstance(err, TimeoutError)
            self.unknown = monotonic() if broke else began  # up to its end a watch would have told
            if unreadable:  # what changed there is in the whole list
                self.version = None
            if not self.backoff.fails:
                self.odd.say(
                    logging.WARNING,
                    "discovery: %s %s; the last list stays, asking again with pauses",
                    type(err).__name__,
                    err,
                )
            self.failed()
            return False
        if self.backoff.fails:
            self.back.say(logging.INFO, "discovery: answers again after %d failures", self.backoff.fails)
            self.backoff.fails = 0
        self.spoilt = False
        if not fresh and monotonic() - began < wait / 2:
            await asyncio.sleep(EARLY)
        return True

    def immediate(self, now: float) -> bool:
        """Whether the call after one that failed comes at once. It does where what follows a silence is
        spoilt, too: the silence has taken up the time."""
        if not self.local_failure or self.backoff.fails != 2 and now - self.last_immediate < AT_ONCE:
            return False
        self.last_immediate = now
        return True

    def due(self) -> float:
        """Seconds in which the call after one that failed has to come; half of them after the first failure,
        as the next may fail, too."""
        left = max(0.0, self.timeouts.told - (monotonic() - self.unknown))
        return left if self.backoff.fails else left / 2

    async def run(self, pause: float) -> None:
        if self.waits or self.version is not None:  # what is known serves meanwhile
            await asyncio.sleep(pause)
        while True:
            if self.version is None:
                done = await self.attempt({}, self.timeouts.answer)
            else:  # at once after the last answer: past 200 ms it would be a new watch
                done = await self.attempt(*self.watch_call())
            if not done:
                pause = self.backoff.pause(self.due())
                if not self.immediate(monotonic()):
                    await asyncio.sleep(pause)

    def watch(self, on: bool, pause: float | None = None) -> None:
        if on and self.watching is None:
            pause = self.backoff.start() if pause is None else pause
            self.watching = asyncio.get_running_loop().create_task(self.run(pause))
        elif not on and self.watching is not None:
            self.watching.cancel()
            self.watching = None

    def restart(self) -> None:
        """The watch begins anew: its call, if one is out, is given up before the next is made."""
        if self.watching is not None:
            self.watch(False)
            self.watch(True, 0.0)

    def move(self, address: Address, listing: Listing | None = None) -> None:
        """To another address: a watch begins again there, from the list that was got there already or else
        with the whole one."""
        self.address, self.version = address, None
        if listing is not None:
            self.take(listing)
        self.restart()

    def fetch(self) -> None:
        """The whole list, in place of the call that is out."""
        self.version = None
        self.restart()

    async def first(self) -> None:
        """Until the first answer, for no longer than one that is there takes."""
        with suppress(TimeoutError):
            async with asyncio.timeout(self.timeouts.late[1]):
                await self.answered.wait()
        if self.viewing and self.viewing.reading:  # it is there
            with suppress(TimeoutError):
                async with asyncio.timeout(ANSWER):
                    await self.answered.wait()

    async def contact(self, address: Address) -> Listing:
        """The whole list as it is told at another address, without effect here. Raises what went wrong."""
        fetcher = Fetcher()
        try:
            return await self.call(fetcher, address, {}, ANSWER)
        finally:
            fetcher.close()

    async def close(self) -> None:
        self.watch(False)
        if self.shifting is not None:
            self.shifting.cancel()
        self.fetcher.close()
