"""A client that has gone: no attempt begins for it, whether or not the loop has read of its end. And the time
that attempts tell their hosts."""

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
ONE = {"edge": {"connects": 1, "connects_all": 1}}  # connects are shared


async def sent_on(node, *hosts):
    """The ids that hosts got, once whatever was on its way there has come."""
    await wait_until(lambda: not node.node.in_flight)
    for n in range(len(hosts)):
        node.node.upstream.set_address(f"h{n + 1}", ("127.0.0.1", hosts[n].port))
    for host in hosts:
        host.answer = VALUE
    assert await node.send_command(command(b"last")) == SERVED
    return [got[2] for host in hosts for got in host.commands if got[2] != b"last"]


class Leaver:
    """A client's plain socket: its close has taken effect at once, while the gateway's loop stands."""

    def __init__(self, node):
        self.node, self.sock = node, socket.create_connection(("127.0.0.1", node.port))

    def end(self, how):
        if how == "reset":
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        if how == "half":
            self.sock.shutdown(socket.SHUT_WR)
        else:
            self.sock.close()


def other(attempt):
    return {"h1": "h2", "h2": "h1"}[attempt.endpoint_id]


@pytest.mark.parametrize("how", ["close", "reset", "half"])
@pytest.mark.parametrize("paused", [False, True])
@pytest.mark.parametrize("cause", ["answer", "copy", "connect", "settle"])
@on_loop
async def test_no_further_attempt_begins_once_the_client_has_gone(cause, paused, how, tmp_path):
    """The loop gets to what causes the attempt before it gets to the client's end."""
    async with StubHost(None) as one, StubHost(None) as two, Node(one, two, path=tmp_path) as node:
        assert not node.node.in_flight
        for name in ("h1", "h2"):  # a connection rests at each: what goes out does so at once
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
        peer = Leaver(node)
        peer.sock.sendall(command())
        await wait_until(lambda: one.commands or two.commands)
        work = node.node.in_flight["r1"]
        (attempt,) = work.attempts.values()
        client, pool = work.pending_reply.connection, node.node.upstream.pools[other(attempt)]
        work.limits = replace(work.limits, can_hedge=True)
        if paused:
            client.pause_writing()
            assert client.reading_paused
        if cause == "answer":
            peer.end(how)
            attempt.connection.data_received(BUSY)
        elif cause == "copy":
            peer.end(how)
            node.node.attempts.send(api.SendAttempt("r1", other(attempt)))
        elif cause == "connect":
            held, open_ = asyncio.Event(), pool.open

            async def opened():
                conn = await open_()
                await held.wait()
                peer.end(how)  # in the turn in which the connection has come up
                return conn

            pool.open = opened
            node.node.attempts.send(api.SendAttempt("r1", other(attempt)))
            assert len(pool.connecting) == 1
            held.set()
        else:
            (resting,) = pool.idle
            pool.typical_response_time, pool.settle_time = 1e6, 1000.0
            node.node.attempts.send(api.SendAttempt("r1", other(attempt)))
            ((settling, (conn, timer)),) = pool.settling.items()
            assert conn is resting
            pool.settle_time = 0.0
            timer.cancel()
            peer.end(how)
            pool.on_settled(settling)
            assert pool.idle == [conn] and not pool.settling  # unused, so it serves the next
        assert cause == "connect" or (work.is_answered and work.attempt_count == 2)
        assert await sent_on(node, one, two) == [b"r1"]
        assert not node.node.clients.paused_connections
        peer.sock.close()


@pytest.mark.parametrize("how", ["close", "reset", "half"])
@pytest.mark.parametrize("copies", [True, False])
@on_loop
async def test_no_attempt_of_a_timer_begins_once_the_client_has_gone(copies, how, tmp_path):
    """The module finds an attempt late: it asks for a second copy, or calls that off and tries again. The
    loop gets to the timer before it gets to the client's end."""
    limits = SETTINGS["limits"] | {"second_copies": copies}
    async with (
        StubHost() as one,
        StubHost() as two,
        Node(one, two, path=tmp_path, settings=SETTINGS | {"limits": limits}) as node,
    ):
        for name in ("h1", "h2"):  # a connection rests at each: what goes out does so at once
            node.node.upstream.check_health(name, lambda attempt: None)
            await wait_until(lambda name=name: node.node.upstream.pools[name].idle)
            await wait_until_settled(node.node.upstream.pools[name])
        for host in (one, two):
            host.answer = None
            host.commands.clear()
        labels, ahead, clock = set(), [0.0], node.node.dispatcher.clock
        node.node.dispatcher.clock = lambda: clock() + ahead[0]
        node.node.executor._on_timer = lambda label, at: labels.add(label)  # the test says when
        node.node.executor.set_timer = lambda action: labels.add(action.label)
        node.node.dispatcher.handlers[api.SetTimer] = node.node.executor.set_timer
        peer = Leaver(node)
        peer.sock.sendall(command())
        await wait_until(lambda: one.commands or two.commands)
        work, sends = node.node.in_flight["r1"], []
        send = node.node.dispatcher.handlers[api.SendAttempt]
        node.node.dispatcher.handlers[api.SendAttempt] = lambda action: (sends.append(action), send(action))
        peer.end(how)
        while not sends:
            ahead[0] += 0.05
            assert ahead[0] < 2.5 and labels
            for label in list(labels):
                node.node.dispatcher.dispatch(api.TimerFired(label))
        assert work.is_answered
        assert await sent_on(node, one, two) == [b"r1"]
        peer.sock.close()


@pytest.mark.parametrize("more", [None, ONE])
@on_loop
async def test_a_burst_of_closes_ends_all_that_wait_for_a_connect(more, tmp_path):
    """None is read by the loop before the connections come up."""
    async with StubHost() as host, Node(host, path=tmp_path, config_overrides=more) as node:
        pool, peers, go = node.node.upstream.pools["h1"], [], asyncio.Event()
        set_in_flight_limit(node.node, 1000.0)
        node.node.engine.endpoint_pool.is_at_limit = lambda *_: False
        open_, node.node.upstream.connect_timeout = pool.open, 30.0
        stands, send = node.node.dispatcher.clock(), node.node.upstream.send
        # No attempt is given up while the rest of the burst comes.
        node.node.dispatcher.clock = lambda: stands
        node.node.dispatcher.handlers[api.SetTimer] = lambda action: None
        node.node.upstream.send = lambda attempt, timeout: send(attempt, 30.0)

        async def opened():
            conn = await open_()
            await go.wait()
            for peer in peers:
                peer.sock.close()
            return conn

        pool.open = opened
        for n in range(200):
            peers.append(Leaver(node))
            asked = command(b"r%03d" % n, terms(d="60000"), customer=b"%016x" % n)
            peers[-1].sock.sendall(asked)
        await wait_until(lambda: sum(bool(work.attempts) for work in node.node.in_flight.values()) == 200)
        go.set()
        assert await sent_on(node, host) == []
        assert not node.node.engine.requests_in_flight


@on_loop
async def test_a_command_that_is_read_with_its_clients_end_right_behind_is_not_sent_on(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        assert await node.send_command(command(b"r0")) == SERVED
        await wait_until_settled(node.node.upstream.pools["h1"])
        peer = Leaver(node)
        await wait_until(lambda: len(node.node.clients.connections) == 1)
        (client,) = node.node.clients.connections
        client.transport.pause_reading()  # so that the loop does not come before what follows
        peer.sock.sendall(command())
        peer.end("close")
        client.data_received(command())
        assert await sent_on(node, host) == [b"r0"]


@on_loop
async def test_a_half_closed_client_still_gets_its_answer_where_that_is_asked_for_but_none_after_a_reset(
    tmp_path,
):
    async with (
        StubHost(None) as one,
        StubHost(None) as two,
        Node(one, two, path=tmp_path, config_overrides={"edge": {"half_closed": True}}) as node,
    ):
        peer = Leaver(node)
        peer.sock.sendall(command())
        await wait_until(lambda: one.commands or two.commands)
        (attempt,) = node.node.in_flight["r1"].attempts.values()
        peer.end("half")
        next_host = two if attempt.endpoint_id == "h1" else one
        next_host.answer = VALUE
        attempt.connection.data_received(BUSY)
        assert (await next_host.arrived.get())[2] == b"r1"
        peer.sock.settimeout(0)
        assert await asyncio.get_running_loop().sock_recv(peer.sock, 100) == SERVED
        peer.sock.close()

        one.answer = two.answer = None
        peer = Leaver(node)
        peer.sock.sendall(command(b"r2"))
        await wait_until(
            lambda: (
                "r2" in node.node.in_flight
                and node.node.in_flight["r2"].attempts.get(0)
                and node.node.in_flight["r2"].attempts[0].is_written
            )
        )
        (attempt,) = node.node.in_flight["r2"].attempts.values()
        peer.end("reset")
        attempt.connection.data_received(BUSY)
        assert (await sent_on(node, one, two)).count(b"r2") <= 1


def told_left(got):
    """The time that an attempt told its host, in seconds."""
    return int(dict(term.split(b"=") for term in got[3].split(b","))[b"d"]) / 1000


@pytest.mark.parametrize("wait", ["connect", "settle"])
@on_loop
async def test_an_attempt_tells_its_host_what_is_left_when_it_goes_out(wait, tmp_path):
    """Not what was left before it waited for a connection."""
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        if wait == "settle":
            assert await node.send_command(command(b"r0")) == SERVED
        pool, go = node.node.upstream.pools["h1"], asyncio.Event()
        host.commands.clear()
        pool.typical_response_time, pool.settle_time = 1e6, 1000.0
        open_ = pool.open

        async def opened():
            conn = await open_()
            await go.wait()
            return conn

        pool.open = opened
        asked = asyncio.create_task(node.send_command(command()))
        await wait_until(lambda: "r1" in node.node.in_flight)
        work = node.node.in_flight["r1"]
        assert len(pool.connecting if wait == "connect" else pool.settling) == 1
        work.deadline -= 1.0  # as if a second had passed
        (attempt,) = work.attempts.values()
        attempt.deadline, attempt.started_at = attempt.deadline - 1.0, attempt.started_at - 1.0
        pool.settle_time = 0.0
        if wait == "settle":
            pool.settling[attempt][1].cancel()
            pool.on_settled(attempt)
        go.set()
        assert await asked == SERVED
        (got,) = host.commands
        assert 0.5 < told_left(got) <= 2.0


@on_loop
async def test_what_has_no_time_left_when_its_connection_comes_up_does_not_go_out(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        pool, go = node.node.upstream.pools["h1"], asyncio.Event()
        open_ = pool.open

        async def opened():
            conn = await open_()
            await go.wait()
            for work in node.node.in_flight.values():
                work.deadline -= 10.0
                for attempt in work.attempts.values():
                    attempt.deadline -= 10.0
            return conn

        pool.open = opened
        asked = asyncio.create_task(node.send_command(command()))
        await wait_until(lambda: "r1" in node.node.in_flight)
        go.set()
        assert (await asked)[:5] == b"-BUSY"
        assert not host.commands and len(pool.idle) == 1  # the connection rests for the next
        node.node.upstream.set_address("h1", ("127.0.0.1", host.port))


@on_loop
async def test_a_further_attempt_tells_no_more_than_is_left(tmp_path):
    async with StubHost(None) as one, StubHost(None) as two, Node(one, two, path=tmp_path) as node:
        peer = Leaver(node)
        peer.sock.sendall(command(terms=terms(d="900")))
        await wait_until(lambda: one.commands or two.commands)
        (attempt,) = node.node.in_flight["r1"].attempts.values()
        await asyncio.sleep(0.2)
        attempt.connection.data_received(BUSY)
        await wait_until(lambda: one.commands and two.commands)
        first, second = sorted((told_left(host.commands[0]) for host in (one, two)), reverse=True)
        assert first <= 0.87 and second <= 0.68
        peer.sock.close()


@pytest.mark.parametrize("more", [None, {"edge": {}}])
@on_loop
async def test_the_time_of_a_command_counts_from_when_its_bytes_came_not_from_its_turn(more, tmp_path):
    """The loop is late by the work for those before it on its connection."""
    async with StubHost() as host, Node(host, path=tmp_path, config_overrides=more) as node:
        assert await node.send_command(command(b"r0")) == SERVED
        await wait_until_settled(node.node.upstream.pools["h1"])
        host.commands.clear()
        reader, writer = await node.connect()
        take = node.node.requests.admit

        def slowly(slot, told):
            take(slot, told)
            if told[2] == b"r1":
                time.sleep(0.3)

        node.node.requests.admit = slowly
        writer.write(command(b"r1") + command(b"r2") + command(b"r3", terms(d="200")))
        assert [await read_reply(reader) for _ in range(2)] == [SERVED] * 2
        assert (await read_reply(reader))[:5] == b"-BUSY"  # its time was up when its turn came
        told = {got[2]: told_left(got) for got in host.commands}
        assert set(told) == {b"r1", b"r2"} and told[b"r2"] <= 2.7 < told[b"r1"] <= 3.0
