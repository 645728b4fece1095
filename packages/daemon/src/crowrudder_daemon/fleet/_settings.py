"""Settings of a process whose node was described by an adapter."""

from __future__ import annotations

from typing import TYPE_CHECKING

from crowrudder_daemon.settings import (
    LimitsSection,
    LogsSection,
    PlatformSection,
    ProcessSection,
    Settings,
)

if TYPE_CHECKING:
    from crowrudder_daemon.fleet._tuning import Tuning
    from crowrudder_model.fleet import Node

EXIT_MARGIN_S = 1.0
"""Left between the end of a drain and the kill, for closing sockets."""


def settings_of(node: Node, tuning: Tuning) -> Settings:
    """Give the settings that the process's frame (admin, logs, drain) wants."""
    return Settings(
        process=ProcessSection(
            role=node.role,
            host=node.host,
            address=node.ip,
            rpc_port=node.rpc_port,
            admin_port=node.metrics_port,
            region=node.place.region,
            failure_domain=node.place.failure_domain,
        ),
        platform=PlatformSection(address=node.platform),
        limits=LimitsSection(
            drain_s=max(node.bounds.stop_s - EXIT_MARGIN_S, 0),
        ),
        logs=LogsSection(level=tuning.log_level),
    )
