#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# Needs target/kch-fleet and review/build-3.sh. TROUBLE=0 leaves the disruption
# out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
for program in target/kch-fleet target/review-3/kch-review-3; do
  if [ ! -x "$program" ]; then
    echo "$program is missing: build it first"
    exit 2
  fi
done
exec target/review-3/kch-review-3 adopted-runs "$here/record.txt"
