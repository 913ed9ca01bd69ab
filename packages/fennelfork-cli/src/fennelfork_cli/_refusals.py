"""Description of the decision that refused a request."""

from typing import Final

from fennelfork_cli._http import JsonObject

_REFUSED_EVENT: Final = 'request_refused'
# Separates the reason of load shedding from what had no room.
_NO_ROOM: Final = ', refused by '


def describe_refusal(event: str, facts: JsonObject) -> str | None:
    """Return the workspace, the decision and its reason as one line.

    Args:
        event: name of the event of a log line.
        facts: fields of the log line.

    Returns:
        Text, or None if the line is about something else, or if the daemon
        that wrote the line does not log workspaces.
    """
    workspace = facts.get('workspace')
    if event != _REFUSED_EVENT or workspace is None:
        return None
    reason, _, resource = str(facts.get('reason')).partition(_NO_ROOM)
    holder = f'workspace {workspace}' if workspace else 'no workspace'
    return f'{holder}: refused by {resource or facts.get("code")}: {reason}'
