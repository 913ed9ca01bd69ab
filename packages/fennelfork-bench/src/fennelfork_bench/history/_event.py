"""What every event of a history has in common."""

import attrs


@attrs.frozen(kw_only=True)
class Event:
    """Something that one process saw.

    Attributes:
        at_ms: civil time of the machine, which all its processes share.
    """

    at_ms: float
