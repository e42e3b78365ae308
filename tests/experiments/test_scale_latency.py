"""The parts of a request's way: they sum to its whole, and what is slow in one part stands in no other.

Times are counted: a clock that goes on by 1 with each look and by FAULT where a fault is planted."""

import asyncio
import itertools
import json
from pathlib import Path

import pytest
import uvloop
from netkit import (
    SERVED,
    SETTINGS,
    VALUE,
    Node,
    StubHost,
    command,
    on_loop,
    terms,
    wait_until,
    wait_until_settled,
)

from api_gateway import interface as api
from api_gateway.downstream import fair_queueing
from api_gateway.experiments.scale import latency, page, stamped, timed
from api_gateway.experiments.scale.latency import PLAN, Asked, Load, by_part, disturbed, joined
from api_gateway.gateway import in_flight
from api_gateway.policy import DecisionEngine
from api_gateway.supervisor.sample_deployment import CLASSES
from api_gateway.upstream import connection
from api_gateway.upstream.pool import Pool

FAULT = 1_000_000
PATIENCE = 30  # s


class Counted:
    """A clock for stamps."""

    def __init__(self):
        self.now = 0

    def __call__(self):
        self.now += 1
        return float(self.now)

    def fault(self):
        self.now += FAULT


@pytest.fixture
def clock(monkeypatch):
    made = Counted()
    monkeypatch.setattr(stamped, "monotonic", made)
    return made


def slow(monkeypatch, clock, owner, name, when=lambda *args: True):
    """Has a function of the program take FAULT longer before it does its work."""
    act = getattr(owner, name)

    def wrapped(*args, **more):
        if when(*args):
            clock.fault()
        return act(*args, **more)

    monkeypatch.setattr(owner, name, wrapped)


def asked_for(*args):
    return isinstance(args[-1], api.Request)


# Where a fault is planted, and the part that it must show up in
PLANTED = [
    ("read", in_flight.InFlightRequests, "parse", lambda *args: True),
    ("module", DecisionEngine, "handle", asked_for),
    ("send", in_flight.InFlightRequest, "payload", lambda *args: True),
    ("connect", Pool, "open", lambda *args: True),
    ("answer", connection, "read_reply", lambda *args: True),
]


def shown_in(trace, part):
    """The part has all of a fault, and no other has as much as a thousandth of it."""
    others = {name: value for name, value in trace["spent"].items() if name != part}
    assert trace["spent"][part] >= FAULT and max(others.values()) < FAULT / 1000, trace


def quick(trace):
    assert max(trace["spent"].values()) < FAULT / 1000


def summed(trace):
    assert sum(trace["spent"].values()) == trace["ended"] - trace["began"]
    assert min(trace["spent"].values()) >= 0 and set(trace["spent"]) == set(stamped.PARTS)


@pytest.mark.parametrize(("part", "owner", "name", "when"), PLANTED, ids=[row[0] for row in PLANTED])
def test_what_is_slow_in_one_part_shows_up_there_alone(part, owner, name, when, clock, monkeypatch, tmp_path):
    @on_loop
    async def play():
        slow(monkeypatch, clock, owner, name, when)
        with stamped.watching() as stamps:
            async with StubHost() as host, Node(host, path=tmp_path) as gw:
                assert await gw.send_command(command()) == SERVED
                summed(stamps.told_of("r1"))
                shown_in(stamps.told_of("r1"), part)

    play()


@pytest.mark.parametrize("edge", [{}, {"edge": {"connects": 2, "connects_all": 4}}], ids=["plain", "edge"])
def test_a_host_whose_connect_is_slow(edge, clock, monkeypatch, tmp_path):
    @on_loop
    async def play():
        slow(monkeypatch, clock, Pool, "open")
        with stamped.watching() as stamps:
            async with StubHost() as host, Node(host, path=tmp_path, config_overrides=edge) as gw:
                assert await gw.send_command(command()) == SERVED
                shown_in(stamps.told_of("r1"), "connect")
                await wait_until_settled(gw.node.upstream.pools["h1"])
                assert await gw.send_command(command(b"r2")) == SERVED  # which needs no connect
                quick(stamps.told_of("r2"))
                for name in stamps.done:
                    summed(stamps.told_of(name))

    play()


@on_loop
async def test_a_counter_that_is_slow(clock, monkeypatch, tmp_path):
    """Those that waited for it then wait for a host, which is another part."""
    quota = SETTINGS | {
        "group_size": 20,
        "plans": [{"name": "p", "rate": 10.0, "most_at_once": 20.0}],
        "specifics": SETTINGS["specifics"] | {"counter_timeout": 10**10},
    }
    with stamped.watching() as stamps:
        async with StubHost() as host, Node(host, path=tmp_path, settings=quota) as gw:
            gw.counter.silent = True
            asked = [
                asyncio.create_task(
                    gw.send_command(command(b"r%d" % n, terms(spread=20), customer=b"%016x" % n))
                )
                for n in range(40)
            ]
            await wait_until(lambda: len(stamps.done) + len(gw.counter.pending_replies) == 40)
            waits = [name for name, trace in stamps.open.items() if trace.part == "lease"]
            assert waits and len(waits) == len(stamps.open)
            clock.fault()
            gw.counter.silent = False
            with monkeypatch.context() as patched:
                patched.setattr(gw.node.engine.endpoint_pool, "is_at_limit", lambda *args: True)
                gw.counter.send_pending_replies()
                await wait_until(lambda: any(trace.part == "queue" for trace in stamps.open.values()))
            gw.node.dispatcher.dispatch(api.TimerFired(0))
            await asyncio.gather(*asked)
            assert len(stamps.done) == 40
            for name in stamps.done:
                summed(stamps.told_of(name))
                if name in waits:
                    shown_in(stamps.told_of(name), "lease")
                else:
                    quick(stamps.told_of(name))


@on_loop
async def test_a_host_that_is_not_free(clock, monkeypatch, tmp_path):
    with stamped.watching() as stamps:
        async with StubHost() as host, Node(host, path=tmp_path) as gw:
            module = gw.node.engine
            with monkeypatch.context() as patched:
                patched.setattr(module.endpoint_pool, "is_at_limit", lambda *args: True)
                asked = asyncio.create_task(gw.send_command(command()))
                await wait_until(lambda: "r1" in stamps.open and stamps.open["r1"].part == "queue")
                clock.fault()
            gw.node.dispatcher.dispatch(api.TimerFired(0))
            assert await asked == SERVED
            summed(stamps.told_of("r1"))
            shown_in(stamps.told_of("r1"), "queue")


@on_loop
async def test_a_connection_that_has_to_settle(clock, tmp_path):
    with stamped.watching() as stamps:
        async with StubHost() as host, Node(host, path=tmp_path) as gw:
            assert await gw.send_command(command()) == SERVED
            pool = gw.node.upstream.pools["h1"]
            # Its answers take long, so the next one waits for it.
            pool.typical_response_time, pool.settle_time = 1e5, 3600.0
            asked = asyncio.create_task(gw.send_command(command(b"r2")))
            await wait_until(lambda: pool.settling)
            assert stamps.open["r2"].part == "settle"
            clock.fault()
            pool.on_settled(*pool.settling)
            assert await asked == SERVED
            summed(stamps.told_of("r2"))
            shown_in(stamps.told_of("r2"), "settle")


@on_loop
async def test_hosts_that_are_slow_or_fail(clock, tmp_path):
    answers = itertools.chain([b"-ERR failed\r\n"], itertools.repeat(VALUE))

    def answer():
        clock.fault()
        return next(answers)

    with stamped.watching() as stamps:
        async with StubHost(answer) as one, StubHost(answer) as other, Node(one, other, path=tmp_path) as gw:
            gw.node.engine.retry_budget.balance = 2.0
            assert await gw.send_command(command()) == SERVED
            trace = stamps.told_of("r1")
            summed(trace)
            spent = trace["spent"]
            assert spent.pop("host") >= FAULT and spent.pop("again") >= FAULT
            quick(trace)
            assert await gw.send_command(command(b"r2")) == SERVED
            shown_in(stamps.told_of("r2"), "host")


@on_loop
async def test_a_turn_that_comes_late(clock, monkeypatch, tmp_path):
    slow(monkeypatch, clock, fair_queueing.CommandScheduler, "run_batch")
    with stamped.watching() as stamps:
        async with StubHost() as host, Node(host, path=tmp_path, config_overrides={"edge": {}}) as gw:
            assert await gw.send_command(command()) == SERVED
            summed(stamps.told_of("r1"))
            shown_in(stamps.told_of("r1"), "turn")


@on_loop
async def test_parts_sum_to_what_the_client_sees(tmp_path):
    """By real stamps of three processes' sides: client, gateway and host."""
    loop, many = asyncio.get_running_loop(), 50
    server = await loop.create_server(lambda: timed.Line(0.001), "127.0.0.1", 0)
    settings = SETTINGS | {"services": CLASSES, "plans": [PLAN]}
    with stamped.watching() as stamps:
        host = type("Host", (), {"port": server.sockets[0].getsockname()[1]})
        async with Node(host, path=tmp_path, settings=settings) as gw:
            load = Load(f"127.0.0.1:{gw.port}", 1.0, 1)
            for number in range(many):
                load.due(float(number))
                if number % 7 == 0:  # some at once, some on connections that were used
                    await load.none_open.wait()
            await load.none_open.wait()
            for line in load.idle:
                line.transport.close()
    server.close()
    traces = stamps.told()["requests"]
    assert len(load.asked) == len(traces) == many and all(one.served for one in load.asked)
    for asked in load.asked:
        parts = joined(asked, traces[asked.name])
        assert sum(parts.values()) == pytest.approx(asked.whole, abs=1e-7)
        assert min(parts.values()) >= 0 and parts["work"] >= 0
        assert sum(parts.values()) - parts["work"] == pytest.approx(asked.outside, abs=1e-7)


def made_up(name, outside, part):
    """A request that took that long outside of its host, all in one part; and what the gateway stamped."""
    before = outside if part == "arrive" else 0.0
    inside = outside - before
    asked = Asked(name, 10.0, 10.0 + outside + 0.005, 10.0 + outside, 10.0 + outside + 0.005, True)
    spent = dict.fromkeys(stamped.PARTS, 0.0) | {"host": 0.005} | ({part: inside} if inside else {})
    return asked, {
        "began": 10.0 + before,
        "written": 10.0 + outside,
        "heard": 10.0 + outside + 0.005,
        "ended": asked.read,
        "spent": spent,
    }


def test_the_slowest_are_told_by_part():
    rows = [made_up(f"fast-{n}", 0.001, "module") for n in range(198)]
    rows += [made_up("slow-1", 0.040, "connect"), made_up("slow-2", 0.020, "arrive")]
    figures = by_part([asked for asked, _ in rows], {asked.name: trace for asked, trace in rows})
    assert figures["slow_requests"] == 2 and figures["slow_all_ms"] == pytest.approx(30.0)
    assert figures["slow_connect_ms"] == figures["slow_connection_ms"] == pytest.approx(20.0)
    assert figures["slow_arrive_ms"] == figures["slow_loop_ms"] == pytest.approx(10.0)
    assert figures["slow_module_ms"] == pytest.approx(0.0)
    assert figures["part_module_p99_ms"] == pytest.approx(1.0, rel=0.01)
    whole = {name for _, names in latency.GROUPS.items() for name in names}
    parts = [name for name in (*latency.GROUPS, *stamped.PARTS) if name not in whole and name != "host"]
    assert sum(figures[f"slow_{name}_ms"] for name in parts) == pytest.approx(figures["slow_all_ms"])
    assert sum(figures[f"mean_{name}_ms"] for name in parts) == pytest.approx(figures["mean_all_ms"])


def test_a_disturbed_point_is_told_by_the_relay_and_the_load_alone():
    sound = {
        "relay_outside_p99_ms": 1.2,
        "load_late_p99_ms": 0.3,
        "relay_not_served": 0.0,
        "gateway_outside_p99_ms": 500.0,
        "gateway_not_served": 0.5,
    }
    assert disturbed(sound) == []
    for name, value in (("relay_outside_p99_ms", 1.3), ("load_late_p99_ms", 1.3), ("relay_not_served", 0.01)):
        (why,) = disturbed(sound | {name: value})
        assert why.startswith("disturbed: ")


def test_a_small_play(monkeypatch):
    """Through real processes; what it counts, and none of its times."""
    monkeypatch.setattr(latency, "WARM", 0.2)
    monkeypatch.setattr(latency, "WARM_RELAY", 0.2)

    async def play():
        async with asyncio.timeout(PATIENCE):
            return await latency.added(30, 20, 40, 0.5, 1)

    figures, _ = uvloop.run(play())
    assert figures["relay_not_served"] == 0
    assert figures["gateway_not_served"] < 1 and figures["stamped_not_served"] < 1
    parts = [name for name in stamped.PARTS if name != "host"]
    parts += ["arrive", "to_host", "from_host", "back"]
    assert sum(figures[f"mean_{name}_ms"] for name in parts) == pytest.approx(figures["mean_all_ms"])
    assert figures["mean_lease_ms"] == 0  # by the plan that it has


def stored(folder, name, variant, points):
    """A run of made-up figures, the same in each of three repeats."""
    made = {
        "schema": 1,
        "name": name,
        "role": "gateway",
        "axis": "requests",
        "variant": variant,
        "build": "abcdef012345",
        "seed": 1,
        "held": {},
        "yardstick_ms": 21.0,
        "machine": {"cpus": 8, "model": "made up", "memory_mb": 16000, "python": "3.11.0"},
        "at": "2026-01-01T00:00:00+00:00",
        "points": [
            {"at": at, "repeat": repeat, "figures": figures, "yardstick_ms": 21.0}
            for repeat in range(3)
            for at, figures in points.items()
        ],
    }
    (folder / f"{name}.json").write_text(json.dumps(made))


def test_the_page_tells_the_added_time_by_part(tmp_path):
    """Alone and among the slowest; the turn among clients only by a run that has turns."""
    figures = {
        "added_p99_ms": 2.0,
        "slow_all_ms": 3.0,
        "part_connection_p99_ms": 0.5,
        "slow_connection_ms": 0.25,
        "part_turn_p99_ms": 0.125,
        "slow_turn_ms": 0.0625,
    }
    stored(
        tmp_path,
        "latency-by-requests-view",
        "view of 480",
        {119: figures, 595: {name: 3 * value for name, value in figures.items()}},
    )
    target = Path(page.__file__).with_name("target.toml")

    def cells_of(what):
        text, _ = page.page(target, tmp_path)
        line = next(line for line in text.splitlines() if line.startswith(f"| {what} |"))
        return [cell.strip() for cell in line.strip("|").split("|")][1:6]

    turns = "of it waiting: for its turn among clients"
    assert cells_of("**all that is added**") == [
        "2.00 ms (M)",
        "3.00 ms (M)",
        "6.00 ms (M)",
        "9.00 ms (M)",
        "**1.25 (D)**",
    ]
    assert cells_of("of it waiting: for a connection to its host") == [
        "0.500 ms (M)",
        "0.250 ms (M)",
        "1.50 ms (M)",
        "0.750 ms (M)",
        "0.312 (D)",
    ]
    assert cells_of("of it waiting: for a lease of its quota")[:4] == ["not measured"] * 4
    assert cells_of(turns)[:4] == ["not measured"] * 4
    stored(tmp_path, "latency-by-requests-edge", "edge, view of 480", {119: figures, 595: figures})
    assert cells_of(turns)[:4] == ["0.125 ms (M)", "0.0625 ms (M)"] * 2
    assert cells_of("of it waiting: for a connection to its host")[2] == "1.50 ms (M)"
