"""Decisions of the fennelfork query tier, without input or output."""

from fennelfork._clock import Clock as Clock
from fennelfork._clock import ManualTime as ManualTime
from fennelfork._clock import manual_clock as manual_clock
from fennelfork._clock import system_clock as system_clock
from fennelfork._clock import wall_clock as wall_clock
from fennelfork._coverage import Coverage as Coverage
from fennelfork._coverage import MissingRange as MissingRange
from fennelfork._coverage import PartialCoverage as PartialCoverage
from fennelfork._coverage import WholeCoverage as WholeCoverage
from fennelfork._coverage import allows as allows
from fennelfork._coverage import coverage_of as coverage_of
from fennelfork._document import Document as Document
from fennelfork._document import Front as Front
from fennelfork._document import HedgePolicyName as HedgePolicyName
from fennelfork._document import HedgeSettings as HedgeSettings
from fennelfork._document import PatchRecord as PatchRecord
from fennelfork._document import Server as Server
from fennelfork._document import Shard as Shard
from fennelfork._document import Tenant as Tenant
from fennelfork._document import TrafficClass as TrafficClass
from fennelfork._document_parse import digest as digest
from fennelfork._document_parse import parse_document as parse_document
from fennelfork._document_parse import render_document as render_document
from fennelfork._document_parse import structure_document as structure_document
from fennelfork._document_parse import (
    unstructure_document as unstructure_document,
)
from fennelfork._document_problem import Problem as Problem
from fennelfork._entries import choose_entries as choose_entries
from fennelfork._member import Member as Member
from fennelfork._member import MemberStatus as MemberStatus
from fennelfork._merge import Answer as Answer
from fennelfork._merge import Merge as Merge
from fennelfork._merge import Planned as Planned
from fennelfork._merge import merge_of as merge_of
from fennelfork._partition import Assignment as Assignment
from fennelfork._partition import PartitionMap as PartitionMap
from fennelfork._partition import ShardView as ShardView
from fennelfork._partition import SnapshotView as SnapshotView
from fennelfork._partition import pin as pin
from fennelfork._range import KeyRange as KeyRange
from fennelfork._range import key_range as key_range
from fennelfork._range import missing_ranges as missing_ranges
from fennelfork._rendezvous import home_of as home_of
from fennelfork._rendezvous import watchers as watchers
from fennelfork._reply import Expected as Expected
from fennelfork._reply import Record as Record
from fennelfork._reply import Reply as Reply
from fennelfork._reply import check_reply as check_reply
from fennelfork._verdict import Failure as Failure
from fennelfork._verdict import FailureCode as FailureCode
from fennelfork._verdict import Verdict as Verdict
from fennelfork._verdict import may_have_run as may_have_run
from fennelfork._verdict import not_run as not_run
