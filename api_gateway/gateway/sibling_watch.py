"""Poll periodically for wall clock steps and for changes made by sibling processes of this gateway."""

from __future__ import annotations

import asyncio
import logging
from contextlib import suppress
from typing import Protocol

from api_gateway import interface as api
from api_gateway.gateway.event_dispatcher import EventDispatcher
from api_gateway.gateway.instances import GatewayInstances
from api_gateway.gateway.operator_overrides import OperatorOverrides
from api_gateway.gateway.process_limits import ProcessLimits
from api_gateway.gateway.wall_clock import GatewayClock

POLL_INTERVAL_S = 0.25

log = logging.getLogger(__name__)


class SharedHistory(Protocol):
    """The configuration history that the processes of a gateway share."""

    def poll(self) -> None:
        """Activate the current version if another process has changed it."""
        ...


class SiblingWatch:
    """Polls for wall clock steps, overrides, configurations and the number of sibling processes.

    Attributes:
        clock: The gateway's clock, which detects steps of the wall clock.
        timer: The timer of the next poll; None before the first poll.
        history: The shared configuration history; None until the control server is listening.
    """

    def __init__(
        self,
        clock: GatewayClock,
        dispatcher: EventDispatcher,
        overrides: OperatorOverrides,
        siblings: GatewayInstances,
        limits: ProcessLimits,
    ) -> None:
        """Store the collaborators; the first call of `poll` starts the polling."""
        self.clock = clock
        self._dispatcher = dispatcher
        self._overrides = overrides
        self._siblings = siblings
        self._limits = limits
        self.timer: asyncio.TimerHandle | None = None
        self.history: SharedHistory | None = None

    def poll(self) -> None:
        """Check for changes now and schedule the next poll in POLL_INTERVAL_S."""
        self.timer = asyncio.get_running_loop().call_later(POLL_INTERVAL_S, self.poll)
        if self.clock.has_wall_clock_stepped():
            offset = self.clock.wall_offset
            log.warning("wall clock differs from the gateway's clock offset_s=%+.1f", offset)
            self._dispatcher.dispatch(api.WallClockStepped(offset))
        with suppress(OSError):  # the next poll tries again
            self._overrides.save()
        self._overrides.load()
        if self.history is not None:
            self.history.poll()
        self._limits.process_count = 1 + self._siblings.count_others()
        self._limits.apply()

    def close(self) -> None:
        """Cancel the next poll."""
        if self.timer is not None:
            self.timer.cancel()
