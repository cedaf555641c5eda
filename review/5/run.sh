#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [[ ! -x build-review/review-case || ! -x target/kch-fleet ]]; then
  echo "build the deploy file and run review/build.sh first" >&2
  exit 2
fi
exec build-review/review-case outage_with_lapse review/5/record.txt
