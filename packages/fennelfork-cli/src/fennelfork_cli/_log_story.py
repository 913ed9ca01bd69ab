"""The story of one request, out of the logs of several daemons."""

import json
from collections.abc import Iterable, Iterator
from typing import Final

import attrs

from fennelfork_cli._call import Tree

# What a line says of itself; the rest is what decided it.
_FRAME: Final = frozenset(('event', 'level', 'timestamp', 'daemon', 'request'))
_STEPS: Final = 'steps'


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
    """Give the lines on a request, and on the servers it was sent to.

    Lines on servers count from ten seconds before the request to its end by
    the order of the log, as their clocks may differ.
    """
    known = sorted(lines, key=lambda line: line.timestamp)
    own = [line for line in known if line.request == request_id]
    named = {server for line in own for server in _servers(line)}
    return [
        line
        for line in known
        if line in own or line.facts.get('server') in named
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


def _servers(line: LogLine) -> Iterator[str]:
    for done in line.facts.get(_STEPS, {}).values():
        for step in done:
            yield step.partition(' ')[0]


def _plain(found: object) -> str:
    return found if isinstance(found, str) else json.dumps(found)
