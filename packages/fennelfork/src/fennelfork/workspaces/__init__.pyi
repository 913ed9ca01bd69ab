"""Workspaces: whose requests run, how many, and in which order."""

from ._access_policy import AccessPolicy as AccessPolicy
from ._free_allowance import AllowanceShares as AllowanceShares
from ._free_allowance import FreeAllowance as FreeAllowance
from ._key_digest import digest_key as digest_key
from ._key_digest import key_fingerprint as key_fingerprint
from ._owners import Owners as Owners
from ._owners import Registered as Registered
from ._permit_holder import HeldPermit as HeldPermit
from ._permit_holder import PermitHolder as PermitHolder
from ._permit_owner import PermitOwner as PermitOwner
from ._permits import PermitAsk as PermitAsk
from ._permits import PermitGrant as PermitGrant
from ._permits import PermitNeed as PermitNeed
from ._quota import Admission as Admission
from ._quota import MustAsk as MustAsk
from ._quota import Quota as Quota
from ._quota import Report as Report
from ._quota_policy import QuotaPolicy as QuotaPolicy
from ._table import WorkspaceTable as WorkspaceTable
from ._table import workspace_table as workspace_table
from ._workspace import Workspace as Workspace
