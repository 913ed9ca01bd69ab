"""Validation of patch requests."""

from typing import Any, Final

from returns.result import Result

from fennelfork.config._document_converter import (
    checked_structure,
    document_converter,
)
from fennelfork.config._document_problem import Problem
from fennelfork.config._patch import PatchRequest

_CONVERTER: Final = document_converter()


def structure_request(
    tree: Any,
) -> Result[PatchRequest, tuple[Problem, ...]]:
    """Validate a patch request.

    Args:
        tree: decoded JSON value.

    Returns:
        The request, or all its problems.
    """
    return checked_structure(_CONVERTER, tree, PatchRequest)
