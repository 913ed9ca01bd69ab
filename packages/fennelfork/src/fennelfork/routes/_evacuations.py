"""Evacuated data centres, whose backend servers get no requests."""

from collections.abc import Iterable

import attrs

from fennelfork._clock import Clock


@attrs.define(kw_only=True)
class Evacuations:
    """Data centres that operators have evacuated.

    Attributes:
        change_count: number of evacuations that have started or ended.
    """

    change_count: int = 0
    _clock: Clock
    _ended_ms: dict[str, float] = attrs.field(factory=dict)
    _active: set[str] = attrs.field(factory=set)

    @property
    def active(self) -> frozenset[str]:
        """Data centres that are evacuated now."""
        return frozenset(self._active)

    def ended_ms(self, data_centre: str) -> float | None:
        """Return when the last evacuation ended, None if there was none."""
        return self._ended_ms.get(data_centre)

    def start(self, data_centre: str) -> bool:
        """Start the evacuation of a data centre.

        Returns:
            Whether the data centre was not evacuated before.
        """
        if data_centre in self._active:
            return False
        self.change_count += 1
        self._active.add(data_centre)
        return True

    def end(self, data_centre: str) -> bool:
        """End the evacuation of a data centre.

        Returns:
            Whether the data centre was evacuated.
        """
        if data_centre not in self._active:
            return False
        self.change_count += 1
        self._active.remove(data_centre)
        self._ended_ms[data_centre] = self._clock.now_ms()
        return True

    def retain(self, data_centres: Iterable[str]) -> list[str]:
        """End all evacuations except those of the given data centres.

        Returns:
            Data centres whose evacuation has ended now.
        """
        ended = sorted(self._active.difference(data_centres))
        for data_centre in ended:
            self.end(data_centre)
        return ended
