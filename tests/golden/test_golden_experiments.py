"""Bytes that the programs around the gateway store and send, as commit 127d781 wrote them.

The literals here and the files in `experiments/` are not to change when code is renamed. What touches names
of the code stands in the first section.
"""

import asyncio
import dataclasses
import functools
import io
import json
import re
import subprocess
import sys
import tomllib
from pathlib import Path

import aiohttp
import msgspec
import pytest

from api_gateway import cli
from api_gateway import interface as api
from api_gateway import simulator_adapter as adapter
from api_gateway.emulators import counter, discovery, host, service
from api_gateway.experiments.faults import scenario
from api_gateway.experiments.scale import crowds, page, runs

ROOT = Path(__file__).resolve().parent.parent.parent
DATA = Path(__file__).resolve().parent / "experiments"

# Names of the code

HOST, HOST_LIST = api.Endpoint, api.EndpointList
WORDS_IN = {*adapter.EVENT_READERS, "TARGETS"}
KINDS_OUT = set(adapter.ACTION_WRITERS)
STAND_INS = {
    "counter": counter.Counter,
    "discovery": discovery.Discovery,
    "host": lambda: host.WorkingHost(work=0.0),
}
CALLS = service.Calls
ACTIONS = [  # by position
    (api.SendAttempt("t/1", "h1", 0.25), "ASSIGN i=3 txn=t/1 timeout=250000000 host=h1"),
    (api.SendAttempt("t/1", "h1"), "ASSIGN i=3 txn=t/1 timeout=0 host=h1"),
    (api.RejectRequest("t/1", 0.5, True), "DECLINE i=3 txn=t/1 hold_off=500000000"),
    (api.FailRequest("t/1"), "DROP_REQUEST i=3 txn=t/1"),
    (api.CancelAttempt("t/1", 2), "REVOKE i=3 txn=t/1 attempt=2"),
    (api.AddToCounter(7, 1.5, 60.0), "CHARGE_COUNTER i=3 entry_name=7 by=1.5 forget_after=60000000000"),
    (api.SetTimer(0.125, 4), "AFTER i=3 sleep_for=125000000 label=4"),
    (api.CheckHealth("h1"), "TOUCH i=3 host=h1"),
    (api.CloseIdleConnections("h1"), "RELEASE i=3 host=h1"),
    (api.FetchEndpoints(), "PULL i=3"),
    (api.WatchEndpoints(True), "WATCH i=3 active=1"),
    (api.ResizeSubset(40), "REMARK i=3 words=a view of 40 hosts is wanted"),
    (api.ClusterClockChanged(True), "REMARK i=3 words=synchronizing: True"),
    (api.LogMessage("some words"), "REMARK i=3 words=some words"),
]


def read_run_and_write(path):
    return json.dumps(msgspec.to_builtins(runs.load(path)), indent=1) + "\n"


def store_run(path, folder):
    """As the program stores it: with fits and texts on missing repeats made anew."""
    return runs.store(runs.load(path), folder).read_text()


def read_scenario_and_write(path):
    return json.dumps(msgspec.to_builtins(scenario.read_scenario(str(path))), indent=1) + "\n"


def crowd(*values):
    return crowds.Crowd(*values).encode()


def crowd_again(text):
    """As a process of hollow gateways reads its argument, and written back."""
    return crowds.Crowd(**json.loads(text)).encode()


def page_of(target, stored):
    return page.page(target, stored)[0]


class Recorder:
    """In the place of an instance's decision module: keeps what it gets, and answers with `actions`."""

    def __init__(self, actions=()):
        self.got, self.actions = [], list(actions)

    def handle(self, now, event):
        self.got.append((now, type(event), dataclasses.astuple(event)))
        return self.actions


def talk(recorder, *lines):
    out = io.StringIO()
    simulated = adapter.Adapter(io.StringIO("\n".join(("ROUND at_time=1500000000", *lines, "GO", ""))), out)
    simulated.engines[3] = recorder
    return simulated.run(), out.getvalue()


def in_loop(test):
    @functools.wraps(test)
    def run(*args, **named):
        asyncio.run(test(*args, **named))

    return run


def options(command, name):
    """Of a command and all below it: its name, and the texts by which each parameter is given."""
    found = {name: sorted("/".join((*p.opts, *p.secondary_opts)) for p in command.params)}
    for below, one in getattr(command, "commands", {}).items():
        found |= options(one, f"{name} {below}")
    return found


# Stored runs and targets

RUNS = sorted(DATA.glob("run-*.json"))


def test_there_are_stored_runs():
    assert len(RUNS) == 6


@pytest.mark.parametrize("path", RUNS, ids=lambda path: path.stem)
def test_stored_run_is_read_and_written_back(path):
    assert read_run_and_write(path) == path.read_text()


@pytest.mark.parametrize("path", RUNS, ids=lambda path: path.stem)
def test_stored_run_is_stored_again(path, tmp_path):
    assert store_run(path, tmp_path) == path.read_text()


def test_a_run_by_another_key_is_no_run(tmp_path):
    path = tmp_path / "run.json"
    path.write_text(RUNS[0].read_text().replace('"yardstick_ms"', '"yardstick"'))
    with pytest.raises(ValueError):
        read_run_and_write(path)


TARGET_KEYS = {
    "fleet": "gateways hosts services requests_s routes tenants regions zones changes_a_day",
    "limits": "added_ms added_share change_s control_cores control_mb control_kb_s machines",
    "events": "failed_a_day restarted_a_day rack_hosts apart_s",
    "wanted": "growth few_hosts change_cpu_ms",
    "assumed": "view_hosts spread burst entries_a_restart entries_a_loss rollout_s calls_in_work_s loop_cores"
    " machine_cores machine_mb machine_kb_s exchange_s budgets ttl_s renewals_a_ttl kind_bytes calls_at_once"
    " host_connections copies plans_a_tenant connections_a_pair",
}


def test_keys_of_the_target():
    target = tomllib.loads((DATA / "target.toml").read_text())
    assert {part: " ".join(keys) for part, keys in target.items()} == TARGET_KEYS


def test_the_page_is_made_from_the_golden_target():
    assert page_of(DATA / "target.toml", ROOT / "docs" / "scale") == (ROOT / "docs/CAPACITY.md").read_text()


CROWDS = [
    (
        (5, 10, 200, "127.0.0.1:9"),
        '{"first": 5, "count": 10, "gateways": 200, "service": "127.0.0.1:9", "view": 0, '
        '"zones": ["a", "b", "c"], "tree": null}',
    ),
    (
        (0, 1, 2, "127.0.0.1:9", 64, ("x",), {"name": "n", "settings": {"index": 0}}),
        '{"first": 0, "count": 1, "gateways": 2, "service": "127.0.0.1:9", "view": 64, '
        '"zones": ["x"], "tree": {"name": "n", "settings": {"index": 0}}}',
    ),
]


@pytest.mark.parametrize("values, text", CROWDS)
def test_what_a_process_of_hollow_gateways_is_told(values, text):
    assert crowd(*values) == text
    assert crowd_again(text) == text


# Fault scenarios


def test_each_key_of_a_scenario():
    assert read_scenario_and_write(DATA / "scenario.toml") == (DATA / "scenario.json").read_text()


# The simulator's wire

LINES_IN = [  # a line, and the values of what it becomes, by position
    (
        "WORK_ITEM i=3 txn=t/1 patience_left=500000000 n_entries=2 cost_units=1.5 customer=c/1 type=c tier=p "
        "first=1 marks=6",
        ("t/1", 0.5, "c/1", "p", "c", 1.5, 1, 2, True, True),
    ),
    (
        "REPORT_BACK i=3 txn=t/1 attempt=1 host=h1 reason=GOOD time_taken=8000000 terminal=1 fleet_use=3 "
        "actual=2 server_stats=active:2",
        ("t/1", 1, "h1", "ok", 0.008, True, 3, 2.0, {"inflight": 2.0}),
    ),
    ("ADDED i=3 entry_name=1 reason=GOOD now_at=1.5 time_taken=2000000", (1, "ok", 1.5, 0.002)),
    (
        "PING_RESULT i=3 host=h2 reason=NOCONN time_taken=1000000 server_stats=active:2",
        ("h2", "connect_failed", 0.001, {"inflight": 2.0}),
    ),
    ("DUE i=3 label=7", (7,)),
    ("BEGUN i=3 txn=t/1 attempt=0 host=h1 time_taken=1000000", ("t/1", 0, "h1", 0.001)),
    ("DROPPED i=3 txn=t/1", ("t/1",)),
    ("MEMO i=3 from=2 octets=00ff-", (2, b"\x00\xff")),
    (
        "TARGETS i=3 mode=delta index=2 rows_in=2\n"
        "HOST host=h1 flavor=k unit_group=4 heft=2.5 zone=a availability=L ready_at=900000000\n"
        "HOST host=h2 availability=D",
        ("delta", 2, (("h1", "a", 4, 2.5, "k", "leaving", 0.9), ("h2", "", 0, 1.0, "", "down", 0.0)), 0),
    ),
]


@pytest.mark.parametrize("line, values", LINES_IN, ids=[line.split(" ")[0] for line, _ in LINES_IN])
def test_a_line_of_the_simulator_is_read(line, values):
    recorder = Recorder()
    assert talk(recorder, line) == (0, "ACK\n")
    assert [(now, got) for now, _, got in recorder.got] == [(1.5, values)]


@pytest.mark.parametrize(
    "reason, result",
    [
        ("GOOD", "ok"),
        ("BAD", "error"),
        ("FULL", "full"),
        ("LATE", "timeout"),
        ("NOCONN", "connect_failed"),
        ("RST", "reset"),
        ("CXL", "cancelled"),
        ("NOP", "moot"),
    ],
)
def test_results_of_the_simulator(reason, result):
    recorder = Recorder()
    talk(recorder, f"REPORT_BACK i=3 txn=t/1 attempt=0 host=h1 reason={reason} terminal=0")
    assert recorder.got[0][2] == ("t/1", 0, "h1", result, 0.0, False, 0, 0.0, {})


@pytest.mark.parametrize("action, line", ACTIONS, ids=[line for _, line in ACTIONS])
def test_an_action_as_the_simulator_gets_it(action, line):
    assert talk(Recorder([action]), "DUE i=3 label=0") == (0, f"{line}\nACK\n")


def test_each_line_of_the_wire_is_pinned():
    assert {line.split(" ")[0] for line, _ in LINES_IN} == WORDS_IN
    assert {type(action) for action, _ in ACTIONS} == KINDS_OUT


# Stand-ins

NO_FAULTS = '{"faults": {"delay": 0.0, "silent": 0.0, "busy": 0.0, "error": 0.0, "reset": 0.0}, '
ALL_FAULTS = '{"faults": {"delay": 0.5, "silent": 0.1, "busy": 0.2, "error": 0.3, "reset": 0.4}, '
STATUS = {
    "counter": '"names": 0, "added": 0, "held": 0}',
    "discovery": '"version": 1, "hosts": {}}',
    "host": '"inside": 0, "connections": 0, "commands": {}}',
}


@pytest.mark.parametrize("kind", STATUS)
@in_loop
async def test_control_calls_of_a_stand_in(kind):
    async with STAND_INS[kind]() as stand_in:
        calls = CALLS(stand_in)
        base = f"http://127.0.0.1:{await calls.open('127.0.0.1', 0)}"
        try:
            async with aiohttp.ClientSession() as session:
                async with session.get(f"{base}/status") as answer:
                    assert await answer.text() == NO_FAULTS + STATUS[kind]
                query = "delay=0.5&silent=0.1&busy=0.2&error=0.3&reset=0.4"
                async with session.post(f"{base}/faults?{query}") as answer:
                    assert await answer.text() == ALL_FAULTS + STATUS[kind]
                async with session.post(f"{base}/faults?slow=1") as answer:
                    assert answer.status == 400
                    assert await answer.text() == (
                        '{"error": "no such fault: slow; there are busy, delay, error, reset, silent"}'
                    )
        finally:
            await calls.close()


async def exchange(port, sent, size):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(sent)
    async with asyncio.timeout(10):
        got = await reader.readexactly(size)
    writer.close()
    return got


@in_loop
async def test_answers_of_the_counter():
    wanted = b"pong\r\nok 1.5\r\nok 4\r\nerror\r\n"
    async with STAND_INS["counter"]() as stand_in:
        sent = b"ping\r\nincr 7 1.5 60000\r\nincr 7 2.5 60000\r\nwhat\r\n"
        assert await exchange(stand_in.port, sent, len(wanted)) == wanted


@in_loop
async def test_answers_of_a_host():
    sent = (
        b"*1\r\n$4\r\nPING\r\n*1\r\n$4\r\nINFO\r\n*1\r\n$4\r\nWHAT\r\n"
        b"*4\r\n$8\r\nAPI.READ\r\n$1\r\na\r\n$1\r\nb\r\n$1\r\nc\r\n"
    )
    wanted = b"+PONG\r\n$10\r\ninflight=0\r\n-SYNTAX\r\n*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"
    async with STAND_INS["host"]() as stand_in:
        assert await exchange(stand_in.port, sent, len(wanted)) == wanted


@in_loop
async def test_answer_of_discovery():
    async with STAND_INS["discovery"]() as stand_in, aiohttp.ClientSession() as session:
        base = f"http://127.0.0.1:{stand_in.port}/v1/endpoints"
        async with session.get(base) as answer:
            assert await answer.text() == '{"version": 1, "full": true, "servers": []}'
        async with session.get(f"{base}?index=1&wait=1") as answer:
            assert await answer.text() == '{"version": 1, "full": false, "servers": []}'


# Options of commands

CLICK = {
    "main": [],
    "main demo": [
        "--folder",
        "--for",
        "--gateways",
        "--hosts",
        "--json",
        "--kill-gateway-at",
        "--seconds",
        "--seed",
        "--stop-counter-at",
        "--traffic",
    ],
    "main standin": [],
    "main standin counter": ["--control", "--listen", "--seed"],
    "main standin discovery": ["--control", "--hosts", "--listen", "--seed"],
    "main standin host": [
        "--control",
        "--listen",
        "--name",
        "--register",
        "--room",
        "--seed",
        "--slots",
        "--work",
        "--zone",
    ],
}
HELP = {
    "faults": "--events --folder --help --seed -h",
    "membership": "--help --losses --processes --seconds --seeds --sizes -h",
    "scale": "--edge --held --help --label --out --repeats --seconds --seed --sizes --tree --variant "
    "--view -h",
    "scale page": "--check --help --out --runs --target -h",
    "scale plots": "--help --out --runs --target -h",
    "budgets": "--file --help --seconds --seeds -h",
    "connection_load": "--help --kind --pairs --seconds -h",
    "budgets.holder": "--folder --grantor --help --index --meter --name --pace -h",
}


def test_options_of_the_command():
    assert options(cli.main, "main") == CLICK


@pytest.mark.parametrize("program", HELP)
def test_options_of_an_experiment(program):
    module, *more = program.split()
    command = [sys.executable, "-m", f"api_gateway.experiments.{module}", *more, "--help"]
    text = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True, timeout=60).stdout
    found = re.findall(r"(?<![\w-])--?[a-z][a-z-]*", re.sub(r"python\s+-m", "", text))
    assert " ".join(sorted(set(found))) == HELP[program]
