"""Parses and renders the JSON messages of the stand-in."""

import json
from typing import TypeVar

import cattrs

_Message = TypeVar('_Message')


def parse_message(body: bytes, message_class: type[_Message]) -> _Message:
    """Parse a JSON body as a message.

    Raises:
        ValueError: if the body is not valid JSON or not such a message.
    """
    try:
        return cattrs.structure(json.loads(body), message_class)
    except (cattrs.BaseValidationError, TypeError, KeyError) as error:
        raise ValueError(
            f'the body is not a {message_class.__name__}'
        ) from error


def render_message(message: object) -> bytes:
    """Render a message as JSON."""
    return json.dumps(cattrs.unstructure(message)).encode()
