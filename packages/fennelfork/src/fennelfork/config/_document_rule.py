"""Rules on single values of the configuration document.

A rule stands in the annotation of a field (`Annotated[int, WholeNumber(...)]`),
so that one place says what is allowed and the parser, the error texts and the
type checker all read it. `description` of a rule completes "must be ...".
"""

import attrs


@attrs.frozen(kw_only=True)
class WholeNumber:
    """An integer from `minimum` to `maximum`, both allowed."""

    minimum: int
    maximum: int

    @property
    def description(self) -> str:
        """What is allowed, for a person."""
        return f'a whole number from {self.minimum} to {self.maximum}'


@attrs.frozen(kw_only=True)
class Fraction:
    """A number from `minimum` to `maximum`, both allowed."""

    minimum: float
    maximum: float

    @property
    def description(self) -> str:
        """What is allowed, for a person."""
        return f'a number from {self.minimum} to {self.maximum}'


@attrs.frozen(kw_only=True)
class Text:
    """A string that matches the regular expression `pattern` as a whole."""

    pattern: str
    description: str


@attrs.frozen(kw_only=True)
class OneOf:
    """One of a few fixed strings."""

    choices: tuple[str, ...]

    @property
    def description(self) -> str:
        """What is allowed, for a person."""
        quoted = ', '.join(f'"{choice}"' for choice in self.choices)
        return f'one of {quoted}'


@attrs.frozen(kw_only=True)
class SocketAddress:
    """An `ip:port` string."""

    @property
    def description(self) -> str:
        """What is allowed, for a person."""
        return 'an "ip:port" address with a port from 1 to 65535'


@attrs.frozen(kw_only=True)
class NonEmpty:
    """A table with at least one entry."""

    @property
    def description(self) -> str:
        """What is allowed, for a person."""
        return 'a table with at least one entry'


Rule = WholeNumber | Fraction | Text | OneOf | SocketAddress | NonEmpty
