"""Patches of the configuration and their outcomes."""

from typing import Any

import attrs
from returns.result import Result

from fennelfork._verdict import Failure
from fennelfork.config._document import Author, PatchId, PatchRecord, Version
from fennelfork.config._document_problem import Problem
from fennelfork.config._merge_patch import Change


@attrs.frozen(kw_only=True)
class PatchRequest:
    """A request of an operator to patch the configuration.

    Attributes:
        base: version of the document on which the patch is based.
        patch_id: identifier chosen by the operator, unique for each patch. A
            repeated request with the same identifier returns the outcome of
            the first request.
        author: name of the operator.
        patch: merge patch (RFC 7396).
    """

    base: Version
    patch_id: PatchId
    author: Author
    patch: dict[str, Any]


@attrs.frozen(kw_only=True)
class PatchAccepted:
    """Outcome of an accepted patch.

    Attributes:
        record: entry of the patch in the history.
        raw: resulting document; none if an earlier request wrote it.
    """

    record: PatchRecord
    raw: str | None = None


@attrs.frozen(kw_only=True)
class PatchRefused:
    """Outcome of a patch that is refused or whose effect is unknown.

    Attributes:
        failure: reason, with the verdict on whether the patch took effect.
        active_version: version stored in the platform; none if unknown.
        problems: problems of the document that the patch would produce.
        newer_patches: patches accepted since the base version, as far as the
            history reaches.
        changes: changes that the patch would make to the active version.
    """

    failure: Failure
    active_version: int | None = None
    problems: tuple[Problem, ...] = ()
    newer_patches: tuple[PatchRecord, ...] = ()
    changes: tuple[Change, ...] = ()


PatchOutcome = Result[PatchAccepted, PatchRefused]


@attrs.frozen(kw_only=True)
class StoredDocument:
    """The value of the configuration key in the platform.

    Attributes:
        raw: value of the key; none if the key is absent.
        revision: revision of the last change; zero if the key is absent.
    """

    raw: str | None
    revision: int


@attrs.frozen(kw_only=True)
class PreparedWrite:
    """A compare-and-swap write of a validated document.

    Attributes:
        raw: new document.
        revision: expected revision of the last change of the key.
        record: entry of the patch in the history of `raw`.
    """

    raw: str
    revision: int
    record: PatchRecord
