"""Gateways that take part in a cluster, on loopback."""

import asyncio
import json
import os
import socket
import subprocess
import sys
import urllib.request

import pytest
from netkit import SERVED, Node, StubHost, command, entry, gateway_config, on_loop, wait_until

from api_gateway.membership import service
from api_gateway.membership.service import read_membership


def member(name, *seeds, cluster="c1"):
    return {
        "name": name,
        "membership": {
            "cluster": cluster,
            "listen": "127.0.0.1:0",
            "seeds": [f"127.0.0.1:{port}" for port in seeds],
        },
    }


def port(node):
    return node.node.member.transport.get_extra_info("sockname")[1]


async def members(node):
    status, seen = await node.call_control("GET /members")
    assert status == 200
    return {row["name"]: row for row in seen["members"]}, seen


@on_loop
async def test_operators_see_who_is_there_who_is_gone_and_who_disagrees(tmp_path):
    for name in "abc":
        (tmp_path / name).mkdir()
    async with StubHost() as host, Node(host, path=tmp_path / "a", config_overrides=member("a")) as one:
        async with Node(host, path=tmp_path / "b", config_overrides=member("b", port(one))) as two:
            async with Node(host, path=tmp_path / "c", config_overrides=member("c", port(one))) as three:
                whole = dict.fromkeys("abc", "alive")
                for node in (one, two, three):
                    await wait_until(lambda node=node: node.node.member.swim.view() == whole)
                rows, seen = await members(two)
                assert rows["a"]["kind"] == "gateway" and rows["a"]["config"] and rows["c"]["for"] >= 0
                while seen["disagree"] != ["a", "c"]:  # each has a counter and a discovery of its own
                    rows, seen = await members(two)
                digest = one.node.changes.current.digest
                text = json.loads(json.dumps(one.node.changes.current.content))
                text["settings"]["plans"][0]["rate"] = 7.0
                await one.node.changes.apply(json.dumps(text).encode(), 1, None)
                await wait_until(
                    lambda: two.node.member.swim.members["a"].metadata["config"] not in (digest, None)
                )
            await wait_until(lambda: two.node.member.swim.members["c"].state == "left")
            assert (await members(one))[0]["c"]["state"] == "left"
            assert await one.send_command(command()) == SERVED


@on_loop
async def test_seeds_by_name_and_a_buffer_that_overflows(tmp_path, monkeypatch):
    for name in "ab":
        (tmp_path / name).mkdir()
    monkeypatch.setattr(service, "SEED_RESOLUTION_INTERVAL_S", 0.05)
    async with Node(path=tmp_path / "a", config_overrides=member("a")) as one:
        more = member("b", port(one))
        more["membership"]["seeds"] = [f"localhost:{port(one)}", "no-such-name.invalid:1"]
        async with Node(path=tmp_path / "b", config_overrides=more) as two:
            await wait_until(lambda: len(one.node.member.swim.view()) == 2)
            two.node.member.swim.anti_entropy.seeds = []
            await wait_until(lambda: two.node.member.swim.anti_entropy.seeds == [("127.0.0.1", port(one))])
            with socket.socket(type=socket.SOCK_DGRAM) as sender:
                for _ in range(5000):  # while this loop reads nothing
                    sender.sendto(b"x" * 1000, ("127.0.0.1", port(two)))
            assert service.count_receive_overflows(two.node.member.transport.get_extra_info("socket")) > 0
            await wait_until(lambda: two.node.member.swim.counts["foreign"] > 0)
            assert (await members(two))[1]["overflows"] > 0


@on_loop
async def test_another_cluster_is_not_heard(tmp_path):
    for name in "ab":
        (tmp_path / name).mkdir()
    async with Node(path=tmp_path / "a", config_overrides=member("a")) as one:
        async with Node(path=tmp_path / "b", config_overrides=member("b", port(one), cluster="other")) as two:
            await wait_until(lambda: one.node.member.swim.counts["foreign"] > 0)
            assert list(two.node.member.swim.view()) == ["b"] and list(one.node.member.swim.view()) == ["a"]


@on_loop
async def test_without_the_key_there_is_no_cluster(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        assert (await node.call_control("GET /members"))[0] == 404 and node.node.member is None


@pytest.mark.parametrize(
    "odd",
    [
        5,
        {},
        {"cluster": "c"},
        {"cluster": "", "listen": "127.0.0.1:0"},
        {"cluster": "c", "listen": "x"},
        {"cluster": "c", "listen": "127.0.0.1:0", "seeds": "x"},
        {"cluster": "c", "listen": "127.0.0.1:0", "more": 1},
        {"cluster": "c", "listen": "127.0.0.1:0", "advertise": 5},
        {"cluster": "c", "listen": "127.0.0.1:0", "seeds": ["x"]},
    ],
)
def test_malformed_membership_is_refused(odd):
    with pytest.raises(ValueError):
        read_membership(odd)


def test_a_bad_address_ends_the_start_in_one_line(tmp_path):
    tree = gateway_config([entry(None, port=9)], 1, 2) | member("a")
    tree["membership"]["listen"] = "127.0.0.1:x"
    (tmp_path / "config.json").write_text(json.dumps(tree))
    env = {**os.environ, "RELAY_CONFIG": str(tmp_path / "config.json")}
    ended = subprocess.run(
        [sys.executable, "-m", "api_gateway.gateway"], env=env, capture_output=True, text=True, timeout=60
    )
    assert ended.returncode == 2 and ended.stderr.count("\n") == 1


def ask(port, path):
    with urllib.request.urlopen(f"http://127.0.0.1:{port}{path}", timeout=5) as answer:
        return json.load(answer)


@on_loop
async def test_the_list_service_is_a_member_where_its_file_says_so(tmp_path):
    """Its own process: gateways see it come and see it leave. Off, nothing of it is imported."""
    code = "import sys, api_gateway.registry.__main__; sys.exit('api_gateway.membership' in sys.modules)"
    assert (await asyncio.to_thread(subprocess.run, [sys.executable, "-c", code], timeout=60)).returncode == 0
    async with Node(path=tmp_path, config_overrides=member("a")) as node:
        tree = {"listen": "127.0.0.1:0", "learn_ms": 0, **member("", port(node))}
        del tree["name"]
        (tmp_path / "registry.json").write_text(json.dumps(tree))
        env = {**os.environ, "REGISTRY_CONFIG": str(tmp_path / "registry.json")}
        process = subprocess.Popen(
            [sys.executable, "-m", "api_gateway.registry"], env=env, text=True, stderr=subprocess.PIPE
        )
        try:
            view = node.node.member.swim.view
            await wait_until(lambda: len(view()) == 2)
            (name,) = view().keys() - {"a"}
            seen = await asyncio.to_thread(ask, int(name.rpartition(":")[2]), "/members")
            assert (
                seen["name"] == name
                and {row["name"]: row["kind"] for row in seen["members"]}
                == {"a": "gateway", name: "registry"}
                and not seen["disagree"]
            )
        finally:
            process.terminate()
            assert await asyncio.to_thread(process.communicate)
        await wait_until(lambda: node.node.member.swim.members[name].state == "left")
