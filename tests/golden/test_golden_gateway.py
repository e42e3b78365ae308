"""The stored and wire forms of the gateway process, as bytes that commit 127d781 wrote.

The gateway runs as a process of its own. The tests see its files under $TMPDIR, the answers of its control
address, its calls to discovery, to the counter and to an endpoint, and its answers to clients. What differs
from run to run is substituted in masked(): times, ports, ages, counts of failures, and of an HTTP answer the
date, the server's name and the length, which is compared with the body first. Nothing else is.

Each expected form is literal, here or in a file of tests/golden/gateway/. The times in the golden files were
written by the program, too; the clock file sets the gateway's time near 1700000000.
"""

import contextlib
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

# Names of the program. Everything that a rename may touch stands here.
MODULE = "calicomast.net"
ROOT = Path(__file__).resolve().parents[2]


def read_config(env):
    from calicomast.net.config import read_config

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


def free_port():
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return sock.getsockname()[1]


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
        self.place = "127.0.0.1:%d" % self.server.getsockname()[1]
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
