#!/usr/bin/env bash
# Checks that the stand-ins of the cases compile. They are plain Python and
# use the standard library only, so nothing else has to be built.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins.py [1-5]/*.py; do
  [ -e "$file" ] || continue
  python3 - "$file" <<'P'
import sys
compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")
P
done
