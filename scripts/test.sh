#!/usr/bin/env bash
# Runs all tests: the behave features, then pytest.
# Tests listed in KNOWN-RED.txt are printed and left out of the
# run. A line names its test before the first semicolon: a pytest ID, a feature
# file, or FEATURE-FILE::SCENARIO. An entry that begins otherwise is only
# printed.
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
desel=()
scenarios=''
for k in "${known[@]+"${known[@]}"}"; do
  case "$k" in
    *.feature::*) scenarios+="$k"$'\n' ;;
    *::*) desel+=(--deselect "$k") ;;
    *.feature) excl+=(--exclude "$k") ;;
  esac
done
export KNOWN_RED_SCENARIOS="$scenarios"
mkdir -p out
if ! python -m behave --format plain --outfile out/behave.log \
    --format progress "${excl[@]+"${excl[@]}"}" features; then
  status=1
  # The progress format only names the failed steps; the log has the details.
  grep -B10 -A14 -E 'FAILED|Traceback' out/behave.log || true
fi
python -m pytest -q "${desel[@]+"${desel[@]}"}" tests platform/tests
rc=$?
# pytest exits with 5 if it collected no tests, which is not a failure.
if [ $rc -ne 0 ] && [ $rc -ne 5 ]; then status=1; fi
exit $status
