"""Evidence that a backend server is draining."""

import attrs


@attrs.define(kw_only=True)
class DrainState:
    """Whether a backend server counts as draining.

    A health endpoint may lag or report a draining server as serving. A refusal
    of the server itself therefore holds until the health endpoint has confirmed
    the drain and then reports its end, or until the process has ended.
    """

    _is_refusing: bool = False
    _is_reported: bool = False

    @property
    def is_draining(self) -> bool:
        """Whether the server gets no new work."""
        return self._is_refusing or self._is_reported

    @property
    def is_refusing(self) -> bool:
        """Whether a refusal of the server holds."""
        return self._is_refusing

    def record_refusal(self) -> None:
        """Record that the server refused a request because it drains."""
        self._is_refusing = True

    def record_report(self, *, draining: bool) -> None:
        """Record what the health endpoint reports."""
        if self._is_reported and not draining:
            self._is_refusing = False
        self._is_reported = draining

    def record_process_ended(self) -> None:
        """Record that the process of the server has ended."""
        self._is_refusing = False
        self._is_reported = False
