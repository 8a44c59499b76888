#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves the disruption out. It exits with 1 if the rule was broken, 0 if it held and 2 if the
# case couldn't run.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review-driver-3 ] && [ -x ../../target/lentilrock ] || { echo "build first: the deploy file, then review/build-3.sh"; exit 2; }
exec ../../target/review-driver-3 ended ../.. record.txt
