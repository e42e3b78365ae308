"""The stored and wire forms of the gateway process, as bytes that commit 127d781 wrote.

The gateway runs as a process of its own. The tests see its files under $TMPDIR, the answers of its control
address, its calls to discovery, to the counter and to an endpoint, and its answers to clients. What differs
from run to run is substituted in masked(): times, ports, ages, counts of failures, and of an HTTP answer the
date, the server's name and the length, which is compared with the body first. Nothing else is.

Each expected form is literal, here or in a file of tests/golden/gateway/. The times in the golden files were
written by the program, too; the clock file sets the gateway's time near 1700000000.
"""

import contextlib
import fcntl
import json
import os
import re
import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

import pytest

from api_gateway.supervisor.ports import free_port

# Names of the program. Everything that a rename may touch stands here.
MODULE = "api_gateway.gateway"
ROOT = Path(__file__).resolve().parents[2]


def read_config(env):
    from api_gateway.gateway.config import read_config

    return read_config(env)


GOLDEN = Path(__file__).resolve().parent / "gateway"
PATIENCE = 20.0  # s that a test waits for anything
CLOSED = "127.0.0.1:1"  # nobody listens there
START = 1_700_000_000  # Unix time at which the gateways begin, by their clock file


# The gateway and what it talks to


def config(**more):
    """The base configuration; discovery and the counter refuse connections unless a test names others."""
    return json.loads((GOLDEN / "config.json").read_text()) | more


def masked(data):
    data = re.sub(rb"\b1[67]\d{8}(\.\d+)?\b", b"<time>", data)
    data = re.sub(rb"127\.0\.0\.1:\d{2,5}", b"<address>", data)
    data = re.sub(rb'"age": (null|[\d.]+)', b'"age": <age>', data)
    data = re.sub(rb'"left": [\d.]+', b'"left": <seconds>', data)
    data = re.sub(rb'"overflows": \d+', b'"overflows": <count>', data)  # the machine's
    return re.sub(rb'"failures": \d+', b'"failures": <count>', data)


def answer_masked(data):
    head, _, body = data.partition(b"\r\n\r\n")
    head = re.sub(rb"\r\nDate: [^\r]+", b"\r\nDate: <date>", head)
    head = re.sub(rb"\r\nServer: [^\r]+", b"\r\nServer: <server>", head)
    if length := re.search(rb"Content-Length: (\d+)", head):
        if b"json" in head and body:
            assert int(length[1]) == len(body)
        head = head.replace(length[0], b"Content-Length: <length>")
    return masked(head + b"\r\n\r\n" + body)


def until(check):
    end = time.monotonic() + PATIENCE
    while not (found := check()):
        assert time.monotonic() < end, "it did not come"
        time.sleep(0.01)
    return found


def exchange(port, data, whole=False):
    """What comes back, up to the end of the connection or, unless `whole`, of the first line."""
    with socket.create_connection(("127.0.0.1", port), timeout=PATIENCE) as sock:
        sock.sendall(data)
        got = b""
        while (piece := sock.recv(65536)) and (whole or b"\r\n" not in (got := got + piece)):
            got = got + piece if whole else got
        return got


def command(id, terms=b"c=read,t=p,d=3000,units=1,spread=1,first=0", verb=b"API.READ"):
    parts = [verb, b"00000000b4d65521", id, terms]
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%s\r\n" % (len(p), p) for p in parts)


def connects(port):
    with contextlib.suppress(OSError), socket.create_connection(("127.0.0.1", port), timeout=1):
        return True
    return False


class Gateway:
    """A gateway's process on two free ports, with `folder` as $TMPDIR."""

    def __init__(self, folder, tree, **env):
        self.folder, self.tree, self.more = folder, tree, env

    def __enter__(self):
        self.port, self.control_port = free_port(), free_port()
        file = self.folder.parent / "config.json"
        file.write_text(json.dumps(self.tree))
        env = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")} | {
            "RELAY_CONFIG": str(file),
            "RELAY_LISTEN": f"127.0.0.1:{self.port}",
            "RELAY_CONTROL": f"127.0.0.1:{self.control_port}",
            "TMPDIR": str(self.folder),
            "PYTHONPATH": str(ROOT),
        }
        fds = [int(self.more["RELAY_SOCKET_FD"])] if "RELAY_SOCKET_FD" in self.more else []
        self.log = open(self.folder.parent / "log", "ab")  # noqa: SIM115
        program = [sys.executable, "-B", "-m", MODULE]
        self.process = subprocess.Popen(program, cwd=ROOT, env=env | self.more, stderr=self.log, pass_fds=fds)
        try:
            until(lambda: self.process.poll() is not None or connects(self.control_port))
            if "RELAY_LISTEN" not in self.more:
                until(lambda: self.process.poll() is not None or connects(self.port))
            assert self.process.poll() is None, (self.folder.parent / "log").read_text()
            until(lambda: b'"clients": 0' in self.call("GET /status"))  # that of connects() has ended
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_):
        self.process.send_signal(signal.SIGTERM)
        try:
            self.process.wait(PATIENCE)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        self.log.close()

    def call(self, target, body=b""):
        head = f"{target} HTTP/1.1\r\nHost: gateway\r\n"
        head += f"Content-Length: {len(body)}\r\n" if body else ""
        return exchange(self.control_port, head.encode() + b"\r\n" + body, whole=True)

    def json(self, target, body=b""):
        return json.loads(self.call(target, body).partition(b"\r\n\r\n")[2])


class Peer:
    """Takes connections on loopback; `serve(line, send)` gets each line that comes, without its end."""

    def __init__(self, serve):
        self.serve, self.lines, self.socks = serve, [], []

    def __enter__(self):
        self.server = socket.create_server(("127.0.0.1", 0))
        self.place = f"127.0.0.1:{self.server.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()
        return self

    def accept(self):
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.server.accept()
                self.socks.append(sock)
                threading.Thread(target=self.read, args=[sock], daemon=True).start()

    def read(self, sock):
        with contextlib.suppress(OSError), sock.makefile("rb") as lines:
            for line in lines:
                self.lines.append(line)
                self.serve(line, sock.sendall)

    def __exit__(self, *_):
        for sock in [self.server, *self.socks]:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()


@pytest.fixture
def folder(tmp_path):
    """$TMPDIR of the gateways, whose clock file makes their time begin near START."""
    made = tmp_path / "scratch"
    made.mkdir()
    boot = Path("/proc/sys/kernel/random/boot_id").read_text().strip()
    (made / "n0-clock.json").write_text(f'{{"boot": "{boot}", "zero": {START - time.monotonic()!r}}}')
    return made


def golden(name):
    return (GOLDEN / name).read_bytes()


def compare(name, data):
    if os.environ.get("SHOW_GOLDEN"):
        Path(os.environ["SHOW_GOLDEN"], name).write_bytes(data)
    assert data == golden(name)


# The control address


def candidate(**more):
    """What may change of the base configuration, as an operator sends it."""
    told = {key: config()[key] for key in ("discovery", "counter", "limits", "settings")}
    return json.dumps(told | more).encode()


def with_settings(**more):
    return candidate(settings=config()["settings"] | more)


FRESH = with_settings(locality="b")
CALLS = (
    ("GET /status", b""),
    ("GET /members", b""),
    ("GET /config", b""),
    ("GET /config/history", b""),
    ("GET /nothing", b""),
    ("POST /status", b""),
    ("GET /standby", b""),
    ("GET /status?x=1", b""),
    ("POST /maintenance/enter", b""),
    ("POST /maintenance/enter?host=h9", b""),
    ("POST /maintenance/enter?host=h1", b""),
    ("GET /status", b""),
    ("POST /maintenance/exit?host=h1", b""),
    ("POST /standby", b""),
    ("GET /status", b""),
    ("POST /active", b""),
    ("POST /config/check", b"{"),
    ("POST /config/check", b'{"settings": 1, "settings": 2}'),
    ("POST /config/check", with_settings(index=-1, bogus=3, weights=["x"], reporting={"names": 5})),
    ("POST /config/check", candidate(name="n1", limits={"cores": 1.0, "memory_mb": 1, "sockets": "x" * 99})),
    ("POST /config/check", FRESH),
    ("POST /config/apply", FRESH),
    ("POST /config/apply?expect=x", FRESH),
    ("POST /config/apply?expect=1&confirm_within=0.1", FRESH),
    ("POST /config/apply?expect=1", candidate()),
    ("POST /config/apply?expect=1&confirm_within=600", FRESH),
    ("GET /status", b""),
    ("GET /config", b""),
    ("GET /config/history", b""),
    ("POST /config/apply?expect=2", candidate()),
    ("POST /config/confirm?version=1", b""),
    ("POST /config/confirm?version=x", b""),
    ("POST /config/confirm?version=2", b""),
    ("POST /config/apply?expect=1", candidate()),
    ("POST /config/apply?expect=2", candidate(discovery="127.0.0.1:2")),
    ("POST /config/rollback?to=9", b""),
    ("POST /config/rollback?to=1", b""),
    ("POST /config/rollback?to=1", b""),
    ("GET /config/history", b""),
)


def transcript(gateway, calls):
    return b"".join(
        b"%s\n%s\n\n%s\n\n" % (target.encode(), body, answer_masked(gateway.call(target, body)))
        for target, body in calls
    )


def test_answers_of_the_control_address_and_the_history_that_they_leave(folder):
    with Gateway(folder, config()) as gateway:
        compare("control.txt", transcript(gateway, CALLS))
        compare("history-masked.json", masked((folder / "n0-config.json").read_bytes()))
        compare("bans-masked.json", masked((folder / "n0-hosts-out.json").read_bytes()))
        half = b"POST /config/check HTTP/1.1\r\nHost: gateway\r\nContent-Length: 9\r\n\r\n{"
        late = exchange(gateway.control_port, half, whole=True)
        assert answer_masked(late).endswith(b'\r\n\r\n{"error": "no whole body within 2 s"}')
        assert late.startswith(b"HTTP/1.1 408 Request Timeout\r\n")


def test_names_of_the_files(folder):
    with Gateway(folder, config()) as gateway:
        gateway.call("POST /maintenance/enter?host=h1")
        names = sorted(re.sub("life-[a-z0-9_]{8}$", "life-<8>", path.name) for path in folder.iterdir())
        assert names == [
            "n0-clock.json",
            "n0-clock.lock",
            "n0-config.json",
            "n0-config.lock",
            "n0-hosts-out.json",
            "n0-hosts-out.lock",
            "n0-life-<8>",
        ]
        [life] = folder.glob("n0-life-*")
        assert life.read_bytes() == b""
    assert not life.exists()


def test_a_call_that_cannot_be_kept(folder):
    with Gateway(folder, config()) as gateway:
        (folder / "n0-hosts-out.lock").mkdir()
        answer = answer_masked(gateway.call("POST /maintenance/enter?host=h1"))
    assert answer.startswith(b"HTTP/1.1 500 Internal Server Error\r\n")
    place = str(folder / "n0-hosts-out.lock").encode()
    why = b"[Errno 21] Is a directory: '%s'" % place
    assert answer.endswith(b'\r\n\r\n{"error": "it does not outlast this process: %s"}' % why)


# The history


def put(path, data):
    """As the program replaces a file, so that a process which runs sees it whole."""
    fresh = path.with_suffix(".put")
    fresh.write_bytes(data)
    fresh.replace(path)


def test_a_stored_history_is_read_and_written_back_equal(folder):
    file = folder / "n0-config.json"
    stored = golden("history.json")
    put(file, stored)
    with Gateway(folder, config()) as gateway:
        assert file.read_bytes() == stored
        told = gateway.call("GET /config/history").partition(b"\r\n\r\n")[2]
        compare("history-answer.json", told)
        assert gateway.json("GET /config")["config"]["settings"]["locality"] == "c"
        gateway.call("POST /config/confirm?version=4")
        assert file.read_bytes() == golden("history-confirmed.json")
        gateway.call("POST /config/rollback?to=1")
        versions = file.read_bytes()
        assert versions.startswith(golden("history-confirmed.json")[:-2] + b", [5, ")


def test_a_history_that_another_process_writes_is_followed(folder):
    with Gateway(folder, config()) as gateway:
        put(folder / "n0-config.json", golden("history.json"))
        assert gateway.call("GET /config/history").partition(b"\r\n\r\n")[2] == golden("history-answer.json")


def test_versions_by_a_signal_and_by_a_confirmation_that_did_not_come(folder):
    with Gateway(folder, config()) as gateway:
        file = folder.parent / "config.json"
        file.write_text(json.dumps(config(settings=config()["settings"] | {"locality": "d"})))
        gateway.process.send_signal(signal.SIGHUP)
        until(lambda: gateway.json("GET /config")["version"] == 2)
        gateway.call("POST /config/apply?expect=2&confirm_within=1", FRESH)
        until(lambda: gateway.json("GET /config")["version"] == 4)
        compare("history-signal-expiry-masked.json", masked((folder / "n0-config.json").read_bytes()))


TORN = {
    "half written": lambda text: text[:-20],
    "empty": lambda text: b"",
    "not JSON": lambda text: b"history",
    "another digest": lambda text: text.replace(b'"c", "plans"', b'"d", "plans"'),
    "an unknown origin": lambda text: text.replace(b'"rollback"', b'"backup"'),
    "numbers that fall": lambda text: text.replace(b"[[1, ", b"[[9, "),
    "a pending version that is not the newest": lambda text: text.replace(b'"number": 4', b'"number": 3'),
    "a pending version with another key": lambda text: text.replace(b'"until"', b'"end"'),
    "no version": lambda text: b'["569bf43d9516646f", null, []]',
}


@pytest.mark.parametrize("how", TORN)
def test_a_torn_history_changes_nothing_and_a_start_writes_over_it(how, folder):
    torn = TORN[how](golden("history.json"))
    assert torn != golden("history.json")
    file = folder / "n0-config.json"
    put(file, torn)
    with Gateway(folder, config()) as gateway:
        assert masked(file.read_bytes()) == golden("history-first.json")
        before = gateway.call("GET /config/history")
        put(file, torn)
        assert answer_masked(gateway.call("GET /config/history")) == answer_masked(before)
        assert file.read_bytes() == torn


# The hosts that are out, the clock, the lives


OUT = (
    b'{"h1": {"out": true, "at": 1699999990.25}, "h2": {"out": false, "at": 1700000000.9413195}, '
    b'"h3": {"out": true, "at": 1690000000.0}}'
)


def test_stored_hosts_out_are_read_and_written_back_equal(folder):
    file = folder / "n0-hosts-out.json"
    put(file, OUT)
    with Gateway(folder, config()) as gateway:
        assert gateway.json("GET /status")["hosts_out"] == ["h1", "h3"]
        assert gateway.json("GET /status")["hosts"] == ["h2"]
        gateway.call("POST /maintenance/enter?host=h2")
        written = re.sub(rb'("h2": {"out": true, "at": )[\d.]+', rb"\1<time>", file.read_bytes())
        assert written == OUT.replace(b'"out": false, "at": 1700000000.9413195', b'"out": true, "at": <time>')
        assert gateway.json("GET /status")["hosts_out"] == ["h1", "h2", "h3"]
        put(file, OUT.replace(b'"h1": {"out": true', b'"h1": {"out": false'))  # another process says so
        until(lambda: gateway.json("GET /status")["hosts_out"] == ["h3"])


@pytest.mark.parametrize(
    "torn",
    [OUT[:-3], b"", b"[]", OUT.replace(b'"out"', b'"gone"'), OUT.replace(b'"at"', b'"since"')],
    ids=["half written", "empty", "a list", "another key for out", "another key for at"],
)
def test_torn_hosts_out_change_nothing_and_the_next_call_writes_over_them(torn, folder):
    file = folder / "n0-hosts-out.json"
    put(file, torn)
    with Gateway(folder, config()) as gateway:
        assert gateway.json("GET /status")["hosts_out"] == []
        assert file.read_bytes() == torn
        gateway.call("POST /maintenance/enter?host=h1")
        assert masked(file.read_bytes()) == b'{"h1": {"out": true, "at": <time>}}'


def boot():
    return Path("/proc/sys/kernel/random/boot_id").read_bytes().strip()


@pytest.mark.parametrize("stored", [None, b'{"boot": "other", "zero": 1.5}', b'{"boot": '])
def test_a_clock_that_is_missing_or_of_another_boot_or_torn_is_written(stored, folder):
    file = folder / "n0-clock.json"
    file.unlink()
    if stored:
        put(file, stored)
    with Gateway(folder, config()):
        written = file.read_bytes()
    begin, _, zero = written.partition(b'"zero": ')
    assert begin == b'{"boot": "%s", ' % boot() and re.fullmatch(rb"\d+\.\d+}", zero)
    assert abs(float(zero[:-1]) - (time.time() - time.monotonic())) < 2.0


def test_a_stored_clock_is_read_and_stays(folder):
    file = folder / "n0-clock.json"
    zero = START - 5000.5 - time.monotonic()
    put(file, b'{"boot": "%s", "zero": %s}' % (boot(), repr(zero).encode()))
    stored = file.read_bytes()
    with Gateway(folder, config()) as gateway:
        assert 0 < gateway.json("GET /config")["since"] - (START - 5000.5) < PATIENCE
    assert file.read_bytes() == stored


def test_a_life_is_a_locked_file_and_a_dead_one_goes(folder):
    (folder / "n0-life-deadbeef").write_bytes(b"")
    (folder / "n1-life-deadbeef").write_bytes(b"")  # another gateway's
    with Gateway(folder, config()):
        [life] = folder.glob("n0-life-*")
        with life.open("rb+") as file, pytest.raises(BlockingIOError):
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    assert [path.name for path in folder.glob("*-life-*")] == ["n1-life-deadbeef"]


# Discovery and the list that is kept


SERVERS = (
    b'{"id": "h1", "addr": "127.0.0.1:1", "zone": "a", "kind": "k", "cell": 0, "state": "up", "weight": 1.0, '
    b'"started_ms": 0}, {"id": "h2", "addr": "[::1]:7", "zone": "b", "kind": "m", "cell": 3, '
    b'"state": "draining", "weight": 2.5, "started_ms": 1699999990250}, {"id": "h3", "state": "up"}'
)
LIST = b'{"version": 7, "epoch": "e 1", "full": true, "servers": [%s]}' % SERVERS
NOTHING_NEW = b'{"version": 7, "epoch": "e 1", "full": false, "servers": []}'
VIEWED = b'{"version": 7, "epoch": "e 1", "full": true, "view": true, "total": 90, "servers": [%s]}' % SERVERS
NO_LIST = {"version": 0, "full": True, "servers": []}
KEEP = {"replicas": {"others": [], "keep": True}}


def listing(whole, delay=0.2):
    """Discovery that answers a first call with `whole` and a watch with nothing new, after `delay`."""
    seen = threading.local()

    def serve(line, send):
        if line.startswith(b"GET"):
            seen.target = line
        elif line == b"\r\n":
            fresh = b"index=7&" in seen.target
            if fresh:
                time.sleep(delay)
            body = NOTHING_NEW if fresh else whole
            send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    return Peer(serve)


def heads(peer):
    """The calls, each with its head."""
    return [masked(call) for call in b"".join(peer.lines).split(b"\r\n\r\n")[:-1]]


def test_the_list_is_kept_and_the_calls_that_bring_it(folder):
    with listing(LIST) as peer:
        with Gateway(folder, config(discovery=peer.place, known=NO_LIST, **KEEP)) as gateway:
            until(lambda: len(heads(peer)) >= 2)
            told = gateway.call("GET /status").partition(b"\r\n\r\n")[2]
        compare("discovery-calls.txt", b"\n\n".join(heads(peer)[:2]) + b"\n")
        compare("status-with-list.json", masked(told))
    compare(
        "list-masked.json", re.sub(rb'"at": [\d.]+', b'"at": <time>', (folder / "n0-list.json").read_bytes())
    )
    assert (folder / "n0-list.lock").read_bytes() == b""


def test_a_stored_list_is_read_and_written_back_equal(folder):
    file = folder / "n0-list.json"
    put(file, golden("list.json"))
    closed = config(known=NO_LIST, **KEEP)
    with Gateway(folder, closed) as gateway:
        told = gateway.json("GET /status")
        assert (told["ready"], told["hosts"], told["list"]["epoch"]) == (True, ["h1"], "e 1")
    assert file.read_bytes() == golden("list.json")
    with listing(b"") as peer:
        with Gateway(folder, closed | {"discovery": peer.place}):
            until(lambda: len(heads(peer)) >= 2)
    compare("discovery-calls-again.txt", b"\n\n".join(heads(peer)[:2]) + b"\n")
    at = rb'"at": [\d.]+'
    assert file.read_bytes() != golden("list.json")
    assert re.sub(at, b"", file.read_bytes()) == re.sub(at, b"", golden("list.json"))


@pytest.mark.parametrize(
    "torn",
    [
        lambda text: text[:-9],
        lambda text: text.replace(b'"at"', b'"time"'),
        lambda text: text.replace(b'"servers"', b'"hosts"'),
        lambda text: text.replace(b'"version"', b'"number"'),
    ],
)
def test_a_torn_list_is_passed_over(torn, folder):
    put(folder / "n0-list.json", torn(golden("list.json")))
    with Gateway(folder, config(known=NO_LIST, **KEEP)) as gateway:
        assert gateway.json("GET /status")["hosts"] == []


def test_a_view_is_asked_for_and_kept(folder):
    view = {"view": {"size": 12, "kinds": ["m", "k", "k,1"], "most": 40}}
    with listing(VIEWED) as peer:
        with Gateway(folder, config(discovery=peer.place, known=NO_LIST, **KEEP, **view)) as gateway:
            until(lambda: len(heads(peer)) >= 2)
            told = gateway.call("GET /status").partition(b"\r\n\r\n")[2]
        compare("discovery-calls-view.txt", b"\n\n".join(heads(peer)[:2]) + b"\n")
        compare("status-with-view.json", masked(told))
    compare(
        "list-view-masked.json",
        re.sub(rb'"at": [\d.]+', b'"at": <time>', (folder / "n0-list.json").read_bytes()),
    )


def test_a_stored_list_of_a_view_is_read(folder):
    put(folder / "n0-list.json", golden("list-view.json"))
    view = {"view": {"size": 12, "kinds": ["m", "k", "k,1"], "most": 40}}
    with Gateway(folder, config(known=NO_LIST, **KEEP, **view)) as gateway:
        told = gateway.json("GET /status")
    assert (told["ready"], told["hosts"], told["list"]["epoch"]) == (True, ["h1"], "e 1")
    assert told["list"]["view"] == {"size": 12, "hosts": 2, "total": 90, "by_service": True, "shelf": 0}


# Clients, an endpoint and the counter


def serving(answers):
    """An endpoint that answers the commands in turn; it reads the lines of each to its last."""
    left = list(answers)

    def serve(line, send):
        if line.startswith(b"c="):
            send(left.pop(0) if left else b"-ERR failed\r\n")

    return Peer(serve)


def counting():
    def serve(line, send):
        send(b"pong\r\n" if line == b"ping\r\n" else b"ok 1\r\n")

    return Peer(serve)


BAD = (
    b"*1\r\n$4\r\nPING\r\n",
    b"*1\r\n$4\r\nNOPE\r\n",
    b"*1\r\n$8\r\nAPI.READ\r\n",
    b"*1\r\n:5\r\n",
    b"nonsense\r\n",
    b"*1\r\n$x\r\n",
    command(b"", b"c=read,t=p,d=3000,units=1,spread=1,first=0"),
    command(b"r", b"c=read"),
    command(b"r", b"c=none,t=p,d=3000,units=1,spread=1,first=0"),
    command(b"r", b"c=read,t=none,d=3000,units=1,spread=1,first=0"),
    command(b"r", b"c=read,t=p,d=3000,units=9,spread=1,first=0"),
    command(b"r", b"c=read,t=p,d=3000,units=1,spread=1,first=0", b"API.WRITE"),
)


def test_answers_to_clients_without_an_endpoint(folder):
    with Gateway(folder, config()) as gateway:
        told = b"".join(b"%r\n%r\n" % (sent, exchange(gateway.port, sent)) for sent in BAD)
        compare("client-answers.txt", told)
        gateway.call("POST /standby")
        assert exchange(gateway.port, BAD[0]) == b"-ERR not ready\r\n"


def plans(**more):
    tree = config()
    tree["settings"]["plans"] = [{"name": "p"} | more]
    return tree


def with_endpoint(tree, place):
    [first, _] = tree["known"]["servers"]
    return tree | {"known": tree["known"] | {"servers": [first | {"addr": place}]}}


def test_a_command_is_forwarded_and_refused_past_its_quota(folder):
    with counting() as counter, serving([b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"]) as endpoint:
        tree = with_endpoint(plans(rate=1.0, most_at_once=1.0) | {"counter": counter.place}, endpoint.place)
        tree["settings"]["group_size"] = 2
        terms = b"c=read,t=p,d=3000,units=1,spread=2,first=0"
        with Gateway(folder, tree) as gateway:
            with socket.create_connection(("127.0.0.1", gateway.port), timeout=PATIENCE) as sock:
                sock.sendall(command(b"r1", terms))
                assert sock.recv(99) == b"$5\r\nvalue\r\n"
                sent = re.sub(rb"d=[12]\d\d\d,", b"d=<left>,", b"".join(endpoint.lines))
                compare("endpoint-command.txt", sent)
                sock.sendall(command(b"r2", terms))
                assert re.fullmatch(rb"-BUSY (1000|9\d\d)\r\n", sock.recv(99))
            until(lambda: counter.lines)
        assert counter.lines[0] == b"incr 2342775830914058343 0 4000\r\n"  # the fleet's time is asked for


def test_units_are_counted_for_a_customer(folder):
    """The count's name is a hash of the customer and of the period of 15 s in which START lies."""
    with counting() as counter, serving([b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"] * 20) as endpoint:
        tree = with_endpoint(plans(rate=2.0, most_at_once=30.0) | {"counter": counter.place}, endpoint.place)
        tree["settings"]["group_size"] = 2
        terms = b"c=read,t=p,d=3000,units=1,spread=2,first=0"
        with Gateway(folder, tree) as gateway:
            for n in range(14):
                exchange(gateway.port, command(b"r%d" % n, terms))
            until(lambda: len(counter.lines) >= 3)
    assert counter.lines[0] == b"incr 2342775830914058343 0 4000\r\n"
    assert counter.lines[1] == b"incr 2975907971640710015 5 45000\r\n"
    assert re.fullmatch(rb"incr 2975907971640710015 \d+ 45000\r\n", counter.lines[2])


def test_an_endpoint_that_refuses_or_fails_and_what_the_client_hears(folder):
    """A read, which may be tried again, is refused in the end; a write that may have been done is not."""
    note = {"name": "note", "slo": 1e9, "deadline": 3e9, "effect": "side_effect", "gain": 1.0}
    terms = b"c=note,t=p,d=3000,units=1,spread=1,first=0"
    write = command(b"w1", terms, b"API.WRITE").replace(b"*4", b"*5") + b"$4\r\nBODY\r\n"
    heard = []
    for answer in (b"-BUSY\r\n", b"-ERR failed\r\n"):
        for asked in (command(b"r1"), write):
            with serving([answer] * 9) as endpoint:
                tree = with_endpoint(plans(rate=1000.0, most_at_once=1000.0), endpoint.place)
                tree["settings"]["services"].append(note)
                with Gateway(folder, tree) as gateway:
                    heard.append(exchange(gateway.port, asked))
    assert heard == [b"-BUSY\r\n", b"-BUSY\r\n", b"-BUSY\r\n", b"-ERR failed\r\n"]


# The configuration


def read_every_key():
    """The values of config-every-key.json as they are read, by the paths of their keys."""
    c = read_config({"RELAY_CONFIG": str(GOLDEN / "config-every-key.json"), "TMPDIR": "/scratch"})
    s, edge, member, view = c.settings, c.edge, c.membership, c.subset
    read, write, plan = s.classes["read"], s.classes["write"], s.plans["p"]
    limits, rules, (h1, h2) = s.limits, s.rules, c.initial_list.endpoint_list.endpoints
    return {
        "$TMPDIR": str(c.shared_folder),
        "name": c.name,
        "listen": c.listen,
        "control": c.control,
        "discovery": c.discovery,
        "counter": c.counter,
        "seed": c.seed,
        "known.version": c.initial_list.endpoint_list.version,
        "known.servers": [
            (h.id, h.zone, h.kind, h.cell, h.state, h.weight, h.started_at, c.initial_list.addresses[h.id])
            for h in (h1, h2)
        ],
        "limits.sockets": c.max_descriptors,
        "limits.memory_mb": c.max_memory_bytes,
        "replicas.others": c.other_replicas,
        "replicas.keep": c.saves_list,
        "edge.per_source": edge.per_source,
        "edge.new_per_source": edge.new_per_source,
        "edge.new": edge.new,
        "edge.prefix4": edge.prefix4,
        "edge.prefix6": edge.prefix6,
        "edge.fronts": [str(network) for network in edge.fronts],
        "edge.weights": {str(network): weight for network, weight in edge.weights},
        "edge.connects": edge.connects,
        "edge.connects_all": edge.connects_all,
        "edge.turns": edge.turns,
        "edge.half_closed": edge.half_closed,
        "edge.vanished": edge.vanished,
        "membership.cluster": member.cluster,
        "membership.listen": member.listen,
        "membership.seeds": member.seeds,
        "membership.advertise": member.advertise,
        "view.size": view.size,
        "view.kinds": view.kinds,
        "view.most": view.max_size,
        "settings.index": s.gateway_index,
        "settings.group_size": s.gateway_count,
        "settings.locality": s.zone,
        "settings.registry_mode": s.discovery_mode,
        "settings.weights": s.weight_kind,
        "settings.services.0.name": read.name,
        "settings.services.0.slo": read.latency_objective,
        "settings.services.0.deadline": read.deadline,
        "settings.services.0.effect": read.idempotency,
        "settings.services.0.gain": read.priority_weight,
        "settings.services.0.late_value": read.late_priority_weight,
        "settings.services.0.streaming": read.is_streaming,
        "settings.services.0.aim_stretch": read.objective_stretch,
        "settings.services.1.slo": write.latency_objective,
        "settings.services.1.deadline": write.deadline,
        "settings.services.1.effect": write.idempotency,
        "settings.services.1.gain": write.priority_weight,
        "settings.services.1.dedup_scope": write.dedup_scope,
        "settings.services.1.memory_span": write.dedup_window,
        "settings.plans.0.name": plan.name,
        "settings.plans.0.rate": plan.rate,
        "settings.plans.0.most_at_once": plan.burst,
        "settings.plans.0.parallel": plan.max_concurrent,
        "settings.plans.0.value_factor": plan.priority_factor,
        "settings.plans.0.beyond_earns": plan.over_quota_weight,
        "settings.plans.0.over_cost": plan.over_quota_cost,
        "settings.plans.0.cap_rate": plan.ceiling_rate,
        "settings.plans.0.cap_depth": plan.ceiling_burst,
        "settings.plans.0.hard_slack": plan.ceiling_slack,
        "settings.limits.cancel": limits.can_cancel,
        "settings.limits.second_copies": limits.can_hedge,
        "settings.limits.probes": limits.can_check_health,
        "settings.limits.peers": limits.can_message_peers,
        "settings.limits.retry_after": limits.sends_retry_after,
        "settings.limits.max_attempts": limits.max_attempts,
        "settings.limits.max_retry_after": limits.max_retry_after,
        "settings.limits.connect_timeout": c.connect_timeout,
        "settings.limits.idle_close": c.endpoint_idle_close,
        "settings.limits.max_open": c.max_in_flight,
        "settings.rules.answer_slack": rules.answer_slack,
        "settings.rules.drain_grace": rules.drain_grace,
        "settings.rules.start_capacity": rules.slow_start_min_capacity,
        "settings.rules.cold": rules.slow_start_duration,
        "settings.rules.fall_multiple": rules.overload_multiple,
        "settings.rules.tip_after": rules.overload_window,
        "settings.rules.must_ask_in": rules.poll_deadline,
        "settings.prices": s.prices,
        "settings.reporting.names": s.load_report_fields,
        "settings.specifics.shared_counter": s.has_counter,
        "settings.specifics.counter_price": s.counter_price,
        "settings.specifics.counter_timeout": s.counter_timeout,
        "settings.specifics.meter_period": s.meter_period,
        "settings.specifics.settles": s.reports_actual_units,
        "settings.specifics.units_top": s.max_request_units,
    }


def test_every_key_of_a_configuration_is_read():
    told = "".join(f"{path} {json.dumps(value)}\n" for path, value in read_every_key().items())
    compare("config-every-key.txt", told.encode())


class Reads(dict):
    """Notes the names that are asked for."""

    def __init__(self, *args):
        super().__init__(*args)
        self.names = set()

    def get(self, name, default=None):
        self.names.add(name)
        return super().get(name, default)


def test_names_of_the_environment():
    env = Reads({"RELAY_CONFIG": str(GOLDEN / "config.json")})
    read_config(env)
    assert env.names == {
        "RELAY_CONFIG",
        "RELAY_CONTROL",
        "RELAY_DISCOVERY",
        "RELAY_LISTEN",
        "RELAY_NAME",
        "RELAY_SOCKET_FD",
        "TMPDIR",
    }


def test_the_environment_goes_before_the_file(folder):
    with socket.create_server(("127.0.0.1", 0)) as sock:
        sock.set_inheritable(True)
        env = {"RELAY_NAME": "n7", "RELAY_DISCOVERY": "127.0.0.1:3", "RELAY_SOCKET_FD": str(sock.fileno())}
        env["RELAY_LISTEN"] = f"127.0.0.1:{sock.getsockname()[1]}"
        with Gateway(folder, config(), **env) as gateway:
            assert exchange(sock.getsockname()[1], BAD[0]) == b"+PONG\r\n"
            assert gateway.json("GET /config")["config"]["discovery"] == "127.0.0.1:3"
            assert (folder / "n7-config.json").exists() and (folder / "n7-clock.json").exists()


def test_without_a_configuration_it_ends_with_2():
    env = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")} | {"PYTHONPATH": str(ROOT)}
    ended = subprocess.run([sys.executable, "-B", "-m", MODULE], cwd=ROOT, env=env, capture_output=True)
    assert ended.returncode == 2 and ended.stderr.endswith(b": RELAY_CONFIG is not set\n")


def test_the_status_with_an_edge_and_a_cluster(folder):
    port = free_port()
    more = {
        "edge": {"per_source": 101, "turns": True},
        "membership": {"cluster": "c1", "listen": f"127.0.0.1:{port}", "seeds": []},
    }
    with Gateway(folder, config(**more)) as gateway:
        status = gateway.call("GET /status").partition(b"\r\n\r\n")[2]
        members = gateway.call("GET /members").partition(b"\r\n\r\n")[2]
    compare("status-with-edge.json", masked(status))
    members = re.sub(rb'"(for|late|silent|incarnation)": [\d.]+', rb'"\1": <number>', members)
    compare("members.json", masked(members))
