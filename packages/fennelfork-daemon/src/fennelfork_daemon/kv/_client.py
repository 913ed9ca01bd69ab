"""The configuration key in the platform's key-value service."""

from collections.abc import Callable, Iterator
from typing import Any, Final, TypeVar

import attrs
from returns.result import Failure as Bad
from returns.result import Result, Success

from fennelfork import Clock, Failure, FailureCode, may_have_run
from fennelfork.config import PreparedWrite, StoredDocument, token_bucket
from fennelfork_daemon.kv._codec import (
    range_body,
    read_range,
    read_revision,
    read_swap,
    read_watch_line,
    revision_body,
    swap_body,
    watch_body,
)
from fennelfork_daemon.kv._http import KeyValueHttp, key_value_http
from fennelfork_daemon.metrics._metrics import CountCost
from fennelfork_daemon.settings._tables import Settings

_CALLS_PER_SECOND: Final = 20
_BURST: Final = 40
_CONFIG: Final = 'config'

_Read = TypeVar('_Read')


@attrs.frozen(kw_only=True)
class ConfigKey:
    """Reads, swaps and watches one key; see `KeyValueHttp` for the bounds."""

    _key: str
    _http: KeyValueHttp

    def read(self) -> Result[StoredDocument, Failure]:
        """Read the key, linearizably."""
        reply = self._http.call('/v3/kv/range', range_body(self._key))
        return reply.bind(lambda tree: _read(read_range, tree))

    def revision(self) -> Result[int, Failure]:
        """Read which change of the key was the last; zero if it is absent."""
        reply = self._http.call('/v3/kv/range', revision_body(self._key))
        return reply.bind(lambda tree: _read(read_revision, tree))

    def swap(self, write: PreparedWrite) -> Result[bool, Failure]:
        """Write the key if its last change is still the one named.

        Returns:
            Whether the write took place, or a failure whose verdict says
            whether it may have.
        """
        reply = self._http.call('/v3/kv/txn', swap_body(self._key, write))
        return reply.bind(lambda tree: _read(read_swap, tree))

    def changes(self, revision: int) -> Iterator[StoredDocument]:
        """Watch the key.

        Args:
            revision: the last change that is known.

        Yields:
            What the key holds after each later change.

        Raises:
            OSError: if the watch could not be opened, or broke.
            ValueError: if the platform ended it.
        """
        body = watch_body(self._key, revision)
        for line in self._http.stream('/v3/watch', body):
            yield from read_watch_line(line)


def config_key(
    settings: Settings,
    clock: Clock,
    count_cost: CountCost,
) -> ConfigKey:
    """Build the access to the configuration key of the settings.

    Args:
        settings: endpoints, timeouts and the prefix of keys.
        clock: monotonic time.
        count_cost: told the bytes of each call.
    """
    budget = token_bucket(clock, _CALLS_PER_SECOND, _BURST)
    return ConfigKey(
        key=f'{settings.platform.key_prefix}{_CONFIG}',
        http=key_value_http(settings, budget, count_cost),
    )


def _read(reader: Callable[[Any], _Read], tree: Any) -> Result[_Read, Failure]:
    try:
        return Success(reader(tree))
    except (ValueError, TypeError) as error:
        detail = f'the platform answered what cannot be read: {error}'
        return Bad(may_have_run(FailureCode.PLATFORM, detail))
