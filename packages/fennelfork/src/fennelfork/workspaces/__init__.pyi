"""Workspaces: whose requests run, how many, and in which order."""

from ._access_policy import AccessPolicy as AccessPolicy
from ._key_digest import digest_key as digest_key
from ._key_digest import key_fingerprint as key_fingerprint
from ._table import WorkspaceTable as WorkspaceTable
from ._table import workspace_table as workspace_table
from ._workspace import Workspace as Workspace
