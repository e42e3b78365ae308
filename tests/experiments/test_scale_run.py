"""The scale run in a small form: what it counts is exact and grows as it should; no figure here is a time."""

import asyncio
import json
import os
import subprocess
import sys
import time
from pathlib import Path

import pytest
import uvloop

from api_gateway.counter_client import CONNECTION_COUNT
from api_gateway.experiments.scale import __main__ as scale_main
from api_gateway.experiments.scale import (
    connects,
    events,
    leases,
    lessees,
    machine,
    processes,
    runs,
    service,
    swarm,
)
from api_gateway.experiments.scale.demand import RATE
from api_gateway.experiments.scale.module import Case, Driver
from api_gateway.experiments.scale.rig import Rig, run_module
from api_gateway.membership.failure_detector import PROBE_INTERVAL_S
from api_gateway.supervisor.errors import StartError

ROOT = Path(__file__).resolve().parents[2]
PATIENCE = 40  # s: far over what any play here needs
PLAYS = 5  # of an event in processes, until its hosts lapse within one look of the service


def scale(*args):
    done = subprocess.run(
        [sys.executable, "-m", "api_gateway.experiments.scale", *args],
        cwd=ROOT,
        text=True,
        capture_output=True,
        timeout=PATIENCE,
    )
    return done.returncode, done.stdout.splitlines(), done.stderr


def played(hosts, gateways, view, folder, real=1):
    """What hollow and real gateways heard of the same changes, and the processes that were started."""

    async def play():
        async with asyncio.timeout(PATIENCE):
            rig = Rig(folder, hosts, more={"view": {"size": view}} if view else {})
            async with service.Play(rig, gateways, view, real) as now:
                await now.start()
                await now.change()
                await asyncio.sleep(service.SETTLE)
                before = await now.news()
                for _ in range(5):
                    await now.change()
                await asyncio.sleep(service.SETTLE)
                numbers = machine.family(os.getpid())[1:]
                return before, await now.news(), numbers, [one["hosts"] for one in await now.lights()]

    return uvloop.run(play())


def heard(before, after):
    return {
        side: [(b[0] - a[0], b[1] - a[1]) for a, b in zip(before[side], after[side], strict=True)]
        for side in after
    }


@pytest.fixture(scope="module")
def whole(tmp_path_factory):
    return played(200, 6, 0, tmp_path_factory.mktemp("whole"))


def test_hollow_gateways_hear_what_a_real_one_does_to_the_byte(whole):
    rows = heard(*whole[:2])
    assert len(rows["real"]) == 1 and len(rows["hollow"]) == 1 and len(rows["light"]) == 4
    (real,) = rows["real"]
    assert real[1] == 5 and real[0] > 0
    assert rows["hollow"] == [real] and rows["light"] == 4 * [real]
    assert whole[3] == 4 * [200]


def test_all_that_a_play_started_ends_with_it(whole):
    numbers = whole[2]
    assert len(numbers) == 5  # list service, counter, a real gateway, a full hollow one, the light ones
    assert not [number for number in numbers if Path(f"/proc/{number}").exists()]


def test_all_that_a_run_started_ends_also_when_it_is_killed(tmp_path):
    run = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "api_gateway.experiments.scale",
            "service-by-gateways",
            "--sizes",
            "10",
            "--out",
            str(tmp_path),
        ],
        cwd=ROOT,
        stdout=subprocess.DEVNULL,
    )
    numbers, end = [], time.monotonic() + PATIENCE
    while len(numbers) < 6 and time.monotonic() < end:
        numbers = machine.family(run.pid)[1:]
        time.sleep(0.05)
    run.kill()
    run.wait()
    while time.monotonic() < end and (left := [n for n in numbers if lives(n)]):
        time.sleep(0.05)
    assert len(numbers) >= 6 and not left


def lives(number):
    try:
        return Path(f"/proc/{number}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except (FileNotFoundError, ProcessLookupError):
        return False


def test_hollow_gateways_with_views_hear_what_a_real_one_does(tmp_path):
    """Each with the one that has its number, and so its view."""
    rows = heard(*(told := played(200, 7, 60, tmp_path, real=2))[:2])
    assert rows["hollow"] == rows["real"] and rows["light"][:2] == rows["real"] and len(rows["light"]) == 3
    assert 60 <= max(told[3]) < 200


def counted(**case):
    """What a module was asked and sent out in four seconds of its own."""
    driver = Driver(Case(**case))
    driver.begin()
    driver.steps(4.0)
    return {
        "asked": len(driver.spent["request"]),
        "sends": driver.sent,
        "counts": driver.counts,
        "known": len(driver.gateway.endpoint_pool.endpoints),
    }


def test_counted_work_of_the_module_grows_as_it_should():
    small, large = counted(hosts=100), counted(hosts=400)
    assert large["known"] == 4 * small["known"] and large["asked"] == small["asked"]
    assert small["sends"] > 0.9 * small["asked"] and 0.9 < large["sends"] / small["sends"] < 1.1
    assert 0.9 < large["counts"] / small["counts"] < 1.1
    # Customers beyond their quota share it out by leases: more requests of theirs hardly ask for more.
    few, many = counted(hosts=100, customers=20, rate=60.0), counted(hosts=100, customers=20, rate=480.0)
    assert many["asked"] > 7 * few["asked"] and many["counts"] < 2 * few["counts"]


def event(name, **case):
    return asyncio.run(events.play(events.Case(name, **case)))


def test_what_an_event_tells_grows_with_the_gateways_alone_where_lists_are_whole():
    few, many = (event("rack", gateways=count, hosts=600, rack=5, view=0) for count in (10, 20))
    # Five drain at one moment and are removed at one: two answers, of five entries each.
    assert few["messages_a_gateway"] == many["messages_a_gateway"] == 2
    assert few["entries_a_gateway"] == many["entries_a_gateway"] == 10
    assert few["bytes_a_gateway"] == many["bytes_a_gateway"]
    assert many["bytes"] == 2 * few["bytes"]


def test_by_views_an_event_is_told_to_those_it_concerns():
    whole, part = (event("zone", gateways=24, hosts=600, view=view) for view in (0, 60))
    assert whole["entries_a_gateway"] == 200  # a hundred drain and are removed
    assert part["bytes"] < whole["bytes"] / 3
    small, large = (event("rollout", gateways=24, hosts=hosts, view=60) for hosts in (600, 1200))
    assert 1.6 < small["entries_a_gateway"] / large["entries_a_gateway"] < 2.4
    all_at_once = event("everything", gateways=24, hosts=600, view=60)
    assert all_at_once["messages_a_gateway"] == 1 and all_at_once["entries_a_gateway"] == 60


def test_a_region_that_is_cut_off_goes_in_two_spans_of_the_guard_and_comes_back_whole():
    cut = [event("apart", gateways=24, hosts=hosts, view=0, seconds=120.0) for hosts in (600, 1200)]
    for told, hosts in zip(cut, (600, 1200), strict=True):
        # Three tenths of all drain, the rest of the half in the next span; each part is removed later.
        assert told["messages_a_gateway"] == told["messages_a_gateway_most"] == 4
        assert told["entries_a_gateway"] == hosts and told["messages"] == 4 * 12
        assert told["hosts_up"] == hosts / 2 and told["hosts_held"] == told["refused"] == 0
    assert 1.98 < cut[1]["bytes"] / cut[0]["bytes"] < 2.02
    short = event("apart", gateways=24, hosts=600, view=0, seconds=40.0)
    assert short["entries_a_gateway"] == 360 and short["hosts_up"] == 420 and short["hosts_held"] == 120
    whole, part = (event("healed", gateways=24, hosts=600, view=view, apart=120.0) for view in (0, 60))
    assert whole["hosts_up"] == 600 and whole["entries_a_gateway"] >= 300
    assert part["bytes"] < whole["bytes"] / 3


def test_where_a_copy_of_the_list_service_is_lost_each_gateway_gets_its_list_whole_once():
    for name in ("lost", "back"):
        for view in (0, 60):
            told = event(name, gateways=24, hosts=600, view=view)
            assert told["messages_a_gateway"] == told["messages_a_gateway_most"] == 1
            assert told["entries_a_gateway"] == (view or 600)
    few, many = (event("back", gateways=count, hosts=60, view=0) for count in (100, 400))
    # Half a minute without an answer: pauses are no longer than the time in which a change has to be told.
    assert 3.5 < many["refused"] / few["refused"] < 4.5 and many["refused"] >= 400 * 29 / 5.5
    assert event("lost", gateways=20, hosts=60, view=0)["refused"] == 0


@pytest.mark.parametrize("view", [0, 60])
def test_an_event_in_processes_tells_what_the_same_in_virtual_time_does(view):
    """To the byte. Lapses of one moment may fall into two looks of the service, the more so on a busy
    machine: then there are up to two answers for one, and of a view hosts that came in between; that is
    played anew."""
    for _ in range(PLAYS):
        _, compared = uvloop.run(processes.rack(4, 150, view, 1.0))
        entries, answers, size = (
            compared[name] for name in ("entries_a_gateway", "messages_a_gateway", "bytes_a_gateway")
        )
        assert answers.hollow <= answers.real <= 2 * answers.hollow
        assert entries.real >= entries.hollow > 0 and (view or entries.real == 40)
        if not answers.off:
            break
    assert entries.off == size.off == answers.off == 0.0


def test_each_gateway_calls_the_counter_for_leases_through_its_own_client():
    def play(gateways):
        return uvloop.run(leases.leased(gateways * RATE, 0.5))

    told = play(2)
    calls = lessees.asked(0)
    assert calls == lessees.asked(0) and all(0 <= at <= lessees.ROUND + 1 for at, *_ in calls)
    assert told["connections"] == 2 * CONNECTION_COUNT and told["messages_s"] > 0
    assert told["failures"] == 0 and told["bytes_in_s"] > told["bytes_out_s"] > 0


def test_connects_come_from_what_is_out_at_once_and_not_from_requests_or_hosts():
    def of(hosts, rate):
        return connects.connects(Case(hosts=hosts, gateways=3, customers=20, rate=rate))

    usual, faster, larger = of(40, 20.0), of(40, 80.0), of(80, 20.0)
    assert 1 <= faster["connects_start"] / usual["connects_start"] < 4
    assert 0.5 < larger["connections"] / usual["connections"] < 2
    # Kept connections are used: in ten seconds there are many more requests than connects.
    assert usual["connects_s"] < 20.0 / 10 and usual["connects_start"] < 10 * 20.0 / 10
    assert usual["hosts_used"] <= usual["connections"]
    assert usual["probes_s_most"] == faster["probes_s_most"] == 0  # the module asks for none


def test_a_connection_that_has_not_settled_or_rested_too_long_is_not_taken():
    driver = connects.Connecting(Case(hosts=1, gateways=1))
    for rested, taken in (
        (connects.SETTLE_TIME_S / 2, False),
        (connects.SETTLE_TIME_S * 2, True),
        (connects.IDLE_TIME - 1, True),
        (connects.IDLE_TIME + 1, False),
    ):
        driver.idle["h"], driver.open["h"] = [driver.now - rested], 1
        before = driver.connects.total()
        driver.take("h")
        assert (driver.connects.total() == before) == taken, rested
    assert driver.open["h"] == 1 and not driver.idle["h"]  # the old one is closed, and a new one there


def test_a_cluster_at_rest_costs_each_member_probes_acks_and_a_bounded_exchange():
    few, many = swarm.members(8), swarm.members(32)
    probes = 2 / PROBE_INTERVAL_S  # a probe and an ack in each period
    for told in (few, many):
        assert probes < told["messages_s"] < 1.4 * probes and told["bytes_in_s"] == told["bytes_out_s"]
        assert 0 < told["start_known_s"] <= told["start_rest_s"]
    assert many["bytes_out_s"] / few["bytes_out_s"] < 4
    assert 4 < many["start_bytes_out"] / few["start_bytes_out"] < 32
    assert swarm.members(8) == few


def test_a_rush_of_customers_asks_the_counter_by_their_number():
    few, many = lessees.rush(20), lessees.rush(80)
    assert few["accounts_new"] == 20 and many["accounts_new"] == 80
    assert few["calls_s"] == many["calls_s"] and few["calls_s_most"] < many["calls_s_most"]
    assert 0.5 < many["calls_a_new_customer"] / lessees.rush(160)["calls_a_new_customer"] < 2


def test_a_run_of_which_every_size_is_refused_says_so(monkeypatch, tmp_path, capsys):
    monkeypatch.setattr(sys, "argv", ["scale", "configuration-by-plans", "--out", str(tmp_path)])
    monkeypatch.setitem(scale_main.RUNS, "configuration-by-plans", lambda args: iter(()))
    assert scale_main.main() == 1
    assert capsys.readouterr().out.splitlines() == ["refused: no size could be played"]


def test_a_run_past_the_bounds_is_refused_before_anything_starts(tmp_path):
    status, lines, _ = scale(
        "service-by-hosts", "--sizes", "56000", "--held", "gateways=4200", "--out", str(tmp_path)
    )
    assert status == 1 and len(lines) == 1 and lines[0].startswith("refused: about ")
    assert "MB of memory are needed, 12000 are the most" in lines[0]
    assert not list(tmp_path.iterdir())
    for estimate in (
        machine.Estimate(1.0, machine.MOST_PROCESSES + 1, 1.0),
        machine.Estimate(1.0, 1, machine.MOST_SECONDS + 1),
    ):
        with pytest.raises(machine.OutOfBounds):
            estimate.check()
    machine.Estimate(machine.MOST_MB, machine.MOST_PROCESSES, machine.MOST_SECONDS).check()


def test_a_play_is_ended_where_it_leaves_its_bounds(monkeypatch):
    ended = []

    async def play(seconds):
        try:
            await asyncio.sleep(seconds)
            return "done"
        finally:
            ended.append(seconds)

    monkeypatch.setattr(machine, "LOOK", 0.05)
    assert uvloop.run(machine.bounded(play(0.1))) == "done"
    monkeypatch.setattr(machine, "MOST_SECONDS", 0.2)
    with pytest.raises(machine.OutOfBounds):
        uvloop.run(machine.bounded(play(PATIENCE)))
    assert ended == [0.1, PATIENCE]


def test_what_a_run_takes_is_looked_at_while_it_goes(monkeypatch):
    machine.within_bounds(began := time.monotonic())
    for name in ("MOST_MB", "MOST_PROCESSES", "MOST_SECONDS"):
        with monkeypatch.context() as context, pytest.raises(machine.OutOfBounds):
            context.setattr(machine, name, 0)
            machine.within_bounds(began - 1.0)


@pytest.mark.parametrize(
    "args",
    [
        ["nonsense"],
        [],
        ["module-by-hosts", "--sizes", "many"],
        ["module-by-hosts", "--held", "hosts"],
        ["module-by-hosts", "--held", "moons=3"],
    ],
)
def test_a_wrong_argument_is_status_2(args, tmp_path):
    status, lines, err = scale(*args, *(["--out", str(tmp_path)] if args else []))
    assert status == 2 and not lines and "error: " in err.splitlines()[-1]


def test_a_run_is_stored_in_pieces_and_says_where_it_comes_from(tmp_path):
    for sizes, repeat in ((["20", "40"], "0"), (["40"], "1")):
        status, lines, err = scale(
            "module-by-hosts",
            "--sizes",
            *sizes,
            "--repeats",
            repeat,
            "--seconds",
            "0.3",
            "--out",
            str(tmp_path),
        )
        assert status == 0, err
    assert len(lines) == 2 and lines[-1].startswith("module-by-hosts.json: 3 points")
    told = json.loads((tmp_path / "module-by-hosts.json").read_text())
    at = [(point["at"], point["repeat"]) for point in told["points"]]
    assert at == [(20, 0), (40, 0), (40, 1)]
    assert told["not_run"] == ["only 1 of 3 repeats at 20", "only 2 of 3 repeats at 40"]
    assert told["schema"] == 1 and told["axis"] == "hosts" and "hosts" not in told["held"]
    assert told["yardstick_ms"] > 0 and told["machine"]["cpus"] == os.cpu_count()
    assert len(told["build"].removesuffix("-dirty")) == 12
    assert str(ROOT) not in json.dumps(told) and os.uname().nodename not in json.dumps(told)
    assert told["points"][0]["figures"]["known"] == 20
    assert runs.load(tmp_path / "module-by-hosts.json").points[2].figures["known"] == 40


def test_a_file_that_is_no_run_is_refused(tmp_path):
    path = tmp_path / "x.json"
    path.write_text('{"schema": 1, "name": "x"}')
    with pytest.raises(ValueError):
        runs.load(path)


def test_how_far_hollow_ones_are_off_is_a_share_and_the_worst_counts():
    assert runs.off(2.0, 2.3) == pytest.approx(0.15) and runs.off(0.0, 0.0) == 0.0
    assert runs.off(0.0, 1.0) == 1.0
    near, far = runs.Off(2.0, 2.1, 0.05), runs.Off(2.0, 3.0, 0.5)
    assert runs.worst({"a": far}, {"a": near, "b": near}) == {"a": far, "b": near}
    rows = {"real": [(100, 1)], "hollow": [(100, 1)], "light": [(101, 1)]}
    assert service.compare(rows)["bytes_in_a_change"].off == pytest.approx(0.01)
    assert service.compare(rows)["messages_a_change"].off == 0.0
    # By pairs: each is told of other changes, and one that is disturbed doesn't count.
    sides = {"real": [100.0, 400.0, 200.0], "hollow": [104.0, 900.0, 206.0]}
    assert service.by_pair(sides, 100.0, "") == runs.Off(1.0, 1.04, pytest.approx(0.04))
    sides = {"real": [100.0, 400.0, 200.0], "hollow": [120.0, 480.0, 206.0]}
    assert service.by_pair(sides, 1.0, "").off == pytest.approx(0.2)


def test_real_gateways_start_as_the_deploy_file_says():
    assert run_module() == "api_gateway.gateway"


def test_a_real_gateway_is_of_the_build_that_is_measured(tmp_path):
    tree, folder = tmp_path / "tree", tmp_path / "folder"
    for place in (tree / "deploy", tree / "api_gateway" / "other", folder):
        place.mkdir(parents=True)
    (tree / "deploy" / "balancer.toml").write_text('run = "exec .venv/bin/python -B -m api_gateway.other"\n')
    (tree / "api_gateway" / "__init__.py").touch()
    (tree / "api_gateway" / "other" / "__main__.py").write_text(
        "import api_gateway\nraise SystemExit(f'of {api_gateway.__file__}')\n"
    )

    async def play():
        async with asyncio.timeout(PATIENCE), Rig(folder, 200, tree=tree) as rig:
            await rig.start(0)

    with pytest.raises(StartError, match=f"of {tree}"):
        uvloop.run(play())
