"""Operators' overrides: endpoints that they ejected, or let back, whatever the endpoint list says."""

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
    """Owns the overrides in force in this process and their copy in the file that sibling processes share.

    Attributes:
        latest: The latest override of each endpoint that ever had one, by endpoint.
        unsaved: Those of them made here that could not be written to the file yet.
    """

    def __init__(
        self,
        store: HostOverrides,
        upstream: EndpointPools,
        dispatcher: EventDispatcher,
        is_known: Callable[[str], bool],
    ) -> None:
        """Wire the component.

        Args:
            store: The shared file.
            upstream: The pools, which close and reopen with an override.
            dispatcher: Takes each override to the decision module.
            is_known: Tells whether an endpoint list has named an endpoint.
        """
        self._store = store
        self._upstream = upstream
        self._dispatcher = dispatcher
        self._is_known = is_known
        self.latest: dict[str, api.EndpointOverride] = {}
        self.unsaved: dict[str, api.EndpointOverride] = {}

    def set_override(self, endpoint_id: str, *, ejected: bool) -> None:
        """Eject an endpoint by an operator's call, or let it be used again. A repeat changes nothing.

        Raises:
            UnknownHost: No list has named the endpoint.
            OSError: The override could not be saved for the processes beside and after this one. It is in
                force here all the same, and is saved once that can be done.
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
        """Apply what sibling processes have written since the last time."""
        if self._store.has_changed():
            for override in self._store.read().values():
                self.apply(override)

    def save(self) -> None:
        """Write down what operators said here and could not be saved so far.

        Raises:
            OSError: An override could not be written; it and those behind it stay unsaved.
        """
        for endpoint_id, override in list(self.unsaved.items()):
            self._store.store(override)
            del self.unsaved[endpoint_id]

    def apply(self, override: api.EndpointOverride) -> None:
        """Bring an override into force in this process. A repeat changes nothing."""
        if self.latest.get(override.endpoint_id) == override:
            return
        self.latest[override.endpoint_id] = override
        # Another process may have made it by another wall clock.
        override = replace(override, overridden_at=self._dispatcher.clock())
        if override.ejected:
            log.info("endpoint ejected by operator override endpoint=%s", override.endpoint_id)
            # The module first: what ends with the connections is not to be sent there once more.
            self._dispatcher.dispatch(override)
            self._upstream.set_ejected(override.endpoint_id, True)
        else:
            log.info("operator override ended endpoint=%s", override.endpoint_id)
            self._upstream.set_ejected(override.endpoint_id, False)
            self._dispatcher.dispatch(override)
