"""A patch of the configuration, and what became of it."""

from typing import Any

import attrs
from returns.result import Result

from fennelfork._verdict import Failure
from fennelfork.config._document import Author, PatchId, PatchRecord, Version
from fennelfork.config._document_problem import Problem
from fennelfork.config._merge_patch import Change


@attrs.frozen(kw_only=True)
class PatchRequest:
    """What an operator sends.

    Attributes:
        base: the version that the operator saw.
        patch_id: chosen by the operator, new for each patch; sent again with
            the same patch it brings the outcome of the first try.
        author: who sends it.
        patch: the merge patch (RFC 7396).
    """

    base: Version
    patch_id: PatchId
    author: Author
    patch: dict[str, Any]


@attrs.frozen(kw_only=True)
class PatchAccepted:
    """A patch that is in force.

    Attributes:
        record: its entry in the history.
        raw: the document that it made; none if an earlier try made it.
    """

    record: PatchRecord
    raw: str | None = None


@attrs.frozen(kw_only=True)
class PatchRefused:
    """A patch that is not in force, or of which this is unknown.

    Attributes:
        failure: why, with the verdict on whether it took effect.
        in_force: the version that the platform showed; none if it showed none.
        problems: what is wrong with the document it would make.
        newer: patches accepted since the base, as far as the history reaches.
        changes: what the patch would change in the version in force.
    """

    failure: Failure
    active_version: int | None = None
    problems: tuple[Problem, ...] = ()
    newer_patches: tuple[PatchRecord, ...] = ()
    changes: tuple[Change, ...] = ()


PatchOutcome = Result[PatchAccepted, PatchRefused]


@attrs.frozen(kw_only=True)
class StoredDocument:
    """What the platform shows under the configuration key.

    Attributes:
        raw: the value; none if the key is absent.
        revision: the revision of its last change; zero if the key is absent.
    """

    raw: str | None
    revision: int


@attrs.frozen(kw_only=True)
class PreparedWrite:
    """A checked document, to be written if `revision` is still the last.

    Attributes:
        raw: the new document.
        revision: what the key's last change must be for the write to happen.
        record: the patch's entry in the history of `raw`.
    """

    raw: str
    revision: int
    record: PatchRecord
