"""Histories of concurrent runs: events in the order of one clock."""

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Final, TypeVar

import attrs
from cattrs.preconf.json import JsonConverter, make_converter
from cattrs.strategies import configure_tagged_union

from fennelfork import Clock
from fennelfork_bench.history._caller import AnyCallerEvent
from fennelfork_bench.history._daemon import AnyDaemonEvent
from fennelfork_bench.history._event import Event
from fennelfork_bench.history._operator import AnyOperatorEvent
from fennelfork_bench.history._server import AnyServerEvent

EventT = TypeVar('EventT', bound=Event)

_AnyEvent = AnyCallerEvent | AnyDaemonEvent | AnyOperatorEvent | AnyServerEvent


def _event_converter() -> JsonConverter:
    converter = make_converter(forbid_extra_keys=True)
    configure_tagged_union(_AnyEvent, converter, tag_name='event')
    return converter


_CONVERTER: Final = _event_converter()


@attrs.frozen(kw_only=True)
class History:
    """Every event of one run, oldest first."""

    events: tuple[Event, ...]

    def of(self, kind: type[EventT]) -> tuple[EventT, ...]:
        """Select the events of one class and its subclasses."""
        return tuple(event for event in self.events if isinstance(event, kind))


@attrs.define(kw_only=True)
class Recorder:
    """Collects the events of one process in memory.

    Greenlets and threads may share it: an append is one operation.
    """

    clock: Clock
    events: list[Event] = attrs.field(factory=list)

    def now_ms(self) -> float:
        """Read the clock that stamps the events."""
        return self.clock.now_ms()

    def note(self, event: Event) -> None:
        """Add an event that carries its own time."""
        self.events.append(event)


def gather(*sources: Iterable[Event]) -> History:
    """Merge the events of several processes into one history.

    Events of equal time keep the order in which they are given.
    """
    merged = [event for source in sources for event in source]
    merged.sort(key=lambda event: event.at_ms)
    return History(events=tuple(merged))


def write_history(path: Path, history: History) -> None:
    """Write a history as JSON Lines, one event a line."""
    with path.open('w', encoding='utf-8') as lines:
        for event in history.events:
            lines.write(event_line(event))
            lines.write('\n')


def read_history(path: Path) -> History:
    """Read what `write_history` wrote.

    Raises:
        ValueError: if a line is not JSON.
        cattrs.BaseValidationError: if a line is no known event.
    """
    with path.open(encoding='utf-8') as lines:
        return gather(_read_events(lines))


def event_line(event: Event) -> str:
    """Write one event as one line of JSON."""
    return json.dumps(
        _CONVERTER.unstructure(event, unstructure_as=_AnyEvent),
        sort_keys=True,
    )


def _read_events(lines: Iterable[str]) -> Iterator[Event]:
    for line in lines:
        yield _CONVERTER.structure(json.loads(line), _AnyEvent)
