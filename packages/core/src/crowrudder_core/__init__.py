"""Aggregates and pure decisions, one sub-package an area.

An aggregate takes typed events and the time as arguments and returns typed
actions. Nothing here does input or output, reads a clock or draws from a
global random source.
"""
