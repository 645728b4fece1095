"""The table of remote calls between crowrudder processes."""

from crowrudder_model.rpc._methods import (
    CHUNK,
    EXCHANGE,
    FETCH_BUNDLE,
    MANIFEST,
    REPORTS,
    RUN,
    SERVICE_NAME,
    SETTLE,
    STOCK,
    CallKind,
    Method,
)

__all__ = (
    'CHUNK',
    'EXCHANGE',
    'FETCH_BUNDLE',
    'MANIFEST',
    'REPORTS',
    'RUN',
    'SERVICE_NAME',
    'SETTLE',
    'STOCK',
    'CallKind',
    'Method',
)
