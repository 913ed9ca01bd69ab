"""What the store is still to be told of requests that ended servers."""

from collections.abc import Callable

import attrs

from fennelfork.routes._suspicion import SuspicionRecord


@attrs.frozen(kw_only=True)
class News:
    """What the store is to be told at once.

    Attributes:
        records: of requests of which something is new.
        gone: fingerprints of requests that are not remembered any more.
    """

    records: tuple[SuspicionRecord, ...] = ()
    gone: tuple[str, ...] = ()

    def __bool__(self) -> bool:
        """Whether there is anything to tell."""
        return bool(self.records or self.gone)


@attrs.define(kw_only=True)
class PendingNews:
    """The fingerprints that news are of, until they are taken."""

    _changed: dict[str, None] = attrs.field(factory=dict)
    _gone: dict[str, None] = attrs.field(factory=dict)

    @property
    def changed(self) -> tuple[str, ...]:
        """The requests of which something is new."""
        return tuple(self._changed)

    def note_changed(self, fingerprint: str) -> None:
        """Have the store told what is known of a request."""
        self._gone.pop(fingerprint, None)
        self._changed[fingerprint] = None

    def note_gone(self, fingerprint: str) -> None:
        """Have the store told that a request is forgotten."""
        self._changed.pop(fingerprint, None)
        self._gone[fingerprint] = None

    def forget(self, fingerprint: str) -> None:
        """Tell nothing of a request."""
        self._changed.pop(fingerprint, None)
        self._gone.pop(fingerprint, None)

    def take(self, record_of: Callable[[str], SuspicionRecord]) -> News:
        """Give all of them, once."""
        news = News(
            records=tuple(map(record_of, self._changed)),
            gone=tuple(self._gone),
        )
        self._changed.clear()
        self._gone.clear()
        return news
