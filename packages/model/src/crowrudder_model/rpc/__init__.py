"""The table of remote calls between crowrudder processes."""

from crowrudder_model.rpc._methods import (
    CANCEL,
    CHUNK,
    CLAIM,
    EXCHANGE,
    GIVE,
    HAND_OVER,
    MANIFEST,
    RELEASE,
    REPORTS,
    RUN,
    SERVICE_NAME,
    SETTLE,
    STOCK,
    TAKE,
    CallKind,
    Method,
)

__all__ = (
    'CANCEL',
    'CHUNK',
    'CLAIM',
    'EXCHANGE',
    'GIVE',
    'HAND_OVER',
    'MANIFEST',
    'RELEASE',
    'REPORTS',
    'RUN',
    'SERVICE_NAME',
    'SETTLE',
    'STOCK',
    'TAKE',
    'CallKind',
    'Method',
)
