"""Reading a document again when most of it is known already.

A patch changes one front or two, while checking thousands of servers takes
tens of milliseconds, in which a daemon serves nobody. So fronts whose text is
that of a known document are taken from there.
"""

import json
from typing import Any, Final

import attrs
from returns.result import Failure, Result, Success

from fennelfork.config._document import Document, Front
from fennelfork.config._document_parse import (
    read_json,
    structure_document,
    unstructure_document,
)
from fennelfork.config._document_problem import Problem

_FRONTS: Final = 'fronts'

_Tree = dict[str, Any]


@attrs.frozen(kw_only=True)
class ParsedDocument:
    """A checked document and its JSON tree.

    Attributes:
        document: the document.
        tree: its tree with every default filled in; not to be altered.
        front_texts: JSON of each front in `tree`, to be compared with: as
            text true is not 1, as values they are equal.
    """

    document: Document
    tree: _Tree
    front_texts: dict[str, str]

    @property
    def text(self) -> str:
        """The canonical JSON: sorted keys, no spaces."""
        return json.dumps(self.tree, sort_keys=True, separators=(',', ':'))


def parsed_document(document: Document) -> ParsedDocument:
    """Build from a document alone."""
    return _build(document, {}, {})


def parse_incrementally(
    raw: str,
    previous: ParsedDocument,
) -> Result[ParsedDocument, tuple[Problem, ...]]:
    """Read a document, checking only what differs from a known one.

    Args:
        raw: the document as JSON.
        known: the document read before.

    Returns:
        The document, or every fault of it at once.
    """
    tree = read_json(raw)
    if isinstance(tree, Success):
        return structure_incrementally(tree.unwrap(), previous)
    return Failure(tree.failure())


def structure_incrementally(
    tree: Any,
    previous: ParsedDocument,
) -> Result[ParsedDocument, tuple[Problem, ...]]:
    """Check a tree as `parse_incrementally` does."""
    reused = _unchanged_fronts(tree, previous)
    if reused:
        tree = {**tree, _FRONTS: {**tree[_FRONTS], **reused}}
    return structure_document(tree).map(
        lambda document: _build(
            document,
            {name: previous.tree[_FRONTS][name] for name in reused},
            previous.front_texts,
        ),
    )


def _unchanged_fronts(tree: Any, previous: ParsedDocument) -> dict[str, Front]:
    fronts = tree.get(_FRONTS) if isinstance(tree, dict) else None
    if not isinstance(fronts, dict):
        return {}
    return {
        name: previous.document.fronts[name]
        for name, front in fronts.items()
        if _is_unchanged(name, front, previous)
    }


def _is_unchanged(name: str, front: Any, previous: ParsedDocument) -> bool:
    if name not in previous.front_texts:
        return False
    if front is previous.tree[_FRONTS][name]:
        return True
    return _text(front) == previous.front_texts[name]


def _build(
    document: Document,
    reused: _Tree,
    texts: dict[str, str],
) -> ParsedDocument:
    """Build from a document and the trees and texts that are known."""
    fresh = {
        name: front
        for name, front in document.fronts.items()
        if name not in reused
    }
    tree = unstructure_document(attrs.evolve(document, fronts=fresh))
    fronts = tree[_FRONTS]
    fresh_texts = {name: _text(front) for name, front in fronts.items()}
    known_texts = {name: texts[name] for name in reused}
    fronts |= reused
    return ParsedDocument(
        document=document,
        tree=tree,
        front_texts=known_texts | fresh_texts,
    )


def _text(tree: Any) -> str:
    return json.dumps(tree, sort_keys=True)
