"""Validation rules for single values of the configuration document.

A rule is part of the annotated type of a field, for example
`Annotated[int, WholeNumber(...)]`. The converter and the error messages read
the rule from the annotation. The `description` of a rule completes the phrase
"must be ...".
"""

import attrs


@attrs.frozen(kw_only=True)
class WholeNumber:
    """An integer from `minimum` to `maximum`, inclusive."""

    minimum: int
    maximum: int

    @property
    def description(self) -> str:
        """Description of the allowed values."""
        return f'a whole number from {self.minimum} to {self.maximum}'


@attrs.frozen(kw_only=True)
class Fraction:
    """A number from `minimum` to `maximum`, inclusive."""

    minimum: float
    maximum: float

    @property
    def description(self) -> str:
        """Description of the allowed values."""
        return f'a number from {self.minimum} to {self.maximum}'


@attrs.frozen(kw_only=True)
class Text:
    """A string that fully matches the regular expression `pattern`."""

    pattern: str
    description: str


@attrs.frozen(kw_only=True)
class OneOf:
    """One of the strings in `choices`."""

    choices: tuple[str, ...]

    @property
    def description(self) -> str:
        """Description of the allowed values."""
        quoted = ', '.join(f'"{choice}"' for choice in self.choices)
        return f'one of {quoted}'


@attrs.frozen(kw_only=True)
class SocketAddress:
    """An `ip:port` string."""

    @property
    def description(self) -> str:
        """Description of the allowed values."""
        return 'an "ip:port" address with a port from 1 to 65535'


@attrs.frozen(kw_only=True)
class NonEmpty:
    """A JSON object with at least one entry."""

    @property
    def description(self) -> str:
        """Description of the allowed values."""
        return 'a JSON object with at least one entry'


Rule = WholeNumber | Fraction | Text | OneOf | SocketAddress | NonEmpty
