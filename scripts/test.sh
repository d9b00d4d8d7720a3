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
mkdir -p out
if ! python -m behave --format plain --outfile out/behave.log \
    --format progress "${excl[@]+"${excl[@]}"}" features; then
  status=1
  # The short format names what failed; this says why.
  grep -B10 -A14 -E 'FAILED|Traceback' out/behave.log || true
fi
python -m pytest -q tests platform/tests
rc=$?
# pytest's exit 5 means it collected no tests: not a failure of ours.
if [ $rc -ne 0 ] && [ $rc -ne 5 ]; then status=1; fi
exit $status
