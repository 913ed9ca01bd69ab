"""Readiness of a daemon for requests of callers."""

from fennelfork import Blackboard
from fennelfork.membership import MemberStatus


def unready_reasons(
    blackboard: Blackboard,
    platform_failure: str = '',
) -> tuple[str, ...]:
    """Return all reasons why this daemon is not ready for callers.

    An unavailable platform alone is not a reason: a daemon with a
    configuration continues to serve without the platform.

    Args:
        blackboard: facts with the configuration and the local member.
        platform_failure: error of the last read of the platform; empty after
            a successful read.

    Returns:
        Reasons as text; empty if the daemon is ready.
    """
    reasons = []
    if not blackboard.config_version:
        reasons.append(
            'no configuration yet: neither the platform nor a peer gave one',
        )
        if platform_failure:
            reasons.append(f'the platform cannot be read: {platform_failure}')
    if blackboard.local.state is MemberStatus.LEAVING:
        reasons.append('draining: this daemon is about to stop')
    if blackboard.is_superseded:
        reasons.append('superseded: a later daemon runs under this name')
    return tuple(reasons)
