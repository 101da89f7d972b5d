#!/usr/bin/env bash
# A process that owns a trainer's jobs is killed some 40 times, as one that crashes in a loop, and then left alone.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the trouble out.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/hillforkd ] && [ -x ../../target/standin-2 ] || { echo "build first: the build of deploy/system.toml, then review/build-2.sh"; exit 2; }
exec timeout --signal=TERM --kill-after=5 112 ../../target/standin-2 restarts ../../target/hillforkd record.txt
