"""Messages between a daemon that needs permits and the owner of a workspace.

A permit allows one run of a request of one workspace.
"""

import attrs


@attrs.frozen(kw_only=True)
class PermitNeed:
    """Need of a daemon for permits of one workspace.

    Attributes:
        workspace: name of the workspace.
        needed: permits for requests that wait now.
        held: valid permits that the daemon holds in advance.
        returned: permits that the daemon held and gave up unused since its last
            report.
        wanted: permits that the daemon would like to hold in advance.
    """

    workspace: str
    needed: int = 0
    held: int = 0
    returned: int = 0
    wanted: int = 0


@attrs.frozen(kw_only=True)
class PermitAsk:
    """Message of a daemon to an owner.

    Attributes:
        holder: name of the daemon that asks.
        incarnation: incarnation with which the daemon is registered.
        number: number that rises with each report of held permits; 0 if the
            message reports none and only asks for requests that wait.
        needs: needs, at most one for each workspace.
    """

    holder: str
    incarnation: int
    number: int
    needs: tuple[PermitNeed, ...]


@attrs.frozen(kw_only=True)
class PermitGrant:
    """Answer of an owner for one workspace.

    Attributes:
        workspace: name of the workspace.
        granted: permits for the requests that wait.
        held: permits that the daemon may hold in advance, in place of the ones
            that it reported.
        retry_ms: time until the owner has a permit again; 0 if all that wait
            were granted.
    """

    workspace: str
    granted: int = 0
    held: int = 0
    retry_ms: float = 0
