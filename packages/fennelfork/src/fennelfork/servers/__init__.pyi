"""Selection, hedging, retry budgets and ejection of backend servers."""

from ._budget import Budget as Budget
from ._budget import budget as budget
from ._connection import ConnectionChoice as ConnectionChoice
from ._connection import ConnectionLedger as ConnectionLedger
from ._drain import DrainState as DrainState
from ._ejection import EjectionState as EjectionState
from ._ejection import may_eject as may_eject
from ._hedge import FixedHedge as FixedHedge
from ._hedge import HedgePolicy as HedgePolicy
from ._hedge import Latencies as Latencies
from ._hedge import NoHedge as NoHedge
from ._hedge import QuantileHedge as QuantileHedge
from ._hedge import hedge_delay_ms as hedge_delay_ms
from ._hedge import latencies as latencies
from ._rank import Candidate as Candidate
from ._rank import ObservedLatency as ObservedLatency
from ._rank import choose_candidate as choose_candidate
