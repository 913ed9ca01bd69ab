"""Construction of the quotas of workspaces."""

from collections.abc import Mapping
from typing import Final

from fennelfork.workspaces import (
    FreeAllowance,
    Owners,
    PermitHolder,
    PermitOwner,
    Quota,
    Workspace,
)
from fennelfork_daemon.quota._client import PermitClient
from fennelfork_daemon.quota._service import Quotas
from fennelfork_daemon.routes._availability import StoreAvailability
from fennelfork_daemon.routes._blackboard import RouteBlackboard
from fennelfork_daemon.routes._common_parts import CommonParts
from fennelfork_daemon.routes._quota_reporter import RouteQuotaReporter

_NO_WORKSPACES: Final[Mapping[str, Workspace]] = {}


def build_quotas(
    base: CommonParts,
    availability: StoreAvailability,
) -> Quotas:
    """Build the quotas of a daemon that has admitted nothing yet."""
    blackboard = base.blackboard
    proof = blackboard.lease_proof
    owners = Owners(
        local=blackboard.local,
        members=lambda: blackboard.members.entries.values(),
        registered=lambda: proof.registered,
        view_age_ms=lambda: availability.data_age_ms,
        max_age_ms=base.settings.in_force_ms,
        clock=base.clock,
    )
    policy = base.settings.quota
    quota = Quota(
        local=blackboard.local,
        clock=base.clock,
        owners=owners,
        owner=PermitOwner(policy=policy, clock=base.clock, owners=owners),
        holder=PermitHolder(clock=base.clock),
        free=FreeAllowance(
            policy=policy,
            clock=base.clock,
            shares=blackboard.fleet_shares.allowance,
        ),
    )
    return Quotas(
        quota=quota,
        client=PermitClient(clock=base.clock),
        reporter=RouteQuotaReporter(clock=base.clock, log=base.log),
        workspaces=lambda: _workspaces_of(blackboard),
    )


def _workspaces_of(blackboard: RouteBlackboard) -> Mapping[str, Workspace]:
    table = blackboard.table
    if table is None or table.workspaces is None:
        return _NO_WORKSPACES
    return table.workspaces.by_name
