#!/usr/bin/env bash
# Runs a case of the second review. Its record goes to record.txt in the case's folder.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
number=$1
cd "$(dirname "$0")/.." || exit 2
case_program=target/review-2/case-$number
node_program=target/tools/chestnutstand/chestnutstand
if [ ! -x "$case_program" ] || [ ! -x "$node_program" ]; then
    echo "build with scripts/build_deployed and review/build-2.sh first" >&2
    exit 2
fi
timeout --kill-after=5 115 "$case_program" "review/$number/record.txt"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
