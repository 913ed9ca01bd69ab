"""Operator API handlers for the configuration."""

import json
from typing import Any

import attrs
from returns.pipeline import is_successful

from fennelfork import (
    Blackboard,
    FailureCode,
    not_run,
)
from fennelfork.config import (
    PatchAccepted,
    PatchRefused,
    Problem,
    structure_request,
    unstructure_document,
)
from fennelfork_daemon.config._service import ConfigService
from fennelfork_daemon.http._body import body_limits, refuse_body
from fennelfork_daemon.http._problem import problem_reply
from fennelfork_daemon.http._router import (
    HttpReply,
    HttpRequest,
    Route,
    json_reply,
)
from fennelfork_daemon.http._wsgi_request import BodyLimits, read_json_object
from fennelfork_daemon.settings._tables import Settings


@attrs.frozen(kw_only=True)
class ConfigApi:
    """Handlers that show and patch the configuration."""

    _blackboard: Blackboard
    _service: ConfigService
    _limits: BodyLimits

    @property
    def routes(self) -> tuple[Route, ...]:
        """HTTP routes of the configuration handlers."""
        return (
            Route(method='GET', path='/v1/config', handler=self.show),
            Route(
                method='GET',
                path='/v1/config/history',
                handler=self.history,
            ),
            Route(method='GET', path='/v1/config/status', handler=self.status),
            Route(method='POST', path='/v1/config/patch', handler=self.patch),
        )

    def show(self, request: HttpRequest) -> HttpReply:
        """Return the active document of this daemon."""
        return json_reply(unstructure_document(self._blackboard.document))

    def history(self, request: HttpRequest) -> HttpReply:
        """Return the history of patches, oldest first."""
        tree = unstructure_document(self._blackboard.document)
        return json_reply(
            {'version': tree['version'], 'patches': tree['patches']},
        )

    def status(self, request: HttpRequest) -> HttpReply:
        """Return the active version of each daemon and the unreachable daemons."""
        service = self._service
        daemons = service.status_collector.collect()
        versions = [daemon.config_version or 0 for daemon in daemons]
        anomalies = service.activator.state.anomalies.values()
        unreached = [daemon.name for daemon in daemons if daemon.failure]
        tree = {
            'version': max(versions, default=0),
            'daemons': [attrs.asdict(daemon) for daemon in daemons],
            'unreached': unreached,
            'anomalies': [attrs.asdict(anomaly) for anomaly in anomalies],
            'platform_failure': service.reader.failure or None,
        }
        return json_reply(tree)

    def patch(self, request: HttpRequest) -> HttpReply:
        """Apply a patch to the configuration.

        The reply to a refused patch contains the reasons for the refusal.
        """
        body = read_json_object(request.environ, self._limits)
        if not is_successful(body):
            return refuse_body(request, body.failure())
        parsed = structure_request(body.unwrap())
        if not is_successful(parsed):
            return _refusal_reply(_malformed_refusal(parsed.failure()))
        outcome = self._service.patcher.patch(parsed.unwrap())
        if is_successful(outcome):
            return _acceptance_reply(outcome.unwrap())
        return _refusal_reply(outcome.failure())


def config_api(
    blackboard: Blackboard,
    service: ConfigService,
    settings: Settings,
) -> ConfigApi:
    """Build the configuration handlers of a daemon."""
    return ConfigApi(
        blackboard=blackboard,
        service=service,
        limits=body_limits(settings),
    )


def _acceptance_reply(accepted: PatchAccepted) -> HttpReply:
    record = accepted.record
    return json_reply(
        {
            'version': record.version,
            'patch_id': record.id,
            'author': record.author,
            'at_ms': record.at_ms,
            'paths': record.paths,
            'repeated': accepted.raw is None,
        },
    )


def _malformed_refusal(problems: tuple[Problem, ...]) -> PatchRefused:
    failure = not_run(FailureCode.BAD_REQUEST, 'the request is not a patch')
    return PatchRefused(failure=failure, problems=problems)


def _refusal_reply(refused: PatchRefused) -> HttpReply:
    reply = problem_reply(refused.failure, None)
    document: dict[str, Any] = json.loads(reply.body)
    document |= {
        'version': refused.active_version,
        'problems': [attrs.asdict(problem) for problem in refused.problems],
        'since': [attrs.asdict(record) for record in refused.newer_patches],
        'changes': [attrs.asdict(change) for change in refused.changes],
    }
    return HttpReply(
        status=reply.status,
        headers=reply.headers,
        body=json.dumps(document).encode(),
    )
