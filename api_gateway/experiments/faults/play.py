"""Runs a scenario: each step in order with its check, and the verdict at the end."""

from __future__ import annotations

import asyncio
import json
import math
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from api_gateway.experiments.faults import scenario as scenarios
from api_gateway.experiments.faults.lines import Impairment
from api_gateway.experiments.faults.world import World
from api_gateway.supervisor.errors import StartError

POLL_INTERVAL_S = 0.1  # between two polls of a check
PASSED, FAILED, VOID = "kept", "failed", "void"


class CheckFailedError(Exception):
    """A check did not pass. The message gives the mismatch."""


class ScenarioRun:
    """A run of one scenario. `on_event` is called with an event for each action and check, in order."""

    def __init__(
        self, scenario: scenarios.Scenario, folder: Path, seed: int, on_event: Callable[[Any], None]
    ) -> None:
        self.scenario, self.seed, self.on_event = scenario, seed, on_event
        self.world = World(folder, scenario.world, seed)
        self.started_at = time.monotonic()

    async def run(self) -> str:
        """Run the scenario, stop all processes and return the verdict.

        Raises ScenarioError or StartError, also after stopping all processes.
        """
        verdict, why = PASSED, ""
        try:
            await self.world.start()
            self.started_at = time.monotonic()
            try:
                for number, step in enumerate(self.scenario.step):
                    await self.run_step(number, step)
            except (CheckFailedError, StartError) as err:
                verdict, why = FAILED, str(err)
            tracebacks = [
                process.name
                for process in self.world.all_processes()
                if self.world.count_in_log(process, "Traceback")
            ]
            if tracebacks and verdict == PASSED:
                verdict, why = FAILED, f"the log contains a traceback: {', '.join(tracebacks)}"
            await self.world.watch_members()
            delays = {name: round(seconds, 3) for name, seconds in self.world.max_delay_s.items()}
            if max(delays.values()) > self.scenario.late:
                verdict, why = VOID, f"this machine was late; otherwise {verdict} {why}".strip()
            longest = dict(sorted(delays.items(), key=lambda item: -item[1])[:4])
            self.on_event(
                {
                    "verdict": verdict,
                    "why": why,
                    "seed": self.seed,
                    "late": longest,
                    "links": self.world.network.counts(),
                    "seconds": self.elapsed(),
                }
            )
        finally:
            await self.world.stop()
        return verdict

    def elapsed(self) -> float:
        """Return the seconds since the processes were ready."""
        return round(time.monotonic() - self.started_at, 3)

    async def run_step(self, number: int, step: Any) -> None:
        """Apply a step, then wait for its check and keep it checked for `holds` seconds."""
        at = self.elapsed()
        more_fields = await self.apply(step)
        fields = {
            key: value
            for key, value in msgspec.to_builtins(step).items()
            if key not in ("check", "within", "holds")
        }
        self.on_event(
            {"at": at, "step": number, **fields, **more_fields, "took": round(self.elapsed() - at, 3)}
        )
        if step.check is not None:
            at = self.elapsed()
            await self.wait_for_check(step.check, step.within)
            self.on_event(
                {
                    "at": self.elapsed(),
                    "step": number,
                    "fits": msgspec.to_builtins(step.check),
                    "took": round(self.elapsed() - at, 3),
                }
            )
            await self.keep_checking(step.check, step.holds)
        else:
            await self.check_invariants()

    async def apply(self, step: Any) -> dict[str, Any]:
        """Apply a step and return the fields to report in addition to those of the step."""
        world = self.world
        if isinstance(step, scenarios.CheckOnly):
            pass
        elif isinstance(step, scenarios.Wait):
            await self.keep_checking(None, step.seconds)
        elif isinstance(step, scenarios.Heal):
            world.network.heal()
        elif isinstance(step, scenarios.Storm):
            return {"struck": await self.run_storm(step)}
        elif isinstance(step, scenarios.Link):
            for source in world.matching_processes(step.source):
                for target in world.matching_processes(step.to):
                    for sender, receiver in ((source, target), (target, source))[: 1 + step.both]:
                        if sender is not receiver:
                            world.network.impair(
                                sender.name, receiver.name, step.impairment(), step.half_open, step.resets
                            )
        else:
            processes = world.matching_processes(step.of, step.pick)
            if isinstance(step, scenarios.Start):
                await world.start_again(processes, step.disk)
            results = [await self.apply_to_process(step, process) for process in processes]
            return {
                "who": [process.name for process in processes],
                **next((result for result in results if result), {}),
            }
        return {}

    async def apply_to_process(self, step: Any, process: Any) -> dict[str, Any] | None:
        """Apply a step to one process and return further fields to report, if any."""
        world = self.world
        match step:
            case scenarios.Kill():
                await world.kill(process)
            case scenarios.Pause():
                world.pause(process)
            case scenarios.Resume():
                world.resume(process)
            case scenarios.Slow():
                world.slow(process, step.share)
            case scenarios.FillDisk():
                world.limit_file_size(process, step.room)
            case scenarios.FreeDisk():
                world.limit_file_size(process, -1)
            case scenarios.ReadOnly():
                world.set_read_only(process, step.on)
            case scenarios.TruncateFile():
                return {"left": world.truncate_file(process, step.file, step.at, step.byte)}
        return None

    async def run_storm(self, step: scenarios.Storm) -> list[dict[str, Any]]:
        """Inject random faults and return them. A process has one fault at a time."""
        world, active, injected = self.world, list[tuple[float, Any, str]](), []
        processes = world.matching_processes(step.of, step.pick)
        for _ in range(step.count):
            await self.keep_checking(None, step.every * world.rng.uniform(0.5, 1.5))
            active = await self.end_due_faults(active, time.monotonic())
            process = world.rng.choice(processes)
            kind = world.rng.choice(step.kinds)
            if process in [busy for _, busy, _ in active] or not process.is_running:
                continue
            await self.begin_fault(kind, process)
            active.append((time.monotonic() + world.rng.uniform(0.1, step.lasting), process, kind))
            injected.append({"at": self.elapsed(), "kind": kind, "who": process.name})
        await self.keep_checking(None, step.lasting)
        await self.end_due_faults(active, math.inf)
        return injected

    async def begin_fault(self, kind: str, process: Any) -> None:
        """Inject one fault of a storm into a process."""
        world = self.world
        match kind:
            case "kill" | "lost disk":
                await world.kill(process)
            case "pause":
                world.pause(process)
            case "slow":
                world.slow(process, 0.2)
            case "loss":
                world.impair_links(
                    process, Impairment(drop=0.2, delay=0.02, jitter=0.1, reorder=0.1, duplicate=0.1)
                )
            case "full disk":
                world.limit_file_size(process, 0)
            case _:
                world.cut_links(process, kind.removeprefix("cut").strip() or "both")

    async def end_due_faults(
        self, active: list[tuple[float, Any, str]], now: float
    ) -> list[tuple[float, Any, str]]:
        """End the faults that are due and return the others."""
        world = self.world
        for _, process, kind in [fault for fault in active if fault[0] <= now]:
            match kind:
                case "kill" | "lost disk":
                    await world.start_again([process], kind == "kill")
                case "pause":
                    world.resume(process)
                case "slow":
                    world.slow(process, 1.0)
                case "full disk":
                    world.limit_file_size(process, -1)
                case _:
                    world.heal_links(process)
        return [fault for fault in active if fault[0] > now]

    # Checks

    async def check_invariants(self) -> None:
        """Run the checks of `always`."""
        for check in self.scenario.always:
            why = await self.find_mismatch(check)
            if why:
                raise CheckFailedError(f"at {self.elapsed()} s: {why}")

    async def keep_checking(self, check: scenarios.Check | None, seconds: float) -> None:
        """Poll the checks of `always`, and `check` if given, for some seconds."""
        end = time.monotonic() + seconds
        await self.check_invariants()
        while (left := end - time.monotonic()) > 0:
            await asyncio.sleep(min(POLL_INTERVAL_S, left))
            await self.check_invariants()
            why = await self.find_mismatch(check) if check is not None else ""
            if why:
                raise CheckFailedError(f"at {self.elapsed()} s the check no longer passes: {why}")

    async def wait_for_check(self, check: scenarios.Check, within: float) -> None:
        """Poll a check until it passes."""
        end = time.monotonic() + within
        while why := await self.find_mismatch(check):
            if time.monotonic() > end:
                raise CheckFailedError(f"the check did not pass within {within:g} s: {why}")
            await asyncio.sleep(POLL_INTERVAL_S)
            await self.check_invariants()

    async def find_mismatch(self, check: scenarios.Check) -> str:
        """Return what does not match, or an empty string if the check passes."""
        world = self.world
        match check:
            case scenarios.View():
                watched = [process.name for process in world.matching_processes(check.of)]
                for process, reply in await self.query_each(check.by, world.member_states):
                    states = {
                        name: (reply or {}).get(name, "unknown") for name in watched if name != process.name
                    }
                    unexpected = {name: state for name, state in states.items() if state not in check.states}
                    if unexpected or reply is None:
                        return f"{process.name} sees {unexpected or 'nothing'}"
            case scenarios.Status():
                for process, reply in await self.query_each(check.of, world.status):
                    if not matches(check, value_at(reply, check.path)):
                        return f"{process.name} reports {check.path} = {value_at(reply, check.path)!r}"
            case scenarios.Logged():
                for process in world.matching_processes(check.of):
                    count = world.count_in_log(process, check.text)
                    if count != check.times if check.times is not None else not count:
                        return f"the log of {process.name} has {check.text!r} {count} times"
            case scenarios.Running():
                for process in world.matching_processes(check.of):
                    if process.is_running != check.runs:
                        return f"{process.name} runs: {process.is_running}"
        return ""

    async def query_each(self, patterns: list[str], query: Callable[[Any], Any]) -> list[tuple[Any, Any]]:
        """Query the matching processes concurrently and pair each with its result."""
        processes = self.world.matching_processes(patterns)
        return list(
            zip(processes, await asyncio.gather(*(query(process) for process in processes)), strict=True)
        )


def value_at(tree: Any, path: str) -> Any:
    """Return the value at a dotted path, or None."""
    for key in path.split("."):
        tree = tree.get(key) if isinstance(tree, dict) else None
    return tree


def matches(check: scenarios.Status, value: Any) -> bool:
    """Return whether a value passes a status check."""
    if check.equals is not None and value != check.equals:
        return False
    if check.least is not None or check.most is not None:
        if isinstance(value, bool) or not isinstance(value, int | float):
            return False
        return (check.least is None or value >= check.least) and (check.most is None or value <= check.most)
    return value is not None


def write_lines_to(*files: Any) -> Callable[[Any], None]:
    """Return a callback that writes each event to all files as a line of JSON."""

    def write_event(event: Any) -> None:
        for file in files:
            file.write(json.dumps(event) + "\n")
            file.flush()

    return write_event
