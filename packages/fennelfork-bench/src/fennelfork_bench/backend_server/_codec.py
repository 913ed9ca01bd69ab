"""JSON of the stand-in's messages."""

import json
from typing import TypeVar

import cattrs

_Message = TypeVar('_Message')


def parse_message(body: bytes, kind: type[_Message]) -> _Message:
    """Read a JSON body as a message.

    Raises:
        ValueError: if it is no JSON, or not of that kind.
    """
    try:
        return cattrs.structure(json.loads(body), kind)
    except (cattrs.BaseValidationError, TypeError, KeyError) as error:
        raise ValueError(f'not a {kind.__name__}') from error


def render_message(message: object) -> bytes:
    """Write a message as JSON."""
    return json.dumps(cattrs.unstructure(message)).encode()
