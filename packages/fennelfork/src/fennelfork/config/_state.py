"""The configuration that one daemon has in force."""

import enum
from typing import Final

import attrs
from returns.result import Success

from fennelfork._clock import Clock
from fennelfork.config._document import Document
from fennelfork.config._document_parse import digest
from fennelfork.config._document_problem import Problem
from fennelfork.config._parsed_document import (
    ParsedDocument,
    parse_incrementally,
    parsed_document,
)

_EMPTY: Final = parsed_document(Document())


@enum.unique
class ConfigSource(enum.StrEnum):
    """Where a document came from."""

    PLATFORM = 'platform'
    PEER = 'peer'


@enum.unique
class OfferOutcome(enum.StrEnum):
    """What became of a document that was offered to a daemon."""

    ACCEPTED = 'taken'
    SAME = 'same'
    OLDER = 'older'
    CONFLICT = 'conflict'
    INVALID = 'invalid'
    EMPTY = 'empty'


@attrs.frozen(kw_only=True)
class ActiveDocument:
    """A document in force.

    Attributes:
        known: the document with its JSON tree.
        raw: its canonical text, so that all daemons hash the same.
        digest: the hash of `raw`.
        source: where it came from.
        taken_ms: when this daemon took it.
    """

    parsed: ParsedDocument
    raw: str
    digest: str
    source: ConfigSource
    activated_ms: float

    @property
    def document(self) -> Document:
        """The document."""
        return self.parsed.document


@attrs.frozen(kw_only=True)
class ConfigAnomaly:
    """An offer that a daemon refused, kept to be shown to operators.

    Attributes:
        outcome: why it was refused.
        source: where it came from.
        version: the version offered; zero if it had none.
        digest: the hash offered; empty if nothing was.
        at_ms: when.
        problems: what is wrong with it, for an invalid one.
    """

    outcome: OfferOutcome
    source: ConfigSource
    version: int
    digest: str
    at_ms: float
    problems: tuple[Problem, ...] = ()


@attrs.define(kw_only=True)
class ConfigState:
    """What a daemon holds; its version only rises.

    Attributes:
        held: the document in force; none before the first.
        confirmed_ms: when the platform last showed the held document.
        anomalies: the last refused offer of each source.
    """

    _clock: Clock
    active: ActiveDocument | None = None
    confirmed_ms: float | None = None
    anomalies: dict[ConfigSource, ConfigAnomaly] = attrs.field(factory=dict)

    @property
    def parsed(self) -> ParsedDocument:
        """The document in force, or the empty one before the first."""
        return _EMPTY if self.active is None else self.active.parsed

    @property
    def version(self) -> int:
        """The version in force; zero before the first document."""
        return 0 if self.active is None else self.active.document.version

    @property
    def digest(self) -> str:
        """The hash of the document in force; empty before the first."""
        return '' if self.active is None else self.active.digest

    def offer(self, raw: str | None, source: ConfigSource) -> OfferOutcome:
        """Take a document if it is newer than the one in force.

        Args:
            raw: the document; none if the source holds none.
            source: who offers it.

        Returns:
            What became of it. Everything but a newer valid document leaves
            the one in force, and what should not be is kept in `anomalies`.
        """
        if raw is None:
            return self._offer_empty(source)
        offered = digest(raw)
        if offered == self.digest:
            self._confirm(source)
            return OfferOutcome.SAME
        reparsed = parse_incrementally(raw, self.parsed)
        if not isinstance(reparsed, Success):
            return self._reject(
                OfferOutcome.INVALID,
                source,
                offered,
                problems=reparsed.failure(),
            )
        parsed = reparsed.unwrap()
        canonical = parsed.text
        return self._compare_offer(
            ActiveDocument(
                parsed=parsed,
                raw=canonical,
                digest=digest(canonical),
                source=source,
                activated_ms=self._clock.now_ms(),
            ),
        )

    def compare_with_peer(self, version: int, claimed: str) -> OfferOutcome:
        """Compare what a peer says it runs, without its document.

        Args:
            version: the version that the peer runs.
            claimed: the hash of the peer's document.

        Returns:
            `CONFLICT`, kept in `anomalies`, if it runs another document under
            this daemon's version.
        """
        if version < self.version:
            return OfferOutcome.OLDER
        if version > self.version or not claimed:
            return OfferOutcome.EMPTY
        if claimed == self.digest:
            self._confirm(ConfigSource.PEER)
            return OfferOutcome.SAME
        return self._reject(
            OfferOutcome.CONFLICT,
            ConfigSource.PEER,
            claimed,
            version=version,
        )

    def confirm_unchanged(self) -> None:
        """Note that the platform still shows what it showed last."""
        if ConfigSource.PLATFORM not in self.anomalies:
            self._confirm(ConfigSource.PLATFORM)

    def _offer_empty(self, source: ConfigSource) -> OfferOutcome:
        if self.active is None:
            return OfferOutcome.EMPTY
        return self._reject(OfferOutcome.EMPTY, source, '')

    def _compare_offer(self, offered: ActiveDocument) -> OfferOutcome:
        version = offered.document.version
        if self.active is None or version > self.version:
            self.active = offered
            self._confirm(offered.source)
            return OfferOutcome.ACCEPTED
        if offered.digest == self.digest:
            self._confirm(offered.source)
            return OfferOutcome.SAME
        outcome = OfferOutcome.OLDER
        if version == self.version:
            outcome = OfferOutcome.CONFLICT
        elif offered.source is ConfigSource.PEER:
            return outcome
        return self._reject(
            outcome,
            offered.source,
            offered.digest,
            version=version,
        )

    def _confirm(self, source: ConfigSource) -> None:
        self.anomalies.pop(source, None)
        if source is ConfigSource.PLATFORM:
            self.confirmed_ms = self._clock.now_ms()

    def _reject(
        self,
        outcome: OfferOutcome,
        source: ConfigSource,
        offered: str,
        version: int = 0,
        problems: tuple[Problem, ...] = (),
    ) -> OfferOutcome:
        self.anomalies[source] = ConfigAnomaly(
            outcome=outcome,
            source=source,
            version=version,
            digest=offered,
            at_ms=self._clock.now_ms(),
            problems=problems,
        )
        return outcome


def config_state(clock: Clock) -> ConfigState:
    """Build the state of a daemon that holds no document yet."""
    return ConfigState(clock=clock)
