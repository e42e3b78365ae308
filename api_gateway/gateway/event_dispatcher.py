"""Pass events to the decision engine one at a time, and each returned action to its handler."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from api_gateway import interface as api

log = logging.getLogger(__name__)


class Engine(Protocol):
    """The interface of a decision engine that the dispatcher uses."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Return the actions for an event that occurred at `now`, in seconds of the gateway's clock."""
        ...


# Each handler accepts only the action type that is its key in the handler map. The type of a dict cannot
# express this.
ActionHandler = Callable[[Any], object]


class EventDispatcher:
    """Dispatches events and actions without any knowledge of sockets or requests.

    Attributes:
        engine: The decision engine.
        clock: Returns the time of events in seconds.
        handlers: The handler of each action type; set by the composition root.
        on_engine_failure: Called with an event for which the decision engine raised an exception.
    """

    def __init__(self, engine: Engine, clock: Callable[[], float]) -> None:
        """Create a dispatcher without handlers; the composition root adds them."""
        self.engine = engine
        self.clock = clock
        self.handlers: dict[type[api.Action], ActionHandler] = {}
        self.on_engine_failure: Callable[[api.Event], None] = lambda event: None
        self._pending_events: deque[api.Event] = deque()
        self._is_dispatching = False

    def dispatch(self, event: api.Event) -> None:
        """Process an event. An event caused by an action is queued until the pending actions are executed."""
        self._pending_events.append(event)
        if self._is_dispatching:
            return
        self._is_dispatching = True
        try:
            while self._pending_events:
                self._handle(self._pending_events.popleft())
        finally:
            self._is_dispatching = False

    def _handle(self, event: api.Event) -> None:
        try:
            actions = self.engine.handle(self.clock(), event)
        except Exception:  # an error for one request must not affect the others
            log.exception("decision module failed event=%r", event)
            self.on_engine_failure(event)
            return
        for action in actions:
            try:
                self.handlers[type(action)](action)
            # The other actions still run, and the guard timer answers the request concerned.
            except Exception:
                log.exception("action failed action=%r", action)
