"""How likely a host fails, estimated at the level where the symptom shows: the whole host, a class, a plan.

Errors, silence, lost connections and refusals for want of room are evidence alike, at each level by how much
of the fleet fails there, so that an answer of another kind clears nothing. In trouble proven hosts are first.
Harm: after a chance failure a healthy host gets less until half of that is forgotten.
"""

from __future__ import annotations

from api_gateway.policy.customer_accounts import GAIN

HALF_LIFE = 10.0  # s in which half of what is known of a host's failures is forgotten: that is its next trial
FADED = 60 * HALF_LIFE  # s after which an estimate differs from the pool by less than floats can tell
POOL_LEAST = 0.02  # least part of hosts that are taken to fail, also before anything is seen
POOL_GREATEST = 0.6  # greatest part
FAILS_IF_FAILING = 0.9  # share of attempts that fail at a failing host
FAILS_IF_HEALTHY = 0.05  # the same at a healthy one


class HealthEstimator:
    """Keeps the chance that a host fails, for each host and level (`keys`, the whole host first).

    `pool` is the mean chance at each level, which a host without evidence has. Times are in seconds.
    """

    def __init__(self) -> None:
        self.hosts: dict[str, dict[str, tuple[float, float]]] = {}  # chance and time, by host and key
        self.pool: dict[str, float] = {}

    def health(self, host: str, keys: tuple[str, ...], now: float) -> float:
        """From 0, surely failing, to 1, at the worst of the levels."""
        return self.healths([host], keys, now)[0]

    def healths(self, hosts: list[str], keys: tuple[str, ...], now: float) -> list[float]:
        """The same for several hosts, in their order."""
        found, pools = list[float](), [(key, self.pool.get(key, POOL_LEAST)) for key in keys]
        last, left = now, 1.0  # a request's evidence at all levels is of one time
        for host in hosts:
            known, worst = self.hosts.get(host, {}), 0.0
            for key, chance in pools:
                if key in known:
                    was, at = known[key]
                    if at != last:
                        last, left = at, 0.5 ** ((now - at) / HALF_LIFE)
                    chance += (was - chance) * left
                worst = chance if chance > worst else worst
            found.append((1 - worst) ** 2)
        return found

    def record(self, host: str, keys: tuple[str, ...], failed: bool, now: float) -> None:
        """Takes the end of an attempt at the host as evidence, by Bayes' rule at each level."""
        greatest = max(self.pool.get(key, POOL_LEAST) for key in keys)
        known = self.hosts[host] = self.hosts.pop(host, {})
        for key in keys:
            chance = pool = self.pool.get(key, POOL_LEAST)
            if key in known:
                chance += (known[key][0] - chance) * 0.5 ** ((now - known[key][1]) / HALF_LIFE)
            if failed:
                chance += (after_failure(chance) - chance) * (pool / greatest) ** 2
            else:  # any answer shows that the host as a whole works, but not that it serves the other kinds
                chance = 0.0 if key == keys[0] else after_answer(chance)
            known[key] = (chance, now)
            self.pool[key] = min(POOL_GREATEST, max(POOL_LEAST, pool + GAIN * (chance - pool)))
        oldest = next(iter(self.hosts))
        if now - self.hosts[oldest][keys[0]][1] > FADED:
            del self.hosts[oldest]

    def forget(self, host: str) -> None:
        """Nothing is known of the host any longer."""
        self.hosts.pop(host, None)


def after_failure(chance: float) -> float:
    return chance * FAILS_IF_FAILING / (chance * FAILS_IF_FAILING + (1 - chance) * FAILS_IF_HEALTHY)


def after_answer(chance: float) -> float:
    failing, healthy = chance * (1 - FAILS_IF_FAILING), (1 - chance) * (1 - FAILS_IF_HEALTHY)
    return failing / (failing + healthy)
