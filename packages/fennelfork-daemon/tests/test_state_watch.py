"""Tests of readiness and the log of blackboard changes."""

import io
import json

import attrs
import structlog
from daemon_builders_product import labelled_document

from fennelfork import Blackboard, blackboard
from fennelfork.membership import Member, MemberStatus
from fennelfork_daemon._readiness import unready_reasons
from fennelfork_daemon._state_watch import state_watch
from fennelfork_daemon.logs._logs import configure_logs
from fennelfork_daemon.metrics._metrics import daemon_metrics
from fennelfork_daemon.settings._log_settings import LogSettings


def _blackboard() -> Blackboard:
    return blackboard(
        Member(
            name='vm-1',
            incarnation=1,
            state=MemberStatus.ALIVE,
            region='r',
            data_centre='d',
            caller='127.0.0.1:1',
            operator='127.0.0.1:2',
            peer='127.0.0.1:3',
        ),
    )


class TestUnreadyReasons:
    """Reasons why a daemon is not ready."""

    def test_ready_once_configured(self) -> None:
        """A daemon is ready only with a configuration."""
        local_blackboard = _blackboard()
        assert unready_reasons(local_blackboard)[0].startswith(
            'no configuration yet'
        )
        local_blackboard.document = labelled_document(fronts=('f',), tenants=())
        assert unready_reasons(local_blackboard) == ()

    def test_platform_failure(self) -> None:
        """Platform failures are reasons only without a configuration."""
        local_blackboard = _blackboard()
        assert unready_reasons(local_blackboard, 'at 127.0.0.1:1')[1].endswith(
            ':1'
        )
        local_blackboard.document = labelled_document(fronts=('f',), tenants=())
        assert unready_reasons(local_blackboard, 'at 127.0.0.1:1') == ()

    def test_leaving(self) -> None:
        """A leaving daemon is not ready."""
        local_blackboard = _blackboard()
        local_blackboard.document = labelled_document(fronts=('f',), tenants=())
        local_blackboard.local = local_blackboard.local.with_state(
            MemberStatus.LEAVING
        )
        assert unready_reasons(local_blackboard)[0].startswith('draining')


class TestStateWatch:
    """Log lines and metrics of blackboard changes."""

    def test_logs_changes_once(self) -> None:
        """Each change is logged once, with the configuration version."""
        stream = io.StringIO()
        configure_logs(LogSettings(), stream)
        local_blackboard = _blackboard()
        watch = state_watch(local_blackboard, daemon_metrics(4))
        watch.log_changes()
        watch.log_changes()
        local_blackboard.document = labelled_document(fronts=('f',), tenants=())
        local_blackboard.members = {
            'vm-1': attrs.evolve(
                local_blackboard.local, state=MemberStatus.SUSPECT
            ),
        }
        watch.log_changes()
        watch.log_changes()
        structlog.reset_defaults()
        lines = [json.loads(line) for line in stream.getvalue().splitlines()]
        assert [(line['subject'], line['state']) for line in lines] == [
            ('readiness', 'not ready'),
            ('member vm-1', 'alive'),
            ('readiness', 'ready'),
            ('member vm-1', 'suspect'),
        ]
        assert lines[2]['config_version'] == 3

    def test_metrics_follow_the_configuration(self) -> None:
        """Names of a new configuration become label values."""
        local_blackboard = _blackboard()
        metrics = daemon_metrics(4)
        watch = state_watch(local_blackboard, metrics)
        watch.log_changes()
        assert metrics.labels('f', 't', 'counter').front == 'other'
        local_blackboard.document = labelled_document(
            fronts=('f',), tenants=('t',)
        )
        watch.log_changes()
        assert metrics.labels('f', 't', 'counter').front == 'f'
