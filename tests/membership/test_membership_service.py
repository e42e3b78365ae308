"""Tests of gateways and the list service as cluster members, on loopback sockets."""

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
from api_gateway.membership.service import read_membership_config


def member_config(name, *seeds, cluster="c1"):
    return {
        "name": name,
        "membership": {
            "cluster": cluster,
            "listen": "127.0.0.1:0",
            "seeds": [f"127.0.0.1:{port}" for port in seeds],
        },
    }


def member_port(node):
    return node.node.member.transport.get_extra_info("sockname")[1]


async def fetch_members(node):
    status, body = await node.call_control("GET /members")
    assert status == 200
    return {row["name"]: row for row in body["members"]}, body


@on_loop
async def test_members_status_shows_states_and_configuration_differences(tmp_path):
    for name in "abc":
        (tmp_path / name).mkdir()
    async with (
        StubHost() as host,
        Node(host, path=tmp_path / "a", config_overrides=member_config("a")) as one,
    ):
        async with Node(
            host, path=tmp_path / "b", config_overrides=member_config("b", member_port(one))
        ) as two:
            async with Node(
                host, path=tmp_path / "c", config_overrides=member_config("c", member_port(one))
            ) as three:
                expected_view = dict.fromkeys("abc", "alive")
                for node in (one, two, three):
                    await wait_until(lambda node=node: node.node.member.swim.view() == expected_view)
                rows, body = await fetch_members(two)
                assert rows["a"]["kind"] == "gateway" and rows["a"]["config"] and rows["c"]["for"] >= 0
                while body["disagree"] != ["a", "c"]:  # each has its own counter and discovery address
                    rows, body = await fetch_members(two)
                digest = one.node.changes.current.digest
                config = json.loads(json.dumps(one.node.changes.current.content))
                config["settings"]["plans"][0]["rate"] = 7.0
                await one.node.changes.apply(json.dumps(config).encode(), 1, None)
                await wait_until(
                    lambda: two.node.member.swim.members["a"].metadata["config"] not in (digest, None)
                )
            await wait_until(lambda: two.node.member.swim.members["c"].state == "left")
            assert (await fetch_members(one))[0]["c"]["state"] == "left"
            assert await one.send_command(command()) == SERVED


@on_loop
async def test_seed_names_are_resolved_and_buffer_overflows_are_counted(tmp_path, monkeypatch):
    for name in "ab":
        (tmp_path / name).mkdir()
    monkeypatch.setattr(service, "SEED_RESOLUTION_INTERVAL_S", 0.05)
    async with Node(path=tmp_path / "a", config_overrides=member_config("a")) as one:
        overrides = member_config("b", member_port(one))
        overrides["membership"]["seeds"] = [f"localhost:{member_port(one)}", "no-such-name.invalid:1"]
        async with Node(path=tmp_path / "b", config_overrides=overrides) as two:
            await wait_until(lambda: len(one.node.member.swim.view()) == 2)
            two.node.member.swim.anti_entropy.seeds = []
            await wait_until(
                lambda: two.node.member.swim.anti_entropy.seeds == [("127.0.0.1", member_port(one))]
            )
            with socket.socket(type=socket.SOCK_DGRAM) as sender:
                for _ in range(5000):  # the event loop reads nothing meanwhile
                    sender.sendto(b"x" * 1000, ("127.0.0.1", member_port(two)))
            assert service.count_receive_overflows(two.node.member.transport.get_extra_info("socket")) > 0
            await wait_until(lambda: two.node.member.swim.counts["foreign"] > 0)
            assert (await fetch_members(two))[1]["overflows"] > 0


@on_loop
async def test_datagrams_of_another_cluster_are_ignored(tmp_path):
    for name in "ab":
        (tmp_path / name).mkdir()
    async with Node(path=tmp_path / "a", config_overrides=member_config("a")) as one:
        async with Node(
            path=tmp_path / "b", config_overrides=member_config("b", member_port(one), cluster="other")
        ) as two:
            await wait_until(lambda: one.node.member.swim.counts["foreign"] > 0)
            assert list(two.node.member.swim.view()) == ["b"] and list(one.node.member.swim.view()) == ["a"]


@on_loop
async def test_membership_is_off_without_its_key(tmp_path):
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
def test_invalid_membership_configuration_is_rejected(odd):
    with pytest.raises(ValueError):
        read_membership_config(odd)


def test_invalid_address_ends_the_start_with_one_line(tmp_path):
    config = gateway_config([entry(None, port=9)], 1, 2) | member_config("a")
    config["membership"]["listen"] = "127.0.0.1:x"
    (tmp_path / "config.json").write_text(json.dumps(config))
    env = {**os.environ, "RELAY_CONFIG": str(tmp_path / "config.json")}
    completed = subprocess.run(
        [sys.executable, "-m", "api_gateway.gateway"], env=env, capture_output=True, text=True, timeout=60
    )
    assert completed.returncode == 2 and completed.stderr.count("\n") == 1


def get_json(port, path):
    with urllib.request.urlopen(f"http://127.0.0.1:{port}{path}", timeout=5) as response:
        return json.load(response)


@on_loop
async def test_list_service_is_a_member_if_configured(tmp_path):
    """Gateways see the list service process join and leave. Without the key, the package is not imported."""
    code = "import sys, api_gateway.registry.__main__; sys.exit('api_gateway.membership' in sys.modules)"
    assert (await asyncio.to_thread(subprocess.run, [sys.executable, "-c", code], timeout=60)).returncode == 0
    async with Node(path=tmp_path, config_overrides=member_config("a")) as node:
        config = {"listen": "127.0.0.1:0", "learn_ms": 0, **member_config("", member_port(node))}
        del config["name"]
        (tmp_path / "registry.json").write_text(json.dumps(config))
        env = {**os.environ, "REGISTRY_CONFIG": str(tmp_path / "registry.json")}
        process = subprocess.Popen(
            [sys.executable, "-m", "api_gateway.registry"], env=env, text=True, stderr=subprocess.PIPE
        )
        try:
            view = node.node.member.swim.view
            await wait_until(lambda: len(view()) == 2)
            (name,) = view().keys() - {"a"}
            body = await asyncio.to_thread(get_json, int(name.rpartition(":")[2]), "/members")
            assert (
                body["name"] == name
                and {row["name"]: row["kind"] for row in body["members"]}
                == {"a": "gateway", name: "registry"}
                and not body["disagree"]
            )
        finally:
            process.terminate()
            assert await asyncio.to_thread(process.communicate)
        await wait_until(lambda: node.node.member.swim.members[name].state == "left")
