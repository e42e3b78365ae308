"""A cluster of gateways in virtual time, over membership's own core: datagrams and bytes of a member while
all start at one moment, and at rest. No datagram is lost. Nothing here is a time of the machine."""

from __future__ import annotations

from collections import Counter

from api_gateway.experiments.membership.referee import Referee
from api_gateway.experiments.membership.world import Cluster
from api_gateway.membership.anti_entropy import EXCHANGE_INTERVAL_PER_MEMBER_S, EXCHANGE_INTERVAL_S
from api_gateway.membership.messages import Address
from api_gateway.membership.outbox import OutgoingDatagram
from api_gateway.membership.swim import Swim

LIFE = 1_700_000_000_000  # a member's first number: ms of a clock
DELAY = 0.001  # s of a datagram
LOOK = 0.5  # s between looks whether there is rest
WITHIN = 1200.0  # s until there is
ROUNDS = 3  # exchanges of all that is known over which rest is counted, of each member


class Unjudged(Referee):
    """What a cluster without faults need not be judged for: that costs by the square of it, or worse."""

    def on_faults_changed(self, names: object) -> None: ...

    def on_step(self, member: Swim, died: bool) -> None: ...

    def on_sent(self, member: Swim, sizes: list[int]) -> None: ...

    def on_received(self, member: Swim, data: bytes) -> None: ...


class Swarm(Cluster):
    def __init__(self, size: int, seed: int) -> None:
        self.sent: Counter[str] = Counter()  # datagrams, by member
        self.out: Counter[tuple[str, int]] = Counter()  # bytes, by member and second
        self.back = 0
        super().__init__(size, seed)
        self.referee = Unjudged(self)

    def start(
        self, name: str, address_index: int, incarnation: int, seeds: list[Address] | None = None
    ) -> Swim:
        """By a name and a number as long as those of a real gateway."""
        return super().start(f"gateway-{address_index}", address_index, LIFE, seeds)

    def notify_referee(self) -> None:
        """None of them is judged."""

    def dispatch(self, sender: Swim, sends: list[OutgoingDatagram]) -> None:
        for send in sends:
            self.sent[sender.name] += 1
            self.out[sender.name, int(self.now)] += len(send.data)
            if send.to in self.members:
                self.back += len(send.data)
                self.schedule_delivery(send, self.now + DELAY)

    def at_rest(self) -> bool:
        """All know each other, and no rumour is left."""
        return self.is_converged() and not any(
            len(member.pending_updates) for member in self.members.values()
        )


def members(size: int, seed: int = 1) -> dict[str, float]:
    """Of one member: at rest a second, and while all start."""
    swarm = Swarm(size, seed)
    known = swarm.settle(WITHIN)
    rest = known + swarm.run_until(swarm.at_rest, WITHIN, LOOK)
    started, worst = swarm.out.total(), max(swarm.out.values())
    swarm.sent.clear()
    swarm.out.clear()
    swarm.back = 0
    seconds = ROUNDS * max(EXCHANGE_INTERVAL_S, EXCHANGE_INTERVAL_PER_MEMBER_S * size)
    swarm.run(seconds)
    return {
        "messages_s": swarm.sent.total() / size / seconds,
        "bytes_out_s": swarm.out.total() / size / seconds,
        "bytes_in_s": swarm.back / size / seconds,
        "bytes_out_s_most": float(max(swarm.out.values())),
        "start_known_s": known,
        "start_rest_s": rest,
        "start_bytes_out": started / size,
        "start_bytes_out_s_most": float(worst),
    }
