#!/bin/sh
# Builds the stand-ins of the review: checks that their files compile.
# They are plain Python and need the standard library only.
cd "$(dirname "$0")/.." || exit 2
export PYTHONPYCACHEPREFIX=target/review-pycache
exec python3 -m compileall -q review
