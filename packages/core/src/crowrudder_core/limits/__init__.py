"""Limits: rates and shares of customers, and the budget for retries."""

from crowrudder_core.limits._buckets import RetryBudget, TokenBucket
from crowrudder_core.limits._concurrency import ConcurrencyShares

__all__ = ('ConcurrencyShares', 'RetryBudget', 'TokenBucket')
