"""The life of a process: start, serve, drain at a signal, stop."""

from __future__ import annotations

from crowrudder_daemon._audit import AuditEvent, AuditKind, AuditTrail
from crowrudder_daemon._runtime import Audit, Role, Runtime

__all__ = (
    'Audit',
    'AuditEvent',
    'AuditKind',
    'AuditTrail',
    'Role',
    'Runtime',
)
