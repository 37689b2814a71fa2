#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# Needs the build of the deploy file and review/build.sh. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/harness ] && [ -x target/release/wisteriaturn-platform ] || exit 2
timeout -k 5 110 target/review/harness leaving review/5
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
