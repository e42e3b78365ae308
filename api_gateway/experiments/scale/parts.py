"""Crowds of what a gateway takes part with beside the list: members of a cluster, or holders of budgets.

Started as a program with {"kind": "members" or "holders", ...} in JSON, as a process of hollow gateways is.
"""

from __future__ import annotations

import json
import sys
import tempfile
from pathlib import Path
from typing import Any

import msgspec
import uvloop

from api_gateway.budgets.client import BudgetClient
from api_gateway.budgets.settings import BudgetSettings
from api_gateway.experiments.scale.crowds import stand
from api_gateway.membership.outbox import OutgoingDatagram
from api_gateway.membership.service import MembershipService, read_membership_config

CLUSTER = "scale"


class Counted(MembershipService):
    """The gateway's own member; datagrams and bytes each way are counted."""

    def __init__(self, number: int, seeds: list[str]) -> None:
        told = {"cluster": CLUSTER, "listen": "127.0.0.1:0", "seeds": seeds}
        super().__init__(read_membership_config(told), f"hollow-{number}", lambda: {"kind": "gateway"})
        self.sent = self.out = self.got = self.back = 0

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.got, self.back = self.got + 1, self.back + len(data)
        super().datagram_received(data, addr)

    def send(self, sends: list[OutgoingDatagram]) -> None:
        self.sent, self.out = self.sent + len(sends), self.out + sum(len(send.data) for send in sends)
        super().send(sends)

    def counts(self) -> dict[str, float]:
        return {
            "sent": self.sent,
            "out": self.out,
            "got": self.got,
            "back": self.back,
            "rumours": len(self.swim.pending_updates),
            "known": sum(member.state == "alive" for member in self.swim.members.values()),
        }


class Holder:
    """The gateway's own client of the grantor."""

    def __init__(self, terms: BudgetSettings, grantor: str, number: int, folder: Path) -> None:
        self.client = BudgetClient(terms, grantor, f"hollow-{number}", "a", number, folder)

    async def start(self) -> None:
        self.client.start()

    def counts(self) -> dict[str, float]:
        holder = self.client.holder
        return {
            "sent": holder.sequence,
            "failures": self.client.failures,
            "granted": sum(
                holder.allowed_amount(self.client.clock(), name) > 0 for name in holder.allowances
            ),
        }


async def serve(told: dict[str, Any], folder: Path) -> None:
    numbers = range(told["first"], told["first"] + told["count"])
    if told["kind"] == "members":
        await stand([Counted(number, told["seeds"]) for number in numbers])
    else:
        terms = msgspec.convert(told["terms"], BudgetSettings)
        await stand([Holder(terms, told["grantor"], number, folder) for number in numbers])


def main() -> int:
    with tempfile.TemporaryDirectory(prefix="parts-") as folder:
        uvloop.run(serve(json.loads(sys.argv[1]), Path(folder)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
