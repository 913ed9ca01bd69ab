"""Events of operators: their patches and what came of them."""

import attrs

from fennelfork_bench.history._event import Event


@attrs.frozen(kw_only=True)
class PatchEvent(Event):
    """Something about one patch of one operator."""

    operator: str
    patch_id: str


@attrs.frozen(kw_only=True)
class PatchProposed(PatchEvent):
    """An operator sends a patch against a version."""

    base: int


@attrs.frozen(kw_only=True)
class PatchAccepted(PatchEvent):
    """The patch is in force as this version."""

    version: int


@attrs.frozen(kw_only=True)
class PatchRefused(PatchEvent):
    """The patch was refused and changed nothing."""

    code: str


@attrs.frozen(kw_only=True)
class PatchUnknown(PatchEvent):
    """The operator was told, or must assume, that nobody knows."""

    detail: str


@attrs.frozen(kw_only=True)
class PatchSeen:
    """One entry of the history inside the configuration document."""

    patch_id: str
    version: int


@attrs.frozen(kw_only=True)
class DocumentRead(Event):
    """The configuration document, read from the platform itself."""

    version: int
    patches: tuple[PatchSeen, ...]


# The concrete classes of this module, for reading and writing.
AnyOperatorEvent = (
    PatchProposed | PatchAccepted | PatchRefused | PatchUnknown | DocumentRead
)
