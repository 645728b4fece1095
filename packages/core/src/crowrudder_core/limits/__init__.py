"""Limits: rates and shares of customers, and the budgets for retries."""

from crowrudder_core.limits._buckets import RetryBudget, TokenBucket
from crowrudder_core.limits._concurrency import ConcurrencyShares
from crowrudder_core.limits._named_limits import NamedLimits
from crowrudder_core.limits._shared_budget import SharedRetryBudget
from crowrudder_core.limits._shared_rate import senders_of

__all__ = (
    'ConcurrencyShares',
    'NamedLimits',
    'RetryBudget',
    'SharedRetryBudget',
    'TokenBucket',
    'senders_of',
)
