"""What every event of a history has in common."""

import attrs


@attrs.frozen(kw_only=True)
class Event:
    """Something that one process saw.

    Attributes:
        at_ms: civil time of the machine, shared by all its processes.
    """

    at_ms: float
