#!/usr/bin/env bash
# Runs the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
set -u
export TROUBLE="${TROUBLE:-1}"
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
program="target/review/case_$(basename "$here")"
[ -x target/release/shallotroute ] && [ -x "$program" ] || { echo "build the program and review/build.sh first"; exit 2; }
folder="$(mktemp -d)" || exit 2
timeout --signal=KILL 115 "$program" "$folder" "$here/record.txt"
result=$?
[ "$result" -le 2 ] || result=2
# The nodes of a case that was stopped or could not run.
while read -r pid; do
    if grep -qs "$folder" "/proc/$pid/cmdline"; then kill -KILL "$pid"; fi
done <"$folder/pids"
if [ -n "${KEEP_LOGS:-}" ]; then cp "$folder"/*.log "$KEEP_LOGS"/; fi
rm -rf "$folder"
exit "$result"
