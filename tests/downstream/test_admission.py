"""Admission of client connections: limits per source and by rate, proxies, descriptor shortage."""

import asyncio
import errno
import socket

import pytest
from netkit import SERVED, VALUE, Node, StubHost, command, on_loop, read_reply, wait_until

from api_gateway.downstream import admission, peer_monitoring, rate_limits
from api_gateway.downstream.admission_settings import AdmissionSettings, parse_admission_settings
from api_gateway.downstream.rate_limits import ConnectionLimiter

PING = b"*1\r\n$4\r\nPING\r\n"


def create_limiter(**settings):
    return ConnectionLimiter(parse_admission_settings(settings), 0.0)


def test_without_limits_all_connections_are_admitted():
    limiter = create_limiter()
    assert [limiter.admit(0.0, f"10.0.0.{n % 5}") for n in range(1000)] == [""] * 1000


def test_a_source_has_a_connection_limit_and_closing_frees_a_place():
    limiter = create_limiter(per_source=3)
    assert [limiter.admit(0.0, "10.0.0.1") for _ in range(5)] == ["", "", "", "per_source", "per_source"]
    assert limiter.admit(0.0, "10.0.0.2") == ""  # other sources are not affected
    limiter.release("10.0.0.1")
    assert limiter.admit(0.0, "10.0.0.1") == "" and limiter.admit(0.0, "10.0.0.1") == "per_source"
    assert limiter.counts == {"taken": 5, "per_source": 3, "new_per_source": 0, "pauses": 0}


def test_a_source_has_a_limit_on_new_connections_per_second():
    limiter = create_limiter(new_per_source=2)
    assert [limiter.admit(0.0, "10.0.0.1") for _ in range(3)] == ["", "", "new_per_source"]
    assert [limiter.admit(0.6, "10.0.0.1") for _ in range(2)] == ["", "new_per_source"]
    assert [limiter.admit(9.0, "10.0.0.1") for _ in range(3)] == [
        "",
        "",
        "new_per_source",
    ]  # tokens accumulate for one second at most


@pytest.mark.parametrize(
    "one, other, same",
    [
        ("10.0.0.1", "10.0.0.2", False),
        ("10.0.0.1", "10.0.0.1", True),
        ("fe80::1%eth0", "fe80::2", True),
        ("2001:db8::1", "2001:db8::2", True),
        ("2001:db8::1", "2001:db8:0:1::1", False),
    ],
)
def test_addresses_of_one_prefix_are_one_source(one, other, same):
    limiter = create_limiter(per_source=1)
    assert limiter.admit(0.0, one) == "" and (limiter.admit(0.0, other) == "per_source") == same
    wide = create_limiter(per_source=1, prefix4=24, prefix6=32)
    assert wide.admit(0.0, one) == "" and wide.admit(0.0, other) == "per_source"


def test_a_front_proxy_has_no_limit_per_source():
    limiter = create_limiter(per_source=1, new_per_source=1, fronts=["10.1.0.0/16"])
    assert [limiter.admit(0.0, "10.1.2.3") for _ in range(500)] == [""] * 500 and not limiter.sources
    limiter.release("10.1.2.3")
    assert [limiter.admit(0.0, "10.2.0.1") for _ in range(2)] == ["", "per_source"]


def test_sources_are_forgotten_except_those_with_connections(monkeypatch):
    monkeypatch.setattr(rate_limits, "MAX_SOURCES", 100)
    limiter = create_limiter(per_source=2)
    for n in range(20):
        assert limiter.admit(0.0, f"10.9.0.{n}") == ""
    for n in range(5000):
        address = f"10.{n // 65536}.{n // 256 % 256}.{n % 256}"
        assert limiter.admit(0.0, address) == ""
        limiter.release(address)
    assert len(limiter.sources) == 100 and sum(s.open_connections for s in limiter.sources.values()) == 20
    for n in range(20):
        limiter.release(f"10.9.0.{n}")
    assert sum(s.open_connections for s in limiter.sources.values()) == 0


@pytest.mark.parametrize(
    "told, word",
    [
        (5, "object"),
        ({"per_source": -1}, "edge.per_source"),
        ({"per_source": 1.5}, "edge.per_source"),
        ({"per_source": True}, "edge.per_source"),
        ({"new": "9"}, "edge.new"),
        ({"more": 1}, "edge.more"),
        ({"new": float("nan")}, "edge.new"),
        ({"prefix4": 33}, "edge.prefix4"),
        ({"fronts": "x"}, "edge.fronts"),
        ({"fronts": ["x"]}, "edge.fronts"),
        ({"fronts": ["10.0.0.1/8"]}, "edge.fronts"),
        ({"fronts": [5]}, "edge.fronts"),
        ({"turns": 1}, "edge.turns"),
        ({"weights": []}, "edge.weights"),
        ({"weights": {"10.0.0.0/8": 0}}, "edge.weights.10.0.0.0/8"),
        ({"weights": {"ten": 1}}, "edge.weights"),
        ({"half_closed": True, "turns": False}, "edge.half_closed"),
    ],
)
def test_malformed_limits_are_refused_with_path_and_reason(told, word):
    with pytest.raises(ValueError, match=word):
        parse_admission_settings(told)


def edge(**settings):
    return {"edge": settings}


@on_loop
async def test_a_source_above_its_limit_is_rejected_and_others_are_served(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path, config_overrides=edge(per_source=3)) as node:
        admitted = [await node.connect() for _ in range(3)]
        for n, (reader, writer) in enumerate(admitted):
            writer.write(command(b"k%d" % n))
            assert await read_reply(reader) == SERVED
        reader, writer = await node.connect()
        assert await reader.read() == admission.REJECTION
        writer.close()
        other = await asyncio.open_connection("127.0.0.1", node.port, local_addr=("127.0.0.9", 0))
        other[1].write(command(b"other"))
        assert await read_reply(other[0]) == SERVED
        other[1].close()
        admitted[0][1].close()
        await wait_until(
            lambda: node.node.clients.listener.limiter.sources["127.0.0.1/32"].open_connections == 2
        )
        assert await node.send_command(command(b"again")) == SERVED
        counts = (await node.call_control("GET /status"))[1]["edge"]
        assert (counts["taken"], counts["per_source"], counts["pauses"]) == (5, 1, 0)


@on_loop
async def test_a_storm_of_aborted_connections_leaves_no_counts(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path, config_overrides=edge(per_source=50)) as node:
        for _ in range(6):
            connections = [await asyncio.open_connection("127.0.0.1", node.port) for _ in range(40)]
            for n, (_, writer) in enumerate(connections):
                if n % 3 == 0:
                    writer.write(PING[:7])
                writer.transport.abort()
        await wait_until(
            lambda: not node.node.clients.connections and not node.node.clients.listener.connecting_tasks
        )
        await wait_until(
            lambda: node.node.clients.listener.limiter.sources["127.0.0.1/32"].open_connections == 0
        )
        assert await node.send_command(command()) == SERVED


@on_loop
async def test_connections_above_the_total_rate_wait_in_the_backlog(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path, config_overrides=edge(new=10)) as node:
        connections = [await node.connect() for _ in range(14)]
        for _, writer in connections:
            writer.write(PING)
        assert [await read_reply(reader) for reader, _ in connections] == [b"+PONG\r\n"] * 14
        assert (await node.call_control("GET /status"))[1]["edge"]["pauses"] >= 1


@on_loop
async def test_without_free_descriptors_accepting_pauses_and_resumes(tmp_path, monkeypatch, caplog):
    monkeypatch.setattr(admission, "SHORTAGE_PAUSE_S", 0.05)
    async with StubHost() as host, Node(host, path=tmp_path, config_overrides=edge()) as node:

        class ExhaustedSocket:
            def __init__(self, sock):
                self.sock, self.failures_left, self.tries = sock, 3, 0

            def accept(self):
                self.tries += 1
                if self.failures_left:
                    self.failures_left -= 1
                    raise OSError(errno.EMFILE, "Too many open files")
                return self.sock.accept()

            def __getattr__(self, name):
                return getattr(self.sock, name)

        listener = node.node.clients.listener
        exhausted = listener.sockets[0] = ExhaustedSocket(listener.sockets[0])
        assert await node.send_command(command()) == SERVED
        assert caplog.text.count("cannot accept connections") == 3 and listener.limiter.counts["pauses"] == 3
        assert exhausted.tries <= 8  # accepting does not busy-loop


@on_loop
async def test_accepts_per_loop_iteration_are_bounded(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path, config_overrides=edge()) as node:
        listener, batch_sizes, socks = node.node.clients.listener, [], []
        on_accept, accept_batch = listener.on_accept, listener.accept_batch

        def count_and_accept(*args):
            batch_sizes[-1] += 1
            on_accept(*args)

        listener.on_accept = count_and_accept
        listener.accept_batch = lambda: (batch_sizes.append(0), accept_batch())
        listener.loop.remove_reader(listener.sockets[0].fileno())
        listener.resume()
        for _ in range(100):  # all wait in the backlog before the loop runs
            sock = socket.socket()
            sock.connect(("127.0.0.1", node.port))
            socks.append(sock)
        await wait_until(lambda: len(node.node.clients.connections) == 100)
        assert max(batch_sizes) == admission.ACCEPTS_PER_TURN and sum(batch_sizes) == 100
        for sock in socks:
            sock.close()


@on_loop
async def test_without_the_key_edge_there_is_no_admission_listener(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        assert not isinstance(node.node.clients.listener, admission.AdmissionListener)
        assert "edge" not in (await node.call_control("GET /status"))[1]
        assert AdmissionSettings() == parse_admission_settings({})


@on_loop
async def test_timeout_checks_skip_idle_connections(scratch):
    async with StubHost() as host, Node(host, path=scratch) as node:
        server = node.node.clients
        peers = [await node.connect() for _ in range(30)]
        for reader, writer in peers:
            writer.write(PING)
            await read_reply(reader)
        peers[0][1].write(PING[:5])
        await wait_until(lambda: len(server.timed_connections) == 1)
        assert (
            len(server.connections) == 30
            and next(iter(server.timed_connections)).command_due_since is not None
        )
        peers[0][1].write(PING[5:] + PING[:1])  # the end of one command and the first byte of the next
        assert await read_reply(peers[0][0]) == b"+PONG\r\n"
        server.run_checks()
        assert [client.command_due_since is not None for client in server.timed_connections] == [True]


@pytest.mark.parametrize("more, answered", [(edge(half_closed=True), True), (edge(), False), (None, False)])
@on_loop
async def test_a_half_closed_client_gets_its_replies_if_configured(more, answered, scratch):
    async with StubHost(answer=None) as host, Node(host, path=scratch, config_overrides=more) as node:
        reader, writer = await node.connect()
        writer.write(command(b"r1") + command(b"r2", customer=b"%016x" % 5))
        await wait_until(lambda: len(host.commands) == 2 or len(node.node.in_flight) == 2)
        writer.write_eof()
        if answered:
            host.answer = VALUE
            for host_writer in host.writers:
                host_writer.write(VALUE)
            received = await reader.read()
            assert received.count(SERVED) + received.count(b"-") == 2
        else:
            assert await reader.read() == b""
        await wait_until(lambda: not node.node.clients.connections)


@on_loop
async def test_a_connection_that_cannot_be_attached_occupies_no_place(scratch, monkeypatch):
    async with StubHost() as host, Node(host, path=scratch, config_overrides=edge(per_source=1)) as node:
        with monkeypatch.context() as failing:
            failing.setattr(admission, "detect_dead_peer", lambda *_: (_ for _ in ()).throw(OSError("reset")))
            reader, _ = await node.connect()
            assert await reader.read() == b""
        listener = node.node.clients.listener
        limiter, scheduler = listener.limiter, listener.scheduler
        assert (
            not any(source.open_connections for source in limiter.sources.values()) and not scheduler.sources
        )
        assert await node.send_command(command()) == SERVED


@on_loop
async def test_keepalive_options_detect_an_unreachable_peer(scratch):
    for more, expected in (
        (edge(vanished=8), (1, 2, 8000)),
        (edge(vanished=0), (0,)),
        (edge(), (1, 15, 60000)),
    ):
        async with StubHost() as host, Node(host, path=scratch, config_overrides=more) as node:
            reader, writer = await node.connect()
            writer.write(PING)
            await read_reply(reader)
            (client,) = node.node.clients.connections
            sock = client.transport.get_extra_info("socket")
            options = (
                (socket.SOL_SOCKET, socket.SO_KEEPALIVE),
                (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE),
                (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT),
            )
            assert tuple(sock.getsockopt(*option) for option in options)[: len(expected)] == expected


def test_a_full_backlog_is_counted():
    before = peer_monitoring.count_listen_overflows()
    with socket.create_server(("127.0.0.1", 0), backlog=2) as listener:
        assert peer_monitoring.backlog_usage(listener) == (0, 2)
        peers = [socket.socket() for _ in range(12)]
        for peer in peers:
            peer.setblocking(False)
            peer.connect_ex(listener.getsockname())
        assert peer_monitoring.backlog_usage(listener) == (3, 2)  # Linux queues one more than the limit
        assert peer_monitoring.count_listen_overflows() > before
        for peer in peers:
            peer.close()
