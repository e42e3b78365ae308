"""Run one fault scenario.

Exit code: 0 kept (all checks passed), 1 failed, 2 the scenario could not be run, 3 void (this machine was
late).
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import signal
import sys
import tempfile
from pathlib import Path

import uvloop

from api_gateway.experiments.faults.play import FAILED, PASSED, VOID, ScenarioRun, write_lines_to
from api_gateway.experiments.faults.scenario import SCENARIO_FOLDER, ScenarioError, read_scenario
from api_gateway.supervisor.errors import StartError

EXIT_CODES = {PASSED: 0, FAILED: 1, VOID: 3}


async def run_until_signal(run: ScenarioRun) -> str:
    """Run the scenario, cancelled by SIGINT, SIGTERM or SIGHUP."""
    task, loop = asyncio.current_task(), asyncio.get_running_loop()
    assert task is not None
    for signal_number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        loop.add_signal_handler(signal_number, task.cancel)
    return await run.run()


def main() -> int:
    """Parse the command line, run the scenario and return the exit code."""
    shipped = ", ".join(sorted(path.stem for path in SCENARIO_FOLDER.glob("*.toml")))
    parser = argparse.ArgumentParser(
        prog="python -m api_gateway.experiments.faults",
        description=__doc__,
        epilog=f"Shipped scenarios: {shipped}.",
    )
    parser.add_argument("scenario", help="path of a .toml file, or the name of a shipped scenario")
    parser.add_argument("--seed", type=int, default=1, help="seed of all random choices")
    parser.add_argument(
        "--events",
        type=Path,
        help="file to which the printed events are also written, one JSON object per line",
    )
    parser.add_argument(
        "--folder", type=Path, help="folder for configurations and logs, which is kept afterwards"
    )
    args = parser.parse_args()
    with contextlib.ExitStack() as stack:
        try:
            scenario = read_scenario(args.scenario)
            if args.folder is None:
                args.folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="faults-")))
            args.folder.mkdir(parents=True, exist_ok=True)
            files = [stack.enter_context(open(args.events, "w"))] if args.events else []
            run = ScenarioRun(scenario, args.folder.resolve(), args.seed, write_lines_to(sys.stdout, *files))
            return EXIT_CODES[uvloop.run(run_until_signal(run))]
        except (ScenarioError, StartError, OSError) as err:
            print(f"faults: {err}", file=sys.stderr)
            return 2
        except asyncio.CancelledError:
            print("faults: interrupted", file=sys.stderr)
            return 2


if __name__ == "__main__":
    sys.exit(main())
