"""Bytes that the programs around the gateway store and send, as commit 127d781 wrote them.

The literals here and the files in `experiments/` must not change when code is renamed. Everything that
depends on names of the code is in the first section.
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

# Names of the code under test

HOST, HOST_LIST = api.Endpoint, api.EndpointList
EVENT_KEYWORDS = {*adapter.EVENT_READERS, "TARGETS"}
ACTION_TYPES = set(adapter.ACTION_WRITERS)
STAND_INS = {
    "counter": counter.Counter,
    "discovery": discovery.Discovery,
    "host": lambda: host.WorkingHost(work_s=0.0),
}
CONTROL_CALLS = service.ControlServer
ACTIONS = [  # fields of actions by position
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


def reencode_run(path):
    return json.dumps(msgspec.to_builtins(runs.load(path)), indent=1) + "\n"


def store_run_again(path, folder):
    """Store a run as the program does, which computes its fits and the notes on missing repeats again."""
    return runs.store(runs.load(path), folder).read_text()


def reencode_scenario(path):
    return json.dumps(msgspec.to_builtins(scenario.read_scenario(str(path))), indent=1) + "\n"


def encode_crowd(*values):
    return crowds.Crowd(*values).encode()


def reencode_crowd(text):
    """Decode the argument of a process of simulated gateways as that process does, and encode it again."""
    return crowds.Crowd(**json.loads(text)).encode()


def render_page(target, stored):
    return page.page(target, stored)[0]


class Recorder:
    """Replaces the decision engine of an instance: records events and returns `actions`."""

    def __init__(self, actions=()):
        self.events, self.actions = [], list(actions)

    def handle(self, now, event):
        self.events.append((now, type(event), dataclasses.astuple(event)))
        return self.actions


def run_adapter(recorder, *lines):
    out = io.StringIO()
    simulated = adapter.Adapter(io.StringIO("\n".join(("ROUND at_time=1500000000", *lines, "GO", ""))), out)
    simulated.engines[3] = recorder
    return simulated.run(), out.getvalue()


def on_event_loop(test):
    @functools.wraps(test)
    def run(*args, **kwargs):
        asyncio.run(test(*args, **kwargs))

    return run


def option_names(command, name):
    """Return, for a command and its subcommands, the option strings of each parameter."""
    names = {
        name: sorted("/".join((*parameter.opts, *parameter.secondary_opts)) for parameter in command.params)
    }
    for subcommand_name, subcommand in getattr(command, "commands", {}).items():
        names |= option_names(subcommand, f"{name} {subcommand_name}")
    return names


# Stored runs and targets

RUNS = sorted(DATA.glob("run-*.json"))


def test_there_are_stored_runs():
    assert len(RUNS) == 6


@pytest.mark.parametrize("path", RUNS, ids=lambda path: path.stem)
def test_stored_run_is_read_and_written_back(path):
    assert reencode_run(path) == path.read_text()


@pytest.mark.parametrize("path", RUNS, ids=lambda path: path.stem)
def test_stored_run_is_stored_again(path, tmp_path):
    assert store_run_again(path, tmp_path) == path.read_text()


def test_a_run_with_an_unknown_key_is_rejected(tmp_path):
    path = tmp_path / "run.json"
    path.write_text(RUNS[0].read_text().replace('"yardstick_ms"', '"yardstick"'))
    with pytest.raises(ValueError):
        reencode_run(path)


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
    assert {section: " ".join(keys) for section, keys in target.items()} == TARGET_KEYS


def test_the_page_is_made_from_the_golden_target():
    assert (
        render_page(DATA / "target.toml", ROOT / "docs" / "scale") == (ROOT / "docs/CAPACITY.md").read_text()
    )


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
def test_the_argument_of_a_process_of_simulated_gateways(values, text):
    assert encode_crowd(*values) == text
    assert reencode_crowd(text) == text


# Fault scenarios


def test_each_key_of_a_scenario():
    assert reencode_scenario(DATA / "scenario.toml") == (DATA / "scenario.json").read_text()


# The simulator's wire

EVENT_LINES = [  # a line and the fields of the event made from it, by position
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


@pytest.mark.parametrize("line, values", EVENT_LINES, ids=[line.split(" ")[0] for line, _ in EVENT_LINES])
def test_an_event_line_of_the_simulator_is_read(line, values):
    recorder = Recorder()
    assert run_adapter(recorder, line) == (0, "ACK\n")
    assert [(now, fields) for now, _, fields in recorder.events] == [(1.5, values)]


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
    run_adapter(recorder, f"REPORT_BACK i=3 txn=t/1 attempt=0 host=h1 reason={reason} terminal=0")
    assert recorder.events[0][2] == ("t/1", 0, "h1", result, 0.0, False, 0, 0.0, {})


@pytest.mark.parametrize("action, line", ACTIONS, ids=[line for _, line in ACTIONS])
def test_an_action_is_written_for_the_simulator(action, line):
    assert run_adapter(Recorder([action]), "DUE i=3 label=0") == (0, f"{line}\nACK\n")


def test_each_event_and_action_of_the_simulator_is_covered():
    assert {line.split(" ")[0] for line, _ in EVENT_LINES} == EVENT_KEYWORDS
    assert {type(action) for action, _ in ACTIONS} == ACTION_TYPES


# Stand-ins

NO_FAULTS = '{"faults": {"delay": 0.0, "silent": 0.0, "busy": 0.0, "error": 0.0, "reset": 0.0}, '
ALL_FAULTS = '{"faults": {"delay": 0.5, "silent": 0.1, "busy": 0.2, "error": 0.3, "reset": 0.4}, '
STATUS = {
    "counter": '"names": 0, "added": 0, "held": 0}',
    "discovery": '"version": 1, "hosts": {}}',
    "host": '"inside": 0, "connections": 0, "commands": {}}',
}


@pytest.mark.parametrize("kind", STATUS)
@on_event_loop
async def test_control_calls_of_a_stand_in(kind):
    async with STAND_INS[kind]() as stand_in:
        calls = CONTROL_CALLS(stand_in)
        base = f"http://127.0.0.1:{await calls.open('127.0.0.1', 0)}"
        try:
            async with aiohttp.ClientSession() as session:
                async with session.get(f"{base}/status") as response:
                    assert await response.text() == NO_FAULTS + STATUS[kind]
                query = "delay=0.5&silent=0.1&busy=0.2&error=0.3&reset=0.4"
                async with session.post(f"{base}/faults?{query}") as response:
                    assert await response.text() == ALL_FAULTS + STATUS[kind]
                async with session.post(f"{base}/faults?slow=1") as response:
                    assert response.status == 400
                    assert await response.text() == (
                        '{"error": "no such fault: slow; there are busy, delay, error, reset, silent"}'
                    )
        finally:
            await calls.close()


async def exchange(port, request, size):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(request)
    async with asyncio.timeout(10):
        reply = await reader.readexactly(size)
    writer.close()
    return reply


@on_event_loop
async def test_answers_of_the_counter():
    expected = b"pong\r\nok 1.5\r\nok 4\r\nerror\r\n"
    async with STAND_INS["counter"]() as stand_in:
        request = b"ping\r\nincr 7 1.5 60000\r\nincr 7 2.5 60000\r\nwhat\r\n"
        assert await exchange(stand_in.port, request, len(expected)) == expected


@on_event_loop
async def test_answers_of_a_host():
    request = (
        b"*1\r\n$4\r\nPING\r\n*1\r\n$4\r\nINFO\r\n*1\r\n$4\r\nWHAT\r\n"
        b"*4\r\n$8\r\nAPI.READ\r\n$1\r\na\r\n$1\r\nb\r\n$1\r\nc\r\n"
    )
    expected = b"+PONG\r\n$10\r\ninflight=0\r\n-SYNTAX\r\n*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"
    async with STAND_INS["host"]() as stand_in:
        assert await exchange(stand_in.port, request, len(expected)) == expected


@on_event_loop
async def test_answer_of_discovery():
    async with STAND_INS["discovery"]() as stand_in, aiohttp.ClientSession() as session:
        base = f"http://127.0.0.1:{stand_in.port}/v1/endpoints"
        async with session.get(base) as response:
            assert await response.text() == '{"version": 1, "full": true, "servers": []}'
        async with session.get(f"{base}?index=1&wait=1") as response:
            assert await response.text() == '{"version": 1, "full": false, "servers": []}'


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
    assert option_names(cli.main, "main") == CLICK


@pytest.mark.parametrize("program", HELP)
def test_options_of_an_experiment(program):
    module, *subcommands = program.split()
    command = [sys.executable, "-m", f"api_gateway.experiments.{module}", *subcommands, "--help"]
    text = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True, timeout=60).stdout
    flags = re.findall(r"(?<![\w-])--?[a-z][a-z-]*", re.sub(r"python\s+-m", "", text))
    assert " ".join(sorted(set(flags))) == HELP[program]
