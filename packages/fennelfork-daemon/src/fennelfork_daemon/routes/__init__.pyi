"""Routes: requests are forwarded to services that register themselves."""

from ._answer import Answer as Answer
from ._answer import Forwarded as Forwarded
from ._answer import Merged as Merged
from ._answer import Refused as Refused
from ._blackboard import RouteBlackboard as RouteBlackboard
from ._body import read_body as read_body
from ._build import route_service as route_service
from ._caller_request import CallerRequest as CallerRequest
from ._caller_request import SignedResponse as SignedResponse
from ._caller_request import (
    remove_hop_by_hop_headers as remove_hop_by_hop_headers,
)
from ._entries import EntryAnswer as EntryAnswer
from ._entries import EntryQuery as EntryQuery
from ._entries import RouteEntries as RouteEntries
from ._events import EVENTS as EVENTS
from ._ports import BackendCodec as BackendCodec
from ._ports import CallerCodec as CallerCodec
from ._ports import HistoryCompacted as HistoryCompacted
from ._ports import Listing as Listing
from ._ports import Ports as Ports
from ._ports import RelayClient as RelayClient
from ._ports import RelayedBatch as RelayedBatch
from ._ports import Store as Store
from ._ports import UpdateBatch as UpdateBatch
from ._relay import Relay as Relay
from ._service import AdapterApplications as AdapterApplications
from ._service import RouteService as RouteService
from ._settings import RouteSettings as RouteSettings
from ._updates import ConfigUpdate as ConfigUpdate
from ._updates import EvacuationRemoved as EvacuationRemoved
from ._updates import EvacuationUpdate as EvacuationUpdate
from ._updates import InvalidEntry as InvalidEntry
from ._updates import MemberRemoved as MemberRemoved
from ._updates import MemberUpdate as MemberUpdate
from ._updates import ServerRemoved as ServerRemoved
from ._updates import ServerUpdate as ServerUpdate
from ._updates import StoreUpdate as StoreUpdate
from ._updates import SuspicionRemoved as SuspicionRemoved
from ._updates import SuspicionUpdate as SuspicionUpdate
