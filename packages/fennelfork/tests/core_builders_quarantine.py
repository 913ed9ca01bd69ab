"""Builders of poison requests and of daemons that exchange suspicions."""

from fennelfork import ManualTime, manual_clock
from fennelfork.routes import (
    Quarantine,
    RequestStatus,
    ServerCrash,
    SuspicionRecord,
    quarantine,
)

NAME = 'f' * 32
MINUTE_MS = 60_000
# Limit on transient suspicions that no test reaches.
ALL = 10_000


class Daemons:
    """Daemons that exchange suspicions through a store without delay."""

    def __init__(self, count: int) -> None:
        """Start daemons without any suspicions."""
        self.time = ManualTime()
        self.all = [self.new_daemon() for _ in range(count)]
        self.stored: dict[str, tuple[SuspicionRecord, int]] = {}
        self.serial = 0

    def new_daemon(self) -> Quarantine:
        """Return the quarantine of a daemon that starts now."""
        clock = manual_clock(self.time)
        return quarantine(clock, clock)

    def crash(self, daemon: int, *, alone: bool, service: str = 'a') -> None:
        """Record the crash of another server during the request."""
        self.serial += 1
        crash = ServerCrash(
            run=f'{self.serial}@0',
            service=service,
            alone=alone,
        )
        self.all[daemon].record_crash(NAME, crash)

    def synchronise(self, only: int | None = None) -> None:
        """Publish the changes of all daemons, or of one, to all daemons."""
        for daemon in self.all if only is None else [self.all[only]]:
            updates = daemon.exchange.take_updates(ALL)
            for record in updates.records:
                self.serial += 1
                self.stored[record.fingerprint] = (record, self.serial)
            for name in updates.removed:
                self.stored.pop(name, None)
                self._discard(name)
            for stored in self.stored.values():
                self._apply(*stored)

    def quarantine_request(self) -> None:
        """Quarantine the request at the first daemon and synchronise."""
        self.crash(0, alone=False)
        for _ in range(2):
            self.crash(0, alone=True)
            self.time.advance(1500)
        self.synchronise()

    def status(self, daemon: int) -> RequestStatus | None:
        """Return the status of the request at a daemon."""
        found = self.all[daemon].find(NAME)
        return None if found is None else found.status

    def _apply(self, record: SuspicionRecord, revision: int) -> None:
        for daemon in self.all:
            daemon.exchange.apply_record(record, revision)

    def _discard(self, name: str) -> None:
        for daemon in self.all:
            daemon.exchange.discard(name)
