"""Access to the configuration key in the platform's key-value service."""

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
    read_swap_result,
    read_watch_line,
    revision_body,
    swap_body,
    watch_body,
)
from fennelfork_daemon.kv._http import KeyValueHttp, key_value_http
from fennelfork_daemon.metrics._metrics import CountCost
from fennelfork_daemon.settings._tables import Settings

_MAX_CALLS_PER_S: Final = 20
_MAX_BURST_CALLS: Final = 40
_CONFIG_KEY: Final = 'config'

_Parsed = TypeVar('_Parsed')


@attrs.frozen(kw_only=True)
class ConfigKey:
    """Reads, writes and watches one key; see `KeyValueHttp` for the limits."""

    _key: str
    _http: KeyValueHttp

    def read(self) -> Result[StoredDocument, Failure]:
        """Read the key with a linearizable read."""
        reply = self._http.call('/v3/kv/range', range_body(self._key))
        return reply.bind(lambda tree: _parse_reply(read_range, tree))

    def revision(self) -> Result[int, Failure]:
        """Read the revision of the last change of the key; 0 if absent."""
        reply = self._http.call('/v3/kv/range', revision_body(self._key))
        return reply.bind(lambda tree: _parse_reply(read_revision, tree))

    def compare_and_swap(self, write: PreparedWrite) -> Result[bool, Failure]:
        """Write the key if its revision is the expected one.

        Returns:
            Whether the key was written, or a failure. The verdict of the
            failure tells whether the write may have taken place.
        """
        reply = self._http.call('/v3/kv/txn', swap_body(self._key, write))
        return reply.bind(lambda tree: _parse_reply(read_swap_result, tree))

    def watch(self, revision: int) -> Iterator[StoredDocument]:
        """Watch the key.

        Args:
            revision: revision of the last change that is known.

        Yields:
            The document in the key after each later change.

        Raises:
            OSError: if the watch could not be opened or its connection broke.
            ValueError: if the platform cancelled the watch.
        """
        body = watch_body(self._key, revision)
        for line in self._http.stream('/v3/watch', body):
            yield from read_watch_line(line)


def config_key(
    settings: Settings,
    clock: Clock,
    count_cost: CountCost,
) -> ConfigKey:
    """Build the client of the configuration key.

    Args:
        settings: settings with endpoints, timeouts and the key prefix.
        clock: monotonic clock.
        count_cost: callback that counts the bytes of each call.
    """
    budget = token_bucket(clock, _MAX_CALLS_PER_S, _MAX_BURST_CALLS)
    return ConfigKey(
        key=f'{settings.platform.key_prefix}{_CONFIG_KEY}',
        http=key_value_http(settings, budget, count_cost),
    )


def _parse_reply(
    parse: Callable[[Any], _Parsed], tree: Any
) -> Result[_Parsed, Failure]:
    try:
        return Success(parse(tree))
    except (ValueError, TypeError) as error:
        detail = f'the platform sent an invalid response: {error}'
        return Bad(may_have_run(FailureCode.PLATFORM, detail))
