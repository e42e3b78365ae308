"""The protocols of the stand-ins and the faults that are set while they run."""

import asyncio

import aiohttp
import pytest
from netkit import VALUE, command, entry, on_loop, wait_until, write_command

from api_gateway.emulators.counter import Counter
from api_gateway.emulators.discovery import Discovery
from api_gateway.emulators.host import BUSY, FAILED, WorkingHost, stay_registered
from api_gateway.emulators.service import ControlServer, Faults
from api_gateway.registry.config import RegistryConfig
from api_gateway.registry.core import Registry
from api_gateway.registry.service import Service


async def call_http(port, call):
    """Send a call such as `GET /status`; return the status and the JSON body."""
    method, path = call.split()
    async with aiohttp.request(method, f"http://127.0.0.1:{port}{path}") as response:
        return response.status, await response.json()


async def send_command(reader, writer, text):
    """Send one command and return the whole reply, b"" at the end of the connection."""
    writer.write(text)
    line = await reader.readline()
    return line + (await reader.readexactly(len(VALUE) - 4) if line[:1] == b"*" else b"")


@pytest.mark.parametrize(
    "faults, answer",
    [
        ({}, VALUE),
        ({"busy": 1.0}, BUSY),
        ({"error": 1.0}, FAILED),
        ({"reset": 1.0}, b""),
        ({"silent": 1.0}, TimeoutError),
        ({"delay": 5.0}, TimeoutError),
    ],
)
@on_loop
async def test_host_injects_the_faults_set_over_http(faults, answer):
    async with WorkingHost(work_s=0.001) as host:
        control_server = ControlServer(host)
        port = await control_server.open("127.0.0.1", 0)
        query = "&".join(f"{name}={value}" for name, value in faults.items())
        assert (await call_http(port, f"POST /faults?{query}"))[1]["faults"] == {
            "delay": 0.0,
            "silent": 0.0,
            "busy": 0.0,
            "error": 0.0,
            "reset": 0.0,
        } | faults
        reply = send_command(*await asyncio.open_connection("127.0.0.1", host.port), command())
        if answer is TimeoutError:
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(reply, 0.3)
        else:
            assert await reply == answer
        await control_server.close()


@pytest.mark.parametrize(
    "query, why",
    [
        ("silent=2", "from 0 to 1"),
        ("delay=soon", "from 0 to 3600"),
        ("delay=nan", "from 0"),
        ("broken=1", "there are busy, delay"),
    ],
)
@on_loop
async def test_invalid_faults_are_rejected_and_change_nothing(query, why):
    async with Counter() as counter:
        control_server = ControlServer(counter)
        port = await control_server.open("127.0.0.1", 0)
        status, body = await call_http(port, f"POST /faults?{query}")
        assert status == 400 and counter.faults == Faults()
        with pytest.raises(ValueError, match=why):
            counter.faults.updated(dict([query.split("=")]))
        await control_server.close()


@on_loop
async def test_host_rejects_commands_beyond_its_queue_and_recognizes_repeated_keys():
    async with WorkingHost(slots=1, work_s=0.2, queue_size=1) as host:
        connections = [await asyncio.open_connection("127.0.0.1", host.port) for _ in range(5)]
        commands = [
            write_command(b"w%d" % number) if number < 2 else command(b"r%d" % number) for number in range(5)
        ]
        replies = await asyncio.gather(
            *(send_command(*pair, text) for pair, text in zip(connections, commands, strict=True))
        )
        assert replies.count(BUSY) == 3 and replies.count(VALUE) == 2
        host.work_s = 0.001
        assert await send_command(*connections[0], write_command(b"again")) == VALUE
        assert host.status()["commands"]["repeated"] >= 1 and host.status()["inside"] == 0
        assert await send_command(*connections[0], b"*1\r\n$4\r\nPING\r\n") == b"+PONG\r\n"
        assert (await send_command(*connections[0], command(verb=b"GET")))[:7] == b"-SYNTAX"


@on_loop
async def test_silent_counter_adds_at_once_and_replies_after_the_fault():
    async with Counter() as counter:
        reader, writer = await asyncio.open_connection("127.0.0.1", counter.port)
        counter.set_faults(Faults(silent=1.0))
        writer.write(b"incr a 2.5 4000\r\nincr a 1 4000\r\n")
        await wait_until(lambda: len(counter.pending_replies) == 2)
        assert counter.status() == {"names": 1, "added": 2, "held": 2}
        counter.set_faults(Faults())
        assert [await reader.readline() for _ in range(2)] == [b"ok 2.5\r\n", b"ok 3.5\r\n"]
        writer.write(b"ping\r\nadd a\r\n")
        assert [await reader.readline() for _ in range(2)] == [b"pong\r\n", b"error\r\n"]


@on_loop
async def test_all_watches_receive_a_change_and_so_does_a_later_one():
    async with Discovery() as discovery:
        discovery.servers = [entry(discovery, "h1")]
        watch = "GET /v1/endpoints?index=1&wait=5000"
        watches = [asyncio.create_task(call_http(discovery.port, watch)) for _ in range(3)]
        await wait_until(lambda: len(discovery.calls) == 3)
        discovery.change([entry(discovery, "h2"), entry(discovery, "h1", "removed")])
        replies = [
            (await task)[1] for task in (*watches, asyncio.create_task(call_http(discovery.port, watch)))
        ]
        assert all(
            reply["version"] == 2 and not reply["full"] and len(reply["servers"]) == 2 for reply in replies
        )
        assert [s["id"] for s in (await call_http(discovery.port, "GET /v1/endpoints"))[1]["servers"]] == [
            "h2"
        ]


@on_loop
async def test_host_registers_again_after_the_service_lost_it_and_drains_when_stopped():
    registry = Registry("e", 1)
    service = Service(RegistryConfig(("127.0.0.1", 0), None, 100, 0.0), registry)
    port = await service.start()
    task = asyncio.create_task(stay_registered(f"127.0.0.1:{port}", "h1", "b", lambda: 7000))
    await wait_until(lambda: "h1" in registry.entries)
    host = registry.entries["h1"].host
    assert (host.addr, host.zone, host.state) == ("127.0.0.1:7000", "b", "up")
    registry.entries.clear()  # as after a restart of the list service
    await wait_until(lambda: "h1" in registry.entries)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert registry.entries["h1"].host.state == "draining"
    await service.close()


@pytest.mark.parametrize("turns", range(6))
@on_loop
async def test_change_in_the_loop_iteration_that_ends_a_watch_is_not_lost(turns):
    """A reply reports the current version, so a change that it omits would never be sent.

    This happens if the change arrives between the timeout of the watch and its reply. With each number of
    `turns` the change arrives in another iteration of the event loop.
    """
    discovery = Discovery()
    watch = asyncio.create_task(discovery.watch(1, 0.0))
    for _ in range(turns):
        await asyncio.sleep(0)
    ended = watch.done()
    discovery.change([{"id": "h1", "state": "up"}])
    assert bool(await watch) != ended
