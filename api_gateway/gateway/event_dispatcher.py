"""Hands events to the decision module one after another, and each action to its handler."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from api_gateway import interface as api

log = logging.getLogger(__name__)


class Engine(Protocol):
    """What the dispatcher needs of a decision module."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Return the actions for an event that happened at `now`, in seconds of the gateway's clock."""
        ...


# A handler takes the one type of action that it stands for in the map of handlers, which a map cannot say.
ActionHandler = Callable[[Any], object]


class EventDispatcher:
    """Knows events and actions only, and nothing of sockets or requests.

    Attributes:
        engine: The decision module.
        clock: The time of events, in seconds.
        handlers: What carries out each type of action; filled by the composition root.
        on_engine_failure: Called with an event on which the decision module failed.
    """

    def __init__(self, engine: Engine, clock: Callable[[], float]) -> None:
        """Begin without handlers, which the composition root adds."""
        self.engine = engine
        self.clock = clock
        self.handlers: dict[type[api.Action], ActionHandler] = {}
        self.on_engine_failure: Callable[[api.Event], None] = lambda event: None
        self._waiting: deque[api.Event] = deque()
        self._is_dispatching = False

    def dispatch(self, event: api.Event) -> None:
        """Hand an event over; one that an action causes waits until the actions before it are done."""
        self._waiting.append(event)
        if self._is_dispatching:
            return
        self._is_dispatching = True
        try:
            while self._waiting:
                self._handle(self._waiting.popleft())
        finally:
            self._is_dispatching = False

    def _handle(self, event: api.Event) -> None:
        try:
            actions = self.engine.handle(self.clock(), event)
        except Exception:  # one request must not take the others along
            log.exception("the module failed on %r", event)
            self.on_engine_failure(event)
            return
        for action in actions:
            try:
                self.handlers[type(action)](action)
            except Exception:  # nor one action the rest; the request's guard answers what it was for
                log.exception("%r could not be carried out", action)
