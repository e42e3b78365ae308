"""Scenarios: a timeline of faults with a check at each step, in TOML.

Processes are named as they are in the world: gateway-0, registry, counter, host-0, grantor, meter, holder-0;
patterns such as "gateway-*" name several, and `pick` draws so many of them by the seed.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct, field

from api_gateway.experiments.faults.lines import Treatment

Share = Annotated[float, Meta(ge=0, le=1)]
Seconds = Annotated[float, Meta(ge=0, le=3600)]
Positive = Annotated[float, Meta(gt=0, le=3600)]
Names = Annotated[list[str], Meta(min_length=1)]
Kind = Literal["kill", "pause", "slow", "cut from", "cut to", "cut", "loss", "full disk", "lost disk"]
Count = Annotated[int, Meta(ge=0, le=200)]

SHIPPED = Path(__file__).parent / "scenarios"


class ScenarioError(Exception):
    """The scenario cannot be played; the text says why in one line."""


class Shape(Struct, frozen=True, forbid_unknown_fields=True):
    """What runs. Gateways have a list service, a counter and hosts, and are members of one cluster; holders
    have a grantor of budgets and a meter that counts what they do."""

    gateways: Count = 0
    hosts: Count = 1
    holders: Count = 0
    log: bool = True  # whether the grantor has one


# Checks


class View(Struct, frozen=True, omit_defaults=True, tag="view", tag_field="that", forbid_unknown_fields=True):
    """Each of `by` holds each of `of` for one of `states` (alive, suspect, dead, left, unknown)."""

    by: Names
    of: Names
    states: Names


class Status(
    Struct, frozen=True, omit_defaults=True, tag="status", tag_field="that", forbid_unknown_fields=True
):
    """What GET /status tells at `path` (keys with dots between); one that tells nothing does not fit."""

    of: Names
    path: str
    equals: bool | int | float | str | None = None
    least: float | None = None
    most: float | None = None


class Logged(
    Struct, frozen=True, omit_defaults=True, tag="logged", tag_field="that", forbid_unknown_fields=True
):
    """`text` stands in the log as often as `times` says; not given: at least once."""

    of: Names
    text: str
    times: int | None = None


class Runs(Struct, frozen=True, omit_defaults=True, tag="runs", tag_field="that", forbid_unknown_fields=True):
    of: Names
    runs: bool = True


Check = View | Status | Logged | Runs


# Steps


class Step(Struct, frozen=True, omit_defaults=True, kw_only=True, tag_field="do", forbid_unknown_fields=True):
    """`check` must fit within so many seconds, and then go on fitting for `holds`."""

    check: Check | None = None
    within: Positive = 20.0
    holds: Seconds = 0.0


class Look(Step, frozen=True, omit_defaults=True, tag="check"):
    """Nothing is done: only the check counts."""


class Wait(Step, frozen=True, omit_defaults=True, tag="wait"):
    seconds: Seconds = 0.0


class Aimed(Step, frozen=True, kw_only=True):
    of: Names
    pick: Count = 0  # 0: all


class Kill(Aimed, frozen=True, omit_defaults=True, tag="kill"):
    pass


class Start(Aimed, frozen=True, omit_defaults=True, tag="start"):
    disk: bool = True  # without: its files are gone


class Pause(Aimed, frozen=True, omit_defaults=True, tag="pause"):
    pass


class Resume(Aimed, frozen=True, omit_defaults=True, tag="resume"):
    pass


class Slow(Aimed, frozen=True, omit_defaults=True, tag="slow"):
    share: Share = 1.0  # of the time that it may run; 1: all


class FillDisk(Aimed, frozen=True, omit_defaults=True, tag="fill disk"):
    room: Annotated[int, Meta(ge=0)] = 0  # bytes that a file may still have


class FreeDisk(Aimed, frozen=True, omit_defaults=True, tag="free disk"):
    pass


class ReadOnly(Aimed, frozen=True, omit_defaults=True, tag="read only"):
    on: bool = True


class Tear(Aimed, frozen=True, omit_defaults=True, tag="tear"):
    """Cuts `file` of the process's disk off at a share of its length, or at a byte; the process must not
    run."""

    file: str
    at: Share = 0.5
    byte: Annotated[int, Meta(ge=0)] | None = None


class Storm(Aimed, frozen=True, tag="storm"):
    """`count` faults drawn from `kinds`, each `every` s more or less, on one process each; each ends after
    up to `lasting` s, all of them with the step."""

    kinds: Annotated[list[Kind], Meta(min_length=1)] = []
    count: Annotated[int, Meta(ge=1, le=1000)] = 10
    every: Positive = 1.0
    lasting: Positive = 3.0


class Link(Step, frozen=True, omit_defaults=True, tag="link"):
    """What goes from each of `from` to each of `to`; with `both` the other way as well."""

    source: Names = field(name="from")
    to: Names
    both: bool = False
    drop: Share = 0.0
    delay: Seconds = 0.0
    jitter: Seconds = 0.0
    reorder: Share = 0.0
    double: Share = 0.0
    rate: Annotated[float, Meta(ge=0)] = 0.0
    cut: bool = False
    half_open: bool = False  # streams: accepted, then nothing
    resets: bool = False  # streams: all end at once

    def treatment(self) -> Treatment:
        return Treatment(self.drop, self.delay, self.jitter, self.reorder, self.double, self.rate, self.cut)


class Heal(Step, frozen=True, omit_defaults=True, tag="heal"):
    """All links are whole again."""


Any = (
    Look
    | Wait
    | Kill
    | Start
    | Pause
    | Resume
    | Slow
    | FillDisk
    | FreeDisk
    | ReadOnly
    | Tear
    | Storm
    | Link
    | Heal
)


class Scenario(Struct, frozen=True, forbid_unknown_fields=True):
    """`late`: s by which the driver or a process may come late; a run beyond that is void. `always`: checks
    that fit at every look, from the first step on."""

    world: Shape
    step: Annotated[list[Any], Meta(min_length=1)]
    about: str = ""
    late: Positive = 1.0
    always: list[Check] = []


def read_scenario(name: str) -> Scenario:
    """A file, or one of those that come with the program by its name. Raises ScenarioError."""
    path = Path(name) if name.endswith(".toml") else SHIPPED / f"{name}.toml"
    try:
        return msgspec.toml.decode(path.read_bytes(), type=Scenario)
    except (OSError, ValueError) as err:  # msgspec's and tomllib's errors are ValueErrors
        raise ScenarioError(f"{path}: {' '.join(str(err).split())}") from err
