"""Tests of the discovery client: changes, drains, unreadable answers, outages and time limits."""

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
async def test_a_draining_host_gets_no_new_or_queued_attempts(tmp_path):
    async with StubHost() as one, StubHost() as two, Node(one, two, path=tmp_path) as node:
        for number in range(4):
            await node.send_command(command(b"a%d" % number))
        await node.discovery.call()
        node.discovery.change([entry(one, "h1", "draining")])
        while (await node.discovery.call()).get("index") != "2":
            pass  # the watch that follows the change: the client has it
        before = len(one.commands)
        for number in range(8):
            assert await node.send_command(command(b"b%d" % number)) == SERVED
        assert len(one.commands) == before


@on_loop
async def test_a_changed_host_address_takes_effect(tmp_path):
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
async def test_malformed_lists_keep_the_last_list_in_use(raw, tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        await node.discovery.call()
        await node.discovery.call()
        node.discovery.raw = raw
        node.discovery.change([])
        assert await node.send_command(command()) == SERVED
        while "index" in await node.discovery.call():
            pass  # the client requests the full list again
        assert await node.send_command(command(b"r2")) == SERVED


@on_loop
async def test_the_engine_gets_a_drain_before_the_attempts_that_it_ends(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        seen, done = [], asyncio.Event()

        class RecordingEngine:
            def handle(self, now, event):
                seen.append(type(event))
                if isinstance(event, api.AttemptEnded):
                    seen.append(event.result)
                    done.set()
                    return [api.FailRequest(event.request_id)]
                return [api.SendAttempt(event.request_id, "h1")] if isinstance(event, api.Request) else []

        node.node.dispatcher.engine = RecordingEngine()
        request = asyncio.create_task(node.send_command(command()))
        pool = node.node.upstream.pools["h1"]
        while not pool.connecting:  # the attempt waits for its connection
            await asyncio.sleep(0)
        seen.clear()
        node.node.on_endpoint_list(
            read_list({"version": 2, "full": False, "servers": [entry(host, "h1", "draining")]})
        )
        await done.wait()
        assert seen == [api.EndpointList, api.AttemptEnded, "connect_failed"]
        assert (await request).startswith(b"-ERR") and not host.commands


@on_loop
async def test_silent_discovery_is_polled_again_while_the_last_list_serves(tmp_path, monkeypatch, caplog):
    monkeypatch.setattr(polling, "AGENT_WATCH_WAIT_FRACTION", 0.1)
    monkeypatch.setattr(polling, "AGENT_WATCH_OVERRUN_FRACTIONS", (0.1, 0.2))
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        while "index" not in await node.discovery.call():
            pass
        node.discovery.silent = True
        for _ in range(3):  # polls for changes since the last list, without a wait
            assert (params := await node.discovery.call())["index"] == "1"
        assert params["wait"] == "0"
        assert await node.send_command(command()) == SERVED
        node.discovery.silent = False
        node.discovery.change([entry(host, "h2")])
        while (await node.discovery.call())["index"] != "2":
            pass  # the client continues from there
        assert await node.send_command(command(b"r2")) == SERVED
        assert caplog.text.count("the last list stays") == 1  # logged once, not for each attempt


@on_loop
async def test_failing_discovery_is_polled_for_changes_again_and_logged_once(tmp_path, caplog):
    caplog.set_level("INFO")
    on_request_settings = {**SETTINGS, "registry_mode": "on_request"}
    async with StubHost() as host, Node(host, path=tmp_path, settings=on_request_settings) as node:
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
async def test_on_request_discovery_first_polls_for_changes_of_the_known_list(tmp_path):
    on_request_settings = {**SETTINGS, "registry_mode": "on_request"}
    async with StubHost() as host, Node(host, path=tmp_path, settings=on_request_settings) as node:
        assert (await node.discovery.call())["index"] == "1"
        assert await node.send_command(command()) == SERVED


@on_loop
async def test_without_known_hosts_the_full_list_is_requested(tmp_path):
    on_request_settings = {**SETTINGS, "registry_mode": "on_request"}
    async with Node(path=tmp_path, settings=on_request_settings) as node:
        assert "index" not in await node.discovery.call()


def watch_calls(grace, failures=0):
    """Return the clients of 40 gateways and the watch call of each."""
    for seed in range(40):
        client = discovery.Discovery(("127.0.0.1", 1), 7, print, print, 200, seed, grace)
        client.backoff.failure_count = failures
        yield client, *client.schedule.watch_call(client.version)


def test_a_silent_watch_is_reopened_before_its_changes_must_be_known():
    """Changes must be known 6 s after the watch fell silent, or 2 s after its wait if that is later.

    The watches of all gateways fall silent at the same time and must not be abandoned at the same time.
    """
    limits = []
    for _, params, limit in watch_calls(None):
        assert params["index"] == 7 and limit < max(6.0, params["wait"] / 1000 + 2.0) - 0.2
        limits.append(limit)
    assert len(set(limits)) == 40 and max(limits) - min(limits) > 0.3


@pytest.mark.parametrize("grace", [0.5, 0.9, 1.0, 2.0, 5.0])
def test_a_silent_agent_is_abandoned_within_half_the_drain_grace(grace):
    """Changes count as known as soon as the agent is back, and the drain grace period starts then.

    Neither a silent watch nor a call made just before, with the longest delay after it, may use up that
    period.
    """
    for _, params, limit in watch_calls(grace):
        assert params["wait"] > 0 and limit <= grace / 2
    for client, params, limit in watch_calls(grace, failures=9):
        longest = max(client.backoff.next_delay() for _ in range(50))
        assert params["wait"] == 0 and limit + longest <= grace / 2 + 1e-9
        assert client.schedule.timeouts.full_list <= grace / 2


@on_loop
async def test_a_changed_drain_grace_takes_effect_on_reload(tmp_path):
    short_grace = {**SETTINGS, "rules": {**SETTINGS["rules"], "drain_grace": 800_000_000}}
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        config = json.loads(node.file.read_text())
        node.file.write_text(json.dumps(config | {"settings": short_grace}))
        node.node.reload()
        client = node.node.discovery
        assert client.schedule.watch_call(client.version)[1] <= 0.4


@on_loop
async def test_an_unreadable_change_is_requested_again_with_the_full_list(tmp_path):
    """A watch from the new version would not return the change, so a draining host would stay in use."""
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


@pytest.mark.parametrize("started, is_used", [(0, False), (5000, True)])
@on_loop
async def test_a_lagging_address_does_not_restore_a_drained_host(started, is_used, tmp_path):
    async with StubHost() as host, StubDiscovery() as lagging, Node(host, path=tmp_path) as node:
        while "index" not in await node.discovery.call():
            pass
        node.discovery.version = 41
        node.discovery.change([entry(host, "h1", "draining")])
        await wait_until(lambda: not node.node.upstream.pools)
        lagging.version, lagging.servers = 40, [entry(host, "h1") | {"started_ms": started}]
        config = json.loads(node.file.read_text())
        node.file.write_text(json.dumps(config | {"discovery": f"127.0.0.1:{lagging.port}"}))
        node.node.reload()
        while "index" not in await lagging.call():
            pass  # its full list has arrived
        assert bool(node.node.upstream.pools) == is_used
        lagging.change([entry(host, "h1")])  # this change is newer
        await wait_until(lambda: node.node.upstream.pools)


@on_loop
async def test_a_delayed_answer_cannot_replace_a_newer_list(tmp_path):
    """The answer of the first call is delayed until the second call has been answered."""
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        released, original_watch = asyncio.Event(), node.discovery.watch

        async def delayed_watch(index, wait):
            listed = [entry(host, "h1")]
            await released.wait()
            return listed

        node.discovery.watch = delayed_watch
        while "index" not in await node.discovery.call():
            pass
        node.discovery.change([entry(host, "h1", "draining")])
        node.discovery.watch = original_watch
        node.node.discovery.fetch_full_list()
        await wait_until(lambda: not node.node.upstream.pools)
        released.set()
        while "index" not in await node.discovery.call():
            pass
        assert not node.node.upstream.pools and node.node.discovery.version == 2


@on_loop
async def test_clients_are_accepted_once_the_list_of_the_agent_is_known(tmp_path, monkeypatch):
    """What the agent has must be known from the start of a process, and the initial list may be old."""
    listen, pools_at_listen = client_server.ClientServer.listen, []

    async def record_pools(self, *args):
        pools_at_listen.append(sorted(node.node.upstream.pools))
        return await listen(self, *args)

    monkeypatch.setattr(client_server.ClientServer, "listen", record_pools)
    async with StubHost() as one, StubHost() as two:
        node = Node(one, two, path=tmp_path)
        enter = StubDiscovery.__aenter__

        async def enter_drained(self):
            await enter(self)
            self.version = 9

        monkeypatch.setattr(StubDiscovery, "__aenter__", enter_drained)
        answer = with_drained_host(StubDiscovery.answer, entry(one, "h1", "draining"))
        monkeypatch.setattr(StubDiscovery, "answer", answer)
        async with node:
            assert pools_at_listen == [["h2"]]


def with_drained_host(answer, drained):
    async def answer_with_drain(self, request):
        self.servers = [drained if listed["id"] == drained["id"] else listed for listed in self.servers]
        return await answer(self, request)

    return answer_with_drain


@on_loop
async def test_a_silent_agent_does_not_prevent_the_start(tmp_path, monkeypatch):
    monkeypatch.setattr(StubDiscovery, "answer", never_answer)
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        assert await node.send_command(command()) == SERVED


async def never_answer(self, request):
    await asyncio.Event().wait()


@on_loop
async def test_empty_watches_that_end_at_once_are_delayed(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        node.discovery.watch = empty_watch
        node.discovery.change([])
        delays, sleep = [], asyncio.sleep

        async def record_sleep(seconds, *rest):
            delays.append(seconds)
            await sleep(seconds, *rest)

        patch = pytest.MonkeyPatch()
        patch.setattr(discovery.asyncio, "sleep", record_sleep)
        await wait_until(lambda: delays.count(discovery.EMPTY_WATCH_DELAY_S) > 2)
        patch.undo()


async def empty_watch(index, wait):
    return []


@pytest.mark.parametrize("error, calls, least", [(TimeoutError, 2, 2.75), (OSError, 1, 1.375)])
@on_loop
async def test_only_a_silent_watch_is_retried_without_delay(error, calls, least, monkeypatch):
    """A failure that hits all gateways at once is followed by a delay that grows with their number.

    The delay is bounded by the time within which changes must be known, after the first failure by half of
    it.
    """
    polls, delays, done = [], [], asyncio.Event()

    async def poll(self, params, limit):
        polls.append(params)
        raise error

    async def sleep(seconds):
        delays.append(seconds)
        if len(delays) > 1:
            done.set()
            await asyncio.Event().wait()

    monkeypatch.setattr(discovery.Discovery, "poll", poll)
    client = discovery.Discovery(("127.0.0.1", 1), 7, print, lambda: None, 200, 1)
    monkeypatch.setattr(discovery.asyncio, "sleep", sleep)
    task = asyncio.ensure_future(client.run(0.0))
    await done.wait()
    task.cancel()
    assert len(polls) == calls and least <= delays[1] <= 2 * least


def first_calls(gateways):
    return sorted(Backoff(gateways, random.Random(seed)).first_delay() for seed in range(gateways))


def test_the_first_calls_of_many_gateways_are_spread_over_time():
    calls = first_calls(40)
    assert max(sum(at <= other < at + 1.0 for other in calls) for at in calls) <= 20
    assert calls[-1] <= 4.0
    assert first_calls(5) == [0.0] * 5


def test_backoff_delays_differ_and_grow_with_the_number_of_gateways():
    few, many = ([Backoff(gateways, random.Random(seed)) for seed in range(40)] for gateways in (2, 40))
    for failures in range(12):
        short, long = ([backoff.next_delay() for backoff in backoffs] for backoffs in (few, many))
        assert len({round(delay, 6) for delay in long}) == 40 and min(short) >= 0.05
        assert max(short) <= min(1.0, 0.05 * 2 ** (failures + 1))
        assert 10 * sum(short) < sum(long) < 40 * sum(short)
    assert sum(long) / 40 > 5.0  # in the end the 40 gateways make fewer than 8 calls a second


@on_loop
async def test_unreadable_watch_answers_are_delayed_and_logged_once(tmp_path, caplog):
    """The full list is fetched after each failed watch, so failures never follow one another.

    Without a delay the client would call discovery in a tight loop.
    """
    async with StubHost() as host, Node(host, path=tmp_path) as node:

        async def unreadable_watch(index, wait):
            return [{"id": "h1", "state": "draining"}, {"id": 5}]

        patch, delays, sleep = pytest.MonkeyPatch(), [], asyncio.sleep

        async def record_sleep(seconds, *rest):
            delays.append(seconds)
            await sleep(0 if seconds < 1 else seconds, *rest)

        node.discovery.watch = unreadable_watch
        while "index" not in await node.discovery.call():
            pass
        patch.setattr(discovery.asyncio, "sleep", record_sleep)
        node.discovery.calls.clear()
        node.discovery.change([])
        while len(node.discovery.calls) < 20:
            await sleep(0.01)
        patch.undo()
        retry_delays = [seconds for seconds in delays if 0.05 <= seconds <= 0.1]
        assert len(retry_delays) >= 7  # after each unreadable watch except one per second
        assert caplog.text.count("the last list stays") == 1


@pytest.mark.parametrize("outage", ["silent", "refuses"])
@on_loop
async def test_reload_to_an_unavailable_address_keeps_the_last_list(outage, tmp_path):
    """Lists that the old address still sends are ignored."""
    async with (
        StubHost() as one,
        StubHost() as two,
        StubDiscovery() as other,
        Node(one, two, path=tmp_path) as node,
    ):
        while "index" not in await node.discovery.call():
            pass
        setattr(other, outage, True)
        other.version, other.servers = 7, [entry(two, "h2")]
        config = json.loads(node.file.read_text())
        node.file.write_text(json.dumps(config | {"discovery": f"127.0.0.1:{other.port}"}))
        node.node.reload()
        node.discovery.change([entry(one, "h1", "draining"), entry(two, "h2", "draining")])
        for _ in range(3):
            assert "index" not in await other.call()
        assert sorted(node.node.upstream.pools) == ["h1", "h2"]
        setattr(other, outage, False)
        await wait_until(lambda: sorted(node.node.upstream.pools) == ["h2"])
        assert node.node.discovery.version == 7


@on_loop
async def test_a_list_from_the_old_address_during_a_reload_is_ignored(tmp_path):
    async with (
        StubHost() as one,
        StubHost() as two,
        StubDiscovery() as other,
        Node(one, two, path=tmp_path) as node,
    ):
        while "index" not in await node.discovery.call():
            pass
        other.version, other.servers = 3, [entry(one, "h1")]
        config = json.loads(node.file.read_text())
        node.file.write_text(json.dumps(config | {"discovery": f"127.0.0.1:{other.port}"}))
        accept_list, accepted = discovery.Discovery.accept_list, []

        def record_accepted(self, listing):
            accepted.append([host.id for host in listing.endpoint_list.endpoints])
            accept_list(self, listing)

        patch = pytest.MonkeyPatch()
        patch.setattr(discovery.Discovery, "accept_list", record_accepted)
        fetch_list = discovery.fetch_list

        async def fetch_then_reload(*args):
            listing = await fetch_list(*args)
            if listing.addresses.get("h2"):
                node.node.reload()  # after the answer, before it is applied
            return listing

        patch.setattr(discovery, "fetch_list", fetch_then_reload)
        node.discovery.calls.clear()
        await node.discovery.call()  # a watch that has begun since
        node.discovery.change([entry(two, "h2")])
        await wait_until(lambda: sorted(node.node.upstream.pools) == ["h1"])
        patch.undo()
        assert accepted and not any("h2" in hosts for hosts in accepted)


class SimulationEnded(BaseException):
    """The simulation has ended."""


class Outage:
    """Simulates discovery and the clock of a gateway, with an outage from `starts_at` to `ends_at`.

    The first call that is answered after the outage returns the change. If `silent`, a call during the outage
    hangs until its time limit, even past the end of the outage; otherwise it is refused at once. The first
    `unreadable_answers` answers after the outage are unreadable. An answer takes `answer_s` seconds.
    """

    def __init__(self, starts_at, ends_at, silent, unreadable_answers, answer_s, monkeypatch):
        self.now, self.starts_at, self.ends_at, self.silent, self.unreadable_answers = (
            0.0,
            starts_at,
            ends_at,
            silent,
            unreadable_answers,
        )
        self.answer_s, self.calls, self.known_at = answer_s, [], None
        monkeypatch.setattr(discovery, "monotonic", lambda: self.now)
        monkeypatch.setattr(discovery.asyncio, "sleep", self.sleep)

    async def sleep(self, seconds):
        self.now += seconds

    async def poll(self, client, params, limit):
        self.calls.append(self.now)
        wait = params.get("wait", 0) / 1000
        # Nothing changes before the outage.
        if self.now < self.starts_at and self.now + wait <= self.starts_at:
            self.now += wait or self.answer_s
            client.version = 7
            return False
        if self.now < self.ends_at:
            self.now = self.now + limit if self.silent else max(self.now, self.starts_at)
            raise TimeoutError if self.silent else ConnectionRefusedError
        if self.unreadable_answers:
            self.unreadable_answers -= 1
            self.now += self.answer_s
            raise ValueError("unreadable")
        self.now += self.answer_s
        self.known_at = self.now
        raise SimulationEnded


def simulate_outage(
    monkeypatch,
    gateways,
    seed,
    silent,
    unreadable_answers,
    client_type=discovery.Discovery,
    answer_s=0.1,
    **client_options,
):
    rng = random.Random(seed)
    starts_at = rng.uniform(0.0, 12.0)
    ends_at = starts_at + rng.choice((0.0, 0.2, 3.0, 8.0, 30.0)) + rng.random()
    outage = Outage(starts_at, ends_at, silent, unreadable_answers, answer_s, monkeypatch)
    client = client_type(("127.0.0.1", 1), 7, print, lambda: None, gateways, seed, **client_options)
    client.poll = lambda params, limit: outage.poll(client, params, limit)
    with pytest.raises(SimulationEnded):
        asyncio.run(client.run(0.0))
    return outage


@pytest.mark.parametrize("gateways", [1, 2, 5, 30, 200])
@pytest.mark.parametrize("silent", [False, True])
@pytest.mark.parametrize("unreadable_answers", [0, 1])
def test_changes_during_an_outage_are_known_in_time(gateways, silent, unreadable_answers, monkeypatch):
    """Changes are known 6 s after discovery is reachable, whatever call was in flight or delay was drawn.

    A watch that fell silent before has until 2 s after its wait.
    """
    latest = 0.0
    for seed in range(300):
        outage = simulate_outage(monkeypatch, gateways, seed, silent, unreadable_answers)
        calls_before = [at for at in outage.calls if at < outage.starts_at]
        watch_deadline = calls_before[-1] + polling.WATCH_WAIT_S + 2.0 if calls_before and silent else 0.0
        assert outage.known_at <= max(outage.ends_at + 6.0, watch_deadline)
        latest = max(latest, outage.known_at - outage.ends_at)
    assert gateways < 30 or silent or latest > 4.0  # and the gateways do not call earlier than necessary


class TwoReplicas(Replicas):
    """Two replicas; the outage affects both."""

    def __init__(self, address, *args, **client_options):
        super().__init__(address, (("127.0.0.1", 2),), None, "n0", *args, **client_options)


@pytest.mark.parametrize("silent", [False, True])
@pytest.mark.parametrize("unreadable_answers", [0, 1])
def test_changes_during_an_outage_of_all_replicas_are_known_in_time(silent, unreadable_answers, monkeypatch):
    for seed in range(300):
        outage = simulate_outage(monkeypatch, 30, seed, silent, unreadable_answers, TwoReplicas)
        calls_before = [at for at in outage.calls if at < outage.starts_at]
        watch_deadline = calls_before[-1] + polling.WATCH_WAIT_S + 2.0 if calls_before and silent else 0.0
        assert outage.known_at <= max(outage.ends_at + 6.0, watch_deadline)


@pytest.mark.parametrize("grace", [0.5, 1.0, 2.0, 5.0])
@pytest.mark.parametrize("silent", [False, True])
def test_changes_during_an_agent_outage_are_known_within_part_of_the_drain_grace(silent, grace, monkeypatch):
    """Changes must be known from the return of the agent, when the drain grace period starts."""
    latest = 0.0
    for seed in range(300):
        outage = simulate_outage(monkeypatch, 200, seed, silent, 0, grace=grace, answer_s=0.0)
        latest = max(latest, outage.known_at - outage.ends_at)
    assert latest <= (0.5 if silent else 0.1) * grace + 1e-9


def test_an_outage_causes_no_burst_of_calls(monkeypatch):
    """200 gateways make fewer than 60 calls a second during 8 s of refusals, spread over time."""
    outages = [
        outage
        for seed in range(400)
        for outage in [simulate_outage(monkeypatch, 200, seed, False, 0)]
        if outage.ends_at - outage.starts_at > 8.0
    ]
    calls = [
        at - outage.starts_at for outage in outages for at in outage.calls if 0 <= at - outage.starts_at < 8.0
    ]
    assert len(calls) / 8.0 / len(outages) * 200 < 60.0
    # The second calls follow the break of all watches at the same time.
    second_calls = [at for at in calls if at < 3.0]
    assert max(sum(at <= other < at + 0.5 for other in second_calls) for at in second_calls) < 0.65 * len(
        second_calls
    )


@on_loop
async def test_a_host_missing_from_a_full_list_is_removed_though_it_still_answers(tmp_path):
    async with StubHost() as one, StubHost() as two, Node(one, two, path=tmp_path) as node:
        while "index" not in await node.discovery.call():
            pass
        node.discovery.raw = json.dumps({"version": 5, "full": True, "servers": [entry(two, "h2")]})
        node.discovery.change([])
        await wait_until(lambda: sorted(node.node.upstream.pools) == ["h2"])
        before = len(one.commands)
        for number in range(8):
            assert await node.send_command(command(b"r%d" % number)) == SERVED
        assert len(one.commands) == before and len(two.commands) == 8
