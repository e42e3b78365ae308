"""Tests of discovery with several replicas: outages, epochs, lagging replicas and the cached list."""

import asyncio
import json
import os
import subprocess
import sys

import pytest
from netkit import SERVED, Node, StubHost, command, entry, gateway_config, on_loop, wait_until
from test_registry_service import Serving

from api_gateway.base.endpoint_list import read_list
from api_gateway.discovery import client as discovery
from api_gateway.discovery import polling, replicas
from api_gateway.discovery.replicas import Replicas, StaleReplicaError

EMPTY_LIST_OVERRIDE = {"known": {"version": 0, "full": True, "servers": []}}


def replica_overrides(one, *others, keep=False):
    """Return configuration keys of a gateway that uses the replicas on these ports."""
    return EMPTY_LIST_OVERRIDE | {
        "discovery": f"127.0.0.1:{one}",
        "replicas": {"others": [f"127.0.0.1:{port}" for port in others], "keep": keep},
    }


def pool_ids(node):
    return sorted(node.node.upstream.pools)


@on_loop
async def test_a_dead_replica_is_replaced_by_the_next_one_of_another_epoch(tmp_path, caplog):
    async with StubHost() as host, Serving(epoch="e2", first=7) as two:
        await two.register("h1", addr=f"127.0.0.1:{host.port}")
        async with Serving() as one:
            await one.register("h1", addr=f"127.0.0.1:{host.port}")
            node = Node(path=tmp_path, config_overrides=replica_overrides(one.port, two.port))
            await node.__aenter__()
            await wait_until(lambda: pool_ids(node) == ["h1"] and one.service.waiting)
            assert not two.service.waiting  # one replica is called at a time
        await wait_until(lambda: two.service.waiting)
        assert "epoch=e2" in caplog.text and await node.send_command(command()) == SERVED
        await two.register("h2", addr=f"127.0.0.1:{host.port}")
        await wait_until(lambda: pool_ids(node) == ["h1", "h2"])
        seen = (await node.call_control("GET /status"))[1]["list"]
        assert (seen["epoch"], seen["version"], seen["failures"]) == ("e2", 9, 0)
        await node.__aexit__()


@on_loop
async def test_lists_of_a_lagging_replica_are_rejected_until_it_has_caught_up(tmp_path, monkeypatch):
    monkeypatch.setattr(polling, "MAX_BACKOFF_S", 0.1)
    async with StubHost() as host, Serving() as lagging:
        address = f"127.0.0.1:{host.port}"
        async with Serving() as one:
            for name in ("h1", "h2", "h3"):
                await one.register(name, addr=address)
            await lagging.register("h1", addr=address)
            node = Node(path=tmp_path, config_overrides=replica_overrides(one.port, lagging.port))
            await node.__aenter__()
            await wait_until(lambda: len(pool_ids(node)) == 3)
        await wait_until(lambda: node.node.discovery.backoff.failure_count >= 5)
        assert len(pool_ids(node)) == 3 and node.node.discovery.newest_version == 44
        for name in ("h2", "h3", "h4"):
            await lagging.register(name, addr=address)
        await wait_until(lambda: len(pool_ids(node)) == 4)
        await node.__aexit__()


@on_loop
async def test_a_service_restarted_without_hosts_removes_none(tmp_path, monkeypatch):
    monkeypatch.setattr(polling, "MAX_BACKOFF_S", 0.1)
    async with StubHost() as host:
        address = f"127.0.0.1:{host.port}"
        async with Serving() as first:
            await first.register("h1", addr=address)
            node = Node(path=tmp_path, config_overrides=replica_overrides(first.port))
            await node.__aenter__()
            await wait_until(lambda: pool_ids(node) == ["h1"])
        async with Serving(epoch="e2", port=first.port, learn=1000.0) as restarted:
            before = node.node.discovery.backoff.failure_count
            await wait_until(lambda: node.node.discovery.backoff.failure_count > before + 1)
            assert pool_ids(node) == ["h1"]
            await restarted.register("h1", addr=address)
            restarted.service.learning_ends_at = 0.0  # the learning period is over
            await wait_until(lambda: node.node.discovery.epoch == "e2")
            assert pool_ids(node) == ["h1"] and await node.send_command(command()) == SERVED
            await node.__aexit__()


@on_loop
async def test_a_process_started_in_an_outage_begins_with_the_cached_list(tmp_path):
    async with StubHost() as host:
        async with Serving() as service:
            await service.register("h1", addr=f"127.0.0.1:{host.port}", zone="a")
            async with Node(
                path=tmp_path, config_overrides=replica_overrides(service.port, keep=True)
            ) as node:
                await wait_until(lambda: pool_ids(node) == ["h1"])
        cached = json.loads((tmp_path / "n0-list.json").read_text())
        cached["at"] -= 100
        (tmp_path / "n0-list.json").write_text(json.dumps(cached))
        async with Node(path=tmp_path, config_overrides=replica_overrides(service.port, keep=True)) as node:
            status, seen = await node.call_control("GET /status")
            assert status == 200 and seen["hosts"] == ["h1"] and 100 <= seen["list"]["age"] < 130
            assert (seen["list"]["epoch"], seen["list"]["version"]) == ("e1", 42)
            assert await node.send_command(command()) == SERVED
            async with Serving(port=service.port, first=41) as service:
                await service.register("h1", addr=f"127.0.0.1:{host.port}", zone="a")
                await wait_until(lambda: service.service.waiting)  # a watch from the cached version
                await service.register("h2", addr=f"127.0.0.1:{host.port}")
                await wait_until(lambda: pool_ids(node) == ["h1", "h2"])
                assert (await node.call_control("GET /status"))[1]["list"]["age"] < 100


@pytest.mark.parametrize(
    "text",
    [
        "",
        "{",
        "[]",
        "null",
        "{}",
        "\x00\xff",
        "[" * 5000,
        '{"at": 1}',
        '{"at": "x", "version": 1, "full": true, "servers": []}',
    ],
)
@on_loop
async def test_an_unreadable_cached_list_is_ignored(text, tmp_path, caplog):
    (tmp_path / "n0-list.json").write_text(text, encoding="latin-1")
    async with StubHost() as host, Serving() as service:
        await service.register("h1", addr=f"127.0.0.1:{host.port}")
        async with Node(path=tmp_path, config_overrides=replica_overrides(service.port, keep=True)) as node:
            assert "unreadable and ignored" in caplog.text
            await wait_until(lambda: pool_ids(node) == ["h1"])
        assert json.loads((tmp_path / "n0-list.json").read_text())["epoch"] == "e1"


@on_loop
async def test_the_cached_list_is_not_written_with_each_change(tmp_path, monkeypatch):
    monkeypatch.setattr(replicas, "CACHE_WRITE_INTERVAL_S", 0.2)
    async with StubHost() as host, Serving() as service:
        async with Node(path=tmp_path, config_overrides=replica_overrides(service.port, keep=True)) as node:
            written = []
            write = node.node.discovery.cache_file.write
            node.node.discovery.cache_file.write = lambda text: (written.append(text), write(text))
            for number in range(20):
                await service.register(f"h{number}", addr=f"127.0.0.1:{host.port}")
                await wait_until(lambda number=number: len(pool_ids(node)) == number + 1)
            await wait_until(lambda: written and len(json.loads(written[-1])["servers"]) == 20)
            assert len(written) < 20


def listing(version, *names, full=False, epoch="e1"):
    return read_list(
        {
            "version": version,
            "full": full,
            "epoch": epoch,
            "servers": [entry(None, name, port=9) for name in names],
        }
    )


def test_versions_within_an_epoch_and_changes_across_epochs():
    accepted = []
    client = Replicas(("127.0.0.1", 1), (), None, "n0", None, accepted.append, lambda: None)
    client.accept_list(listing(5, "a", full=True))
    for older in (listing(4, "b"), listing(4, "b", full=True)):
        with pytest.raises(StaleReplicaError):
            client.accept_list(older)
    with pytest.raises(ValueError, match="another epoch"):
        client.accept_list(listing(9, "b", epoch="e2"))
    client.accept_list(listing(6, "b"))
    client.accept_list(listing(2, "c", full=True, epoch="e2"))
    assert [accepted_list.endpoint_list.version for accepted_list in accepted] == [5, 6, 2] and list(
        client.endpoints
    ) == ["c"]


@pytest.mark.parametrize(
    "bad",
    [
        {},
        {"id": "x"},
        5,
        None,
        {"id": "x", "state": "odd"},
        {"id": "x", "state": "up", "addr": "nowhere"},
        {"id": "x", "state": "up", "weight": "heavy"},
    ],
)
def test_an_unreadable_entry_is_skipped(bad, caplog):
    listing = read_list({"version": 1, "full": True, "servers": [entry(None, "a", port=9), bad]})
    assert [endpoint.id for endpoint in listing.endpoint_list.endpoints] == [
        "a"
    ] and "1 of 2 entries" in caplog.text
    with pytest.raises(ValueError, match="list of hosts"):
        read_list({"version": 1, "full": True, "servers": [bad]})


@pytest.mark.parametrize("odd", [5, [], {"others": "x"}, {"others": ["nowhere"]}, {"keep": 1}, {"more": 1}])
def test_an_invalid_replicas_key_fails_the_start_with_one_line(odd, tmp_path):
    (tmp_path / "config.json").write_text(json.dumps(gateway_config([], 1, 2) | {"replicas": odd}))
    env = {**os.environ, "RELAY_CONFIG": str(tmp_path / "config.json")}
    process = subprocess.run(
        [sys.executable, "-m", "api_gateway.gateway"], env=env, capture_output=True, text=True, timeout=60
    )
    assert process.returncode == 2 and process.stderr.count("\n") == 1


@on_loop
async def test_without_the_replicas_key_its_modules_are_not_loaded(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        assert type(node.node.discovery) is discovery.Discovery
        code = (
            "import sys, api_gateway.gateway.__main__; "
            "names = {'api_gateway.discovery.replicas', 'api_gateway.registry'}; "
            "sys.exit(bool(names & sys.modules.keys()))"
        )
        process = await asyncio.to_thread(subprocess.run, [sys.executable, "-c", code], timeout=60)
        assert process.returncode == 0 and not list(tmp_path.glob("*-list.json"))
