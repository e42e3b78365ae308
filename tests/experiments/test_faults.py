"""The kit of faults: lines and links by themselves, and scenarios with real processes."""

import asyncio
import json
import random
import sys

import pytest
from commands import ROOT, Command
from netkit import on_loop, wait_until

from api_gateway.experiments.faults.lines import PASS, Line, Treatment
from api_gateway.experiments.faults.links import Network, on_loopback, port
from api_gateway.experiments.faults.scenario import SHIPPED, ScenarioError, read_scenario

KIT = (sys.executable, "-m", "api_gateway.experiments.faults")
VOID = 3
IN_CI = ("one-way", "halves", "budgets", "full-disk", "surroundings")


# Lines


@pytest.mark.parametrize("seed", range(6))
def test_a_stream_keeps_its_order_whatever_befalls_it(seed):
    rng = random.Random(seed)
    line, now, last, held = Line(rng), 0.0, 0.0, 0
    for _ in range(400):
        if rng.random() < 0.1:
            shares = [rng.random() * 0.5 for _ in range(5)]
            line.treatment = Treatment(*shares, rate=rng.choice((0, 1e4)), cut=rng.random() < 0.2)
        now += rng.random() * 0.1
        due = line.piece(now, rng.randrange(2000))
        if due is None:
            held += 1
            assert line.treatment.cut
            continue
        assert due >= now and due >= last
        last = due
    assert held


@pytest.mark.parametrize(
    "treatment, least, most",
    [
        (PASS, 5000, 5000),
        (Treatment(drop=0.3), 3300, 3700),
        (Treatment(double=0.2), 5800, 6200),
        (Treatment(cut=True), 0, 0),
        (Treatment(rate=10_000), 59, 61),
    ],
)  # 1 s of 100 bytes waits beside the first
def test_shares_of_datagrams(treatment, least, most):
    def play():
        line = Line(random.Random(1))
        line.treatment = treatment
        return [line.datagram(n / 10_000, 100) for n in range(5000)]

    came = play()
    assert least <= sum(len(times) for times in came) <= most or treatment.rate
    if treatment.rate:  # as many as pass in 0.5 s, and those that wait
        assert 100 <= sum(len(times) for times in came) <= 160
    assert came == play()  # of one seed


def test_datagrams_overtake_each_other():
    line = Line(random.Random(2))
    line.treatment = Treatment(delay=0.1, jitter=0.05, reorder=0.2)
    times = [line.datagram(n / 1000, 10)[0] for n in range(500)]
    assert any(a > b for a, b in zip(times, times[1:], strict=False)) and min(times) >= 0.1


# Links


@on_loop
async def test_datagrams_go_by_their_link_and_answers_only_to_addresses_that_were_told():
    network, heard = Network(1), {"a": [], "b": []}
    ports = {name: await port(lambda *told, name=name: heard[name].append(told)) for name in heard}
    real = {name: made.transport.get_extra_info("sockname") for name, made in ports.items()}
    told = await network.datagrams.open(real)

    async def send(name, data, to, reaches=None):
        ports[name].transport.sendto(data, to)
        await wait_until(lambda: reaches is None or heard[reaches] and heard[reaches][-1][1] == data)

    await send("a", b"one", told["b"], "b")
    seems = heard["b"][0][0]
    assert seems not in (real["a"], told["a"])
    await send("b", b"answer", seems)
    await wait_until(lambda: network.datagrams.counts["astray"] == 1)
    network.treat("a", "b", Treatment(cut=True), False, False)
    await send("a", b"two", told["b"])
    await send("b", b"three", told["a"], "a")  # the other way is whole
    await wait_until(lambda: network.counts()["lost"] == 1)
    network.heal()
    await send("a", b"four", told["b"], "b")
    assert [data for _, data in heard["b"]] == [b"one", b"four"]
    stranger = await port(lambda *_: None)
    stranger.transport.sendto(b"x", told["a"])
    await wait_until(lambda: network.datagrams.counts["strangers"] == 1)
    await network.close()


class Echo:
    """A server beyond a link, and a client on this side."""

    async def __aenter__(self):
        self.network, self.connections = Network(1), 0
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        place = await self.network.stream("a", "b", self.server.sockets[0].getsockname())
        self.place = place.split(":")
        self.reader, self.writer = await asyncio.open_connection(*self.place)
        return self

    async def serve(self, reader, writer):
        self.connections += 1
        while data := await reader.read(65536):
            writer.write(data)
        writer.close()

    async def ask(self, data):
        self.writer.write(data)
        return await self.reader.readexactly(len(data))

    def treat(self, sender, to, half_open=False, resets=False, **more):
        self.network.treat(sender, to, Treatment(**more), half_open, resets)

    async def __aexit__(self, *_):
        self.writer.close()
        self.server.close()
        await self.network.close()


@on_loop
async def test_a_stream_that_is_cut_one_way_loses_nothing_and_goes_on():
    async with Echo() as echo:
        assert await echo.ask(b"one") == b"one"
        echo.treat("b", "a", cut=True)
        echo.writer.write(b"two")
        await wait_until(lambda: echo.network.way("a", "b").line.counts["passed"] >= 2)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.2):
                await echo.reader.read(1)
        echo.network.heal()
        assert await echo.reader.readexactly(3) == b"two"
        echo.treat("a", "b", drop=0.3, delay=0.01, jitter=0.01, rate=1e6)
        big = random.Random(1).randbytes(200_000)
        assert await echo.ask(big) == big
        echo.writer.write_eof()
        assert await echo.reader.read() == b""


@on_loop
async def test_half_open_and_reset_connections():
    async with Echo() as echo:
        assert await echo.ask(b"one") == b"one"
        echo.treat("a", "b", half_open=True)
        reader, writer = await asyncio.open_connection(*echo.place)
        writer.write(b"two")
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.2):
                await reader.read(1)
        assert echo.connections == 1
        echo.treat("a", "b", resets=True)
        for stream in (reader, echo.reader):
            with pytest.raises(ConnectionResetError):
                await stream.read()
        with pytest.raises(ConnectionResetError):
            reader, _ = await asyncio.open_connection(*echo.place)
            await reader.read()
        echo.network.heal()
        echo.reader, echo.writer = await asyncio.open_connection(*echo.place)
        assert await echo.ask(b"three") == b"three"


@pytest.mark.parametrize("place", [("192.0.2.1", 1), ("10.0.0.1", 80), ("::2", 1)])
def test_no_other_machine_is_sent_to(place):
    with pytest.raises(ValueError, match="not on loopback"):
        on_loopback(place)


# Scenarios


@pytest.mark.parametrize("name", sorted(path.stem for path in SHIPPED.glob("*.toml")))
def test_what_comes_with_the_program_can_be_read(name):
    assert read_scenario(name).about


@pytest.mark.parametrize(
    "text, why",
    [
        ("", "world"),
        ("[world]\n", "step"),
        ("[world]\ngateways = -1\n[[step]]\ndo = 'wait'", "gateways"),
        ("[world]\n[[step]]\ndo = 'dance'", "dance"),
        ("[world]\n[[step]]\ndo = 'kill'", "of"),
        ("[world]\n[[step]]\ndo = 'link'\nfrom = ['a']\nto = ['b']\ndrop = 2.0", "drop"),
        ("[world]\n[[step]]\ndo = 'wait'\nlong = 5", "long"),
        ("[world", "Expected"),
        ("[world]\n[[step]]\ndo = 'storm'\nof = ['a']\nkinds = ['rain']", "rain"),
    ],
)
def test_a_scenario_that_cannot_be_played_is_told_in_one_line(text, why, tmp_path):
    path = tmp_path / "odd.toml"
    path.write_text(text)
    with pytest.raises(ScenarioError) as err:
        read_scenario(str(path))
    assert why in str(err.value) and "\n" not in str(err.value)


def begin(name, events, env=None):
    return Command(name, "--events", str(events), program=KIT, env=env)


@pytest.fixture(scope="module")
def begun(tmp_path_factory):
    """All of them at once: what they do most is wait."""
    folder = tmp_path_factory.mktemp("faults")
    return {name: (begin(name, folder / name), folder / name) for name in IN_CI}


def played(name, tmp_path, first=None, env=None):
    """Exit code, and what was told. A run on a machine that was late says nothing, so it is played again."""
    for attempt in range(3):
        command, events = first or (begin(name, tmp_path / f"{attempt}", env), tmp_path / f"{attempt}")
        first = None
        status, out, err = command.result(180)
        assert not command.running_processes()
        if status != VOID:
            assert not events.exists() or events.read_text() == out
            return status, [json.loads(line) for line in out.splitlines()], err
    pytest.skip("this machine was late three times")


@pytest.mark.parametrize("name", IN_CI)
def test_the_processes_bear_the_faults_of(name, tmp_path, begun):
    status, told, err = played(name, tmp_path, begun[name])
    assert (status, told[-1]["verdict"], err) == (0, "kept", ""), told[-1]


SMALL = """
late = {late}
[world]
holders = 1
[[step]]
do = "check"
within = 5
check = {check}
[[step]]
do = "wait"
seconds = {seconds}
"""


@pytest.mark.parametrize(
    "late, check, status, why",
    [
        (9.0, "{ that = 'runs', of = ['holder-0'], runs = false }", 1, "holder-0 runs: True"),
        (0.00001, "{ that = 'runs', of = ['holder-0'] }", 3, "this machine was late"),
        (9.0, "{ that = 'runs', of = ['host-7'] }", 2, "no process is named 'host-7'"),
    ],
)
def test_verdicts(late, check, status, why, tmp_path):
    path = tmp_path / "small.toml"
    path.write_text(SMALL.format(late=late, check=check, seconds=1))
    command = Command(str(path), program=KIT)
    ended, out, err = command.result()
    assert ended == status and why in out + err and not command.running_processes()


def test_all_that_was_started_ends_with_the_driver_however_it_ends(tmp_path):
    path = tmp_path / "long.toml"
    path.write_text(SMALL.format(late=9.0, check="{ that = 'runs', of = ['holder-0'] }", seconds=600))
    for end in ("kill", "terminate"):
        command = Command(str(path), program=KIT, scratch=tmp_path)
        command.wait_until(
            lambda command=command: any("holder-0" in line for line in command.running_processes().values())
        )
        getattr(command.process, end)()
        command.result()
        command.wait_until(lambda command=command: not command.running_processes(), 10)


SETS_NOTHING_ASIDE = """
import api_gateway.budgets.settings as settings
settings.BudgetSettings.divisible_amount = lambda self, budget: float(budget.total)
"""


def test_a_grantor_that_sets_no_reserve_aside_is_caught(tmp_path):
    """Planted: the parts that it tells and the shares of the reserve come to more than the whole."""
    (tmp_path / "sitecustomize.py").write_text(SETS_NOTHING_ASIDE)
    status, told, _ = played("budgets", tmp_path, env={"PYTHONPATH": f"{tmp_path}:{ROOT}"})
    assert status == 1 and "meter tells breaches" in told[-1]["why"]
