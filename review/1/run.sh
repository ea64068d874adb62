#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/deps ] || { echo 'run the build line of deploy/system.toml first'; exit 2; }
export PYTHONPYCACHEPREFIX=target/review-pycache
python3 review/1/case.py &
child=$!
trap 'kill -TERM "$child" 2>/dev/null' TERM INT
wait "$child"
code=$?
while kill -0 "$child" 2>/dev/null; do wait "$child"; code=$?; done
case $code in
0) exit 0 ;;
10) exit 1 ;;
*) exit 2 ;;
esac
