"""Disconnected clients and deadlines of attempts.

No attempt starts after a client has disconnected, even if the event loop has not reported it yet. Attempts
carry the time that is left when they are sent.
"""

import asyncio
import socket
import time
from dataclasses import replace

import pytest
from netkit import (
    SERVED,
    SETTINGS,
    VALUE,
    Node,
    StubHost,
    command,
    on_loop,
    read_reply,
    set_in_flight_limit,
    terms,
    wait_until,
    wait_until_settled,
)

from api_gateway import interface as api

BUSY = b"-BUSY\r\n"
ONE = {"edge": {"connects": 1, "connects_all": 1}}  # waiting attempts share connects


async def sent_request_ids(node, *hosts):
    """Return the request ids that hosts have received, after everything in transit has arrived."""
    await wait_until(lambda: not node.node.in_flight)
    for n in range(len(hosts)):
        node.node.upstream.set_address(f"h{n + 1}", ("127.0.0.1", hosts[n].port))
    for host in hosts:
        host.answer = VALUE
    assert await node.send_command(command(b"last")) == SERVED
    return [sent[2] for host in hosts for sent in host.commands if sent[2] != b"last"]


class DisconnectingClient:
    """A blocking client socket, which can be closed while the gateway's event loop is not running."""

    def __init__(self, node):
        self.node, self.sock = node, socket.create_connection(("127.0.0.1", node.port))

    def disconnect(self, how):
        if how == "reset":
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        if how == "half":
            self.sock.shutdown(socket.SHUT_WR)
        else:
            self.sock.close()


def other_endpoint(attempt):
    return {"h1": "h2", "h2": "h1"}[attempt.endpoint_id]


@pytest.mark.parametrize("how", ["close", "reset", "half"])
@pytest.mark.parametrize("paused", [False, True])
@pytest.mark.parametrize("cause", ["answer", "copy", "connect", "settle"])
@on_loop
async def test_no_further_attempt_starts_after_the_client_disconnected(cause, paused, how, tmp_path):
    """The event loop handles the cause of the attempt before the disconnect of the client."""
    async with StubHost(None) as one, StubHost(None) as two, Node(one, two, path=tmp_path) as node:
        assert not node.node.in_flight
        for name in ("h1", "h2"):  # an idle connection to each, so that attempts are sent immediately
            if cause != "connect":
                host = one if name == "h1" else two
                host.answer = VALUE
                node.node.upstream.check_health(name, lambda attempt: None)
                await host.arrived.get()
                host.answer = None
                await wait_until_settled(node.node.upstream.pools[name])
        for host in (one, two):
            host.commands.clear()
        host = one
        peer = DisconnectingClient(node)
        peer.sock.sendall(command())
        await wait_until(lambda: one.commands or two.commands)
        request = node.node.in_flight["r1"]
        (attempt,) = request.attempts.values()
        client, pool = request.pending_reply.connection, node.node.upstream.pools[other_endpoint(attempt)]
        request.limits = replace(request.limits, can_hedge=True)
        if paused:
            client.pause_writing()
            assert client.reading_paused
        if cause == "answer":
            peer.disconnect(how)
            attempt.connection.data_received(BUSY)
        elif cause == "copy":
            peer.disconnect(how)
            node.node.attempts.send(api.SendAttempt("r1", other_endpoint(attempt)))
        elif cause == "connect":
            can_connect, open_ = asyncio.Event(), pool.open

            async def opened():
                conn = await open_()
                await can_connect.wait()
                peer.disconnect(how)  # in the loop iteration in which the connection is established
                return conn

            pool.open = opened
            node.node.attempts.send(api.SendAttempt("r1", other_endpoint(attempt)))
            assert len(pool.connecting) == 1
            can_connect.set()
        else:
            (idle,) = pool.idle
            pool.typical_response_time, pool.settle_time = 1e6, 1000.0
            node.node.attempts.send(api.SendAttempt("r1", other_endpoint(attempt)))
            ((settling, (conn, timer)),) = pool.settling.items()
            assert conn is idle
            pool.settle_time = 0.0
            timer.cancel()
            peer.disconnect(how)
            pool.on_settled(settling)
            assert pool.idle == [conn] and not pool.settling  # unused, so the next attempt can use it
        assert cause == "connect" or (request.is_answered and request.attempt_count == 2)
        assert await sent_request_ids(node, one, two) == [b"r1"]
        assert not node.node.clients.paused_connections
        peer.sock.close()


@pytest.mark.parametrize("how", ["close", "reset", "half"])
@pytest.mark.parametrize("copies", [True, False])
@on_loop
async def test_no_timer_starts_an_attempt_after_the_client_disconnected(copies, how, tmp_path):
    """A late attempt leads to a hedged request, or to a cancellation and a retry.

    The event loop handles the timer before the disconnect of the client.
    """
    limits = SETTINGS["limits"] | {"second_copies": copies}
    async with (
        StubHost() as one,
        StubHost() as two,
        Node(one, two, path=tmp_path, settings=SETTINGS | {"limits": limits}) as node,
    ):
        for name in ("h1", "h2"):  # an idle connection to each, so that attempts are sent immediately
            node.node.upstream.check_health(name, lambda attempt: None)
            await wait_until(lambda name=name: node.node.upstream.pools[name].idle)
            await wait_until_settled(node.node.upstream.pools[name])
        for host in (one, two):
            host.answer = None
            host.commands.clear()
        labels, clock_offset, clock = set(), [0.0], node.node.dispatcher.clock
        node.node.dispatcher.clock = lambda: clock() + clock_offset[0]
        node.node.executor._on_timer = lambda label, at: labels.add(label)  # the test fires timers itself
        node.node.executor.set_timer = lambda action: labels.add(action.label)
        node.node.dispatcher.handlers[api.SetTimer] = node.node.executor.set_timer
        peer = DisconnectingClient(node)
        peer.sock.sendall(command())
        await wait_until(lambda: one.commands or two.commands)
        request, sends = node.node.in_flight["r1"], []
        send = node.node.dispatcher.handlers[api.SendAttempt]
        node.node.dispatcher.handlers[api.SendAttempt] = lambda action: (sends.append(action), send(action))
        peer.disconnect(how)
        while not sends:
            clock_offset[0] += 0.05
            assert clock_offset[0] < 2.5 and labels
            for label in list(labels):
                node.node.dispatcher.dispatch(api.TimerFired(label))
        assert request.is_answered
        assert await sent_request_ids(node, one, two) == [b"r1"]
        peer.sock.close()


@pytest.mark.parametrize("more", [None, ONE])
@on_loop
async def test_a_burst_of_closes_cancels_all_attempts_waiting_for_a_connect(more, tmp_path):
    """The event loop handles no disconnect before the connections to the host are established."""
    async with StubHost() as host, Node(host, path=tmp_path, config_overrides=more) as node:
        pool, peers, can_connect = node.node.upstream.pools["h1"], [], asyncio.Event()
        set_in_flight_limit(node.node, 1000.0)
        node.node.engine.endpoint_pool.is_at_limit = lambda *_: False
        open_, node.node.upstream.connect_timeout = pool.open, 30.0
        frozen_time, send = node.node.dispatcher.clock(), node.node.upstream.send
        # No attempt times out while the remaining clients connect.
        node.node.dispatcher.clock = lambda: frozen_time
        node.node.dispatcher.handlers[api.SetTimer] = lambda action: None
        node.node.upstream.send = lambda attempt, timeout: send(attempt, 30.0)

        async def opened():
            conn = await open_()
            await can_connect.wait()
            for peer in peers:
                peer.sock.close()
            return conn

        pool.open = opened
        for n in range(200):
            peers.append(DisconnectingClient(node))
            request_bytes = command(b"r%03d" % n, terms(d="60000"), customer=b"%016x" % n)
            peers[-1].sock.sendall(request_bytes)
        await wait_until(
            lambda: sum(bool(request.attempts) for request in node.node.in_flight.values()) == 200
        )
        can_connect.set()
        assert await sent_request_ids(node, host) == []
        assert not node.node.engine.requests_in_flight


@on_loop
async def test_a_command_followed_by_a_disconnect_is_not_sent(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        assert await node.send_command(command(b"r0")) == SERVED
        await wait_until_settled(node.node.upstream.pools["h1"])
        peer = DisconnectingClient(node)
        await wait_until(lambda: len(node.node.clients.connections) == 1)
        (client,) = node.node.clients.connections
        client.transport.pause_reading()  # so that the event loop does not read before the lines below
        peer.sock.sendall(command())
        peer.disconnect("close")
        client.data_received(command())
        assert await sent_request_ids(node, host) == [b"r0"]


@on_loop
async def test_a_half_closed_client_gets_its_reply_if_configured_but_none_after_a_reset(
    tmp_path,
):
    async with (
        StubHost(None) as one,
        StubHost(None) as two,
        Node(one, two, path=tmp_path, config_overrides={"edge": {"half_closed": True}}) as node,
    ):
        peer = DisconnectingClient(node)
        peer.sock.sendall(command())
        await wait_until(lambda: one.commands or two.commands)
        (attempt,) = node.node.in_flight["r1"].attempts.values()
        peer.disconnect("half")
        next_host = two if attempt.endpoint_id == "h1" else one
        next_host.answer = VALUE
        attempt.connection.data_received(BUSY)
        assert (await next_host.arrived.get())[2] == b"r1"
        peer.sock.settimeout(0)
        assert await asyncio.get_running_loop().sock_recv(peer.sock, 100) == SERVED
        peer.sock.close()

        one.answer = two.answer = None
        peer = DisconnectingClient(node)
        peer.sock.sendall(command(b"r2"))
        await wait_until(
            lambda: (
                "r2" in node.node.in_flight
                and node.node.in_flight["r2"].attempts.get(0)
                and node.node.in_flight["r2"].attempts[0].is_written
            )
        )
        (attempt,) = node.node.in_flight["r2"].attempts.values()
        peer.disconnect("reset")
        attempt.connection.data_received(BUSY)
        assert (await sent_request_ids(node, one, two)).count(b"r2") <= 1


def remaining_s(sent):
    """Return the remaining time that an attempt carried, in seconds."""
    return int(dict(term.split(b"=") for term in sent[3].split(b","))[b"d"]) / 1000


@pytest.mark.parametrize("wait", ["connect", "settle"])
@on_loop
async def test_an_attempt_carries_the_time_left_when_it_is_sent(wait, tmp_path):
    """The time spent waiting for a connection is subtracted."""
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        if wait == "settle":
            assert await node.send_command(command(b"r0")) == SERVED
        pool, can_connect = node.node.upstream.pools["h1"], asyncio.Event()
        host.commands.clear()
        pool.typical_response_time, pool.settle_time = 1e6, 1000.0
        open_ = pool.open

        async def opened():
            conn = await open_()
            await can_connect.wait()
            return conn

        pool.open = opened
        reply_task = asyncio.create_task(node.send_command(command()))
        await wait_until(lambda: "r1" in node.node.in_flight)
        request = node.node.in_flight["r1"]
        assert len(pool.connecting if wait == "connect" else pool.settling) == 1
        request.deadline -= 1.0  # as if a second had passed
        (attempt,) = request.attempts.values()
        attempt.deadline, attempt.started_at = attempt.deadline - 1.0, attempt.started_at - 1.0
        pool.settle_time = 0.0
        if wait == "settle":
            pool.settling[attempt][1].cancel()
            pool.on_settled(attempt)
        can_connect.set()
        assert await reply_task == SERVED
        (sent,) = host.commands
        assert 0.5 < remaining_s(sent) <= 2.0


@on_loop
async def test_an_attempt_without_time_left_when_connected_is_not_sent(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        pool, can_connect = node.node.upstream.pools["h1"], asyncio.Event()
        open_ = pool.open

        async def opened():
            conn = await open_()
            await can_connect.wait()
            for request in node.node.in_flight.values():
                request.deadline -= 10.0
                for attempt in request.attempts.values():
                    attempt.deadline -= 10.0
            return conn

        pool.open = opened
        reply_task = asyncio.create_task(node.send_command(command()))
        await wait_until(lambda: "r1" in node.node.in_flight)
        can_connect.set()
        assert (await reply_task)[:5] == b"-BUSY"
        assert not host.commands and len(pool.idle) == 1  # the connection stays idle for the next attempt
        node.node.upstream.set_address("h1", ("127.0.0.1", host.port))


@on_loop
async def test_a_further_attempt_carries_only_the_time_left(tmp_path):
    async with StubHost(None) as one, StubHost(None) as two, Node(one, two, path=tmp_path) as node:
        peer = DisconnectingClient(node)
        peer.sock.sendall(command(terms=terms(d="900")))
        await wait_until(lambda: one.commands or two.commands)
        (attempt,) = node.node.in_flight["r1"].attempts.values()
        await asyncio.sleep(0.2)
        attempt.connection.data_received(BUSY)
        await wait_until(lambda: one.commands and two.commands)
        first, second = sorted((remaining_s(host.commands[0]) for host in (one, two)), reverse=True)
        assert first <= 0.87 and second <= 0.68
        peer.sock.close()


@pytest.mark.parametrize("more", [None, {"edge": {}}])
@on_loop
async def test_the_deadline_of_a_command_counts_from_its_receipt_not_its_handling(more, tmp_path):
    """Handling earlier commands of the connection delays a command, which must reduce its remaining time."""
    async with StubHost() as host, Node(host, path=tmp_path, config_overrides=more) as node:
        assert await node.send_command(command(b"r0")) == SERVED
        await wait_until_settled(node.node.upstream.pools["h1"])
        host.commands.clear()
        reader, writer = await node.connect()
        admit = node.node.requests.admit

        def admit_slowly(pending_reply, parts):
            admit(pending_reply, parts)
            if parts[2] == b"r1":
                time.sleep(0.3)

        node.node.requests.admit = admit_slowly
        writer.write(command(b"r1") + command(b"r2") + command(b"r3", terms(d="200")))
        assert [await read_reply(reader) for _ in range(2)] == [SERVED] * 2
        assert (await read_reply(reader))[:5] == b"-BUSY"  # its deadline had passed when it was handled
        remaining = {sent[2]: remaining_s(sent) for sent in host.commands}
        assert set(remaining) == {b"r1", b"r2"} and remaining[b"r2"] <= 2.7 < remaining[b"r1"] <= 3.0
