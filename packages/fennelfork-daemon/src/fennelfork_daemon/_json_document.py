"""Parsing of JSON documents that other processes sent."""

import json
from typing import Any


def parse_json(raw: str | bytes) -> Any:
    """Parse a JSON document.

    Raises:
        ValueError: if the document is invalid or nested too deeply.
    """
    try:
        return json.loads(raw)
    except RecursionError as error:
        raise ValueError('the document is nested too deeply') from error
