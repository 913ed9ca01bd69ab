"""Puts a newer configuration in force in this daemon."""

from collections.abc import Callable

import attrs

from fennelfork import Blackboard, Clock
from fennelfork.config import (
    ConfigSource,
    ConfigState,
    OfferOutcome,
    config_state,
)
from fennelfork_daemon.logs._logs import StateLog, state_log


@attrs.define(kw_only=True)
class ConfigHolder:
    """Writes the configuration to the blackboard, and tells who wants to know.

    Attributes:
        state: the document in force here.
        on_taken: called after a newer document came into force.
    """

    state: ConfigState
    on_taken: list[Callable[[], None]] = attrs.field(factory=list)
    _board: Blackboard
    _log: StateLog

    def offer(self, raw: str | None, source: ConfigSource) -> OfferOutcome:
        """Take a document if it is newer; see `ConfigState.offer`."""
        outcome = self.state.offer(raw, source)
        if outcome is OfferOutcome.ACCEPTED:
            self._publish()
        self._note(outcome, source)
        return outcome

    def hear(self, version: int, config_hash: str) -> None:
        """Compare what a peer says it runs."""
        outcome = self.state.compare_with_peer(version, config_hash)
        if outcome is OfferOutcome.CONFLICT:
            self._note(outcome, ConfigSource.PEER)

    def _publish(self) -> None:
        held = self.state.active
        if held is None:
            return
        board = self._board
        board.document = held.document
        board.config_hash = held.digest
        board.local = attrs.evolve(
            board.local,
            config_version=held.document.version,
            config_hash=held.digest,
        )
        board.members[board.local.name] = board.local
        for tell in self.on_taken:
            tell()

    def _note(self, outcome: OfferOutcome, source: ConfigSource) -> None:
        if outcome is OfferOutcome.ACCEPTED:
            self._log.change(
                'configuration',
                f'version {self.state.version}',
                source=source.value,
                config_hash=self.state.digest,
            )
        anomaly = self.state.anomalies.get(source)
        state = 'agrees' if anomaly is None else anomaly.outcome.value
        self._log.change(f'configuration of {source.value}', state)


def config_holder(board: Blackboard, clock: Clock) -> ConfigHolder:
    """Build the holder of a daemon that has no configuration yet."""
    return ConfigHolder(
        state=config_state(clock),
        board=board,
        log=state_log(daemon=board.local.name),
    )
