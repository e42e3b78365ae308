"""Stored and wire formats of the budgets, as written by commit 127d781.

Covered are the grantor's configuration and log, the exchange in both directions, the refusals, the status for
operators, and file names.
"""

import asyncio
import fcntl
import re
import shutil
import socket
import sqlite3
import threading
import time
from contextlib import asynccontextmanager, closing

import msgspec
import pytest
from netkit import on_loop
from service_process import BUDGETS, DATA, json_headers, running, until

from api_gateway.budgets import config as config_module
from api_gateway.budgets.client import BudgetClient

# The only names of the code under test that are used


@asynccontextmanager
async def running_client(config, port, folder):
    """Run the client of gateway `g-0`, index 1 in `zone-a`, and yield its status function."""
    settings = config_module.read_config({"BUDGETS_CONFIG": str(config)}).settings
    client = BudgetClient(settings, f"127.0.0.1:{port}", "g-0", "zone-a", 1, folder)
    client.start()
    try:
        yield client.status
    finally:
        await client.close()


def reencode_config(data):
    """Decode a configuration file and encode it as the experiments do."""
    return msgspec.json.encode(msgspec.json.decode(data, type=config_module.ConfigFile))


# Expected formats

CONFIG = """{
  "listen": "127.0.0.1:0",
  "log": "@LOG",
  "weights": {"zone-a": 2.0},
  "terms": {
    "most": 4, "length": 2.0, "every": 0.5, "drift": 0.25, "pool": 0.125,
    "budgets": [
      {"name": "connections", "kind": "level", "whole": 40.0, "reserve": 8.0, "least": 1.0, "linger": 0.5},
      {"name": "connects", "kind": "rate", "whole": 20.0, "reserve": 5.0, "least": 0.5, "burst": 28.0}
    ]
  }
}
"""
SCHEMA = [
    "CREATE TABLE held (name TEXT, life INTEGER, budget TEXT, cover REAL, hold REAL, linger REAL,\n"
    "                                 PRIMARY KEY (name, life, budget)) WITHOUT ROWID",
    "CREATE TABLE state (only INTEGER PRIMARY KEY CHECK (only = 0), told TEXT)",
]
FIXED = (
    '"fixed":{"most":4.0,"drift":0.25,"kind of connections":"level","reserve of connections":8.0,'
    '"kind of connects":"rate","reserve of connects":5.0}'
)
# The term is far above the clock's, so that the next incarnation adds 1 to it whenever the test runs.
STATE = '{"term":4000000000000,"whole":true,"longest":3.0,' + FIXED + "}"
ROWS = [
    ("g-0", 1700000000000, "connections", 10.0, 2.5, 0.5),
    ("g-9", 1600000000000, "connects", 1.5, 2.5, 0.0),
]
NEXT_STATE = '{"term":4000000000001,"whole":true,"longest":3.0,' + FIXED + "}"
NEXT_ROWS = [
    ("g-0", 1700000000000, "connections", 10.0, 2.5, 0.5),
    ("g-1", 1650000000000, "connections", 18.0, 2.5, 0.5),
    ("g-1", 1650000000000, "connects", 9.0, 2.5, 0.0),
    ("g-9", 1600000000000, "connects", 1.5, 2.5, 0.0),
]
FILE_HEAD = b"SQLite format 3\x00\x04\x00\x01\x01"  # page size 1024 bytes, rollback journal
CONFIG_WRITTEN = (
    b'{"listen":"127.0.0.1:0","terms":{"most":4,"budgets":[{"name":"connections","kind":"level","whole":40.0,'
    b'"reserve":8.0,"least":1.0,"burst":0.0,"linger":0.5},{"name":"connects","kind":"rate","whole":20.0,'
    b'"reserve":5.0,"least":0.5,"burst":28.0,"linger":0.0}],"length":2.0,"every":0.5,"drift":0.25,'
    b'"pool":0.125},"log":"x.db","weights":{"zone-a":2.0}}'
)
EXCHANGE = (
    b'{"name":"g-1","zone":"zone-a","index":1,"life":1650000000000,"seq":3,"term":0,"budgets":'
    b'{"connections":{"need":20,"have":0.0,"reserve":2.0},"connects":{"need":10.0,"have":0.0,"reserve":1.0}}}'
)
GRANTS = (
    b'{"life":1650000000000,"seq":3,"term":4000000000001,"length":2.0,"parts":{"connections":18.0,'
    b'"connects":9.0},"ratios":{"connects":2.0}}'
)
STATUS = (
    b'{"term": 4000000000001, "disk": true, "learning": 0.0, "gateways": 3, "surplus": [], "clashes": [], '
    b'"counts": {"exchanges": 1}, "budgets": {"connections": {"whole": 40.0, "reserve": 8.0, '
    b'"divided": 32.0, "granted": 28.0, "over": 0.0, "needed": 28.0, "short": false}, "connects": '
    b'{"whole": 20.0, "reserve": 5.0, "divided": 12.0, "granted": 10.5, "over": 0.0, "needed": 10.5, '
    b'"short": false}}, "writes": 2}'
)
REFUSALS = [  # sent in this order after EXCHANGE was answered
    (EXCHANGE.replace(b'"seq":3', b'"seq":2'), 410, b'{"error": "a newer exchange was answered"}'),
    (
        EXCHANGE.replace(b"1650000000000", b"1650000000009").replace(b'"index":1', b'"index":4'),
        400,
        b'{"error": "index 4 has no share of the reserve: only 4 do"}',
    ),
    (
        EXCHANGE.replace(b"1650000000000", b"1649999999999"),
        409,
        b'{"error": "life 1650000000000 is known", "life": 1650000000000}',
    ),
    (
        EXCHANGE.replace(b'"seq":3,', b""),
        400,
        b'{"error": "Object missing required field `seq`"}',
    ),
    (b"x" * 65537, 413, b'{"error": "an exchange takes 65536 bytes at most"}'),
]
REPORT = (  # of a gateway; @LIFE stands for its incarnation, the clock's milliseconds
    b'{"name":"g-0","zone":"zone-a","index":1,"life":@LIFE,"seq":@SEQ,"term":@TERM,"budgets":{"connections":'
    b'{"need":0,"have":@CONNECTIONS,"reserve":@LEVEL},"connects":{"need":0.0,"have":@CONNECTS,'
    b'"reserve":@RATE}}}'
)


def report(seq, term, connections, connects, level, rate):
    """Return REPORT with these numbers as text."""
    values = {"SEQ": seq, "TERM": term, "CONNECTIONS": connections, "CONNECTS": connects}
    text = REPORT
    for key, value in {**values, "LEVEL": level, "RATE": rate}.items():
        text = text.replace(b"@" + key.encode(), value)
    return text


FIRST_REPORT = report(b"1", b"0", b"0.0", b"0.0", b"2.0", b"1.0")
SECOND_REPORT = report(b"2", b"7", b"9.0", b"3.5", b"2.0", b"1.0")
REPORT_WITHOUT_RESERVE = report(b"1", b"0", b"0.0", b"0.0", b"0.0", b"0.0")
GRANTS_TO_GATEWAY = (
    b'{"life":@LIFE,"seq":1,"term":7,"length":2.0,"parts":{"connections":9.0,"connects":3.5},'
    b'"ratios":{"connects":2.0}}'
)
GATEWAY_STATUS = (
    b'{"life":@LIFE,"term":7,"ends_in":@ENDS,"reserve":true,"superseded":false,"counts":{},"budgets":'
    b'{"connections":{"share":2.0,"granted":9.0,"used":0,"over":0},"connects":{"share":1.0,"granted":3.5,'
    b'"used":0,"over":0}},"failures":1}'
)


# Helpers, which use no names of the code under test


def write_config(folder, text=None):
    path = folder / "budgets.json"
    path.write_text((text or CONFIG).replace("@LOG", str(folder / "budgets.db")))
    return path


def copy_stored_log(folder):
    """Copy the log that commit 127d781 wrote to the path named in the configuration."""
    shutil.copyfile(DATA / "budgets.db", folder / "budgets.db")


def read_log(path):
    """Return schema, rows and the text of the state; the file is opened read-only."""
    with closing(sqlite3.connect(f"file:{path}?mode=ro", uri=True)) as database:
        return (
            [
                row[0]
                for row in database.execute("SELECT sql FROM sqlite_master WHERE sql > '' ORDER BY name")
            ],
            list(database.execute("SELECT * FROM held")),
            [tuple(row) for row in database.execute("SELECT * FROM state")],
        )


class StubGrantor:
    """Takes calls on loopback and sends prepared responses."""

    def __init__(self, responses):
        self.responses, self.requests = list(responses), []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            with connection:
                data = b""
                while b"\r\n\r\n" not in data:
                    data += connection.recv(65536)
                head, _, body = data.partition(b"\r\n\r\n")
                size = int(re.search(rb"(?i)content-length: (\d+)", head)[1])
                while len(body) < size:
                    body += connection.recv(65536)
                incarnation = re.search(rb'"life":(\d+)', body)[1]
                self.requests.append(
                    (head.split(b"\r\n")[0], body.replace(incarnation, b"@LIFE"), int(incarnation))
                )
                status, response = self.responses.pop(0) if self.responses else (500, b"")
                response = response.replace(b"@LIFE", incarnation)
                connection.sendall(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nConnection: close\r\n"
                    b"Content-Length: %d\r\n\r\n%s" % (status, len(response), response)
                )


# The configuration


def test_the_configuration_is_read_and_written_back():
    assert reencode_config(CONFIG_WRITTEN) == CONFIG_WRITTEN
    assert reencode_config(CONFIG.replace("@LOG", "x.db").encode()) == CONFIG_WRITTEN


# The grantor: its log and its responses


def test_the_stored_log_has_the_expected_schema_and_rows():
    assert (DATA / "budgets.db").read_bytes().startswith(FILE_HEAD)
    assert read_log(DATA / "budgets.db") == (SCHEMA, ROWS, [(0, STATE)])


def test_a_stored_log_is_read_used_for_grants_and_written_back(tmp_path):
    copy_stored_log(tmp_path)
    with running(BUDGETS, write_config(tmp_path)) as process:
        for _ in range(2):  # a repeated exchange gets the same response
            assert process.call("POST /v1/exchange", EXCHANGE) == (
                200,
                {"content-type": "application/json", "content-length": str(len(GRANTS))},
                GRANTS,
            )
        status = STATUS.replace(b'"exchanges": 1', b'"exchanges": 1, "repeated": 1')
        assert process.call("GET /status") == (200, json_headers(status), status)
    assert read_log(tmp_path / "budgets.db") == (SCHEMA, NEXT_ROWS, [(0, NEXT_STATE)])
    assert (tmp_path / "budgets.db").read_bytes().startswith(FILE_HEAD)
    assert sorted(p.name for p in tmp_path.iterdir()) == ["budgets.db", "budgets.db.lock", "budgets.json"]


def test_an_unchanged_log_is_written_back_with_the_next_term(tmp_path):
    copy_stored_log(tmp_path)
    with running(BUDGETS, write_config(tmp_path)) as process:
        until(lambda: b'"writes": 1}' in process.call("GET /status")[2])
    assert read_log(tmp_path / "budgets.db") == (SCHEMA, ROWS, [(0, NEXT_STATE)])


def test_expired_grants_are_deleted_from_the_log(tmp_path):
    copy_stored_log(tmp_path)
    with running(BUDGETS, write_config(tmp_path)) as process:
        until(lambda: process.call("GET /status")[2].count(b'"granted": 0') == 2)
        time.sleep(2.0)  # reductions are written once a second
    assert read_log(tmp_path / "budgets.db") == (SCHEMA, [], [(0, NEXT_STATE)])


def test_refusals(tmp_path):
    copy_stored_log(tmp_path)
    with running(BUDGETS, write_config(tmp_path)) as process:
        assert process.call("POST /v1/exchange", EXCHANGE)[2] == GRANTS
        for body, status, response in REFUSALS:
            assert process.call("POST /v1/exchange", body) == (status, json_headers(response), response)
        response = b'{"error": "no such call"}'
        for request_line in ("GET /v1/exchange", "GET /else", "POST /status"):
            assert process.call(request_line) == (404, json_headers(response), response)


def test_a_torn_log_is_moved_aside_and_a_new_one_is_marked_incomplete(tmp_path):
    data = (DATA / "budgets.db").read_bytes()[:-600]
    (tmp_path / "budgets.db").write_bytes(data)
    with running(BUDGETS, write_config(tmp_path)) as process:
        status = until(lambda: (body := process.call("GET /status")[2]).endswith(b'"writes": 1}') and body)
        assert re.search(rb'"disk": true, "learning": [123]\.\d, "gateways": 0, ', status)
    assert (tmp_path / "budgets.db.torn").read_bytes() == data
    schema, rows, ((only, state),) = read_log(tmp_path / "budgets.db")
    assert (schema, rows, only) == (SCHEMA, [], 0)
    state, replacements = re.subn(r'^\{"term":\d{13},', '{"term":@TERM,', state)  # the clock's milliseconds
    state = re.sub(r'"longest":(2\.9\d+|3\.0),', '"longest":@LONGEST,', state)
    assert replacements and state == '{"term":@TERM,"whole":false,"longest":@LONGEST,' + FIXED + "}"
    assert (tmp_path / "budgets.db").read_bytes().startswith(FILE_HEAD)


def test_a_log_locked_by_another_grantor_is_not_used(tmp_path):
    copy_stored_log(tmp_path)
    with open(tmp_path / "budgets.db.lock", "a") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        with running(BUDGETS, write_config(tmp_path)) as process:
            assert b'"disk": false, ' in process.call("GET /status")[2]
            assert any("another grantor has it" in line for line in process.lines)


def test_a_log_with_other_fixed_settings_is_refused(tmp_path):
    copy_stored_log(tmp_path)
    for old, new in (
        ('"most": 4', '"most": 5'),
        ('"drift": 0.25', '"drift": 0.2'),
        ('"reserve": 8.0', '"reserve": 4.0'),
        ('"reserve": 5.0', '"reserve": 4.0'),
    ):
        with pytest.raises(AssertionError, match="by the log"):
            with running(BUDGETS, write_config(tmp_path, CONFIG.replace(old, new))):
                pass


# The client in a gateway


async def wait_for_calls(stub, count):
    async with asyncio.timeout(20):
        while len(stub.requests) < count:
            await asyncio.sleep(0.01)
    return stub.requests[:count]


@on_loop
async def test_a_gateway_reports_takes_grants_and_reports_again(tmp_path):
    """After a refusal that names a newer incarnation, the gateway continues with the one after it."""
    stale_response = b'{"error": "life 4000000000000 is known", "life": 4000000000000}'
    stub = StubGrantor([(409, stale_response), (200, GRANTS_TO_GATEWAY)])
    async with running_client(write_config(tmp_path), stub.port, tmp_path) as status:
        first, second, third = await wait_for_calls(stub, 3)
        request_line = b"POST /v1/exchange HTTP/1.1"
        assert first[:2] == (request_line, FIRST_REPORT) and abs(first[2] / 1000 - time.time()) < 60
        assert second == (request_line, FIRST_REPORT, 4000000000001)
        assert third == (request_line, SECOND_REPORT, 4000000000001)
        async with asyncio.timeout(5):
            while status()["failures"] < 1:
                await asyncio.sleep(0.01)
        body = msgspec.json.encode(status())
        ends_in = re.search(rb'"ends_in":([0-9.]+),', body)[1]
        assert body == GATEWAY_STATUS.replace(b"@LIFE", b"4000000000001").replace(b"@ENDS", ends_in)
        assert [p.name for p in tmp_path.glob("*.lock")] == ["g-0-reserve.lock"]


@on_loop
async def test_the_reserve_requires_the_lock_of_a_named_file(tmp_path):
    with open(tmp_path / "g-0-reserve.lock", "a") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        stub = StubGrantor([])
        async with running_client(write_config(tmp_path), stub.port, tmp_path):
            ((_, body, _),) = await wait_for_calls(stub, 1)
            assert body == REPORT_WITHOUT_RESERVE
