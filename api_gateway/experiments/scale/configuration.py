"""Changes of a real gateway's configuration by the number of its plans: a rate, by an operator's call."""

from __future__ import annotations

import asyncio
import copy
import json
import statistics
import tempfile
import time
from pathlib import Path

from api_gateway.emulators.site import Json
from api_gateway.experiments.scale import machine
from api_gateway.experiments.scale.rig import Rig
from api_gateway.supervisor.sample_deployment import PLANS

CHANGES, EVERY = 8, 0.5  # and s between them
SETTLE = 2.0  # s


class Refused(Exception):
    """The gateway does not take the change; the text says why in one line."""


async def change(plans: int) -> dict[str, float]:
    """Of a change; CPU is that above rest."""

    def tree(told: Json) -> Json:
        made = [PLANS[n % len(PLANS)] | {"name": f"plan-{n:05d}"} for n in range(plans)]
        return told | {"settings": told["settings"] | {"plans": made}}

    with tempfile.TemporaryDirectory(prefix="scale-") as folder:
        async with Rig(Path(folder), 200) as rig:
            await rig.start(0, tree)
            (real,) = rig.real
            at, times = f"http://{real.part.addresses['control']}", list[float]()
            async with rig.session.get(f"{at}/config") as answer:
                told = await answer.json()
            await asyncio.sleep(SETTLE)
            cpu = machine.cpu_ms(real.number)
            await asyncio.sleep(CHANGES * EVERY)
            rest, began = machine.cpu_ms(real.number) - cpu, time.monotonic()
            cpu += rest
            content, version, body = told["config"], told["version"], b""
            for number in range(CHANGES):
                content = copy.deepcopy(content)
                content["settings"]["plans"][number % plans]["rate"] += 1.0
                body, at_once = json.dumps(content).encode(), time.monotonic()
                async with rig.session.post(f"{at}/config/apply?expect={version}", data=body) as answer:
                    if answer.status != 200:
                        raise Refused(f"{plans} plans, {len(body)} bytes: status {answer.status}")
                    version = (await answer.json())["version"]
                times.append(time.monotonic() - at_once)
                await asyncio.sleep(max(0.0, began + (number + 1) * EVERY - time.monotonic()))
            spent = machine.cpu_ms(real.number) - cpu - rest
            return {
                "cpu_ms_a_change": spent / CHANGES,
                "apply_ms": 1000 * statistics.median(times),
                "config_bytes": float(len(body)),
                "rss_mb": machine.resident_mb(real.number),
            }
