"""One demo from start to end: the fleet, its traffic, its troubles, and what there is to see."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import sys
import tempfile
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import uvloop

from api_gateway.demo.traffic import OUTCOMES, Traffic
from api_gateway.supervisor.errors import StartError
from api_gateway.supervisor.local_cluster import LocalCluster

BEYOND_MOST = 1.0  # bursts that a customer may be past its quota: what the dead spent, nobody was told
REFRESH = 0.5  # s


@dataclass(frozen=True, slots=True)
class Plan:
    """What is to happen; times in seconds from the first request, 0: not at all."""

    gateways: int = 2
    hosts: int = 4
    seconds: float = 0.0  # 0: until it is ended
    kill_gateway_at: float = 0.0
    stop_counter_at: float = 0.0
    lasting: float = 4.0  # how long a trouble lasts
    scale: float = 1.0  # of the traffic
    folder: Path | None = None  # for files and logs, which then stay
    seed: int = 1


class Demo:
    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan, self.fleet = plan, LocalCluster(folder, plan.gateways, plan.hosts)
        self.traffic: Traffic | None = None
        self.hosts: dict[str, Any] = {}
        self.events: list[dict[str, Any]] = []
        self.dead: set[str] = set()
        self.ended = asyncio.Event()

    def note(self, what: str) -> None:
        self.events.append({"at": round(self.traffic.elapsed() if self.traffic else 0.0, 1), "what": what})

    async def run(self, show: Callable[[dict[str, Any]], None] | None) -> dict[str, Any]:
        """Raises StartError. What it all came to."""
        try:
            await self.fleet.start()
            places = [part.addresses["listen"] for part in self.fleet.gateways]
            self.traffic = Traffic(places, self.plan.seed, self.plan.scale)
            troubles = [asyncio.create_task(act) for act in (self.kill(), self.silence(), self.look(show))]
            try:
                await self.traffic.run(self.plan.seconds or None, self.ended)
            finally:
                for task in troubles:
                    task.cancel()
                await asyncio.gather(*troubles, return_exceptions=True)
            await self.ask_hosts()
            self.note_dead()
            return self.result()
        finally:
            await self.fleet.stop()

    async def kill(self) -> None:
        if self.plan.kill_gateway_at:
            await asyncio.sleep(self.plan.kill_gateway_at)
            part = self.fleet.gateways[-1]
            await part.kill()
            self.note(f"{part.name} killed")
            await asyncio.sleep(self.plan.lasting)
            await self.fleet.start_gateway(part)
            self.note(f"{part.name} back")

    async def silence(self) -> None:
        if self.plan.stop_counter_at:
            await asyncio.sleep(self.plan.stop_counter_at)
            await self.fleet.set_counter_silent(True)
            self.note("counter silent")
            await asyncio.sleep(self.plan.lasting)
            await self.fleet.set_counter_silent(False)
            self.note("counter back")

    async def look(self, show: Callable[[dict[str, Any]], None] | None) -> None:
        while True:
            self.note_dead()
            if show is not None:
                await self.ask_hosts()
                show(self.result())
            await asyncio.sleep(REFRESH)

    def note_dead(self) -> None:
        for name in set(self.fleet.unexpected_exits()) - self.dead:
            self.dead.add(name)
            self.note(f"{name} has died")

    async def ask_hosts(self) -> None:
        for part in self.fleet.hosts:
            told = await self.fleet.request_json(f"http://{part.addresses['control']}/status")
            self.hosts[part.name] = {"commands": told["commands"], "inside": told["inside"]} if told else None

    def result(self) -> dict[str, Any]:
        assert self.traffic is not None
        told = self.traffic.summary()
        most = max(plan["most_beyond_in_bursts"] for plan in told["plans"].values())
        return {
            **told,
            "quota_kept": most <= BEYOND_MOST,
            "quota_bound_in_bursts": BEYOND_MOST,
            "gateways": {
                part.name: {
                    "alive": part.is_running,
                    "ready": door.ready,
                    "control": part.addresses["control"],
                    **door.outcomes,
                }
                for part, door in zip(self.fleet.gateways, self.traffic.doors, strict=True)
            },
            "hosts": self.hosts,
            "events": self.events,
            "died": sorted(self.dead),
        }


def table(told: dict[str, Any]) -> Any:
    """The state of a demo for a terminal."""
    from rich.console import Group
    from rich.table import Table

    def rows(title: str, heads: list[str], lines: list[list[Any]]) -> Table:
        made = Table(title=title, title_justify="left", expand=False)
        for number, head in enumerate(heads):
            made.add_column(head, justify="left" if number == 0 else "right", overflow="fold")
        for line in lines:
            made.add_row(*("-" if cell is None else str(cell) for cell in line))
        return made

    total = " ".join(f"{name} {told[name]}" for name in OUTCOMES)
    classes = [
        [name, *(c[o] for o in OUTCOMES), c["median_ms"], c["p99_ms"]] for name, c in told["classes"].items()
    ]
    plans = [
        [
            name,
            p["customers"],
            f"{p['asked_of_quota']:.0%}",
            f"{p['used_of_quota']:.0%}",
            p["most_beyond_in_bursts"],
        ]
        for name, p in told["plans"].items()
    ]
    gateways = [
        [
            name,
            g["control"],
            "ready" if g["ready"] else "away",
            *(g.get(o, 0) for o in OUTCOMES),
            g.get("reset", 0),
        ]
        for name, g in told["gateways"].items()
    ]
    hosts = [
        [
            name,
            h["inside"] if h else "away",
            *((h["commands"].get(o, 0) if h else None) for o in ("served", "repeated", "busy", "error")),
        ]
        for name, h in told["hosts"].items()
    ]
    events = "\n".join(f"{event['at']:6.1f} s  {event['what']}" for event in told["events"][-6:])
    return Group(
        f"{told['seconds']:.1f} s  {total}  tried again {told['tried_again']}  quota kept: "
        f"{'yes' if told['quota_kept'] else 'NO'}",
        rows("by class", ["class", *OUTCOMES, "median ms", "p99 ms"], classes),
        rows(
            "by plan, over all gateways",
            ["plan", "customers", "asked of quota", "used of quota", "most beyond (bursts)"],
            plans,
        ),
        rows("gateways", ["gateway", "operators call", "state", *OUTCOMES, "broke off"], gateways),
        rows("hosts", ["host", "inside", "served", "repeated", "busy", "error"], hosts),
        events,
    )


async def watched(demo: Demo, show: Callable[[dict[str, Any]], None] | None) -> dict[str, Any]:
    """SIGTERM, SIGINT and SIGHUP (a closed terminal) end it in order; what came so far is told."""
    task = asyncio.create_task(demo.run(show))

    def end() -> None:
        demo.ended.set()
        if demo.traffic is None:  # it is starting yet
            task.cancel()

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        asyncio.get_running_loop().add_signal_handler(number, end)
    return await task


def play(plan: Plan, as_json: bool) -> int:
    """0: nothing was lost, quotas held and all processes lived; 1: not so; 2: it could not start."""
    from rich.console import Console
    from rich.live import Live

    out, live = Console(), None
    try:
        with contextlib.ExitStack() as stack:
            folder = plan.folder or Path(
                stack.enter_context(tempfile.TemporaryDirectory(prefix="cinderrouter-"))
            )
            folder.mkdir(parents=True, exist_ok=True)
            demo = Demo(plan, folder)
            if not as_json and out.is_terminal:
                live = stack.enter_context(Live(console=out, auto_refresh=False))
            show = (lambda told: live.update(table(told), refresh=True)) if live else None
            told = uvloop.run(watched(demo, show))
    except (StartError, OSError) as err:
        print(f"api-gateway demo: {' '.join(str(err).split())}", file=sys.stderr)
        return 2
    except asyncio.CancelledError:
        return 2
    with contextlib.suppress(OSError):  # whoever read it has gone
        if as_json:
            print(json.dumps(told), flush=True)
        elif live is None:
            out.print(table(told))
    return 0 if told["quota_kept"] and not told["lost"] and not told["died"] else 1
