"""The demo command: its processes, output and errors; the launcher; the modules that a gateway imports."""

import importlib.machinery
import importlib.util
import json
import os
import signal
import socket
import subprocess
import sys
import time

import pytest
from commands import ROOT, Command
from netkit import on_loop

from api_gateway.supervisor.errors import StartError
from api_gateway.supervisor.local_cluster import LocalCluster

SMALL_DEMO = ("demo", "--gateways", "2", "--hosts", "2", "--json")


def test_demo_loses_no_request_when_a_gateway_is_killed_and_the_counter_is_silent():
    command = Command(
        *SMALL_DEMO, "--seconds", "6", "--kill-gateway-at", "1.5", "--stop-counter-at", "2", "--for", "1"
    )
    status, out, err = command.result()
    report = json.loads(out)
    assert (status, err) == (0, "") and not command.running_processes()
    assert report["lost"] == 0 and report["quota_kept"] and report["died"] == []
    assert report["served"] > 100 and report["refused"] > 10  # some customers ask for more than their quota
    assert {event["what"] for event in report["events"]} == {
        "gateway-1 killed",
        "counter silent",
        "counter back",
        "gateway-1 back",
    }
    assert all(gateway["alive"] and gateway["served"] for gateway in report["gateways"].values())
    # Each reply to a client came from a host; hosts may have served more, for the gateway that was killed.
    served_by_hosts = sum(host["commands"].get("served", 0) for host in report["hosts"].values())
    assert served_by_hosts >= report["served"] == sum(c["served"] for c in report["classes"].values())


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM, signal.SIGHUP])
def test_demo_ended_by_a_signal_prints_its_results(number, tmp_path):
    command = Command(*SMALL_DEMO, scratch=tmp_path)
    command.wait_for_clients()
    command.process.send_signal(number)
    status, out, err = command.result()
    assert (status, err) == (0, "") and json.loads(out)["lost"] == 0 and not command.running_processes()


def test_processes_of_a_demo_end_when_the_demo_is_killed(tmp_path):
    command = Command(*SMALL_DEMO, scratch=tmp_path)
    command.wait_for_clients()
    command.process.kill()
    command.result()
    command.wait_until(lambda: not command.running_processes(), 10)


def test_demo_reports_a_process_that_died_and_continues(tmp_path):
    command = Command(*SMALL_DEMO, scratch=tmp_path)
    command.wait_for_clients()
    (host_pid,) = [pid for pid, line in command.running_processes().items() if "host-1" in line]
    os.kill(host_pid, signal.SIGKILL)
    time.sleep(1.0)
    command.process.send_signal(signal.SIGINT)
    status, out, _ = command.result()
    report = json.loads(out)
    assert (
        status == 1 and report["died"] == ["host-1"] and report["hosts"]["host-0"]["commands"]["served"] > 0
    )


@pytest.mark.parametrize(
    "args, status, why",
    [
        (("demo", "--gateways", "0"), 2, "'--gateways'"),
        (("demo", "--for", "soon"), 2, "'--for'"),
        (("dance",), 2, "No such command"),
        (("standin", "counter", "--listen", "7000"), 2, "is not HOST:PORT"),
        (("standin", "discovery", "--hosts", "none.json"), 2, "none.json"),
        (("standin", "discovery", "--hosts", "README.md"), 1, "the file of hosts"),
        (("standin", "counter", "--listen", "192.0.2.1:1"), 1, "192.0.2.1"),
        (("--help",), 0, ""),
    ],
)
def test_usage_and_start_errors_are_reported_without_a_traceback(args, status, why):
    exit_status, out, err = Command(*args).result()
    assert exit_status == status and why in err and "Traceback" not in err + out


def test_piped_output_contains_no_control_codes():
    status, out, _ = Command("demo", "--gateways", "1", "--hosts", "1", "--seconds", "1").result()
    assert status == 0 and "\x1b" not in out and "quota kept: yes" in out and "gateway-0" in out


@on_loop
async def test_start_error_names_the_process_whose_port_is_in_use(scratch):
    cluster = LocalCluster(scratch, 1, 1)
    with socket.create_server(("127.0.0.1", 0)) as listener:
        cluster.gateways[0].addresses["listen"] = f"127.0.0.1:{listener.getsockname()[1]}"
        with pytest.raises(StartError, match="gateway-0: .*[Aa]ddress already in use"):
            await cluster.start()
        await cluster.stop()
    assert not any(process.is_running for process in cluster.all_processes())


@pytest.mark.parametrize("folder", ["README.md/x", "/proc/none"])
def test_error_for_a_folder_that_cannot_be_created_is_one_line(folder):
    status, out, err = Command(*SMALL_DEMO, "--folder", folder).result()
    assert status == 2 and err.startswith("api-gateway demo: ") and err.count("\n") == 1 and not out


# The launcher


@pytest.fixture
def launcher_folder(tmp_path):
    """A folder with the launcher and a command that prints the prefix of the environment in which it runs."""
    (tmp_path / "api_gateway").mkdir()
    (tmp_path / "api_gateway" / "cli.py").write_text("import sys; print(sys.prefix, *sys.argv[1:])")
    for name in ("requirements.txt", "requirements-dev.txt"):
        (tmp_path / name).write_text("")
    (tmp_path / "pyproject.toml").write_text("[project.optional-dependencies]\ncli = []\n")
    (tmp_path / "api-gateway").write_bytes((ROOT / "api-gateway").read_bytes())
    return tmp_path


def launch(folder, *args):
    return Command(*args, cwd=folder, program=(sys.executable, "api-gateway"))


def test_launcher_creates_the_environment_once_and_again_when_pins_change(launcher_folder):
    commands = [launch(launcher_folder, "a"), launch(launcher_folder, "b")]  # at the same time
    results = [command.result() for command in commands]
    assert [status for status, _, _ in results] == [0, 0]
    assert "".join(err for _, _, err in results).count("making") == 1
    assert results[0][1] == f"{launcher_folder / '.api-gateway' / 'run'} a\n"
    (launcher_folder / ".api-gateway" / "run" / "made").unlink()  # as after an interrupted creation
    assert "making" in launch(launcher_folder).result()[2]
    (launcher_folder / "requirements.txt").write_text("# other pins\n")
    assert (
        "making" in launch(launcher_folder).result()[2]
        and "making" not in launch(launcher_folder).result()[2]
    )


def test_launcher_reports_an_environment_that_cannot_be_created(launcher_folder):
    (launcher_folder / "requirements.txt").write_text("no-such==file\n--no-index\n")
    status, out, err = launch(launcher_folder).result()
    assert status == 2 and "no environment could be made" in err and "Traceback" not in err and not out


def test_launcher_in_a_read_only_folder_uses_the_cache_for_its_environment(launcher_folder, monkeypatch):
    loader = importlib.machinery.SourceFileLoader("launcher", str(launcher_folder / "api-gateway"))
    launcher = importlib.util.module_from_spec(importlib.util.spec_from_loader("launcher", loader))
    loader.exec_module(launcher)
    monkeypatch.setattr(launcher.os, "access", lambda *_: False)
    monkeypatch.setenv("XDG_CACHE_HOME", str(launcher_folder / "cache"))
    assert launcher.place(False).parent.parent == launcher_folder / "cache" / "api-gateway"


def test_gateway_imports_only_the_modules_it_needs():
    """A gateway must not load parts that are switched off, nor the dependencies of the command line."""
    imported = subprocess.run(
        [sys.executable, "-c", "import api_gateway.gateway.__main__, sys; print(*sorted(sys.modules))"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    ).stdout.split()
    assert [name for name in imported if name.startswith("api_gateway")] == [
        "api_gateway",
        "api_gateway.base",
        "api_gateway.base.accepting",
        "api_gateway.base.allocator",
        "api_gateway.base.byte_budget",
        "api_gateway.base.descriptors",
        "api_gateway.base.endpoint_list",
        "api_gateway.base.errors",
        "api_gateway.base.ratelimit",
        "api_gateway.base.reason_log",
        "api_gateway.base.resp",
        "api_gateway.base.shared_file",
        "api_gateway.control",
        "api_gateway.control.errors",
        "api_gateway.control.host_overrides",
        "api_gateway.counter_client",
        "api_gateway.discovery",
        "api_gateway.discovery.client",
        "api_gateway.discovery.drain_memory",
        "api_gateway.discovery.fetcher",
        "api_gateway.discovery.polling",
        "api_gateway.downstream",
        "api_gateway.downstream.body_budget",
        "api_gateway.downstream.client_connection",
        "api_gateway.downstream.client_server",
        "api_gateway.downstream.client_socket",
        "api_gateway.downstream.command_reader",
        "api_gateway.downstream.connection_ends",
        "api_gateway.downstream.connection_state",
        "api_gateway.downstream.connection_timeouts",
        "api_gateway.downstream.idle_connections",
        "api_gateway.downstream.large_body",
        "api_gateway.downstream.listener",
        "api_gateway.downstream.partial_command",
        "api_gateway.downstream.pending_reply",
        "api_gateway.downstream.reply_account",
        "api_gateway.downstream.reply_delivery",
        "api_gateway.downstream.send_time",
        "api_gateway.downstream.turns",
        "api_gateway.gateway",
        "api_gateway.gateway.__main__",
        "api_gateway.gateway.action_executor",
        "api_gateway.gateway.active_config",
        "api_gateway.gateway.attempt_runner",
        "api_gateway.gateway.config",
        "api_gateway.gateway.config_reload",
        "api_gateway.gateway.discovery_setup",
        "api_gateway.gateway.endpoint_updates",
        "api_gateway.gateway.event_dispatcher",
        "api_gateway.gateway.forwarded_ids",
        "api_gateway.gateway.in_flight",
        "api_gateway.gateway.instances",
        "api_gateway.gateway.memory_watch",
        "api_gateway.gateway.node",
        "api_gateway.gateway.operator_overrides",
        "api_gateway.gateway.process_limits",
        "api_gateway.gateway.rejections",
        "api_gateway.gateway.request_parser",
        "api_gateway.gateway.serving_state",
        "api_gateway.gateway.shutdown",
        "api_gateway.gateway.sibling_watch",
        "api_gateway.gateway.status",
        "api_gateway.gateway.wall_clock",
        "api_gateway.interface",
        "api_gateway.interface.actions",
        "api_gateway.interface.checks",
        "api_gateway.interface.events",
        "api_gateway.interface.settings",
        "api_gateway.policy",
        "api_gateway.policy.account_table",
        "api_gateway.policy.cluster_clock",
        "api_gateway.policy.counter_calls",
        "api_gateway.policy.customer_accounts",
        "api_gateway.policy.endpoint_load",
        "api_gateway.policy.endpoint_selection",
        "api_gateway.policy.endpoint_subset",
        "api_gateway.policy.endpoint_table",
        "api_gateway.policy.endpoints",
        "api_gateway.policy.engine",
        "api_gateway.policy.load_shedding",
        "api_gateway.policy.open_attempt_limit",
        "api_gateway.policy.outlier_detection",
        "api_gateway.policy.quota_leases",
        "api_gateway.policy.request_state",
        "api_gateway.policy.retries",
        "api_gateway.policy.slow_start",
        "api_gateway.settings_parser",
        "api_gateway.upstream",
        "api_gateway.upstream.attempt",
        "api_gateway.upstream.connection",
        "api_gateway.upstream.endpoint_pools",
        "api_gateway.upstream.load_report",
        "api_gateway.upstream.pool",
    ]
    assert not {"click", "rich", "aiohttp"} & set(imported)
