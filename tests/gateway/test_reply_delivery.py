"""Replies reach clients that read slowly, in spite of a shutdown, a drain, a crowd or a smaller limit."""

import asyncio
import signal
import socket
from contextlib import AsyncExitStack

import pytest
from gateway_process import gateway_process
from netkit import (
    SETTINGS,
    Node,
    StubCounter,
    StubDiscovery,
    StubHost,
    call_control,
    command,
    entry,
    gateway_config,
    limit_client_send_buffers,
    on_loop,
    read_reply,
    terms,
    wait_until,
    write_command,
)

from api_gateway.downstream import reply_delivery
from api_gateway.gateway import shutdown

RECEIVE_BUFFER_BYTES = 32 * 1024  # of a slow client
SMALL_VALUE = b"v" * 60_000  # passed on as one reply
LARGE_VALUE = bytes(range(256)) * 4096  # 1 MiB, passed on in chunks
LARGE_REPLY = b"$%d\r\n%s\r\n" % (len(LARGE_VALUE), LARGE_VALUE)
DEADLINE_S = 0.9  # of all classes where a process ends
TIMEOUT_MS = int(1000 * DEADLINE_S)


def answer_of(value):
    """Return the answer of a host with this value."""
    return b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (len(value), value)


class SlowClient:
    """A client whose machine has little room, and that reads only what it is told to."""

    def __init__(self, port):
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.sock.setblocking(False)
        self.port, self.received, self.end = port, bytearray(), ""
        self.loop = asyncio.get_running_loop()

    async def send(self, data):
        """Send bytes, on a new connection the first time."""
        if self.sock.getsockname()[1] == 0:
            await self.loop.sock_connect(self.sock, ("127.0.0.1", self.port))
        await self.loop.sock_sendall(self.sock, data)

    async def read(self, expected_bytes, bytes_per_s, *, piece_bytes=20_000):
        """Read so many bytes at a pace, or until the connection ends."""
        while len(self.received) < expected_bytes:
            try:
                data = await self.loop.sock_recv(self.sock, piece_bytes)
            except OSError as err:
                self.end = type(err).__name__
                return
            if not data:
                self.end = "closed"
                return
            self.received += data
            await asyncio.sleep(len(data) / bytes_per_s)

    def close(self):
        self.sock.close()


class Site:
    """A gateway process whose SIGKILL may come soon after SIGTERM, and one host."""

    def __init__(self, folder, value):
        self.folder, self.host = folder, StubHost(answer_of(value))
        self.counter, self.discovery = StubCounter(), StubDiscovery()

    async def __aenter__(self):
        for part in (self.host, self.counter, self.discovery):
            await part.__aenter__()
        self.discovery.servers = [entry(self.host, "h1")]
        deadline = {"deadline": int(DEADLINE_S * 1e9)}
        services = [service_class | deadline for service_class in SETTINGS["services"]]
        config = gateway_config(
            self.discovery.servers, self.discovery.port, self.counter.port, SETTINGS | {"services": services}
        )
        self.running = gateway_process(self.folder, config)
        self.process = await self.running.__aenter__()
        await self.process.wait_until_ready()
        return self

    async def __aexit__(self, *_):
        await self.running.__aexit__(None, None, None)
        for part in (self.host, self.counter, self.discovery):
            await part.__aexit__()


def end_soon(monkeypatch):
    """Let a process end as if SIGKILL could follow SIGTERM very soon."""
    monkeypatch.setattr(shutdown, "FINISH_PERIOD_S", 0.0)
    monkeypatch.setattr(shutdown, "KILL_DELAY_S", 0.3)
    monkeypatch.setattr(shutdown, "ACCEPT_PERIOD_S", 0.0)


# Guards against a process that ends itself while it still has complete replies to requests that have run.
@on_loop
async def test_a_process_ends_only_once_its_replies_are_delivered(scratch, monkeypatch):
    end_soon(monkeypatch)
    async with AsyncExitStack() as stack:
        hosts = [await stack.enter_async_context(StubHost(None)) for _ in range(4)]
        node = await stack.enter_async_context(Node(*hosts, path=scratch))
        limit_client_send_buffers(node.node)
        client = SlowClient(node.port)
        names = [b"w%d" % number for number in range(16)]
        await client.send(b"".join(write_command(name) for name in names))
        await wait_until(lambda: sum(len(host.commands) for host in hosts) == len(names))
        for host in hosts:
            for host_writer in host.writers:
                host_writer.write(answer_of(SMALL_VALUE))
        await wait_until(lambda: not node.node.in_flight)
        ending = asyncio.create_task(node.node.stop())
        await client.read(float("inf"), 400_000)
        assert client.end == "closed" and client.received.count(SMALL_VALUE) == len(names)
        client.close()
        await ending


# Guards against a process that waits without an end for a client that takes nothing.
@on_loop
async def test_a_process_ends_though_a_client_never_reads(scratch, monkeypatch):
    end_soon(monkeypatch)
    monkeypatch.setattr(reply_delivery, "STALL_TIMEOUT_S", 0.5)
    async with StubHost(answer_of(SMALL_VALUE)) as host, Node(host, path=scratch) as node:
        limit_client_send_buffers(node.node)
        client = SlowClient(node.port)
        await client.send(b"".join(write_command(b"w%d" % number) for number in range(16)))
        await wait_until(lambda: host.commands and not node.node.in_flight)
        async with asyncio.timeout(5.0):
            await node.node.stop()
        client.close()


# Guards against a reset of a connection whose client still reads its reply and has sent its next command.
@pytest.mark.parametrize("how", ["SIGTERM", "standby"])
@on_loop
async def test_a_drain_does_not_reset_a_connection_whose_client_still_reads(how, scratch):
    async with Site(scratch, LARGE_VALUE) as site:
        client = SlowClient(site.process.port)
        await client.send(command(b"large", terms(d=TIMEOUT_MS)))
        reading = asyncio.create_task(client.read(len(LARGE_REPLY), 320_000))
        await wait_until(lambda: len(client.received) > 10_000)
        if how == "SIGTERM":
            site.process.signal(signal.SIGTERM)
        else:
            assert (await call_control(site.process.control_port, "POST /standby"))[0] == 200
        await asyncio.sleep(0.8)
        await client.send(command(b"next", terms(d=TIMEOUT_MS)))
        await reading
        assert bytes(client.received[: len(LARGE_REPLY)]) == LARGE_REPLY
        client.close()


CROWD = 40
CAPACITY = 10


# Guards against a crowd of idle clients that takes the place of one that still reads its reply.
@on_loop
async def test_a_crowd_does_not_take_the_place_of_a_client_that_still_reads(scratch):
    async with StubHost(answer_of(LARGE_VALUE)) as host, Node(host, path=scratch) as node:
        node.node.sibling_watch.timer.cancel()
        node.node.clients.capacity = CAPACITY
        client = SlowClient(node.port)
        await client.send(command(b"large"))
        reading = asyncio.create_task(client.read(len(LARGE_REPLY), 1_000_000))
        await wait_until(lambda: len(client.received) > 10_000 and not node.node.in_flight)
        crowd = [await asyncio.open_connection("127.0.0.1", node.port) for _ in range(CROWD)]
        await client.send(command(b"next"))
        await reading
        assert bytes(client.received[: len(LARGE_REPLY)]) == LARGE_REPLY
        for _, writer in crowd:
            writer.close()
        client.close()


# Guards against the same where the process lacks descriptors, or an operator lowers its limit of them.
@pytest.mark.parametrize("how", ["reclaim", "lower limit"])
@on_loop
async def test_a_shortage_does_not_end_a_connection_whose_client_still_reads(how, scratch):
    async with StubHost(answer_of(LARGE_VALUE)) as host, Node(host, path=scratch) as node:
        node.node.sibling_watch.timer.cancel()
        client = SlowClient(node.port)
        await client.send(command(b"large"))
        reading = asyncio.create_task(client.read(len(LARGE_REPLY), 1_000_000))
        await wait_until(lambda: len(client.received) > 10_000 and not node.node.in_flight)
        (connection,) = node.node.clients.connections
        connection.last_command_at -= 60.0  # longer ago than a connection must be idle
        if how == "reclaim":
            while node.node.limits.reclaim_descriptor():
                pass
        else:
            node.node.clients.capacity = 0
            node.node.clients.shrink_to_capacity()
        await client.send(command(b"next"))
        await reading
        assert bytes(client.received[: len(LARGE_REPLY)]) == LARGE_REPLY
        client.close()


# Guards against clients that take nothing and keep the places of all others.
@on_loop
async def test_clients_that_never_read_make_room_once_they_have_stalled(scratch, monkeypatch):
    monkeypatch.setattr(reply_delivery, "STALL_TIMEOUT_S", 0.5)
    async with StubHost(answer_of(LARGE_VALUE)) as host, Node(host, path=scratch) as node:
        node.node.sibling_watch.timer.cancel()
        limit_client_send_buffers(node.node)
        node.node.clients.capacity = CAPACITY
        stalled = [SlowClient(node.port) for _ in range(CAPACITY)]
        for number, client in enumerate(stalled):
            await client.send(command(b"large%d" % number, terms(d="10000")))
        await wait_until(lambda: len(node.node.clients.undelivered) == CAPACITY)
        host.answer = answer_of(b"value")
        async with asyncio.timeout(10.0):
            for number in range(CAPACITY):
                while True:
                    reader, writer = await node.connect()
                    writer.write(command(b"other%d" % number))
                    try:
                        if await read_reply(reader) == b"$5\r\nvalue\r\n":
                            break
                    except OSError:
                        pass
                    await asyncio.sleep(0.05)
        for client in stalled:
            client.close()


# Guards against an idle connection that is forgotten once its reply was found undelivered.
@on_loop
async def test_a_connection_is_idle_again_once_its_reply_is_delivered(scratch):
    async with StubHost(answer_of(LARGE_VALUE)) as host, Node(host, path=scratch) as node:
        client = SlowClient(node.port)
        await client.send(command(b"large"))
        await wait_until(lambda: node.node.clients.connections and not node.node.in_flight and host.commands)
        server = node.node.clients
        (connection,) = server.connections
        connection.last_command_at -= 60.0  # longer ago than a connection must be idle
        assert not server.close_fresh_idle() and connection not in [*server.idle.fresh]
        await client.read(len(LARGE_REPLY), float("inf"))
        await wait_until(lambda: connection in [*server.idle.fresh])
        assert connection not in server.undelivered
        client.close()
