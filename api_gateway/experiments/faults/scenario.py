"""Fault scenarios: a sequence of steps in TOML, each with an optional check.

Steps and checks name processes as the world does: gateway-0, registry, counter, host-0, grantor, meter,
holder-0. A pattern such as "gateway-*" matches several, and `pick` draws that number of them with the seed.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct, field

from api_gateway.experiments.faults.lines import Impairment

Fraction = Annotated[float, Meta(ge=0, le=1)]
Seconds = Annotated[float, Meta(ge=0, le=3600)]
PositiveSeconds = Annotated[float, Meta(gt=0, le=3600)]
NamePatterns = Annotated[list[str], Meta(min_length=1)]
StormFault = Literal["kill", "pause", "slow", "cut from", "cut to", "cut", "loss", "full disk", "lost disk"]
Count = Annotated[int, Meta(ge=0, le=200)]

SCENARIO_FOLDER = Path(__file__).parent / "scenarios"


class ScenarioError(Exception):
    """The scenario cannot be run. The message gives the reason in one line."""


class WorldSpec(Struct, frozen=True, forbid_unknown_fields=True):
    """The processes of a scenario.

    Gateways run with a list service, a counter and hosts, and are members of one cluster. Holders run with a
    grantor of budgets and a meter that counts what they use.
    """

    gateways: Count = 0
    hosts: Count = 1
    holders: Count = 0
    log: bool = True  # whether the grantor keeps a log


# Checks


class View(Struct, frozen=True, omit_defaults=True, tag="view", tag_field="that", forbid_unknown_fields=True):
    """Each of `by` sees each of `of` in one of `states` (alive, suspect, dead, left, unknown)."""

    by: NamePatterns
    of: NamePatterns
    states: NamePatterns


class Status(
    Struct, frozen=True, omit_defaults=True, tag="status", tag_field="that", forbid_unknown_fields=True
):
    """Expected value in the reply to GET /status at `path` (keys joined by dots). A missing value fails."""

    of: NamePatterns
    path: str
    equals: bool | int | float | str | None = None
    least: float | None = None
    most: float | None = None


class Logged(
    Struct, frozen=True, omit_defaults=True, tag="logged", tag_field="that", forbid_unknown_fields=True
):
    """`text` occurs in the log exactly `times` times or, without `times`, at least once."""

    of: NamePatterns
    text: str
    times: int | None = None


class Running(
    Struct, frozen=True, omit_defaults=True, tag="runs", tag_field="that", forbid_unknown_fields=True
):
    """Each process of `of` is running, or with `runs = false` is not."""

    of: NamePatterns
    runs: bool = True


Check = View | Status | Logged | Running


# Steps


class Step(Struct, frozen=True, omit_defaults=True, kw_only=True, tag_field="do", forbid_unknown_fields=True):
    """Base of all steps: `check` must pass within `within` seconds and then keep passing for `holds`."""

    check: Check | None = None
    within: PositiveSeconds = 20.0
    holds: Seconds = 0.0


class CheckOnly(Step, frozen=True, omit_defaults=True, tag="check"):
    """Do nothing except run the check."""


class Wait(Step, frozen=True, omit_defaults=True, tag="wait"):
    """Wait for `seconds` while the checks of `always` keep running."""

    seconds: Seconds = 0.0


class ProcessStep(Step, frozen=True, kw_only=True):
    """Base of the steps that act on processes."""

    of: NamePatterns
    pick: Count = 0  # number of matching processes to draw; 0 takes all


class Kill(ProcessStep, frozen=True, omit_defaults=True, tag="kill"):
    """Kill processes with SIGKILL."""

    pass


class Start(ProcessStep, frozen=True, omit_defaults=True, tag="start"):
    """Start processes that are not running."""

    disk: bool = True  # False deletes the files of the process first


class Pause(ProcessStep, frozen=True, omit_defaults=True, tag="pause"):
    """Stop processes with SIGSTOP."""

    pass


class Resume(ProcessStep, frozen=True, omit_defaults=True, tag="resume"):
    """Continue paused processes with SIGCONT."""

    pass


class Slow(ProcessStep, frozen=True, omit_defaults=True, tag="slow"):
    """Let processes run for only a fraction of the time."""

    share: Fraction = 1.0  # fraction of the time that the process may run; 1 ends the slowdown


class FillDisk(ProcessStep, frozen=True, omit_defaults=True, tag="fill disk"):
    """Limit the size of the files that processes write."""

    room: Annotated[int, Meta(ge=0)] = 0  # maximum size of a file in bytes


class FreeDisk(ProcessStep, frozen=True, omit_defaults=True, tag="free disk"):
    """Remove the file size limit of processes."""

    pass


class ReadOnly(ProcessStep, frozen=True, omit_defaults=True, tag="read only"):
    """Make the disks of processes read-only, or with `on = false` writable again."""

    on: bool = True


class TruncateFile(ProcessStep, frozen=True, omit_defaults=True, tag="tear"):
    """Truncate `file` on the disk of a process, which must not be running.

    `at` is the fraction of the length to keep. `byte` gives the new length in bytes instead.
    """

    file: str
    at: Fraction = 0.5
    byte: Annotated[int, Meta(ge=0)] | None = None


class Storm(ProcessStep, frozen=True, tag="storm"):
    """Inject `count` random faults drawn from `kinds`, each into one process.

    `every` is the mean interval between faults in seconds. A fault lasts up to `lasting` seconds, and all of
    them have ended when the step ends.
    """

    kinds: Annotated[list[StormFault], Meta(min_length=1)] = []
    count: Annotated[int, Meta(ge=1, le=1000)] = 10
    every: PositiveSeconds = 1.0
    lasting: PositiveSeconds = 3.0


class Link(Step, frozen=True, omit_defaults=True, tag="link"):
    """Impair the links from each of `from` to each of `to`, with `both` in the other direction as well."""

    source: NamePatterns = field(name="from")
    to: NamePatterns
    both: bool = False
    drop: Fraction = 0.0
    delay: Seconds = 0.0
    jitter: Seconds = 0.0
    reorder: Fraction = 0.0
    double: Fraction = 0.0
    rate: Annotated[float, Meta(ge=0)] = 0.0
    cut: bool = False
    half_open: bool = False  # streams: connections are accepted, but no data passes
    resets: bool = False  # streams: all connections are reset

    def impairment(self) -> Impairment:
        """Return the impairment to apply to each direction."""
        return Impairment(self.drop, self.delay, self.jitter, self.reorder, self.double, self.rate, self.cut)


class Heal(Step, frozen=True, omit_defaults=True, tag="heal"):
    """Remove every impairment from all links."""


AnyStep = (
    CheckOnly
    | Wait
    | Kill
    | Start
    | Pause
    | Resume
    | Slow
    | FillDisk
    | FreeDisk
    | ReadOnly
    | TruncateFile
    | Storm
    | Link
    | Heal
)


class Scenario(Struct, frozen=True, forbid_unknown_fields=True):
    """A scenario as read from TOML.

    `late` is the scheduling delay in seconds that the driver or a process may have. A run with a longer delay
    is void. The checks of `always` must pass at every poll from the first step on.
    """

    world: WorldSpec
    step: Annotated[list[AnyStep], Meta(min_length=1)]
    about: str = ""
    late: PositiveSeconds = 1.0
    always: list[Check] = []


def read_scenario(name: str) -> Scenario:
    """Read a scenario from a path that ends in .toml, or a shipped one by its name. Raises ScenarioError."""
    path = Path(name) if name.endswith(".toml") else SCENARIO_FOLDER / f"{name}.toml"
    try:
        return msgspec.toml.decode(path.read_bytes(), type=Scenario)
    except (OSError, ValueError) as err:  # the errors of msgspec and tomllib are ValueErrors
        raise ScenarioError(f"{path}: {' '.join(str(err).split())}") from err
