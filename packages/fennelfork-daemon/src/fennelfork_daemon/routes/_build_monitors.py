"""Construction of the periodic observations of a daemon."""

from collections.abc import Callable

from fennelfork_daemon.routes._build_crash_protection import (
    PoisonRequestProtection,
)
from fennelfork_daemon.routes._common_parts import CommonParts
from fennelfork_daemon.routes._lag import lag_monitor
from fennelfork_daemon.routes._load_monitor import load_monitor
from fennelfork_daemon.routes._share_monitor import share_monitor


def build_monitors(
    base: CommonParts, protection: PoisonRequestProtection
) -> tuple[Callable[[], None], ...]:
    """Build the background tasks that observe this process.

    Args:
        base: components that all parts of the daemon use.
        protection: protection against poison requests.
    """
    lag = lag_monitor(
        base.clock, base.limits, protection.reporter, base.answer_delays
    )
    load = load_monitor(base.blackboard, base.clock, base.fleet_reporter)
    share = share_monitor(
        base.blackboard,
        base.fleet_reporter,
        lambda: base.blackboard.fleet_shares.retries.share,
    )
    return (lag.run, load.run, share.run)
