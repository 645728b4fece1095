"""Limits: rates of customers and the budget for retries."""

from crowrudder_core.limits._buckets import RetryBudget, TokenBucket

__all__ = ('RetryBudget', 'TokenBucket')
