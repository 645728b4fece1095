"""Limits: rates and shares of customers, upstreams' limits, retry budgets."""

from crowrudder_core.limits._backlog import Backlog
from crowrudder_core.limits._buckets import RetryBudget, TokenBucket
from crowrudder_core.limits._cold_limits import (
    ColdLimits,
    EntryQuota,
    cold_quota,
    lone_cold_quota,
)
from crowrudder_core.limits._cold_returns import ColdReturns
from crowrudder_core.limits._concurrency import ConcurrencyShares
from crowrudder_core.limits._connection_shares import connection_share
from crowrudder_core.limits._load_shedding import LoadShedder
from crowrudder_core.limits._shared_budget import (
    BudgetState,
    RetryPermit,
    SharedRetryBudget,
)
from crowrudder_core.limits._shared_rate import senders_of
from crowrudder_core.limits._stated_limits import EntryShare, StatedLimits

__all__ = (
    'Backlog',
    'BudgetState',
    'ColdLimits',
    'ColdReturns',
    'ConcurrencyShares',
    'EntryQuota',
    'EntryShare',
    'LoadShedder',
    'StatedLimits',
    'RetryBudget',
    'RetryPermit',
    'SharedRetryBudget',
    'TokenBucket',
    'cold_quota',
    'connection_share',
    'lone_cold_quota',
    'senders_of',
)
