"""Limits on the label values of metrics."""

from typing import Final

import attrs

from fennelfork.config import Document
from fennelfork_daemon.metrics._known_names import OTHER, KnownNames

_COMBINATIONS_PER_NAME: Final = 4


@attrs.frozen(kw_only=True)
class Labels:
    """Label values of a query."""

    front: str
    tenant: str
    traffic_class: str

    @property
    def label_values(self) -> tuple[str, str, str]:
        """Label values in the order of the label names of the metrics."""
        return (self.front, self.tenant, self.traffic_class)


@attrs.define(kw_only=True)
class LabelGuard:
    """Limits the values of each label and the number of combinations."""

    fronts: KnownNames
    tenants: KnownNames
    classes: KnownNames
    _max_combinations: int
    _used: set[Labels] = attrs.field(factory=set)
    _document: Document | None = None

    def apply_configuration(self, document: Document) -> bool:
        """Replace the configured names with the names of a configuration.

        Returns:
            True if the configuration differs from the previous one.
        """
        if document is self._document:
            return False
        self._document = document
        self.fronts.set_names(document.fronts)
        self.tenants.set_names(document.tenants)
        self.classes.set_names(document.classes)
        return True

    def labels(self, front: str, tenant: str, traffic_class: str) -> Labels:
        """Return the labels for names that a caller sent."""
        found = Labels(
            front=self.fronts.label(front),
            tenant=self.tenants.label(tenant),
            traffic_class=self.classes.label(traffic_class),
        )
        if found in self._used:
            return found
        if len(self._used) >= self._max_combinations:
            return Labels(front=OTHER, tenant=OTHER, traffic_class=OTHER)
        self._used.add(found)
        return found


def label_guard(max_names: int) -> LabelGuard:
    """Build a label guard without configured names.

    Args:
        max_names: maximum number of distinct fronts, of tenants and of
            traffic classes; four times as many combinations get time series
            of their own.
    """
    return LabelGuard(
        fronts=KnownNames(max_names=max_names),
        tenants=KnownNames(max_names=max_names),
        classes=KnownNames(max_names=max_names),
        max_combinations=_COMBINATIONS_PER_NAME * max_names,
    )
