"""The file of host overrides, and the detection of live processes."""

import errno
import os
import tempfile

import pytest
from netkit import Node, StubHost, entry, on_loop, wait_until

from api_gateway import interface as api
from api_gateway.base.shared_file import SharedFile
from api_gateway.control.host_overrides import HostOverrides
from api_gateway.gateway.instances import GatewayInstances


def test_overrides_are_shared_between_processes(tmp_path):
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
    )  # the end of an ejection expires, an ejection does not


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
def test_corrupt_file_changes_nothing_and_is_overwritten(text, tmp_path):
    overrides = HostOverrides(tmp_path, "n0")
    overrides.store(api.EndpointOverride("h1", True, 5.0))
    overrides.shared_file.path.write_text(text, encoding="latin-1")
    assert (
        overrides.has_changed()
        and overrides.read() == {"h1": api.EndpointOverride("h1", True, 5.0)}
        and not overrides.has_changed()
    )
    (tmp_path / "n0-hosts-out.new").write_text("left behind")
    overrides.store(api.EndpointOverride("h2", True, 6.0))
    assert HostOverrides(tmp_path, "n0").read().keys() == {"h1", "h2"}


def test_without_a_folder_overrides_last_for_the_process_lifetime():
    overrides = HostOverrides(None, "n0")
    overrides.store(api.EndpointOverride("h1", True, 5.0))
    assert overrides.read() == {"h1": api.EndpointOverride("h1", True, 5.0)} and not overrides.has_changed()


def test_unwritable_folder_does_not_prevent_serving(tmp_path):
    one = GatewayInstances(tmp_path / "none", "n0")
    one.register()
    assert one.count_others() == 0
    one.unregister()


def test_only_live_processes_count_and_stale_files_are_removed(tmp_path):
    (tmp_path / "n0-life-left").write_text("")
    one, two, without_folder = (
        GatewayInstances(tmp_path, "n0"),
        GatewayInstances(tmp_path, "n0"),
        GatewayInstances(None, "n0"),
    )
    one.register()
    assert one.count_others() == 0 and not (tmp_path / "n0-life-left").exists()
    two.register()
    assert one.count_others() == two.count_others() == 1
    os.close(two.lock_descriptor)  # as when the process dies
    two.lock_descriptor = -1
    assert one.count_others() == 0
    one.unregister()
    without_folder.register()
    assert without_folder.count_others() == 0 and not list(tmp_path.iterdir())


def test_starting_process_is_never_taken_for_a_dead_one(tmp_path, monkeypatch):
    """Guards against another process that removes the new file between its creation and its locking."""
    running, starting = GatewayInstances(tmp_path, "n0"), GatewayInstances(tmp_path, "n0")
    running.register()
    mkstemp = tempfile.mkstemp

    def mkstemp_then_count(**options):
        created = mkstemp(**options)
        assert running.count_others() == 0
        return created

    with monkeypatch.context() as patch:
        patch.setattr(tempfile, "mkstemp", mkstemp_then_count)
        starting.register()
    assert running.count_others() == starting.count_others() == 1
    starting.unregister()
    running.unregister()
    assert not list(tmp_path.iterdir())


@on_loop
async def test_unsaved_ejection_applies_and_is_saved_later(tmp_path, monkeypatch):
    """With a full disk the call fails but the host is ejected, and the override is stored once that works."""
    async with StubHost() as one, StubHost() as two, Node(one, two, path=tmp_path) as node:
        with monkeypatch.context() as patch:
            patch.setattr(SharedFile, "write", raise_disk_full)
            assert (await node.call_control("POST /maintenance/enter?host=h1"))[0] == 500
            assert "h1" in node.node.upstream.ejected and not HostOverrides(tmp_path, "n0").read()
        await wait_until(lambda: HostOverrides(tmp_path, "n0").read().get("h1"))
        assert not node.node.overrides.unsaved and HostOverrides(tmp_path, "n0").read()["h1"].ejected


def raise_disk_full(*_):
    raise OSError(errno.ENOSPC, "No space left on device")


@on_loop
async def test_removed_hosts_are_forgotten_unless_ejected(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        for number in range(50):
            node.discovery.change([entry(host, f"x{number}")])
            await wait_until(lambda number=number: f"x{number}" in node.node.endpoint_updates.known_ids)
            if number == 7:
                assert (await node.call_control("POST /maintenance/enter?host=x7"))[0] == 200
            node.discovery.change([entry(host, f"x{number}", "removed")])
            await wait_until(lambda number=number: f"x{number}" not in node.node.endpoint_updates.known_ids)
        assert node.node.endpoint_updates.known_ids == {"h1"}
        assert (await node.call_control("POST /maintenance/enter?host=x8"))[0] == 404
        assert (await node.call_control("POST /maintenance/exit?host=x7"))[0] == 200
        assert (await node.call_control("POST /maintenance/enter?host=x7"))[0] == 200
        node.discovery.servers = [entry(host, "h2")]
        node.node.discovery.fetch_full_list()
        await wait_until(lambda: node.node.endpoint_updates.known_ids == {"h2"})
