"""The graceful shutdown of a gateway's process after SIGTERM.

SIGKILL comes no sooner than the longest deadline (KILL_DELAY_S at most) and 0.7 s after SIGTERM. Until then:

1. For ACCEPT_PERIOD_S new connections keep coming, and are served.
2. The listener closes, once what waits in its backlog is accepted.
3. Each connection closes when all its requests are answered; idle ones close at once.
4. FINISH_PERIOD_S past the longest deadline no connection is read any longer. What is in flight then fails.
5. All connections close.

Where another process serves the same socket the first two steps are skipped: what comes is for that one.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from api_gateway import interface as api
from api_gateway.gateway.serving_state import STOPPING

if TYPE_CHECKING:
    from api_gateway.gateway.node import GatewayNode

# Seconds after SIGTERM in which connections still come.
ACCEPT_PERIOD_S = 0.45
# Seconds past that for those that wait in the backlog.
BACKLOG_PERIOD_S = 0.1
# Seconds after SIGTERM at which SIGKILL may come, where no deadline is shorter; and 0.7 s more.
KILL_DELAY_S = 3.0
# Seconds past that by which everything is answered: a gateway may be held up for 0.15 s.
FINISH_PERIOD_S = 0.5
# Seconds between two checks whether all has ended.
POLL_INTERVAL_S = 0.02


async def shut_down(node: GatewayNode) -> None:
    """Answer what was admitted, as far as there is time, and release all that the process holds."""
    began = time.monotonic()
    node.serving.state = STOPPING
    longest_deadline = max(service_class.deadline for service_class in node.settings.classes.values())
    end = began + min(KILL_DELAY_S, longest_deadline) + FINISH_PERIOD_S
    if not node.serving.has_successor():
        await asyncio.sleep(ACCEPT_PERIOD_S)
        await node.clients.accept_backlog(BACKLOG_PERIOD_S)
    node.dispatcher.dispatch(api.DrainChanged(True))
    node.clients.begin_shutdown(end - time.monotonic())
    if not await wait_until_answered(node, end):
        await fail_remaining(node)
    await release(node)


async def wait_until_answered(node: GatewayNode, end: float) -> bool:
    """Wait until nothing is in flight and no client is connected.

    Args:
        node: The gateway.
        end: When to give up, in seconds of the monotonic clock.

    Returns:
        False where something is left at the end.
    """
    while node.in_flight or node.clients.connections:
        if time.monotonic() >= end:
            return False
        await asyncio.sleep(POLL_INTERVAL_S)
    return True


async def fail_remaining(node: GatewayNode) -> None:
    """Fail what is in flight. What is read from here on is rejected: there is no time to serve it."""
    node.requests.is_rejecting_all = True
    node.clients.stop_reading()
    node.requests.abandon_all()
    await asyncio.sleep(0)  # the last answers are written at the end of this turn


async def release(node: GatewayNode) -> None:
    """Close sockets, timers and files."""
    node.clients.close()
    if node.control:
        node.control.close()
        node.config_changes().close()
    node.watch.close()
    if node.member:
        node.member.close()
    node.upstream.close()
    if node.counter:
        node.counter.close()
    await node.discovery.close()
    node.siblings.unregister()
