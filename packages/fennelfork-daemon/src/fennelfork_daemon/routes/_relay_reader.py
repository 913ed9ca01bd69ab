"""Reads updates of the store from other daemons."""

from typing import Any, Final

import attrs
from returns.result import Result, Success

from fennelfork import Failure
from fennelfork.membership import Member
from fennelfork.routes import StorePolling
from fennelfork_daemon.routes._fleet_reporter import FleetReporter
from fennelfork_daemon.routes._ports import RelayClient, RelayedBatch
from fennelfork_daemon.routes._relay_sources import RelaySources
from fennelfork_daemon.routes._store_copy import StoreCopy

# Delay between two requests to a relay.
_DELAY_MS: Final = 100.0
# Delay between two requests to a relay while neither this daemon nor a relay can
# read the store.
_DISCONNECTED_DELAY_MS: Final = 500.0


@attrs.frozen(kw_only=True)
class RelayReader:
    """Reads updates from relays and records the relays that failed.

    Attributes:
        sources: choice between the store and the relays.
        reporter: log of the sources of updates.
    """

    sources: RelaySources
    reporter: FleetReporter
    _client: RelayClient
    _copy: StoreCopy
    _polling: StorePolling

    def fetch(self, relay: Member) -> Result[Any, Failure]:
        """Ask a relay for the updates after the latest known position."""
        return self._client.fetch(
            relay.peer,
            self._copy.position,
            self._polling.relay_timeouts(),
        )

    def apply(self, relay: Member, result: Result[Any, Failure]) -> float:
        """Apply the reply of a relay and return the delay in ms."""
        if not isinstance(result, Success):
            self.sources.health.record_failure(relay.name)
            self.reporter.relay_failed(relay.name, result.failure())
            return 0
        batch = result.unwrap()
        is_current = isinstance(
            batch, RelayedBatch
        ) and self._copy.apply_relayed(batch, self._polling.max_age_ms)
        self._copy.relay.is_connected = is_current
        if is_current:
            return _DELAY_MS
        self.sources.health.record_disconnected(relay.name)
        return 0 if self.sources.is_store_available else _DISCONNECTED_DELAY_MS
