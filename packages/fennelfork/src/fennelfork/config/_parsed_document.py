"""Incremental parsing of a new version of the configuration document.

The validation of thousands of servers blocks the daemon for tens of
milliseconds, and most patches change one or two fronts. Fronts with unchanged
JSON are therefore reused from the previous document.
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
    """A validated document with its JSON tree.

    Attributes:
        document: validated document.
        tree: JSON tree of the document with all defaults; must not be mutated.
        front_texts: JSON text of each front in `tree`. Texts are compared
            because the values true and 1 are equal in Python.
    """

    document: Document
    tree: _Tree
    front_texts: dict[str, str]

    @property
    def text(self) -> str:
        """Canonical JSON of the document: sorted keys, no whitespace."""
        return json.dumps(self.tree, sort_keys=True, separators=(',', ':'))


def parsed_document(document: Document) -> ParsedDocument:
    """Build a parsed document from a validated document."""
    return _build_parsed_document(document, {}, {})


def parse_incrementally(
    raw: str,
    previous: ParsedDocument,
) -> Result[ParsedDocument, tuple[Problem, ...]]:
    """Parse a document and validate only the parts that changed.

    Args:
        raw: document as JSON text.
        previous: parsed document whose unchanged fronts are reused.

    Returns:
        The parsed document, or all its problems.
    """
    tree = read_json(raw)
    if isinstance(tree, Success):
        return structure_incrementally(tree.unwrap(), previous)
    return Failure(tree.failure())


def structure_incrementally(
    tree: Any,
    previous: ParsedDocument,
) -> Result[ParsedDocument, tuple[Problem, ...]]:
    """Validate a decoded JSON tree like `parse_incrementally`."""
    reused = _unchanged_fronts(tree, previous)
    if reused:
        tree = {**tree, _FRONTS: {**tree[_FRONTS], **reused}}
    return structure_document(tree).map(
        lambda document: _build_parsed_document(
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
    return _render_text(front) == previous.front_texts[name]


def _build_parsed_document(
    document: Document,
    reused: _Tree,
    texts: dict[str, str],
) -> ParsedDocument:
    """Build a parsed document from a validated document.

    Args:
        document: validated document.
        reused: JSON trees of the unchanged fronts by name.
        texts: JSON texts that contain at least the unchanged fronts, by name.
    """
    changed = {
        name: front
        for name, front in document.fronts.items()
        if name not in reused
    }
    tree = unstructure_document(attrs.evolve(document, fronts=changed))
    fronts = tree[_FRONTS]
    changed_texts = {
        name: _render_text(front) for name, front in fronts.items()
    }
    reused_texts = {name: texts[name] for name in reused}
    fronts |= reused
    return ParsedDocument(
        document=document,
        tree=tree,
        front_texts=reused_texts | changed_texts,
    )


def _render_text(tree: Any) -> str:
    return json.dumps(tree, sort_keys=True)
