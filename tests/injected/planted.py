"""Bugs that are planted in a gateway's process, each of which the soak has to catch."""

import os
import threading
from dataclasses import replace

from api_gateway.downstream import pending_reply
from api_gateway.gateway import in_flight
from api_gateway.gateway import node as gateway
from api_gateway.policy import endpoint_selection, endpoint_table
from api_gateway.policy import endpoints as fleet
from api_gateway.policy import quota_leases as quota_layer
from api_gateway.policy import retries as attempts


def lost():
    """One answer in fifty is never written."""
    reply, count = pending_reply.PendingReply.complete, 0

    def forgetful(self, answer):
        nonlocal count
        count += 1
        if count % 50 or answer.startswith(b"+"):
            reply(self, answer)

    pending_reply.PendingReply.complete = forgetful


def duplicate():
    """What may have run is sent again, whatever its class."""
    attempts.AttemptSender.can_send_to = lambda self, state, s, now: s.entry.id not in state.tried_endpoints
    attempts.AttemptSender.send_time_left = lambda self, now, state: 1e9


def drain():
    """Hosts that are told to leave are used on."""
    listed = gateway.GatewayNode.on_endpoint_list

    def deaf(self, listing):
        up = tuple(replace(host, state="up") for host in listing.endpoint_list.endpoints)
        listed(self, replace(listing, endpoint_list=replace(listing.endpoint_list, endpoints=up)))

    gateway.GatewayNode.on_endpoint_list = deaf


def failback():
    """Every host counts as warm, and one that has just started as the best."""
    selector = endpoint_selection.EndpointSelector
    cost = selector.cost
    endpoint_table.EndpointState.slow_start_factor = lambda self, now, rules: 1.0
    selector.cost = lambda self, s, keys, now: 0.0 if s.started_at > 0 else cost(self, s, keys, now)
    fleet.MAX_IN_FLIGHT_PER_ENDPOINT = 100.0


def gone():
    """Nobody hears that a client has gone."""
    in_flight.InFlightRequests.on_client_disconnected = lambda self, slot: None


def deadline():
    """Hosts are told of a second more than the client has left."""
    payload = in_flight.InFlightRequest.payload
    in_flight.InFlightRequest.payload = lambda self, left: payload(self, left + 1.0)


def quota():
    """Each process has windows of its own at the counter."""
    name = quota_layer.stable_hash
    quota_layer.stable_hash = lambda *parts: name(*parts, os.getpid())


def crash():
    threading.Timer(4.0, os._exit, (3,)).start()


def start():
    """The process ends before it listens."""
    os._exit(3)


PLANTED = {
    "lost": lost,
    "duplicate": duplicate,
    "drain": drain,
    "failback": failback,
    "gone": gone,
    "deadline": deadline,
    "quota": quota,
    "crash": crash,
    "start": start,
}


def plant(name):
    PLANTED[name]()
