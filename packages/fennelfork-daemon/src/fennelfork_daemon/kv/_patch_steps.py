"""Steps of a patch writer, carried out on the platform."""

from returns.pipeline import is_successful

from fennelfork import Verdict
from fennelfork.config import (
    DocumentRead,
    PreparedWrite,
    ReadFailed,
    WriteApplied,
    WriteConflict,
    WriteNotSent,
    WriteOutcomeUnknown,
)
from fennelfork_daemon.kv._client import ConfigKey

ReadEvent = DocumentRead | ReadFailed
WriteEvent = WriteApplied | WriteConflict | WriteNotSent | WriteOutcomeUnknown


def read_event(key: ConfigKey) -> ReadEvent:
    """Read the key for a patch writer."""
    reply = key.read()
    if is_successful(reply):
        return DocumentRead(stored=reply.unwrap())
    return ReadFailed(detail=reply.failure().detail)


def write_event(key: ConfigKey, write: PreparedWrite) -> WriteEvent:
    """Write the key for a patch writer."""
    reply = key.swap(write)
    if is_successful(reply):
        return WriteApplied() if reply.unwrap() else WriteConflict()
    failure = reply.failure()
    if failure.verdict is Verdict.NOT_RUN:
        return WriteNotSent(detail=failure.detail)
    return WriteOutcomeUnknown(detail=failure.detail)
