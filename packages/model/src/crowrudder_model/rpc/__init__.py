"""The table of remote calls between crowrudder processes."""

from crowrudder_model.rpc._methods import (
    CHUNK,
    EXCHANGE,
    GIVE,
    MANIFEST,
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
    'CHUNK',
    'EXCHANGE',
    'GIVE',
    'MANIFEST',
    'REPORTS',
    'RUN',
    'SERVICE_NAME',
    'SETTLE',
    'STOCK',
    'TAKE',
    'CallKind',
    'Method',
)
