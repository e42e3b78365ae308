"""Clients: bad input, the order of answers, those that leave."""

import asyncio
import contextlib
import fcntl
import socket
import termios
import time

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
from api_gateway.downstream import client_server
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
async def test_bad_commands_are_answered_and_the_connection_goes_on(bad, tmp_path):
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
async def test_lost_framing_ends_only_its_own_connection(bad, tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        writer.write(bad)
        assert (await read_reply(reader)).startswith(b"-ERR")
        assert await read_reply(reader) == b""
        assert await node.send_command(command()) == SERVED


@on_loop
async def test_answers_come_in_the_order_of_the_commands(tmp_path):
    async with StubHost(answer=None) as host, Node(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        writer.write(command(b"slow"))
        await host.arrived.get()
        writer.write(b"*1\r\n$4\r\nPING\r\n")
        host.writers[0].write(VALUE)
        assert await read_reply(reader) == SERVED
        assert await read_reply(reader) == b"+PONG\r\n"


@on_loop
async def test_a_client_that_left_has_its_attempt_called_off(tmp_path):
    async with StubHost(answer=None) as host, Node(host, path=tmp_path) as node:
        _, writer = await node.connect()
        writer.write(command())
        await host.arrived.get()
        writer.close()
        assert await host.arrived.get() is None  # the connection to the host ended
        assert not node.node.in_flight


@on_loop
async def test_what_comes_on_a_connection_that_is_to_close_is_served(tmp_path):
    async with StubHost(None) as host, Node(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        writer.write(command(b"first"))
        await host.arrived.get()
        node.node.clients.begin_shutdown()
        writer.write(command(b"second"))
        while (await host.arrived.get())[2] != b"second":
            pass
        for out in host.writers:
            out.write(VALUE)
        assert [await read_reply(reader) for _ in range(3)] == [SERVED, SERVED, b""]


@pytest.mark.parametrize(
    "part", [b"", b"*", b"*4\r\n$8\r\nAPI.READ\r\n", command()[:-9], command() + b"*1\r\n"]
)
@on_loop
async def test_a_peer_without_a_whole_command_is_not_kept(part, tmp_path, monkeypatch):
    monkeypatch.setattr(clients, "COMMAND_TIMEOUT_S", 0.3)
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        writer.write(part)
        served = SERVED if command() in part else b""
        assert await reader.read() == served + b"-ERR no whole command in time\r\n"


@on_loop
async def test_a_connection_between_requests_may_rest(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        for name in (b"r1", b"r2"):
            writer.write(command(name))
            assert await read_reply(reader) == SERVED
            for client in list(node.node.clients.connections):
                client.check_timeouts(time.monotonic() + 1000)


@on_loop
async def test_past_the_limit_the_connection_that_rests_longest_goes(tmp_path):
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
def held(monkeypatch):
    """Requests wait for a place at a host as long as the test likes."""
    monkeypatch.setattr(shedding, "MAX_QUEUE_TIME_FRACTION", 100.0)
    monkeypatch.setattr(shedding, "MIN_QUEUE_LENGTH", 1000)
    return lambda node: setattr(node.node.engine.endpoint_pool, "is_at_limit", lambda *_: True)


def stall_before(why, node, monkeypatch):
    """How a gateway comes to read no more of a client whose requests wait."""
    if why == "pipeline":
        monkeypatch.setattr(clients, "MAX_PENDING_COMMANDS", 2)
    elif why == "body":
        node.node.clients.body_budget.reserved_bytes = node.node.clients.body_budget.capacity_bytes = 1


def stall_after(why, node, monkeypatch):
    if why == "drain":
        node.node.clients.drain_read_s = 0.0
        monkeypatch.setattr(clients, "DRAIN_FIRST_COMMAND_TIMEOUT_S", 0.0)
        node.node.clients.set_draining(True)
    elif why == "answers":
        (client,) = node.node.clients.connections
        client.pause_writing()


LONG = terms(d="60000")  # longer than a test lasts: no deadline ends what its client has left
UPLOAD = command(b"body", terms(c="write", k="7"), b"API.WRITE", body=b"x" * 100_000)


@pytest.mark.parametrize("why", ["pipeline", "drain", "body", "answers"])
@pytest.mark.parametrize("behind", [b"", command(b"behind") * 200])
@on_loop
async def test_of_a_client_that_went_while_it_was_not_read_nothing_is_sent_on(
    why, behind, held, tmp_path, monkeypatch
):
    """Its end stands behind bytes that nobody reads."""
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        held(node)
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
async def test_clients_that_go_in_one_burst_leave_nothing_to_send(sent, held, tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        held(node)
        peers = [await node.connect() for _ in range(200)]
        for n, (_, writer) in enumerate(peers):
            writer.write(sent.replace(b"%d", b"%02d" % (n % 100) if n < 100 else b"%02x" % (n + 56)))
        whole = 200 * sent.count(b"API.READ")
        await wait_until(lambda: len(node.node.in_flight) >= 0.9 * whole)  # the rest share an id
        for _, writer in peers:
            writer.close()
        await wait_until(lambda: not node.node.in_flight and not node.node.clients.connections)
        assert not node.node.engine.requests_in_flight and not host.commands


class Peer:
    """A client's socket that does what it is told within one turn of the gateway's loop."""

    def __init__(self, port, receive=0):
        self.sock = socket.socket()
        if receive:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive)
        self.sock.connect(("127.0.0.1", port))

    def send(self, data):
        self.sock.sendall(data)

    async def read(self):
        """All up to the end; raises ConnectionResetError where that is none."""
        loop, got = asyncio.get_running_loop(), b""
        self.sock.setblocking(False)
        while data := await loop.sock_recv(self.sock, 65536):
            got += data
        return got


def unread(client):
    count = fcntl.ioctl(client.transport.get_extra_info("socket").fileno(), termios.FIONREAD, b"\0" * 4)
    return int.from_bytes(count, "little")


@pytest.mark.parametrize("size", [5, 60_000])
@pytest.mark.parametrize("what", [command(b"late"), command(b"late")[:20]])
@on_loop
async def test_a_request_that_crosses_a_close_takes_no_answer_along(size, what, tmp_path, monkeypatch):
    """It comes between the gateway's last look at what is unread and its end: the answer before it still gets
    there whole, the connection ends with no reset, and what crossed is not sent on."""
    async with (
        StubHost(b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (size, b"v" * size)) as host,
        Node(host, path=tmp_path) as node,
    ):
        peer, look, crossed = Peer(node.port, 4096), clients.ClientConnection.has_unread_bytes, []

        def looking(client):
            found = look(client)
            if not found and not crossed and host.commands:
                crossed.append(client)
                peer.send(what)
                while not unread(client):
                    pass
            return found

        monkeypatch.setattr(clients.ClientConnection, "has_unread_bytes", looking)
        peer.send(command(b"r1"))
        await wait_until(lambda: node.node.in_flight or host.commands)
        node.node.clients.set_draining(True)
        await wait_until(lambda: crossed)
        assert await peer.read() == b"$%d\r\n%s\r\n" % (size, b"v" * size)
        peer.sock.close()
        await wait_until(lambda: not node.node.clients.connections)
        assert [got[2] for got in host.commands] == [b"r1"]


@on_loop
async def test_a_client_that_does_not_end_its_side_is_not_kept(tmp_path, monkeypatch):
    monkeypatch.setattr(clients, "LINGER_TIMEOUT_S", 0.1)
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        peer = Peer(node.port)
        peer.send(command(b"r1"))
        await wait_until(lambda: any(c.is_idle(time.monotonic()) for c in node.node.clients.connections))
        node.node.clients.set_draining(True)
        peer.send(command(b"after"))
        await wait_until(lambda: not node.node.clients.connections)
        assert [got[2] for got in host.commands] == [b"r1"]


@on_loop
async def test_past_the_limit_one_that_only_lingers_goes_first(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        node.node.sibling_watch.timer.cancel()
        node.node.clients.capacity = 2
        lingers, rests = Peer(node.port), await node.connect()
        await wait_until(lambda: len(node.node.clients.connections) == 2)
        next(iter(node.node.clients.connections)).close_when_done()
        assert await node.send_command(command()) == SERVED
        rests[1].write(command(b"r2"))
        assert await read_reply(rests[0]) == SERVED
        lingers.sock.close()


@on_loop
async def test_a_burst_past_the_limit_ends_one_that_lingers_for_each(tmp_path):
    """An end takes effect a turn later: one and the same would be ended for all that come in a turn."""
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        node.node.sibling_watch.timer.cancel()
        peers = [Peer(node.port) for _ in range(10)]
        for n, peer in enumerate(peers):
            peer.send(command(b"r%d" % n))
        clients_of = node.node.clients.connections
        await wait_until(
            lambda: len(clients_of) == 10 and all(c.is_idle(time.monotonic()) for c in clients_of)
        )
        for client in list(node.node.clients.connections):
            client.close_when_done()
        server = node.node.clients
        server.capacity = 10
        for client in list(server.connections)[:5]:
            server.add_connection(type(client)(server))
        assert sum(client.transport.is_closing() for client in list(server.connections)[:10]) == 5
        for client in list(server.connections)[10:]:
            server.remove_connection(client)


@on_loop
async def test_a_peer_that_never_asked_does_not_linger(tmp_path, monkeypatch):
    monkeypatch.setattr(clients, "LINGER_TIMEOUT_S", 1000.0)
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        peer = Peer(node.port)
        peer.send(b"nonsense\r\n")
        assert (await peer.read()).startswith(b"-ERR")
        await wait_until(lambda: not node.node.clients.connections)  # though the peer has not ended its side


@on_loop
async def test_a_request_that_had_come_before_its_connection_is_evicted_is_served(tmp_path, monkeypatch):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        node.node.sibling_watch.timer.cancel()
        node.node.clients.capacity = 1
        peer, joined = Peer(node.port), client_server.ClientServer.add_connection
        await wait_until(lambda: node.node.clients.connections)
        (first,) = node.node.clients.connections

        def joining(server, client):
            if client is not first:
                peer.send(command(b"crossed"))
                while not unread(first):
                    pass
            joined(server, client)

        monkeypatch.setattr(client_server.ClientServer, "add_connection", joining)
        assert await node.send_command(command(b"r2")) == SERVED
        assert await peer.read() == SERVED


@on_loop
async def test_connections_that_wait_when_the_listener_closes_are_served(tmp_path, monkeypatch):
    """They came in one turn, and the loop takes one a turn: the listener's close would reset them."""
    monkeypatch.setattr(shutdown, "ACCEPT_PERIOD_S", 0.0)
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        peers, take = [], node.node.clients.accept_backlog
        set_in_flight_limit(node.node, 100.0)
        node.node.engine.endpoint_pool.is_at_limit = lambda *_: False

        async def taking(within):
            peers.extend(Peer(node.port) for _ in range(20))
            for n, peer in enumerate(peers):
                peer.send(command(b"r%d" % n))
            await take(5.0)

        node.node.clients.accept_backlog = taking
        ending = asyncio.create_task(node.node.stop())
        await wait_until(lambda: len(peers) == 20)
        assert [await peer.read() for peer in peers] == [SERVED] * 20
        for peer in peers:
            peer.sock.close()
        await ending


@on_loop
async def test_neither_a_host_that_hangs_nor_a_resting_client_leaves_a_request(tmp_path, monkeypatch):
    """What is in work gets its answer before SIGKILL may come; a resting client is sent away, and what it
    sends after that is read by nobody."""
    monkeypatch.setattr(shutdown, "ACCEPT_PERIOD_S", 0.0)
    monkeypatch.setattr(shutdown, "KILL_DELAY_S", 0.5)
    async with StubHost(None) as host, Node(host, path=tmp_path) as node:
        rests, works = Peer(node.port), Peer(node.port)
        works.send(command(b"hangs"))
        assert (await host.arrived.get())[2] == b"hangs"
        ending = asyncio.create_task(node.node.stop())
        assert await rests.read() == b""
        rests.send(command(b"after"))
        assert await works.read() == b"-ERR failed\r\n"
        await ending
        assert [got[2] for got in host.commands] == [b"hangs"] and not node.node.in_flight


@on_loop
async def test_with_short_deadlines_less_of_the_end_is_read(tmp_path, monkeypatch):
    """All is over 0.4 s after the longest deadline: what came late would be failed there, unread it is tried
    elsewhere."""
    monkeypatch.setattr(shutdown, "ACCEPT_PERIOD_S", 0.0)
    monkeypatch.setattr(clients, "DRAIN_FIRST_COMMAND_TIMEOUT_S", 0.0)
    short = {**SETTINGS, "services": [s | {"deadline": 900_000_000} for s in SETTINGS["services"]]}
    async with StubHost(None) as host, Node(host, path=tmp_path, settings=short) as node:
        peer = Peer(node.port)
        peer.send(command(b"hangs"))
        assert (await host.arrived.get())[2] == b"hangs"
        ending = asyncio.create_task(node.node.stop())
        (client,) = node.node.clients.connections
        await wait_until(lambda: client.reading_stopped)
        assert node.node.in_flight  # and not only because all is over
        peer.send(command(b"late"))
        assert await peer.read() == b"-ERR failed\r\n"
        peer.sock.close()
        await ending
        assert [got[2] for got in host.commands] == [b"hangs"]


@on_loop
async def test_answers_of_a_pipeline_come_before_the_error_that_ends_it(tmp_path):
    """A refused command, one in work, then no RESP, and more than the gateway will read."""
    async with StubHost(None) as host, Node(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        writer.write(command(b"r1", terms(c="none")) + command(b"r2") + b"nonsense\r\n" + b"x" * 3_000_000)
        await host.arrived.get()
        (client,) = node.node.clients.connections
        assert client.reading_paused  # the flood is not read
        host.writers[0].write(VALUE)
        assert (await read_reply(reader)) == b"-ERR unknown class or plan\r\n"
        assert await read_reply(reader) == SERVED
        assert await read_reply(reader) == b"-ERR protocol error\r\n"
        assert await read_reply(reader) == b""


@on_loop
async def test_what_fails_at_the_end_of_one_connection_reaches_no_other(tmp_path, monkeypatch):
    """Neither the one that comes in its place, nor those whose time is up in the same look."""
    monkeypatch.setattr(clients, "COMMAND_TIMEOUT_S", 0.3)
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        node.node.sibling_watch.timer.cancel()
        peers, look = [await node.connect() for _ in range(3)], clients.ClientConnection.has_unread_bytes
        await wait_until(lambda: len(node.node.clients.connections) == 3)
        spoilt = next(iter(node.node.clients.connections))

        def broken(client, *_):
            if client is spoilt:
                raise OSError("spoilt")
            return look(client)

        for name in ("has_unread_bytes", "_check_write_progress"):
            monkeypatch.setattr(
                clients.ClientConnection,
                name,
                broken if name == "has_unread_bytes" else lambda c, now: broken(c) if c is spoilt else None,
            )
        node.node.clients.capacity = 3
        assert await node.send_command(command()) == SERVED
        assert [await reader.read() for reader, _ in peers[1:]] == [b"-ERR no whole command in time\r\n"] * 2
        await wait_until(lambda: not node.node.clients.connections)


@on_loop
async def test_of_many_that_are_to_go_at_once_a_part_lingers_but_for_a_drain(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        node.node.sibling_watch.timer.cancel()
        server = node.node.clients
        for drain, most in ((False, 10), (True, 40)):
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
                    client.close_when_done()
            assert sum(not c.transport.is_closing() for c in server.connections) == most
            for peer in peers:
                assert await peer.read() == b"+PONG\r\n"
                peer.sock.close()
            await wait_until(lambda: not server.connections)


@on_loop
async def test_where_all_are_at_work_few_come_past_the_limit(tmp_path, monkeypatch):
    joined, come = client_server.ClientServer.add_connection, []
    monkeypatch.setattr(
        client_server.ClientServer, "add_connection", lambda *args: (joined(*args), come.append(args))
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
            await wait_until(lambda n=n: len(come) == n + 1)
            assert sum(not client.transport.is_closing() for client in server.connections) <= 11
        assert len(node.node.in_flight) >= 10
        for peer in peers:
            peer.sock.close()
        await wait_until(lambda: not server.connections)


@on_loop
async def test_one_that_comes_costs_the_same_however_many_there_are(tmp_path):
    """Whichever is to go is found without a look at all of them."""

    class Counted(dict):
        looks = 0

        def __iter__(self):
            for client in dict.__iter__(self):
                self.looks += 1
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
        assert server.connections.looks <= 200
        for peer in peers:
            peer.sock.close()
