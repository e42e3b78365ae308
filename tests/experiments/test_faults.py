"""Fault injection: lines and links alone, and scenarios with real processes."""

import asyncio
import json
import random
import sys

import pytest
from commands import ROOT, Command
from netkit import on_loop, wait_until

from api_gateway.experiments.faults.lines import NO_IMPAIRMENT, Impairment, Line
from api_gateway.experiments.faults.links import Network, on_loopback, open_port
from api_gateway.experiments.faults.scenario import SCENARIO_FOLDER, ScenarioError, read_scenario

FAULTS_COMMAND = (sys.executable, "-m", "api_gateway.experiments.faults")
VOID = 3
CI_SCENARIOS = ("one-way", "halves", "budgets", "full-disk", "surroundings")


# Lines


@pytest.mark.parametrize("seed", range(6))
def test_a_line_never_reorders_a_stream(seed):
    rng = random.Random(seed)
    line, now, last, cut_count = Line(rng), 0.0, 0.0, 0
    for _ in range(400):
        if rng.random() < 0.1:
            probabilities = [rng.random() * 0.5 for _ in range(5)]
            line.impairment = Impairment(*probabilities, rate=rng.choice((0, 1e4)), cut=rng.random() < 0.2)
        now += rng.random() * 0.1
        due = line.chunk_time(now, rng.randrange(2000))
        if due is None:
            cut_count += 1
            assert line.impairment.cut
            continue
        assert due >= now and due >= last
        last = due
    assert cut_count


@pytest.mark.parametrize(
    "treatment, minimum, maximum",
    [
        (NO_IMPAIRMENT, 5000, 5000),
        (Impairment(drop=0.3), 3300, 3700),
        (Impairment(duplicate=0.2), 5800, 6200),
        (Impairment(cut=True), 0, 0),
        (Impairment(rate=10_000), 59, 61),
    ],
)  # at 10,000 bytes per second, the queue of 1 s holds 100 datagrams of 100 bytes
def test_fraction_of_datagrams_delivered(treatment, minimum, maximum):
    def send_all():
        line = Line(random.Random(1))
        line.impairment = treatment
        return [line.datagram_times(n / 10_000, 100) for n in range(5000)]

    delivered = send_all()
    assert minimum <= sum(len(times) for times in delivered) <= maximum or treatment.rate
    if treatment.rate:  # those sent within 0.5 s, and those in the queue
        assert 100 <= sum(len(times) for times in delivered) <= 160
    assert delivered == send_all()  # the same seed gives the same result


def test_reordered_datagrams_overtake_each_other():
    line = Line(random.Random(2))
    line.impairment = Impairment(delay=0.1, jitter=0.05, reorder=0.2)
    times = [line.datagram_times(n / 1000, 10)[0] for n in range(500)]
    assert (
        any(earlier > later for earlier, later in zip(times, times[1:], strict=False)) and min(times) >= 0.1
    )


# Links


@on_loop
async def test_datagrams_pass_only_between_advertised_addresses_through_their_link():
    network, received = Network(1), {"a": [], "b": []}
    ports = {
        name: await open_port(lambda *datagram, name=name: received[name].append(datagram))
        for name in received
    }
    real = {name: opened.transport.get_extra_info("sockname") for name, opened in ports.items()}
    advertised = await network.datagram_links.open(real)

    async def send(name, data, to, receiver=None):
        ports[name].transport.sendto(data, to)
        await wait_until(lambda: receiver is None or received[receiver] and received[receiver][-1][1] == data)

    await send("a", b"one", advertised["b"], "b")
    exit_address = received["b"][0][0]
    assert exit_address not in (real["a"], advertised["a"])
    await send("b", b"answer", exit_address)
    await wait_until(lambda: network.datagram_links.counts["astray"] == 1)
    network.impair("a", "b", Impairment(cut=True), False, False)
    await send("a", b"two", advertised["b"])
    await send("b", b"three", advertised["a"], "a")  # the other direction is not cut
    await wait_until(lambda: network.counts()["lost"] == 1)
    network.heal()
    await send("a", b"four", advertised["b"], "b")
    assert [data for _, data in received["b"]] == [b"one", b"four"]
    stranger = await open_port(lambda *_: None)
    stranger.transport.sendto(b"x", advertised["a"])
    await wait_until(lambda: network.datagram_links.counts["strangers"] == 1)
    await network.close()


class Echo:
    """An echo server behind a link, and a client connected through it."""

    async def __aenter__(self):
        self.network, self.connections = Network(1), 0
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        address = await self.network.add_stream_link("a", "b", self.server.sockets[0].getsockname())
        self.address = address.split(":")
        self.reader, self.writer = await asyncio.open_connection(*self.address)
        return self

    async def serve(self, reader, writer):
        self.connections += 1
        while data := await reader.read(65536):
            writer.write(data)
        writer.close()

    async def exchange(self, data):
        self.writer.write(data)
        return await self.reader.readexactly(len(data))

    def impair(self, sender, to, half_open=False, resets=False, **impairment):
        self.network.impair(sender, to, Impairment(**impairment), half_open, resets)

    async def __aexit__(self, *_):
        self.writer.close()
        self.server.close()
        await self.network.close()


@on_loop
async def test_a_stream_cut_in_one_direction_resumes_without_loss():
    async with Echo() as echo:
        assert await echo.exchange(b"one") == b"one"
        echo.impair("b", "a", cut=True)
        echo.writer.write(b"two")
        await wait_until(lambda: echo.network.one_way_link("a", "b").line.counts["passed"] >= 2)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.2):
                await echo.reader.read(1)
        echo.network.heal()
        assert await echo.reader.readexactly(3) == b"two"
        echo.impair("a", "b", drop=0.3, delay=0.01, jitter=0.01, rate=1e6)
        big = random.Random(1).randbytes(200_000)
        assert await echo.exchange(big) == big
        echo.writer.write_eof()
        assert await echo.reader.read() == b""


@on_loop
async def test_half_open_and_reset_connections():
    async with Echo() as echo:
        assert await echo.exchange(b"one") == b"one"
        echo.impair("a", "b", half_open=True)
        reader, writer = await asyncio.open_connection(*echo.address)
        writer.write(b"two")
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.2):
                await reader.read(1)
        assert echo.connections == 1
        echo.impair("a", "b", resets=True)
        for stream in (reader, echo.reader):
            with pytest.raises(ConnectionResetError):
                await stream.read()
        with pytest.raises(ConnectionResetError):
            reader, _ = await asyncio.open_connection(*echo.address)
            await reader.read()
        echo.network.heal()
        echo.reader, echo.writer = await asyncio.open_connection(*echo.address)
        assert await echo.exchange(b"three") == b"three"


@pytest.mark.parametrize("place", [("192.0.2.1", 1), ("10.0.0.1", 80), ("::2", 1)])
def test_addresses_off_loopback_are_rejected(place):
    with pytest.raises(ValueError, match="not on loopback"):
        on_loopback(place)


# Scenarios


@pytest.mark.parametrize("name", sorted(path.stem for path in SCENARIO_FOLDER.glob("*.toml")))
def test_shipped_scenarios_can_be_read(name):
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
def test_an_invalid_scenario_is_reported_in_one_line(text, why, tmp_path):
    path = tmp_path / "odd.toml"
    path.write_text(text)
    with pytest.raises(ScenarioError) as err:
        read_scenario(str(path))
    assert why in str(err.value) and "\n" not in str(err.value)


def start_scenario(name, events, env=None):
    return Command(name, "--events", str(events), program=FAULTS_COMMAND, env=env)


@pytest.fixture(scope="module")
def started(tmp_path_factory):
    """Start all scenarios at once, because they mostly wait."""
    folder = tmp_path_factory.mktemp("faults")
    return {name: (start_scenario(name, folder / name), folder / name) for name in CI_SCENARIOS}


def play_until_conclusive(name, tmp_path, first=None, env=None):
    """Return exit code, events and errors. A void run, on a machine that was late, is repeated."""
    for attempt in range(3):
        command, events = first or (
            start_scenario(name, tmp_path / f"{attempt}", env),
            tmp_path / f"{attempt}",
        )
        first = None
        status, output, err = command.result(180)
        assert not command.running_processes()
        if status != VOID:
            assert not events.exists() or events.read_text() == output
            return status, [json.loads(line) for line in output.splitlines()], err
    pytest.skip("this machine was late three times")


@pytest.mark.parametrize("name", CI_SCENARIOS)
def test_the_processes_bear_the_faults_of(name, tmp_path, started):
    status, events, err = play_until_conclusive(name, tmp_path, started[name])
    assert (status, events[-1]["verdict"], err) == (0, "kept", ""), events[-1]


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
    command = Command(str(path), program=FAULTS_COMMAND)
    ended, output, err = command.result()
    assert ended == status and why in output + err and not command.running_processes()


def test_all_processes_end_with_the_driver(tmp_path):
    path = tmp_path / "long.toml"
    path.write_text(SMALL.format(late=9.0, check="{ that = 'runs', of = ['holder-0'] }", seconds=600))
    for end in ("kill", "terminate"):
        command = Command(str(path), program=FAULTS_COMMAND, scratch=tmp_path)
        command.wait_until(
            lambda command=command: any("holder-0" in line for line in command.running_processes().values())
        )
        getattr(command.process, end)()
        command.result()
        command.wait_until(lambda command=command: not command.running_processes(), 10)


GRANTOR_WITHOUT_RESERVE = """
import api_gateway.budgets.settings as settings
settings.BudgetSettings.divisible_amount = lambda self, budget: float(budget.total)
"""


def test_a_grantor_without_a_reserve_is_detected(tmp_path):
    """With this planted bug, the grants and the parts of the reserve add up to more than the total."""
    (tmp_path / "sitecustomize.py").write_text(GRANTOR_WITHOUT_RESERVE)
    status, events, _ = play_until_conclusive("budgets", tmp_path, env={"PYTHONPATH": f"{tmp_path}:{ROOT}"})
    assert status == 1 and "meter reports breaches" in events[-1]["why"]
