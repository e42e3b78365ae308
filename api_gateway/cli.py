"""The command `api-gateway`. Each subcommand imports what it needs by itself."""

from __future__ import annotations

import sys
from collections.abc import Callable
from pathlib import Path
from typing import IO, Any, TypeVar

import click

F = TypeVar("F", bound=Callable[..., None])
LOOPBACK = "127.0.0.1:0"


class Place(click.ParamType):
    """HOST:PORT."""

    name = "host:port"

    def convert(
        self, value: object, param: click.Parameter | None, ctx: click.Context | None
    ) -> tuple[str, int]:
        host, _, port = str(value).rpartition(":")
        if not host or not port.isdecimal() or int(port) > 65535:
            self.fail(f"{value!r} is not HOST:PORT", param, ctx)
        return host, int(port)


PLACE = Place()
POSITIVE = click.FloatRange(min=0)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """An api gateway whose quotas hold over all gateways together."""


@main.command()
@click.option("--gateways", type=click.IntRange(1, 20), default=2, show_default=True)
@click.option("--hosts", type=click.IntRange(1, 50), default=4, show_default=True)
@click.option(
    "--seconds", type=POSITIVE, default=0.0, help="How long traffic lasts.  [default: until Ctrl-C]"
)
@click.option(
    "--kill-gateway-at",
    type=POSITIVE,
    default=0.0,
    metavar="SECONDS",
    help="Kill the last gateway then; it is started again later.",
)
@click.option(
    "--stop-counter-at",
    type=POSITIVE,
    default=0.0,
    metavar="SECONDS",
    help="The counter answers nothing from then on for a while.",
)
@click.option(
    "--for",
    "lasting",
    type=POSITIVE,
    default=4.0,
    show_default=True,
    metavar="SECONDS",
    help="How long a trouble lasts.",
)
@click.option(
    "--traffic",
    "scale",
    type=click.FloatRange(0.01, 100),
    default=1.0,
    show_default=True,
    help="Times the usual traffic.",
)
@click.option("--seed", type=int, default=1, show_default=True, help="Of arrivals and classes.")
@click.option(
    "--folder",
    type=click.Path(file_okay=False, path_type=Path),
    help="For configurations and logs, which then stay.  [default: none stay]",
)
@click.option("--json", "as_json", is_flag=True, help="Print one object at the end and nothing else.")
def demo(as_json: bool, **told: Any) -> None:
    """A fleet on this machine with traffic of its own, some of it beyond quota.

    Starts a list service, a counter, hosts and gateways on 127.0.0.1, and shows what becomes of the requests.
    All of it ends with the command. Exit code: 0 if nothing was lost, quotas held and no process died by
    itself, 1 if not, 2 if it could not start."""
    from api_gateway.demo.play import Plan, play

    sys.exit(play(Plan(**told), as_json))


@main.group()
def standin() -> None:
    """A stand-in for a system that a gateway lives among.

    The first line printed names its two addresses as JSON. At the second one, GET /status tells its counts,
    and POST /faults?silent=1&delay=0.2 switches faults: delay in seconds, and silent, busy, error, reset as
    shares of commands from 0 to 1."""


def started(
    make: Callable[[], Any],
    listen: tuple[str, int],
    control: tuple[str, int],
    beside: Callable[[], Any] | None = None,
) -> None:
    import uvloop

    from api_gateway.emulators.service import run

    try:
        uvloop.run(run(make(), listen, control, beside))
    except OSError as err:
        raise click.ClickException(str(err)) from err


def addresses(command: F) -> F:
    for name in ("--control", "--listen"):
        command = click.option(name, type=PLACE, default=LOOPBACK, show_default=True)(command)
    return click.option("--seed", type=int, default=0, help="Of faults and times of work.")(command)


@standin.command()
@addresses
@click.option(
    "--slots", type=click.IntRange(1), default=4, show_default=True, help="Commands worked on at once."
)
@click.option("--work", type=POSITIVE, default=0.01, show_default=True, help="Seconds that a command takes.")
@click.option("--room", type=click.IntRange(0), default=64, show_default=True, help="Commands that may wait.")
@click.option("--register", type=PLACE, help="The list service to register with.")
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
    """A host: RESP2 commands in, values out."""
    from api_gateway.emulators.host import WorkingHost, stay_registered

    made: list[WorkingHost] = []

    def make() -> WorkingHost:
        made.append(WorkingHost(slots, work, room, seed))
        return made[0]

    place = f"{register[0]}:{register[1]}" if register else ""
    started(
        make,
        listen,
        control,
        (lambda: stay_registered(place, name, zone, lambda: made[0].port)) if register else None,
    )


@standin.command()
@addresses
def counter(listen: tuple[str, int], control: tuple[str, int], seed: int) -> None:
    """The counter: adds to named numbers and tells the totals."""
    from api_gateway.emulators.counter import Counter

    started(lambda: Counter(seed), listen, control)


@standin.command()
@addresses
@click.option("--hosts", type=click.File(), help='A file {"servers": [...]} in the protocol\'s form.')
def discovery(listen: tuple[str, int], control: tuple[str, int], seed: int, hosts: IO[str] | None) -> None:
    """Discovery: one list of hosts from a file. A list that lives is `python -m api_gateway.registry`."""
    import json

    from api_gateway.emulators.discovery import Discovery

    try:
        servers = json.load(hosts)["servers"] if hosts else []
    except (ValueError, KeyError, TypeError) as err:
        raise click.ClickException(f"the file of hosts: {err!r}") from err

    def make() -> Discovery:
        made = Discovery(seed)
        made.servers = servers
        return made

    started(make, listen, control)


if __name__ == "__main__":
    main()
