#!/usr/bin/env bash
# Runs every test: behave contract features, then pytest (hypothesis).
# Tests listed in KNOWN-RED.txt (at most three) are reported, not failed.
set -uo pipefail
cd "$(dirname "$0")/.."
known=()
if [ -f KNOWN-RED.txt ]; then
  while IFS= read -r line; do
    [ -z "$line" ] || [[ "$line" == \#* ]] && continue
    known+=("${line%%;*}")
    echo "KNOWN-RED: $line"
  done < KNOWN-RED.txt
fi
status=0
excl=()
for k in "${known[@]+"${known[@]}"}"; do excl+=(--exclude "$k"); done
python -m behave --format progress --no-capture-stderr "${excl[@]+"${excl[@]}"}" features || status=1
python -m pytest -q tests
rc=$?
# pytest's exit 5 means it collected no tests: not a failure of ours.
if [ $rc -ne 0 ] && [ $rc -ne 5 ]; then status=1; fi
exit $status
