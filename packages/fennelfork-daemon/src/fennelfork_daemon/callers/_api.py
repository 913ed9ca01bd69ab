"""Caller API for queries."""

from typing import Any

import attrs
from returns.pipeline import is_successful

from fennelfork import Clock
from fennelfork.gather import MissingRange, QueryAnswer, QueryRequest
from fennelfork_daemon.callers._request import read_query
from fennelfork_daemon.http._body import body_limits, refuse_body
from fennelfork_daemon.http._router import (
    HttpReply,
    HttpRequest,
    Route,
    failure_reply,
    json_reply,
)
from fennelfork_daemon.http._wsgi_request import read_json_object
from fennelfork_daemon.root._service import RootService
from fennelfork_daemon.settings._tables import Settings
from fennelfork_daemon.tracing._observer import Observer


@attrs.frozen(kw_only=True)
class CallerApi:
    """Serves queries of callers over HTTP."""

    _root: RootService
    _clock: Clock
    _settings: Settings
    _observer: Observer

    @property
    def routes(self) -> tuple[Route, ...]:
        """HTTP routes of the queries."""
        return (
            Route(
                method='POST',
                path='/v1/fronts/{front}/query',
                handler=self.query,
            ),
        )

    def query(self, request: HttpRequest) -> HttpReply:
        """Parse a query, run it and return the HTTP response."""
        limits = body_limits(self._settings)
        body = read_json_object(request.environ, limits)
        if not is_successful(body):
            return refuse_body(request, body.failure())
        tree = body.unwrap()
        read = read_query(
            request.names['front'],
            tree,
            self._clock,
            self._settings.timeouts.longest_deadline_ms,
        )
        if not is_successful(read):
            return failure_reply(read.failure(), _read_request_id(tree))
        return self._answer(read.unwrap())

    def _answer(self, query: QueryRequest) -> HttpReply:
        trace = self._observer.start_trace()
        answered = self._root.answer(query, trace)
        took_ms = trace.took_ms
        if not is_successful(answered):
            self._observer.record_failure(query, answered.failure(), trace)
            return failure_reply(answered.failure(), query.request_id)
        self._observer.record_answer(query, answered.unwrap(), trace)
        return json_reply(answer_document(query, answered.unwrap(), took_ms))


def answer_document(
    query: QueryRequest,
    answered: QueryAnswer,
    took_ms: float,
) -> dict[str, Any]:
    """Build the JSON body of an answer to a query."""
    answer = answered.answer
    return {
        'request_id': query.request_id,
        'records': [record.content for record in answer.records],
        'snapshot': answer.snapshot,
        'coverage': {
            'complete': answer.coverage.complete,
            'fraction': answer.coverage.fraction,
            'missing': [
                _describe_missing_range(missing)
                for missing in answer.coverage.missing
            ],
        },
        'config_version': answered.config_version,
        'work': attrs.asdict(answered.work),
        'took_ms': round(took_ms, 3),
    }


def _describe_missing_range(missing: MissingRange) -> dict[str, Any]:
    return {
        'lo': missing.span.lo,
        'hi': missing.span.hi,
        'reason': missing.reason.value,
    }


def _read_request_id(tree: dict[str, Any]) -> str | None:
    given = tree.get('request_id')
    return given if isinstance(given, str) else None
