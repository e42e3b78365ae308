"""Plays one scenario. Exit code: 0 kept, 1 failed, 2 it could not be played, 3 void: this machine was
late."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import signal
import sys
import tempfile
from pathlib import Path

import uvloop

from api_gateway.experiments.faults.play import FAILED, KEPT, VOID, Play, lines_to
from api_gateway.experiments.faults.scenario import SHIPPED, ScenarioError, read_scenario
from api_gateway.supervisor.errors import StartError

CODES = {KEPT: 0, FAILED: 1, VOID: 3}


async def ended_by_signals(play: Play) -> str:
    task, loop = asyncio.current_task(), asyncio.get_running_loop()
    assert task is not None
    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        loop.add_signal_handler(number, task.cancel)
    return await play.run()


def main() -> int:
    shipped = ", ".join(sorted(path.stem for path in SHIPPED.glob("*.toml")))
    parser = argparse.ArgumentParser(
        prog="python -m api_gateway.experiments.faults",
        description=__doc__,
        epilog=f"Scenarios that come with the program: {shipped}.",
    )
    parser.add_argument("scenario", help="a file that ends in .toml, or one that comes with the program")
    parser.add_argument("--seed", type=int, default=1, help="of what is drawn")
    parser.add_argument("--events", type=Path, help="a file for what is printed: what was done, a line each")
    parser.add_argument("--folder", type=Path, help="for configurations and logs, which then stay")
    args = parser.parse_args()
    with contextlib.ExitStack() as stack:
        try:
            scenario = read_scenario(args.scenario)
            if args.folder is None:
                args.folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="faults-")))
            args.folder.mkdir(parents=True, exist_ok=True)
            files = [stack.enter_context(open(args.events, "w"))] if args.events else []
            play = Play(scenario, args.folder.resolve(), args.seed, lines_to(sys.stdout, *files))
            return CODES[uvloop.run(ended_by_signals(play))]
        except (ScenarioError, StartError, OSError) as err:
            print(f"faults: {err}", file=sys.stderr)
            return 2
        except asyncio.CancelledError:
            print("faults: ended", file=sys.stderr)
            return 2


if __name__ == "__main__":
    sys.exit(main())
