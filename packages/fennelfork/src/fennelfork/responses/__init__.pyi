"""Strict reading of HTTP responses by RFC 9112."""

from ._grammar import MalformedMessage as MalformedMessage
from ._strict_response import StrictResponse as StrictResponse
