"""Metrics and explanations for answers to non-idempotent requests."""

from typing import Any, Final

import attrs
from returns.result import Failure as Failed
from returns.result import Result

from fennelfork import Blackboard, Failure, Verdict
from fennelfork.once import OnceTable
from fennelfork_daemon.execute._received_request import ReceivedRequest
from fennelfork_daemon.metrics._metrics import DaemonMetrics
from fennelfork_daemon.tracing._trace import ExplainRing

_DONE: Final = 'executed'


@attrs.frozen(kw_only=True)
class ExecuteObserver:
    """Records the answers to non-idempotent requests."""

    _blackboard: Blackboard
    _metrics: DaemonMetrics
    _ring: ExplainRing
    _table: OnceTable

    def record_answer(
        self,
        received: ReceivedRequest,
        result: Result[str, Failure],
        took_ms: float,
    ) -> None:
        """Update the metrics and the ring of recent answers."""
        request = received.request
        self._metrics.apply_configuration(self._blackboard.document)
        labels = self._metrics.labels(
            request.front,
            request.tenant,
            received.traffic_class,
        )
        result_fields = _outcome_fields(result)
        verdict = Verdict(result_fields['verdict'])
        self._metrics.count_answer(labels, verdict, result_fields['outcome'])
        self._metrics.observe_execute(labels, took_ms)
        self._metrics.set_remembered_ids(self._table.size)
        record = {
            'request_id': request.request_id,
            'front': request.front,
            'tenant': request.tenant,
            'class': received.traffic_class,
            'key': request.key,
            **result_fields,
            'took_ms': round(took_ms, 1),
            'events': (),
        }
        self._ring.store_trace(request.request_id, record)


def _outcome_fields(result: Result[str, Failure]) -> dict[str, Any]:
    if isinstance(result, Failed):
        failure = result.failure()
        return {
            'outcome': failure.code.value,
            'verdict': failure.verdict.value,
            'detail': failure.detail,
        }
    return {'outcome': _DONE, 'verdict': Verdict.RAN.value}
