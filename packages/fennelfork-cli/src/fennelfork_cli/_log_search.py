"""The story of one request, out of the logs of several daemons."""

import json
from collections.abc import Iterable, Iterator
from datetime import datetime
from typing import Final

import attrs

from fennelfork_cli._http import Tree

# What a line says of itself; the rest is what decided it.
_FRAME: Final = frozenset(('event', 'level', 'timestamp', 'daemon', 'request'))
_STEPS: Final = 'steps'
# The same for each try of one request.
_CONTENT: Final = 'fingerprint'
_ON_CONTENT: Final = frozenset(('server_ended', 'request_judged'))
# What was known of a server longer ago has changed since.
_BEFORE_S: Final = 10


@attrs.frozen(kw_only=True)
class LogLine:
    """One line of a daemon's log."""

    timestamp: str
    daemon: str
    event: str
    request: str | None
    facts: Tree

    @property
    def as_tree(self) -> Tree:
        """The line for machines."""
        return {**attrs.asdict(self, recurse=False)}


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Read the lines that are whole; others, cut or foreign, are passed over.

    A line may have something before its JSON, such as the name of the VM that
    a collector adds.
    """
    for text in texts:
        start = text.find('{')
        if start >= 0:
            yield from _read(text[start:])


def story(lines: Iterable[LogLine], request_id: str) -> list[LogLine]:
    """Give the lines on a request, and what its daemon knew of the servers.

    Lines on the servers that it was sent to count if the same daemon wrote
    them within ten seconds before the request ended; lines on servers that ended
    under the same request, whoever wrote them and when.
    """
    known = sorted(lines, key=lambda line: line.timestamp)
    own = [line for line in known if line.request == request_id]
    return [
        line
        for line in known
        if line in own
        or any(_tells_of(line, one) for one in own)
        or _tells_of_content(line, own)
    ]


def line_texts(line: LogLine) -> list[str]:
    """Lay out one line for people; steps go below it."""
    facts = ' '.join(
        f'{name}={_plain(found)}'
        for name, found in line.facts.items()
        if name != _STEPS
    )
    head = f'{line.timestamp} {line.daemon} {line.event} {facts}'
    steps = [
        f'    {service}: {step}'
        for service, done in line.facts.get(_STEPS, {}).items()
        for step in done
    ]
    return [head, *steps]


def _read(text: str) -> Iterator[LogLine]:
    try:
        tree = json.loads(text)
    except ValueError:
        return
    if isinstance(tree, dict) and 'event' in tree:
        yield LogLine(
            timestamp=str(tree.get('timestamp', '')),
            daemon=str(tree.get('daemon', '')),
            event=str(tree['event']),
            request=tree.get('request'),
            facts={
                name: found
                for name, found in tree.items()
                if name not in _FRAME
            },
        )


def _tells_of(line: LogLine, own: LogLine) -> bool:
    """Tell whether a line is on a server that a request was sent to."""
    if line.daemon != own.daemon or line.timestamp > own.timestamp:
        return False
    if line.facts.get('server') not in set(_servers(own)):
        return False
    return _age_s(line, own) <= _BEFORE_S


def _tells_of_content(line: LogLine, own: list[LogLine]) -> bool:
    """Tell whether a line is on what a request that ends servers asks."""
    asked = {one.facts.get(_CONTENT) for one in own} - {None}
    return line.event in _ON_CONTENT and line.facts.get(_CONTENT) in asked


def _age_s(line: LogLine, own: LogLine) -> float:
    """Give how long before another line one was written."""
    try:
        begin, end = map(
            datetime.fromisoformat, (line.timestamp, own.timestamp)
        )
    except ValueError:
        return 0
    return (end - begin).total_seconds()


def _servers(line: LogLine) -> Iterator[str]:
    for done in line.facts.get(_STEPS, {}).values():
        for step in done:
            yield step.partition(' ')[0]


def _plain(found: object) -> str:
    return found if isinstance(found, str) else json.dumps(found)
