"""Components that all parts of a daemon that serves routes use."""

import attrs

from fennelfork import Clock, system_clock
from fennelfork.routes import (
    AnswerDelays,
    ConcurrencyLimits,
    RetryBudgets,
    retry_budgets,
)
from fennelfork_daemon.logs._decision_log import (
    DecisionLog,
    LogOutput,
    decision_log,
)
from fennelfork_daemon.routes._blackboard import (
    RouteBlackboard,
    route_blackboard,
)
from fennelfork_daemon.routes._counted_store import counted_store
from fennelfork_daemon.routes._fleet_reporter import FleetReporter
from fennelfork_daemon.routes._metrics import RouteMetrics, route_metrics
from fennelfork_daemon.routes._pools import ServerPools
from fennelfork_daemon.routes._ports import Ports
from fennelfork_daemon.routes._settings import RouteSettings


@attrs.frozen(kw_only=True)
class CommonParts:
    """Components that all parts of one daemon use."""

    settings: RouteSettings
    ports: Ports
    clock: Clock
    blackboard: RouteBlackboard
    pools: ServerPools
    retry_budgets: RetryBudgets
    limits: ConcurrencyLimits
    answer_delays: AnswerDelays
    metrics: RouteMetrics
    log: DecisionLog
    fleet_reporter: FleetReporter


def common_parts(
    settings: RouteSettings,
    ports: Ports,
    log_output: LogOutput,
) -> CommonParts:
    """Create the shared components of a daemon."""
    clock = system_clock()
    blackboard = route_blackboard(settings, clock)
    metrics = route_metrics()
    log = decision_log(
        clock,
        metrics.count_decision,
        log_output,
        daemon=settings.name,
    )
    return CommonParts(
        settings=settings,
        ports=attrs.evolve(
            ports, store=counted_store(ports.store, metrics, blackboard)
        ),
        clock=clock,
        blackboard=blackboard,
        pools=ServerPools(clock=clock, shares=blackboard.shares),
        retry_budgets=retry_budgets(
            settings.repeats, clock, blackboard.fleet_shares.retries
        ),
        limits=ConcurrencyLimits(clock=clock),
        answer_delays=AnswerDelays(),
        metrics=metrics,
        log=log,
        fleet_reporter=FleetReporter(log=log),
    )
