"""How the body of an answer was delimited, and how it ended."""

from __future__ import annotations

import enum


class Framing(enum.Enum):
    """What tells the end of a body to its receiver."""

    LENGTH = 'length'
    CHUNKS = 'chunks'
    CONNECTION = 'connection'
    """Nothing but the end of the connection."""


class BodyEnd(enum.Enum):
    """How a body ended."""

    OPEN = 'open'
    """It has not ended."""

    FRAMING = 'framing'
    """By its own length or last chunk."""

    FIN = 'fin'
    """With an orderly end of the connection."""

    RESET = 'reset'
    """With the loss of the connection."""

    LOCAL = 'local'
    """This process closed the connection."""
