"""Gossip-based membership of the daemons, after the SWIM protocol."""

from ._announce import announce_exit as announce_exit
from ._announce import announce_leave as announce_leave
from ._announce import announce_local_member as announce_local_member
from ._announce import leave_is_announced as leave_is_announced
from ._capacity import capable_members as capable_members
from ._capacity import limit_divisor as limit_divisor
from ._capacity import preferred_members as preferred_members
from ._fleet_share import FleetShare as FleetShare
from ._fleet_share import LeaseTimes as LeaseTimes
from ._fleet_share import SharePolicy as SharePolicy
from ._member import Member as Member
from ._member import MemberStatus as MemberStatus
from ._member import initial_incarnation as initial_incarnation
from ._member_table import MemberTable as MemberTable
from ._membership import Membership as Membership
from ._membership import ProbeEffects as ProbeEffects
from ._membership import membership as membership
from ._messages import MemberChange as MemberChange
from ._messages import ProbeAck as ProbeAck
from ._messages import ProbeMessage as ProbeMessage
from ._messages import SendProbe as SendProbe
from ._policy import MembershipPolicy as MembershipPolicy
from ._view import FleetView as FleetView
from ._vm_list import VmListSchedule as VmListSchedule
