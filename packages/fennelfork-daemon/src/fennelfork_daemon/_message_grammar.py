"""Grammar of HTTP/1.1 messages by RFC 9112, on raw bytes."""

from http.client import HTTPException


class MalformedMessage(HTTPException):
    """Message that breaks a rule of RFC 9112.

    The text of the error names the rule and contains no byte of the message.
    """
