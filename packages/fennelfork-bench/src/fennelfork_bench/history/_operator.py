"""Events of operators: patches and the results of patches."""

import attrs

from fennelfork_bench.history._event import Event


@attrs.frozen(kw_only=True)
class PatchEvent(Event):
    """Base class of the events of one patch."""

    operator: str
    patch_id: str


@attrs.frozen(kw_only=True)
class PatchProposed(PatchEvent):
    """An operator sends a patch based on a configuration version."""

    base: int


@attrs.frozen(kw_only=True)
class PatchAccepted(PatchEvent):
    """The patch was accepted as a new configuration version."""

    version: int


@attrs.frozen(kw_only=True)
class PatchRefused(PatchEvent):
    """The patch was refused without any change to the configuration."""

    code: str


@attrs.frozen(kw_only=True)
class PatchUnknown(PatchEvent):
    """The operator does not know whether the patch was accepted."""

    detail: str


@attrs.frozen(kw_only=True)
class PatchSeen:
    """One entry of the patch history in the configuration document."""

    patch_id: str
    version: int


@attrs.frozen(kw_only=True)
class DocumentRead(Event):
    """The configuration document was read directly from the platform."""

    version: int
    patches: tuple[PatchSeen, ...]


# Union of the concrete classes of this module, for serialisation.
AnyOperatorEvent = (
    PatchProposed | PatchAccepted | PatchRefused | PatchUnknown | DocumentRead
)
