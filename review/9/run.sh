#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")" || exit 2
TROUBLE="${TROUBLE:-1}" python3 case.py &
case_pid=$!
trap 'kill -TERM "$case_pid"' TERM INT HUP
wait "$case_pid"
code=$?
while kill -0 "$case_pid" 2>/dev/null; do
    wait "$case_pid"
    code=$?
done
case $code in
    70) exit 0 ;;
    71) exit 1 ;;
    *) exit 2 ;;
esac
