"""The list service over loopback sockets: discovery protocol, registrations, and a gateway that uses it."""

import asyncio
import gc
import json
import os
import signal
import socket
import subprocess
import sys
import weakref
from pathlib import Path

import aiohttp
import pytest
from netkit import SERVED, Node, StubHost, command, entry, on_loop, wait_until

from api_gateway.base import serving
from api_gateway.registry import service as module
from api_gateway.registry.config import RegistryConfig, read_config
from api_gateway.registry.core import Registry
from api_gateway.registry.service import Service

ROOT = Path(__file__).resolve().parents[2]
PROGRAM = [sys.executable, "-B", "-m", "api_gateway.registry"]


class Serving:
    """Runs the service on a free port, with a client session for it."""

    def __init__(self, path=None, hosts=(), watchers=1000, first=41, epoch="e1", port=0, learn=0.0):
        self.epoch, self.port, self.learn = epoch, port, learn
        self.file, self.hosts = path and path / "hosts.json", hosts
        self.watchers, self.first = watchers, first

    async def __aenter__(self):
        if self.file:
            self.file.write_text(json.dumps({"servers": list(self.hosts)}))
        config = RegistryConfig(("127.0.0.1", self.port), self.file, self.watchers, self.learn)
        self.service = Service(config, Registry(self.epoch, self.first))
        self.port = await self.service.start()
        self.session = aiohttp.ClientSession(f"http://127.0.0.1:{self.port}", trust_env=False)
        return self

    async def call(self, method, path, document=None, raw=None):
        body = raw if raw is not None else json.dumps(document).encode() if document is not None else None
        async with self.session.request(method, path, data=body) as response:
            return response.status, await response.json(content_type=None)

    async def list(self, query=""):
        return (await self.call("GET", "/v1/endpoints" + query))[1]

    async def register(self, name, **fields):
        document = {"addr": "127.0.0.1:6379", "incarnation": 1, "ttl_ms": 30_000} | fields
        return await self.call("PUT", f"/v1/hosts/{name}", document)

    async def __aexit__(self, *_):
        await self.session.close()
        await self.service.close()


HOST_ENTRY = {
    "id": "s-1",
    "addr": "10.1.0.18:6379",
    "zone": "a",
    "kind": "m2",
    "cell": 3,
    "state": "up",
    "weight": 1.0,
    "started_ms": 7,
}


@on_loop
async def test_list_has_the_format_of_the_protocol(tmp_path):
    async with Serving(tmp_path, [HOST_ENTRY]) as serving:
        assert await serving.list() == {"version": 42, "full": True, "epoch": "e1", "servers": [HOST_ENTRY]}
        assert await serving.list("?index=42&wait=1") == {
            "version": 42,
            "full": False,
            "epoch": "e1",
            "servers": [],
        }
        watch = asyncio.create_task(serving.list("?index=42&wait=20000"))
        await wait_until(lambda: serving.service.waiting)
        serving.file.write_text(json.dumps({"servers": [HOST_ENTRY | {"state": "draining"}]}))
        serving.service.reload()
        assert await watch == {
            "version": 43,
            "full": False,
            "epoch": "e1",
            "servers": [HOST_ENTRY | {"state": "draining"}],
        }
        assert (await serving.list("?index=42&wait=0&epoch=e0"))["full"] is True
        assert not serving.service.waiting and not serving.service.registry.watches


@on_loop
async def test_host_registers_renews_drains_and_deregisters():
    async with Serving() as serving:
        assert await serving.register("s-9", zone="b") == (200, {"version": 42, "epoch": "e1"})
        assert [h["id"] for h in (await serving.list())["servers"]] == ["s-9"]
        assert (await serving.call("POST", "/v1/hosts/s-9/renew?incarnation=1"))[0] == 200
        assert (await serving.call("POST", "/v1/hosts/s-9/renew?incarnation=0"))[0] == 409
        assert (await serving.call("POST", "/v1/hosts/s-9/drain?incarnation=1"))[0] == 200
        assert [h["state"] for h in (await serving.list())["servers"]] == ["draining"]
        assert (await serving.call("DELETE", "/v1/hosts/s-9?incarnation=1"))[0] == 200
        assert (await serving.list())["servers"] == []
        assert [h["state"] for h in (await serving.list("?index=43"))["servers"]] == ["removed"]
        assert (await serving.call("GET", "/status"))[1]["hosts"] == {"up": 0, "draining": 0, "removed": 1}


@pytest.mark.parametrize(
    "call, body, status, word",
    [
        ("GET /v1/endpoints?index=x", None, 400, "index"),
        ("GET /v1/endpoints?index=-1", None, 400, "index"),
        ("GET /v1/endpoints?index=" + "9" * 30, None, 400, "index"),
        ("GET /v1/endpoints?more=1", None, 400, "hold"),
        ("GET /v1/endpoints?index=1&wait=x", None, 400, "wait"),
        ("GET /else", None, 404, "no such"),
        ("POST /v1/endpoints", None, 404, "no such"),
        ("GET /v1/hosts/h", None, 405, "PUT"),
        ("POST /v1/hosts/h/renew", None, 400, "incarnation"),
        ("POST /v1/hosts/h/dance", None, 405, "PUT"),
        ("POST /v1/hosts/h/renew?incarnation=x", None, 400, "incarnation"),
        ("POST /v1/hosts/h/renew?incarnation=1", None, 409, "registered"),
        ("PUT /v1/hosts/h", b"", 400, "JSON"),
        ("PUT /v1/hosts/h", b"[" * 9000, 400, "JSON"),
        ("PUT /v1/hosts/h", b"[]", 400, "object"),
        ("PUT /v1/hosts/h", b" " * 20_000, 413, "bytes"),
        ("PUT /v1/hosts/h", {"addr": None}, 400, "addr"),
        ("PUT /v1/hosts/h", {"addr": "x"}, 400, "HOST:PORT"),
        ("PUT /v1/hosts/h", {"ttl_ms": 1}, 400, "ttl_ms"),
        ("PUT /v1/hosts/h", {"ttl_ms": "9000"}, 400, "ttl_ms"),
        ("PUT /v1/hosts/h", {"incarnation": -1}, 400, "incarnation"),
        ("PUT /v1/hosts/h", {"id": "g"}, 400, "names"),
        ("PUT /v1/hosts/h", {"incarnation": True}, 400, "incarnation"),
        ("PUT /v1/hosts/h", {"weight": 0}, 400, "weight"),
        ("PUT /v1/hosts/h", {"weight": 1e999}, 400, "weight"),
        ("PUT /v1/hosts/h", {"weight": int("9" * 400)}, 400, "weight"),
        ("PUT /v1/hosts/h", {"weight": -int("9" * 400)}, 400, "weight"),
        ("PUT /v1/hosts/h", {"weight": float("nan")}, 400, "weight"),
        ("PUT /v1/hosts/h", {"cell": 1.5}, 400, "cell"),
        ("PUT /v1/hosts/h", {"started_ms": -1}, 400, "started_ms"),
        ("PUT /v1/hosts/h", {"zone": 5}, 400, "zone"),
        ("PUT /v1/hosts/h", {"state": "draining"}, 400, "up"),
        ("PUT /v1/hosts/h", {"more": 1}, 400, "more"),
        ("PUT /v1/hosts/" + "h" * 200, {}, 400, "id"),
    ],
)
@on_loop
async def test_malformed_request_is_rejected_with_a_reason(call, body, status, word):
    async with Serving() as serving:
        method, path = call.split()
        if isinstance(body, dict):
            body = json.dumps({"addr": "127.0.0.1:1", "incarnation": 1, "ttl_ms": 5000} | body).encode()
        got, answer = await serving.call(method, path, raw=body)
        assert got == status and word in answer["error"], answer
        assert serving.service.registry.version == 41


@on_loop
async def test_long_waits_are_capped_and_excess_watches_get_retry_after():
    async with Serving(watchers=3) as serving:
        watches = [asyncio.create_task(serving.list(f"?index=41&wait={'9' * 17}")) for _ in range(3)]
        await wait_until(lambda: len(serving.service.waiting) == 3)
        assert all(
            w.deadline < serving.service.clock() + 61 for w in serving.service.registry.watches.values()
        )
        async with serving.session.get("/v1/endpoints?index=41&wait=5000") as answer:
            assert answer.status == 503 and answer.headers["Retry-After"]
        # Requests that do not wait are still answered.
        assert (await serving.list("?index=41&wait=0"))["servers"] == []
        await serving.register("s-1")
        assert [len((await w)["servers"]) for w in watches] == [1, 1, 1]


@on_loop
async def test_disconnected_watchers_free_their_slots():
    async with Serving() as serving:
        for _ in range(20):
            _, writer = await asyncio.open_connection("127.0.0.1", serving.port)
            writer.write(b"GET /v1/endpoints?index=41&wait=60000 HTTP/1.1\r\nHost: x\r\n\r\n")
            await wait_until(lambda: serving.service.waiting)
            writer.transport.abort()
            await wait_until(lambda: not serving.service.waiting)
        assert not serving.service.registry.watches and not serving.service.registry.watch_deadlines


@on_loop
async def test_slow_watcher_blocks_nobody_and_is_disconnected(tmp_path, monkeypatch):
    monkeypatch.setattr(module, "ANSWER_TIMEOUT_S", 0.3)
    entries = [HOST_ENTRY | {"id": f"s-{n}", "kind": "k" * 120} for n in range(20_000)]
    async with Serving(tmp_path, entries) as serving:
        slow_socket = socket.socket()
        slow_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        slow_socket.connect(("127.0.0.1", serving.port))
        slow_socket.send(b"GET /v1/endpoints HTTP/1.1\r\nHost: x\r\n\r\n")
        await wait_until(lambda: serving.service.encoder.answers)
        assert (await serving.call("GET", "/status"))[0] == 200
        assert len(serving.service.server.connections) == 2
        async with asyncio.timeout(8):  # far less than aiohttp's own timeouts
            await wait_until(
                lambda: len(serving.service.server.connections) == 1
            )  # only the connection of the other client is left
        slow_socket.close()


@on_loop
async def test_one_change_is_encoded_once_for_four_hundred_watches():
    async with Serving() as serving:
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector, trust_env=False) as session:

            async def watch():
                url = f"http://127.0.0.1:{serving.port}/v1/endpoints?index=41&wait=30000"
                async with session.get(url) as answer:
                    return await answer.json()

            watches = [asyncio.create_task(watch()) for _ in range(400)]
            await wait_until(lambda: len(serving.service.waiting) == 400)
            for n in range(5):
                await serving.register(f"s-{n}")
            answers = await asyncio.gather(*watches)
        assert all(len(answer["servers"]) == 5 for answer in answers)
        encoder = serving.service.encoder
        assert list(encoder.answers) == [(41, None)] and encoder.version == 46


@on_loop
async def test_invalid_hosts_file_changes_nothing(tmp_path, caplog):
    async with Serving(tmp_path, [HOST_ENTRY]) as serving:
        invalid_documents = [
            json.dumps({"servers": servers})
            for servers in (
                5,
                [{}],
                [HOST_ENTRY, HOST_ENTRY],
                [HOST_ENTRY | {"state": "gone"}],
                [HOST_ENTRY, 5],
            )
        ]
        for text in ("", "{", "[]", "{}", *invalid_documents):
            serving.file.write_text(text)
            caplog.clear()
            serving.service.reload()
            assert "nothing changes" in caplog.text
        serving.file.unlink()
        serving.service.reload()
        assert (await serving.list())["servers"] == [HOST_ENTRY] and serving.service.registry.version == 42


@on_loop
async def test_gateway_uses_the_list_service(tmp_path):
    async with StubHost() as host, StubHost() as other, Serving() as serving:
        await serving.register("h1", addr=f"127.0.0.1:{host.port}", zone="a")
        async with Node(path=tmp_path) as node:
            tree = json.loads(node.file.read_text()) | {"discovery": f"127.0.0.1:{serving.port}"}
            node.file.write_text(json.dumps(tree))
            node.node.reload()
            await wait_until(lambda: list(node.node.upstream.pools) == ["h1"])
            assert await node.send_command(command(b"a")) == SERVED
            await serving.register("h2", addr=f"127.0.0.1:{other.port}")
            await wait_until(lambda: len(node.node.upstream.pools) == 2)
            assert (await serving.call("POST", "/v1/hosts/h1/drain?incarnation=1"))[0] == 200
            await wait_until(lambda: list(node.node.upstream.pools) == ["h2"])
            assert await node.send_command(command(b"b")) == SERVED


@on_loop
async def test_no_list_is_served_until_the_learning_period_ends():
    async with Serving(learn=1000.0) as serving:
        status, answer = await serving.call("GET", "/v1/endpoints?index=41&wait=5000")
        assert status == 503 and "coming back" in answer["error"]
        assert (await serving.register("s-1"))[0] == 200
        assert serving.service.learning_ends_at > serving.service.clock() + 900
        serving.service.learning_ends_at = serving.service.clock()  # ends the learning period
        assert [h["id"] for h in (await serving.list())["servers"]] == ["s-1"]


# The program


class Cycle:
    def __init__(self):
        self.itself = self


def test_survivors_of_a_full_collection_are_not_scanned_for_a_day():
    now, frozen_before = 0.0, gc.get_freeze_count()
    with serving.short_collections(lambda: now):
        old = [Cycle() for _ in range(1000)]
        gc.collect()
        # get_objects() returns the objects that a collection still scans.
        assert gc.get_freeze_count() >= frozen_before + 1000 > len(gc.get_objects())
        old_references = [weakref.ref(node) for node in old]
        del old  # they are reference cycles
        new_reference = weakref.ref(Cycle())
        gc.collect()
        assert new_reference() is None and all(ref() for ref in old_references)
        now = serving.FULL_COLLECTION_INTERVAL_S
        gc.collect()
        assert not any(ref() for ref in old_references)
        gc.collect()
        assert gc.get_freeze_count() > 1000
    assert gc.get_freeze_count() == 0 and not [c for c in gc.callbacks if "short_collections" in repr(c)]


SERVICE_PROGRAM = """
import asyncio, gc, os, signal, types
from api_gateway.base.serving import run

class Service:
    config = types.SimpleNamespace(listen=("h", 1))
    async def start(self):
        self.objects = [[] for _ in range(100_000)]
        asyncio.get_running_loop().call_soon(self.report)
        return 1
    def report(self):
        print(gc.get_freeze_count())
        os.kill(os.getpid(), signal.SIGTERM)
    def reload(self): pass
    async def close(self): pass

run("x", Service, "it is")
"""


def test_running_service_has_short_collections():
    completed = subprocess.run(
        [sys.executable, "-c", SERVICE_PROGRAM], cwd=ROOT, capture_output=True, text=True, timeout=60
    )
    assert completed.returncode == 0 and int(completed.stdout) >= 100_000


def test_default_limits_allow_a_watch_for_each_gateway_of_the_fleet(tmp_path):
    (tmp_path / "registry.json").write_text(json.dumps({"listen": "127.0.0.1:0"}))
    config = read_config({"REGISTRY_CONFIG": str(tmp_path / "registry.json")})
    assert config.max_watches >= config.max_views > 4200


def run_program(tmp_path, config, **options):
    (tmp_path / "registry.json").write_text(config if isinstance(config, str) else json.dumps(config))
    env = {**os.environ, "REGISTRY_CONFIG": str(tmp_path / "registry.json")}
    return subprocess.run(PROGRAM, cwd=ROOT, env=env, capture_output=True, text=True, timeout=60, **options)


@pytest.mark.parametrize(
    "told, word",
    [
        ("", "Expecting"),
        ("[]", "list"),
        ({}, "listen"),
        ({"listen": "nowhere"}, "HOST:PORT"),
        ({"listen": "127.0.0.1:0", "more": 1}, "more"),
        ({"listen": "127.0.0.1:0", "watchers": 0}, "watchers"),
        ({"listen": "127.0.0.1:0", "hosts": "/none/there.json"}, "No such file"),
        ({"listen": "127.0.0.1:0", "learn_ms": -1}, "learn_ms"),
    ],
)
def test_invalid_configuration_is_reported_in_one_line_with_status_2(told, word, tmp_path):
    completed = run_program(tmp_path, told)
    assert completed.returncode == 2 and completed.stderr.startswith("api_gateway.registry: ")
    assert completed.stderr.count("\n") == 1 and word in completed.stderr


@on_loop
async def test_program_serves_reloads_its_file_and_terminates(tmp_path):
    hosts = tmp_path / "hosts.json"
    hosts.write_text(json.dumps({"servers": [HOST_ENTRY]}))
    (tmp_path / "registry.json").write_text(json.dumps({"listen": "127.0.0.1:0", "hosts": str(hosts)}))
    program = await asyncio.create_subprocess_exec(
        *PROGRAM,
        cwd=ROOT,
        env={**os.environ, "REGISTRY_CONFIG": str(tmp_path / "registry.json")},
        stderr=subprocess.PIPE,
    )
    port = int((await program.stderr.readline()).decode().rsplit(":", 1)[1])
    async with aiohttp.ClientSession(trust_env=False) as session:
        url = f"http://127.0.0.1:{port}/v1/endpoints"
        async with session.get(url) as answer:
            first = await answer.json()
        assert first["servers"] == [HOST_ENTRY]
        hosts.write_text(json.dumps({"servers": [entry(None, "s-2", port=9)]}))
        program.send_signal(signal.SIGHUP)
        assert b"1 hosts in the file" in await program.stderr.readline()
        async with session.get(f"{url}?index={first['version']}&wait=5000") as answer:
            changes = await answer.json()
        assert {(h["id"], h["state"]) for h in changes["servers"]} == {("s-1", "draining"), ("s-2", "up")}
    program.terminate()
    assert await program.wait() == 0
