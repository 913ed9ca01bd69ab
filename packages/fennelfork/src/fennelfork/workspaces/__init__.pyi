"""Workspaces: whose requests run, how many, and in which order."""

from ._workspace import Workspace as Workspace
