#!/usr/bin/env bash
# Puts the process and the libraries that it loads under target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! target/deps/.ready -nt deploy/requirements.txt ]; then
  rm -rf target/deps
  mkdir -p target/deps
  python3 -m pip install --quiet --target target/deps \
    --constraint requirements.lock -r deploy/requirements.txt
  touch target/deps/.ready
fi
rm -rf target/deps/lovageyoke
cp -R src/lovageyoke target/deps/lovageyoke
python3 -m compileall -q target/deps
