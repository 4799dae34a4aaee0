#!/usr/bin/env bash
# Plays the case, after the build of the deploy file and review/build-2.sh. Exits with 1 if the rule was broken, 0 if it held and 2 if
# the case couldn't run. TROUBLE=0 leaves out the disruption. KEEP=1 keeps the daemons' logs.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/harness2 ] && [ -x target/samphirewharf ] || exit 2
exec target/harness2 10 review/10/record.txt
