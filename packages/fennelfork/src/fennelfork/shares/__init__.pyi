"""Weighted fair shares, on which queues and admission control agree."""

from ._draw import hash_fraction as hash_fraction
from ._fair import Flow as Flow
from ._fair import Shares as Shares
from ._fair import fair_rates as fair_rates
from ._queue import FairQueue as FairQueue
from ._ranked import RankedRates as RankedRates
from ._ranked import ranked_rates as ranked_rates
from ._rate import Rate as Rate
from ._urgency import Urgency as Urgency
