"""The program `crowrudderd`, see `cli`."""

from __future__ import annotations

from crowrudder_daemon.early_signals import hold_signals


def main() -> int:
    """Hold signals, then run the command line; return the exit code."""
    hold_signals()
    # Most of the time of a start is spent on this import.
    from crowrudder_daemon.cli import main as run

    return run()
