#!/usr/bin/env bash
# Runs each fuzz target for a number of seconds, 60 by default, and prints what it found. CI runs their seeds and
# the committed corpus only, as tests. FUZZ selects the targets by a regular expression.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-60}
failed=0
while IFS=: read -r file name; do
  if ! go test "./$(dirname "$file")" -run '^$' -fuzz "^$name\$" -fuzztime "${seconds}s" -fuzzminimizetime 1s -parallel 2; then
    failed=1
  fi
done < <(grep -roE --include='*_test.go' '^func Fuzz[A-Za-z]+' internal platform | sed 's/func //' | grep -E "${FUZZ:-.}" | sort)
exit $failed
