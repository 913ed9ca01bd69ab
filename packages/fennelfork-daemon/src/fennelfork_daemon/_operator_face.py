"""The operator face: health, configuration and members over HTTP."""

import http

import attrs

from fennelfork import Blackboard, unstructure_document
from fennelfork_daemon._http_router import (
    HttpReply,
    HttpRequest,
    Route,
    json_reply,
)
from fennelfork_daemon._metrics import METRICS_TYPE, DaemonMetrics


@attrs.frozen(kw_only=True)
class OperatorFace:
    """Answers operators."""

    _board: Blackboard
    _metrics: DaemonMetrics

    @property
    def routes(self) -> tuple[Route, ...]:
        """The routes of this face."""
        return (
            Route(method='GET', path='/healthz', handler=self.health),
            Route(method='GET', path='/metrics', handler=self.metrics),
            Route(method='GET', path='/v1/config', handler=self.config),
        )

    def health(self, request: HttpRequest) -> HttpReply:
        """Tell that the process serves."""
        return json_reply({'status': 'ok'})

    def metrics(self, request: HttpRequest) -> HttpReply:
        """Give all metrics as Prometheus text."""
        return HttpReply(
            status=http.HTTPStatus.OK,
            headers=(('Content-Type', METRICS_TYPE),),
            body=self._metrics.page(),
        )

    def config(self, request: HttpRequest) -> HttpReply:
        """Give the configuration in force here."""
        return json_reply(unstructure_document(self._board.document))
