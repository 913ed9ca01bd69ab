"""Whether callers should come to this daemon, and why not."""

from fennelfork import Blackboard
from fennelfork.membership import MemberStatus


def unready_reasons(
    board: Blackboard,
    platform_failure: str = '',
) -> tuple[str, ...]:
    """Give every reason why callers should not come here.

    An unreachable platform alone is none: a daemon that has a configuration
    serves on without it.

    Args:
        board: configuration, and whether this daemon is leaving.
        platform_failure: why the platform could not be read; empty if it was.

    Returns:
        Reasons in words; none if the daemon is ready.
    """
    reasons = []
    if not board.config_version:
        reasons.append(
            'no configuration yet: neither the platform nor a peer gave one',
        )
        if platform_failure:
            reasons.append(f'the platform cannot be read: {platform_failure}')
    if board.local.state is MemberStatus.LEAVING:
        reasons.append('draining: this daemon is about to stop')
    if board.is_superseded:
        reasons.append('superseded: a later daemon runs under this name')
    return tuple(reasons)
