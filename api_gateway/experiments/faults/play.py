"""Plays a scenario: each step in its order, its check, and a verdict."""

from __future__ import annotations

import asyncio
import json
import math
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from api_gateway.experiments.faults import scenario as told
from api_gateway.experiments.faults.lines import Treatment
from api_gateway.experiments.faults.world import World
from api_gateway.supervisor.errors import StartError

LOOK = 0.1  # s between two looks at what is checked
KEPT, FAILED, VOID = "kept", "failed", "void"


class Broken(Exception):
    """A check did not fit; the text says which."""


class Play:
    """`note` takes each thing that was done, in its order, as an object."""

    def __init__(self, scenario: told.Scenario, folder: Path, seed: int, note: Callable[[Any], None]) -> None:
        self.scenario, self.seed, self.note = scenario, seed, note
        self.world = World(folder, scenario.world, seed)
        self.began = time.monotonic()

    async def run(self) -> str:
        """The verdict. Raises ScenarioError or StartError. All that was started ends with it."""
        verdict, why = KEPT, ""
        try:
            await self.world.start()
            self.began = time.monotonic()
            try:
                for number, step in enumerate(self.scenario.step):
                    await self.take(number, step)
            except (Broken, StartError) as err:
                verdict, why = FAILED, str(err)
            traced = [
                part.name for part in self.world.all_processes() if self.world.logged(part, "Traceback")
            ]
            if traced and verdict == KEPT:
                verdict, why = FAILED, f"an exception stands in the log of {', '.join(traced)}"
            await self.world.watch_members()
            late = {name: round(seconds, 3) for name, seconds in self.world.late.items()}
            if max(late.values()) > self.scenario.late:
                verdict, why = VOID, f"this machine was late; else {verdict} {why}".strip()
            worst = dict(sorted(late.items(), key=lambda item: -item[1])[:4])
            self.note(
                {
                    "verdict": verdict,
                    "why": why,
                    "seed": self.seed,
                    "late": worst,
                    "links": self.world.network.counts(),
                    "seconds": self.elapsed(),
                }
            )
        finally:
            await self.world.stop()
        return verdict

    def elapsed(self) -> float:
        return round(time.monotonic() - self.began, 3)

    async def take(self, number: int, step: Any) -> None:
        at = self.elapsed()
        done = await self.act(step)
        plain = {
            key: value
            for key, value in msgspec.to_builtins(step).items()
            if key not in ("check", "within", "holds")
        }
        self.note({"at": at, "step": number, **plain, **done, "took": round(self.elapsed() - at, 3)})
        if step.check is not None:
            at = self.elapsed()
            await self.fitting(step.check, step.within)
            self.note(
                {
                    "at": self.elapsed(),
                    "step": number,
                    "fits": msgspec.to_builtins(step.check),
                    "took": round(self.elapsed() - at, 3),
                }
            )
            await self.hold(step.check, step.holds)
        else:
            await self.always()

    async def act(self, step: Any) -> dict[str, Any]:
        """Does it; what there is to tell beside the step itself."""
        world = self.world
        if isinstance(step, told.Look):
            pass
        elif isinstance(step, told.Wait):
            await self.hold(None, step.seconds)
        elif isinstance(step, told.Heal):
            world.network.heal()
        elif isinstance(step, told.Storm):
            return {"struck": await self.storm(step)}
        elif isinstance(step, told.Link):
            for one in world.named(step.source):
                for other in world.named(step.to):
                    for a, b in ((one, other), (other, one))[: 1 + step.both]:
                        if a is not b:
                            world.network.treat(a.name, b.name, step.treatment(), step.half_open, step.resets)
        else:
            parts = world.named(step.of, step.pick)
            if isinstance(step, told.Start):
                await world.all_again(parts, step.disk)
            more = [await self.do(step, part) for part in parts]
            return {"who": [part.name for part in parts], **next((m for m in more if m), {})}
        return {}

    async def do(self, step: Any, part: Any) -> dict[str, Any] | None:
        world = self.world
        match step:
            case told.Kill():
                await world.kill(part)
            case told.Pause():
                world.pause(part)
            case told.Resume():
                world.resume(part)
            case told.Slow():
                world.slow(part, step.share)
            case told.FillDisk():
                world.limit_files(part, step.room)
            case told.FreeDisk():
                world.limit_files(part, -1)
            case told.ReadOnly():
                world.read_only(part, step.on)
            case told.Tear():
                return {"left": world.tear(part, step.file, step.at, step.byte)}
        return None

    async def storm(self, step: told.Storm) -> list[dict[str, Any]]:
        """What it did. A process has one fault at a time."""
        world, ends, struck = self.world, list[tuple[float, Any, str]](), []
        parts = world.named(step.of, step.pick)
        for _ in range(step.count):
            await self.hold(None, step.every * world.random.uniform(0.5, 1.5))
            ends = await self.let_end(ends, time.monotonic())
            part = world.random.choice(parts)
            kind = world.random.choice(step.kinds)
            if part in [one for _, one, _ in ends] or not part.is_running:
                continue
            await self.strike(kind, part)
            ends.append((time.monotonic() + world.random.uniform(0.1, step.lasting), part, kind))
            struck.append({"at": self.elapsed(), "kind": kind, "who": part.name})
        await self.hold(None, step.lasting)
        await self.let_end(ends, math.inf)
        return struck

    async def strike(self, kind: str, part: Any) -> None:
        world = self.world
        match kind:
            case "kill" | "lost disk":
                await world.kill(part)
            case "pause":
                world.pause(part)
            case "slow":
                world.slow(part, 0.2)
            case "loss":
                world.worsen(part, Treatment(drop=0.2, delay=0.02, jitter=0.1, reorder=0.1, double=0.1))
            case "full disk":
                world.limit_files(part, 0)
            case _:
                world.cut(part, kind.removeprefix("cut").strip() or "both")

    async def let_end(self, ends: list[tuple[float, Any, str]], now: float) -> list[tuple[float, Any, str]]:
        """Ends what is due; the rest."""
        world = self.world
        for _, part, kind in [end for end in ends if end[0] <= now]:
            match kind:
                case "kill" | "lost disk":
                    await world.all_again([part], kind == "kill")
                case "pause":
                    world.resume(part)
                case "slow":
                    world.slow(part, 1.0)
                case "full disk":
                    world.limit_files(part, -1)
                case _:
                    world.mend(part)
        return [end for end in ends if end[0] > now]

    # Checks

    async def always(self) -> None:
        for check in self.scenario.always:
            why = await self.odd(check)
            if why:
                raise Broken(f"at {self.elapsed()} s: {why}")

    async def hold(self, check: told.Check | None, seconds: float) -> None:
        """For so long what always fits is looked at, and `check` with it."""
        end = time.monotonic() + seconds
        await self.always()
        while (left := end - time.monotonic()) > 0:
            await asyncio.sleep(min(LOOK, left))
            await self.always()
            why = await self.odd(check) if check is not None else ""
            if why:
                raise Broken(f"at {self.elapsed()} s it fits no longer: {why}")

    async def fitting(self, check: told.Check, within: float) -> None:
        end = time.monotonic() + within
        while why := await self.odd(check):
            if time.monotonic() > end:
                raise Broken(f"not within {within:g} s: {why}")
            await asyncio.sleep(LOOK)
            await self.always()

    async def odd(self, check: told.Check) -> str:
        """What does not fit; "": all does."""
        world = self.world
        match check:
            case told.View():
                of = [part.name for part in world.named(check.of)]
                for part, seen in await self.each(check.by, world.members):
                    states = {name: (seen or {}).get(name, "unknown") for name in of if name != part.name}
                    wrong = {name: state for name, state in states.items() if state not in check.states}
                    if wrong or seen is None:
                        return f"{part.name} sees {wrong or 'nothing'}"
            case told.Status():
                for part, seen in await self.each(check.of, world.status):
                    if not fits(check, dig(seen, check.path)):
                        return f"{part.name} tells {check.path} = {dig(seen, check.path)!r}"
            case told.Logged():
                for part in world.named(check.of):
                    count = world.logged(part, check.text)
                    if count != check.times if check.times is not None else not count:
                        return f"the log of {part.name} has {check.text!r} {count} times"
            case told.Runs():
                for part in world.named(check.of):
                    if part.is_running != check.runs:
                        return f"{part.name} runs: {part.is_running}"
        return ""

    async def each(self, patterns: list[str], ask: Callable[[Any], Any]) -> list[tuple[Any, Any]]:
        parts = self.world.named(patterns)
        return list(zip(parts, await asyncio.gather(*(ask(part) for part in parts)), strict=True))


def dig(tree: Any, path: str) -> Any:
    for key in path.split("."):
        tree = tree.get(key) if isinstance(tree, dict) else None
    return tree


def fits(check: told.Status, value: Any) -> bool:
    if check.equals is not None and value != check.equals:
        return False
    if check.least is not None or check.most is not None:
        if isinstance(value, bool) or not isinstance(value, int | float):
            return False
        return (check.least is None or value >= check.least) and (check.most is None or value <= check.most)
    return value is not None


def lines_to(*files: Any) -> Callable[[Any], None]:
    def note(told: Any) -> None:
        for file in files:
            file.write(json.dumps(told) + "\n")
            file.flush()

    return note
