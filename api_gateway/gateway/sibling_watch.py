"""The regular check of the wall clock and of what this gateway's other processes did."""

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
    """The history of configurations that the processes of a gateway share."""

    def poll(self) -> None:
        """Follow the version in force where another process has changed it."""
        ...


class SiblingWatch:
    """Polls for wall clock steps, overrides, configurations and the number of sibling processes.

    Attributes:
        clock: The gateway's clock, which sees the wall clock step.
        timer: Of the next poll; None before the first one.
        history: Followed from when operators may call on.
    """

    def __init__(
        self,
        clock: GatewayClock,
        dispatcher: EventDispatcher,
        overrides: OperatorOverrides,
        siblings: GatewayInstances,
        limits: ProcessLimits,
    ) -> None:
        """Wire the component; polls begin with the first `poll`."""
        self.clock = clock
        self._dispatcher = dispatcher
        self._overrides = overrides
        self._siblings = siblings
        self._limits = limits
        self.timer: asyncio.TimerHandle | None = None
        self.history: SharedHistory | None = None

    def poll(self) -> None:
        """Check once, and again every POLL_INTERVAL_S."""
        self.timer = asyncio.get_running_loop().call_later(POLL_INTERVAL_S, self.poll)
        if self.clock.has_wall_clock_stepped():
            offset = self.clock.wall_offset
            log.warning("wall clock differs from the gateway's clock offset_s=%+.1f", offset)
            self._dispatcher.dispatch(api.WallClockStepped(offset))
        with suppress(OSError):  # tried again with the next poll
            self._overrides.save()
        self._overrides.load()
        if self.history is not None:
            self.history.poll()
        self._limits.process_count = 1 + self._siblings.count_others()
        self._limits.apply()

    def close(self) -> None:
        """Stop polling."""
        if self.timer is not None:
            self.timer.cancel()
