"""Shut down a gateway process gracefully after SIGTERM.

SIGKILL follows SIGTERM after the longest deadline (at most KILL_DELAY_S) plus 0.7 s at the earliest. Until
then:

1. New connections are accepted and served for ACCEPT_PERIOD_S.
2. The connections in the backlog are accepted, then the listener closes.
3. Each connection closes once all its requests are answered. Idle connections close immediately.
4. FINISH_PERIOD_S after the longest deadline, reading from connections stops and requests in flight fail,
   except those whose value is being passed on.
5. These are finished, and all replies delivered to their clients, for up to STREAM_PERIOD_S, unless SIGKILL
   comes. A client that long takes none of its replies is not waited for.
6. All connections close.

If another process serves the same socket, the first two steps are skipped, because that process accepts the
new connections.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from api_gateway import interface as api
from api_gateway.gateway.serving_state import STOPPING

if TYPE_CHECKING:
    from api_gateway.gateway.node import GatewayNode

# Seconds after SIGTERM during which new connections are accepted.
ACCEPT_PERIOD_S = 0.45
# Further seconds for accepting the connections in the backlog.
BACKLOG_PERIOD_S = 0.1
# SIGKILL follows SIGTERM after the longest deadline, or this many seconds if that is shorter, plus 0.7 s.
KILL_DELAY_S = 3.0
# Seconds after that delay by which all requests are answered. It is less than the 0.7 s, because the gateway
# may be stalled for 0.15 s.
FINISH_PERIOD_S = 0.5
# Seconds after that in which values that have begun may be passed on, and replies delivered; SIGKILL may come
# late.
STREAM_PERIOD_S = 30.0
# Seconds after that for the clients to close their side.
CLOSE_PERIOD_S = 1.0
# Seconds between checks whether all requests and connections have ended.
CHECK_INTERVAL_S = 0.02


async def shut_down(node: GatewayNode) -> None:
    """Answer the admitted requests as far as time permits, then release all resources of the process."""
    started_at = time.monotonic()
    node.serving.state = STOPPING
    longest_deadline = max(service_class.deadline for service_class in node.settings.classes.values())
    give_up_at = started_at + min(KILL_DELAY_S, longest_deadline) + FINISH_PERIOD_S
    if not node.serving.has_successor():
        await asyncio.sleep(ACCEPT_PERIOD_S)
        await node.clients.accept_backlog(BACKLOG_PERIOD_S)
    node.dispatcher.dispatch(api.DrainChanged(True))
    node.clients.begin_shutdown(give_up_at - time.monotonic())
    if not await wait_until_answered(node, give_up_at):
        await fail_remaining(node)
        await deliver_replies(node)
    await release(node)


async def wait_until_answered(node: GatewayNode, give_up_at: float) -> bool:
    """Wait until nothing is in flight and no client is connected.

    Args:
        node: The gateway.
        give_up_at: When to stop waiting, in seconds of the monotonic clock.

    Returns:
        Whether all requests and connections ended in time.
    """
    while node.in_flight or node.clients.connections:
        if time.monotonic() >= give_up_at:
            return False
        await asyncio.sleep(CHECK_INTERVAL_S)
    return True


async def fail_remaining(node: GatewayNode) -> None:
    """Fail the requests in flight and reject commands read from now on, as no time is left to serve them.

    A request whose value is being passed on stays: its client could only be told by a closed connection.
    """
    node.requests.is_rejecting_all = True
    node.clients.stop_reading()
    node.requests.abandon_all()
    await asyncio.sleep(0)  # the last replies are written at the end of this event loop iteration


async def deliver_replies(node: GatewayNode) -> None:
    """Wait for the values that are being passed on, and until the clients have the replies to all requests.

    Until its last byte is delivered, a request is not answered; the kernel drops the rest of a reply when the
    process closes a connection with unread bytes.
    """
    if not has_undelivered_replies(node):
        return
    give_up_at = time.monotonic() + STREAM_PERIOD_S
    while has_undelivered_replies(node) and time.monotonic() < give_up_at:
        await asyncio.sleep(CHECK_INTERVAL_S)
    await wait_until_answered(node, time.monotonic() + CLOSE_PERIOD_S)


def has_undelivered_replies(node: GatewayNode) -> bool:
    """Return whether a value is being passed on, or a client is still taking replies."""
    return bool(node.in_flight) or node.clients.has_undelivered_replies()


async def release(node: GatewayNode) -> None:
    """Close all sockets, timers and files."""
    node.clients.close()
    if node.control:
        node.control.close()
        node.config_changes().close()
    node.sibling_watch.close()
    node.memory_watch.close()
    if node.member:
        node.member.close()
    node.upstream.close()
    if node.counter:
        node.counter.close()
    await node.discovery.close()
    node.forwarded_ids.close()
    node.siblings.unregister()
