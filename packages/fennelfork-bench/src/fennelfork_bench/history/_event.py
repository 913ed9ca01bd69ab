"""Base class of the events of a history."""

import attrs


@attrs.frozen(kw_only=True)
class Event:
    """An event that one process recorded.

    Attributes:
        at_ms: wall-clock time, comparable between processes of one machine.
    """

    at_ms: float
