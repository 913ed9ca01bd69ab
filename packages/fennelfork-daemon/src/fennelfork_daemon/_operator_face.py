"""The operator face: health over HTTP."""

import attrs

from fennelfork import Blackboard
from fennelfork_daemon._config_face import config_face
from fennelfork_daemon._config_service import ConfigService
from fennelfork_daemon._http_router import (
    HttpReply,
    HttpRequest,
    Route,
    Router,
    json_reply,
    router,
)
from fennelfork_daemon._settings_tables import Settings


@attrs.frozen(kw_only=True)
class OperatorFace:
    """Answers operators."""

    @property
    def routes(self) -> tuple[Route, ...]:
        """The routes of this face."""
        return (Route(method='GET', path='/healthz', handler=self.health),)

    def health(self, request: HttpRequest) -> HttpReply:
        """Tell that the process serves."""
        return json_reply({'status': 'ok'})


def operator_router(
    board: Blackboard,
    config: ConfigService,
    settings: Settings,
) -> Router:
    """Build the application of the operator face.

    Args:
        board: the facts of this daemon.
        config: follows and changes the configuration.
        settings: what bounds requests.
    """
    config_routes = config_face(board, config, settings).routes
    return router((*OperatorFace().routes, *config_routes))
