"""The control address: readiness, ejecting hosts and draining clients."""

import asyncio
import json
import time

import pytest
from gateway_process import gateway_process
from netkit import SERVED, VALUE, Node, StubHost, command, entry, on_loop, read_reply, wait_until

from api_gateway.control import http_server
from api_gateway.downstream import client_server, connection_timeouts

SMALLEST_MEMORY_LIMIT_MB = 32
PING = b"*1\r\n$4\r\nPING\r\n"


@on_loop
async def test_status_is_ready_only_if_clients_can_be_served(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        assert (await node.call_control("GET /status"))[0] == 200
        await node.call_control("POST /standby")
        status, body = await node.call_control("GET /status")
        listed = body.pop("list")
        assert (status, body) == (
            503,
            {
                "ready": False,
                "state": "standby",
                "hosts": ["h1"],
                "hosts_out": [],
                "requests": 0,
                "clients": 0,
                "large_bodies": {"reserved_bytes": 0, "waiting": 0, "rejected": 0},
            },
        )
        assert listed["version"] == 1 and listed["age"] < 20 and listed["failures"] == 0
    async with Node(path=tmp_path) as node:  # it has no hosts
        assert (await node.call_control("GET /status"))[0] == 503


# Guards against a control address whose library takes a third of the smallest memory limit.
@on_loop
async def test_a_process_with_a_control_address_starts_with_most_of_the_smallest_limit_free(scratch):
    async with StubHost() as host, Node(host, path=scratch) as node:
        config = json.loads(node.file.read_text())
        async with gateway_process(scratch, config, name="process.json") as gateway:
            await gateway.wait_until_ready()
            assert (await gateway.status())["ready"]
            assert gateway.anonymous_mb() < SMALLEST_MEMORY_LIMIT_MB * 2 / 3


@on_loop
async def test_a_body_is_asked_for_and_an_unread_one_does_not_cut_off_the_answer(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        reader, writer = await asyncio.open_connection("127.0.0.1", node.control_port)
        writer.write(
            b"POST /config/check HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n"
        )
        assert await reader.readline() == b"HTTP/1.1 100 Continue\r\n"
        writer.write(b"{")
        assert b"HTTP/1.1 400 Bad Request" in await reader.read()
        writer.close()
        reader, writer = await asyncio.open_connection("127.0.0.1", node.control_port)
        writer.write(b"POST /nothing HTTP/1.1\r\nHost: x\r\nContent-Length: 300000\r\n\r\n" + bytes(300_000))
        assert (await reader.read()).startswith(b"HTTP/1.1 404 Not Found")
        writer.close()


@on_loop
async def test_metrics_tell_what_holds_memory_and_why_connections_ended(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        assert await node.send_command(command()) == SERVED
        assert (await node.send_command(b"*1000\r\n")).startswith(b"-ERR protocol")
        status, metrics = await node.call_control("GET /metrics")
        assert status == 200
        assert 0 < metrics["memory"]["anonymous_bytes"]
        assert metrics["memory"]["limit_bytes"] == 192 * 2**20
        assert metrics["objects"]["customers"] == 1
        assert metrics["connections_ended"] == {"protocol_error": 1}
        assert metrics["closes_begun"]["error"] == 1
        assert metrics["requests_rejected"] == {}


@pytest.mark.parametrize(
    "call, status",
    [
        ("GET /nothing", 404),
        ("POST /status", 405),
        ("HEAD /status", 405),
        ("GET /status?x=1", 400),
        ("GET /maintenance/enter?host=h1", 405),
        ("POST /maintenance/enter", 400),
        ("POST /maintenance/enter?host=", 400),
        ("POST /maintenance/enter?host=h1&host=h2", 400),
        ("POST /maintenance/enter?host=h1&more=1", 400),
        ("POST /maintenance/enter?host=h9", 404),
        ("POST /maintenance/exit?host=h9", 404),
        ("GET /standby", 405),
        ("POST /active?now", 400),
        ("nonsense", 400),
    ],
)
@on_loop
async def test_invalid_call_is_rejected_and_changes_nothing(call, status, tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        assert (await node.call_control(call))[0] == status
        assert (await node.call_control("GET /status"))[1]["hosts"] == ["h1"] and node.node.state == "active"
        assert await node.send_command(command()) == SERVED


@on_loop
async def test_silent_connections_do_not_block_calls_and_are_closed(tmp_path, monkeypatch):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        idle = [
            await asyncio.open_connection("127.0.0.1", node.control_port)
            for _ in range(2 * http_server.MAX_CONNECTIONS)
        ]
        assert (await node.call_control("GET /status"))[0] == 200
        assert await idle[0][0].read() == b""  # the oldest was closed
        assert await node.send_command(command()) == SERVED
        monkeypatch.setattr(http_server, "CALL_TIMEOUT_S", 0.05)
        reader, writer = await asyncio.open_connection("127.0.0.1", node.control_port)
        assert await reader.read() == b""
        for _, idle_writer in [*idle, (reader, writer)]:
            idle_writer.close()


@on_loop
async def test_ejected_host_gets_no_requests_until_readmitted(tmp_path):
    async with StubHost() as one, StubHost() as two, Node(one, two, path=tmp_path) as node:
        while not one.commands:
            assert await node.send_command(command(b"a%d" % time.monotonic_ns())) == SERVED
        assert one.connections
        for _ in range(2):
            assert (await node.call_control("POST /maintenance/enter?host=h1"))[0] == 200
        await wait_until(lambda: not one.connections)  # its idle connections are closed too
        restarted = entry(one, "h1") | {"started_ms": int(time.time() * 1000)}
        node.discovery.change([restarted])  # the host was restarted meanwhile
        await wait_until(lambda: node.node.discovery.version == 2)
        before = len(one.commands)
        for number in range(30):
            assert await node.send_command(command(b"b%d" % number)) == SERVED
        assert len(one.commands) == before
        assert (await node.call_control("POST /maintenance/exit?host=h1"))[0] == 200
        assert (await node.call_control("GET /status"))[1]["hosts_out"] == []
        number = 0
        while len(one.commands) == before:
            number += 1
            assert await node.send_command(command(b"c%d" % number)) == SERVED


@on_loop
async def test_attempt_waiting_for_a_connection_does_not_reach_an_ejected_host(tmp_path):
    async with StubHost() as one, StubHost() as two, Node(one, two, path=tmp_path) as node:
        replies = [asyncio.create_task(node.send_command(command(b"r%d" % n))) for n in range(8)]
        while not node.node.upstream.pools["h1"].connecting:
            await asyncio.sleep(0)
        node.node.set_override("h1", True)
        assert not node.node.upstream.pools.keys() & {"h1"}
        assert await asyncio.gather(*replies) == [SERVED] * 8


@on_loop
async def test_ejection_survives_a_restart_and_both_processes_agree(tmp_path):
    async with StubHost() as one, StubHost() as two, Node(one, two, path=tmp_path) as old:
        assert (await old.call_control("POST /maintenance/enter?host=h1"))[0] == 200
        async with Node(one, two, path=tmp_path) as new:
            assert (await new.call_control("GET /status"))[1]["hosts_out"] == ["h1"]
            assert new.node.engine.endpoint_pool.table.ejected
            assert (await new.call_control("POST /maintenance/exit?host=h1"))[0] == 200
            await wait_until(lambda: not old.node.upstream.ejected)
            assert not old.node.engine.endpoint_pool.table.ejected
            assert (await old.call_control("POST /maintenance/enter?host=h2"))[0] == 200
            assert (await new.call_control("POST /maintenance/exit?host=h2"))[0] == 200  # before a poll
            assert not new.node.upstream.ejected


@on_loop
async def test_drain_closes_idle_connections_and_serves_late_requests(tmp_path):
    async with StubHost(None) as host, Node(host, path=tmp_path) as node:
        idle, _ = connection = await node.connect()
        connection[1].write(PING)
        assert await read_reply(idle) == b"+PONG\r\n"
        busy, writer = await node.connect()
        writer.write(command(b"busy"))
        await host.arrived.get()
        assert (await node.call_control("POST /standby"))[0] == 200
        assert (await node.call_control("POST /standby"))[0] == 200
        assert await idle.read() == b""
        assert await node.send_command(PING) == b"-ERR not ready\r\n"
        late, late_writer = await node.connect()
        late_writer.write(command(b"late"))
        while (arrived := await host.arrived.get()) is None or arrived[2] != b"late":
            pass
        for host_writer in host.writers:
            host_writer.write(VALUE)
        assert await busy.read() == SERVED and await late.read() == SERVED


@on_loop
async def test_drain_stops_reading_busy_connections_until_active(tmp_path, monkeypatch):
    monkeypatch.setattr(client_server, "DRAIN_READ_S", 0.05)
    async with StubHost(None) as host, Node(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        writer.write(command(b"first"))
        await host.arrived.get()
        await node.call_control("POST /standby")
        client = next(iter(node.node.clients.connections))
        await wait_until(lambda: client.state.is_reading_stopped)
        writer.write(command(b"second"))
        assert (await node.call_control("POST /active"))[0] == 200
        while (arrived := await host.arrived.get()) is None or arrived[2] != b"second":
            pass
        for host_writer in host.writers:
            host_writer.write(VALUE)
        assert [await read_reply(reader) for _ in range(2)] == [SERVED, SERVED]
        writer.write(PING)
        assert await read_reply(reader) == b"+PONG\r\n"


@on_loop
async def test_drain_closes_connections_without_a_command(tmp_path, monkeypatch):
    monkeypatch.setattr(client_server, "DRAIN_READ_S", 0.05)
    monkeypatch.setattr(connection_timeouts, "DRAIN_FIRST_COMMAND_TIMEOUT_S", 0.05)
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        await node.call_control("POST /standby")
        reader, writer = await node.connect()
        assert await reader.read() == b""


@on_loop
async def test_stopping_process_is_not_ready_and_rejects_drain_calls(tmp_path):
    async with StubHost(None) as host, Node(host, path=tmp_path) as node:
        await node.call_control("POST /maintenance/enter?host=h1")
        await node.call_control("POST /standby")
        node.node.serving.state = "stopping"
        assert (await node.call_control("GET /status"))[0] == 503
        assert (
            (await node.call_control("POST /active"))[0]
            == (await node.call_control("POST /standby"))[0]
            == 409
        )
        assert (await node.call_control("POST /maintenance/exit?host=h1"))[0] == 200


@on_loop
async def test_drain_serves_a_request_received_before_the_close(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        writer.write(PING)
        assert await read_reply(reader) == b"+PONG\r\n"
        client = next(iter(node.node.clients.connections))
        client.transport.pause_reading()
        writer.write(command())
        await wait_until(client.has_unread_bytes)
        node.node.set_draining(True)
        client.transport.resume_reading()
        assert await reader.read() == SERVED
