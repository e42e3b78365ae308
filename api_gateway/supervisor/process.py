"""A child process that runs a module of the program and ends when its supervisor ends."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import json
import os
import signal
import sys
from asyncio.subprocess import DEVNULL, PIPE, Process
from collections.abc import Callable, Mapping
from pathlib import Path
from types import MappingProxyType

from api_gateway.supervisor.errors import StartError

READY_TIMEOUT_S = 20.0  # time for a process to become ready
STOP_TIMEOUT_S = 5.0  # time from SIGTERM to SIGKILL
COPY_BYTES = 65536  # maximum read at once when output is copied to a log
NO_ENVIRONMENT: Mapping[str, str] = MappingProxyType({})

# Linux constants: options of prctl and numbers of capabilities.
PR_SET_PDEATHSIG = 1
PR_CAPBSET_DROP = 24
CAP_DAC_OVERRIDE = 1
CAP_DAC_READ_SEARCH = 2


def end_with_parent(parent: int, drops_root_access: bool) -> Callable[[], None]:
    """Return a function that a child calls before it executes its program, so that it ends with its parent.

    The kernel sends the child SIGTERM when the parent ends, even if SIGKILL ends the parent.

    Args:
        parent: The process id of the parent.
        drops_root_access: Whether file modes apply to the child even if root starts it.
    """
    libc = ctypes.CDLL(None, use_errno=True)

    def prepare() -> None:
        libc.prctl(PR_SET_PDEATHSIG, signal.SIGTERM)
        if drops_root_access:
            for capability in (CAP_DAC_OVERRIDE, CAP_DAC_READ_SEARCH):
                libc.prctl(PR_CAPBSET_DROP, capability)
        if os.getppid() != parent:
            os._exit(1)

    return prepare


class ManagedProcess:
    """A process that can be started and stopped; its log is FOLDER/NAME.log, and a restart appends to it.

    Attributes:
        name: Name of the process and of its log.
        addresses: Addresses at which it listens, HOST:PORT by name.
        should_run: Whether it was started and has not been stopped since.
    """

    def __init__(
        self,
        name: str,
        folder: Path,
        module: str,
        *args: str,
        env: Mapping[str, str] = NO_ENVIRONMENT,
        isolated: bool = False,
    ) -> None:
        """Prepare a process; it is not started yet.

        Args:
            name: Name of the process and of its log.
            folder: Folder of the log.
            module: The program, as in `python -m MODULE`.
            *args: Arguments of the program.
            env: Environment variables in addition to those of this process.
            isolated: Whether disk faults are to affect only the files of this process: the supervisor writes
                its log, and file modes apply to it even if root starts it.
        """
        self.name = name
        self.folder = folder
        self.command = ("-B", "-m", module, *args)
        self.isolated = isolated
        self.env = {**os.environ, **env}
        self.process: Process | None = None
        self.should_run = False
        self.addresses: dict[str, str] = {}

    async def start(self, reports_addresses: bool = False, pipes_output: bool = False) -> None:
        """Start the process.

        Args:
            reports_addresses: Whether the first line it prints gives its addresses as JSON; this method waits
                for that line.
            pipes_output: Whether the caller reads its standard output.

        Raises:
            StartError: It did not report its addresses.
        """
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *self.command,
                env=self.env,
                stdin=DEVNULL,
                stdout=PIPE if reports_addresses or pipes_output else log,
                stderr=PIPE if self.isolated else log,
                start_new_session=True,
                preexec_fn=end_with_parent(os.getpid(), self.isolated),
            )
        self.should_run = True
        if self.isolated:
            self.copy_task = asyncio.create_task(self.copy_to_log(self.process.stderr))
        if reports_addresses:
            await self.read_addresses(self.process.stdout)

    async def read_addresses(self, output: asyncio.StreamReader | None) -> None:
        """Read the addresses from the first line of output.

        Raises:
            StartError: The line did not arrive in time or is not JSON.
        """
        assert output is not None
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                line = await output.readline()
            self.addresses = json.loads(line)
        except (TimeoutError, ValueError) as err:
            raise StartError(self.last_log_line()) from err

    async def copy_to_log(self, output: asyncio.StreamReader | None) -> None:
        """Copy the output of the process to its log until the process ends."""
        assert output is not None
        with open(self.log_path, "ab") as log:
            while data := await output.read(COPY_BYTES):
                log.write(data)
                log.flush()

    @property
    def log_path(self) -> Path:
        """The path of the log."""
        return self.folder / f"{self.name}.log"

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self.process is not None and self.process.returncode is None

    def last_log_line(self) -> str:
        """Return the name and the last line of the log, which usually says why the process ended."""
        lines: list[str] = []
        if self.log_path.exists():
            lines = self.log_path.read_text(errors="replace").strip().splitlines()
        return f"{self.name}: {lines[-1] if lines else 'did not start'}"

    def send_signal(self, number: int) -> None:
        """Send a signal if the process is running."""
        if self.is_running:
            assert self.process is not None
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def kill(self) -> None:
        """Send SIGKILL and wait until the process has ended."""
        self.should_run = False
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def stop(self) -> None:
        """Send SIGTERM and wait until the process has ended; send SIGKILL after STOP_TIMEOUT_S."""
        self.should_run = False
        self.send_signal(signal.SIGTERM)
        if self.process is not None:
            try:
                async with asyncio.timeout(STOP_TIMEOUT_S):
                    await self.process.wait()
            except TimeoutError:
                await self.kill()
