"""The operator face: health, metrics, members, fronts and explanations."""

import http

import attrs
from prometheus_client.exposition import CONTENT_TYPE_PLAIN_0_0_4

from fennelfork import Blackboard, FailureCode, not_run
from fennelfork_daemon._readiness import unready_reasons
from fennelfork_daemon.config._face import config_face
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
class OperatorFace:
    """Answers operators."""

    _board: Blackboard
    _home: HomeService
    _observer: Observer
    _reader: ConfigReader

    @property
    def routes(self) -> tuple[Route, ...]:
        """The routes of this face."""
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
        """Tell that the process serves."""
        return json_reply({'status': 'ok'})

    def readiness(self, request: HttpRequest) -> HttpReply:
        """Tell whether callers should come, and why not."""
        reasons = unready_reasons(self._board, self._reader.failure)
        return json_reply(
            {'ready': not reasons, 'reasons': reasons},
            status=(
                http.HTTPStatus.SERVICE_UNAVAILABLE
                if reasons
                else http.HTTPStatus.OK
            ),
        )

    def metrics(self, request: HttpRequest) -> HttpReply:
        """Give all metrics as Prometheus text."""
        return HttpReply(
            status=http.HTTPStatus.OK,
            headers=(('Content-Type', CONTENT_TYPE_PLAIN_0_0_4),),
            body=self._observer.metrics.page(),
        )

    def members(self, request: HttpRequest) -> HttpReply:
        """Give the daemons known here."""
        return json_reply(members_page(self._board))

    def fronts(self, request: HttpRequest) -> HttpReply:
        """Give the fronts with homes and servers."""
        return json_reply(fronts_page(self._board, self._home.sights))

    def explain(self, request: HttpRequest) -> HttpReply:
        """Give what was done for one request of the latest."""
        request_id = request.names['request_id']
        story = self._observer.ring.find(request_id)
        if story is not None:
            return json_reply(story)
        failure = not_run(
            FailureCode.BAD_REQUEST,
            f'nothing is kept here of request {request_id}; '
            'ask the daemon that answered it, soon after',
        )
        return failure_reply(
            failure,
            request_id,
            status=http.HTTPStatus.NOT_FOUND,
        )


def operator_router(
    board: Blackboard,
    home: HomeService,
    seen: Observer,
    config: ConfigService,
    settings: Settings,
    further: tuple[Route, ...],
) -> Router:
    """Build the application of the operator face.

    Args:
        board: the facts of this daemon.
        home: what it does as the home of shards.
        seen: what was counted and remembered here.
        config: follows and changes the configuration.
        settings: what bounds requests.
        further: routes of other parts of the daemon.
    """
    face = OperatorFace(
        board=board,
        home=home,
        observer=seen,
        reader=config.reader,
    )
    config_routes = config_face(board, config, settings).routes
    return router((*face.routes, *config_routes, *further))
