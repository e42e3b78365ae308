"""The command `api-gateway`; each subcommand imports only the modules that it needs."""

from __future__ import annotations

import sys
from collections.abc import Callable
from pathlib import Path
from typing import IO, Any, TypeVar

import click

F = TypeVar("F", bound=Callable[..., None])
DEFAULT_ADDRESS = "127.0.0.1:0"  # a free port of the loopback address


class AddressType(click.ParamType):
    """The type of an option whose value is HOST:PORT; converts it to a pair of host and port."""

    name = "host:port"

    def convert(
        self, value: object, param: click.Parameter | None, ctx: click.Context | None
    ) -> tuple[str, int]:
        """Return host and port, or fail with a usage error."""
        host, _, port = str(value).rpartition(":")
        if not host or not port.isdecimal() or int(port) > 65535:
            self.fail(f"{value!r} is not HOST:PORT", param, ctx)
        return host, int(port)


ADDRESS = AddressType()
NON_NEGATIVE = click.FloatRange(min=0)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """An API gateway whose quotas hold over all gateways together."""


@main.command()
@click.option("--gateways", type=click.IntRange(1, 20), default=2, show_default=True)
@click.option("--hosts", type=click.IntRange(1, 50), default=4, show_default=True)
@click.option(
    "--seconds", type=NON_NEGATIVE, default=0.0, help="Duration of the traffic.  [default: until Ctrl-C]"
)
@click.option(
    "--kill-gateway-at",
    type=NON_NEGATIVE,
    default=0.0,
    metavar="SECONDS",
    help="Kill the last gateway at this time and restart it later.",
)
@click.option(
    "--stop-counter-at",
    type=NON_NEGATIVE,
    default=0.0,
    metavar="SECONDS",
    help="Keep the counter from answering for a while from this time on.",
)
@click.option(
    "--for",
    "lasting",
    type=NON_NEGATIVE,
    default=4.0,
    show_default=True,
    metavar="SECONDS",
    help="Duration of each fault.",
)
@click.option(
    "--traffic",
    "scale",
    type=click.FloatRange(0.01, 100),
    default=1.0,
    show_default=True,
    help="Factor applied to the usual traffic.",
)
@click.option("--seed", type=int, default=1, show_default=True, help="Seed of arrivals and classes.")
@click.option(
    "--folder",
    type=click.Path(file_okay=False, path_type=Path),
    help="Where to write configurations and logs.  [default: a temporary folder]",
)
@click.option("--json", "as_json", is_flag=True, help="Print only one JSON object, at the end.")
def demo(as_json: bool, **options: Any) -> None:
    """Run a cluster on this machine with generated traffic, some of it above quota.

    Starts a list service, a counter, hosts and gateways on 127.0.0.1, and shows the results of the requests.
    All processes end with the command. Exit code: 0 if no request was lost, quotas were kept and no process
    died by itself, 1 if not, 2 if it could not start.
    """
    from api_gateway.demo.play import DemoOptions, play

    sys.exit(play(DemoOptions(**options), as_json))


@main.group()
def standin() -> None:
    """Run a stand-in for a system that gateways use.

    The first line printed gives its two addresses as JSON. At the second one, GET /status returns its counts,
    and POST /faults?silent=1&delay=0.2 sets faults: delay in seconds, and silent, busy, error, reset as
    fractions of commands from 0 to 1.
    """


def run_stand_in(
    make_stand_in: Callable[[], Any],
    listen: tuple[str, int],
    control: tuple[str, int],
    background: Callable[[], Any] | None = None,
) -> None:
    """Run a stand-in until a signal ends it.

    Args:
        make_stand_in: Creates the stand-in.
        listen: Host and port of its protocol.
        control: Host and port of its control server.
        background: Makes a coroutine that runs as long as the stand-in.

    Raises:
        click.ClickException: It cannot listen.
    """
    import uvloop

    from api_gateway.emulators.service import run

    try:
        uvloop.run(run(make_stand_in(), listen, control, background))
    except OSError as err:
        raise click.ClickException(str(err)) from err


def stand_in_options(command: F) -> F:
    """Decorate a command with the options that all stand-ins have."""
    for name in ("--control", "--listen"):
        command = click.option(name, type=ADDRESS, default=DEFAULT_ADDRESS, show_default=True)(command)
    return click.option("--seed", type=int, default=0, help="Seed of faults and times of work.")(command)


@standin.command()
@stand_in_options
@click.option(
    "--slots",
    type=click.IntRange(1),
    default=4,
    show_default=True,
    help="Number of commands worked on at once.",
)
@click.option(
    "--work", type=NON_NEGATIVE, default=0.01, show_default=True, help="Mean seconds of work per command."
)
@click.option(
    "--room", type=click.IntRange(0), default=64, show_default=True, help="Number of commands that may wait."
)
@click.option("--register", type=ADDRESS, help="The list service to register with.")
@click.option("--name", default="host", show_default=True)
@click.option("--zone", default="a", show_default=True)
def host(
    listen: tuple[str, int],
    control: tuple[str, int],
    seed: int,
    slots: int,
    work: float,
    room: int,
    register: tuple[str, int] | None,
    name: str,
    zone: str,
) -> None:
    """Run a host that answers RESP2 commands with values."""
    from api_gateway.emulators.host import WorkingHost, stay_registered

    hosts: list[WorkingHost] = []

    def make_stand_in() -> WorkingHost:
        hosts.append(WorkingHost(slots, work, room, seed))
        return hosts[0]

    service_address = f"{register[0]}:{register[1]}" if register else ""
    run_stand_in(
        make_stand_in,
        listen,
        control,
        (lambda: stay_registered(service_address, name, zone, lambda: hosts[0].port)) if register else None,
    )


@standin.command()
@stand_in_options
def counter(listen: tuple[str, int], control: tuple[str, int], seed: int) -> None:
    """Run a counter that adds to named totals and returns them."""
    from api_gateway.emulators.counter import Counter

    run_stand_in(lambda: Counter(seed), listen, control)


@standin.command()
@stand_in_options
@click.option("--hosts", type=click.File(), help='A file {"servers": [...]} in discovery\'s format.')
def discovery(listen: tuple[str, int], control: tuple[str, int], seed: int, hosts: IO[str] | None) -> None:
    """Run discovery with a fixed list of hosts; for a changing one, use `python -m api_gateway.registry`."""
    import json

    from api_gateway.emulators.discovery import Discovery

    try:
        servers = json.load(hosts)["servers"] if hosts else []
    except (ValueError, KeyError, TypeError) as err:
        raise click.ClickException(f"the file of hosts: {err!r}") from err

    def make_stand_in() -> Discovery:
        stand_in = Discovery(seed)
        stand_in.servers = servers
        return stand_in

    run_stand_in(make_stand_in, listen, control)


if __name__ == "__main__":
    main()
