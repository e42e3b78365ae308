"""Checks two processes of one gateway against a model of which configuration must be in force in each.

The operations are seeded random sequences of calls, signals, crashes and elapsed time. The clock and the
timers are simulated; the history is a real file.
"""

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

UNREACHABLE_ADDRESS = "127.0.0.1:1"
SEEDS = range(30)
OPERATION_COUNT = 120
OPERATIONS = (
    ["apply"] * 6 + ["confirm", "back", "time", "start"] * 2 + ["signal", "broken", "bad", "die", "file"]
)


class Killed(BaseException):
    """Simulates the death of a process."""


class FakeNode:
    """The parts of a gateway node that ConfigChanges uses."""

    def __init__(self, world, env):
        self.world, self.config, self.state = world, read_config(env), "active"
        self.timers, self.discovery, self.counter = [], self, self

    def clock(self):
        return self.world.now

    def call_later(self, delay, callback):
        return Timer(self.world.now + delay, callback, self.timers)

    def adopt_config(self, config, listing):
        self.config = config

    def capacity_shortage(self, config):
        return ""

    async def fetch_list_from(self, address):
        if address[1] == 1:
            raise ConnectionRefusedError("nobody there")

    ping = fetch_list_from


class Timer:
    def __init__(self, due_at, callback, timers):
        self.due_at, self.callback, self.timers = due_at, callback, timers
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
        while due := [timer for timer in self.node.timers if timer.due_at <= self.node.clock()]:
            due[0].cancel()
            due[0].callback()


class World:
    """Two processes, each running or dead, and the configuration file that they read at start."""

    def __init__(self, folder, monkeypatch):
        self.folder, self.now = folder, 1000.0
        self.path = folder / "file.json"
        self.env = {"RELAY_CONFIG": str(self.path)}
        monkeypatch.setenv("RELAY_CONFIG", str(self.path))
        self.write(1)
        self.processes = [Process(self, self.env), None]

    def tree(self, rate, is_unreachable=False):
        tree = json.loads(json.dumps(gateway_config([], 7, 8)))
        tree["settings"]["plans"][0]["rate"] = float(rate)
        tree["discovery"] = UNREACHABLE_ADDRESS if is_unreachable else tree["discovery"]
        return tree

    def write(self, rate):
        self.path.write_text(json.dumps(self.tree(rate)))


class Model:
    """The expected state. A content is identified by its rate and by whether its discovery is unreachable."""

    def __init__(self):
        self.versions, self.newest, self.origin, self.pending = {1: (1, False)}, 1, "start", None
        self.file_content = self.stored_file_content = (1, False)
        self.in_force = [(1, 1, False), None]  # (version, rate, is_unreachable) of each process

    def add(self, content, origin, pending=None):
        self.newest += 1
        self.versions[self.newest], self.origin, self.pending = content, origin, pending
        self.versions.pop(self.newest - MAX_VERSIONS, None)
        self.follow()

    def follow(self):
        content = self.versions[self.newest]
        self.in_force = [
            in_force
            and ((self.newest, *content) if self.origin != "start" or in_force[1:] == content else in_force)
            for in_force in self.in_force
        ]

    def is_in_force(self, index, content):
        return self.in_force[index] == (self.newest, *content)

    def change(self, index, content, origin, confirm_within=None, now=0.0):
        if content[1] and not self.in_force[index][2]:
            return 503
        self.add(content, origin, confirm_within and (self.newest + 1, self.newest, now + confirm_within))
        return 200

    def apply(self, index, content, expected_version, confirm_within, now):
        if self.is_in_force(index, content):
            return 200
        if expected_version != self.newest or self.pending:
            return 409
        return self.change(index, content, "call", confirm_within, now)

    def roll_back(self, index, to):
        if to not in self.versions:
            return 404
        content = self.versions[to]
        return 200 if self.is_in_force(index, content) else self.change(index, content, "rollback")

    def confirm(self, number):
        if self.pending and self.pending[0] == number:
            self.pending = None
        return 200 if number == self.newest and not self.pending else 409

    def signal(self, index):
        self.stored_file_content, self.pending = self.file_content, None
        if not self.is_in_force(index, self.file_content):
            self.add(self.file_content, "signal")

    def start(self, index):
        content = self.versions[self.newest]
        self.in_force[index] = (self.newest, *content)
        if self.file_content != self.stored_file_content or (
            self.origin == "start" and content != self.file_content
        ):
            self.stored_file_content = self.file_content
            self.newest += 1
            self.versions[self.newest], self.origin, self.pending = self.file_content, "start", None
            self.versions.pop(self.newest - MAX_VERSIONS, None)
            self.in_force[index] = (self.newest, *self.file_content)
        self.follow()

    def pass_time(self, now):
        if self.pending and now >= self.pending[2] and any(self.in_force):
            self.add(self.versions[self.pending[1]], "expiry")


async def status_of(call):
    """Return the HTTP status that an operator would get."""
    try:
        result = call()
        if asyncio.iscoroutine(result):
            await result
    except ChangeRejectedError as err:
        return err.status
    return 200


async def run_operations(seed, folder, monkeypatch, operation_count=OPERATION_COUNT):
    rng, world, model = random.Random(seed), World(folder, monkeypatch), Model()
    seen = set()
    for _ in range(operation_count):
        running = [n for n, process in enumerate(world.processes) if process]
        operation = rng.choice(OPERATIONS)
        index = rng.choice(running) if running else 0
        changes = world.processes[index].changes if running else None
        if operation == "start" or not running:
            index = next((n for n, process in enumerate(world.processes) if not process), None)
            if index is not None:
                world.processes[index] = Process(world, world.env)
                model.start(index)
        elif operation == "apply":
            content = (rng.randint(1, 6), rng.random() < 0.15)
            expected_version = model.newest if rng.random() < 0.8 else rng.randint(0, model.newest)
            confirm_within, is_killed = rng.choice([None, None, 5.0]), rng.random() < 0.1
            text = json.dumps(world.tree(*content)).encode()
            if is_killed:
                changes.commit = lambda *_: (_ for _ in ()).throw(Killed)
            try:
                status = await status_of(
                    lambda c=changes, a=(text, expected_version, confirm_within): c.apply(*a)
                )
                expected_status = model.apply(index, content, expected_version, confirm_within, world.now)
                assert status == expected_status, (seed, operation, status, expected_status)
            except Killed:
                model.in_force[index] = world.processes[index] = None
                # It may also die while polling, when it adopts a version that the other process has written.
                found = decode_history((folder / "n0-config.json").read_text())
                if found.newest.number > model.newest:
                    model.add(
                        content,
                        "call",
                        confirm_within and (model.newest + 1, model.newest, world.now + confirm_within),
                    )
            else:
                vars(changes).pop("commit", None)
            seen.add((operation, status if not is_killed else "died"))
        elif operation == "confirm":
            number = model.newest - rng.choice([0, 0, 0, 1])
            status, expected_status = (
                await status_of(lambda c=changes, n=number: c.confirm(n)),
                model.confirm(number),
            )
            assert status == expected_status, (seed, operation, status, expected_status)
            seen.add((operation, status))
        elif operation == "back":
            to = rng.randint(max(0, model.newest - 25), model.newest + 1)
            status, expected_status = (
                await status_of(lambda c=changes, t=to: c.roll_back(t)),
                model.roll_back(index, to),
            )
            assert status == expected_status, (seed, operation, status, expected_status)
            seen.add((operation, status))
        elif operation == "bad":
            text = json.dumps(world.tree(-1) if rng.random() < 0.5 else {"settings": 5}).encode()
            assert await status_of(lambda c=changes, t=text: c.apply(t, model.newest, None)) == 400
        elif operation == "file":
            model.file_content = (rng.randint(1, 6), False)
            world.write(model.file_content[0])
        elif operation == "signal":
            changes.reload()
            model.signal(index)
        elif operation == "broken":
            world.path.write_text("{")
            changes.reload()
            world.write(model.file_content[0])
        elif operation == "die":
            world.processes[index] = model.in_force[index] = None
        elif operation == "time":
            world.now += rng.choice([0.5, 3.0, 6.0])
        for process in filter(None, world.processes):
            process.run_timers()
        model.pass_time(world.now)
        for process in filter(None, world.processes):
            process.changes.poll()
        assert_matches_model(seed, world, model)
    return seen


def assert_matches_model(seed, world, model):
    for process, expected in zip(world.processes, model.in_force, strict=True):
        if not process:
            continue
        changes, config = process.changes, process.node.config
        actual = (changes.current.number, config.settings.plans["p"].rate, config.discovery[1] == 1)
        assert actual == expected, (seed, actual, expected)
        assert changeable_content(config) == changes.current.content
        assert [v.number for v in changes.history.versions] == sorted(model.versions)
        pending = changes.history.pending
        assert (pending and (pending.number, pending.previous, pending.deadline)) == model.pending, seed
        assert (pending is None) == (not process.node.timers)


def run(seed, folder, monkeypatch, operation_count=OPERATION_COUNT):
    return asyncio.run(run_operations(seed, folder, monkeypatch, operation_count))


@pytest.mark.parametrize("seed", SEEDS)
def test_config_in_force_matches_the_model(seed, scratch, monkeypatch):
    seen = run(seed, scratch, monkeypatch)
    assert ("apply", 200) in seen and ("apply", 409) in seen


def planted_no_look(monkeypatch):
    monkeypatch.setattr(ConfigChanges, "poll", lambda self: None)


def planted_no_expect(monkeypatch):
    apply = ConfigChanges.apply

    def apply_to_any_version(self, body, expected_version, confirm_within):
        self.poll()
        return apply(self, body, self.history.newest.number, confirm_within)

    monkeypatch.setattr(ConfigChanges, "apply", apply_to_any_version)


def planted_history_written_after_the_commit(monkeypatch):
    save, commit = ConfigHistoryFile.save, ConfigChanges.commit

    def commit_and_save(self, config, version, listing):
        commit(self, config, version, listing)
        save(self.history_file, self.history)

    def save_first_only(self, history):
        if not self.path.exists():
            save(self, history)

    monkeypatch.setattr(ConfigHistoryFile, "save", save_first_only)
    monkeypatch.setattr(ConfigChanges, "commit", commit_and_save)


def planted_no_timer_after_a_start(monkeypatch):
    start, schedule = ConfigChanges.start, ConfigChanges.schedule_expiry

    def start_without_timer(self):
        monkeypatch.setattr(ConfigChanges, "schedule_expiry", lambda self: None)
        start(self)
        monkeypatch.setattr(ConfigChanges, "schedule_expiry", schedule)

    monkeypatch.setattr(ConfigChanges, "start", start_without_timer)


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
