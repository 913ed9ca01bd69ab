"""The active configuration of a daemon."""

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
    """Origin of a configuration document."""

    PLATFORM = 'platform'
    PEER = 'peer'


@enum.unique
class OfferOutcome(enum.StrEnum):
    """Result of an offer of a configuration document to a daemon.

    `ACCEPTED`: the document is active now. `SAME`: the document is already
    active. `OLDER`: the active version is higher. `CONFLICT`: the active
    document has the same version and other content. `INVALID`: the document
    did not pass the validation. `EMPTY`: the source has no document.
    """

    ACCEPTED = 'taken'
    SAME = 'same'
    OLDER = 'older'
    CONFLICT = 'conflict'
    INVALID = 'invalid'
    EMPTY = 'empty'


@attrs.frozen(kw_only=True)
class ActiveDocument:
    """The active configuration document with its origin.

    Attributes:
        parsed: document with its JSON tree.
        raw: canonical JSON of the document, the same in all daemons.
        digest: hash of `raw`.
        source: origin of the document.
        activated_ms: monotonic time of the activation.
    """

    parsed: ParsedDocument
    raw: str
    digest: str
    source: ConfigSource
    activated_ms: float

    @property
    def document(self) -> Document:
        """The validated configuration document."""
        return self.parsed.document


@attrs.frozen(kw_only=True)
class ConfigAnomaly:
    """A refused configuration document, recorded for operators.

    Attributes:
        outcome: reason of the refusal.
        source: origin of the offered document.
        version: version of the offered document; zero if unknown.
        digest: hash of the offered document; empty if there was none.
        at_ms: monotonic time of the offer.
        problems: problems of an invalid document.
    """

    outcome: OfferOutcome
    source: ConfigSource
    version: int
    digest: str
    at_ms: float
    problems: tuple[Problem, ...] = ()


@attrs.define(kw_only=True)
class ConfigState:
    """Active configuration of a daemon; the version never decreases.

    Attributes:
        active: active document; none before the first document.
        confirmed_ms: monotonic time of the last read in which the platform
            held the active document.
        anomalies: last refused offer of each source.
    """

    _clock: Clock
    active: ActiveDocument | None = None
    confirmed_ms: float | None = None
    anomalies: dict[ConfigSource, ConfigAnomaly] = attrs.field(factory=dict)

    @property
    def parsed(self) -> ParsedDocument:
        """The active document, or the empty document before the first one."""
        return _EMPTY if self.active is None else self.active.parsed

    @property
    def version(self) -> int:
        """The active configuration version; zero before the first document."""
        return 0 if self.active is None else self.active.document.version

    @property
    def digest(self) -> str:
        """The hash of the active document; empty before the first document."""
        return '' if self.active is None else self.active.digest

    def offer(self, raw: str | None, source: ConfigSource) -> OfferOutcome:
        """Activate a configuration document if valid and newer.

        Args:
            raw: offered document; none if the source has no document.
            source: origin of the document.

        Returns:
            The result of the offer. Unexpected offers, such as conflicts and
            invalid documents, are recorded in `anomalies`.
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
        """Compare the active version and hash with those of a peer.

        Args:
            version: active version of the peer.
            claimed: hash of the active document of the peer.

        Returns:
            `CONFLICT`, recorded in `anomalies`, if the peer has another
            document with the same version.
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
        """Record that the configuration key in the platform has not changed."""
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
    """Build the state of a daemon without a configuration document."""
    return ConfigState(clock=clock)
