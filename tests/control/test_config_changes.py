"""Changes of the configuration on loopback: checked first, applied whole or not at all, rolled back."""

import asyncio
import json
import os
import subprocess
import sys

import pytest
from netkit import (
    SERVED,
    SETTINGS,
    VALUE,
    Node,
    StubCounter,
    StubDiscovery,
    StubHost,
    command,
    entry,
    on_loop,
    read_reply,
    terms,
    wait_until,
    wait_until_settled,
)

from api_gateway.control import config_changes as module
from api_gateway.control import config_history
from api_gateway.control import config_schema as keys
from api_gateway.control import server as control
from api_gateway.control.config_history import ConfigHistory, content_digest, decode_history, make_version
from api_gateway.control.config_preparation import STEPS
from api_gateway.downstream import client_server

EXTRA = SETTINGS["services"][0] | {"name": "extra"}
# On a machine that is busy with other things nothing is taken for late; and no quota is met.
PATIENT = SETTINGS | {
    "specifics": SETTINGS["specifics"] | {"counter_timeout": 5_000_000_000},
    "limits": SETTINGS["limits"] | {"cancel": False},
    "plans": [{"name": "p", "rate": 1e6, "most_at_once": 1e7}],
}


async def config(node):
    return (await node.call_control("GET /config"))[1]


async def candidate(node, **kw):
    """What is in force with other values at some paths, such as settings__plans__0__rate."""
    tree = (await config(node))["config"]
    for path, value in kw.items():
        at, *parents = tree, *path.split("__")
        for part in parents[:-1]:
            at = at[int(part) if part.isdigit() else part]
        at[parents[-1]] = value
    return json.dumps(tree).encode()


async def apply(node, text, expect=None, within=None):
    expect = (await config(node))["version"] if expect is None else expect
    more = f"&confirm_within={within}" if within else ""
    return await node.call_control(f"POST /config/apply?expect={expect}{more}", text)


def in_force(node):
    """All that a change may touch, as it can be seen from outside the subsystem."""
    n = node.node
    return {
        "config": n.config,
        "settings": n.settings,
        "module": n.engine.settings,
        "connects": n.upstream.connect_timeout,
        "rests": n.upstream.max_idle_time,
        "discovery": n.discovery.url,
        "watch": n.discovery.watch_task,
        "timeout": n.counter.timeout,
        "counter": [line.address for line in n.counter.connections],
        "clients": n.clients.capacity,
        "hosts": n.upstream.max_connections,
        "bodies": n.clients.body_budget.capacity_bytes,
        "classes": dict(n.engine.endpoint_pool.mean_latency),
        "plans": dict(n.engine.quota.plan_grants),
        "current": n.changes.current,
        "history": n.changes.history,
        "connections": set(n.upstream.connections) | set(n.clients.connections),
    }


@on_loop
async def test_what_is_in_force_is_told_and_a_check_has_no_effect(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        told = await config(node)
        assert (told["version"], told["by"], told["pending"]) == (1, "start", None)
        assert (
            told["digest"] == content_digest(json.dumps(told["config"], sort_keys=True))
            and told["since"] > 1e9
        )
        before = in_force(node)
        good = await candidate(node, settings__plans__0__rate=5.0, limits__sockets=900)
        assert await node.call_control("POST /config/check", good) == (
            200,
            {
                "more": 0,
                "changes": [
                    {"path": "limits.sockets", "from": 1024, "to": 900},
                    {"path": "settings.plans.p.rate", "from": 1000.0, "to": 5.0},
                ],
            },
        )
        bad = await candidate(node, settings__plans__0__rate="5", discovery="nowhere")
        status, told = await node.call_control("POST /config/check", bad)
        assert status == 400 and {f["path"] for f in told["faults"]} == {"discovery", "settings.plans.0.rate"}
        assert (await node.call_control("POST /config/check", b"{"))[0] == 400
        assert (await node.call_control("POST /config/check", b" " * (keys.MAX_BODY_BYTES + 1)))[0] == 400
        assert in_force(node) == before and (await config(node))["version"] == 1


@on_loop
async def test_a_change_is_applied_whole_and_a_repeat_finds_it_done(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        text = await candidate(
            node,
            settings__services=[*SETTINGS["services"], EXTRA],
            settings__limits__connect_timeout=100_000_000,
            limits__sockets=512,
        )
        assert await node.send_command(command(b"early", terms(c="extra"))) != SERVED
        for changed in (True, False):
            status, told = await apply(node, text, 1)
            assert (status, told["version"], told["by"], told["changed"]) == (200, 2, "call", changed)
        assert await node.send_command(command(b"late", terms(c="extra"))) == SERVED
        assert node.node.upstream.connect_timeout == 0.1 and node.node.clients.capacity == (512 - 64) // 2
        history = (await node.call_control("GET /config/history"))[1]["versions"]
        assert [(v["version"], v["by"], v["in_force"]) for v in history] == [
            (1, "start", False),
            (2, "call", True),
        ]


@on_loop
async def test_a_memory_past_all_numbers_of_bytes_is_a_change_like_others(tmp_path):
    """Nothing may fail once a change is being brought into force."""
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        status, told = await apply(node, await candidate(node, limits__memory_mb=1e308), 1)
        assert (status, told["version"]) == (200, 2) and await node.send_command(command()) == SERVED


@on_loop
async def test_who_comes_second_is_told_so(tmp_path):
    async with StubHost() as host, StubDiscovery() as other, Node(host, path=tmp_path) as node:
        other.servers = [entry(host)]
        first = await candidate(node, discovery=f"127.0.0.1:{other.port}")
        second = await candidate(node, settings__plans__0__rate=5.0)
        answers = await asyncio.gather(apply(node, first, 1), apply(node, second, 1))
        assert sorted(status for status, _ in answers) == [200, 409]
        assert (await apply(node, second, 1))[0] in (200, 409)
        assert (await apply(node, await candidate(node, settings__plans__0__rate=7.0), 1))[0] == 409
        assert (await config(node))["version"] == 2


@pytest.mark.parametrize(
    "call",
    [
        "GET /config/apply?expect=1",
        "POST /config",
        "POST /config/history",
        "GET /config/check",
        "POST /config/check?x=1",
        "POST /config/apply",
        "POST /config/apply?expect=",
        "POST /config/apply?expect=x",
        "POST /config/apply?expect=-1",
        "POST /config/apply?expect=1&expect=1",
        "POST /config/apply?expect=1&more=2",
        "POST /config/apply?expect=1&confirm_within=",
        "POST /config/apply?expect=1&confirm_within=0",
        "POST /config/apply?expect=1&confirm_within=nan",
        "POST /config/apply?expect=1&confirm_within=1e9",
        "POST /config/apply?expect=" + "9" * 40,
        "POST /config/confirm",
        "POST /config/confirm?version=2",
        "POST /config/rollback",
        "POST /config/rollback?to=7",
        "GET /config/rollback?to=1",
        "GET /config?x=1",
    ],
)
@on_loop
async def test_a_wrong_call_is_a_no_and_changes_nothing(call, tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        before, text = in_force(node), await candidate(node, settings__plans__0__rate=5.0)
        assert 400 <= (await node.call_control(call, text))[0] < 500
        assert in_force(node) == before


@on_loop
async def test_a_body_that_does_not_come_is_not_waited_for(tmp_path, monkeypatch):
    monkeypatch.setattr(control, "BODY_TIMEOUT_S", 0.05)
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        reader, writer = await asyncio.open_connection("127.0.0.1", node.control_port)
        writer.write(b"POST /config/check HTTP/1.1\r\nHost: g\r\nContent-Length: 9\r\n\r\n{")
        assert b" 408 " in await reader.readline()
        writer.close()


@on_loop
async def test_a_caller_that_waits_to_be_told_to_go_on_is_told(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        reader, writer = await asyncio.open_connection("127.0.0.1", node.control_port)
        writer.write(
            b"POST /config/check HTTP/1.1\r\nHost: g\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"
        )
        assert b" 100 " in await reader.readline()
        writer.write(b"{}")
        assert b" 400 " in await reader.read()
        writer.close()


@on_loop
async def test_without_its_confirmation_a_change_undoes_itself(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        text = await candidate(node, settings__services=[*SETTINGS["services"], EXTRA])
        status, told = await apply(node, text, within=1)
        assert status == 200 and told["pending"]["version"] == 2 and told["pending"]["back"] == 1
        await wait_until(lambda: "extra" not in node.node.settings.classes)
        told = await config(node)
        assert (told["version"], told["by"], told["of"], told["pending"]) == (3, "expiry", 1, None)
        assert (await node.call_control("POST /config/confirm?version=2"))[0] == 409


@on_loop
async def test_a_confirmed_change_stays_and_confirming_again_is_a_yes(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        text = await candidate(node, settings__plans__0__rate=5.0)
        assert (await apply(node, text, within=600))[0] == 200
        other = await candidate(node, settings__plans__0__rate=7.0)
        assert (await apply(node, other))[0] == 409  # until it is confirmed
        assert (await node.call_control("POST /config/confirm?version=1"))[0] == 409
        for _ in range(2):
            status, told = await node.call_control("POST /config/confirm?version=2")
            assert status == 200 and told["pending"] is None
        assert node.node.changes.confirmation_timer is None and (await config(node))["version"] == 2


@on_loop
async def test_a_confirmation_at_the_moment_of_its_expiry_is_either_in_time_or_refused(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        changes, now = node.node.changes, node.node.clock()
        for late in (False, True):
            text = await candidate(node, settings__plans__0__rate=7.0 + late)
            number = (await apply(node, text, within=3600))[1]["version"]
            until_ = changes.history.pending.deadline
            node.node.clock = lambda until_=until_, late=late: until_ - (0 if late else 1e-6)
            status, _ = await node.call_control(f"POST /config/confirm?version={number}")
            node.node.clock = lambda: now
            assert status == (409 if late else 200)
            assert (await config(node))["by"] == ("expiry" if late else "call")


@on_loop
async def test_a_rollback_goes_the_same_way_and_a_dead_address_stops_it(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        async with StubDiscovery() as other:
            other.servers = [entry(host)]
            assert (await apply(node, await candidate(node, discovery=f"127.0.0.1:{other.port}")))[0] == 200
            assert node.node.discovery.url.startswith(f"http://127.0.0.1:{other.port}/")
            status, told = await node.call_control("POST /config/rollback?to=1")
            assert (status, told["version"], told["by"], told["of"]) == (200, 3, "rollback", 1)
            assert (await node.call_control("POST /config/rollback?to=1"))[1]["changed"] is False
        before = in_force(node)
        status, told = await node.call_control("POST /config/rollback?to=2")  # its discovery is gone
        assert status == 503 and told["step"] == "discovery" and in_force(node) == before
        assert await node.send_command(command()) == SERVED


@on_loop
async def test_the_list_of_a_new_discovery_is_there_with_the_change(tmp_path):
    async with (
        StubHost() as one,
        StubHost() as two,
        StubDiscovery() as other,
        Node(one, path=tmp_path) as node,
    ):
        other.servers, other.version = [entry(two, "h2")], 70
        assert (await apply(node, await candidate(node, discovery=f"127.0.0.1:{other.port}")))[0] == 200
        assert node.node.discovery.version == 70 and list(node.node.upstream.pools) == ["h2"]
        assert await other.call() == {}  # the contact; the watch goes on from what it told
        assert (await other.call())["index"] == "70"


@on_loop
async def test_a_signal_takes_a_dead_discovery_the_old_list_stays_and_a_rollback_works(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        tree = json.loads(node.file.read_text()) | {"discovery": "127.0.0.1:1"}
        node.file.write_text(json.dumps(tree))
        node.node.reload()
        assert (await config(node))["by"] == "signal" and node.node.discovery.url.startswith(
            "http://127.0.0.1:1/"
        )
        assert await node.send_command(command(b"a")) == SERVED
        assert (await node.call_control("POST /config/rollback?to=1"))[0] == 200
        assert node.node.discovery.url.startswith(f"http://127.0.0.1:{node.discovery.port}/")
        assert await node.send_command(command(b"b")) == SERVED


@on_loop
async def test_a_signal_in_the_middle_of_a_prepare_comes_first(tmp_path):
    async with StubHost() as host, StubDiscovery() as slow, Node(host, path=tmp_path) as node:
        slow.silent = True
        text = await candidate(node, discovery=f"127.0.0.1:{slow.port}", settings__plans__0__rate=5.0)
        call = asyncio.create_task(apply(node, text, 1))
        await slow.call()
        tree = json.loads(node.file.read_text())
        tree["settings"]["plans"][0]["rate"] = 77.0
        node.file.write_text(json.dumps(tree))
        node.node.reload()
        assert node.node.settings.plans["p"].rate == 77.0
        slow.silent, slow.servers = False, [entry(host)]
        call.cancel()
        text = await candidate(node, settings__plans__0__rate=6.0)
        node.node.changes.preparing = False
        assert (await apply(node, text, 1))[0] == 409
        assert (await config(node))["version"] == 2 and node.node.settings.plans["p"].rate == 77.0


@on_loop
async def test_a_prepare_that_a_signal_overtook_lets_go_of_all(tmp_path, monkeypatch):
    async with StubHost() as host, Node(host, path=tmp_path) as node:

        async def overtaken(changes, change):
            tree = json.loads(node.file.read_text())
            tree["settings"]["plans"][0]["rate"] = 77.0
            node.file.write_text(json.dumps(tree))
            node.node.reload()

        monkeypatch.setitem(STEPS, "counter", overtaken)
        status, told = await apply(node, await candidate(node, settings__plans__0__rate=5.0), 1)
        assert status == 409 and "version 2" in told["error"]
        assert node.node.settings.plans["p"].rate == 77.0 and not node.node.changes.preparing


@on_loop
async def test_a_prepare_has_a_time_limit(tmp_path, monkeypatch):
    monkeypatch.setattr(module, "PREPARE_TIMEOUT_S", 0.5)
    async with StubHost() as host, StubDiscovery() as slow, Node(host, path=tmp_path) as node:
        slow.silent, before = True, in_force(node)
        text = await candidate(node, discovery=f"127.0.0.1:{slow.port}")
        status, told = await apply(node, text)
        assert status == 503 and "discovery" in told["error"] and in_force(node) == before
        assert not node.node.changes.preparing


@pytest.mark.parametrize("step", list(STEPS))
@on_loop
async def test_a_fault_at_any_step_leaves_the_old_configuration_in_force(step, tmp_path, monkeypatch):
    async with (
        StubHost() as host,
        StubDiscovery() as other,
        StubCounter() as counter,
        Node(host, path=tmp_path) as node,
    ):
        other.servers = [entry(host), entry(host, "h2")]
        await wait_until(lambda: all(line.transport for line in node.node.counter.connections))
        assert await node.send_command(command(b"before")) == SERVED
        await wait_until(lambda: not node.node.clients.connections)
        await wait_until_settled(
            node.node.upstream.pools["h1"]
        )  # the next request goes out on the same connection
        text = await candidate(
            node,
            settings__services=[*SETTINGS["services"], EXTRA],
            discovery=f"127.0.0.1:{other.port}",
            counter=f"127.0.0.1:{counter.port}",
            settings__limits__connect_timeout=7,
            limits__sockets=700,
            settings__limits__idle_close=7_000_000_000,
            settings__specifics__counter_timeout=7_000_000,
            settings__plans=[*SETTINGS["plans"], {"name": "more", "rate": 1.0, "most_at_once": 5.0}],
            limits__memory_mb=190,
        )
        before, kept = in_force(node), (tmp_path / "n0-config.json").read_bytes()

        async def fails(changes, change):
            raise RuntimeError("planted")

        with monkeypatch.context() as patch:
            patch.setitem(STEPS, step, fails)
            status, told = await apply(node, text)
        assert status == 503 and told["step"] == step and "planted" in told["error"]
        assert in_force(node) == before and (tmp_path / "n0-config.json").read_bytes() == kept
        assert await node.send_command(command(b"after")) == SERVED
        await wait_until(lambda: not node.node.clients.connections)
        assert (await apply(node, text))[0] == 200  # and nothing stands in the way of a second try
        now = in_force(node)
        assert {name for name in now if now[name] == before[name]} == {"connections"}


def test_the_steps_are_those_that_the_faults_are_planted_at():
    """A step that is new needs its way to fail above: this list is what the others are tested by."""
    assert list(STEPS) == ["module", "room", "discovery", "counter", "history"]


@pytest.mark.parametrize(
    "path, value, word",
    [
        ("limits__sockets", 140, "connections of clients"),
        ("limits__memory_mb", 32, "bytes"),
    ],
)
@on_loop
async def test_smaller_limits_than_what_is_in_use_are_refused(path, value, word, tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        for _ in range(45):
            await node.connect()
        await wait_until(lambda: len(node.node.clients.connections) == 45)
        before = in_force(node)
        status, told = await apply(node, await candidate(node, **{path: value}))
        assert status == 409 and word in told["error"] and in_force(node) == before
        less = await candidate(node, limits__sockets=900, limits__memory_mb=180)
        assert (await apply(node, less))[0] == 200


@on_loop
async def test_connections_that_rest_make_room_for_smaller_limits(tmp_path, monkeypatch):
    monkeypatch.setattr(client_server, "MIN_IDLE_S", 0.0)
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        peers = [await node.connect() for _ in range(45)]
        for n, (reader, writer) in enumerate(peers):
            writer.write(command(b"r%d" % n))
            assert (await read_reply(reader))[:1] in (b"$", b"-")
        host.answer = None
        peers[0][1].write(command(b"open"))
        await wait_until(lambda: host.commands and host.commands[-1][2] == b"open")
        assert (await apply(node, await candidate(node, limits__sockets=140)))[0] == 200
        await wait_until(lambda: len(node.node.clients.connections) <= node.node.clients.capacity)
        assert (
            0 < node.node.clients.capacity < 45
            and node.node.upstream.connection_count <= node.node.upstream.max_connections
        )
        host.writers[-1].write(VALUE)  # the one with a request in work is not among those that went
        assert (await read_reply(peers[0][0]))[:1] in (b"$", b"-")


@on_loop
async def test_a_counter_is_met_before_it_is_moved_to(tmp_path):
    async with StubHost() as host, StubCounter() as other, Node(host, path=tmp_path) as node:
        silent = await asyncio.start_server(lambda r, w: w.write(b"what\r\n"), "127.0.0.1", 0)
        port = silent.sockets[0].getsockname()[1]
        for place in (f"127.0.0.1:{port}", "127.0.0.1:1"):
            status, told = await apply(node, await candidate(node, counter=place))
            assert status == 503 and told["step"] == "counter"
        silent.close()
        assert (await apply(node, await candidate(node, counter=f"127.0.0.1:{other.port}")))[0] == 200
        await wait_until(lambda: all(line.transport for line in node.node.counter.connections))
        assert await node.send_command(command(b"a", terms(t="small"))) == SERVED
        assert other.pings >= 1 and all(
            line.address[1] == other.port for line in node.node.counter.connections
        )


@on_loop
async def test_at_its_end_a_process_takes_no_change_and_a_drain_does_not_mind_one(tmp_path, monkeypatch):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        assert (await node.call_control("POST /standby"))[0] == 200
        text = await candidate(node, settings__plans__0__rate=5.0)
        assert (await apply(node, text))[0] == 200 and node.node.state == "standby"
        assert (await node.call_control("POST /active"))[0] == 200

        async def told_to_end(changes, change):
            node.node.serving.state = "stopping"

        monkeypatch.setitem(STEPS, "counter", told_to_end)
        before = (await config(node))["version"]
        text = await candidate(node, settings__plans__0__rate=6.0)
        for _ in range(2):
            assert (await apply(node, text))[0] == 409
        assert (await config(node))["version"] == before


@on_loop
async def test_requests_keep_what_they_began_with_when_their_class_and_plan_go(tmp_path):
    async with StubHost(None) as host, Node(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        writer.write(command(b"open", terms(c="read", t="small")))
        await host.arrived.get()
        text = await candidate(
            node, settings__services=SETTINGS["services"][1:], settings__plans=SETTINGS["plans"][:1]
        )
        assert (await apply(node, text))[0] == 200
        assert await node.send_command(command(b"new", terms(c="read"))) == b"-ERR unknown class or plan\r\n"
        assert await node.send_command(command(b"new", terms(t="small"))) == b"-ERR unknown class or plan\r\n"
        host.writers[0].write(VALUE)
        assert await read_reply(reader) == SERVED


# Two processes of one gateway


@on_loop
async def test_two_processes_end_on_the_same_version_whichever_got_the_call(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as old:
        assert (await apply(old, await candidate(old, settings__plans__0__rate=5.0)))[0] == 200
        async with Node(host, path=tmp_path, sibling=old) as new:
            assert new.node.settings.plans["p"].rate == 5.0  # it goes on where the other stands
            for number, (one, two) in enumerate(((old, new), (new, old)), 3):
                text = await candidate(one, settings__plans__0__rate=float(number))
                assert (await apply(one, text))[0] == 200
                await wait_until(lambda two=two, number=number: two.node.settings.plans["p"].rate == number)
                assert (await config(one)) | {"pending": None} == await config(two)
            stale = await candidate(old, settings__plans__0__rate=99.0)
            assert (await apply(new, await candidate(new, settings__plans__0__rate=8.0)))[0] == 200
            assert (await apply(old, stale, 4))[0] == 409  # before its next look


@on_loop
async def test_what_one_process_applies_the_other_confirms_or_undoes(tmp_path):
    async with (
        StubHost() as host,
        Node(host, path=tmp_path) as old,
        Node(host, path=tmp_path, sibling=old) as new,
    ):
        assert (await apply(old, await candidate(old, settings__plans__0__rate=5.0), within=3600))[0] == 200
        assert (await new.call_control("POST /config/confirm?version=2"))[0] == 200
        assert (await config(old))["pending"] is None and old.node.changes.confirmation_timer is None
        assert (await apply(old, await candidate(old, settings__plans__0__rate=6.0), within=1))[0] == 200
        old.node.changes.close()  # it dies: the other sees to the end of the time
        old.node.sibling_watch.timer.cancel()
        await wait_until(lambda: new.node.changes.current.origin == "expiry")
        assert new.node.settings.plans["p"].rate == 5.0 and new.node.changes.current.restored == 2


@on_loop
async def test_a_process_that_starts_after_the_end_of_the_time_undoes_the_change_first(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as old:
        assert (await apply(old, await candidate(old, settings__plans__0__rate=5.0), within=1))[0] == 200
        old.node.changes.close()
        old.node.sibling_watch.timer.cancel()
        pending = old.node.changes.history.pending
        await wait_until(lambda: old.node.clock() > pending.deadline)
        async with Node(host, path=tmp_path, sibling=old) as new:
            await wait_until(lambda: new.node.changes.current.origin == "expiry")
            assert new.node.settings.plans["p"].rate == 1000.0


@on_loop
async def test_death_between_history_and_commit_leaves_the_new_version_to_the_next(tmp_path, monkeypatch):
    async with StubHost() as host, Node(host, path=tmp_path) as old:

        class Killed(BaseException):
            pass

        def dies(*_):
            raise Killed

        text = await candidate(old, settings__plans__0__rate=5.0)
        monkeypatch.setattr(old.node.changes, "commit", dies)
        with pytest.raises(Killed):
            await old.node.changes.apply(text, 1, None)
        assert old.node.settings.plans["p"].rate == 1000.0
        async with Node(host, path=tmp_path, sibling=old) as new:
            assert (await config(new))["version"] == 2 and new.node.settings.plans["p"].rate == 5.0


@on_loop
async def test_a_file_that_changed_before_a_start_counts_there_and_not_in_the_other_process(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as old:
        tree = json.loads(old.file.read_text())
        tree["settings"]["plans"][0]["rate"] = 50.0
        old.file.write_text(json.dumps(tree))
        async with Node(host, path=tmp_path, sibling=old) as new:
            assert new.node.settings.plans["p"].rate == 50.0 and (await config(new))["version"] == 2
            told = await config(old)
            assert (told["version"], told["newest"]) == (1, 2) and old.node.settings.plans["p"].rate == 1000.0
            text = json.dumps(told["config"]).encode()  # what the old one has, for both
            assert (await apply(old, text, 1))[0] == 409
            status, answer = await apply(old, text, 2)
            assert (status, answer["version"]) == (200, 3)
            await wait_until(lambda: new.node.settings.plans["p"].rate == 1000.0)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "{",
        "null",
        "[]",
        '["x", null, []]',
        "\x00\xff",
        "[" * 5000,
        '["x", null, [[1]]]',
        '["x", null, [[1, "no digest of it", 1.0, "start", null, {}]]]',
        '["x", {"number": 1, "back": 7, "until": 1}, [[1, "'
        + content_digest("{}")
        + '", 1.0, "start", null, {}]]]',
        '["x", {"number": true, "back": 1, "until": 1}, [[1, "'
        + content_digest("{}")
        + '", 1.0, "start", null, {}]]]',
        '["x", {"number": 1, "back": 1.0, "until": 1}, [[1, "'
        + content_digest("{}")
        + '", 1.0, "start", null, {}]]]',
    ],
)
@on_loop
async def test_a_torn_or_foreign_history_changes_nothing_and_is_written_anew(text, tmp_path, caplog):
    async with StubHost() as host, Node(host, path=tmp_path) as old:
        (tmp_path / "n0-config.json").write_text(text, encoding="latin-1")
        assert (await config(old))[
            "version"
        ] == 1 and "configuration history not read, version in force stays" in caplog.text
        assert (await apply(old, await candidate(old, settings__plans__0__rate=5.0)))[0] == 200
        async with Node(host, path=tmp_path, sibling=old) as new:
            assert (await config(new))["version"] == 2


@on_loop
async def test_a_history_that_cannot_be_written_stops_a_call_but_no_signal_and_no_expiry(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        assert (await apply(node, await candidate(node, settings__plans__0__rate=5.0), within=3600))[0] == 200
        changes, path = node.node.changes, node.node.changes.history_file.shared_file.path
        changes.history_file.shared_file.path = tmp_path / "none" / "there.json"
        changes.history_file.shared_file.last_signature = None
        assert (await node.call_control("POST /config/confirm?version=2"))[0] == 500
        assert changes.history.pending is not None
        assert (await node.call_control("POST /config/rollback?to=1"))[0] == 503
        end = changes.history.pending.deadline
        changes.node.clock = lambda: end
        changes.expire()
        assert node.node.settings.plans["p"].rate == 1000.0 and changes.current.number == 3
        tree = json.loads(node.file.read_text())
        tree["settings"]["plans"][0]["rate"] = 7.0
        node.file.write_text(json.dumps(tree))
        node.node.reload()
        assert node.node.settings.plans["p"].rate == 7.0 and changes.current.origin == "signal"
        changes.history_file.shared_file.path = path


def test_a_history_is_bounded_in_number_and_bytes():
    def made(number, size):
        return make_version(number, 1.0, "call", {"text": "x" * size, "n": number})

    history = ConfigHistory("f", (made(1, 10),))
    for n in range(2, 60):
        history = history.add({"n": n}, 1.0, "call")
    assert len(history.versions) == config_history.MAX_VERSIONS and history.newest.number == 59
    for n in range(10):
        history = history.add({"text": "x" * (config_history.MAX_BYTES // 2 - 100), "n": n}, 1.0, "call")
    assert len(history.versions) == 2 and len(history.encode()) < config_history.MAX_BYTES + 1000
    assert decode_history(history.encode()) == history


# Under traffic


@on_loop
async def test_hundreds_of_changes_under_traffic_lose_no_request_and_mix_no_rules(scratch):
    async with StubHost() as one, StubHost() as two, Node(one, two, path=scratch, settings=PATIENT) as node:
        texts = [
            await candidate(
                node,
                settings__services=[*SETTINGS["services"], *extra],
                settings__limits__connect_timeout=time,
            )
            for extra, time in (([], 250_000_000), ([EXTRA], 300_000_000))
        ]
        done, answers = asyncio.Event(), []

        async def client(name):
            reader, writer = await node.connect()
            number = 0
            while not done.is_set():
                number += 1
                cls = ("read", "extra")[number % 2]
                writer.write(command(b"%d-%d" % (name, number), terms(c=cls), customer=b"%016x" % name))
                answers.append((cls, await read_reply(reader)))

        clients = [asyncio.create_task(client(n)) for n in range(6)]
        changes = node.node.changes
        for n in range(300):
            seen = len(answers)
            await changes.apply(texts[(n + 1) % 2], changes.history.newest.number, None)
            await wait_until(lambda seen=seen: len(answers) >= seen + 3)
        done.set()
        await asyncio.gather(*clients)
        assert changes.current.number == 301 and len(answers) > 300
        assert {answer for cls, answer in answers if cls == "read"} == {SERVED}
        assert {answer for cls, answer in answers if cls == "extra"} == {
            SERVED,
            b"-ERR unknown class or plan\r\n",
        }
        assert not node.node.in_flight and len(changes.history.versions) == config_history.MAX_VERSIONS


@on_loop
async def test_quotas_hold_over_changes_under_traffic(scratch):
    async with StubHost() as host, Node(host, path=scratch, settings=PATIENT) as node:
        customer, served = b"0000000000000042", 0
        plans = [[{"name": "p", "rate": rate, "most_at_once": 40.0}] for rate in (0.5, 0.4, 0.5, 0.25)]
        texts = [await candidate(node, settings__plans=p) for p in plans]
        began = node.node.clock()
        for n in range(80):
            await node.node.changes.apply(texts[n % 4], node.node.changes.history.newest.number, None)
            for m in range(3):
                served += await node.send_command(command(b"q%d-%d" % (n, m), customer=customer)) == SERVED
        assert 30 <= served <= 40 + 0.5 * (node.node.clock() - began) + 4


# Off


@on_loop
async def test_without_a_second_address_nothing_of_it_is_there(tmp_path):
    """A gateway with no `control` imports no part of this, keeps no file and holds no descriptor for it."""
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        (tmp_path / "off").mkdir()
        code = """if True:
            import asyncio, os, sys
            from api_gateway.gateway.config import read_config
            from api_gateway.gateway.node import GatewayNode
            async def main():
                node = GatewayNode(read_config())
                await node.start()
                await asyncio.sleep(0.05)
                names = ("control.config_candidate", "control.config_changes", "control.config_history",
                         "control.config_preparation",
                         "control.config_schema", "control.server", "base.http_io",
                         "discovery.replicas", "downstream.admission")
                assert not [n for n in names if "api_gateway." + n in sys.modules], "imported"
                assert "aiohttp.web" not in sys.modules and "api_gateway.membership" not in sys.modules
                files = [f for f in os.listdir(os.environ["TMPDIR"]) if "-life-" not in f]
                assert not files and node.changes is None, files
                node.reload()
                assert node.changes.history_file.shared_file.path is None
                assert node.changes.confirmation_timer is None
                assert not [f for f in os.listdir(os.environ["TMPDIR"]) if "-life-" not in f]
                os._exit(7)
            asyncio.run(main())"""
        env = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
        env |= {"RELAY_CONFIG": str(node.file), "TMPDIR": str(tmp_path / "off")}
        ended = await asyncio.to_thread(
            subprocess.run,
            [sys.executable, "-B", "-c", code],
            env=env,
            capture_output=True,
            text=True,
            timeout=60,
        )
        assert ended.returncode == 7, ended.stderr
