#!/usr/bin/env bash
# The stand-ins of the cases are Python files of review/lib, without libraries.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
python3 -m py_compile lib/*.py [0-9]/*.py
