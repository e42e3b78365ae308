"""The stand-ins by themselves: their protocols, and faults that are switched while they run."""

import asyncio

import aiohttp
import pytest
from netkit import VALUE, command, entry, on_loop, wait_until, write_command

from api_gateway.emulators.counter import Counter
from api_gateway.emulators.discovery import Discovery
from api_gateway.emulators.host import BUSY, FAILED, WorkingHost, stay_registered
from api_gateway.emulators.service import Calls, Faults
from api_gateway.registry.config import RegistryConfig
from api_gateway.registry.core import Registry
from api_gateway.registry.service import Service


async def call(port, call):
    method, path = call.split()
    async with aiohttp.request(method, f"http://127.0.0.1:{port}{path}") as answer:
        return answer.status, await answer.json()


async def asked(reader, writer, text):
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
async def test_a_host_does_what_its_faults_say(faults, answer):
    async with WorkingHost(work=0.001) as host:
        calls = Calls(host)
        port = await calls.open("127.0.0.1", 0)
        query = "&".join(f"{name}={value}" for name, value in faults.items())
        assert (await call(port, f"POST /faults?{query}"))[1]["faults"] == {
            "delay": 0.0,
            "silent": 0.0,
            "busy": 0.0,
            "error": 0.0,
            "reset": 0.0,
        } | faults
        asking = asked(*await asyncio.open_connection("127.0.0.1", host.port), command())
        if answer is TimeoutError:
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(asking, 0.3)
        else:
            assert await asking == answer
        await calls.close()


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
async def test_a_fault_that_there_is_not_changes_nothing(query, why):
    async with Counter() as counter:
        calls = Calls(counter)
        port = await calls.open("127.0.0.1", 0)
        status, told = await call(port, f"POST /faults?{query}")
        assert status == 400 and counter.faults == Faults()
        with pytest.raises(ValueError, match=why):
            counter.faults.changed(dict([query.split("=")]))
        await calls.close()


@on_loop
async def test_a_host_turns_away_what_has_no_room_and_does_no_key_twice():
    async with WorkingHost(slots=1, work=0.2, room=1) as host:
        lines = [await asyncio.open_connection("127.0.0.1", host.port) for _ in range(5)]
        texts = [write_command(b"w%d" % n) if n < 2 else command(b"r%d" % n) for n in range(5)]
        answers = await asyncio.gather(*(asked(*line, text) for line, text in zip(lines, texts, strict=True)))
        assert answers.count(BUSY) == 3 and answers.count(VALUE) == 2
        host.work = 0.001
        assert await asked(*lines[0], write_command(b"again")) == VALUE
        assert host.status()["commands"]["repeated"] >= 1 and host.status()["inside"] == 0
        assert await asked(*lines[0], b"*1\r\n$4\r\nPING\r\n") == b"+PONG\r\n"
        assert (await asked(*lines[0], command(verb=b"GET")))[:7] == b"-SYNTAX"


@on_loop
async def test_a_silent_counter_adds_and_answers_late():
    async with Counter() as counter:
        reader, writer = await asyncio.open_connection("127.0.0.1", counter.port)
        counter.switch(Faults(silent=1.0))
        writer.write(b"incr a 2.5 4000\r\nincr a 1 4000\r\n")
        await wait_until(lambda: len(counter.held) == 2)
        assert counter.status() == {"names": 1, "added": 2, "held": 2}
        counter.switch(Faults())
        assert [await reader.readline() for _ in range(2)] == [b"ok 2.5\r\n", b"ok 3.5\r\n"]
        writer.write(b"ping\r\nadd a\r\n")
        assert [await reader.readline() for _ in range(2)] == [b"pong\r\n", b"error\r\n"]


@on_loop
async def test_all_watches_hear_of_a_change_and_a_late_one_too():
    async with Discovery() as discovery:
        discovery.servers = [entry(discovery, "h1")]
        watch = "GET /v1/endpoints?index=1&wait=5000"
        watches = [asyncio.create_task(call(discovery.port, watch)) for _ in range(3)]
        await wait_until(lambda: len(discovery.calls) == 3)
        discovery.change([entry(discovery, "h2"), entry(discovery, "h1", "removed")])
        told = [(await task)[1] for task in (*watches, asyncio.create_task(call(discovery.port, watch)))]
        assert all(t["version"] == 2 and not t["full"] and len(t["servers"]) == 2 for t in told)
        assert [s["id"] for s in (await call(discovery.port, "GET /v1/endpoints"))[1]["servers"]] == ["h2"]


@on_loop
async def test_a_host_registers_itself_outlasts_the_service_and_drains_at_its_end():
    registry = Registry("e", 1)
    service = Service(RegistryConfig(("127.0.0.1", 0), None, 100, 0.0), registry)
    port = await service.start()
    task = asyncio.create_task(stay_registered(f"127.0.0.1:{port}", "h1", "b", lambda: 7000))
    await wait_until(lambda: "h1" in registry.entries)
    host = registry.entries["h1"].host
    assert (host.addr, host.zone, host.state) == ("127.0.0.1:7000", "b", "up")
    registry.entries.clear()  # the service forgot it, as one does that was started anew
    await wait_until(lambda: "h1" in registry.entries)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert registry.entries["h1"].host.state == "draining"
    await service.close()


@pytest.mark.parametrize("turns", range(6))
@on_loop
async def test_a_change_in_the_turn_in_which_a_watch_ends_is_told_with_its_version(turns):
    """The answer names the version; a change that it leaves out would never be told."""
    discovery = Discovery()
    watch = asyncio.create_task(discovery.watch(1, 0.0))
    for _ in range(turns):
        await asyncio.sleep(0)
    ended = watch.done()
    discovery.change([{"id": "h1", "state": "up"}])
    assert bool(await watch) != ended
