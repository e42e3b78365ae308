"""The program as the platform runs it: configuration, readiness, signals."""

import asyncio
import itertools
import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest
from netkit import (
    SERVED,
    SETTINGS,
    StubCounter,
    StubDiscovery,
    StubHost,
    call_control,
    command,
    entry,
    gateway_config,
    on_loop,
    read_reply,
    terms,
    wait_until,
)

from api_gateway.base.errors import ConfigError
from api_gateway.gateway.config import read_config, reread_config

ROOT = Path(__file__).resolve().parents[2]
PING = b"*1\r\n$4\r\nPING\r\n"
PROGRAM = [sys.executable, "-B", "-m", "api_gateway.gateway"]


def spoilt(**kw):
    return json.dumps(gateway_config([], 1, 2) | kw)


@pytest.mark.parametrize(
    "text, word",
    [
        (None, "RELAY_CONFIG"),
        ("{", "Expecting"),
        ("[]", "list"),
        ("{}", "settings"),
        (spoilt(seed="xyz"), "xyz"),
        (spoilt(listen="nowhere"), "nowhere"),
        (spoilt(counter=""), "counter"),
        (spoilt(settings={}), "limits"),
        (spoilt(known={"version": 1}), "list of hosts"),
        (spoilt(listen="127.0.0.1:99999999"), "99999999"),
    ],
)
def test_a_bad_configuration_is_one_plain_line(text, word, tmp_path):
    env = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
    if text is not None:
        (tmp_path / "config.json").write_text(text)
        env["RELAY_CONFIG"] = str(tmp_path / "config.json")
    ended = subprocess.run(PROGRAM, cwd=ROOT, env=env, capture_output=True, text=True, timeout=60)
    assert ended.returncode != 0
    assert ended.stderr.startswith("api_gateway: ") and ended.stderr.count("\n") == 1 and word in ended.stderr


@on_loop
async def test_sigterm_ends_the_program_after_what_it_has_taken(tmp_path):
    async with StubHost(None) as host, StubCounter() as counter, StubDiscovery() as discovery:
        discovery.servers = [entry(host)]
        config = tmp_path / "config.json"
        config.write_text(json.dumps(gateway_config([entry(host)], discovery.port, counter.port)))
        program = await asyncio.create_subprocess_exec(
            *PROGRAM, cwd=ROOT, env={**os.environ, "RELAY_CONFIG": str(config)}, stderr=subprocess.PIPE
        )
        port = int((await program.stderr.readline()).decode().rsplit(":", 1)[1])
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(PING)
        assert await read_reply(reader) == b"+PONG\r\n"
        writer.write(command())
        await host.arrived.get()
        program.send_signal(signal.SIGTERM)
        ping_reader, ping_writer = await asyncio.open_connection("127.0.0.1", port)
        ping_writer.write(PING)
        while await read_reply(ping_reader) == b"+PONG\r\n":  # until it has heard of its end
            ping_writer.write(PING)
        host.writers[0].write(b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n")
        assert await read_reply(reader) == SERVED
        assert await program.wait() == 0


@on_loop
async def test_signals_that_come_while_the_program_ends_lose_nothing(tmp_path):
    """A second SIGTERM, and a SIGHUP with a file that drops the class of the request in work."""
    async with StubHost(None) as host, StubCounter() as counter, StubDiscovery() as discovery:
        discovery.servers = [entry(host)]
        config = tmp_path / "config.json"
        text = gateway_config([entry(host)], discovery.port, counter.port)
        config.write_text(json.dumps(text))
        program = await asyncio.create_subprocess_exec(
            *PROGRAM, cwd=ROOT, env={**os.environ, "RELAY_CONFIG": str(config)}, stderr=subprocess.PIPE
        )
        port = int((await program.stderr.readline()).decode().rsplit(":", 1)[1])
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(command())
        await host.arrived.get()
        shorter = [s | {"deadline": 100_000_000} for s in SETTINGS["services"] if s["name"] != "read"]
        config.write_text(json.dumps(text | {"settings": SETTINGS | {"services": shorter}}))
        program.send_signal(signal.SIGTERM)
        program.send_signal(signal.SIGHUP)
        while b"SIGHUP: configuration file read classes=2 " not in await program.stderr.readline():
            pass
        program.send_signal(signal.SIGTERM)
        host.writers[0].write(b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n")
        assert await read_reply(reader) == SERVED
        assert await read_reply(reader) == b""
        writer.close()
        assert await program.wait() == 0


@on_loop
async def test_a_killed_gateway_starts_again_at_its_address(tmp_path):
    async with StubHost() as host, StubCounter() as counter, StubDiscovery() as discovery:
        discovery.servers = [entry(host)]
        config, port = tmp_path / "config.json", 0
        for life in (b"first", b"second"):
            text = gateway_config([entry(host)], discovery.port, counter.port) | {
                "listen": f"127.0.0.1:{port}"
            }
            config.write_text(json.dumps(text))
            program = await asyncio.create_subprocess_exec(
                *PROGRAM, cwd=ROOT, env={**os.environ, "RELAY_CONFIG": str(config)}, stderr=subprocess.PIPE
            )
            port = int((await program.stderr.readline()).decode().rsplit(":", 1)[1])
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(command(life))
            assert await read_reply(reader) == SERVED
            program.kill()
            assert await program.wait() == -signal.SIGKILL


@on_loop
async def test_sighup_moves_discovery_and_the_counter_and_a_bad_file_moves_nothing(tmp_path):
    async with (
        StubHost() as host,
        StubHost() as late,
        StubCounter() as counter,
        StubDiscovery() as discovery,
        StubCounter() as new_counter,
        StubDiscovery() as new_discovery,
    ):
        discovery.servers, new_discovery.servers = [entry(host)], [entry(late, "h2")]
        config = tmp_path / "config.json"
        config.write_text(json.dumps(gateway_config([entry(host)], discovery.port, counter.port)))
        env = {**os.environ, "RELAY_CONFIG": str(config), "RELAY_DISCOVERY": f"127.0.0.1:{discovery.port}"}
        program = await asyncio.create_subprocess_exec(*PROGRAM, cwd=ROOT, env=env, stderr=subprocess.PIPE)
        port = int((await program.stderr.readline()).decode().rsplit(":", 1)[1])
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(command())
        assert await read_reply(reader) == SERVED
        config.write_text("{")
        program.send_signal(signal.SIGHUP)
        assert b"nothing changes" in await program.stderr.readline()
        config.write_text(json.dumps(gateway_config([], new_discovery.port, new_counter.port)))
        program.send_signal(signal.SIGHUP)
        number = 1
        while not (new_counter.calls and late.commands):  # each customer's first request needs the counter
            writer.write(command(b"n%d" % number, terms(t="small"), customer=b"%016x" % number))
            await read_reply(reader)
            number += 1
        program.terminate()
        assert await program.wait() == 0


def changed(**kw):
    tree = json.loads(json.dumps(gateway_config([], 1, 2)))
    for path, value in kw.items():
        node = tree
        *parents, leaf = [int(p) if p.isdigit() else p for p in path.split("__")]
        for part in parents:
            node = node[part]
        if value is None:
            del node[leaf]
        else:
            node[leaf] = value
    return json.dumps(tree)


@pytest.mark.parametrize(
    "text",
    [
        "",
        " ",
        "null",
        "[]",
        "{}",
        changed()[:-9],
        changed(discovery=None),
        changed(counter=None),
        changed(settings=None),
        changed(settings__services=None),
        changed(settings__services__0__deadline=None),
        changed(settings__services__0__effect=None),
        changed(settings__plans__0__rate=None),
        changed(settings__limits__max_attempts=None),
        changed(settings__specifics__counter_timeout=None),
        *(changed(settings__limits__max_attempts=bad) for bad in (0, -1, "3", True, [3], float("nan"))),
        *(changed(settings__services__0__deadline=bad) for bad in (0, -1, "soon", False, {}, float("inf"))),
        changed(settings__services=[]),
        changed(settings__services__0__effect="odd"),
        changed(counter="nowhere"),
    ],
)
def test_of_a_broken_file_nothing_is_taken(text, tmp_path):
    path = tmp_path / "config.json"
    path.write_text(changed())
    env = {"RELAY_CONFIG": str(path)}
    last = read_config(env)
    path.write_text(text)
    with pytest.raises(ConfigError):
        reread_config(last, env)


def test_a_whole_file_is_taken_but_for_what_is_listened_on(tmp_path):
    path = tmp_path / "config.json"
    path.write_text(changed())
    last = read_config({"RELAY_CONFIG": str(path), "RELAY_NAME": "n7", "RELAY_DISCOVERY": "127.0.0.1:9"})
    extra = SETTINGS["services"][0] | {"name": "extra", "effect": "side_effect"}
    path.write_text(
        changed(
            discovery="127.0.0.1:7",
            counter="127.0.0.1:8",
            listen="127.0.0.1:5",
            settings__limits__max_attempts=1,
            settings__services=[extra],
        )
    )
    fresh = reread_config(last, {"RELAY_CONFIG": str(path)})
    assert fresh.discovery[1] == 7 and fresh.counter[1] == 8 and fresh.name == "n7"
    assert fresh.listen == last.listen and fresh.settings.limits.max_attempts == 1
    assert list(fresh.settings.classes) == ["extra"]


class Platform:
    """Holds the clients' socket and starts processes that inherit it."""

    def __init__(self, folder, config):
        self.folder, self.config, self.programs = folder, config, []
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(64)
        self.port = self.sock.getsockname()[1]

    async def start(self):
        """A process that is ready; where its second address is."""
        env = {
            **os.environ,
            "RELAY_CONFIG": str(self.config),
            "RELAY_SOCKET_FD": str(self.sock.fileno()),
            "RELAY_CONTROL": "127.0.0.1:0",
            "RELAY_LISTEN": f"127.0.0.1:{self.port}",
            "TMPDIR": str(self.folder),
        }
        program = await asyncio.create_subprocess_exec(
            *PROGRAM, cwd=ROOT, env=env, stderr=subprocess.PIPE, pass_fds=[self.sock.fileno()]
        )
        self.programs.append(program)
        second = 0
        while line := await program.stderr.readline():
            if b"calls are taken at" in line:
                second = int(line.decode().rsplit(":", 1)[1])
            if b"listens on" in line:
                break
        assert (await call_control(second, "GET /status"))[0] == 200
        return program, second

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_):
        self.sock.close()
        for program in self.programs:
            if program.returncode is None:
                program.kill()
                await program.wait()


@on_loop
async def test_a_new_process_takes_over_on_the_inherited_socket(tmp_path):
    async with StubHost(None) as host, StubCounter() as counter, StubDiscovery() as discovery:
        discovery.servers = [entry(host)]
        config = tmp_path / "config.json"
        config.write_text(json.dumps(gateway_config([entry(host)], discovery.port, counter.port)))
        (tmp_path / "n0-life-of-an-earlier-one").write_text("")
        async with Platform(tmp_path, config) as platform:
            old, second = await platform.start()
            idle, idle_writer = await asyncio.open_connection("127.0.0.1", platform.port)
            idle_writer.write(PING)
            assert await read_reply(idle) == b"+PONG\r\n"
            busy, busy_writer = await asyncio.open_connection("127.0.0.1", platform.port)
            busy_writer.write(command(b"busy"))
            await host.arrived.get()
            assert (await call_control(second, "POST /maintenance/enter?host=h1"))[0] == 200
            new, new_second = await platform.start()
            assert (await call_control(new_second, "GET /status"))[1]["hosts_out"] == ["h1"]
            old.send_signal(signal.SIGTERM)
            assert await idle.read() == b""
            host.writers[0].write(b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n")
            assert await busy.read() == SERVED
            assert await old.wait() == 0
            reader, writer = await asyncio.open_connection("127.0.0.1", platform.port)
            writer.write(PING)
            assert await read_reply(reader) == b"+PONG\r\n"
            for end in (idle_writer, busy_writer, writer):
                end.close()
            assert new.returncode is None


@pytest.mark.parametrize("more", [{"edge": {}}, {}])
@on_loop
async def test_an_upgrade_in_a_rush_of_connections_loses_nothing(more, tmp_path):
    async with StubHost() as host, StubCounter() as counter, StubDiscovery() as discovery:
        discovery.servers = [entry(host)]
        config = tmp_path / "config.json"
        config.write_text(json.dumps(gateway_config([entry(host)], discovery.port, counter.port) | more))
        async with Platform(tmp_path, config) as platform:
            old, _ = await platform.start()
            ended, answers, lost, numbers = asyncio.Event(), [], [], itertools.count()

            async def ask():
                """Five commands on one connection; what its end leaves unread is sent once more."""
                left = [command(b"r%d" % next(numbers), customer=b"%016x" % n) for n in range(5)]
                for _ in range(2):
                    reader, writer = await asyncio.open_connection("127.0.0.1", platform.port)
                    writer.write(b"".join(left))
                    try:
                        while left and (reply := await read_reply(reader)):
                            answers.append(reply[:1])
                            left.pop(0)
                    except OSError:
                        pass
                    writer.close()
                lost.extend(left)

            async def keep_asking():
                while not ended.is_set():
                    await ask()

            rush = [asyncio.create_task(keep_asking()) for _ in range(40)]
            await wait_until(lambda: len(answers) > 200)
            await platform.start()
            old.send_signal(signal.SIGTERM)
            assert await old.wait() == 0
            seen = len(answers)
            await wait_until(lambda: len(answers) > seen + 200)
            ended.set()
            await asyncio.gather(*rush)
            assert not lost and set(answers) <= {b"$", b"-"}


@on_loop
async def test_the_new_process_serves_on_when_the_old_one_dies_midway(tmp_path):
    async with StubHost() as host, StubCounter() as counter, StubDiscovery() as discovery:
        discovery.servers = [entry(host)]
        config = tmp_path / "config.json"
        config.write_text(json.dumps(gateway_config([entry(host)], discovery.port, counter.port)))
        async with Platform(tmp_path, config) as platform:
            old, _ = await platform.start()
            new, _ = await platform.start()
            old.kill()
            await old.wait()
            for n in range(5):
                reader, writer = await asyncio.open_connection("127.0.0.1", platform.port)
                writer.write(command(b"r%d" % n))
                assert await read_reply(reader) == SERVED
                writer.close()
            new.send_signal(signal.SIGTERM)  # alone: it still serves what comes for a while
            reader, writer = await asyncio.open_connection("127.0.0.1", platform.port)
            writer.write(command(b"last"))
            assert await read_reply(reader) == SERVED
            writer.close()
            assert await new.wait() == 0


@pytest.mark.parametrize("fd", ["x", "99"])
def test_a_descriptor_that_is_none_ends_the_start_in_one_line(fd, tmp_path):
    (tmp_path / "config.json").write_text(changed())
    env = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
    ended = subprocess.run(
        PROGRAM,
        cwd=ROOT,
        env=env
        | {"RELAY_CONFIG": str(tmp_path / "config.json"), "RELAY_SOCKET_FD": fd, "TMPDIR": str(tmp_path)},
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert ended.returncode == 2 and ended.stderr.count("\n") == 1


@pytest.mark.parametrize("view", [False, True])
def test_nothing_that_takes_long_is_imported_while_clients_wait(view, tmp_path):
    """With a second address and membership the loop was away for most of a start, the clients' listener
    open: requests that came were read past their time. What views need is there with that key only."""
    code = (
        "import sys, api_gateway.downstream.client_server as clients\n"
        "from api_gateway.gateway.__main__ import main\n"
        "async def listen(*_): print(*(f'api_gateway.{m}' in sys.modules for m in "
        "('control.server', 'membership.service', 'discovery.subsets', 'base.subsets')));"
        " raise OSError('seen')\n"
        "clients.ClientServer.listen = listen; main()"
    )
    tree = gateway_config([], 1, 2) | {
        "control": "127.0.0.1:0",
        "membership": {"cluster": "c", "listen": "127.0.0.1:0"},
    }
    tree |= {"view": {"size": 20}} if view else {}
    (tmp_path / "config.json").write_text(json.dumps(tree))
    ended = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        timeout=60,
        env={**os.environ, "RELAY_CONFIG": str(tmp_path / "config.json"), "TMPDIR": str(tmp_path)},
    )
    assert ended.stdout == f"True True {view} {view}\n" and "seen" in ended.stderr
