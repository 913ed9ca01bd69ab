"""Reading what an operator sends."""

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
    """Check a patch request.

    Args:
        tree: what the JSON held.

    Returns:
        The request, or every fault of it at once.
    """
    return checked_structure(_CONVERTER, tree, PatchRequest)
