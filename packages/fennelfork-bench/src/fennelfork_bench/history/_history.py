"""Histories of concurrent processes: events ordered by wall-clock time."""

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
    """All events of one test run, oldest first."""

    events: tuple[Event, ...]

    def of_type(self, event_class: type[EventT]) -> tuple[EventT, ...]:
        """Return the events of a class and its subclasses."""
        return tuple(
            event for event in self.events if isinstance(event, event_class)
        )


@attrs.define(kw_only=True)
class EventRecorder:
    """Collects the events of one process in memory.

    Greenlets and threads may share a recorder, because appending to a list
    is atomic.
    """

    clock: Clock
    events: list[Event] = attrs.field(factory=list)

    def now_ms(self) -> float:
        """Return the current time of the clock that timestamps events."""
        return self.clock.now_ms()

    def record_event(self, event: Event) -> None:
        """Append an event that already has a timestamp."""
        self.events.append(event)


def merge_events(*sources: Iterable[Event]) -> History:
    """Merge the events of several processes into one history.

    Events with equal timestamps keep the order of the arguments.
    """
    merged = [event for source in sources for event in source]
    merged.sort(key=lambda event: event.at_ms)
    return History(events=tuple(merged))


def write_history(path: Path, history: History) -> None:
    """Write a history to a JSON Lines file, one event per line."""
    with path.open('w', encoding='utf-8') as history_file:
        for event in history.events:
            history_file.write(render_event(event))
            history_file.write('\n')


def read_history(path: Path) -> History:
    """Read a history from a file written by `write_history`.

    Raises:
        ValueError: if a line is not valid JSON.
        cattrs.BaseValidationError: if a line is not a known event.
    """
    with path.open(encoding='utf-8') as history_file:
        return merge_events(_read_events(history_file))


def render_event(event: Event) -> str:
    """Render an event as one line of JSON."""
    return json.dumps(
        _CONVERTER.unstructure(event, unstructure_as=_AnyEvent),
        sort_keys=True,
    )


def _read_events(history_file: Iterable[str]) -> Iterator[Event]:
    for line in history_file:
        yield _CONVERTER.structure(json.loads(line), _AnyEvent)
