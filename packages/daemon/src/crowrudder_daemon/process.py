"""The lifecycle of a process, and the interface to its role."""

from __future__ import annotations

from crowrudder_daemon._audit import AuditEvent, AuditKind, AuditTrail
from crowrudder_daemon._lifecycle import Lifecycle, Phase, Stop, run_role
from crowrudder_daemon._runtime import Audit, Role, Runtime

__all__ = (
    'Audit',
    'AuditEvent',
    'AuditKind',
    'AuditTrail',
    'Lifecycle',
    'Phase',
    'Role',
    'Runtime',
    'Stop',
    'run_role',
)
