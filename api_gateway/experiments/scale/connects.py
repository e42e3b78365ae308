"""What one gateway is to its hosts, counted in the module's own time: connects, connections and probes.

The module is asked as in module.py; beside it stands what upstream.pool.Pool does with connections: the
latest used that has settled is taken, a new one made where there is none, and one that rests too long is
closed.
Connects that fail, come up late or are called off are not in here. Nothing here is a time of the machine.
Started as a program with a Case in JSON it prints the figures.
"""

from __future__ import annotations

import json
import sys
from collections import Counter, defaultdict
from typing import Any

from api_gateway import interface as api
from api_gateway.experiments.scale.module import BEGIN, Case, Driver
from api_gateway.upstream.endpoint_pools import IDLE_CHECK_INTERVAL_S, IDLE_MARGIN_FRACTION
from api_gateway.upstream.pool import SETTLE_TIME_S

IDLE_CLOSE = 30.0  # s after which a host closes a connection that rests, as the lab's settings have it
IDLE_TIME = IDLE_CLOSE * (1 - IDLE_MARGIN_FRACTION) - IDLE_CHECK_INTERVAL_S
START, REST = 60.0, 30.0  # s of module time: until it is at rest, and counted then


class Connecting(Driver):
    def __init__(self, case: Case) -> None:
        super().__init__(case)
        self.idle: dict[str, list[float]] = defaultdict(list)  # since when connections rest, by host
        self.open: Counter[str] = Counter()
        self.connects: Counter[int] = Counter()  # by second
        self.probes: Counter[int] = Counter()

    def second(self) -> int:
        return int(self.now - BEGIN)

    def act(self, action: object) -> None:
        if isinstance(action, api.SendAttempt):
            self.take(action.endpoint_id)
        elif isinstance(action, api.CheckHealth):
            self.probes[self.second()] += 1
            self.put(
                0.004, "probed", api.HealthCheckEnded(action.endpoint_id, "ok", 0.004, {"inflight": 1.0})
            )
        super().act(action)

    def handle(self, kind: str, event: Any) -> None:
        if kind == "outcome":
            self.idle[event.endpoint_id].append(self.now)
        super().handle(kind, event)

    def take(self, host: str) -> None:
        self.close(host)
        resting = self.idle[host]
        for place in range(len(resting) - 1, -1, -1):
            if resting[place] <= self.now - SETTLE_TIME_S:
                del resting[place]
                return
        self.open[host] += 1
        self.connects[self.second()] += 1

    def close(self, host: str) -> None:
        """Those that have rested for too long."""
        resting = self.idle[host]
        kept = [since for since in resting if since > self.now - IDLE_TIME]
        self.open[host] -= len(resting) - len(kept)
        self.idle[host] = kept


def connects(case: Case) -> dict[str, float]:
    """Of one gateway: from its start, and at rest a second."""
    driver = Connecting(case)
    driver.begin()
    driver.steps(START + REST)
    for host in list(driver.open):
        driver.close(host)
    used = [count for count in driver.open.values() if count]
    last = range(int(START), int(START + REST))
    return {
        "connects_s": sum(driver.connects[second] for second in last) / REST,
        "connects_s_most": float(max(driver.connects.values())),
        "connects_start": float(sum(driver.connects[second] for second in range(10))),
        "probes_s": sum(driver.probes[second] for second in last) / REST,
        "probes_s_most": float(max(driver.probes.values(), default=0)),
        "connections": float(sum(used)),
        "hosts_used": float(len(used)),
        "connections_a_host_most": float(max(used)),
    }


def main() -> int:
    print(json.dumps(connects(Case(**json.loads(sys.argv[1])))))
    return 0


if __name__ == "__main__":
    sys.exit(main())
