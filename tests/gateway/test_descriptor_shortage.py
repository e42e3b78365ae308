"""A gateway's program that runs out of descriptors goes on with the clients that it has."""

import asyncio
import contextlib
import errno
import json
import os
import re
import resource
import socket
import subprocess
import sys
from pathlib import Path
from time import monotonic
from types import SimpleNamespace

import pytest
from netkit import (
    SERVED,
    Node,
    StubCounter,
    StubDiscovery,
    StubHost,
    call_control,
    command,
    entry,
    gateway_config,
    on_loop,
    read_reply,
    wait_until,
    wait_until_settled,
)

from api_gateway import interface as api
from api_gateway.base.accepting import IMMEDIATE_RETRIES, LASTING_SHORTAGE_S
from api_gateway.control import server as control_net
from api_gateway.control.host_overrides import HostOverrides
from api_gateway.downstream.client_server import MIN_IDLE_S
from api_gateway.downstream.listener import ReservedDescriptor
from api_gateway.gateway import process_limits
from api_gateway.upstream import pool as hosts

ROOM = 32  # connections of clients that 128 descriptors leave room for
TURN = 16  # connections that may come before an end takes effect
TIMED_OUT = re.compile(r"discovery call failed, the last list stays, .* error=TimeoutError")
ROOT = Path(__file__).resolve().parents[2]
PING, PONG, BUSY = b"*1\r\n$4\r\nPING\r\n", b"+PONG\r\n", b"-BUSY"
PROGRAM = [sys.executable, "-B", "-m", "api_gateway.gateway"]
EDGES = pytest.mark.parametrize("edge", [{}, {"edge": {}}], ids=["", "edge"])


class Program:
    """The gateway's program, whose limit of descriptors a test moves while it runs."""

    def __init__(self, process, control_port, port):
        self.process, self.control_port, self.port, self.names = process, control_port, port, 0
        self.writers, self.log = [], []
        self.hard = resource.prlimit(process.pid, resource.RLIMIT_NOFILE)[1]

    def used(self):
        return {int(fd) for fd in os.listdir(f"/proc/{self.process.pid}/fd")}

    def leave(self, count):
        """Lets it open `count` more descriptors."""
        used, limit = self.used(), 0
        while count or limit in used:
            count -= limit not in used
            limit += 1
        self.limit(limit)

    def cpu(self):
        """Seconds of CPU that it has taken."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    async def status(self):
        return (await call_control(self.control_port, "GET /status"))[1]

    def limit(self, most):
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (most, self.hard))

    async def connect(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.writers.append(writer)
        return reader, writer

    async def ping(self, reader, writer):
        writer.write(PING)
        return await read_reply(reader)

    async def ask(self, reader, writer):
        """A request, once more where hosts had no room."""
        reply = BUSY
        while reply.startswith(BUSY):
            self.names += 1
            writer.write(command(b"n%d" % self.names))
            reply = await read_reply(reader)
        return reply


@contextlib.asynccontextmanager
async def program(path, host, counter, discovery, sockets=256, **more):
    config, discovery.servers = path / "config.json", [entry(host)]
    tree = gateway_config([entry(host)], discovery.port, counter.port) | more
    tree["limits"] |= {"sockets": sockets}
    config.write_text(json.dumps(tree))
    env = {**os.environ, "RELAY_CONFIG": str(config), "RELAY_CONTROL": "127.0.0.1:0", "TMPDIR": str(path)}
    process = await asyncio.create_subprocess_exec(*PROGRAM, cwd=ROOT, env=env, stderr=subprocess.PIPE)
    try:
        ports = []
        while len(ports) < 2:  # the second address, then the clients'
            assert (line := (await process.stderr.readline()).decode())
            if "listens on" in line or "calls are taken at" in line:
                ports.append(int(line.rsplit(":", 1)[1]))
        made = Program(process, *ports)
        reading = asyncio.create_task(read_log(process, made.log))
        yield made
        assert process.returncode is None
        for writer in made.writers:
            writer.close()
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()
        await reading


def errors(log):
    """Lines that tell of one, but for a call to discovery that took its time: that is the machine's."""
    return [line for line in log if "Error" in line and not TIMED_OUT.search(line)]


async def read_log(process, lines):
    while line := await process.stderr.readline():
        lines.append(line.decode())


@EDGES
@on_loop
async def test_with_no_descriptor_left_connections_end_and_make_room(edge, tmp_path):
    """The clients' share is full, and so is the process: of those at rest one goes for each that comes."""
    async with (
        StubHost() as host,
        StubCounter() as counter,
        StubDiscovery() as discovery,
        program(tmp_path, host, counter, discovery, 64, **edge) as gateway,
    ):
        rests = [await gateway.connect() for _ in range(16)]
        for peer in rests:
            assert await gateway.ping(*peer) == PONG
        gateway.leave(1)  # for the one that comes
        fresh = await gateway.connect()
        assert await gateway.ping(*fresh) == PONG
        assert await rests[0][0].read() == b""
        for peer in (*rests[1:], fresh):
            assert await gateway.ping(*peer) == PONG
        assert not errors(gateway.log)


def idle_socket(port, sent):
    """One of a crowd: says something, and stays."""
    sock = socket.create_connection(("127.0.0.1", port))
    with contextlib.suppress(OSError):
        sock.sendall(sent)
    return sock


@EDGES
@on_loop
async def test_a_crowd_that_stays_takes_no_place_from_clients_that_work(edge, tmp_path):
    """Hundreds that asked once and stay, or send no whole request, and never end their side; the clients that
    work are at rest while these come."""
    async with (
        StubHost() as host,
        StubCounter() as counter,
        StubDiscovery() as discovery,
        program(tmp_path, host, counter, discovery, 128, **edge) as gateway,
    ):
        gateway.limit(128)
        works, crowd, most = [await gateway.connect() for _ in range(8)], [], 0
        for _ in range(2):
            for peer in works:
                assert await gateway.ping(*peer) == PONG
        own = len(gateway.used()) - len(works)
        try:
            for n in range(400):
                crowd.append(idle_socket(gateway.port, PING if n % 4 else command()[:20]))
                if n % 5 == 0:
                    await asyncio.sleep(0.01)
                    most = max(most, len(gateway.used()))
            for peer in works:
                assert await gateway.ping(*peer) == PONG
                assert await gateway.ask(*peer) == SERVED
            fresh = await gateway.connect()
            assert await gateway.ask(*fresh) == SERVED
            assert most <= own + ROOM + TURN
            await wait_until(lambda: len(gateway.used()) <= own + ROOM + 4)
            assert not errors(gateway.log)
        finally:
            for sock in crowd:
                sock.close()


@EDGES
@on_loop
async def test_ends_of_connections_hold_no_more_descriptors_than_clients_may(edge, tmp_path):
    """Each that is to go for a new one lingers, as its client does not end its side."""
    async with (
        StubHost() as host,
        StubCounter() as counter,
        StubDiscovery() as discovery,
        program(tmp_path, host, counter, discovery, 128, **edge) as gateway,
    ):
        own, most = len(gateway.used()), 0
        for _ in range(5 * ROOM):
            peer = await gateway.connect()
            assert await gateway.ping(*peer) == PONG
            most = max(most, len(gateway.used()))
        assert most <= own + ROOM + 2  # one that comes, one whose end takes effect a turn later


@EDGES
@pytest.mark.parametrize("left", [0, 1, 2, 10])
@on_loop
async def test_short_of_descriptors_it_serves_its_clients_and_is_whole_again_after(left, edge, tmp_path):
    """Others come meanwhile, to both addresses, discovery goes, and another process takes a host out: none of
    it spins, and what could not be opened then is opened later."""
    async with (
        StubHost() as host,
        StubHost() as late,
        StubCounter() as counter,
        StubDiscovery() as discovery,
        program(tmp_path, host, counter, discovery, **edge) as gateway,
    ):
        rests, others = [await gateway.connect() for _ in range(4)], []
        for peer in rests:
            assert await gateway.ask(*peer) == SERVED
        try:
            gateway.leave(left)
            await discovery.__aexit__(None, None, None)
            others += [idle_socket(gateway.port, b"") for _ in range(20)]
            others += [idle_socket(gateway.control_port, b"") for _ in range(20)]
            HostOverrides(tmp_path, "n0").store(api.EndpointOverride("h9", True, 5.0))
            began, cpu = monotonic(), gateway.cpu()
            while monotonic() - began < 1.0:  # what is measured: the CPU of a second
                for peer in rests:
                    assert await gateway.ping(*peer) == PONG
                await asyncio.sleep(0.05)
            assert gateway.cpu() - cpu < 0.5
            for peer in rests:
                assert await gateway.ask(*peer) == SERVED
        finally:
            for sock in others:
                sock.close()
        gateway.limit(256)
        discovery.change([entry(late, "h2")])
        await discovery.open("127.0.0.1", discovery.port)
        fresh = await gateway.connect()
        assert await gateway.ask(*fresh) == SERVED
        for peer in rests:
            assert await gateway.ask(*peer) == SERVED
        while (status := await gateway.status())["hosts_out"] != ["h9"] or "h2" not in status["hosts"]:
            await asyncio.sleep(0.05)


async def cpu_of(gateway, seconds, peers):
    """What it takes of a CPU while its clients at rest are served now and then."""
    began, cpu = monotonic(), gateway.cpu()
    while monotonic() - began < seconds:
        for peer in peers:
            assert await gateway.ping(*peer) == PONG
        await asyncio.sleep(0.1)
    return (gateway.cpu() - cpu) / (monotonic() - began)


@EDGES
@on_loop
async def test_without_its_reserve_accepting_neither_spins_nor_ends(edge, tmp_path):
    """A limit below all that is open: what closes a connection cannot be opened again, whoever took it, so
    what comes cannot even be shut. It accepts again when there are descriptors, more than once."""
    async with (
        StubHost() as host,
        StubCounter() as counter,
        StubDiscovery() as discovery,
        program(tmp_path, host, counter, discovery, **edge) as gateway,
    ):
        rests, others = [await gateway.connect() for _ in range(4)], []
        for peer in rests:
            assert await gateway.ask(*peer) == SERVED
        try:
            for _ in range(2):
                gateway.limit(3)
                others += [idle_socket(gateway.port, b"") for _ in range(20)]
                assert await cpu_of(gateway, 1.5, rests) < 0.4
                for peer in rests:
                    assert await gateway.ask(*peer) == SERVED
                gateway.limit(256)
                fresh = await gateway.connect()
                assert await gateway.ask(*fresh) == SERVED
        finally:
            for sock in others:
                sock.close()
        for peer in rests:
            assert await gateway.ask(*peer) == SERVED


@pytest.mark.parametrize(
    "code", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM], ids=errno.errorcode.get
)
@on_loop
async def test_a_connection_that_cannot_be_accepted_waits_while_that_may_be_for_a_moment(code, tmp_path):
    """However many times in a row accept fails within that moment."""
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        listener = node.node.clients.listener
        listener.sockets[0] = Empty(listener.sockets[0], 10, code)
        assert await node.send_command(command()) == SERVED
        assert listener.sockets[0].left == 0 and listener.shortage_began_at is None


@on_loop
async def test_a_few_failures_in_a_row_hold_up_nobody_behind_them(tmp_path):
    """Hosts are told of the time that is left, and what stands in the backlog is not counted off it."""
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        listener, pauses = node.node.clients.listener, []
        pause = listener.pause
        listener.pause = lambda *seconds: (pauses.append(seconds), pause(*seconds))
        listener.sockets[0] = Empty(listener.sockets[0], IMMEDIATE_RETRIES - 1, errno.ENFILE)
        assert await node.send_command(command()) == SERVED
        assert listener.sockets[0].left == 0 and not pauses


@pytest.mark.parametrize(
    "code", [errno.ECONNABORTED, errno.EPROTO, errno.ENETUNREACH, errno.EPERM], ids=errno.errorcode.get
)
@on_loop
async def test_an_error_of_one_connection_keeps_no_other_waiting(code, tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        listener = node.node.clients.listener
        listener.sockets[0] = Empty(listener.sockets[0], 3, code)
        assert await node.send_command(command()) == SERVED
        assert listener.retry_timer is None and listener.shortage_began_at is None


@pytest.mark.parametrize("code, shut", [(errno.EMFILE, True), (errno.ENFILE, False)])
@on_loop
async def test_only_descriptors_of_its_own_that_stay_filled_shut_connections_unread(code, shut, tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        listener = node.node.clients.listener
        listener.sockets[0] = Empty(listener.sockets[0], 10_000, code)
        reader, writer = await node.connect()
        writer.write(command())
        if shut:
            listener.reserve.close_waiting = lambda sock: ReservedDescriptor.close_waiting(
                listener.reserve, sock.sock
            )
            with contextlib.suppress(ConnectionResetError):
                assert await reader.read() == b""
            assert monotonic() - listener.shortage_began_at >= LASTING_SHORTAGE_S
        else:
            await wait_until(
                lambda: (
                    listener.shortage_began_at
                    and monotonic() - listener.shortage_began_at > 2 * LASTING_SHORTAGE_S
                )
            )
            listener.sockets[0].left = 0
            assert await read_reply(reader) == SERVED
        listener.sockets[0].left = 0
        assert await node.send_command(command(b"r2")) == SERVED


class Empty:
    """A listening socket whose accept fails `left` times."""

    def __init__(self, sock, left, code):
        self.sock, self.left, self.code = sock, left, code

    def accept(self):
        if self.left:
            self.left -= 1
            raise OSError(self.code, os.strerror(self.code))
        return self.sock.accept()

    def __getattr__(self, name):
        return getattr(self.sock, name)


@pytest.mark.parametrize(
    "sent",
    [b"", b"GET /status HT", b"POST /config/check HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\n"],
    ids=["nothing", "half a head", "no body"],
)
@on_loop
async def test_a_crowd_at_the_control_address_takes_a_bounded_part_of_the_descriptors(sent, tmp_path):
    async with (
        StubHost() as host,
        StubCounter() as counter,
        StubDiscovery() as discovery,
        program(tmp_path, host, counter, discovery) as gateway,
    ):
        peer, crowd = await gateway.connect(), []
        assert await gateway.ask(*peer) == SERVED
        own, most = len(gateway.used()), 0
        try:
            for n in range(200):
                crowd.append(idle_socket(gateway.control_port, sent))
                if n % 20 == 0:
                    assert await gateway.ping(*peer) == PONG
                most = max(most, len(gateway.used()))
            assert most <= own + control_net.MOST_CALLERS + control_net.MOST_ENDING
            assert (await gateway.status())["ready"]
        finally:
            for sock in crowd:
                sock.close()


@on_loop
async def test_who_takes_none_of_an_answer_at_the_control_address_does_not_stay(tmp_path, monkeypatch):
    """What is left of its answer holds no descriptor past its time."""
    monkeypatch.setattr(control_net, "CALL_TIMEOUT_S", 0.3)
    monkeypatch.setattr(
        control_net.ControlServer, "get_history", lambda *_: (200, {"versions": "x" * 20_000_000})
    )
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        asks = socket.create_connection(("127.0.0.1", node.control_port))
        asks.sendall(b"GET /config/history HTTP/1.1\r\nHost: x\r\n\r\n")
        await wait_until(lambda: len(node.node.control.server.connections) == 1)
        await wait_until(lambda: not node.node.control.server.connections)
        asks.close()


NONE_LEFT = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL]


@pytest.mark.parametrize("more", [{}, {"edge": {"connects": 2}}], ids=["", "connects"])
@pytest.mark.parametrize("code", NONE_LEFT, ids=errno.errorcode.get)
@on_loop
async def test_a_connect_with_nothing_left_for_it_says_nothing_of_its_host(code, more, tmp_path, monkeypatch):
    """Its request is refused at once, and the next one that can be sent there is."""
    async with StubHost() as host, Node(host, path=tmp_path, config_overrides=more) as node:
        outcomes, feed, loop = [], node.node.dispatcher.dispatch, asyncio.get_running_loop()
        node.node.dispatcher.dispatch = lambda event: (outcomes.append(event), feed(event))

        def no_socket(*_):
            raise OSError(code, os.strerror(code))

        with monkeypatch.context() as patch:
            patch.setattr(hosts, "socket", SimpleNamespace(**vars(socket) | {"socket": no_socket}))
            for n in range(5):
                began = loop.time()
                assert (await node.send_command(command(b"r%d" % n))).startswith(BUSY)
                assert loop.time() - began < 1.0
        assert {event.result for event in outcomes if isinstance(event, api.AttemptEnded)} == {"moot"}
        assert "h1" not in node.node.engine.endpoint_pool.health.estimates
        assert await node.send_command(command(b"r9")) == SERVED


@on_loop
async def test_without_descriptors_one_at_rest_makes_room_for_a_host_that_has_none(tmp_path, monkeypatch):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        assert await node.send_command(command()) == SERVED
        await wait_until_settled(node.node.upstream.pools["h1"])
        rests = node.node.upstream.pools["h1"].idle[0]
        node.discovery.change([entry(host, "h1", "removed"), entry(host, "h2")])
        node.node.upstream.pools["h1"].stop = lambda: None  # its connections rest on
        await wait_until(lambda: "h2" in node.node.upstream.pools and "h1" not in node.node.upstream.pools)
        calls = []

        def short(*args):
            calls.append(rests.transport.is_closing())
            if len(calls) == 1:
                raise OSError(errno.EMFILE, "Too many open files")
            return socket.socket(*args)

        monkeypatch.setattr(hosts, "socket", SimpleNamespace(**vars(socket) | {"socket": short}))
        assert await node.send_command(command(b"r2")) == SERVED and calls == [False, True]


@pytest.mark.parametrize("code", [errno.EMFILE, errno.ENOBUFS], ids=errno.errorcode.get)
@on_loop
async def test_a_connect_that_fails_for_a_moment_ends_no_client_that_may_be_about_to_ask(
    code, tmp_path, monkeypatch
):
    """A client's connection may be closed once it has rested for 2 s; the request of a young one is lost."""
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        young, served = await node.connect(), await node.connect()
        served[1].write(command(b"r1"))
        assert await read_reply(served[0]) == SERVED
        await wait_until_settled(node.node.upstream.pools["h1"])
        node.node.upstream.close_longest_idle()
        failures = [OSError(code, os.strerror(code))]

        def short(*args):
            if failures:
                raise failures.pop()
            return socket.socket(*args)

        monkeypatch.setattr(hosts, "socket", SimpleNamespace(**vars(socket) | {"socket": short}))
        assert await node.send_command(command(b"r2")) == SERVED and not failures
        for number, (reader, writer) in enumerate((young, served)):
            writer.write(command(b"young%d" % number))
            assert await read_reply(reader) == SERVED


@on_loop
async def test_a_connect_with_nothing_left_ends_a_client_that_has_rested_or_is_one_of_a_crowd(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        clients = node.node.clients
        first, second = await node.connect(), await node.connect()
        await wait_until(lambda: len(clients.connections) == 2)
        assert not clients.close_fresh_idle()
        next(iter(clients.connections)).last_command_at -= MIN_IDLE_S
        assert clients.close_fresh_idle()
        assert await first[0].read() == b""
        assert not clients.close_fresh_idle()
        third = await node.connect()
        await wait_until(lambda: len(clients.connections) == 2)
        clients.capacity = 1
        assert clients.close_fresh_idle()
        assert await second[0].read() == b""
        third[1].close()


@on_loop
async def test_below_a_lowered_limit_no_connection_ends_for_a_descriptor_that_cannot_be_used(
    tmp_path, monkeypatch
):
    """Discovery that is away would take the connections to hosts one after the other, and gain nothing."""
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        assert await node.send_command(command()) == SERVED
        await wait_until_settled(node.node.upstream.pools["h1"])
        (idle,) = node.node.upstream.idle
        number = idle.sock.fileno()
        monkeypatch.setattr(process_limits, "descriptor_limit", lambda: number)
        assert not node.node.limits.reclaim_descriptor() and not idle.transport.is_closing()
        monkeypatch.setattr(process_limits, "descriptor_limit", lambda: number + 1)
        assert node.node.limits.reclaim_descriptor() and idle.transport.is_closing()


@pytest.mark.parametrize("left", [0, 1, 2, 10])
@on_loop
async def test_short_of_descriptors_discovery_and_the_counter_are_reached_once_they_are_back(left, tmp_path):
    """New clients took the descriptors that their connections had. A change that discovery then has is in
    force within the time in which it counts as told, and clients at rest are served throughout."""
    async with (
        StubHost() as host,
        StubHost() as late,
        StubCounter() as counter,
        StubDiscovery() as discovery,
        program(tmp_path, host, counter, discovery) as gateway,
    ):
        rests, others = [await gateway.connect() for _ in range(4)], []
        for peer in rests:
            assert await gateway.ask(*peer) == SERVED
        for n in range(4):  # connections to the host rest, too
            gateway.names += 1
            rests[n][1].write(command(b"n%d" % gateway.names))
        for reader, _ in rests:
            await read_reply(reader)
        places = discovery.port, counter.port

        async def crowd():
            while True:  # whatever is free for a moment is taken
                others.append(idle_socket(gateway.port, PING))
                await asyncio.sleep(0.005)

        coming = asyncio.create_task(crowd())
        try:
            gateway.leave(left)
            await discovery.__aexit__(None, None, None)
            await counter.__aexit__(None, None, None)
            most = resource.prlimit(gateway.process.pid, resource.RLIMIT_NOFILE)[0]
            for _ in range(20):  # tries to connect hold some for a moment
                await wait_until(lambda: len(gateway.used()) == most)
            for peer in rests:
                assert await gateway.ping(*peer) == PONG
            discovery.change([entry(late, "h2"), entry(host, "h1", "removed")])
            added = counter.added + counter.pings
            await discovery.open("127.0.0.1", places[0])
            back = monotonic()
            await counter.open("127.0.0.1", places[1])
            while not late.commands:
                assert await gateway.ask(*rests[0]) == SERVED
                await asyncio.sleep(0.05)
            assert monotonic() - back < 6.0
            for peer in rests:
                assert await gateway.ask(*peer) == SERVED
            await wait_until(lambda: counter.added + counter.pings > added)
        finally:
            coming.cancel()
            for sock in others:
                sock.close()


def without_descriptors(code, path):
    """Runs lines in a process of its own; `full()` leaves it no descriptor, and what it returns ends that."""
    head = """
import contextlib, os, resource, sys
from pathlib import Path
from api_gateway import interface as api
from api_gateway.control import server as control_net
from api_gateway.upstream import pool as hosts
from api_gateway.control.host_overrides import HostOverrides
from api_gateway.downstream.listener import ReservedDescriptor
from api_gateway.gateway.instances import GatewayInstances
resource.setrlimit(resource.RLIMIT_NOFILE, (64, 64))
def full():
    taken = contextlib.ExitStack()
    with contextlib.suppress(OSError):
        while True:
            taken.callback(os.close, os.dup(0))
    return taken
folder = Path(sys.argv[1])
"""
    ended = subprocess.run(
        [sys.executable, "-B", "-c", head + code, str(path)],
        cwd=ROOT,
        timeout=60,
        capture_output=True,
        text=True,
    )
    assert ended.returncode == 0, ended.stderr


def test_who_else_lives_stays_known_without_descriptors(tmp_path):
    """One that counted itself alone would take the other's part of the descriptors."""
    without_descriptors(
        """
one, two = GatewayInstances(folder, "n0"), GatewayInstances(folder, "n0")
one.register(), two.register()
assert two.count_others() == 1
with full():
    assert two.count_others() == 1
one.unregister()
assert two.count_others() == 0
""",
        tmp_path,
    )


def test_a_ban_that_cannot_be_read_is_read_later_and_never_written_over(tmp_path):
    without_descriptors(
        """
one, two = HostOverrides(folder, "n0"), HostOverrides(folder, "n0")
one.store(api.EndpointOverride("h1", True, 5.0))
with full():
    assert two.has_changed() and not two.read() and two.has_changed()
    with contextlib.suppress(OSError):
        two.store(api.EndpointOverride("h2", True, 6.0))
        raise AssertionError
    assert not two.overrides
assert two.read() == {"h1": api.EndpointOverride("h1", True, 5.0)} and not two.has_changed()
two.store(api.EndpointOverride("h2", True, 6.0))
assert one.read().keys() == {"h1", "h2"}
""",
        tmp_path,
    )


def test_a_history_that_cannot_be_read_or_written_is_read_later_and_stays_whole(tmp_path):
    """The files that the processes of a gateway share; the history is one."""
    without_descriptors(
        """
from api_gateway.base.shared_file import SharedFile
one, two = SharedFile(folder / "x.json"), SharedFile(folder / "x.json")
with one.locked():
    one.write("first")
with full():
    for act in (two.read, one.locked().__enter__, lambda: one.write("second")):
        with contextlib.suppress(OSError):
            act()
            raise AssertionError
    assert two.has_changed()
assert two.read() == "first" and not two.has_changed()
with one.locked():
    one.write("second")
assert two.has_changed() and two.read() == "second"
""",
        tmp_path,
    )


def test_a_list_that_cannot_be_kept_leaves_the_last_one_and_is_kept_later(tmp_path):
    without_descriptors(
        """
import asyncio
from api_gateway.base.endpoint_list import EndpointListing
from api_gateway.discovery.replicas import Replicas
async def play():
    made = Replicas(("127.0.0.1", 1), (), folder, "n0", None, print, lambda: None)
    def told(version):
        endpoint = api.Endpoint("h1", "a", 0, 1.0, "k", "up", 0.0)
        made.record_list(EndpointListing(api.EndpointList("full", version, (endpoint,)), {}))
        made.write_cache()
        other = Replicas(("127.0.0.1", 1), (), folder, "n0", None, print, lambda: None)
        return other.load_cached_list().endpoint_list.version
    assert told(1) == 1
    with full():
        try:
            told(2)
        except AttributeError:
            pass  # nor can it be read
    assert told(3) == 3
asyncio.run(play())
""",
        tmp_path,
    )
