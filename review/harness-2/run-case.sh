#!/bin/bash
# run-case.sh CASE FOLDER: runs a case of the harness and writes its record into the folder. Exit status: 0 if the rule held,
# 1 if it was broken, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
case_name=$1
folder=$2
export TROUBLE=${TROUBLE:-1}
export NODE=target/release/marjoramdyke-platform
program=target/review-2/cases
if [ ! -x "$NODE" ] || [ ! -x "$program" ]; then
    echo "build first: the build of deploy/system.toml, then review/build-2.sh" >&2
    exit 2
fi
WORK=$(mktemp -d) || exit 2
export WORK
export RECORD=$folder/record.txt
# With job control, the harness and the nodes that it starts are a process group of their own, which is ended as a whole.
set -m
timeout --kill-after=2 115 "$program" "$case_name" &
group=$!
set +m
trap 'kill -KILL -- "-$group" 2>/dev/null; rm -rf "$WORK"' EXIT
trap 'exit 2' INT TERM
wait "$group"
status=$?
case $status in
    0 | 1) exit "$status" ;;
    *) exit 2 ;;
esac
