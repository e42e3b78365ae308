"""Runs the demo: starts the cluster, sends traffic, injects faults and shows the results."""

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

# Bursts by which a customer may exceed its quota, because the units that a killed gateway spent may never
# have been reported to the others.
MAX_EXCESS_BURSTS = 1.0
REFRESH_INTERVAL_S = 0.5


@dataclass(frozen=True, slots=True)
class DemoOptions:
    """Options of the demo; field names are the parameter names of the command `demo`.

    Attributes:
        gateways: Number of gateways.
        hosts: Number of hosts.
        seconds: Duration of the traffic; 0 until the demo is stopped.
        kill_gateway_at: Seconds from the first request to the end of a gateway by SIGKILL; 0 for never.
        stop_counter_at: Seconds from the first request to the silence of the counter; 0 for never.
        lasting: Duration of each fault in seconds.
        scale: Factor applied to the traffic.
        folder: Where configurations and logs are written and remain; None for a temporary folder.
        seed: Seed of the traffic.
    """

    gateways: int = 2
    hosts: int = 4
    seconds: float = 0.0
    kill_gateway_at: float = 0.0
    stop_counter_at: float = 0.0
    lasting: float = 4.0
    scale: float = 1.0
    folder: Path | None = None
    seed: int = 1


class Demo:
    """One run of the demo.

    Attributes:
        options: The options of the run.
        cluster: The processes.
        traffic: The traffic; None until the cluster is ready.
        hosts: The last status of each host; None for a host that did not answer.
        events: What happened, in order.
        exited: Names of processes that ended by themselves.
        stop_requested: Set to end the traffic.
    """

    def __init__(self, options: DemoOptions, folder: Path) -> None:
        """Create the cluster in `folder`; nothing is started yet."""
        self.options, self.cluster = options, LocalCluster(folder, options.gateways, options.hosts)
        self.traffic: Traffic | None = None
        self.hosts: dict[str, Any] = {}
        self.events: list[dict[str, Any]] = []
        self.exited: set[str] = set()
        self.stop_requested = asyncio.Event()

    def record_event(self, description: str) -> None:
        """Append an event with the current time of the traffic."""
        self.events.append(
            {"at": round(self.traffic.elapsed() if self.traffic else 0.0, 1), "what": description}
        )

    async def run(self, show: Callable[[dict[str, Any]], None] | None) -> dict[str, Any]:
        """Run the demo from start to end and return its report.

        Args:
            show: Called with the current report at regular intervals.

        Raises:
            StartError: A process did not start.
        """
        try:
            await self.cluster.start()
            addresses = [gateway.addresses["listen"] for gateway in self.cluster.gateways]
            self.traffic = Traffic(addresses, self.options.seed, self.options.scale)
            tasks = [
                asyncio.create_task(coroutine)
                for coroutine in (self.kill_gateway(), self.silence_counter(), self.monitor(show))
            ]
            try:
                await self.traffic.run(self.options.seconds or None, self.stop_requested)
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
            await self.poll_hosts()
            self.record_exits()
            return self.report()
        finally:
            await self.cluster.stop()

    async def kill_gateway(self) -> None:
        """Kill the last gateway and restart it later, if the options say so."""
        if self.options.kill_gateway_at:
            await asyncio.sleep(self.options.kill_gateway_at)
            gateway = self.cluster.gateways[-1]
            await gateway.kill()
            self.record_event(f"{gateway.name} killed")
            await asyncio.sleep(self.options.lasting)
            await self.cluster.start_gateway(gateway)
            self.record_event(f"{gateway.name} back")

    async def silence_counter(self) -> None:
        """Keep the counter from answering for a while, if the options say so."""
        if self.options.stop_counter_at:
            await asyncio.sleep(self.options.stop_counter_at)
            await self.cluster.set_counter_silent(True)
            self.record_event("counter silent")
            await asyncio.sleep(self.options.lasting)
            await self.cluster.set_counter_silent(False)
            self.record_event("counter back")

    async def monitor(self, show: Callable[[dict[str, Any]], None] | None) -> None:
        """Check for ended processes and show the report at regular intervals until cancelled."""
        while True:
            self.record_exits()
            if show is not None:
                await self.poll_hosts()
                show(self.report())
            await asyncio.sleep(REFRESH_INTERVAL_S)

    def record_exits(self) -> None:
        """Record an event for each process that newly ended by itself."""
        for name in set(self.cluster.unexpected_exits()) - self.exited:
            self.exited.add(name)
            self.record_event(f"{name} has died")

    async def poll_hosts(self) -> None:
        """Request the status of each host."""
        for host in self.cluster.hosts:
            status = await self.cluster.request_json(f"http://{host.addresses['control']}/status")
            self.hosts[host.name] = (
                {"commands": status["commands"], "inside": status["inside"]} if status else None
            )

    def report(self) -> dict[str, Any]:
        """Return the results so far, as `--json` prints them."""
        assert self.traffic is not None
        summary = self.traffic.summary()
        max_excess = max(plan["most_beyond_in_bursts"] for plan in summary["plans"].values())
        return {
            **summary,
            "quota_kept": max_excess <= MAX_EXCESS_BURSTS,
            "quota_bound_in_bursts": MAX_EXCESS_BURSTS,
            "gateways": {
                process.name: {
                    "alive": process.is_running,
                    "ready": client.ready,
                    "control": process.addresses["control"],
                    **client.outcomes,
                }
                for process, client in zip(self.cluster.gateways, self.traffic.gateways, strict=True)
            },
            "hosts": self.hosts,
            "events": self.events,
            "died": sorted(self.exited),
        }


def render(report: dict[str, Any]) -> Any:
    """Return a report as tables for a terminal."""
    from rich.console import Group
    from rich.table import Table

    def make_table(title: str, headings: list[str], rows: list[list[Any]]) -> Table:
        table = Table(title=title, title_justify="left", expand=False)
        for number, heading in enumerate(headings):
            table.add_column(heading, justify="left" if number == 0 else "right", overflow="fold")
        for row in rows:
            table.add_row(*("-" if cell is None else str(cell) for cell in row))
        return table

    total = " ".join(f"{name} {report[name]}" for name in OUTCOMES)
    classes = [
        [name, *(c[outcome] for outcome in OUTCOMES), c["median_ms"], c["p99_ms"]]
        for name, c in report["classes"].items()
    ]
    plans = [
        [
            name,
            plan["customers"],
            f"{plan['asked_of_quota']:.0%}",
            f"{plan['used_of_quota']:.0%}",
            plan["most_beyond_in_bursts"],
        ]
        for name, plan in report["plans"].items()
    ]
    gateways = [
        [
            name,
            gateway["control"],
            "ready" if gateway["ready"] else "away",
            *(gateway.get(outcome, 0) for outcome in OUTCOMES),
            gateway.get("reset", 0),
        ]
        for name, gateway in report["gateways"].items()
    ]
    hosts = [
        [
            name,
            host["inside"] if host else "away",
            *(
                (host["commands"].get(outcome, 0) if host else None)
                for outcome in ("served", "repeated", "busy", "error")
            ),
        ]
        for name, host in report["hosts"].items()
    ]
    events = "\n".join(f"{event['at']:6.1f} s  {event['what']}" for event in report["events"][-6:])
    return Group(
        f"{report['seconds']:.1f} s  {total}  tried again {report['tried_again']}  quota kept: "
        f"{'yes' if report['quota_kept'] else 'NO'}",
        make_table("by class", ["class", *OUTCOMES, "median ms", "p99 ms"], classes),
        make_table(
            "by plan, over all gateways",
            ["plan", "customers", "requested of quota", "used of quota", "max over quota (bursts)"],
            plans,
        ),
        make_table("gateways", ["gateway", "control address", "state", *OUTCOMES, "reset"], gateways),
        make_table("hosts", ["host", "in progress", "served", "repeated", "busy", "error"], hosts),
        events,
    )


async def run_until_stopped(demo: Demo, show: Callable[[dict[str, Any]], None] | None) -> dict[str, Any]:
    """Run a demo and return its report; SIGTERM, SIGINT and SIGHUP (a closed terminal) end it early."""
    task = asyncio.create_task(demo.run(show))

    def stop() -> None:
        demo.stop_requested.set()
        if demo.traffic is None:  # the cluster is still starting
            task.cancel()

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        asyncio.get_running_loop().add_signal_handler(number, stop)
    return await task


def play(options: DemoOptions, as_json: bool) -> int:
    """Run the demo, print its results and return the exit code.

    Args:
        options: The options of the demo.
        as_json: Whether to print only the final report, as JSON.

    Returns:
        0 if no request was lost, quotas were kept and no process died; 1 if not; 2 if it could not start.
    """
    from rich.console import Console
    from rich.live import Live

    console, live = Console(), None
    try:
        with contextlib.ExitStack() as stack:
            folder = options.folder or Path(
                stack.enter_context(tempfile.TemporaryDirectory(prefix="cinderrouter-"))
            )
            folder.mkdir(parents=True, exist_ok=True)
            demo = Demo(options, folder)
            if not as_json and console.is_terminal:
                live = stack.enter_context(Live(console=console, auto_refresh=False))
            show = (lambda report: live.update(render(report), refresh=True)) if live else None
            report = uvloop.run(run_until_stopped(demo, show))
    except (StartError, OSError) as err:
        print(f"api-gateway demo: {' '.join(str(err).split())}", file=sys.stderr)
        return 2
    except asyncio.CancelledError:
        return 2
    with contextlib.suppress(OSError):  # the reader of a pipe may have exited
        if as_json:
            print(json.dumps(report), flush=True)
        elif live is None:
            console.print(render(report))
    return 0 if report["quota_kept"] and not report["lost"] and not report["died"] else 1
