"""The settings of a process: an INI file, validated as a whole."""

from __future__ import annotations

from crowrudder_daemon.settings._faults import Fault, SettingsError
from crowrudder_daemon.settings._read import parse_settings, read_settings
from crowrudder_daemon.settings._schema import Row
from crowrudder_daemon.settings._sections import (
    LimitsSection,
    LogsSection,
    PlatformSection,
    ProcessSection,
    Settings,
    UpstreamSection,
    WeightsSection,
    rows,
)

__all__ = (
    'Fault',
    'LimitsSection',
    'LogsSection',
    'PlatformSection',
    'ProcessSection',
    'Row',
    'Settings',
    'SettingsError',
    'UpstreamSection',
    'WeightsSection',
    'parse_settings',
    'read_settings',
    'rows',
)
