#!/usr/bin/env bash
# Plays the case; TROUBLE=0 plays it without its disruption. Exit status: 0 the rule held, 1 it was broken, 2 the case
# could not run. Stopped by SIGTERM or SIGINT, it ends what it started first.
python3 -B "$(dirname "${BASH_SOURCE[0]}")/play.py" &
case_pid=$!
trap 'kill -TERM "$case_pid" 2>/dev/null' TERM INT
wait "$case_pid"
status=$?
while kill -0 "$case_pid" 2>/dev/null; do
    wait "$case_pid"
    status=$?
done
case $status in
0) exit 0 ;;
10) exit 1 ;;
*) exit 2 ;;
esac
