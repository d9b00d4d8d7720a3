#!/bin/sh
# Builds the stand-ins of the cases from 6 on: they are Python, so this checks
# that all of them can be loaded with the libraries of the deploy file's build.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:review python3 -c 'import site2'
for case in review/[6-9]/*.py review/10/*.py; do
    if [ -e "$case" ]; then
        python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$case"
    fi
done
