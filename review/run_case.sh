#!/usr/bin/env bash
# Runs one case: run_case.sh NUMBER. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case
# could not run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/$1" || exit 2
node=$PWD/../../target/tools/chestnutstand/chestnutstand
program=$PWD/../bin/case-$1
if [ ! -x "$node" ] || [ ! -x "$program" ]; then
    echo "build first: scripts/build_deployed and review/build.sh" >&2
    exit 2
fi
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
trap 'rm -rf "$TMPDIR"' EXIT
timeout -k 2 112 "$program" "$node" "$PWD/record.txt"
status=$?
[ "$status" -le 1 ] || status=2
echo "case $1, TROUBLE=${TROUBLE:-1}: exit $status"
exit "$status"
