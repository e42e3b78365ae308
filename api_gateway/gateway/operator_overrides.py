"""Apply operator overrides, which eject or readmit endpoints regardless of the endpoint list."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import replace

from api_gateway import interface as api
from api_gateway.control.host_overrides import HostOverrides, UnknownHostError
from api_gateway.gateway.event_dispatcher import EventDispatcher
from api_gateway.upstream.endpoint_pools import EndpointPools

log = logging.getLogger(__name__)


class OperatorOverrides:
    """Owns the active overrides of this process and saves them to the file shared with sibling processes.

    Attributes:
        latest: The latest override of each endpoint that ever had one, by endpoint id.
        unsaved: The overrides set in this process that are not written to the file yet.
    """

    def __init__(
        self,
        store: HostOverrides,
        upstream: EndpointPools,
        dispatcher: EventDispatcher,
        is_known: Callable[[str], bool],
    ) -> None:
        """Store the collaborators.

        Args:
            store: The shared file.
            upstream: The endpoint pools, which are closed or reopened by an override.
            dispatcher: Passes each override to the decision engine.
            is_known: Returns whether an endpoint is known from an endpoint list.
        """
        self._store = store
        self._upstream = upstream
        self._dispatcher = dispatcher
        self._is_known = is_known
        self.latest: dict[str, api.EndpointOverride] = {}
        self.unsaved: dict[str, api.EndpointOverride] = {}

    def set_override(self, endpoint_id: str, *, ejected: bool) -> None:
        """Eject an endpoint on behalf of an operator, or end its ejection. Repeated calls have no effect.

        Raises:
            UnknownHostError: The endpoint is not known from any endpoint list.
            OSError: The override could not be saved for sibling and later processes. It is active in this
                process nevertheless, and saving is retried later.
        """
        self.load()
        if endpoint_id not in self.latest and not self._is_known(endpoint_id):
            raise UnknownHostError(endpoint_id)
        if ejected == (endpoint_id in self._upstream.ejected):
            return
        override = api.EndpointOverride(endpoint_id, ejected, self._dispatcher.clock())
        self.apply(override)
        self.unsaved[endpoint_id] = override
        self.save()

    def load(self) -> None:
        """Apply the overrides that sibling processes have written since the last call."""
        if self._store.has_changed():
            for override in self._store.read().values():
                self.apply(override)

    def save(self) -> None:
        """Write the unsaved overrides to the shared file.

        Raises:
            OSError: An override could not be written. It and those after it stay unsaved.
        """
        for endpoint_id, override in list(self.unsaved.items()):
            self._store.store(override)
            del self.unsaved[endpoint_id]

    def apply(self, override: api.EndpointOverride) -> None:
        """Activate an override in this process, unless it is active already."""
        if self.latest.get(override.endpoint_id) == override:
            return
        self.latest[override.endpoint_id] = override
        # Another process may have set the timestamp by a different wall clock.
        override = replace(override, overridden_at=self._dispatcher.clock())
        if override.ejected:
            log.info("endpoint ejected by operator override endpoint=%s", override.endpoint_id)
            # The decision engine is notified first, so that attempts on the closed connections are not
            # retried at this endpoint.
            self._dispatcher.dispatch(override)
            self._upstream.set_ejected(override.endpoint_id, True)
        else:
            log.info("operator override ended endpoint=%s", override.endpoint_id)
            self._upstream.set_ejected(override.endpoint_id, False)
            self._dispatcher.dispatch(override)
