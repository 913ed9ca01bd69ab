"""This daemon, as it announces itself to the fleet."""

import time
from typing import Final

from fennelfork import Member, MemberStatus
from fennelfork_daemon._listeners import Listeners
from fennelfork_daemon._settings_tables import Settings
from fennelfork_daemon._wsgi_server import listening_address

_NS_PER_MS: Final = 1_000_000


def local_member(settings: Settings, listeners: Listeners) -> Member:
    """Build the member; its incarnation is the time of this start."""
    return Member(
        name=settings.daemon.name,
        incarnation=time.time_ns() // _NS_PER_MS,
        state=MemberStatus.ALIVE,
        region=settings.daemon.region,
        data_centre=settings.daemon.data_centre,
        caller=str(listening_address(listeners.caller)),
        operator=str(listening_address(listeners.operator)),
        peer=str(listening_address(listeners.peer)),
    )
