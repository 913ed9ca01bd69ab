"""Decisions of the fennelfork query tier, without input or output."""

from fennelfork._clock import Clock as Clock
from fennelfork._clock import ManualTime as ManualTime
from fennelfork._clock import manual_clock as manual_clock
from fennelfork._clock import system_clock as system_clock
from fennelfork._clock import wall_clock as wall_clock
from fennelfork._entries import choose_entries as choose_entries
from fennelfork._member import Member as Member
from fennelfork._member import MemberStatus as MemberStatus
from fennelfork._range import KeyRange as KeyRange
from fennelfork._range import key_range as key_range
from fennelfork._range import missing_ranges as missing_ranges
from fennelfork._rendezvous import home_of as home_of
from fennelfork._rendezvous import watchers as watchers
from fennelfork._verdict import Failure as Failure
from fennelfork._verdict import FailureCode as FailureCode
from fennelfork._verdict import Verdict as Verdict
from fennelfork._verdict import may_have_run as may_have_run
from fennelfork._verdict import not_run as not_run
