"""Limits: rates and shares of customers, and the budgets for retries."""

from crowrudder_core.limits._buckets import RetryBudget, TokenBucket
from crowrudder_core.limits._concurrency import ConcurrencyShares
from crowrudder_core.limits._shared_budget import SharedRetryBudget

__all__ = (
    'ConcurrencyShares',
    'RetryBudget',
    'SharedRetryBudget',
    'TokenBucket',
)
