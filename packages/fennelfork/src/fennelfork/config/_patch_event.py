"""Steps of a patch writer and the events that result from the steps."""

import attrs

from fennelfork.config._patch import PatchOutcome, PreparedWrite, StoredDocument


@attrs.frozen(kw_only=True)
class ReadDocument:
    """Step: wait `delay_ms`, then read the key with a linearizable read."""

    delay_ms: float = 0


@attrs.frozen(kw_only=True)
class WriteDocument:
    """Step: wait `delay_ms`, then write the key with compare-and-swap."""

    write: PreparedWrite
    delay_ms: float = 0


@attrs.frozen(kw_only=True)
class PatchDone:
    """Final step: the outcome of the patch is determined."""

    outcome: PatchOutcome


PatchStep = ReadDocument | WriteDocument | PatchDone


@attrs.frozen(kw_only=True)
class DocumentRead:
    """Event: the read of the configuration key succeeded."""

    stored: StoredDocument


@attrs.frozen(kw_only=True)
class ReadFailed:
    """Event: the read of the configuration key failed or timed out."""

    detail: str


@attrs.frozen(kw_only=True)
class WriteApplied:
    """Event: the platform confirmed that the write took effect."""


@attrs.frozen(kw_only=True)
class WriteConflict:
    """Event: the key had changed, so that nothing was written."""


@attrs.frozen(kw_only=True)
class WriteNotSent:
    """Event: the write was not sent, or the platform shed it."""

    detail: str


@attrs.frozen(kw_only=True)
class WriteOutcomeUnknown:
    """Event: the write was sent without an answer and may still take effect."""

    detail: str


PatchEvent = (
    DocumentRead
    | ReadFailed
    | WriteApplied
    | WriteConflict
    | WriteNotSent
    | WriteOutcomeUnknown
)
