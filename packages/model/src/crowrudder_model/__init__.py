"""Declared configuration, bundles, values and messages between processes.

Nothing here does input or output, reads a clock or draws a random number.
"""
