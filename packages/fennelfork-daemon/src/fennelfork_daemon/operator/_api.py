"""Operator API: health, metrics, members, fronts and request traces."""

import http

import attrs
from prometheus_client.exposition import CONTENT_TYPE_PLAIN_0_0_4

from fennelfork import Blackboard, FailureCode, not_run
from fennelfork_daemon._readiness import unready_reasons
from fennelfork_daemon.config._api import config_api
from fennelfork_daemon.config._reader import ConfigReader
from fennelfork_daemon.config._service import ConfigService
from fennelfork_daemon.home._service import HomeService
from fennelfork_daemon.http._router import (
    HttpReply,
    HttpRequest,
    Route,
    Router,
    failure_reply,
    json_reply,
    router,
)
from fennelfork_daemon.operator._pages import (
    fronts_page,
    members_page,
)
from fennelfork_daemon.settings._tables import Settings
from fennelfork_daemon.tracing._observer import Observer


@attrs.frozen(kw_only=True)
class OperatorApi:
    """Handlers of the operator API."""

    _blackboard: Blackboard
    _home: HomeService
    _observer: Observer
    _reader: ConfigReader

    @property
    def routes(self) -> tuple[Route, ...]:
        """Routes of the operator API."""
        pages = {
            '/healthz': self.health,
            '/readyz': self.readiness,
            '/metrics': self.metrics,
            '/v1/members': self.members,
            '/v1/fronts': self.fronts,
            '/v1/explain/{request_id}': self.explain,
        }
        return tuple(
            Route(method='GET', path=path, handler=handler)
            for path, handler in pages.items()
        )

    def health(self, request: HttpRequest) -> HttpReply:
        """Answer that the process is alive."""
        return json_reply({'status': 'ok'})

    def readiness(self, request: HttpRequest) -> HttpReply:
        """Return whether the daemon is ready, with the reasons if not."""
        reasons = unready_reasons(self._blackboard, self._reader.failure)
        return json_reply(
            {'ready': not reasons, 'reasons': reasons},
            status=(
                http.HTTPStatus.SERVICE_UNAVAILABLE
                if reasons
                else http.HTTPStatus.OK
            ),
        )

    def metrics(self, request: HttpRequest) -> HttpReply:
        """Return all metrics in the Prometheus text format."""
        return HttpReply(
            status=http.HTTPStatus.OK,
            headers=(('Content-Type', CONTENT_TYPE_PLAIN_0_0_4),),
            body=self._observer.metrics.page(),
        )

    def members(self, request: HttpRequest) -> HttpReply:
        """Return the known members of the fleet."""
        return json_reply(members_page(self._blackboard))

    def fronts(self, request: HttpRequest) -> HttpReply:
        """Return the fronts with home daemons and backend servers."""
        return json_reply(
            fronts_page(self._blackboard, self._home.server_statuses)
        )

    def explain(self, request: HttpRequest) -> HttpReply:
        """Return the stored trace of a recent request."""
        request_id = request.names['request_id']
        entry = self._observer.ring.find(request_id)
        if entry is not None:
            return json_reply(entry)
        failure = not_run(
            FailureCode.BAD_REQUEST,
            f'this daemon has no trace of the request {request_id}; '
            'query the daemon that answered, soon after the request',
        )
        return failure_reply(
            failure,
            request_id,
            status=http.HTTPStatus.NOT_FOUND,
        )


def operator_router(
    blackboard: Blackboard,
    home: HomeService,
    observer: Observer,
    config: ConfigService,
    settings: Settings,
    extra_routes: tuple[Route, ...],
) -> Router:
    """Build the WSGI application of the operator API.

    Args:
        blackboard: facts that the components of this daemon share.
        home: service that schedules the requests of shards.
        observer: metrics and traces of requests.
        config: service that reads and changes the configuration.
        settings: settings with the limits of requests.
        extra_routes: routes of other parts of the daemon.
    """
    operator_api = OperatorApi(
        blackboard=blackboard,
        home=home,
        observer=observer,
        reader=config.reader,
    )
    config_routes = config_api(blackboard, config, settings).routes
    return router((*operator_api.routes, *config_routes, *extra_routes))
