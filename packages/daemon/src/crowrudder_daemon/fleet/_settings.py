"""Settings of a process whose `Node` was read by an adapter."""

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
"""Seconds between the end of a drain and the kill, for closing sockets."""


def process_settings(node: Node, tuning: Tuning) -> Settings:
    """Return the settings for admin server, logs and drain of the process."""
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
