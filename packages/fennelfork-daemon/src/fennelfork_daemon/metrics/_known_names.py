"""Names that may be values of one label of a metric."""

from collections.abc import Iterable
from typing import Final

import attrs

OTHER: Final = 'other'


@attrs.define(kw_only=True)
class KnownNames:
    """Names that may be values of one label.

    A name in the configuration is its own label value; any other name maps
    to `other`. Time series exist until the process ends, so the number of
    names is also limited across configuration changes.
    """

    _max_names: int
    _allowed: frozenset[str] = frozenset()
    _used: set[str] = attrs.field(factory=set)

    def set_names(self, names: Iterable[str]) -> None:
        """Replace the set of configured names."""
        self._allowed = frozenset(names)

    def label(self, name: str) -> str:
        """Return the label value of a name that a caller sent."""
        if name not in self._allowed:
            return OTHER
        if name not in self._used:
            if len(self._used) >= self._max_names:
                return OTHER
            self._used.add(name)
        return name
