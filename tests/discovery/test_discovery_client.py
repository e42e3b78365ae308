"""Lists of hosts: changes, drains, malformed answers."""

import asyncio
import json
import random

import pytest
from netkit import SERVED, SETTINGS, Node, StubDiscovery, StubHost, command, entry, on_loop, wait_until

from api_gateway import interface as api
from api_gateway.base.endpoint_list import read_list
from api_gateway.discovery import client as discovery
from api_gateway.discovery import polling
from api_gateway.discovery.polling import Backoff
from api_gateway.discovery.replicas import Replicas
from api_gateway.downstream import client_server


@on_loop
async def test_a_drained_host_gets_nothing_new_nor_what_waits_for_a_connection(tmp_path):
    async with StubHost() as one, StubHost() as two, Node(one, two, path=tmp_path) as node:
        for n in range(4):
            await node.send_command(command(b"a%d" % n))
        await node.discovery.call()
        node.discovery.change([entry(one, "h1", "draining")])
        while (await node.discovery.call()).get("index") != "2":
            pass  # the watch that follows the change: it has been told
        before = len(one.commands)
        for n in range(8):
            assert await node.send_command(command(b"b%d" % n)) == SERVED
        assert len(one.commands) == before


@on_loop
async def test_hosts_move_with_the_list(tmp_path):
    async with StubHost() as old, StubHost() as new, Node(old, path=tmp_path) as node:
        assert await node.send_command(command(b"a")) == SERVED
        await node.discovery.call()
        node.discovery.change([entry(new, "h1")])
        while (await node.discovery.call()).get("index") != "2":
            pass
        assert await node.send_command(command(b"b")) == SERVED
        assert [c[2] for c in new.commands] == [b"b"]


@pytest.mark.parametrize(
    "raw",
    [
        "{",
        "[]",
        '{"version":3,"full":true,"servers":[{"id":"h9"}]}',
        '{"version":"x","full":false,"servers":[]}',
    ],
)
@on_loop
async def test_malformed_lists_leave_the_last_one_in_force(raw, tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        await node.discovery.call()
        await node.discovery.call()
        node.discovery.raw = raw
        node.discovery.change([])
        assert await node.send_command(command()) == SERVED
        while "index" in await node.discovery.call():
            pass  # it asks for the whole list again
        assert await node.send_command(command(b"r2")) == SERVED


@on_loop
async def test_the_module_hears_of_a_drain_before_what_ends_by_it(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        seen, done = [], asyncio.Event()

        class Sender:
            def handle(self, now, event):
                seen.append(type(event))
                if isinstance(event, api.AttemptEnded):
                    seen.append(event.result)
                    done.set()
                    return [api.FailRequest(event.request_id)]
                return [api.SendAttempt(event.request_id, "h1")] if isinstance(event, api.Request) else []

        node.node.dispatcher.engine = Sender()
        asked = asyncio.create_task(node.send_command(command()))
        pool = node.node.upstream.pools["h1"]
        while not pool.connecting:  # the attempt waits for its connection
            await asyncio.sleep(0)
        seen.clear()
        node.node.on_endpoint_list(
            read_list({"version": 2, "full": False, "servers": [entry(host, "h1", "draining")]})
        )
        await done.wait()
        assert seen == [api.EndpointList, api.AttemptEnded, "connect_failed"]
        assert (await asked).startswith(b"-ERR") and not host.commands


@on_loop
async def test_silent_discovery_is_asked_again_while_the_last_list_serves(tmp_path, monkeypatch, caplog):
    monkeypatch.setattr(polling, "AGENT_WATCH_WAIT_FRACTION", 0.1)
    monkeypatch.setattr(polling, "AGENT_WATCH_OVERRUN_FRACTIONS", (0.1, 0.2))
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        while "index" not in await node.discovery.call():
            pass
        node.discovery.silent = True
        for _ in range(3):  # for what has changed since its last list, with no wait
            assert (told := await node.discovery.call())["index"] == "1"
        assert told["wait"] == "0"
        assert await node.send_command(command()) == SERVED
        node.discovery.silent = False
        node.discovery.change([entry(host, "h2")])
        while (await node.discovery.call())["index"] != "2":
            pass  # it goes on from there
        assert await node.send_command(command(b"r2")) == SERVED
        assert caplog.text.count("the last list stays") == 1  # not a line a try


@on_loop
async def test_discovery_that_refuses_is_asked_for_changes_again_and_said_once(tmp_path, caplog):
    caplog.set_level("INFO")
    asked = {**SETTINGS, "registry_mode": "on_request"}
    async with StubHost() as host, Node(host, path=tmp_path, settings=asked) as node:
        node.discovery.refuses = True
        node.discovery.change([])  # ends the watch that may have begun
        for _ in range(3):
            assert (await node.discovery.call())["index"] == "1"
        assert await node.send_command(command()) == SERVED
        node.discovery.refuses = False
        node.discovery.change([entry(host, "h2")])
        while (await node.discovery.call())["index"] != "2":
            pass
        assert caplog.text.count("the last list stays") == 1
        assert "answers again" in caplog.text


@on_loop
async def test_where_lists_must_be_asked_for_the_first_call_is_for_changes_of_the_known_one(tmp_path):
    asked = {**SETTINGS, "registry_mode": "on_request"}
    async with StubHost() as host, Node(host, path=tmp_path, settings=asked) as node:
        assert (await node.discovery.call())["index"] == "1"
        assert await node.send_command(command()) == SERVED


@on_loop
async def test_without_a_known_host_the_whole_list_is_asked_for(tmp_path):
    asked = {**SETTINGS, "registry_mode": "on_request"}
    async with Node(path=tmp_path, settings=asked) as node:
        assert "index" not in await node.discovery.call()


def drawn(grace, fails=0):
    """The watch calls of 40 gateways."""
    for seed in range(40):
        made = discovery.Discovery(("127.0.0.1", 1), 7, print, print, 200, seed, grace)
        made.backoff.failure_count = fails
        yield made, *made.schedule.watch_call(made.version)


def test_a_silent_watch_is_opened_anew_before_its_news_counts_as_told():
    """It counts 6 s after the watch fell silent, or 2 s after its wait if that is later; and the watches of
    all, which fall silent at one moment, are not given up at one moment."""
    limits = []
    for _, params, limit in drawn(None):
        assert params["index"] == 7 and limit < max(6.0, params["wait"] / 1000 + 2.0) - 0.2
        limits.append(limit)
    assert len(set(limits)) == 40 and max(limits) - min(limits) > 0.3


@pytest.mark.parametrize("grace", [0.5, 0.9, 1.0, 2.0, 5.0])
def test_no_silence_of_an_agent_is_waited_out_past_half_of_the_drains_grace(grace):
    """What it has counts as told the moment that it is back, and the grace runs from then: neither a watch
    that fell silent nor a call made just before that, with the longest pause after it, may take it up."""
    for _, params, limit in drawn(grace):
        assert params["wait"] > 0 and limit <= grace / 2
    for made, params, limit in drawn(grace, fails=9):
        longest = max(made.backoff.next_delay() for _ in range(50))
        assert params["wait"] == 0 and limit + longest <= grace / 2 + 1e-9
        assert made.schedule.timeouts.full_list <= grace / 2


@on_loop
async def test_another_grace_is_in_force_with_the_settings_that_say_so(tmp_path):
    short = {**SETTINGS, "rules": {**SETTINGS["rules"], "drain_grace": 800_000_000}}
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        file = json.loads(node.file.read_text())
        node.file.write_text(json.dumps(file | {"settings": short}))
        node.node.reload()
        client = node.node.discovery
        assert client.schedule.watch_call(client.version)[1] <= 0.4


@on_loop
async def test_a_change_that_cannot_be_read_is_asked_for_again_in_the_whole_list(tmp_path):
    """From its version on it would never be told again: the host that drains would be used for good."""
    async with StubHost() as one, StubHost() as two, Node(one, two, path=tmp_path) as node:
        while "index" not in await node.discovery.call():
            pass
        node.discovery.raw = json.dumps(
            {
                "version": 2,
                "full": False,
                "servers": [entry(two, "h2"), {"id": "h1", "state": "draining", "weight": "heavy"}],
            }
        )
        node.discovery.version, node.discovery.servers = 2, [entry(one, "h1", "draining"), entry(two, "h2")]
        await wait_until(lambda: node.discovery.raw is None)
        while "index" in await node.discovery.call():
            pass
        await wait_until(lambda: list(node.node.upstream.pools) == ["h2"])
        assert await node.send_command(command()) == SERVED and not one.commands


@pytest.mark.parametrize("started, used", [(0, False), (5000, True)])
@on_loop
async def test_an_address_that_lags_brings_no_host_back_that_was_told_to_leave(started, used, tmp_path):
    async with StubHost() as host, StubDiscovery() as behind, Node(host, path=tmp_path) as node:
        while "index" not in await node.discovery.call():
            pass
        node.discovery.version = 41
        node.discovery.change([entry(host, "h1", "draining")])
        await wait_until(lambda: not node.node.upstream.pools)
        behind.version, behind.servers = 40, [entry(host, "h1") | {"started_ms": started}]
        file = json.loads(node.file.read_text())
        node.file.write_text(json.dumps(file | {"discovery": f"127.0.0.1:{behind.port}"}))
        node.node.reload()
        while "index" not in await behind.call():
            pass  # its whole list has come
        assert bool(node.node.upstream.pools) == used
        behind.change([entry(host, "h1")])  # that one is news
        await wait_until(lambda: node.node.upstream.pools)


@on_loop
async def test_a_list_that_is_asked_for_beside_a_watch_cannot_come_after_a_newer_one(tmp_path):
    """The first call's answer is held until the second one's has come."""
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        held, real = asyncio.Event(), node.discovery.watch

        async def holding(index, wait):
            told = [entry(host, "h1")]
            await held.wait()
            return told

        node.discovery.watch = holding
        while "index" not in await node.discovery.call():
            pass
        node.discovery.change([entry(host, "h1", "draining")])
        node.discovery.watch = real
        node.node.discovery.fetch_full_list()
        await wait_until(lambda: not node.node.upstream.pools)
        held.set()
        while "index" not in await node.discovery.call():
            pass
        assert not node.node.upstream.pools and node.node.discovery.version == 2


@on_loop
async def test_clients_are_let_in_when_what_the_agent_has_is_known(tmp_path, monkeypatch):
    """It counts as told from a process's first moment, and the known list may be old."""
    listen, lists = client_server.ClientServer.listen, []

    async def listening(self, *args):
        lists.append(sorted(node.node.upstream.pools))
        return await listen(self, *args)

    monkeypatch.setattr(client_server.ClientServer, "listen", listening)
    async with StubHost() as one, StubHost() as two:
        node = Node(one, two, path=tmp_path)
        started = StubDiscovery.__aenter__

        async def drained(self):
            await started(self)
            self.version = 9

        monkeypatch.setattr(StubDiscovery, "__aenter__", drained)
        answer = after_drain(StubDiscovery.answer, entry(one, "h1", "draining"))
        monkeypatch.setattr(StubDiscovery, "answer", answer)
        async with node:
            assert lists == [["h2"]]


def after_drain(answer, drained):
    async def answering(self, request):
        self.servers = [drained if listed["id"] == drained["id"] else listed for listed in self.servers]
        return await answer(self, request)

    return answering


@on_loop
async def test_an_agent_that_is_silent_at_a_start_does_not_keep_clients_out(tmp_path, monkeypatch):
    monkeypatch.setattr(StubDiscovery, "answer", silent_answer)
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        assert await node.send_command(command()) == SERVED


async def silent_answer(self, request):
    await asyncio.Event().wait()


@on_loop
async def test_watches_that_end_at_once_with_nothing_are_no_spin(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        node.discovery.watch = nothing
        node.discovery.change([])
        slept, sleep = [], asyncio.sleep

        async def sleeping(seconds, *rest):
            slept.append(seconds)
            await sleep(seconds, *rest)

        monkey = pytest.MonkeyPatch()
        monkey.setattr(discovery.asyncio, "sleep", sleeping)
        await wait_until(lambda: slept.count(discovery.EMPTY_WATCH_DELAY_S) > 2)
        monkey.undo()


async def nothing(index, wait):
    return []


@pytest.mark.parametrize("error, calls, least", [(TimeoutError, 2, 2.75), (OSError, 1, 1.375)])
@on_loop
async def test_a_watch_that_falls_silent_is_asked_again_at_once_and_only_then(
    error, calls, least, monkeypatch
):
    """What fails at one moment for all waits, the longer the more gateways there are, as far as the time
    allows after which changes count as told: after the first failure that is half of it at most."""
    asked, slept, done = [], [], asyncio.Event()

    async def poll(self, params, limit):
        asked.append(params)
        raise error

    async def sleep(seconds):
        slept.append(seconds)
        if len(slept) > 1:
            done.set()
            await asyncio.Event().wait()

    monkeypatch.setattr(discovery.Discovery, "poll", poll)
    made = discovery.Discovery(("127.0.0.1", 1), 7, print, lambda: None, 200, 1)
    monkeypatch.setattr(discovery.asyncio, "sleep", sleep)
    task = asyncio.ensure_future(made.run(0.0))
    await done.wait()
    task.cancel()
    assert len(asked) == calls and least <= slept[1] <= 2 * least


def first_calls(gateways):
    return sorted(Backoff(gateways, random.Random(seed)).first_delay() for seed in range(gateways))


def test_the_first_calls_of_many_gateways_are_spread_over_time():
    calls = first_calls(40)
    assert max(sum(at <= other < at + 1.0 for other in calls) for at in calls) <= 20
    assert calls[-1] <= 4.0
    assert first_calls(5) == [0.0] * 5


def test_pauses_after_failures_are_drawn_apart_and_grow_with_the_fleet():
    few, many = ([Backoff(gateways, random.Random(seed)) for seed in range(40)] for gateways in (2, 40))
    for tries in range(12):
        short, long = ([backoff.next_delay() for backoff in fleet] for fleet in (few, many))
        assert len({round(pause, 6) for pause in long}) == 40 and min(short) >= 0.05
        assert max(short) <= min(1.0, 0.05 * 2 ** (tries + 1))
        assert 10 * sum(short) < sum(long) < 40 * sum(short)
    assert sum(long) / 40 > 5.0  # in the end all 40 ask fewer than 8 times a second


@on_loop
async def test_watches_that_all_bring_garbage_are_no_spin_and_fill_no_log(tmp_path, caplog):
    """The whole list comes each time, so no failure follows another: without a pause it would be asked for
    without end."""
    async with StubHost() as host, Node(host, path=tmp_path) as node:

        async def garbled(index, wait):
            return [{"id": "h1", "state": "draining"}, {"id": 5}]

        monkey, slept, sleep = pytest.MonkeyPatch(), [], asyncio.sleep

        async def sleeping(seconds, *rest):
            slept.append(seconds)
            await sleep(0 if seconds < 1 else seconds, *rest)

        node.discovery.watch = garbled
        while "index" not in await node.discovery.call():
            pass
        monkey.setattr(discovery.asyncio, "sleep", sleeping)
        node.discovery.calls.clear()
        node.discovery.change([])
        while len(node.discovery.calls) < 20:
            await sleep(0.01)
        monkey.undo()
        pauses = [seconds for seconds in slept if 0.05 <= seconds <= 0.1]
        assert len(pauses) >= 7  # after each garbled watch but one a second
        assert caplog.text.count("the last list stays") == 1


@pytest.mark.parametrize("how", ["silent", "refuses"])
@on_loop
async def test_a_signal_to_an_address_that_tells_nothing_yet_keeps_the_last_list(how, tmp_path):
    """And the old address, which goes on telling, is heard no more."""
    async with (
        StubHost() as one,
        StubHost() as two,
        StubDiscovery() as other,
        Node(one, two, path=tmp_path) as node,
    ):
        while "index" not in await node.discovery.call():
            pass
        setattr(other, how, True)
        other.version, other.servers = 7, [entry(two, "h2")]
        file = json.loads(node.file.read_text())
        node.file.write_text(json.dumps(file | {"discovery": f"127.0.0.1:{other.port}"}))
        node.node.reload()
        node.discovery.change([entry(one, "h1", "draining"), entry(two, "h2", "draining")])
        for _ in range(3):
            assert "index" not in await other.call()
        assert sorted(node.node.upstream.pools) == ["h1", "h2"]
        setattr(other, how, False)
        await wait_until(lambda: sorted(node.node.upstream.pools) == ["h2"])
        assert node.node.discovery.version == 7


@on_loop
async def test_a_list_of_the_old_address_that_comes_in_the_turn_of_a_signal_is_not_taken(tmp_path):
    async with (
        StubHost() as one,
        StubHost() as two,
        StubDiscovery() as other,
        Node(one, two, path=tmp_path) as node,
    ):
        while "index" not in await node.discovery.call():
            pass
        other.version, other.servers = 3, [entry(one, "h1")]
        file = json.loads(node.file.read_text())
        node.file.write_text(json.dumps(file | {"discovery": f"127.0.0.1:{other.port}"}))
        told, taken = discovery.Discovery.accept_list, []

        def taking(self, listing):
            taken.append([host.id for host in listing.endpoint_list.endpoints])
            told(self, listing)

        monkey = pytest.MonkeyPatch()
        monkey.setattr(discovery.Discovery, "accept_list", taking)
        ask = discovery.fetch_list

        async def answered(*args):
            listing = await ask(*args)
            if listing.addresses.get("h2"):
                node.node.reload()  # between the answer and its being taken
            return listing

        monkey.setattr(discovery, "fetch_list", answered)
        node.discovery.calls.clear()
        await node.discovery.call()  # a watch that began since
        node.discovery.change([entry(two, "h2")])
        await wait_until(lambda: sorted(node.node.upstream.pools) == ["h1"])
        monkey.undo()
        assert taken and not any("h2" in hosts for hosts in taken)


class Over(BaseException):
    """The play has ended."""


class Outage:
    """Discovery and the gateway's clock, played: it is away from `away` to `back`, and each change is told by
    the first call that is answered from then on. Silent: a call that meets the outage hangs until it is given
    up, also past its end; else it is refused at once. A call's answer takes `answer` s."""

    def __init__(self, away, back, silent, spoilt, answer, monkeypatch):
        self.now, self.away, self.back, self.silent, self.spoilt = 0.0, away, back, silent, spoilt
        self.answer, self.calls, self.told = answer, [], None
        monkeypatch.setattr(discovery, "monotonic", lambda: self.now)
        monkeypatch.setattr(discovery.asyncio, "sleep", self.sleep)

    async def sleep(self, seconds):
        self.now += seconds

    async def poll(self, made, params, limit):
        self.calls.append(self.now)
        wait = params.get("wait", 0) / 1000
        if self.now < self.away and self.now + wait <= self.away:  # nothing changes until then
            self.now += wait or self.answer
            made.version = 7
            return False
        if self.now < self.back:
            self.now = self.now + limit if self.silent else max(self.now, self.away)
            raise TimeoutError if self.silent else ConnectionRefusedError
        if self.spoilt:
            self.spoilt -= 1
            self.now += self.answer
            raise ValueError("spoilt")
        self.now += self.answer
        self.told = self.now
        raise Over


def played(monkeypatch, gateways, seed, silent, spoilt, kind=discovery.Discovery, answer=0.1, **more):
    rng = random.Random(seed)
    away = rng.uniform(0.0, 12.0)
    back = away + rng.choice((0.0, 0.2, 3.0, 8.0, 30.0)) + rng.random()
    outage = Outage(away, back, silent, spoilt, answer, monkeypatch)
    made = kind(("127.0.0.1", 1), 7, print, lambda: None, gateways, seed, **more)
    made.poll = lambda params, limit: outage.poll(made, params, limit)
    with pytest.raises(Over):
        asyncio.run(made.run(0.0))
    return outage


@pytest.mark.parametrize("gateways", [1, 2, 5, 30, 200])
@pytest.mark.parametrize("silent", [False, True])
@pytest.mark.parametrize("spoilt", [0, 1])
def test_what_an_outage_hid_is_in_by_the_time_it_counts_as_told(gateways, silent, spoilt, monkeypatch):
    """6 s after discovery could be reached, whatever call was out then and whatever pause was drawn; a watch
    that fell silent before has 2 s after its wait."""
    latest = 0.0
    for seed in range(300):
        outage = played(monkeypatch, gateways, seed, silent, spoilt)
        begun = [at for at in outage.calls if at < outage.away]
        watch = begun[-1] + polling.WATCH_WAIT_S + 2.0 if begun and silent else 0.0
        assert outage.told <= max(outage.back + 6.0, watch)
        latest = max(latest, outage.told - outage.back)
    assert gateways < 30 or silent or latest > 4.0  # and they ask no sooner than they have to


class TwoPlaces(Replicas):
    """The other address is away, too."""

    def __init__(self, address, *args, **more):
        super().__init__(address, (("127.0.0.1", 2),), None, "n0", *args, **more)


@pytest.mark.parametrize("silent", [False, True])
@pytest.mark.parametrize("spoilt", [0, 1])
def test_what_an_outage_of_all_replicas_hid_is_in_by_the_time_it_counts_as_told(silent, spoilt, monkeypatch):
    for seed in range(300):
        outage = played(monkeypatch, 30, seed, silent, spoilt, TwoPlaces)
        begun = [at for at in outage.calls if at < outage.away]
        watch = begun[-1] + polling.WATCH_WAIT_S + 2.0 if begun and silent else 0.0
        assert outage.told <= max(outage.back + 6.0, watch)


@pytest.mark.parametrize("grace", [0.5, 1.0, 2.0, 5.0])
@pytest.mark.parametrize("silent", [False, True])
def test_what_an_outage_of_the_agent_hid_is_in_within_a_part_of_the_drains_grace(silent, grace, monkeypatch):
    """It counts from the agent's return, and the grace of a drain among it runs from then."""
    latest = 0.0
    for seed in range(300):
        outage = played(monkeypatch, 200, seed, silent, 0, grace=grace, answer=0.0)
        latest = max(latest, outage.told - outage.back)
    assert latest <= (0.5 if silent else 0.1) * grace + 1e-9


def test_an_outage_is_no_rush_of_calls(monkeypatch):
    """Two hundred gateways ask less than 60 times a second over 8 s of refusals, their calls spread."""
    outages = [
        outage
        for seed in range(400)
        for outage in [played(monkeypatch, 200, seed, False, 0)]
        if outage.back - outage.away > 8.0
    ]
    calls = [at - outage.away for outage in outages for at in outage.calls if 0 <= at - outage.away < 8.0]
    assert len(calls) / 8.0 / len(outages) * 200 < 60.0
    later = [at for at in calls if at < 3.0]  # their second ones, after all watches broke at one moment
    assert max(sum(at <= other < at + 0.5 for other in later) for at in later) < 0.65 * len(later)


@on_loop
async def test_what_a_whole_list_does_not_name_is_gone_though_it_still_answers(tmp_path):
    async with StubHost() as one, StubHost() as two, Node(one, two, path=tmp_path) as node:
        while "index" not in await node.discovery.call():
            pass
        node.discovery.raw = json.dumps({"version": 5, "full": True, "servers": [entry(two, "h2")]})
        node.discovery.change([])
        await wait_until(lambda: sorted(node.node.upstream.pools) == ["h2"])
        before = len(one.commands)
        for n in range(8):
            assert await node.send_command(command(b"r%d" % n)) == SERVED
        assert len(one.commands) == before and len(two.commands) == 8
