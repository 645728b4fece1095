"""The logs of a failed soak run."""

from __future__ import annotations

import shutil
import tempfile
from pathlib import Path


def keep_logs(folder: Path, *, seed: int, kept_in: str = '') -> Path:
    """Copy the logs and settings of a run's programs; return where they are.

    Without a directory to keep them in, a new temporary one is made.
    """
    kept = (
        Path(kept_in) / f'seed-{seed}'
        if kept_in
        else Path(tempfile.mkdtemp(prefix=f'crowrudder-soak-seed-{seed}-'))
    )
    shutil.copytree(folder, kept, dirs_exist_ok=True)
    return kept
