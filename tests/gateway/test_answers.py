"""Each request gets its answer by its time, whatever hosts do, and restarted processes are ready soon."""

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

LOST = 0.5  # s past its time after which a request counts as lost
READY = 6.0  # s in which a restarted process has to be ready on the shortest days
ROOT = Path(__file__).resolve().parents[2]
ROUGH = {
    "serve": VALUE,
    "are silent": None,
    "break off": b"",
    "turn away": b"-BUSY\r\n",
    "fail": b"-ERR failed\r\n",
    "answer half": b"*3\r\n$5\r\nval",
    "spoil": b"*3\r\n$x\r\n",
    "are away": None,
}


def asked(number, due):
    """Commands of each effect with `due` ms to go."""
    return [
        command(b"r%d" % number, terms(d=str(due))),
        write_command(b"w%d" % number, b"write", due),
        write_command(b"n%d" % number, b"note", due),
    ]


@pytest.mark.parametrize("held", [False, True])
@pytest.mark.parametrize("hosts", ROUGH)
@on_loop
async def test_each_request_gets_its_answer_by_its_time_whatever_hosts_do(hosts, held, tmp_path):
    """Of each effect, alone and in a pipeline, with 20 to 700 ms to go, and where the loop is held for 0.3 s
    by its own work: what was due meanwhile is answered right after."""
    async with StubHost() as one, StubHost() as two, Node(one, two, path=tmp_path) as node:
        for host in (one, two):
            host.answer = ROUGH[hosts]
            if hosts == "are away":
                host.server.close()
        answers, late = [], []

        async def ask(due, texts):
            reader, writer = await node.connect()
            began = time.monotonic()
            writer.write(b"".join(texts))
            for _ in texts:
                answers.append(await read_reply(reader))
                late.append(time.monotonic() - began - due / 1000)

        async def hold():
            for _ in range(3):
                await asyncio.sleep(0.1)
                time.sleep(0.3)

        plays = [
            ask(due, texts)
            for n, due in enumerate((20, 60, 250, 700))
            for texts in ([text] for text in asked(n, due))
        ]
        plays += [ask(due, asked(n, due)) for n, due in enumerate((20, 60, 250, 700), 10)]
        await asyncio.gather(*plays, *([hold()] if held else []))
        assert len(answers) == 24 and {answer[:1] for answer in answers} <= {b"$", b"-"}
        assert max(late) < LOST
        assert (SERVED in answers) == (hosts == "serve") and not node.node.in_flight


@on_loop
async def test_a_gateway_that_knows_no_host_answers_all_the_same(tmp_path):
    async with Node(path=tmp_path) as node:
        for number in range(3):
            for text in asked(number, 300):
                assert (await node.send_command(text))[:5] == b"-BUSY"
        assert not node.node.in_flight


@pytest.mark.parametrize("away", ["refuses", "silent", "not there"])
@pytest.mark.parametrize("mode", ["pushed", "on_request"])
@on_loop
async def test_a_process_that_starts_while_discovery_is_away_is_ready_soon(mode, away, tmp_path):
    """It serves with the hosts of its known list."""
    async with StubHost() as host, StubCounter() as counter, StubDiscovery() as discovery:
        discovery.silent, discovery.refuses = away == "silent", away == "refuses"
        port = discovery.port
        if away == "not there":
            await discovery.runner.cleanup()
        config = tmp_path / "config.json"
        config.write_text(
            json.dumps(
                gateway_config(
                    [entry(host)], port, counter.port, SETTINGS | {"registry_mode": mode, "group_size": 200}
                )
            )
        )
        began = time.monotonic()
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
                assert line, "it ended"
            reader, writer = await asyncio.open_connection("127.0.0.1", int(line.decode().rsplit(":", 1)[1]))
            writer.write(b"*1\r\n$4\r\nPING\r\n")
            assert await read_reply(reader) == b"+PONG\r\n"
            assert time.monotonic() - began < READY
            writer.write(command())
            assert await read_reply(reader) == SERVED
            writer.close()
        finally:
            program.kill()
            await program.wait()
