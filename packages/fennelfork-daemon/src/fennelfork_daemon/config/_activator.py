"""Activation of newer configurations in this daemon."""

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
class ConfigActivator:
    """Writes the active configuration to the blackboard and calls listeners.

    Attributes:
        state: active document and the anomalies of refused documents.
        on_activated: callbacks that run after each activation of a document.
    """

    state: ConfigState
    on_activated: list[Callable[[], None]] = attrs.field(factory=list)
    _blackboard: Blackboard
    _log: StateLog

    def offer(self, raw: str | None, source: ConfigSource) -> OfferOutcome:
        """Activate a newer configuration document; see `ConfigState.offer`."""
        outcome = self.state.offer(raw, source)
        if outcome is OfferOutcome.ACCEPTED:
            self._publish_configuration()
        self._log_outcome(outcome, source)
        return outcome

    def compare_with_peer(self, version: int, config_hash: str) -> None:
        """Compare the active version of a peer with the local one."""
        outcome = self.state.compare_with_peer(version, config_hash)
        if outcome is OfferOutcome.CONFLICT:
            self._log_outcome(outcome, ConfigSource.PEER)

    def _publish_configuration(self) -> None:
        active = self.state.active
        if active is None:
            return
        blackboard = self._blackboard
        blackboard.document = active.document
        blackboard.config_hash = active.digest
        blackboard.local = attrs.evolve(
            blackboard.local,
            config_version=active.document.version,
            config_hash=active.digest,
        )
        blackboard.members[blackboard.local.name] = blackboard.local
        for listener in self.on_activated:
            listener()

    def _log_outcome(self, outcome: OfferOutcome, source: ConfigSource) -> None:
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


def config_activator(blackboard: Blackboard, clock: Clock) -> ConfigActivator:
    """Build the activator of a daemon without a configuration document."""
    return ConfigActivator(
        state=config_state(clock),
        blackboard=blackboard,
        log=state_log(daemon=blackboard.local.name),
    )
