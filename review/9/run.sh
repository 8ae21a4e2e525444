#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# Needs target/bin/apricotwing-entry and review/build-2.sh.
# TROUBLE=0 leaves the disruption out.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/cases ] && [ -x target/bin/apricotwing-entry ] || exit 2
timeout -k 5 115 target/review-2/cases twice review/9
Result=$?
[ $Result -eq 0 ] || [ $Result -eq 1 ] || Result=2
exit $Result
