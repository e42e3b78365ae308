"""The end of a gateway's process after SIGTERM.

SIGKILL comes no sooner than the longest deadline (KILLED_AT at most) and 0.7 s after SIGTERM. Until then:

1. For ACCEPT_FOR new connections keep coming, and are served.
2. The listener closes, once what waits in its backlog is accepted.
3. Each connection closes when all that it asked is answered; what rests closes at once.
4. FINISH past the longest deadline no connection is read any longer. What is in flight then is failed.
5. All connections close.

Where another process serves the same socket the first two steps are skipped: what comes is for that one.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from api_gateway import interface as api

if TYPE_CHECKING:
    from api_gateway.gateway.node import GatewayNode

ACCEPT_FOR = 0.45  # s after SIGTERM in which connections still come
ACCEPT_LAST = 0.1  # s past that for those that wait in the backlog
KILLED_AT = 3.0  # s after SIGTERM at which SIGKILL may come, where no deadline is shorter, and 0.7 s more
FINISH = 0.5  # s past that, by which everything is answered: a gateway may be held up for 0.15 s
POLL_INTERVAL = 0.02  # s between two looks whether all has ended


async def shut_down(node: GatewayNode) -> None:
    """Answers what was taken, as far as there is time, and releases all that the process holds."""
    began = time.monotonic()
    node.state = "stopping"
    longest = max(cls.deadline for cls in node.settings.classes.values())
    end = began + min(KILLED_AT, longest) + FINISH
    if not node.succeeded():
        await asyncio.sleep(ACCEPT_FOR)
        await node.clients.take_last(ACCEPT_LAST)
    node.feed(api.DrainChanged(True))
    node.clients.finish(end - time.monotonic())
    if not await all_answered(node, end):
        await give_up(node)
    await release(node)


async def all_answered(node: GatewayNode, end: float) -> bool:
    """Waits until nothing is in flight and no client is connected; False where that is not so in time."""
    while node.in_flight or node.clients.clients:
        if time.monotonic() >= end:
            return False
        await asyncio.sleep(POLL_INTERVAL)
    return True


async def give_up(node: GatewayNode) -> None:
    """Fails what is in flight. What is read from here on is refused: there is no time to serve it."""
    node.gives_up = True
    node.clients.stop_reading()
    for work in list(node.in_flight.values()):
        node.abandon(work)
    await asyncio.sleep(0)  # the last answers are written at the end of this turn


async def release(node: GatewayNode) -> None:
    """Closes sockets, timers and files."""
    node.clients.close()
    if node.control:
        node.control.close()
        node.changes.close()
    if node.looking:
        node.looking.cancel()
    if node.member:
        node.member.close()
    node.hosts.close()
    if node.counter:
        node.counter.close()
    await node.discovery.close()
    node.lives.end()
