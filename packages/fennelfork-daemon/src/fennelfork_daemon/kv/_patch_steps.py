"""Execution of the steps of a patch writer on the platform."""

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


def execute_read(key: ConfigKey) -> ReadEvent:
    """Read the key and return the event for the patch writer."""
    reply = key.read()
    if is_successful(reply):
        return DocumentRead(stored=reply.unwrap())
    return ReadFailed(detail=reply.failure().detail)


def execute_write(key: ConfigKey, write: PreparedWrite) -> WriteEvent:
    """Write the key and return the event for the patch writer."""
    reply = key.compare_and_swap(write)
    if is_successful(reply):
        return WriteApplied() if reply.unwrap() else WriteConflict()
    failure = reply.failure()
    if failure.verdict is Verdict.NOT_RUN:
        return WriteNotSent(detail=failure.detail)
    return WriteOutcomeUnknown(detail=failure.detail)
