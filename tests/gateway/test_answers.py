"""Tests that every request is answered by its deadline and that a restarted process becomes ready quickly."""

import asyncio
import json
import os
import subprocess
import sys
import time
from pathlib import Path

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
    gateway_config,
    on_loop,
    read_reply,
    terms,
    write_command,
)

MAX_DELAY_S = 0.5  # after its deadline; a later answer counts as lost
MAX_START_S = 6.0  # limit for the start of a process that is required on the shortest days
ROOT = Path(__file__).resolve().parents[2]
HOST_REPLIES = {
    "serve": VALUE,
    "are silent": None,
    "break off": b"",
    "turn away": b"-BUSY\r\n",
    "fail": b"-ERR failed\r\n",
    "answer half": b"*3\r\n$5\r\nval",
    "spoil": b"*3\r\n$x\r\n",
    "are away": None,
}


def commands_of_each_effect(number, deadline_ms):
    """Return a read, a write and a note with the given deadline."""
    return [
        command(b"r%d" % number, terms(d=str(deadline_ms))),
        write_command(b"w%d" % number, b"write", deadline_ms),
        write_command(b"n%d" % number, b"note", deadline_ms),
    ]


@pytest.mark.parametrize("is_loop_blocked", [False, True])
@pytest.mark.parametrize("behavior", HOST_REPLIES)
@on_loop
async def test_each_request_is_answered_by_its_deadline_whatever_hosts_do(
    behavior, is_loop_blocked, tmp_path
):
    """Guard against lost requests of each effect, alone and pipelined, with deadlines of 20 to 700 ms.

    In half of the cases the event loop is blocked three times for 0.3 s. Requests whose deadline passes
    meanwhile must be answered right afterwards.
    """
    async with StubHost() as one, StubHost() as two, Node(one, two, path=tmp_path) as node:
        for host in (one, two):
            host.answer = HOST_REPLIES[behavior]
            if behavior == "are away":
                host.server.close()
        answers, delays = [], []

        async def send(deadline_ms, texts):
            reader, writer = await node.connect()
            started_at = time.monotonic()
            writer.write(b"".join(texts))
            for _ in texts:
                answers.append(await read_reply(reader))
                delays.append(time.monotonic() - started_at - deadline_ms / 1000)

        async def block_loop():
            for _ in range(3):
                await asyncio.sleep(0.1)
                time.sleep(0.3)

        clients = [
            send(deadline_ms, texts)
            for n, deadline_ms in enumerate((20, 60, 250, 700))
            for texts in ([text] for text in commands_of_each_effect(n, deadline_ms))
        ]
        clients += [
            send(deadline_ms, commands_of_each_effect(n, deadline_ms))
            for n, deadline_ms in enumerate((20, 60, 250, 700), 10)
        ]
        await asyncio.gather(*clients, *([block_loop()] if is_loop_blocked else []))
        assert len(answers) == 24 and {answer[:1] for answer in answers} <= {b"$", b"-"}
        assert max(delays) < MAX_DELAY_S
        assert (SERVED in answers) == (behavior == "serve") and not node.node.in_flight


@on_loop
async def test_a_gateway_without_hosts_rejects_requests(tmp_path):
    async with Node(path=tmp_path) as node:
        for number in range(3):
            for text in commands_of_each_effect(number, 300):
                assert (await node.send_command(text))[:5] == b"-BUSY"
        assert not node.node.in_flight


@pytest.mark.parametrize("failure", ["refuses", "silent", "not there"])
@pytest.mark.parametrize("mode", ["pushed", "on_request"])
@on_loop
async def test_a_process_that_starts_while_discovery_fails_is_ready_soon(mode, failure, tmp_path):
    """A starting process must serve with the hosts of its last known list when discovery fails."""
    async with StubHost() as host, StubCounter() as counter, StubDiscovery() as discovery:
        discovery.silent, discovery.refuses = failure == "silent", failure == "refuses"
        port = discovery.port
        if failure == "not there":
            await discovery.runner.cleanup()
        config = tmp_path / "config.json"
        config.write_text(
            json.dumps(
                gateway_config(
                    [entry(host)], port, counter.port, SETTINGS | {"registry_mode": mode, "group_size": 200}
                )
            )
        )
        started_at = time.monotonic()
        program = await asyncio.create_subprocess_exec(
            sys.executable,
            "-B",
            "-m",
            "api_gateway.gateway",
            cwd=ROOT,
            stderr=subprocess.PIPE,
            env={**os.environ, "RELAY_CONFIG": str(config), "TMPDIR": str(tmp_path)},
        )
        try:
            while b"listens on" not in (line := await program.stderr.readline()):
                assert line, "the process ended"
            reader, writer = await asyncio.open_connection("127.0.0.1", int(line.decode().rsplit(":", 1)[1]))
            writer.write(b"*1\r\n$4\r\nPING\r\n")
            assert await read_reply(reader) == b"+PONG\r\n"
            assert time.monotonic() - started_at < MAX_START_S
            writer.write(command())
            assert await read_reply(reader) == SERVED
            writer.close()
        finally:
            program.kill()
            await program.wait()
