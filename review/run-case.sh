#!/bin/bash
# Runs one case of the harness: run-case.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case couldn't run. TROUBLE=0 leaves the disruption out.
set -u
case=$1 folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/.."
scratch=$(mktemp -d) || exit 2
# Ends the nodes that the harness started, also if it was ended itself.
clean_up() {
  [ -f "$scratch/pids" ] && while read -r pid; do
    if [ "$(readlink "/proc/$pid/exe" 2>/dev/null)" = "$PWD/target/release/marjoramdyke-platform" ]; then
      kill -KILL "$pid" 2>/dev/null
    fi
  done <"$scratch/pids"
  rm -rf "$scratch"
}
trap clean_up EXIT
trap 'exit 2' INT TERM
timeout -k 2 112 target/review/harness "$case" "$scratch" "$folder/record.txt"
status=$?
[ -n "${KEEP_LOGS:-}" ] && cp "$scratch"/node-*.log "$KEEP_LOGS"
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
