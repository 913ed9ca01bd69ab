"""Operator page that shows the fleet as this daemon knows it."""

from typing import Any

import attrs

from fennelfork.membership import Member, preferred_members
from fennelfork_daemon.http._router import HttpReply, HttpRequest, json_reply
from fennelfork_daemon.routes._availability import StoreAvailability
from fennelfork_daemon.routes._blackboard import RouteBlackboard
from fennelfork_daemon.routes._fleet_reporter import FleetReporter


@attrs.frozen(kw_only=True)
class FleetPage:
    """Shows which daemons callers are sent to, and the source of updates."""

    _blackboard: RouteBlackboard
    _availability: StoreAvailability
    _reporter: FleetReporter

    def show(self, request: HttpRequest) -> HttpReply:
        """Return the known daemons and the age of the data of the store."""
        members = tuple(self._blackboard.members.entries.values())
        return json_reply(
            {
                'update_source': self._reporter.source,
                'update_age_ms': round(self._availability.data_age_ms),
                'evacuated': sorted(
                    self._blackboard.directory.evacuations.active
                ),
                'daemons': [
                    _to_json(member, members)
                    for member in sorted(members, key=lambda each: each.name)
                ],
            }
        )


def _to_json(member: Member, members: tuple[Member, ...]) -> dict[str, Any]:
    group = [each for each in members if each.data_centre == member.data_centre]
    return {
        'name': member.name,
        'data_centre': member.data_centre,
        'caller': member.caller,
        'processor_cores': member.processor_cores,
        'is_overloaded': member.is_overloaded,
        'is_preferred': member in preferred_members(group),
    }
