"""Seeded sequences of calls, signals, deaths and times gone by, over two processes of one gateway, against a
small model of what must be in force in each. Clock and timers are the test's; the history is a real file."""

import asyncio
import json
import random

import pytest
from netkit import gateway_config

from api_gateway.control.config_changes import ConfigChanges
from api_gateway.control.config_history import MAX_VERSIONS, ConfigHistoryFile, decode_history
from api_gateway.control.config_preparation import changeable_content
from api_gateway.control.errors import ChangeRejectedError
from api_gateway.gateway.config import read_config

DEAD = "127.0.0.1:1"
SEEDS = range(30)
OPS = 120
CHOICES = (
    ["apply"] * 6 + ["confirm", "back", "time", "start"] * 2 + ["signal", "broken", "bad", "die", "file"]
)


class Killed(BaseException):
    """A process dies here."""


class FakeNode:
    """What ConfigChanges needs of a gateway."""

    def __init__(self, world, env):
        self.world, self.config, self.state = world, read_config(env), "active"
        self.timers, self.discovery, self.counter = [], self, self

    def clock(self):
        return self.world.now

    def call_later(self, delay, act):
        return Timer(self.world.now + delay, act, self.timers)

    def adopt_config(self, config, listing):
        self.config = config

    def capacity_shortage(self, config):
        return ""

    async def fetch_list_from(self, address):
        if address[1] == 1:
            raise ConnectionRefusedError("nobody there")

    ping = fetch_list_from


class Timer:
    def __init__(self, at, act, timers):
        self.at, self.act, self.timers = at, act, timers
        timers.append(self)

    def cancel(self):
        if self in self.timers:
            self.timers.remove(self)


class Process:
    def __init__(self, world, env):
        self.node = FakeNode(world, env)
        self.changes = ConfigChanges(self.node, world.folder)
        self.changes.start()

    def run_timers(self):
        while due := [t for t in self.node.timers if t.at <= self.node.clock()]:
            due[0].cancel()
            due[0].act()


class World:
    """Two processes, each of which may be dead, and the file that they start from."""

    def __init__(self, folder, monkeypatch):
        self.folder, self.now = folder, 1000.0
        self.path = folder / "file.json"
        self.env = {"RELAY_CONFIG": str(self.path)}
        monkeypatch.setenv("RELAY_CONFIG", str(self.path))
        self.write(1)
        self.processes = [Process(self, self.env), None]

    def tree(self, rate, dead=False):
        tree = json.loads(json.dumps(gateway_config([], 7, 8)))
        tree["settings"]["plans"][0]["rate"] = float(rate)
        tree["discovery"] = DEAD if dead else tree["discovery"]
        return tree

    def write(self, rate):
        self.path.write_text(json.dumps(self.tree(rate)))


class Model:
    """What must be in force. A content is known by its rate, and by whether its discovery is dead."""

    def __init__(self):
        self.versions, self.newest, self.by, self.pending = {1: (1, False)}, 1, "start", None
        self.file = self.filed = (1, False)
        self.own = [(1, 1, False), None]  # of each process: version, rate, dead

    def add(self, what, by, pending=None):
        self.newest += 1
        self.versions[self.newest], self.by, self.pending = what, by, pending
        self.versions.pop(self.newest - MAX_VERSIONS, None)
        self.follow()

    def follow(self):
        what = self.versions[self.newest]
        self.own = [
            own and ((self.newest, *what) if self.by != "start" or own[1:] == what else own)
            for own in self.own
        ]

    def same(self, p, what):
        return self.own[p] == (self.newest, *what)

    def change(self, p, what, by, within=None, now=0.0):
        if what[1] and not self.own[p][2]:
            return 503
        self.add(what, by, within and (self.newest + 1, self.newest, now + within))
        return 200

    def apply(self, p, what, expect, within, now):
        if self.same(p, what):
            return 200
        if expect != self.newest or self.pending:
            return 409
        return self.change(p, what, "call", within, now)

    def roll_back(self, p, to):
        if to not in self.versions:
            return 404
        what = self.versions[to]
        return 200 if self.same(p, what) else self.change(p, what, "rollback")

    def confirm(self, number):
        if self.pending and self.pending[0] == number:
            self.pending = None
        return 200 if number == self.newest and not self.pending else 409

    def signal(self, p):
        self.filed, self.pending = self.file, None
        if not self.same(p, self.file):
            self.add(self.file, "signal")

    def start(self, p):
        what = self.versions[self.newest]
        self.own[p] = (self.newest, *what)
        if self.file != self.filed or (self.by == "start" and what != self.file):
            self.filed = self.file
            self.newest += 1
            self.versions[self.newest], self.by, self.pending = self.file, "start", None
            self.versions.pop(self.newest - MAX_VERSIONS, None)
            self.own[p] = (self.newest, *self.file)
        self.follow()

    def pass_time(self, now):
        if self.pending and now >= self.pending[2] and any(self.own):
            self.add(self.versions[self.pending[1]], "expiry")


async def answer(coroutine_or_value):
    """The status that an operator would see."""
    try:
        got = coroutine_or_value()
        if asyncio.iscoroutine(got):
            await got
    except ChangeRejectedError as err:
        return err.status
    return 200


async def play(seed, folder, monkeypatch, ops=OPS):
    rng, world, model = random.Random(seed), World(folder, monkeypatch), Model()
    seen = set()
    for _ in range(ops):
        living = [n for n, process in enumerate(world.processes) if process]
        op = rng.choice(CHOICES)
        p = rng.choice(living) if living else 0
        changes = world.processes[p].changes if living else None
        if op == "start" or not living:
            p = next((n for n, process in enumerate(world.processes) if not process), None)
            if p is not None:
                world.processes[p] = Process(world, world.env)
                model.start(p)
        elif op == "apply":
            what = (rng.randint(1, 6), rng.random() < 0.15)
            expect = model.newest if rng.random() < 0.8 else rng.randint(0, model.newest)
            within, dies = rng.choice([None, None, 5.0]), rng.random() < 0.1
            text = json.dumps(world.tree(*what)).encode()
            if dies:
                changes.commit = lambda *_: (_ for _ in ()).throw(Killed)
            try:
                got = await answer(lambda c=changes, a=(text, expect, within): c.apply(*a))
                wanted = model.apply(p, what, expect, within, world.now)
                assert got == wanted, (seed, op, got, wanted)
            except Killed:
                model.own[p] = world.processes[p] = None
                # Its own look may die as well, on the way to a version that the other has written.
                found = decode_history((folder / "n0-config.json").read_text())
                if found.newest.number > model.newest:
                    model.add(what, "call", within and (model.newest + 1, model.newest, world.now + within))
            else:
                vars(changes).pop("commit", None)
            seen.add((op, got if not dies else "died"))
        elif op == "confirm":
            number = model.newest - rng.choice([0, 0, 0, 1])
            got, wanted = await answer(lambda c=changes, n=number: c.confirm(n)), model.confirm(number)
            assert got == wanted, (seed, op, got, wanted)
            seen.add((op, got))
        elif op == "back":
            to = rng.randint(max(0, model.newest - 25), model.newest + 1)
            got, wanted = await answer(lambda c=changes, t=to: c.roll_back(t)), model.roll_back(p, to)
            assert got == wanted, (seed, op, got, wanted)
            seen.add((op, got))
        elif op == "bad":
            text = json.dumps(world.tree(-1) if rng.random() < 0.5 else {"settings": 5}).encode()
            assert await answer(lambda c=changes, t=text: c.apply(t, model.newest, None)) == 400
        elif op == "file":
            model.file = (rng.randint(1, 6), False)
            world.write(model.file[0])
        elif op == "signal":
            changes.reload()
            model.signal(p)
        elif op == "broken":
            world.path.write_text("{")
            changes.reload()
            world.write(model.file[0])
        elif op == "die":
            world.processes[p] = model.own[p] = None
        elif op == "time":
            world.now += rng.choice([0.5, 3.0, 6.0])
        for process in filter(None, world.processes):
            process.run_timers()
        model.pass_time(world.now)
        for process in filter(None, world.processes):
            process.changes.poll()
        agree(seed, world, model)
    return seen


def agree(seed, world, model):
    for process, own in zip(world.processes, model.own, strict=True):
        if not process:
            continue
        changes, config = process.changes, process.node.config
        had = (changes.current.number, config.settings.plans["p"].rate, config.discovery[1] == 1)
        assert had == own, (seed, had, own)
        assert changeable_content(config) == changes.current.content
        assert [v.number for v in changes.history.versions] == sorted(model.versions)
        waits = changes.history.pending
        assert (waits and (waits.number, waits.previous, waits.deadline)) == model.pending, seed
        assert (waits is None) == (not process.node.timers)


def run(seed, folder, monkeypatch, ops=OPS):
    return asyncio.run(play(seed, folder, monkeypatch, ops))


@pytest.mark.parametrize("seed", SEEDS)
def test_what_is_in_force_is_what_the_model_says(seed, scratch, monkeypatch):
    seen = run(seed, scratch, monkeypatch)
    assert ("apply", 200) in seen and ("apply", 409) in seen


def planted_no_look(monkeypatch):
    monkeypatch.setattr(ConfigChanges, "poll", lambda self: None)


def planted_no_expect(monkeypatch):
    apply = ConfigChanges.apply

    def any_version(self, body, expect, within):
        self.poll()
        return apply(self, body, self.history.newest.number, within)

    monkeypatch.setattr(ConfigChanges, "apply", any_version)


def planted_history_written_after_the_commit(monkeypatch):
    save, commit = ConfigHistoryFile.save, ConfigChanges.commit

    def later(self, config, version, listing):
        commit(self, config, version, listing)
        save(self.history_file, self.history)

    def first(self, history):
        if not self.path.exists():
            save(self, history)

    monkeypatch.setattr(ConfigHistoryFile, "save", first)
    monkeypatch.setattr(ConfigChanges, "commit", later)


def planted_no_timer_after_a_start(monkeypatch):
    begin, schedule = ConfigChanges.start, ConfigChanges.schedule_expiry

    def unarmed(self):
        monkeypatch.setattr(ConfigChanges, "schedule_expiry", lambda self: None)
        begin(self)
        monkeypatch.setattr(ConfigChanges, "schedule_expiry", schedule)

    monkeypatch.setattr(ConfigChanges, "start", unarmed)


@pytest.mark.parametrize(
    "bug",
    [
        planted_no_look,
        planted_no_expect,
        planted_history_written_after_the_commit,
        planted_no_timer_after_a_start,
    ],
)
def test_a_planted_bug_is_caught(bug, scratch, monkeypatch):
    bug(monkeypatch)
    caught = 0
    for seed in range(8):
        folder = scratch / str(seed)
        folder.mkdir()
        try:
            run(seed, folder, monkeypatch)
        except AssertionError:
            caught += 1
    assert caught >= 4
