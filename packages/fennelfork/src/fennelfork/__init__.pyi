"""Decision logic of the fennelfork query tier, free of input and output."""

from ._blackboard import Blackboard as Blackboard
from ._blackboard import blackboard as blackboard
from ._clock import Clock as Clock
from ._clock import ManualTime as ManualTime
from ._clock import manual_clock as manual_clock
from ._clock import system_clock as system_clock
from ._clock import wall_clock as wall_clock
from ._entries import choose_entries as choose_entries
from ._entries import nearest_entries as nearest_entries
from ._stop import GracefulStop as GracefulStop
from ._stop import StopConditions as StopConditions
from ._stop import StopPhase as StopPhase
from ._stop import StopPolicy as StopPolicy
from ._stop import StopTimes as StopTimes
from ._stop import graceful_stop as graceful_stop
from ._verdict import Failure as Failure
from ._verdict import FailureCode as FailureCode
from ._verdict import Verdict as Verdict
from ._verdict import may_have_run as may_have_run
from ._verdict import not_run as not_run
