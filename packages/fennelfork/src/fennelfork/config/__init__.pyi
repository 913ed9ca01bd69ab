"""Parsing, validation and patching of the configuration document."""

from ._backoff import Backoff as Backoff
from ._backoff import TokenBucket as TokenBucket
from ._backoff import token_bucket as token_bucket
from ._document import Document as Document
from ._document import Front as Front
from ._document import HedgePolicyName as HedgePolicyName
from ._document import HedgeSettings as HedgeSettings
from ._document import PatchRecord as PatchRecord
from ._document import Server as Server
from ._document import Shard as Shard
from ._document import Tenant as Tenant
from ._document import TrafficClass as TrafficClass
from ._document_parse import digest as digest
from ._document_parse import parse_document as parse_document
from ._document_parse import render_document as render_document
from ._document_parse import structure_document as structure_document
from ._document_parse import (
    unstructure_document as unstructure_document,
)
from ._document_problem import Problem as Problem
from ._merge_patch import Change as Change
from ._merge_patch import merge_patch as merge_patch
from ._merge_patch import tree_changes as tree_changes
from ._parsed_document import ParsedDocument as ParsedDocument
from ._parsed_document import parse_incrementally as parse_incrementally
from ._parsed_document import parsed_document as parsed_document
from ._patch import PatchAccepted as PatchAccepted
from ._patch import PatchOutcome as PatchOutcome
from ._patch import PatchRefused as PatchRefused
from ._patch import PatchRequest as PatchRequest
from ._patch import PreparedWrite as PreparedWrite
from ._patch import StoredDocument as StoredDocument
from ._patch_decision import PatchContext as PatchContext
from ._patch_decision import decide_patch as decide_patch
from ._patch_event import DocumentRead as DocumentRead
from ._patch_event import PatchDone as PatchDone
from ._patch_event import PatchStep as PatchStep
from ._patch_event import ReadDocument as ReadDocument
from ._patch_event import ReadFailed as ReadFailed
from ._patch_event import WriteApplied as WriteApplied
from ._patch_event import WriteConflict as WriteConflict
from ._patch_event import WriteDocument as WriteDocument
from ._patch_event import WriteNotSent as WriteNotSent
from ._patch_event import WriteOutcomeUnknown as WriteOutcomeUnknown
from ._patch_request import structure_request as structure_request
from ._patch_writer import PatchWriter as PatchWriter
from ._patch_writer import advance_patch as advance_patch
from ._state import ActiveDocument as ActiveDocument
from ._state import ConfigAnomaly as ConfigAnomaly
from ._state import ConfigSource as ConfigSource
from ._state import ConfigState as ConfigState
from ._state import OfferOutcome as OfferOutcome
from ._state import config_state as config_state
