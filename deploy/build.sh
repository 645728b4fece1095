#!/usr/bin/env bash
# Put the libraries and our packages into target/deps; nothing else is written.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."

deps=target/deps
stamp=target/.libraries
if [[ ! -e $stamp || $stamp -ot deploy/requirements.txt ||
  $stamp -ot constraints.txt ]]; then
  rm -rf "$deps"
  python3 -m pip install --quiet --disable-pip-version-check \
    --target "$deps" --constraint constraints.txt \
    --requirement deploy/requirements.txt
  touch "$stamp"
fi
for source in packages/{model,core,daemon}/src platform/src; do
  for package in "$source"/crowrudder_*; do
    [[ -e $package/__init__.py ]] || continue
    rm -rf "$deps/${package##*/}"
    cp -r "$package" "$deps/"
    # The processes may not write there: each start would compile all anew.
    python3 -m compileall -q "$deps/${package##*/}"
  done
done
