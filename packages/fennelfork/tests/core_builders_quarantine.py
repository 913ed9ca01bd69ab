"""Builders of requests that ended servers, and of daemons that know them."""

from fennelfork import ManualTime, manual_clock
from fennelfork.routes import (
    Quarantine,
    RequestStanding,
    ServerEnd,
    SuspicionRecord,
    quarantine,
)

NAME = 'f' * 32
MINUTE_MS = 60_000
# However many requests are told of.
ALL = 10_000


class Daemons:
    """Some daemons that tell each other through a store, at once."""

    def __init__(self, count: int) -> None:
        """Begin with daemons that know nothing."""
        self.time = ManualTime()
        self.all = [self.fresh() for _ in range(count)]
        self.held: dict[str, tuple[SuspicionRecord, int]] = {}
        self.serial = 0

    def fresh(self) -> Quarantine:
        """Give a daemon that starts now."""
        clock = manual_clock(self.time)
        return quarantine(clock, clock)

    def end(self, daemon: int, *, alone: bool, service: str = 'a') -> None:
        """End one more server under the request."""
        self.serial += 1
        end = ServerEnd(run=f'{self.serial}@0', service=service, alone=alone)
        self.all[daemon].note_end(NAME, end)

    def share(self, only: int | None = None) -> None:
        """Have all, or only one, tell what is new, and everybody hear it."""
        for daemon in self.all if only is None else [self.all[only]]:
            news = daemon.exchange.take_news(ALL)
            for record in news.records:
                self.serial += 1
                self.held[record.fingerprint] = (record, self.serial)
            for name in news.gone:
                self.held.pop(name, None)
                self._drop(name)
            for held in self.held.values():
                self._take(*held)

    def convict(self) -> None:
        """Have the first daemon put the request into quarantine, and tell."""
        self.end(0, alone=False)
        for _ in range(2):
            self.end(0, alone=True)
            self.time.advance(1500)
        self.share()

    def standing(self, daemon: int) -> RequestStanding | None:
        """Tell how one of them treats the request."""
        found = self.all[daemon].find(NAME)
        return None if found is None else found.standing

    def _take(self, record: SuspicionRecord, revision: int) -> None:
        for daemon in self.all:
            daemon.exchange.take(record, revision)

    def _drop(self, name: str) -> None:
        for daemon in self.all:
            daemon.exchange.drop(name)
