"""Reading and writing the configuration document as JSON."""

import json
from typing import Any, Final

import xxhash
from returns.result import Failure, Result, Success

from fennelfork.config._document import Document
from fennelfork.config._document_converter import (
    checked_structure,
    document_converter,
)
from fennelfork.config._document_problem import Problem

_CONVERTER: Final = document_converter()


def parse_document(raw: str) -> Result[Document, tuple[Problem, ...]]:
    """Read a document and check all of it.

    Args:
        raw: the document as JSON.

    Returns:
        The document, or every fault of it at once.
    """
    return read_json(raw).bind(structure_document)


def read_json(raw: str) -> Result[Any, tuple[Problem, ...]]:
    """Read JSON, whatever it holds."""
    try:
        return Success(json.loads(raw))
    except (ValueError, RecursionError) as error:
        problem = Problem(
            path='',
            detail=f'not JSON: {error}',
            allowed='a JSON object',
        )
        return Failure((problem,))


def structure_document(tree: Any) -> Result[Document, tuple[Problem, ...]]:
    """Check a document that was already read from JSON.

    Args:
        tree: what the JSON held.

    Returns:
        The document, or every fault of it at once.
    """
    return checked_structure(_CONVERTER, tree, Document)


def unstructure_document(document: Document) -> dict[str, Any]:
    """Give the JSON tree of a document."""
    tree: dict[str, Any] = _CONVERTER.unstructure(document)
    return tree


def render_document(document: Document) -> str:
    """Write a document as canonical JSON: sorted keys, no spaces."""
    return json.dumps(
        unstructure_document(document),
        sort_keys=True,
        separators=(',', ':'),
    )


def digest(raw: str) -> str:
    """Give a short hash by which daemons compare documents.

    Args:
        raw: the document as stored, canonical JSON.

    Returns:
        16 hexadecimal digits; not proof against forgery.
    """
    return xxhash.xxh3_64_hexdigest(raw.encode())
