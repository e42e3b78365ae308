"""Bugs that can be planted in a gateway process; the soak test must detect each of them."""

import math
import os
import threading
import time
from dataclasses import replace

from api_gateway.base import byte_budget
from api_gateway.downstream import (
    client_connection,
    connection_state,
    pending_reply,
    reply_account,
    reply_delivery,
    send_time,
    turns,
)
from api_gateway.gateway import forwarded_ids, in_flight, node
from api_gateway.policy import endpoint_selection, endpoint_table, endpoints, quota_leases, retries
from api_gateway.upstream import connection

# How long a command takes in a gateway that handles commands without turns.
COMMAND_DURATION_S = 0.0005


def lose_replies():
    """Never write one reply in fifty."""
    complete, count = pending_reply.PendingReply.complete, 0

    def complete_most(self, reply):
        nonlocal count
        count += 1
        if count % 50 or reply.startswith(b"+"):
            complete(self, reply)

    pending_reply.PendingReply.complete = complete_most


def send_duplicates():
    """Retry attempts that may have been executed, whatever their service class."""
    retries.AttemptSender.can_send_to = lambda self, state, endpoint, now: (
        endpoint.entry.id not in state.tried_endpoints
    )
    retries.AttemptSender.send_time_left = lambda self, now, state: 1e9


def ignore_draining():
    """Keep using hosts that are listed as draining."""
    on_endpoint_list = node.GatewayNode.on_endpoint_list

    def on_endpoint_list_all_up(self, listing):
        endpoints_up = tuple(replace(endpoint, state="up") for endpoint in listing.endpoint_list.endpoints)
        on_endpoint_list(
            self, replace(listing, endpoint_list=replace(listing.endpoint_list, endpoints=endpoints_up))
        )

    node.GatewayNode.on_endpoint_list = on_endpoint_list_all_up


def ignore_slow_start():
    """Treat every host as fully warmed up, and prefer one that has just started."""
    selector = endpoint_selection.EndpointSelector
    cost = selector.cost
    endpoint_table.EndpointState.slow_start_factor = lambda self, now, rules: 1.0
    selector.cost = lambda self, endpoint, keys, now: (
        0.0 if endpoint.started_at > 0 else cost(self, endpoint, keys, now)
    )
    endpoints.MAX_IN_FLIGHT_PER_ENDPOINT = 100.0


def ignore_client_disconnects():
    """Ignore that a client has disconnected."""
    client_connection.ClientConnection._abandon_requests = lambda self: None


def extend_stated_deadline():
    """State a second more to hosts than the client has left."""
    payload = in_flight.InFlightRequest.payload
    in_flight.InFlightRequest.payload = lambda self, left: payload(self, left + 1.0)


def separate_quota_windows():
    """Give each process separate windows at the counter, so that gateways share no quota."""
    shared_hash = quota_leases.stable_hash
    quota_leases.stable_hash = lambda *parts: shared_hash(*parts, os.getpid())


def exit_while_running():
    """End the process 4 s after its start."""
    threading.Timer(4.0, os._exit, (3,)).start()


def exit_during_startup():
    """End the process before it listens."""
    os._exit(3)


def hold_replies_until_the_answer_ends():
    """Answer a request with a large value only when the answer of its host has ended."""
    connection.Connection._await_answer_end = lambda self, attempt: None


def wait_for_memory_without_end():
    """Let a large body wait for memory as long as it takes."""
    in_flight.InFlightRequests.body_wait_limit = lambda self, command: math.inf


def ignore_the_wait_for_memory():
    """Count the time of a request from when it was read, not from when it may have been sent."""
    send_time.SendTime.on_wait_ended = lambda self, now: setattr(self, "earliest", now)
    in_flight.BODY_WAIT_FRACTION = 1.0


def keep_bodies():
    """Keep what refers to a finished request."""
    kept = []
    in_flight.InFlightRequest.discard_references = lambda self: kept.append(self)


def handle_commands_without_turns():
    """Handle all commands of a read at once, however many, and read much at once.

    Each command takes a while, so that a read of many delays others however fast the machine is.
    """

    def take_command(self, connection):
        time.sleep(COMMAND_DURATION_S)
        return True

    turns.TurnScheduler.take_command = take_command
    client_connection.COMMAND_READ_BYTES = 64 * 1024


def grant_all_memory():
    """Reserve whatever is asked for."""

    def try_reserve(self, length):
        self.reserve_anyway(length)
        return True

    byte_budget.ByteBudget.try_reserve = try_reserve


def keep_forwarded_ids_private():
    """Share the forwarded ids with no other process."""
    node.GatewayNode._forwarded_ids_path = staticmethod(lambda config: None)


def forget_forwarded_ids():
    """Forward a request whatever its id."""
    forwarded_ids.ForwardedIds.add = lambda self, request_id: True
    forwarded_ids.ForwardedIds.__contains__ = lambda self, request_id: False


def keep_memory_of_replies():
    """Never return the bytes of replies to their budget."""
    reply_account.ReplyAccount.release = lambda self, reply: None


def count_written_as_delivered():
    """Take a reply for delivered once it has left the buffer of the gateway."""
    reply_delivery.ReplyDelivery.update = lambda self, now, undelivered: (
        reply_delivery.DeliveryState.DELIVERED
    )


def handle_commands_behind_values():
    """Forward commands although a value before them may break off."""
    client_connection.ClientConnection.on_value_began = lambda self: None
    client_connection.ClientConnection.on_value_ended = lambda self: None
    in_flight.InFlightRequest.is_held = property(lambda self: False, lambda self, value: None)


def forget_attempts_that_are_not_sent():
    """Leave attempts counted that are not begun, and begin those of clients that leave."""
    retries.AttemptSender.on_attempt_not_sent = lambda self, event: None


def shut_behind_the_first_reply():
    """Shut sending although commands that were read are not handled."""
    connection_state.ConnectionState._is_close_due = lambda self, *, is_draining: (
        is_draining or self.phase is connection_state.Phase.CLOSING
    )


def forget_parts_of_commands():
    """Take a connection on which a command has begun for one without input."""
    connection_state.ConnectionState.has_no_input = property(
        lambda self: self.input is not connection_state.Input.UNHANDLED
    )
    client_connection.ClientConnection.reject_partial_command = lambda self: None


PLANTED = {
    "shut behind first": shut_behind_the_first_reply,
    "parts forgotten": forget_parts_of_commands,
    "early delivery": count_written_as_delivered,
    "early idle": count_written_as_delivered,
    "no hold": handle_commands_behind_values,
    "lost places": forget_attempts_that_are_not_sent,
    "no turns": handle_commands_without_turns,
    "endless memory": grant_all_memory,
    "forgotten ids": forget_forwarded_ids,
    "private ids": keep_forwarded_ids_private,
    "kept replies": keep_memory_of_replies,
    "held replies": hold_replies_until_the_answer_ends,
    "endless wait": wait_for_memory_without_end,
    "uncounted wait": ignore_the_wait_for_memory,
    "kept bodies": keep_bodies,
    "lost": lose_replies,
    "duplicate": send_duplicates,
    "drain": ignore_draining,
    "failback": ignore_slow_start,
    "gone": ignore_client_disconnects,
    "deadline": extend_stated_deadline,
    "quota": separate_quota_windows,
    "crash": exit_while_running,
    "start": exit_during_startup,
}


def plant(name):
    """Plant the bug of this name."""
    PLANTED[name]()
