"""Member record of this daemon."""

from fennelfork import wall_clock
from fennelfork.membership import Member, MemberStatus, initial_incarnation
from fennelfork_daemon._listeners import Listeners
from fennelfork_daemon.http._wsgi_server import listening_address
from fennelfork_daemon.settings._tables import Settings


def local_member(settings: Settings, listeners: Listeners) -> Member:
    """Build the member of this daemon, with the start time as incarnation."""
    return Member(
        name=settings.daemon.name,
        incarnation=initial_incarnation(wall_clock().now_ms()),
        state=MemberStatus.ALIVE,
        region=settings.daemon.region,
        data_centre=settings.daemon.data_centre,
        caller=str(listening_address(listeners.caller)),
        operator=str(listening_address(listeners.operator)),
        peer=str(listening_address(listeners.peer)),
    )
