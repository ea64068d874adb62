#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start, after the build of the
# deploy file: byte code of the stand-ins, theirs and the project's. No network.
set -e
cd "$(dirname "$0")/.."
p=packages/catkinreach
export PYTHONPATH="target/deps:$p-core/src:$p-node/src:$p-standins/src:review"
python3 -m compileall -q "$p-standins/src/catkinreach_standins" review/second
python3 -c 'import second.engine_process, second.scene'
