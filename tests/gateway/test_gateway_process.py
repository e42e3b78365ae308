"""Tests the gateway program as a separate process: configuration, readiness, signals and upgrades."""

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


def config_with(**overrides):
    return json.dumps(gateway_config([], 1, 2) | overrides)


@pytest.mark.parametrize(
    "text, expected_text",
    [
        (None, "RELAY_CONFIG"),
        ("{", "Expecting"),
        ("[]", "list"),
        ("{}", "settings"),
        (config_with(seed="xyz"), "xyz"),
        (config_with(listen="nowhere"), "nowhere"),
        (config_with(counter=""), "counter"),
        (config_with(settings={}), "limits"),
        (config_with(known={"version": 1}), "list of hosts"),
        (config_with(listen="127.0.0.1:99999999"), "99999999"),
    ],
)
def test_an_invalid_configuration_is_reported_in_one_line(text, expected_text, tmp_path):
    env = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
    if text is not None:
        (tmp_path / "config.json").write_text(text)
        env["RELAY_CONFIG"] = str(tmp_path / "config.json")
    completed = subprocess.run(PROGRAM, cwd=ROOT, env=env, capture_output=True, text=True, timeout=60)
    assert completed.returncode != 0
    assert (
        completed.stderr.startswith("api_gateway: ")
        and completed.stderr.count("\n") == 1
        and expected_text in completed.stderr
    )


@on_loop
async def test_sigterm_ends_the_program_after_it_has_answered_admitted_requests(tmp_path):
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
        while await read_reply(ping_reader) == b"+PONG\r\n":  # until the process has handled the signal
            ping_writer.write(PING)
        host.writers[0].write(b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n")
        assert await read_reply(reader) == SERVED
        assert await program.wait() == 0


@on_loop
async def test_signals_during_the_shutdown_lose_no_request(tmp_path):
    """Guard against a lost request when a second SIGTERM and a SIGHUP arrive during the shutdown.

    The reloaded file no longer contains the class of the request in flight.
    """
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
async def test_a_killed_gateway_can_restart_at_the_same_address(tmp_path):
    async with StubHost() as host, StubCounter() as counter, StubDiscovery() as discovery:
        discovery.servers = [entry(host)]
        config, port = tmp_path / "config.json", 0
        for request_id in (b"first", b"second"):
            text = gateway_config([entry(host)], discovery.port, counter.port) | {
                "listen": f"127.0.0.1:{port}"
            }
            config.write_text(json.dumps(text))
            program = await asyncio.create_subprocess_exec(
                *PROGRAM, cwd=ROOT, env={**os.environ, "RELAY_CONFIG": str(config)}, stderr=subprocess.PIPE
            )
            port = int((await program.stderr.readline()).decode().rsplit(":", 1)[1])
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(command(request_id))
            assert await read_reply(reader) == SERVED
            program.kill()
            assert await program.wait() == -signal.SIGKILL


@on_loop
async def test_sighup_changes_discovery_and_the_counter_unless_the_file_is_invalid(tmp_path):
    async with (
        StubHost() as host,
        StubHost() as new_host,
        StubCounter() as counter,
        StubDiscovery() as discovery,
        StubCounter() as new_counter,
        StubDiscovery() as new_discovery,
    ):
        discovery.servers, new_discovery.servers = [entry(host)], [entry(new_host, "h2")]
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
        # Each customer's first request needs the counter.
        while not (new_counter.calls and new_host.commands):
            writer.write(command(b"n%d" % number, terms(t="small"), customer=b"%016x" % number))
            await read_reply(reader)
            number += 1
        program.terminate()
        assert await program.wait() == 0


def config_with_values(**values):
    """Return a configuration with values set at the given paths, whose parts are joined by two underscores.

    None deletes a key.
    """
    document = json.loads(json.dumps(gateway_config([], 1, 2)))
    for path, value in values.items():
        parent = document
        *parent_keys, leaf = [int(part) if part.isdigit() else part for part in path.split("__")]
        for key in parent_keys:
            parent = parent[key]
        if value is None:
            del parent[leaf]
        else:
            parent[leaf] = value
    return json.dumps(document)


@pytest.mark.parametrize(
    "text",
    [
        "",
        " ",
        "null",
        "[]",
        "{}",
        config_with_values()[:-9],
        config_with_values(discovery=None),
        config_with_values(counter=None),
        config_with_values(settings=None),
        config_with_values(settings__services=None),
        config_with_values(settings__services__0__deadline=None),
        config_with_values(settings__services__0__effect=None),
        config_with_values(settings__plans__0__rate=None),
        config_with_values(settings__limits__max_attempts=None),
        config_with_values(settings__specifics__counter_timeout=None),
        *(
            config_with_values(settings__limits__max_attempts=bad)
            for bad in (0, -1, "3", True, [3], float("nan"))
        ),
        *(
            config_with_values(settings__services__0__deadline=bad)
            for bad in (0, -1, "soon", False, {}, float("inf"))
        ),
        config_with_values(settings__services=[]),
        config_with_values(settings__services__0__effect="odd"),
        config_with_values(counter="nowhere"),
    ],
)
def test_reread_rejects_an_invalid_file(text, tmp_path):
    path = tmp_path / "config.json"
    path.write_text(config_with_values())
    env = {"RELAY_CONFIG": str(path)}
    previous = read_config(env)
    path.write_text(text)
    with pytest.raises(ConfigError):
        reread_config(previous, env)


def test_reread_applies_a_valid_file_except_for_the_listening_addresses(tmp_path):
    path = tmp_path / "config.json"
    path.write_text(config_with_values())
    previous = read_config({"RELAY_CONFIG": str(path), "RELAY_NAME": "n7", "RELAY_DISCOVERY": "127.0.0.1:9"})
    extra = SETTINGS["services"][0] | {"name": "extra", "effect": "side_effect"}
    path.write_text(
        config_with_values(
            discovery="127.0.0.1:7",
            counter="127.0.0.1:8",
            listen="127.0.0.1:5",
            settings__limits__max_attempts=1,
            settings__services=[extra],
        )
    )
    reread = reread_config(previous, {"RELAY_CONFIG": str(path)})
    assert reread.discovery[1] == 7 and reread.counter[1] == 8 and reread.name == "n7"
    assert reread.listen == previous.listen and reread.settings.limits.max_attempts == 1
    assert list(reread.settings.classes) == ["extra"]


class SocketOwner:
    """Owns the listening socket for clients and starts gateway processes that inherit it."""

    def __init__(self, folder, config):
        self.folder, self.config, self.programs = folder, config, []
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(64)
        self.port = self.sock.getsockname()[1]

    async def start(self):
        """Start a process, wait until it is ready, and return it with its control port."""
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
        control_port = 0
        while line := await program.stderr.readline():
            if b"calls are taken at" in line:
                control_port = int(line.decode().rsplit(":", 1)[1])
            if b"listens on" in line:
                break
        assert (await call_control(control_port, "GET /status"))[0] == 200
        return program, control_port

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
        async with SocketOwner(tmp_path, config) as socket_owner:
            old, control_port = await socket_owner.start()
            idle, idle_writer = await asyncio.open_connection("127.0.0.1", socket_owner.port)
            idle_writer.write(PING)
            assert await read_reply(idle) == b"+PONG\r\n"
            busy, busy_writer = await asyncio.open_connection("127.0.0.1", socket_owner.port)
            busy_writer.write(command(b"busy"))
            await host.arrived.get()
            assert (await call_control(control_port, "POST /maintenance/enter?host=h1"))[0] == 200
            new, new_control_port = await socket_owner.start()
            assert (await call_control(new_control_port, "GET /status"))[1]["hosts_out"] == ["h1"]
            old.send_signal(signal.SIGTERM)
            assert await idle.read() == b""
            host.writers[0].write(b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n")
            assert await busy.read() == SERVED
            assert await old.wait() == 0
            reader, writer = await asyncio.open_connection("127.0.0.1", socket_owner.port)
            writer.write(PING)
            assert await read_reply(reader) == b"+PONG\r\n"
            for open_writer in (idle_writer, busy_writer, writer):
                open_writer.close()
            assert new.returncode is None


@pytest.mark.parametrize("more", [{"edge": {}}, {}])
@on_loop
async def test_an_upgrade_under_many_connections_loses_no_request(more, tmp_path):
    async with StubHost() as host, StubCounter() as counter, StubDiscovery() as discovery:
        discovery.servers = [entry(host)]
        config = tmp_path / "config.json"
        config.write_text(json.dumps(gateway_config([entry(host)], discovery.port, counter.port) | more))
        async with SocketOwner(tmp_path, config) as socket_owner:
            old, _ = await socket_owner.start()
            stopped, replies, lost, numbers = asyncio.Event(), [], [], itertools.count()

            async def send_commands():
                """Send five commands on one connection and resend the unanswered ones once if it closes."""
                unanswered = [command(b"r%d" % next(numbers), customer=b"%016x" % n) for n in range(5)]
                for _ in range(2):
                    reader, writer = await asyncio.open_connection("127.0.0.1", socket_owner.port)
                    writer.write(b"".join(unanswered))
                    try:
                        while unanswered and (reply := await read_reply(reader)):
                            replies.append(reply[:1])
                            unanswered.pop(0)
                    except OSError:
                        pass
                    writer.close()
                lost.extend(unanswered)

            async def keep_sending():
                while not stopped.is_set():
                    await send_commands()

            clients = [asyncio.create_task(keep_sending()) for _ in range(40)]
            await wait_until(lambda: len(replies) > 200)
            await socket_owner.start()
            old.send_signal(signal.SIGTERM)
            assert await old.wait() == 0
            previous_count = len(replies)
            await wait_until(lambda: len(replies) > previous_count + 200)
            stopped.set()
            await asyncio.gather(*clients)
            assert not lost and set(replies) <= {b"$", b"-"}


@on_loop
async def test_the_new_process_keeps_serving_if_the_old_one_is_killed(tmp_path):
    async with StubHost() as host, StubCounter() as counter, StubDiscovery() as discovery:
        discovery.servers = [entry(host)]
        config = tmp_path / "config.json"
        config.write_text(json.dumps(gateway_config([entry(host)], discovery.port, counter.port)))
        async with SocketOwner(tmp_path, config) as socket_owner:
            old, _ = await socket_owner.start()
            new, _ = await socket_owner.start()
            old.kill()
            await old.wait()
            for n in range(5):
                reader, writer = await asyncio.open_connection("127.0.0.1", socket_owner.port)
                writer.write(command(b"r%d" % n))
                assert await read_reply(reader) == SERVED
                writer.close()
            new.send_signal(signal.SIGTERM)  # the only process: it serves new connections for a while
            reader, writer = await asyncio.open_connection("127.0.0.1", socket_owner.port)
            writer.write(command(b"last"))
            assert await read_reply(reader) == SERVED
            writer.close()
            assert await new.wait() == 0


@pytest.mark.parametrize("fd", ["x", "99"])
def test_an_invalid_inherited_descriptor_is_reported_in_one_line(fd, tmp_path):
    (tmp_path / "config.json").write_text(config_with_values())
    env = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
    completed = subprocess.run(
        PROGRAM,
        cwd=ROOT,
        env=env
        | {"RELAY_CONFIG": str(tmp_path / "config.json"), "RELAY_SOCKET_FD": fd, "TMPDIR": str(tmp_path)},
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert completed.returncode == 2 and completed.stderr.count("\n") == 1


@pytest.mark.parametrize("view", [False, True])
def test_slow_modules_are_imported_before_the_client_listener_opens(view, tmp_path):
    """Slow modules must be imported before the client listener opens.

    With the control address and membership configured, these imports once blocked the event loop for most of
    the start while the listener was already open, so requests were read after their deadlines. The modules
    for subsets must be imported only if the configuration has the key `view`.
    """
    code = (
        "import sys, api_gateway.downstream.client_server as clients\n"
        "from api_gateway.gateway.__main__ import main\n"
        "async def listen(*_): print(*(f'api_gateway.{m}' in sys.modules for m in "
        "('control.server', 'membership.service', 'discovery.subsets', 'base.subsets')));"
        " raise OSError('seen')\n"
        "clients.ClientServer.listen = listen; main()"
    )
    document = gateway_config([], 1, 2) | {
        "control": "127.0.0.1:0",
        "membership": {"cluster": "c", "listen": "127.0.0.1:0"},
    }
    document |= {"view": {"size": 20}} if view else {}
    (tmp_path / "config.json").write_text(json.dumps(document))
    completed = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        timeout=60,
        env={**os.environ, "RELAY_CONFIG": str(tmp_path / "config.json"), "TMPDIR": str(tmp_path)},
    )
    assert completed.stdout == f"True True {view} {view}\n" and "seen" in completed.stderr
