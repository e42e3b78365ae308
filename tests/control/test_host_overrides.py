"""The file of hosts out by hand, and which processes live."""

import errno
import os
import tempfile

import pytest
from netkit import Node, StubHost, entry, on_loop, until

from api_gateway import interface as api
from api_gateway.base.shared_file import Kept
from api_gateway.control.host_overrides import Bans
from api_gateway.gateway.instances import Lives


def test_what_one_process_says_another_reads(tmp_path):
    one, two = Bans(tmp_path, "n0"), Bans(tmp_path, "n0")
    assert not two.changed()
    one.say(api.EndpointOverride("h1", True, 5.0))
    two.say(api.EndpointOverride("h2", True, 6.0))
    assert one.changed() and not two.changed()
    assert (
        one.read()
        == two.overrides
        == {"h1": api.EndpointOverride("h1", True, 5.0), "h2": api.EndpointOverride("h2", True, 6.0)}
    )
    one.say(api.EndpointOverride("h1", False, 7.0))
    assert two.read()["h1"] == api.EndpointOverride("h1", False, 7.0)
    one.say(api.EndpointOverride("h3", True, 1000.0))
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
    bans = Bans(tmp_path, "n0")
    bans.say(api.EndpointOverride("h1", True, 5.0))
    bans.shared_file.path.write_text(text, encoding="latin-1")
    assert (
        bans.changed() and bans.read() == {"h1": api.EndpointOverride("h1", True, 5.0)} and not bans.changed()
    )
    (tmp_path / "n0-hosts-out.new").write_text("left behind")
    bans.say(api.EndpointOverride("h2", True, 6.0))
    assert Bans(tmp_path, "n0").read().keys() == {"h1", "h2"}


def test_without_a_folder_bans_last_as_long_as_the_process():
    bans = Bans(None, "n0")
    bans.say(api.EndpointOverride("h1", True, 5.0))
    assert bans.read() == {"h1": api.EndpointOverride("h1", True, 5.0)} and not bans.changed()


def test_a_folder_that_cannot_be_written_to_does_not_keep_a_process_from_serving(tmp_path):
    one = Lives(tmp_path / "none", "n0")
    one.begin()
    assert one.others() == 0
    one.end()


def test_only_processes_that_live_count_and_leavings_go(tmp_path):
    (tmp_path / "n0-life-left").write_text("")
    one, two, none = Lives(tmp_path, "n0"), Lives(tmp_path, "n0"), Lives(None, "n0")
    one.begin()
    assert one.others() == 0 and not (tmp_path / "n0-life-left").exists()
    two.begin()
    assert one.others() == two.others() == 1
    os.close(two.lock_descriptor)  # as its death does
    two.lock_descriptor = -1
    assert one.others() == 0
    one.end()
    none.begin()
    assert none.others() == 0 and not list(tmp_path.iterdir())


def test_a_process_that_begins_is_never_taken_for_a_dead_one(tmp_path, monkeypatch):
    """Another looks just when its file is made: it would remove one that nobody has locked yet."""
    other, fresh = Lives(tmp_path, "n0"), Lives(tmp_path, "n0")
    other.begin()
    mkstemp = tempfile.mkstemp

    def seen_at_once(**more):
        made = mkstemp(**more)
        assert other.others() == 0
        return made

    with monkeypatch.context() as patch:
        patch.setattr(tempfile, "mkstemp", seen_at_once)
        fresh.begin()
    assert other.others() == fresh.others() == 1
    fresh.end()
    other.end()
    assert not list(tmp_path.iterdir())


@on_loop
async def test_a_ban_that_cannot_be_kept_holds_here_and_is_kept_once_it_can_be(tmp_path, monkeypatch):
    """A folder is full for a while: the operator hears so, and the next process knows of it all the same."""
    async with StubHost() as one, StubHost() as two, Node(one, two, path=tmp_path) as node:
        with monkeypatch.context() as patch:
            patch.setattr(Kept, "write", full)
            assert (await node.call("POST /maintenance/enter?host=h1"))[0] == 500
            assert "h1" in node.node.hosts.out and not Bans(tmp_path, "n0").read()
        await until(lambda: Bans(tmp_path, "n0").read().get("h1"))
        assert not node.node.overrides.unsaved and Bans(tmp_path, "n0").read()["h1"].ejected


def full(*_):
    raise OSError(errno.ENOSPC, "No space left on device")


@on_loop
async def test_hosts_that_have_gone_are_forgotten_but_for_those_with_a_ban(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        for n in range(50):
            node.discovery.change([entry(host, f"x{n}")])
            await until(lambda n=n: f"x{n}" in node.node.endpoints.known_ids)
            if n == 7:
                assert (await node.call("POST /maintenance/enter?host=x7"))[0] == 200
            node.discovery.change([entry(host, f"x{n}", "removed")])
            await until(lambda n=n: f"x{n}" not in node.node.endpoints.known_ids)
        assert node.node.endpoints.known_ids == {"h1"}
        assert (await node.call("POST /maintenance/enter?host=x8"))[0] == 404
        assert (await node.call("POST /maintenance/exit?host=x7"))[0] == 200
        assert (await node.call("POST /maintenance/enter?host=x7"))[0] == 200
        node.discovery.servers = [entry(host, "h2")]
        node.node.discovery.fetch()
        await until(lambda: node.node.endpoints.known_ids == {"h2"})
