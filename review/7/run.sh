#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run; TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/lentilrock ] && [ -x target/review-driver-2 ] || exit 2
exec target/review-driver-2 late review/7/record.txt
