"""How a configuration comes into force: check, prepare, commit, then confirmed or rolled back.

One way for all: SIGHUP, an operator's call, a rollback, the process beside this one in an upgrade. Prepare
gets all that can fail and has no effect; its last step writes the history, and the commit follows in the same
turn of the loop. The history is the word of a gateway's processes to each other: each follows what is newer.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import logging
from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass, field, replace
from pathlib import Path
from typing import Any

from api_gateway.base.endpoint_list import Listing, write_address
from api_gateway.base.errors import ConfigError, in_one_line
from api_gateway.control import config_schema as keys
from api_gateway.control.host_overrides import Kept
from api_gateway.gateway.config import Config, rebuild, reread_config
from api_gateway.policy import Gateway

PREPARE_WITHIN = 3.0  # s
TICK = 0.002  # s past the end of a time: the loop's timers may fire early
MOST_VERSIONS = 20  # that the history holds
MOST_BYTES = 1024 * 1024  # of the history; the version in force and the one before it stay whatever they take
CONFIRM_LEAST, CONFIRM_MOST = 1.0, 3600.0  # s
BY = ("start", "signal", "call", "rollback", "expiry")

log = logging.getLogger(__name__)

Tree = dict[str, Any]


class Refused(Exception):
    """A change that does not happen: the status of the answer, and what it says."""

    def __init__(self, status: int, text: str, **told: Any) -> None:
        super().__init__(text)
        self.status, self.told = status, {"error": text, **told}


class Torn(ValueError):
    """What stands in the history is none."""


@dataclass(frozen=True, slots=True)
class Version:
    number: int
    digest: str
    since: float  # Unix time
    by: str
    content: Tree
    of: int | None = None  # the version that came back by a rollback
    text: str = field(default="", compare=False)  # the content as JSON, made once

    def written(self) -> str:
        return json.dumps([self.number, self.digest, self.since, self.by, self.of])[:-1] + f", {self.text}]"

    def told(self) -> Tree:
        return {
            "version": self.number,
            "digest": self.digest,
            "since": round(self.since, 3),
            "by": self.by,
            **({"of": self.of} if self.of is not None else {}),
        }


@dataclass(frozen=True, slots=True)
class Pending:
    """`number` goes back to `back` unless it is confirmed before `until`."""

    number: int
    back: int
    until: float


@dataclass(frozen=True, slots=True)
class History:
    file: str  # digest of what the file said when it was last taken
    versions: tuple[Version, ...]
    pending: Pending | None = None

    @property
    def newest(self) -> Version:
        return self.versions[-1]

    def find(self, number: int) -> Version | None:
        return next((v for v in self.versions if v.number == number), None)

    def add(self, content: Tree, since: float, by: str, of: int | None = None) -> History:
        """With one version more; the oldest go where there are too many."""
        versions = [*self.versions, version(self.newest.number + 1, since, by, content, of)][-MOST_VERSIONS:]
        while len(versions) > 2 and sum(len(v.text) for v in versions) > MOST_BYTES:
            del versions[0]
        return replace(self, versions=tuple(versions), pending=None)

    def text(self) -> str:
        head = json.dumps([self.file, self.pending and asdict(self.pending)])[:-1]
        return f"{head}, [{', '.join(v.written() for v in self.versions)}]]"


def version(number: int, since: float, by: str, content: Tree, of: int | None = None) -> Version:
    text = json.dumps(content, sort_keys=True)
    return Version(number, digest(text), since, by, content, of, text)


def read_history(text: str) -> History:
    """Raises Torn unless it is what History.text() makes."""
    try:
        file, waits, told = json.loads(text)
        versions = tuple(
            version(number, since, by, content, of) for number, _, since, by, of, content in told
        )
        pending = Pending(**waits) if waits else None
        numbers = [v.number for v in versions]
        sound = bool(numbers) and all(type(v.number) is int and keys.is_number(v.since) for v in versions)
        sound = (
            sound
            and numbers == sorted(set(numbers))
            and isinstance(file, str)
            and all(
                v.by in BY
                and isinstance(v.content, dict)
                and v.digest == entry[1]
                and (v.of is None or type(v.of) is int)
                for v, entry in zip(versions, told, strict=True)
            )
        )
        sound = sound and (
            pending is None
            or (pending.number == numbers[-1] and pending.back in numbers and keys.is_number(pending.until))
        )
    except (ValueError, TypeError, KeyError, AttributeError, RecursionError) as err:
        raise Torn(f"not a history: {type(err).__name__} {err}") from err
    if not sound:
        raise Torn("not a history")
    return History(file, versions, pending)


def digest(text: str) -> str:
    return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()


def content(config: Config) -> Tree:
    """What of a configuration may change: as it is in force, whether the file or the environment gave it."""
    told = {
        "discovery": write_address(config.discovery),
        "limits": config.tree["limits"],
        "settings": config.tree["settings"],
    }
    return told | ({"counter": write_address(config.counter)} if config.counter else {})


def filed(config: Config) -> str:
    told = {name: config.tree.get(name) for name in keys.CAN_CHANGE}
    return digest(json.dumps(told, sort_keys=True))


@dataclass(slots=True)
class Change:
    """What a prepare is for, and what it has got."""

    fresh: Config
    last: Config
    history: History  # from which it goes on
    by: str
    of: int | None = None
    within: float | None = None  # s until it must be confirmed
    listing: Listing | None = None  # what a new discovery tells


class Changes:
    """`node` has config, state, clock(), later(delay, act) and adopt(config, listing), and what steps use."""

    def __init__(self, node: Any, folder: Path | None) -> None:
        self.node = node
        self.kept = Kept(folder / f"{node.config.name}-config.json" if folder else None)
        self.current = version(1, node.clock(), "start", content(node.config))  # in force in this process
        self.history = History(filed(node.config), (self.current,))
        self.preparing = False
        self.timer: asyncio.TimerHandle | None = None

    # The history, and what others wrote there

    def begin(self) -> None:
        """Goes on from the version that this gateway's last or other process has in force, unless what the
        start gave has changed since."""
        own = self.history
        try:
            with self.kept.locked():
                found = self.read()
                if found is None:
                    self.write(own)
                elif found.file != own.file or (
                    found.newest.by == "start" and found.newest.content != self.current.content
                ):
                    found = replace(found, file=own.file)
                    found = found.add(self.current.content, self.node.clock(), "start")
                    self.write(found)
        except OSError as err:
            log.error("%s: %s; the history is not kept", self.kept.path, err)
        else:
            self.enter(found or own)

    def read(self) -> History | None:
        try:
            text = self.kept.read()
            return None if text is None else read_history(text)
        except (OSError, ValueError) as err:
            log.error("%s: %s; the version in force stays", self.kept.path, err)
            return None

    def write(self, history: History) -> None:
        self.kept.write(history.text())

    def look(self) -> None:
        """Follows what another process has brought into force."""
        if self.kept.changed() and (found := self.read()) is not None:
            self.enter(found)

    def enter(self, history: History) -> None:
        """Takes a history as this process's own, and its newest version into force. What a start took from a
        changed file is for that process alone, until a change comes after it."""
        fresh, own = history.newest, self.history
        self.history = history
        if fresh != self.current and (fresh.by != "start" or fresh.content == self.current.content):
            try:
                config = self.config_of(fresh.content)
            except ConfigError as err:  # another version of the program wrote it
                log.error("%s; version %d stays in force", err, self.current.number)
                self.history = own
                return
            self.commit(config, fresh, None)
        self.arm()

    def config_of(self, told: Tree) -> Config:
        """Raises ConfigError where it makes none."""
        with in_one_line("configuration"):
            return rebuild(self.node.config, {**self.node.config.tree, **told})

    def commit(self, config: Config, version: Version, listing: Listing | None) -> None:
        """In one turn of the loop, between two events; nothing here can fail."""
        last, self.current = self.current, version
        if list(keys.differences(last.content, version.content)):
            self.node.adopt(config, listing)
        log.info(
            "version %d is in force, by %s: %d classes, %d plans, discovery at %s",
            version.number,
            version.by,
            len(config.settings.classes),
            len(config.settings.plans),
            write_address(config.discovery),
        )

    # What operators ask

    def status(self) -> Tree:
        self.look()
        pending, newest = self.history.pending, self.history.newest.number
        return {
            **self.current.told(),
            **({"newest": newest} if newest != self.current.number else {}),
            "pending": pending
            and {
                "version": pending.number,
                "back": pending.back,
                "left": round(max(0.0, pending.until - self.node.clock()), 1),
            },
        }

    def whole(self) -> Tree:
        """With the configuration itself, to make a candidate from."""
        return {**self.status(), "config": self.current.content}

    def told(self) -> list[Tree]:
        self.look()
        waits = self.history.pending and self.history.pending.number
        return [
            {**v.told(), "in_force": v == self.current, "pending": v.number == waits}
            for v in self.history.versions
        ]

    def check(self, body: bytes) -> Tree:
        """The candidate. Raises Refused with each fault."""
        self.look()
        tree, faults = keys.parse(body)
        if not faults:
            faults = keys.check(tree, {**self.node.config.tree, **self.current.content})
        if not faults:
            tree = {name: tree[name] for name in keys.CAN_CHANGE if name in tree}
            try:
                self.config_of(tree)
            except ConfigError as err:
                faults = [keys.Fault("", None, str(err))]
        if faults:
            raise Refused(400, f"{len(faults)} faults", faults=[f.told() for f in faults[: keys.MOST_TOLD]])
        return tree

    def differences(self, tree: Tree) -> list[Tree]:
        return list(keys.differences(self.current.content, tree))

    def same(self, tree: Tree) -> bool:
        return self.current == self.history.newest and not self.differences(tree)

    async def apply(self, body: bytes, expect: int, within: float | None) -> Tree:
        tree = self.check(body)
        if self.same(tree):
            return {**self.status(), "changed": False}
        if expect != self.history.newest.number:
            raise Refused(409, f"version {self.history.newest.number} came first")
        if self.history.pending is not None:
            raise Refused(409, f"version {self.history.pending.number} waits for its confirmation")
        return await self.change(tree, "call", within=within)

    async def roll_back(self, to: int) -> Tree:
        self.look()
        found = self.history.find(to)
        if found is None:
            raise Refused(404, f"the history holds no version {to}")
        tree = self.check(json.dumps(found.content).encode())
        if self.same(tree):
            return {**self.status(), "changed": False}
        return await self.change(tree, "rollback", of=to)

    def confirm(self, number: int) -> Tree:
        self.look()
        pending = self.history.pending
        if pending is not None and pending.number == number and self.node.clock() >= pending.until:
            self.expire()
            pending = None
        if pending is not None and pending.number == number:
            with self.kept.locked():
                self.look()
                if self.history.pending == pending:
                    confirmed = replace(self.history, pending=None)
                    self.write(confirmed)
                    self.enter(confirmed)
                    log.info("version %d is confirmed", number)
        if self.history.newest.number != number or self.history.pending is not None:
            raise Refused(409, f"version {number} does not wait for a confirmation")
        return self.status()

    # The change itself

    async def change(self, tree: Tree, by: str, of: int | None = None, within: float | None = None) -> Tree:
        if self.node.state == "stopping":
            raise Refused(409, "this process is at its end")
        if self.preparing:
            raise Refused(409, "another change is being prepared")
        change = Change(self.config_of(tree), self.node.config, self.history, by, of, within)
        self.preparing = True
        try:
            await self.prepare(change)
        finally:
            self.preparing = False
        self.commit(change.fresh, self.history.newest, change.listing)  # still the turn of the last step
        self.arm()
        return {**self.status(), "changed": True}

    async def prepare(self, change: Change) -> None:
        """Raises Refused, and has had no effect then."""
        step = ""
        try:
            async with asyncio.timeout(PREPARE_WITHIN):
                for step in STEPS:  # noqa: B007
                    await STEPS[step](self, change)
        except Refused:
            raise
        except TimeoutError as err:
            raise Refused(
                503, f"{step}: nothing within {PREPARE_WITHIN:.0f} s; nothing changes", step=step
            ) from err
        except Exception as err:  # whatever went wrong there, the answer says so
            raise Refused(503, f"{step}: {type(err).__name__} {err}; nothing changes", step=step) from err

    def write_down(self, change: Change) -> None:
        """The last step, and the turn of the commit: whoever dies from here on has left its word."""
        if self.node.state == "stopping":
            raise Refused(409, "this process is at its end")
        with self.kept.locked():
            self.look()
            if self.history is not change.history:
                raise Refused(409, f"version {self.history.newest.number} came first")
            now = self.node.clock()
            fresh = self.history.add(content(change.fresh), now, change.by, change.of)
            if change.within is not None:
                number = fresh.newest.number
                fresh = replace(fresh, pending=Pending(number, number - 1, now + change.within))
            self.write(fresh)
            self.history = fresh

    def signal(self) -> None:
        """After SIGHUP the file's word holds, whatever waits for a confirmation or is being prepared."""
        try:
            fresh = reread_config(self.node.config)
        except ConfigError as err:
            log.error("SIGHUP: %s; nothing changes", err)
            return
        log.info(
            "SIGHUP: %d classes, %d plans, discovery at %s",
            len(fresh.settings.classes),
            len(fresh.settings.plans),
            write_address(fresh.discovery),
        )
        if fresh.counter and not self.node.config.counter:
            log.warning("SIGHUP: a counter that comes needs a new process; there is none until then")
        told = content(fresh)

        def add(own: History) -> History:
            own = replace(own, file=filed(fresh), pending=None)
            known = self.current == own.newest and not list(keys.differences(own.newest.content, told))
            return own if known else own.add(told, self.node.clock(), "signal")

        self.history = self.record(add)
        self.commit(fresh, self.history.newest, None)
        self.arm()

    def record(self, make: Callable[[History], History]) -> History:
        """What `make` makes of the newest history. What cannot be kept holds in this process all the same."""
        made = None
        try:
            with self.kept.locked():
                self.look()
                made = make(self.history)
                self.write(made)
        except OSError as err:
            log.error("%s: %s; the history is not kept", self.kept.path, err)
        return made or make(self.history)

    def arm(self) -> None:
        """For the end of the time in which a version must be confirmed."""
        if self.timer is not None:
            self.timer.cancel()
        pending, self.timer = self.history.pending, None
        if pending is not None:
            left = max(0.0, pending.until - self.node.clock())
            self.timer = self.node.later(left + TICK, self.expire)

    def expire(self) -> None:
        """Back to what was in force before, with no contact first: it worked, and the change may be what cut
        the operator off."""

        def undo(own: History) -> History:
            pending = own.pending
            if pending is None or self.node.clock() < pending.until:
                return own
            back = own.find(pending.back)
            assert back is not None  # the newest but one, which a history keeps
            log.warning("version %d was not confirmed in time", pending.number)
            return own.add(back.content, self.node.clock(), "expiry", pending.back)

        self.enter(self.record(undo))

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()


# What a change needs, in the order in which it is got. None has an effect that outlasts a failure.


async def module(changes: Changes, change: Change) -> None:
    """The module takes the change on a trial of its own."""
    trial = Gateway(change.last.settings, 1, changes.node.clock())
    trial.retune(changes.node.clock(), change.fresh.settings)


async def room(changes: Changes, change: Change) -> None:
    """Smaller limits hold what is there."""
    short = changes.node.short_of(change.fresh)
    if short:
        raise Refused(409, f"{short}; nothing changes", step="room")


async def discovery(changes: Changes, change: Change) -> None:
    if change.fresh.discovery != change.last.discovery:
        change.listing = await changes.node.discovery.contact(change.fresh.discovery)


async def counter(changes: Changes, change: Change) -> None:
    if change.fresh.counter is not None and change.fresh.counter != change.last.counter:
        await changes.node.counter.contact(change.fresh.counter)


async def history(changes: Changes, change: Change) -> None:
    changes.write_down(change)


STEPS: dict[str, Callable[[Changes, Change], Awaitable[None]]] = {
    "module": module,
    "room": room,
    "discovery": discovery,
    "counter": counter,
    "history": history,
}
