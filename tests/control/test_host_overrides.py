"""The file of hosts out by hand, and which processes live."""

import errno
import os
import tempfile

import pytest
from netkit import Node, StubHost, entry, on_loop, wait_until

from api_gateway import interface as api
from api_gateway.base.shared_file import SharedFile
from api_gateway.control.host_overrides import HostOverrides
from api_gateway.gateway.instances import GatewayInstances


def test_what_one_process_says_another_reads(tmp_path):
    one, two = HostOverrides(tmp_path, "n0"), HostOverrides(tmp_path, "n0")
    assert not two.has_changed()
    one.store(api.EndpointOverride("h1", True, 5.0))
    two.store(api.EndpointOverride("h2", True, 6.0))
    assert one.has_changed() and not two.has_changed()
    assert (
        one.read()
        == two.overrides
        == {"h1": api.EndpointOverride("h1", True, 5.0), "h2": api.EndpointOverride("h2", True, 6.0)}
    )
    one.store(api.EndpointOverride("h1", False, 7.0))
    assert two.read()["h1"] == api.EndpointOverride("h1", False, 7.0)
    one.store(api.EndpointOverride("h3", True, 1000.0))
    assert (
        "h1" not in two.read() and two.overrides["h2"].ejected
    )  # a return is forgotten in time, a ban never


@pytest.mark.parametrize(
    "text",
    [
        "",
        "{",
        "[]",
        "null",
        '{"h1": 1}',
        '{"h1": {"out": 1, "at": 2}}',
        '{"h1": {"out": true}}',
        '{"h1": {"out": true, "at": NaN}}',
        '{"h1": {"out": true, "at": true}}',
        "\x00\xff",
    ],
)
def test_a_torn_or_foreign_file_changes_nothing_and_is_written_over(text, tmp_path):
    bans = HostOverrides(tmp_path, "n0")
    bans.store(api.EndpointOverride("h1", True, 5.0))
    bans.shared_file.path.write_text(text, encoding="latin-1")
    assert (
        bans.has_changed()
        and bans.read() == {"h1": api.EndpointOverride("h1", True, 5.0)}
        and not bans.has_changed()
    )
    (tmp_path / "n0-hosts-out.new").write_text("left behind")
    bans.store(api.EndpointOverride("h2", True, 6.0))
    assert HostOverrides(tmp_path, "n0").read().keys() == {"h1", "h2"}


def test_without_a_folder_bans_last_as_long_as_the_process():
    bans = HostOverrides(None, "n0")
    bans.store(api.EndpointOverride("h1", True, 5.0))
    assert bans.read() == {"h1": api.EndpointOverride("h1", True, 5.0)} and not bans.has_changed()


def test_a_folder_that_cannot_be_written_to_does_not_keep_a_process_from_serving(tmp_path):
    one = GatewayInstances(tmp_path / "none", "n0")
    one.register()
    assert one.count_others() == 0
    one.unregister()


def test_only_processes_that_live_count_and_leavings_go(tmp_path):
    (tmp_path / "n0-life-left").write_text("")
    one, two, none = (
        GatewayInstances(tmp_path, "n0"),
        GatewayInstances(tmp_path, "n0"),
        GatewayInstances(None, "n0"),
    )
    one.register()
    assert one.count_others() == 0 and not (tmp_path / "n0-life-left").exists()
    two.register()
    assert one.count_others() == two.count_others() == 1
    os.close(two.lock_descriptor)  # as its death does
    two.lock_descriptor = -1
    assert one.count_others() == 0
    one.unregister()
    none.register()
    assert none.count_others() == 0 and not list(tmp_path.iterdir())


def test_a_process_that_begins_is_never_taken_for_a_dead_one(tmp_path, monkeypatch):
    """Another looks just when its file is made: it would remove one that nobody has locked yet."""
    other, fresh = GatewayInstances(tmp_path, "n0"), GatewayInstances(tmp_path, "n0")
    other.register()
    mkstemp = tempfile.mkstemp

    def seen_at_once(**more):
        made = mkstemp(**more)
        assert other.count_others() == 0
        return made

    with monkeypatch.context() as patch:
        patch.setattr(tempfile, "mkstemp", seen_at_once)
        fresh.register()
    assert other.count_others() == fresh.count_others() == 1
    fresh.unregister()
    other.unregister()
    assert not list(tmp_path.iterdir())


@on_loop
async def test_a_ban_that_cannot_be_kept_holds_here_and_is_kept_once_it_can_be(tmp_path, monkeypatch):
    """A folder is full for a while: the operator hears so, and the next process knows of it all the same."""
    async with StubHost() as one, StubHost() as two, Node(one, two, path=tmp_path) as node:
        with monkeypatch.context() as patch:
            patch.setattr(SharedFile, "write", full)
            assert (await node.call_control("POST /maintenance/enter?host=h1"))[0] == 500
            assert "h1" in node.node.upstream.ejected and not HostOverrides(tmp_path, "n0").read()
        await wait_until(lambda: HostOverrides(tmp_path, "n0").read().get("h1"))
        assert not node.node.overrides.unsaved and HostOverrides(tmp_path, "n0").read()["h1"].ejected


def full(*_):
    raise OSError(errno.ENOSPC, "No space left on device")


@on_loop
async def test_hosts_that_have_gone_are_forgotten_but_for_those_with_a_ban(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        for n in range(50):
            node.discovery.change([entry(host, f"x{n}")])
            await wait_until(lambda n=n: f"x{n}" in node.node.endpoint_updates.known_ids)
            if n == 7:
                assert (await node.call_control("POST /maintenance/enter?host=x7"))[0] == 200
            node.discovery.change([entry(host, f"x{n}", "removed")])
            await wait_until(lambda n=n: f"x{n}" not in node.node.endpoint_updates.known_ids)
        assert node.node.endpoint_updates.known_ids == {"h1"}
        assert (await node.call_control("POST /maintenance/enter?host=x8"))[0] == 404
        assert (await node.call_control("POST /maintenance/exit?host=x7"))[0] == 200
        assert (await node.call_control("POST /maintenance/enter?host=x7"))[0] == 200
        node.discovery.servers = [entry(host, "h2")]
        node.node.discovery.fetch_full_list()
        await wait_until(lambda: node.node.endpoint_updates.known_ids == {"h2"})
