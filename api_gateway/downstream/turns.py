"""Bounds on the commands that are handled in one iteration of the event loop.

Without them one client that sends at full speed keeps the loop from the sockets of all others.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from api_gateway.downstream.client_connection import ClientConnection

# Commands of one connection, and of all connections, handled in one iteration of the event loop. A command
# takes up to some 0.3 ms.
MAX_CONNECTION_COMMANDS = 8
MAX_TOTAL_COMMANDS = 64


class TurnScheduler:
    """Divides the handling of commands into turns, one for each iteration of the event loop.

    A connection whose commands exceed a bound waits; those that wait get their turns in order.

    Attributes:
        number: The number of the current turn.
        waiting: The connections that wait, longest first.
    """

    def __init__(self) -> None:
        """Create a scheduler without waiting connections; requires a running event loop."""
        self.number = 0
        self.waiting: deque[ClientConnection] = deque()
        self._handled_count = 0  # commands handled in this turn
        self._is_end_scheduled = False
        self._loop = asyncio.get_running_loop()

    def take_command(self, connection: ClientConnection) -> bool:
        """Count a command of `connection`; return False if it must wait for the next turn."""
        if not self._is_end_scheduled:
            self._schedule_end()
        if connection.turn_number != self.number:
            connection.turn_number = self.number
            connection.turn_command_count = 0
        if (
            connection.turn_command_count >= MAX_CONNECTION_COMMANDS
            or self._handled_count >= MAX_TOTAL_COMMANDS
        ):
            return False
        connection.turn_command_count += 1
        self._handled_count += 1
        return True

    def wait(self, connection: ClientConnection) -> None:
        """Call `take_turn` of `connection` in a later turn."""
        self.waiting.append(connection)
        if not self._is_end_scheduled:
            self._schedule_end()

    def _schedule_end(self) -> None:
        self._is_end_scheduled = True
        self._loop.call_soon(self._begin_next_turn)

    def _begin_next_turn(self) -> None:
        """Begin a turn, and give it to the waiting connections while the bound on all commands allows."""
        self._is_end_scheduled = False
        self.number += 1
        self._handled_count = 0
        for _ in range(len(self.waiting)):
            if self._handled_count >= MAX_TOTAL_COMMANDS:
                break
            connection = self.waiting.popleft()
            connection.server.run_isolated(connection, connection.take_turn)
        if self.waiting and not self._is_end_scheduled:
            self._schedule_end()
