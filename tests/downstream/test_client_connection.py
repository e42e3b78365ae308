"""Client connections: invalid input, the order of replies, disconnects, limits and shutdown."""

import asyncio
import contextlib
import fcntl
import gc
import socket
import termios
import time
import weakref

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
)

from api_gateway.downstream import client_connection as clients
from api_gateway.downstream import client_server, connection_timeouts
from api_gateway.downstream.connection_ends import EndReason
from api_gateway.downstream.connection_state import CloseCause
from api_gateway.gateway import shutdown
from api_gateway.policy import load_shedding as shedding

PING = b"*1\r\n$4\r\nPING\r\n"


@pytest.mark.parametrize(
    "bad",
    [
        b"*1\r\n$7\r\nUNKNOWN\r\n",
        b"*0\r\n",
        b"*-1\r\n",
        b":5\r\n",
        b"*2\r\n$8\r\nAPI.READ\r\n*0\r\n",
        command(terms=terms(d=None)),
        command(terms=terms(d="soon")),
        command(terms=terms(d="-1")),
        command(terms=terms(c="none")),
        command(terms=terms(t="none")),
        command(terms=terms(units="nan")),
        command(terms=terms(spread="0")),
        command(terms=terms(c="note")),
        command(terms=b"\xff\xfe"),
        command(terms=terms(c=None)),
        command(customer=b"xyz"),
        command(request_id=b""),
        command(body=b"BODY"),
        command(terms=terms(d="9" * 400)),
        command(terms=terms(d="9" * 12)),
        command(terms=terms(units="1e999")),
        command(terms=terms(c="write"), verb=b"API.WRITE", body=b"x"),  # keyed, without its key
        command(terms=terms(c="write"), verb=b"API.WRITE", body=b"x" * 65537),
        command(terms=terms(units="1e12")),
        command(terms=terms(units="0")),
        command(terms=terms(spread="2")),
        command(terms=terms(first="1")),
        command(customer=b"0000000200000000"),
    ],
)
@on_loop
async def test_bad_commands_get_an_error_and_the_connection_stays_open(bad, tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        writer.write(bad + b"*1\r\n$4\r\nPING\r\n")
        assert (await read_reply(reader)).startswith(b"-ERR")
        assert await read_reply(reader) == b"+PONG\r\n"
        assert not host.commands


@pytest.mark.parametrize(
    "bad",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        b"*1\r\n$70000\r\n" + b"x" * 69900,
        b"*x\r\n",
        b"*99999999999\r\n",
        b"*4294967295\r\n",
        b"*1000000000\r\n",
        b"*2\r\n$8\r\nAPI.READ\r\n*1000000000\r\n",
        b"$60000000\r\n",
        b"%1000000000\r\n",
        b"*" + b"1" * 5000,
        b"*two\r\n",
    ],
)
@on_loop
async def test_lost_framing_closes_only_its_own_connection(bad, tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        writer.write(bad)
        assert (await read_reply(reader)).startswith(b"-ERR")
        assert await read_reply(reader) == b""
        assert await node.send_command(command()) == SERVED


@on_loop
async def test_replies_are_in_command_order(tmp_path):
    async with StubHost(answer=None) as host, Node(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        writer.write(command(b"slow"))
        await host.arrived.get()
        writer.write(b"*1\r\n$4\r\nPING\r\n")
        host.writers[0].write(VALUE)
        assert await read_reply(reader) == SERVED
        assert await read_reply(reader) == b"+PONG\r\n"


@on_loop
async def test_the_attempt_of_a_disconnected_client_is_cancelled(tmp_path):
    async with StubHost(answer=None) as host, Node(host, path=tmp_path) as node:
        _, writer = await node.connect()
        writer.write(command())
        await host.arrived.get()
        writer.close()
        assert await host.arrived.get() is None  # the connection to the host was closed
        assert not node.node.in_flight


@on_loop
async def test_commands_on_a_connection_that_will_close_are_served(tmp_path):
    async with StubHost(None) as host, Node(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        writer.write(command(b"first"))
        await host.arrived.get()
        node.node.clients.begin_shutdown()
        writer.write(command(b"second"))
        while (await host.arrived.get())[2] != b"second":
            pass
        for host_writer in host.writers:
            host_writer.write(VALUE)
        assert [await read_reply(reader) for _ in range(3)] == [SERVED, SERVED, b""]


@pytest.mark.parametrize(
    "part", [b"", b"*", b"*4\r\n$8\r\nAPI.READ\r\n", command()[:-9], command() + b"*1\r\n"]
)
@on_loop
async def test_a_peer_without_a_complete_command_is_disconnected(part, tmp_path, monkeypatch):
    monkeypatch.setattr(connection_timeouts, "COMMAND_TIMEOUT_S", 0.3)
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        writer.write(part)
        served = SERVED if command() in part else b""
        assert await reader.read() == served + b"-ERR no whole command in time\r\n"


@on_loop
async def test_a_connection_may_stay_idle_between_requests(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        for name in (b"r1", b"r2"):
            writer.write(command(name))
            assert await read_reply(reader) == SERVED
            for client in list(node.node.clients.connections):
                connection_timeouts.check_timeouts(client, time.monotonic() + 1000)


@on_loop
async def test_above_the_limit_the_longest_idle_connection_is_closed(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        node.node.clients.capacity = 2
        peers = [await node.connect() for _ in range(2)]
        for reader, writer in reversed(peers):
            writer.write(command(b"x%d" % id(reader)))
            assert await read_reply(reader) == SERVED
        assert await node.send_command(command(b"r3")) == SERVED
        assert await peers[1][0].read() == b""
        peers[0][1].write(command(b"r4"))
        assert await read_reply(peers[0][0]) == SERVED


@pytest.fixture
def hold_requests(monkeypatch):
    """Return a function that makes the requests of a node wait for capacity at a host indefinitely."""
    monkeypatch.setattr(shedding, "MAX_QUEUE_TIME_FRACTION", 100.0)
    monkeypatch.setattr(shedding, "MIN_QUEUE_LENGTH", 1000)
    return lambda node: setattr(node.node.engine.endpoint_pool, "is_at_limit", lambda *_: True)


def stall_before(why, node, monkeypatch):
    """Prepare a condition under which the gateway pauses reading from a client with waiting requests."""
    if why == "pipeline":
        monkeypatch.setattr(clients, "MAX_PENDING_COMMANDS", 2)
    elif why == "body":
        node.node.clients.body_budget.reserved_bytes = node.node.clients.body_budget.capacity_bytes = 1


def stall_after(why, node, monkeypatch):
    if why == "drain":
        node.node.clients.drain_read_s = 0.0
        monkeypatch.setattr(connection_timeouts, "DRAIN_FIRST_COMMAND_TIMEOUT_S", 0.0)
        node.node.clients.set_draining(True)
    elif why == "answers":
        (client,) = node.node.clients.connections
        client.pause_writing()


LONG = terms(d="60000")  # longer than a test lasts, so that only the disconnect can end a request
UPLOAD = command(b"body", terms(c="write", k="7"), b"API.WRITE", body=b"x" * 100_000)


@pytest.mark.parametrize("why", ["pipeline", "drain", "body", "answers"])
@pytest.mark.parametrize("behind", [b"", command(b"behind") * 200])
@on_loop
async def test_no_request_is_sent_for_a_client_that_disconnected_while_not_read(
    why, behind, hold_requests, tmp_path, monkeypatch
):
    """The end of file is queued behind bytes that are not read, so reading would not reveal it."""
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        hold_requests(node)
        node.node.sibling_watch.timer.cancel()
        stall_before(why, node, monkeypatch)
        peer = Peer(node.port)
        peer.send(command(b"r1", LONG) + command(b"r2", LONG) + (UPLOAD if why == "body" else b""))
        await wait_until(lambda: len(node.node.in_flight) == 2)
        stall_after(why, node, monkeypatch)
        (client,) = node.node.clients.connections
        await wait_until(lambda: client.reading_paused)
        if behind:
            peer.send(behind)
        peer.sock.close()
        await wait_until(lambda: not node.node.in_flight)
        assert not node.node.engine.requests_in_flight and not host.commands


@pytest.mark.parametrize(
    "sent",
    [command(b"%d", LONG), command(b"%d", LONG) + command(b"b%d", LONG), command(b"%d", LONG) + b"*4\r\n$"],
)
@on_loop
async def test_a_burst_of_disconnects_leaves_no_request_to_send(sent, hold_requests, tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        hold_requests(node)
        peers = [await node.connect() for _ in range(200)]
        for n, (_, writer) in enumerate(peers):
            writer.write(sent.replace(b"%d", b"%02d" % (n % 100) if n < 100 else b"%02x" % (n + 56)))
        total = 200 * sent.count(b"API.READ")
        await wait_until(lambda: len(node.node.in_flight) >= 0.9 * total)  # the others have duplicate ids
        for _, writer in peers:
            writer.close()
        await wait_until(lambda: not node.node.in_flight and not node.node.clients.connections)
        assert not node.node.engine.requests_in_flight and not host.commands


class Peer:
    """A blocking client socket, whose actions take effect within one iteration of the gateway's loop."""

    def __init__(self, port, receive=0):
        self.sock = socket.socket()
        if receive:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive)
        self.sock.connect(("127.0.0.1", port))

    def send(self, data):
        self.sock.sendall(data)

    async def read(self):
        """Return all bytes up to the end of file; raises ConnectionResetError after a reset."""
        loop, received = asyncio.get_running_loop(), b""
        self.sock.setblocking(False)
        while data := await loop.sock_recv(self.sock, 65536):
            received += data
        return received


def count_unread(client):
    count = fcntl.ioctl(client.transport.get_extra_info("socket").fileno(), termios.FIONREAD, b"\0" * 4)
    return int.from_bytes(count, "little")


@pytest.mark.parametrize("size", [5, 60_000])
@pytest.mark.parametrize("what", [command(b"late"), command(b"late")[:20]])
@on_loop
async def test_a_request_that_arrives_during_a_close_loses_no_reply(size, what, tmp_path, monkeypatch):
    """A request arrives between the gateway's last check for unread bytes and its close.

    The earlier reply must still arrive completely, the connection must close without a reset, and the late
    request must not be sent to a host.
    """
    async with (
        StubHost(b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (size, b"v" * size)) as host,
        Node(host, path=tmp_path) as node,
    ):
        peer, has_unread_bytes, notified = (
            Peer(node.port, 4096),
            clients.ClientConnection.has_unread_bytes,
            [],
        )

        def check_then_send(client):
            found = has_unread_bytes(client)
            if not found and not notified and host.commands:
                notified.append(client)
                peer.send(what)
                while not count_unread(client):
                    pass
            return found

        monkeypatch.setattr(clients.ClientConnection, "has_unread_bytes", check_then_send)
        peer.send(command(b"r1"))
        await wait_until(lambda: node.node.in_flight or host.commands)
        node.node.clients.set_draining(True)
        await wait_until(lambda: notified)
        assert await peer.read() == b"$%d\r\n%s\r\n" % (size, b"v" * size)
        peer.sock.close()
        await wait_until(lambda: not node.node.clients.connections)
        assert [sent[2] for sent in host.commands] == [b"r1"]


@on_loop
async def test_a_client_that_does_not_close_its_side_is_aborted(tmp_path, monkeypatch):
    monkeypatch.setattr(connection_timeouts, "LINGER_TIMEOUT_S", 0.1)
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        peer = Peer(node.port)
        peer.send(command(b"r1"))
        await wait_until(lambda: any(c.is_idle(time.monotonic()) for c in node.node.clients.connections))
        node.node.clients.set_draining(True)
        peer.send(command(b"after"))
        await wait_until(lambda: not node.node.clients.connections)
        assert [sent[2] for sent in host.commands] == [b"r1"]


@on_loop
async def test_above_the_limit_a_lingering_connection_is_closed_first(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        node.node.sibling_watch.timer.cancel()
        node.node.clients.capacity = 2
        lingering, idle = Peer(node.port), await node.connect()
        await wait_until(lambda: len(node.node.clients.connections) == 2)
        next(iter(node.node.clients.connections)).close_when_done(CloseCause.EVICTION)
        assert await node.send_command(command()) == SERVED
        idle[1].write(command(b"r2"))
        assert await read_reply(idle[0]) == SERVED
        lingering.sock.close()


@on_loop
async def test_a_burst_above_the_limit_aborts_one_lingering_connection_each(tmp_path):
    """An abort takes effect one iteration later, so the same connection could be chosen several times."""
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        node.node.sibling_watch.timer.cancel()
        peers = [Peer(node.port) for _ in range(10)]
        for n, peer in enumerate(peers):
            peer.send(command(b"r%d" % n))
        connections = node.node.clients.connections
        await wait_until(
            lambda: len(connections) == 10 and all(c.is_idle(time.monotonic()) for c in connections)
        )
        for client in list(node.node.clients.connections):
            client.close_when_done(CloseCause.EVICTION)
        server = node.node.clients
        server.capacity = 10
        for client in list(server.connections)[:5]:
            server.add_connection(type(client)(server))
        assert sum(client.transport.is_closing() for client in list(server.connections)[:10]) == 5
        for client in list(server.connections)[10:]:
            server.remove_connection(client)


@on_loop
async def test_a_peer_that_never_sent_a_command_does_not_linger(tmp_path, monkeypatch):
    monkeypatch.setattr(connection_timeouts, "LINGER_TIMEOUT_S", 1000.0)
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        peer = Peer(node.port)
        peer.send(b"nonsense\r\n")
        assert (await peer.read()).startswith(b"-ERR")
        await wait_until(lambda: not node.node.clients.connections)  # although the peer has not closed


@on_loop
async def test_a_request_received_before_its_connection_is_evicted_is_served(tmp_path, monkeypatch):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        node.node.sibling_watch.timer.cancel()
        node.node.clients.capacity = 1
        peer, add_connection = Peer(node.port), client_server.ClientServer.add_connection
        await wait_until(lambda: node.node.clients.connections)
        (first,) = node.node.clients.connections

        def send_then_add(server, client):
            if client is not first:
                peer.send(command(b"crossed"))
                while not count_unread(first):
                    pass
            add_connection(server, client)

        monkeypatch.setattr(client_server.ClientServer, "add_connection", send_then_add)
        assert await node.send_command(command(b"r2")) == SERVED
        assert await peer.read() == SERVED


@on_loop
async def test_connections_in_the_backlog_when_the_listener_closes_are_served(tmp_path, monkeypatch):
    """They arrive in one iteration but the loop accepts one per iteration, so closing would reset them."""
    monkeypatch.setattr(shutdown, "ACCEPT_PERIOD_S", 0.0)
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        peers, accept_backlog = [], node.node.clients.accept_backlog
        set_in_flight_limit(node.node, 100.0)
        node.node.engine.endpoint_pool.is_at_limit = lambda *_: False

        async def connect_then_accept(timeout_s):
            peers.extend(Peer(node.port) for _ in range(20))
            for n, peer in enumerate(peers):
                peer.send(command(b"r%d" % n))
            await accept_backlog(5.0)

        node.node.clients.accept_backlog = connect_then_accept
        stop_task = asyncio.create_task(node.node.stop())
        await wait_until(lambda: len(peers) == 20)
        assert [await peer.read() for peer in peers] == [SERVED] * 20
        for peer in peers:
            peer.sock.close()
        await stop_task


@on_loop
async def test_shutdown_completes_with_a_hanging_host_and_an_idle_client(tmp_path, monkeypatch):
    """Requests in flight are answered before a SIGKILL is possible.

    An idle client is disconnected, and what it sends after that is not read.
    """
    monkeypatch.setattr(shutdown, "ACCEPT_PERIOD_S", 0.0)
    monkeypatch.setattr(shutdown, "KILL_DELAY_S", 0.5)
    async with StubHost(None) as host, Node(host, path=tmp_path) as node:
        idle, busy = Peer(node.port), Peer(node.port)
        busy.send(command(b"hangs"))
        assert (await host.arrived.get())[2] == b"hangs"
        stop_task = asyncio.create_task(node.node.stop())
        assert await idle.read() == b""
        idle.send(command(b"after"))
        assert await busy.read() == b"-ERR failed\r\n"
        await stop_task
        assert [sent[2] for sent in host.commands] == [b"hangs"] and not node.node.in_flight


@on_loop
async def test_with_short_deadlines_reading_stops_earlier_in_shutdown(tmp_path, monkeypatch):
    """Shutdown ends 0.4 s after the longest deadline.

    A late request would fail in it; unread, the client retries it elsewhere.
    """
    monkeypatch.setattr(shutdown, "ACCEPT_PERIOD_S", 0.0)
    monkeypatch.setattr(connection_timeouts, "DRAIN_FIRST_COMMAND_TIMEOUT_S", 0.0)
    short = {**SETTINGS, "services": [s | {"deadline": 900_000_000} for s in SETTINGS["services"]]}
    async with StubHost(None) as host, Node(host, path=tmp_path, settings=short) as node:
        peer = Peer(node.port)
        peer.send(command(b"hangs"))
        assert (await host.arrived.get())[2] == b"hangs"
        stop_task = asyncio.create_task(node.node.stop())
        (client,) = node.node.clients.connections
        await wait_until(lambda: client.state.is_reading_stopped)
        assert node.node.in_flight  # reading did not stop only because the shutdown is complete
        peer.send(command(b"late"))
        assert await peer.read() == b"-ERR failed\r\n"
        peer.sock.close()
        await stop_task
        assert [sent[2] for sent in host.commands] == [b"hangs"]


@on_loop
async def test_replies_of_a_pipeline_precede_the_error_that_ends_it(tmp_path):
    """Send a rejected command, one in flight, then bytes that are not RESP, more than the gateway reads."""
    async with StubHost(None) as host, Node(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        writer.write(command(b"r1", terms(c="none")) + command(b"r2") + b"nonsense\r\n" + b"x" * 3_000_000)
        await host.arrived.get()
        (client,) = node.node.clients.connections
        assert client.reading_paused  # the excess bytes are not read
        host.writers[0].write(VALUE)
        assert (await read_reply(reader)) == b"-ERR unknown class or plan\r\n"
        assert await read_reply(reader) == SERVED
        assert await read_reply(reader) == b"-ERR protocol error\r\n"
        assert await read_reply(reader) == b""


@on_loop
async def test_a_failure_while_closing_one_connection_affects_no_other(tmp_path, monkeypatch):
    """Neither the new connection that displaces it nor those that time out in the same check are affected."""
    monkeypatch.setattr(connection_timeouts, "COMMAND_TIMEOUT_S", 0.3)
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        node.node.sibling_watch.timer.cancel()
        peers, has_unread_bytes = (
            [await node.connect() for _ in range(3)],
            clients.ClientConnection.has_unread_bytes,
        )
        await wait_until(lambda: len(node.node.clients.connections) == 3)
        failing = next(iter(node.node.clients.connections))

        def fail_for_failing(client, *_):
            if client is failing:
                raise OSError("injected failure")
            return has_unread_bytes(client)

        def fail_check_for_failing(client, now):
            return fail_for_failing(client) if client is failing else None

        monkeypatch.setattr(clients.ClientConnection, "has_unread_bytes", fail_for_failing)
        monkeypatch.setattr(connection_timeouts, "_check_delivery", fail_check_for_failing)
        node.node.clients.capacity = 3
        assert await node.send_command(command()) == SERVED
        assert [await reader.read() for reader, _ in peers[1:]] == [b"-ERR no whole command in time\r\n"] * 2
        await wait_until(lambda: not node.node.clients.connections)


@on_loop
async def test_lingering_connections_are_limited_except_in_a_drain(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        node.node.sibling_watch.timer.cancel()
        server = node.node.clients
        for drain, max_lingering in ((False, 10), (True, 40)):
            peers = [Peer(node.port) for _ in range(40)]
            for peer in peers:
                peer.send(PING)
            await wait_until(
                lambda: len(server.connections) == 40 and all(c.command_count for c in server.connections)
            )
            server.capacity = 40
            if drain:
                node.node.clients.set_draining(True)
            else:
                for client in list(server.connections):
                    client.close_when_done(CloseCause.EVICTION)
            assert sum(not c.transport.is_closing() for c in server.connections) == max_lingering
            for peer in peers:
                assert await peer.read() == b"+PONG\r\n"
                peer.sock.close()
            await wait_until(lambda: not server.connections)


@on_loop
async def test_if_all_connections_are_busy_few_exceed_the_limit(tmp_path, monkeypatch):
    add_connection, added = client_server.ClientServer.add_connection, []
    monkeypatch.setattr(
        client_server.ClientServer,
        "add_connection",
        lambda *args: (add_connection(*args), added.append(args)),
    )
    async with StubHost(None) as host, Node(host, path=tmp_path) as node:
        node.node.sibling_watch.timer.cancel()
        server, peers = node.node.clients, []
        set_in_flight_limit(node.node, 100.0)
        node.node.engine.endpoint_pool.is_at_limit = lambda *_: False
        server.capacity = 10
        for n in range(30):
            peers.append(Peer(node.port))
            with contextlib.suppress(ConnectionError):
                peers[-1].send(command(b"r%d" % n, LONG))
            await wait_until(lambda n=n: len(added) == n + 1)
            assert sum(not client.transport.is_closing() for client in server.connections) <= 11
        assert len(node.node.in_flight) >= 10
        for peer in peers:
            peer.sock.close()
        await wait_until(lambda: not server.connections)


@on_loop
async def test_a_new_connection_has_a_constant_cost(tmp_path):
    """The connection to close is found without iterating over all connections."""

    class Counted(dict):
        visited = 0

        def __iter__(self):
            for client in dict.__iter__(self):
                self.visited += 1
                yield client

    async with StubHost() as host, Node(host, path=tmp_path) as node:
        node.node.sibling_watch.timer.cancel()
        server = node.node.clients
        peers = [Peer(node.port) for _ in range(100)]
        for peer in peers:
            peer.send(PING)
        await wait_until(
            lambda: len(server.connections) == 100 and all(c.command_count for c in server.connections)
        )
        server.connections, server.capacity = Counted(server.connections), 100
        for _ in range(20):
            assert await node.send_command(PING) == b"+PONG\r\n"
        assert server.connections.visited <= 200
        for peer in peers:
            peer.sock.close()


# Guards against closed connections that stay, with their buffers, until a garbage collection.
@on_loop
async def test_a_closed_connection_is_freed_without_a_garbage_collection(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        server = node.node.clients
        gc.collect()
        gc.disable()
        try:
            peers = [Peer(node.port) for _ in range(4)]
            texts = [command(b"r1"), command(b"r2")[:40], b"nonsense\r\n", UPLOAD[:50_000]]
            for peer, text in zip(peers, texts, strict=True):
                peer.send(text)
            await wait_until(
                lambda: (
                    host.commands
                    and len(server.connections) >= 3
                    and server.body_budget.reserved_bytes
                    and server.ends.counts[EndReason.PROTOCOL_ERROR]
                )
            )
            references = [weakref.ref(connection) for connection in server.connections]
            for peer in peers:
                peer.sock.close()
            await wait_until(lambda: not server.connections)
            await wait_until(lambda: not any(reference() for reference in references))
        finally:
            gc.enable()
