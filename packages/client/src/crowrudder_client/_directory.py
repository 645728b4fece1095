"""Reads declared files and bundles, and writes bundles."""

from __future__ import annotations

from pathlib import Path

from crowrudder_client._errors import BadInputError
from crowrudder_model.declared import (
    Bundle,
    BundleError,
    ParsedDeclaration,
    decode_bundle,
    read_files,
)


def read_directory(directory: str) -> ParsedDeclaration:
    """Read all `.ini` files of a directory.

    Raises
    ------
    BadInputError
        when the directory or a file can't be read.
    """
    path = Path(directory)
    if not path.is_dir():
        raise BadInputError(f'read {directory}', 'not a directory')
    files = sorted(path.glob('*.ini'))
    if not files:
        raise BadInputError(f'read {directory}', 'no .ini file in it')
    return read_files({file.name: _read_text(file) for file in files})


def read_bundle(file: str) -> Bundle:
    """Read a file that `crowrudder bundle` wrote.

    Raises
    ------
    BadInputError
        when it can't be read or holds no bundle.
    """
    try:
        return decode_bundle(Path(file).read_bytes())
    except (OSError, BundleError) as exc:
        raise BadInputError(f'read {file}', str(exc)) from exc


def write_bundle(file: str, encoded: bytes) -> None:
    """Write an encoded bundle to a file.

    Raises
    ------
    BadInputError
        when the file can't be written.
    """
    try:
        Path(file).write_bytes(encoded)
    except OSError as exc:
        raise BadInputError(f'write {file}', str(exc)) from exc


def _read_text(file: Path) -> str:
    try:
        return file.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        raise BadInputError(f'read {file}', str(exc)) from exc
