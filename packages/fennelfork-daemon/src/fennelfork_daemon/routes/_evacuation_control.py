"""Applies and logs the evacuations that operators request."""

from collections.abc import Iterable

import attrs

from fennelfork.routes import Evacuations, ServerDirectory
from fennelfork_daemon.logs._decision_log import DecisionLog
from fennelfork_daemon.routes import _events_servers as servers


@attrs.frozen(kw_only=True)
class EvacuationControl:
    """Starts and ends evacuations of data centres in the server directory."""

    _directory: ServerDirectory
    _log: DecisionLog

    def start(self, data_centre: str) -> None:
        """Stop sending requests to the servers of a data centre."""
        if not self._evacuations.start(data_centre):
            return
        registered = self._directory.registry.entries.values()
        count = sum(server.data_centre == data_centre for server in registered)
        self._log.log_decision(
            servers.EvacuationStarted(data_centre=data_centre, servers=count)
        )

    def end(self, data_centre: str) -> None:
        """Send requests to the servers of a data centre again."""
        if self._evacuations.end(data_centre):
            self._log_end(data_centre)

    def retain(self, data_centres: Iterable[str]) -> None:
        """End all evacuations except those of the given data centres."""
        for data_centre in self._evacuations.retain(data_centres):
            self._log_end(data_centre)

    @property
    def _evacuations(self) -> Evacuations:
        return self._directory.evacuations

    def _log_end(self, data_centre: str) -> None:
        self._log.log_decision(servers.EvacuationEnded(data_centre=data_centre))
