"""One process of the program: it is started, reports where it listens, and ends with its supervisor."""

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

READY_TIMEOUT_S = 20.0  # for a process to be ready
STOP_TIMEOUT_S = 5.0  # after SIGTERM, at which a process is killed
COPY_BYTES = 65536  # of a log that are copied at a time
NO_ENVIRONMENT: Mapping[str, str] = MappingProxyType({})

# Of Linux: options of prctl and numbers of capabilities.
PR_SET_PDEATHSIG = 1
PR_CAPBSET_DROP = 24
CAP_DAC_OVERRIDE = 1
CAP_DAC_READ_SEARCH = 2


def end_with_parent(parent: int, drops_root_access: bool) -> Callable[[], None]:
    """Returns what a child calls before its program begins: the kernel ends it with its parent.

    Args:
        parent: The process id of the parent, which may end by SIGKILL.
        drops_root_access: Whether the modes of files count for the child, also where root starts it.
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
    """One process, whose log is FOLDER/NAME.log; a start again appends to it.

    Attributes:
        name: Of the process and of its log.
        addresses: Where it listens, HOST:PORT by name.
        should_run: Whether it was started and not stopped.
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
        """Starts nothing yet.

        Args:
            name: See the class.
            folder: Of the log.
            module: The program, as in `python -m MODULE`.
            *args: Its arguments.
            env: Variables beside those of this process.
            isolated: Whether only its own files are subject to what happens to its disk: its log goes through
                the supervisor, and file modes count for it.
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
        """Starts the process.

        Args:
            reports_addresses: Whether its first line says in JSON where it listens; it is waited for.
            pipes_output: Whether the caller reads what it prints.

        Raises:
            StartError: That line did not come.
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
        """Takes the addresses of the first line.

        Raises:
            StartError: It did not come, or is no JSON.
        """
        assert output is not None
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                line = await output.readline()
            self.addresses = json.loads(line)
        except (TimeoutError, ValueError) as err:
            raise StartError(self.last_log_line()) from err

    async def copy_to_log(self, output: asyncio.StreamReader | None) -> None:
        """Copies what the process writes to its log, until its end."""
        assert output is not None
        with open(self.log_path, "ab") as log:
            while data := await output.read(COPY_BYTES):
                log.write(data)
                log.flush()

    @property
    def log_path(self) -> Path:
        """Where its log stands."""
        return self.folder / f"{self.name}.log"

    @property
    def is_running(self) -> bool:
        """Whether it was started and has not ended."""
        return self.process is not None and self.process.returncode is None

    def last_log_line(self) -> str:
        """Returns its name with the last line of its log, which says why it ended."""
        lines: list[str] = []
        if self.log_path.exists():
            lines = self.log_path.read_text(errors="replace").strip().splitlines()
        return f"{self.name}: {lines[-1] if lines else 'did not come up'}"

    def send_signal(self, number: int) -> None:
        """Sends a signal, where the process runs."""
        if self.is_running:
            assert self.process is not None
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def kill(self) -> None:
        """Ends it by SIGKILL and waits for its end."""
        self.should_run = False
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def stop(self) -> None:
        """Ends it by SIGTERM, and by SIGKILL where that takes too long."""
        self.should_run = False
        self.send_signal(signal.SIGTERM)
        if self.process is not None:
            try:
                async with asyncio.timeout(STOP_TIMEOUT_S):
                    await self.process.wait()
            except TimeoutError:
                await self.kill()
