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
class KnownDocument:
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


def known_document(document: Document) -> KnownDocument:
    """Build from a document alone."""
    return _known(document, {}, {})


def parse_again(
    raw: str,
    known: KnownDocument,
) -> Result[KnownDocument, tuple[Problem, ...]]:
    """Read a document, checking only what differs from a known one.

    Args:
        raw: the document as JSON.
        known: the document read before.

    Returns:
        The document, or every fault of it at once.
    """
    tree = read_json(raw)
    if isinstance(tree, Success):
        return structure_again(tree.unwrap(), known)
    return Failure(tree.failure())


def structure_again(
    tree: Any,
    known: KnownDocument,
) -> Result[KnownDocument, tuple[Problem, ...]]:
    """Check a tree as `parse_again` does."""
    reused = _unchanged(tree, known)
    if reused:
        tree = {**tree, _FRONTS: {**tree[_FRONTS], **reused}}
    return structure_document(tree).map(
        lambda document: _known(
            document,
            {name: known.tree[_FRONTS][name] for name in reused},
            known.front_texts,
        ),
    )


def _unchanged(tree: Any, known: KnownDocument) -> dict[str, Front]:
    fronts = tree.get(_FRONTS) if isinstance(tree, dict) else None
    if not isinstance(fronts, dict):
        return {}
    return {
        name: known.document.fronts[name]
        for name, front in fronts.items()
        if _is_known(name, front, known)
    }


def _is_known(name: str, front: Any, known: KnownDocument) -> bool:
    if name not in known.front_texts:
        return False
    if front is known.tree[_FRONTS][name]:
        return True
    return _text(front) == known.front_texts[name]


def _known(
    document: Document,
    reused: _Tree,
    texts: dict[str, str],
) -> KnownDocument:
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
    return KnownDocument(
        document=document,
        tree=tree,
        front_texts=known_texts | fresh_texts,
    )


def _text(tree: Any) -> str:
    return json.dumps(tree, sort_keys=True)
