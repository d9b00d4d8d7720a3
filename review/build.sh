#!/bin/sh
# Checks the stand-ins that the scripts start; they need Python alone.
set -e
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - <<'P'
import pathlib
for path in sorted(pathlib.Path('.').rglob('*.py')):
    compile(path.read_text(), str(path), 'exec')
P
