"""Conversion between scatter messages and thrift messages."""

import json
from typing import Any

from fennelfork.gather import (
    ExpectedReply,
    KeyRange,
    PlannedSubQuery,
    Record,
    Reply,
    ScatterOutcome,
    ScatterRequest,
    SubQueryOutcome,
)
from fennelfork_daemon.peer._codec_fault import fault_from_peer, fault_to_peer
from fennelfork_daemon.peer._codec_view import views_from_peer, views_to_peer
from fennelfork_daemon.peer._idl import peer


def scatter_request_to_peer(request: ScatterRequest) -> Any:
    """Convert a scatter request to a thrift message."""
    return peer.ScatterRequest(
        request_id=request.request_id,
        front=request.front,
        snapshot=request.snapshot,
        sub_queries=[
            _sub_query_to_peer(planned) for planned in request.planned
        ],
        query=request.query,
        deadline_ms=int(request.deadline_ms),
        tenant=request.tenant,
        traffic_class=request.traffic_class,
        config_version=request.config_version,
        level=request.level,
    )


def scatter_request_from_peer(message: Any) -> ScatterRequest:
    """Convert a thrift message to a scatter request."""
    planned = tuple(
        PlannedSubQuery(
            shard=part.shard,
            expected=ExpectedReply(
                request_id=message.request_id,
                sub_query=part.sub_query,
                snapshot=message.snapshot,
                span=KeyRange(lo=part.lo, hi=part.hi),
            ),
        )
        for part in message.sub_queries
    )
    return ScatterRequest(
        request_id=message.request_id,
        front=message.front,
        snapshot=message.snapshot,
        planned=planned,
        query=message.query,
        deadline_ms=message.deadline_ms,
        tenant=message.tenant,
        traffic_class=message.traffic_class,
        config_version=message.config_version,
        level=_admission_level(message),
    )


def outcome_to_peer(outcome: ScatterOutcome) -> Any:
    """Convert the outcome of a scatter request to a thrift message."""
    return peer.ScatterReply(
        parts=[_part_to_peer(part) for part in outcome.parts],
        shards=views_to_peer(outcome.shards),
        config_version=outcome.config_version,
        level=outcome.level,
    )


def outcome_from_peer(message: Any, request: ScatterRequest) -> ScatterOutcome:
    """Convert a thrift message to the outcome of `request`.

    Parts for sub-queries that are not in `request` are ignored.
    """
    planned_by_id = {
        planned.expected.sub_query: planned for planned in request.planned
    }
    return ScatterOutcome(
        parts=tuple(
            _part_from_peer(
                part, planned_by_id[part.sub_query], request.request_id
            )
            for part in message.parts
            if part.sub_query in planned_by_id
        ),
        shards=views_from_peer(message.shards),
        config_version=message.config_version,
        level=_admission_level(message),
    )


def _admission_level(message: Any) -> float:
    """Return the admission level; 1 (admit everything) if absent."""
    return message.level or 1


def _sub_query_to_peer(planned: PlannedSubQuery) -> Any:
    return peer.SubQuery(
        sub_query=planned.expected.sub_query,
        shard=planned.shard,
        lo=planned.expected.span.lo,
        hi=planned.expected.span.hi,
    )


def _part_to_peer(part: SubQueryOutcome) -> Any:
    reply = part.reply
    expected = part.planned.expected
    span = reply.span if reply else expected.span
    return peer.Part(
        sub_query=expected.sub_query,
        shard=part.planned.shard,
        lo=span.lo,
        hi=span.hi,
        snapshot=reply.snapshot if reply else expected.snapshot,
        count=reply.count if reply else 0,
        records=_records_json(reply) if reply else '',
        fault=fault_to_peer(part.failure) if part.failure else None,
        hedges=part.hedges,
        retries=part.retries,
        queue_ms=part.queue_ms,
        server_ms=part.server_ms,
        server=part.server,
    )


def _part_from_peer(
    message: Any, planned: PlannedSubQuery, request_id: str
) -> SubQueryOutcome:
    return SubQueryOutcome(
        planned=planned,
        reply=None if message.fault else _reply_from_peer(message, request_id),
        failure=fault_from_peer(message.fault) if message.fault else None,
        hedges=message.hedges,
        retries=message.retries,
        queue_ms=message.queue_ms,
        server_ms=message.server_ms,
        server=message.server,
    )


def _reply_from_peer(message: Any, request_id: str) -> Reply:
    return Reply(
        request_id=request_id,
        sub_query=message.sub_query,
        snapshot=message.snapshot,
        span=KeyRange(lo=message.lo, hi=message.hi),
        count=message.count,
        records=tuple(
            Record(key=content['key'], content=content)
            for content in json.loads(message.records)
        ),
    )


def _records_json(reply: Reply) -> str:
    return json.dumps([record.content for record in reply.records])
