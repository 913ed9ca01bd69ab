"""Registrations in the platform's store, which expire with their leases."""

from collections.abc import Iterable, Mapping
from typing import Final, Generic, TypeVar

import attrs

from fennelfork._clock import Clock

# Time within which running servers register again after a store outage: the
# platform allows them two seconds.
_GRACE_MS: Final = 2200.0

_Entry = TypeVar('_Entry')


@attrs.define(kw_only=True)
class Registry(Generic[_Entry]):
    """Entries registered in the store, by name.

    After a store outage, an entry that is missing is kept for a grace period,
    because its owner may not have registered again yet.

    Attributes:
        clock: clock of this daemon.
        grace_ms: length of the grace period in milliseconds.
    """

    clock: Clock
    grace_ms: float = _GRACE_MS

    _entries: dict[str, _Entry] = attrs.field(factory=dict)
    _expiring: dict[str, float] = attrs.field(factory=dict)
    _grace_until_ms: float = 0

    @property
    def entries(self) -> Mapping[str, _Entry]:
        """All entries that have not expired."""
        if self._expiring:
            self._expire()
        return self._entries

    def put(self, name: str, entry: _Entry) -> _Entry | None:
        """Add or replace a registered entry.

        Returns:
            The previous entry of this name, if any.
        """
        before = self._entries.get(name)
        self._entries[name] = entry
        self._expiring.pop(name, None)
        return before

    def remove(self, name: str) -> bool:
        """Remove an entry, during a grace period only once the period ends.

        Returns:
            Whether the entry has been removed now.
        """
        if name not in self._entries:
            return False
        if self.clock.now_ms() < self._grace_until_ms:
            self._expiring.setdefault(name, self._grace_until_ms)
            return False
        return self.discard(name)

    def discard(self, name: str) -> bool:
        """Remove an entry at once, even during a grace period.

        Returns:
            Whether the entry was known.
        """
        self._expiring.pop(name, None)
        return self._entries.pop(name, None) is not None

    def retain(self, names: Iterable[str]) -> list[str]:
        """Remove all entries except those with the given names.

        Returns:
            Names of the entries that have been removed now.
        """
        missing = self._entries.keys() - set(names)
        return [name for name in sorted(missing) if self.remove(name)]

    def start_grace_period(self, elapsed_ms: float = 0) -> None:
        """Start the grace period; the store is available again.

        Args:
            elapsed_ms: time since the store became available.
        """
        until_ms = self.clock.now_ms() + self.grace_ms - elapsed_ms
        self._grace_until_ms = max(self._grace_until_ms, until_ms)

    def _expire(self) -> None:
        """Remove missing entries whose grace period is over."""
        now_ms = self.clock.now_ms()
        for name, until_ms in tuple(self._expiring.items()):
            if now_ms >= until_ms:
                self._expiring.pop(name)
                self._entries.pop(name, None)
