"""Label values of metrics, bounded whatever callers send."""

from collections.abc import Iterable
from typing import Final

import attrs

from fennelfork.config import Document

OTHER: Final = 'other'
_COMBINATIONS: Final = 4


@attrs.frozen(kw_only=True)
class Labels:
    """Under which labels a query is counted."""

    front: str
    tenant: str
    traffic_class: str

    @property
    def words(self) -> tuple[str, str, str]:
        """The values in the order of the families' label names."""
        return (self.front, self.tenant, self.traffic_class)


@attrs.define(kw_only=True)
class KnownNames:
    """Names that may be label values of one kind.

    A name counts under itself while the configuration has it, and as `other`
    else. A series once made stays until the process ends, so names that come
    and go with the configuration are bounded as well.
    """

    _most: int
    _allowed: frozenset[str] = frozenset()
    _used: set[str] = attrs.field(factory=set)

    def allow(self, names: Iterable[str]) -> None:
        """Replace the names that the configuration has."""
        self._allowed = frozenset(names)

    def label(self, name: str) -> str:
        """Give the label value for a name that a caller sent."""
        if name not in self._allowed:
            return OTHER
        if name not in self._used:
            if len(self._used) >= self._most:
                return OTHER
            self._used.add(name)
        return name


@attrs.define(kw_only=True)
class LabelGuard:
    """Bounds the label values of a kind, and their combinations."""

    fronts: KnownNames
    tenants: KnownNames
    classes: KnownNames
    _most: int
    _used: set[Labels] = attrs.field(factory=set)
    _followed: Document | None = None

    def follow(self, document: Document) -> bool:
        """Take the known names from a configuration.

        Returns:
            Whether it is another one than before.
        """
        if document is self._followed:
            return False
        self._followed = document
        self.fronts.allow(document.fronts)
        self.tenants.allow(document.tenants)
        self.classes.allow(document.classes)
        return True

    def labels(self, front: str, tenant: str, traffic_class: str) -> Labels:
        """Give the labels for what a caller sent."""
        found = Labels(
            front=self.fronts.label(front),
            tenant=self.tenants.label(tenant),
            traffic_class=self.classes.label(traffic_class),
        )
        if found in self._used:
            return found
        if len(self._used) >= self._most:
            return Labels(front=OTHER, tenant=OTHER, traffic_class=OTHER)
        self._used.add(found)
        return found


def label_guard(most_names: int) -> LabelGuard:
    """Build a guard that knows no names yet.

    Args:
        most_names: distinct fronts, tenants and classes each; four times as
            many combinations get series of their own.
    """
    return LabelGuard(
        fronts=KnownNames(most=most_names),
        tenants=KnownNames(most=most_names),
        classes=KnownNames(most=most_names),
        most=_COMBINATIONS * most_names,
    )
