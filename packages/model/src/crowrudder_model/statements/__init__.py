"""Datagrams in which entries tell each other what upstreams have stated."""

from crowrudder_model.statements._leaving import LeavingReport, LeavingUpdate
from crowrudder_model.statements._limits import LimitReport, LimitUpdate

__all__ = (
    'LeavingReport',
    'LeavingUpdate',
    'LimitReport',
    'LimitUpdate',
)
