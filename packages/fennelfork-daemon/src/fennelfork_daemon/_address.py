"""Network addresses of daemons, backend servers and the platform."""

import ipaddress
from typing import Final

import attrs

MAX_PORT: Final = 65_535


@attrs.frozen(kw_only=True)
class Address:
    """IP address and port.

    Attributes:
        host: IP address without brackets.
        port: port number; a listener on port 0 gets a free port from the
            operating system.
    """

    host: str
    port: int

    def __str__(self) -> str:
        """Return `ip:port`, with brackets around an IPv6 address."""
        host = f'[{self.host}]' if ':' in self.host else self.host
        return f'{host}:{self.port}'


def address(text: str) -> Address:
    """Parse `ip:port` or `[ip]:port`.

    Raises:
        ValueError: if `text` is not an IP address and a port.
    """
    host, _, port = text.rpartition(':')
    try:
        number = ipaddress.ip_address(host.strip('[]'))
    except ValueError as err:
        raise ValueError(f'{text!r} has no IP number') from err
    if not _is_number(port) or int(port) > MAX_PORT:
        raise ValueError(f'{text!r} has no port')
    return Address(host=str(number), port=int(port))


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit()
