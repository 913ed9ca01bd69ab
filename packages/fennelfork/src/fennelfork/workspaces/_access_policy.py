"""Policy for requests while the newest keys may be unknown."""

from typing import Final

import attrs

# Part of the maximum age that a healthy daemon may use. The rest covers the
# requests for updates of two daemons in a row, and one lost call.
_HEALTHY_RATIO: Final = 2 / 3


@attrs.frozen(kw_only=True)
class AccessPolicy:
    """Whether a daemon trusts keys that may have been removed.

    Attributes:
        is_strict: whether requests that need a key are refused while the
            configuration may be older than the maximum age.
        revoke_ms: maximum time between the removal of a key and its effect on
            every daemon, also on those that cannot read the store.
    """

    is_strict: bool = False
    revoke_ms: float = 0

    def trusts(self, data_age_ms: float) -> bool:
        """Whether keys are accepted.

        Args:
            data_age_ms: time since the last update from the store.
        """
        return not self.is_strict or data_age_ms <= self.revoke_ms

    def max_age_ms(self, change_bound_ms: float) -> float:
        """Return the age at which a daemon looks for newer data.

        Args:
            change_bound_ms: maximum time between a write to the store and its
                application by every daemon.
        """
        if not self.is_strict:
            return change_bound_ms
        return min(change_bound_ms, self.revoke_ms * _HEALTHY_RATIO)
