"""Parsing and rendering of the configuration document as JSON."""

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
    """Parse and validate a document.

    Args:
        raw: document as JSON text.

    Returns:
        The document, or all its problems.
    """
    return read_json(raw).bind(structure_document)


def read_json(raw: str) -> Result[Any, tuple[Problem, ...]]:
    """Decode JSON text without validation of the content."""
    try:
        return Success(json.loads(raw))
    except (ValueError, RecursionError) as error:
        problem = Problem(
            path='',
            detail=f'invalid JSON: {error}',
            allowed='a JSON object',
        )
        return Failure((problem,))


def structure_document(tree: Any) -> Result[Document, tuple[Problem, ...]]:
    """Validate a document that is already decoded from JSON.

    Args:
        tree: decoded JSON value.

    Returns:
        The document, or all its problems.
    """
    return checked_structure(_CONVERTER, tree, Document)


def unstructure_document(document: Document) -> dict[str, Any]:
    """Return the JSON tree of a document."""
    tree: dict[str, Any] = _CONVERTER.unstructure(document)
    return tree


def render_document(document: Document) -> str:
    """Render a document as canonical JSON: sorted keys, no whitespace."""
    return json.dumps(
        unstructure_document(document),
        sort_keys=True,
        separators=(',', ':'),
    )


def digest(raw: str) -> str:
    """Return a short hash for the comparison of documents between daemons.

    Args:
        raw: document as canonical JSON.

    Returns:
        16 hexadecimal digits of a non-cryptographic hash.
    """
    return xxhash.xxh3_64_hexdigest(raw.encode())
